/* Ring buffer of decisions, and the names of the rules. */
#include "ring.h"

#include <glib.h>
#include <string.h>

static const char *const rule_names[RULE_COUNT] = {
#define X(id, name, help) name,
    RING_RULE_TABLE(X)
#undef X
};

static const char *const rule_help[RULE_COUNT] = {
#define X(id, name, help) help,
    RING_RULE_TABLE(X)
#undef X
};

void
ring_open(struct ring *ring, size_t size)
{
    ring->records = g_new0(struct ring_record, size);
    ring->size = size;
    ring->last = 0;
}

void
ring_close(struct ring *ring)
{
    g_clear_pointer(&ring->records, g_free);
    ring->size = 0;
}

void
ring_add(struct ring *ring, const struct ring_record *record)
{
    struct ring_record *slot;

    if (ring->size == 0) {
        return;
    }
    ring->last++;
    slot = &ring->records[ring->last % ring->size];
    *slot = *record;
    slot->sequence = ring->last;
}

/* Sequence of the oldest record. */
static uint64_t
oldest(const struct ring *ring)
{
    return ring->last > ring->size ? ring->last - ring->size + 1 : 1;
}

size_t
ring_find(const struct ring *ring, uint64_t subject, struct ring_record *out,
          size_t max)
{
    size_t count = 0;

    for (uint64_t s = ring->last; s >= oldest(ring) && s > 0; s--) {
        const struct ring_record *record = &ring->records[s % ring->size];

        if (record->subject == subject && count < max) {
            out[count++] = *record;
        }
    }
    return count;
}

uint64_t
ring_overwritten_before(const struct ring *ring)
{
    if (ring->last <= ring->size) {
        return 0;
    }
    return ring->records[oldest(ring) % ring->size].at;
}

bool
ring_is_admission(enum ring_rule rule)
{
    switch ((int)rule) {
    case RULE_NO_ROOM:
    case RULE_LINK_BUSY:
    case RULE_WAIT_FOR_ROOM:
        return true;
    default:
        return false;
    }
}

const char *
ring_rule_name(enum ring_rule rule)
{
    return rule < RULE_COUNT ? rule_names[rule] : "none";
}

const char *
ring_rule_help(enum ring_rule rule)
{
    return rule < RULE_COUNT ? rule_help[rule] : "";
}

enum ring_rule
ring_rule_parse(const char *name)
{
    int rule = 0;

    while (rule < RULE_COUNT && strcmp(rule_names[rule], name) != 0) {
        rule++;
    }
    return (enum ring_rule)rule;
}
