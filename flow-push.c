/*
 * Replication of flow records between entries. A new view or epoch starts a
 * pass over all records, which queues those that keepers lack as
 * FLOW_SEND_PUSH.
 */
#include "flow-internal.h"

#include <string.h>

#include "hash.h"

void
flow_enqueue(struct flow *flow, uint64_t peer, uint64_t hash,
             upstream_id upstream, enum flow_send_class class)
{
    const struct flow_upstream *u = flow_upstream(flow, upstream);
    struct flow_send *send;

    if (u == NULL || (class == FLOW_SEND_PUSH && flow->options.push_off)) {
        return;
    }
    send = g_new(struct flow_send, 1);
    *send = (struct flow_send){.peer = peer,
                               .hash = hash,
                               .address = u->address,
                               .port = u->port,
                               .class = class};
    g_queue_push_tail(&flow->send_queues[class], send);
}

/* Starts the most urgent pending pass. */
void
flow_start_pass(struct flow *flow)
{
    if (flow->pass != PASS_NONE && !flow->move_pending) {
        return;
    }
    if (flow->move_pending) {
        /* An interrupted epoch pass restarts after this one. */
        flow->epoch_pending = flow->epoch_pending || flow->pass == PASS_EPOCH;
        flow->move_pending = false;
        flow->pass = PASS_MOVE;
        flow->cursor = 0;
    }
    else if (flow->orphans_pending) {
        flow->orphans_pending = false;
        flow->pass = PASS_ORPHANS;
        flow->cursor = 0;
    }
    else if (flow->epoch_pending) {
        flow->epoch_pending = false;
        flow->pass = PASS_EPOCH;
        flow->cursor = 0;
    }
}

bool
flow_is_pushed(const struct flow *flow)
{
    return flow->pass == PASS_NONE && !flow->move_pending &&
           !flow->epoch_pending && !flow->orphans_pending &&
           flow->send_queues[FLOW_SEND_PUSH].length == 0;
}

void
flow_set_members(struct flow *flow, uint64_t now,
                 const struct member_set *members)
{
    if (members->epoch <= flow->members.epoch) {
        return;
    }
    for (size_t i = 0; i < flow->members.count; i++) {
        if (member_find(members, flow->members.items[i].id) == NULL) {
            flow->orphans_until = now + FLOW_IDLE_TIMEOUT_S * 1000ULL;
            /* The lost entry may not have pushed its own records. */
            flow->orphans_pending = flow->step < FLOW_STEP_FLIP;
        }
    }
    flow_clear_filters(flow);
    if (flow->orphans_pending) {
        flow->filter_due = true;
        flow->orphan_pass_at = now + FLOW_ORPHANS_DELAY_MS;
    }
    /* An unfinished pass keeps comparing with its own old members, so a
     * second loss shortly after the first skips no record. */
    if (flow->pass != PASS_EPOCH && !flow->epoch_pending) {
        member_set_assign(&flow->old_members, flow->members.epoch,
                          flow->members.items, flow->members.count);
    }
    member_set_assign(&flow->members, members->epoch, members->items,
                      members->count);
    flow->replicated_at = now + FLOW_REPLICATION_MS;
    flow->epoch_pending = true;
    if (flow->pass == PASS_EPOCH) {
        flow->pass = PASS_NONE;
    }
    flow_start_pass(flow);
}

static bool
includes(const struct member *const *keepers, size_t count, uint64_t id)
{
    for (size_t i = 0; i < count; i++) {
        if (keepers[i]->id == id) {
            return true;
        }
    }
    return false;
}

/* True if this entry is the first old keeper that is still a member. Only
 * that keeper pushes. */
static bool
is_first_survivor(const struct flow *flow, const struct member *const *old,
                  size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (member_find(&flow->members, old[i]->id) != NULL) {
            return old[i]->id == flow->options.self;
        }
    }
    return true;
}

/* After an epoch change: queues a record for keepers that are new to it. */
static void
push_to_new_keepers(struct flow *flow, const struct flow_record *record,
                    const struct member *const *keepers, size_t count)
{
    const struct member *old[MEMBER_KEEPERS];
    size_t old_count = member_keepers(&flow->old_members,
                                      hash_pair(HASH_BUCKET, record->hash, 0),
                                      MEMBER_KEEPERS, old);

    if (!is_first_survivor(flow, old, old_count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (!includes(old, old_count, keepers[i]->id) &&
            keepers[i]->id != flow->options.self) {
            flow_enqueue(flow, keepers[i]->id, record->hash, record->upstream,
                         FLOW_SEND_PUSH);
        }
    }
}

/* Queues a record for the keepers that the current pass selects. */
static void
push_record(struct flow *flow, const struct flow_record *record,
            bool is_moving)
{
    bool origin = record->flags & FLOW_FLAG_ORIGIN;
    const struct member *keepers[MEMBER_KEEPERS];
    size_t count;

    if (flow->pass == PASS_MOVE && (!origin || !is_moving)) {
        return;
    }
    if (flow->pass == PASS_ORPHANS && (origin || !is_moving)) {
        return;
    }
    count =
        member_keepers(&flow->members, hash_pair(HASH_BUCKET, record->hash, 0),
                       MEMBER_KEEPERS, keepers);
    if (flow->pass == PASS_EPOCH) {
        push_to_new_keepers(flow, record, keepers, count);
        return;
    }
    if (flow->pass == PASS_ORPHANS) {
        /* Every holder pushes: two keepers suffice. */
        count =
            includes(keepers, count, flow->options.self) ? 0 : MIN(count, 2);
    }
    for (size_t i = 0; i < count; i++) {
        bool has_record =
            flow->pass == PASS_ORPHANS &&
            flow_filter_contains(flow, keepers[i]->id, record->hash);

        if (keepers[i]->id != flow->options.self && !has_record) {
            flow_enqueue(flow, keepers[i]->id, record->hash, record->upstream,
                         FLOW_SEND_PUSH);
        }
    }
}

static void
scan_slot(struct flow *flow, const struct flow_record *record)
{
    const struct flow_upstream *u;
    upstream_id new_owner;
    upstream_id old_owner;
    bool is_moving;

    if (record->hash == 0) {
        return;
    }
    u = flow_upstream(flow, record->upstream);
    if (u == NULL) {
        return;
    }
    is_moving = flow_bucket_is_moving(flow, &flow->services[u->service],
                                      record->hash, &new_owner, &old_owner);
    if (record->upstream != new_owner ||
        (is_moving && flow->step < FLOW_STEP_FLIP)) {
        push_record(flow, record, is_moving);
    }
}

/* Finishes a pass and starts the next one. */
static void
finish_pass(struct flow *flow, uint64_t now)
{
    if (flow->pass == PASS_MOVE && now < flow->orphans_until) {
        flow->orphans_pending = true;
        flow->filter_due = true;
        flow->orphan_pass_at = now + FLOW_ORPHANS_DELAY_MS;
    }
    flow->cursor = 0;
    flow->pass = PASS_NONE;
    flow_start_pass(flow);
}

bool
flow_scan(struct flow *flow, uint64_t now, size_t slots)
{
    size_t end = MIN(flow->cursor + slots, flow->store.mask + 1);

    if (flow->pass == PASS_NONE) {
        return true;
    }
    if (flow->pass == PASS_ORPHANS && now < flow->orphan_pass_at) {
        return false;
    }
    while (flow->cursor < end &&
           flow->send_queues[FLOW_SEND_PUSH].length < FLOW_QUEUE_MAX) {
        scan_slot(flow, &flow->store.records[flow->cursor]);
        flow->cursor++;
    }
    if (flow->cursor > flow->store.mask) {
        finish_pass(flow, now);
    }
    return flow->pass == PASS_NONE;
}

size_t
flow_dequeue(struct flow *flow, enum flow_send_class class,
             struct flow_send *out, size_t max)
{
    size_t count = 0;

    while (count < max && flow->send_queues[class].length > 0) {
        struct flow_send *send = g_queue_pop_head(&flow->send_queues[class]);

        out[count++] = *send;
        g_free(send);
    }
    counter_add(flow->options.counters, COUNTER_RECORDS_SENT, count);
    return count;
}
