/* Routing tables to bytes and back. */
#include "route-wire.h"

#include <string.h>

#include "codec.h"

/* Place of a service's name among those of a table; adds it when it is new. */
static u_int
place_of(GHashTable *places, GPtrArray *names, const char *service)
{
    gpointer place = g_hash_table_lookup(places, service);

    if (place == NULL) {
        g_ptr_array_add(names, (gpointer)service);
        place = GUINT_TO_POINTER(names->len);
        g_hash_table_insert(places, (gpointer)service, place);
    }
    return GPOINTER_TO_UINT(place) - 1;
}

/* Fills one route. */
static void
pack_route(const struct route *route, GHashTable *places, GPtrArray *names,
           wire_route *out)
{
    out->address = route->address;
    out->port = route->port;
    out->kind = (u_int)route->kind;
    out->deadline_ms = route->deadline_ms;
    out->targets.targets_len = (u_int)route->target_count;
    out->targets.targets_val = g_new0(wire_target, route->target_count);
    for (size_t i = 0; i < route->target_count; i++) {
        out->targets.targets_val[i].service =
            place_of(places, names, route->targets[i].service);
        out->targets.targets_val[i].weight = route->targets[i].weight;
    }
}

/* What services say of their upstreams; strings are borrowed. */
static wire_warmup *
pack_warmups(const struct route_table *table)
{
    wire_warmup *out = g_new0(wire_warmup, table->warmups->len);

    for (guint i = 0; i < table->warmups->len; i++) {
        struct route_warmup *warmup =
            &g_array_index(table->warmups, struct route_warmup, i);

        out[i] = (wire_warmup){.service = warmup->service,
                               .cold_ms = warmup->cold_ms,
                               .rate_milli = warmup->rate_milli};
    }
    return out;
}

/* Encodes a table. */
GByteArray *
route_encode(const struct route_table *table)
{
    guint count = table->routes->len;
    wire_route *routes = g_new0(wire_route, count);
    GHashTable *places = g_hash_table_new(g_str_hash, g_str_equal);
    GPtrArray *names = g_ptr_array_new();
    wire_table out = {.table_version = table->version,
                      .idle_ms = table->idle_ms};
    wire_warmup *warmups = pack_warmups(table);
    GByteArray *bytes;

    for (guint i = 0; i < count; i++) {
        pack_route(&g_array_index(table->routes, struct route, i), places,
                   names, &routes[i]);
    }
    out.routes.routes_val = routes;
    out.routes.routes_len = count;
    out.warmups.warmups_val = warmups;
    out.warmups.warmups_len = table->warmups->len;
    out.services.services_val = (wire_name *)names->pdata;
    out.services.services_len = names->len;
    bytes = codec_encode_table(&out);
    for (guint i = 0; i < count; i++) {
        g_free(routes[i].targets.targets_val);
    }
    g_free(routes);
    g_free(warmups);
    g_hash_table_destroy(places);
    g_ptr_array_free(names, TRUE);
    return bytes;
}

/* Reads the targets of a route; false when one names no service. */
static bool
read_targets(const wire_table *table, const wire_route *from,
             struct route *out)
{
    out->target_count = from->targets.targets_len;
    out->targets = g_new0(struct route_target, out->target_count);
    for (size_t i = 0; i < out->target_count; i++) {
        const wire_target *target = &from->targets.targets_val[i];

        if (target->service >= table->services.services_len) {
            return false;
        }
        g_strlcpy(out->targets[i].service,
                  table->services.services_val[target->service],
                  sizeof(out->targets[i].service));
        out->targets[i].weight = target->weight;
    }
    return true;
}

/* Reads one route into a table; false when it is none, or stands twice. */
static bool
read_route(const wire_table *from, const wire_route *route,
           struct route_table *out)
{
    struct route read = {.address = route->address,
                         .port = (uint16_t)route->port,
                         .kind = (enum route_kind)route->kind,
                         .deadline_ms = route->deadline_ms};

    if (route->port <= UINT16_MAX && route->kind <= ROUTE_BULK &&
        read_targets(from, route, &read) && route_add(out, &read)) {
        return true;
    }
    g_free(read.targets);
    return false;
}

/* Reads what services say of their upstreams. */
static void
read_warmups(const wire_table *from, struct route_table *out)
{
    for (u_int i = 0; i < from->warmups.warmups_len; i++) {
        const wire_warmup *warmup = &from->warmups.warmups_val[i];
        struct route_warmup read = {.cold_ms = warmup->cold_ms,
                                    .rate_milli = warmup->rate_milli};

        g_strlcpy(read.service, warmup->service, sizeof(read.service));
        g_array_append_val(out->warmups, read);
    }
}

/* Decodes a table. */
struct route_table *
route_decode(const void *bytes, size_t length)
{
    struct route_table *out;
    wire_table table;
    bool ok = true;

    if (!codec_decode_table(bytes, length, &table)) {
        return NULL;
    }
    out = route_new();
    out->version = table.table_version;
    out->idle_ms = table.idle_ms;
    for (u_int i = 0; i < table.routes.routes_len && ok; i++) {
        ok = read_route(&table, &table.routes.routes_val[i], out);
    }
    read_warmups(&table, out);
    codec_free_table(&table);
    if (!ok || out->version == 0) {
        route_free(out);
        return NULL;
    }
    return out;
}
