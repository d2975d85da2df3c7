/* Routing tables: holding and looking up. */
#include "route.h"

/* Key of an address and port. */
gpointer
route_key(uint32_t address, uint16_t port)
{
    return (gpointer)((uintptr_t)address << 16 | port);
}

/* Frees what a route holds. */
static void
clear_route(gpointer data)
{
    struct route *route = data;

    g_free(route->targets);
}

/* Makes an empty table. */
struct route_table *
route_new(void)
{
    struct route_table *table = g_new0(struct route_table, 1);

    table->routes = g_array_new(FALSE, TRUE, sizeof(struct route));
    g_array_set_clear_func(table->routes, clear_route);
    table->by_place = g_hash_table_new(g_direct_hash, g_direct_equal);
    table->warmups = g_array_new(FALSE, FALSE, sizeof(struct route_warmup));
    return table;
}

/* Frees it. */
void
route_free(struct route_table *table)
{
    if (table != NULL) {
        g_array_free(table->routes, TRUE);
        g_hash_table_destroy(table->by_place);
        g_array_free(table->warmups, TRUE);
        g_free(table);
    }
}

/* Adds a route. */
bool
route_add(struct route_table *table, struct route *route)
{
    gpointer key = route_key(route->address, route->port);

    if (g_hash_table_contains(table->by_place, key)) {
        return false;
    }
    route->weight_sum = 0;
    for (size_t i = 0; i < route->target_count; i++) {
        route->weight_sum += route->targets[i].weight;
    }
    g_array_append_vals(table->routes, route, 1);
    g_hash_table_insert(table->by_place, key,
                        GUINT_TO_POINTER(table->routes->len));
    return true;
}

/* Finds a route. */
const struct route *
route_find(const struct route_table *table, uint32_t address, uint16_t port)
{
    guint place = GPOINTER_TO_UINT(
        g_hash_table_lookup(table->by_place, route_key(address, port)));

    return place > 0 ? &g_array_index(table->routes, struct route, place - 1)
                     : NULL;
}

/* Picks a target by weight. */
const struct route_target *
route_pick(const struct route *route, uint64_t hash)
{
    uint64_t at = route->weight_sum > 0 ? hash % route->weight_sum : 0;

    for (size_t i = 0; i < route->target_count; i++) {
        if (at < route->targets[i].weight) {
            return &route->targets[i];
        }
        at -= route->targets[i].weight;
    }
    return NULL;
}
