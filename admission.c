/* Limits, holds and floors of admission control. */
#include "admission.h"

#include <glib.h>

#include "fault.h"

#define LIMIT_MIN_MILLI 1000U /* an idle slot serves any request */
#define LIMIT_MAX_MILLI 8000U
#define LIMIT_UNKNOWN_MILLI 4000U /* without a response time */
#define OWN_MILLI 1000U           /* the request itself */
/* Further over the limit, a hold of 150 ms has no prospect. */
#define HOLD_OVER_MILLI 1000U
#define HOLD_SHARE 4U /* a quarter of the target response time */
/* Long-lived flows keep their upstream, so a rank needs a large distance from
 * the one before: a quarter of its limit. */
#define RANK_SHIFT 2U
#define RANK_MAX 15U
/* A request of more than a quarter of a window fills a small link by itself,
 * and the windows of several callers overflow the link on the way in. So it
 * starts when less than that is expected from others, or less than the link
 * sends in 50 ms, a quarter of the time after which lost packets come again.
 */
#define HEAVY_BYTES (ADMISSION_WINDOW_BYTES / 4)
#define HEAVY_LINK_MS 50U
/* Half of the callers' first retransmission timeout: beyond it their copies
 * add to the queue. Half of that for all ranks but the first. */
#define LIGHT_LINK_MS 100U
#define BITS 8U

static uint32_t
rank_of(const struct admission_request *r)
{
    return fault_is(FAULT_NO_RANKS) ? 0 : r->rank;
}

/* Limit of rank 0: with that many requests ahead per slot, a request is
 * answered just within its target. */
static uint32_t
first_limit_milli(uint32_t aim_ms, uint32_t unloaded_us)
{
    uint64_t fitting_milli;

    if (unloaded_us == 0 || aim_ms == 0) {
        return LIMIT_UNKNOWN_MILLI;
    }
    fitting_milli = (uint64_t)aim_ms * 1000000 / unloaded_us;
    return (uint32_t)(CLAMP(fitting_milli, LIMIT_MIN_MILLI + OWN_MILLI,
                            LIMIT_MAX_MILLI + OWN_MILLI) -
                      OWN_MILLI);
}

uint32_t
admission_limit_milli(const struct admission_request *r, uint32_t unloaded_us)
{
    uint32_t rank = MIN(rank_of(r), RANK_MAX);
    uint32_t limit =
        first_limit_milli(r->aim_ms, unloaded_us) >> RANK_SHIFT * rank;

    /* Other ranks have no such advantage: most of those that a long shortage
     * refuses come back, and long-lived flows would fill what rank 0 needs. */
    if (r->returning && rank == 0) {
        limit += limit / 2;
    }
    return CLAMP(limit, LIMIT_MIN_MILLI, LIMIT_MAX_MILLI);
}

/* Time for a number of bytes on the link, rounded up. */
static uint64_t
link_ms(const struct admission_link *link, uint64_t bytes)
{
    return link->rate_kbit_s == 0
               ? 0
               : (bytes * BITS + link->rate_kbit_s - 1) / link->rate_kbit_s;
}

/* Deadline of a hold after which the request still takes `rest_ms`. */
static uint64_t
hold_deadline(uint64_t now, const struct admission_request *r,
              uint64_t rest_ms)
{
    uint64_t start = MIN(r->received_at, now);
    uint64_t until = start + ADMISSION_HOLD_MS;

    if (r->aim_ms != 0) {
        until = MIN(until, start + r->aim_ms / HOLD_SHARE);
        until = MIN(until, start + r->aim_ms - MIN(rest_ms, r->aim_ms));
    }
    if (r->deadline_ms != 0) {
        until = MIN(until, r->deadline_ms - MIN(rest_ms, r->deadline_ms));
    }
    return until;
}

/* Holds the request if it may become servable until the deadline, otherwise
 * refuses it. */
static void
hold_or_refuse(uint64_t now, const struct admission_request *r,
               uint64_t servable_at, uint64_t until,
               struct admission_verdict *out)
{
    if (fault_is(FAULT_NO_HOLD_FOR_ROOM) || r->no_hold || now >= until ||
        servable_at > until) {
        out->action = ADMISSION_REFUSE;
        out->hold_until = 0;
        return;
    }
    out->action = ADMISSION_HOLD;
    out->hold_until = until;
}

/* Decides by the capacity of the upstreams. */
static void
decide_room(uint64_t now, const struct admission_request *r,
            const struct admission_room *room, uint64_t transfer_ms,
            const struct admission_floor *floor, struct admission_verdict *out)
{
    uint64_t rest_us;

    if (room == NULL) {
        return;
    }
    out->limit_milli = admission_limit_milli(r, room->unloaded_us);
    if (!room->known || room->age_ms > ADMISSION_ROOM_AGE_MAX_MS) {
        return;
    }
    out->reason = ADMISSION_ROOM;
    if (room->lowest_milli < out->limit_milli) {
        return;
    }
    if (floor->refused >= ADMISSION_FLOOR_ATTEMPTS - 1) {
        out->reason = ADMISSION_FLOOR;
        return;
    }
    out->reason = ADMISSION_NO_ROOM;
    /* The requests ahead of it at the end of the hold, and its own run. */
    rest_us =
        (uint64_t)room->unloaded_us * (out->limit_milli + OWN_MILLI) / 1000;
    hold_or_refuse(
        now, r,
        room->lowest_milli - out->limit_milli > HOLD_OVER_MILLI ? UINT64_MAX
                                                                : now,
        hold_deadline(now, r, transfer_ms + (rest_us + 999) / 1000), out);
}

static bool
link_is_free(const struct admission_request *r,
             const struct admission_link *link)
{
    uint64_t ahead = link->queued_bytes + link->pending_bytes;

    if (link->request_bytes > HEAVY_BYTES) {
        return ahead <
               MAX(HEAVY_BYTES, link->rate_kbit_s * HEAVY_LINK_MS / BITS);
    }
    return link->queued_bytes * BITS <
           link->rate_kbit_s * (LIGHT_LINK_MS >> MIN(rank_of(r), 1U));
}

/* Decides by the link, after the upstreams: a refusal takes precedence over a
 * hold, and a hold over an admission. */
static void
decide_link(uint64_t now, const struct admission_request *r,
            const struct admission_link *link, uint64_t rest_ms,
            struct admission_verdict *out)
{
    struct admission_verdict own = *out;

    if (out->action == ADMISSION_REFUSE || link == NULL ||
        link->rate_kbit_s == 0 || fault_is(FAULT_NO_LINK_ADMISSION) ||
        link_is_free(r, link)) {
        return;
    }
    own.reason = ADMISSION_LINK_BUSY;
    hold_or_refuse(
        now, r, now + link_ms(link, link->queued_bytes + link->pending_bytes),
        hold_deadline(now, r, rest_ms), &own);
    if (out->action == ADMISSION_HOLD && own.action == ADMISSION_HOLD) {
        out->hold_until = MIN(out->hold_until, own.hold_until);
        return;
    }
    *out = own;
}

static void
note_attempt(struct admission_floor *floor, enum admission_action action)
{
    switch (action) {
    case ADMISSION_ADMIT:
        floor->refused = 0;
        return;
    case ADMISSION_REFUSE:
        floor->refused = MIN(floor->refused + 1, ADMISSION_FLOOR_ATTEMPTS - 1);
        return;
    case ADMISSION_HOLD:
        return;
    }
}

void
admission_decide(uint64_t now, const struct admission_request *r,
                 const struct admission_room *room,
                 const struct admission_link *link,
                 struct admission_floor *floor, struct admission_verdict *out)
{
    uint64_t transfer_ms =
        link == NULL ? 0 : link_ms(link, link->request_bytes);
    uint64_t run_ms = room == NULL ? 0 : room->unloaded_us / 1000;

    *out = (struct admission_verdict){.action = ADMISSION_ADMIT,
                                      .reason = ADMISSION_UNKNOWN};
    if (!fault_is(FAULT_NO_ADMISSION)) {
        decide_room(now, r, room, transfer_ms, floor, out);
        decide_link(now, r, link, transfer_ms + run_ms, out);
    }
    note_attempt(floor, out->action);
}
