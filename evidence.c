/*
 * Steering by evidence. Owns the records of flows; which upstream a new flow
 * goes to is evidence-choose.c's, what packets tell of upstreams
 * evidence-liveness.c's.
 */
#include "evidence-internal.h"

#include <string.h>

#include "fault.h"
#include "hash.h"

/* Between two sweeps for flows that ended. */
#define SWEEP_MS 1000U
/* First packets are repeated after 200 and 600 ms and given up after 1.4 s:
 * an upstream that let one go without an answer is avoided for that long, so
 * that no second caller waits for it too. */
#define SUSPECT_MS 1500U
/* A copy of a first packet tells of a lost upstream only when so long passed
 * since this entry forwarded the one before: copies are sent 200 ms apart and
 * more, but arrive together where they were held up. */
#define ANSWER_MS 150U
/* An upstream that gave a sign of life this lately is alive: a first packet
 * without an answer was lost on its way. */
#define ALIVE_MS 1000U
#define MILLI 1000U

/* Starts without a table. */
void
evidence_open(struct evidence *ev, struct upstream_set *upstreams,
              struct counters *counters, uint64_t flow_max_ms)
{
    memset(ev, 0, sizeof(*ev));
    ev->upstreams = upstreams;
    ev->counters = counters;
    ev->flow_max_ms = flow_max_ms;
    ev->table = route_new();
    ev->overshoot_milli = MILLI;
    ev->nodes.self = upstreams->self;
    ev->nodes.all = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    ev->dropped = g_hash_table_new(g_direct_hash, g_direct_equal);
    ev->usual =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    ev->halls = g_array_new(FALSE, FALSE, sizeof(struct evidence_hall));
    ev->usual_us = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    ev->flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Frees it. */
void
evidence_close(struct evidence *ev)
{
    route_free(ev->table);
    g_hash_table_destroy(ev->dropped);
    g_hash_table_destroy(ev->flows);
    g_hash_table_destroy(ev->usual);
    g_array_free(ev->halls, TRUE);
    g_array_free(ev->usual_us, TRUE);
    g_array_free(ev->nodes.all, TRUE);
}

/* Remembers which routes a newer table drops, so that their flows end. */
static void
note_dropped(struct evidence *ev, const struct route_table *next)
{
    for (guint i = 0; i < ev->table->routes->len; i++) {
        const struct route *route =
            &g_array_index(ev->table->routes, struct route, i);

        if (route_find(next, route->address, route->port) == NULL) {
            (void)g_hash_table_add(ev->dropped,
                                   route_key(route->address, route->port));
        }
    }
    for (guint i = 0; i < next->routes->len; i++) {
        const struct route *route =
            &g_array_index(next->routes, struct route, i);

        (void)g_hash_table_remove(ev->dropped,
                                  route_key(route->address, route->port));
    }
}

/* Takes what services bear while their upstreams are cold; those that state
 * nothing any more have no bound. */
static void
apply_warmups(struct evidence *ev, const struct route_table *table)
{
    struct upstream_set *set = ev->upstreams;

    g_array_set_size(set->limits, 0);
    /* Who owns an upstream is worked out anew: there may be more owners. */
    ev->nodes.version++;
    ev->bounded = false;
    for (guint i = 0; i < table->warmups->len; i++) {
        const struct route_warmup *warmup =
            &g_array_index(table->warmups, struct route_warmup, i);
        struct warmup_limit limit =
            warmup_limit_of(warmup->cold_ms, warmup->rate_milli,
                            ev->overshoot_milli, ev->slack_milli);

        upstream_set_limit(set, upstream_service(set, warmup->service),
                           &limit);
        ev->bounded = ev->bounded || limit.bounded;
    }
}

/* Takes a table over. */
bool
evidence_apply(struct evidence *ev, struct route_table *table)
{
    if (table->version <= ev->table->version) {
        route_free(table);
        return false;
    }
    for (guint i = 0; i < table->routes->len; i++) {
        struct route *route = &g_array_index(table->routes, struct route, i);

        for (size_t j = 0; j < route->target_count; j++) {
            route->targets[j].handle =
                upstream_service(ev->upstreams, route->targets[j].service);
        }
    }
    apply_warmups(ev, table);
    note_dropped(ev, table);
    route_free(ev->table);
    ev->table = table;
    counter_add(ev->counters, COUNTER_BUNDLES_APPLIED, 1);
    return true;
}

/* Hash of a flow. */
uint64_t
evidence_hash(const struct evidence_packet *packet)
{
    uint64_t caller = (uint64_t)packet->source << 16 | packet->source_port;
    uint64_t place =
        (uint64_t)packet->destination << 16 | packet->destination_port;

    return hash_pair(HASH_FLOW, caller, place);
}

/* Takes a flow off its upstream's counts. */
static void
detach(struct evidence *ev, struct evidence_flow *flow)
{
    struct upstream *upstream = evidence_upstream_of(ev, flow);

    evidence_set_idle(ev, flow);
    if (upstream != NULL && upstream->open > 0) {
        upstream->open--;
    }
}

/* Puts a flow on an upstream's counts. */
static void
attach(struct evidence_flow *flow, struct upstream *upstream, uint64_t now)
{
    flow->upstream = upstream->id;
    flow->born = upstream->born;
    flow->opened_at = now;
    flow->answered = false;
    flow->ordered = false;
    flow->hole = false;
    flow->acknowledged = 0;
    upstream->open++;
}

/* Puts a flow on an upstream, off the one that it had; makes its record when
 * there is none. */
static struct evidence_flow *
bind_flow(struct evidence *ev, uint64_t now, uint64_t key,
          struct evidence_flow *flow, struct upstream *upstream)
{
    if (flow == NULL) {
        flow = g_new0(struct evidence_flow, 1);
        flow->key = key;
        g_hash_table_insert(ev->flows, &flow->key, flow);
    }
    else {
        detach(ev, flow);
    }
    attach(flow, upstream, now);
    return flow;
}

/* Answers with a verdict that sends nothing to an upstream. */
static void
end_with(struct evidence_verdict *verdict, enum evidence_action action,
         enum ring_rule rule)
{
    verdict->action = action;
    verdict->rule = rule;
}

/* Answers with a verdict that forwards. */
static void
forward_to(struct evidence_verdict *verdict, const struct upstream *upstream,
           enum ring_rule rule)
{
    verdict->action = EVIDENCE_FORWARD;
    verdict->rule = rule;
    verdict->upstream = upstream;
}

/* Says whether a copy of a first packet goes where the first one went. A
 * second upstream is asked only when the first gave no sign of life: when two
 * answer, the token and the flow may part. Suspects an upstream that let the
 * one before go without an answer. */
static bool
stays(struct evidence *ev, uint64_t now, const struct evidence_flow *flow,
      const struct evidence_packet *packet, struct upstream *upstream)
{
    if (upstream == NULL || upstream->state != UPSTREAM_READY ||
        upstream->emptied) {
        return false;
    }
    if (packet->acknowledged == 0 || flow->answered ||
        now < flow->opened_at + ANSWER_MS || !evidence_has_left(flow, now)) {
        return true;
    }
    if (fault_is(FAULT_NO_MOVE)) {
        return true;
    }
    evidence_reach_missed(ev, now, upstream);
    if (!fault_is(FAULT_NO_SUSPICION)) {
        upstream->suspect_until = now + SUSPECT_MS;
    }
    return packet->acknowledged == 1 && now <= upstream->alive_at + ALIVE_MS;
}

/* Opens a flow at the upstream that was chosen; `flow` is what is remembered
 * of it, NULL when it is new. */
static void
open_flow(struct evidence *ev, uint64_t now, struct evidence_flow *flow,
          struct upstream *upstream, struct evidence_verdict *verdict)
{
    bool moves = flow != NULL && evidence_upstream_of(ev, flow) != NULL;

    if (flow == NULL) {
        counter_add(ev->counters, COUNTER_FLOWS_NEW, 1);
    }
    if (moves) {
        counter_add(ev->counters, COUNTER_FLOWS_MOVED_OFF, 1);
    }
    flow = bind_flow(ev, now, verdict->flow, flow, upstream);
    if (upstream_is_cold(upstream, now)) {
        upstream->cold_next_at = now + WARMUP_PACE_MS;
    }
    flow->seen_at = now;
    flow->forget_at = 0;
    forward_to(verdict, upstream, moves ? RULE_MOVED_OFF : RULE_LEAST_WORK);
}

/* Why there is no upstream for a new flow. */
static enum ring_rule
rule_of_none(const struct evidence_verdict *verdict)
{
    if (verdict->cold > 0) {
        return RULE_ALL_COLD;
    }
    return verdict->emptied > 0 ? RULE_HALL_EMPTIED : RULE_NO_UPSTREAM;
}

/* Steers a packet that opens a flow. */
static void
steer_first(struct evidence *ev, uint64_t now,
            const struct evidence_packet *packet, const struct route *route,
            struct evidence_verdict *verdict)
{
    struct evidence_flow *flow =
        g_hash_table_lookup(ev->flows, &verdict->flow);
    struct upstream *before =
        flow != NULL ? evidence_upstream_of(ev, flow) : NULL;
    const struct route_target *target = route_pick(route, verdict->flow);
    struct upstream *upstream;

    verdict->once = route->kind == ROUTE_ONCE;
    if (flow != NULL && stays(ev, now, flow, packet, before)) {
        flow->seen_at = now;
        forward_to(verdict, before, RULE_SAME_AGAIN);
        return;
    }
    upstream = target != NULL
                   ? evidence_choose(ev, now, target->handle, before, verdict)
                   : NULL;
    if (upstream == NULL && before != NULL && evidence_takes_new(before)) {
        forward_to(verdict, before, RULE_SAME_AGAIN);
        return;
    }
    if (upstream == NULL) {
        counter_add(ev->counters, COUNTER_PACKETS_NO_UPSTREAM, 1);
        end_with(verdict, ev->settled ? EVIDENCE_REFUSE : EVIDENCE_HOLD,
                 rule_of_none(verdict));
        return;
    }
    open_flow(ev, now, flow, upstream, verdict);
}

/* The record of a flow whose packet names an upstream. Of a flow that was not
 * known here, data or an end, perhaps sent again, proves no life: what it
 * acknowledges may be old. */
static struct evidence_flow *
flow_of(struct evidence *ev, uint64_t now,
        const struct evidence_packet *packet, uint64_t key,
        struct upstream *upstream)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow == NULL || evidence_upstream_of(ev, flow) != upstream) {
        flow = bind_flow(ev, now, key, flow, upstream);
        flow->acknowledged =
            packet->length > 0 || packet->closing ? packet->acknowledged : 0;
    }
    return flow;
}

/* Ends a flow that cannot go on, unless its caller has just done so. */
static void
end_flow(const struct evidence_packet *packet,
         struct evidence_verdict *verdict, enum ring_rule rule)
{
    end_with(verdict, packet->reset ? EVIDENCE_DROP : EVIDENCE_REFUSE, rule);
}

/* Steers a packet to the upstream that it names, unless that one is lost. */
static void
follow(struct evidence *ev, uint64_t now, const struct evidence_packet *packet,
       struct upstream *upstream, struct evidence_verdict *verdict)
{
    struct evidence_flow *flow =
        flow_of(ev, now, packet, verdict->flow, upstream);

    evidence_learn(ev, now, packet, flow, upstream);
    if (evidence_is_lost(ev, now, flow, upstream)) {
        evidence_forget(ev, now, flow);
        end_flow(packet, verdict, RULE_UPSTREAM_LOST);
        return;
    }
    forward_to(verdict, upstream, RULE_EVIDENCE);
    verdict->detour = evidence_is_cut(ev, now, upstream->hall_hash);
}

/* Steers a packet of a flow that is open, or thought to be. */
static void
steer_open(struct evidence *ev, uint64_t now,
           const struct evidence_packet *packet,
           struct evidence_verdict *verdict)
{
    struct upstream *upstream;

    if (g_hash_table_contains(
            ev->dropped,
            route_key(packet->destination, packet->destination_port))) {
        end_flow(packet, verdict, RULE_ROUTE_DROPPED);
        return;
    }
    if (packet->token == 0) {
        end_with(verdict, EVIDENCE_DROP, RULE_NO_EVIDENCE);
        return;
    }
    upstream = upstream_by_token(ev->upstreams, packet->token);
    if (upstream == NULL) {
        /* Also once this entry serves: it begins to with a part of the
         * inventory, and others are asked for this upstream. */
        end_with(verdict, EVIDENCE_HOLD, RULE_UNKNOWN_EVIDENCE);
        return;
    }
    verdict->upstream = upstream;
    if (upstream->state == UPSTREAM_GONE) {
        end_flow(packet, verdict, RULE_UPSTREAM_GONE);
        return;
    }
    follow(ev, now, packet, upstream, verdict);
}

/* Decides about a packet. */
void
evidence_steer(struct evidence *ev, uint64_t now,
               const struct evidence_packet *packet,
               struct evidence_verdict *verdict)
{
    const struct route *route;

    memset(verdict, 0, sizeof(*verdict));
    verdict->flow = evidence_hash(packet);
    counter_add(ev->counters, COUNTER_PACKETS_IN, 1);
    if (!packet->first) {
        steer_open(ev, now, packet, verdict);
    }
    else if (ev->table->version == 0) {
        end_with(verdict, EVIDENCE_HOLD, RULE_NO_TABLE);
    }
    else {
        route = route_find(ev->table, packet->destination,
                           packet->destination_port);
        if (route != NULL) {
            steer_first(ev, now, packet, route, verdict);
        }
        else {
            counter_add(ev->counters, COUNTER_PACKETS_NO_SERVICE, 1);
            end_with(verdict, EVIDENCE_REFUSE, RULE_NO_ROUTE);
        }
    }
    if (verdict->action == EVIDENCE_FORWARD) {
        counter_add(ev->counters, COUNTER_PACKETS_FORWARDED, 1);
    }
}

/* Forgets flows that ended or rested too long. */
void
evidence_tick(struct evidence *ev, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    if (now < ev->sweep_at) {
        return;
    }
    ev->sweep_at = now + SWEEP_MS;
    g_hash_table_iter_init(&iter, ev->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct evidence_flow *flow = value;
        uint64_t rest =
            ev->table->idle_ms ? ev->table->idle_ms : ev->flow_max_ms;

        if ((flow->forget_at != 0 && now >= flow->forget_at) ||
            now > flow->seen_at + rest) {
            detach(ev, flow);
            g_hash_table_iter_remove(&iter);
        }
    }
}
