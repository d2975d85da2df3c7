/* Recomputes recorded decisions from the table and the inventory. */
#include "evidence-verify.h"

#include "hash.h"

/* Hash of the service that a flow is routed to; 0 when there is none. */
static uint64_t
service_of_route(const struct route_table *table,
                 const struct ring_record *record)
{
    const struct route *route =
        route_find(table, record->route_address, record->route_port);
    const struct route_target *target =
        route != NULL ? route_pick(route, record->subject) : NULL;

    return target != NULL ? hash_name(target->service) : 0;
}

/* Whether the upstream of a decision belongs to the recorded service; true
 * when it is no longer in the inventory. */
static bool
service_matches(const struct upstream_set *upstreams,
                const struct ring_record *record)
{
    const struct upstream *upstream = upstream_by_id(upstreams, record->peer);

    return upstream == NULL ||
           hash_name(upstream_service_name(upstreams, upstream->service)) ==
               record->service;
}

/* Whether the hall of the upstream was not drained; true when the drained
 * halls have changed since. */
static bool
was_not_drained(const struct upstream_set *upstreams,
                const struct ring_record *record)
{
    const struct upstream *upstream = upstream_by_id(upstreams, record->peer);

    return upstream == NULL ||
           record->halls_revision != upstreams->halls.revision ||
           !upstream->drained;
}

/* Counts the upstreams of a flow's service in drained halls. */
static unsigned
count_drained(const struct route_table *table,
              const struct upstream_set *upstreams,
              const struct ring_record *record)
{
    uint64_t service = service_of_route(table, record);
    unsigned count = 0;

    for (guint i = 0; i < upstreams->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(upstreams->all, i);

        count +=
            u->drained &&
            hash_name(upstream_service_name(upstreams, u->service)) == service;
    }
    return count;
}

static enum evidence_proof
proof_of(bool same)
{
    return same ? EVIDENCE_PROVED : EVIDENCE_DISPROVED;
}

enum evidence_proof
evidence_verify(const struct route_table *table,
                const struct upstream_set *upstreams,
                const struct ring_record *record)
{
    if (record->version != table->version) {
        return EVIDENCE_OTHER_TABLE;
    }
    switch ((int)record->rule) {
    case RULE_LEAST_WORK:
    case RULE_REROUTED:
        return proof_of(service_of_route(table, record) == record->service &&
                        service_matches(upstreams, record) &&
                        was_not_drained(upstreams, record));
    case RULE_RETRANSMISSION:
        /* The first copy may have been sent under an older table. */
        return proof_of(service_matches(upstreams, record));
    case RULE_HALLS_DRAINED:
        return record->halls_revision != upstreams->halls.revision
                   ? EVIDENCE_OTHER_HALLS
                   : proof_of(count_drained(table, upstreams, record) > 0);
    case RULE_NO_ROUTE:
    case RULE_ROUTE_DROPPED:
        return proof_of(route_find(table, record->route_address,
                                   record->route_port) == NULL);
    default:
        return EVIDENCE_NO_PROOF;
    }
}

const char *
evidence_proof_name(enum evidence_proof proof)
{
    switch (proof) {
    case EVIDENCE_PROVED:
        return "proved";
    case EVIDENCE_DISPROVED:
        return "disproved";
    case EVIDENCE_OTHER_TABLE:
        return "other-table";
    case EVIDENCE_OTHER_HALLS:
        return "other-halls";
    case EVIDENCE_NO_PROOF:
        return "no-proof";
    }
    return "";
}
