/*
 * The operators' interface of a control VM, HTTP/JSON by ulfius: submit,
 * sign off, status, the bundle in force, voters, counters. Checks what needs
 * no agreement before the core is asked.
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

#define BODY_MAX (5U * 1024 * 1024)
#define SUBMISSION_MAX 63

/* A sign-off as operators send it. */
struct sign_off_body {
    uint64_t version;
    unsigned char digest[WIRE_DIGEST];
    unsigned char signature[WIRE_SIGNATURE];
};

/* A change of voters as operators send it. */
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
     .help = "give the version of the accepted bundle"},
    {.key = "digest",
     .type = SCHEMA_HEX,
     .required = true,
     .min = WIRE_DIGEST,
     .max = WIRE_DIGEST,
     .offset = AT(digest),
     .help = "give the SHA-256 that status shows"},
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
     .max = CONS_REPLICAS_MAX,
     .offset = AT(replica),
     .help = "give the number of a control VM in the settings"},
    {.key = "remove",
     .type = SCHEMA_UINT,
     .max = 1,
     .offset = AT(remove),
     .help = "give 1 to remove it, 0 to add it"},
    {.key = NULL},
};
#undef AT
static const struct schema voters_schema = {.name = "voters",
                                            .size = sizeof(struct voters_body),
                                            .fields = voters_fields};

/* What an operator asks, on its way to the loop's thread. */
struct ask {
    struct control *control;
    struct control_call call;
    enum control_wait_kind kind;
    wire_submit submit;
    wire_sign_off sign;
    struct voters_body voters;
    struct bundle *bundle; /* SUBMIT: checked against the one in force */
    json_object *out;      /* READ: the status, filled when confirmed */
    char *text;            /* READ: the bundle in force */
};

/* Refuses a bundle that its base does not allow. One with another base is
 * judged by compare and set. */
static bool
check_base(struct ask *ask)
{
    const wire_control_state *state = &ask->control->core.state;

    return ask->submit.base != state->current ||
           control_state_check(state, loop_wall(), ask->bundle,
                               &ask->call.status) == STATUS_OK;
}

/* The identity under which a replica answers the leader. */
static uint64_t
answering_identity(const struct control *control, uint32_t replica)
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

/* Refuses to add a replica that has never answered the leader. */
static bool
check_voter(struct ask *ask)
{
    const struct cons *cons = &ask->control->core.cons;
    uint32_t replica = (uint32_t)ask->voters.replica;

    if (ask->voters.remove || cons->role != CONS_LEADER ||
        answering_identity(ask->control, replica) != 0) {
        return true;
    }
    (void)status_set(&ask->call.status, STATUS_REFUSED,
                     "control VM %u does not answer the leader; list it in "
                     "the settings, start it, then add it",
                     replica);
    return false;
}

/* Hands a change of voters to the core. */
static void
ask_voters(struct ask *ask, uint64_t token)
{
    uint32_t replica = (uint32_t)ask->voters.replica;
    uint64_t identity = answering_identity(ask->control, replica);

    control_core_voters(&ask->control->core, loop_now(), token, replica,
                        ask->voters.remove ? 0 : identity);
}

/* Asks the core, on the loop's thread. */
static void
on_ask(void *data)
{
    struct ask *ask = data;
    struct control *control = ask->control;
    uint64_t now = loop_now();
    uint64_t *token = g_new(uint64_t, 1);

    if ((ask->kind == CONTROL_WAIT_SUBMIT && !check_base(ask)) ||
        (ask->kind == CONTROL_WAIT_VOTERS && !check_voter(ask))) {
        ask->call.done = true;
        g_free(token);
        return;
    }
    *token = ++control->next_token;
    g_hash_table_insert(control->calls, token, &ask->call);
    switch (ask->kind) {
    case CONTROL_WAIT_SUBMIT:
        control_core_submit(&control->core, now, *token, &ask->submit);
        break;
    case CONTROL_WAIT_SIGN_OFF:
        control_core_sign_off(&control->core, now, *token, &ask->sign);
        break;
    case CONTROL_WAIT_READ:
        control_core_read(&control->core, now, *token);
        break;
    case CONTROL_WAIT_VOTERS:
        ask_voters(ask, *token);
        break;
    }
    control_act(control);
}

/* Reads what a question asks for, on the loop's thread. */
static void
on_read(void *data)
{
    struct ask *ask = data;

    ask->out = control_status(ask->control);
    ask->text = g_strdup(ask->control->core.state.text);
}

/* Asks the core and waits for its answer. */
static void
ask_core(struct ask *ask)
{
    ask->call.status.kind = STATUS_OK;
    ask->call.status.message[0] = '\0';
    loop_call(on_ask, ask);
    g_mutex_lock(&ask->call.lock);
    while (!ask->call.done) {
        g_cond_wait(&ask->call.changed, &ask->call.lock);
    }
    g_mutex_unlock(&ask->call.lock);
}

/* Answers with what the core said. */
static void
answer_status(struct _u_response *response, const struct status *st)
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
    page_json(response, doc);
}

/* Finds the operator, or answers 401. */
static const struct settings_operator *
require_operator(struct control *control, const struct _u_request *request,
                 struct _u_response *response)
{
    const struct settings_operator *op =
        auth_operator(&control->settings, request);

    if (op == NULL) {
        problem_fill(response, 401, "unauthorized",
                     "send the operator's token as Authorization: Bearer",
                     NULL, 0);
    }
    return op;
}

/* Answers bad input. */
static int
bad_input(struct control *control, struct _u_response *response,
          const struct status *st)
{
    counter_add(&control->counters, COUNTER_HTTP_MALFORMED, 1);
    problem_from_status(response, st);
    return U_CALLBACK_COMPLETE;
}

/* POST /v1/bundles: submit. */
static int
on_submit(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    const struct settings_operator *op =
        require_operator(control, request, response);
    const char *submission =
        library_ulfius.map_get_case(request->map_header, "Idempotency-Key");
    struct ask ask = {.control = control, .kind = CONTROL_WAIT_SUBMIT};
    struct status st = {STATUS_OK, ""};
    struct bundle bundle;

    if (op == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    if (submission == NULL || *submission == '\0' ||
        strlen(submission) > SUBMISSION_MAX) {
        (void)status_set(&st, STATUS_BAD_INPUT,
                         "Idempotency-Key is missing or too long; send the "
                         "submission's id, the same when sending again");
        return bad_input(control, response, &st);
    }
    if (bundle_read("body", request->binary_body, request->binary_body_length,
                    &bundle, &st) != STATUS_OK) {
        return bad_input(control, response, &st);
    }
    ask.bundle = &bundle;
    ask.submit.bundle_version = bundle.version;
    ask.submit.base = bundle.base;
    memcpy(ask.submit.digest, bundle.digest, sizeof(ask.submit.digest));
    ask.submit.operator_name = (char *)op->name;
    ask.submit.submission = (char *)submission;
    ask.submit.text =
        g_strndup(request->binary_body, request->binary_body_length);
    ask_core(&ask);
    answer_status(response, &ask.call.status);
    g_free(ask.submit.text);
    bundle_free(&bundle);
    return U_CALLBACK_COMPLETE;
}

/* POST /v1/sign-offs: sign off. */
static int
on_sign_off(const struct _u_request *request, struct _u_response *response,
            void *data)
{
    struct control *control = data;
    const struct settings_operator *op =
        require_operator(control, request, response);
    struct ask ask = {.control = control, .kind = CONTROL_WAIT_SIGN_OFF};
    struct status st = {STATUS_OK, ""};
    struct sign_off_body body;

    if (op == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    if (schema_read(&sign_off_schema, "body", request->binary_body,
                    request->binary_body_length, &body, &st) != STATUS_OK) {
        return bad_input(control, response, &st);
    }
    ask.sign.bundle_version = body.version;
    memcpy(ask.sign.digest, body.digest, sizeof(ask.sign.digest));
    memcpy(ask.sign.signature, body.signature, sizeof(ask.sign.signature));
    ask.sign.operator_name = (char *)op->name;
    if (!auth_check(op, &ask.sign)) {
        (void)status_set(&st, STATUS_REFUSED,
                         "the signature is not %s's; sign the version and "
                         "digest with the key whose public half is in the "
                         "settings",
                         op->name);
        return bad_input(control, response, &st);
    }
    ask_core(&ask);
    answer_status(response, &ask.call.status);
    return U_CALLBACK_COMPLETE;
}

/* POST /v1/voters: add or remove a control replica. */
static int
on_voters(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    struct ask ask = {.control = control, .kind = CONTROL_WAIT_VOTERS};
    struct status st = {STATUS_OK, ""};

    if (require_operator(control, request, response) == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    if (schema_read(&voters_schema, "body", request->binary_body,
                    request->binary_body_length, &ask.voters,
                    &st) != STATUS_OK) {
        return bad_input(control, response, &st);
    }
    ask_core(&ask);
    answer_status(response, &ask.call.status);
    return U_CALLBACK_COMPLETE;
}

/* GET /v1/status: confirmed by a quorum, or said to be unconfirmed. */
static int
on_status(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    struct ask ask = {.control = control, .kind = CONTROL_WAIT_READ};

    if (require_operator(control, request, response) == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    ask_core(&ask);
    loop_call(on_read, &ask);
    json_object_object_add(
        ask.out, "confirmed",
        json_object_new_boolean(ask.call.status.kind == STATUS_OK));
    json_object_object_add(ask.out, "unconfirmed_because",
                           json_object_new_string(ask.call.status.message));
    page_json(response, ask.out);
    g_free(ask.text);
    return U_CALLBACK_COMPLETE;
}

/* GET /v1/bundles/in-force: the text, when a quorum confirms it. */
static int
on_bundle(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct control *control = data;
    struct ask ask = {.control = control, .kind = CONTROL_WAIT_READ};

    if (require_operator(control, request, response) == NULL) {
        return U_CALLBACK_COMPLETE;
    }
    ask_core(&ask);
    if (ask.call.status.kind != STATUS_OK) {
        problem_from_status(response, &ask.call.status);
        return U_CALLBACK_COMPLETE;
    }
    loop_call(on_read, &ask);
    (void)library_ulfius.set_body(response, 200, ask.text, strlen(ask.text));
    json_object_put(ask.out);
    g_free(ask.text);
    return U_CALLBACK_COMPLETE;
}

/* GET /metrics: the counters. */
static int
on_metrics(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct control *control = data;

    (void)request;
    page_counters(response, &control->counters);
    return U_CALLBACK_COMPLETE;
}

/* Anything else. */
static int
on_other(const struct _u_request *request, struct _u_response *response,
         void *data)
{
    struct control *control = data;

    (void)request;
    counter_add(&control->counters, COUNTER_HTTP_MALFORMED, 1);
    problem_fill(response, 404, "not-found",
                 "there is no such page; see docs/OPERATIONS.md", NULL, 0);
    return U_CALLBACK_COMPLETE;
}

/* The pages; the last takes all other paths. */
static const struct page_route routes[] = {
    {"POST", "/v1", "/bundles", &on_submit},
    {"POST", "/v1", "/sign-offs", &on_sign_off},
    {"POST", "/v1", "/voters", &on_voters},
    {"GET", "/v1", "/status", &on_status},
    {"GET", "/v1", "/bundles/in-force", &on_bundle},
    {"GET", NULL, "/metrics", &on_metrics},
    {NULL, NULL, NULL, &on_other},
};

/* Opens HTTP. */
enum status_kind
control_open_http(struct control *control, struct status *st)
{
    enum status_kind kind = page_open_http(&control->http, &control->settings,
                                           routes, BODY_MAX, control, st);

    control->http_open = kind == STATUS_OK;
    return kind;
}

/* Closes HTTP. */
void
control_close_http(struct control *control)
{
    if (control->http_open) {
        (void)library_ulfius.stop(&control->http);
        library_ulfius.clean(&control->http);
        control->http_open = false;
    }
}
