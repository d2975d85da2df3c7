/*
 * Members, the leader, and the spreading of tables and upstreams. Knows
 * nothing of sockets, consensus or packets.
 */
#include "fleet.h"

#include <string.h>

#include "codec.h"
#include "hash.h"
#include "random.h"

/* Records of upstreams in one message: about 100 bytes each, so that it
 * stays well inside one datagram. */
#define RECORDS_A_MESSAGE 200
/* An upstream whose keeper is lost has this many intervals to be heard by
 * another node. */
#define ADOPT_INTERVALS 4

/* Adds an action. */
static struct fleet_action *
act(struct fleet *fleet, enum fleet_action_kind kind)
{
    struct fleet_action action = {.kind = kind};

    g_array_append_val(fleet->actions, action);
    return &g_array_index(fleet->actions, struct fleet_action,
                          fleet->actions->len - 1);
}

/* Sends a message. */
static void
send_to(struct fleet *fleet, uint32_t to, wire_msg *msg)
{
    struct fleet_action *action;

    if (to == fleet->self.address || to == 0) {
        return;
    }
    action = act(fleet, FLEET_SEND);
    action->to = to;
    action->bytes = codec_encode(msg);
}

/* Digest of the members: who, and which start of it. */
static uint64_t
members_digest(const struct fleet *fleet)
{
    uint64_t digest =
        hash_pair(HASH_RANK, fleet->self.address, fleet->self.incarnation);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        digest += hash_pair(HASH_RANK, member->node.address,
                            member->node.incarnation);
    }
    return digest;
}

/* Tells another node what this one knows. */
static void
send_hello(struct fleet *fleet, uint32_t to, bool reply)
{
    wire_msg msg = {.kind = WIRE_HELLO};
    wire_hello *hello = &msg.wire_msg_u.hello;

    hello->self = fleet->self;
    hello->reply = reply;
    hello->settled = fleet->settled;
    hello->term = fleet->term;
    hello->leader = fleet->leader;
    hello->routes = fleet->routes.bundle_version;
    hello->members = members_digest(fleet);
    upstream_digests(fleet->upstreams, hello->upstreams);
    send_to(fleet, to, &msg);
}

/* Sends the table in force. */
static void
send_routes(struct fleet *fleet, uint32_t to)
{
    wire_msg msg = {.kind = WIRE_ROUTES, .wire_msg_u.routes = fleet->routes};

    send_to(fleet, to, &msg);
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
    send_to(fleet, to, &msg);
    g_free(nodes);
}

/* Sends records of upstreams, in as many messages as they need. */
static void
send_upstreams(struct fleet *fleet, uint32_t to, wire_upstream *records,
               guint count)
{
    for (guint at = 0; at < count; at += RECORDS_A_MESSAGE) {
        wire_msg msg = {.kind = WIRE_UPSTREAMS};

        msg.wire_msg_u.upstreams.list.list_val = records + at;
        msg.wire_msg_u.upstreams.list.list_len =
            MIN(count - at, RECORDS_A_MESSAGE);
        send_to(fleet, to, &msg);
    }
}

/* Sends the records of those buckets in which the other node differs. */
static void
send_differing(struct fleet *fleet, uint64_t now, uint32_t to,
               const uint32_t theirs[WIRE_BUCKETS])
{
    struct upstream_set *set = fleet->upstreams;
    wire_upstream *records = g_new0(wire_upstream, set->all->len);
    uint32_t own[WIRE_BUCKETS];
    guint count = 0;

    upstream_digests(set, own);
    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);
        uint32_t bucket = u->token % WIRE_BUCKETS;

        if (own[bucket] != theirs[bucket]) {
            upstream_pack(set, now, u, &records[count++]);
        }
    }
    send_upstreams(fleet, to, records, count);
    g_free(records);
}

/* Starts alone. */
void
fleet_open(struct fleet *fleet, uint64_t now,
           const struct fleet_options *options, struct upstream_set *upstreams)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->self.address = options->address;
    fleet->self.incarnation = options->incarnation;
    fleet->self.identity = options->identity;
    fleet->first_start = options->first_start;
    fleet->random = options->seed;
    fleet->started_at = now;
    fleet->hello_at = now;
    fleet->upstreams = upstreams;
    fleet->members =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    fleet->actions = g_array_new(FALSE, TRUE, sizeof(struct fleet_action));
    fleet->joined = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

/* Frees it. */
void
fleet_close(struct fleet *fleet)
{
    fleet_clear(fleet);
    g_hash_table_destroy(fleet->members);
    g_array_free(fleet->actions, TRUE);
    g_array_free(fleet->joined, TRUE);
    g_free(fleet->routes.packed.packed_val);
}

/* Sets whom to ask first. */
void
fleet_set_seeds(struct fleet *fleet, const uint32_t *seeds, size_t count)
{
    fleet->seed_count = MIN(count, FLEET_SEEDS_MAX);
    memcpy(fleet->seeds, seeds, fleet->seed_count * sizeof(*seeds));
}

/* Notes a node that is known from elsewhere. */
void
fleet_add_contact(struct fleet *fleet, uint32_t address)
{
    for (size_t i = 0; i < fleet->seed_count; i++) {
        if (fleet->seeds[i] == address) {
            return;
        }
    }
    if (fleet->seed_count < FLEET_SEEDS_MAX) {
        fleet->seeds[fleet->seed_count++] = address;
    }
}

/* A node that heard upstreams is lost, or began anew without what it knew. */
static void
lose_keeper(struct fleet *fleet, uint64_t now, uint32_t address)
{
    upstream_adopt(fleet->upstreams, address,
                   now + ADOPT_INTERVALS * fleet->upstreams->interval_ms);
}

/* LEADER: a node is new, or began anew; all are told. */
static void
note_joined(struct fleet *fleet, uint32_t address)
{
    if (fleet->leads_since != 0) {
        g_array_append_val(fleet->joined, address);
    }
}

/* Notes a member. */
static void
note_member(struct fleet *fleet, uint64_t now, const wire_node *node,
            bool heard)
{
    gpointer key = GUINT_TO_POINTER(node->address);
    struct fleet_member *member = g_hash_table_lookup(fleet->members, key);

    if (node->address == fleet->self.address || node->address == 0) {
        return;
    }
    if (member == NULL) {
        member = g_new0(struct fleet_member, 1);
        member->heard_at = now;
        g_hash_table_insert(fleet->members, key, member);
        note_joined(fleet, node->address);
    }
    else if (member->node.incarnation != node->incarnation) {
        if (!heard) {
            return;
        }
        lose_keeper(fleet, now, node->address);
        note_joined(fleet, node->address);
    }
    member->node = *node;
    if (heard) {
        member->heard_at = now;
    }
}

/* Takes another node's word about the leader. */
static void
note_leader(struct fleet *fleet, uint64_t now, uint64_t term, uint32_t leader,
            bool first_hand)
{
    if (fleet->leads_since != 0 || leader == 0 || term < fleet->term ||
        leader == fleet->self.address) {
        return;
    }
    if (term > fleet->term || fleet->leader == 0) {
        fleet->term = term;
        fleet->leader = leader;
        fleet->leader_heard_at = now;
        send_hello(fleet, leader, false);
    }
    if (first_hand && leader == fleet->leader) {
        fleet->leader_heard_at = now;
    }
}

/* Says who leads. */
void
fleet_set_leader(struct fleet *fleet, uint64_t now, uint64_t term,
                 uint32_t leader)
{
    if (leader != fleet->self.address) {
        fleet->leads_since = 0;
        note_leader(fleet, now, term, leader, true);
        if (leader == 0 && fleet->leader == fleet->self.address) {
            fleet->leader = 0;
        }
        return;
    }
    if (fleet->leads_since == 0) {
        fleet->leads_since = now;
        fleet->push_at = now;
    }
    fleet->term = term;
    fleet->leader = leader;
    fleet->leader_heard_at = now;
}

/* Takes a table. */
bool
fleet_set_routes(struct fleet *fleet, uint64_t now, const wire_routes *routes)
{
    wire_routes *own = &fleet->routes;

    if (routes->bundle_version <= own->bundle_version) {
        return false;
    }
    g_free(own->packed.packed_val);
    *own = *routes;
    own->packed.packed_val =
        g_memdup2(routes->packed.packed_val, routes->packed.packed_len);
    if (fleet->leads_since != 0) {
        fleet->push_at = MAX(now, fleet->pushed_at + FLEET_PUSH_MS);
    }
    act(fleet, FLEET_TABLE)->version = own->bundle_version;
    return true;
}

/* Announces the end of this node. */
void
fleet_stop(struct fleet *fleet, uint64_t now)
{
    fleet->self.stopping = true;
    fleet->hello_at = now;
}

/* A member drawn by lot, 0 when there is none. */
static uint32_t
random_member(struct fleet *fleet)
{
    guint size = g_hash_table_size(fleet->members);
    guint pick = size > 0 ? (guint)(random_next(&fleet->random) % size) : 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (pick-- == 0) {
            return ((struct fleet_member *)value)->node.address;
        }
    }
    return 0;
}

/* Greets the seeds, and the disks that are known, to find a leader. */
static void
seek(struct fleet *fleet)
{
    GHashTableIter iter;
    gpointer value;

    for (size_t i = 0; i < fleet->seed_count; i++) {
        send_hello(fleet, fleet->seeds[i], false);
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (member->node.identity != 0) {
            send_hello(fleet, member->node.address, false);
        }
    }
}

/* Says whether this node names the founder: the lowest of the seeds does,
 * which are the same for all at the first start. */
static bool
names_founder(const struct fleet *fleet)
{
    for (size_t i = 0; i < fleet->seed_count; i++) {
        if (fleet->seeds[i] < fleet->self.address) {
            return false;
        }
    }
    return fleet->first_start && fleet->seed_count > 0;
}

/* Names the disk that founds the quorum: the own one, else the lowest. Once
 * named, the same is asked again until it leads. */
static void
name_founder(struct fleet *fleet)
{
    GHashTableIter iter;
    gpointer value;
    const struct fleet_member *lowest = NULL;
    wire_msg msg = {.kind = WIRE_FOUND};

    if (fleet->self.identity != 0 && fleet->founder == 0) {
        fleet->founder = fleet->self.address;
        (void)act(fleet, FLEET_FOUND);
        return;
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (member->node.identity != 0 &&
            (fleet->founder == 0 || fleet->founder == member->node.address) &&
            (lowest == NULL || member->node.address < lowest->node.address)) {
            lowest = member;
        }
    }
    if (lowest != NULL) {
        fleet->founder = lowest->node.address;
        msg.wire_msg_u.found.identity = lowest->node.identity;
        send_to(fleet, fleet->founder, &msg);
    }
}

/* LEADER: watches upstreams whose keeper is no member; after a loss of power
 * on all nodes their records come from disks. */
static void
watch_unkept(struct fleet *fleet, uint64_t now)
{
    const struct upstream_set *set = fleet->upstreams;

    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);

        if (u->expire_at == 0 && u->state < UPSTREAM_SILENT &&
            u->keeper != fleet->self.address &&
            !g_hash_table_contains(fleet->members,
                                   GUINT_TO_POINTER(u->keeper))) {
            lose_keeper(fleet, now, u->keeper);
        }
    }
}

/* LEADER: drops members that are silent. */
static void
drop_lost(struct fleet *fleet, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        uint64_t since = MAX(member->heard_at, fleet->leads_since);

        if (now > since + FLEET_LOST_MS) {
            lose_keeper(fleet, now, member->node.address);
            g_hash_table_iter_remove(&iter);
        }
    }
    if (now > fleet->leads_since + FLEET_LOST_MS) {
        watch_unkept(fleet, now);
    }
}

/* LEADER: tells all members who is new. */
static void
push_joined(struct fleet *fleet)
{
    wire_node *nodes = g_new0(wire_node, fleet->joined->len);
    wire_msg msg = {.kind = WIRE_MEMBERS};
    wire_members *out = &msg.wire_msg_u.members;
    GHashTableIter iter;
    gpointer value;

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
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        send_to(fleet, ((struct fleet_member *)value)->node.address, &msg);
    }
    g_free(nodes);
}

/* LEADER: pushes the table to all members. */
static void
push_routes(struct fleet *fleet, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    fleet->push_at = 0;
    fleet->pushed_at = now;
    if (fleet->routes.bundle_version == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        send_routes(fleet, ((struct fleet_member *)value)->node.address);
    }
}

/* Compares this node with others. */
static void
greet(struct fleet *fleet, uint64_t now)
{
    bool lost =
        fleet->leads_since == 0 &&
        (fleet->leader == 0 || now > fleet->leader_heard_at + FLEET_LEADER_MS);

    if (lost) {
        fleet->leader = 0;
        seek(fleet);
        if (names_founder(fleet) &&
            now >= fleet->started_at + FLEET_FOUND_MS) {
            name_founder(fleet);
        }
    }
    else {
        send_hello(fleet, fleet->leader, false);
    }
    send_hello(fleet, random_member(fleet), false);
    fleet->hello_at =
        now + (lost || !fleet->settled ? FLEET_SEEK_MS : FLEET_HELLO_MS);
}

/* Lets time pass. */
void
fleet_tick(struct fleet *fleet, uint64_t now)
{
    if (fleet->leads_since != 0) {
        drop_lost(fleet, now);
        if (fleet->joined->len > 0) {
            push_joined(fleet);
        }
        if (fleet->push_at != 0 && now >= fleet->push_at) {
            push_routes(fleet, now);
        }
    }
    if (now >= fleet->hello_at) {
        greet(fleet, now);
    }
}

/* Says whether a hello shows the same inventory. */
static bool
same_upstreams(const struct fleet *fleet, const wire_hello *hello)
{
    uint32_t own[WIRE_BUCKETS];

    upstream_digests(fleet->upstreams, own);
    return memcmp(own, hello->upstreams, sizeof(own)) == 0;
}

/* Says whether this node could serve: two nodes that both began empty agree
 * too, and know nothing. */
static bool
knows_something(const struct fleet *fleet)
{
    return fleet->routes.bundle_version != 0 && fleet->upstreams->all->len > 0;
}

/* Says whether this node holds enough to serve. */
static bool
is_settled(const struct fleet *fleet, uint64_t now, const wire_hello *hello,
           bool same)
{
    if (hello->routes > fleet->routes.bundle_version ||
        (fleet->leader == 0 && !knows_something(fleet))) {
        return false;
    }
    return same ||
           (now > fleet->met_at + FLEET_SETTLE_MS && knows_something(fleet));
}

/* Sends upstreams that the other lacks. What changed a moment ago is on its
 * way to all already, so a settled node is sent them only when it still lacks
 * them at its next hello. */
static void
send_lacking_upstreams(struct fleet *fleet, uint64_t now,
                       const wire_hello *hello, struct fleet_member *member,
                       bool same)
{
    if (!same && (!hello->settled || member->lacks_upstreams)) {
        send_differing(fleet, now, hello->self.address, hello->upstreams);
    }
    member->lacks_upstreams = !same;
}

/* Sends the list of members, by the same rule. */
static void
send_lacking_members(struct fleet *fleet, const wire_hello *hello,
                     struct fleet_member *member)
{
    bool differs = hello->members != members_digest(fleet) &&
                   (fleet->leads_since != 0 || fleet->leader == 0);

    if (differs && (!hello->settled || member->lacks_members)) {
        send_members(fleet, hello->self.address);
    }
    member->lacks_members = differs;
}

/* Takes a hello: sends what the other lacks. */
static void
take_hello(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    bool same = same_upstreams(fleet, hello);
    uint32_t from = hello->self.address;
    struct fleet_member *member;

    note_member(fleet, now, &hello->self, true);
    member = g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(from));
    if (member == NULL) {
        return;
    }
    if (fleet->met_at == 0) {
        fleet->met_at = now;
    }
    if (hello->self.identity != 0) {
        act(fleet, FLEET_DISK)->node = hello->self;
    }
    note_leader(fleet, now, hello->term, hello->leader, hello->leader == from);
    if (hello->routes < fleet->routes.bundle_version) {
        send_routes(fleet, from);
    }
    send_lacking_upstreams(fleet, now, hello, member, same);
    if (is_settled(fleet, now, hello, same)) {
        fleet->settled = true;
    }
    send_lacking_members(fleet, hello, member);
    if (!hello->reply) {
        send_hello(fleet, from, true);
    }
}

/* Says whether a list of nodes holds an address. */
static bool
lists(const wire_members *members, uint32_t address)
{
    for (u_int i = 0; i < members->nodes.nodes_len; i++) {
        if (members->nodes.nodes_val[i].address == address) {
            return true;
        }
    }
    return false;
}

/* Takes a list of members; the leader's is whole. */
static void
take_members(struct fleet *fleet, uint64_t now, const wire_members *members)
{
    GHashTableIter iter;
    gpointer value;

    if (members->term < fleet->term || fleet->leads_since != 0) {
        return;
    }
    for (u_int i = 0; i < members->nodes.nodes_len; i++) {
        note_member(fleet, now, &members->nodes.nodes_val[i],
                    members->extent != WIRE_SOME);
    }
    if (members->extent != WIRE_WHOLE) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (!lists(members, member->node.address)) {
            lose_keeper(fleet, now, member->node.address);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Takes records of upstreams. */
static void
take_upstreams(struct fleet *fleet, uint64_t now,
               const wire_upstreams *upstreams)
{
    for (u_int i = 0; i < upstreams->list.list_len; i++) {
        (void)upstream_merge(fleet->upstreams, now,
                             &upstreams->list.list_val[i]);
    }
}

/* Takes a message. */
void
fleet_receive(struct fleet *fleet, uint64_t now, const wire_msg *msg)
{
    switch ((int)msg->kind) {
    case WIRE_HELLO:
        take_hello(fleet, now, &msg->wire_msg_u.hello);
        return;
    case WIRE_MEMBERS:
        take_members(fleet, now, &msg->wire_msg_u.members);
        return;
    case WIRE_UPSTREAMS:
        take_upstreams(fleet, now, &msg->wire_msg_u.upstreams);
        return;
    case WIRE_ROUTES:
        (void)fleet_set_routes(fleet, now, &msg->wire_msg_u.routes);
        return;
    case WIRE_FOUND:
        if (msg->wire_msg_u.found.identity == fleet->self.identity) {
            (void)act(fleet, FLEET_FOUND);
        }
        return;
    }
}

/* Pushes what changed in the inventory. */
void
fleet_spread(struct fleet *fleet, uint64_t now)
{
    struct upstream_set *set = fleet->upstreams;
    wire_upstream *records = g_new0(wire_upstream, set->changed->len);
    GHashTableIter iter;
    gpointer value;
    guint count = 0;

    for (guint i = 0; i < set->changed->len; i++) {
        const struct upstream *u =
            upstream_by_id(set, g_array_index(set->changed, uint64_t, i));

        if (u != NULL) {
            upstream_pack(set, now, u, &records[count++]);
        }
    }
    g_array_set_size(set->changed, 0);
    g_hash_table_iter_init(&iter, fleet->members);
    while (count > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        send_upstreams(fleet, ((struct fleet_member *)value)->node.address,
                       records, count);
    }
    g_free(records);
}

/* Earliest deadline. */
uint64_t
fleet_deadline(const struct fleet *fleet)
{
    return fleet->push_at != 0 ? MIN(fleet->push_at, fleet->hello_at)
                               : fleet->hello_at;
}

/* Gives the actions. */
struct fleet_action *
fleet_actions(struct fleet *fleet, size_t *count)
{
    *count = fleet->actions->len;
    return (struct fleet_action *)(void *)fleet->actions->data;
}

/* Forgets the actions. */
void
fleet_clear(struct fleet *fleet)
{
    for (guint i = 0; i < fleet->actions->len; i++) {
        struct fleet_action *action =
            &g_array_index(fleet->actions, struct fleet_action, i);

        if (action->bytes != NULL) {
            g_byte_array_unref(action->bytes);
        }
    }
    g_array_set_size(fleet->actions, 0);
}
