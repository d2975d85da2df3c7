/*
 * The view of one entry: services, their tables now and before the last
 * change, and the handles of upstreams. Decides nothing about packets.
 */
#include "flow-internal.h"

#include <string.h>

#include "hash.h"

#define GENERATION_SHIFT 20
#define INDEX_MASK ((1U << GENERATION_SHIFT) - 1)
#define GENERATION_MAX 4095

/* Packs an endpoint into a hash key. */
static gpointer
endpoint(uint32_t address, uint16_t port)
{
    return GSIZE_TO_POINTER(((gsize)address << 16) | port);
}

/* Packs a service's endpoint and protocol into a hash key. */
static gpointer
service_endpoint(uint32_t address, uint16_t port, int protocol)
{
    return GSIZE_TO_POINTER(((gsize)address << 17) | ((gsize)port << 1) |
                            (gsize)protocol);
}

/* Makes a handle. */
static upstream_id
make_id(size_t index, uint16_t generation)
{
    return (upstream_id)(((uint32_t)generation << GENERATION_SHIFT) |
                         (uint32_t)index);
}

/* Looks an upstream up by handle. */
const struct flow_upstream *
flow_upstream(const struct flow *flow, upstream_id id)
{
    size_t index = id & INDEX_MASK;

    if (index == 0 || index >= flow->upstream_size ||
        flow->upstreams[index].generation != id >> GENERATION_SHIFT ||
        flow->upstreams[index].service == FLOW_NO_SERVICE) {
        return NULL;
    }
    return &flow->upstreams[index];
}

/* Finds an upstream's handle by endpoint. */
upstream_id
flow_lookup_upstream(const struct flow *flow, uint32_t address, uint16_t port)
{
    return (upstream_id)GPOINTER_TO_SIZE(
        g_hash_table_lookup(flow->by_upstream, endpoint(address, port)));
}

/* Finds a place for a new upstream; grows the array when all are used. */
static size_t
free_place(struct flow *flow)
{
    size_t old = flow->upstream_size;

    for (size_t i = 1; i < old; i++) {
        if (flow->upstreams[i].address == 0) {
            return i;
        }
    }
    flow->upstream_size = old ? old * 2 : 64;
    flow->upstreams =
        g_renew(struct flow_upstream, flow->upstreams, flow->upstream_size);
    memset(flow->upstreams + old, 0,
           (flow->upstream_size - old) * sizeof(*flow->upstreams));
    for (size_t i = old; i < flow->upstream_size; i++) {
        flow->upstreams[i].service = FLOW_NO_SERVICE;
    }
    return old ? old : 1;
}

/* Gives an endpoint its handle, a new one when it has none. */
upstream_id
flow_intern(struct flow *flow, uint32_t address, uint16_t port)
{
    upstream_id id = flow_lookup_upstream(flow, address, port);
    struct flow_upstream *upstream;
    size_t index;

    if (id != FLOW_NO_UPSTREAM) {
        return id;
    }
    index = free_place(flow);
    upstream = &flow->upstreams[index];
    upstream->address = address;
    upstream->port = port;
    upstream->placed = 0;
    upstream->generation = upstream->generation % GENERATION_MAX + 1;
    id = make_id(index, upstream->generation);
    g_hash_table_insert(flow->by_upstream, endpoint(address, port),
                        GSIZE_TO_POINTER((gsize)id));
    return id;
}

/* Fills a table from a bundle's service; NULL when it has no flow table. */
static uint16_t *
fill_table(const struct bundle_service *service, uint32_t *size)
{
    struct table_candidate *candidates =
        g_new(struct table_candidate, service->upstream_count);
    uint16_t *table;

    for (size_t i = 0; i < service->upstream_count; i++) {
        const struct bundle_upstream *u = &service->upstreams[i];

        candidates[i].key = hash_pair(HASH_UPSTREAM, u->address, u->port);
        candidates[i].weight = u->state == BUNDLE_LEAVING ? 0 : u->weight;
    }
    *size = table_size(service->upstream_count);
    table = g_new(uint16_t, *size);
    table_fill(candidates, service->upstream_count, *size, table);
    g_free(candidates);
    return table;
}

/* Frees what a service holds. */
static void
clear_service(struct flow_service *service)
{
    g_free(service->now);
    g_free(service->old);
    g_free(service->stamps);
    g_free(service->upstreams);
}

/* Finds a service of the view that is in force, by name. */
static const struct flow_service *
find_named(const struct flow *flow, const char *name)
{
    for (size_t i = 0; i < flow->service_count; i++) {
        if (strcmp(flow->services[i].name, name) == 0) {
            return &flow->services[i];
        }
    }
    return NULL;
}

/* Index in `after` of an upstream of `before`, TABLE_NONE if it is gone. */
static uint16_t
index_after(const struct bundle_service *after,
            const struct bundle_upstream *upstream)
{
    for (size_t i = 0; i < after->upstream_count; i++) {
        if (after->upstreams[i].address == upstream->address &&
            after->upstreams[i].port == upstream->port) {
            return (uint16_t)i;
        }
    }
    return TABLE_NONE;
}

/* Fills the table before the change, in indexes of the new upstreams. */
static void
fill_old(struct flow_service *service, const struct bundle_service *after,
         const struct bundle_service *before)
{
    uint16_t *map;

    if (before == NULL || before->kind != BUNDLE_FLOW) {
        return;
    }
    service->old = fill_table(before, &service->old_size);
    map = g_new(uint16_t, before->upstream_count);
    for (size_t i = 0; i < before->upstream_count; i++) {
        map[i] = index_after(after, &before->upstreams[i]);
    }
    for (uint32_t i = 0; i < service->old_size; i++) {
        if (service->old[i] != TABLE_NONE) {
            service->old[i] = map[service->old[i]];
        }
    }
    g_free(map);
}

/* The unit of `stamps` for a time; never 0. */
static uint16_t
stamp_of(uint64_t now)
{
    return (uint16_t)(now / FLOW_STAMP_MS % UINT16_MAX + 1);
}

/* Stamps the buckets whose flows may be elsewhere than the table says. */
static void
stamp_buckets(struct flow_service *service, const struct flow_service *held,
              uint64_t now, bool history_known)
{
    bool keep = held != NULL && held->size == service->size;

    service->stamps = g_new0(uint16_t, service->size);
    for (uint32_t i = 0; i < service->size; i++) {
        bool moved =
            service->old_size != 0 && (service->old_size != service->size ||
                                       service->old[i] != service->now[i]);

        if (!history_known || moved) {
            service->stamps[i] = stamp_of(now);
        }
        else if (keep) {
            service->stamps[i] = held->stamps[i];
        }
    }
}

/* Hash of the table and the endpoints it points to. */
static uint64_t
digest_of(const struct flow *flow, const struct flow_service *service)
{
    uint64_t digest = hash_bytes(HASH_BUCKET, service->now,
                                 service->size * sizeof(*service->now));

    for (size_t i = 0; i < service->upstream_count; i++) {
        size_t index = service->upstreams[i] & INDEX_MASK;
        const struct flow_upstream *u = &flow->upstreams[index];

        digest = hash_pair(HASH_BUCKET, digest,
                           ((uint64_t)u->address << 16) | u->port);
    }
    return digest;
}

/* Builds one service of a new view. */
static void
build_service(struct flow *flow, uint64_t now, struct flow_service *service,
              const struct bundle_service *after,
              const struct bundle_service *before, bool history_known)
{
    g_strlcpy(service->name, after->name, sizeof(service->name));
    service->key = hash_name(after->name);
    service->address = after->address;
    service->port = (uint16_t)after->port;
    service->protocol = (uint8_t)after->protocol;
    service->now = fill_table(after, &service->size);
    fill_old(service, after, before);
    stamp_buckets(service, find_named(flow, after->name), now, history_known);
    service->upstream_count = after->upstream_count;
    service->upstreams = g_new(upstream_id, after->upstream_count);
    for (size_t i = 0; i < after->upstream_count; i++) {
        service->upstreams[i] =
            flow_intern(flow, after->upstreams[i].address,
                        (uint16_t)after->upstreams[i].port);
    }
    service->digest = digest_of(flow, service);
}

/* Ties upstreams to the services of the new view; frees the others. */
static void
tie_upstreams(struct flow *flow, const struct bundle *bundle)
{
    size_t index = 0;

    for (size_t i = 1; i < flow->upstream_size; i++) {
        flow->upstreams[i].service = FLOW_NO_SERVICE;
    }
    for (size_t i = 0; i < bundle->service_count; i++) {
        const struct bundle_service *s = &bundle->services[i];

        if (s->kind != BUNDLE_FLOW) {
            continue;
        }
        for (size_t j = 0; j < s->upstream_count; j++) {
            upstream_id id = flow->services[index].upstreams[j];
            struct flow_upstream *u = &flow->upstreams[id & INDEX_MASK];

            u->service = (uint16_t)index;
            u->leaving = s->upstreams[j].state == BUNDLE_LEAVING;
        }
        index++;
    }
    for (size_t i = 1; i < flow->upstream_size; i++) {
        struct flow_upstream *u = &flow->upstreams[i];

        if (u->service == FLOW_NO_SERVICE && u->address != 0) {
            g_hash_table_remove(flow->by_upstream,
                                endpoint(u->address, u->port));
            u->address = 0;
        }
    }
}

/* Replaces the services by those of a new bundle. */
static void
replace_services(struct flow *flow, uint64_t now, const struct bundle *bundle,
                 const struct bundle *before, bool history_known)
{
    struct flow_service *services =
        g_new0(struct flow_service, bundle->service_count);
    size_t count = 0;

    for (size_t i = 0; i < bundle->service_count; i++) {
        const struct bundle_service *s = &bundle->services[i];

        if (s->kind == BUNDLE_FLOW) {
            build_service(flow, now, &services[count], s,
                          before ? bundle_find_service(before, s->name) : NULL,
                          history_known);
            count++;
        }
    }
    for (size_t i = 0; i < flow->service_count; i++) {
        clear_service(&flow->services[i]);
    }
    g_free(flow->services);
    flow->services = services;
    flow->service_count = count;
    g_hash_table_remove_all(flow->by_address);
    for (size_t i = 0; i < count; i++) {
        g_hash_table_insert(flow->by_address,
                            service_endpoint(services[i].address,
                                             services[i].port,
                                             services[i].protocol),
                            GSIZE_TO_POINTER(i + 1));
    }
}

/* Takes a newer bundle. */
bool
flow_apply(struct flow *flow, uint64_t now, const struct bundle *bundle,
           const struct bundle *before, enum flow_step step)
{
    bool first = bundle->base == 0 && before == NULL;
    bool history_known =
        first || (before != NULL && before->version == flow->version);

    if (bundle->version <= flow->version) {
        return false;
    }
    replace_services(flow, now, bundle, before, history_known);
    tie_upstreams(flow, bundle);
    flow->version = bundle->version;
    flow->step = FLOW_STEP_NONE;
    (void)flow_advance(flow, now, step);
    flow->move_pending = true;
    flow_begin_pass(flow);
    counter_add(flow->options.counters, COUNTER_BUNDLES_APPLIED, 1);
    return true;
}

/* Moves to a later step of the same bundle. */
bool
flow_advance(struct flow *flow, uint64_t now, enum flow_step step)
{
    if (step <= flow->step) {
        return false;
    }
    if (flow->step < FLOW_STEP_MOVE && step >= FLOW_STEP_MOVE) {
        flow->flip_udp_at = now + FLOW_UDP_FLIP_MS;
    }
    flow->step = step;
    return true;
}

/* Finds a service by the callers' endpoint. */
uint16_t
flow_find_service(const struct flow *flow, uint32_t address, uint16_t port,
                  int protocol)
{
    size_t found = GPOINTER_TO_SIZE(g_hash_table_lookup(
        flow->by_address, service_endpoint(address, port, protocol)));

    return found ? (uint16_t)(found - 1) : FLOW_NO_SERVICE;
}

/* Finds a service by an upstream's endpoint. */
uint16_t
flow_find_return(const struct flow *flow, uint32_t address, uint16_t port,
                 int protocol)
{
    const struct flow_upstream *u =
        flow_upstream(flow, flow_lookup_upstream(flow, address, port));

    if (u == NULL || flow->services[u->service].protocol != protocol) {
        return FLOW_NO_SERVICE;
    }
    return u->service;
}

/* Finds a service by name. */
uint16_t
flow_find_named(const struct flow *flow, const char *name)
{
    const struct flow_service *found = find_named(flow, name);

    return found ? (uint16_t)(found - flow->services) : FLOW_NO_SERVICE;
}

/* Counts the flows placed at an endpoint. */
uint64_t
flow_placed(const struct flow *flow, uint32_t address, uint16_t port)
{
    const struct flow_upstream *u =
        flow_upstream(flow, flow_lookup_upstream(flow, address, port));

    return u ? u->placed : 0;
}

/* Finds the upstream of a flow's record. */
upstream_id
flow_recorded(const struct flow *flow, uint64_t hash)
{
    const struct flow_record *record =
        flow_store_find((struct flow_store *)&flow->store, hash);

    return record ? record->upstream : FLOW_NO_UPSTREAM;
}

/* Gives the callers' endpoint of a service. */
void
flow_service_endpoint(const struct flow *flow, uint16_t service,
                      uint32_t *address, uint16_t *port)
{
    *address = flow->services[service].address;
    *port = flow->services[service].port;
}

/* Handle of a table's owner, FLOW_NO_UPSTREAM for TABLE_NONE. */
static upstream_id
owner(const struct flow_service *service, uint16_t index)
{
    return index == TABLE_NONE ? FLOW_NO_UPSTREAM : service->upstreams[index];
}

/* Finds the owners of a flow, and whether its bucket is moving. */
bool
flow_is_moved(const struct flow *flow, const struct flow_service *service,
              uint64_t hash, upstream_id *now, upstream_id *old)
{
    *now = owner(service, service->now[hash % service->size]);
    *old = *now;
    if (service->old_size != 0) {
        *old = owner(service, service->old[hash % service->old_size]);
    }
    if (*old == FLOW_NO_UPSTREAM) {
        *old = *now;
    }
    return flow->step < FLOW_STEP_SETTLED && *old != *now;
}

/* Says whether a flow of this bucket may be elsewhere than its owner. */
bool
flow_is_disturbed(const struct flow_service *service, uint64_t now,
                  uint64_t hash)
{
    uint16_t stamp = service->stamps[hash % service->size];
    uint64_t age = now / FLOW_STAMP_MS % UINT16_MAX + 1 - stamp;

    return stamp != 0 && age * (FLOW_STAMP_MS / 1000) <= FLOW_EXCEPTION_S;
}

/* The owners, for callers outside. */
void
flow_owners(const struct flow *flow, uint16_t service, uint64_t hash,
            upstream_id *now_owner, upstream_id *old_owner)
{
    (void)flow_is_moved(flow, &flow->services[service], hash, now_owner,
                        old_owner);
}

/* Digest of a service's table. */
uint64_t
flow_table_digest(const struct flow *flow, uint16_t service)
{
    return service < flow->service_count ? flow->services[service].digest : 0;
}

/* Allocates a steering state. */
struct flow *
flow_new(const struct flow_options *options)
{
    struct flow *flow = g_new0(struct flow, 1);

    flow->options = *options;
    flow_store_open(&flow->store, options->capacity);
    flow->by_address = g_hash_table_new(NULL, NULL);
    flow->by_upstream = g_hash_table_new(NULL, NULL);
    flow->known = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        (GDestroyNotify)g_bytes_unref);
    for (int i = 0; i <= FLOW_SEND_PUSH; i++) {
        g_queue_init(&flow->sends[i]);
    }
    return flow;
}

/* Frees a steering state. */
void
flow_free(struct flow *flow)
{
    for (size_t i = 0; i < flow->service_count; i++) {
        clear_service(&flow->services[i]);
    }
    g_free(flow->services);
    g_free(flow->upstreams);
    g_hash_table_destroy(flow->by_address);
    g_hash_table_destroy(flow->by_upstream);
    g_hash_table_destroy(flow->known);
    for (int i = 0; i <= FLOW_SEND_PUSH; i++) {
        g_queue_clear_full(&flow->sends[i], g_free);
    }
    member_set_clear(&flow->members);
    member_set_clear(&flow->before);
    flow_store_close(&flow->store);
    g_free(flow);
}

/* Sets the end of the lease. */
void
flow_set_lease(struct flow *flow, uint64_t deadline)
{
    flow->lease_deadline = deadline;
}

/* Version in force here. */
uint64_t
flow_version(const struct flow *flow)
{
    return flow->version;
}

/* Step in force here. */
enum flow_step
flow_step(const struct flow *flow)
{
    return flow->step;
}

/* Records held, counting places ever used. */
size_t
flow_records(const struct flow *flow)
{
    return flow->store.count;
}

/* Bytes of all structures. */
size_t
flow_memory(const struct flow *flow)
{
    size_t bytes = sizeof(*flow);

    bytes += (flow->store.mask + 1) * sizeof(struct flow_record);
    bytes += flow->upstream_size * sizeof(struct flow_upstream);
    for (size_t i = 0; i < flow->service_count; i++) {
        const struct flow_service *s = &flow->services[i];

        bytes += sizeof(*s) + s->upstream_count * sizeof(upstream_id);
        bytes += s->size * (sizeof(*s->now) + sizeof(*s->stamps));
        bytes += s->old_size * sizeof(*s->old);
    }
    bytes +=
        (flow->members.count + flow->before.count) * sizeof(struct member);
    for (int i = 0; i <= FLOW_SEND_PUSH; i++) {
        bytes += flow->sends[i].length *
                 (sizeof(struct flow_send) + 3 * sizeof(void *));
    }
    return bytes;
}
