/*
 * The records of an inventory and how they are found: by id, by token, by the
 * address that an upstream runs at, in order of tokens and by bucket of them.
 * A look-up costs the same however many there are. What a record says is
 * upstream.c's.
 */
#include "upstream-internal.h"

#include "hash.h"

/* Token of an incarnation. */
uint32_t
upstream_token(uint64_t id)
{
    uint32_t token = (uint32_t)hash_pair(HASH_UPSTREAM, id, 0);

    return token != 0 ? token : 1;
}

/* Finds by token. */
struct upstream *
upstream_by_token(const struct upstream_set *set, uint32_t token)
{
    return g_hash_table_lookup(set->by_token, GUINT_TO_POINTER(token));
}

/* Finds by id. */
struct upstream *
upstream_by_id(const struct upstream_set *set, uint64_t id)
{
    return g_hash_table_lookup(set->by_id, &id);
}

/* Says whether an incarnation is believed to run. */
bool
upstream_is_alive(const struct upstream *upstream)
{
    return upstream->state == UPSTREAM_READY ||
           upstream->state == UPSTREAM_LEAVING;
}

/* Where an upstream stands by its token in a list. */
static guint
rank_of_token(const GPtrArray *list, uint32_t token)
{
    guint low = 0;
    guint high = list->len;

    while (low < high) {
        guint middle = low + (high - low) / 2;
        const struct upstream *u = g_ptr_array_index(list, middle);

        if (u->token < token) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Puts an upstream where it stands by its token. */
static void
insert_by_token(GPtrArray *list, struct upstream *upstream)
{
    g_ptr_array_insert(list, (gint)rank_of_token(list, upstream->token),
                       upstream);
}

/* Takes an upstream out of a list by token. */
static void
remove_by_token(GPtrArray *list, struct upstream *upstream)
{
    guint place = rank_of_token(list, upstream->token);

    while (g_ptr_array_index(list, place) != upstream) {
        place++;
    }
    (void)g_ptr_array_remove_index(list, place);
}

/* Takes an upstream off its place. */
static void
leave_place(struct upstream_set *set, struct upstream *upstream)
{
    struct upstream *first;

    if (upstream->place == 0) {
        return;
    }
    first = g_hash_table_lookup(set->by_place, &upstream->place);
    if (first != upstream) {
        while (first->next_there != upstream) {
            first = first->next_there;
        }
        first->next_there = upstream->next_there;
    }
    else if (upstream->next_there != NULL) {
        (void)g_hash_table_replace(set->by_place, &upstream->next_there->place,
                                   upstream->next_there);
    }
    else {
        (void)g_hash_table_remove(set->by_place, &upstream->place);
    }
    upstream->place = 0;
    upstream->next_there = NULL;
}

/* Key of an address and a port. */
static uint64_t
place_of(uint32_t address, uint32_t port)
{
    return (uint64_t)address << 16 | port;
}

/* Puts an upstream to its place. */
void
upstream_take_place(struct upstream_set *set, struct upstream *upstream)
{
    uint64_t place = place_of(upstream->address, upstream->port);

    if (upstream->place == place) {
        return;
    }
    leave_place(set, upstream);
    upstream->place = place;
    upstream->next_there = g_hash_table_lookup(set->by_place, &place);
    (void)g_hash_table_replace(set->by_place, &upstream->place, upstream);
}

/* Makes a record. Of two incarnations with one token the older keeps it; the
 * newer is never found by its token, so it is not chosen either. */
struct upstream *
upstream_add(struct upstream_set *set, uint64_t id)
{
    struct upstream *upstream = g_new0(struct upstream, 1);

    upstream->id = id;
    upstream->token = upstream_token(id);
    insert_by_token(set->all, upstream);
    insert_by_token(set->buckets[upstream->token % WIRE_BUCKETS], upstream);
    g_hash_table_insert(set->by_id, &upstream->id, upstream);
    upstream->named = upstream_by_token(set, upstream->token) == NULL;
    if (upstream->named) {
        g_hash_table_insert(set->by_token, GUINT_TO_POINTER(upstream->token),
                            upstream);
    }
    return upstream;
}

/* Drops a record. */
void
upstream_drop(struct upstream_set *set, struct upstream *upstream)
{
    set->digests[upstream->token % WIRE_BUCKETS] -= upstream->mark;
    g_hash_table_remove(set->by_id, &upstream->id);
    if (upstream->named) {
        g_hash_table_remove(set->by_token, GUINT_TO_POINTER(upstream->token));
    }
    leave_place(set, upstream);
    remove_by_token(set->buckets[upstream->token % WIRE_BUCKETS], upstream);
    remove_by_token(set->all, upstream);
}

/* The incarnation other than `id` that is believed to run at an address; NULL
 * when there is none. */
struct upstream *
upstream_holder_of(const struct upstream_set *set, uint64_t id,
                   uint32_t address, uint32_t port)
{
    uint64_t place = place_of(address, port);
    struct upstream *upstream = g_hash_table_lookup(set->by_place, &place);

    while (upstream != NULL &&
           (upstream->id == id || !upstream_is_alive(upstream))) {
        upstream = upstream->next_there;
    }
    return upstream;
}
