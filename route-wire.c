/* Encoding and decoding of routing tables. */
#include "route-wire.h"

#include <string.h>

#include "codec.h"

/* Index of a service name; appends new names. `indexes` holds index + 1, since
 * NULL means absent. */
static u_int
service_index(GHashTable *indexes, GPtrArray *names, const char *service)
{
    gpointer position = g_hash_table_lookup(indexes, service);

    if (position == NULL) {
        g_ptr_array_add(names, (gpointer)service);
        position = GUINT_TO_POINTER(names->len);
        g_hash_table_insert(indexes, (gpointer)service, position);
    }
    return GPOINTER_TO_UINT(position) - 1;
}

static void
pack_route(const struct route *route, GHashTable *indexes, GPtrArray *names,
           wire_route *out)
{
    out->address = route->address;
    out->port = route->port;
    out->kind = (u_int)route->kind;
    out->deadline_ms = route->deadline_ms;
    out->aim_ms = route->aim_ms;
    out->priority = route->priority;
    out->targets.targets_len = (u_int)route->target_count;
    out->targets.targets_val = g_new0(wire_target, route->target_count);
    for (size_t i = 0; i < route->target_count; i++) {
        out->targets.targets_val[i].service =
            service_index(indexes, names, route->targets[i].service);
        out->targets.targets_val[i].weight = route->targets[i].weight;
    }
}

/* Strings are borrowed. */
static wire_warmup *
pack_warmups(const struct route_table *table)
{
    wire_warmup *out = g_new0(wire_warmup, table->warmups->len);

    for (guint i = 0; i < table->warmups->len; i++) {
        struct route_warmup *warmup =
            &g_array_index(table->warmups, struct route_warmup, i);

        out[i] = (wire_warmup){.service = warmup->service,
                               .cold_ms = warmup->warmup_ms,
                               .rate_milli = warmup->rate_milli};
    }
    return out;
}

GByteArray *
route_encode(const struct route_table *table)
{
    guint count = table->routes->len;
    wire_route *routes = g_new0(wire_route, count);
    GHashTable *indexes = g_hash_table_new(g_str_hash, g_str_equal);
    GPtrArray *names = g_ptr_array_new();
    wire_table out = {.table_version = table->version,
                      .idle_ms = table->idle_ms};
    wire_warmup *warmups = pack_warmups(table);
    GByteArray *bytes;

    for (guint i = 0; i < count; i++) {
        pack_route(&g_array_index(table->routes, struct route, i), indexes,
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
    g_hash_table_destroy(indexes);
    g_ptr_array_free(names, TRUE);
    return bytes;
}

/* False when a target's service index is out of range. */
static bool
decode_targets(const wire_table *table, const wire_route *route,
               struct route *out)
{
    out->target_count = route->targets.targets_len;
    out->targets = g_new0(struct route_target, out->target_count);
    for (size_t i = 0; i < out->target_count; i++) {
        const wire_target *target = &route->targets.targets_val[i];

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

/* False when the route is invalid or its address and port are in use. */
static bool
decode_route(const wire_table *table, const wire_route *route,
             struct route_table *out)
{
    struct route decoded = {.address = route->address,
                            .port = (uint16_t)route->port,
                            .kind = (enum route_kind)route->kind,
                            .deadline_ms = route->deadline_ms,
                            .aim_ms = route->aim_ms,
                            .priority = route->priority};

    if (route->port <= UINT16_MAX && route->kind <= ROUTE_BULK &&
        decode_targets(table, route, &decoded) && route_add(out, &decoded)) {
        return true;
    }
    g_free(decoded.targets);
    return false;
}

static void
decode_warmups(const wire_table *table, struct route_table *out)
{
    for (u_int i = 0; i < table->warmups.warmups_len; i++) {
        const wire_warmup *warmup = &table->warmups.warmups_val[i];
        struct route_warmup decoded = {.warmup_ms = warmup->cold_ms,
                                       .rate_milli = warmup->rate_milli};

        g_strlcpy(decoded.service, warmup->service, sizeof(decoded.service));
        g_array_append_val(out->warmups, decoded);
    }
}

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
        ok = decode_route(&table, &table.routes.routes_val[i], out);
    }
    decode_warmups(&table, out);
    codec_free_table(&table);
    if (!ok || out->version == 0) {
        route_free(out);
        return NULL;
    }
    return out;
}
