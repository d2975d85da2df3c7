/* Rendezvous hashing of warmup owners and the owner count per service. */
#include "warmup.h"

#include <string.h>

#include "hash.h"

#define MILLI 1000U

struct warmup_limit
warmup_limit_of(uint64_t warmup_ms, uint64_t rate_milli,
                uint64_t overshoot_milli, uint64_t slack_milli)
{
    uint64_t bound = rate_milli * overshoot_milli / MILLI + slack_milli;

    return (struct warmup_limit){
        .warmup_ms = warmup_ms,
        .bounded = rate_milli > 0,
        .owners = (uint32_t)MIN(bound / MILLI / WARMUP_VIEWS, UINT32_MAX)};
}

/* Rendezvous weight; the highest ones are owners. */
static uint64_t
weight_of(uint32_t node, uint64_t id)
{
    return hash_pair(HASH_RANK, node, id);
}

bool
warmup_is_owner(const struct warmup_nodes *nodes, uint32_t owners, uint64_t id)
{
    uint64_t own = weight_of(nodes->self, id);
    uint32_t higher = 0;

    for (guint i = 0; i < nodes->all->len && higher < owners; i++) {
        uint32_t other = g_array_index(nodes->all, uint32_t, i);

        higher += other != nodes->self && weight_of(other, id) > own;
    }
    return nodes->all->len > 0 && higher < owners;
}

static gint
compare_addresses(gconstpointer a, gconstpointer b)
{
    uint32_t one = *(const uint32_t *)a;
    uint32_t other = *(const uint32_t *)b;

    return one < other ? -1 : one > other;
}

void
warmup_set_nodes(struct warmup_nodes *nodes, GArray *all)
{
    g_array_sort(all, compare_addresses);
    if (all->len == nodes->all->len &&
        (all->len == 0 || memcmp(all->data, nodes->all->data,
                                 all->len * sizeof(uint32_t)) == 0)) {
        return;
    }
    g_array_set_size(nodes->all, 0);
    g_array_append_vals(nodes->all, all->data, all->len);
    nodes->version++;
}
