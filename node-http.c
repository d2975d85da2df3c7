/*
 * A node's HTTP: the fabric asks whether it is ready, upstreams register,
 * and counters are served; what operators order is node-operator.c's. On
 * libmicrohttpd inside the loop, since an operator's call waits for a quorum
 * and a thread for each call costs too much on the smallest VMs (ulfius, which
 * is built on it, can't suspend a call).
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

#define IDLE_CONNECTION_S 10U /* callers keep none open longer unused */
#define ANSWER_MAX 256        /* bytes of the answer to a registration */
#define FLOWS_PATH "/v1/flows/"
#define COUNTERS_MAX 65536 /* bytes of the page of counters */

/* Queues an answer. */
enum MHD_Result
node_http_answer(struct call *call, unsigned code, const char *type,
                 const char *body, size_t length)
{
    struct MHD_Response *out = library_microhttpd.new_response(
        length, (void *)body, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    if (length > 0) {
        (void)library_microhttpd.add_header(out, "Content-Type", type);
    }
    if (code == MHD_HTTP_SERVICE_UNAVAILABLE) {
        (void)library_microhttpd.add_header(out, "Retry-After",
                                            NODE_HTTP_RETRY_S);
    }
    result = library_microhttpd.queue(call->connection, code, out);
    library_microhttpd.free_response(out);
    return result;
}

/* Answers with a reason. */
enum MHD_Result
node_http_refuse(struct call *call, unsigned code, const char *reason)
{
    char body[STATUS_MESSAGE_MAX + 64];
    json_object *doc = json_object_new_object();
    const char *text;

    page_add_text(doc, "error", reason);
    text = json_object_to_json_string(doc);
    g_strlcpy(body, text, sizeof(body));
    json_object_put(doc);
    return node_http_answer(call, code, "application/json", body,
                            strlen(body));
}

/* An upstream registers. */
static enum MHD_Result
register_upstream(struct call *call, const char *id)
{
    struct node *node = call->node;
    struct upstream_registration registration;
    struct status st = {STATUS_OK, ""};
    char body[ANSWER_MAX];
    size_t length;

    if (platform_read_registration(id, (const char *)call->body->data,
                                   call->body->len, &registration,
                                   &st) != STATUS_OK) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_REFUSED, 1);
        log_event(LOG_WARN, "registration-refused", "reason=\"%s\"",
                  st.message);
        return node_http_refuse(call, MHD_HTTP_BAD_REQUEST, st.message);
    }
    counter_add(&node->counters, COUNTER_REGISTRATIONS, 1);
    call->registers = true;
    if (!upstream_register(&node->upstreams, loop_now(), &registration)) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_LATE, 1);
        log_event(LOG_INFO, "registration-late",
                  "upstream=%llx born=%llu sequence=%llu leaving=%d",
                  (unsigned long long)registration.id,
                  (unsigned long long)registration.started_at,
                  (unsigned long long)registration.sequence,
                  registration.leaving);
    }
    node_act(node);
    if (node->unready_at != 0) {
        return node_http_answer(call, MHD_HTTP_OK, "application/json", "{}",
                                2);
    }
    length = platform_write_registration_reply(node->settings.control.address,
                                               node->settings.control.port,
                                               body, sizeof(body));
    return node_http_answer(call, MHD_HTTP_OK, "application/json", body,
                            length);
}

/* An upstream ends. */
static enum MHD_Result
deregister_upstream(struct call *call, const char *text)
{
    struct node *node = call->node;
    struct status st = {STATUS_OK, ""};
    uint64_t born;
    uint64_t id;

    if (platform_read_id(text, &id, &st) != STATUS_OK ||
        platform_read_deregistration((const char *)call->body->data,
                                     call->body->len, &born,
                                     &st) != STATUS_OK) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_REFUSED, 1);
        log_event(LOG_WARN, "end-refused", "reason=\"%s\"", st.message);
        return node_http_refuse(call, MHD_HTTP_BAD_REQUEST, st.message);
    }
    if (!upstream_deregister(&node->upstreams, loop_now(), id, born)) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_LATE, 1);
        log_event(LOG_INFO, "end-late", "upstream=%llx",
                  (unsigned long long)id);
        return node_http_refuse(
            call, MHD_HTTP_CONFLICT,
            "another start of this upstream has just begun; say by "
            "\"born\" which one ends");
    }
    node_act(node);
    return node_http_answer(call, MHD_HTTP_OK, "application/json", "{}", 2);
}

/* Serves the counters and histograms. */
static enum MHD_Result
serve_counters(struct call *call)
{
    struct node *node = call->node;
    char *text = g_malloc(COUNTERS_MAX);
    enum MHD_Result result;
    size_t length;

    node->counters.value[COUNTER_LOG_LINES_LOST] = log_lost();
    length = counter_print(&node->counters, text, COUNTERS_MAX);
    length += histogram_print(&node->histograms, text + length,
                              COUNTERS_MAX - length);
    length += page_print_process(text + length, COUNTERS_MAX - length);
    result = node_http_answer(call, MHD_HTTP_OK, "text/plain; version=0.0.4",
                              text, length);
    g_free(text);
    return result;
}

/* Serves a document, which is released. */
static enum MHD_Result
serve_page(struct call *call, json_object *doc)
{
    const char *text = json_object_to_json_string(doc);
    enum MHD_Result result = node_http_answer(
        call, MHD_HTTP_OK, "application/json", text, strlen(text));

    json_object_put(doc);
    return result;
}

/* Serves operators' pages: counters, the node's state, a flow's decisions. */
static enum MHD_Result
serve_operators(struct call *call, const char *path)
{
    size_t prefix = strlen(FLOWS_PATH);
    char *end = NULL;
    uint64_t flow;

    if (strcmp(path, "/v1/status") == 0) {
        return serve_page(call, node_status(call->node));
    }
    if (strncmp(path, FLOWS_PATH, prefix) == 0) {
        flow = g_ascii_strtoull(path + prefix, &end, 16);
        if (end == path + prefix || *end != '\0') {
            return node_http_refuse(
                call, MHD_HTTP_BAD_REQUEST,
                "a flow is 16 hex digits, as the log names it");
        }
        return serve_page(call, node_explain(call->node, flow));
    }
    return serve_counters(call);
}

/* Answers a call whose body has arrived. */
static enum MHD_Result
serve(struct call *call, enum node_port port, const char *method,
      const char *path)
{
    const char *rest = "";

    if (port == NODE_METRICS) {
        return serve_operators(call, path);
    }
    if (call->too_large) {
        return node_http_refuse(call, MHD_HTTP_CONTENT_TOO_LARGE,
                                "the body is larger than 4 MiB");
    }
    switch (platform_classify(method, path, &rest)) {
    case PLATFORM_READY:
        return node_http_answer(call,
                                node_is_ready(call->node)
                                    ? MHD_HTTP_OK
                                    : MHD_HTTP_SERVICE_UNAVAILABLE,
                                "text/plain", "", 0);
    case PLATFORM_REGISTER:
        return register_upstream(call, rest);
    case PLATFORM_DEREGISTER:
        return deregister_upstream(call, rest);
    case PLATFORM_SUBMIT:
        return node_operator_submit(call, path);
    case PLATFORM_READ:
        return node_operator_read(call, path);
    case PLATFORM_DRAIN_HALL:
        return node_operator_order(call, path, rest, true);
    case PLATFORM_UNDRAIN_HALL:
        return node_operator_order(call, path, rest, false);
    case PLATFORM_UNKNOWN:
        break;
    }
    counter_add(&call->node->counters, COUNTER_HTTP_MALFORMED, 1);
    return node_http_refuse(call, MHD_HTTP_NOT_FOUND,
                            "nothing is served here");
}

/* Which daemon this is. */
static enum node_port
port_of(const struct node *node, const struct MHD_Daemon *daemon)
{
    for (int i = 0; i < NODE_PORTS; i++) {
        if (node->http[i] == daemon) {
            return (enum node_port)i;
        }
    }
    return NODE_READY;
}

/* Takes a call: its head, then its body in parts, then once more. */
static enum MHD_Result
on_call(void *data, struct MHD_Connection *connection, const char *path,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **state)
{
    struct node *node = data;
    struct call *call = *state;
    const union MHD_ConnectionInfo *info;

    (void)version;
    if (call == NULL) {
        call = g_new0(struct call, 1);
        call->node = node;
        call->connection = connection;
        call->body = g_byte_array_new();
        call->began_us = loop_now_us();
        *state = call;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        call->too_large = call->too_large ||
                          call->body->len + *upload_size > PLATFORM_BODY_MAX;
        if (!call->too_large) {
            g_byte_array_append(call->body, (const guint8 *)upload,
                                (guint)*upload_size);
        }
        *upload_size = 0;
        return MHD_YES;
    }
    if (call->out != NULL) {
        return library_microhttpd.queue(connection, call->code, call->out);
    }
    if (call->token != 0) {
        return MHD_YES;
    }
    info = library_microhttpd.connection_info(connection,
                                              MHD_CONNECTION_INFO_DAEMON);
    return serve(call, port_of(node, info->daemon), method, path);
}

/* A call is over: notes how long a registration took, and frees it. */
static void
on_done(void *data, struct MHD_Connection *connection, void **state,
        enum MHD_RequestTerminationCode code)
{
    struct node *node = data;
    struct call *call = *state;

    (void)connection;
    (void)code;
    if (call == NULL) {
        return;
    }
    if (call->registers) {
        histogram_add(&node->histograms, HISTOGRAM_REGISTRATION,
                      loop_now_us() - call->began_us);
    }
    if (call->token != 0) {
        (void)g_hash_table_remove(node->calls, &call->token);
    }
    if (call->out != NULL) {
        library_microhttpd.free_response(call->out);
    }
    g_byte_array_unref(call->body);
    g_free(call);
    *state = NULL;
}

/* Lets a daemon do what is due. */
static void
on_daemon(void *data)
{
    struct MHD_Daemon *daemon = data;

    (void)library_microhttpd.run(daemon);
}

/* Lets all daemons do what is due. */
void
node_poll_http(struct node *node)
{
    for (int i = 0; i < NODE_PORTS; i++) {
        if (node->http[i] != NULL) {
            (void)library_microhttpd.run(node->http[i]);
        }
    }
}

/* When a daemon wants to run next. */
uint64_t
node_http_deadline(struct node *node)
{
    uint64_t at = UINT64_MAX;
    uint64_t now = loop_now();

    for (int i = 0; i < NODE_PORTS; i++) {
        MHD_UNSIGNED_LONG_LONG wait;

        if (node->http[i] != NULL &&
            library_microhttpd.get_timeout(node->http[i], &wait) == MHD_YES) {
            at = MIN(at, now + wait);
        }
    }
    return at;
}

/* Opens one daemon. */
static bool
open_daemon(struct node *node, enum node_port which, uint32_t address,
            uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};
    const union MHD_DaemonInfo *info;

    node->http[which] = library_microhttpd.start(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL, on_call,
        node, MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_NOTIFY_COMPLETED, on_done,
        node, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_CONNECTION_S,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (node->http[which] == NULL) {
        return false;
    }
    info = library_microhttpd.daemon_info(node->http[which],
                                          MHD_DAEMON_INFO_EPOLL_FD);
    loop_watch(info->epoll_fd, on_daemon, node->http[which]);
    return true;
}

/* Opens HTTP. */
enum status_kind
node_open_http(struct node *node, struct status *st)
{
    const struct node_settings *s = &node->settings;

    if (library_load(LIBRARY_MICROHTTPD, st) != STATUS_OK) {
        return st->kind;
    }
    if (!open_daemon(node, NODE_READY, s->ready.address, s->ready.port) ||
        !open_daemon(node, NODE_CONTROL, s->control.address,
                     s->control.port) ||
        (s->metrics_port != 0 &&
         !open_daemon(node, NODE_METRICS, s->control.address,
                      (uint16_t)s->metrics_port))) {
        return status_set(st, STATUS_IO,
                          "cannot listen on \"ready\", \"control\" or "
                          "\"metrics_port\"; free the port or set another");
    }
    return STATUS_OK;
}

/* Closes HTTP; calls that wait are answered first. */
void
node_close_http(struct node *node)
{
    struct status st = {STATUS_NO_ANSWER, "this node stops; ask another"};
    GList *tokens = g_hash_table_get_keys(node->calls);

    for (GList *at = tokens; at != NULL; at = at->next) {
        node_answer(node, *(uint64_t *)at->data, &st, NULL);
    }
    g_list_free(tokens);
    for (int i = 0; i < NODE_PORTS; i++) {
        if (node->http[i] != NULL) {
            library_microhttpd.stop(node->http[i]);
            node->http[i] = NULL;
        }
    }
}
