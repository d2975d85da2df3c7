/*
 * Outgoing messages: hellos, member lists, upstream records, reports and
 * drained halls.
 */
#include "fleet-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* Limits a message to about 20 ms on a link of 2.2 Mbit/s. */
#define RECORDS_PER_MESSAGE 80

void
fleet_send_encoded(struct fleet *fleet, uint32_t to, GByteArray *bytes)
{
    struct fleet_action *action = fleet_add_action(fleet, FLEET_SEND);

    fleet->bytes_sent += bytes->len;
    action->to = to;
    action->bytes = g_byte_array_ref(bytes);
}

void
fleet_send(struct fleet *fleet, uint32_t to, wire_msg *msg)
{
    GByteArray *bytes;

    if (to == fleet->self.address || to == 0) {
        return;
    }
    bytes = codec_encode(msg);
    fleet_send_encoded(fleet, to, bytes);
    g_byte_array_unref(bytes);
}

/* Encodes a message once for all members. */
static void
send_to_all(struct fleet *fleet, wire_msg *msg)
{
    GByteArray *bytes = codec_encode(msg);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        fleet_send_encoded(fleet, ((struct fleet_member *)value)->node.address,
                           bytes);
    }
    g_byte_array_unref(bytes);
}

/* A member that misses the message receives the halls with the next hello;
 * with hellos alone, every member would wait up to FLEET_HELLO_INTERVAL_MS. */
void
fleet_push_halls(struct fleet *fleet)
{
    wire_msg msg = {.kind = WIRE_HALLS};
    wire_hall buffer[HALL_MAX];

    if (fault_is(FAULT_NO_HALL_PUSH)) {
        return;
    }
    hall_pack(&fleet->upstreams->halls, buffer, &msg.wire_msg_u.halls);
    send_to_all(fleet, &msg);
}

/* `wants` requests the data that this node lacks. Names only a confirmed
 * leader, or nodes would keep telling each other of one that is gone. */
static void
send_hello(struct fleet *fleet, uint32_t to, bool reply, bool wants)
{
    wire_msg msg = {.kind = WIRE_HELLO};
    wire_hello *hello = &msg.wire_msg_u.hello;
    wire_hall buffer[HALL_MAX];
    wire_halls halls;

    hello->self = fleet->self;
    hello->flags = (reply ? WIRE_HELLO_REPLY : 0U) |
                   (fleet->settled ? WIRE_HELLO_SETTLED : 0U) |
                   (wants ? WIRE_HELLO_WANTS : 0U) |
                   (fleet->overloaded ? WIRE_HELLO_OVERLOADED : 0U);
    hello->term = fleet->term;
    hello->leader = fleet->leader_confirmed || fault_is(FAULT_STALE_LEADER)
                        ? fleet->leader
                        : 0;
    hello->routes = fleet->routes.bundle_version;
    hello->members = fleet_members_digest(fleet);
    upstream_digests(fleet->upstreams, hello->upstreams);
    hall_pack(&fleet->upstreams->halls, buffer, &halls);
    hello->halls = halls.revision != 0 ? &halls : NULL;
    fleet_send(fleet, to, &msg);
}

/* A starting node requests data with fleet_request_sync() only, or each
 * receiver of a hello would send all of it. */
void
fleet_send_hello(struct fleet *fleet, uint32_t to, bool reply)
{
    send_hello(fleet, to, reply,
               fleet->settled || fault_is(FAULT_SYNC_FROM_ALL));
}

void
fleet_request_sync(struct fleet *fleet, uint32_t to)
{
    send_hello(fleet, to, false, true);
}

void
fleet_send_members(struct fleet *fleet, uint32_t to)
{
    guint count = g_hash_table_size(fleet->members) + 1;
    wire_node *nodes = g_new0(wire_node, count);
    wire_msg msg = {.kind = WIRE_MEMBERS};
    wire_members *out = &msg.wire_msg_u.members;
    GHashTableIter iter;
    gpointer value;

    out->term = fleet->term;
    out->extent = fleet->leads_since != 0 ? WIRE_WHOLE : WIRE_SOME;
    out->nodes.nodes_val = nodes;
    nodes[out->nodes.nodes_len++] = fleet->self;
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        nodes[out->nodes.nodes_len++] = ((struct fleet_member *)value)->node;
    }
    fleet_send(fleet, to, &msg);
    g_free(nodes);
}

void
fleet_push_joined(struct fleet *fleet)
{
    wire_node *nodes = g_new0(wire_node, fleet->joined->len);
    wire_msg msg = {.kind = WIRE_MEMBERS};
    wire_members *out = &msg.wire_msg_u.members;
    struct fleet_action *action = fleet_add_action(fleet, FLEET_NODES_JOINED);

    action->to = g_array_index(fleet->joined, uint32_t, 0);
    action->count = fleet->joined->len;
    out->term = fleet->term;
    out->extent = WIRE_CHANGED;
    out->nodes.nodes_val = nodes;
    for (guint i = 0; i < fleet->joined->len; i++) {
        const struct fleet_member *member = g_hash_table_lookup(
            fleet->members,
            GUINT_TO_POINTER(g_array_index(fleet->joined, uint32_t, i)));

        if (member != NULL) {
            nodes[out->nodes.nodes_len++] = member->node;
        }
    }
    g_array_set_size(fleet->joined, 0);
    send_to_all(fleet, &msg);
    g_free(nodes);
}

void
fleet_send_upstreams(struct fleet *fleet, uint32_t to, wire_upstream *records,
                     guint count)
{
    for (guint at = 0; at < count; at += RECORDS_PER_MESSAGE) {
        wire_msg msg = {.kind = WIRE_UPSTREAMS};

        msg.wire_msg_u.upstreams.list.list_val = records + at;
        msg.wire_msg_u.upstreams.list.list_len =
            MIN(count - at, RECORDS_PER_MESSAGE);
        fleet_send(fleet, to, &msg);
    }
}

/* A starting node is served by the leader, or by any node while there is none.
 * A settled node receives announcements of new members and is served only when
 * its digest differs in two successive hellos. */
void
fleet_enqueue_members(struct fleet *fleet, const wire_hello *hello,
                      struct fleet_member *member)
{
    bool differs = hello->members != fleet_members_digest(fleet);
    bool starting = (hello->flags & WIRE_HELLO_SETTLED) == 0;

    if (differs &&
        (starting ? fleet->leads_since != 0 || fleet->leader == 0
                  : fleet->leads_since != 0 && member->members_differ)) {
        fleet_transfer_enqueue(fleet, hello->self.address,
                               FLEET_TRANSFER_MEMBERS, starting);
    }
    member->members_differ = differs;
}

void
fleet_handle_report(struct fleet *fleet, uint64_t now,
                    const wire_doubt *report)
{
    if (report->too_soon) {
        upstream_report_outlier(fleet->upstreams, now, report->id,
                                report->node);
    }
    else {
        upstream_report_suspicion(fleet->upstreams, now, report->id,
                                  report->node, report->quiet_ms);
    }
}

/* Sends the reports to their upstreams' keepers and applies them here. */
static void
send_reports(struct fleet *fleet, uint64_t now)
{
    struct upstream_set *set = fleet->upstreams;

    for (guint i = 0; i < set->reports->len; i++) {
        const struct upstream_report *report =
            &g_array_index(set->reports, struct upstream_report, i);
        const struct upstream *u = upstream_by_id(set, report->id);
        wire_msg msg = {.kind = WIRE_DOUBT};

        if (u == NULL) {
            continue;
        }
        msg.wire_msg_u.doubt.node = fleet->self.address;
        msg.wire_msg_u.doubt.id = report->id;
        msg.wire_msg_u.doubt.quiet_ms = report->quiet_ms;
        msg.wire_msg_u.doubt.too_soon = report->outlier;
        fleet_send(fleet, u->keeper, &msg);
        fleet_handle_report(fleet, now, &msg.wire_msg_u.doubt);
    }
    g_array_set_size(set->reports, 0);
}

/* Queries two random members and the leader for records that may be out of
 * date. */
static void
send_queries(struct fleet *fleet)
{
    GArray *queries = fleet->upstreams->queries;
    wire_msg msg = {.kind = WIRE_NEED};
    wire_need *need = &msg.wire_msg_u.need;

    if (queries->len == 0) {
        return;
    }
    need->node = fleet->self.address;
    need->tokens.tokens_val = (u_int *)(void *)queries->data;
    need->tokens.tokens_len = MIN(queries->len, WIRE_MARKS_MAX);
    fleet_send(fleet, fleet_random_member(fleet), &msg);
    fleet_send(fleet, fleet_random_member(fleet), &msg);
    fleet_send(fleet, fleet->leader, &msg);
    g_array_set_size(queries, 0);
}

void
fleet_broadcast_changes(struct fleet *fleet, uint64_t now)
{
    GArray *changed = fleet->upstreams->changed;

    send_reports(fleet, now);
    send_queries(fleet);
    fleet_resolve_send(fleet, now);
    for (guint i = 0; i < changed->len; i++) {
        fleet_relay_add_change(fleet, now,
                               g_array_index(changed, uint64_t, i));
    }
    g_array_set_size(changed, 0);
    fleet_relay_run(fleet, now);
}
