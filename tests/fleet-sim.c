/* Simulated nodes, upstreams and operators of a fleet. */
#include "fleet-sim-internal.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "random.h"

#define START_MS 1000000       /* start of simulated time */
#define STEP_MS 5              /* resolution of time */
#define RETRY_MS 100           /* between retries of an operator's request */
#define REGISTER_RETRY_MS 1000 /* before an upstream tries another node */
#define OVERDUE_TICKS_MAX 2    /* consecutive */
#define STOP_MS 1800           /* duration of a planned stop */
#define STOP_MAX_MS 4500       /* while another disk replaces the node's */
#define SEEDS_PER_NODE 3
#define FLOW_MAX_MS 60000
#define FIRST_ADDRESS 0x0a010010U   /* 10.1.0.16 */
#define UPSTREAM_ADDRESS 0x0a800000 /* 10.128.0.0 */
#define UPSTREAM_PORT 8080
/* Distinguishes a disk's identity from a founder's, which is the node's
 * address. */
#define IDENTITY_BIT (1ULL << 63)

uint64_t
fleet_sim_random(struct fleet_sim *sim, uint64_t below)
{
    uint64_t z = random_next(&sim->random);

    return below ? z % below : z;
}

void
fleet_sim_record_violation(struct fleet_sim *sim, const char *format, ...)
{
    va_list args;

    if (sim->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(sim->violation, sizeof(sim->violation), format, args);
    va_end(args);
}

static void
run_cons_action(struct fleet_sim *sim, int n, const struct cons_action *action)
{
    if (action->kind == CONS_SEND) {
        fleet_sim_send(sim, n, action->message.to, action->message.bytes);
    }
    else if (!sim_disk_run(&sim->nodes[n].disk, action)) {
        fleet_sim_record_violation(sim, "node %d stores entry %llu twice", n,
                                   (unsigned long long)action->batch.first);
    }
}

/* Version of the table in a reply. */
static uint64_t
reply_version(const struct replica_reply *reply)
{
    gsize length = 0;
    const void *bytes;
    uint64_t version;
    wire_command command;

    if (reply->routes == NULL) {
        return 0;
    }
    bytes = g_bytes_get_data(reply->routes, &length);
    g_assert_true(codec_decode_command(bytes, length, &command));
    version = command.wire_command_u.routes.bundle_version;
    codec_free_command(&command);
    return version;
}

/* Handles the reply to an operator's request; a read must not return a
 * version older than one acknowledged before it. */
static void
handle_reply(struct fleet_sim *sim, const struct replica_reply *reply)
{
    uint64_t *expected =
        g_hash_table_lookup(sim->pending_tables, &reply->token);
    uint64_t *hall_order =
        g_hash_table_lookup(sim->pending_hall_orders, &reply->token);
    uint64_t version = expected != NULL ? *expected : 0;

    if (reply->status.kind != STATUS_OK) {
        return;
    }
    if (hall_order != NULL) {
        sim->acked_hall_order = MAX(sim->acked_hall_order, *hall_order);
        return;
    }
    if (reply->with_table) {
        sim->read_version = reply_version(reply);
        if (sim->read_version < version) {
            fleet_sim_record_violation(
                sim, "read %llu at %llu ms after %llu was acknowledged",
                (unsigned long long)sim->read_version,
                (unsigned long long)sim->now, (unsigned long long)version);
        }
        return;
    }
    sim->acked_version = MAX(sim->acked_version, version);
}

static void start_replica(struct fleet_sim *sim, int n);

/* Restarts the replica as founder unless it has a log or a leader. */
static void
bootstrap(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    if (cons_last_index(&node->replica.cons) > 0 ||
        node->replica.cons.missing.index != 0 ||
        node->replica.cons.leader != 0) {
        return;
    }
    node->disk.identity = node->address;
    node->fleet.self.identity = node->address;
    replica_close(&node->replica);
    start_replica(sim, n);
}

/* Passes the consensus leader to the fleet; this node only once it is
 * ready. */
static void
update_leader(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    const struct cons *cons = &node->replica.cons;
    bool leads = cons->role == CONS_LEADER && cons_is_ready(cons);

    if (leads || cons->role != CONS_LEADER) {
        fleet_set_leader(&node->fleet, sim->now, cons->term, cons->leader);
    }
}

/* Passes a committed table and drained halls to the fleet. */
static void
apply_committed(struct fleet_sim *sim, int n,
                const struct replica_state *state)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    gsize length = 0;
    const void *bytes;
    wire_command command;

    (void)fleet_set_halls(&node->fleet, sim->now, state->halls);
    if (state->routes == NULL) {
        return;
    }
    bytes = g_bytes_get_data(state->routes, &length);
    g_assert_true(codec_decode_command(bytes, length, &command));
    (void)fleet_set_routes(&node->fleet, sim->now,
                           &command.wire_command_u.routes);
    codec_free_command(&command);
}

static void
run_replica_actions(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    size_t count;
    const struct replica_action *all = replica_actions(&node->replica, &count);

    for (size_t i = 0; i < count; i++) {
        const struct replica_action *action = &all[i];

        switch (action->kind) {
        case REPLICA_CONS:
            run_cons_action(sim, n, &action->cons);
            break;
        case REPLICA_REPLY:
            handle_reply(sim, &action->reply);
            break;
        case REPLICA_APPLY:
            apply_committed(sim, n, &action->state);
            break;
        case REPLICA_REPLACE:
            counter_add(&node->counters, COUNTER_VOTERS_REPLACED, 1);
            break;
        }
    }
    replica_clear(&node->replica);
    update_leader(sim, n);
}

/* Returns true when the node is to bootstrap the control quorum. */
static bool
run_fleet_actions(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    bool bootstraps = false;
    size_t count;
    struct fleet_action *all = fleet_actions(&node->fleet, &count);

    for (size_t i = 0; i < count; i++) {
        switch (all[i].kind) {
        case FLEET_SEND:
            fleet_sim_send(sim, n, all[i].to, all[i].bytes);
            break;
        case FLEET_DISK_SEEN:
            if (node->has_disk) {
                replica_update_disk(&node->replica, sim->now, &all[i].node);
            }
            break;
        case FLEET_BOOTSTRAP:
            bootstraps = node->has_disk;
            break;
        case FLEET_HALLS:
        case FLEET_UNRESPONSIVE:
        case FLEET_LEADER_LOST:
        case FLEET_LEADER_FOUND:
        case FLEET_NODES_JOINED:
        case FLEET_NODES_LOST:
        case FLEET_CONTACT_FOUND:
            break;
        case FLEET_TABLE:
            if (all[i].version < node->applied_version) {
                fleet_sim_record_violation(
                    sim, "node %d returned to version %llu", n,
                    (unsigned long long)all[i].version);
            }
            node->applied_version = all[i].version;
            if (!node->has_disk) {
                fleet_sim_freeze(sim, n, sim->now + sim->options.apply_ms);
            }
            break;
        }
    }
    fleet_clear(&node->fleet);
    return bootstraps;
}

static void
run_actions(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    if (node->has_disk) {
        run_replica_actions(sim, n);
    }
    fleet_broadcast_changes(&node->fleet, sim->now);
    g_array_set_size(node->upstreams.learned, 0);
    if (run_fleet_actions(sim, n)) {
        bootstrap(sim, n);
    }
    node->evidence.settled = node->fleet.settled;
}

static void
start_replica(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    struct cons_stored stored;

    sim_disk_load(&node->disk, &stored);
    replica_open(&node->replica, sim->now, node->address, node->disk.identity,
                 node->disk.identity == node->address,
                 fleet_sim_random(sim, 0), &stored, &node->counters);
    node->replica.voters_max = sim->options.tolerated_disks > 0
                                   ? 2 * sim->options.tolerated_disks + 1
                                   : 0;
}

/* Passes the seeds of the settings to a node. */
static void
load_seeds(struct fleet_sim *sim, int n)
{
    uint32_t seeds[SEEDS_PER_NODE];
    size_t count = 0;

    for (int i = sim->first_seed; i < sim->count && count < SEEDS_PER_NODE;
         i++) {
        if (!sim->nodes[i].removed) {
            seeds[count++] = sim->nodes[i].address;
        }
    }
    fleet_set_seeds(&sim->nodes[n].fleet, seeds, count);
}

void
fleet_sim_set_seeds(struct fleet_sim *sim, int first_seed)
{
    sim->first_seed = first_seed;
    for (int n = 0; n < sim->count; n++) {
        if (sim->nodes[n].up) {
            load_seeds(sim, n);
        }
    }
}

static void
start_node(struct fleet_sim *sim, int n, bool first_start)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    struct fleet_options options = {
        .address = node->address,
        .incarnation = fleet_sim_random(sim, 0),
        .identity = node->has_disk ? node->disk.identity : 0,
        .first_start = first_start,
        .link_kbit_s = 8 * fleet_sim_link_rate(sim, n),
        .hall = 1 + (uint32_t)fleet_sim_hall(sim, n),
        .seed = fleet_sim_random(sim, 0)};

    node->up = true;
    node->applied_version = 0;
    upstream_open(&node->upstreams, node->address, FLEET_SIM_REGISTRATION_MS);
    evidence_open(&node->evidence, &node->upstreams, &node->counters,
                  FLOW_MAX_MS);
    fleet_open(&node->fleet, sim->now, &options, &node->upstreams);
    load_seeds(sim, n);
    if (node->has_disk) {
        const wire_config *config;

        start_replica(sim, n);
        if (node->saved_fleet != NULL) {
            g_assert_true(
                fleet_load(&node->fleet, sim->now, node->saved_fleet));
        }
        config = cons_config(&node->replica.cons);
        for (u_int i = 0; i < config->voters.voters_len; i++) {
            fleet_add_voter(&node->fleet,
                            config->voters.voters_val[i].replica);
        }
    }
}

static void
clear_saved_fleet(struct fleet_sim_node *node)
{
    if (node->saved_fleet != NULL) {
        g_byte_array_unref(node->saved_fleet);
        node->saved_fleet = NULL;
    }
}

void
fleet_sim_kill(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    if (!node->up) {
        return;
    }
    node->up = false;
    node->stop_at = 0;
    node->frozen_until = 0;
    fragment_close(&node->fragments);
    if (node->has_disk) {
        replica_close(&node->replica);
        clear_saved_fleet(node);
        node->saved_fleet = fleet_save(&node->fleet, sim->now);
    }
    fleet_close(&node->fleet);
    evidence_close(&node->evidence);
    upstream_close(&node->upstreams);
}

void
fleet_sim_start(struct fleet_sim *sim, int n)
{
    if (!sim->nodes[n].up && !sim->nodes[n].removed) {
        start_node(sim, n, false);
    }
}

void
fleet_sim_wipe(struct fleet_sim *sim, int n)
{
    fleet_sim_kill(sim, n);
    sim_disk_wipe(&sim->nodes[n].disk);
    clear_saved_fleet(&sim->nodes[n]);
    sim->nodes[n].disk.identity = fleet_sim_random(sim, 0) | IDENTITY_BIT;
}

void
fleet_sim_stop(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    node->stop_at = sim->now + STOP_MS;
    node->stop_by = sim->now + STOP_MAX_MS;
    if (node->has_disk) {
        replica_stop(&node->replica, sim->now);
    }
    fleet_stop(&node->fleet, sim->now);
    run_actions(sim, n);
}

/* Whether another disk is about to replace that of a stopping node. */
static bool
awaits_replacement(const struct fleet_sim *sim,
                   const struct fleet_sim_node *node)
{
    const wire_config *config = cons_config(&node->replica.cons);
    struct fleet_disk voters[CONS_VOTERS_MAX];
    size_t count = 0;

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        voters[count++] = (struct fleet_disk){
            .address = config->voters.voters_val[i].replica,
            .identity = config->voters.voters_val[i].identity};
    }
    return sim->now < node->stop_by && !cons_has_left(&node->replica.cons) &&
           fleet_awaits_replacement(&node->fleet, voters, count);
}

static bool
is_stop_done(const struct fleet_sim *sim, const struct fleet_sim_node *node)
{
    return node->stop_at != 0 && sim->now >= node->stop_at &&
           (!node->has_disk || !awaits_replacement(sim, node));
}

void
fleet_sim_damage(struct fleet_sim *sim, int n, unsigned entries)
{
    struct sim_disk *disk = &sim->nodes[n].disk;
    guint kept = disk->log->len - MIN(entries, disk->log->len);

    fleet_sim_kill(sim, n);
    sim_disk_damage(disk, disk->snapshot.index + kept + 1);
}

void
fleet_sim_freeze(struct fleet_sim *sim, int n, uint64_t until)
{
    sim->nodes[n].frozen_until = until;
}

void
fleet_sim_partition(struct fleet_sim *sim, int one, int other,
                    bool partitioned)
{
    sim->partitioned[one][other] = partitioned;
    sim->partitioned[other][one] = partitioned;
}

void
fleet_sim_isolate(struct fleet_sim *sim, int n, bool partitioned)
{
    for (int i = 0; i < FLEET_SIM_NODES; i++) {
        if (i != n) {
            fleet_sim_partition(sim, n, i, partitioned);
        }
    }
}

int
fleet_sim_hall(const struct fleet_sim *sim, int n)
{
    return n % MAX(sim->options.halls, 1);
}

/* Adds a node without starting it. */
static int
add_node(struct fleet_sim *sim, bool has_disk)
{
    int n = sim->count++;
    struct fleet_sim_node *node = &sim->nodes[n];

    g_assert_cmpint(n, <, FLEET_SIM_NODES);
    node->address = FIRST_ADDRESS + (uint32_t)n;
    node->has_disk = has_disk;
    node->disk.log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    node->disk.identity = fleet_sim_random(sim, 0) | IDENTITY_BIT;
    return n;
}

int
fleet_sim_replace(struct fleet_sim *sim, int n)
{
    int successor;

    fleet_sim_kill(sim, n);
    sim->nodes[n].removed = true;
    successor = add_node(sim, sim->nodes[n].has_disk);
    start_node(sim, successor, false);
    return successor;
}

int
fleet_sim_join(struct fleet_sim *sim, bool has_disk)
{
    int n = add_node(sim, has_disk);

    start_node(sim, n, false);
    return n;
}

int
fleet_sim_leader(const struct fleet_sim *sim)
{
    int best = -1;

    for (int i = 0; i < sim->count; i++) {
        const struct fleet_sim_node *node = &sim->nodes[i];

        if (fleet_sim_is_running(sim, i) && node->has_disk &&
            cons_is_ready(&node->replica.cons) &&
            (best < 0 ||
             node->replica.cons.term > sim->nodes[best].replica.cons.term)) {
            best = i;
        }
    }
    return best;
}

uint64_t
fleet_sim_lowest_version(const struct fleet_sim *sim)
{
    uint64_t lowest = UINT64_MAX;

    for (int n = 0; n < sim->count; n++) {
        if (sim->nodes[n].up) {
            lowest = MIN(lowest, sim->nodes[n].fleet.routes.bundle_version);
        }
    }
    return lowest;
}

/* The leader that `n` redirects operators to, -1: none, or unreachable. */
static int
find_leader(const struct fleet_sim *sim, int n)
{
    int leader;

    if (!fleet_sim_is_running(sim, n)) {
        return -1;
    }
    leader = fleet_sim_node_at(sim, sim->nodes[n].fleet.leader);
    return leader >= 0 && !sim->partitioned[n][leader] &&
                   fleet_sim_is_running(sim, leader) &&
                   sim->nodes[leader].has_disk
               ? leader
               : -1;
}

/* Stores the expected value of a new token. */
static uint64_t
new_token(struct fleet_sim *sim, GHashTable *pending, uint64_t value)
{
    uint64_t *pair = g_new(uint64_t, 2);

    pair[0] = ++sim->last_token;
    pair[1] = value;
    g_hash_table_insert(pending, &pair[0], &pair[1]);
    return pair[0];
}

void
fleet_sim_submit(struct fleet_sim *sim, int n, uint64_t version)
{
    int leader = find_leader(sim, n);
    char *text;
    wire_routes routes = {.bundle_version = version};

    if (leader < 0) {
        return;
    }
    text = g_strdup_printf("table %llu %*s", (unsigned long long)version,
                           (int)sim->options.table_bytes, "");
    routes.length = (u_int)strlen(text);
    routes.packed.packed_val = text;
    routes.packed.packed_len = routes.length;
    replica_submit(&sim->nodes[leader].replica, sim->now,
                   new_token(sim, sim->pending_tables, version), &routes);
    g_free(text);
    run_actions(sim, leader);
}

void
fleet_sim_read(struct fleet_sim *sim, int n)
{
    int leader = find_leader(sim, n);

    if (leader >= 0) {
        replica_read(&sim->nodes[leader].replica, sim->now,
                     new_token(sim, sim->pending_tables, sim->acked_version));
        run_actions(sim, leader);
    }
}

bool
fleet_sim_put(struct fleet_sim *sim, uint64_t version, uint64_t limit_ms)
{
    uint64_t until = sim->now + limit_ms;

    while (sim->acked_version < version && sim->now < until) {
        fleet_sim_submit(sim, (int)fleet_sim_random(sim, (uint64_t)sim->count),
                         version);
        fleet_sim_run(sim, sim->now + RETRY_MS);
    }
    return sim->acked_version >= version;
}

/* Submits the last hall order again. */
static void
submit_hall(struct fleet_sim *sim, int n, const char *hall, bool drained)
{
    struct hall_order order = {.drained = drained};
    int leader = find_leader(sim, n);

    if (leader < 0) {
        return;
    }
    g_strlcpy(order.hall, hall, sizeof(order.hall));
    replica_submit_hall(
        &sim->nodes[leader].replica, sim->now,
        new_token(sim, sim->pending_hall_orders, sim->last_hall_order),
        &order);
    run_actions(sim, leader);
}

void
fleet_sim_submit_hall(struct fleet_sim *sim, int n, const char *hall,
                      bool drained)
{
    sim->last_hall_order++;
    submit_hall(sim, n, hall, drained);
}

bool
fleet_sim_put_hall(struct fleet_sim *sim, const char *hall, bool drained,
                   uint64_t limit_ms)
{
    uint64_t until = sim->now + limit_ms;

    sim->last_hall_order++;
    while (sim->acked_hall_order < sim->last_hall_order && sim->now < until) {
        submit_hall(sim, (int)fleet_sim_random(sim, (uint64_t)sim->count),
                    hall, drained);
        fleet_sim_run(sim, sim->now + RETRY_MS);
    }
    return sim->acked_hall_order >= sim->last_hall_order;
}

int
fleet_sim_count_stale_halls(const struct fleet_sim *sim)
{
    int leader = fleet_sim_leader(sim);
    int count = 0;

    for (int n = 0; n < sim->count; n++) {
        const struct hall_set *held = &sim->nodes[n].upstreams.halls;

        if (!fleet_sim_is_running(sim, n)) {
            continue;
        }
        count += leader < 0 ||
                 held->revision != sim->nodes[leader].replica.halls.revision ||
                 held->count != sim->nodes[leader].replica.halls.count;
    }
    return count;
}

bool
fleet_sim_get(struct fleet_sim *sim, uint64_t limit_ms)
{
    uint64_t until = sim->now + limit_ms;

    sim->read_version = 0;
    while (sim->read_version == 0 && sim->now < until) {
        fleet_sim_read(sim, (int)fleet_sim_random(sim, (uint64_t)sim->count));
        fleet_sim_run(sim, sim->now + RETRY_MS);
    }
    return sim->read_version != 0;
}

/* Registers with the keeper; with a random node later when the keeper is
 * down. */
static void
register_upstream(struct fleet_sim *sim, struct fleet_sim_upstream *u,
                  int index)
{
    struct upstream_registration registration = {.id = u->id,
                                                 .service = "feed",
                                                 .hall = "hall",
                                                 .address = UPSTREAM_ADDRESS,
                                                 .port = UPSTREAM_PORT,
                                                 .slots = 2,
                                                 .leaving = u->leaving};
    int n = u->keeper >= 0 ? u->keeper
                           : (int)fleet_sim_random(sim, (uint64_t)sim->count);

    registration.address += (uint32_t)index;
    registration.sequence = ++u->sequence;
    if (!fleet_sim_is_running(sim, n)) {
        u->keeper = -1;
        u->register_at = sim->now + REGISTER_RETRY_MS;
        return;
    }
    u->keeper = n;
    u->register_at = sim->now + FLEET_SIM_REGISTRATION_MS;
    upstream_register(&sim->nodes[n].upstreams, sim->now, &registration);
    run_actions(sim, n);
}

static void
register_due(struct fleet_sim *sim)
{
    for (int i = 0; i < sim->upstream_count; i++) {
        struct fleet_sim_upstream *u = &sim->upstreams[i];

        if (u->up && sim->now >= u->register_at) {
            register_upstream(sim, u, i);
        }
    }
}

/* Counts a deadline of the fleet or the upstreams that was past at the last
 * tick, as the event loop does. The replica has a loop of its own. */
static void
count_missed_deadline(struct fleet_sim *sim, const struct fleet_sim_node *node,
                      uint64_t ticked_at)
{
    sim->deadlines_missed +=
        MIN(fleet_deadline(&node->fleet),
            upstream_deadline(&node->upstreams)) < ticked_at;
}

void
fleet_sim_deliver(struct fleet_sim *sim, int to, const GByteArray *bytes)
{
    struct fleet_sim_node *node = &sim->nodes[to];
    GByteArray *whole;
    wire_msg msg;

    g_assert_true(codec_decode(bytes->data, bytes->len, &msg));
    if (msg.kind == WIRE_PART) {
        whole =
            fragment_receive(&node->fragments, sim->now, &msg.wire_msg_u.part);
        if (whole != NULL) {
            fleet_sim_deliver(sim, to, whole);
            g_byte_array_unref(whole);
        }
    }
    else if (msg.kind >= WIRE_HELLO) {
        fleet_receive(&node->fleet, sim->now, &msg);
    }
    else if (node->has_disk) {
        replica_receive(&node->replica, sim->now, &msg);
    }
    codec_free(&msg);
    run_actions(sim, to);
    count_missed_deadline(sim, node, sim->now - STEP_MS);
}

static uint64_t
node_deadline(const struct fleet_sim_node *node)
{
    uint64_t at =
        MIN(fleet_deadline(&node->fleet), upstream_deadline(&node->upstreams));

    return node->has_disk ? MIN(at, replica_deadline(&node->replica)) : at;
}

/* Detects a busy loop: a deadline that stays in the past over several
 * ticks. A tick may set a deadline for now, which the next tick meets. */
static void
check_busy_loop(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    uint64_t at = node_deadline(node);

    node->overdue_ticks = at <= sim->now ? node->overdue_ticks + 1 : 0;
    count_missed_deadline(sim, node, sim->now);
    if (node->overdue_ticks > OVERDUE_TICKS_MAX) {
        fleet_sim_record_violation(
            sim, "node %d at %llu ms: deadline %llu stays in the past", n,
            (unsigned long long)sim->now, (unsigned long long)at);
    }
}

static void
tick(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    upstream_tick(&node->upstreams, sim->now);
    evidence_tick(&node->evidence, sim->now);
    fleet_tick(&node->fleet, sim->now);
    if (node->has_disk && sim->now >= replica_deadline(&node->replica)) {
        replica_tick(&node->replica, sim->now);
    }
    check_busy_loop(sim, n);
    run_actions(sim, n);
    if (is_stop_done(sim, node)) {
        fleet_sim_kill(sim, n);
    }
}

void
fleet_sim_run(struct fleet_sim *sim, uint64_t until)
{
    while (sim->now < until) {
        sim->now += STEP_MS;
        register_due(sim);
        fleet_sim_deliver_due(sim);
        for (int i = 0; i < sim->count; i++) {
            if (fleet_sim_is_running(sim, i)) {
                tick(sim, i);
            }
        }
    }
}

struct fleet_sim *
fleet_sim_new(const struct fleet_sim_options *options)
{
    struct fleet_sim *sim = g_new0(struct fleet_sim, 1);

    sim->options = *options;
    sim->first_seed = options->first_seed;
    sim->now = START_MS;
    sim->random = options->seed;
    sim->in_flight = fleet_sim_queue_new();
    sim->pending_tables =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    sim->pending_hall_orders =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (int i = 0; i < options->nodes; i++) {
        (void)add_node(sim, i < options->disks);
    }
    for (int i = 0; i < options->nodes; i++) {
        start_node(sim, i, true);
    }
    sim->upstream_count = options->upstreams;
    for (int i = 0; i < options->upstreams; i++) {
        sim->upstreams[i] = (struct fleet_sim_upstream){
            .id = fleet_sim_random(sim, 0) >> 24 | 1,
            .up = true,
            .keeper = -1,
            .register_at =
                sim->now + fleet_sim_random(sim, FLEET_SIM_REGISTRATION_MS)};
    }
    return sim;
}

void
fleet_sim_free(struct fleet_sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        fleet_sim_kill(sim, i);
        sim_disk_wipe(&sim->nodes[i].disk);
        clear_saved_fleet(&sim->nodes[i]);
        g_free(sim->nodes[i].disk.snapshot.config.voters.voters_val);
        g_array_free(sim->nodes[i].disk.log, TRUE);
    }
    fleet_sim_queue_free(sim->in_flight);
    g_hash_table_destroy(sim->pending_tables);
    g_hash_table_destroy(sim->pending_hall_orders);
    g_free(sim);
}
