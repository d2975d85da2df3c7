/*
 * Bloom filters (Bloom, 1970) of the flows that keepers hold. After the loss
 * of an entry while buckets move, records that a keeper's filter contains are
 * not pushed to that keeper: every holder of a record would push it otherwise.
 */
#include "flow-internal.h"

#include <string.h>

#include "generated/wire.h"
#include "hash.h"

/* Index of the nth bit of a flow, by double hashing. */
static size_t
bit_index(uint64_t hash, unsigned n, size_t bits)
{
    uint64_t mixed = hash_pair(HASH_BUCKET, hash, 1);

    return (size_t)(((mixed & 0xffffffff) + n * (mixed >> 32)) % bits);
}

/* True if this entry is a keeper of the flow and the bucket is moving. */
static bool
is_held_as_keeper(const struct flow *flow, const struct flow_record *record)
{
    const struct flow_upstream *u = flow_upstream(flow, record->upstream);
    const struct member *keepers[MEMBER_KEEPERS];
    upstream_id new_owner;
    upstream_id old_owner;
    size_t count;

    if (record->hash == 0 || u == NULL ||
        !flow_bucket_is_moving(flow, &flow->services[u->service], record->hash,
                               &new_owner, &old_owner)) {
        return false;
    }
    count =
        member_keepers(&flow->members, hash_pair(HASH_BUCKET, record->hash, 0),
                       MEMBER_KEEPERS, keepers);
    for (size_t i = 0; i < count; i++) {
        if (keepers[i]->id == flow->options.self) {
            return true;
        }
    }
    return false;
}

static GArray *
list_held_flows(const struct flow *flow)
{
    GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (size_t i = 0; i <= flow->store.mask; i++) {
        const struct flow_record *record = &flow->store.records[i];

        if (is_held_as_keeper(flow, record)) {
            uint64_t hash = record->hash;

            g_array_append_val(hashes, hash);
        }
    }
    return hashes;
}

GBytes *
flow_build_filter(struct flow *flow, uint64_t now)
{
    GArray *hashes;
    size_t length;
    unsigned char *filter;

    if (!flow->filter_due ||
        now + FLOW_FILTER_LEAD_MS < flow->orphan_pass_at) {
        return NULL;
    }
    flow->filter_due = false;
    hashes = list_held_flows(flow);
    length =
        MIN((size_t)WIRE_KNOWN_MAX, hashes->len * FLOW_FILTER_BITS / 8 + 8);
    filter = g_malloc0(length);
    for (guint i = 0; i < hashes->len; i++) {
        uint64_t hash = g_array_index(hashes, uint64_t, i);

        for (unsigned n = 0; n < FLOW_FILTER_HASHES; n++) {
            size_t bit = bit_index(hash, n, length * 8);

            filter[bit / 8] |= (unsigned char)(1U << bit % 8);
        }
    }
    g_array_free(hashes, TRUE);
    return g_bytes_new_take(filter, length);
}

void
flow_set_filter(struct flow *flow, uint64_t keeper, uint64_t epoch,
                const void *bits, size_t length)
{
    if (epoch == flow->members.epoch && length > 0) {
        g_hash_table_replace(flow->filters, g_memdup2(&keeper, sizeof(keeper)),
                             g_bytes_new(bits, length));
    }
}

/* False positives as in any Bloom filter. */
bool
flow_filter_contains(const struct flow *flow, uint64_t keeper, uint64_t hash)
{
    GBytes *filter = g_hash_table_lookup(flow->filters, &keeper);
    gsize length = 0;
    const unsigned char *bits;

    if (filter == NULL) {
        return false;
    }
    bits = g_bytes_get_data(filter, &length);
    for (unsigned n = 0; n < FLOW_FILTER_HASHES; n++) {
        size_t bit = bit_index(hash, n, length * 8);

        if ((bits[bit / 8] >> bit % 8 & 1) == 0) {
            return false;
        }
    }
    return true;
}

void
flow_clear_filters(struct flow *flow)
{
    g_hash_table_remove_all(flow->filters);
}
