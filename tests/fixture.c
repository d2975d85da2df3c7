/* Test fixture: one entry that steers by evidence. */
#include "fixture.h"

#include <string.h>

void
fixture_register(struct fixture *f, uint64_t now, uint64_t id,
                 uint64_t sequence, bool leaving)
{
    struct upstream_registration r = {.id = id,
                                      .service = "feed",
                                      .hall = "hall",
                                      .address = 0x0a800000U + (uint32_t)id,
                                      .port = 8080,
                                      .slots = 2,
                                      .leaving = leaving,
                                      .sequence = sequence};

    upstream_register(&f->upstreams, now, &r);
}

struct route_table *
fixture_table(uint64_t version, uint16_t port)
{
    struct route_table *table = route_new();
    struct route route = {.name = "r",
                          .address = ROUTE_ADDRESS,
                          .port = port,
                          .target_count = 1};

    route.targets = g_new0(struct route_target, 1);
    g_strlcpy(route.targets[0].service, "feed", ROUTE_NAME_MAX);
    route.targets[0].weight = 1;
    g_assert_true(route_add(table, &route));
    table->version = version;
    return table;
}

void
fixture_open(struct fixture *f, unsigned upstreams)
{
    memset(f, 0, sizeof(*f));
    upstream_open(&f->upstreams, SELF, INTERVAL_MS);
    evidence_open(&f->ev, &f->upstreams, &f->counters, 60000);
    f->ev.settled = true;
    for (unsigned id = 1; id <= upstreams; id++) {
        fixture_register(f, NOW, id, 1, false);
    }
    g_assert_true(evidence_apply(&f->ev, fixture_table(1, ROUTE_PORT)));
}

void
fixture_close(struct fixture *f)
{
    evidence_close(&f->ev);
    upstream_close(&f->upstreams);
}

struct evidence_packet
fixture_packet(uint16_t caller, bool first, uint32_t token,
               uint32_t acknowledged)
{
    return (struct evidence_packet){.source = 0x64400001,
                                    .source_port = caller,
                                    .destination = ROUTE_ADDRESS,
                                    .destination_port = ROUTE_PORT,
                                    .first = first,
                                    .token = token,
                                    .acknowledged = acknowledged};
}
