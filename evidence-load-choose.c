/*
 * Choice of an upstream by occupancy, while a service is short of capacity:
 * counts the requests that run at each upstream, adds those of other nodes,
 * and prefers upstreams that are healthy, fast enough and less loaded.
 */
#include "evidence-load-internal.h"

#include <string.h>

#include "fault.h"
#include "hash.h"
#include "occupancy.h"

/* Callers retransmit a first packet after this time. */
#define FIRST_RETRANSMIT_MS 200U
/* Interval between two counts of all flows. */
#define COUNT_INTERVAL_MS 20U

/* The candidates below the limit that were drawn. */
struct draw {
    struct upstream *upstream[2];
    uint64_t hash[2];
    uint32_t occupancy_milli[2];
    unsigned class; /* the same for both: health, then slowness */
};

/* Whether the request of a flow runs or waits at its upstream. A caller that
 * is reset by its upstream sends nothing more, so a request without an answer
 * counts for its target response time at most, and a first packet until its
 * first retransmission. */
static bool
is_running(const struct evidence_flow *flow, uint64_t now)
{
    return flow->expire_at == 0 &&
           (flow->answered
                ? flow->busy && (now < flow->counted_until ||
                                 fault_is(FAULT_COUNT_LATE_REQUESTS))
                : now < flow->opened_at + FIRST_RETRANSMIT_MS);
}

/* Counts the running requests of this node at each upstream, at most once in
 * COUNT_INTERVAL_MS; new flows are added in between. */
void
evidence_count_running(struct evidence *ev, uint64_t now)
{
    const GPtrArray *all = ev->upstreams->all;
    GHashTableIter iter;
    gpointer value;

    if (now < ev->load.count_at) {
        return;
    }
    ev->load.count_at = now + COUNT_INTERVAL_MS;
    for (guint i = 0; i < all->len; i++) {
        ((struct upstream *)g_ptr_array_index(all, i))->running = 0;
    }
    g_hash_table_iter_init(&iter, ev->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct evidence_flow *flow = value;
        struct upstream *upstream =
            is_running(flow, now) ? evidence_upstream_of(ev, flow) : NULL;

        if (upstream != NULL) {
            upstream->running++;
        }
    }
}

uint64_t
evidence_load_elsewhere(const struct evidence *ev, uint64_t now,
                        const struct upstream *upstream)
{
    return ev->load.occupancy != NULL
               ? occupancy_elsewhere(ev->load.occupancy, now, upstream->token)
               : 0;
}

/* Requests of all nodes at an upstream, per slot, in thousandths. */
uint32_t
evidence_occupancy_milli(const struct evidence *ev, uint64_t now,
                         const struct upstream *upstream)
{
    uint64_t elsewhere = evidence_load_elsewhere(ev, now, upstream);

    return (uint32_t)MIN(
        (elsewhere + upstream->running) * MILLI / upstream->slots, UINT32_MAX);
}

/* Whether a request that is sent to an upstream now is expected to miss its
 * target. The time of one request there is its mean response time, shared by
 * the requests that it ran beside; it shows an upstream that is slow by itself
 * also while all are busy. */
static bool
is_too_slow(const struct evidence *ev, uint64_t now,
            const struct upstream *upstream, uint64_t aim_ms,
            uint32_t occupancy_milli)
{
    uint64_t latency_ms =
        ev->load.occupancy != NULL
            ? occupancy_latency_ms(ev->load.occupancy, now, upstream->token)
            : 0;
    uint64_t beside = MAX(occupancy_milli, MILLI);
    uint64_t with_own = (uint64_t)occupancy_milli + MILLI;

    if (fault_is(FAULT_NO_LATENCY)) {
        return false;
    }
    if (latency_ms == 0 && now < upstream->latency_until) {
        latency_ms = upstream->latency_us / MILLI;
    }
    return latency_ms * with_own / beside > aim_ms;
}

/* Health, then slowness; lower is preferred. */
static unsigned
class_of(const struct evidence *ev, uint64_t now,
         const struct upstream *upstream,
         const struct evidence_verdict *verdict, uint64_t aim_ms,
         uint32_t occupancy_milli)
{
    bool slow = is_too_slow(ev, now, upstream, aim_ms, occupancy_milli);

    return 2 * evidence_tier(ev, upstream, now, verdict) + (slow ? 1 : 0);
}

/* Keeps the two candidates with the lowest hashes in the best class. */
static void
draw_candidate(struct draw *draw, struct upstream *upstream, unsigned class,
               uint64_t hash, uint32_t occupancy_milli)
{
    unsigned at;

    if (draw->upstream[0] != NULL && class > draw->class) {
        return;
    }
    if (draw->upstream[0] == NULL || class < draw->class) {
        memset(draw, 0, sizeof(*draw));
        draw->class = class;
    }
    at = draw->upstream[0] == NULL || hash < draw->hash[0] ? 0 : 1;
    if (at == 1 && draw->upstream[1] != NULL && hash >= draw->hash[1]) {
        return;
    }
    if (at == 0) {
        draw->upstream[1] = draw->upstream[0];
        draw->hash[1] = draw->hash[0];
        draw->occupancy_milli[1] = draw->occupancy_milli[0];
    }
    draw->upstream[at] = upstream;
    draw->hash[at] = hash;
    draw->occupancy_milli[at] = occupancy_milli;
}

/* Chooses by occupancy. Sets `lowest_milli` to that of the least loaded
 * candidate, or leaves it when there is none. The less loaded of two drawn
 * ones is taken, since the counts are up to 300 ms old and every node would
 * send its flows to the least loaded of all. */
struct upstream *
evidence_choose_by_occupancy(struct evidence *ev, uint64_t now,
                             uint16_t service, const struct upstream *excluded,
                             struct evidence_verdict *verdict,
                             const struct evidence_choice *choice,
                             uint32_t *lowest_milli)
{
    const GPtrArray *all = ev->upstreams->all;
    struct draw draw = {.class = 0};
    struct upstream *least = NULL;
    bool has_service = false;

    evidence_count_running(ev, now);
    evidence_count_candidates(ev, now, service, excluded, verdict);
    for (guint i = 0; i < all->len; i++) {
        struct upstream *u = g_ptr_array_index(all, i);
        uint32_t occupancy_milli;
        bool in_service;
        unsigned class;

        if (!evidence_is_candidate(ev, now, service, u, excluded)) {
            continue;
        }
        in_service = evidence_is_in_service(ev, u, now, verdict);
        if (has_service && !in_service) {
            continue;
        }
        if (in_service && !has_service) {
            has_service = true;
            least = NULL;
            memset(&draw, 0, sizeof(draw));
        }
        occupancy_milli = evidence_occupancy_milli(ev, now, u);
        if (least == NULL || occupancy_milli < *lowest_milli) {
            least = u;
            *lowest_milli = occupancy_milli;
        }
        if (occupancy_milli >= choice->limit_milli) {
            continue;
        }
        class = class_of(ev, now, u, verdict, choice->aim_ms, occupancy_milli);
        draw_candidate(&draw, u, class,
                       hash_pair(HASH_RANK, verdict->flow, u->token),
                       occupancy_milli);
    }
    if (draw.upstream[0] == NULL) {
        return least;
    }
    if (fault_is(FAULT_NO_OCCUPANCY_CHOICE)) {
        return evidence_choose(ev, now, service, excluded, verdict);
    }
    return draw.upstream[1] != NULL &&
                   draw.occupancy_milli[1] < draw.occupancy_milli[0]
               ? draw.upstream[1]
               : draw.upstream[0];
}
