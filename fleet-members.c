/*
 * The members: who they are, who is new, and who is lost. The leader's list
 * is whole; other nodes add to theirs what they hear. Owns the table of
 * members, their addresses in order, and the sum that is their digest: both
 * are kept up with each change, since every hello needs them and a leader
 * takes two a second from each node.
 */
#include "fleet-internal.h"

#include "fault.h"
#include "hash.h"
#include "random.h"

/* Members of a hall that are asked at a time. */
#define PROBED 3
/* Of so many comparisons one is with any member, so that halls learn from each
 * other; all others stay within the hall, whose links cost less. */
#define FAR_ONE_IN 4U

/* What a node adds to the digest of the members. */
static uint64_t
digest_of(const wire_node *node)
{
    return hash_pair(HASH_RANK, node->address, node->incarnation);
}

/* Digest of the members: who, and which start of it. */
uint64_t
fleet_members_digest(const struct fleet *fleet)
{
    return fleet->members_sum + digest_of(&fleet->self);
}

/* How many addresses of a list are lower. */
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

/* Puts an address in its place. */
static void
insert_address(GArray *addresses, uint32_t address)
{
    guint place = rank_of(addresses, address);

    g_array_insert_val(addresses, place, address);
}

/* Takes an address out, where it is in the list. */
static void
remove_address(GArray *addresses, uint32_t address)
{
    guint place = rank_of(addresses, address);

    if (place < addresses->len &&
        g_array_index(addresses, uint32_t, place) == address) {
        g_array_remove_index(addresses, place);
    }
}

/* Adds a member that was not one. */
static struct fleet_member *
add_member(struct fleet *fleet, const wire_node *node)
{
    struct fleet_member *member = g_new0(struct fleet_member, 1);

    member->node = *node;
    fleet->members_sum += digest_of(node);
    (void)g_hash_table_insert(fleet->members, GUINT_TO_POINTER(node->address),
                              member);
    insert_address(fleet->addresses, node->address);
    if (node->hall == fleet->self.hall) {
        insert_address(fleet->neighbours, node->address);
    }
    return member;
}

/* Notes what a member says of itself now. */
static void
renew_member(struct fleet *fleet, struct fleet_member *member,
             const wire_node *node)
{
    fleet->members_sum += digest_of(node) - digest_of(&member->node);
    if (node->hall != member->node.hall) {
        remove_address(fleet->neighbours, node->address);
        if (node->hall == fleet->self.hall) {
            insert_address(fleet->neighbours, node->address);
        }
    }
    member->node = *node;
}

/* A member is none any more; the caller takes it out of the table. */
static void
forget_member(struct fleet *fleet, const struct fleet_member *member)
{
    fleet->members_sum -= digest_of(&member->node);
    remove_address(fleet->addresses, member->node.address);
    remove_address(fleet->neighbours, member->node.address);
}

/* LEADER: watches the upstreams of a node that is lost, and tells all when
 * they are silent. Other nodes do not: all would tell all and fill small
 * links. One that begins anew watches its upstreams again itself, once it is
 * told that it hears them. */
static void
lose_keeper(struct fleet *fleet, uint64_t now, uint32_t address)
{
    if (fleet->leads_since == 0) {
        return;
    }
    upstream_adopt(fleet->upstreams, now, address);
}

/* LEADER: a node is new, or began anew; all are told. */
static void
note_joined(struct fleet *fleet, uint64_t now, uint32_t address)
{
    if (fleet->leads_since != 0) {
        if (fleet->joined->len == 0) {
            fleet->joined_at = MAX(now, fleet->joined_at);
        }
        g_array_append_val(fleet->joined, address);
    }
}

/* A node that began so lately is no owner: it may have been one a moment ago,
 * and does not know to whom it sent. */
#define OWNER_AFTER_MS 1100U

/* Lists the nodes among which owners are found. */
void
fleet_list_owners(const struct fleet *fleet, uint64_t now, GArray *out)
{
    bool knows_all = fleet->relay.listed || fleet->leads_since != 0;
    GHashTableIter iter;
    gpointer value;

    if (!knows_all || fleet->self.stopping ||
        now < fleet->started_at + OWNER_AFTER_MS) {
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

/* Place of this node among all. */
uint32_t
fleet_place(const struct fleet *fleet)
{
    uint64_t count = fleet->addresses->len + 1;
    uint64_t before = rank_of(fleet->addresses, fleet->self.address);

    return (uint32_t)((before << 32) / count);
}

/* Notes a member. */
void
fleet_note_member(struct fleet *fleet, uint64_t now, const wire_node *node,
                  bool heard)
{
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(node->address));
    bool is_new = false;

    if (node->address == fleet->self.address || node->address == 0) {
        return;
    }
    if (member == NULL) {
        member = add_member(fleet, node);
        member->heard_at = now;
        note_joined(fleet, now, node->address);
        is_new = true;
    }
    else if (member->node.incarnation != node->incarnation) {
        if (!heard) {
            return;
        }
        note_joined(fleet, now, node->address);
        is_new = true;
    }
    renew_member(fleet, member, node);
    if (heard) {
        member->heard_at = now;
    }
    if (is_new) {
        fleet_relay_greet(fleet, now, node);
    }
}

/* A member drawn by lot, 0 when there is none. */
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

/* A member to compare with, 0 when there is none. */
uint32_t
fleet_random_peer(struct fleet *fleet)
{
    const GArray *near = fleet->neighbours;
    uint64_t lot = random_next(&fleet->random);

    if (near->len == 0 || lot % FAR_ONE_IN == 0 || fault_is(FAULT_NO_NEAR)) {
        return fleet_random_member(fleet);
    }
    return g_array_index(near, uint32_t,
                         (guint)(lot / FAR_ONE_IN) % near->len);
}

/* A member of a hall that takes packets for others. */
const wire_node *
fleet_carrier(const struct fleet *fleet, uint64_t now, uint32_t hall,
              uint64_t seed)
{
    const wire_node *best = NULL;
    uint64_t best_rank = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        uint64_t rank = hash_pair(HASH_RANK, member->node.address, seed);

        if (member->node.hall == hall && !member->node.stopping &&
            now >= member->mute_until && (best == NULL || rank > best_rank)) {
            best = &member->node;
            best_rank = rank;
        }
    }
    return best;
}

/* Asks members of a hall whether they hear this node; several, since one may
 * be down. */
void
fleet_probe_hall(struct fleet *fleet, uint64_t now, uint32_t hall)
{
    for (int i = 0; i < PROBED; i++) {
        const wire_node *node =
            fleet_carrier(fleet, now, hall, random_next(&fleet->random));

        if (node != NULL) {
            fleet_send_hello(fleet, node->address, false);
        }
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
void
fleet_drop_lost(struct fleet *fleet, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;
        uint64_t since = MAX(member->heard_at, fleet->leads_since);

        if (now > since + FLEET_LOST_MS) {
            lose_keeper(fleet, now, member->node.address);
            forget_member(fleet, member);
            g_hash_table_iter_remove(&iter);
        }
    }
    if (now > fleet->leads_since + FLEET_LOST_MS) {
        watch_unkept(fleet, now);
    }
}

/* Says whether a list of nodes holds an address. */
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

/* Takes a list of members; the leader's is whole. */
void
fleet_take_members(struct fleet *fleet, uint64_t now,
                   const wire_members *members)
{
    GHashTableIter iter;
    gpointer value;

    if (members->term < fleet->term || fleet->leads_since != 0) {
        return;
    }
    for (u_int i = 0; i < members->nodes.nodes_len; i++) {
        fleet_note_member(fleet, now, &members->nodes.nodes_val[i],
                          members->extent != WIRE_SOME);
    }
    if (members->extent != WIRE_WHOLE) {
        return;
    }
    fleet->relay.listed = true;
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (!lists_address(members, member->node.address)) {
            lose_keeper(fleet, now, member->node.address);
            forget_member(fleet, member);
            g_hash_table_iter_remove(&iter);
        }
    }
}
