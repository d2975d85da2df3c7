/* Detection of an overload of this node. */
#include "overload.h"

#include <glib.h>

#include "fault.h"

static void
add_signal(struct overload *o, uint64_t now, enum overload_cause cause,
           uint64_t wait_ms, uint32_t drops)
{
    if (fault_is(FAULT_NO_OVERLOAD)) {
        return;
    }
    if (!o->began && now >= o->active_until) {
        o->started_at = now;
        o->cause = cause;
        o->wait_ms = 0;
        o->drops = 0;
    }
    o->active_until = now + OVERLOAD_HOLD_MS;
    o->wait_ms = MAX(o->wait_ms, wait_ms);
    o->drops += drops;
}

void
overload_note_wait(struct overload *o, uint64_t now, uint64_t wait_us)
{
    if (wait_us > OVERLOAD_DELAY_MAX_MS * 1000U) {
        add_signal(o, now, OVERLOAD_LINK, wait_us / 1000, 0);
    }
}

void
overload_note_drop(struct overload *o, uint64_t now)
{
    add_signal(o, now, OVERLOAD_LINK, 0, 1);
}

void
overload_note_receive_drops(struct overload *o, uint64_t now, uint32_t total)
{
    uint32_t drops = total - o->receive_drops;

    o->receive_drops = total;
    if (drops != 0) {
        add_signal(o, now, OVERLOAD_RECEIVE, 0, drops);
    }
}

void
overload_note_late(struct overload *o, uint64_t now, uint64_t late_ms)
{
    if (late_ms > OVERLOAD_DELAY_MAX_MS) {
        add_signal(o, now, OVERLOAD_PROCESSOR, late_ms, 0);
    }
}

bool
overload_is_active(const struct overload *o, uint64_t now)
{
    return now < o->active_until;
}

enum overload_cause
overload_cause(const struct overload *o)
{
    return o->cause;
}

const char *
overload_cause_name(enum overload_cause cause)
{
    switch (cause) {
    case OVERLOAD_LINK:
        return "link";
    case OVERLOAD_RECEIVE:
        return "receive";
    case OVERLOAD_PROCESSOR:
        return "processor";
    }
    return "";
}

enum overload_edge
overload_poll(struct overload *o, uint64_t now)
{
    bool active = overload_is_active(o, now);

    if (active == o->began) {
        return OVERLOAD_SAME;
    }
    o->began = active;
    return active ? OVERLOAD_BEGAN : OVERLOAD_ENDED;
}
