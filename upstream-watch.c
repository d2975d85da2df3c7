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

/* Words that an upstream answers too soon count together for so long: the
 * nodes of a large deployment see an upstream once in some seconds each. */
#define TOO_SOON_MS 2000U
/* A sick upstream gets no new flows for so long the first time, then for twice
 * as long each time, up to four times. */
#define SICK_MS 3000U
#define SICK_DOUBLES 2U
/* It is called sick again while it still is only so shortly before the end. */
#define SICK_RENEW_MS 500U

/* An answer that a node saw speaks against a loss for so long. */
#define REFUTED_MS 1000U

/* Before such an upstream counts as silent, others are asked for what they
 * know of it, and have so long to answer: the way there and back, behind
 * queues of 40 ms at both ends, and a lost message of two. Where all nodes
 * begin anew, an upstream may register elsewhere before this one hears of it.
 */
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
    upstream->doubts.proved = false;
    upstream->missed = false;
}

/* Changes what is believed of an upstream, and tells others. */
static void
believe(struct upstream_set *set, uint64_t now, struct upstream *upstream,
        enum upstream_state state, bool spread)
{
    upstream->state = state;
    upstream->changed_at = now;
    upstream_update_digest(set, upstream);
    if (spread) {
        upstream_note_change(set, upstream);
    }
}

/* Believes that an upstream does not answer. One that leaves goes on leaving:
 * a silent one gets new flows as a last resort. */
void
upstream_fall_silent(struct upstream_set *set, uint64_t now,
                     struct upstream *upstream, bool spread)
{
    if (upstream->state == UPSTREAM_READY && !fault_is(FAULT_NO_SILENCE)) {
        believe(set, now, upstream, UPSTREAM_SILENT, spread);
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

/* A node saw an answer: what others doubted is refuted for a while. */
static void
drop_all_doubts(struct upstream_doubts *doubts, uint64_t now)
{
    doubts->count = 0;
    doubts->decide_at = 0;
    doubts->proved = false;
    doubts->refuted_at = now;
}

/* Takes a node's doubt, unless the upstream registered since that data was
 * sent. */
void
upstream_take_doubt(struct upstream_set *set, uint64_t now, uint64_t id,
                    uint32_t node, uint32_t quiet_ms)
{
    struct upstream *upstream = upstream_by_id(set, id);

    if (upstream == NULL || upstream->keeper != set->self ||
        (upstream->state != UPSTREAM_READY &&
         upstream->state != UPSTREAM_SILENT)) {
        return;
    }
    if (quiet_ms == 0) {
        drop_all_doubts(&upstream->doubts, now);
    }
    else if (now > upstream->heard_at + quiet_ms) {
        add_doubt(&upstream->doubts, now, node);
        if (upstream->doubts.decide_at != 0) {
            upstream_note_due(set, upstream->doubts.decide_at);
        }
    }
}

/* Counts a node among those that were answered too soon; true when there are
 * enough of them. */
static bool
note_too_soon(struct upstream_too_soon *told, uint64_t now, uint32_t node)
{
    size_t place = 0;
    size_t count = 0;

    for (size_t i = 0; i < UPSTREAM_DOUBTERS; i++) {
        if (told->nodes[i] == node) {
            place = i;
            break;
        }
        if (told->until[i] < told->until[place]) {
            place = i;
        }
    }
    told->nodes[place] = node;
    told->until[place] = now + TOO_SOON_MS;
    for (size_t i = 0; i < UPSTREAM_DOUBTERS; i++) {
        count += now < told->until[i];
    }
    return count == UPSTREAM_DOUBTERS;
}

/* Takes a node's word that an upstream answered far too soon. Several nodes,
 * since one may have a caller whose requests are light. Each time that it is
 * called sick again it stays so for longer, so that one that goes on failing
 * gets fewer and fewer new flows, and one that is well again is not kept away
 * for long the first time. */
void
upstream_take_too_soon(struct upstream_set *set, uint64_t now, uint64_t id,
                       uint32_t node)
{
    struct upstream *upstream = upstream_by_id(set, id);
    uint32_t times;

    if (upstream == NULL || upstream->state != UPSTREAM_READY ||
        upstream->keeper != set->self || fault_is(FAULT_NO_SICK) ||
        !note_too_soon(&upstream->too_soon, now, node) ||
        now + SICK_RENEW_MS < upstream->sick_until) {
        return;
    }
    times = MIN(upstream->too_soon.times, SICK_DOUBLES);
    upstream->too_soon.times++;
    upstream->sick_until = now + ((uint64_t)SICK_MS << times);
    upstream_note_change(set, upstream);
}

/* Next deadline of a record; UINT64_MAX when it has none. */
static uint64_t
due_at(const struct upstream *upstream)
{
    uint64_t at = UINT64_MAX;

    if (upstream->state == UPSTREAM_GONE) {
        return upstream->forget_at;
    }
    if (upstream->expire_at != 0) {
        at = upstream->expire_at;
    }
    return upstream->doubts.decide_at != 0
               ? MIN(at, upstream->doubts.decide_at)
               : at;
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

/* Notes which signs of silence there are now. */
static void
note_signs(uint64_t now, struct upstream *upstream)
{
    struct upstream_doubts *doubts = &upstream->doubts;

    if (upstream->expire_at != 0 && now >= upstream->expire_at) {
        upstream->missed = true;
        upstream->expire_at = 0;
    }
    if (doubts->decide_at != 0 && now >= doubts->decide_at) {
        doubts->proved = true;
        doubts->decide_at = 0;
    }
}

/* Concludes from the signs: one of them makes an upstream silent, both make it
 * lost. Its registrations may stay away since it is cut from control alone,
 * and three nodes may lack answers since they are cut from it: neither ends
 * flows of others. Both at once, while no node has seen an answer for a
 * second, leave nobody for whom it lives. */
static void
conclude(struct upstream_set *set, uint64_t now, struct upstream *upstream)
{
    const struct upstream_doubts *doubts = &upstream->doubts;

    if (upstream->missed || doubts->proved) {
        upstream_fall_silent(set, now, upstream, true);
    }
    if (upstream->state == UPSTREAM_SILENT && upstream->missed &&
        doubts->proved && now > doubts->refuted_at + REFUTED_MS &&
        !fault_is(FAULT_NO_SECOND_SIGN)) {
        believe(set, now, upstream, UPSTREAM_LOST, true);
    }
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
            note_signs(now, upstream);
            conclude(set, now, upstream);
            upstream_note_due(set, due_at(upstream));
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
