/*
 * The records of flows: a fixed table with open addressing. A record stands
 * within FLOW_PROBE places of its first; nothing is moved or emptied, so a
 * lookup ends at the first place never used. Knows no view.
 */
#include "flow-internal.h"

#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#define HUGE_PAGE ((size_t)2 * 1024 * 1024)

/* Allocates the table. */
void
flow_store_open(struct flow_store *store, size_t capacity)
{
    size_t size = 1024;
    size_t bytes;

    while (size < capacity) {
        size *= 2;
    }
    bytes = size * sizeof(struct flow_record);
    store->records = aligned_alloc(HUGE_PAGE, MAX(HUGE_PAGE, bytes));
    g_assert(store->records != NULL);
    (void)madvise(store->records, bytes, MADV_HUGEPAGE);
    memset(store->records, 0, bytes);
    store->mask = size - 1;
    store->count = 0;
}

/* Frees the table. */
void
flow_store_close(struct flow_store *store)
{
    free(store->records);
}

/* Finds a flow's record. */
struct flow_record *
flow_store_find(struct flow_store *store, uint64_t hash)
{
    for (size_t i = 0; i < FLOW_PROBE; i++) {
        struct flow_record *record = &store->records[(hash + i) & store->mask];

        if (record->hash == hash) {
            return record;
        }
        if (record->hash == 0) {
            return NULL;
        }
    }
    return NULL;
}

/* Fetches a place early: the table is larger than the cache. */
void
flow_prefetch(const struct flow *flow, uint64_t hash)
{
    __builtin_prefetch(&flow->store.records[hash & flow->store.mask], 1);
}

/* Seconds since a record was last used. */
static uint32_t
idle_seconds(const struct flow_record *record, uint64_t now)
{
    uint32_t mask = (1U << FLOW_SEEN_BITS) - 1;

    return ((uint32_t)(now / 1000) - record->seen) & mask;
}

/* Says whether a record's place may be used again. */
static bool
is_free(const struct flow *flow, const struct flow_record *record,
        uint64_t now)
{
    uint32_t limit =
        (record->flags & FLOW_FLAG_CLOSING) ? FLOW_CLOSING_S : FLOW_IDLE_S;

    return record->hash == 0 || idle_seconds(record, now) > limit ||
           flow_upstream(flow, record->upstream) == NULL;
}

/* Picks the place for a new record: a free one, else the longest idle. */
static struct flow_record *
pick_place(struct flow *flow, uint64_t now, uint64_t hash)
{
    struct flow_store *store = &flow->store;
    struct flow_record *oldest = NULL;

    for (size_t i = 0; i < FLOW_PROBE; i++) {
        struct flow_record *record = &store->records[(hash + i) & store->mask];

        if (is_free(flow, record, now)) {
            store->count += record->hash == 0;
            return record;
        }
        if (oldest == NULL ||
            idle_seconds(record, now) > idle_seconds(oldest, now)) {
            oldest = record;
        }
    }
    counter_add(flow->options.counters, COUNTER_FLOWS_EVICTED, 1);
    return oldest;
}

/* Stores or replaces a flow's record. */
struct flow_record *
flow_store_put(struct flow *flow, uint64_t now, uint64_t hash,
               upstream_id upstream)
{
    struct flow_record *record = flow_store_find(&flow->store, hash);

    if (record == NULL) {
        record = pick_place(flow, now, hash);
        record->flags = 0;
    }
    record->hash = hash;
    record->upstream = upstream;
    flow_store_touch(record, now);
    return record;
}

/* Notes that a record was used. */
void
flow_store_touch(struct flow_record *record, uint64_t now)
{
    record->seen = (uint32_t)(now / 1000) & ((1U << FLOW_SEEN_BITS) - 1);
}
