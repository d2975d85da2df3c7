/* Client side of the explain commands. */
#include "explain.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "packet.h"

uint64_t
explain_flow_hash(const struct explain_flow *flow)
{
    struct packet packet = {.source = flow->source,
                            .destination = flow->service->address,
                            .source_port = flow->source_port,
                            .destination_port = (uint16_t)flow->service->port,
                            .protocol = flow->service->protocol == BUNDLE_TCP
                                            ? PACKET_TCP
                                            : PACKET_UDP};

    return packet_hash(&packet);
}

/* Gets `path` from one entry; adds its response, or its name to the unanswered
 * ones. */
static void
query_entry(json_object *entry, const struct client_credentials *credentials,
            const char *path, json_object *out, GString *unanswered)
{
    char *url =
        g_strdup_printf("http://%s%s", client_text(entry, "http"), path);
    struct client_reply reply = {0, NULL, 0};
    json_object *doc = NULL;

    client_request("GET", url, credentials, NULL, NULL, 0, &reply);
    if (reply.status == 200) {
        doc = client_json(&reply);
    }
    if (doc != NULL) {
        json_object_array_add(out, doc);
    }
    else {
        g_string_append_printf(unanswered, "%s%s", unanswered->len ? "," : "",
                               client_text(entry, "name"));
    }
    client_free(&reply);
    g_free(url);
}

json_object *
explain_query_entries(const struct settings *settings,
                      const struct client_credentials *credentials,
                      const char *path, GString *unanswered, struct status *st)
{
    struct client_reply reply = {0, NULL, 0};
    json_object *out = json_object_new_array();
    json_object *entries = NULL;
    json_object *doc;

    (void)client_request_control(settings, credentials, "GET", "/v1/status",
                                 NULL, NULL, 0, &reply, st);
    doc = client_json(&reply);
    if (doc != NULL && json_object_object_get_ex(doc, "entries", &entries)) {
        for (size_t i = 0; i < json_object_array_length(entries); i++) {
            query_entry(json_object_array_get_idx(entries, i), credentials,
                        path, out, unanswered);
        }
    }
    json_object_put(doc);
    client_free(&reply);
    return out;
}

enum status_kind
explain_fetch_bundle(const struct settings *settings,
                     const struct client_credentials *credentials,
                     struct bundle *out, struct status *st)
{
    struct client_reply reply = {0, NULL, 0};

    if (client_request_control(settings, credentials, "GET",
                               "/v1/bundles/in-force", NULL, NULL, 0, &reply,
                               st) == STATUS_OK) {
        (void)bundle_read("bundle in force", reply.body, reply.length, out,
                          st);
    }
    client_free(&reply);
    return st->kind;
}

static void
format_endpoint(const struct flow *flow, upstream_id id,
                char out[ADDRESS_TEXT])
{
    const struct flow_upstream *u = flow_upstream(flow, id);

    (void)address_format(u ? u->address : 0, u ? u->port : 0, out);
}

/* True if a rule assigns the current owner of the bucket. */
static bool
assigns_owner(const char *rule)
{
    enum ring_rule r = ring_rule_parse(rule);

    return r == RULE_SETTLED || r == RULE_KEEPER_NEW ||
           r == RULE_KEEPER_DEFAULT;
}

/* Compares a decision with the tables of the bundle. */
static bool
compare_decision(const struct flow *flow, uint16_t index, uint64_t hash,
                 json_object *decision, char *why, size_t size)
{
    const char *rule = client_text(decision, "rule");
    char owner[ADDRESS_TEXT];
    char digest[24];
    upstream_id owner_id;
    upstream_id old_owner_id;

    flow_owners(flow, index, hash, &owner_id, &old_owner_id);
    format_endpoint(flow, owner_id, owner);
    (void)snprintf(digest, sizeof(digest), "%016llx",
                   (unsigned long long)flow_table_digest(flow, index));
    if (strcmp(rule, ring_rule_name(RULE_NO_LEASE)) == 0) {
        return true;
    }
    if (strcmp(client_text(decision, "table_digest"), digest) != 0) {
        (void)snprintf(why, size, "table digest: recorded %s, recomputed %s",
                       client_text(decision, "table_digest"), digest);
        return false;
    }
    if (strcmp(client_text(decision, "owner_now"), owner) != 0 &&
        strcmp(client_text(decision, "owner_now"), "0.0.0.0:0") != 0) {
        (void)snprintf(why, size, "owner: recorded %s, recomputed %s",
                       client_text(decision, "owner_now"), owner);
        return false;
    }
    if (assigns_owner(rule) &&
        strcmp(client_text(decision, "upstream"), owner) != 0) {
        (void)snprintf(why, size,
                       "upstream under rule %s: recorded %s, recomputed %s",
                       rule, client_text(decision, "upstream"), owner);
        return false;
    }
    return true;
}

bool
explain_verify_flow(const struct bundle *bundle, const char *service,
                    uint64_t hash, json_object *decision, char *why,
                    size_t size)
{
    struct counters counters = {{0}};
    struct flow_options options = {
        .self = 1, .capacity = 1024, .counters = &counters};
    struct flow *flow = flow_new(&options);
    uint16_t index;
    bool ok;

    why[0] = '\0';
    (void)flow_apply(flow, 1, bundle, NULL, FLOW_STEP_SETTLED);
    index = flow_find_named(flow, service);
    ok = index != FLOW_NO_SERVICE &&
         compare_decision(flow, index, hash, decision, why, size);
    if (index == FLOW_NO_SERVICE) {
        (void)snprintf(why, size, "the bundle has no flow service %s",
                       service);
    }
    flow_free(flow);
    return ok;
}
