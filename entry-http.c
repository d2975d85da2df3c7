/*
 * HTTP server of an entry (ulfius): requests of callers, routed by Host, and
 * the operators' pages under /.ridgeridge.
 */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "auth.h"
#include "burn.h"
#include "entry.h"
#include "hash.h"
#include "library.h"
#include "log.h"
#include "loop.h"
#include "page.h"
#include "problem.h"

#define BODY_MAX (1024U * 1024) /* bytes of a request */
#define DEFAULT_DEADLINE_MS 10000U

/* An operator's request, passed to the event loop's thread. */
struct operator_query {
    struct entry *entry;
    uint64_t subject;
    const char *service;
    json_object *result;
    json_object *(*run)(struct operator_query *query);
};

/* Start or end of a transaction, passed to the event loop's thread. */
struct transaction_event {
    struct entry *entry;
    struct entry_transaction *txn;
    const char *host;
    bool ok; /* start: service found; end: within its latency objective */
};

/* Lower case, without the port. */
static void
normalize_host(const char *host, char *out, size_t size)
{
    size_t length = MIN(strcspn(host, ":"), size - 1);

    for (size_t i = 0; i < length; i++) {
        out[i] = g_ascii_tolower(host[i]);
    }
    out[length] = '\0';
}

/* Safe methods (RFC 9110, 9.2.1). */
static bool
is_safe(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
           strcmp(method, "OPTIONS") == 0;
}

/* Request-Deadline is ms since 1970; an invalid one becomes UINT64_MAX, which
 * the core refuses. */
static void
parse_deadline(const struct _u_request *request, struct request_spec *spec)
{
    const char *text =
        library_ulfius.map_get_case(request->map_header, "Request-Deadline");
    uint64_t now = loop_now();
    uint64_t wall = loop_wall();
    char *end = NULL;

    spec->wall_deadline = wall + DEFAULT_DEADLINE_MS;
    if (text != NULL) {
        spec->wall_deadline = strtoull(text, &end, 10);
        if (*text == '\0' || *end != '\0') {
            spec->wall_deadline = UINT64_MAX;
        }
    }
    spec->deadline = now;
    if (spec->wall_deadline > wall) {
        spec->deadline = now + MIN(spec->wall_deadline - wall,
                                   (uint64_t)CLAIM_DEADLINE_MAX_MS * 2);
    }
}

static void
parse_request(const struct _u_request *request, struct request_spec *spec)
{
    const char *key =
        library_ulfius.map_get_case(request->map_header, "Idempotency-Key");
    char host[BUNDLE_NAME_MAX + 1];
    char *request_line =
        g_strdup_printf("%s %s", request->http_verb, request->http_url);
    char caller[INET6_ADDRSTRLEN] = "";

    spec->safe = is_safe(request->http_verb);
    spec->keyed = !spec->safe && key != NULL && *key != '\0';
    if (spec->keyed) {
        normalize_host(
            library_ulfius.map_get_case(request->map_header, "Host"), host,
            sizeof(host));
        auth_hash_request_key(host, key, spec->key);
    }
    auth_hash_labelled(request_line, request->binary_body,
                       request->binary_body_length, spec->digest);
    if (request->client_address != NULL) {
        const struct sockaddr_in *address =
            (const struct sockaddr_in *)request->client_address;

        (void)inet_ntop(AF_INET, &address->sin_addr, caller, sizeof(caller));
    }
    if (!spec->keyed) {
        auth_hash_request_key(caller, request_line, spec->key);
    }
    spec->subject = hash_bytes(HASH_KEY, spec->key, WIRE_KEY);
    parse_deadline(request, spec);
    g_free(request_line);
}

/* Starts a request at the core; runs on the event loop's thread. */
static void
on_started(void *data)
{
    struct transaction_event *event = data;
    struct entry *entry = event->entry;
    struct entry_transaction *txn = event->txn;
    const struct bundle_service *service =
        entry_core_find_host(entry->core, event->host);

    if (service == NULL) {
        return;
    }
    event->ok = true;
    g_strlcpy(txn->service, service->name, sizeof(txn->service));
    txn->objective_ms = service->objective.within_ms;
    txn->spec.service = hash_name(service->name);
    txn->spec.token = ++entry->last_token;
    g_hash_table_insert(entry->transactions, &txn->spec.token, txn);
    entry_core_start_request(entry->core, loop_now(), loop_wall(), &txn->spec);
    entry_run_actions(entry);
}

/* Counts a good or bad event for the burn rate; runs on the event loop's
 * thread. */
static void
on_finished(void *data)
{
    struct transaction_event *event = data;
    bool good = event->txn->outcome.kind == WIRE_OUTCOME_ANSWERED && event->ok;

    burn_count(event->entry->burn, event->txn->service, good);
    if (good) {
        counter_add(&event->entry->counters, COUNTER_REQUESTS_IN_TIME, 1);
    }
}

/* False when no service has this Host. */
static bool
serve_request(struct entry *entry, const struct _u_request *request,
              struct _u_response *response, const char *host)
{
    struct entry_transaction txn = {.answered = false};
    struct transaction_event event = {
        .entry = entry, .txn = &txn, .host = host};
    uint64_t started = loop_now();

    parse_request(request, &txn.spec);
    loop_call(on_started, &event);
    if (!event.ok) {
        return false;
    }
    entry_proxy_request(entry, &txn, request, response);
    event.ok = loop_now() - started <= txn.objective_ms;
    loop_call(on_finished, &event);
    g_free(txn.outcome.body.body_val);
    return true;
}

/* Serves callers' requests. */
static int
on_request(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct entry *entry = data;
    const char *host =
        library_ulfius.map_get_case(request->map_header, "Host");
    bool served = false;

    if (host == NULL || request->http_url == NULL ||
        request->http_url[0] != '/') {
        counter_add(&entry->counters, COUNTER_HTTP_MALFORMED, 1);
        problem_fill(response, 400, "bad-request",
                     "send HTTP/1.1 with a Host and an absolute path",
                     "not-run", 0);
        return U_CALLBACK_COMPLETE;
    }
    if (g_atomic_int_add(&entry->open_transactions, 1) >=
        (int)entry->settings.request_threads) {
        problem_fill(response, 503, ring_rule_name(RULE_QUEUE_FULL),
                     "all request_threads of this entry are busy; retry "
                     "later",
                     "not-run", 1000);
        served = true;
    }
    else {
        served = serve_request(entry, request, response, host);
    }
    if (entry->core->stopping) {
        (void)library_ulfius.map_put(response->map_header, "Connection",
                                     "close");
    }
    (void)g_atomic_int_add(&entry->open_transactions, -1);
    if (!served) {
        problem_fill(response, 404, ring_rule_name(RULE_NO_SERVICE),
                     "no request service has this Host", "not-run", 0);
    }
    return U_CALLBACK_COMPLETE;
}

/* Runs on the event loop's thread. */
static void
on_query(void *data)
{
    struct operator_query *query = data;

    query->result = query->run(query);
}

static json_object *
query_status(struct operator_query *query)
{
    return entry_status(query->entry);
}

static json_object *
query_explain(struct operator_query *query)
{
    return entry_explain(query->entry, query->subject);
}

static json_object *
query_decide(struct operator_query *query)
{
    return entry_decide(query->entry, query->service, query->subject);
}

static json_object *
query_burn(struct operator_query *query)
{
    return burn_json(query->entry->burn);
}

/* Serves an operator's request after checking the bearer token. */
static int
serve_query(const struct _u_request *request, struct _u_response *response,
            struct entry *entry,
            json_object *(*run)(struct operator_query *query))
{
    const char *subject = library_ulfius.map_get(request->map_url, "subject");
    struct operator_query query = {
        .entry = entry,
        .service = library_ulfius.map_get(request->map_url, "service"),
        .run = run};

    if (auth_find_operator(&entry->settings, request) == NULL) {
        problem_fill(response, 401, "unauthorized",
                     "send the operator's token as Authorization: Bearer",
                     NULL, 0);
        return U_CALLBACK_COMPLETE;
    }
    if (subject != NULL) {
        query.subject = strtoull(subject, NULL, 16);
    }
    loop_call(on_query, &query);
    page_send_json(response, query.result);
    return U_CALLBACK_COMPLETE;
}

static int
on_status(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    return serve_query(request, response, data, query_status);
}

static int
on_explain(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    return serve_query(request, response, data, query_explain);
}

static int
on_decide(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    return serve_query(request, response, data, query_decide);
}

static int
on_burn_page(const struct _u_request *request, struct _u_response *response,
             void *data)
{
    return serve_query(request, response, data, query_burn);
}

/* Prometheus text format; needs no token. */
static int
on_metrics(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct entry *entry = data;

    (void)request;
    page_send_metrics(response, &entry->counters);
    return U_CALLBACK_COMPLETE;
}

/* The last route matches all other paths. */
static const struct page_route routes[] = {
    {"GET", "/.ridgeridge", "/status", &on_status},
    {"GET", "/.ridgeridge", "/explain", &on_explain},
    {"GET", "/.ridgeridge", "/decide", &on_decide},
    {"GET", "/.ridgeridge", "/burn", &on_burn_page},
    {"GET", "/.ridgeridge", "/metrics", &on_metrics},
    {NULL, NULL, NULL, &on_request},
};

enum status_kind
entry_open_http(struct entry *entry, struct status *st)
{
    enum status_kind kind = page_start_http(&entry->http, &entry->settings,
                                            routes, BODY_MAX, entry, st);

    entry->http_open = kind == STATUS_OK;
    return kind;
}

/* Closes the listening socket; open connections are still served. */
void
entry_quiesce_http(struct entry *entry)
{
    MHD_socket listening = library_microhttpd.quiesce(entry->http.mhd_daemon);

    if (listening != MHD_INVALID_SOCKET) {
        (void)close(listening);
    }
}

/* Called once no request is in progress. */
void
entry_close_http(struct entry *entry)
{
    if (entry->http_open) {
        (void)library_ulfius.stop(&entry->http);
        library_ulfius.clean(&entry->http);
        entry->http_open = false;
    }
}
