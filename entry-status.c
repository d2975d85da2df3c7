/* JSON documents of the operators' pages: status, explain, decide. */
#include <stdio.h>
#include <string.h>

#include "entry.h"
#include "hash.h"
#include "loop.h"
#include "page.h"

#define DECISIONS_MAX 64

static json_object *
flow_upstream_json(const struct entry *entry,
                   const struct bundle_upstream *upstream)
{
    json_object *out = json_object_new_object();
    uint64_t assigned = flow_assigned(entry->core->flow, upstream->address,
                                      (uint16_t)upstream->port);

    json_object_object_add(out, "name",
                           json_object_new_string(upstream->name));
    page_add_endpoint(out, "endpoint", upstream->address,
                      (uint16_t)upstream->port);
    json_object_object_add(
        out, "state",
        json_object_new_string(upstream->state == BUNDLE_LEAVING ? "leaving"
                                                                 : "serving"));
    page_add_number(out, "flows_placed", assigned);
    return out;
}

/* Adds the state of a request service's gate, if this entry runs it. */
static void
add_gate_json(const struct entry *entry, const char *service, json_object *out)
{
    uint64_t key = hash_name(service);
    const struct gate *gate = g_hash_table_lookup(entry->core->gates, &key);
    json_object *list = json_object_new_array();
    uint64_t now = loop_now();

    if (gate == NULL) {
        json_object_put(list);
        return;
    }
    for (guint i = 0; i < gate->upstreams->len; i++) {
        const struct gate_upstream *u =
            &g_array_index(gate->upstreams, struct gate_upstream, i);
        json_object *one = json_object_new_object();

        page_add_endpoint(one, "endpoint", u->address, u->port);
        page_add_number(one, "busy", u->busy);
        page_add_number(one, "limit", u->limit);
        page_add_number(one, "chosen", u->chosen);
        page_add_bool(one, "serving", u->serving);
        page_add_bool(one, "ejected", now < u->ejected_until);
        json_object_array_add(list, one);
    }
    json_object_object_add(out, "gate", list);
    page_add_number(out, "queue", g_queue_get_length((GQueue *)&gate->queue));
}

static json_object *
services_json(const struct entry *entry)
{
    json_object *out = json_object_new_array();

    for (size_t i = 0; i < entry->core->bundle.service_count; i++) {
        const struct bundle_service *s = &entry->core->bundle.services[i];
        json_object *one = json_object_new_object();
        json_object *list = json_object_new_array();

        json_object_object_add(one, "name", json_object_new_string(s->name));
        for (size_t j = 0; j < s->upstream_count; j++) {
            json_object_array_add(list,
                                  flow_upstream_json(entry, &s->upstreams[j]));
        }
        json_object_object_add(one, "upstreams", list);
        add_gate_json(entry, s->name, one);
        json_object_array_add(out, one);
    }
    return out;
}

json_object *
entry_status(struct entry *entry)
{
    struct entry_core *core = entry->core;
    json_object *out = json_object_new_object();
    uint64_t now = loop_now();

    json_object_object_add(out, "name",
                           json_object_new_string(entry->settings.name));
    json_object_object_add(out, "hall",
                           json_object_new_string(entry->settings.hall));
    page_add_hex(out, "id", core->self.id);
    page_add_number(out, "version", flow_version(core->flow));
    page_add_number(out, "step", flow_step(core->flow));
    page_add_number(out, "epoch", core->epoch);
    page_add_number(out, "lease_left_ms",
                    core->lease_deadline > now ? core->lease_deadline - now
                                               : 0);
    page_add_number(out, "flow_records", flow_records(core->flow));
    page_add_number(out, "flow_memory", flow_memory(core->flow));
    page_add_number(out, "key_records", claim_count(&core->claims));
    page_add_number(out, "requests", request_count(&core->requests));
    page_add_bool(out, "stopping", core->stopping);
    json_object_object_add(out, "services", services_json(entry));
    return out;
}

static json_object *
decision_json(const struct ring_record *r)
{
    json_object *out = json_object_new_object();
    enum ring_rule rule = (enum ring_rule)r->rule;

    page_add_number(out, "sequence", r->sequence);
    page_add_number(out, "at", r->at);
    json_object_object_add(
        out, "kind",
        json_object_new_string(r->kind == RING_FLOW ? "flow" : "request"));
    json_object_object_add(out, "rule",
                           json_object_new_string(ring_rule_name(rule)));
    json_object_object_add(out, "because",
                           json_object_new_string(ring_rule_help(rule)));
    page_add_number(out, "version", r->version);
    page_add_number(out, "step", r->step);
    page_add_number(out, "epoch", r->epoch);
    page_add_hex(out, "service", r->service);
    page_add_hex(out, "table_digest", r->table_digest);
    page_add_hex(out, "peer", r->peer);
    page_add_number(out, "first", r->first);
    page_add_number(out, "retry_ms", r->retry_ms);
    page_add_endpoint(out, "upstream", r->address, r->port);
    page_add_endpoint(out, "owner_now", r->new_address, r->new_port);
    page_add_endpoint(out, "owner_before", r->old_address, r->old_port);
    return out;
}

/* Recorded decisions about a flow or request, newest first. */
json_object *
entry_explain(struct entry *entry, uint64_t subject)
{
    struct ring_record records[DECISIONS_MAX];
    size_t count =
        ring_find(&entry->core->ring, subject, records, DECISIONS_MAX);
    json_object *out = json_object_new_object();
    json_object *list = json_object_new_array();

    json_object_object_add(out, "entry",
                           json_object_new_string(entry->settings.name));
    page_add_hex(out, "id", entry->core->self.id);
    page_add_number(out, "kept_since",
                    ring_overwritten_before(&entry->core->ring));
    for (size_t i = 0; i < count; i++) {
        json_object_array_add(list, decision_json(&records[i]));
    }
    json_object_object_add(out, "decisions", list);
    return out;
}

/* The upstream of a flow by the current table, and by its record if any. */
json_object *
entry_decide(struct entry *entry, const char *service, uint64_t hash)
{
    struct flow *flow = entry->core->flow;
    json_object *out = json_object_new_object();
    uint16_t index = flow_find_named(flow, service ? service : "");
    const struct flow_upstream *u;
    upstream_id new_owner;
    upstream_id old_owner;

    json_object_object_add(out, "entry",
                           json_object_new_string(entry->settings.name));
    page_add_number(out, "version", flow_version(flow));
    page_add_number(out, "step", flow_step(flow));
    if (index == FLOW_NO_SERVICE) {
        return out;
    }
    page_add_hex(out, "table_digest", flow_table_digest(flow, index));
    flow_owners(flow, index, hash, &new_owner, &old_owner);
    u = flow_upstream(flow, new_owner);
    if (u != NULL) {
        page_add_endpoint(out, "owner_now", u->address, u->port);
    }
    u = flow_upstream(flow, flow_find_recorded(flow, hash));
    if (u != NULL) {
        page_add_endpoint(out, "recorded", u->address, u->port);
    }
    return out;
}
