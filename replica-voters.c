/*
 * Who votes: which disks there are, which of them hold the log, and the
 * changes of the list of voters that the leader proposes, one at a time.
 */
#include "replica-internal.h"

#include <string.h>

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

/* What a disk reported; NULL when it did not
 * within ORDER_FORGET_MS. */
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
void
order_meet_disks(struct order *order, uint64_t now)
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
lists_voter(const wire_config *config, uint32_t replica)
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

        if (!lists_voter(config, disk->replica) &&
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
void
order_mend_voters(struct order *order, uint64_t now)
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
