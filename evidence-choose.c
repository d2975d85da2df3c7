/*
 * Least-loaded selection of an upstream for a new flow. Candidates
 * (evidence_is_candidate()) are compared by:
 *
 * 1. health: evidence_tier();
 * 2. load per slot: load_of();
 * 3. position relative to the rank of this node: rotated_index().
 */
#include "evidence-internal.h"

#include "fault.h"

/* A running request weighs as much as this many open idle flows. */
#define BUSY_WEIGHT 8U
/* Load factor of an upstream that warms up, in tenths: requests typically take
 * this much longer while its caches fill. */
#define WARMING_WEIGHT_TENTHS 16U
/* Fixed-point scale of the load per slot. */
#define LOAD_SCALE 1000U
/* No upstream is ejected when more than one in this many candidates is an
 * outlier. */
#define MAX_EJECTED_SHARE 4U
/* Additional ejection for non-idempotent flows, in ms: retryable flows test
 * the upstream first. */
#define PROBATION_MS 3000U

/* Health of a candidate; lower is preferred. */
enum tier {
    TIER_HEALTHY,
    TIER_WARMING,     /* new flows are limited */
    TIER_SUSPECTED,   /* left a first packet unanswered */
    TIER_EJECTED,     /* outlier */
    TIER_UNREACHABLE, /* hall is avoided */
    TIER_SILENT
};

/* Whether an upstream accepts new flows, apart from a drain of its hall. */
static bool
may_accept_flows(const struct upstream *upstream)
{
    return (upstream->state == UPSTREAM_READY ||
            ((upstream->state == UPSTREAM_SILENT ||
              upstream->state == UPSTREAM_LOST) &&
             !fault_is(FAULT_NO_FALLBACK))) &&
           upstream->has_token;
}

/* A drained hall gets no new flows even without an alternative: the caller
 * gets an immediate refusal. */
bool
evidence_accepts_flows(const struct upstream *upstream)
{
    return may_accept_flows(upstream) &&
           (!upstream->drained || fault_is(FAULT_HALLS_IGNORED));
}

/* Whether the warmup limit of an upstream applies now. */
static bool
is_rate_limited(const struct evidence *ev, const struct upstream *upstream,
                uint64_t now)
{
    return upstream_is_warming_up(upstream, now) &&
           upstream_warmup_limit(ev->upstreams, upstream->service).bounded &&
           !fault_is(FAULT_NO_WARMUP);
}

/* Whether this node owns a warming upstream; cached per version of the node
 * list. */
static bool
is_owner(const struct evidence *ev, struct upstream *upstream)
{
    uint32_t owners =
        upstream_warmup_limit(ev->upstreams, upstream->service).owners;

    if (upstream->owners_version != ev->nodes.version) {
        upstream->owners_version = ev->nodes.version;
        upstream->is_warmup_owner =
            warmup_is_owner(&ev->nodes, owners, upstream->id);
    }
    return upstream->is_warmup_owner || fault_is(FAULT_ALL_WARMUP_OWNERS);
}

/* Whether this node may send an upstream a new flow now. */
static bool
may_send_flow(const struct evidence *ev, struct upstream *upstream,
              uint64_t now)
{
    return !is_rate_limited(ev, upstream, now) ||
           (now >= upstream->warmup_next_at && is_owner(ev, upstream));
}

/* Non-idempotent flows avoid a former outlier for PROBATION_MS longer: what
 * fails there cannot be sent again. */
static bool
is_outlier(const struct upstream *upstream, uint64_t now,
           const struct evidence_verdict *verdict)
{
    return upstream->ejected_until != 0 &&
           now < upstream->ejected_until +
                     (verdict->non_idempotent ? PROBATION_MS : 0);
}

/* As is_outlier(), but no upstream is ejected when too many are outliers: fast
 * answers are then normal for the service, or no better upstream exists. */
static bool
is_ejected(const struct upstream *upstream, uint64_t now,
           const struct evidence_verdict *verdict)
{
    return is_outlier(upstream, now, verdict) &&
           verdict->outliers * MAX_EJECTED_SHARE <= verdict->candidates;
}

/* Silent upstreams come last, but stay eligible: only their registrations may
 * be lost. */
unsigned
evidence_tier(const struct evidence *ev, const struct upstream *upstream,
              uint64_t now, const struct evidence_verdict *verdict)
{
    if (upstream->state != UPSTREAM_READY && !fault_is(FAULT_SILENT_EQUAL)) {
        return TIER_SILENT;
    }
    if (evidence_hall_is_avoided(ev, now, upstream->hall_hash)) {
        return TIER_UNREACHABLE;
    }
    if (is_ejected(upstream, now, verdict)) {
        return TIER_EJECTED;
    }
    if (now < upstream->suspect_until) {
        return TIER_SUSPECTED;
    }
    return is_rate_limited(ev, upstream, now) ? TIER_WARMING : TIER_HEALTHY;
}

bool
evidence_is_in_service(const struct evidence *ev,
                       const struct upstream *upstream, uint64_t now,
                       const struct evidence_verdict *verdict)
{
    return evidence_tier(ev, upstream, now, verdict) <= TIER_WARMING;
}

/* Load per slot: running requests, then open flows, times the warmup factor
 * and the slowness, since what queues at a slow upstream waits longer. A
 * closed flow counts until it expires, so that short flows rotate among
 * upstreams. */
static uint64_t
load_of(const struct evidence *ev, const struct upstream *upstream,
        uint64_t now)
{
    uint64_t load =
        (uint64_t)(upstream->busy + 1) * BUSY_WEIGHT + upstream->open;

    if (fault_is(FAULT_NO_LEAST_WORK)) {
        return 0;
    }
    load = load * LOAD_SCALE / upstream->slots;
    if (upstream_is_warming_up(upstream, now) &&
        !fault_is(FAULT_NO_WARMUP_WEIGHT)) {
        load = load * WARMING_WEIGHT_TENTHS / 10;
    }
    return load * evidence_slowness(ev, now, upstream);
}

/* As load_of(); tests may replace it. */
static uint64_t
compared_load(const struct evidence *ev, const struct upstream *upstream,
              uint64_t now)
{
#if defined(FAULT_TRIALS) && !defined(FAULT_ALWAYS)
    if (fault_work != NULL) {
        return fault_work(ev, upstream);
    }
#endif
    return load_of(ev, upstream, now);
}

/* Index of a candidate, rotated by the rank of this node. Candidates have the
 * same order on every node, so nodes with evenly spread ranks prefer different
 * upstreams among equals without communication. */
static guint
rotated_index(const struct evidence *ev, guint index, guint count)
{
    guint first = (guint)((uint64_t)ev->rank * count >> 32);

    if (fault_is(FAULT_NO_RANK) || count == 0) {
        return index;
    }
    return (index + count - first) % count;
}

bool
evidence_is_candidate(const struct evidence *ev, uint64_t now,
                      uint16_t service, struct upstream *upstream,
                      const struct upstream *excluded)
{
    return upstream->service == service && upstream != excluded &&
           evidence_accepts_flows(upstream) &&
           may_send_flow(ev, upstream, now);
}

void
evidence_count_candidates(const struct evidence *ev, uint64_t now,
                          uint16_t service, const struct upstream *excluded,
                          struct evidence_verdict *verdict)
{
    const GPtrArray *all = ev->upstreams->all;

    verdict->candidates = 0;
    verdict->drained = 0;
    verdict->warming = 0;
    verdict->outliers = 0;
    for (guint i = 0; i < all->len; i++) {
        struct upstream *u = g_ptr_array_index(all, i);

        if (u->service != service || u == excluded || !may_accept_flows(u)) {
            continue;
        }
        if (!evidence_accepts_flows(u)) {
            verdict->drained++;
        }
        else if (may_send_flow(ev, u, now)) {
            verdict->candidates++;
            verdict->outliers += is_outlier(u, now, verdict);
        }
        else {
            verdict->warming++;
        }
    }
}

struct upstream *
evidence_choose(const struct evidence *ev, uint64_t now, uint16_t service,
                const struct upstream *excluded,
                struct evidence_verdict *verdict)
{
    const GPtrArray *all = ev->upstreams->all;
    struct upstream *best = NULL;
    unsigned best_tier = TIER_HEALTHY;
    uint64_t best_load = 0;
    guint best_index = 0;
    guint index = 0;

    evidence_count_candidates(ev, now, service, excluded, verdict);
    if (verdict->candidates == 0) {
        return NULL;
    }
    for (guint i = 0; i < all->len; i++) {
        struct upstream *u = g_ptr_array_index(all, i);
        unsigned tier;
        uint64_t load;
        guint rotated;

        if (!evidence_is_candidate(ev, now, service, u, excluded)) {
            continue;
        }
        tier = evidence_tier(ev, u, now, verdict);
        load = compared_load(ev, u, now);
        rotated = rotated_index(ev, index++, verdict->candidates);
        if (best == NULL || tier < best_tier ||
            (tier == best_tier &&
             (load < best_load ||
              (load == best_load && rotated < best_index)))) {
            best = u;
            best_tier = tier;
            best_load = load;
            best_index = rotated;
        }
    }
    return best;
}
