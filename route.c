/* Routing table lookups and weighted choice of a service. */
#include "route.h"

gpointer
route_key(uint32_t address, uint16_t port)
{
    return (gpointer)((uintptr_t)address << 16 | port);
}

static void
clear_route(gpointer data)
{
    struct route *route = data;

    g_free(route->targets);
}

struct route_table *
route_new(void)
{
    struct route_table *table = g_new0(struct route_table, 1);

    table->routes = g_array_new(FALSE, TRUE, sizeof(struct route));
    g_array_set_clear_func(table->routes, clear_route);
    table->by_address = g_hash_table_new(g_direct_hash, g_direct_equal);
    table->warmups = g_array_new(FALSE, FALSE, sizeof(struct route_warmup));
    return table;
}

void
route_free(struct route_table *table)
{
    if (table != NULL) {
        g_array_free(table->routes, TRUE);
        g_hash_table_destroy(table->by_address);
        g_array_free(table->warmups, TRUE);
        g_free(table);
    }
}

bool
route_add(struct route_table *table, struct route *route)
{
    gpointer key = route_key(route->address, route->port);

    if (g_hash_table_contains(table->by_address, key)) {
        return false;
    }
    route->weight_sum = 0;
    for (size_t i = 0; i < route->target_count; i++) {
        route->weight_sum += route->targets[i].weight;
    }
    g_array_append_vals(table->routes, route, 1);
    g_hash_table_insert(table->by_address, key,
                        GUINT_TO_POINTER(table->routes->len));
    return true;
}

const struct route *
route_find(const struct route_table *table, uint32_t address, uint16_t port)
{
    guint position = GPOINTER_TO_UINT(
        g_hash_table_lookup(table->by_address, route_key(address, port)));

    return position > 0
               ? &g_array_index(table->routes, struct route, position - 1)
               : NULL;
}

uint64_t
route_aim_ms(const struct route *route)
{
    return route->aim_ms != 0 ? route->aim_ms : route->deadline_ms / 2;
}

uint32_t
route_order(const struct route *route)
{
    return route->priority * 2 + (route->kind != ROUTE_NON_IDEMPOTENT ? 1 : 0);
}

bool
route_leads_to(const struct route *route, uint16_t service)
{
    for (size_t i = 0; i < route->target_count; i++) {
        if (route->targets[i].handle == service &&
            route->targets[i].weight > 0) {
            return true;
        }
    }
    return false;
}

const struct route_target *
route_pick(const struct route *route, uint64_t hash)
{
    uint64_t offset = route->weight_sum > 0 ? hash % route->weight_sum : 0;

    for (size_t i = 0; i < route->target_count; i++) {
        if (offset < route->targets[i].weight) {
            return &route->targets[i];
        }
        offset -= route->targets[i].weight;
    }
    return NULL;
}
