/* Request state machine of the coordinator. */
#include "request.h"

#include <string.h>

#include "fault.h"
#include "hash.h"
#include "request-internal.h"

#define RETRY_BUDGET_MAX 10.0 /* retries */
#define RETRY_AFTER_MS 1000U

static void
free_request(gpointer data)
{
    struct request *request = data;

    g_array_free(request->absorbed, TRUE);
    g_free(request->outcome.body.body_val);
    g_free(request);
}

void
request_open(struct request_core *core, uint64_t self,
             struct counters *counters, struct ring *ring)
{
    memset(core, 0, sizeof(*core));
    core->self = self;
    core->counters = counters;
    core->ring = ring;
    core->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
    core->by_slot = g_hash_table_new(g_int64_hash, g_int64_equal);
    core->ended = g_ptr_array_new_with_free_func(free_request);
    core->actions = g_array_new(FALSE, FALSE, sizeof(struct request_action));
    core->retry_budget = RETRY_BUDGET_MAX;
}

void
request_close(struct request_core *core)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        free_request(value);
    }
    g_hash_table_destroy(core->requests);
    g_hash_table_destroy(core->by_slot);
    g_ptr_array_free(core->ended, TRUE);
    g_array_free(core->actions, TRUE);
    for (size_t i = 0; i < core->epoch_count; i++) {
        member_set_clear(&core->epochs[i].members);
    }
    member_set_clear(&core->alive);
}

static struct request_action *
add_action(struct request_core *core, enum request_action_kind kind,
           uint64_t token)
{
    struct request_action action = {.kind = kind, .token = token};

    g_array_append_val(core->actions, action);
    return &g_array_index(core->actions, struct request_action,
                          core->actions->len - 1);
}

wire_msg *
request_send(struct request_core *core, uint64_t peer)
{
    struct request_action *action = add_action(core, REQUEST_SEND, 0);

    action->peer = peer;
    return &action->msg;
}

/* Records the decision in the ring for "explain". */
static void
record_decision(struct request_core *core, const struct request *request)
{
    struct ring_record record = {
        .at = request->spec.wall_deadline,
        .subject = hash_bytes(HASH_KEY, request->spec.key, WIRE_KEY),
        .service = request->spec.service,
        .version = core->version,
        .epoch = core->epoch_count ? core->epochs[0].members.epoch : 0,
        .peer = request->gate,
        .address = request->address,
        .port = request->port,
        .kind = RING_REQUEST,
        .rule = (uint8_t)request->rule,
        .step = (uint8_t)request->outcome.kind,
        .retry_ms = request->outcome.retry_ms,
    };

    if (core->ring != NULL) {
        ring_add(core->ring, &record);
    }
}

static void
count_outcome(struct request_core *core, const struct request *request)
{
    enum counter_id id = COUNTER_REQUESTS_UNKNOWN;

    switch (request->outcome.kind) {
    case WIRE_OUTCOME_ANSWERED:
        id = COUNTER_REQUESTS_ANSWERED;
        break;
    case WIRE_OUTCOME_NOT_RUN:
        id = COUNTER_REQUESTS_NOT_RUN;
        break;
    case WIRE_OUTCOME_UNKNOWN:
        break;
    }
    counter_add(core->counters, id, 1);
    if (request->rule == RULE_KEY_DONE) {
        counter_add(core->counters, COUNTER_REQUESTS_REPEATED, 1);
    }
}

/* Responds at most once. */
static void
respond(struct request_core *core, struct request *request)
{
    struct request_action *action;

    if (request->responded) {
        return;
    }
    request->responded = true;
    action = add_action(core, REQUEST_RESPOND, request->spec.token);
    action->outcome = request->outcome;
    action->rule = request->rule;
    count_outcome(core, request);
    record_decision(core, request);
}

/* Responds if still due; request_clear_actions() frees the request. */
static void
remove_request(struct request_core *core, struct request *request)
{
    respond(core, request);
    request->state = REQUEST_ENDED;
    g_hash_table_remove(core->requests, &request->spec.token);
    g_hash_table_remove(core->by_slot, &request->slot_token);
    g_ptr_array_add(core->ended, request);
}

/* Outcome for the replicas: a key whose request was not dispatched is
 * released, whatever the response said. */
static void
fill_stored_outcome(const struct request *request, wire_outcome *out)
{
    *out = request->outcome;
    if (!request->may_have_run && request->rule != RULE_KEY_DONE) {
        out->kind = WIRE_OUTCOME_NOT_RUN;
    }
}

/* Sends the outcome to replicas that have not confirmed it. */
static void
send_finish(struct request_core *core, struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];
        wire_finish *finish;
        wire_msg *msg;

        if (replica->stored || !replica->alive) {
            continue;
        }
        msg = request_send(core, replica->id);
        msg->kind = WIRE_FINISH;
        finish = &msg->wire_msg_u.finish;
        request_fill_claim(core, request, &finish->claim);
        fill_stored_outcome(request, &finish->outcome);
    }
}

/* A majority of the replicas, or all that are alive, confirmed the outcome. */
static bool
is_stored(const struct request *request, bool all)
{
    size_t stored = 0;
    size_t current = 0;
    size_t alive = 0;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        current += replica->current;
        alive += replica->current && replica->alive;
        stored += replica->current && replica->stored;
    }
    return all ? stored >= alive : stored > current / 2;
}

/* Stores the outcome at the replicas. Only an upstream's response waits for a
 * majority, so that a repeated request finds it; other outcomes are sent to
 * the caller immediately. */
static void
finish_request(struct request_core *core, uint64_t now,
               struct request *request)
{
    bool answered = request->outcome.kind == WIRE_OUTCOME_ANSWERED;

    if (!request->spec.keyed || request->replica_count == 0) {
        remove_request(core, request);
        return;
    }
    send_finish(core, request);
    if (!answered || request->rule == RULE_KEY_DONE) {
        respond(core, request);
    }
    request->state = REQUEST_FINISHING;
    request->resend_at = now + REQUEST_RESEND_MS;
    request->finish_deadline = now + REQUEST_FINISH_TIMEOUT_MS;
}

void
request_end(struct request_core *core, uint64_t now, struct request *request,
            wire_outcome_kind kind, enum ring_rule rule, uint32_t retry_ms)
{
    request->outcome.kind = kind;
    request->outcome.retry_ms = retry_ms;
    request->rule = rule;
    if (rule != RULE_KEY_DONE) {
        request->outcome.reason = rule;
    }
    finish_request(core, now, request);
}

/* Returns the gate of a service, or a backup gate; 0 if there is none. */
static uint64_t
find_gate(const struct request_core *core, uint64_t service, unsigned rank)
{
    const struct member *set[MEMBER_KEEPERS];

    if (core->epoch_count == 0 ||
        member_keepers(&core->epochs[0].members, service, rank + 1, set) <=
            rank) {
        return 0;
    }
    return set[rank]->id;
}

static uint32_t
remaining_ms(uint64_t now, uint64_t deadline)
{
    return now >= deadline ? 0 : (uint32_t)MIN(deadline - now, G_MAXUINT32);
}

/* Requests a slot; `held` registers the slot in use instead. */
static void
send_slot_ask(struct request_core *core, uint64_t now, struct request *request,
              bool held)
{
    wire_msg *msg = request_send(core, request->gate);
    wire_slot_ask *ask = &msg->wire_msg_u.slot_ask;

    msg->kind = WIRE_SLOT_ASK;
    ask->service = request->spec.service;
    ask->token = request->slot_token;
    ask->entry = core->self;
    ask->subject = request->spec.subject;
    ask->budget_ms = remaining_ms(now, request->spec.deadline);
    ask->address = held ? request->address : 0;
    ask->port = held ? request->port : 0;
}

void
request_acquire_slot(struct request_core *core, uint64_t now,
                     struct request *request)
{
    request->state = REQUEST_QUEUED;
    request->gate = find_gate(core, request->spec.service, request->gate_rank);
    request->gate_attempts = 1;
    g_hash_table_remove(core->by_slot, &request->slot_token);
    request->slot_token = ++core->next_slot_token;
    g_hash_table_insert(core->by_slot, &request->slot_token, request);
    request->resend_at = now + REQUEST_RESEND_MS;
    send_slot_ask(core, now, request, false);
}

static void
send_slot_done(struct request_core *core, uint64_t gate, uint64_t slot_token,
               const struct request *request, enum gate_result result,
               uint32_t latency_ms)
{
    wire_msg *msg = request_send(core, gate);
    wire_slot_done *done = &msg->wire_msg_u.slot_done;

    msg->kind = WIRE_SLOT_DONE;
    done->entry = core->self;
    done->token = slot_token;
    done->result = result;
    done->took_ms = latency_ms;
    if (request != NULL) {
        done->service = request->spec.service;
        done->address = request->address;
        done->port = request->port;
    }
}

void
request_start(struct request_core *core, uint64_t now, uint64_t wall,
              const struct request_spec *spec)
{
    struct request *request = g_new0(struct request, 1);

    request->spec = *spec;
    request->absorbed = g_array_new(FALSE, FALSE, sizeof(wire_absorbed));
    request->claim_deadline =
        MIN(spec->deadline, now + REQUEST_CLAIM_TIMEOUT_MS);
    g_hash_table_insert(core->requests, &request->spec.token, request);
    counter_add(core->counters, COUNTER_REQUESTS, 1);
    core->retry_budget = MIN(
        RETRY_BUDGET_MAX, core->retry_budget + REQUEST_RETRY_PERCENT / 100.0);
    if (now >= core->lease_deadline || core->epoch_count == 0) {
        /* Without a lease the replicas cannot be read, so a keyed request may
         * already have run. */
        request_end(core, now, request,
                    spec->keyed ? WIRE_OUTCOME_UNKNOWN : WIRE_OUTCOME_NOT_RUN,
                    RULE_NO_LEASE, RETRY_AFTER_MS);
        return;
    }
    if (!spec->safe && !spec->keyed) {
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_NO_KEY, 0);
        return;
    }
    if (now >= spec->deadline ||
        spec->wall_deadline > wall + CLAIM_DEADLINE_MAX_MS) {
        request_end(core, now, request,
                    spec->keyed ? WIRE_OUTCOME_UNKNOWN : WIRE_OUTCOME_NOT_RUN,
                    RULE_BAD_DEADLINE, 0);
        return;
    }
    if (spec->keyed) {
        request_start_claim(core, now, request);
        return;
    }
    request_acquire_slot(core, now, request);
}

/* A slot that is no longer needed is released. */
void
request_handle_grant(struct request_core *core, uint64_t now,
                     const wire_slot_grant *grant)
{
    struct request *request =
        g_hash_table_lookup(core->by_slot, &grant->token);
    struct request_action *action;

    if (request != NULL && request->state == REQUEST_RUNNING) {
        return;
    }
    if (request == NULL || request->state != REQUEST_QUEUED ||
        request->gate != grant->gate) {
        send_slot_done(core, grant->gate, grant->token, request, GATE_UNUSED,
                       0);
        return;
    }
    request->address = grant->address;
    request->port = (uint16_t)grant->port;
    if (now >= core->lease_deadline && !fault_is(FAULT_NO_LEASE)) {
        send_slot_done(core, grant->gate, grant->token, request, GATE_UNUSED,
                       0);
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_NO_LEASE,
                    RETRY_AFTER_MS);
        return;
    }
    request->state = REQUEST_RUNNING;
    request->may_have_run = true;
    request->started_at = now;
    request->attempts++;
    action = add_action(core, REQUEST_DISPATCH, request->spec.token);
    action->address = request->address;
    action->port = request->port;
    action->deadline = request->spec.deadline;
}

/* The gate is reachable and queued the request: resend less often. */
void
request_handle_wait(struct request_core *core, uint64_t now,
                    const wire_slot_wait *wait)
{
    struct request *request = g_hash_table_lookup(core->by_slot, &wait->token);

    if (request != NULL && request->state == REQUEST_QUEUED) {
        request->gate_attempts = 0;
        request->resend_at = now + REQUEST_QUEUED_RESEND_MS;
    }
}

void
request_handle_refusal(struct request_core *core, uint64_t now,
                       const wire_slot_refuse *refuse)
{
    struct request *request =
        g_hash_table_lookup(core->by_slot, &refuse->token);

    if (request == NULL || request->state != REQUEST_QUEUED) {
        return;
    }
    request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                (enum ring_rule)refuse->reason, refuse->retry_ms);
}

/* Charges the retry budget if another upstream may be tried. */
static bool
may_retry(struct request_core *core, uint64_t now,
          const struct request *request, enum gate_result result)
{
    bool not_run = result == GATE_SHED || result == GATE_REFUSED;

    if ((!not_run && !request->spec.safe) || now >= request->spec.deadline ||
        core->retry_budget < 1.0) {
        return false;
    }
    core->retry_budget -= 1.0;
    counter_add(core->counters, COUNTER_REQUESTS_RETRIED, 1);
    return true;
}

/* A response that is too large to store is marked, so that a repeated request
 * never gets a truncated one. */
static void
record_response(struct request_core *core, uint64_t now,
                struct request *request,
                const struct request_response *response)
{
    const char *type = response->content_type ? response->content_type : "";
    wire_outcome outcome = {.kind = WIRE_OUTCOME_ANSWERED,
                            .reason = RULE_UPSTREAM_ANSWERED,
                            .status = response->status,
                            .upstream = ((uint64_t)request->address << 16) |
                                        request->port};

    outcome.whole =
        response->length <= WIRE_BODY_MAX && strlen(type) < WIRE_TYPE;
    g_strlcpy(outcome.content_type, type, WIRE_TYPE);
    if (outcome.whole) {
        outcome.body.body_val = (char *)response->body;
        outcome.body.body_len = (u_int)response->length;
    }
    claim_copy_outcome(&outcome, &request->outcome);
    request->rule = RULE_UPSTREAM_ANSWERED;
    finish_request(core, now, request);
}

void
request_handle_response(struct request_core *core, uint64_t now,
                        uint64_t token, enum gate_result result,
                        const struct request_response *response)
{
    struct request *request = g_hash_table_lookup(core->requests, &token);

    if (request == NULL || request->state != REQUEST_RUNNING) {
        counter_add(core->counters, COUNTER_ANSWERS_LATE, 1);
        return;
    }
    send_slot_done(core, request->gate, request->slot_token, request, result,
                   (uint32_t)(now - request->started_at));
    switch (result) {
    case GATE_ANSWERED:
        record_response(core, now, request, response);
        return;
    case GATE_FAILED:
    case GATE_SHED:
    case GATE_REFUSED:
    case GATE_UNUSED:
        break;
    }
    if (result == GATE_SHED || result == GATE_REFUSED) {
        request->may_have_run = false;
    }
    if (may_retry(core, now, request, result)) {
        request_acquire_slot(core, now, request);
        return;
    }
    if (result == GATE_FAILED) {
        request_end(core, now, request, WIRE_OUTCOME_UNKNOWN,
                    RULE_UPSTREAM_FAILED, RETRY_AFTER_MS);
        return;
    }
    request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                core->retry_budget < 1.0 ? RULE_BUDGET_SPENT
                                         : RULE_UPSTREAM_SHED,
                RETRY_AFTER_MS);
}

/* Cancels a request past its deadline or whose caller disconnected. */
static void
abort_attempt(struct request_core *core, uint64_t now, struct request *request,
              enum ring_rule rule)
{
    (void)add_action(core, REQUEST_ABORT, request->spec.token);
    send_slot_done(core, request->gate, request->slot_token, request,
                   rule == RULE_CANCELLED ? GATE_UNUSED : GATE_FAILED,
                   (uint32_t)(now - request->started_at));
    request_end(core, now, request, WIRE_OUTCOME_UNKNOWN, rule,
                RETRY_AFTER_MS);
}

void
request_cancel(struct request_core *core, uint64_t now, uint64_t token)
{
    struct request *request = g_hash_table_lookup(core->requests, &token);

    if (request == NULL) {
        return;
    }
    request->responded = true;
    if (request->state == REQUEST_RUNNING) {
        abort_attempt(core, now, request, RULE_CANCELLED);
    }
    else if (request->state != REQUEST_FINISHING) {
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_CANCELLED,
                    0);
    }
}

void
request_handle_finish_reply(struct request_core *core, uint64_t now,
                            const wire_finish_reply *reply)
{
    struct request *request =
        g_hash_table_lookup(core->requests, &reply->token);

    (void)now;
    if (request == NULL || request->state != REQUEST_FINISHING) {
        return;
    }
    for (size_t i = 0; i < request->replica_count; i++) {
        if (request->replicas[i].id == reply->replica) {
            request->replicas[i].stored = true;
        }
    }
    if (is_stored(request, false)) {
        respond(core, request);
    }
    if (is_stored(request, true)) {
        remove_request(core, request);
    }
}

/* Resends the slot request; after several attempts without a reply, uses a
 * backup gate. The backup gate has not seen all slots in use, so upstreams may
 * shed. */
static void
retry_gate(struct request_core *core, uint64_t now, struct request *request)
{
    unsigned next = (request->gate_rank + 1) % MEMBER_KEEPERS;

    request->resend_at = now + REQUEST_RESEND_MS;
    if (request->gate_attempts++ < REQUEST_GATE_ATTEMPTS ||
        find_gate(core, request->spec.service, next) == 0) {
        send_slot_ask(core, now, request, false);
        return;
    }
    send_slot_done(core, request->gate, request->slot_token, request,
                   GATE_UNUSED, 0);
    request->gate_rank = next;
    request_acquire_slot(core, now, request);
}

/* Resends, or switches to the new gate after an epoch change. */
static void
tick_queued(struct request_core *core, uint64_t now, struct request *request)
{
    if (now >= request->spec.deadline) {
        send_slot_done(core, request->gate, request->slot_token, request,
                       GATE_UNUSED, 0);
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_TOO_LATE,
                    RETRY_AFTER_MS);
    }
    else if (request->gate !=
             find_gate(core, request->spec.service, request->gate_rank)) {
        request->gate_rank = 0;
        request_acquire_slot(core, now, request);
    }
    else if (now >= request->resend_at) {
        retry_gate(core, now, request);
    }
}

/* Registers the slot at a new gate; ends a request past its deadline. */
static void
tick_running(struct request_core *core, uint64_t now, struct request *request)
{
    uint64_t gate = find_gate(core, request->spec.service, 0);

    if (now >= request->spec.deadline) {
        abort_attempt(core, now, request, RULE_UPSTREAM_FAILED);
    }
    else if (request->gate != gate) {
        send_slot_done(core, request->gate, request->slot_token, request,
                       GATE_UNUSED, 0);
        request->gate = gate;
        send_slot_ask(core, now, request, true);
    }
}

static void
tick_request(struct request_core *core, uint64_t now, struct request *request)
{
    switch (request->state) {
    case REQUEST_CLAIMING:
        request_tick_claim(core, now, request);
        return;
    case REQUEST_WAITING:
        if (now >= request->spec.deadline) {
            request_end(core, now, request, WIRE_OUTCOME_UNKNOWN,
                        RULE_KEY_RUNNING, RETRY_AFTER_MS);
            return;
        }
        request_tick_claim(core, now, request);
        return;
    case REQUEST_QUEUED:
        tick_queued(core, now, request);
        return;
    case REQUEST_RUNNING:
        tick_running(core, now, request);
        return;
    case REQUEST_FINISHING:
        if (now >= request->finish_deadline) {
            remove_request(core, request);
        }
        else if (now >= request->resend_at) {
            request->resend_at = now + REQUEST_RESEND_MS;
            send_finish(core, request);
        }
        return;
    case REQUEST_ENDED:
        return;
    }
}

void
request_tick(struct request_core *core, uint64_t now)
{
    GList *all = g_hash_table_get_values(core->requests);

    request_expire_epochs(core, now);
    for (GList *l = all; l != NULL; l = l->next) {
        tick_request(core, now, l->data);
    }
    g_list_free(all);
}

size_t
request_count(const struct request_core *core)
{
    return g_hash_table_size(core->requests);
}

const struct request_action *
request_actions(struct request_core *core, size_t *count)
{
    *count = core->actions->len;
    return (const struct request_action *)(void *)core->actions->data;
}

void
request_clear_actions(struct request_core *core)
{
    g_array_set_size(core->actions, 0);
    g_ptr_array_set_size(core->ended, 0);
}
