/*
 * Member list: joins, updates, expiry and the digest that hellos compare. Only
 * the leader's list is complete; other nodes add members as hellos arrive. The
 * sorted addresses and the digest are updated with each change instead of with
 * each hello.
 */
#include "fleet-internal.h"

#include "fault.h"
#include "hash.h"
#include "random.h"

/* Members that are sent a hello per probe. */
#define PROBE_COUNT 3
/* One in this many comparisons is with a peer of any hall, so that data
 * spreads between halls; the others stay in this hall. */
#define ANY_HALL_ONE_IN 4U

/* Contribution of a node to the members' digest. */
static uint64_t
node_digest(const wire_node *node)
{
    return hash_pair(HASH_RANK, node->address, node->incarnation);
}

uint64_t
fleet_members_digest(const struct fleet *fleet)
{
    return fleet->members_digest_sum + node_digest(&fleet->self);
}

/* Number of addresses below `address`. */
static guint
rank_of(const GArray *addresses, uint32_t address)
{
    guint first = 0;
    guint end = addresses->len;

    while (first < end) {
        guint middle = first + (end - first) / 2;

        if (g_array_index(addresses, uint32_t, middle) < address) {
            first = middle + 1;
        }
        else {
            end = middle;
        }
    }
    return first;
}

static void
insert_address(GArray *addresses, uint32_t address)
{
    guint index = rank_of(addresses, address);

    g_array_insert_val(addresses, index, address);
}

static void
remove_address(GArray *addresses, uint32_t address)
{
    guint index = rank_of(addresses, address);

    if (index < addresses->len &&
        g_array_index(addresses, uint32_t, index) == address) {
        g_array_remove_index(addresses, index);
    }
}

bool
fleet_member_is_overloaded(const struct fleet_member *member, uint64_t now)
{
    return now < member->overloaded_until && !fault_is(FAULT_NO_OVERLOAD);
}

static struct fleet_member *
add_member(struct fleet *fleet, uint64_t now, const wire_node *node)
{
    struct fleet_member *member = g_new0(struct fleet_member, 1);

    member->node = *node;
    member->last_seen_at = now;
    fleet_contact_remove(fleet, now, node->address);
    fleet->members_digest_sum += node_digest(node);
    (void)g_hash_table_insert(fleet->members, GUINT_TO_POINTER(node->address),
                              member);
    insert_address(fleet->addresses, node->address);
    if (node->hall == fleet->self.hall) {
        insert_address(fleet->hall_addresses, node->address);
    }
    return member;
}

/* Replaces a member's node and adjusts the digest and the hall's addresses. */
static void
update_node(struct fleet *fleet, struct fleet_member *member,
            const wire_node *node)
{
    fleet->members_digest_sum +=
        node_digest(node) - node_digest(&member->node);
    if (node->hall != member->node.hall) {
        remove_address(fleet->hall_addresses, node->address);
        if (node->hall == fleet->self.hall) {
            insert_address(fleet->hall_addresses, node->address);
        }
    }
    member->node = *node;
}

/* Removes a member from the digest and the address lists; the caller removes
 * it from the table. */
static void
forget_member(struct fleet *fleet, const struct fleet_member *member)
{
    fleet->members_digest_sum -= node_digest(&member->node);
    remove_address(fleet->addresses, member->node.address);
    remove_address(fleet->hall_addresses, member->node.address);
}

/* LEADER: monitors the upstreams of a lost node. Only the leader does, so that
 * only one node broadcasts their failure: broadcasts of all nodes would fill
 * small links. A restarted keeper resumes monitoring once it receives records
 * that name it as the keeper. */
static void
adopt_upstreams(struct fleet *fleet, uint64_t now, uint32_t address)
{
    if (fleet->leads_since == 0) {
        return;
    }
    upstream_adopt(fleet->upstreams, now, address);
}

/* LEADER: queues the announcement of a new or restarted node. */
static void
record_joined(struct fleet *fleet, uint64_t now, uint32_t address)
{
    if (fleet->leads_since != 0) {
        if (fleet->joined->len == 0) {
            fleet->push_joined_at = MAX(now, fleet->push_joined_at);
        }
        g_array_append_val(fleet->joined, address);
    }
}

/* A node owns no upstream before this uptime: after a restart it has no record
 * of the flows that it sent to upstreams in warmup. */
#define OWNER_MIN_UPTIME_MS 1100U

void
fleet_list_owners(const struct fleet *fleet, uint64_t now, GArray *out)
{
    bool has_all_members =
        fleet->relay.has_all_members || fleet->leads_since != 0;
    GHashTableIter iter;
    gpointer value;

    if (!has_all_members || fleet->self.stopping ||
        now < fleet->started_at + OWNER_MIN_UPTIME_MS) {
        return;
    }
    g_array_append_val(out, fleet->self.address);
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (!member->node.stopping) {
            g_array_append_val(out, member->node.address);
        }
    }
}

uint32_t
fleet_rank(const struct fleet *fleet)
{
    uint64_t count = fleet->addresses->len + 1;
    uint64_t before = rank_of(fleet->addresses, fleet->self.address);

    return (uint32_t)((before << 32) / count);
}

/* A second-hand report does not replace a known incarnation. */
void
fleet_update_member(struct fleet *fleet, uint64_t now, const wire_node *node,
                    bool first_hand)
{
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(node->address));
    bool is_new = false;

    if (node->address == fleet->self.address || node->address == 0) {
        return;
    }
    if (member == NULL) {
        member = add_member(fleet, now, node);
        record_joined(fleet, now, node->address);
        is_new = true;
    }
    else if (member->node.incarnation != node->incarnation) {
        if (!first_hand) {
            return;
        }
        record_joined(fleet, now, node->address);
        is_new = true;
    }
    update_node(fleet, member, node);
    if (first_hand) {
        member->last_seen_at = now;
    }
    if (is_new) {
        fleet_relay_send_recent(fleet, now, node);
    }
}

uint32_t
fleet_random_member(struct fleet *fleet)
{
    const GArray *all = fleet->addresses;

    if (all->len == 0) {
        return 0;
    }
    return g_array_index(all, uint32_t,
                         (guint)(random_next(&fleet->random) % all->len));
}

uint32_t
fleet_random_peer(struct fleet *fleet)
{
    const GArray *neighbours = fleet->hall_addresses;
    uint64_t draw = random_next(&fleet->random);

    if (neighbours->len == 0 || draw % ANY_HALL_ONE_IN == 0 ||
        fault_is(FAULT_NO_HALL_PREFERENCE)) {
        return fleet_random_member(fleet);
    }
    return g_array_index(neighbours, uint32_t,
                         (guint)(draw / ANY_HALL_ONE_IN) % neighbours->len);
}

const wire_node *
fleet_choose_forwarder(const struct fleet *fleet, uint64_t now, uint32_t hall,
                       uint64_t seed)
{
    const wire_node *best = NULL;
    uint64_t best_rank = 0;
    bool best_overloaded = false;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        uint64_t rank = hash_pair(HASH_RANK, member->node.address, seed);
        bool overloaded = fleet_member_is_overloaded(member, now);

        if (member->node.hall == hall && !member->node.stopping &&
            now >= member->unresponsive_until &&
            (best == NULL || (best_overloaded && !overloaded) ||
             (best_overloaded == overloaded && rank > best_rank))) {
            best = &member->node;
            best_rank = rank;
            best_overloaded = overloaded;
        }
    }
    return best;
}

/* Probes several members, as one may be down. */
void
fleet_probe_hall(struct fleet *fleet, uint64_t now, uint32_t hall)
{
    for (int i = 0; i < PROBE_COUNT; i++) {
        const wire_node *node = fleet_choose_forwarder(
            fleet, now, hall, random_next(&fleet->random));

        if (node != NULL) {
            fleet_send_hello(fleet, node->address, false);
        }
    }
}

/* LEADER: monitors upstreams whose keeper is no member, such as records loaded
 * from disk after a power loss on all nodes. */
static void
adopt_orphaned_upstreams(struct fleet *fleet, uint64_t now)
{
    const struct upstream_set *set = fleet->upstreams;

    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);

        if (u->expire_at == 0 && u->state < UPSTREAM_SILENT &&
            u->keeper != fleet->self.address &&
            !g_hash_table_contains(fleet->members,
                                   GUINT_TO_POINTER(u->keeper))) {
            adopt_upstreams(fleet, now, u->keeper);
        }
    }
}

/* Members removed in one step, to log them together. */
struct removal {
    guint count;
    uint32_t first;  /* address */
    uint64_t age_ms; /* of the last hello of `first` */
};

/* Makes a member a contact; the caller removes it from the table. */
static void
remove_member(struct fleet *fleet, uint64_t now,
              const struct fleet_member *member, struct removal *removal)
{
    if (removal->count == 0) {
        removal->first = member->node.address;
        removal->age_ms = now - member->last_seen_at;
    }
    removal->count++;
    adopt_upstreams(fleet, now, member->node.address);
    fleet_contact_add(fleet, now, member->node.address);
    forget_member(fleet, member);
}

static void
report_removal(struct fleet *fleet, const struct removal *removal)
{
    struct fleet_action *action;

    if (removal->count > 0) {
        action = fleet_add_action(fleet, FLEET_NODES_LOST);
        action->to = removal->first;
        action->count = removal->count;
        action->age_ms = removal->age_ms;
    }
}

void
fleet_expire_members(struct fleet *fleet, uint64_t now)
{
    struct removal removal = {0};
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        uint64_t since = MAX(member->last_seen_at, fleet->leads_since);

        if (now > since + FLEET_MEMBER_TIMEOUT_MS) {
            remove_member(fleet, now, member, &removal);
            g_hash_table_iter_remove(&iter);
        }
    }
    report_removal(fleet, &removal);
    if (now > fleet->leads_since + FLEET_MEMBER_TIMEOUT_MS) {
        adopt_orphaned_upstreams(fleet, now);
    }
}

static bool
lists_address(const wire_members *members, uint32_t address)
{
    for (u_int i = 0; i < members->nodes.nodes_len; i++) {
        if (members->nodes.nodes_val[i].address == address) {
            return true;
        }
    }
    return false;
}

/* Removes members that are missing from a complete list. */
void
fleet_handle_members(struct fleet *fleet, uint64_t now,
                     const wire_members *members)
{
    struct removal removal = {0};
    GHashTableIter iter;
    gpointer value;

    if (members->term < fleet->term || fleet->leads_since != 0) {
        return;
    }
    for (u_int i = 0; i < members->nodes.nodes_len; i++) {
        fleet_update_member(fleet, now, &members->nodes.nodes_val[i],
                            members->extent != WIRE_SOME);
    }
    if (members->extent != WIRE_WHOLE) {
        return;
    }
    fleet->relay.has_all_members = true;
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (!lists_address(members, member->node.address)) {
            remove_member(fleet, now, member, &removal);
            g_hash_table_iter_remove(&iter);
        }
    }
    report_removal(fleet, &removal);
}
