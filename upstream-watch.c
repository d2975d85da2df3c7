/*
 * Which upstreams are silent: registrations that stay away, what other nodes
 * say, and what a standstill of this one excuses. Owns the deadlines of
 * records; who an upstream is, and which word about it holds, is upstream.c's.
 */
#include "upstream-internal.h"

#include "fault.h"

/* Registrations that may stay away before an upstream counts as silent. A
 * false sign costs little: its flows go on, and the next one corrects it. */
#define MISSED_INTERVALS 2

/* The same for upstreams that this process has not heard itself: their node
 * was lost or began anew, and they turn to another one, whose word must come.
 */
#define MOVED_INTERVALS 4

/* Before such an upstream counts as silent, others are asked for what they
 * know of it, and have so long to answer: the way there and back, behind
 * queues of 40 ms at both ends, and a lost message of two. Two records of
 * 180,000 were called silent for some ms, of upstreams that registered, where
 * 300 nodes began anew and links lost 5%; none with the question. */
#define ANSWER_MS 250U

/* Deadline by which the next registration must have come. */
uint64_t
upstream_next_expiry(const struct upstream_set *set, uint64_t now)
{
    return now + MISSED_INTERVALS * set->interval_ms;
}

/* Deadline by which an upstream that this process has not heard must have
 * registered, here or elsewhere. */
uint64_t
upstream_moved_expiry(const struct upstream_set *set, uint64_t now)
{
    return now + MOVED_INTERVALS * set->interval_ms;
}

/* Forgets doubts: it answered, or registered. */
void
upstream_clear_doubts(struct upstream *upstream)
{
    upstream->doubts.count = 0;
    upstream->doubts.decide_at = 0;
}

/* Believes that an upstream does not answer. One that leaves goes on leaving:
 * a silent one gets new flows as a last resort. */
void
upstream_fall_silent(struct upstream_set *set, uint64_t now,
                     struct upstream *upstream, bool spread)
{
    upstream->expire_at = 0;
    if (upstream->state != UPSTREAM_READY || fault_is(FAULT_NO_SILENCE)) {
        return;
    }
    upstream->state = UPSTREAM_SILENT;
    upstream->changed_at = now;
    upstream_update_digest(set, upstream);
    if (spread) {
        upstream_note_change(set, upstream);
    }
}

/* Drops doubts that are too old, and that of a node which speaks again. */
static void
drop_doubts(struct upstream_doubts *doubts, uint64_t now, uint32_t node)
{
    for (uint32_t i = doubts->count; i > 0; i--) {
        if (now >= doubts->until[i - 1] || doubts->nodes[i - 1] == node) {
            doubts->count--;
            doubts->nodes[i - 1] = doubts->nodes[doubts->count];
            doubts->until[i - 1] = doubts->until[doubts->count];
        }
    }
}

/* Adds a doubt; with enough of them, what is to be believed is decided soon.
 */
static void
add_doubt(struct upstream_doubts *doubts, uint64_t now, uint32_t node)
{
    drop_doubts(doubts, now, node);
    if (doubts->count < UPSTREAM_DOUBTERS) {
        doubts->nodes[doubts->count] = node;
        doubts->until[doubts->count] = now + UPSTREAM_DOUBT_MS;
        doubts->count++;
    }
    if (doubts->count == UPSTREAM_DOUBTERS && doubts->decide_at == 0) {
        doubts->decide_at = now + UPSTREAM_DOUBT_WAIT_MS;
    }
}

/* Takes a node's doubt, unless the upstream registered since that data was
 * sent. */
void
upstream_take_doubt(struct upstream_set *set, uint64_t now, uint64_t id,
                    uint32_t node, uint32_t quiet_ms)
{
    struct upstream *upstream = upstream_by_id(set, id);

    if (upstream == NULL || upstream->state != UPSTREAM_READY ||
        upstream->keeper != set->self) {
        return;
    }
    if (quiet_ms == 0) {
        upstream_clear_doubts(upstream);
    }
    else if (now > upstream->heard_at + quiet_ms) {
        add_doubt(&upstream->doubts, now, node);
        if (upstream->doubts.decide_at != 0) {
            upstream_note_due(set, upstream->doubts.decide_at);
        }
    }
}

/* Next deadline of a record; UINT64_MAX when it has none. */
static uint64_t
due_at(const struct upstream *upstream)
{
    uint64_t decide_at = upstream->doubts.decide_at;

    if (upstream->state == UPSTREAM_GONE) {
        return upstream->forget_at;
    }
    if (upstream->expire_at == 0) {
        return UINT64_MAX;
    }
    return decide_at != 0 ? MIN(decide_at, upstream->expire_at)
                          : upstream->expire_at;
}

/* Asks others for an upstream that is watched and that this process never
 * heard; false when they were asked before, or there is no need to. */
static bool
ask_others(struct upstream_set *set, uint64_t now, struct upstream *upstream)
{
    if (upstream->asked || upstream->heard_at != 0 ||
        upstream->doubts.decide_at != 0 || fault_is(FAULT_NO_QUESTION)) {
        return false;
    }
    upstream->asked = true;
    upstream->expire_at = now + ANSWER_MS;
    upstream_note_due(set, upstream->expire_at);
    g_array_append_val(set->unsure, upstream->token);
    return true;
}

/* Lets time pass. Registrations put deadlines off, so the records are looked
 * at only once the earliest that was ever noted is over: about once in half of
 * an interval instead of at each wake-up. */
void
upstream_tick(struct upstream_set *set, uint64_t now)
{
    if (now < set->due_at) {
        return;
    }
    set->due_at = UINT64_MAX;
    for (guint i = set->all->len; i > 0; i--) {
        struct upstream *upstream = g_ptr_array_index(set->all, i - 1);

        if (now < due_at(upstream)) {
            upstream_note_due(set, due_at(upstream));
        }
        else if (upstream->state == UPSTREAM_GONE) {
            upstream_drop(set, upstream);
        }
        else if (!ask_others(set, now, upstream)) {
            upstream_fall_silent(set, now, upstream, true);
        }
    }
}

/* No deadline is earlier. */
uint64_t
upstream_deadline(const struct upstream_set *set)
{
    return set->due_at;
}

/* Puts off what is to be noticed. */
void
upstream_excuse(struct upstream_set *set, uint64_t now, uint64_t gap)
{
    if (fault_is(FAULT_NO_EXCUSE)) {
        return;
    }
    for (guint i = 0; i < set->all->len; i++) {
        struct upstream *upstream = g_ptr_array_index(set->all, i);

        if (upstream->expire_at != 0) {
            upstream->expire_at =
                MAX(upstream->expire_at + gap, upstream_next_expiry(set, now));
        }
    }
}

/* Watches what a lost keeper watched. */
void
upstream_adopt(struct upstream_set *set, uint64_t now, uint32_t keeper)
{
    uint64_t deadline = upstream_moved_expiry(set, now);

    for (guint i = 0; i < set->all->len; i++) {
        struct upstream *upstream = g_ptr_array_index(set->all, i);

        if (upstream->keeper == keeper && upstream->expire_at == 0 &&
            upstream->state < UPSTREAM_SILENT) {
            upstream->expire_at = deadline;
            upstream_note_due(set, deadline);
        }
    }
}
