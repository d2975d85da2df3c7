/*
 * Claim of a key: quorum reads and grants over its replicas in the current
 * epoch and in the earlier epochs of the retention window.
 */
#include <string.h>

#include "fault.h"
#include "hash.h"
#include "request-internal.h"

#define ABSORBED_DEPTH_MAX 6 /* chained planned stops */

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

static size_t
rank_replicas(const struct member_set *members, const struct request *request,
              const struct member *out[MEMBER_KEEPERS])
{
    return member_keepers(members,
                          hash_bytes(HASH_KEY, request->spec.key, WIRE_KEY),
                          MEMBER_KEEPERS, out);
}

/* Lists the replicas of all epochs, without duplicates. */
static void
collect_replicas(const struct request_core *core, struct request *request)
{
    request->replica_count = 0;
    request->replicas_truncated = false;
    for (size_t e = 0; e < core->epoch_count; e++) {
        const struct request_epoch *epoch = &core->epochs[e];
        const struct member *set[MEMBER_KEEPERS];
        size_t count;

        if (e > 0 && fault_is(FAULT_NO_OLD_EPOCHS)) {
            continue;
        }
        count = rank_replicas(&epoch->members, request, set);
        for (size_t i = 0; i < count; i++) {
            struct request_replica *replica;

            if (find_replica(request, set[i]->id) != NULL) {
                continue;
            }
            if (request->replica_count == REQUEST_REPLICAS_MAX) {
                request->replicas_truncated = true;
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

/* Sends claims to current replicas and probes to earlier ones; only to those
 * without a reply. */
void
request_send_claims(struct request_core *core, struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];
        wire_msg *msg;

        if (replica->replied || !replica->alive) {
            continue;
        }
        msg = request_send(core, replica->id);
        msg->kind = WIRE_CLAIM;
        request_fill_claim(core, request, &msg->wire_msg_u.claim);
        msg->wire_msg_u.claim.probe =
            !replica->current || request->state == REQUEST_WAITING;
    }
}

/* Starts a claim, or restarts it in a new epoch. */
void
request_start_claim(struct request_core *core, uint64_t now,
                    struct request *request)
{
    request->state = REQUEST_CLAIMING;
    request->resend_at = now + REQUEST_RESEND_MS;
    g_array_set_size(request->absorbed, 0);
    collect_replicas(core, request);
    request_send_claims(core, request);
}

static bool
has_no_other_claim(const struct request_replica *replica)
{
    return replica->replied && (replica->result == WIRE_CLAIM_GRANTED ||
                                replica->result == WIRE_CLAIM_NONE);
}

/* True unless another request claimed the key in this epoch or before. */
static bool
had_no_claim_in_epoch(const struct request_replica *replica, uint64_t epoch)
{
    return has_no_other_claim(replica) ||
           (replica->replied && replica->result == WIRE_CLAIM_HELD &&
            replica->holder_epoch > epoch);
}

static const struct member_set *
find_members(const struct request_core *core, uint64_t epoch)
{
    for (size_t e = 0; e < core->epoch_count; e++) {
        if (core->epochs[e].members.epoch == epoch) {
            return &core->epochs[e].members;
        }
    }
    return NULL;
}

static bool
handover_covers_key(const struct request_core *core,
                    const struct request *request, const wire_absorbed *a)
{
    const struct member_set *before = find_members(core, a->before);
    const struct member_set *after = find_members(core, a->epoch);

    return before != NULL && after != NULL &&
           claim_needs_handover(before, after, request->spec.key, a->holder,
                                a->entry);
}

/* True if a stopped entry handed over its records of this key to a replica
 * without another claim, directly or through further stopped entries. */
static bool
is_handed_over(const struct request_core *core, struct request *request,
               uint64_t id, int depth)
{
    for (guint i = 0; i < request->absorbed->len; i++) {
        const wire_absorbed *a =
            &g_array_index(request->absorbed, wire_absorbed, i);
        const struct request_replica *holder;

        if (a->entry != id || !handover_covers_key(core, request, a)) {
            continue;
        }
        holder = find_replica(request, a->holder);
        if ((holder != NULL && has_no_other_claim(holder)) ||
            (depth > 0 &&
             is_handed_over(core, request, a->holder, depth - 1))) {
            return true;
        }
    }
    return false;
}

/* Counts the replicas of one epoch without another claim. */
static void
count_unclaimed(const struct request_core *core, const struct request *request,
                size_t epoch, size_t *size, size_t *unclaimed)
{
    const struct member *set[MEMBER_KEEPERS];
    uint64_t number = core->epochs[epoch].members.epoch;

    *size = rank_replicas(&core->epochs[epoch].members, request, set);
    *unclaimed = 0;
    for (size_t i = 0; i < *size; i++) {
        const struct request_replica *replica =
            find_replica((struct request *)request, set[i]->id);

        if (replica == NULL) {
            continue;
        }
        if ((epoch == 0 ? has_no_other_claim(replica)
                        : had_no_claim_in_epoch(replica, number)) ||
            is_handed_over(core, (struct request *)request, set[i]->id,
                           ABSORBED_DEPTH_MAX)) {
            (*unclaimed)++;
        }
    }
}

/* Counts grants of the current epoch only. */
static bool
has_majority(const struct request_core *core, const struct request *request)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t size = rank_replicas(&core->epochs[0].members, request, set);
    size_t granted = 0;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        granted += replica->current && replica->replied &&
                   replica->result == WIRE_CLAIM_GRANTED;
    }
    return fault_is(FAULT_NO_MAJORITY) ? granted > 0 : granted > size / 2;
}

/* A replica of one epoch reported another holder. */
static bool
is_held_in(const struct request_core *core, const struct request *request,
           size_t epoch)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t size = rank_replicas(&core->epochs[epoch].members, request, set);

    for (size_t i = 0; i < size; i++) {
        const struct request_replica *replica =
            find_replica((struct request *)request, set[i]->id);

        if (replica != NULL && replica->replied &&
            replica->result == WIRE_CLAIM_HELD) {
            return true;
        }
    }
    return false;
}

static bool
is_reply_missing(const struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        if (request->replicas[i].alive && !request->replicas[i].replied) {
            return true;
        }
    }
    return false;
}

/* Each earlier epoch needs a majority of replicas without a claim. */
static enum claim_verdict
evaluate_old_epochs(const struct request_core *core,
                    const struct request *request)
{
    enum claim_verdict verdict = VERDICT_GRANTED;

    if (fault_is(FAULT_NO_OLD_EPOCHS)) {
        return verdict;
    }
    if (core->epochs_truncated || request->replicas_truncated) {
        return VERDICT_REPLICAS_LOST;
    }
    for (size_t e = 1; e < core->epoch_count; e++) {
        size_t size;
        size_t unclaimed;

        count_unclaimed(core, request, e, &size, &unclaimed);
        if (unclaimed > size / 2 || size == 0) {
            continue;
        }
        /* A pending replica may have the outcome, or the records of a
         * stopped entry. */
        if (!is_reply_missing(request)) {
            return is_held_in(core, request, e) ? VERDICT_HELD
                                                : VERDICT_REPLICAS_LOST;
        }
        verdict = VERDICT_PENDING;
    }
    return verdict;
}

enum claim_verdict
request_evaluate_claim(const struct request_core *core,
                       const struct request *request)
{
    bool held = false;
    size_t pending = 0;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (!replica->replied) {
            pending += replica->alive && replica->current;
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
    /* Any other holder then has a minority of this epoch, or a grant of an
     * earlier epoch, which evaluate_old_epochs() checks. */
    if (has_majority(core, request)) {
        return evaluate_old_epochs(core, request);
    }
    if (held && pending == 0) {
        return VERDICT_HELD;
    }
    return VERDICT_PENDING;
}

/* The replies prove that no request with this key has run. */
bool
request_never_ran(const struct request_core *core,
                  const struct request *request)
{
    if (!request->spec.keyed) {
        return true;
    }
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->replied && !has_no_other_claim(replica) &&
            replica->result != WIRE_CLAIM_EPOCH) {
            return false;
        }
    }
    for (size_t e = 0; e < core->epoch_count; e++) {
        size_t size;
        size_t unclaimed;

        count_unclaimed(core, request, e, &size, &unclaimed);
        if (unclaimed <= size / 2) {
            return false;
        }
    }
    return core->epoch_count > 0 && !core->epochs_truncated &&
           !request->replicas_truncated;
}

/* A holder is no longer a member of the current epoch. */
static bool
is_holder_gone(const struct request_core *core, const struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->replied && replica->result == WIRE_CLAIM_HELD &&
            member_find(&core->alive, replica->holder) == NULL) {
            return true;
        }
    }
    return false;
}

static void
record_holder(struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->replied && replica->result == WIRE_CLAIM_HELD) {
            request->holder = replica->holder;
            request->holder_token = replica->holder_token;
        }
    }
}

/* Releases the grants of this request and waits for the holder. */
static void
wait_for_holder(struct request_core *core, uint64_t now,
                struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];
        wire_finish *finish;
        wire_msg *msg;

        if (!replica->replied || !replica->current ||
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
    record_holder(request);
    request->state = REQUEST_WAITING;
    request->resend_at = now + REQUEST_RESEND_MS;
}

/* Tie break between contenders: a request without a grant yields to any, else
 * to a holder with a lower (entry, token). */
static bool
must_yield(const struct request_core *core, const struct request *request)
{
    bool granted = false;
    bool has_lowest_id = true;

    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (!replica->replied) {
            continue;
        }
        granted = granted || replica->result == WIRE_CLAIM_GRANTED;
        if (replica->result == WIRE_CLAIM_HELD &&
            (replica->holder < core->self ||
             (replica->holder == core->self &&
              replica->holder_token < request->spec.token))) {
            has_lowest_id = false;
        }
    }
    return !granted || !has_lowest_id;
}

/* Yields, or asks the replicas again that other contenders will release. */
static void
resolve_contention(struct request_core *core, uint64_t now,
                   struct request *request)
{
    if (must_yield(core, request)) {
        wait_for_holder(core, now, request);
        return;
    }
    for (size_t i = 0; i < request->replica_count; i++) {
        struct request_replica *replica = &request->replicas[i];

        if (replica->replied && replica->result == WIRE_CLAIM_HELD) {
            replica->replied = false;
        }
    }
}

void
request_advance_claim(struct request_core *core, uint64_t now,
                      struct request *request)
{
    switch (request_evaluate_claim(core, request)) {
    case VERDICT_PENDING:
        return;
    case VERDICT_GRANTED:
        if (request->state != REQUEST_CLAIMING) {
            return;
        }
        if (request->holder != 0 && request->release_reason != 0) {
            request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                        request->release_reason, request->release_retry_ms);
            return;
        }
        request_acquire_slot(core, now, request);
        return;
    case VERDICT_DONE:
        request_end(core, now, request, request->outcome.kind, RULE_KEY_DONE,
                    request->outcome.retry_ms);
        return;
    case VERDICT_CONFLICT:
        request_end(core, now, request, WIRE_OUTCOME_NOT_RUN,
                    RULE_KEY_CONFLICT, 0);
        return;
    case VERDICT_REPLICAS_LOST:
        request_end(core, now, request, WIRE_OUTCOME_UNKNOWN, RULE_OLD_LOST,
                    CLAIM_DEADLINE_MAX_MS);
        return;
    case VERDICT_HELD:
        if (is_holder_gone(core, request)) {
            request_end(core, now, request, WIRE_OUTCOME_UNKNOWN,
                        RULE_COORDINATOR_LOST, CLAIM_DEADLINE_MAX_MS);
        }
        else if (request->state == REQUEST_CLAIMING) {
            resolve_contention(core, now, request);
        }
        return;
    }
}

/* Applies a record's outcome. A released record counts as no record; its
 * reason matters only if the awaited holder released it. */
static void
handle_done(struct request *request, struct request_replica *replica,
            const wire_claim_reply *reply)
{
    if (reply->outcome->kind != WIRE_OUTCOME_NOT_RUN) {
        claim_copy_outcome(reply->outcome, &request->outcome);
        request->outcome.reason = MAX(request->outcome.reason, 1);
        return;
    }
    replica->result = WIRE_CLAIM_NONE;
    /* KEY_RUNNING: the holder yielded and was not refused. */
    if (request->state == REQUEST_WAITING &&
        reply->outcome->reason != RULE_KEY_RUNNING &&
        reply->holder == request->holder &&
        reply->holder_token == request->holder_token) {
        request->release_reason = (enum ring_rule)reply->outcome->reason;
        request->release_retry_ms = reply->outcome->retry_ms;
    }
}

/* Every live current replica replied, and none is held. */
static bool
is_released(const struct request *request)
{
    for (size_t i = 0; i < request->replica_count; i++) {
        const struct request_replica *replica = &request->replicas[i];

        if (replica->alive && replica->current &&
            (!replica->replied || replica->result == WIRE_CLAIM_HELD)) {
            return false;
        }
    }
    return true;
}

void
request_handle_claim_reply(struct request_core *core, uint64_t now,
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
    replica->replied = true;
    replica->result = reply->result;
    replica->holder = reply->holder;
    replica->holder_token = reply->holder_token;
    replica->holder_epoch = reply->holder_epoch;
    g_array_append_vals(request->absorbed, reply->absorbed.absorbed_val,
                        reply->absorbed.absorbed_len);
    if (reply->result == WIRE_CLAIM_DONE && reply->outcome != NULL) {
        handle_done(request, replica, reply);
    }
    if (request->state == REQUEST_WAITING && request->outcome.reason == 0 &&
        is_released(request)) {
        /* The replies may be outdated: claim again before a decision. */
        request->claim_deadline =
            MIN(request->spec.deadline, now + REQUEST_CLAIM_TIMEOUT_MS);
        request_start_claim(core, now, request);
        return;
    }
    request_advance_claim(core, now, request);
}

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
            request->replicas[i].replied = false;
        }
    }
    else if (now >= request->claim_deadline) {
        request_end(core, now, request,
                    request_never_ran(core, request) ? WIRE_OUTCOME_NOT_RUN
                                                     : WIRE_OUTCOME_UNKNOWN,
                    RULE_NO_MAJORITY, 1000);
        return;
    }
    request_send_claims(core, request);
}
