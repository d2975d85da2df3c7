/*
 * Operators' requests to a node: submission of routing tables, orders that
 * drain data halls, and quorum reads. Only the leader handles them; other
 * nodes redirect to it.
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

#define REDIRECT_PATH_MAX 300 /* bytes */

/* Redirects to the leader; 503 when none is known. */
static enum MHD_Result
redirect_to_leader(struct http_request *request, const char *path)
{
    struct node *node = request->node;
    char address[ADDRESS_TEXT];
    char location[ADDRESS_TEXT + REDIRECT_PATH_MAX];
    struct MHD_Response *response;
    enum MHD_Result result;

    if (node->fleet.leader == 0 ||
        node->fleet.leader == node->fleet.self.address) {
        counter_add(&node->counters, COUNTER_TABLES_UNCONFIRMED, 1);
        log_event(LOG_WARN, "operator-unanswered", "path=%s reason=no-leader",
                  path);
        return node_http_respond_error(
            request, MHD_HTTP_SERVICE_UNAVAILABLE,
            "no leader is known; retry at any node");
    }
    (void)snprintf(location, sizeof(location), "http://%s%s",
                   address_format(node->fleet.leader,
                                  node->settings.control.port, address),
                   path);
    counter_add(&node->counters, COUNTER_REDIRECTS, 1);
    response =
        library_microhttpd.new_response(0, NULL, MHD_RESPMEM_PERSISTENT);
    (void)library_microhttpd.add_header(response, "Location", location);
    result = library_microhttpd.queue(request->connection,
                                      MHD_HTTP_TEMPORARY_REDIRECT, response);
    library_microhttpd.free_response(response);
    return result;
}

/* Suspends a request until the voter replies; returns its token. */
static uint64_t
suspend_request(struct http_request *request)
{
    struct node *node = request->node;

    request->token = ++node->last_token;
    g_hash_table_insert(node->pending_requests, &request->token, request);
    library_microhttpd.suspend(request->connection);
    return request->token;
}

enum MHD_Result
node_operator_submit(struct http_request *request, const char *path)
{
    struct node *node = request->node;
    struct status st = {STATUS_OK, ""};
    const char *text = (const char *)request->body->data;
    struct route_table *table =
        platform_read_table(text, request->body->len, &st);
    wire_routes packed = {0};
    uint64_t token;

    if (table == NULL) {
        counter_add(&node->counters, COUNTER_TABLES_INVALID, 1);
        log_event(LOG_WARN, "table-refused", "bytes=%u reason=\"%s\"",
                  request->body->len, st.message);
        return node_http_respond_error(request, MHD_HTTP_BAD_REQUEST,
                                       st.message);
    }
    packed.bundle_version = table->version;
    route_free(table);
    if (node->fleet.leads_since == 0) {
        return redirect_to_leader(request, path);
    }
    if (node_compress(text, request->body->len, &packed, &st) != STATUS_OK) {
        log_event(LOG_WARN, "table-not-packed", "bytes=%u reason=\"%s\"",
                  request->body->len, st.message);
        return node_http_respond_error(request,
                                       st.kind == STATUS_REFUSED
                                           ? MHD_HTTP_CONTENT_TOO_LARGE
                                           : MHD_HTTP_SERVICE_UNAVAILABLE,
                                       st.message);
    }
    request->kind = REQUEST_SUBMIT_TABLE;
    token = suspend_request(request);
    log_event(LOG_INFO, "table-received",
              "call=%llu version=%llu bytes=%u held=%llu",
              (unsigned long long)token,
              (unsigned long long)packed.bundle_version, request->body->len,
              (unsigned long long)node->fleet.routes.bundle_version);
    node_voter_submit_table(node, token, &packed);
    return MHD_YES;
}

/* Accepts any valid name, since the upstreams of a hall may be unknown here or
 * register later. */
enum MHD_Result
node_operator_set_hall(struct http_request *request, const char *path,
                       const char *hall, bool drained)
{
    struct node *node = request->node;
    struct hall_order order = {.drained = drained, .wall = loop_wall()};
    uint64_t token;

    if (!hall_is_name(hall)) {
        log_event(LOG_WARN, "hall-refused", "reason=\"invalid name\"");
        return node_http_respond_error(
            request, MHD_HTTP_BAD_REQUEST,
            "invalid data hall name in the path; use 1 to 63 printable "
            "characters without spaces, slashes and quotes");
    }
    if (node->fleet.leads_since == 0) {
        return redirect_to_leader(request, path);
    }
    g_strlcpy(order.hall, hall, sizeof(order.hall));
    request->kind = REQUEST_SET_HALL;
    token = suspend_request(request);
    log_event(LOG_INFO, "hall-ordered", "call=%llu hall=%s emptied=%d",
              (unsigned long long)token, hall, drained);
    node_voter_submit_hall(node, token, &order);
    return MHD_YES;
}

enum MHD_Result
node_operator_read(struct http_request *request, const char *path)
{
    if (request->node->fleet.leads_since == 0) {
        return redirect_to_leader(request, path);
    }
    node_voter_read_table(request->node, suspend_request(request));
    return MHD_YES;
}

/* The response body: a table, an error, or an empty object. */
static struct MHD_Response *
make_response(const struct status *status, const char *text, size_t length)
{
    struct MHD_Response *response;
    json_object *doc;

    if (text != NULL) {
        response = library_microhttpd.new_response(length, (void *)text,
                                                   MHD_RESPMEM_MUST_COPY);
    }
    else {
        doc = json_object_new_object();
        if (status->kind != STATUS_OK) {
            page_add_text(doc, "error", status->message);
        }
        response = library_microhttpd.new_response(
            strlen(json_object_to_json_string(doc)),
            (void *)json_object_to_json_string(doc), MHD_RESPMEM_MUST_COPY);
        json_object_put(doc);
    }
    (void)library_microhttpd.add_header(response, "Content-Type",
                                        "application/json");
    return response;
}

static unsigned
reply_status_code(bool ok, enum status_kind kind)
{
    if (ok) {
        return MHD_HTTP_OK;
    }
    return kind == STATUS_REFUSED ? MHD_HTTP_CONFLICT
                                  : MHD_HTTP_SERVICE_UNAVAILABLE;
}

void
node_complete_request(struct node *node, uint64_t token,
                      const struct status *status, const wire_routes *table)
{
    struct http_request *request =
        g_hash_table_lookup(node->pending_requests, &token);
    bool ok = status->kind == STATUS_OK;
    char *text = NULL;
    uint64_t latency_us =
        request != NULL ? loop_now_us() - request->started_us : 0;

    log_event(ok ? LOG_INFO : LOG_WARN, "operator-answered",
              "call=%llu result=%s took_ms=%llu reason=\"%s\"",
              (unsigned long long)token, status_name(status->kind),
              (unsigned long long)latency_us / 1000, status->message);
    if (request == NULL) {
        return;
    }
    if (!ok) {
        counter_add(&node->counters, COUNTER_TABLES_UNCONFIRMED, 1);
    }
    else if (request->kind != REQUEST_READ_TABLE) {
        counter_add(&node->counters,
                    request->kind == REQUEST_SUBMIT_TABLE
                        ? COUNTER_TABLES_ACKNOWLEDGED
                        : COUNTER_HALL_ORDERS,
                    1);
    }
    histogram_add(&node->histograms, HISTOGRAM_OPERATOR, latency_us);
    if (ok && table != NULL) {
        /* A read before the first submission fails. */
        text = table->bundle_version != 0 ? node_decompress(table) : NULL;
        ok = text != NULL;
    }
    request->status_code = reply_status_code(ok, status->kind);
    request->response =
        make_response(status, text, text != NULL ? table->length : 0);
    g_free(text);
    if (!ok) {
        (void)library_microhttpd.add_header(request->response, "Retry-After",
                                            NODE_HTTP_RETRY_AFTER_S);
    }
    (void)g_hash_table_remove(node->pending_requests, &token);
    library_microhttpd.resume(request->connection);
    node_poll_http(node);
}
