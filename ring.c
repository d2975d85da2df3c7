/* The ring of decisions. */
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

/* Allocates the records. */
void
ring_open(struct ring *ring, size_t size)
{
    ring->records = g_new0(struct ring_record, size);
    ring->size = size;
    ring->last = 0;
}

/* Frees the records. */
void
ring_close(struct ring *ring)
{
    g_clear_pointer(&ring->records, g_free);
    ring->size = 0;
}

/* Adds one record. */
void
ring_add(struct ring *ring, const struct ring_record *record)
{
    struct ring_record *place;

    if (ring->size == 0) {
        return;
    }
    ring->last++;
    place = &ring->records[ring->last % ring->size];
    *place = *record;
    place->sequence = ring->last;
}

/* Sequence of the oldest record held. */
static uint64_t
oldest(const struct ring *ring)
{
    return ring->last > ring->size ? ring->last - ring->size + 1 : 1;
}

/* Finds records, newest first. */
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

/* Finds when the oldest record held was made, once some are gone. */
uint64_t
ring_since(const struct ring *ring)
{
    if (ring->last <= ring->size) {
        return 0;
    }
    return ring->records[oldest(ring) % ring->size].at;
}

/* Names a rule. */
const char *
ring_rule_name(enum ring_rule rule)
{
    return rule < RULE_COUNT ? rule_names[rule] : "none";
}

/* Explains a rule. */
const char *
ring_rule_help(enum ring_rule rule)
{
    return rule < RULE_COUNT ? rule_help[rule] : "";
}

/* Reads a rule's name. */
enum ring_rule
ring_rule_from(const char *name)
{
    int rule = 0;

    while (rule < RULE_COUNT && strcmp(rule_names[rule], name) != 0) {
        rule++;
    }
    return (enum ring_rule)rule;
}
