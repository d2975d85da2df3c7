/*
 * Reachability of data halls. The links between two halls can fail while both
 * reach a third one: upstreams then register, but do not answer this node.
 *
 * One timeout makes a hall suspected, and its nodes are probed; one reply ends
 * the suspicion. Until then packets of open flows go through a node of a hall
 * that replied, so that a false suspicion costs one hop. First packets are
 * never relayed: a delayed one could open the flow at a second upstream. New
 * flows avoid the hall; a flow that opens there ends the suspicion as well.
 */
#include "evidence-internal.h"

#include "fault.h"

/* For this time after a probe reply, timeouts are attributed to upstreams and
 * not to the hall. Limits probes to two rounds per second. */
#define CONFIRMED_MS 500U
/* After each timeout, new flows avoid a suspected hall for this time; then one
 * new flow tries it, and its retransmission goes elsewhere. */
#define AVOID_MS 500U
/* Upper bound of a probe's round trip, with queueing. */
#define PROBE_TIMEOUT_MS 50U
/* Before probe replies are due, a hall with an answer this recent may
 * relay. */
#define RECENT_ANSWER_MS 500U
/* A suspicion ends after this time without any answer, so that the hall is
 * tried again. */
#define SUSPICION_TIMEOUT_MS 5000U

static struct evidence_hall *
find_hall(const struct evidence *ev, uint32_t hall)
{
    for (guint i = 0; i < ev->halls->len; i++) {
        struct evidence_hall *record =
            &g_array_index(ev->halls, struct evidence_hall, i);

        if (record->hall == hall) {
            return record;
        }
    }
    return NULL;
}

/* Finds or creates the record of a hall. */
static struct evidence_hall *
get_hall(struct evidence *ev, uint32_t hall)
{
    struct evidence_hall fresh = {.hall = hall};
    struct evidence_hall *record = find_hall(ev, hall);

    if (record != NULL) {
        return record;
    }
    g_array_append_val(ev->halls, fresh);
    return &g_array_index(ev->halls, struct evidence_hall, ev->halls->len - 1);
}

void
evidence_reach_note_answer(struct evidence *ev, uint64_t now,
                           const struct upstream *upstream)
{
    get_hall(ev, upstream->hall_hash)->upstream_answered_at = now;
}

/* A flow opened by a packet sent before the suspicion proves nothing about
 * it. */
void
evidence_reach_note_open(struct evidence *ev, uint64_t now,
                         const struct upstream *upstream, uint64_t sent_at)
{
    struct evidence_hall *hall = get_hall(ev, upstream->hall_hash);

    hall->upstream_answered_at = now;
    if (sent_at >= hall->suspected_at) {
        hall->suspected_until = 0;
    }
}

void
evidence_reach_note_timeout(struct evidence *ev, uint64_t now,
                            const struct upstream *upstream)
{
    struct evidence_hall *hall = get_hall(ev, upstream->hall_hash);

    if (fault_is(FAULT_NO_HALL_SUSPICION) ||
        now < ev->detection_paused_until || evidence_is_overloaded(ev, now) ||
        upstream->state != UPSTREAM_READY ||
        (hall->confirmed_at != 0 && now < hall->confirmed_at + CONFIRMED_MS)) {
        return;
    }
    if (now >= hall->suspected_until) {
        hall->suspected_at = now;
        hall->suspected_until = now + SUSPICION_TIMEOUT_MS;
        hall->probe_due = true;
    }
    hall->avoid_until = now + AVOID_MS;
}

void
evidence_note_hall_reply(struct evidence *ev, uint64_t now, uint32_t hall)
{
    struct evidence_hall *record = get_hall(ev, hall);

    if (now < record->suspected_until) {
        record->confirmed_at = now;
    }
    record->node_replied_at = now;
    record->suspected_until = 0;
    record->avoid_until = 0;
}

bool
evidence_hall_is_suspected(const struct evidence *ev, uint64_t now,
                           uint32_t hall)
{
    const struct evidence_hall *record = find_hall(ev, hall);

    return record != NULL && now < record->suspected_until;
}

bool
evidence_hall_is_avoided(const struct evidence *ev, uint64_t now,
                         uint32_t hall)
{
    const struct evidence_hall *record = find_hall(ev, hall);

    return record != NULL && now < record->avoid_until &&
           now < record->suspected_until;
}

/* A relay hall must have replied since the suspicion began, or, before replies
 * are due, have answered recently, so that the packet that raised the
 * suspicion can be relayed as well. */
bool
evidence_may_relay(const struct evidence *ev, uint64_t now, uint32_t hall,
                   uint32_t relay)
{
    const struct evidence_hall *suspected = find_hall(ev, hall);
    const struct evidence_hall *via = find_hall(ev, relay);

    if (suspected == NULL || via == NULL || hall == relay ||
        now < via->suspected_until) {
        return false;
    }
    return (via->node_replied_at != 0 &&
            via->node_replied_at >= suspected->suspected_at) ||
           (now < suspected->suspected_at + PROBE_TIMEOUT_MS &&
            via->upstream_answered_at != 0 &&
            now <= via->upstream_answered_at + RECENT_ANSWER_MS);
}
