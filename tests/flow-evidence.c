/* Steering by evidence in the flow load, with upstreams from bundles. */
#include "flow-evidence.h"

#include "evidence.h"

#define SERVICE "feed"
#define ROUTE_ADDRESS 0xc6120001U
#define ROUTE_PORT 443
#define CALLER_PORT 1024
#define IDLE_MS 15000
#define GOLDEN 0x9e3779b9U /* 2^32 over the golden ratio: spreads ranks */
#define INTERVAL_MS 1000   /* between registrations; none expires */

struct flow_evidence {
    struct counters counters;
    struct upstream_set upstreams;
    struct evidence evidence;
    uint64_t version; /* of the bundle in the inventory */
};

struct flow_evidence *
flow_evidence_new(uint32_t number)
{
    struct flow_evidence *entry = g_new0(struct flow_evidence, 1);

    upstream_open(&entry->upstreams, number, INTERVAL_MS);
    evidence_open(&entry->evidence, &entry->upstreams, &entry->counters,
                  IDLE_MS);
    entry->evidence.rank = number * GOLDEN;
    entry->evidence.settled = true;
    return entry;
}

void
flow_evidence_free(struct flow_evidence *entry)
{
    if (entry == NULL) {
        return;
    }
    evidence_close(&entry->evidence);
    upstream_close(&entry->upstreams);
    g_free(entry);
}

/* Registers the upstreams of a service with their addresses as ids. Those of
 * weight 0 are leaving. */
static void
register_all(struct flow_evidence *entry, uint64_t now,
             const struct bundle_service *service, uint64_t version)
{
    for (size_t i = 0; i < service->upstream_count; i++) {
        const struct bundle_upstream *u = &service->upstreams[i];
        struct upstream_registration registration = {
            .id = u->address,
            .service = SERVICE,
            .hall = "hall",
            .address = u->address,
            .port = (uint16_t)u->port,
            .slots = (uint32_t)MAX(u->weight, 1),
            .leaving = u->state == BUNDLE_LEAVING || u->weight == 0,
            .sequence = version};

        upstream_register(&entry->upstreams, now, &registration);
    }
}

/* Returns a table with one route to SERVICE. */
static struct route_table *
make_table(uint64_t version)
{
    struct route_table *table = route_new();
    struct route route = {.name = "load",
                          .address = ROUTE_ADDRESS,
                          .port = ROUTE_PORT,
                          .target_count = 1};

    route.targets = g_new0(struct route_target, 1);
    g_strlcpy(route.targets[0].service, SERVICE, ROUTE_NAME_MAX);
    route.targets[0].weight = 1;
    g_assert_true(route_add(table, &route));
    table->version = version;
    return table;
}

/* Registers the upstreams of the entry core's bundle when it is newer. */
static void
update(struct flow_evidence *entry, uint64_t now,
       const struct entry_core *core)
{
    const struct bundle_service *service =
        bundle_find_service(&core->bundle, SERVICE);

    if (service == NULL || core->bundle.version <= entry->version) {
        return;
    }
    entry->version = core->bundle.version;
    register_all(entry, now, service, entry->version);
    (void)evidence_apply(&entry->evidence, make_table(entry->version));
}

uint32_t
flow_evidence_steer(struct flow_evidence *entry, uint64_t now,
                    const struct entry_core *core, uint32_t caller, bool first,
                    uint32_t *token)
{
    struct evidence_packet packet = {.source = caller,
                                     .source_port = CALLER_PORT,
                                     .destination = ROUTE_ADDRESS,
                                     .destination_port = ROUTE_PORT,
                                     .token = first ? 0 : *token,
                                     .first = first};
    struct evidence_verdict verdict;

    update(entry, now, core);
    evidence_tick(&entry->evidence, now);
    evidence_steer(&entry->evidence, now, &packet, &verdict);
    if (verdict.action != EVIDENCE_FORWARD) {
        return 0;
    }
    *token = verdict.upstream->token;
    return verdict.upstream->address;
}
