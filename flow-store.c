/*
 * Flow records in a fixed-size hash table with linear probing over at most
 * FLOW_PROBE_MAX slots. Slots are reused but never emptied, so a lookup ends
 * at the first slot that was never used.
 */
#include "flow-internal.h"

#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#define HUGE_PAGE ((size_t)2 * 1024 * 1024)

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

void
flow_store_close(struct flow_store *store)
{
    free(store->records);
}

struct flow_record *
flow_store_find(struct flow_store *store, uint64_t hash)
{
    for (size_t i = 0; i < FLOW_PROBE_MAX; i++) {
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

void
flow_prefetch(const struct flow *flow, uint64_t hash)
{
    __builtin_prefetch(&flow->store.records[hash & flow->store.mask], 1);
}

static uint32_t
idle_seconds(const struct flow_record *record, uint64_t now)
{
    uint32_t mask = (1U << FLOW_SEEN_BITS) - 1;

    return ((uint32_t)(now / 1000) - record->seen) & mask;
}

/* True if the slot is empty, its record expired or its upstream is gone. */
static bool
is_reusable(const struct flow *flow, const struct flow_record *record,
            uint64_t now)
{
    uint32_t limit = (record->flags & FLOW_FLAG_CLOSING)
                         ? FLOW_CLOSING_TIMEOUT_S
                         : FLOW_IDLE_TIMEOUT_S;

    return record->hash == 0 || idle_seconds(record, now) > limit ||
           flow_upstream(flow, record->upstream) == NULL;
}

/* Picks a reusable slot for a new record, else evicts the longest idle one. */
static struct flow_record *
pick_slot(struct flow *flow, uint64_t now, uint64_t hash)
{
    struct flow_store *store = &flow->store;
    struct flow_record *oldest = NULL;

    for (size_t i = 0; i < FLOW_PROBE_MAX; i++) {
        struct flow_record *record = &store->records[(hash + i) & store->mask];

        if (is_reusable(flow, record, now)) {
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

/* Inserts or replaces a record. */
struct flow_record *
flow_store_put(struct flow *flow, uint64_t now, uint64_t hash,
               upstream_id upstream)
{
    struct flow_record *record = flow_store_find(&flow->store, hash);

    if (record == NULL) {
        record = pick_slot(flow, now, hash);
        record->flags = 0;
    }
    record->hash = hash;
    record->upstream = upstream;
    flow_store_touch(record, now);
    return record;
}

void
flow_store_touch(struct flow_record *record, uint64_t now)
{
    record->seen = (uint32_t)(now / 1000) & ((1U << FLOW_SEEN_BITS) - 1);
}
