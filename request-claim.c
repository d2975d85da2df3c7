/*
 * The claim of a key: who its replicas are in the epoch in force and in the
 * earlier ones that still matter, and what their answers add up to.
 */
#include <string.h>

#include "fault.h"
#include "hash.h"
#include "request-internal.h"

#define ABSORBED_DEPTH 6 /* planned stops in a row that are followed */

/* Finds what is known of one replica. */
static struct request_replica *
find_replica(struct request *request, uint64_t id)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        if (request->replicas[i].id == id) {
            return &request->replicas[i];
        }
    }
    return NULL;
}

/* Ranks the replicas of a request's key in one epoch. */
static size_t
replicas_of(const struct member_set *members, const struct request *request,
            const struct member *out[MEMBER_KEEPERS])
{
    return member_keepers(members,
                          hash_bytes(HASH_KEY, request->spec.key, WIRE_KEY),
                          MEMBER_KEEPERS, out);
}

/* Lists the replicas of all epochs that matter, each once. */
static void
list_replicas(const struct request_core *core, struct request *request)
{
    request->replica_count = 0;
    request->too_many = false;
    for (size_t e = 0; e < core->epoch_count; e++) {
        const struct request_epoch *epoch = &core->epochs[e];
        const struct member *set[MEMBER_KEEPERS];
        size_t count;

        if (e > 0 && fault_is(FAULT_NO_OLD_EPOCHS)) {
            continue;
        }
        count = replicas_of(&epoch->members, request, set);
        for (size_t i = 0; i < count; i++) {
            struct request_replica *replica;

            if (find_replica(request, set[i]->id) != NULL) {
                continue;
            }
            if (request->replica_count == REQUEST_REPLICAS) {
                request->too_many = true;
                return;
            }
            replica = &request->replicas[request->replica_count++];
            *replica = (struct request_replica){
                .id = set[i]->id,
                .current = e == 0,
                .alive = member_find(&core->alive, set[i]->id) != NULL};
        }
    }
}

/* Fills the claim that goes to replicas. */
void
request_fill_claim(const struct request_core *core,
                   const struct request *request, wire_claim *out)
{
    memset(out, 0, sizeof(*out));
    memcpy(out->key, request->spec.key, WIRE_KEY);
    memcpy(out->digest, request->spec.digest, WIRE_KEY);
    out->epoch = core->epochs[0].members.epoch;
    out->coordinator = core->self;
    out->token = request->spec.token;
    out->deadline = request->spec.wall_deadline;
}

/* Sends the claim, or a probe, to replicas that have not answered. */
void
request_send_claims(struct request_core *core, struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];
        wire_msg *msg;

        if (replica->heard || !replica->alive) {
            continue;
        }
        msg = request_send(core, replica->id);
        msg->kind = WIRE_CLAIM;
        request_fill_claim(core, request, &msg->wire_msg_u.claim);
        msg->wire_msg_u.claim.probe =
            !replica->current || request->state == REQUEST_WAITING;
    }
}

/* Starts the claim, or starts it again in a new epoch. */
void
request_start_claim(struct request_core *core, uint64_t now,
                    struct request *request)
{
    request->state = REQUEST_CLAIMING;
    request->resend_at = now + REQUEST_RESEND_MS;
    g_array_set_size(request->absorbed, 0);
    list_replicas(core, request);
    request_send_claims(core, request);
}

/* Says whether a replica's own answer shows that it holds nothing. */
static bool
is_clean_answer(const struct request_replica *replica)
{
    return replica->heard && (replica->result == WIRE_CLAIM_GRANTED ||
                              replica->result == WIRE_CLAIM_NONE);
}

/* Says whether a replica shows that it granted nothing in an epoch: it holds
 * nothing, or what it holds was granted later. */
static bool
is_clean_for(const struct request_replica *replica, uint64_t epoch)
{
    return is_clean_answer(replica) ||
           (replica->heard && replica->result == WIRE_CLAIM_HELD &&
            replica->holder_epoch > epoch);
}

/* Finds the members of an epoch that is still known. */
static const struct member_set *
members_of(const struct request_core *core, uint64_t epoch)
{
    for (size_t e = 0; e < core->epoch_count; e++) {
        if (core->epochs[e].members.epoch == epoch) {
            return &core->epochs[e].members;
        }
    }
    return NULL;
}

/* Says whether a handover covered this key. */
static bool
is_covered(const struct request_core *core, const struct request *request,
           const wire_absorbed *a)
{
    const struct member_set *before = members_of(core, a->before);
    const struct member_set *after = members_of(core, a->epoch);

    return before != NULL && after != NULL &&
           claim_is_owed(before, after, request->spec.key, a->holder,
                         a->entry);
}

/* Says whether the records of a stopped entry for this key were taken over
 * by a clean replica, or by one that stopped in turn and was taken over. */
static bool
is_absorbed(const struct request_core *core, struct request *request,
            uint64_t id, int depth)
{
    for (guint i = 0; i < request->absorbed->len; i++) {
        const wire_absorbed *a =
            &g_array_index(request->absorbed, wire_absorbed, i);
        const struct request_replica *holder;

        if (a->entry != id || !is_covered(core, request, a)) {
            continue;
        }
        holder = find_replica(request, a->holder);
        if ((holder != NULL && is_clean_answer(holder)) ||
            (depth > 0 && is_absorbed(core, request, a->holder, depth - 1))) {
            return true;
        }
    }
    return false;
}

/* Counts, for one epoch's set, who is clean. */
static void
count_set(const struct request_core *core, const struct request *request,
          size_t epoch, size_t *size, size_t *clean)
{
    const struct member *set[MEMBER_KEEPERS];
    uint64_t number = core->epochs[epoch].members.epoch;

    *size = replicas_of(&core->epochs[epoch].members, request, set);
    *clean = 0;
    for (size_t i = 0; i < *size; i++) {
        const struct request_replica *replica =
            find_replica((struct request *)request, set[i]->id);

        if (replica == NULL) {
            continue;
        }
        if ((epoch == 0 ? is_clean_answer(replica)
                        : is_clean_for(replica, number)) ||
            is_absorbed(core, (struct request *)request, set[i]->id,
                        ABSORBED_DEPTH)) {
            (*clean)++;
        }
    }
}

/* Says whether a majority granted it in the epoch in force. */
static bool
has_majority(const struct request_core *core, const struct request *request)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t size = replicas_of(&core->epochs[0].members, request, set);
    size_t granted = 0;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        granted += replica->current && replica->heard &&
                   replica->result == WIRE_CLAIM_GRANTED;
    }
    return fault_is(FAULT_NO_MAJORITY) ? granted > 0 : granted > size / 2;
}

/* Says whether a replica of one epoch's set reported another holder. */
static bool
is_held_in(const struct request_core *core, const struct request *request,
           size_t epoch)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t size = replicas_of(&core->epochs[epoch].members, request, set);

    for (size_t i = 0; i < size; i++) {
        const struct request_replica *replica =
            find_replica((struct request *)request, set[i]->id);

        if (replica != NULL && replica->heard &&
            replica->result == WIRE_CLAIM_HELD) {
            return true;
        }
    }
    return false;
}

/* Says whether a replica of any epoch that is alive has not answered. */
static bool
is_any_open(const struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        if (request->replicas[i].alive && !request->replicas[i].heard) {
            return true;
        }
    }
    return false;
}

/* Judges the earlier epochs: all clean, some open, held, or one lost. */
static enum claim_verdict
judge_old(const struct request_core *core, const struct request *request)
{
    enum claim_verdict verdict = VERDICT_OURS;

    if (fault_is(FAULT_NO_OLD_EPOCHS)) {
        return verdict;
    }
    if (core->history_cut || request->too_many) {
        return VERDICT_OLD_LOST;
    }
    for (size_t e = 1; e < core->epoch_count; e++) {
        size_t size;
        size_t clean;

        count_set(core, request, e, &size, &clean);
        if (clean > size / 2 || size == 0) {
            continue;
        }
        /* One that still answers may know the outcome, or have taken over
         * the records of one that stopped. */
        if (!is_any_open(request)) {
            return is_held_in(core, request, e) ? VERDICT_HELD
                                                : VERDICT_OLD_LOST;
        }
        verdict = VERDICT_OPEN;
    }
    return verdict;
}

/* Adds the answers up. */
enum claim_verdict
request_judge(const struct request_core *core, const struct request *request)
{
    bool held = false;
    size_t open = 0;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (!replica->heard) {
            open += replica->alive && replica->current;
            continue;
        }
        if (replica->result == WIRE_CLAIM_CONFLICT) {
            return VERDICT_CONFLICT;
        }
        held = held || replica->result == WIRE_CLAIM_HELD;
    }
    if (request->outcome.reason != 0) {
        return VERDICT_DONE;
    }
    /* A minority that another holds has lost the race, or belongs to an
     * earlier epoch; then that epoch's own set tells. */
    if (has_majority(core, request)) {
        return judge_old(core, request);
    }
    if (held && open == 0) {
        return VERDICT_HELD;
    }
    return VERDICT_OPEN;
}

/* Says whether all that was heard proves that the key has not run. */
bool
request_is_clean(const struct request_core *core,
                 const struct request *request)
{
    if (!request->spec.keyed) {
        return true;
    }
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->heard && !is_clean_answer(replica) &&
            replica->result != WIRE_CLAIM_EPOCH) {
            return false;
        }
    }
    for (size_t e = 0; e < core->epoch_count; e++) {
        size_t size;
        size_t clean;

        count_set(core, request, e, &size, &clean);
        if (clean <= size / 2) {
            return false;
        }
    }
    return core->epoch_count > 0 && !core->history_cut && !request->too_many;
}

/* Finds a holder that is not a member of the epoch in force any more. */
static bool
is_holder_gone(const struct request_core *core, const struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->heard && replica->result == WIRE_CLAIM_HELD &&
            member_find(&core->alive, replica->holder) == NULL) {
            return true;
        }
    }
    return false;
}

/* Remembers who holds the key. */
static void
note_holder(struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->heard && replica->result == WIRE_CLAIM_HELD) {
            request->holder = replica->holder;
            request->holder_token = replica->holder_token;
        }
    }
}

/* Gives back grants, and waits for the one that holds the key. */
static void
wait_for_holder(struct request_core *core, uint64_t now,
                struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];
        wire_finish *finish;
        wire_msg *msg;

        if (!replica->heard || !replica->current ||
            replica->result != WIRE_CLAIM_GRANTED) {
            continue;
        }
        msg = request_send(core, replica->id);
        msg->kind = WIRE_FINISH;
        finish = &msg->wire_msg_u.finish;
        request_fill_claim(core, request, &finish->claim);
        finish->outcome.kind = WIRE_OUTCOME_NOT_RUN;
        finish->outcome.reason = RULE_KEY_RUNNING;
        finish->outcome.retry_ms = REQUEST_RESEND_MS;
    }
    note_holder(request);
    request->state = REQUEST_WAITING;
    request->resend_at = now + REQUEST_RESEND_MS;
}

/* Says whether another contender goes first: any, when this one was granted
 * nothing; else one with a smaller id, so that of several one stays. */
static bool
must_give_way(const struct request_core *core, const struct request *request)
{
    bool granted = false;
    bool first = true;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (!replica->heard) {
            continue;
        }
        granted = granted || replica->result == WIRE_CLAIM_GRANTED;
        if (replica->result == WIRE_CLAIM_HELD &&
            (replica->holder < core->self ||
             (replica->holder == core->self &&
              replica->holder_token < request->spec.token))) {
            first = false;
        }
    }
    return !granted || !first;
}

/* Gives way, or asks those again that are held by contenders who will. */
static void
contend(struct request_core *core, uint64_t now, struct request *request)
{
    if (must_give_way(core, request)) {
        wait_for_holder(core, now, request);
        return;
    }
    for (size_t i = 0; i < request->replica_count; i++) {
        struct request_replica *replica = &request->replicas[i];

        if (replica->heard && replica->result == WIRE_CLAIM_HELD) {
            replica->heard = false;
        }
    }
}

/* Goes on as the answers allow. */
void
request_act_on_claim(struct request_core *core, uint64_t now,
                     struct request *request)
{
    switch (request_judge(core, request)) {
    case VERDICT_OPEN:
        return;
    case VERDICT_OURS:
        if (request->state != REQUEST_CLAIMING) {
            return;
        }
        if (request->holder != 0 && request->released != 0) {
            request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                        request->released, request->released_retry_ms);
            return;
        }
        request_ask_gate(core, now, request);
        return;
    case VERDICT_DONE:
        request_end(core, now, request, request->outcome.kind, RULE_KEY_DONE,
                    request->outcome.retry_ms);
        return;
    case VERDICT_CONFLICT:
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                    RULE_KEY_CONFLICT, 0);
        return;
    case VERDICT_OLD_LOST:
        request_end(core, now, request, WIRE_OUTCOME_UNKNOWN, RULE_OLD_LOST,
                    CLAIM_HORIZON_MS);
        return;
    case VERDICT_HELD:
        if (is_holder_gone(core, request)) {
            request_end(core, now, request, WIRE_OUTCOME_UNKNOWN,
                        RULE_COORDINATOR_LOST, CLAIM_HORIZON_MS);
        }
        else if (request->state == REQUEST_CLAIMING) {
            contend(core, now, request);
        }
        return;
    }
}

/* Takes the outcome of a record. A record that was released holds nothing;
 * only the release by the holder that is waited for says something. */
static void
take_done(struct request *request, struct request_replica *replica,
          const wire_claim_reply *reply)
{
    if (reply->outcome->kind != WIRE_OUTCOME_NOT_RUN) {
        claim_copy_outcome(reply->outcome, &request->outcome);
        request->outcome.reason = MAX(request->outcome.reason, 1);
        return;
    }
    replica->result = WIRE_CLAIM_NONE;
    /* One that only gave way was not refused. */
    if (request->state == REQUEST_WAITING &&
        reply->outcome->reason != RULE_KEY_RUNNING &&
        reply->holder == request->holder &&
        reply->holder_token == request->holder_token) {
        request->released = (enum ring_rule)reply->outcome->reason;
        request->released_retry_ms = reply->outcome->retry_ms;
    }
}

/* Says whether every current replica that is alive answered, and none of
 * them is held. */
static bool
is_free_again(const struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->alive && replica->current &&
            (!replica->heard || replica->result == WIRE_CLAIM_HELD)) {
            return false;
        }
    }
    return true;
}

/* Takes what one replica said. */
void
request_take_claim_reply(struct request_core *core, uint64_t now,
                         const wire_claim_reply *reply)
{
    struct request *request =
        g_hash_table_lookup(core->requests, &reply->token);
    struct request_replica *replica;

    if (request == NULL || (request->state != REQUEST_CLAIMING &&
                            request->state != REQUEST_WAITING)) {
        return;
    }
    replica = find_replica(request, reply->replica);
    if (replica == NULL || core->epoch_count == 0 ||
        reply->epoch < core->epochs[0].members.epoch ||
        reply->result == WIRE_CLAIM_EPOCH ||
        (reply->probe && request->state == REQUEST_CLAIMING &&
         replica->current)) {
        return;
    }
    replica->heard = true;
    replica->result = reply->result;
    replica->holder = reply->holder;
    replica->holder_token = reply->holder_token;
    replica->holder_epoch = reply->holder_epoch;
    g_array_append_vals(request->absorbed, reply->absorbed.absorbed_val,
                        reply->absorbed.absorbed_len);
    if (reply->result == WIRE_CLAIM_DONE && reply->outcome != NULL) {
        take_done(request, replica, reply);
    }
    if (request->state == REQUEST_WAITING && request->outcome.reason == 0 &&
        is_free_again(request)) {
        /* Claimed once more, so that what is said next is surely true. */
        request->claim_deadline =
            MIN(request->spec.deadline, now + REQUEST_CLAIM_MS);
        request_start_claim(core, now, request);
        return;
    }
    request_act_on_claim(core, now, request);
}

/* Lets time pass for a claim, or for one that waits for another. */
void
request_tick_claim(struct request_core *core, uint64_t now,
                   struct request *request)
{
    if (now < request->resend_at) {
        return;
    }
    request->resend_at = now + REQUEST_RESEND_MS;
    if (request->state == REQUEST_WAITING) {
        for (size_t i = 0; i < request->replica_count; i++) {
            request->replicas[i].heard = false;
        }
    }
    else if (now >= request->claim_deadline) {
        request_end(core, now, request,
                    request_is_clean(core, request) ? WIRE_OUTCOME_NOT_RUN
                                                    : WIRE_OUTCOME_UNKNOWN,
                    RULE_NO_MAJORITY, 1000);
        return;
    }
    request_send_claims(core, request);
}
