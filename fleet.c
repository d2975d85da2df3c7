/*
 * Fleet membership of one node: leader tracking, choice of the founder,
 * hellos, sync of a starting node and dispatch of messages. Independent of
 * sockets, consensus and packets.
 */
#include "fleet-internal.h"

#include <string.h>

#include "fault.h"
#include "random.h"

/* LEADER: each run walks all members and upstreams; short beside
 * FLEET_MEMBER_TIMEOUT_MS. */
#define EXPIRE_INTERVAL_MS 250U

struct fleet_action *
fleet_add_action(struct fleet *fleet, enum fleet_action_kind kind)
{
    struct fleet_action action = {.kind = kind};

    g_array_append_val(fleet->actions, action);
    return &g_array_index(fleet->actions, struct fleet_action,
                          fleet->actions->len - 1);
}

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
    fleet->hall_addresses = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet->members =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    fleet->actions = g_array_new(FALSE, TRUE, sizeof(struct fleet_action));
    fleet->joined = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet->contacts = g_array_new(FALSE, FALSE, sizeof(struct fleet_contact));
    fleet->lookups = g_array_new(FALSE, FALSE, sizeof(struct fleet_lookup));
    fleet->transfers =
        g_array_new(FALSE, FALSE, sizeof(struct fleet_transfer));
    fleet->bulk_bytes_per_ms =
        (uint32_t)(options->link_kbit_s / 8 / FLEET_BULK_SHARE);
    fleet_relay_open(fleet, options->seed);
    fleet_load_open(fleet);
}

void
fleet_close(struct fleet *fleet)
{
    fleet_clear(fleet);
    g_hash_table_destroy(fleet->members);
    g_array_free(fleet->addresses, TRUE);
    g_array_free(fleet->hall_addresses, TRUE);
    g_array_free(fleet->actions, TRUE);
    g_array_free(fleet->joined, TRUE);
    g_array_free(fleet->contacts, TRUE);
    g_array_free(fleet->lookups, TRUE);
    g_array_free(fleet->transfers, TRUE);
    fleet_relay_close(fleet);
    fleet_load_close(fleet);
    g_free(fleet->routes.packed.packed_val);
}

/* True when this node has the lowest address among the seeds. */
static bool
is_lowest_seed(const struct fleet *fleet)
{
    bool is_seed = false;

    for (size_t i = 0; i < fleet->seed_count; i++) {
        if (fleet->seeds[i] < fleet->self.address) {
            return false;
        }
        is_seed = is_seed || fleet->seeds[i] == fleet->self.address;
    }
    return is_seed;
}

/* All nodes start with the same seeds, so their lowest one is unique; seeds
 * that are set later may name another node before a leader exists. */
void
fleet_set_seeds(struct fleet *fleet, const uint32_t *seeds, size_t count)
{
    bool first = fleet->seed_count == 0;

    fleet->seed_count = MIN(count, FLEET_SEEDS_MAX);
    memcpy(fleet->seeds, seeds, fleet->seed_count * sizeof(*seeds));
    if (first && fleet->first_start) {
        fleet->chooses_founder = is_lowest_seed(fleet);
    }
}

void
fleet_add_voter(struct fleet *fleet, uint32_t address)
{
    for (size_t i = 0; i < fleet->voter_count; i++) {
        if (fleet->voters[i] == address) {
            return;
        }
    }
    if (fleet->voter_count < FLEET_VOTERS_MAX) {
        fleet->voters[fleet->voter_count++] = address;
    }
}

bool
fleet_reaches_leader(const struct fleet *fleet, uint64_t now)
{
    return fleet->leads_since != 0 ||
           (fleet->leader_confirmed &&
            now <= fleet->leader_seen_at + FLEET_LEADER_TIMEOUT_MS);
}

guint
fleet_count_known_seeds(const struct fleet *fleet)
{
    guint count = 0;

    for (size_t i = 0; i < fleet->seed_count; i++) {
        uint32_t seed = fleet->seeds[i];

        count += seed == fleet->self.address ||
                 g_hash_table_contains(fleet->members, GUINT_TO_POINTER(seed));
    }
    return count;
}

/* Adopts a leader of a higher term. `reported_by` is the node that named it,
 * 0: the local voter. Reports of the leader itself and of the voter restart
 * its timeout. */
static void
update_leader(struct fleet *fleet, uint64_t now, uint64_t term,
              uint32_t leader, uint32_t reported_by)
{
    bool first_hand = reported_by == leader || reported_by == 0;
    struct fleet_action *action;

    fleet->bootstrapped = fleet->bootstrapped || term != 0;
    if (fleet->leads_since != 0 || leader == 0 || term < fleet->term ||
        leader == fleet->self.address) {
        return;
    }
    if (term > fleet->term || fleet->leader == 0) {
        fleet->term = term;
        fleet->leader = leader;
        fleet->leader_seen_at = now;
        fleet->leader_confirmed = false;
        action = fleet_add_action(fleet, FLEET_LEADER_FOUND);
        action->to = leader;
        action->reported_by = reported_by;
        fleet_send_hello(fleet, leader, false);
    }
    if (first_hand && leader == fleet->leader) {
        fleet->leader_seen_at = now;
        fleet->leader_confirmed = true;
        fleet->search_since = 0;
    }
}

void
fleet_set_leader(struct fleet *fleet, uint64_t now, uint64_t term,
                 uint32_t leader)
{
    if (leader != fleet->self.address) {
        fleet->leads_since = 0;
        /* Only the leader pushes the table; a deadline left here would stay in
         * the past and make the event loop spin. */
        fleet->push_at = 0;
        update_leader(fleet, now, term, leader, 0);
        if (leader == 0 && fleet->leader == fleet->self.address) {
            fleet->leader = 0;
            fleet->leader_confirmed = false;
        }
        return;
    }
    if (fleet->leads_since == 0) {
        fleet->leads_since = now;
        fleet->push_at = now;
        fleet->push_joined_at = MAX(now, fleet->push_joined_at);
        /* The previous leader may have failed between commit and push. */
        if (fleet->upstreams->halls.revision != 0) {
            fleet_push_halls(fleet);
        }
    }
    fleet->term = term;
    fleet->bootstrapped = true;
    fleet->leader = leader;
    fleet->leader_seen_at = now;
    fleet->leader_confirmed = true;
    fleet->search_since = 0;
}

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
        fleet->push_at = MAX(now, fleet->pushed_at + FLEET_PUSH_INTERVAL_MS);
    }
    fleet_add_action(fleet, FLEET_TABLE)->version = own->bundle_version;
    return true;
}

/* Applies drained halls from a peer or the local voter; false when they are
 * not newer. */
static bool
merge_halls(struct fleet *fleet, uint64_t now, const wire_halls *halls)
{
    if (!upstream_drain_halls(fleet->upstreams, now, halls)) {
        return false;
    }
    fleet_add_action(fleet, FLEET_HALLS);
    return true;
}

bool
fleet_set_halls(struct fleet *fleet, uint64_t now,
                const struct hall_set *halls)
{
    wire_hall buffer[HALL_MAX];
    wire_halls packed;

    hall_pack(halls, buffer, &packed);
    if (!merge_halls(fleet, now, &packed)) {
        return false;
    }
    if (fleet->leads_since != 0) {
        fleet_push_halls(fleet);
    }
    return true;
}

guint
fleet_count_halls_in_force(const struct fleet *fleet)
{
    uint64_t revision = fleet->upstreams->halls.revision;
    guint count = 1;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((struct fleet_member *)value)->halls_revision >= revision;
    }
    return count;
}

void
fleet_stop(struct fleet *fleet, uint64_t now)
{
    fleet->self.stopping = true;
    fleet->hello_at = now;
}

static bool
contains_address(const uint32_t *all, size_t count, uint32_t address)
{
    for (size_t i = 0; i < count; i++) {
        if (all[i] == address) {
            return true;
        }
    }
    return false;
}

static bool
contains_disk(const struct fleet_disk *all, size_t count,
              const wire_node *node)
{
    for (size_t i = 0; i < count; i++) {
        if (all[i].address == node->address &&
            all[i].identity == node->identity) {
            return true;
        }
    }
    return false;
}

bool
fleet_awaits_replacement(const struct fleet *fleet,
                         const struct fleet_disk *voters, size_t count)
{
    GHashTableIter iter;
    gpointer value;

    if (!contains_disk(voters, count, &fleet->self)) {
        return true;
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wire_node *node = &((struct fleet_member *)value)->node;

        if (node->identity != 0 && !contains_disk(voters, count, node)) {
            return true;
        }
    }
    return false;
}

static void
add_candidate(GArray *all, uint32_t address)
{
    if (!contains_address((const uint32_t *)(const void *)all->data, all->len,
                          address)) {
        g_array_append_val(all, address);
    }
}

/* Lists the nodes that may know the leader: the seeds, the stored voters and
 * the members with a disk. */
static GArray *
list_search_candidates(const struct fleet *fleet)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer value;

    for (size_t i = 0; i < fleet->seed_count; i++) {
        add_candidate(all, fleet->seeds[i]);
    }
    for (size_t i = 0; i < fleet->voter_count; i++) {
        add_candidate(all, fleet->voters[i]);
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (member->node.identity != 0) {
            add_candidate(all, member->node.address);
        }
    }
    return all;
}

static bool
searches_all(const struct fleet *fleet, uint64_t now)
{
    return now < fleet->search_since + FLEET_SEARCH_ALL_MS;
}

/* Sends hellos to random candidates. On average the whole fleet sends at most
 * 2 * FLEET_SEARCH_FEW of them to each candidate per interval. */
static void
search_few(struct fleet *fleet, const GArray *all)
{
    guint members = fleet->addresses->len + 1;

    for (guint i = 0; i < FLEET_SEARCH_FEW; i++) {
        if (random_next(&fleet->random) % members < 2 * all->len) {
            guint pick = (guint)(random_next(&fleet->random) % all->len);

            fleet_send_hello(fleet, g_array_index(all, uint32_t, pick), false);
        }
    }
}

static void
search_leader(struct fleet *fleet, uint64_t now)
{
    GArray *all = list_search_candidates(fleet);

    if (searches_all(fleet, now)) {
        for (guint i = 0; i < all->len; i++) {
            fleet_send_hello(fleet, g_array_index(all, uint32_t, i), false);
        }
    }
    else {
        search_few(fleet, all);
    }
    g_array_free(all, TRUE);
}

/* False once a leader has existed: a founder that lost its disk would
 * bootstrap a second quorum under its former identity. */
static bool
may_choose_founder(const struct fleet *fleet)
{
    return fleet->chooses_founder &&
           (!fleet->bootstrapped || fault_is(FAULT_BOOTSTRAP_AGAIN));
}

/* Chooses this node if it has a disk, else the lowest address with one.
 * Repeats the request to the same founder until a leader exists. */
static void
choose_founder(struct fleet *fleet)
{
    GHashTableIter iter;
    gpointer value;
    const struct fleet_member *lowest = NULL;
    wire_msg msg = {.kind = WIRE_FOUND};

    if (fleet->self.identity != 0 && fleet->founder == 0) {
        fleet->founder = fleet->self.address;
        (void)fleet_add_action(fleet, FLEET_BOOTSTRAP);
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

static void
drop_leader(struct fleet *fleet, uint64_t now)
{
    struct fleet_action *action;

    if (fleet->search_since == 0) {
        fleet->search_since = now;
    }
    if (fleet->leader != 0) {
        action = fleet_add_action(fleet, FLEET_LEADER_LOST);
        action->to = fleet->leader;
        action->age_ms = now - fleet->leader_seen_at;
        fleet->leader = 0;
        fleet->leader_confirmed = false;
    }
}

static uint64_t
hello_interval(const struct fleet *fleet, uint64_t now, bool no_leader)
{
    if (no_leader && !searches_all(fleet, now)) {
        return FLEET_HELLO_INTERVAL_MS;
    }
    if (!fleet->settled) {
        return FLEET_HELLO_STARTING_MS;
    }
    return no_leader ? FLEET_HELLO_NO_LEADER_MS : FLEET_HELLO_INTERVAL_MS;
}

static void
send_hello_to_disks(struct fleet *fleet)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wire_node *node = &((struct fleet_member *)value)->node;

        if (node->identity != 0 && node->address != fleet->leader) {
            fleet_send_hello(fleet, node->address, false);
        }
    }
}

static void
send_hellos(struct fleet *fleet, uint64_t now)
{
    bool no_leader = fleet->leads_since == 0 &&
                     (fleet->leader == 0 ||
                      now > fleet->leader_seen_at + FLEET_LEADER_TIMEOUT_MS);

    if (no_leader) {
        drop_leader(fleet, now);
        search_leader(fleet, now);
        if (may_choose_founder(fleet) &&
            now >= fleet->started_at + FLEET_BOOTSTRAP_DELAY_MS) {
            choose_founder(fleet);
        }
    }
    else {
        fleet_send_hello(fleet, fleet->leader, false);
    }
    if (fleet->self.stopping && fleet->self.identity != 0) {
        send_hello_to_disks(fleet);
    }
    fleet_send_hello(fleet, fleet_random_peer(fleet), false);
    fleet_contact_send(fleet, now);
    fleet->hello_at = now + hello_interval(fleet, now, no_leader);
}

/* LEADER: after a stall the hellos of all members are still unread. */
static void
expire_members(struct fleet *fleet, uint64_t now)
{
    if (fleet->expire_members_at != 0 &&
        now > fleet->expire_members_at + FLEET_HELLO_INTERVAL_MS) {
        fleet->expire_after = now + FLEET_MEMBER_TIMEOUT_MS;
    }
    fleet->expire_members_at = now + EXPIRE_INTERVAL_MS;
    if (now >= fleet->expire_after) {
        fleet_expire_members(fleet, now);
    }
}

void
fleet_tick(struct fleet *fleet, uint64_t now)
{
    if (fleet->leads_since != 0) {
        if (now >= fleet->expire_members_at) {
            expire_members(fleet, now);
        }
        if (fleet->joined->len > 0 && now >= fleet->push_joined_at) {
            fleet->push_joined_at = now + FLEET_JOINED_INTERVAL_MS;
            fleet_push_joined(fleet);
        }
        if (fleet->push_at != 0 && now >= fleet->push_at) {
            fleet_push_table(fleet, now);
        }
    }
    fleet_relay_run(fleet, now);
    fleet_load_run(fleet, now);
    fleet_resolve_send(fleet, now);
    fleet_transfer_send(fleet, now);
    if (now >= fleet->hello_at) {
        send_hellos(fleet, now);
    }
}

/* Two empty nodes match as well, but cannot serve. */
static bool
has_data(const struct fleet *fleet)
{
    return fleet->routes.bundle_version != 0 && fleet->upstreams->all->len > 0;
}

/* True when the sender of a hello has no newer data, or after FLEET_SETTLE_MS
 * with data that still differs. */
static bool
is_settled(const struct fleet *fleet, uint64_t now, const wire_hello *hello,
           bool same_upstreams)
{
    if (hello->routes > fleet->routes.bundle_version ||
        (fleet->leader == 0 && !has_data(fleet))) {
        return false;
    }
    return same_upstreams ||
           (now > fleet->first_hello_at + FLEET_SETTLE_MS && has_data(fleet));
}

/* The first data may come from any hall, so that this node serves early; the
 * rest comes from this hall while a node there has it. */
static bool
may_sync_from(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    if (hello->self.hall == fleet->self.hall) {
        fleet->hall_has_data_until = now + FLEET_SYNC_OTHER_HALL_MS;
        return true;
    }
    return !has_data(fleet) || fault_is(FAULT_NO_HALL_PREFERENCE) ||
           (now >= fleet->hall_has_data_until &&
            now >= fleet->first_hello_at + FLEET_SYNC_OTHER_HALL_MS);
}

/* True when the sender of a hello has data for this starting node and no sync
 * is in progress. Syncing from several peers at once would transfer the
 * inventory several times, and nodes that start together would fill the link
 * of a seed. */
static bool
should_request_sync(struct fleet *fleet, uint64_t now, const wire_hello *hello,
                    bool same_upstreams)
{
    bool has_disk = hello->self.identity != 0;
    bool has_more = hello->routes > fleet->routes.bundle_version ||
                    (!same_upstreams && fleet_hello_has_upstreams(hello));

    return !fleet->settled && has_more && now >= fleet->sync_until &&
           (has_disk ||
            now >= fleet->first_hello_at + FLEET_SYNC_ANY_NODE_MS) &&
           may_sync_from(fleet, now, hello);
}

/* Queues the table and the inventory for a starting node. */
static void
enqueue_missing(struct fleet *fleet, const wire_hello *hello,
                bool same_upstreams)
{
    uint32_t to = hello->self.address;

    if (hello->routes < fleet->routes.bundle_version) {
        fleet_transfer_enqueue(fleet, to, FLEET_TRANSFER_TABLE, true);
    }
    if (!same_upstreams) {
        fleet_transfer_enqueue(fleet, to, FLEET_TRANSFER_UPSTREAMS, true);
    }
}

static void
record_hello(struct fleet_member *member, uint64_t now,
             const wire_hello *hello)
{
    if ((hello->flags & WIRE_HELLO_OVERLOADED) != 0) {
        member->overloaded_until = now + FLEET_OVERLOADED_MS;
    }
    member->table_version = hello->routes;
    member->halls_revision = hello->halls != NULL ? hello->halls->revision : 0;
    memcpy(member->bucket_digests, hello->upstreams,
           sizeof(member->bucket_digests));
}

static void
handle_hello(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    bool same_upstreams = fleet_hello_matches_upstreams(fleet, hello);
    bool settled = (hello->flags & WIRE_HELLO_SETTLED) != 0;
    uint32_t from = hello->self.address;
    struct fleet_member *member;

    if (hello->halls != NULL) {
        (void)merge_halls(fleet, now, hello->halls);
    }
    fleet_update_member(fleet, now, &hello->self, true);
    member = g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(from));
    if (member == NULL) {
        return;
    }
    if (fleet->first_hello_at == 0) {
        fleet->first_hello_at = now;
    }
    record_hello(member, now, hello);
    if (settled && member->unresponsive_until != 0) {
        member->unresponsive_until = 0;
        fleet_relay_send_recent(fleet, now, &hello->self);
    }
    if (hello->leader == from &&
        hello->members == fleet_members_digest(fleet)) {
        fleet->relay.has_all_members = true;
    }
    if (hello->self.identity != 0) {
        fleet_add_action(fleet, FLEET_DISK_SEEN)->node = hello->self;
    }
    update_leader(fleet, now, hello->term, hello->leader, from);
    if ((hello->flags & WIRE_HELLO_WANTS) != 0) {
        if (!settled) {
            enqueue_missing(fleet, hello, same_upstreams);
        }
        fleet_enqueue_members(fleet, hello, member);
        fleet_transfer_send(fleet, now);
    }
    fleet_request_newer_table(fleet, now, hello);
    fleet_compare(fleet, now, hello, same_upstreams);
    if (is_settled(fleet, now, hello, same_upstreams)) {
        fleet->settled = true;
    }
    if (should_request_sync(fleet, now, hello, same_upstreams)) {
        fleet->sync_requested_at = now;
        fleet->sync_until = now + FLEET_SYNC_INTERVAL_MS;
        fleet_request_sync(fleet, from);
    }
    else if ((hello->flags & WIRE_HELLO_REPLY) == 0) {
        fleet_send_hello(fleet, from, true);
    }
}

static void
handle_upstreams(struct fleet *fleet, uint64_t now,
                 const wire_upstreams *upstreams)
{
    for (u_int i = 0; i < upstreams->list.list_len; i++) {
        (void)upstream_merge(fleet->upstreams, now,
                             &upstreams->list.list_val[i]);
    }
    /* Extends the wait while records arrive; bounded, since broadcast changes
     * arrive here too. */
    fleet->sync_until =
        MIN(MAX(fleet->sync_until, now + FLEET_HELLO_STARTING_MS),
            fleet->sync_requested_at + FLEET_SYNC_TIMEOUT_MS);
}

/* Ignores suspicions and outliers of overloaded nodes, but not their report
 * that an upstream answered. */
static void
handle_doubt(struct fleet *fleet, uint64_t now, const wire_doubt *report)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(report->node));
    bool answered = report->quiet_ms == 0 && !report->too_soon;

    if (answered || member == NULL ||
        !fleet_member_is_overloaded(member, now)) {
        fleet_handle_report(fleet, now, report);
    }
}

/* Ignores the message kinds of other roles. */
void
fleet_receive(struct fleet *fleet, uint64_t now, const wire_msg *msg)
{
    switch ((int)msg->kind) {
    case WIRE_HELLO:
        handle_hello(fleet, now, &msg->wire_msg_u.hello);
        return;
    case WIRE_MEMBERS:
        fleet_handle_members(fleet, now, &msg->wire_msg_u.members);
        return;
    case WIRE_UPSTREAMS:
        handle_upstreams(fleet, now, &msg->wire_msg_u.upstreams);
        return;
    case WIRE_TABLE:
        (void)fleet_set_routes(fleet, now, &msg->wire_msg_u.table);
        return;
    case WIRE_HALLS:
        (void)merge_halls(fleet, now, &msg->wire_msg_u.halls);
        return;
    case WIRE_TABLE_ASK:
        fleet_handle_table_ask(fleet, &msg->wire_msg_u.table_ask);
        fleet_transfer_send(fleet, now);
        return;
    case WIRE_COMPARE:
        fleet_handle_compare(fleet, now, &msg->wire_msg_u.compare);
        return;
    case WIRE_SUMMARY:
        fleet_handle_summary(fleet, &msg->wire_msg_u.summary);
        return;
    case WIRE_NEED:
        fleet_handle_need(fleet, now, &msg->wire_msg_u.need);
        return;
    case WIRE_DOUBT:
        handle_doubt(fleet, now, &msg->wire_msg_u.doubt);
        return;
    case WIRE_SPREAD:
        fleet_handle_spread(fleet, now, &msg->wire_msg_u.spread);
        return;
    case WIRE_SPREAD_ACK:
        fleet_handle_spread_ack(fleet, now, &msg->wire_msg_u.spread_ack);
        return;
    case WIRE_LOAD:
        fleet_handle_load(fleet, now, &msg->wire_msg_u.load);
        return;
    case WIRE_FOUND:
        if ((!fleet->bootstrapped || fault_is(FAULT_BOOTSTRAP_AGAIN)) &&
            msg->wire_msg_u.found.identity == fleet->self.identity) {
            (void)fleet_add_action(fleet, FLEET_BOOTSTRAP);
        }
        return;
    }
}

uint64_t
fleet_deadline(const struct fleet *fleet)
{
    uint64_t at =
        MIN(MIN(fleet->hello_at, fleet->relay.due_at), fleet_relay_due(fleet));

    at = MIN(at, MIN(fleet_resolve_due(fleet), fleet_load_due(fleet)));
    if (fleet->push_at != 0) {
        at = MIN(at, fleet->push_at);
    }
    if (fleet->leads_since != 0 && fleet->joined->len > 0) {
        at = MIN(at, fleet->push_joined_at);
    }
    return fleet->transfers->len > 0 ? MIN(at, fleet->transfer_at) : at;
}

struct fleet_action *
fleet_actions(struct fleet *fleet, size_t *count)
{
    *count = fleet->actions->len;
    return (struct fleet_action *)(void *)fleet->actions->data;
}

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
