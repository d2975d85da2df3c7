/* Recomputing recorded decisions. */
#include "evidence-verify.h"

#include "hash.h"

/* The service that a flow's route picks for it; 0 when there is none. */
static uint64_t
picked_service(const struct route_table *table,
               const struct ring_record *record)
{
    const struct route *route =
        route_find(table, record->route_address, record->route_port);
    const struct route_target *target =
        route != NULL ? route_pick(route, record->subject) : NULL;

    return target != NULL ? hash_name(target->service) : 0;
}

/* Says whether the upstream of a decision, if it is still known, serves what
 * the decision says. */
static bool
serves(const struct upstream_set *upstreams, const struct ring_record *record)
{
    const struct upstream *upstream = upstream_by_id(upstreams, record->peer);

    return upstream == NULL ||
           hash_name(upstream_service_name(upstreams, upstream->service)) ==
               record->service;
}

/* Says whether no rule about halls was broken: the upstream's hall was not
 * emptied, as far as the same halls are emptied still. */
static bool
was_open(const struct upstream_set *upstreams,
         const struct ring_record *record)
{
    const struct upstream *upstream = upstream_by_id(upstreams, record->peer);

    return upstream == NULL || record->halls != upstreams->halls.revision ||
           !upstream->emptied;
}

/* Counts the upstreams of the service that a flow's route picks whose hall is
 * emptied. */
static unsigned
count_emptied(const struct route_table *table,
              const struct upstream_set *upstreams,
              const struct ring_record *record)
{
    uint64_t service = picked_service(table, record);
    unsigned count = 0;

    for (guint i = 0; i < upstreams->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(upstreams->all, i);

        count +=
            u->emptied &&
            hash_name(upstream_service_name(upstreams, u->service)) == service;
    }
    return count;
}

/* Turns yes or no into a proof. */
static enum evidence_proof
proof_of(bool same)
{
    return same ? EVIDENCE_PROVED : EVIDENCE_DISPROVED;
}

/* Recomputes one decision. */
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
    case RULE_MOVED_OFF:
        return proof_of(picked_service(table, record) == record->service &&
                        serves(upstreams, record) &&
                        was_open(upstreams, record));
    case RULE_SAME_AGAIN:
        /* The first copy may have been sent under an older table. */
        return proof_of(serves(upstreams, record));
    case RULE_HALL_EMPTIED:
        return record->halls != upstreams->halls.revision
                   ? EVIDENCE_OTHER_HALLS
                   : proof_of(count_emptied(table, upstreams, record) > 0);
    case RULE_NO_ROUTE:
    case RULE_ROUTE_DROPPED:
        return proof_of(route_find(table, record->route_address,
                                   record->route_port) == NULL);
    default:
        return EVIDENCE_NO_PROOF;
    }
}

/* A proof's name. */
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
