/*
 * The choice of an upstream for a new flow: each rule of it, in the order in
 * which they count. Reads the inventory and writes nothing.
 *
 * 1. Who may be chosen: evidence_takes_new(), may_get_more().
 * 2. What is wrong with it: rank_of(). The least rank wins.
 * 3. What it has to do: work_of(). The least work wins.
 * 4. Among equals the first from this node's own place on: place_of().
 */
#include "evidence-internal.h"

#include "fault.h"

/* An open flow at rest weighs this share of a request that runs. */
#define REST_SHARE 8U
/* Work at an upstream that has just started takes this much longer, in
 * tenths; typical of caches that fill. */
#define COLD_TENTHS 16U
/* Work for each slot is compared in this many parts of one. */
#define WORK_SCALE 1000U
/* At most one part in so many of a service's upstreams is passed over as sick.
 */
#define SICK_SHARE 4U
/* So long after it counts as sick for all, an upstream does for flows that may
 * not run twice: what fails there cannot be asked for again. */
#define PROBATION_MS 3000U

/* What is wrong with an upstream; the least is best. */
enum rank {
    RANK_GOOD,
    RANK_COLD, /* what it gets is bounded: only where no other is good */
    RANK_SUSPECT,
    RANK_SICK, /* it fails what it is sent; others are tried first */
    RANK_CUT,  /* nothing gets to its hall, nor by a detour */
    RANK_SILENT
};

/* Says whether an upstream would take new flows but for its hall: one that is
 * ready, or silent. */
static bool
may_take_new(const struct upstream *upstream)
{
    return (upstream->state == UPSTREAM_READY ||
            ((upstream->state == UPSTREAM_SILENT ||
              upstream->state == UPSTREAM_LOST) &&
             !fault_is(FAULT_NO_LAST_RESORT))) &&
           upstream->named;
}

/* Says whether an upstream takes new flows. One whose hall is emptied gets
 * none, also when there is no other: who empties a hall wants it left alone,
 * and the caller hears at once that nothing was run. */
bool
evidence_takes_new(const struct upstream *upstream)
{
    return may_take_new(upstream) &&
           (!upstream->emptied || fault_is(FAULT_HALLS_IGNORED));
}

/* Says whether what an upstream gets is bounded now. */
static bool
is_bounded(const struct evidence *ev, const struct upstream *upstream,
           uint64_t now)
{
    return upstream_is_cold(upstream, now) &&
           upstream_limit(ev->upstreams, upstream->service).bounded &&
           !fault_is(FAULT_NO_WARMUP);
}

/* Says whether this node is an owner of an upstream; worked out once for each
 * list of nodes. */
static bool
is_owner(const struct evidence *ev, struct upstream *upstream)
{
    uint32_t owners = upstream_limit(ev->upstreams, upstream->service).owners;

    if (upstream->owned_of != ev->nodes.version) {
        upstream->owned_of = ev->nodes.version;
        upstream->owned = warmup_owns(&ev->nodes, owners, upstream->id);
    }
    return upstream->owned || fault_is(FAULT_ALL_OWN);
}

/* Says whether an upstream may get another new flow from this node. */
static bool
may_get_more(const struct evidence *ev, struct upstream *upstream,
             uint64_t now)
{
    return !is_bounded(ev, upstream, now) ||
           (now >= upstream->cold_next_at && is_owner(ev, upstream));
}

/* Says whether an upstream counts as sick for a new flow. What may not run
 * twice keeps away for a while longer: flows whose callers can try again show
 * first whether it is well. */
static bool
seems_sick(const struct upstream *upstream, uint64_t now,
           const struct evidence_verdict *verdict)
{
    return upstream->sick_until != 0 &&
           now < upstream->sick_until + (verdict->once ? PROBATION_MS : 0);
}

/* The same, but where more than a quarter of a service is sick none counts:
 * then quick answers are its way, or there is no better one. */
static bool
is_sick(const struct upstream *upstream, uint64_t now,
        const struct evidence_verdict *verdict)
{
    return seems_sick(upstream, now, verdict) &&
           verdict->sick * SICK_SHARE <= verdict->candidates;
}

/* How much is wrong with an upstream. A silent one is the last resort, though
 * it may be that its registrations alone do not arrive. */
static enum rank
rank_of(const struct evidence *ev, const struct upstream *upstream,
        uint64_t now, const struct evidence_verdict *verdict)
{
    if (upstream->state != UPSTREAM_READY && !fault_is(FAULT_SILENT_EQUAL)) {
        return RANK_SILENT;
    }
    if (evidence_is_avoided(ev, now, upstream->hall_hash)) {
        return RANK_CUT;
    }
    if (is_sick(upstream, now, verdict)) {
        return RANK_SICK;
    }
    if (now < upstream->suspect_until) {
        return RANK_SUSPECT;
    }
    return is_bounded(ev, upstream, now) ? RANK_COLD : RANK_GOOD;
}

/* Work at an upstream for each of its slots, in a scale that only compares:
 * running requests, then open flows; more while it is slow. A flow that was
 * closed still counts for 2 s, so short ones go round. Multiplied by how slow
 * the upstream has been lately: what waits there waits longer. */
static uint64_t
work_of(const struct evidence *ev, const struct upstream *upstream,
        uint64_t now)
{
    uint64_t work =
        (uint64_t)(upstream->busy + 1) * REST_SHARE + upstream->open;

    if (fault_is(FAULT_NO_LEAST_WORK)) {
        return 0;
    }
    work = work * WORK_SCALE / upstream->slots;
    if (upstream_is_cold(upstream, now) && !fault_is(FAULT_NO_COLD)) {
        work = work * COLD_TENTHS / 10;
    }
    return work * evidence_slowness(ev, now, upstream);
}

/* The work that is compared. */
static uint64_t
weigh(const struct evidence *ev, const struct upstream *upstream, uint64_t now)
{
#if defined(FAULT_TRIALS) && !defined(FAULT_ALWAYS)
    if (fault_work != NULL) {
        return fault_work(ev, upstream);
    }
#endif
    return work_of(ev, upstream, now);
}

/* How far a candidate lies behind this node's place, among all of its service
 * in an order that is the same at every node. Nodes whose places are spread
 * evenly fill different upstreams first, so that together they spread flows
 * though each sees only its own, and nothing is sent for it. */
static guint
place_of(const struct evidence *ev, guint index, guint count)
{
    guint first = (guint)((uint64_t)ev->place * count >> 32);

    if (fault_is(FAULT_NO_PLACE) || count == 0) {
        return index;
    }
    return (index + count - first) % count;
}

/* Says whether an upstream may be chosen. */
static bool
is_candidate(const struct evidence *ev, uint64_t now, uint16_t service,
             struct upstream *upstream, const struct upstream *not_this)
{
    return upstream->service == service && upstream != not_this &&
           evidence_takes_new(upstream) && may_get_more(ev, upstream, now);
}

/* Counts the upstreams that may be chosen, and those that could be but for
 * their hall, or since they are cold. */
static void
count_candidates(const struct evidence *ev, uint64_t now, uint16_t service,
                 const struct upstream *not_this,
                 struct evidence_verdict *verdict)
{
    const GPtrArray *all = ev->upstreams->all;

    verdict->candidates = 0;
    verdict->emptied = 0;
    verdict->cold = 0;
    verdict->sick = 0;
    for (guint i = 0; i < all->len; i++) {
        struct upstream *u = g_ptr_array_index(all, i);

        if (u->service != service || u == not_this || !may_take_new(u)) {
            continue;
        }
        if (!evidence_takes_new(u)) {
            verdict->emptied++;
        }
        else if (may_get_more(ev, u, now)) {
            verdict->candidates++;
            verdict->sick += seems_sick(u, now, verdict);
        }
        else {
            verdict->cold++;
        }
    }
}

/* Chooses for a new flow. */
struct upstream *
evidence_choose(const struct evidence *ev, uint64_t now, uint16_t service,
                const struct upstream *not_this,
                struct evidence_verdict *verdict)
{
    const GPtrArray *all = ev->upstreams->all;
    struct upstream *best = NULL;
    enum rank best_rank = RANK_GOOD;
    uint64_t best_work = 0;
    guint best_place = 0;
    guint index = 0;

    count_candidates(ev, now, service, not_this, verdict);
    if (verdict->candidates == 0) {
        return NULL;
    }
    for (guint i = 0; i < all->len; i++) {
        struct upstream *u = g_ptr_array_index(all, i);
        enum rank rank;
        uint64_t work;
        guint place;

        if (!is_candidate(ev, now, service, u, not_this)) {
            continue;
        }
        rank = rank_of(ev, u, now, verdict);
        work = weigh(ev, u, now);
        place = place_of(ev, index++, verdict->candidates);
        if (best == NULL || rank < best_rank ||
            (rank == best_rank &&
             (work < best_work ||
              (work == best_work && place < best_place)))) {
            best = u;
            best_rank = rank;
            best_work = work;
            best_place = place;
        }
    }
    return best;
}
