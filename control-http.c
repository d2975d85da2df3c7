/*
 * The operators' HTTP/JSON API of a control VM (ulfius): submit, sign off,
 * status, bundle, voters, metrics. Requests are authenticated and validated
 * here before the event loop's thread passes them to the core.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "auth.h"
#include "bundle.h"
#include "control.h"
#include "library.h"
#include "loop.h"
#include "page.h"
#include "problem.h"

#define BODY_MAX (5U * 1024 * 1024) /* bytes */
#define SUBMISSION_MAX 63           /* bytes of a submission id */

/* Body of POST /v1/sign-offs. */
struct sign_off_body {
    uint64_t version;
    unsigned char digest[WIRE_DIGEST];
    unsigned char signature[WIRE_SIGNATURE];
};

/* Body of POST /v1/voters. */
struct voters_body {
    uint64_t replica;
    uint64_t remove;
};

#define AT(field) offsetof(struct sign_off_body, field)
static const struct schema_field sign_off_fields[] = {
    {.key = "version",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 1,
     .max = INT64_MAX,
     .offset = AT(version),
     .help = "give the version of the pending bundle"},
    {.key = "digest",
     .type = SCHEMA_HEX,
     .required = true,
     .min = WIRE_DIGEST,
     .max = WIRE_DIGEST,
     .offset = AT(digest),
     .help = "give the SHA-256 from `ridgeridge status`"},
    {.key = "signature",
     .type = SCHEMA_HEX,
     .required = true,
     .min = WIRE_SIGNATURE,
     .max = WIRE_SIGNATURE,
     .offset = AT(signature),
     .help = "sign with `ridgeridge sign-off`"},
    {.key = NULL},
};
#undef AT
static const struct schema sign_off_schema = {.name = "sign-off",
                                              .size =
                                                  sizeof(struct sign_off_body),
                                              .fields = sign_off_fields};

#define AT(field) offsetof(struct voters_body, field)
static const struct schema_field voters_fields[] = {
    {.key = "replica",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 1,
     .max = CONS_VOTERS_MAX,
     .offset = AT(replica),
     .help = "give the id of a control VM from the settings"},
    {.key = "remove",
     .type = SCHEMA_UINT,
     .max = 1,
     .offset = AT(remove),
     .help = "give 1 to remove the voter, 0 to add it"},
    {.key = NULL},
};
#undef AT
static const struct schema voters_schema = {.name = "voters",
                                            .size = sizeof(struct voters_body),
                                            .fields = voters_fields};

/* A request that an HTTP thread passes to the event loop's thread. */
struct operator_request {
    struct control *control;
    struct control_waiter waiter;
    enum control_request_kind kind;
    wire_submit submit;
    wire_sign_off sign_off;
    struct voters_body voters;
    struct bundle *bundle;   /* SUBMIT: parsed */
    json_object *status_doc; /* READ: set by read_state_on_loop() */
    char *bundle_text;       /* READ: set by read_state_on_loop() */
};

/* Refuses a bundle that may not succeed the current one. One with another base
 * fails the compare-and-set when it is applied. */
static bool
check_successor(struct operator_request *req)
{
    const wire_control_state *state = &req->control->core.state;

    return req->submit.base != state->current ||
           control_state_check_bundle(state, loop_wall(), req->bundle,
                                      &req->waiter.status) == STATUS_OK;
}

/* Identity in the last reply of a replica to this leader; 0 if unknown. */
static uint64_t
reported_identity(const struct control *control, uint32_t replica)
{
    const struct cons *cons = &control->core.cons;

    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == replica) {
            return replica == cons->self ? cons->identity
                                         : cons->peers[i].identity;
        }
    }
    return 0;
}

/* Refuses to add a replica that never replied to this leader. */
static bool
check_voter(struct operator_request *req)
{
    const struct cons *cons = &req->control->core.cons;
    uint32_t replica = (uint32_t)req->voters.replica;

    if (req->voters.remove || cons->role != CONS_LEADER ||
        reported_identity(req->control, replica) != 0) {
        return true;
    }
    (void)status_set(&req->waiter.status, STATUS_REFUSED,
                     "control VM %u never replied to the leader; list it in "
                     "the settings, start it, then add it",
                     replica);
    return false;
}

static void
change_voters(struct operator_request *req, uint64_t token)
{
    uint32_t replica = (uint32_t)req->voters.replica;
    uint64_t identity = reported_identity(req->control, replica);

    control_core_change_voters(&req->control->core, loop_now(), token, replica,
                               req->voters.remove ? 0 : identity);
}

/* Event loop's thread: validates the request and passes it to the core. */
static void
submit_on_loop(void *data)
{
    struct operator_request *req = data;
    struct control *control = req->control;
    uint64_t now = loop_now();
    uint64_t *token = g_new(uint64_t, 1);

    if ((req->kind == CONTROL_REQUEST_SUBMIT && !check_successor(req)) ||
        (req->kind == CONTROL_REQUEST_VOTERS && !check_voter(req))) {
        req->waiter.done = true;
        g_free(token);
        return;
    }
    *token = ++control->next_token;
    g_hash_table_insert(control->waiters, token, &req->waiter);
    switch (req->kind) {
    case CONTROL_REQUEST_SUBMIT:
        control_core_submit(&control->core, now, *token, &req->submit);
        break;
    case CONTROL_REQUEST_SIGN_OFF:
        control_core_sign_off(&control->core, now, *token, &req->sign_off);
        break;
    case CONTROL_REQUEST_READ:
        control_core_read(&control->core, now, *token);
        break;
    case CONTROL_REQUEST_VOTERS:
        change_voters(req, *token);
        break;
    }
    control_run_actions(control);
}

/* Event loop's thread: copies status and bundle for the HTTP thread. */
static void
read_state_on_loop(void *data)
{
    struct operator_request *req = data;

    req->status_doc = control_status(req->control);
    req->bundle_text = g_strdup(req->control->core.state.text);
}

/* HTTP thread: passes the request to the core and waits for the reply. */
static void
run_request(struct operator_request *req)
{
    req->waiter.status.kind = STATUS_OK;
    req->waiter.status.message[0] = '\0';
    loop_call(submit_on_loop, req);
    g_mutex_lock(&req->waiter.lock);
    while (!req->waiter.done) {
        g_cond_wait(&req->waiter.changed, &req->waiter.lock);
    }
    g_mutex_unlock(&req->waiter.lock);
}

static void
respond_status(struct _u_response *response, const struct status *st)
{
    json_object *doc;

    if (st->kind != STATUS_OK) {
        problem_from_status(response, st);
        return;
    }
    doc = json_object_new_object();
    json_object_object_add(doc, "result", json_object_new_string("ok"));
    json_object_object_add(doc, "message",
                           json_object_new_string(st->message));
    page_send_json(response, doc);
}

/* Returns the operator of the token; responds 401 and returns NULL without. */
static const struct settings_operator *
authenticate_operator(struct control *control,
                      const struct _u_request *request,
                      struct _u_response *response)
{
    const struct settings_operator *op =
        auth_find_operator(&control->settings, request);

    if (op == NULL) {
        problem_fill(response, 401, "unauthorized",
                     "operator token is missing or unknown; send it as "
                     "Authorization: Bearer TOKEN",
                     NULL, 0);
    }
    return op;
}

static int
respond_bad_input(struct control *control, struct _u_response *response,
                  const struct status *st)
{
    counter_add(&control->counters, COUNTER_HTTP_MALFORMED, 1);
    problem_from_status(response, st);
    return U_CALLBACK_COMPLETE;
}

/* POST /v1/bundles */
static int
on_submit(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    const struct settings_operator *op =
        authenticate_operator(control, request, response);
    const char *submission =
        library_ulfius.map_get_case(request->map_header, "Idempotency-Key");
    struct operator_request req = {.control = control,
                                   .kind = CONTROL_REQUEST_SUBMIT};
    struct status st = {STATUS_OK, ""};
    struct bundle bundle;

    if (op == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    if (submission == NULL || *submission == '\0' ||
        strlen(submission) > SUBMISSION_MAX) {
        (void)status_set(
            &st, STATUS_BAD_INPUT,
            "the Idempotency-Key header is missing or longer than 63 "
            "bytes; send a submission id, the same on each retry");
        return respond_bad_input(control, response, &st);
    }
    if (bundle_read("body", request->binary_body, request->binary_body_length,
                    &bundle, &st) != STATUS_OK) {
        return respond_bad_input(control, response, &st);
    }
    req.bundle = &bundle;
    req.submit.bundle_version = bundle.version;
    req.submit.base = bundle.base;
    memcpy(req.submit.digest, bundle.digest, sizeof(req.submit.digest));
    req.submit.operator_name = (char *)op->name;
    req.submit.submission = (char *)submission;
    req.submit.text =
        g_strndup(request->binary_body, request->binary_body_length);
    run_request(&req);
    respond_status(response, &req.waiter.status);
    g_free(req.submit.text);
    bundle_free(&bundle);
    return U_CALLBACK_COMPLETE;
}

/* POST /v1/sign-offs */
static int
on_sign_off(const struct _u_request *request, struct _u_response *response,
            void *data)
{
    struct control *control = data;
    const struct settings_operator *op =
        authenticate_operator(control, request, response);
    struct operator_request req = {.control = control,
                                   .kind = CONTROL_REQUEST_SIGN_OFF};
    struct status st = {STATUS_OK, ""};
    struct sign_off_body body;

    if (op == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    if (schema_read(&sign_off_schema, "body", request->binary_body,
                    request->binary_body_length, &body, &st) != STATUS_OK) {
        return respond_bad_input(control, response, &st);
    }
    req.sign_off.bundle_version = body.version;
    memcpy(req.sign_off.digest, body.digest, sizeof(req.sign_off.digest));
    memcpy(req.sign_off.signature, body.signature,
           sizeof(req.sign_off.signature));
    req.sign_off.operator_name = (char *)op->name;
    if (!auth_verify_sign_off(op, &req.sign_off)) {
        (void)status_set(
            &st, STATUS_REFUSED,
            "the signature does not verify with the public key of "
            "operator %s in the settings; sign version and digest "
            "with the matching secret key",
            op->name);
        return respond_bad_input(control, response, &st);
    }
    run_request(&req);
    respond_status(response, &req.waiter.status);
    return U_CALLBACK_COMPLETE;
}

/* POST /v1/voters */
static int
on_voters(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    struct operator_request req = {.control = control,
                                   .kind = CONTROL_REQUEST_VOTERS};
    struct status st = {STATUS_OK, ""};

    if (authenticate_operator(control, request, response) == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    if (schema_read(&voters_schema, "body", request->binary_body,
                    request->binary_body_length, &req.voters,
                    &st) != STATUS_OK) {
        return respond_bad_input(control, response, &st);
    }
    run_request(&req);
    respond_status(response, &req.waiter.status);
    return U_CALLBACK_COMPLETE;
}

/* GET /v1/status; without a quorum, local state with "confirmed": false. */
static int
on_status(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    struct operator_request req = {.control = control,
                                   .kind = CONTROL_REQUEST_READ};

    if (authenticate_operator(control, request, response) == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    run_request(&req);
    loop_call(read_state_on_loop, &req);
    json_object_object_add(
        req.status_doc, "confirmed",
        json_object_new_boolean(req.waiter.status.kind == STATUS_OK));
    json_object_object_add(req.status_doc, "unconfirmed_because",
                           json_object_new_string(req.waiter.status.message));
    page_send_json(response, req.status_doc);
    g_free(req.bundle_text);
    return U_CALLBACK_COMPLETE;
}

/* GET /v1/bundles/in-force; fails without a quorum. */
static int
on_bundle(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    struct operator_request req = {.control = control,
                                   .kind = CONTROL_REQUEST_READ};

    if (authenticate_operator(control, request, response) == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    run_request(&req);
    if (req.waiter.status.kind != STATUS_OK) {
        problem_from_status(response, &req.waiter.status);
        return U_CALLBACK_COMPLETE;
    }
    loop_call(read_state_on_loop, &req);
    (void)library_ulfius.set_body(response, 200, req.bundle_text,
                                  strlen(req.bundle_text));
    json_object_put(req.status_doc);
    g_free(req.bundle_text);
    return U_CALLBACK_COMPLETE;
}

/* GET /metrics */
static int
on_metrics(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct control *control = data;

    (void)request;
    page_send_metrics(response, &control->counters);
    return U_CALLBACK_COMPLETE;
}

/* Any other path. */
static int
on_other(const struct _u_request *request, struct _u_response *response,
         void *data)
{
    struct control *control = data;

    (void)request;
    counter_add(&control->counters, COUNTER_HTTP_MALFORMED, 1);
    problem_fill(response, 404, "not-found",
                 "unknown path or method; see docs/OPERATIONS.md", NULL, 0);
    return U_CALLBACK_COMPLETE;
}

/* The last route matches all other paths. */
static const struct page_route routes[] = {
    {"POST", "/v1", "/bundles", &on_submit},
    {"POST", "/v1", "/sign-offs", &on_sign_off},
    {"POST", "/v1", "/voters", &on_voters},
    {"GET", "/v1", "/status", &on_status},
    {"GET", "/v1", "/bundles/in-force", &on_bundle},
    {"GET", NULL, "/metrics", &on_metrics},
    {NULL, NULL, NULL, &on_other},
};

enum status_kind
control_open_http(struct control *control, struct status *st)
{
    enum status_kind kind = page_start_http(&control->http, &control->settings,
                                            routes, BODY_MAX, control, st);

    control->http_open = kind == STATUS_OK;
    return kind;
}

void
control_close_http(struct control *control)
{
    if (control->http_open) {
        (void)library_ulfius.stop(&control->http);
        library_ulfius.clean(&control->http);
        control->http_open = false;
    }
}
