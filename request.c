/* The life of a request at its coordinator, from question to answer. */
#include "request.h"

#include <string.h>

#include "fault.h"
#include "hash.h"
#include "request-internal.h"

#define RETRY_BUDGET_MAX 10.0
#define NO_LEASE_RETRY_MS 1000U

/* Frees a request. */
static void
free_request(gpointer data)
{
    struct request *request = data;

    g_array_free(request->absorbed, TRUE);
    g_free(request->outcome.body.body_val);
    g_free(request);
}

/* Starts a coordinator. */
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

/* Frees a coordinator. */
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

/* Adds an action. */
static struct request_action *
act(struct request_core *core, enum request_action_kind kind, uint64_t token)
{
    struct request_action action = {.kind = kind, .token = token};

    g_array_append_val(core->actions, action);
    return &g_array_index(core->actions, struct request_action,
                          core->actions->len - 1);
}

/* Adds a message. */
wire_msg *
request_send(struct request_core *core, uint64_t peer)
{
    struct request_action *action = act(core, REQUEST_SEND, 0);

    action->peer = peer;
    return &action->msg;
}

/* Keeps the decision for explain. */
static void
note_decision(struct request_core *core, const struct request *request)
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

/* Counts how a request ended. */
static void
count_end(struct request_core *core, const struct request *request)
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

/* Answers the caller, once. */
static void
deliver(struct request_core *core, struct request *request)
{
    struct request_action *action;

    if (request->delivered) {
        return;
    }
    request->delivered = true;
    action = act(core, REQUEST_ANSWER, request->spec.token);
    action->outcome = request->outcome;
    action->rule = request->rule;
    count_end(core, request);
    note_decision(core, request);
}

/* Answers, if nobody has, and forgets the request. */
static void
retire(struct request_core *core, struct request *request)
{
    deliver(core, request);
    request->state = REQUEST_ENDED;
    g_hash_table_remove(core->requests, &request->spec.token);
    g_hash_table_remove(core->by_slot, &request->slot_token);
    g_ptr_array_add(core->ended, request);
}

/* What the replicas must remember: a request that no upstream was given is
 * released, whatever its caller was told about the key. */
static void
fill_recorded(const struct request *request, wire_outcome *out)
{
    *out = request->outcome;
    if (!request->ran && request->rule != RULE_KEY_DONE) {
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

        if (replica->finished || !replica->alive) {
            continue;
        }
        msg = request_send(core, replica->id);
        msg->kind = WIRE_FINISH;
        finish = &msg->wire_msg_u.finish;
        request_fill_claim(core, request, &finish->claim);
        fill_recorded(request, &finish->outcome);
    }
}

/* Says whether so many of the replicas stored the outcome: a majority, or
 * all that are alive. */
static bool
is_finished(const struct request *request, bool all)
{
    size_t finished = 0;
    size_t current = 0;
    size_t alive = 0;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        current += replica->current;
        alive += replica->current && replica->alive;
        finished += replica->current && replica->finished;
    }
    return all ? finished >= alive : finished > current / 2;
}

/* Records the outcome at the replicas. Only a whole answer waits for that,
 * so that a repeat finds it; everything else leaves at once. */
static void
finish(struct request_core *core, uint64_t now, struct request *request)
{
    bool answered = request->outcome.kind == WIRE_OUTCOME_ANSWERED;

    if (!request->spec.keyed || request->replica_count == 0) {
        retire(core, request);
        return;
    }
    send_finish(core, request);
    if (!answered || request->rule == RULE_KEY_DONE) {
        deliver(core, request);
    }
    request->state = REQUEST_FINISHING;
    request->resend_at = now + REQUEST_RESEND_MS;
    request->finish_deadline = now + REQUEST_FINISH_MS;
}

/* Ends a request with an outcome. */
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
    finish(core, now, request);
}

/* The entry that gates a service, or stands in for its gate; 0 when there
 * is none of that rank. */
static uint64_t
gate_of(const struct request_core *core, uint64_t service, unsigned rank)
{
    const struct member *set[MEMBER_KEEPERS];

    if (core->epoch_count == 0 ||
        member_keepers(&core->epochs[0].members, service, rank + 1, set) <=
            rank) {
        return 0;
    }
    return set[rank]->id;
}

/* Milliseconds left until a deadline. */
static uint32_t
left(uint64_t now, uint64_t deadline)
{
    return now >= deadline ? 0 : (uint32_t)MIN(deadline - now, G_MAXUINT32);
}

/* Sends a question to the gate; `held` tells of a slot in use instead. */
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
    ask->budget_ms = left(now, request->spec.deadline);
    ask->address = held ? request->address : 0;
    ask->port = held ? request->port : 0;
}

/* Asks the gate for a slot. */
void
request_ask_gate(struct request_core *core, uint64_t now,
                 struct request *request)
{
    request->state = REQUEST_QUEUED;
    request->gate = gate_of(core, request->spec.service, request->gate_rank);
    request->gate_asked = 1;
    g_hash_table_remove(core->by_slot, &request->slot_token);
    request->slot_token = ++core->next_slot_token;
    g_hash_table_insert(core->by_slot, &request->slot_token, request);
    request->resend_at = now + REQUEST_RESEND_MS;
    send_slot_ask(core, now, request, false);
}

/* Gives a slot back to the gate. */
static void
send_slot_done(struct request_core *core, uint64_t gate, uint64_t slot_token,
               const struct request *request, enum gate_result result,
               uint32_t took_ms)
{
    wire_msg *msg = request_send(core, gate);
    wire_slot_done *done = &msg->wire_msg_u.slot_done;

    msg->kind = WIRE_SLOT_DONE;
    done->entry = core->self;
    done->token = slot_token;
    done->result = result;
    done->took_ms = took_ms;
    if (request != NULL) {
        done->service = request->spec.service;
        done->address = request->address;
        done->port = request->port;
    }
}

/* A caller asks. */
void
request_begin(struct request_core *core, uint64_t now, uint64_t wall,
              const struct request_spec *spec)
{
    struct request *request = g_new0(struct request, 1);

    request->spec = *spec;
    request->absorbed = g_array_new(FALSE, FALSE, sizeof(wire_absorbed));
    request->claim_deadline = MIN(spec->deadline, now + REQUEST_CLAIM_MS);
    g_hash_table_insert(core->requests, &request->spec.token, request);
    counter_add(core->counters, COUNTER_REQUESTS, 1);
    core->retry_budget = MIN(
        RETRY_BUDGET_MAX, core->retry_budget + REQUEST_RETRY_PERCENT / 100.0);
    if (now >= core->lease_deadline || core->epoch_count == 0) {
        /* Without a lease nothing can be read, so a repeat of a key that ran
         * before cannot be told from a first request. */
        request_end(core, now, request,
                    spec->keyed ? WIRE_OUTCOME_UNKNOWN : WIRE_OUTCOME_NOT_RUN,
                    RULE_NO_LEASE, NO_LEASE_RETRY_MS);
        return;
    }
    if (!spec->safe && !spec->keyed) {
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_NO_KEY, 0);
        return;
    }
    if (now >= spec->deadline ||
        spec->wall_deadline > wall + CLAIM_HORIZON_MS) {
        request_end(core, now, request,
                    spec->keyed ? WIRE_OUTCOME_UNKNOWN : WIRE_OUTCOME_NOT_RUN,
                    RULE_BAD_DEADLINE, 0);
        return;
    }
    if (spec->keyed) {
        request_start_claim(core, now, request);
        return;
    }
    request_ask_gate(core, now, request);
}

/* Takes a slot; gives it back when it is no use any more. */
void
request_take_grant(struct request_core *core, uint64_t now,
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
                    NO_LEASE_RETRY_MS);
        return;
    }
    request->state = REQUEST_RUNNING;
    request->ran = true;
    request->started = now;
    request->tries++;
    action = act(core, REQUEST_DISPATCH, request->spec.token);
    action->address = request->address;
    action->port = request->port;
    action->deadline = request->spec.deadline;
}

/* The gate is there; it needs no stand-in, and not to be asked so often. */
void
request_take_wait(struct request_core *core, uint64_t now,
                  const wire_slot_wait *wait)
{
    struct request *request = g_hash_table_lookup(core->by_slot, &wait->token);

    if (request != NULL && request->state == REQUEST_QUEUED) {
        request->gate_asked = 0;
        request->resend_at = now + REQUEST_WAIT_MS;
    }
}

/* Takes a refusal of the gate. */
void
request_take_refusal(struct request_core *core, uint64_t now,
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

/* Says whether a second upstream may be tried, and pays for it. */
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

/* Takes the whole answer of an upstream. What is too large to be recorded is
 * marked, so that a repeat is never given a part for the whole. */
static void
take_answer(struct request_core *core, uint64_t now, struct request *request,
            const struct request_reply *reply)
{
    const char *type = reply->content_type ? reply->content_type : "";
    wire_outcome outcome = {.kind = WIRE_OUTCOME_ANSWERED,
                            .reason = RULE_UPSTREAM_ANSWERED,
                            .status = reply->status,
                            .upstream = ((uint64_t)request->address << 16) |
                                        request->port};

    outcome.whole = reply->length <= WIRE_BODY_MAX && strlen(type) < WIRE_TYPE;
    g_strlcpy(outcome.content_type, type, WIRE_TYPE);
    if (outcome.whole) {
        outcome.body.body_val = (char *)reply->body;
        outcome.body.body_len = (u_int)reply->length;
    }
    claim_copy_outcome(&outcome, &request->outcome);
    request->rule = RULE_UPSTREAM_ANSWERED;
    finish(core, now, request);
}

/* An upstream's call ended. */
void
request_upstream(struct request_core *core, uint64_t now, uint64_t token,
                 enum gate_result result, const struct request_reply *reply)
{
    struct request *request = g_hash_table_lookup(core->requests, &token);

    if (request == NULL || request->state != REQUEST_RUNNING) {
        counter_add(core->counters, COUNTER_ANSWERS_LATE, 1);
        return;
    }
    send_slot_done(core, request->gate, request->slot_token, request, result,
                   (uint32_t)(now - request->started));
    switch (result) {
    case GATE_ANSWERED:
        take_answer(core, now, request, reply);
        return;
    case GATE_FAILED:
    case GATE_SHED:
    case GATE_REFUSED:
    case GATE_UNUSED:
        break;
    }
    if (result == GATE_SHED || result == GATE_REFUSED) {
        request->ran = false;
    }
    if (may_retry(core, now, request, result)) {
        request_ask_gate(core, now, request);
        return;
    }
    if (result == GATE_FAILED) {
        request_end(core, now, request, WIRE_OUTCOME_UNKNOWN,
                    RULE_UPSTREAM_FAILED, NO_LEASE_RETRY_MS);
        return;
    }
    request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                core->retry_budget < 1.0 ? RULE_BUDGET_SPENT
                                         : RULE_UPSTREAM_SHED,
                NO_LEASE_RETRY_MS);
}

/* Ends a call that runs past its deadline or that nobody waits for. */
static void
abort_call(struct request_core *core, uint64_t now, struct request *request,
           enum ring_rule rule)
{
    (void)act(core, REQUEST_ABORT, request->spec.token);
    send_slot_done(core, request->gate, request->slot_token, request,
                   rule == RULE_CANCELLED ? GATE_UNUSED : GATE_FAILED,
                   (uint32_t)(now - request->started));
    request_end(core, now, request, WIRE_OUTCOME_UNKNOWN, rule,
                NO_LEASE_RETRY_MS);
}

/* The caller went away. */
void
request_cancel(struct request_core *core, uint64_t now, uint64_t token)
{
    struct request *request = g_hash_table_lookup(core->requests, &token);

    if (request == NULL) {
        return;
    }
    request->delivered = true;
    if (request->state == REQUEST_RUNNING) {
        abort_call(core, now, request, RULE_CANCELLED);
    }
    else if (request->state != REQUEST_FINISHING) {
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_CANCELLED,
                    0);
    }
}

/* A replica stored the outcome. */
void
request_take_finish_reply(struct request_core *core, uint64_t now,
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
            request->replicas[i].finished = true;
        }
    }
    if (is_finished(request, false)) {
        deliver(core, request);
    }
    if (is_finished(request, true)) {
        retire(core, request);
    }
}

/* Asks a gate again; one that stays silent has a stand-in, which knows fewer
 * of the slots in use, so that the upstreams themselves may shed. */
static void
ask_again(struct request_core *core, uint64_t now, struct request *request)
{
    unsigned next = (request->gate_rank + 1) % MEMBER_KEEPERS;

    request->resend_at = now + REQUEST_RESEND_MS;
    if (request->gate_asked++ < REQUEST_GATE_TRIES ||
        gate_of(core, request->spec.service, next) == 0) {
        send_slot_ask(core, now, request, false);
        return;
    }
    send_slot_done(core, request->gate, request->slot_token, request,
                   GATE_UNUSED, 0);
    request->gate_rank = next;
    request_ask_gate(core, now, request);
}

/* Asks again, or another gate after an epoch change. */
static void
tick_queued(struct request_core *core, uint64_t now, struct request *request)
{
    if (now >= request->spec.deadline) {
        send_slot_done(core, request->gate, request->slot_token, request,
                       GATE_UNUSED, 0);
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN, RULE_TOO_LATE,
                    NO_LEASE_RETRY_MS);
    }
    else if (request->gate !=
             gate_of(core, request->spec.service, request->gate_rank)) {
        request->gate_rank = 0;
        request_ask_gate(core, now, request);
    }
    else if (now >= request->resend_at) {
        ask_again(core, now, request);
    }
}

/* Tells a new gate of a slot in use; ends what is past its deadline. */
static void
tick_running(struct request_core *core, uint64_t now, struct request *request)
{
    uint64_t gate = gate_of(core, request->spec.service, 0);

    if (now >= request->spec.deadline) {
        abort_call(core, now, request, RULE_UPSTREAM_FAILED);
    }
    else if (request->gate != gate) {
        send_slot_done(core, request->gate, request->slot_token, request,
                       GATE_UNUSED, 0);
        request->gate = gate;
        send_slot_ask(core, now, request, true);
    }
}

/* Lets time pass for one request. */
static void
tick_one(struct request_core *core, uint64_t now, struct request *request)
{
    switch (request->state) {
    case REQUEST_CLAIMING:
        request_tick_claim(core, now, request);
        return;
    case REQUEST_WAITING:
        if (now >= request->spec.deadline) {
            request_end(core, now, request, WIRE_OUTCOME_UNKNOWN,
                        RULE_KEY_RUNNING, NO_LEASE_RETRY_MS);
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
            retire(core, request);
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

/* Lets time pass. */
void
request_tick(struct request_core *core, uint64_t now)
{
    GList *all = g_hash_table_get_values(core->requests);

    request_expire_epochs(core, now);
    for (GList *l = all; l != NULL; l = l->next) {
        tick_one(core, now, l->data);
    }
    g_list_free(all);
}

/* Requests not yet answered. */
size_t
request_count(const struct request_core *core)
{
    return g_hash_table_size(core->requests);
}

/* Gives the actions. */
const struct request_action *
request_actions(struct request_core *core, size_t *count)
{
    *count = core->actions->len;
    return (const struct request_action *)(void *)core->actions->data;
}

/* Forgets the actions, and the requests that ended. */
void
request_clear_actions(struct request_core *core)
{
    g_array_set_size(core->actions, 0);
    g_ptr_array_set_size(core->ended, 0);
}
