/*
 * Operators' calls at a node: tables and orders about data halls that go to
 * the voter, and reads that a quorum confirms. A node that does not lead sends
 * the operator on to the one that does.
 */
#include <stdio.h>
#include <string.h>

#include "address.h"
#include "library.h"
#include "log.h"
#include "loop.h"
#include "node-http.h"
#include "page.h"
#include "platform/platform.h"

#define REDIRECT_PATH_MAX 300 /* bytes of a path that a redirect repeats */

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
        return node_http_refuse(
            call, MHD_HTTP_SERVICE_UNAVAILABLE,
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
enum MHD_Result
node_operator_submit(struct call *call, const char *path)
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
        return node_http_refuse(call, MHD_HTTP_BAD_REQUEST, st.message);
    }
    packed.bundle_version = table->version;
    route_free(table);
    if (node->fleet.leads_since == 0) {
        return redirect(call, path);
    }
    if (node_pack(text, call->body->len, &packed, &st) != STATUS_OK) {
        log_event(LOG_WARN, "table-not-packed", "bytes=%u reason=\"%s\"",
                  call->body->len, st.message);
        return node_http_refuse(call,
                                st.kind == STATUS_REFUSED
                                    ? MHD_HTTP_CONTENT_TOO_LARGE
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
enum MHD_Result
node_operator_order(struct call *call, const char *path, const char *hall,
                    bool emptied)
{
    struct node *node = call->node;
    struct hall_order order = {.drained = emptied, .wall = loop_wall()};
    uint64_t token;

    if (!hall_is_name(hall)) {
        log_event(LOG_WARN, "hall-refused", "reason=\"not a name\"");
        return node_http_refuse(
            call, MHD_HTTP_BAD_REQUEST,
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
enum MHD_Result
node_operator_read(struct call *call, const char *path)
{
    if (call->node->fleet.leads_since == 0) {
        return redirect(call, path);
    }
    node_voter_read(call->node, suspend(call));
    return MHD_YES;
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
                                            NODE_HTTP_RETRY_S);
    }
    (void)g_hash_table_remove(node->calls, &token);
    library_microhttpd.resume(call->connection);
    node_poll_http(node);
}
