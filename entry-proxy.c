/*
 * One caller's request on its own thread: the call of the upstream by
 * libcurl, and the answer. Decides nothing; the core does.
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

#define ANSWER_MAX (8U * 1024 * 1024)
#define CONNECT_MS 1000L
#define WAIT_SLICE_MS 50
#define HANDED_HEADER "Ridgeridge-Handed" /* not handed on once more */
#define HTTP_SHED 429L /* RFC 6585: refused before it was processed */

/* What a call of an upstream brings back. */
struct upstream_reply {
    GByteArray *body;
    char content_type[128];
    long status;
};

/* A result on its way to the loop's thread. */
struct upstream_event {
    struct entry *entry;
    uint64_t token;
    enum gate_result result;
    struct upstream_reply *reply;
};

/* Gathers the body; ends the call when it is too large. */
static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    struct upstream_reply *reply = data;

    if (reply->body->len + size * count > ANSWER_MAX) {
        return 0;
    }
    g_byte_array_append(reply->body, (guint8 *)bytes, (guint)(size * count));
    return size * count;
}

/* Ends the call when the core cancelled it. */
static int
on_progress(void *data, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
    struct entry_call *call = data;
    bool aborted;

    (void)a;
    (void)b;
    (void)c;
    (void)d;
    g_mutex_lock(&call->lock);
    aborted = call->aborted;
    g_mutex_unlock(&call->lock);
    return aborted;
}

/* Copies a header of the caller, when it is there. */
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

/* Lists the headers that go to the upstream. */
static struct curl_slist *
make_headers(const struct entry_call *call, const struct _u_request *request)
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
                   (unsigned long long)call->spec.wall_deadline);
    list = library_curl.list_append(list, line);
    if (call->handed) {
        list = library_curl.list_append(list, HANDED_HEADER ": 1");
    }
    return library_curl.list_append(list, "Expect:");
}

/* Tells what a finished call proves. */
static enum gate_result
judge(CURLcode code, long status)
{
    switch (code) {
    case CURLE_OK:
        return status == HTTP_SHED ? GATE_SHED : GATE_ANSWERED;
    case CURLE_COULDNT_CONNECT:
        return GATE_REFUSED;
    default:
        return GATE_FAILED;
    }
}

/* Sets what a call needs. */
static void
set_options(CURL *curl, const struct entry_call *call,
            const struct _u_request *request, struct upstream_reply *reply,
            const char *url)
{
    uint64_t now = loop_now();
    long left = call->deadline > now ? (long)(call->deadline - now) : 1;

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
    (void)library_curl.setopt(curl, CURLOPT_XFERINFODATA, call);
    (void)library_curl.setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
    (void)library_curl.setopt(curl, CURLOPT_TIMEOUT_MS, left);
    (void)library_curl.setopt(curl, CURLOPT_NOSIGNAL, 1L);
    (void)library_curl.setopt(curl, CURLOPT_PATH_AS_IS, 1L);
    (void)library_curl.setopt(curl, CURLOPT_FORBID_REUSE, 1L);
}

/* Calls the upstream and waits for its answer. */
static enum gate_result
perform(const struct entry_call *call, const struct _u_request *request,
        struct upstream_reply *reply)
{
    struct curl_slist *headers = make_headers(call, request);
    CURL *curl = library_curl.init();
    char *type = NULL;
    CURLcode code;
    char endpoint[ADDRESS_TEXT];
    char *url = g_strconcat(
        "http://", address_format(call->address, call->port, endpoint),
        request->http_url, NULL);

    set_options(curl, call, request, reply, url);
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
    return judge(code, reply->status);
}

/* Hands a result to the core. */
static void
on_result(void *data)
{
    struct upstream_event *event = data;
    struct request_response reply = {
        .status = (uint32_t)event->reply->status,
        .content_type = event->reply->content_type,
        .body = (const char *)event->reply->body->data,
        .length = event->reply->body->len};

    entry_core_upstream(event->entry->core, loop_now(), loop_wall(),
                        event->token, event->result, &reply);
    entry_act(event->entry);
}

/* Waits until the core dispatches or answers. */
static bool
wait_for_core(struct entry_call *call)
{
    bool dispatch;

    g_mutex_lock(&call->lock);
    while (!call->answered && !call->dispatch) {
        g_cond_wait(&call->changed, &call->lock);
    }
    dispatch = !call->answered;
    call->dispatch = false;
    g_mutex_unlock(&call->lock);
    return dispatch;
}

/* Gives the caller a whole answer that was just received. */
static void
answer_directly(const struct upstream_reply *reply,
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

/* Gives the caller a recorded answer. */
static void
answer_recorded(const wire_outcome *outcome, struct _u_response *response)
{
    if (!outcome->whole) {
        problem_fill(response, 409, "answer-not-kept",
                     "the request ran and was answered; its answer was too "
                     "large to be recorded, so read the result instead",
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

/* HTTP status of a refusal. */
static unsigned
refusal_status(const struct entry_call *call)
{
    if (call->outcome.kind == WIRE_OUTCOME_UNKNOWN) {
        return 504;
    }
    switch (call->rule) {
    case RULE_NO_KEY:
    case RULE_BAD_DEADLINE:
        return 400;
    case RULE_KEY_CONFLICT:
        return 422;
    default:
        return 503;
    }
}

/* Gives the caller a refusal. */
void
entry_answer(const struct entry_call *call, struct _u_response *response)
{
    bool not_run = call->outcome.kind == WIRE_OUTCOME_NOT_RUN;

    problem_fill(response, refusal_status(call), ring_rule_name(call->rule),
                 ring_rule_help(call->rule), not_run ? "not-run" : "unknown",
                 call->outcome.retry_ms);
}

/* A peer on its way from the loop's thread. */
struct peer_choice {
    struct entry *entry;
    uint64_t key;
    uint32_t address;
    uint16_t port; /* 0: there is none */
};

/* Picks a peer for a request, on the loop's thread. */
static void
on_choose_peer(void *data)
{
    struct peer_choice *choice = data;
    const struct entry_core *core = choice->entry->core;
    const struct member *peer =
        member_other(&core->active, choice->key, core->self.id);

    if (peer != NULL) {
        choice->address = peer->address;
        choice->port = peer->http;
    }
}

/* Hands a request to a peer, since this entry has no lease. The key and the
 * deadline go along, so it still runs at most once. */
static bool
hand_to_peer(struct entry *entry, struct entry_call *call,
             const struct _u_request *request, struct upstream_reply *reply,
             struct _u_response *response)
{
    struct peer_choice choice = {.entry = entry, .key = call->spec.subject};

    if (call->rule != RULE_NO_LEASE ||
        library_ulfius.map_get_case(request->map_header, HANDED_HEADER) !=
            NULL) {
        return false;
    }
    loop_call(on_choose_peer, &choice);
    if (choice.port == 0) {
        return false;
    }
    call->address = choice.address;
    call->port = choice.port;
    call->deadline = call->spec.deadline;
    call->handed = true;
    g_byte_array_set_size(reply->body, 0);
    if (perform(call, request, reply) == GATE_REFUSED || reply->status == 0) {
        return false;
    }
    answer_directly(reply, response);
    return true;
}

/* Drives one request from dispatch to answer. */
void
entry_call_upstream(struct entry *entry, struct entry_call *call,
                    const struct _u_request *request,
                    struct _u_response *response)
{
    struct upstream_reply reply = {.body = g_byte_array_new()};

    while (wait_for_core(call)) {
        struct upstream_event event = {
            .entry = entry, .token = call->spec.token, .reply = &reply};

        g_byte_array_set_size(reply.body, 0);
        event.result = perform(call, request, &reply);
        loop_call(on_result, &event);
    }
    if (hand_to_peer(entry, call, request, &reply, response)) {
        call->outcome.kind = WIRE_OUTCOME_ANSWERED;
    }
    else if (call->outcome.kind != WIRE_OUTCOME_ANSWERED) {
        entry_answer(call, response);
    }
    else if (call->rule == RULE_UPSTREAM_ANSWERED) {
        answer_directly(&reply, response);
    }
    else {
        answer_recorded(&call->outcome, response);
    }
    g_byte_array_unref(reply.body);
}
