/* Failure detection at the keeper: missed registrations, suspicions of other
 * nodes (a quorum, as SWIM's suspicion), outlier ejection, and the allowance
 * for stalls of this process. */
#include "upstream-internal.h"

#include "fault.h"

/* Missed registrations before an upstream is SILENT. A false positive costs
 * little: open flows go on and the next registration corrects it. */
#define MISSED_INTERVALS 2

/* Missed registrations before an upstream is SILENT after its keeper failed or
 * restarted: the record of its new keeper must arrive first. */
#define FAILOVER_INTERVALS 4

/* Lifetime of an outlier report. In a large deployment a node sends flows to
 * an upstream only every few seconds. */
#define OUTLIER_REPORT_MS 2000U
/* Duration of the first ejection; each further one doubles it, up to
 * EJECTION_DOUBLINGS times. The first is short, so that an upstream that has
 * recovered is not kept out for long. */
#define EJECTION_MS 3000U
#define EJECTION_DOUBLINGS 2U
/* Reports renew an ejection only in its last part. */
#define EJECTION_RENEW_MS 500U

/* An answer seen by any node prevents LOST for this long. */
#define REFUTED_MS 1000U

/* Timeout of a query, after which an upstream that never registered at this
 * process is SILENT: a round trip with queueing, and a retry. After a restart
 * of all nodes, an upstream may register at another node before this one
 * receives its record. */
#define QUERY_TIMEOUT_MS 250U

uint64_t
upstream_next_expiry(const struct upstream_set *set, uint64_t now)
{
    return now + MISSED_INTERVALS * set->interval_ms;
}

uint64_t
upstream_failover_expiry(const struct upstream_set *set, uint64_t now)
{
    return now + FAILOVER_INTERVALS * set->interval_ms;
}

void
upstream_clear_suspicions(struct upstream *upstream)
{
    upstream->suspicions.count = 0;
    upstream->suspicions.decide_at = 0;
    upstream->suspicions.confirmed = false;
    upstream->expired = false;
}

static void
set_state(struct upstream_set *set, uint64_t now, struct upstream *upstream,
          enum upstream_state state, bool broadcast)
{
    upstream->state = state;
    upstream->changed_at = now;
    upstream_update_digest(set, upstream);
    if (broadcast) {
        upstream_queue_change(set, upstream);
    }
}

/* A LEAVING upstream stays so: as SILENT it could get new flows as a
 * fallback. */
void
upstream_mark_silent(struct upstream_set *set, uint64_t now,
                     struct upstream *upstream, bool broadcast)
{
    if (upstream->state == UPSTREAM_READY &&
        !fault_is(FAULT_NO_REGISTRATION_TIMEOUT)) {
        set_state(set, now, upstream, UPSTREAM_SILENT, broadcast);
    }
}

/* Drops expired suspicions and the previous one of `node`. */
static void
drop_suspicions(struct upstream_suspicions *suspicions, uint64_t now,
                uint32_t node)
{
    for (uint32_t i = suspicions->count; i > 0; i--) {
        if (now >= suspicions->until[i - 1] ||
            suspicions->nodes[i - 1] == node) {
            suspicions->count--;
            suspicions->nodes[i - 1] = suspicions->nodes[suspicions->count];
            suspicions->until[i - 1] = suspicions->until[suspicions->count];
        }
    }
}

/* A quorum sets the deadline of the decision. */
static void
add_suspicion(struct upstream_suspicions *suspicions, uint64_t now,
              uint32_t node)
{
    drop_suspicions(suspicions, now, node);
    if (suspicions->count < UPSTREAM_REPORT_QUORUM) {
        suspicions->nodes[suspicions->count] = node;
        suspicions->until[suspicions->count] = now + UPSTREAM_SUSPICION_MS;
        suspicions->count++;
    }
    if (suspicions->count == UPSTREAM_REPORT_QUORUM &&
        suspicions->decide_at == 0) {
        suspicions->decide_at = now + UPSTREAM_SUSPICION_WAIT_MS;
    }
}

static void
refute_suspicions(struct upstream_suspicions *suspicions, uint64_t now)
{
    suspicions->count = 0;
    suspicions->decide_at = 0;
    suspicions->confirmed = false;
    suspicions->refuted_at = now;
}

/* Ignores data that was sent before the last registration. */
void
upstream_report_suspicion(struct upstream_set *set, uint64_t now, uint64_t id,
                          uint32_t node, uint32_t quiet_ms)
{
    struct upstream *upstream = upstream_by_id(set, id);

    if (upstream == NULL || upstream->keeper != set->self ||
        (upstream->state != UPSTREAM_READY &&
         upstream->state != UPSTREAM_SILENT)) {
        return;
    }
    if (quiet_ms == 0) {
        refute_suspicions(&upstream->suspicions, now);
    }
    else if (now > upstream->last_registered_at + quiet_ms) {
        add_suspicion(&upstream->suspicions, now, node);
        if (upstream->suspicions.decide_at != 0) {
            upstream_schedule(set, upstream->suspicions.decide_at);
        }
    }
}

/* Adds a report, in place of the node's previous or the oldest one; true when
 * the quorum is reached. */
static bool
add_outlier_report(struct upstream_outlier_reports *reports, uint64_t now,
                   uint32_t node)
{
    size_t slot = 0;
    size_t count = 0;

    for (size_t i = 0; i < UPSTREAM_REPORT_QUORUM; i++) {
        if (reports->nodes[i] == node) {
            slot = i;
            break;
        }
        if (reports->until[i] < reports->until[slot]) {
            slot = i;
        }
    }
    reports->nodes[slot] = node;
    reports->until[slot] = now + OUTLIER_REPORT_MS;
    for (size_t i = 0; i < UPSTREAM_REPORT_QUORUM; i++) {
        count += now < reports->until[i];
    }
    return count == UPSTREAM_REPORT_QUORUM;
}

/* Requires a quorum, since a single node may have a caller with light
 * requests. Repeated ejections last longer, so that an upstream that keeps
 * failing gets fewer and fewer new flows. */
void
upstream_report_outlier(struct upstream_set *set, uint64_t now, uint64_t id,
                        uint32_t node)
{
    struct upstream *upstream = upstream_by_id(set, id);
    uint32_t doublings;

    if (upstream == NULL || upstream->state != UPSTREAM_READY ||
        upstream->keeper != set->self || fault_is(FAULT_NO_OUTLIERS) ||
        !add_outlier_report(&upstream->outlier_reports, now, node) ||
        now + EJECTION_RENEW_MS < upstream->ejected_until) {
        return;
    }
    doublings = MIN(upstream->outlier_reports.ejections, EJECTION_DOUBLINGS);
    upstream->outlier_reports.ejections++;
    upstream->ejected_until = now + ((uint64_t)EJECTION_MS << doublings);
    upstream_queue_change(set, upstream);
}

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
    return upstream->suspicions.decide_at != 0
               ? MIN(at, upstream->suspicions.decide_at)
               : at;
}

/* Queues a query about an upstream that never registered at this process;
 * false when it is not needed or was sent before. */
static bool
query_others(struct upstream_set *set, uint64_t now, struct upstream *upstream)
{
    if (upstream->queried || upstream->last_registered_at != 0 ||
        upstream->suspicions.decide_at != 0 || fault_is(FAULT_NO_QUERY)) {
        return false;
    }
    upstream->queried = true;
    upstream->expire_at = now + QUERY_TIMEOUT_MS;
    upstream_schedule(set, upstream->expire_at);
    g_array_append_val(set->queries, upstream->token);
    return true;
}

static void
apply_deadlines(uint64_t now, struct upstream *upstream)
{
    struct upstream_suspicions *suspicions = &upstream->suspicions;

    if (upstream->expire_at != 0 && now >= upstream->expire_at) {
        upstream->expired = true;
        upstream->expire_at = 0;
    }
    if (suspicions->decide_at != 0 && now >= suspicions->decide_at) {
        suspicions->confirmed = true;
        suspicions->decide_at = 0;
    }
}

/* Missed registrations or confirmed suspicions make an upstream SILENT, both
 * together LOST. Missed registrations alone may mean that it cannot reach the
 * control plane, suspicions alone that a few nodes cannot reach it; neither
 * may end the flows of other nodes. */
static void
update_state(struct upstream_set *set, uint64_t now, struct upstream *upstream)
{
    const struct upstream_suspicions *suspicions = &upstream->suspicions;

    if (upstream->expired || suspicions->confirmed) {
        upstream_mark_silent(set, now, upstream, true);
    }
    if (upstream->state == UPSTREAM_SILENT && upstream->expired &&
        suspicions->confirmed && now > suspicions->refuted_at + REFUTED_MS &&
        !fault_is(FAULT_NO_LOST_STATE)) {
        set_state(set, now, upstream, UPSTREAM_LOST, true);
    }
}

/* Registrations only extend deadlines, so `due_at` is a lower bound; the
 * records are scanned when it passes, about twice per interval, instead of at
 * each wake-up. */
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
            upstream_schedule(set, due_at(upstream));
        }
        else if (upstream->state == UPSTREAM_GONE) {
            upstream_drop(set, upstream);
        }
        else if (!query_others(set, now, upstream)) {
            apply_deadlines(now, upstream);
            update_state(set, now, upstream);
            upstream_schedule(set, due_at(upstream));
        }
    }
}

uint64_t
upstream_deadline(const struct upstream_set *set)
{
    return set->due_at;
}

void
upstream_extend_deadlines(struct upstream_set *set, uint64_t now,
                          uint64_t stall_ms)
{
    if (fault_is(FAULT_NO_STALL_EXTENSION)) {
        return;
    }
    for (guint i = 0; i < set->all->len; i++) {
        struct upstream *upstream = g_ptr_array_index(set->all, i);

        if (upstream->expire_at != 0) {
            upstream->expire_at = MAX(upstream->expire_at + stall_ms,
                                      upstream_next_expiry(set, now));
        }
    }
}

void
upstream_adopt(struct upstream_set *set, uint64_t now, uint32_t keeper)
{
    uint64_t deadline = upstream_failover_expiry(set, now);

    for (guint i = 0; i < set->all->len; i++) {
        struct upstream *upstream = g_ptr_array_index(set->all, i);

        if (upstream->keeper == keeper && upstream->expire_at == 0 &&
            upstream->state < UPSTREAM_SILENT) {
            upstream->expire_at = deadline;
            upstream_schedule(set, deadline);
        }
    }
}
