/*
 * Voter configuration and quorums. A configuration takes effect when it is
 * appended; until it is committed, a quorum needs a majority of the old and
 * of the new voters (joint consensus). A voter is a replica number plus the
 * identity of its disk, so a replica that lost its disk has no vote.
 */
#include "cons-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

void
cons_copy_config(const wire_config *from, wire_config *to)
{
    size_t bytes = from->voters.voters_len * sizeof(wire_voter);

    if (from == to) {
        return;
    }
    g_free(to->voters.voters_val);
    to->retired = from->retired;
    to->voters.voters_len = from->voters.voters_len;
    to->voters.voters_val = g_memdup2(from->voters.voters_val, bytes);
}

/* Sets the configuration of an empty log. */
void
cons_voters_init(struct cons *cons, const wire_config *initial)
{
    cons_copy_config(initial, &cons->snapshot.config);
    cons_copy_config(initial, &cons->config);
}

void
cons_voters_free(struct cons *cons)
{
    g_free(cons->snapshot.config.voters.voters_val);
    g_free(cons->config.voters.voters_val);
}

/* Returns false for an entry that is not a configuration change. */
static bool
decode_config_entry(const struct cons *cons, uint64_t index, wire_command *out)
{
    const struct cons_entry *entry = cons_entry_at(cons, index);
    gsize length = 0;
    const unsigned char *bytes = g_bytes_get_data(entry->command, &length);

    /* The command kind is the first XDR word. */
    if (length < 4 || bytes[3] != WIRE_CMD_CONFIG) {
        return false;
    }
    return codec_decode_command(bytes, length, out);
}

/* Index of the last configuration entry at or before an index. */
static uint64_t
last_config_index(const struct cons *cons, uint64_t index)
{
    while (index > cons->snapshot.index) {
        wire_command command;

        if (decode_config_entry(cons, index, &command)) {
            codec_free_command(&command);
            return index;
        }
        index--;
    }
    return cons->snapshot.index;
}

/* Copies the configuration of an entry, or else of the snapshot. */
static void
copy_config_at(const struct cons *cons, uint64_t index, wire_config *out)
{
    wire_command command;

    if (index > cons->snapshot.index &&
        decode_config_entry(cons, index, &command)) {
        cons_copy_config(&command.wire_command_u.config, out);
        codec_free_command(&command);
        return;
    }
    cons_copy_config(&cons->snapshot.config, out);
}

static void
add_voters_as_peers(struct cons *cons)
{
    for (u_int i = 0; i < cons->config.voters.voters_len; i++) {
        (void)cons_add_peer(cons, cons->leader_last_seen_at,
                            cons->config.voters.voters_val[i].replica);
    }
}

/* Restores the configuration after entries were removed or replaced. */
void
cons_voters_rescan(struct cons *cons)
{
    cons->config_index = last_config_index(cons, cons_last_index(cons));
    copy_config_at(cons, cons->config_index, &cons->config);
    add_voters_as_peers(cons);
}

/* Applies the last entry when it is a configuration change. */
void
cons_voters_update(struct cons *cons)
{
    uint64_t last = cons_last_index(cons);
    wire_command command;

    if (decode_config_entry(cons, last, &command)) {
        cons->config_index = last;
        cons_copy_config(&command.wire_command_u.config, &cons->config);
        codec_free_command(&command);
        add_voters_as_peers(cons);
    }
}

bool
cons_config_pending(const struct cons *cons)
{
    return cons->config_index > cons->commit_index;
}

/* The order of the voters counts. */
static bool
same_voters(const wire_config *a, const wire_config *b)
{
    if (a->voters.voters_len != b->voters.voters_len) {
        return false;
    }
    for (u_int i = 0; i < a->voters.voters_len; i++) {
        if (a->voters.voters_val[i].replica !=
                b->voters.voters_val[i].replica ||
            a->voters.voters_val[i].identity !=
                b->voters.voters_val[i].identity) {
            return false;
        }
    }
    return true;
}

/* True if the log records that the last configuration was committed: it was
 * appended twice, or is in the snapshot. A restarted replica does not know the
 * commit index and would otherwise need a majority of the old voters, whose
 * disks may be gone. */
bool
cons_config_commit_logged(const struct cons *cons)
{
    wire_config old_config = {0};
    bool same;

    if (cons->config_index <= cons->snapshot.index) {
        return true;
    }
    copy_config_at(cons, last_config_index(cons, cons->config_index - 1),
                   &old_config);
    same = same_voters(&old_config, &cons->config);
    g_free(old_config.voters.voters_val);
    return same;
}

const wire_config *
cons_config(const struct cons *cons)
{
    return &cons->config;
}

static bool
has_majority(const struct cons *cons, const wire_config *config,
             cons_voter_predicate test, uint64_t data)
{
    u_int votes = 0;

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        votes += test(cons, &config->voters.voters_val[i], data);
    }
    return votes > config->voters.voters_len / 2;
}

/* Needs two majorities while a configuration change is uncommitted. */
bool
cons_quorum(const struct cons *cons, cons_voter_predicate test, uint64_t data)
{
    wire_config old_config = {0};
    bool ok = has_majority(cons, &cons->config, test, data);

    if (ok && cons_config_pending(cons)) {
        copy_config_at(cons, last_config_index(cons, cons->config_index - 1),
                       &old_config);
        ok = has_majority(cons, &old_config, test, data);
        g_free(old_config.voters.voters_val);
    }
    return ok;
}

struct cons_peer *
cons_find_peer(struct cons *cons, uint32_t replica)
{
    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == replica) {
            return &cons->peers[i];
        }
    }
    return NULL;
}

bool
cons_add_peer(struct cons *cons, uint64_t now, uint32_t replica)
{
    size_t slot = cons->replica_count;

    if (cons_find_peer(cons, replica) != NULL) {
        return true;
    }
    if (slot == CONS_PEERS_MAX) {
        return false;
    }
    cons->replicas[slot] = replica;
    cons->peers[slot] = (struct cons_peer){
        .next_index = cons_last_index(cons) + 1, .last_reply_at = now};
    cons->replica_count++;
    return true;
}

void
cons_remove_peer(struct cons *cons, uint32_t replica)
{
    const struct cons_peer *peer = cons_find_peer(cons, replica);
    size_t slot;

    if (peer == NULL || replica == cons->self) {
        return;
    }
    for (u_int i = 0; i < cons->config.voters.voters_len; i++) {
        if (cons->config.voters.voters_val[i].replica == replica) {
            return;
        }
    }
    slot = (size_t)(peer - cons->peers);
    cons->replica_count--;
    cons->replicas[slot] = cons->replicas[cons->replica_count];
    cons->peers[slot] = cons->peers[cons->replica_count];
}

static bool
has_voter(const wire_config *config, uint32_t replica, uint64_t identity)
{
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        const wire_voter *voter = &config->voters.voters_val[i];

        if (voter->replica == replica &&
            (voter->identity == identity ||
             fault_is(FAULT_COUNT_ANY_IDENTITY))) {
            return true;
        }
    }
    return false;
}

/* A voter that an uncommitted change removes may still lead, since it may be
 * the only one with the longest log. */
bool
cons_may_lead(const struct cons *cons)
{
    wire_config old_config = {0};
    bool ok = has_voter(&cons->config, cons->self, cons->identity);

    if (cons->missing.index != 0 && !fault_is(FAULT_FORGET_MISSING)) {
        return false;
    }
    if (!ok && cons_config_pending(cons)) {
        copy_config_at(cons, last_config_index(cons, cons->config_index - 1),
                       &old_config);
        ok = has_voter(&old_config, cons->self, cons->identity);
        g_free(old_config.voters.voters_val);
    }
    return ok;
}

bool
cons_has_left(const struct cons *cons)
{
    return !has_voter(&cons->config, cons->self, cons->identity) &&
           !cons_config_pending(cons) && cons_config_commit_logged(cons);
}

bool
cons_is_voter(const struct cons *cons, uint32_t replica, uint64_t identity)
{
    return has_voter(&cons->config, replica, identity);
}
