/* Simulated time over the nodes of a fleet. */
#include "fleet-sim-internal.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "random.h"

#define BEGIN_MS 1000000 /* the time at which a fleet starts */
#define STEP_MS 5        /* time passes in steps */
#define TRY_MS 100 /* between an operator's calls until one is answered */
#define TRY_AGAIN_MS 1000 /* until an upstream asks another node */
#define TICKS_LATE_MAX 2  /* in a row, in which a deadline may be past */
#define SEEDS 3           /* nodes that the settings of each name */
#define FLOW_MAX_MS 60000
#define FIRST_ADDRESS 0x0a010010U   /* 10.1.0.16 */
#define UPSTREAM_ADDRESS 0x0a800000 /* 10.128.0.0 */
#define UPSTREAM_PORT 8080
/* Keeps the identity of a disk apart from a founder's, its node's address. */
#define IDENTITY_BIT (1ULL << 63)

/* Random number below a bound; any when it is 0. */
uint64_t
fleet_sim_random(struct fleet_sim *sim, uint64_t below)
{
    uint64_t z = random_next(&sim->random);

    return below ? z % below : z;
}

/* Notes the first broken promise. */
void
fleet_sim_note(struct fleet_sim *sim, const char *format, ...)
{
    va_list args;

    if (sim->broken[0] != '\0') {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(sim->broken, sizeof(sim->broken), format, args);
    va_end(args);
}

/* Carries out an action of consensus. */
static void
act_cons(struct fleet_sim *sim, int n, struct cons_action *action)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    const struct cons *cons = &node->replica.cons;
    GByteArray *bytes;

    switch (action->kind) {
    case CONS_SAVE_TERM:
        node->disk.term = cons->term;
        node->disk.vote = cons->voted_for;
        return;
    case CONS_SAVE_ENTRIES:
        sim_disk_append(&node->disk, cons, action->index, action->count);
        return;
    case CONS_SAVE_TRUNCATION:
        sim_disk_cut(&node->disk, action->index);
        return;
    case CONS_SAVE_SNAPSHOT:
        sim_disk_snapshot(&node->disk, cons);
        return;
    case CONS_SEND:
        bytes = codec_encode(&action->msg);
        fleet_sim_send(sim, n, action->to, bytes);
        g_byte_array_unref(bytes);
        return;
    case CONS_RESTORE_SNAPSHOT:
        return;
    }
}

/* Takes an answer to an operator. */
static void
take_reply(struct fleet_sim *sim, int n, const struct replica_action *action)
{
    uint64_t *wait = g_hash_table_lookup(sim->waiting, &action->token);
    uint64_t *order = g_hash_table_lookup(sim->halls_waiting, &action->token);
    uint64_t version = wait != NULL ? *wait : 0;

    if (action->status.kind != STATUS_OK) {
        return;
    }
    if (order != NULL) {
        sim->halls_acked = MAX(sim->halls_acked, *order);
        return;
    }
    if (action->with_table) {
        sim->read = sim->nodes[n].replica.version;
        if (sim->read < version) {
            fleet_sim_note(
                sim, "read %llu at %llu ms after %llu was acknowledged",
                (unsigned long long)sim->read, (unsigned long long)sim->now,
                (unsigned long long)version);
        }
        return;
    }
    sim->acked = MAX(sim->acked, version);
}

static void start_order(struct fleet_sim *sim, int n);

/* Becomes the founder. */
static void
found(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    if (cons_last_index(&node->replica.cons) > 0 ||
        node->replica.cons.leader != 0) {
        return;
    }
    node->disk.identity = node->address;
    node->fleet.self.identity = node->address;
    replica_close(&node->replica);
    start_order(sim, n);
}

/* Says who leads. */
static void
tell_leader(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    const struct cons *cons = &node->replica.cons;
    bool leads = cons->role == CONS_LEADER && cons_is_ready(cons);

    if (leads || cons->role != CONS_LEADER) {
        fleet_set_leader(&node->fleet, sim->now, cons->term, cons->leader);
    }
}

/* Takes a committed table, and committed orders about halls. */
static void
apply_order(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    gsize length = 0;
    const void *bytes;
    wire_command command;

    (void)fleet_set_halls(&node->fleet, sim->now, &node->replica.halls);
    if (node->replica.routes == NULL) {
        return;
    }
    bytes = g_bytes_get_data(node->replica.routes, &length);
    g_assert_true(codec_decode_command(bytes, length, &command));
    (void)fleet_set_routes(&node->fleet, sim->now,
                           &command.wire_command_u.routes);
    codec_free_command(&command);
}

/* Carries out the actions of a voter. */
static void
act_order(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    size_t count;
    const struct replica_action *all = replica_actions(&node->replica, &count);

    for (size_t i = 0; i < count; i++) {
        struct replica_action action = all[i];

        switch (action.kind) {
        case REPLICA_CONS:
            act_cons(sim, n, &action.cons);
            break;
        case REPLICA_REPLY:
            take_reply(sim, n, &action);
            break;
        case REPLICA_APPLY:
            apply_order(sim, n);
            break;
        }
    }
    replica_clear(&node->replica);
    tell_leader(sim, n);
}

/* Carries out the actions of a fleet; true when the node is to found. */
static bool
act_fleet(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    bool founds = false;
    size_t count;
    struct fleet_action *all = fleet_actions(&node->fleet, &count);

    for (size_t i = 0; i < count; i++) {
        switch (all[i].kind) {
        case FLEET_SEND:
            fleet_sim_send(sim, n, all[i].to, all[i].bytes);
            break;
        case FLEET_DISK_SEEN:
            if (node->has_disk) {
                replica_update_disk(&node->replica, sim->now,
                                    all[i].node.address, all[i].node.identity);
            }
            break;
        case FLEET_BOOTSTRAP:
            founds = node->has_disk;
            break;
        case FLEET_HALLS:
        case FLEET_UNRESPONSIVE:
            break;
        case FLEET_TABLE:
            if (all[i].version < node->version_seen) {
                fleet_sim_note(sim, "node %d went back to version %llu", n,
                               (unsigned long long)all[i].version);
            }
            node->version_seen = all[i].version;
            if (!node->has_disk) {
                fleet_sim_freeze(sim, n, sim->now + sim->options.apply_ms);
            }
            break;
        }
    }
    fleet_clear(&node->fleet);
    return founds;
}

/* Carries out a node's actions. */
static void
act(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    if (node->has_disk) {
        act_order(sim, n);
    }
    fleet_broadcast_changes(&node->fleet, sim->now);
    g_array_set_size(node->upstreams.learned, 0);
    if (act_fleet(sim, n)) {
        found(sim, n);
    }
    node->evidence.settled = node->fleet.settled;
}

/* Starts a voter from its disk. */
static void
start_order(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    struct cons_stored stored;

    sim_disk_load(&node->disk, &stored);
    replica_open(&node->replica, sim->now, node->address, node->disk.identity,
                 node->disk.identity == node->address,
                 fleet_sim_random(sim, 0), &stored, &node->counters);
}

/* Starts a node. */
static void
start_node(struct fleet_sim *sim, int n, bool first_start)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    struct fleet_options options = {
        .address = node->address,
        .incarnation = fleet_sim_random(sim, 0),
        .identity = node->has_disk ? node->disk.identity : 0,
        .first_start = first_start,
        .link_kbit_s = 8 * fleet_sim_link_of(sim, n),
        .hall = 1 + (uint32_t)fleet_sim_hall(sim, n),
        .seed = fleet_sim_random(sim, 0)};
    uint32_t seeds[SEEDS];
    size_t count = 0;

    for (int i = sim->first_seed; i < sim->count && count < SEEDS; i++) {
        if (!sim->nodes[i].gone) {
            seeds[count++] = sim->nodes[i].address;
        }
    }
    node->up = true;
    node->version_seen = 0;
    upstream_open(&node->upstreams, node->address, FLEET_SIM_INTERVAL_MS);
    evidence_open(&node->evidence, &node->upstreams, &node->counters,
                  FLOW_MAX_MS);
    fleet_open(&node->fleet, sim->now, &options, &node->upstreams);
    fleet_set_seeds(&node->fleet, seeds, count);
    if (node->has_disk) {
        const wire_config *config;

        start_order(sim, n);
        if (node->kept != NULL) {
            g_assert_true(fleet_load(&node->fleet, sim->now, node->kept));
        }
        config = cons_config(&node->replica.cons);
        for (u_int i = 0; i < config->voters.voters_len; i++) {
            fleet_add_contact(&node->fleet,
                              config->voters.voters_val[i].replica);
        }
    }
}

/* Loses what is stored of the fleet. */
static void
forget_kept(struct fleet_sim_node *node)
{
    if (node->kept != NULL) {
        g_byte_array_unref(node->kept);
        node->kept = NULL;
    }
}

/* Kills a node; its disk stays. */
void
fleet_sim_kill(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];

    if (!node->up) {
        return;
    }
    node->up = false;
    node->frozen_until = 0;
    fragment_close(&node->parts);
    if (node->has_disk) {
        replica_close(&node->replica);
        forget_kept(node);
        node->kept = fleet_save(&node->fleet, sim->now);
    }
    fleet_close(&node->fleet);
    evidence_close(&node->evidence);
    upstream_close(&node->upstreams);
}

/* Starts a node again. */
void
fleet_sim_start(struct fleet_sim *sim, int n)
{
    if (!sim->nodes[n].up && !sim->nodes[n].gone) {
        start_node(sim, n, false);
    }
}

/* Kills a node and loses its disk. */
void
fleet_sim_wipe(struct fleet_sim *sim, int n)
{
    fleet_sim_kill(sim, n);
    sim_disk_wipe(&sim->nodes[n].disk);
    forget_kept(&sim->nodes[n]);
    sim->nodes[n].disk.identity = fleet_sim_random(sim, 0) | IDENTITY_BIT;
}

/* Freezes a node. */
void
fleet_sim_freeze(struct fleet_sim *sim, int n, uint64_t until)
{
    sim->nodes[n].frozen_until = until;
}

/* Cuts two nodes from each other, or joins them again. */
void
fleet_sim_cut(struct fleet_sim *sim, int one, int other, bool cut)
{
    sim->cut[one][other] = cut;
    sim->cut[other][one] = cut;
}

/* Cuts a node from all others, or joins it again. */
void
fleet_sim_isolate(struct fleet_sim *sim, int n, bool cut)
{
    for (int i = 0; i < FLEET_SIM_NODES; i++) {
        if (i != n) {
            fleet_sim_cut(sim, n, i, cut);
        }
    }
}

/* Data hall of a node. */
int
fleet_sim_hall(const struct fleet_sim *sim, int n)
{
    return n % MAX(sim->options.halls, 1);
}

/* Adds a node that has not started. */
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

/* Replaces a node by an empty one. */
int
fleet_sim_replace(struct fleet_sim *sim, int n)
{
    int successor;

    fleet_sim_kill(sim, n);
    sim->nodes[n].gone = true;
    successor = add_node(sim, sim->nodes[n].has_disk);
    start_node(sim, successor, false);
    return successor;
}

/* Adds a node without a disk. */
int
fleet_sim_join(struct fleet_sim *sim)
{
    int n = add_node(sim, false);

    start_node(sim, n, false);
    return n;
}

/* The node that leads. */
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

/* The lowest version that a running node works by. */
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

/* The node that serves an operator who asked another one. */
static int
serving(const struct fleet_sim *sim, int n)
{
    int leader;

    if (!fleet_sim_is_running(sim, n)) {
        return -1;
    }
    leader = fleet_sim_node_at(sim, sim->nodes[n].fleet.leader);
    return leader >= 0 && !sim->cut[n][leader] &&
                   fleet_sim_is_running(sim, leader) &&
                   sim->nodes[leader].has_disk
               ? leader
               : -1;
}

/* Remembers what a token waits for. */
static uint64_t
new_token(struct fleet_sim *sim, GHashTable *waiting, uint64_t value)
{
    uint64_t *pair = g_new(uint64_t, 2);

    pair[0] = ++sim->last_token;
    pair[1] = value;
    g_hash_table_insert(waiting, &pair[0], &pair[1]);
    return pair[0];
}

/* Sends a table. */
void
fleet_sim_submit(struct fleet_sim *sim, int n, uint64_t version)
{
    int leader = serving(sim, n);
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
                   new_token(sim, sim->waiting, version), &routes);
    g_free(text);
    act(sim, leader);
}

/* Asks for the table in force. */
void
fleet_sim_read(struct fleet_sim *sim, int n)
{
    int leader = serving(sim, n);

    if (leader >= 0) {
        replica_read(&sim->nodes[leader].replica, sim->now,
                     new_token(sim, sim->waiting, sim->acked));
        act(sim, leader);
    }
}

/* Sends one version until it is acknowledged. */
bool
fleet_sim_put(struct fleet_sim *sim, uint64_t version, uint64_t limit_ms)
{
    uint64_t until = sim->now + limit_ms;

    while (sim->acked < version && sim->now < until) {
        fleet_sim_submit(sim, (int)fleet_sim_random(sim, (uint64_t)sim->count),
                         version);
        fleet_sim_run(sim, sim->now + TRY_MS);
    }
    return sim->acked >= version;
}

/* Sends the last order that was made about a hall. */
static void
send_hall(struct fleet_sim *sim, int n, const char *hall, bool emptied)
{
    struct hall_order order = {.drained = emptied};
    int leader = serving(sim, n);

    if (leader < 0) {
        return;
    }
    g_strlcpy(order.hall, hall, sizeof(order.hall));
    replica_submit_hall(&sim->nodes[leader].replica, sim->now,
                        new_token(sim, sim->halls_waiting, sim->halls_ordered),
                        &order);
    act(sim, leader);
}

/* Sends a new order about a hall. */
void
fleet_sim_order_hall(struct fleet_sim *sim, int n, const char *hall,
                     bool emptied)
{
    sim->halls_ordered++;
    send_hall(sim, n, hall, emptied);
}

/* Sends an order until it is acknowledged. */
bool
fleet_sim_put_hall(struct fleet_sim *sim, const char *hall, bool emptied,
                   uint64_t limit_ms)
{
    uint64_t until = sim->now + limit_ms;

    sim->halls_ordered++;
    while (sim->halls_acked < sim->halls_ordered && sim->now < until) {
        send_hall(sim, (int)fleet_sim_random(sim, (uint64_t)sim->count), hall,
                  emptied);
        fleet_sim_run(sim, sim->now + TRY_MS);
    }
    return sim->halls_acked >= sim->halls_ordered;
}

/* Counts the running nodes that hold another list than the leader's voter. */
int
fleet_sim_count_other_halls(const struct fleet_sim *sim)
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

/* Reads until a quorum answers. */
bool
fleet_sim_get(struct fleet_sim *sim, uint64_t limit_ms)
{
    uint64_t until = sim->now + limit_ms;

    sim->read = 0;
    while (sim->read == 0 && sim->now < until) {
        fleet_sim_read(sim, (int)fleet_sim_random(sim, (uint64_t)sim->count));
        fleet_sim_run(sim, sim->now + TRY_MS);
    }
    return sim->read != 0;
}

/* Lets an upstream register. */
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
        u->register_at = sim->now + TRY_AGAIN_MS;
        return;
    }
    u->keeper = n;
    u->register_at = sim->now + FLEET_SIM_INTERVAL_MS;
    upstream_register(&sim->nodes[n].upstreams, sim->now, &registration);
    act(sim, n);
}

/* Lets upstreams register. */
static void
register_all(struct fleet_sim *sim)
{
    for (int i = 0; i < sim->upstream_count; i++) {
        struct fleet_sim_upstream *u = &sim->upstreams[i];

        if (u->up && sim->now >= u->register_at) {
            register_upstream(sim, u, i);
        }
    }
}

/* Counts a deadline of the loop that was over at its last tick: the loop calls
 * it missed and pauses. The voter has a loop of its own. */
static void
note_missed(struct fleet_sim *sim, const struct fleet_sim_node *node,
            uint64_t ticked_at)
{
    sim->deadlines_missed +=
        MIN(fleet_deadline(&node->fleet),
            upstream_deadline(&node->upstreams)) < ticked_at;
}

/* Gives a message to a node; a part waits until its message is whole. */
void
fleet_sim_deliver(struct fleet_sim *sim, int to, const GByteArray *bytes)
{
    struct fleet_sim_node *node = &sim->nodes[to];
    GByteArray *whole;
    wire_msg msg;

    g_assert_true(codec_decode(bytes->data, bytes->len, &msg));
    if (msg.kind == WIRE_PART) {
        whole = fragment_receive(&node->parts, sim->now, &msg.wire_msg_u.part);
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
    act(sim, to);
    note_missed(sim, node, sim->now - STEP_MS);
}

/* Earliest deadline of a node. */
static uint64_t
deadline(const struct fleet_sim_node *node)
{
    uint64_t at =
        MIN(fleet_deadline(&node->fleet), upstream_deadline(&node->upstreams));

    return node->has_disk ? MIN(at, replica_deadline(&node->replica)) : at;
}

/* Notes a deadline that no tick meets: a loop would wake up for it again and
 * again. One that a tick sets for at once is met by the next. */
static void
check_spin(struct fleet_sim *sim, int n)
{
    struct fleet_sim_node *node = &sim->nodes[n];
    uint64_t at = deadline(node);

    node->ticks_late = at <= sim->now ? node->ticks_late + 1 : 0;
    note_missed(sim, node, sim->now);
    if (node->ticks_late > TICKS_LATE_MAX) {
        fleet_sim_note(sim, "node %d spins at %llu ms for a deadline of %llu",
                       n, (unsigned long long)sim->now,
                       (unsigned long long)at);
    }
}

/* Lets time pass at a node. */
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
    check_spin(sim, n);
    act(sim, n);
}

/* Runs until a time. */
void
fleet_sim_run(struct fleet_sim *sim, uint64_t until)
{
    while (sim->now < until) {
        sim->now += STEP_MS;
        register_all(sim);
        fleet_sim_deliver_due(sim);
        for (int i = 0; i < sim->count; i++) {
            if (fleet_sim_is_running(sim, i)) {
                tick(sim, i);
            }
        }
    }
}

/* Makes a fleet and starts it. */
struct fleet_sim *
fleet_sim_new(const struct fleet_sim_options *options)
{
    struct fleet_sim *sim = g_new0(struct fleet_sim, 1);

    sim->options = *options;
    sim->first_seed = options->first_seed;
    sim->now = BEGIN_MS;
    sim->random = options->seed;
    sim->queue = fleet_sim_queue_new();
    sim->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    sim->halls_waiting =
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
                sim->now + fleet_sim_random(sim, FLEET_SIM_INTERVAL_MS)};
    }
    return sim;
}

/* Frees it. */
void
fleet_sim_free(struct fleet_sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        fleet_sim_kill(sim, i);
        sim_disk_wipe(&sim->nodes[i].disk);
        forget_kept(&sim->nodes[i]);
        g_free(sim->nodes[i].disk.snapshot.config.voters.voters_val);
        g_array_free(sim->nodes[i].disk.log, TRUE);
    }
    fleet_sim_queue_free(sim->queue);
    g_hash_table_destroy(sim->waiting);
    g_hash_table_destroy(sim->halls_waiting);
    g_free(sim);
}
