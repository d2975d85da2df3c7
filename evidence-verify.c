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

void
evidence_record_admission(const struct route_table *table,
                          const struct evidence_admission *from,
                          struct ring_record *record)
{
    const struct route *route =
        route_find(table, record->route_address, record->route_port);

    record->admission = (struct ring_admission){
        .decided_at = from->decided_at,
        .priority = route != NULL ? route->priority : ROUTE_PRIORITY_MAX,
        .by_room = from->room.known,
        .by_link = from->link.rate_kbit_s != 0,
        .request = from->request,
        .room = from->room,
        .link = from->link,
        .verdict = from->verdict};
}

/* Whether the table has the recorded properties of the route. The rank also
 * depends on which routes were in use, but at most one rank exists for each
 * order of priority and idempotence before that of the route. */
static bool
route_matches(const struct route *route, const struct ring_admission *a)
{
    const struct admission_request *r = &a->request;

    return route->priority == a->priority &&
           route_aim_ms(route) == r->aim_ms &&
           r->deadline_ms == r->received_at + route->deadline_ms &&
           r->rank <= route_order(route);
}

/* Whether a verdict leads to a rule. */
static bool
verdict_has_rule(const struct admission_verdict *verdict, enum ring_rule rule)
{
    switch (verdict->action) {
    case ADMISSION_ADMIT:
        return false;
    case ADMISSION_HOLD:
        return rule == RULE_WAIT_FOR_ROOM;
    case ADMISSION_REFUSE:
        return rule == (verdict->reason == ADMISSION_LINK_BUSY ? RULE_LINK_BUSY
                                                               : RULE_NO_ROOM);
    }
    return false;
}

/* Decides again from the recorded inputs. The floor admits only, so it had no
 * part in a hold or a refusal. */
static bool
same_admission(const struct route_table *table,
               const struct ring_record *record)
{
    const struct ring_admission *a = &record->admission;
    const struct route *route =
        route_find(table, record->route_address, record->route_port);
    struct admission_floor floor = {0};
    struct admission_verdict again;
    uint32_t limit_milli =
        a->by_room ? admission_limit_milli(&a->request, a->room.unloaded_us)
                   : 0;

    if (route == NULL || !route_matches(route, a) ||
        a->by_room != a->room.known ||
        a->by_link != (a->link.rate_kbit_s != 0)) {
        return false;
    }
    admission_decide(a->decided_at, &a->request, a->by_room ? &a->room : NULL,
                     a->by_link ? &a->link : NULL, &floor, &again);
    return verdict_has_rule(&again, (enum ring_rule)record->rule) &&
           again.action == a->verdict.action &&
           again.reason == a->verdict.reason &&
           again.hold_until == a->verdict.hold_until &&
           a->verdict.limit_milli == limit_milli;
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
    case RULE_NO_ROOM:
    case RULE_LINK_BUSY:
    case RULE_WAIT_FOR_ROOM:
        return proof_of(same_admission(table, record));
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
