/* Pages of the operators' HTTP, and values in JSON objects. */
#include "page.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "address.h"
#include "library.h"

#define COUNTERS_MAX 65536

/* Opens HTTP. */
enum status_kind
page_open_http(struct _u_instance *http, const struct settings *settings,
               const struct page_route *routes, size_t body_max, void *data,
               struct status *st)
{
    unsigned port = (unsigned)settings->http_port;
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(settings->address)};
    const struct page_route *route = routes;

    if (library_ulfius.init(http, port, &at, NULL) != U_OK) {
        return status_set(st, STATUS_IO, "ulfius does not start");
    }
    http->max_post_body_size = body_max;
    http->max_post_param_size = body_max;
    http->check_utf8 = 0;
    for (; route->path != NULL; route++) {
        (void)library_ulfius.add_endpoint(http, route->method, route->prefix,
                                          route->path, 0, route->call, data);
    }
    (void)library_ulfius.set_default_endpoint(http, route->call, data);
    if (library_ulfius.start(http) != U_OK) {
        return status_set(st, STATUS_IO,
                          "cannot listen on http_port %u; free the port or "
                          "set another",
                          port);
    }
    return STATUS_OK;
}

/* Answers with JSON. */
void
page_json(struct _u_response *response, json_object *doc)
{
    const char *text = json_object_to_json_string(doc);

    (void)library_ulfius.set_body(response, 200, text, strlen(text));
    (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                 "application/json");
    json_object_put(doc);
}

/* Writes processor time and greatest memory of this process. */
size_t
page_print_process(char *out, size_t size)
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
        "# HELP ridgeridge_memory_peak_bytes most memory resident\n"
        "# TYPE ridgeridge_memory_peak_bytes gauge\n"
        "ridgeridge_memory_peak_bytes %ld\n",
        (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
            (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6,
        usage.ru_maxrss * 1024);
    return n > 0 && (size_t)n < size ? (size_t)n : 0;
}

/* Answers with counters. */
void
page_counters(struct _u_response *response, const struct counters *counters)
{
    char *text = g_malloc(COUNTERS_MAX);
    size_t length = counter_print(counters, text, COUNTERS_MAX);

    length += page_print_process(text + length, COUNTERS_MAX - length);
    (void)library_ulfius.set_body(response, 200, text, length);
    (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                 "text/plain; version=0.0.4");
    g_free(text);
}

/* Adds a number. */
void
page_add_number(json_object *doc, const char *key, uint64_t value)
{
    json_object_object_add(doc, key, json_object_new_int64((int64_t)value));
}

/* Adds a string. */
void
page_add_text(json_object *doc, const char *key, const char *value)
{
    json_object_object_add(doc, key, json_object_new_string(value));
}

/* Adds a number as hex digits. */
void
page_add_hex(json_object *doc, const char *key, uint64_t value)
{
    char text[24];

    (void)snprintf(text, sizeof(text), "%016llx", (unsigned long long)value);
    page_add_text(doc, key, text);
}

/* Adds an address and port. */
void
page_add_endpoint(json_object *doc, const char *key, uint32_t address,
                  uint16_t port)
{
    char text[ADDRESS_TEXT];

    page_add_text(doc, key, address_format(address, port, text));
}

/* Adds yes or no. */
void
page_add_bool(json_object *doc, const char *key, int value)
{
    json_object_object_add(doc, key, json_object_new_boolean(value));
}
