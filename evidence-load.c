/*
 * Load control of new flows: detects from answers that a service is short of
 * capacity, ranks the routes of the service, and decides with admission.h
 * whether a first packet is forwarded, held or refused. Open flows are never
 * affected. evidence-load-choose.c chooses the upstream.
 */
#include "evidence-load-internal.h"

#include "fault.h"
#include "hash.h"
#include "occupancy.h"

/* An answer shorter than 1/4 of the route's mean counts as failed: upstreams
 * refuse requests with a status line and few bytes. */
#define SHORT_ANSWER_DIVISOR 4U
/* Answers before the mean length is valid. */
#define LENGTH_MIN_ANSWERS 16U
/* Weight of a new answer in the mean length (EWMA): 1/16. */
#define LENGTH_DIVISOR 16
/* The same for a failed one: a route whose answers became shorter must not
 * count as failing for good, but the refusals of a long overload must not
 * become normal either. */
#define FAILED_DIVISOR 1024
/* From the refusal of a rank until later ones may wait for room again: the
 * further attempts of its callers are over by then. */
#define REFUSED_RANK_MS RETURNING_EXPIRY_MS
/* Period after which the counts of requests by rank are halved. */
#define RANK_PERIOD_MS 5000U
/* Routes with fewer than one in this many of a service's requests do not
 * change the rank of others, or rarely used routes would take away most of the
 * capacity of those behind them. */
#define RANK_MIN_SHARE 16U

/* Answers and admission of one route. */
struct route_load {
    struct admission_floor floor;
    uint32_t mean_bytes; /* of answers, as first acknowledged */
    uint32_t answers;    /* up to LENGTH_MIN_ANSWERS */
};

/* Requests with equal priority and idempotence. */
struct rank_use {
    uint32_t order;    /* priority, then idempotence: lower is preferred */
    uint32_t requests; /* recent ones, halved every RANK_PERIOD_MS */
    bool listed;       /* a route of the table has this order */
};

#define RANKS_MAX (EVIDENCE_RANKS - 1U)
struct service_load {
    struct shortage shortage;
    struct rank_use ranks[RANKS_MAX];
    guint rank_count;
    uint64_t halve_at; /* deadline: halve the counts of `ranks` */
    bool ranked;       /* its routes have different priorities */
    uint32_t priority; /* of the first route seen, to detect others */
    bool has_priority;
    uint32_t refused_rank;  /* best one refused by room, until: */
    uint64_t refused_until; /* deadline */
    bool was_short;         /* for the log */
};

void
evidence_load_open(struct evidence_load *load)
{
    load->services = g_array_new(FALSE, TRUE, sizeof(struct service_load));
    load->routes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    link_demand_open(&load->demand);
}

void
evidence_load_close(struct evidence_load *load)
{
    g_array_free(load->services, TRUE);
    g_hash_table_destroy(load->routes);
    link_demand_close(&load->demand);
}

static struct service_load *
service_of(struct evidence *ev, uint16_t service)
{
    if (service >= ev->load.services->len) {
        g_array_set_size(ev->load.services, service + 1U);
    }
    return &g_array_index(ev->load.services, struct service_load, service);
}

static struct route_load *
route_of(struct evidence *ev, const struct evidence_packet *packet)
{
    gpointer key = route_key(packet->destination, packet->destination_port);
    struct route_load *route = g_hash_table_lookup(ev->load.routes, key);

    if (route == NULL) {
        route = g_new0(struct route_load, 1);
        g_hash_table_insert(ev->load.routes, key, route);
    }
    return route;
}

static uint32_t
demand_key(const struct evidence_packet *packet)
{
    return (uint32_t)hash_pair(HASH_FLOW, packet->destination,
                               packet->destination_port);
}

static void
list_order(struct service_load *service, uint32_t order)
{
    for (guint i = 0; i < service->rank_count; i++) {
        service->ranks[i].listed =
            service->ranks[i].listed || service->ranks[i].order == order;
    }
}

/* Removes the orders that no route has any more: their requests would keep
 * lowering the ranks of others for some periods. */
static void
remove_unlisted(struct service_load *service)
{
    guint count = 0;

    for (guint i = 0; i < service->rank_count; i++) {
        if (service->ranks[i].listed) {
            service->ranks[count++] = service->ranks[i];
        }
    }
    service->rank_count = count;
}

/* Forgets what an earlier table states. */
static void
reset_services(struct evidence *ev)
{
    for (guint i = 0; i < ev->load.services->len; i++) {
        struct service_load *service = service_of(ev, (uint16_t)i);

        service->ranked = false;
        service->has_priority = false;
        for (guint j = 0; j < service->rank_count; j++) {
            service->ranks[j].listed = false;
        }
    }
}

/* Without it, each route that a table ever had would be kept. */
static gboolean
is_removed_route(gpointer key, gpointer value, gpointer data)
{
    const struct route_table *table = data;

    (void)value;
    return !g_hash_table_contains(table->by_address, key);
}

/* Notes the orders of each service's routes, and whether their priorities
 * differ. */
void
evidence_load_apply(struct evidence *ev)
{
    const GArray *routes = ev->table->routes;

    reset_services(ev);
    (void)g_hash_table_foreach_remove(ev->load.routes, is_removed_route,
                                      ev->table);
    for (guint i = 0; i < routes->len; i++) {
        const struct route *route = &g_array_index(routes, struct route, i);

        for (size_t j = 0; j < route->target_count; j++) {
            struct service_load *service =
                service_of(ev, route->targets[j].handle);

            service->ranked =
                service->ranked || (service->has_priority &&
                                    service->priority != route->priority);
            service->has_priority = true;
            service->priority = route->priority;
            list_order(service, route_order(route));
        }
    }
    for (guint i = 0; i < ev->load.services->len; i++) {
        remove_unlisted(service_of(ev, (uint16_t)i));
    }
}

/* Whether load control decides about the flows of a service. */
static bool
applies_to(struct evidence *ev, uint16_t service)
{
    if (fault_is(FAULT_LOAD_CONTROL_ALWAYS)) {
        return service != UPSTREAM_NO_SERVICE;
    }
    switch (ev->load.level) {
    case EVIDENCE_LOAD_OFF:
        return false;
    case EVIDENCE_LOAD_RANKED:
        return service != UPSTREAM_NO_SERVICE &&
               service_of(ev, service)->ranked;
    case EVIDENCE_LOAD_FULL:
        return service != UPSTREAM_NO_SERVICE;
    }
    return false;
}

/* Moves the mean length of a route's answers by 1/`divisor` of the
 * difference. */
static void
learn_length(struct route_load *seen, uint32_t bytes, int64_t divisor)
{
    int64_t difference = (int64_t)bytes - (int64_t)seen->mean_bytes;

    seen->mean_bytes =
        seen->answers == 0
            ? bytes
            : (uint32_t)((int64_t)seen->mean_bytes + difference / divisor);
    seen->answers += seen->answers < LENGTH_MIN_ANSWERS;
}

void
evidence_load_note_answer(struct evidence *ev, uint64_t now,
                          const struct evidence_packet *packet,
                          const struct upstream *upstream, uint32_t latency_us,
                          uint32_t bytes)
{
    const struct route *route =
        route_find(ev->table, packet->destination, packet->destination_port);
    struct route_load *seen;
    bool failed;

    if (route == NULL || !applies_to(ev, upstream->service)) {
        return;
    }
    seen = route_of(ev, packet);
    failed = seen->answers >= LENGTH_MIN_ANSWERS &&
             bytes < seen->mean_bytes / SHORT_ANSWER_DIVISOR;
    learn_length(seen, bytes, failed ? FAILED_DIVISOR : LENGTH_DIVISOR);
    /* A route is not starved while its open flows are answered. */
    if (!failed) {
        seen->floor.refused = 0;
    }
    counter_add(ev->counters, COUNTER_ANSWERS_SHORT, failed ? 1 : 0);
    shortage_note_answer(&service_of(ev, upstream->service)->shortage, now,
                         latency_us, failed,
                         (uint32_t)MIN(route_aim_ms(route), UINT32_MAX));
}

/* Counts a request of a route. */
static void
count_request(struct service_load *service, uint64_t now,
              const struct route *route)
{
    uint32_t order = route_order(route);
    guint own = 0;

    if (now >= service->halve_at) {
        for (guint i = 0; i < service->rank_count; i++) {
            service->ranks[i].requests /= 2;
        }
        service->halve_at = now + RANK_PERIOD_MS;
    }
    while (own < service->rank_count && service->ranks[own].order != order) {
        own++;
    }
    if (own == service->rank_count && own < RANKS_MAX) {
        service->ranks[service->rank_count++] =
            (struct rank_use){.order = order};
    }
    if (own < RANKS_MAX) {
        service->ranks[own].requests++;
    }
}

/* Number of ranks before that of a route. */
static uint32_t
rank_of(const struct service_load *service, const struct route *route)
{
    uint64_t sum = 0;
    uint32_t rank = 0;

    for (guint i = 0; i < service->rank_count; i++) {
        sum += service->ranks[i].requests;
    }
    for (guint i = 0; i < service->rank_count; i++) {
        const struct rank_use *use = &service->ranks[i];

        rank += use->order < route_order(route) &&
                (uint64_t)use->requests * RANK_MIN_SHARE >= sum;
    }
    return rank;
}

static uint32_t
returning_key(const struct evidence_packet *packet)
{
    return (uint32_t)hash_pair(HASH_RANK, packet->source, demand_key(packet));
}

/* Fills the inputs of a decision. */
static void
fill_request(const struct evidence *ev, uint64_t now,
             const struct service_load *service,
             const struct evidence_packet *packet, const struct route *route,
             uint32_t rank, struct admission_request *out)
{
    uint64_t received_at =
        packet->received_at != 0 ? packet->received_at : now;

    *out = (struct admission_request){
        .rank = rank,
        .aim_ms = (uint32_t)MIN(route_aim_ms(route), UINT32_MAX),
        .deadline_ms = received_at + route->deadline_ms,
        .received_at = received_at,
        .no_hold = ev->load.no_hold || (now < service->refused_until &&
                                        rank > service->refused_rank),
        .returning = ev->load.returning != NULL &&
                     returning_is_known(ev->load.returning, now,
                                        returning_key(packet))};
}

static void
fill_link(struct evidence *ev, uint64_t now,
          const struct evidence_packet *packet, struct admission_link *out)
{
    *out = ev->load.link;
    link_demand_expire(&ev->load.demand, now);
    out->pending_bytes = link_demand_pending(&ev->load.demand);
    out->request_bytes =
        link_demand_expected(&ev->load.demand, demand_key(packet));
}

/* True while the counts of other nodes, or this node's own answers, show that
 * a service is short. */
static bool
is_short(struct evidence *ev, uint64_t now, uint16_t service)
{
    return shortage_is_active(&service_of(ev, service)->shortage, now) ||
           (ev->load.occupancy != NULL &&
            occupancy_age_ms(ev->load.occupancy, now) <=
                ADMISSION_ROOM_AGE_MAX_MS);
}

/* While a rank is refused, later ones do not wait for the room that it
 * needs. */
static void
note_refused_rank(struct service_load *service, uint64_t now,
                  const struct evidence_admission *admission)
{
    uint32_t rank = admission->request.rank;

    if (admission->verdict.action != ADMISSION_REFUSE ||
        admission->verdict.reason != ADMISSION_NO_ROOM) {
        return;
    }
    if (now >= service->refused_until || rank <= service->refused_rank) {
        service->refused_rank = rank;
        service->refused_until = now + REFUSED_RANK_MS;
    }
}

/* Records the outcome of a decision. */
static void
note_decision(struct evidence *ev, uint64_t now,
              const struct evidence_packet *packet,
              const struct evidence_admission *admission)
{
    uint32_t key = returning_key(packet);
    bool is_first = packet->received_at == 0; /* not held before */

    if (admission->request.returning && is_first) {
        counter_add(ev->counters, COUNTER_FLOWS_RETURNING, 1);
    }
    switch (admission->verdict.action) {
    case ADMISSION_ADMIT:
        if (admission->verdict.reason == ADMISSION_FLOOR) {
            counter_add(ev->counters, COUNTER_FLOWS_FLOOR, 1);
        }
        if (ev->load.returning != NULL) {
            returning_forget(ev->load.returning, key);
        }
        return;
    case ADMISSION_HOLD:
        counter_add(ev->counters, COUNTER_FLOWS_HELD, is_first ? 1 : 0);
        return;
    case ADMISSION_REFUSE:
        counter_add(ev->counters,
                    admission->verdict.reason == ADMISSION_LINK_BUSY
                        ? COUNTER_FLOWS_LINK_BUSY
                        : COUNTER_FLOWS_NO_ROOM,
                    1);
        if (ev->load.returning != NULL) {
            returning_note_refused(ev->load.returning, now, key);
        }
        return;
    }
}

struct upstream *
evidence_load_choose(struct evidence *ev, uint64_t now,
                     const struct evidence_packet *packet,
                     const struct route *route, uint16_t service,
                     const struct upstream *excluded,
                     struct evidence_verdict *verdict)
{
    struct evidence_admission *admission = &verdict->admission;
    struct service_load *load;
    struct upstream *upstream;
    uint32_t rank;

    verdict->admission.verdict.action = ADMISSION_ADMIT;
    if (!applies_to(ev, service)) {
        return evidence_choose(ev, now, service, excluded, verdict);
    }
    load = service_of(ev, service);
    rank = rank_of(load, route);
    fill_request(ev, now, load, packet, route, rank, &admission->request);
    if (packet->acknowledged == 0 && packet->received_at == 0 &&
        !admission->request.returning) {
        count_request(load, now, route);
    }
    admission->room.unloaded_us = shortage_unloaded_us(&load->shortage);
    if (is_short(ev, now, service) && !fault_is(FAULT_NO_ADMISSION)) {
        uint64_t age_ms = ev->load.occupancy != NULL
                              ? occupancy_age_ms(ev->load.occupancy, now)
                              : UINT64_MAX;

        admission->room.age_ms = (uint32_t)MIN(age_ms, UINT32_MAX);
        upstream = evidence_choose_by_occupancy(
            ev, now, service, excluded, verdict,
            &(struct evidence_choice){
                .aim_ms = route_aim_ms(route),
                .limit_milli = admission_limit_milli(
                    &admission->request, admission->room.unloaded_us)},
            &admission->room.lowest_milli);
        admission->room.known =
            upstream != NULL && age_ms <= ADMISSION_ROOM_AGE_MAX_MS;
    }
    else {
        upstream = evidence_choose(ev, now, service, excluded, verdict);
    }
    if (upstream == NULL) {
        return NULL;
    }
    if (ev->load.level == EVIDENCE_LOAD_FULL) {
        fill_link(ev, now, packet, &admission->link);
    }
    /* A flow that was admitted before is only moved to another upstream, also
     * when its own one has restarted and is not excluded. */
    if (!g_hash_table_contains(ev->flows, &verdict->flow) ||
        fault_is(FAULT_ADMIT_AGAIN)) {
        admission_decide(
            now, &admission->request,
            admission->room.known ? &admission->room : NULL,
            ev->load.level == EVIDENCE_LOAD_FULL ? &admission->link : NULL,
            &route_of(ev, packet)->floor, &admission->verdict);
        admission->decided = true;
        admission->decided_at = now;
        note_decision(ev, now, packet, admission);
        note_refused_rank(load, now, admission);
    }
    return upstream;
}

void
evidence_load_note_request(struct evidence *ev, uint64_t now,
                           const struct evidence_packet *packet,
                           struct evidence_flow *flow,
                           const struct upstream *upstream)
{
    const struct route *route =
        route_find(ev->table, packet->destination, packet->destination_port);

    if (ev->load.level == EVIDENCE_LOAD_OFF || route == NULL) {
        return;
    }
    flow->busy_until = now + route->deadline_ms;
    flow->counted_until = now + route_aim_ms(route);
    /* The first request of a flow was counted with its first packet. */
    if (flow->requested && applies_to(ev, upstream->service)) {
        count_request(service_of(ev, upstream->service), now, route);
    }
    flow->requested = true;
}

void
evidence_load_note_open(struct evidence *ev, uint64_t now,
                        const struct evidence_packet *packet, uint64_t flow,
                        struct upstream *upstream)
{
    upstream->running++;
    if (ev->load.level == EVIDENCE_LOAD_FULL) {
        link_demand_admit(&ev->load.demand, now, flow, demand_key(packet));
    }
}

void
evidence_load_note_data(struct evidence *ev, uint64_t now,
                        const struct evidence_packet *packet, uint64_t flow)
{
    if (ev->load.level == EVIDENCE_LOAD_FULL) {
        link_demand_note_bytes(&ev->load.demand, now, flow, demand_key(packet),
                               packet->length);
    }
}

void
evidence_load_note_end(struct evidence *ev, uint64_t now, uint64_t flow)
{
    if (ev->load.level == EVIDENCE_LOAD_FULL) {
        link_demand_end(&ev->load.demand, now, flow);
    }
}

static bool
is_short_here(struct evidence *ev, uint64_t now, uint16_t service)
{
    return applies_to(ev, service) &&
           shortage_is_active(&service_of(ev, service)->shortage, now);
}

bool
evidence_load_is_short(struct evidence *ev, uint64_t now)
{
    for (guint i = 0; i < ev->load.services->len; i++) {
        if (is_short_here(ev, now, (uint16_t)i)) {
            return true;
        }
    }
    return false;
}

bool
evidence_load_next_change(struct evidence *ev, uint64_t now,
                          struct evidence_shortage *out)
{
    for (guint i = 0; i < ev->load.services->len; i++) {
        struct service_load *service = service_of(ev, (uint16_t)i);
        bool is_short = is_short_here(ev, now, (uint16_t)i);

        if (is_short != service->was_short) {
            service->was_short = is_short;
            *out = (struct evidence_shortage){
                .service = (uint16_t)i,
                .is_short = is_short,
                .unloaded_us = shortage_unloaded_us(&service->shortage)};
            return true;
        }
    }
    return false;
}

void
evidence_load_report(struct evidence *ev, uint64_t now, GArray *out)
{
    const GPtrArray *all = ev->upstreams->all;

    evidence_count_running(ev, now);
    for (guint i = 0; i < all->len; i++) {
        const struct upstream *u = g_ptr_array_index(all, i);
        struct occupancy_entry entry = {
            .token = u->token,
            .requests = u->running,
            .latency_ms =
                now < u->latency_until ? MAX(u->latency_us / MILLI, 1U) : 0};

        if (u->has_token && applies_to(ev, u->service) &&
            (entry.requests > 0 || entry.latency_ms > 0)) {
            g_array_append_val(out, entry);
        }
    }
}

static bool
leads_to(const struct route *route, uint16_t service)
{
    for (size_t i = 0; i < route->target_count; i++) {
        if (route->targets[i].handle == service) {
            return true;
        }
    }
    return false;
}

/* Sets the limits of the ranks that the routes to a service have. */
static void
fill_limits(struct evidence *ev, uint16_t service,
            struct evidence_service_load *out)
{
    const GArray *routes = ev->table->routes;

    for (guint i = 0; i < routes->len; i++) {
        const struct route *route = &g_array_index(routes, struct route, i);
        struct admission_request request = {
            .rank = rank_of(service_of(ev, service), route),
            .aim_ms = (uint32_t)MIN(route_aim_ms(route), UINT32_MAX)};
        uint32_t limit_milli =
            admission_limit_milli(&request, out->unloaded_us);
        uint32_t *lowest = &out->limit_milli[request.rank];

        if (leads_to(route, service)) {
            *lowest = *lowest == 0 ? limit_milli : MIN(*lowest, limit_milli);
            out->rank_count = MAX(out->rank_count, request.rank + 1);
        }
    }
}

static uint32_t
mean_occupancy(struct evidence *ev, uint64_t now, uint16_t service)
{
    const GPtrArray *all = ev->upstreams->all;
    uint64_t sum = 0;
    uint64_t count = 0;

    evidence_count_running(ev, now);
    for (guint i = 0; i < all->len; i++) {
        const struct upstream *u = g_ptr_array_index(all, i);

        if (u->service == service && evidence_accepts_flows(u)) {
            sum += evidence_occupancy_milli(ev, now, u);
            count++;
        }
    }
    return count == 0 ? 0 : (uint32_t)(sum / count);
}

bool
evidence_load_of_service(struct evidence *ev, uint64_t now, uint16_t service,
                         struct evidence_service_load *out)
{
    if (!applies_to(ev, service)) {
        return false;
    }
    *out = (struct evidence_service_load){
        .is_short = is_short(ev, now, service),
        .unloaded_us =
            shortage_unloaded_us(&service_of(ev, service)->shortage),
        .occupancy_milli = mean_occupancy(ev, now, service),
        .room_age_ms = ev->load.occupancy != NULL
                           ? occupancy_age_ms(ev->load.occupancy, now)
                           : UINT64_MAX};
    fill_limits(ev, service, out);
    return true;
}
