/*
 * View of an entry: services, their consistent-hash tables of the current and
 * the preceding bundle, and handles of upstreams.
 */
#include "flow-internal.h"

#include <string.h>

#include "hash.h"

#define GENERATION_SHIFT 20
#define INDEX_MASK ((1U << GENERATION_SHIFT) - 1)
#define GENERATION_MAX 4095

/* Hash key of an address and port. */
static gpointer
endpoint(uint32_t address, uint16_t port)
{
    return GSIZE_TO_POINTER(((gsize)address << 16) | port);
}

/* Hash key of an address, port and protocol. */
static gpointer
service_endpoint(uint32_t address, uint16_t port, int protocol)
{
    return GSIZE_TO_POINTER(((gsize)address << 17) | ((gsize)port << 1) |
                            (gsize)protocol);
}

static upstream_id
make_id(size_t index, uint16_t generation)
{
    return (upstream_id)(((uint32_t)generation << GENERATION_SHIFT) |
                         (uint32_t)index);
}

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

upstream_id
flow_lookup_upstream(const struct flow *flow, uint32_t address, uint16_t port)
{
    return (upstream_id)GPOINTER_TO_SIZE(
        g_hash_table_lookup(flow->by_upstream, endpoint(address, port)));
}

/* Finds a free slot for an upstream; doubles the array if there is none. */
static size_t
find_free_slot(struct flow *flow)
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

/* Returns the handle of an endpoint, a new one if it has none. */
upstream_id
flow_intern(struct flow *flow, uint32_t address, uint16_t port)
{
    upstream_id id = flow_lookup_upstream(flow, address, port);
    struct flow_upstream *upstream;
    size_t index;

    if (id != FLOW_NO_UPSTREAM) {
        return id;
    }
    index = find_free_slot(flow);
    upstream = &flow->upstreams[index];
    upstream->address = address;
    upstream->port = port;
    upstream->assigned = 0;
    upstream->generation = upstream->generation % GENERATION_MAX + 1;
    id = make_id(index, upstream->generation);
    g_hash_table_insert(flow->by_upstream, endpoint(address, port),
                        GSIZE_TO_POINTER((gsize)id));
    return id;
}

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

static void
clear_service(struct flow_service *service)
{
    g_free(service->table);
    g_free(service->old_table);
    g_free(service->move_stamps);
    g_free(service->upstreams);
}

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

/* Index in `after` of an upstream; TABLE_NONE if absent. */
static uint16_t
find_index_after(const struct bundle_service *after,
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

/* Fills the preceding table, with the new indexes of the upstreams. */
static void
fill_old_table(struct flow_service *service,
               const struct bundle_service *after,
               const struct bundle_service *before)
{
    uint16_t *map;

    if (before == NULL || before->kind != BUNDLE_FLOW) {
        return;
    }
    service->old_table = fill_table(before, &service->old_size);
    map = g_new(uint16_t, before->upstream_count);
    for (size_t i = 0; i < before->upstream_count; i++) {
        map[i] = find_index_after(after, &before->upstreams[i]);
    }
    for (uint32_t i = 0; i < service->old_size; i++) {
        if (service->old_table[i] != TABLE_NONE) {
            service->old_table[i] = map[service->old_table[i]];
        }
    }
    g_free(map);
}

/* Time in units of FLOW_STAMP_MS; never 0. */
static uint16_t
stamp_at(uint64_t now)
{
    return (uint16_t)(now / FLOW_STAMP_MS % UINT16_MAX + 1);
}

/* Stamps the buckets whose flows may be at another upstream than the table
 * says. */
static void
stamp_buckets(struct flow_service *service, const struct flow_service *current,
              uint64_t now, bool history_known)
{
    bool keep = current != NULL && current->size == service->size;

    service->move_stamps = g_new0(uint16_t, service->size);
    for (uint32_t i = 0; i < service->size; i++) {
        bool moved = service->old_size != 0 &&
                     (service->old_size != service->size ||
                      service->old_table[i] != service->table[i]);

        if (!history_known || moved) {
            service->move_stamps[i] = stamp_at(now);
        }
        else if (keep) {
            service->move_stamps[i] = current->move_stamps[i];
        }
    }
}

/* Digest of the table and of the endpoints in it. */
static uint64_t
digest_table(const struct flow *flow, const struct flow_service *service)
{
    uint64_t digest = hash_bytes(HASH_BUCKET, service->table,
                                 service->size * sizeof(*service->table));

    for (size_t i = 0; i < service->upstream_count; i++) {
        size_t index = service->upstreams[i] & INDEX_MASK;
        const struct flow_upstream *u = &flow->upstreams[index];

        digest = hash_pair(HASH_BUCKET, digest,
                           ((uint64_t)u->address << 16) | u->port);
    }
    return digest;
}

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
    service->table = fill_table(after, &service->size);
    fill_old_table(service, after, before);
    stamp_buckets(service, find_named(flow, after->name), now, history_known);
    service->upstream_count = after->upstream_count;
    service->upstreams = g_new(upstream_id, after->upstream_count);
    for (size_t i = 0; i < after->upstream_count; i++) {
        service->upstreams[i] =
            flow_intern(flow, after->upstreams[i].address,
                        (uint16_t)after->upstreams[i].port);
    }
    service->digest = digest_table(flow, service);
}

/* Binds upstreams to the services of the new view; frees the others. */
static void
bind_upstreams(struct flow *flow, const struct bundle *bundle)
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
    bind_upstreams(flow, bundle);
    flow->version = bundle->version;
    flow->step = FLOW_STEP_NONE;
    (void)flow_advance(flow, now, step);
    flow->move_pending = true;
    flow_start_pass(flow);
    counter_add(flow->options.counters, COUNTER_BUNDLES_APPLIED, 1);
    return true;
}

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

uint16_t
flow_find_service(const struct flow *flow, uint32_t address, uint16_t port,
                  int protocol)
{
    size_t found = GPOINTER_TO_SIZE(g_hash_table_lookup(
        flow->by_address, service_endpoint(address, port, protocol)));

    return found ? (uint16_t)(found - 1) : FLOW_NO_SERVICE;
}

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

uint16_t
flow_find_named(const struct flow *flow, const char *name)
{
    const struct flow_service *found = find_named(flow, name);

    return found ? (uint16_t)(found - flow->services) : FLOW_NO_SERVICE;
}

uint64_t
flow_assigned(const struct flow *flow, uint32_t address, uint16_t port)
{
    const struct flow_upstream *u =
        flow_upstream(flow, flow_lookup_upstream(flow, address, port));

    return u ? u->assigned : 0;
}

upstream_id
flow_find_recorded(const struct flow *flow, uint64_t hash)
{
    const struct flow_record *record =
        flow_store_find((struct flow_store *)&flow->store, hash);

    return record ? record->upstream : FLOW_NO_UPSTREAM;
}

void
flow_service_endpoint(const struct flow *flow, uint16_t service,
                      uint32_t *address, uint16_t *port)
{
    *address = flow->services[service].address;
    *port = flow->services[service].port;
}

/* FLOW_NO_UPSTREAM for TABLE_NONE. */
static upstream_id
owner(const struct flow_service *service, uint16_t index)
{
    return index == TABLE_NONE ? FLOW_NO_UPSTREAM : service->upstreams[index];
}

/* Also gives the owners of the bucket. */
bool
flow_bucket_is_moving(const struct flow *flow,
                      const struct flow_service *service, uint64_t hash,
                      upstream_id *new_owner, upstream_id *old_owner)
{
    *new_owner = owner(service, service->table[hash % service->size]);
    *old_owner = *new_owner;
    if (service->old_size != 0) {
        *old_owner =
            owner(service, service->old_table[hash % service->old_size]);
    }
    if (*old_owner == FLOW_NO_UPSTREAM) {
        *old_owner = *new_owner;
    }
    return flow->step < FLOW_STEP_SETTLED && *old_owner != *new_owner;
}

/* True for FLOW_MOVED_BUCKET_S after a move of the bucket. */
bool
flow_bucket_moved_recently(const struct flow_service *service, uint64_t now,
                           uint64_t hash)
{
    uint16_t stamp = service->move_stamps[hash % service->size];
    uint64_t age = now / FLOW_STAMP_MS % UINT16_MAX + 1 - stamp;

    return stamp != 0 && age * (FLOW_STAMP_MS / 1000) <= FLOW_MOVED_BUCKET_S;
}

void
flow_owners(const struct flow *flow, uint16_t service, uint64_t hash,
            upstream_id *new_owner, upstream_id *old_owner)
{
    (void)flow_bucket_is_moving(flow, &flow->services[service], hash,
                                new_owner, old_owner);
}

uint64_t
flow_table_digest(const struct flow *flow, uint16_t service)
{
    return service < flow->service_count ? flow->services[service].digest : 0;
}

struct flow *
flow_new(const struct flow_options *options)
{
    struct flow *flow = g_new0(struct flow, 1);

    flow->options = *options;
    flow_store_open(&flow->store, options->capacity);
    flow->by_address = g_hash_table_new(NULL, NULL);
    flow->by_upstream = g_hash_table_new(NULL, NULL);
    flow->filters = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          (GDestroyNotify)g_bytes_unref);
    for (int i = 0; i <= FLOW_SEND_PUSH; i++) {
        g_queue_init(&flow->send_queues[i]);
    }
    return flow;
}

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
    g_hash_table_destroy(flow->filters);
    for (int i = 0; i <= FLOW_SEND_PUSH; i++) {
        g_queue_clear_full(&flow->send_queues[i], g_free);
    }
    member_set_clear(&flow->members);
    member_set_clear(&flow->old_members);
    flow_store_close(&flow->store);
    g_free(flow);
}

void
flow_set_lease(struct flow *flow, uint64_t deadline)
{
    flow->lease_deadline = deadline;
}

uint64_t
flow_version(const struct flow *flow)
{
    return flow->version;
}

enum flow_step
flow_step(const struct flow *flow)
{
    return flow->step;
}

size_t
flow_records(const struct flow *flow)
{
    return flow->store.count;
}

size_t
flow_memory(const struct flow *flow)
{
    size_t bytes = sizeof(*flow);

    bytes += (flow->store.mask + 1) * sizeof(struct flow_record);
    bytes += flow->upstream_size * sizeof(struct flow_upstream);
    for (size_t i = 0; i < flow->service_count; i++) {
        const struct flow_service *s = &flow->services[i];

        bytes += sizeof(*s) + s->upstream_count * sizeof(upstream_id);
        bytes += s->size * (sizeof(*s->table) + sizeof(*s->move_stamps));
        bytes += s->old_size * sizeof(*s->old_table);
    }
    bytes += (flow->members.count + flow->old_members.count) *
             sizeof(struct member);
    for (int i = 0; i <= FLOW_SEND_PUSH; i++) {
        bytes += flow->send_queues[i].length *
                 (sizeof(struct flow_send) + 3 * sizeof(void *));
    }
    return bytes;
}
