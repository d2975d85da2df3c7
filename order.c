/*
 * The order of routing tables among the voters: applying what is committed,
 * operators who wait, and who votes.
 */
#include "order.h"

#include <string.h>

#include "codec.h"

/* Voters are asked for changes of their list at most this often. */
#define VOTERS_CHECK_MS 100U

/* Adds an action. */
static struct order_action *
act(struct order *order, enum order_action_kind kind)
{
    struct order_action action = {.kind = kind};

    g_array_append_val(order->actions, action);
    return &g_array_index(order->actions, struct order_action,
                          order->actions->len - 1);
}

/* Moves what consensus asks for to the own actions. */
static void
take_cons_actions(struct order *order)
{
    size_t count;
    const struct cons_action *all = cons_actions(&order->cons, &count);

    for (size_t i = 0; i < count; i++) {
        act(order, ORDER_CONS)->cons = all[i];
    }
    /* Appends borrow arrays, which live until the actions are cleared. */
    g_array_set_size(order->cons.actions, 0);
}

/* Answers an operator. */
static void
reply(struct order *order, uint64_t token, enum status_kind kind,
      const char *message, bool with_table)
{
    struct order_action *action = act(order, ORDER_REPLY);

    action->token = token;
    action->with_table = with_table;
    (void)status_set(&action->status, kind, "%s", message);
}

/* Holds a committed table when its version is higher. */
static void
hold(struct order *order, const wire_routes *routes, GBytes *command)
{
    if (routes->bundle_version <= order->version) {
        return;
    }
    g_clear_pointer(&order->routes, g_bytes_unref);
    order->routes = g_bytes_ref(command);
    order->version = routes->bundle_version;
    (void)act(order, ORDER_APPLY);
}

/* Applies one encoded command. */
static void
apply_command(struct order *order, GBytes *bytes)
{
    gsize length = 0;
    const void *data = g_bytes_get_data(bytes, &length);
    wire_command command;

    if (!codec_decode_command(data, length, &command)) {
        return;
    }
    switch (command.kind) {
    case WIRE_CMD_ROUTES:
        hold(order, &command.wire_command_u.routes, bytes);
        break;
    case WIRE_CMD_NOOP:
    case WIRE_CMD_BUNDLE:
    case WIRE_CMD_SIGN_OFF:
    case WIRE_CMD_STEP:
    case WIRE_CMD_EPOCH:
    case WIRE_CMD_CONFIG:
        break;
    }
    codec_free_command(&command);
}

/* Takes the state of a snapshot. */
static void
load_snapshot(struct order *order)
{
    const struct cons_snapshot *snapshot = &order->cons.snapshot;

    if (snapshot->index > order->applied && snapshot->state != NULL) {
        order->applied = snapshot->index;
        apply_command(order, snapshot->state);
    }
}

/* Applies what was committed since. */
static void
apply_committed(struct order *order)
{
    load_snapshot(order);
    while (order->applied < order->cons.commit) {
        const struct cons_entry *entry =
            cons_entry_at(&order->cons, order->applied + 1);

        if (entry == NULL) {
            break;
        }
        order->applied++;
        counter_add(order->counters, COUNTER_COMMITS, 1);
        apply_command(order, entry->command);
    }
}

/* The state as a snapshot holds it; a no-op when there is no table yet. */
static GBytes *
pack_state(const struct order *order)
{
    wire_command command = {.kind = WIRE_CMD_NOOP};

    return order->routes != NULL
               ? g_bytes_ref(order->routes)
               : g_byte_array_free_to_bytes(codec_encode_command(&command));
}

/* Replaces a long log by a snapshot. */
static void
compact(struct order *order)
{
    GBytes *state;

    if (order->applied < order->cons.snapshot.index + ORDER_COMPACT) {
        return;
    }
    state = pack_state(order);
    cons_compact(&order->cons, order->applied, state);
    g_bytes_unref(state);
}

/* Says whether a wait is over, and how. */
static bool
is_over(struct order *order, uint64_t now, const struct order_wait *wait)
{
    const struct cons *cons = &order->cons;

    if (cons->role != CONS_LEADER || cons->term != wait->term) {
        reply(order, wait->token, STATUS_UNCONFIRMED,
              "the leader changed; send it again, to any node", false);
        return true;
    }
    if (wait->read ? cons->confirmed >= wait->round && cons_is_ready(cons)
                   : order->applied >= wait->index) {
        reply(order, wait->token, STATUS_OK, "", wait->read);
        return true;
    }
    if (now >= wait->deadline) {
        reply(order, wait->token, STATUS_UNCONFIRMED,
              "no quorum of disks confirmed it in time; send it again", false);
        return true;
    }
    return false;
}

/* Answers operators whose wait is over. */
static void
end_waits(struct order *order, uint64_t now)
{
    for (guint i = order->waits->len; i > 0; i--) {
        struct order_wait wait =
            g_array_index(order->waits, struct order_wait, i - 1);

        if (is_over(order, now, &wait)) {
            g_array_remove_index_fast(order->waits, i - 1);
        }
    }
}

/* What follows each event. */
static void
settle(struct order *order, uint64_t now)
{
    take_cons_actions(order);
    apply_committed(order);
    end_waits(order, now);
}

/* Starts a replica. */
void
order_open(struct order *order, uint64_t now, uint32_t self, uint64_t identity,
           bool founder, uint64_t seed, struct cons_stored *stored,
           struct counters *counters)
{
    wire_voter alone = {.replica = self, .identity = identity};
    wire_config founders = {
        .voters = {.voters_len = founder ? 1 : 0, .voters_val = &alone}};

    memset(order, 0, sizeof(*order));
    order->counters = counters;
    order->waits = g_array_new(FALSE, FALSE, sizeof(struct order_wait));
    order->actions = g_array_new(FALSE, TRUE, sizeof(struct order_action));
    cons_open(&order->cons, now, self, identity, &self, 1, &founders, seed,
              stored);
    order->cons.election_at =
        now + ORDER_FIRST_MS + seed % ORDER_FIRST_SPAN_MS;
    if (founder && cons_last_index(&order->cons) == 0) {
        order->founded_at = now;
        order->cons.election_at = now;
    }
    settle(order, now);
}

/* Frees a replica. */
void
order_close(struct order *order)
{
    order_clear(order);
    cons_close(&order->cons);
    g_clear_pointer(&order->routes, g_bytes_unref);
    g_array_free(order->waits, TRUE);
    g_array_free(order->actions, TRUE);
}

/* Notes that a node with a disk is alive. */
void
order_hear(struct order *order, uint64_t now, uint32_t replica,
           uint64_t identity)
{
    struct order_disk disk = {
        .replica = replica, .identity = identity, .heard_at = now};

    for (size_t i = 0; i < order->disk_count; i++) {
        if (order->disks[i].replica == replica) {
            order->disks[i] = disk;
            return;
        }
    }
    if (order->disk_count < ORDER_DISKS_MAX) {
        order->disks[order->disk_count++] = disk;
    }
}

/* What a disk reported; NULL when it did not lately. */
static const struct order_disk *
disk_of(const struct order *order, uint32_t replica)
{
    for (size_t i = 0; i < order->disk_count; i++) {
        if (order->disks[i].replica == replica) {
            return &order->disks[i];
        }
    }
    return NULL;
}

/* Forgets disks that report nothing, and talks to the others. */
static void
meet_disks(struct order *order, uint64_t now)
{
    for (size_t i = order->disk_count; i > 0; i--) {
        struct order_disk *disk = &order->disks[i - 1];

        if (now > disk->heard_at + ORDER_FORGET_MS) {
            cons_drop_replica(&order->cons, disk->replica);
            *disk = order->disks[--order->disk_count];
        }
        else {
            (void)cons_add_replica(&order->cons, now, disk->replica);
        }
    }
}

/* Says whether a disk holds the log as far as it is committed. */
static bool
holds_log(struct order *order, uint32_t replica, uint64_t identity)
{
    const struct cons *cons = &order->cons;

    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == replica && replica != cons->self) {
            return cons->peers[i].identity == identity &&
                   cons->peers[i].match >= cons->commit;
        }
    }
    return replica == cons->self && identity == cons->identity;
}

/* Says whether a list of voters holds a replica. */
static bool
lists(const wire_config *config, uint32_t replica)
{
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        if (config->voters.voters_val[i].replica == replica) {
            return true;
        }
    }
    return false;
}

/* A disk that may become a voter: alive, holds the log, no voter yet. */
static const struct order_disk *
next_spare(struct order *order, const wire_config *config)
{
    for (size_t i = 0; i < order->disk_count; i++) {
        const struct order_disk *disk = &order->disks[i];

        if (!lists(config, disk->replica) &&
            holds_log(order, disk->replica, disk->identity)) {
            return disk;
        }
    }
    return NULL;
}

/* When a voter was last heard, by messages or reports. */
static uint64_t
voter_heard_at(const struct order *order, uint32_t replica)
{
    const struct cons *cons = &order->cons;

    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == replica) {
            return cons->peers[i].heard_at;
        }
    }
    return 0;
}

/* Puts right one voter of a new list: its disk is another one now, or it is
 * gone and another disk takes its place. Returns true when it changed. */
static bool
mend_voter(struct order *order, uint64_t now, wire_config *config,
           wire_voter *voter)
{
    const struct order_disk *disk = disk_of(order, voter->replica);
    const struct order_disk *spare;

    if (voter->replica == order->cons.self) {
        return false;
    }
    if (disk != NULL && disk->identity != voter->identity &&
        holds_log(order, disk->replica, disk->identity)) {
        voter->identity = disk->identity;
        return true;
    }
    if (now <= voter_heard_at(order, voter->replica) + ORDER_REPLACE_MS ||
        now <= order->cons.elected_at + ORDER_REPLACE_MS) {
        return false;
    }
    spare = next_spare(order, config);
    if (spare == NULL) {
        return false;
    }
    voter->replica = spare->replica;
    voter->identity = spare->identity;
    return true;
}

/* How many voters are wanted: as many as there are disks, the own one with
 * them, but an odd number, since an even one survives no more losses than the
 * odd one below it. */
static u_int
wanted_voters(const struct order *order, uint64_t now)
{
    u_int disks = 1;

    for (size_t i = 0; i < order->disk_count; i++) {
        disks += now <= order->disks[i].heard_at + ORDER_FRESH_MS;
    }
    disks = MIN(disks, CONS_REPLICAS_MAX);
    return disks % 2 == 0 ? disks - 1 : disks;
}

/* Adds voters until there are as many as wanted, two at a time so that the
 * number stays odd. Returns true when the list changed. */
static bool
grow_voters(struct order *order, uint64_t now, wire_config *config)
{
    u_int before = config->voters.voters_len;
    const struct order_disk *spare;

    while (config->voters.voters_len < wanted_voters(order, now) &&
           (spare = next_spare(order, config)) != NULL) {
        config->voters.voters_val[config->voters.voters_len++] = (wire_voter){
            .replica = spare->replica, .identity = spare->identity};
    }
    if (config->voters.voters_len % 2 == 0 &&
        config->voters.voters_len > before) {
        config->voters.voters_len--;
    }
    return config->voters.voters_len != before;
}

/* Takes one voter off a list. */
static void
drop_voter(wire_config *config, u_int place)
{
    config->voters.voters_len--;
    config->voters.voters_val[place] =
        config->voters.voters_val[config->voters.voters_len];
}

/* Drops a voter that is gone and that no disk can replace, and another one so
 * that the number stays odd. Returns true when the list changed. */
static bool
shrink_voters(struct order *order, uint64_t now, wire_config *config)
{
    u_int count = config->voters.voters_len;
    u_int dead = count;
    u_int other = count;

    if (count <= wanted_voters(order, now) ||
        now <= order->cons.elected_at + ORDER_SHRINK_MS) {
        return false;
    }
    for (u_int i = 0; i < count; i++) {
        uint32_t replica = config->voters.voters_val[i].replica;

        if (replica == order->cons.self) {
            continue;
        }
        if (dead == count &&
            now > voter_heard_at(order, replica) + ORDER_SHRINK_MS) {
            dead = i;
        }
        else {
            other = i;
        }
    }
    if (dead == count || other == count) {
        return false;
    }
    drop_voter(config, MAX(dead, other));
    drop_voter(config, MIN(dead, other));
    return true;
}

/* LEADER: proposes a better list of voters, one change at a time. */
static void
mend_voters(struct order *order, uint64_t now)
{
    wire_voter voters[CONS_REPLICAS_MAX];
    const wire_config *latest = cons_config(&order->cons);
    wire_command command = {.kind = WIRE_CMD_CONFIG};
    wire_config *config = &command.wire_command_u.config;
    bool changed = false;

    if (!cons_is_ready(&order->cons) ||
        order->cons.change_index > order->cons.commit ||
        latest->voters.voters_len > CONS_REPLICAS_MAX) {
        return;
    }
    config->voters.voters_val = voters;
    config->voters.voters_len = latest->voters.voters_len;
    memcpy(voters, latest->voters.voters_val,
           latest->voters.voters_len * sizeof(*voters));
    for (u_int i = 0; i < config->voters.voters_len && !changed; i++) {
        changed = mend_voter(order, now, config, &voters[i]);
    }
    if (changed || grow_voters(order, now, config) ||
        shrink_voters(order, now, config)) {
        (void)cons_propose(&order->cons, now, &command);
    }
}

/* A new leader writes its list of voters once, so that each log that begins
 * empty holds the list that a later change starts from. */
static void
begin_to_lead(struct order *order, uint64_t now)
{
    const struct cons *cons = &order->cons;

    if (order->lead_term == cons->term) {
        return;
    }
    order->lead_term = cons->term;
    order->settled_at =
        order->founded_at != 0 ? order->founded_at + ORDER_SETTLE_MS : now;
    if (order->founded_at != 0 && cons->change_index == 0) {
        wire_command command = {.kind = WIRE_CMD_CONFIG};

        command.wire_command_u.config = *cons_config(cons);
        (void)cons_propose(&order->cons, now, &command);
    }
}

/* Lets time pass. */
void
order_tick(struct order *order, uint64_t now)
{
    /* Here nothing waits to be stored, which a snapshot could drop. */
    compact(order);
    cons_tick(&order->cons, now);
    if (order->cons.role == CONS_LEADER) {
        begin_to_lead(order, now);
        meet_disks(order, now);
        mend_voters(order, now);
    }
    settle(order, now);
}

/* Takes a message. */
void
order_receive(struct order *order, uint64_t now, const wire_msg *msg)
{
    cons_receive(&order->cons, now, msg);
    if (order->cons.role == CONS_LEADER) {
        begin_to_lead(order, now);
    }
    settle(order, now);
}

/* Says whether this replica may take an operator's request, or answers. */
static bool
may_take(struct order *order, uint64_t now, uint64_t token)
{
    if (order->cons.role != CONS_LEADER || order->cons.failed) {
        reply(order, token, STATUS_NO_ANSWER,
              "this node does not lead; send it to another", false);
        return false;
    }
    if (now < order->settled_at) {
        reply(order, token, STATUS_NO_ANSWER,
              "disks are still joining; send it again", false);
        return false;
    }
    return true;
}

/* An operator sends a table. What is not higher than the version held is
 * acknowledged and changes nothing; so is a resend. */
void
order_submit(struct order *order, uint64_t now, uint64_t token,
             const wire_routes *routes)
{
    struct order_wait wait = {.token = token,
                              .term = order->cons.term,
                              .deadline = now + ORDER_ANSWER_MS};
    wire_command command = {.kind = WIRE_CMD_ROUTES,
                            .wire_command_u.routes = *routes};

    if (!may_take(order, now, token)) {
        return;
    }
    if (routes->bundle_version <= order->version) {
        reply(order, token, STATUS_OK, "", false);
        return;
    }
    wait.index = cons_propose(&order->cons, now, &command);
    if (wait.index != 0) {
        g_array_append_val(order->waits, wait);
    }
    settle(order, now);
}

/* An operator asks. */
void
order_read(struct order *order, uint64_t now, uint64_t token)
{
    struct order_wait wait = {.token = token,
                              .read = true,
                              .term = order->cons.term,
                              .deadline = now + ORDER_ANSWER_MS};

    if (!may_take(order, now, token)) {
        return;
    }
    wait.round = cons_begin_round(&order->cons, now);
    g_array_append_val(order->waits, wait);
    settle(order, now);
}

/* Gives up leading. */
void
order_resign(struct order *order, uint64_t now)
{
    if (order->cons.role == CONS_LEADER) {
        order->cons.role = CONS_FOLLOWER;
        order->cons.leader = 0;
        order->cons.election_at = now + CONS_ELECTION_MS * 4;
        settle(order, now);
    }
}

/* Gives the actions. */
const struct order_action *
order_actions(struct order *order, size_t *count)
{
    *count = order->actions->len;
    return (const struct order_action *)(void *)order->actions->data;
}

/* Forgets the actions, and frees what appends borrowed. */
void
order_clear(struct order *order)
{
    for (guint i = 0; i < order->actions->len; i++) {
        struct order_action *action =
            &g_array_index(order->actions, struct order_action, i);

        if (action->kind == ORDER_CONS && action->cons.kind == CONS_SEND &&
            action->cons.msg.kind == WIRE_APPEND) {
            g_free(action->cons.msg.wire_msg_u.append.entries.entries_val);
        }
    }
    g_array_set_size(order->actions, 0);
}

/* Earliest time at which something is due. */
uint64_t
order_deadline(const struct order *order)
{
    const struct cons *cons = &order->cons;
    uint64_t at =
        cons->role == CONS_LEADER ? cons->heartbeat_at : cons->election_at;

    for (guint i = 0; i < order->waits->len; i++) {
        at = MIN(at,
                 g_array_index(order->waits, struct order_wait, i).deadline);
    }
    return at;
}
