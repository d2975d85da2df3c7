/*
 * What a node tells others: hellos, and members and upstreams that changed or
 * that another node lacks.
 */
#include "fleet-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* Records of upstreams in one message: about 100 bytes each, so that it
 * stays well inside one datagram. */
#define RECORDS_A_MESSAGE 200
/* An inventory of no more records than this is sent without asking: all of it
 * is no larger than the messages about it on a calm second. */
#define RECORDS_FEW 40
/* In place of a node's address, which is never 0: every member. */
#define TO_ALL 0

/* Sends an encoded message, which is shared. */
static void
send_bytes(struct fleet *fleet, uint32_t to, GByteArray *bytes)
{
    struct fleet_action *action = fleet_act(fleet, FLEET_SEND);

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
    send_bytes(fleet, to, bytes);
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
        send_bytes(fleet, ((struct fleet_member *)value)->node.address, bytes);
    }
    g_byte_array_unref(bytes);
}

/* Sends what this node knows. */
static void
send_hello(struct fleet *fleet, uint32_t to, bool reply, bool wants)
{
    wire_msg msg = {.kind = WIRE_HELLO};
    wire_hello *hello = &msg.wire_msg_u.hello;

    hello->self = fleet->self;
    hello->reply = reply;
    hello->settled = fleet->settled;
    hello->wants = wants;
    hello->term = fleet->term;
    hello->leader = fleet->leader;
    hello->routes = fleet->routes.bundle_version;
    hello->members = fleet_members_digest(fleet);
    upstream_digests(fleet->upstreams, hello->upstreams);
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
static void
send_members(struct fleet *fleet, uint32_t to)
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

/* Sends records of upstreams, in as many messages as they need, to one node or
 * to TO_ALL. */
static void
send_upstreams(struct fleet *fleet, uint32_t to, wire_upstream *records,
               guint count)
{
    for (guint at = 0; at < count; at += RECORDS_A_MESSAGE) {
        wire_msg msg = {.kind = WIRE_UPSTREAMS};

        msg.wire_msg_u.upstreams.list.list_val = records + at;
        msg.wire_msg_u.upstreams.list.list_len =
            MIN(count - at, RECORDS_A_MESSAGE);
        if (to == TO_ALL) {
            send_to_all(fleet, &msg);
        }
        else {
            fleet_send(fleet, to, &msg);
        }
    }
}

/* Sends what this node holds in short, in as many messages as it needs. */
static void
send_marks(struct fleet *fleet, uint32_t to, wire_mark *marks, guint count)
{
    for (guint at = 0; at < count; at += WIRE_MARKS_MAX) {
        wire_msg msg = {.kind = WIRE_SUMMARY};

        msg.wire_msg_u.summary.node = fleet->self.address;
        msg.wire_msg_u.summary.list.list_val = marks + at;
        msg.wire_msg_u.summary.list.list_len = MIN(count - at, WIRE_MARKS_MAX);
        fleet_send(fleet, to, &msg);
    }
}

/* Sends what the other node may lack, of the buckets in which it differs: the
 * records where these are few or it has none at all there, else their marks,
 * and it asks for what it needs. A record has 40 bytes and two names, a mark
 * has 8: a node that lacks 16 of 640 records costs 8 KB instead of 20
 * (simulated time). */
static void
send_differing(struct fleet *fleet, uint64_t now, uint32_t to,
               const uint32_t theirs[WIRE_BUCKETS])
{
    struct upstream_set *set = fleet->upstreams;
    wire_upstream *records = g_new0(wire_upstream, set->all->len);
    wire_mark *marks = g_new0(wire_mark, set->all->len);
    uint32_t own[WIRE_BUCKETS];
    guint record_count = 0;
    guint mark_count = 0;

    upstream_digests(set, own);
    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);
        uint32_t bucket = u->token % WIRE_BUCKETS;

        if (own[bucket] == theirs[bucket]) {
            continue;
        }
        if (theirs[bucket] == 0 || set->all->len <= RECORDS_FEW) {
            upstream_pack(set, now, u, &records[record_count++]);
        }
        else {
            marks[mark_count++] = (wire_mark){u->token, upstream_mark(u)};
        }
    }
    send_upstreams(fleet, to, records, record_count);
    send_marks(fleet, to, marks, mark_count);
    g_free(records);
    g_free(marks);
}

/* Asks for the records that differ from what another node holds. */
void
fleet_take_summary(struct fleet *fleet, const wire_summary *summary)
{
    u_int *tokens = g_new0(u_int, summary->list.list_len);
    wire_msg msg = {.kind = WIRE_NEED};
    wire_need *need = &msg.wire_msg_u.need;

    need->node = fleet->self.address;
    need->tokens.tokens_val = tokens;
    for (u_int i = 0; i < summary->list.list_len; i++) {
        const wire_mark *mark = &summary->list.list_val[i];
        const struct upstream *u =
            upstream_by_token(fleet->upstreams, mark->token);

        if (u == NULL || upstream_mark(u) != mark->about) {
            tokens[need->tokens.tokens_len++] = mark->token;
        }
    }
    if (need->tokens.tokens_len > 0) {
        fleet_send(fleet, summary->node, &msg);
    }
    g_free(tokens);
}

/* Sends the records that another node asks for. */
void
fleet_take_need(struct fleet *fleet, uint64_t now, const wire_need *need)
{
    struct upstream_set *set = fleet->upstreams;
    wire_upstream *records = g_new0(wire_upstream, need->tokens.tokens_len);
    guint count = 0;

    for (u_int i = 0; i < need->tokens.tokens_len; i++) {
        const struct upstream *u =
            upstream_by_token(set, need->tokens.tokens_val[i]);

        if (u != NULL) {
            upstream_pack(set, now, u, &records[count++]);
        }
    }
    if (need->node != TO_ALL) {
        send_upstreams(fleet, need->node, records, count);
    }
    g_free(records);
}

/* Says whether the sender of a hello knows any upstream. */
bool
fleet_has_upstreams(const wire_hello *hello)
{
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        if (hello->upstreams[i] != 0) {
            return true;
        }
    }
    return false;
}

/* Says whether a hello shows the same inventory. */
bool
fleet_has_same_upstreams(const struct fleet *fleet, const wire_hello *hello)
{
    uint32_t own[WIRE_BUCKETS];

    upstream_digests(fleet->upstreams, own);
    return memcmp(own, hello->upstreams, sizeof(own)) == 0;
}

/* Sends upstreams that the other lacks. What changed a moment ago is on its
 * way to all already, so a settled node is sent them only when it still lacks
 * them at its next hello. */
void
fleet_send_lacking_upstreams(struct fleet *fleet, uint64_t now,
                             const wire_hello *hello,
                             struct fleet_member *member, bool same)
{
    if (!same && (!hello->settled || member->lacks_upstreams)) {
        send_differing(fleet, now, hello->self.address, hello->upstreams);
    }
    member->lacks_upstreams = !same;
}

/* Sends the list of members, by the same rule. */
void
fleet_send_lacking_members(struct fleet *fleet, const wire_hello *hello,
                           struct fleet_member *member)
{
    bool differs = hello->members != fleet_members_digest(fleet) &&
                   (fleet->leads_since != 0 || fleet->leader == 0);

    if (differs && (!hello->settled || member->lacks_members)) {
        send_members(fleet, hello->self.address);
    }
    member->lacks_members = differs;
}

/* Tells this node's doubts to the nodes that hear those upstreams. */
static void
send_doubts(struct fleet *fleet, uint64_t now)
{
    struct upstream_set *set = fleet->upstreams;

    for (guint i = 0; i < set->doubted->len; i++) {
        const struct upstream_doubt *doubt =
            &g_array_index(set->doubted, struct upstream_doubt, i);
        const struct upstream *u = upstream_by_id(set, doubt->id);
        wire_msg msg = {.kind = WIRE_DOUBT};

        if (u == NULL) {
            continue;
        }
        msg.wire_msg_u.doubt.node = fleet->self.address;
        msg.wire_msg_u.doubt.id = doubt->id;
        msg.wire_msg_u.doubt.quiet_ms = doubt->quiet_ms;
        fleet_send(fleet, u->keeper, &msg);
        upstream_take_doubt(set, now, doubt->id, fleet->self.address,
                            doubt->quiet_ms);
    }
    g_array_set_size(set->doubted, 0);
}

/* Pushes what changed in the inventory. */
void
fleet_spread(struct fleet *fleet, uint64_t now)
{
    struct upstream_set *set = fleet->upstreams;
    wire_upstream *records;
    guint count = 0;

    send_doubts(fleet, now);
    if (set->changed->len == 0) {
        return;
    }
    records = g_new0(wire_upstream, set->changed->len);
    for (guint i = 0; i < set->changed->len; i++) {
        const struct upstream *u =
            upstream_by_id(set, g_array_index(set->changed, uint64_t, i));

        if (u != NULL) {
            upstream_pack(set, now, u, &records[count++]);
        }
    }
    g_array_set_size(set->changed, 0);
    send_upstreams(fleet, TO_ALL, records, count);
    g_free(records);
}
