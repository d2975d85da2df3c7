/*
 * Who votes. A change of voters is in force as soon as it stands in the log;
 * until it is committed, a quorum needs a majority of the old voters and of
 * the new ones (joint consensus). A voter is a replica number together with
 * the identity of its disk, so a replica that lost its disk does not count.
 */
#include "cons-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* Copies a list of voters over another. */
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

/* Sets the founders as the voters of an empty log. */
void
cons_voters_open(struct cons *cons, const wire_config *founders)
{
    cons_copy_config(founders, &cons->snapshot.config);
    cons_copy_config(founders, &cons->latest);
}

/* Frees the voters. */
void
cons_voters_close(struct cons *cons)
{
    g_free(cons->snapshot.config.voters.voters_val);
    g_free(cons->latest.voters.voters_val);
}

/* Decodes an entry when it changes the voters. */
static bool
entry_config(const struct cons *cons, uint64_t index, wire_command *out)
{
    const struct cons_entry *entry = cons_entry_at(cons, index);
    gsize length = 0;
    const unsigned char *bytes = g_bytes_get_data(entry->command, &length);

    /* The kind is the first XDR word; most entries end here. */
    if (length < 4 || bytes[3] != WIRE_CMD_CONFIG) {
        return false;
    }
    return codec_decode_command(bytes, length, out);
}

/* Finds the last change of voters at or before an index. */
static uint64_t
last_change(const struct cons *cons, uint64_t index)
{
    while (index > cons->snapshot.index) {
        wire_command command;

        if (entry_config(cons, index, &command)) {
            codec_free_command(&command);
            return index;
        }
        index--;
    }
    return cons->snapshot.index;
}

/* Copies the voters that one entry, or the snapshot, sets. */
static void
config_of(const struct cons *cons, uint64_t change, wire_config *out)
{
    wire_command command;

    if (change > cons->snapshot.index &&
        entry_config(cons, change, &command)) {
        cons_copy_config(&command.wire_command_u.config, out);
        codec_free_command(&command);
        return;
    }
    cons_copy_config(&cons->snapshot.config, out);
}

/* Begins to talk to every voter of the latest list. */
static void
meet_voters(struct cons *cons)
{
    for (u_int i = 0; i < cons->latest.voters.voters_len; i++) {
        (void)cons_add_replica(cons, cons->leader_heard_at,
                               cons->latest.voters.voters_val[i].replica);
    }
}

/* Finds the latest voters again, after the end of the log was cut. */
void
cons_voters_rescan(struct cons *cons)
{
    cons->change_index = last_change(cons, cons_last_index(cons));
    config_of(cons, cons->change_index, &cons->latest);
    meet_voters(cons);
}

/* Notes an appended entry when it changes the voters. */
void
cons_voters_appended(struct cons *cons)
{
    uint64_t last = cons_last_index(cons);
    wire_command command;

    if (entry_config(cons, last, &command)) {
        cons->change_index = last;
        cons_copy_config(&command.wire_command_u.config, &cons->latest);
        codec_free_command(&command);
        meet_voters(cons);
    }
}

/* Says whether a change of voters is not yet committed. */
bool
cons_config_pending(const struct cons *cons)
{
    return cons->change_index > cons->commit;
}

/* Says whether two lists name the same voters in the same order. */
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

/* Says whether the log itself shows that the last change of voters was
 * committed: the same list stands in it twice, or in the snapshot. A replica
 * that restarts does not know what was committed, and would ask for a
 * majority of the list before, whose disks may be lost by then. */
bool
cons_is_settled(const struct cons *cons)
{
    wire_config before = {0};
    bool same;

    if (cons->change_index <= cons->snapshot.index) {
        return true;
    }
    config_of(cons, last_change(cons, cons->change_index - 1), &before);
    same = same_voters(&before, &cons->latest);
    g_free(before.voters.voters_val);
    return same;
}

/* The voters at the end of the log. */
const wire_config *
cons_config(const struct cons *cons)
{
    return &cons->latest;
}

/* Counts a majority of one list of voters. */
static bool
majority(const struct cons *cons, const wire_config *config, cons_test test,
         uint64_t data)
{
    u_int yes = 0;

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        yes += test(cons, &config->voters.voters_val[i], data);
    }
    return yes > config->voters.voters_len / 2;
}

/* Counts a quorum: one majority, or two while voters change. */
bool
cons_quorum(const struct cons *cons, cons_test test, uint64_t data)
{
    wire_config before = {0};
    bool ok = majority(cons, &cons->latest, test, data);

    if (ok && cons_config_pending(cons)) {
        config_of(cons, last_change(cons, cons->change_index - 1), &before);
        ok = majority(cons, &before, test, data);
        g_free(before.voters.voters_val);
    }
    return ok;
}

/* Finds what is known of another replica. */
struct cons_peer *
cons_peer_of(struct cons *cons, uint32_t replica)
{
    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] == replica) {
            return &cons->peers[i];
        }
    }
    return NULL;
}

/* Begins to talk to a replica. */
bool
cons_add_replica(struct cons *cons, uint64_t now, uint32_t replica)
{
    size_t place = cons->replica_count;

    if (cons_peer_of(cons, replica) != NULL) {
        return true;
    }
    if (place == CONS_PEERS_MAX) {
        return false;
    }
    cons->replicas[place] = replica;
    cons->peers[place] =
        (struct cons_peer){.next = cons_last_index(cons) + 1, .heard_at = now};
    cons->replica_count++;
    return true;
}

/* Stops talking to a replica that is no voter. */
void
cons_drop_replica(struct cons *cons, uint32_t replica)
{
    const struct cons_peer *peer = cons_peer_of(cons, replica);
    size_t place;

    if (peer == NULL || replica == cons->self) {
        return;
    }
    for (u_int i = 0; i < cons->latest.voters.voters_len; i++) {
        if (cons->latest.voters.voters_val[i].replica == replica) {
            return;
        }
    }
    place = (size_t)(peer - cons->peers);
    cons->replica_count--;
    cons->replicas[place] = cons->replicas[cons->replica_count];
    cons->peers[place] = cons->peers[cons->replica_count];
}

/* Says whether a list of voters holds a replica with an identity. */
static bool
has_voter(const wire_config *config, uint32_t replica, uint64_t identity)
{
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        const wire_voter *voter = &config->voters.voters_val[i];

        if (voter->replica == replica &&
            (voter->identity == identity || fault_is(FAULT_COUNT_WIPED))) {
            return true;
        }
    }
    return false;
}

/* Says whether this replica may lead: a voter, or one that an uncommitted
 * change would remove, since without it nobody may hold the longest log. */
bool
cons_may_lead(const struct cons *cons)
{
    wire_config before = {0};
    bool ok = has_voter(&cons->latest, cons->self, cons->identity);

    if (!ok && cons_config_pending(cons)) {
        config_of(cons, last_change(cons, cons->change_index - 1), &before);
        ok = has_voter(&before, cons->self, cons->identity);
        g_free(before.voters.voters_val);
    }
    return ok;
}

/* Says whether a replica with an identity is a voter. */
bool
cons_is_voter(const struct cons *cons, uint32_t replica, uint64_t identity)
{
    return has_voter(&cons->latest, replica, identity);
}
