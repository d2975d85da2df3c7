/*
 * Which data halls this entry's packets reach. Links between two halls may be
 * cut while a third one reaches both: upstreams there live and register, yet
 * nothing that is sent to them is answered.
 *
 * One packet without an answer makes a hall doubtful, and its nodes are asked
 * at once; the answer of one proves that it is reached, some ms later. Until
 * then packets of open flows take a detour by a node of a hall that has
 * answered since, so a false sign costs them a hop. First packets never do:
 * one that was held up on a detour could open the flow a second time, after
 * its copy did elsewhere. New flows keep away for a while after each miss; one
 * that then opens proves the hall too.
 */
#include "evidence-internal.h"

#include "fault.h"

/* So long after its nodes answered a doubt a hall is not doubted again: what
 * goes unanswered then is its upstreams' fault. Bounds the questions to two
 * rounds a second where many upstreams are dead. */
#define PROVED_MS 500U
/* So long after each miss new flows keep away. While a hall is cut off, one
 * new flow in this time tries it, and its copy goes elsewhere. */
#define AVOID_MS 500U
/* Nodes that are asked answer within this time, also behind a queue. */
#define HEAR_MS 50U
/* Until then a hall counts as reached whose upstreams answered so lately. */
#define LATELY_MS 500U
/* Without any proof a hall is tried again after so long. */
#define CUT_MS 5000U

/* What is known of a hall; NULL: nothing. */
static struct evidence_hall *
find_hall(const struct evidence *ev, uint32_t hall)
{
    for (guint i = 0; i < ev->halls->len; i++) {
        struct evidence_hall *known =
            &g_array_index(ev->halls, struct evidence_hall, i);

        if (known->hall == hall) {
            return known;
        }
    }
    return NULL;
}

/* The same; made when it is new. */
static struct evidence_hall *
hall_of(struct evidence *ev, uint32_t hall)
{
    struct evidence_hall fresh = {.hall = hall};
    struct evidence_hall *known = find_hall(ev, hall);

    if (known != NULL) {
        return known;
    }
    g_array_append_val(ev->halls, fresh);
    return &g_array_index(ev->halls, struct evidence_hall, ev->halls->len - 1);
}

/* An upstream answered, straight or by a detour. */
void
evidence_reach_answered(struct evidence *ev, uint64_t now,
                        const struct upstream *upstream)
{
    hall_of(ev, upstream->hall_hash)->answered_at = now;
}

/* A flow opened whose first packet was sent straight at `sent_at`. */
void
evidence_reach_opened(struct evidence *ev, uint64_t now,
                      const struct upstream *upstream, uint64_t sent_at)
{
    struct evidence_hall *hall = hall_of(ev, upstream->hall_hash);

    hall->answered_at = now;
    if (sent_at >= hall->cut_at) {
        hall->cut_until = 0;
    }
}

/* An upstream left a packet unanswered. */
void
evidence_reach_missed(struct evidence *ev, uint64_t now,
                      const struct upstream *upstream)
{
    struct evidence_hall *hall = hall_of(ev, upstream->hall_hash);

    if (fault_is(FAULT_NO_REACH) || now < ev->trust_at ||
        upstream->state != UPSTREAM_READY ||
        (hall->proved_at != 0 && now < hall->proved_at + PROVED_MS)) {
        return;
    }
    if (now >= hall->cut_until) {
        hall->cut_at = now;
        hall->cut_until = now + CUT_MS;
        hall->asks = true;
    }
    hall->avoid_until = now + AVOID_MS;
}

/* A node of a hall answered this one. */
void
evidence_hear_hall(struct evidence *ev, uint64_t now, uint32_t hall)
{
    struct evidence_hall *known = hall_of(ev, hall);

    if (now < known->cut_until) {
        known->proved_at = now;
    }
    known->heard_at = now;
    known->cut_until = 0;
    known->avoid_until = 0;
}

/* Says whether packets of open flows to a hall should take a detour. */
bool
evidence_is_cut(const struct evidence *ev, uint64_t now, uint32_t hall)
{
    const struct evidence_hall *known = find_hall(ev, hall);

    return known != NULL && now < known->cut_until;
}

/* Says whether new flows keep away from a hall. */
bool
evidence_is_avoided(const struct evidence *ev, uint64_t now, uint32_t hall)
{
    const struct evidence_hall *known = find_hall(ev, hall);

    return known != NULL && now < known->avoid_until && now < known->cut_until;
}

/* Says whether a detour to a hall may go by another one: its nodes answered
 * since the first packet was missed or, before they could, its upstreams did
 * lately. So the packet that shows the cut passes it, too. */
bool
evidence_may_carry(const struct evidence *ev, uint64_t now, uint32_t cut,
                   uint32_t by)
{
    const struct evidence_hall *from = find_hall(ev, cut);
    const struct evidence_hall *to = find_hall(ev, by);

    if (from == NULL || to == NULL || cut == by || now < to->cut_until) {
        return false;
    }
    return (to->heard_at != 0 && to->heard_at >= from->cut_at) ||
           (now < from->cut_at + HEAR_MS && to->answered_at != 0 &&
            now <= to->answered_at + LATELY_MS);
}
