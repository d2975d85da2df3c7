/* Indexes of the inventory: by id, token and endpoint, and sorted by token, in
 * total and per bucket. Lookups take constant or logarithmic time. */
#include "upstream-internal.h"

#include "hash.h"

uint32_t
upstream_token(uint64_t id)
{
    uint32_t token = (uint32_t)hash_pair(HASH_UPSTREAM, id, 0);

    return token != 0 ? token : 1;
}

struct upstream *
upstream_by_token(const struct upstream_set *set, uint32_t token)
{
    return g_hash_table_lookup(set->by_token, GUINT_TO_POINTER(token));
}

struct upstream *
upstream_by_id(const struct upstream_set *set, uint64_t id)
{
    return g_hash_table_lookup(set->by_id, &id);
}

bool
upstream_is_alive(const struct upstream *upstream)
{
    return upstream->state == UPSTREAM_READY ||
           upstream->state == UPSTREAM_LEAVING;
}

/* Lower bound of a token in a sorted list. */
static guint
lower_bound(const GPtrArray *list, uint32_t token)
{
    guint low = 0;
    guint high = list->len;

    while (low < high) {
        guint mid = low + (high - low) / 2;
        const struct upstream *u = g_ptr_array_index(list, mid);

        if (u->token < token) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

static void
insert_by_token(GPtrArray *list, struct upstream *upstream)
{
    g_ptr_array_insert(list, (gint)lower_bound(list, upstream->token),
                       upstream);
}

/* Records with equal tokens are adjacent. */
static void
remove_by_token(GPtrArray *list, struct upstream *upstream)
{
    guint index = lower_bound(list, upstream->token);

    while (g_ptr_array_index(list, index) != upstream) {
        index++;
    }
    (void)g_ptr_array_remove_index(list, index);
}

static void
unindex_endpoint(struct upstream_set *set, struct upstream *upstream)
{
    struct upstream *first;

    if (upstream->endpoint_key == 0) {
        return;
    }
    first = g_hash_table_lookup(set->by_endpoint, &upstream->endpoint_key);
    if (first != upstream) {
        while (first->next_at_endpoint != upstream) {
            first = first->next_at_endpoint;
        }
        first->next_at_endpoint = upstream->next_at_endpoint;
    }
    else if (upstream->next_at_endpoint != NULL) {
        (void)g_hash_table_replace(set->by_endpoint,
                                   &upstream->next_at_endpoint->endpoint_key,
                                   upstream->next_at_endpoint);
    }
    else {
        (void)g_hash_table_remove(set->by_endpoint, &upstream->endpoint_key);
    }
    upstream->endpoint_key = 0;
    upstream->next_at_endpoint = NULL;
}

static uint64_t
endpoint_key(uint32_t address, uint32_t port)
{
    return (uint64_t)address << 16 | port;
}

void
upstream_index_endpoint(struct upstream_set *set, struct upstream *upstream)
{
    uint64_t key = endpoint_key(upstream->address, upstream->port);

    if (upstream->endpoint_key == key) {
        return;
    }
    unindex_endpoint(set, upstream);
    upstream->endpoint_key = key;
    upstream->next_at_endpoint = g_hash_table_lookup(set->by_endpoint, &key);
    (void)g_hash_table_replace(set->by_endpoint, &upstream->endpoint_key,
                               upstream);
}

/* Adds a record. When two ids hash to the same token, the older record keeps
 * it; the newer one is not found by its token and so gets no flows. */
struct upstream *
upstream_add(struct upstream_set *set, uint64_t id)
{
    struct upstream *upstream = g_new0(struct upstream, 1);

    upstream->id = id;
    upstream->token = upstream_token(id);
    insert_by_token(set->all, upstream);
    insert_by_token(set->buckets[upstream->token % WIRE_BUCKETS], upstream);
    g_hash_table_insert(set->by_id, &upstream->id, upstream);
    upstream->has_token = upstream_by_token(set, upstream->token) == NULL;
    if (upstream->has_token) {
        g_hash_table_insert(set->by_token, GUINT_TO_POINTER(upstream->token),
                            upstream);
    }
    return upstream;
}

void
upstream_drop(struct upstream_set *set, struct upstream *upstream)
{
    set->digests[upstream->token % WIRE_BUCKETS] -= upstream->digest;
    g_hash_table_remove(set->by_id, &upstream->id);
    if (upstream->has_token) {
        g_hash_table_remove(set->by_token, GUINT_TO_POINTER(upstream->token));
    }
    unindex_endpoint(set, upstream);
    remove_by_token(set->buckets[upstream->token % WIRE_BUCKETS], upstream);
    remove_by_token(set->all, upstream);
}

struct upstream *
upstream_running_at(const struct upstream_set *set, uint64_t id,
                    uint32_t address, uint32_t port)
{
    uint64_t key = endpoint_key(address, port);
    struct upstream *upstream = g_hash_table_lookup(set->by_endpoint, &key);

    while (upstream != NULL &&
           (upstream->id == id || !upstream_is_alive(upstream))) {
        upstream = upstream->next_at_endpoint;
    }
    return upstream;
}
