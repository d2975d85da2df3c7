/*
 * Steering by token: routing table, flow records and the decision about each
 * packet. evidence-choose.c selects upstreams for new flows;
 * evidence-liveness.c detects failed ones.
 */
#include "evidence-internal.h"

#include <string.h>

#include "fault.h"
#include "hash.h"

#define SWEEP_INTERVAL_MS 1000U
/* An upstream that left a first packet unanswered is suspected for this long,
 * so that no second caller waits for it too; callers retransmit after 200 and
 * 600 ms and give up after 1.4 s. */
#define SUSPICION_TIMEOUT_MS 1500U
/* Callers retransmit after 200 ms or more; copies at shorter intervals were
 * delayed in the network. */
#define FIRST_RETRANSMIT_MIN_MS 150U
/* After an answer this recent, an unanswered first packet counts as lost in
 * the network. */
#define ALIVE_TIMEOUT_MS 1000U
#define MILLI 1000U

void
evidence_open(struct evidence *ev, struct upstream_set *upstreams,
              struct counters *counters, uint64_t idle_timeout_ms)
{
    memset(ev, 0, sizeof(*ev));
    ev->upstreams = upstreams;
    ev->counters = counters;
    ev->idle_timeout_ms = idle_timeout_ms;
    ev->table = route_new();
    ev->overshoot_milli = MILLI;
    ev->nodes.self = upstreams->self;
    ev->nodes.all = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    ev->dropped_routes = g_hash_table_new(g_direct_hash, g_direct_equal);
    ev->baselines =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    ev->halls = g_array_new(FALSE, FALSE, sizeof(struct evidence_hall));
    ev->median_us = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    evidence_load_open(&ev->load);
    ev->flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
evidence_close(struct evidence *ev)
{
    route_free(ev->table);
    g_hash_table_destroy(ev->dropped_routes);
    g_hash_table_destroy(ev->flows);
    g_hash_table_destroy(ev->baselines);
    g_array_free(ev->halls, TRUE);
    g_array_free(ev->median_us, TRUE);
    g_array_free(ev->nodes.all, TRUE);
    evidence_load_close(&ev->load);
}

static void
update_dropped_routes(struct evidence *ev, const struct route_table *next)
{
    for (guint i = 0; i < ev->table->routes->len; i++) {
        const struct route *route =
            &g_array_index(ev->table->routes, struct route, i);

        if (route_find(next, route->address, route->port) == NULL) {
            (void)g_hash_table_add(ev->dropped_routes,
                                   route_key(route->address, route->port));
        }
    }
    for (guint i = 0; i < next->routes->len; i++) {
        const struct route *route =
            &g_array_index(next->routes, struct route, i);

        (void)g_hash_table_remove(ev->dropped_routes,
                                  route_key(route->address, route->port));
    }
}

/* Sets the warmup limits of all services; services that the table does not
 * list have none. */
static void
apply_warmups(struct evidence *ev, const struct route_table *table)
{
    struct upstream_set *set = ev->upstreams;

    g_array_set_size(set->limits, 0);
    /* The number of owners may have changed: invalidates cached ownership. */
    ev->nodes.version++;
    ev->bounded = false;
    for (guint i = 0; i < table->warmups->len; i++) {
        const struct route_warmup *warmup =
            &g_array_index(table->warmups, struct route_warmup, i);
        struct warmup_limit limit =
            warmup_limit_of(warmup->warmup_ms, warmup->rate_milli,
                            ev->overshoot_milli, ev->slack_milli);

        upstream_set_warmup_limit(set, upstream_service(set, warmup->service),
                                  &limit);
        ev->bounded = ev->bounded || limit.bounded;
    }
}

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
    update_dropped_routes(ev, table);
    route_free(ev->table);
    ev->table = table;
    evidence_load_apply(ev);
    counter_add(ev->counters, COUNTER_BUNDLES_APPLIED, 1);
    return true;
}

uint64_t
evidence_hash(const struct evidence_packet *packet)
{
    uint64_t caller = (uint64_t)packet->source << 16 | packet->source_port;
    uint64_t destination =
        (uint64_t)packet->destination << 16 | packet->destination_port;

    return hash_pair(HASH_FLOW, caller, destination);
}

/* Removes a flow from the counts of its upstream. */
static void
detach(struct evidence *ev, struct evidence_flow *flow)
{
    struct upstream *upstream = evidence_upstream_of(ev, flow);

    evidence_set_idle(ev, flow);
    if (upstream != NULL && upstream->open > 0) {
        upstream->open--;
    }
}

/* Binds a flow to an upstream and adds it to its counts. Nothing that was
 * observed at another upstream, or on an earlier flow from the same port,
 * counts any more. */
static void
attach(struct evidence_flow *flow, struct upstream *upstream, uint64_t now)
{
    *flow = (struct evidence_flow){.key = flow->key,
                                   .upstream = upstream->id,
                                   .upstream_started_at = upstream->started_at,
                                   .has_first = flow->has_first,
                                   .first_sequence = flow->first_sequence,
                                   .first_upstream = flow->first_upstream,
                                   .first_upstream_started_at =
                                       flow->first_upstream_started_at,
                                   .last_seen_at = flow->last_seen_at,
                                   .expire_at = flow->expire_at,
                                   .opened_at = now,
                                   .dequeued_at = flow->dequeued_at,
                                   .queued = flow->queued};
    upstream->open++;
}

/* Binds a flow to an upstream instead of its former one; creates a missing
 * record. */
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

static void
set_verdict(struct evidence_verdict *verdict, enum evidence_action action,
            enum ring_rule rule)
{
    verdict->action = action;
    verdict->rule = rule;
}

static void
set_forward(struct evidence_verdict *verdict, const struct upstream *upstream,
            enum ring_rule rule)
{
    verdict->action = EVIDENCE_FORWARD;
    verdict->rule = rule;
    verdict->upstream = upstream;
}

/* Whether a retransmitted first packet goes to the same upstream; also
 * suspects an upstream that left the previous copy unanswered. Another
 * upstream is tried only while the first has not answered: if both accepted
 * the flow, packets could reach the wrong one. While this node is overloaded,
 * the first retransmission may result from its delays. */
static bool
keeps_upstream(struct evidence *ev, uint64_t now,
               const struct evidence_flow *flow,
               const struct evidence_packet *packet, struct upstream *upstream)
{
    if (upstream->state != UPSTREAM_READY || upstream->drained) {
        return false;
    }
    if (packet->acknowledged == 0 || flow->answered ||
        now < flow->opened_at + FIRST_RETRANSMIT_MIN_MS ||
        !evidence_answer_is_due(flow, now)) {
        return true;
    }
    if (fault_is(FAULT_NO_REROUTE)) {
        return true;
    }
    if (evidence_is_overloaded(ev, now)) {
        return packet->acknowledged == 1;
    }
    evidence_reach_note_timeout(ev, now, upstream);
    if (!fault_is(FAULT_NO_SUSPICION)) {
        upstream->suspect_until = now + SUSPICION_TIMEOUT_MS;
    }
    return packet->acknowledged == 1 &&
           now <= upstream->last_progress_at + ALIVE_TIMEOUT_MS;
}

/* Whether a first packet is a copy of the one that opened a flow here. A
 * packet with another sequence opens another flow, from a port that was used
 * before. */
static bool
is_copy(const struct evidence_flow *flow, const struct evidence_packet *packet)
{
    return flow != NULL && flow->has_first &&
           (flow->first_sequence == packet->sequence ||
            fault_is(FAULT_IGNORE_SEQUENCE));
}

/* Whether the upstream of the first packet answered it, so that the flow is
 * open there whatever the route says now. */
static bool
is_open_there(const struct evidence_flow *flow)
{
    return flow->answered && flow->expire_at == 0 &&
           flow->upstream == flow->first_upstream;
}

/* Upstream that received an earlier copy of a first packet; NULL when there is
 * none, or when it may not receive more. If two upstreams accept a flow, its
 * packets can reach the wrong one; so the first retransmission stays although
 * the route leads elsewhere by now. The second one is sent too long after
 * that, and its upstream has left two copies unanswered. */
static struct upstream *
upstream_of_first(const struct evidence *ev, const struct evidence_flow *flow,
                  const struct evidence_packet *packet,
                  const struct route *route)
{
    struct upstream *upstream =
        is_copy(flow, packet)
            ? upstream_by_id(ev->upstreams, flow->first_upstream)
            : NULL;

    return upstream != NULL &&
                   upstream->started_at == flow->first_upstream_started_at &&
                   (route_leads_to(route, upstream->service) ||
                    is_open_there(flow) || packet->acknowledged <= 1 ||
                    fault_is(FAULT_IGNORE_ROUTE_CHANGE))
               ? upstream
               : NULL;
}

/* Opens a flow at the chosen upstream. `flow` is the record of its addresses
 * and ports, NULL: none; `previous` received an earlier copy, NULL: none. */
static void
open_flow(struct evidence *ev, uint64_t now,
          const struct evidence_packet *packet, struct evidence_flow *flow,
          const struct upstream *previous, struct upstream *upstream,
          struct evidence_verdict *verdict)
{
    if (!is_copy(flow, packet)) {
        counter_add(ev->counters, COUNTER_FLOWS_NEW, 1);
        evidence_load_note_end(ev, now, verdict->flow);
    }
    if (previous != NULL) {
        counter_add(ev->counters, COUNTER_FLOWS_REROUTED, 1);
    }
    flow = bind_flow(ev, now, verdict->flow, flow, upstream);
    flow->has_first = true;
    flow->first_sequence = packet->sequence;
    flow->first_upstream = upstream->id;
    flow->first_upstream_started_at = upstream->started_at;
    if (upstream_is_warming_up(upstream, now)) {
        upstream->warmup_next_at = now + WARMUP_FLOW_INTERVAL_MS;
    }
    flow->last_seen_at = now;
    flow->expire_at = 0;
    set_forward(verdict, upstream,
                previous != NULL ? RULE_REROUTED : RULE_LEAST_WORK);
}

/* Rule to report when no upstream is eligible. */
static enum ring_rule
no_upstream_rule(const struct evidence_verdict *verdict)
{
    if (verdict->warming > 0) {
        return RULE_ALL_WARMING_UP;
    }
    return verdict->drained > 0 ? RULE_HALLS_DRAINED : RULE_NO_UPSTREAM;
}

static struct upstream *
choose(struct evidence *ev, uint64_t now, const struct evidence_packet *packet,
       const struct route *route, uint16_t service,
       const struct upstream *excluded, struct evidence_verdict *verdict)
{
    return ev->load.level == EVIDENCE_LOAD_OFF &&
                   !fault_is(FAULT_LOAD_CONTROL_ALWAYS)
               ? evidence_choose(ev, now, service, excluded, verdict)
               : evidence_load_choose(ev, now, packet, route, service,
                                      excluded, verdict);
}

/* Sets the verdict of a first packet that load control does not admit. */
static bool
is_admitted(struct evidence_verdict *verdict)
{
    const struct admission_verdict *decision = &verdict->admission.verdict;

    switch (decision->action) {
    case ADMISSION_ADMIT:
        return true;
    case ADMISSION_HOLD:
        set_verdict(verdict, EVIDENCE_HOLD, RULE_WAIT_FOR_ROOM);
        return false;
    case ADMISSION_REFUSE:
        set_verdict(verdict, EVIDENCE_REFUSE,
                    decision->reason == ADMISSION_LINK_BUSY ? RULE_LINK_BUSY
                                                            : RULE_NO_ROOM);
        return false;
    }
    return true;
}

static void
steer_first(struct evidence *ev, uint64_t now,
            const struct evidence_packet *packet, const struct route *route,
            struct evidence_verdict *verdict)
{
    struct evidence_flow *flow =
        g_hash_table_lookup(ev->flows, &verdict->flow);
    struct upstream *previous = upstream_of_first(ev, flow, packet, route);
    const struct route_target *target = route_pick(route, verdict->flow);
    struct upstream *upstream;

    verdict->non_idempotent = route->kind == ROUTE_NON_IDEMPOTENT;
    if (previous != NULL && keeps_upstream(ev, now, flow, packet, previous)) {
        flow->last_seen_at = now;
        set_forward(verdict, previous, RULE_RETRANSMISSION);
        return;
    }
    upstream = target != NULL ? choose(ev, now, packet, route, target->handle,
                                       previous, verdict)
                              : NULL;
    if (upstream == NULL && previous != NULL &&
        evidence_accepts_flows(previous)) {
        set_forward(verdict, previous, RULE_RETRANSMISSION);
        return;
    }
    if (upstream == NULL) {
        counter_add(ev->counters, COUNTER_PACKETS_NO_UPSTREAM, 1);
        set_verdict(verdict, ev->settled ? EVIDENCE_REFUSE : EVIDENCE_HOLD,
                    no_upstream_rule(verdict));
        return;
    }
    if (!is_admitted(verdict)) {
        return;
    }
    open_flow(ev, now, packet, flow, previous, upstream, verdict);
    evidence_load_note_open(ev, now, packet, verdict->flow, upstream);
}

/* Finds or creates the record of a flow for the upstream of its token. The
 * acknowledgement in the first data or closing packet seen here may be old, so
 * it does not count as an answer. */
static struct evidence_flow *
get_flow(struct evidence *ev, uint64_t now,
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

/* Refuses a packet of an open flow; drops a reset, which needs no reply. */
static void
refuse_open(const struct evidence_packet *packet,
            struct evidence_verdict *verdict, enum ring_rule rule)
{
    set_verdict(verdict, packet->reset ? EVIDENCE_DROP : EVIDENCE_REFUSE,
                rule);
}

/* Forwards a packet to the upstream of its token, unless that is lost. */
static void
steer_by_token(struct evidence *ev, uint64_t now,
               const struct evidence_packet *packet, struct upstream *upstream,
               struct evidence_verdict *verdict)
{
    struct evidence_flow *flow =
        get_flow(ev, now, packet, verdict->flow, upstream);

    evidence_observe(ev, now, packet, flow, upstream);
    if (evidence_is_lost(ev, now, flow, upstream)) {
        evidence_expire_flow(ev, now, flow);
        refuse_open(packet, verdict, RULE_UPSTREAM_LOST);
        return;
    }
    set_forward(verdict, upstream, RULE_EVIDENCE);
    /* A caller that sends after the deadline has not given up. */
    if (ev->load.level == EVIDENCE_LOAD_FULL && packet->length > 0 &&
        now < flow->busy_until) {
        verdict->expires_at = flow->busy_until;
    }
    verdict->via_relay =
        evidence_hall_is_suspected(ev, now, upstream->hall_hash);
}

/* Steers a packet other than the first of its flow. */
static void
steer_open(struct evidence *ev, uint64_t now,
           const struct evidence_packet *packet,
           struct evidence_verdict *verdict)
{
    struct upstream *upstream;

    if (g_hash_table_contains(
            ev->dropped_routes,
            route_key(packet->destination, packet->destination_port))) {
        refuse_open(packet, verdict, RULE_ROUTE_DROPPED);
        return;
    }
    if (packet->token == 0) {
        set_verdict(verdict, EVIDENCE_DROP, RULE_NO_EVIDENCE);
        return;
    }
    upstream = upstream_by_token(ev->upstreams, packet->token);
    if (upstream == NULL) {
        /* The inventory of a starting node is incomplete; peers are queried
         * for this token. A settled node does so as well, since it may have
         * settled with a part of the inventory. */
        set_verdict(verdict, EVIDENCE_HOLD, RULE_UNKNOWN_EVIDENCE);
        return;
    }
    verdict->upstream = upstream;
    if (upstream->state == UPSTREAM_GONE) {
        refuse_open(packet, verdict, RULE_UPSTREAM_ENDED);
        return;
    }
    steer_by_token(ev, now, packet, upstream, verdict);
}

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
        set_verdict(verdict, EVIDENCE_HOLD, RULE_NO_TABLE);
    }
    else {
        route = route_find(ev->table, packet->destination,
                           packet->destination_port);
        if (route != NULL) {
            steer_first(ev, now, packet, route, verdict);
        }
        else {
            counter_add(ev->counters, COUNTER_PACKETS_NO_SERVICE, 1);
            set_verdict(verdict, EVIDENCE_REFUSE, RULE_NO_ROUTE);
        }
    }
    if (verdict->action == EVIDENCE_FORWARD) {
        counter_add(ev->counters, COUNTER_PACKETS_FORWARDED, 1);
    }
}

void
evidence_tick(struct evidence *ev, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    if (now < ev->sweep_at) {
        return;
    }
    ev->sweep_at = now + SWEEP_INTERVAL_MS;
    g_hash_table_iter_init(&iter, ev->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct evidence_flow *flow = value;
        uint64_t idle_ms =
            ev->table->idle_ms ? ev->table->idle_ms : ev->idle_timeout_ms;

        if ((flow->expire_at != 0 && now >= flow->expire_at) ||
            now > flow->last_seen_at + idle_ms) {
            detach(ev, flow);
            g_hash_table_iter_remove(&iter);
        }
    }
}
