/*
 * What keepers hold, told as Bloom filters (Bloom, 1970). After an entry was
 * lost while buckets move, every holder of a flow's record would push it to
 * the keepers; the filters leave only those that a keeper lacks.
 */
#include "flow-internal.h"

#include <string.h>

#include "generated/wire.h"
#include "hash.h"

/* Place of one of a flow's bits. */
static size_t
bit_of(uint64_t hash, unsigned n, size_t bits)
{
    uint64_t mixed = hash_pair(HASH_BUCKET, hash, 1);

    return (size_t)(((mixed & 0xffffffff) + n * (mixed >> 32)) % bits);
}

/* Says whether this entry keeps a flow whose bucket moves. */
static bool
is_kept(const struct flow *flow, const struct flow_record *record)
{
    const struct flow_upstream *u = flow_upstream(flow, record->upstream);
    const struct member *keepers[MEMBER_KEEPERS];
    upstream_id now_owner;
    upstream_id old_owner;
    size_t count;

    if (record->hash == 0 || u == NULL ||
        !flow_is_moved(flow, &flow->services[u->service], record->hash,
                       &now_owner, &old_owner)) {
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

/* Lists the flows that this entry keeps. */
static GArray *
list_kept(const struct flow *flow)
{
    GArray *kept = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (size_t i = 0; i <= flow->store.mask; i++) {
        const struct flow_record *record = &flow->store.records[i];

        if (is_kept(flow, record)) {
            uint64_t hash = record->hash;

            g_array_append_val(kept, hash);
        }
    }
    return kept;
}

/* Gives the filter of what this entry keeps, when others must be told. */
GBytes *
flow_take_known(struct flow *flow, uint64_t now)
{
    GArray *kept;
    size_t length;
    unsigned char *filter;

    if (!flow->known_wanted || now + FLOW_KNOWN_MS < flow->orphans_at) {
        return NULL;
    }
    flow->known_wanted = false;
    kept = list_kept(flow);
    length = MIN((size_t)WIRE_KNOWN_MAX, kept->len * FLOW_KNOWN_BITS / 8 + 8);
    filter = g_malloc0(length);
    for (guint i = 0; i < kept->len; i++) {
        uint64_t hash = g_array_index(kept, uint64_t, i);

        for (unsigned n = 0; n < FLOW_KNOWN_HASHES; n++) {
            size_t bit = bit_of(hash, n, length * 8);

            filter[bit / 8] |= (unsigned char)(1U << bit % 8);
        }
    }
    g_array_free(kept, TRUE);
    return g_bytes_new_take(filter, length);
}

/* Takes the filter of another keeper. */
void
flow_set_known(struct flow *flow, uint64_t keeper, uint64_t epoch,
               const void *bits, size_t length)
{
    if (epoch == flow->members.epoch && length > 0) {
        g_hash_table_replace(flow->known, g_memdup2(&keeper, sizeof(keeper)),
                             g_bytes_new(bits, length));
    }
}

/* Says whether a keeper told that it holds a flow, or seems to have. */
bool
flow_is_known(const struct flow *flow, uint64_t keeper, uint64_t hash)
{
    GBytes *filter = g_hash_table_lookup(flow->known, &keeper);
    gsize length = 0;
    const unsigned char *bits;

    if (filter == NULL) {
        return false;
    }
    bits = g_bytes_get_data(filter, &length);
    for (unsigned n = 0; n < FLOW_KNOWN_HASHES; n++) {
        size_t bit = bit_of(hash, n, length * 8);

        if ((bits[bit / 8] >> bit % 8 & 1) == 0) {
            return false;
        }
    }
    return true;
}

/* Forgets all filters; they were of another epoch. */
void
flow_forget_known(struct flow *flow)
{
    g_hash_table_remove_all(flow->known);
}
