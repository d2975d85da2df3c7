/*
 * Records that travel between entries. After a view or an epoch changes, a
 * scan of the records finds those that the keepers must hold; they are sent
 * within a budget of bytes. Answers to packets go first and unpaced.
 */
#include "flow-internal.h"

#include <string.h>

#include "hash.h"

/* Puts a record in a queue. */
void
flow_queue(struct flow *flow, uint64_t peer, uint64_t hash,
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
    g_queue_push_tail(&flow->sends[class], send);
}

/* Starts the most urgent pass that is pending. */
void
flow_begin_pass(struct flow *flow)
{
    if (flow->pass != PASS_NONE && !flow->move_pending) {
        return;
    }
    if (flow->move_pending) {
        /* An unfinished epoch pass starts again after this one. */
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

/* Says whether all records of the last change were sent. */
bool
flow_is_pushed(const struct flow *flow)
{
    return flow->pass == PASS_NONE && !flow->move_pending &&
           !flow->epoch_pending && !flow->orphans_pending &&
           flow->sends[FLOW_SEND_PUSH].length == 0;
}

/* Takes the members of a new epoch. */
void
flow_set_members(struct flow *flow, uint64_t now,
                 const struct member_set *members)
{
    if (members->epoch <= flow->members.epoch) {
        return;
    }
    for (size_t i = 0; i < flow->members.count; i++) {
        if (member_find(members, flow->members.items[i].id) == NULL) {
            flow->departed_until = now + FLOW_IDLE_S * 1000ULL;
            /* It may not have pushed what it was the origin of. */
            flow->orphans_pending = flow->step < FLOW_STEP_FLIP;
        }
    }
    flow_forget_known(flow);
    if (flow->orphans_pending) {
        flow->known_wanted = true;
        flow->orphans_at = now + FLOW_ORPHANS_MS;
    }
    /* While a pass is unfinished, its keepers before stay those to compare
     * with, so that a second loss right after the first skips no record. */
    if (flow->pass != PASS_EPOCH && !flow->epoch_pending) {
        member_set_assign(&flow->before, flow->members.epoch,
                          flow->members.items, flow->members.count);
    }
    member_set_assign(&flow->members, members->epoch, members->items,
                      members->count);
    flow->complete_at = now + FLOW_REPAIR_MS;
    flow->epoch_pending = true;
    if (flow->pass == PASS_EPOCH) {
        flow->pass = PASS_NONE;
    }
    flow_begin_pass(flow);
}

/* Says whether a list of keepers holds an entry. */
static bool
holds(const struct member *const *keepers, size_t count, uint64_t id)
{
    for (size_t i = 0; i < count; i++) {
        if (keepers[i]->id == id) {
            return true;
        }
    }
    return false;
}

/* Says whether this entry is the first of the old keepers still alive. */
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

/* After an epoch change: gives a record to keepers that are new to it. */
static void
push_to_new_keepers(struct flow *flow, const struct flow_record *record,
                    const struct member *const *keepers, size_t count)
{
    const struct member *old[MEMBER_KEEPERS];
    size_t old_count =
        member_keepers(&flow->before, hash_pair(HASH_BUCKET, record->hash, 0),
                       MEMBER_KEEPERS, old);

    if (!is_first_survivor(flow, old, old_count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (!holds(old, old_count, keepers[i]->id) &&
            keepers[i]->id != flow->options.self) {
            flow_queue(flow, keepers[i]->id, record->hash, record->upstream,
                       FLOW_SEND_PUSH);
        }
    }
}

/* Sends a record where the pass wants it. */
static void
push_record(struct flow *flow, const struct flow_record *record, bool moved)
{
    bool origin = record->flags & FLOW_FLAG_ORIGIN;
    const struct member *keepers[MEMBER_KEEPERS];
    size_t count;

    if (flow->pass == PASS_MOVE && (!origin || !moved)) {
        return;
    }
    if (flow->pass == PASS_ORPHANS && (origin || !moved)) {
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
        /* Every holder pushes, so two of the keepers must do. */
        count = holds(keepers, count, flow->options.self) ? 0 : MIN(count, 2);
    }
    for (size_t i = 0; i < count; i++) {
        bool known = flow->pass == PASS_ORPHANS &&
                     flow_is_known(flow, keepers[i]->id, record->hash);

        if (keepers[i]->id != flow->options.self && !known) {
            flow_queue(flow, keepers[i]->id, record->hash, record->upstream,
                       FLOW_SEND_PUSH);
        }
    }
}

/* Looks at one place of the table. */
static void
scan_place(struct flow *flow, const struct flow_record *record)
{
    const struct flow_upstream *u;
    upstream_id now_owner;
    upstream_id old_owner;
    bool moved;

    if (record->hash == 0) {
        return;
    }
    u = flow_upstream(flow, record->upstream);
    if (u == NULL) {
        return;
    }
    moved = flow_is_moved(flow, &flow->services[u->service], record->hash,
                          &now_owner, &old_owner);
    if (record->upstream != now_owner ||
        (moved && flow->step < FLOW_STEP_FLIP)) {
        push_record(flow, record, moved);
    }
}

/* Ends a pass and starts the next one. */
static void
end_pass(struct flow *flow, uint64_t now)
{
    if (flow->pass == PASS_MOVE && now < flow->departed_until) {
        flow->orphans_pending = true;
        flow->known_wanted = true;
        flow->orphans_at = now + FLOW_ORPHANS_MS;
    }
    flow->cursor = 0;
    flow->pass = PASS_NONE;
    flow_begin_pass(flow);
}

/* Scans some places of the table. */
bool
flow_scan(struct flow *flow, uint64_t now, size_t places)
{
    size_t end = MIN(flow->cursor + places, flow->store.mask + 1);

    if (flow->pass == PASS_NONE) {
        return true;
    }
    if (flow->pass == PASS_ORPHANS && now < flow->orphans_at) {
        return false;
    }
    while (flow->cursor < end &&
           flow->sends[FLOW_SEND_PUSH].length < FLOW_QUEUE_MAX) {
        scan_place(flow, &flow->store.records[flow->cursor]);
        flow->cursor++;
    }
    if (flow->cursor > flow->store.mask) {
        end_pass(flow, now);
    }
    return flow->pass == PASS_NONE;
}

/* Takes records of one class. */
size_t
flow_take(struct flow *flow, enum flow_send_class class, struct flow_send *out,
          size_t max)
{
    size_t count = 0;

    while (count < max && flow->sends[class].length > 0) {
        struct flow_send *send = g_queue_pop_head(&flow->sends[class]);

        out[count++] = *send;
        g_free(send);
    }
    counter_add(flow->options.counters, COUNTER_RECORDS_SENT, count);
    return count;
}
