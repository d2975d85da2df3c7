/*
 * HTTP of an entry, by ulfius: requests of callers by their Host, and the
 * operators' pages under /.ridgeridge.
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

#define BODY_MAX (1024U * 1024)
#define DEADLINE_DEFAULT_MS 10000U

/* A question of an operator on its way to the loop's thread. */
struct question {
    struct entry *entry;
    uint64_t subject;
    const char *service;
    json_object *out;
    json_object *(*ask)(struct question *question);
};

/* A call on its way to the loop's thread. */
struct begin {
    struct entry *entry;
    struct entry_call *call;
    const char *host;
    bool found;
};

/* Writes a Host in lower case and without its port. */
static void
plain_host(const char *host, char *out, size_t size)
{
    size_t length = MIN(strcspn(host, ":"), size - 1);

    for (size_t i = 0; i < length; i++) {
        out[i] = g_ascii_tolower(host[i]);
    }
    out[length] = '\0';
}

/* Says whether a method may be repeated (RFC 9110, 9.2.1). */
static bool
is_safe(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
           strcmp(method, "OPTIONS") == 0;
}

/* Reads the deadline, an absolute time; the default when there is none. */
static void
read_deadline(const struct _u_request *request, struct request_spec *spec)
{
    const char *text =
        library_ulfius.map_get_case(request->map_header, "Request-Deadline");
    uint64_t now = loop_now();
    uint64_t wall = loop_wall();
    char *end = NULL;

    spec->wall_deadline = wall + DEADLINE_DEFAULT_MS;
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

/* Fills what the core needs to know of a request. */
static void
fill_spec(const struct _u_request *request, struct request_spec *spec)
{
    const char *key =
        library_ulfius.map_get_case(request->map_header, "Idempotency-Key");
    char host[BUNDLE_NAME_MAX + 1];
    char *head =
        g_strdup_printf("%s %s", request->http_verb, request->http_url);
    char caller[INET6_ADDRSTRLEN] = "";

    spec->safe = is_safe(request->http_verb);
    spec->keyed = !spec->safe && key != NULL && *key != '\0';
    if (spec->keyed) {
        plain_host(library_ulfius.map_get_case(request->map_header, "Host"),
                   host, sizeof(host));
        auth_hash_key(host, key, spec->key);
    }
    auth_hash_two(head, request->binary_body, request->binary_body_length,
                  spec->digest);
    if (request->client_address != NULL) {
        const struct sockaddr_in *from =
            (const struct sockaddr_in *)request->client_address;

        (void)inet_ntop(AF_INET, &from->sin_addr, caller, sizeof(caller));
    }
    if (!spec->keyed) {
        auth_hash_key(caller, head, spec->key);
    }
    spec->subject = hash_bytes(HASH_KEY, spec->key, WIRE_KEY);
    read_deadline(request, spec);
    g_free(head);
}

/* Begins a call, on the loop's thread. */
static void
on_begin(void *data)
{
    struct begin *begin = data;
    struct entry *entry = begin->entry;
    struct entry_call *call = begin->call;
    const struct bundle_service *service =
        entry_core_find_host(entry->core, begin->host);

    if (service == NULL) {
        return;
    }
    begin->found = true;
    g_strlcpy(call->service, service->name, sizeof(call->service));
    call->within_ms = service->objective.within_ms;
    call->spec.service = hash_name(service->name);
    call->spec.token = ++entry->next_token;
    g_hash_table_insert(entry->calls, &call->spec.token, call);
    entry_core_request(entry->core, loop_now(), loop_wall(), &call->spec);
    entry_act(entry);
}

/* Notes whether a request was good, on the loop's thread. */
static void
on_burn(void *data)
{
    struct begin *begin = data;
    bool good =
        begin->call->outcome.kind == WIRE_OUTCOME_ANSWERED && begin->found;

    burn_count(begin->entry->burn, begin->call->service, good);
    if (good) {
        counter_add(&begin->entry->counters, COUNTER_REQUESTS_IN_TIME, 1);
    }
}

/* Serves a request of a service; false when its Host has none. */
static bool
serve(struct entry *entry, const struct _u_request *request,
      struct _u_response *response, const char *host)
{
    struct entry_call call = {.answered = false};
    struct begin begin = {.entry = entry, .call = &call, .host = host};
    uint64_t started = loop_now();

    fill_spec(request, &call.spec);
    loop_call(on_begin, &begin);
    if (!begin.found) {
        return false;
    }
    entry_call_upstream(entry, &call, request, response);
    begin.found = loop_now() - started <= call.within_ms;
    loop_call(on_burn, &begin);
    g_free(call.outcome.body.body_val);
    return true;
}

/* Any request that is not an operator's. */
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
    if (g_atomic_int_add(&entry->held_calls, 1) >=
        (int)entry->settings.request_threads) {
        problem_fill(response, 503, ring_rule_name(RULE_QUEUE_FULL),
                     "this entry holds as many requests as its settings "
                     "allow",
                     "not-run", 1000);
        served = true;
    }
    else {
        served = serve(entry, request, response, host);
    }
    if (entry->core->stopping) {
        (void)library_ulfius.map_put(response->map_header, "Connection",
                                     "close");
    }
    (void)g_atomic_int_add(&entry->held_calls, -1);
    if (!served) {
        problem_fill(response, 404, ring_rule_name(RULE_NO_SERVICE),
                     "no request service has this Host", "not-run", 0);
    }
    return U_CALLBACK_COMPLETE;
}

/* Asks on the loop's thread. */
static void
on_question(void *data)
{
    struct question *question = data;

    question->out = question->ask(question);
}

/* Asks for the status. */
static json_object *
ask_status(struct question *question)
{
    return entry_status(question->entry);
}

/* Asks for decisions about a subject. */
static json_object *
ask_explain(struct question *question)
{
    return entry_explain(question->entry, question->subject);
}

/* Asks what would be decided now. */
static json_object *
ask_decide(struct question *question)
{
    return entry_decide(question->entry, question->service, question->subject);
}

/* Asks for the burn. */
static json_object *
ask_burn(struct question *question)
{
    return burn_json(question->entry->burn);
}

/* Serves one question of an operator. */
static int
serve_question(const struct _u_request *request, struct _u_response *response,
               struct entry *entry,
               json_object *(*ask)(struct question *question))
{
    const char *subject = library_ulfius.map_get(request->map_url, "subject");
    struct question question = {
        .entry = entry,
        .service = library_ulfius.map_get(request->map_url, "service"),
        .ask = ask};

    if (auth_operator(&entry->settings, request) == NULL) {
        problem_fill(response, 401, "unauthorized",
                     "send the operator's token as Authorization: Bearer",
                     NULL, 0);
        return U_CALLBACK_COMPLETE;
    }
    if (subject != NULL) {
        question.subject = strtoull(subject, NULL, 16);
    }
    loop_call(on_question, &question);
    page_json(response, question.out);
    return U_CALLBACK_COMPLETE;
}

/* The status page. */
static int
on_status(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    return serve_question(request, response, data, ask_status);
}

/* The page of recorded decisions. */
static int
on_explain(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    return serve_question(request, response, data, ask_explain);
}

/* The page of what would be decided now. */
static int
on_decide(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    return serve_question(request, response, data, ask_decide);
}

/* The page of the burn. */
static int
on_burn_page(const struct _u_request *request, struct _u_response *response,
             void *data)
{
    return serve_question(request, response, data, ask_burn);
}

/* The counters, as Prometheus text. */
static int
on_metrics(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct entry *entry = data;

    (void)request;
    page_counters(response, &entry->counters);
    return U_CALLBACK_COMPLETE;
}

/* The pages; the last takes all other paths. */
static const struct page_route routes[] = {
    {"GET", "/.ridgeridge", "/status", &on_status},
    {"GET", "/.ridgeridge", "/explain", &on_explain},
    {"GET", "/.ridgeridge", "/decide", &on_decide},
    {"GET", "/.ridgeridge", "/burn", &on_burn_page},
    {"GET", "/.ridgeridge", "/metrics", &on_metrics},
    {NULL, NULL, NULL, &on_request},
};

/* Opens HTTP. */
enum status_kind
entry_open_http(struct entry *entry, struct status *st)
{
    enum status_kind kind = page_open_http(&entry->http, &entry->settings,
                                           routes, BODY_MAX, entry, st);

    entry->http_open = kind == STATUS_OK;
    return kind;
}

/* Takes no new connections; those that are open are served on. */
void
entry_quiesce_http(struct entry *entry)
{
    MHD_socket listening = library_microhttpd.quiesce(entry->http.mhd_daemon);

    if (listening != MHD_INVALID_SOCKET) {
        (void)close(listening);
    }
}

/* Closes HTTP, after the last call was answered. */
void
entry_close_http(struct entry *entry)
{
    if (entry->http_open) {
        (void)library_ulfius.stop(&entry->http);
        library_ulfius.clean(&entry->http);
        entry->http_open = false;
    }
}
