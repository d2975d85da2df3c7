/*
 * Who passes changes of upstreams on. The node that hears a change hands it to
 * the relay of its data hall, which owes it to that hall and to one relay of
 * each other hall; so a record crosses between two halls once each time that
 * it is told. Within a hall it goes down a tree that is as wide as the
 * sender's link bears. A relay is no point of truth and is not elected: each
 * node takes the one with the largest link that answers, which may be itself.
 * Two relays for a time cost bytes and nothing else.
 */
#include "fleet-internal.h"

#include "fault.h"

/* Changes that come within so long leave together: where a tenth of 600
 * upstreams leaves at once, a relay then sends several in a message. */
#define GATHER_MS 20U
/* A node without a relay, which does not know the whole fleet either, looks
 * for one again after so long: it has just begun, or no leader is known. */
#define HOLD_MS 100U
/* So long after its start a node that is not settled keeps what it heard. */
#define BEGIN_MS 1000U
/* A fleet of no more members than this needs no relay: each change goes to all
 * of them in one step, 16 datagrams of about 110 bytes. */
#define FEW 16U
/* A node sends a message to as many others as its share of the link takes
 * within so long, and the rest by them: to about 20 of 2 Mbit/s, to all of a
 * hall where the link has 100. */
#define FAN_MS 20U
/* But to no fewer than so many, or the tree would be deep. */
#define FAN_LEAST 4U
/* What takes an upstream out of use is told once more after so long: a relay
 * may die with what it has taken and not passed on, and whoever missed it goes
 * on sending new flows there. */
#define AGAIN_MS 500U
/* A node that is new to its hall's relay is told the changes of so long
 * before: it may have been sent the inventory before a change and have become
 * known as a member after it. From its start to that takes up to 2 s. */
#define RECENT_MS 3000U

/* Opens the state of the relay. */
void
fleet_relay_open(struct fleet *fleet, uint64_t number)
{
    struct fleet_relay *relay = &fleet->relay;

    relay->own = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    relay->told = g_array_new(FALSE, FALSE, sizeof(struct fleet_told));
    relay->passed = g_array_new(FALSE, FALSE, sizeof(struct fleet_passed));
    relay->recent = g_array_new(FALSE, FALSE, sizeof(struct fleet_recent));
    relay->number = number;
    fleet_deliver_open(fleet);
}

/* Frees it. */
void
fleet_relay_close(struct fleet *fleet)
{
    g_array_free(fleet->relay.own, TRUE);
    g_array_free(fleet->relay.told, TRUE);
    g_array_free(fleet->relay.passed, TRUE);
    g_array_free(fleet->relay.recent, TRUE);
    fleet_deliver_close(fleet);
}

/* All nodes of a hall. */
static struct fleet_range
whole_hall(uint32_t hall)
{
    return (struct fleet_range){.hall = hall, .last = UINT32_MAX};
}

/* Says whether this node may relay: it knows all members. One that has just
 * begun would leave most of its hall out. */
static bool
may_relay(const struct fleet *fleet)
{
    return (fleet->relay.listed || fleet->leads_since != 0) &&
           !fleet->self.stopping;
}

/* Says whether this node sends changes to all others itself. One that does not
 * know all members yet may think a large fleet a small one: what it hears in
 * its first second would reach a few nodes, and the others would call those
 * upstreams silent. */
static bool
sends_to_all(const struct fleet *fleet)
{
    return may_relay(fleet) && (g_hash_table_size(fleet->members) <= FEW ||
                                fault_is(FAULT_NO_RELAY));
}

/* Says whether a node belongs to a range; in a fleet that needs no relay, all
 * are of one hall. */
static bool
is_within(const struct fleet *fleet, const struct fleet_range *range,
          const wire_node *node)
{
    return (node->hall == range->hall || sends_to_all(fleet)) &&
           node->address >= range->first && node->address <= range->last;
}

/* Says whether one node relays rather than another: by its link, since it
 * sends most; then the order is the same everywhere, so that a hall's changes
 * gather at one node. */
static bool
is_better(const wire_node *node, const wire_node *other)
{
    return node->link_kbit_s != other->link_kbit_s
               ? node->link_kbit_s > other->link_kbit_s
               : node->address < other->address;
}

/* The node that relays to a range, as this one sees it; 0: none. Only for its
 * own changes it may be this one. */
uint32_t
fleet_relay_of(const struct fleet *fleet, uint64_t now,
               const struct fleet_range *range, wire_reach reach)
{
    const wire_node *best =
        reach == WIRE_REACH_FLEET && may_relay(fleet) ? &fleet->self : NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (is_within(fleet, range, &member->node) && !member->node.stopping &&
            now >= member->mute_until && now >= member->relay_at &&
            (best == NULL || is_better(&member->node, best))) {
            best = &member->node;
        }
    }
    return best != NULL ? best->address : 0;
}

/* Sets when what has gathered leaves: at once, unless something left just
 * before; what comes meanwhile goes with it. */
static void
flush_soon(struct fleet *fleet, uint64_t now)
{
    struct fleet_relay *relay = &fleet->relay;
    uint64_t at = MAX(now, relay->flushed_at + GATHER_MS);

    relay->flush_at = relay->flush_at == 0 ? at : MIN(relay->flush_at, at);
}

/* Remembers for a while that a change was passed on. */
static void
note_recent(struct fleet *fleet, uint64_t now, uint64_t id)
{
    GArray *recent = fleet->relay.recent;
    struct fleet_recent change = {.id = id, .at = now};
    guint old = 0;

    while (old < recent->len &&
           g_array_index(recent, struct fleet_recent, old).at + RECENT_MS <
               now) {
        old++;
    }
    g_array_remove_range(recent, 0, old);
    g_array_append_val(recent, change);
}

/* Tells a node of this hall that is new, or back, the changes that it may have
 * missed, where this node relays. */
void
fleet_relay_greet(struct fleet *fleet, uint64_t now, const wire_node *node)
{
    const GArray *recent = fleet->relay.recent;
    struct fleet_range hall = whole_hall(fleet->self.hall);
    GArray *ids;

    if (node->hall != fleet->self.hall || sends_to_all(fleet) ||
        fleet_relay_of(fleet, now, &hall, WIRE_REACH_FLEET) !=
            fleet->self.address) {
        return;
    }
    ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < recent->len; i++) {
        const struct fleet_recent *change =
            &g_array_index(recent, struct fleet_recent, i);

        if (now <= change->at + RECENT_MS) {
            g_array_append_val(ids, change->id);
        }
    }
    fleet_deliver_to_nodes(fleet, now, &node->address, 1,
                           (const uint64_t *)(void *)ids->data, ids->len);
    g_array_free(ids, TRUE);
}

/* A change that this node heard is to be known everywhere. */
void
fleet_relay_tell(struct fleet *fleet, uint64_t now, uint64_t id)
{
    const struct upstream *upstream = upstream_by_id(fleet->upstreams, id);
    struct fleet_told told = {.id = id, .at = now + AGAIN_MS};

    g_array_append_val(fleet->relay.own, id);
    if (upstream != NULL && upstream->state != UPSTREAM_READY &&
        !fault_is(FAULT_NO_AGAIN)) {
        g_array_append_val(fleet->relay.told, told);
    }
    flush_soon(fleet, now);
}

/* This node owes a change to a range and, by `reach`, to the other halls. */
static void
owe(struct fleet *fleet, uint64_t now, wire_reach reach,
    const struct fleet_range *range, uint64_t id)
{
    struct fleet_passed passed = {
        .id = id, .range = *range, .halls = reach == WIRE_REACH_FLEET};

    note_recent(fleet, now, id);
    g_array_append_val(fleet->relay.passed, passed);
    flush_soon(fleet, now);
}

/* This node's own changes wait until it finds a relay. */
void
fleet_relay_hold(struct fleet *fleet, uint64_t now, const uint64_t *ids,
                 guint count)
{
    struct fleet_relay *relay = &fleet->relay;

    g_array_append_vals(relay->own, ids, count);
    if (relay->flush_at == 0) {
        relay->flush_at = now + HOLD_MS;
    }
}

/* Hands this node's own changes to the relay of its hall, or takes them to be
 * passed on here. One that has just begun is told first what is known. */
static void
hand_over(struct fleet *fleet, uint64_t now)
{
    GArray *own = fleet->relay.own;
    const uint64_t *ids = (const uint64_t *)(void *)own->data;
    struct fleet_range hall = whole_hall(fleet->self.hall);
    uint32_t to = fleet_relay_of(fleet, now, &hall, WIRE_REACH_FLEET);

    if (!fleet->settled && now < fleet->started_at + BEGIN_MS) {
        return;
    }
    if (sends_to_all(fleet) || to == fleet->self.address) {
        for (guint i = 0; i < own->len; i++) {
            owe(fleet, now, WIRE_REACH_FLEET, &hall, ids[i]);
        }
    }
    else if (to != 0) {
        fleet_deliver_to_relay(fleet, now, to, &hall, WIRE_REACH_FLEET, ids,
                               own->len);
    }
    else {
        return;
    }
    g_array_set_size(own, 0);
}

/* Takes what is due to be handed over once more. */
static void
take_told(struct fleet *fleet, uint64_t now)
{
    GArray *told = fleet->relay.told;
    guint due = 0;

    while (due < told->len) {
        const struct fleet_told *change =
            &g_array_index(told, struct fleet_told, due);

        if (now < change->at) {
            break;
        }
        g_array_append_val(fleet->relay.own, change->id);
        due++;
    }
    g_array_remove_range(told, 0, due);
}

/* Orders addresses. */
static gint
by_address(gconstpointer a, gconstpointer b)
{
    uint32_t one = *(const uint32_t *)a;
    uint32_t other = *(const uint32_t *)b;

    return one < other ? -1 : one > other;
}

/* Lists the others of a range that answer, by address. */
static GArray *
list_range(const struct fleet *fleet, uint64_t now,
           const struct fleet_range *range)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (is_within(fleet, range, &member->node) &&
            now >= member->mute_until) {
            g_array_append_val(nodes, member->node.address);
        }
    }
    g_array_sort(nodes, by_address);
    return nodes;
}

/* To how many nodes this one sends changes itself. */
static guint
fan_of(const struct fleet *fleet, guint nodes, guint count)
{
    uint64_t room = (uint64_t)fleet->bulk_bytes_ms * FAN_MS;
    uint64_t fan = room / fleet_deliver_bytes(count);

    if (fleet->bulk_bytes_ms == 0 || sends_to_all(fleet)) {
        return nodes;
    }
    return (guint)CLAMP(fan, FAN_LEAST, MAX(nodes, FAN_LEAST));
}

/* Owes changes to a range: to each of its nodes or, when these are more than
 * the link bears, to one of each part of it, which passes them on. The parts
 * have no gaps, so a node that this one does not know is told by one that
 * does. */
static void
to_range(struct fleet *fleet, uint64_t now, const struct fleet_range *range,
         const uint64_t *ids, guint count)
{
    GArray *nodes = list_range(fleet, now, range);
    const uint32_t *all = (const uint32_t *)(void *)nodes->data;
    guint fan = fan_of(fleet, nodes->len, count);

    if (nodes->len <= fan) {
        fleet_deliver_to_nodes(fleet, now, all, nodes->len, ids, count);
        g_array_free(nodes, TRUE);
        return;
    }
    for (guint i = 0; i < fan; i++) {
        guint begin = i * nodes->len / fan;
        guint end = (i + 1) * nodes->len / fan;
        struct fleet_range part = {.hall = range->hall,
                                   .first = i == 0 ? range->first : all[begin],
                                   .last = i + 1 == fan ? range->last
                                                        : all[end] - 1};

        fleet_deliver_to_relay(
            fleet, now, fleet_relay_of(fleet, now, &part, WIRE_REACH_HALL),
            &part, WIRE_REACH_HALL, ids, count);
    }
    g_array_free(nodes, TRUE);
}

/* Lists the other halls, each once. */
static GArray *
other_halls(const struct fleet *fleet)
{
    GArray *halls = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        bool known = member->node.hall == fleet->self.hall;

        for (guint i = 0; i < halls->len && !known; i++) {
            known = g_array_index(halls, uint32_t, i) == member->node.hall;
        }
        if (!known) {
            g_array_append_val(halls, member->node.hall);
        }
    }
    return halls;
}

/* Owes changes to a relay of each other hall. */
static void
to_other_halls(struct fleet *fleet, uint64_t now, const uint64_t *ids,
               guint count)
{
    GArray *halls = other_halls(fleet);

    for (guint i = 0; i < halls->len; i++) {
        struct fleet_range hall =
            whole_hall(g_array_index(halls, uint32_t, i));

        fleet_deliver_to_relay(
            fleet, now, fleet_relay_of(fleet, now, &hall, WIRE_REACH_HALL),
            &hall, WIRE_REACH_HALL, ids, count);
    }
    g_array_free(halls, TRUE);
}

/* Says whether two ranges are the same. */
static bool
is_same(const struct fleet_range *one, const struct fleet_range *other)
{
    return one->hall == other->hall && one->first == other->first &&
           one->last == other->last;
}

/* Adds an upstream to a list of them that has each once. */
static void
add_once(GArray *ids, uint64_t id)
{
    for (guint i = 0; i < ids->len; i++) {
        if (g_array_index(ids, uint64_t, i) == id) {
            return;
        }
    }
    g_array_append_val(ids, id);
}

/* Takes the changes that are owed to a range out of `passed`. */
static GArray *
take_of_range(GArray *passed, const struct fleet_range *range)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    guint kept = 0;

    for (guint i = 0; i < passed->len; i++) {
        struct fleet_passed p = g_array_index(passed, struct fleet_passed, i);

        if (is_same(&p.range, range)) {
            add_once(ids, p.id);
        }
        else {
            g_array_index(passed, struct fleet_passed, kept++) = p;
        }
    }
    g_array_set_size(passed, kept);
    return ids;
}

/* Lists the changes that are owed to the other halls. */
static GArray *
list_for_halls(const GArray *passed)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (guint i = 0; i < passed->len; i++) {
        const struct fleet_passed *p =
            &g_array_index(passed, struct fleet_passed, i);

        if (p->halls) {
            add_once(ids, p->id);
        }
    }
    return ids;
}

/* Passes on what has gathered; to the other halls first, since their nodes
 * have a step more before them. */
static void
pass_on(struct fleet *fleet, uint64_t now)
{
    GArray *passed = fleet->relay.passed;
    GArray *ids = list_for_halls(passed);

    if (ids->len > 0 && !sends_to_all(fleet)) {
        to_other_halls(fleet, now, (const uint64_t *)(void *)ids->data,
                       ids->len);
    }
    g_array_free(ids, TRUE);
    while (passed->len > 0) {
        struct fleet_range range =
            g_array_index(passed, struct fleet_passed, 0).range;

        ids = take_of_range(passed, &range);
        to_range(fleet, now, &range, (const uint64_t *)(void *)ids->data,
                 ids->len);
        g_array_free(ids, TRUE);
    }
}

/* Says when what has gathered may leave; UINT64_MAX: nothing has, or what left
 * before still waits for the link. So a node that changes come to faster than
 * it can pass them on sends more of them in a message, not more messages. */
uint64_t
fleet_relay_due(const struct fleet *fleet)
{
    const struct fleet_relay *relay = &fleet->relay;
    uint64_t at = relay->flush_at != 0 ? relay->flush_at : UINT64_MAX;

    if (relay->told->len > 0) {
        at = MIN(at, g_array_index(relay->told, struct fleet_told, 0).at);
    }
    return relay->unsent > 0 ? UINT64_MAX : at;
}

/* Lets what has gathered leave. */
static void
flush(struct fleet *fleet, uint64_t now)
{
    struct fleet_relay *relay = &fleet->relay;

    take_told(fleet, now);
    if (relay->own->len > 0) {
        hand_over(fleet, now);
    }
    pass_on(fleet, now);
    relay->flushed_at = now;
    relay->flush_at = relay->own->len > 0 ? now + HOLD_MS : 0;
}

/* Lets what has gathered leave, when it is time to, and sends what is due.
 * What is sent may be the last that the next changes had to wait for, which
 * are due then. */
void
fleet_relay_move(struct fleet *fleet, uint64_t now)
{
    fleet_deliver_due(fleet, now);
    while (now >= fleet_relay_due(fleet)) {
        flush(fleet, now);
        fleet_deliver_due(fleet, now);
    }
}

/* Notes the number of a message; true when it was taken before. A number far
 * behind is one of a process that began anew. */
static bool
note_number(struct fleet_member *member, uint64_t number)
{
    uint64_t behind = member->taken - number;
    uint64_t ahead = number - member->taken;

    if (behind < FLEET_TAKEN_BITS) {
        bool before = (member->taken_bits >> behind & 1U) != 0;

        member->taken_bits |= 1ULL << behind;
        return before;
    }
    member->taken_bits =
        ahead < FLEET_TAKEN_BITS ? member->taken_bits << ahead | 1 : 1;
    member->taken = number;
    return false;
}

/* Acknowledges a message, as `passed` on or not. */
static void
acknowledge(struct fleet *fleet, const wire_spread *spread, bool passed)
{
    wire_msg msg = {.kind = WIRE_SPREAD_ACK};

    msg.wire_msg_u.spread_ack.passed = passed;
    msg.wire_msg_u.spread_ack.node = fleet->self.address;
    msg.wire_msg_u.spread_ack.number = spread->number;
    fleet_send(fleet, spread->node, &msg);
}

/* Takes changes, and owes them to those whom they are to reach. */
void
fleet_take_spread(struct fleet *fleet, uint64_t now, const wire_spread *spread)
{
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(spread->node));
    struct fleet_range range = {.hall = fleet->self.hall,
                                .first = spread->first,
                                .last = spread->last};
    bool passes_on = spread->reach != WIRE_REACH_NODE;

    for (u_int i = 0; i < spread->list.list_len; i++) {
        (void)upstream_merge(fleet->upstreams, now, &spread->list.list_val[i]);
    }
    acknowledge(fleet, spread, may_relay(fleet));
    if (passes_on && !may_relay(fleet)) {
        return;
    }
    if (member != NULL && note_number(member, spread->number)) {
        return;
    }
    for (u_int i = 0; passes_on && i < spread->list.list_len; i++) {
        owe(fleet, now, spread->reach, &range, spread->list.list_val[i].id);
    }
}
