/*
 * Membership: learners and the set of voters. The leader proposes one change
 * of the set at a time.
 */
#include "replica-internal.h"

#include <string.h>

void
replica_update_disk(struct replica *replica, uint64_t now, uint32_t address,
                    uint64_t identity)
{
    struct replica_disk disk = {
        .address = address, .identity = identity, .last_seen_at = now};

    for (size_t i = 0; i < replica->disk_count; i++) {
        if (replica->disks[i].address == address) {
            replica->disks[i] = disk;
            return;
        }
    }
    if (replica->disk_count < REPLICA_DISKS_MAX) {
        replica->disks[replica->disk_count++] = disk;
    }
}

/* NULL when the disk sent no report within REPLICA_DISK_TIMEOUT_MS. */
static const struct replica_disk *
find_disk(const struct replica *replica, uint32_t address)
{
    for (size_t i = 0; i < replica->disk_count; i++) {
        if (replica->disks[i].address == address) {
            return &replica->disks[i];
        }
    }
    return NULL;
}

void
replica_update_peers(struct replica *replica, uint64_t now)
{
    for (size_t i = replica->disk_count; i > 0; i--) {
        struct replica_disk *disk = &replica->disks[i - 1];

        if (now > disk->last_seen_at + REPLICA_DISK_TIMEOUT_MS) {
            cons_remove_peer(&replica->cons, disk->address);
            *disk = replica->disks[--replica->disk_count];
        }
        else {
            (void)cons_add_peer(&replica->cons, now, disk->address);
        }
    }
}

/* True when a disk holds all committed entries. */
static bool
holds_log(struct replica *replica, uint32_t address, uint64_t identity)
{
    const struct cons *cons = &replica->cons;

    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == address && address != cons->self) {
            return cons->peers[i].identity == identity &&
                   cons->peers[i].match_index >= cons->commit_index;
        }
    }
    return address == cons->self && identity == cons->identity;
}

static bool
is_voter(const wire_config *config, uint32_t address)
{
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        if (config->voters.voters_val[i].replica == address) {
            return true;
        }
    }
    return false;
}

/* A learner that holds all committed entries; NULL: none. */
static const struct replica_disk *
find_spare(struct replica *replica, const wire_config *config)
{
    for (size_t i = 0; i < replica->disk_count; i++) {
        const struct replica_disk *disk = &replica->disks[i];

        if (!is_voter(config, disk->address) &&
            holds_log(replica, disk->address, disk->identity)) {
            return disk;
        }
    }
    return NULL;
}

static uint64_t
voter_last_seen_at(const struct replica *replica, uint32_t address)
{
    const struct cons *cons = &replica->cons;

    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == address) {
            return cons->peers[i].last_reply_at;
        }
    }
    return 0;
}

/* Replaces a voter whose disk was exchanged or that is gone. Returns true when
 * the set changed. */
static bool
replace_voter(struct replica *replica, uint64_t now, wire_config *config,
              wire_voter *voter)
{
    const struct replica_disk *disk = find_disk(replica, voter->replica);
    const struct replica_disk *spare;

    if (voter->replica == replica->cons.self) {
        return false;
    }
    if (disk != NULL && disk->identity != voter->identity &&
        holds_log(replica, disk->address, disk->identity)) {
        voter->identity = disk->identity;
        return true;
    }
    if (now <=
        voter_last_seen_at(replica, voter->replica) + REPLICA_REPLACE_MS) {
        return false;
    }
    spare = find_spare(replica, config);
    if (spare == NULL) {
        return false;
    }
    voter->replica = spare->address;
    voter->identity = spare->identity;
    return true;
}

/* Voters wanted: the number of disks, this replica's included, rounded down to
 * an odd number: one voter more would tolerate no more failures. */
static u_int
wanted_voters(const struct replica *replica, uint64_t now)
{
    u_int disks = 1;

    for (size_t i = 0; i < replica->disk_count; i++) {
        disks += now <= replica->disks[i].last_seen_at + REPLICA_DISK_FRESH_MS;
    }
    disks = MIN(disks, CONS_VOTERS_MAX);
    return disks % 2 == 0 ? disks - 1 : disks;
}

/* Adds learners up to the wanted number, two at a time to keep it odd. Returns
 * true when the set changed. */
static bool
grow_voters(struct replica *replica, uint64_t now, wire_config *config)
{
    u_int before = config->voters.voters_len;
    const struct replica_disk *spare;

    while (config->voters.voters_len < wanted_voters(replica, now) &&
           (spare = find_spare(replica, config)) != NULL) {
        config->voters.voters_val[config->voters.voters_len++] = (wire_voter){
            .replica = spare->address, .identity = spare->identity};
    }
    if (config->voters.voters_len % 2 == 0 &&
        config->voters.voters_len > before) {
        config->voters.voters_len--;
    }
    return config->voters.voters_len != before;
}

static void
remove_voter(wire_config *config, u_int index)
{
    config->voters.voters_len--;
    config->voters.voters_val[index] =
        config->voters.voters_val[config->voters.voters_len];
}

/* Removes a voter that is gone and that no disk can replace, and one more to
 * keep the number odd. Returns true when the set changed. */
static bool
shrink_voters(struct replica *replica, uint64_t now, wire_config *config)
{
    u_int count = config->voters.voters_len;
    u_int gone = count;
    u_int other = count;

    if (count <= wanted_voters(replica, now) ||
        now <= replica->cons.elected_at + REPLICA_SHRINK_MS) {
        return false;
    }
    for (u_int i = 0; i < count; i++) {
        uint32_t address = config->voters.voters_val[i].replica;

        if (address == replica->cons.self) {
            continue;
        }
        if (gone == count &&
            now > voter_last_seen_at(replica, address) + REPLICA_SHRINK_MS) {
            gone = i;
        }
        else {
            other = i;
        }
    }
    if (gone == count || other == count) {
        return false;
    }
    remove_voter(config, MAX(gone, other));
    remove_voter(config, MIN(gone, other));
    return true;
}

void
replica_update_voters(struct replica *replica, uint64_t now)
{
    wire_voter voters[CONS_VOTERS_MAX];
    const wire_config *latest = cons_config(&replica->cons);
    wire_command command = {.kind = WIRE_CMD_CONFIG};
    wire_config *config = &command.wire_command_u.config;
    bool changed = false;

    if (!cons_is_ready(&replica->cons) ||
        replica->cons.config_index > replica->cons.commit_index ||
        latest->voters.voters_len > CONS_VOTERS_MAX) {
        return;
    }
    config->voters.voters_val = voters;
    config->voters.voters_len = latest->voters.voters_len;
    memcpy(voters, latest->voters.voters_val,
           latest->voters.voters_len * sizeof(*voters));
    for (u_int i = 0; i < config->voters.voters_len && !changed; i++) {
        changed = replace_voter(replica, now, config, &voters[i]);
    }
    if (changed || grow_voters(replica, now, config) ||
        shrink_voters(replica, now, config)) {
        (void)cons_propose(&replica->cons, now, &command);
    }
}
