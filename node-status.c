/* State and recorded decisions of a node as JSON. */
#include "node-status.h"

#include "evidence-verify.h"
#include "hash.h"
#include "loop.h"
#include "page.h"

#define DECISIONS_MAX 64 /* per flow */

void
node_record_decision(struct node *node, const struct evidence_packet *packet,
                     const struct evidence_verdict *verdict)
{
    const struct upstream *u = verdict->upstream;
    struct ring_record record = {.at = loop_wall(),
                                 .subject = verdict->flow,
                                 .version = node->evidence.table->version,
                                 .route_address = packet->destination,
                                 .route_port = packet->destination_port,
                                 .kind = RING_FLOW,
                                 .rule = (uint8_t)verdict->rule,
                                 .first = packet->first,
                                 .drained = verdict->drained,
                                 .halls_revision =
                                     node->upstreams.halls.revision};

    if (u != NULL) {
        record.service =
            hash_name(upstream_service_name(&node->upstreams, u->service));
        record.peer = u->id;
        record.address = u->address;
        record.port = u->port;
        record.outstanding = u->busy;
    }
    if (ring_is_admission(verdict->rule)) {
        evidence_record_admission(node->evidence.table, &verdict->admission,
                                  &record);
    }
    ring_add(&node->ring, &record);
}

static json_object *
upstream_json(const struct node *node, const struct upstream *u, uint64_t now)
{
    json_object *doc = json_object_new_object();

    page_add_hex(doc, "id", u->id);
    page_add_text(doc, "service",
                  upstream_service_name(&node->upstreams, u->service));
    page_add_text(doc, "hall", u->hall);
    page_add_endpoint(doc, "at", u->address, u->port);
    page_add_text(doc, "state", upstream_state_name(u->state));
    page_add_number(doc, "born", u->started_at);
    page_add_number(doc, "sequence", u->sequence);
    page_add_number(doc, "slots", u->slots);
    page_add_number(doc, "open_flows", u->open);
    page_add_number(doc, "busy_flows", u->busy);
    page_add_bool(doc, "suspected", now < u->suspect_until);
    page_add_bool(doc, "doubted", now < u->next_suspicion_at);
    page_add_bool(doc, "warming_up", now < u->warmup_until);
    page_add_bool(doc, "hall_emptied", u->drained);
    page_add_bool(doc, "sick", now < u->ejected_until);
    page_add_bool(doc, "heard_here", u->expire_at != 0);
    if (node->evidence.load.level != EVIDENCE_LOAD_OFF) {
        page_add_number(doc, "running", u->running);
        page_add_number(doc, "elsewhere",
                        evidence_load_elsewhere(&node->evidence, now, u));
    }
    return doc;
}

/* The drained data halls, with the index of the log entry and the leader's
 * wall clock of each order. */
static json_object *
drained_halls_json(const struct hall_set *halls)
{
    json_object *list = json_object_new_array();

    for (size_t i = 0; i < halls->count; i++) {
        json_object *doc = json_object_new_object();

        page_add_text(doc, "hall", halls->all[i].name);
        page_add_number(doc, "since_index", halls->all[i].since);
        page_add_number(doc, "since", halls->all[i].wall);
        json_object_array_add(list, doc);
    }
    return list;
}

static json_object *
service_json(const char *name, const struct evidence_service_load *load)
{
    json_object *doc = json_object_new_object();
    json_object *limits = json_object_new_array();

    for (uint32_t i = 0; i < load->rank_count; i++) {
        json_object_array_add(limits,
                              json_object_new_int64(load->limit_milli[i]));
    }
    page_add_text(doc, "service", name);
    page_add_bool(doc, "short", load->is_short);
    page_add_number(doc, "unloaded_us", load->unloaded_us);
    json_object_object_add(doc, "limit_milli", limits);
    page_add_number(doc, "occupancy_milli", load->occupancy_milli);
    if (load->room_age_ms != UINT64_MAX) {
        page_add_number(doc, "room_age_ms", load->room_age_ms);
    }
    return doc;
}

/* The services with load control. */
static json_object *
services_json(struct node *node, uint64_t now)
{
    struct evidence *ev = &node->evidence;
    json_object *list = json_object_new_array();

    for (guint i = 0; i < ev->load.services->len; i++) {
        struct evidence_service_load load;

        if (evidence_load_of_service(ev, now, (uint16_t)i, &load)) {
            json_object_array_add(
                list, service_json(
                          upstream_service_name(&node->upstreams, (uint16_t)i),
                          &load));
        }
    }
    return list;
}

json_object *
node_status(struct node *node)
{
    uint64_t now = loop_now();
    const struct fleet *fleet = &node->fleet;
    json_object *doc = json_object_new_object();
    json_object *upstreams = json_object_new_array();

    page_add_text(doc, "name", node->settings.name);
    page_add_text(doc, "hall", node->settings.hall);
    page_add_bool(doc, "ready", node_is_ready(node));
    page_add_bool(doc, "stopping", node->stopping_since != 0);
    page_add_bool(doc, "overloaded", overload_is_active(&node->overload, now));
    page_add_number(doc, "version", node->evidence.table->version);
    page_add_number(doc, "routes", node->evidence.table->routes->len);
    page_add_endpoint(doc, "leader", fleet->leader,
                      node->settings.control.port);
    page_add_number(doc, "term", fleet->term);
    if (fleet->leader != 0 && fleet->leads_since == 0) {
        page_add_number(doc, "leader_age_ms", now - fleet->leader_seen_at);
    }
    page_add_bool(doc, "leads", fleet->leads_since != 0);
    page_add_bool(doc, "reaches_leader", fleet_reaches_leader(fleet, now));
    page_add_number(doc, "seeds", fleet->seed_count);
    page_add_number(doc, "known_seeds", fleet_count_known_seeds(fleet));
    page_add_number(doc, "contacts", fleet->contacts->len);
    page_add_number(doc, "members", g_hash_table_size(fleet->members) + 1);
    json_object_object_add(doc, "halls_emptied",
                           drained_halls_json(&node->upstreams.halls));
    page_add_number(doc, "halls_revision", node->upstreams.halls.revision);
    page_add_number(doc, "halls_in_force_at",
                    fleet_count_halls_in_force(fleet));
    page_add_hex(doc, "disk", node->voter.identity);
    page_add_number(doc, "wakeups_late",
                    node->counters.value[COUNTER_WAKEUPS_LATE]);
    page_add_number(doc, "first_packets_dropped",
                    node->counters.value[COUNTER_PACKETS_STALE]);
    page_add_number(doc, "deadlines_missed",
                    node->counters.value[COUNTER_DEADLINES_MISSED]);
    json_object_object_add(doc, "services", services_json(node, now));
    for (guint i = 0; i < node->upstreams.all->len; i++) {
        json_object_array_add(
            upstreams,
            upstream_json(node, g_ptr_array_index(node->upstreams.all, i),
                          now));
    }
    json_object_object_add(doc, "upstreams", upstreams);
    return doc;
}

/* Adds the inputs of a decision of load control. */
static void
add_admission(json_object *doc, const struct ring_admission *a)
{
    uint64_t received_at = a->request.received_at;

    page_add_number(doc, "priority", a->priority);
    page_add_number(doc, "rank", a->request.rank);
    page_add_number(doc, "aim_ms", a->request.aim_ms);
    page_add_bool(doc, "returning", a->request.returning);
    page_add_bool(doc, "no_hold", a->request.no_hold);
    page_add_number(doc, "waited_ms", a->decided_at - received_at);
    if (a->verdict.hold_until != 0) {
        page_add_number(doc, "hold_ms", a->verdict.hold_until - received_at);
    }
    page_add_bool(doc, "by_room", a->by_room);
    if (a->by_room) {
        page_add_number(doc, "limit_milli", a->verdict.limit_milli);
        page_add_number(doc, "lowest_milli", a->room.lowest_milli);
        page_add_number(doc, "room_age_ms", a->room.age_ms);
        page_add_number(doc, "unloaded_us", a->room.unloaded_us);
    }
    page_add_bool(doc, "by_link", a->by_link);
    if (a->by_link) {
        page_add_number(doc, "link_kbit_s", a->link.rate_kbit_s);
        page_add_number(doc, "queued_bytes", a->link.queued_bytes);
        page_add_number(doc, "pending_bytes", a->link.pending_bytes);
        page_add_number(doc, "request_bytes", a->link.request_bytes);
    }
}

static json_object *
decision_json(const struct node *node, const struct ring_record *record)
{
    enum ring_rule rule = (enum ring_rule)record->rule;
    json_object *doc = json_object_new_object();

    page_add_number(doc, "at", record->at);
    page_add_text(doc, "rule", ring_rule_name(rule));
    page_add_text(doc, "because", ring_rule_help(rule));
    page_add_number(doc, "version", record->version);
    page_add_bool(doc, "first", record->first);
    page_add_text(doc, "recomputed",
                  evidence_proof_name(evidence_verify(
                      node->evidence.table, &node->upstreams, record)));
    if (record->peer != 0) {
        page_add_hex(doc, "upstream", record->peer);
        page_add_endpoint(doc, "at_upstream", record->address, record->port);
        page_add_number(doc, "busy_flows", record->outstanding);
    }
    if (ring_is_admission(rule)) {
        add_admission(doc, &record->admission);
    }
    if (record->drained > 0) {
        page_add_number(doc, "passed_over_halls_emptied", record->drained);
        page_add_number(doc, "halls_revision", record->halls_revision);
    }
    return doc;
}

json_object *
node_explain(const struct node *node, uint64_t flow)
{
    struct ring_record found[DECISIONS_MAX];
    size_t count = ring_find(&node->ring, flow, found, DECISIONS_MAX);
    json_object *doc = json_object_new_object();
    json_object *list = json_object_new_array();

    page_add_hex(doc, "flow", flow);
    page_add_number(doc, "kept_since", ring_overwritten_before(&node->ring));
    for (size_t i = 0; i < count; i++) {
        json_object_array_add(list, decision_json(node, &found[i]));
    }
    json_object_object_add(doc, "decisions", list);
    return doc;
}
