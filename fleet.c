/*
 * The life of a node in its fleet: whom it greets, who leads, who founds the
 * quorum, and what a hello tells. Knows nothing of sockets, consensus or
 * packets.
 */
#include "fleet-internal.h"

#include <string.h>

#include "fault.h"

/* LEADER: between two looks for members that are lost: it walks all members
 * and upstreams, and FLEET_LOST_MS is long beside it. */
#define WATCH_MS 250U

/* Adds an action. */
struct fleet_action *
fleet_act(struct fleet *fleet, enum fleet_action_kind kind)
{
    struct fleet_action action = {.kind = kind};

    g_array_append_val(fleet->actions, action);
    return &g_array_index(fleet->actions, struct fleet_action,
                          fleet->actions->len - 1);
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
    fleet->self.hall = options->hall;
    fleet->self.link_kbit_s = (u_int)MIN(options->link_kbit_s, UINT32_MAX);
    fleet->first_start = options->first_start;
    fleet->random = options->seed;
    fleet->started_at = now;
    fleet->hello_at = now;
    fleet->upstreams = upstreams;
    fleet->addresses = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet->neighbours = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet->members =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    fleet->actions = g_array_new(FALSE, TRUE, sizeof(struct fleet_action));
    fleet->joined = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet->unheard = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet->sought = g_array_new(FALSE, FALSE, sizeof(struct fleet_sought));
    fleet->owed = g_array_new(FALSE, FALSE, sizeof(struct fleet_owed));
    fleet->bulk_bytes_ms =
        (uint32_t)(options->link_kbit_s / 8 / FLEET_BULK_SHARE);
    fleet_relay_open(fleet, options->seed);
}

/* Frees it. */
void
fleet_close(struct fleet *fleet)
{
    fleet_clear(fleet);
    g_hash_table_destroy(fleet->members);
    g_array_free(fleet->addresses, TRUE);
    g_array_free(fleet->neighbours, TRUE);
    g_array_free(fleet->actions, TRUE);
    g_array_free(fleet->joined, TRUE);
    g_array_free(fleet->unheard, TRUE);
    g_array_free(fleet->sought, TRUE);
    g_array_free(fleet->owed, TRUE);
    fleet_relay_close(fleet);
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

/* Takes another node's word about the leader. */
static void
note_leader(struct fleet *fleet, uint64_t now, uint64_t term, uint32_t leader,
            bool first_hand)
{
    fleet->founded = fleet->founded || term != 0;
    if (fleet->leads_since != 0 || leader == 0 || term < fleet->term ||
        leader == fleet->self.address) {
        return;
    }
    if (term > fleet->term || fleet->leader == 0) {
        fleet->term = term;
        fleet->leader = leader;
        fleet->leader_heard_at = now;
        fleet_send_hello(fleet, leader, false);
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
        /* Whoever leads pushes; kept here, the deadline would never be met
         * and the loop would turn without a pause. */
        fleet->push_at = 0;
        note_leader(fleet, now, term, leader, true);
        if (leader == 0 && fleet->leader == fleet->self.address) {
            fleet->leader = 0;
        }
        return;
    }
    if (fleet->leads_since == 0) {
        fleet->leads_since = now;
        fleet->push_at = now;
        fleet->joined_at = MAX(now, fleet->joined_at);
        /* The leader before may have ended between the two. */
        if (fleet->upstreams->halls.revision != 0) {
            fleet_push_halls(fleet);
        }
    }
    fleet->term = term;
    fleet->founded = true;
    fleet->leader = leader;
    fleet->leader_heard_at = now;
}

/* Takes a committed table. */
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
    fleet_act(fleet, FLEET_TABLE)->version = own->bundle_version;
    return true;
}

/* Takes which halls are emptied from another node, or from the own voter. */
static bool
take_halls(struct fleet *fleet, uint64_t now, const wire_halls *halls)
{
    if (!upstream_drain_halls(fleet->upstreams, now, halls)) {
        return false;
    }
    fleet_act(fleet, FLEET_HALLS);
    return true;
}

/* Takes committed orders about halls. */
bool
fleet_set_halls(struct fleet *fleet, uint64_t now,
                const struct hall_set *halls)
{
    wire_hall room[HALL_MAX];
    wire_halls packed;

    hall_pack(halls, room, &packed);
    if (!take_halls(fleet, now, &packed)) {
        return false;
    }
    if (fleet->leads_since != 0) {
        fleet_push_halls(fleet);
    }
    return true;
}

/* Nodes that hold the emptied halls of this node's list. */
guint
fleet_count_halls_in_force(const struct fleet *fleet)
{
    uint64_t revision = fleet->upstreams->halls.revision;
    guint count = 1;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((struct fleet_member *)value)->halls >= revision;
    }
    return count;
}

/* Announces the end of this node. */
void
fleet_stop(struct fleet *fleet, uint64_t now)
{
    fleet->self.stopping = true;
    fleet->hello_at = now;
}

/* Greets the seeds, and the disks that are known, to find a leader. */
static void
seek(struct fleet *fleet)
{
    GHashTableIter iter;
    gpointer value;

    for (size_t i = 0; i < fleet->seed_count; i++) {
        fleet_send_hello(fleet, fleet->seeds[i], false);
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (member->node.identity != 0) {
            fleet_send_hello(fleet, member->node.address, false);
        }
    }
}

/* Says whether this node names the founder: the lowest of the seeds does,
 * which are the same for all at the first start. Once a leader was known the
 * deployment is founded; that none is heard now says nothing of it, and a
 * founder that lost its disk would found a second quorum, by the identity that
 * it had in the first. */
static bool
names_founder(const struct fleet *fleet)
{
    if (fleet->founded && !fault_is(FAULT_FOUND_AGAIN)) {
        return false;
    }
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
        (void)fleet_act(fleet, FLEET_FOUND);
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
        fleet_send(fleet, fleet->founder, &msg);
    }
}

/* Time until this node greets others again. */
static uint64_t
pause_of(const struct fleet *fleet, bool lost)
{
    if (!fleet->settled) {
        return FLEET_SEEK_MS;
    }
    return lost ? FLEET_SEEK_SETTLED_MS : FLEET_HELLO_MS;
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
        fleet_send_hello(fleet, fleet->leader, false);
    }
    fleet_send_hello(fleet, fleet_random_peer(fleet), false);
    fleet_greet_unheard(fleet, now);
    fleet->hello_at = now + pause_of(fleet, lost);
}

/* Lets time pass. */
void
fleet_tick(struct fleet *fleet, uint64_t now)
{
    if (fleet->leads_since != 0) {
        if (now >= fleet->watch_at) {
            fleet->watch_at = now + WATCH_MS;
            fleet_drop_lost(fleet, now);
        }
        if (fleet->joined->len > 0 && now >= fleet->joined_at) {
            fleet->joined_at = now + FLEET_JOINED_MS;
            fleet_push_joined(fleet);
        }
        if (fleet->push_at != 0 && now >= fleet->push_at) {
            fleet_push_table(fleet, now);
        }
    }
    fleet_relay_move(fleet, now);
    fleet_resolve_now(fleet, now);
    fleet_pay(fleet, now);
    if (now >= fleet->hello_at) {
        greet(fleet, now);
    }
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

/* Says whether a node is to be asked by its data hall: the first one may be
 * anywhere, so that this node can serve soon; the rest, which is most of what
 * it is sent, is brought by its own hall, while a node there has it. */
static bool
is_near_enough(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    if (hello->self.hall == fleet->self.hall) {
        fleet->near_until = now + FLEET_ASK_FAR_MS;
        return true;
    }
    return !knows_something(fleet) || fault_is(FAULT_NO_NEAR) ||
           (now >= fleet->near_until &&
            now >= fleet->met_at + FLEET_ASK_FAR_MS);
}

/* Says whether another node holds what this one, which begins, may ask it for
 * now. One is asked at a time, or nodes that begin together are sent
 * everything by every node that they greet, which fills the link of a seed. */
static bool
should_ask(struct fleet *fleet, uint64_t now, const wire_hello *hello,
           bool same)
{
    bool has_disk = hello->self.identity != 0;
    bool has_more = hello->routes > fleet->routes.bundle_version ||
                    (!same && fleet_has_upstreams(hello));

    return !fleet->settled && has_more && now >= fleet->asked_until &&
           (has_disk || now >= fleet->met_at + FLEET_ASK_ANY_MS) &&
           is_near_enough(fleet, now, hello);
}

/* Owes a node that begins, and asks, what it lacks. */
static void
owe_lacking(struct fleet *fleet, const wire_hello *hello, bool same)
{
    uint32_t to = hello->self.address;

    if (hello->routes < fleet->routes.bundle_version) {
        fleet_owe(fleet, to, FLEET_OWE_TABLE, true);
    }
    if (!same) {
        fleet_owe(fleet, to, FLEET_OWE_UPSTREAMS, true);
    }
}

/* Notes what another node showed. */
static void
note_shown(struct fleet_member *member, const wire_hello *hello)
{
    member->routes = hello->routes;
    member->halls = hello->halls != NULL ? hello->halls->revision : 0;
    memcpy(member->upstreams, hello->upstreams, sizeof(member->upstreams));
}

/* Takes a hello: sends what the other lacks. */
static void
take_hello(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    bool same = fleet_has_same_upstreams(fleet, hello);
    bool settled = (hello->flags & WIRE_HELLO_SETTLED) != 0;
    uint32_t from = hello->self.address;
    struct fleet_member *member;

    if (hello->halls != NULL) {
        (void)take_halls(fleet, now, hello->halls);
    }
    fleet_note_member(fleet, now, &hello->self, true);
    member = g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(from));
    if (member == NULL) {
        return;
    }
    if (fleet->met_at == 0) {
        fleet->met_at = now;
    }
    note_shown(member, hello);
    if (settled && member->mute_until != 0) {
        member->mute_until = 0;
        fleet_relay_greet(fleet, now, &hello->self);
    }
    if (hello->leader == from &&
        hello->members == fleet_members_digest(fleet)) {
        fleet->relay.listed = true;
    }
    if (hello->self.identity != 0) {
        fleet_act(fleet, FLEET_DISK)->node = hello->self;
    }
    note_leader(fleet, now, hello->term, hello->leader, hello->leader == from);
    if ((hello->flags & WIRE_HELLO_WANTS) != 0) {
        if (!settled) {
            owe_lacking(fleet, hello, same);
        }
        fleet_owe_members(fleet, hello, member);
        fleet_pay(fleet, now);
    }
    fleet_see_table(fleet, now, hello);
    fleet_compare(fleet, now, hello, same);
    if (is_settled(fleet, now, hello, same)) {
        fleet->settled = true;
    }
    if (should_ask(fleet, now, hello, same)) {
        fleet->asked_at = now;
        fleet->asked_until = now + FLEET_ASK_MS;
        fleet_ask(fleet, from);
    }
    else if ((hello->flags & WIRE_HELLO_REPLY) == 0) {
        fleet_send_hello(fleet, from, true);
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
    /* Whoever was asked may still be sending, but others tell of changes. */
    fleet->asked_until = MIN(MAX(fleet->asked_until, now + FLEET_SEEK_MS),
                             fleet->asked_at + FLEET_ASK_MOST_MS);
}

/* Takes a message of another node. The kinds of other roles are not for
 * nodes. */
void
fleet_receive(struct fleet *fleet, uint64_t now, const wire_msg *msg)
{
    switch ((int)msg->kind) {
    case WIRE_HELLO:
        take_hello(fleet, now, &msg->wire_msg_u.hello);
        return;
    case WIRE_MEMBERS:
        fleet_take_members(fleet, now, &msg->wire_msg_u.members);
        return;
    case WIRE_UPSTREAMS:
        take_upstreams(fleet, now, &msg->wire_msg_u.upstreams);
        return;
    case WIRE_TABLE:
        (void)fleet_set_routes(fleet, now, &msg->wire_msg_u.table);
        return;
    case WIRE_HALLS:
        (void)take_halls(fleet, now, &msg->wire_msg_u.halls);
        return;
    case WIRE_TABLE_ASK:
        fleet_take_table_ask(fleet, &msg->wire_msg_u.table_ask);
        fleet_pay(fleet, now);
        return;
    case WIRE_COMPARE:
        fleet_take_compare(fleet, now, &msg->wire_msg_u.compare);
        return;
    case WIRE_SUMMARY:
        fleet_take_summary(fleet, &msg->wire_msg_u.summary);
        return;
    case WIRE_NEED:
        fleet_take_need(fleet, now, &msg->wire_msg_u.need);
        return;
    case WIRE_DOUBT:
        fleet_take_doubt(fleet, now, &msg->wire_msg_u.doubt);
        return;
    case WIRE_SPREAD:
        fleet_take_spread(fleet, now, &msg->wire_msg_u.spread);
        return;
    case WIRE_SPREAD_ACK:
        fleet_take_spread_ack(fleet, now, &msg->wire_msg_u.spread_ack);
        return;
    case WIRE_FOUND:
        if ((!fleet->founded || fault_is(FAULT_FOUND_AGAIN)) &&
            msg->wire_msg_u.found.identity == fleet->self.identity) {
            (void)fleet_act(fleet, FLEET_FOUND);
        }
        return;
    }
}

/* Earliest deadline. */
uint64_t
fleet_deadline(const struct fleet *fleet)
{
    uint64_t at =
        MIN(MIN(fleet->hello_at, fleet->relay.due_at), fleet_relay_due(fleet));

    at = MIN(at, fleet_resolve_due(fleet));
    if (fleet->push_at != 0) {
        at = MIN(at, fleet->push_at);
    }
    if (fleet->leads_since != 0 && fleet->joined->len > 0) {
        at = MIN(at, fleet->joined_at);
    }
    return fleet->owed->len > 0 ? MIN(at, fleet->pay_at) : at;
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
