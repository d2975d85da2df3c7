/*
 * What a node tells others: hellos, and members and upstreams that changed or
 * that another node lacks.
 */
#include "fleet-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* Records of upstreams in one message: 40 bytes and two names each, so that
 * it takes about 20 ms on a link of 2.2 Mbit/s. */
#define RECORDS_A_MESSAGE 80

/* Sends an encoded message, which is shared. */
void
fleet_send_encoded(struct fleet *fleet, uint32_t to, GByteArray *bytes)
{
    struct fleet_action *action = fleet_act(fleet, FLEET_SEND);

    fleet->bytes_sent += bytes->len;
    action->to = to;
    action->bytes = g_byte_array_ref(bytes);
}

/* Sends a message. */
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

/* Sends a message to all members; it is encoded once. */
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

/* LEADER: tells all members which halls are emptied. A node that this does
 * not reach is told by the next hello of any other, within half a second;
 * by hellos alone all wait for theirs. It is 60 bytes for each node and a hall
 * more, so 100 KB to 1,700 nodes: 8 ms of a link of 100 Mbit/s. */
void
fleet_push_halls(struct fleet *fleet)
{
    wire_msg msg = {.kind = WIRE_HALLS};
    wire_hall room[HALL_MAX];

    if (fault_is(FAULT_NO_HALL_PUSH)) {
        return;
    }
    hall_pack(&fleet->upstreams->halls, room, &msg.wire_msg_u.halls);
    send_to_all(fleet, &msg);
}

/* Sends what this node knows. */
static void
send_hello(struct fleet *fleet, uint32_t to, bool reply, bool wants)
{
    wire_msg msg = {.kind = WIRE_HELLO};
    wire_hello *hello = &msg.wire_msg_u.hello;
    wire_hall room[HALL_MAX];
    wire_halls halls;

    hello->self = fleet->self;
    hello->flags = (reply ? WIRE_HELLO_REPLY : 0U) |
                   (fleet->settled ? WIRE_HELLO_SETTLED : 0U) |
                   (wants ? WIRE_HELLO_WANTS : 0U);
    hello->term = fleet->term;
    hello->leader = fleet->leader;
    hello->routes = fleet->routes.bundle_version;
    hello->members = fleet_members_digest(fleet);
    upstream_digests(fleet->upstreams, hello->upstreams);
    hall_pack(&fleet->upstreams->halls, room, &halls);
    hello->halls = halls.revision != 0 ? &halls : NULL;
    fleet_send(fleet, to, &msg);
}

/* Tells another node what this one knows. A node that begins does not want
 * what it lacks of all whom it greets, or each would send all of it. */
void
fleet_send_hello(struct fleet *fleet, uint32_t to, bool reply)
{
    send_hello(fleet, to, reply, fleet->settled || fault_is(FAULT_NO_ASK));
}

/* Asks another node for what this one lacks. */
void
fleet_ask(struct fleet *fleet, uint32_t to)
{
    send_hello(fleet, to, false, true);
}

/* Sends all members. */
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

/* LEADER: tells all members who is new. */
void
fleet_push_joined(struct fleet *fleet)
{
    wire_node *nodes = g_new0(wire_node, fleet->joined->len);
    wire_msg msg = {.kind = WIRE_MEMBERS};
    wire_members *out = &msg.wire_msg_u.members;

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

/* Sends records of upstreams, in as many messages as they need. */
void
fleet_send_upstreams(struct fleet *fleet, uint32_t to, wire_upstream *records,
                     guint count)
{
    for (guint at = 0; at < count; at += RECORDS_A_MESSAGE) {
        wire_msg msg = {.kind = WIRE_UPSTREAMS};

        msg.wire_msg_u.upstreams.list.list_val = records + at;
        msg.wire_msg_u.upstreams.list.list_len =
            MIN(count - at, RECORDS_A_MESSAGE);
        fleet_send(fleet, to, &msg);
    }
}

/* Owes the members to the node of a hello. The leader's list is whole; while
 * none leads, any node helps one that begins. Who is new is told to all, so a
 * settled node is owed the list only when it still lacks it at its next
 * hello. */
void
fleet_owe_members(struct fleet *fleet, const wire_hello *hello,
                  struct fleet_member *member)
{
    bool differs = hello->members != fleet_members_digest(fleet);
    bool begins = (hello->flags & WIRE_HELLO_SETTLED) == 0;

    if (differs &&
        (begins ? fleet->leads_since != 0 || fleet->leader == 0
                : fleet->leads_since != 0 && member->lacks_members)) {
        fleet_owe(fleet, hello->self.address, FLEET_OWE_MEMBERS, begins);
    }
    member->lacks_members = differs;
}

/* Takes a node's word about an upstream. */
void
fleet_take_doubt(struct fleet *fleet, uint64_t now, const wire_doubt *doubt)
{
    if (doubt->too_soon) {
        upstream_report_outlier(fleet->upstreams, now, doubt->id, doubt->node);
    }
    else {
        upstream_report_suspicion(fleet->upstreams, now, doubt->id,
                                  doubt->node, doubt->quiet_ms);
    }
}

/* Tells this node's doubts to the nodes that hear those upstreams. */
static void
send_doubts(struct fleet *fleet, uint64_t now)
{
    struct upstream_set *set = fleet->upstreams;

    for (guint i = 0; i < set->suspicions->len; i++) {
        const struct upstream_suspicion *doubt =
            &g_array_index(set->suspicions, struct upstream_suspicion, i);
        const struct upstream *u = upstream_by_id(set, doubt->id);
        wire_msg msg = {.kind = WIRE_DOUBT};

        if (u == NULL) {
            continue;
        }
        msg.wire_msg_u.doubt.node = fleet->self.address;
        msg.wire_msg_u.doubt.id = doubt->id;
        msg.wire_msg_u.doubt.quiet_ms = doubt->quiet_ms;
        msg.wire_msg_u.doubt.too_soon = doubt->outlier;
        fleet_send(fleet, u->keeper, &msg);
        fleet_take_doubt(fleet, now, &msg.wire_msg_u.doubt);
    }
    g_array_set_size(set->suspicions, 0);
}

/* Asks two members drawn by lot, and the leader, for upstreams that this node
 * is not sure of. */
static void
ask_unsure(struct fleet *fleet)
{
    GArray *unsure = fleet->upstreams->queries;
    wire_msg msg = {.kind = WIRE_NEED};
    wire_need *need = &msg.wire_msg_u.need;

    if (unsure->len == 0) {
        return;
    }
    need->node = fleet->self.address;
    need->tokens.tokens_val = (u_int *)(void *)unsure->data;
    need->tokens.tokens_len = MIN(unsure->len, WIRE_MARKS_MAX);
    fleet_send(fleet, fleet_random_member(fleet), &msg);
    fleet_send(fleet, fleet_random_member(fleet), &msg);
    fleet_send(fleet, fleet->leader, &msg);
    g_array_set_size(unsure, 0);
}

/* Sends what changed in the inventory on its way. */
void
fleet_spread(struct fleet *fleet, uint64_t now)
{
    GArray *changed = fleet->upstreams->changed;

    send_doubts(fleet, now);
    ask_unsure(fleet);
    fleet_resolve_now(fleet, now);
    for (guint i = 0; i < changed->len; i++) {
        fleet_relay_tell(fleet, now, g_array_index(changed, uint64_t, i));
    }
    g_array_set_size(changed, 0);
    fleet_relay_move(fleet, now);
}
