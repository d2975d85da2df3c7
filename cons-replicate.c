/*
 * Log replication: AppendEntries and InstallSnapshot of a leader, the replies
 * of followers, and the commit index.
 */
#include "cons-internal.h"

#include <string.h>

#include "fault.h"

#define BATCH_ENTRIES_MAX 16
/* Keeps a batch within one UDP datagram of 65,507 bytes; a larger single
 * entry is sent in fragments. Without the limit, a batch that
 * was too large to send was built again in each round, and a replica that
 * lacked it never caught up: seen with two tables of 36.8 KB. */
#define BATCH_BYTES_MAX 49152U

/* Adds at least one entry, if the log has it; its bytes are borrowed. */
static void
fill_entries(const struct cons *cons, uint64_t from, wire_append *append)
{
    wire_log_entry *entries = g_new0(wire_log_entry, BATCH_ENTRIES_MAX);
    size_t bytes = 0;
    u_int count = 0;

    while (count < BATCH_ENTRIES_MAX) {
        const struct cons_entry *entry = cons_entry_at(cons, from + count);
        gsize length = 0;
        const void *data;

        if (entry == NULL) {
            break;
        }
        data = g_bytes_get_data(entry->command, &length);
        bytes += length;
        if (count > 0 && bytes > BATCH_BYTES_MAX) {
            break;
        }
        entries[count].term = entry->term;
        entries[count].command.command_val = (char *)data;
        entries[count].command.command_len = (u_int)length;
        count++;
    }
    append->entries.entries_val = entries;
    append->entries.entries_len = count;
}

static void
send_snapshot(struct cons *cons, size_t slot)
{
    wire_msg msg = {.kind = WIRE_SNAPSHOT};
    wire_snapshot *out = &msg.wire_msg_u.snapshot;
    gsize length = 0;

    out->term = cons->term;
    out->replica = cons->self;
    out->round = cons->round;
    out->last_index = cons->snapshot.index;
    out->last_term = cons->snapshot.term;
    out->config = cons->snapshot.config;
    out->state.state_val =
        (char *)g_bytes_get_data(cons->snapshot.state, &length);
    out->state.state_len = (u_int)length;
    cons_send(cons, cons->replicas[slot], &msg);
}

/* Sends the entries that one replica lacks, or an empty heartbeat. */
static void
send_append(struct cons *cons, size_t slot)
{
    struct cons_peer *peer = &cons->peers[slot];
    wire_msg msg = {.kind = WIRE_APPEND};
    wire_append *out = &msg.wire_msg_u.append;

    if (peer->next_index <= cons->snapshot.index) {
        send_snapshot(cons, slot);
        return;
    }
    out->term = cons->term;
    out->replica = cons->self;
    out->round = cons->round;
    out->prev_index = peer->next_index - 1;
    out->prev_term = cons_term_at(cons, peer->next_index - 1);
    out->commit = cons->commit_index;
    fill_entries(cons, peer->next_index, out);
    cons_send(cons, cons->replicas[slot], &msg);
    g_free(out->entries.entries_val);
}

/* Starts a heartbeat round with every other replica. */
void
cons_broadcast_append(struct cons *cons, uint64_t now)
{
    cons->round++;
    cons->heartbeat_at = now + CONS_HEARTBEAT_INTERVAL_MS;
    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] != cons->self) {
            send_append(cons, i);
        }
    }
    cons_advance_commit(cons);
}

static bool
has_stored(const struct cons *cons, const wire_voter *voter, uint64_t index)
{
    const struct cons_peer *peer;

    if (voter->replica == cons->self) {
        return voter->identity == cons->identity ||
               fault_is(FAULT_COUNT_ANY_IDENTITY);
    }
    peer = cons_find_peer((struct cons *)cons, voter->replica);
    return peer != NULL && peer->match_index >= index &&
           (peer->identity == voter->identity ||
            fault_is(FAULT_COUNT_ANY_IDENTITY));
}

static bool
acked_round(const struct cons *cons, const wire_voter *voter, uint64_t round)
{
    const struct cons_peer *peer;

    if (fault_is(FAULT_LEASE_NO_QUORUM)) {
        return true;
    }
    if (voter->replica == cons->self) {
        return voter->identity == cons->identity;
    }
    peer = cons_find_peer((struct cons *)cons, voter->replica);
    return peer != NULL && peer->last_round >= round &&
           peer->identity == voter->identity;
}

/* Advances the commit index and the confirmed heartbeat round. */
void
cons_advance_commit(struct cons *cons)
{
    uint64_t index = cons_last_index(cons);

    while (cons->confirmed_round < cons->round &&
           cons_quorum(cons, acked_round, cons->confirmed_round + 1)) {
        cons->confirmed_round++;
    }
    while (index > cons->commit_index &&
           !cons_quorum(cons, has_stored, index)) {
        index--;
    }
    /* Entries of earlier terms are committed only together with an entry of
     * the current term (Raft, section 5.4.2). */
    if (index > cons->commit_index &&
        (cons_term_at(cons, index) == cons->term ||
         fault_is(FAULT_NO_TERM_CHECK))) {
        cons->commit_index = index;
        cons->heartbeat_at = 0;
    }
}

/* A replica that lacks entries replies without its identity, so that the
 * leader forgets what it acknowledged before the damage. */
static void
reply_append(struct cons *cons, uint32_t to, uint64_t round, bool ok,
             uint64_t match)
{
    wire_msg msg = {.kind = WIRE_APPEND_REPLY};
    wire_append_reply *out = &msg.wire_msg_u.append_reply;

    out->term = cons->term;
    out->replica = cons->self;
    out->identity = cons->missing.index == 0 ? cons->identity : 0;
    out->round = round;
    out->ok = ok;
    out->match = match;
    cons_send(cons, to, &msg);
}

/* Skips entries already stored; truncates the log at the first conflict.
 * Returns the index of the first new entry, 0: none. */
static uint64_t
append_entries(struct cons *cons, const wire_append *append)
{
    uint64_t first_new = 0;

    for (u_int i = 0; i < append->entries.entries_len; i++) {
        const wire_log_entry *entry = &append->entries.entries_val[i];
        uint64_t index = append->prev_index + 1 + i;

        if (index <= cons->commit_index) {
            continue;
        }
        if (index <= cons_last_index(cons)) {
            if (cons_term_at(cons, index) == entry->term) {
                continue;
            }
            cons_save_truncation(cons, index);
            cons_log_truncate(cons, index);
        }
        first_new = first_new ? first_new : index;
        cons_log_append(cons, entry->term, entry->command.command_val,
                        entry->command.command_len);
    }
    return first_new;
}

void
cons_handle_append(struct cons *cons, uint64_t now, const wire_append *append)
{
    uint64_t last_sent = append->prev_index + append->entries.entries_len;
    uint64_t first_new;

    if (append->term < cons->term) {
        reply_append(cons, append->replica, append->round, false, 0);
        return;
    }
    cons_become_follower(cons, now, append->term, append->replica);
    if (append->prev_index > cons_last_index(cons) ||
        (append->prev_index > cons->commit_index &&
         cons_term_at(cons, append->prev_index) != append->prev_term)) {
        uint64_t next = MIN(append->prev_index, cons_last_index(cons) + 1);

        reply_append(cons, append->replica, append->round, false,
                     MAX(next, cons->commit_index + 1));
        return;
    }
    first_new = append_entries(cons, append);
    if (append->commit > cons->commit_index) {
        cons->commit_index =
            MAX(cons->commit_index, MIN(append->commit, last_sent));
    }
    if (first_new != 0) {
        cons_save_entries(cons, first_new);
    }
    reply_append(
        cons, append->replica, append->round, true,
        MAX(last_sent, MIN(cons->commit_index, cons_last_index(cons))));
}

void
cons_handle_snapshot(struct cons *cons, uint64_t now,
                     const wire_snapshot *snapshot)
{
    if (snapshot->term < cons->term) {
        reply_append(cons, snapshot->replica, snapshot->round, false, 0);
        return;
    }
    cons_become_follower(cons, now, snapshot->term, snapshot->replica);
    if (snapshot->last_index > cons->commit_index) {
        cons_log_reset(cons, snapshot);
        cons_save_snapshot(cons);
        cons_restore_snapshot(cons);
    }
    reply_append(cons, snapshot->replica, snapshot->round, true,
                 cons->commit_index);
}

void
cons_handle_append_reply(struct cons *cons, uint64_t now,
                         const wire_append_reply *reply)
{
    struct cons_peer *peer = cons_find_peer(cons, reply->replica);

    if (cons->role != CONS_LEADER || peer == NULL ||
        reply->term != cons->term) {
        return;
    }
    if (peer->identity != reply->identity) {
        peer->identity = reply->identity;
        peer->match_index = 0;
        peer->last_round = 0;
    }
    peer->last_reply_at = now;
    peer->last_round = MAX(peer->last_round, reply->round);
    if (!reply->ok) {
        peer->next_index =
            MAX(1, MIN(reply->match, cons_last_index(cons) + 1));
    }
    else if (reply->match >= peer->match_index) {
        peer->match_index = MIN(reply->match, cons_last_index(cons));
        peer->next_index = peer->match_index + 1;
    }
    cons_advance_commit(cons);
    if (peer->next_index <= cons_last_index(cons) &&
        (!reply->ok || reply->match > 0)) {
        send_append(cons, (size_t)(peer - cons->peers));
    }
}
