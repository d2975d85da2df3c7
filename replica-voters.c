/*
 * Membership: learners and the set of voters. The leader proposes one change
 * of the set at a time.
 */
#include "replica-internal.h"

#include <string.h>

#include "fault.h"

#define VOTERS_MIN 3U /* left when voters stop as planned */

void
replica_update_disk(struct replica *replica, uint64_t now,
                    const wire_node *node)
{
    struct replica_disk disk = {.address = node->address,
                                .identity = node->identity,
                                .last_seen_at = now,
                                .stopping = node->stopping};

    for (size_t i = 0; i < replica->disk_count; i++) {
        if (replica->disks[i].address == node->address) {
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

/* Whether a node with a disk is up and stays up, as far as is known. */
static bool
is_available(const struct replica_disk *disk, uint64_t now)
{
    return !disk->stopping &&
           now <= disk->last_seen_at + REPLICA_DISK_FRESH_MS;
}

bool
replica_has_successor(const struct replica *replica, uint64_t now)
{
    const wire_config *config = cons_config(&replica->cons);

    for (size_t i = 0; i < replica->disk_count; i++) {
        if (is_available(&replica->disks[i], now) &&
            !is_voter(config, replica->disks[i].address)) {
            return true;
        }
    }
    return false;
}

/* An available learner that holds all committed entries; NULL: none. */
static const struct replica_disk *
find_spare(struct replica *replica, uint64_t now, const wire_config *config)
{
    for (size_t i = 0; i < replica->disk_count; i++) {
        const struct replica_disk *disk = &replica->disks[i];

        if (is_available(disk, now) && !is_voter(config, disk->address) &&
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

/* Whether a voter's node reports a planned stop. The report counts until the
 * node starts again; it may be the last one. */
static bool
is_stopping(const struct replica *replica, const wire_voter *voter)
{
    const struct replica_disk *disk = find_disk(replica, voter->replica);

    if (fault_is(FAULT_IGNORE_STOPPING)) {
        return false;
    }
    return voter->replica == replica->cons.self
               ? replica->stopping
               : disk != NULL && disk->stopping &&
                     disk->identity == voter->identity;
}

static void
note_replacement(struct replica *replica, uint32_t from, uint32_t to,
                 enum replica_replace_reason reason, uint64_t silent_ms)
{
    replica_add_action(replica, REPLICA_REPLACE)->replacement =
        (struct replica_replacement){
            .from = from, .to = to, .reason = reason, .silent_ms = silent_ms};
}

static void
set_voter(struct replica *replica, wire_voter *voter,
          const struct replica_disk *disk, enum replica_replace_reason reason,
          uint64_t silent_ms)
{
    note_replacement(replica, voter->replica, disk->address, reason,
                     silent_ms);
    voter->replica = disk->address;
    voter->identity = disk->identity;
}

/* Replaces a voter whose disk was exchanged, that stops or that is gone.
 * Returns true when the set changed. */
static bool
replace_voter(struct replica *replica, uint64_t now, wire_config *config,
              wire_voter *voter)
{
    const struct replica_disk *disk = find_disk(replica, voter->replica);
    bool is_self = voter->replica == replica->cons.self;
    bool stopping = is_stopping(replica, voter);
    uint64_t silent_ms =
        is_self ? 0 : now - voter_last_seen_at(replica, voter->replica);
    const struct replica_disk *spare;

    if (!is_self && disk != NULL && disk->identity != voter->identity &&
        holds_log(replica, disk->address, disk->identity)) {
        set_voter(replica, voter, disk, REPLICA_DISK_CHANGED, silent_ms);
        return true;
    }
    if (!stopping && silent_ms <= REPLICA_REPLACE_MS) {
        return false;
    }
    spare = find_spare(replica, now, config);
    if (spare == NULL) {
        return false;
    }
    set_voter(replica, voter, spare,
              stopping ? REPLICA_VOTER_STOPPING : REPLICA_VOTER_SILENT,
              silent_ms);
    return true;
}

/* Replaces all voters for which it is due, in one change: several nodes may
 * stop at a time. */
static bool
replace_voters(struct replica *replica, uint64_t now, wire_config *config)
{
    bool changed = false;

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        changed = replace_voter(replica, now, config,
                                &config->voters.voters_val[i]) ||
                  changed;
    }
    return changed;
}

static void
remove_voter(wire_config *config, u_int index)
{
    config->voters.voters_len--;
    config->voters.voters_val[index] =
        config->voters.voters_val[config->voters.voters_len];
}

/* Index of a voter whose node reports a planned stop; the number of voters
 * when there is none from `first` on. */
static u_int
find_stopping(const struct replica *replica, const wire_config *config,
              u_int first)
{
    while (first < config->voters.voters_len &&
           !is_stopping(replica, &config->voters.voters_val[first])) {
        first++;
    }
    return first;
}

/* Removes voters that stop and that no disk can replace, two at a time to keep
 * the number odd: those that stay then tolerate one failure more. Only where
 * disks that are to replace others may have become voters besides them; and
 * VOTERS_MIN stay, since a node may start again. Returns true when the set
 * changed. */
static bool
remove_stopping_voters(struct replica *replica, wire_config *config)
{
    bool changed = false;

    while (replica->voters_max == 0 &&
           config->voters.voters_len >= VOTERS_MIN + 2) {
        u_int one = find_stopping(replica, config, 0);
        u_int other = find_stopping(replica, config, one + 1);

        if (other >= config->voters.voters_len) {
            break;
        }
        note_replacement(replica, config->voters.voters_val[one].replica, 0,
                         REPLICA_VOTER_STOPPING, 0);
        note_replacement(replica, config->voters.voters_val[other].replica, 0,
                         REPLICA_VOTER_STOPPING, 0);
        remove_voter(config, other);
        remove_voter(config, one);
        changed = true;
    }
    return changed;
}

/* Voters wanted: the number of available disks, this replica's included, up to
 * the limit, rounded down to an odd number: one voter more would tolerate no
 * more failures. */
static u_int
wanted_voters(const struct replica *replica, uint64_t now)
{
    u_int disks = 1;

    for (size_t i = 0; i < replica->disk_count; i++) {
        disks += is_available(&replica->disks[i], now);
    }
    disks = MIN(disks, replica->voters_max > 0 ? replica->voters_max
                                               : CONS_VOTERS_MAX);
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
           (spare = find_spare(replica, now, config)) != NULL) {
        config->voters.voters_val[config->voters.voters_len++] = (wire_voter){
            .replica = spare->address, .identity = spare->identity};
    }
    if (config->voters.voters_len % 2 == 0 &&
        config->voters.voters_len > before) {
        config->voters.voters_len--;
    }
    return config->voters.voters_len != before;
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
    bool changed;

    if (!cons_is_ready(&replica->cons) ||
        !cons_is_voter(&replica->cons, replica->cons.self,
                       replica->cons.identity) ||
        replica->cons.config_index > replica->cons.commit_index ||
        latest->voters.voters_len > CONS_VOTERS_MAX) {
        return;
    }
    config->voters.voters_val = voters;
    config->voters.voters_len = latest->voters.voters_len;
    memcpy(voters, latest->voters.voters_val,
           latest->voters.voters_len * sizeof(*voters));
    changed = replace_voters(replica, now, config);
    changed = remove_stopping_voters(replica, config) || changed;
    if (changed || grow_voters(replica, now, config) ||
        shrink_voters(replica, now, config)) {
        (void)cons_propose(&replica->cons, now, &command);
    }
}
