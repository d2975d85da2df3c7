/*
 * HTTP reverse proxy: runs one caller's request on its HTTP thread. The core
 * chooses the upstream; libcurl sends the request to it.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "address.h"
#include "entry.h"
#include "library.h"
#include "log.h"
#include "loop.h"
#include "problem.h"

#define RESPONSE_MAX (8U * 1024 * 1024) /* bytes of a body */
#define CONNECT_TIMEOUT_MS 1000L
#define WAIT_SLICE_MS 50
#define FORWARDED_HEADER "Ridgeridge-Handed" /* sent at most one hop */
#define HTTP_TOO_MANY_REQUESTS 429L          /* RFC 6585 */

struct upstream_response {
    GByteArray *body;
    char content_type[128];
    long status;
};

/* Result of an upstream, passed to the event loop's thread. */
struct upstream_event {
    struct entry *entry;
    uint64_t token;
    enum gate_result result;
    struct upstream_response *reply;
};

/* Appends to the body; aborts the transfer above RESPONSE_MAX bytes. */
static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    struct upstream_response *reply = data;

    if (reply->body->len + size * count > RESPONSE_MAX) {
        return 0;
    }
    g_byte_array_append(reply->body, (guint8 *)bytes, (guint)(size * count));
    return size * count;
}

/* Aborts the transfer after ENTRY_ABORT. */
static int
on_progress(void *data, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
    struct entry_transaction *txn = data;
    bool aborted;

    (void)a;
    (void)b;
    (void)c;
    (void)d;
    g_mutex_lock(&txn->lock);
    aborted = txn->aborted;
    g_mutex_unlock(&txn->lock);
    return aborted;
}

/* Copies one of the caller's headers if present and free of line breaks. */
static struct curl_slist *
copy_header(struct curl_slist *list, const struct _u_request *request,
            const char *name)
{
    const char *value = library_ulfius.map_get_case(request->map_header, name);
    char line[1024];

    if (value == NULL || strpbrk(value, "\r\n") != NULL) {
        return list;
    }
    (void)snprintf(line, sizeof(line), "%s: %s", name, value);
    return library_curl.list_append(list, line);
}

static struct curl_slist *
upstream_headers(const struct entry_transaction *txn,
                 const struct _u_request *request)
{
    static const char *const copied[] = {
        "Host",          "Content-Type",    "Accept",
        "Authorization", "Idempotency-Key", "Cookie"};
    struct curl_slist *list = NULL;
    char line[64];

    for (size_t i = 0; i < G_N_ELEMENTS(copied); i++) {
        list = copy_header(list, request, copied[i]);
    }
    (void)snprintf(line, sizeof(line), "Request-Deadline: %llu",
                   (unsigned long long)txn->spec.wall_deadline);
    list = library_curl.list_append(list, line);
    if (txn->forwarded) {
        list = library_curl.list_append(list, FORWARDED_HEADER ": 1");
    }
    return library_curl.list_append(list, "Expect:");
}

/* Only a refused connection or status 429 proves that the upstream did not
 * execute the request. */
static enum gate_result
classify_result(CURLcode code, long status)
{
    switch (code) {
    case CURLE_OK:
        return status == HTTP_TOO_MANY_REQUESTS ? GATE_SHED : GATE_ANSWERED;
    case CURLE_COULDNT_CONNECT:
        return GATE_REFUSED;
    default:
        return GATE_FAILED;
    }
}

static void
set_options(CURL *curl, const struct entry_transaction *txn,
            const struct _u_request *request, struct upstream_response *reply,
            const char *url)
{
    uint64_t now = loop_now();
    long timeout_ms = txn->deadline > now ? (long)(txn->deadline - now) : 1;

    (void)library_curl.setopt(curl, CURLOPT_URL, url);
    (void)library_curl.setopt(curl, CURLOPT_CUSTOMREQUEST, request->http_verb);
    if (request->binary_body_length > 0) {
        (void)library_curl.setopt(curl, CURLOPT_POSTFIELDS,
                                  (char *)request->binary_body);
        (void)library_curl.setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                                  (curl_off_t)request->binary_body_length);
    }
    if (strcmp(request->http_verb, "HEAD") == 0) {
        (void)library_curl.setopt(curl, CURLOPT_NOBODY, 1L);
    }
    (void)library_curl.setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)library_curl.setopt(curl, CURLOPT_WRITEDATA, reply);
    (void)library_curl.setopt(curl, CURLOPT_NOPROGRESS, 0L);
    (void)library_curl.setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
    (void)library_curl.setopt(curl, CURLOPT_XFERINFODATA, txn);
    (void)library_curl.setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                              CONNECT_TIMEOUT_MS);
    (void)library_curl.setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    (void)library_curl.setopt(curl, CURLOPT_NOSIGNAL, 1L);
    (void)library_curl.setopt(curl, CURLOPT_PATH_AS_IS, 1L);
    (void)library_curl.setopt(curl, CURLOPT_FORBID_REUSE, 1L);
}

/* Sends the request to the upstream or peer and waits for the response. */
static enum gate_result
send_request(const struct entry_transaction *txn,
             const struct _u_request *request, struct upstream_response *reply)
{
    struct curl_slist *headers = upstream_headers(txn, request);
    CURL *curl = library_curl.init();
    char *type = NULL;
    CURLcode code;
    char endpoint[ADDRESS_TEXT];
    char *url = g_strconcat("http://",
                            address_format(txn->address, txn->port, endpoint),
                            request->http_url, NULL);

    set_options(curl, txn, request, reply, url);
    (void)library_curl.setopt(curl, CURLOPT_HTTPHEADER, headers);
    code = library_curl.perform(curl);
    (void)library_curl.getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
    (void)library_curl.getinfo(curl, CURLINFO_CONTENT_TYPE, &type);
    if (type != NULL) {
        g_strlcpy(reply->content_type, type, sizeof(reply->content_type));
    }
    library_curl.cleanup(curl);
    library_curl.list_free(headers);
    g_free(url);
    return classify_result(code, reply->status);
}

/* Passes a result to the core, on the event loop's thread. */
static void
on_result(void *data)
{
    struct upstream_event *event = data;
    struct request_response reply = {
        .status = (uint32_t)event->reply->status,
        .content_type = event->reply->content_type,
        .body = (const char *)event->reply->body->data,
        .length = event->reply->body->len};

    entry_core_handle_response(event->entry->core, loop_now(), loop_wall(),
                               event->token, event->result, &reply);
    entry_run_actions(event->entry);
}

/* Waits for the core; true when it dispatched the request to an upstream. */
static bool
wait_for_core(struct entry_transaction *txn)
{
    bool dispatch;

    g_mutex_lock(&txn->lock);
    while (!txn->answered && !txn->dispatch) {
        g_cond_wait(&txn->changed, &txn->lock);
    }
    dispatch = !txn->answered;
    txn->dispatch = false;
    g_mutex_unlock(&txn->lock);
    return dispatch;
}

static void
respond_upstream(const struct upstream_response *reply,
                 struct _u_response *response)
{
    (void)library_ulfius.set_body(response, (unsigned)reply->status,
                                  (const char *)reply->body->data,
                                  reply->body->len);
    if (reply->content_type[0] != '\0') {
        (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                     reply->content_type);
    }
}

/* Replays the response recorded for an Idempotency-Key. */
static void
respond_recorded(const wire_outcome *outcome, struct _u_response *response)
{
    if (!outcome->whole) {
        problem_fill(response, 409, "answer-not-kept",
                     "the request was executed, but its response was too "
                     "large to record; read the resulting state instead",
                     "answered", 0);
        return;
    }
    (void)library_ulfius.set_body(response, outcome->status,
                                  outcome->body.body_val,
                                  outcome->body.body_len);
    if (outcome->content_type[0] != '\0') {
        (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                     outcome->content_type);
    }
    (void)library_ulfius.map_put(response->map_header, "Idempotency-Replayed",
                                 "true");
}

static unsigned
refusal_status(const struct entry_transaction *txn)
{
    if (txn->outcome.kind == WIRE_OUTCOME_UNKNOWN) {
        return 504;
    }
    switch (txn->rule) {
    case RULE_NO_KEY:
    case RULE_BAD_DEADLINE:
        return 400;
    case RULE_KEY_CONFLICT:
        return 422;
    default:
        return 503;
    }
}

/* Sends an RFC 9457 problem document with the rule that refused. */
void
entry_respond_refused(const struct entry_transaction *txn,
                      struct _u_response *response)
{
    bool not_run = txn->outcome.kind == WIRE_OUTCOME_NOT_RUN;

    problem_fill(response, refusal_status(txn), ring_rule_name(txn->rule),
                 ring_rule_help(txn->rule), not_run ? "not-run" : "unknown",
                 txn->outcome.retry_ms);
}

/* Peer chosen for a request that this entry cannot run. */
struct peer_choice {
    struct entry *entry;
    uint64_t key;
    uint32_t address;
    uint16_t port; /* 0: no other entry */
};

/* Runs on the event loop's thread. */
static void
on_choose_peer(void *data)
{
    struct peer_choice *choice = data;
    const struct entry_core *core = choice->entry->core;
    const struct member *peer =
        member_find_peer(&core->active_members, choice->key, core->self.id);

    if (peer != NULL) {
        choice->address = peer->address;
        choice->port = peer->http;
    }
}

/* Forwards a request to a peer while this entry has no lease. The peer gets
 * the same key and deadline, so the request still runs at most once. */
static bool
forward_to_peer(struct entry *entry, struct entry_transaction *txn,
                const struct _u_request *request,
                struct upstream_response *reply, struct _u_response *response)
{
    struct peer_choice choice = {.entry = entry, .key = txn->spec.subject};

    if (txn->rule != RULE_NO_LEASE ||
        library_ulfius.map_get_case(request->map_header, FORWARDED_HEADER) !=
            NULL) {
        return false;
    }
    loop_call(on_choose_peer, &choice);
    if (choice.port == 0) {
        return false;
    }
    txn->address = choice.address;
    txn->port = choice.port;
    txn->deadline = txn->spec.deadline;
    txn->forwarded = true;
    g_byte_array_set_size(reply->body, 0);
    if (send_request(txn, request, reply) == GATE_REFUSED ||
        reply->status == 0) {
        return false;
    }
    respond_upstream(reply, response);
    return true;
}

/* Runs one request until the caller has a response. */
void
entry_proxy_request(struct entry *entry, struct entry_transaction *txn,
                    const struct _u_request *request,
                    struct _u_response *response)
{
    struct upstream_response reply = {.body = g_byte_array_new()};

    while (wait_for_core(txn)) {
        struct upstream_event event = {
            .entry = entry, .token = txn->spec.token, .reply = &reply};

        g_byte_array_set_size(reply.body, 0);
        event.result = send_request(txn, request, &reply);
        loop_call(on_result, &event);
    }
    if (forward_to_peer(entry, txn, request, &reply, response)) {
        txn->outcome.kind = WIRE_OUTCOME_ANSWERED;
    }
    else if (txn->outcome.kind != WIRE_OUTCOME_ANSWERED) {
        entry_respond_refused(txn, response);
    }
    else if (txn->rule == RULE_UPSTREAM_ANSWERED) {
        respond_upstream(&reply, response);
    }
    else {
        respond_recorded(&txn->outcome, response);
    }
    g_byte_array_unref(reply.body);
}
