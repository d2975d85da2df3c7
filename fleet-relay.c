/*
 * Dissemination of upstream changes: from the node that detects a change to
 * the relay of its data hall, from there to one relay of each other hall and
 * down a tree whose fanout depends on the sender's link, so that a broadcast
 * crosses between two halls once. Relays are not elected: each node chooses
 * the responsive node with the largest link, and differing choices only
 * duplicate messages.
 */
#include "fleet-internal.h"

#include "fault.h"

/* Changes within this interval share messages. */
#define BATCH_INTERVAL_MS 20U
/* Retry interval while no relay is available. */
#define RELAY_RETRY_MS 100U
/* Longest delay of own changes on a node that is not settled. */
#define STARTUP_HOLD_MS 1000U
/* A fleet of up to this many members uses no relays: each change reaches all
 * members in one hop, with one datagram each. */
#define DIRECT_MEMBERS_MAX 16U
/* Link time for the direct sends of one message: a message of one record goes
 * to about 20 nodes on a link of 2 Mbit/s, and to 900 on one of 100 Mbit/s. */
#define FANOUT_MS 20U
/* Bounds the depth of the tree. */
#define FANOUT_MIN 4U
/* Delay of the second broadcast when an upstream leaves service: a relay may
 * fail after its acknowledgement, and nodes without the change keep sending
 * new flows there. */
#define REPEAT_MS 500U
/* A new member is sent the changes of this period: its inventory may be older,
 * and earlier broadcasts went only to the members listed then. */
#define RECENT_MS 3000U

void
fleet_relay_open(struct fleet *fleet, uint64_t number)
{
    struct fleet_relay *relay = &fleet->relay;

    relay->own_changes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    relay->repeats = g_array_new(FALSE, FALSE, sizeof(struct fleet_repeat));
    relay->queued =
        g_array_new(FALSE, FALSE, sizeof(struct fleet_queued_change));
    relay->recent =
        g_array_new(FALSE, FALSE, sizeof(struct fleet_recent_change));
    relay->last_number = number;
    fleet_deliver_open(fleet);
}

void
fleet_relay_close(struct fleet *fleet)
{
    g_array_free(fleet->relay.own_changes, TRUE);
    g_array_free(fleet->relay.repeats, TRUE);
    g_array_free(fleet->relay.queued, TRUE);
    g_array_free(fleet->relay.recent, TRUE);
    fleet_deliver_close(fleet);
}

static struct fleet_range
whole_hall(uint32_t hall)
{
    return (struct fleet_range){.hall = hall, .last = UINT32_MAX};
}

/* A relay with an incomplete member list would leave out most of its hall. */
static bool
may_relay(const struct fleet *fleet)
{
    return (fleet->relay.has_all_members || fleet->leads_since != 0) &&
           !fleet->self.stopping;
}

/* True when this node sends changes to all others itself. With an incomplete
 * member list a large fleet looks small, and changes would reach only the
 * listed members. */
static bool
sends_to_all(const struct fleet *fleet)
{
    return may_relay(fleet) &&
           (g_hash_table_size(fleet->members) <= DIRECT_MEMBERS_MAX ||
            fault_is(FAULT_NO_RELAY));
}

/* Without relays, the whole fleet counts as one hall. */
static bool
is_within(const struct fleet *fleet, const struct fleet_range *range,
          const wire_node *node)
{
    return (node->hall == range->hall || sends_to_all(fleet)) &&
           node->address >= range->first && node->address <= range->last;
}

/* A possible relay. */
struct candidate {
    const wire_node *node; /* NULL: none */
    bool overloaded;       /* by its last hellos */
};

/* Orders relays by link rate, then by address: the same order on all nodes, so
 * that a hall agrees on one relay. Overloaded ones are last, since they lose
 * messages. */
static bool
is_preferred(const struct candidate *one, const struct candidate *two)
{
    const wire_node *node = one->node;
    const wire_node *other = two->node;

    if (other == NULL || one->overloaded != two->overloaded) {
        return other == NULL || two->overloaded;
    }
    return node->link_kbit_s != other->link_kbit_s
               ? node->link_kbit_s > other->link_kbit_s
               : node->address < other->address;
}

uint32_t
fleet_choose_relay(const struct fleet *fleet, uint64_t now,
                   const struct fleet_range *range, wire_reach reach)
{
    struct candidate best = {.overloaded = fleet->overloaded};
    GHashTableIter iter;
    gpointer value;

    if (reach == WIRE_REACH_FLEET && may_relay(fleet)) {
        best.node = &fleet->self;
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        struct candidate next = {.node = &member->node,
                                 .overloaded =
                                     fleet_member_is_overloaded(member, now)};

        if (is_within(fleet, range, &member->node) && !member->node.stopping &&
            now >= member->unresponsive_until && now >= member->relay_after &&
            is_preferred(&next, &best)) {
            best = next;
        }
    }
    return best.node != NULL ? best.node->address : 0;
}

/* Flushes now, but at least BATCH_INTERVAL_MS after the last flush. */
static void
schedule_flush(struct fleet *fleet, uint64_t now)
{
    struct fleet_relay *relay = &fleet->relay;
    uint64_t at = MAX(now, relay->flushed_at + BATCH_INTERVAL_MS);

    relay->flush_at = relay->flush_at == 0 ? at : MIN(relay->flush_at, at);
}

/* Also removes changes older than RECENT_MS. */
static void
record_recent(struct fleet *fleet, uint64_t now, uint64_t id)
{
    GArray *recent = fleet->relay.recent;
    struct fleet_recent_change change = {.id = id, .added_at = now};
    guint old = 0;

    while (old < recent->len &&
           g_array_index(recent, struct fleet_recent_change, old).added_at +
                   RECENT_MS <
               now) {
        old++;
    }
    g_array_remove_range(recent, 0, old);
    g_array_append_val(recent, change);
}

/* Does nothing unless this node is the relay of the member's hall. */
void
fleet_relay_send_recent(struct fleet *fleet, uint64_t now,
                        const wire_node *node)
{
    const GArray *recent = fleet->relay.recent;
    struct fleet_range hall = whole_hall(fleet->self.hall);
    GArray *ids;

    if (node->hall != fleet->self.hall || sends_to_all(fleet) ||
        fleet_choose_relay(fleet, now, &hall, WIRE_REACH_FLEET) !=
            fleet->self.address) {
        return;
    }
    ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < recent->len; i++) {
        const struct fleet_recent_change *change =
            &g_array_index(recent, struct fleet_recent_change, i);

        if (now <= change->added_at + RECENT_MS) {
            g_array_append_val(ids, change->id);
        }
    }
    fleet_deliver_to_nodes(fleet, now, &node->address, 1,
                           (const uint64_t *)(void *)ids->data, ids->len);
    g_array_free(ids, TRUE);
}

void
fleet_relay_add_change(struct fleet *fleet, uint64_t now, uint64_t id)
{
    const struct upstream *upstream = upstream_by_id(fleet->upstreams, id);
    struct fleet_repeat repeat = {.id = id, .due_at = now + REPEAT_MS};

    g_array_append_val(fleet->relay.own_changes, id);
    if (upstream != NULL && upstream->state != UPSTREAM_READY &&
        !fault_is(FAULT_NO_RELAY_RETRY)) {
        g_array_append_val(fleet->relay.repeats, repeat);
    }
    schedule_flush(fleet, now);
}

/* Queues a change for a range and, with WIRE_REACH_FLEET, for the other
 * halls. */
static void
enqueue(struct fleet *fleet, uint64_t now, wire_reach reach,
        const struct fleet_range *range, uint64_t id)
{
    struct fleet_queued_change change = {.id = id,
                                         .range = *range,
                                         .to_other_halls =
                                             reach == WIRE_REACH_FLEET};

    record_recent(fleet, now, id);
    g_array_append_val(fleet->relay.queued, change);
    schedule_flush(fleet, now);
}

void
fleet_relay_requeue(struct fleet *fleet, uint64_t now, const uint64_t *ids,
                    guint count)
{
    struct fleet_relay *relay = &fleet->relay;

    g_array_append_vals(relay->own_changes, ids, count);
    if (relay->flush_at == 0) {
        relay->flush_at = now + RELAY_RETRY_MS;
    }
}

/* Sends own changes to the relay of this hall, or queues them for relaying
 * when this node is the relay. A starting node waits for its sync first. */
static void
send_own_changes(struct fleet *fleet, uint64_t now)
{
    GArray *own = fleet->relay.own_changes;
    const uint64_t *ids = (const uint64_t *)(void *)own->data;
    struct fleet_range hall = whole_hall(fleet->self.hall);
    uint32_t to = fleet_choose_relay(fleet, now, &hall, WIRE_REACH_FLEET);

    if (!fleet->settled && now < fleet->started_at + STARTUP_HOLD_MS) {
        return;
    }
    if (sends_to_all(fleet) || to == fleet->self.address) {
        for (guint i = 0; i < own->len; i++) {
            enqueue(fleet, now, WIRE_REACH_FLEET, &hall, ids[i]);
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

/* Moves due repeats to the own changes. */
static void
add_due_repeats(struct fleet *fleet, uint64_t now)
{
    GArray *repeats = fleet->relay.repeats;
    guint due = 0;

    while (due < repeats->len) {
        const struct fleet_repeat *change =
            &g_array_index(repeats, struct fleet_repeat, due);

        if (now < change->due_at) {
            break;
        }
        g_array_append_val(fleet->relay.own_changes, change->id);
        due++;
    }
    g_array_remove_range(repeats, 0, due);
}

static gint
compare_addresses(gconstpointer a, gconstpointer b)
{
    uint32_t one = *(const uint32_t *)a;
    uint32_t other = *(const uint32_t *)b;

    return one < other ? -1 : one > other;
}

/* Lists the responsive members in a range, sorted by address. */
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
            now >= member->unresponsive_until) {
            g_array_append_val(nodes, member->node.address);
        }
    }
    g_array_sort(nodes, compare_addresses);
    return nodes;
}

/* Number of nodes that can be sent a message within FANOUT_MS. */
static guint
fanout(const struct fleet *fleet, guint nodes, guint count)
{
    uint64_t budget = (uint64_t)fleet->bulk_bytes_per_ms * FANOUT_MS;
    uint64_t width = budget / fleet_deliver_message_bytes(count);

    if (fleet->bulk_bytes_per_ms == 0 || sends_to_all(fleet)) {
        return nodes;
    }
    return (guint)CLAMP(width, FANOUT_MIN, MAX(nodes, FANOUT_MIN));
}

/* Sends changes to each node of a range or, beyond the fanout, to one relay
 * per subrange. The subranges leave no gaps, so that a node missing from the
 * member list here is reached by a relay that has it. */
static void
send_to_range(struct fleet *fleet, uint64_t now,
              const struct fleet_range *range, const uint64_t *ids,
              guint count)
{
    GArray *nodes = list_range(fleet, now, range);
    const uint32_t *all = (const uint32_t *)(void *)nodes->data;
    guint width = fanout(fleet, nodes->len, count);

    if (nodes->len <= width) {
        fleet_deliver_to_nodes(fleet, now, all, nodes->len, ids, count);
        g_array_free(nodes, TRUE);
        return;
    }
    for (guint i = 0; i < width; i++) {
        guint begin = i * nodes->len / width;
        guint end = (i + 1) * nodes->len / width;
        struct fleet_range subrange = {
            .hall = range->hall,
            .first = i == 0 ? range->first : all[begin],
            .last = i + 1 == width ? range->last : all[end] - 1};

        fleet_deliver_to_relay(
            fleet, now,
            fleet_choose_relay(fleet, now, &subrange, WIRE_REACH_HALL),
            &subrange, WIRE_REACH_HALL, ids, count);
    }
    g_array_free(nodes, TRUE);
}

static GArray *
list_other_halls(const struct fleet *fleet)
{
    GArray *halls = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        bool seen = member->node.hall == fleet->self.hall;

        for (guint i = 0; i < halls->len && !seen; i++) {
            seen = g_array_index(halls, uint32_t, i) == member->node.hall;
        }
        if (!seen) {
            g_array_append_val(halls, member->node.hall);
        }
    }
    return halls;
}

uint32_t
fleet_relay_of_hall(const struct fleet *fleet, uint64_t now)
{
    struct fleet_range hall = whole_hall(fleet->self.hall);

    return fleet_choose_relay(fleet, now, &hall, WIRE_REACH_FLEET);
}

GArray *
fleet_relay_list_hall(const struct fleet *fleet, uint64_t now)
{
    struct fleet_range hall = whole_hall(fleet->self.hall);

    return list_range(fleet, now, &hall);
}

GArray *
fleet_relay_list_halls(const struct fleet *fleet)
{
    return sends_to_all(fleet) ? g_array_new(FALSE, FALSE, sizeof(uint32_t))
                               : list_other_halls(fleet);
}

uint32_t
fleet_relay_of_other_hall(const struct fleet *fleet, uint64_t now,
                          uint32_t hall)
{
    struct fleet_range range = whole_hall(hall);

    return fleet_choose_relay(fleet, now, &range, WIRE_REACH_HALL);
}

/* Sends changes to one relay of each other hall. */
static void
send_to_other_halls(struct fleet *fleet, uint64_t now, const uint64_t *ids,
                    guint count)
{
    GArray *halls = list_other_halls(fleet);

    for (guint i = 0; i < halls->len; i++) {
        struct fleet_range hall =
            whole_hall(g_array_index(halls, uint32_t, i));

        fleet_deliver_to_relay(
            fleet, now, fleet_choose_relay(fleet, now, &hall, WIRE_REACH_HALL),
            &hall, WIRE_REACH_HALL, ids, count);
    }
    g_array_free(halls, TRUE);
}

static bool
is_same_range(const struct fleet_range *one, const struct fleet_range *other)
{
    return one->hall == other->hall && one->first == other->first &&
           one->last == other->last;
}

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

/* Removes the changes for a range from the queue; returns their ids without
 * duplicates. */
static GArray *
take_for_range(GArray *queue, const struct fleet_range *range)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    guint remaining = 0;

    for (guint i = 0; i < queue->len; i++) {
        struct fleet_queued_change change =
            g_array_index(queue, struct fleet_queued_change, i);

        if (is_same_range(&change.range, range)) {
            add_once(ids, change.id);
        }
        else {
            g_array_index(queue, struct fleet_queued_change, remaining++) =
                change;
        }
    }
    g_array_set_size(queue, remaining);
    return ids;
}

static GArray *
list_for_other_halls(const GArray *queue)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (guint i = 0; i < queue->len; i++) {
        const struct fleet_queued_change *change =
            &g_array_index(queue, struct fleet_queued_change, i);

        if (change->to_other_halls) {
            add_once(ids, change->id);
        }
    }
    return ids;
}

/* Other halls first, since their nodes are one hop further away. */
static void
send_queued(struct fleet *fleet, uint64_t now)
{
    GArray *queue = fleet->relay.queued;
    GArray *ids = list_for_other_halls(queue);

    if (ids->len > 0 && !sends_to_all(fleet)) {
        send_to_other_halls(fleet, now, (const uint64_t *)(void *)ids->data,
                            ids->len);
    }
    g_array_free(ids, TRUE);
    while (queue->len > 0) {
        struct fleet_range range =
            g_array_index(queue, struct fleet_queued_change, 0).range;

        ids = take_for_range(queue, &range);
        send_to_range(fleet, now, &range, (const uint64_t *)(void *)ids->data,
                      ids->len);
        g_array_free(ids, TRUE);
    }
}

/* Waits until all deliveries were sent once, so that under load more changes
 * share a message instead of adding messages. */
uint64_t
fleet_relay_due(const struct fleet *fleet)
{
    const struct fleet_relay *relay = &fleet->relay;
    uint64_t at = relay->flush_at != 0 ? relay->flush_at : UINT64_MAX;

    if (relay->repeats->len > 0) {
        at = MIN(at,
                 g_array_index(relay->repeats, struct fleet_repeat, 0).due_at);
    }
    return relay->unsent > 0 ? UINT64_MAX : at;
}

static void
flush(struct fleet *fleet, uint64_t now)
{
    struct fleet_relay *relay = &fleet->relay;

    add_due_repeats(fleet, now);
    if (relay->own_changes->len > 0) {
        send_own_changes(fleet, now);
    }
    send_queued(fleet, now);
    relay->flushed_at = now;
    relay->flush_at = relay->own_changes->len > 0 ? now + RELAY_RETRY_MS : 0;
}

/* Sending the last unsent delivery may make the next flush due. */
void
fleet_relay_run(struct fleet *fleet, uint64_t now)
{
    fleet_deliver_due(fleet, now);
    while (now >= fleet_relay_due(fleet)) {
        flush(fleet, now);
        fleet_deliver_due(fleet, now);
    }
}

/* Records a sequence number; true when it was received before. A number far
 * below the window means that the sender has restarted. */
static bool
is_duplicate(struct fleet_member *member, uint64_t number)
{
    uint64_t behind = member->highest_number - number;
    uint64_t ahead = number - member->highest_number;

    if (behind < FLEET_DUPLICATE_WINDOW) {
        bool received = (member->received_bits >> behind & 1U) != 0;

        member->received_bits |= 1ULL << behind;
        return received;
    }
    member->received_bits = ahead < FLEET_DUPLICATE_WINDOW
                                ? member->received_bits << ahead | 1
                                : 1;
    member->highest_number = number;
    return false;
}

/* Acknowledges a message; without `will_relay` the sender chooses another
 * relay. */
static void
acknowledge(struct fleet *fleet, const wire_spread *spread, bool will_relay)
{
    wire_msg msg = {.kind = WIRE_SPREAD_ACK};

    msg.wire_msg_u.spread_ack.passed = will_relay;
    msg.wire_msg_u.spread_ack.node = fleet->self.address;
    msg.wire_msg_u.spread_ack.number = spread->number;
    fleet_send(fleet, spread->node, &msg);
}

void
fleet_handle_spread(struct fleet *fleet, uint64_t now,
                    const wire_spread *spread)
{
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(spread->node));
    struct fleet_range range = {.hall = fleet->self.hall,
                                .first = spread->first,
                                .last = spread->last};
    bool must_relay = spread->reach != WIRE_REACH_NODE;

    for (u_int i = 0; i < spread->list.list_len; i++) {
        (void)upstream_merge(fleet->upstreams, now, &spread->list.list_val[i]);
    }
    acknowledge(fleet, spread, may_relay(fleet));
    if (must_relay && !may_relay(fleet)) {
        return;
    }
    if (member != NULL && is_duplicate(member, spread->number)) {
        return;
    }
    for (u_int i = 0; must_relay && i < spread->list.list_len; i++) {
        enqueue(fleet, now, spread->reach, &range,
                spread->list.list_val[i].id);
    }
}
