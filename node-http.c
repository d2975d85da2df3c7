/*
 * A node's HTTP: the fabric asks whether it is ready, upstreams register,
 * operators send and read tables, and counters are served. On libmicrohttpd
 * inside the loop, since an operator's call waits for a quorum and a thread
 * for each call costs too much on the smallest VMs (ulfius, which is built
 * on it, can't suspend a call).
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "address.h"
#include "library.h"
#include "log.h"
#include "loop.h"
#include "node-status.h"
#include "page.h"
#include "platform/platform.h"

#define IDLE_CONNECTION_S 10U /* callers keep none open longer unused */
#define ANSWER_MAX 256        /* bytes of the answer to a registration */
#define REDIRECT_PATH_MAX 300 /* bytes of a path that a redirect repeats */
#define FLOWS_PATH "/v1/flows/"
#define COUNTERS_MAX 65536 /* bytes of the page of counters */
#define RETRY_AFTER_S "1"  /* an election takes about that long */

/* What an operator's call that waits for the voter does. */
enum call_kind { CALL_READ, CALL_TABLE, CALL_HALL };

/* One call. */
struct call {
    struct node *node;
    struct MHD_Connection *connection;
    GByteArray *body;
    bool too_large;           /* the body is past PLATFORM_BODY_MAX */
    bool registers;           /* is a registration */
    enum call_kind kind;      /* of an operator's call */
    uint64_t token;           /* 0: not suspended */
    uint64_t began_us;        /* for its duration */
    struct MHD_Response *out; /* set when it is resumed */
    unsigned code;            /* of `out` */
};

/* Queues an answer. */
static enum MHD_Result
answer(struct call *call, unsigned code, const char *type, const char *body,
       size_t length)
{
    struct MHD_Response *out = library_microhttpd.new_response(
        length, (void *)body, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    if (length > 0) {
        (void)library_microhttpd.add_header(out, "Content-Type", type);
    }
    if (code == MHD_HTTP_SERVICE_UNAVAILABLE) {
        (void)library_microhttpd.add_header(out, "Retry-After", RETRY_AFTER_S);
    }
    result = library_microhttpd.queue(call->connection, code, out);
    library_microhttpd.free_response(out);
    return result;
}

/* Answers with a reason. */
static enum MHD_Result
refuse(struct call *call, unsigned code, const char *reason)
{
    char body[STATUS_MESSAGE_MAX + 64];
    json_object *doc = json_object_new_object();
    const char *text;

    page_add_text(doc, "error", reason);
    text = json_object_to_json_string(doc);
    g_strlcpy(body, text, sizeof(body));
    json_object_put(doc);
    return answer(call, code, "application/json", body, strlen(body));
}

/* Sends an operator to the leader, or tells when to come back. */
static enum MHD_Result
redirect(struct call *call, const char *path)
{
    struct node *node = call->node;
    char place[ADDRESS_TEXT];
    char location[ADDRESS_TEXT + REDIRECT_PATH_MAX];
    struct MHD_Response *out;
    enum MHD_Result result;

    if (node->fleet.leader == 0 ||
        node->fleet.leader == node->fleet.self.address) {
        counter_add(&node->counters, COUNTER_TABLES_UNCONFIRMED, 1);
        log_event(LOG_WARN, "operator-unanswered", "path=%s reason=no-leader",
                  path);
        return refuse(call, MHD_HTTP_SERVICE_UNAVAILABLE,
                      "no leader is known; send it again to any node");
    }
    (void)snprintf(
        location, sizeof(location), "http://%s%s",
        address_format(node->fleet.leader, node->settings.control.port, place),
        path);
    counter_add(&node->counters, COUNTER_REDIRECTS, 1);
    out = library_microhttpd.new_response(0, NULL, MHD_RESPMEM_PERSISTENT);
    (void)library_microhttpd.add_header(out, "Location", location);
    result = library_microhttpd.queue(call->connection,
                                      MHD_HTTP_TEMPORARY_REDIRECT, out);
    library_microhttpd.free_response(out);
    return result;
}

/* Suspends a call until the voter answers. */
static uint64_t
suspend(struct call *call)
{
    struct node *node = call->node;

    call->token = ++node->last_token;
    g_hash_table_insert(node->calls, &call->token, call);
    library_microhttpd.suspend(call->connection);
    return call->token;
}

/* An operator sends a table. */
static enum MHD_Result
submit(struct call *call, const char *path)
{
    struct node *node = call->node;
    struct status st = {STATUS_OK, ""};
    const char *text = (const char *)call->body->data;
    struct route_table *table =
        platform_read_table(text, call->body->len, &st);
    wire_routes packed = {0};
    uint64_t token;

    if (table == NULL) {
        counter_add(&node->counters, COUNTER_TABLES_INVALID, 1);
        log_event(LOG_WARN, "table-refused", "bytes=%u reason=\"%s\"",
                  call->body->len, st.message);
        return refuse(call, MHD_HTTP_BAD_REQUEST, st.message);
    }
    packed.bundle_version = table->version;
    route_free(table);
    if (node->fleet.leads_since == 0) {
        return redirect(call, path);
    }
    if (node_pack(text, call->body->len, &packed, &st) != STATUS_OK) {
        log_event(LOG_WARN, "table-not-packed", "bytes=%u reason=\"%s\"",
                  call->body->len, st.message);
        return refuse(call,
                      st.kind == STATUS_REFUSED ? MHD_HTTP_CONTENT_TOO_LARGE
                                                : MHD_HTTP_SERVICE_UNAVAILABLE,
                      st.message);
    }
    call->kind = CALL_TABLE;
    token = suspend(call);
    log_event(LOG_INFO, "table-received",
              "call=%llu version=%llu bytes=%u held=%llu",
              (unsigned long long)token,
              (unsigned long long)packed.bundle_version, call->body->len,
              (unsigned long long)node->fleet.routes.bundle_version);
    node_voter_submit(node, token, &packed);
    return MHD_YES;
}

/* An operator empties a hall, or takes it back. Any name is taken: a hall of
 * which this node knows no upstream may have some that others hear, or will
 * have some. */
static enum MHD_Result
submit_hall(struct call *call, const char *path, const char *hall,
            bool emptied)
{
    struct node *node = call->node;
    struct hall_order order = {.emptied = emptied, .wall = loop_wall()};
    uint64_t token;

    if (!hall_is_name(hall)) {
        log_event(LOG_WARN, "hall-refused", "reason=\"not a name\"");
        return refuse(call, MHD_HTTP_BAD_REQUEST,
                      "the path names no data hall; send its name, of 1 to 63 "
                      "letters, digits and dots, hyphens or the like");
    }
    if (node->fleet.leads_since == 0) {
        return redirect(call, path);
    }
    g_strlcpy(order.hall, hall, sizeof(order.hall));
    call->kind = CALL_HALL;
    token = suspend(call);
    log_event(LOG_INFO, "hall-ordered", "call=%llu hall=%s emptied=%d",
              (unsigned long long)token, hall, emptied);
    node_voter_submit_hall(node, token, &order);
    return MHD_YES;
}

/* An operator asks for the table. */
static enum MHD_Result
read_table(struct call *call, const char *path)
{
    if (call->node->fleet.leads_since == 0) {
        return redirect(call, path);
    }
    node_voter_read(call->node, suspend(call));
    return MHD_YES;
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
        return refuse(call, MHD_HTTP_BAD_REQUEST, st.message);
    }
    counter_add(&node->counters, COUNTER_REGISTRATIONS, 1);
    call->registers = true;
    if (!upstream_register(&node->upstreams, loop_now(), &registration)) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_LATE, 1);
        log_event(LOG_INFO, "registration-late",
                  "upstream=%llx born=%llu sequence=%llu leaving=%d",
                  (unsigned long long)registration.id,
                  (unsigned long long)registration.born,
                  (unsigned long long)registration.sequence,
                  registration.leaving);
    }
    node_act(node);
    if (node->unready_at != 0) {
        return answer(call, MHD_HTTP_OK, "application/json", "{}", 2);
    }
    length = platform_write_registered(node->settings.control.address,
                                       node->settings.control.port, body,
                                       sizeof(body));
    return answer(call, MHD_HTTP_OK, "application/json", body, length);
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
        platform_read_end((const char *)call->body->data, call->body->len,
                          &born, &st) != STATUS_OK) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_REFUSED, 1);
        log_event(LOG_WARN, "end-refused", "reason=\"%s\"", st.message);
        return refuse(call, MHD_HTTP_BAD_REQUEST, st.message);
    }
    if (!upstream_deregister(&node->upstreams, loop_now(), id, born)) {
        counter_add(&node->counters, COUNTER_REGISTRATIONS_LATE, 1);
        log_event(LOG_INFO, "end-late", "upstream=%llx",
                  (unsigned long long)id);
        return refuse(call, MHD_HTTP_CONFLICT,
                      "another start of this upstream has just begun; say by "
                      "\"born\" which one ends");
    }
    node_act(node);
    return answer(call, MHD_HTTP_OK, "application/json", "{}", 2);
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
    result =
        answer(call, MHD_HTTP_OK, "text/plain; version=0.0.4", text, length);
    g_free(text);
    return result;
}

/* Serves a document, which is released. */
static enum MHD_Result
serve_page(struct call *call, json_object *doc)
{
    const char *text = json_object_to_json_string(doc);
    enum MHD_Result result =
        answer(call, MHD_HTTP_OK, "application/json", text, strlen(text));

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
            return refuse(call, MHD_HTTP_BAD_REQUEST,
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
        return refuse(call, MHD_HTTP_CONTENT_TOO_LARGE,
                      "the body is larger than 4 MiB");
    }
    switch (platform_classify(method, path, &rest)) {
    case PLATFORM_READY:
        return answer(call,
                      node_is_ready(call->node) ? MHD_HTTP_OK
                                                : MHD_HTTP_SERVICE_UNAVAILABLE,
                      "text/plain", "", 0);
    case PLATFORM_REGISTER:
        return register_upstream(call, rest);
    case PLATFORM_DEREGISTER:
        return deregister_upstream(call, rest);
    case PLATFORM_SUBMIT:
        return submit(call, path);
    case PLATFORM_READ:
        return read_table(call, path);
    case PLATFORM_EMPTY_HALL:
        return submit_hall(call, path, rest, true);
    case PLATFORM_TAKE_HALL:
        return submit_hall(call, path, rest, false);
    case PLATFORM_UNKNOWN:
        break;
    }
    counter_add(&call->node->counters, COUNTER_HTTP_MALFORMED, 1);
    return refuse(call, MHD_HTTP_NOT_FOUND, "nothing is served here");
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

/* The body that answers a call of an operator: a table, or why there is none.
 */
static struct MHD_Response *
make_body(const struct status *status, const char *text, size_t length)
{
    struct MHD_Response *out;
    json_object *doc;

    if (text != NULL) {
        out = library_microhttpd.new_response(length, (void *)text,
                                              MHD_RESPMEM_MUST_COPY);
    }
    else {
        doc = json_object_new_object();
        if (status->kind != STATUS_OK) {
            page_add_text(doc, "error", status->message);
        }
        out = library_microhttpd.new_response(
            strlen(json_object_to_json_string(doc)),
            (void *)json_object_to_json_string(doc), MHD_RESPMEM_MUST_COPY);
        json_object_put(doc);
    }
    (void)library_microhttpd.add_header(out, "Content-Type",
                                        "application/json");
    return out;
}

/* The code of an operator's answer. */
static unsigned
answer_code(bool ok, enum status_kind kind)
{
    if (ok) {
        return MHD_HTTP_OK;
    }
    return kind == STATUS_REFUSED ? MHD_HTTP_CONFLICT
                                  : MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* Answers a call that waited for the voter. */
void
node_answer(struct node *node, uint64_t token, const struct status *status,
            const wire_routes *table)
{
    struct call *call = g_hash_table_lookup(node->calls, &token);
    bool ok = status->kind == STATUS_OK;
    char *text = NULL;
    uint64_t took_us = call != NULL ? loop_now_us() - call->began_us : 0;

    log_event(ok ? LOG_INFO : LOG_WARN, "operator-answered",
              "call=%llu result=%s took_ms=%llu reason=\"%s\"",
              (unsigned long long)token, status_name(status->kind),
              (unsigned long long)took_us / 1000, status->message);
    if (call == NULL) {
        return;
    }
    if (!ok) {
        counter_add(&node->counters, COUNTER_TABLES_UNCONFIRMED, 1);
    }
    else if (call->kind != CALL_READ) {
        counter_add(&node->counters,
                    call->kind == CALL_TABLE ? COUNTER_TABLES_TAKEN
                                             : COUNTER_HALL_ORDERS,
                    1);
    }
    histogram_add(&node->histograms, HISTOGRAM_OPERATOR, took_us);
    if (ok && table != NULL) {
        /* A read: nothing is answered for a table that there is not. */
        text = table->bundle_version != 0 ? node_unpack(table) : NULL;
        ok = text != NULL;
    }
    call->code = answer_code(ok, status->kind);
    call->out = make_body(status, text, text != NULL ? table->length : 0);
    g_free(text);
    if (!ok) {
        (void)library_microhttpd.add_header(call->out, "Retry-After",
                                            RETRY_AFTER_S);
    }
    (void)g_hash_table_remove(node->calls, &token);
    library_microhttpd.resume(call->connection);
    node_poll_http(node);
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
