/*
 * The HTTP server of a node: health checks, registrations of upstreams and
 * metrics; node-operator.c has the requests of operators. Uses libmicrohttpd
 * within the event loop, since a request that awaits a quorum is suspended
 * instead of blocking a thread; ulfius, which is built on it, cannot suspend a
 * request.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "address.h"
#include "library.h"
#include "log.h"
#include "loop.h"
#include "node-http.h"
#include "node-status.h"
#include "page.h"
#include "platform/platform.h"

#define CONNECTION_IDLE_S 10U      /* idle timeout of keep-alive connections */
#define REGISTRATION_REPLY_MAX 256 /* bytes */
#define FLOWS_PATH "/v1/flows/"
#define METRICS_MAX 65536 /* bytes */

enum MHD_Result
node_http_respond(struct http_request *request, unsigned status_code,
                  const char *type, const char *body, size_t length)
{
    struct MHD_Response *response = library_microhttpd.new_response(
        length, (void *)body, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    if (length > 0) {
        (void)library_microhttpd.add_header(response, "Content-Type", type);
    }
    if (status_code == MHD_HTTP_SERVICE_UNAVAILABLE) {
        (void)library_microhttpd.add_header(response, "Retry-After",
                                            NODE_HTTP_RETRY_AFTER_S);
    }
    result =
        library_microhttpd.queue(request->connection, status_code, response);
    library_microhttpd.free_response(response);
    return result;
}

enum MHD_Result
node_http_respond_error(struct http_request *request, unsigned status_code,
                        const char *reason)
{
    char body[STATUS_MESSAGE_MAX + 64];
    json_object *doc = json_object_new_object();
    const char *text;

    page_add_text(doc, "error", reason);
    text = json_object_to_json_string(doc);
    g_strlcpy(body, text, sizeof(body));
    json_object_put(doc);
    return node_http_respond(request, status_code, "application/json", body,
                             strlen(body));
}

/* True when this node may acknowledge that an upstream takes no new work. A
 * node without contact to the leader may be separated from the nodes that send
 * it flows; the registration takes effect here all the same. */
static bool
may_confirm_leaving(struct node *node, uint64_t upstream)
{
    const struct fleet *fleet = &node->fleet;

    if (fleet_reaches_leader(fleet, loop_now())) {
        return true;
    }
    counter_add(&node->counters, COUNTER_REGISTRATIONS_UNCONFIRMED, 1);
    log_event(LOG_WARN, "leaving-unconfirmed",
              "upstream=%llx leader=%08x leader_age_ms=%llu members=%u",
              (unsigned long long)upstream, fleet->leader,
              fleet->leader_seen_at != 0
                  ? (unsigned long long)(loop_now() - fleet->leader_seen_at)
                  : 0,
              g_hash_table_size(fleet->members) + 1);
    return false;
}

static enum MHD_Result
respond_unconfirmed(struct http_request *request)
{
    return node_http_respond_error(
        request, MHD_HTTP_SERVICE_UNAVAILABLE,
        "this node has no contact to the leader, so other nodes may still "
        "send new flows; repeat the request at another node");
}

static enum MHD_Result
register_upstream(struct http_request *request, const char *id)
{
    struct node *node = request->node;
    struct upstream_registration registration;
    struct status st = {STATUS_OK, ""};
    char body[REGISTRATION_REPLY_MAX];
    size_t length;

    if (platform_read_registration(id, (const char *)request->body->data,
                                   request->body->len, &registration,
                                   &st) != STATUS_OK) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_REFUSED, 1);
        log_event(LOG_WARN, "registration-refused", "reason=\"%s\"",
                  st.message);
        return node_http_respond_error(request, MHD_HTTP_BAD_REQUEST,
                                       st.message);
    }
    counter_add(&node->counters, COUNTER_REGISTRATIONS, 1);
    request->is_registration = true;
    if (!upstream_register(&node->upstreams, loop_now(), &registration)) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_LATE, 1);
        log_event(LOG_INFO, "registration-late",
                  "upstream=%llx born=%llu sequence=%llu leaving=%d",
                  (unsigned long long)registration.id,
                  (unsigned long long)registration.started_at,
                  (unsigned long long)registration.sequence,
                  registration.leaving);
    }
    node_run_actions(node);
    if (registration.leaving && !may_confirm_leaving(node, registration.id)) {
        return respond_unconfirmed(request);
    }
    if (node->stopping_since != 0) {
        return node_http_respond(request, MHD_HTTP_OK, "application/json",
                                 "{}", 2);
    }
    length = platform_write_registration_reply(node->settings.control.address,
                                               node->settings.control.port,
                                               body, sizeof(body));
    return node_http_respond(request, MHD_HTTP_OK, "application/json", body,
                             length);
}

static enum MHD_Result
deregister_upstream(struct http_request *request, const char *text)
{
    struct node *node = request->node;
    struct status st = {STATUS_OK, ""};
    uint64_t started_at;
    uint64_t id;

    if (platform_read_id(text, &id, &st) != STATUS_OK ||
        platform_read_deregistration((const char *)request->body->data,
                                     request->body->len, &started_at,
                                     &st) != STATUS_OK) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_REFUSED, 1);
        log_event(LOG_WARN, "end-refused", "reason=\"%s\"", st.message);
        return node_http_respond_error(request, MHD_HTTP_BAD_REQUEST,
                                       st.message);
    }
    if (!upstream_deregister(&node->upstreams, loop_now(), id, started_at)) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_LATE, 1);
        log_event(LOG_INFO, "end-late", "upstream=%llx",
                  (unsigned long long)id);
        return node_http_respond_error(
            request, MHD_HTTP_CONFLICT,
            "the upstream has restarted since; set \"born\" to the start "
            "time of the process that ended");
    }
    node_run_actions(node);
    if (!may_confirm_leaving(node, id)) {
        return respond_unconfirmed(request);
    }
    return node_http_respond(request, MHD_HTTP_OK, "application/json", "{}",
                             2);
}

static enum MHD_Result
serve_metrics(struct http_request *request)
{
    struct node *node = request->node;
    char *text = g_malloc(METRICS_MAX);
    enum MHD_Result result;
    size_t length;

    node->counters.value[COUNTER_LOG_LINES_LOST] = log_lines_lost();
    length = counter_print(&node->counters, text, METRICS_MAX);
    length += histogram_print(&node->histograms, text + length,
                              METRICS_MAX - length);
    length += page_print_process_metrics(text + length, METRICS_MAX - length);
    result = node_http_respond(request, MHD_HTTP_OK,
                               "text/plain; version=0.0.4", text, length);
    g_free(text);
    return result;
}

/* Releases `doc`. */
static enum MHD_Result
respond_json(struct http_request *request, json_object *doc)
{
    const char *text = json_object_to_json_string(doc);
    enum MHD_Result result = node_http_respond(
        request, MHD_HTTP_OK, "application/json", text, strlen(text));

    json_object_put(doc);
    return result;
}

/* Serves metrics, the node's status, or the decisions about a flow. */
static enum MHD_Result
serve_operator_page(struct http_request *request, const char *path)
{
    size_t prefix = strlen(FLOWS_PATH);
    char *end = NULL;
    uint64_t flow;

    if (strcmp(path, "/v1/status") == 0) {
        return respond_json(request, node_status(request->node));
    }
    if (strncmp(path, FLOWS_PATH, prefix) == 0) {
        flow = g_ascii_strtoull(path + prefix, &end, 16);
        if (end == path + prefix || *end != '\0') {
            return node_http_respond_error(
                request, MHD_HTTP_BAD_REQUEST,
                "invalid flow; use the 16 hex digits of flow= in the log");
        }
        return respond_json(request, node_explain(request->node, flow));
    }
    return serve_metrics(request);
}

static enum MHD_Result
handle_request(struct http_request *request, enum node_http_listener listener,
               const char *method, const char *path)
{
    const char *rest = "";

    if (listener == NODE_HTTP_METRICS) {
        return serve_operator_page(request, path);
    }
    if (request->too_large) {
        return node_http_respond_error(
            request, MHD_HTTP_CONTENT_TOO_LARGE,
            "the body exceeds 4 MiB; send a smaller one");
    }
    switch (platform_classify(method, path, &rest)) {
    case PLATFORM_READY:
        return node_http_respond(request,
                                 node_is_ready(request->node)
                                     ? MHD_HTTP_OK
                                     : MHD_HTTP_SERVICE_UNAVAILABLE,
                                 "text/plain", "", 0);
    case PLATFORM_REGISTER:
        return register_upstream(request, rest);
    case PLATFORM_DEREGISTER:
        return deregister_upstream(request, rest);
    case PLATFORM_SUBMIT:
        return node_operator_submit(request, path);
    case PLATFORM_READ:
        return node_operator_read(request, path);
    case PLATFORM_DRAIN_HALL:
        return node_operator_set_hall(request, path, rest, true);
    case PLATFORM_UNDRAIN_HALL:
        return node_operator_set_hall(request, path, rest, false);
    case PLATFORM_UNKNOWN:
        break;
    }
    counter_add(&request->node->counters, COUNTER_HTTP_MALFORMED, 1);
    return node_http_respond_error(
        request, MHD_HTTP_NOT_FOUND,
        "unknown path or method; check the request line");
}

static enum node_http_listener
listener_of(const struct node *node, const struct MHD_Daemon *daemon)
{
    for (int i = 0; i < NODE_HTTP_COUNT; i++) {
        if (node->http[i] == daemon) {
            return (enum node_http_listener)i;
        }
    }
    return NODE_HTTP_READY;
}

/* libmicrohttpd calls this for the headers, for each piece of the body, and
 * once more at its end. */
static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *upload,
           size_t *upload_size, void **state)
{
    struct node *node = data;
    struct http_request *request = *state;
    const union MHD_ConnectionInfo *info;

    (void)version;
    if (request == NULL) {
        request = g_new0(struct http_request, 1);
        request->node = node;
        request->connection = connection;
        request->body = g_byte_array_new();
        request->started_us = loop_now_us();
        *state = request;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        request->too_large =
            request->too_large ||
            request->body->len + *upload_size > PLATFORM_BODY_MAX;
        if (!request->too_large) {
            g_byte_array_append(request->body, (const guint8 *)upload,
                                (guint)*upload_size);
        }
        *upload_size = 0;
        return MHD_YES;
    }
    if (request->response != NULL) {
        return library_microhttpd.queue(connection, request->status_code,
                                        request->response);
    }
    if (request->token != 0) {
        return MHD_YES;
    }
    info = library_microhttpd.connection_info(connection,
                                              MHD_CONNECTION_INFO_DAEMON);
    return handle_request(request, listener_of(node, info->daemon), method,
                          path);
}

static void
on_request_done(void *data, struct MHD_Connection *connection, void **state,
                enum MHD_RequestTerminationCode status_code)
{
    struct node *node = data;
    struct http_request *request = *state;

    (void)connection;
    (void)status_code;
    if (request == NULL) {
        return;
    }
    if (request->is_registration) {
        histogram_add(&node->histograms, HISTOGRAM_REGISTRATION,
                      loop_now_us() - request->started_us);
    }
    if (request->token != 0) {
        (void)g_hash_table_remove(node->pending_requests, &request->token);
    }
    if (request->response != NULL) {
        library_microhttpd.free_response(request->response);
    }
    g_byte_array_unref(request->body);
    g_free(request);
    *state = NULL;
}

static void
on_daemon_event(void *data)
{
    struct MHD_Daemon *daemon = data;

    (void)library_microhttpd.run(daemon);
}

void
node_poll_http(struct node *node)
{
    for (int i = 0; i < NODE_HTTP_COUNT; i++) {
        if (node->http[i] != NULL) {
            (void)library_microhttpd.run(node->http[i]);
        }
    }
}

uint64_t
node_http_deadline(struct node *node)
{
    uint64_t at = UINT64_MAX;
    uint64_t now = loop_now();

    for (int i = 0; i < NODE_HTTP_COUNT; i++) {
        MHD_UNSIGNED_LONG_LONG wait;

        if (node->http[i] != NULL &&
            library_microhttpd.get_timeout(node->http[i], &wait) == MHD_YES) {
            at = MIN(at, now + wait);
        }
    }
    return at;
}

static bool
start_daemon(struct node *node, enum node_http_listener listener,
             uint32_t address, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};
    const union MHD_DaemonInfo *info;

    node->http[listener] = library_microhttpd.start(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL, on_request,
        node, MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_NOTIFY_COMPLETED,
        on_request_done, node, MHD_OPTION_CONNECTION_TIMEOUT,
        CONNECTION_IDLE_S, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_END);
    if (node->http[listener] == NULL) {
        return false;
    }
    info = library_microhttpd.daemon_info(node->http[listener],
                                          MHD_DAEMON_INFO_EPOLL_FD);
    loop_watch(info->epoll_fd, on_daemon_event, node->http[listener]);
    return true;
}

enum status_kind
node_open_http(struct node *node, struct status *st)
{
    const struct node_settings *s = &node->settings;

    if (library_load(LIBRARY_MICROHTTPD, st) != STATUS_OK) {
        return st->kind;
    }
    if (!start_daemon(node, NODE_HTTP_READY, s->ready.address,
                      s->ready.port) ||
        !start_daemon(node, NODE_HTTP_CONTROL, s->control.address,
                      s->control.port) ||
        (s->metrics_port != 0 &&
         !start_daemon(node, NODE_HTTP_METRICS, s->control.address,
                       (uint16_t)s->metrics_port))) {
        return status_set(st, STATUS_IO,
                          "cannot listen on \"ready\", \"control\" or "
                          "\"metrics_port\"; free the port or set another");
    }
    return STATUS_OK;
}

void
node_close_http(struct node *node)
{
    struct status st = {STATUS_NO_ANSWER, "this node stops; ask another"};
    GList *tokens = g_hash_table_get_keys(node->pending_requests);

    for (GList *at = tokens; at != NULL; at = at->next) {
        node_complete_request(node, *(uint64_t *)at->data, &st, NULL);
    }
    g_list_free(tokens);
    for (int i = 0; i < NODE_HTTP_COUNT; i++) {
        if (node->http[i] != NULL) {
            library_microhttpd.stop(node->http[i]);
            node->http[i] = NULL;
        }
    }
}
