/* HTTP server of the entry and control roles, and members of JSON objects. */
#include "page.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "address.h"
#include "library.h"

#define METRICS_MAX 65536 /* bytes of a metrics response */

enum status_kind
page_start_http(struct _u_instance *http, const struct settings *settings,
                const struct page_route *routes, size_t body_max, void *data,
                struct status *st)
{
    unsigned port = (unsigned)settings->http_port;
    struct sockaddr_in listen_address = {.sin_family = AF_INET,
                                         .sin_port = htons((uint16_t)port),
                                         .sin_addr.s_addr =
                                             htonl(settings->address)};
    const struct page_route *route = routes;

    if (library_ulfius.init(http, port, &listen_address, NULL) != U_OK) {
        return status_set(st, STATUS_IO, "libulfius failed to initialize");
    }
    http->max_post_body_size = body_max;
    http->max_post_param_size = body_max;
    http->check_utf8 = 0;
    for (; route->path != NULL; route++) {
        (void)library_ulfius.add_endpoint(http, route->method, route->prefix,
                                          route->path, 0, route->handler,
                                          data);
    }
    (void)library_ulfius.set_default_endpoint(http, route->handler, data);
    if (library_ulfius.start(http) != U_OK) {
        return status_set(st, STATUS_IO,
                          "cannot listen on http_port %u; free the port or "
                          "set another",
                          port);
    }
    return STATUS_OK;
}

void
page_send_json(struct _u_response *response, json_object *doc)
{
    const char *text = json_object_to_json_string(doc);

    (void)library_ulfius.set_body(response, 200, text, strlen(text));
    (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                 "application/json");
    json_object_put(doc);
}

size_t
page_print_process_metrics(char *out, size_t size)
{
    struct rusage usage;
    int n;

    if (getrusage(RUSAGE_SELF, &usage) != 0) {
        return 0;
    }
    n = snprintf(
        out, size,
        "# HELP ridgeridge_processor_seconds_total processor time\n"
        "# TYPE ridgeridge_processor_seconds_total counter\n"
        "ridgeridge_processor_seconds_total %.3f\n"
        "# HELP ridgeridge_memory_peak_bytes peak resident memory\n"
        "# TYPE ridgeridge_memory_peak_bytes gauge\n"
        "ridgeridge_memory_peak_bytes %ld\n",
        (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
            (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6,
        usage.ru_maxrss * 1024);
    return n > 0 && (size_t)n < size ? (size_t)n : 0;
}

void
page_send_metrics(struct _u_response *response,
                  const struct counters *counters)
{
    char *text = g_malloc(METRICS_MAX);
    size_t length = counter_print(counters, text, METRICS_MAX);

    length += page_print_process_metrics(text + length, METRICS_MAX - length);
    (void)library_ulfius.set_body(response, 200, text, length);
    (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                 "text/plain; version=0.0.4");
    g_free(text);
}

void
page_add_number(json_object *doc, const char *key, uint64_t value)
{
    json_object_object_add(doc, key, json_object_new_int64((int64_t)value));
}

void
page_add_text(json_object *doc, const char *key, const char *value)
{
    json_object_object_add(doc, key, json_object_new_string(value));
}

void
page_add_hex(json_object *doc, const char *key, uint64_t value)
{
    char text[24];

    (void)snprintf(text, sizeof(text), "%016llx", (unsigned long long)value);
    page_add_text(doc, key, text);
}

void
page_add_endpoint(json_object *doc, const char *key, uint32_t address,
                  uint16_t port)
{
    char text[ADDRESS_TEXT];

    page_add_text(doc, key, address_format(address, port, text));
}

void
page_add_bool(json_object *doc, const char *key, int value)
{
    json_object_object_add(doc, key, json_object_new_boolean(value));
}
