/*
 * Replication: a leader's rounds, what followers store and answer, and when
 * an entry is committed.
 */
#include "cons-internal.h"

#include <string.h>

#include "fault.h"

#define BATCH_ENTRIES 16
/* Entries in one message, which must fit a datagram of 65,507 bytes with its
 * head and 12 bytes an entry. A message that does not fit is made again for
 * the next round, so a replica that lacks it would never be brought up to
 * date: seen with two tables of 36.8 KB. One entry alone may be larger; it is
 * carried in parts. */
#define BATCH_BYTES 49152U

/* Fills a message with entries from an index on, at least one; their bytes are
 * borrowed. */
static void
fill_entries(const struct cons *cons, uint64_t from, wire_append *append)
{
    wire_log_entry *entries = g_new0(wire_log_entry, BATCH_ENTRIES);
    size_t bytes = 0;
    u_int count = 0;

    while (count < BATCH_ENTRIES) {
        const struct cons_entry *entry = cons_entry_at(cons, from + count);
        gsize length = 0;
        const void *data;

        if (entry == NULL) {
            break;
        }
        data = g_bytes_get_data(entry->command, &length);
        bytes += length;
        if (count > 0 && bytes > BATCH_BYTES) {
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

/* Sends a snapshot to a replica that is behind the log's start. */
static void
send_snapshot(struct cons *cons, size_t index)
{
    struct cons_action *action = cons_act(cons, CONS_SEND);
    wire_snapshot *out = &action->msg.wire_msg_u.snapshot;
    gsize length = 0;

    action->to = cons->replicas[index];
    action->msg.kind = WIRE_SNAPSHOT;
    out->term = cons->term;
    out->replica = cons->self;
    out->round = cons->round;
    out->last_index = cons->snapshot.index;
    out->last_term = cons->snapshot.term;
    out->config = cons->snapshot.config;
    out->state.state_val =
        (char *)g_bytes_get_data(cons->snapshot.state, &length);
    out->state.state_len = (u_int)length;
}

/* Sends what one replica lacks, or an empty round. */
static void
send_append(struct cons *cons, size_t index)
{
    struct cons_peer *peer = &cons->peers[index];
    struct cons_action *action;
    wire_append *out;

    if (peer->next <= cons->snapshot.index) {
        send_snapshot(cons, index);
        return;
    }
    action = cons_act(cons, CONS_SEND);
    action->to = cons->replicas[index];
    action->msg.kind = WIRE_APPEND;
    out = &action->msg.wire_msg_u.append;
    out->term = cons->term;
    out->replica = cons->self;
    out->round = cons->round;
    out->prev_index = peer->next - 1;
    out->prev_term = cons_term_at(cons, peer->next - 1);
    out->commit = cons->commit;
    fill_entries(cons, peer->next, out);
}

/* Begins a round with every other replica. */
void
cons_broadcast(struct cons *cons, uint64_t now)
{
    cons->round++;
    cons->heartbeat_at = now + CONS_HEARTBEAT_MS;
    for (size_t i = 0; i < cons->replica_count; i++) {
        if (cons->replicas[i] != cons->self) {
            send_append(cons, i);
        }
    }
    cons_advance(cons);
}

/* Says whether a voter has stored the log up to an index. */
static bool
has_stored(const struct cons *cons, const wire_voter *voter, uint64_t index)
{
    const struct cons_peer *peer;

    if (voter->replica == cons->self) {
        return voter->identity == cons->identity ||
               fault_is(FAULT_COUNT_WIPED);
    }
    peer = cons_peer_of((struct cons *)cons, voter->replica);
    return peer != NULL && peer->match >= index &&
           (peer->identity == voter->identity || fault_is(FAULT_COUNT_WIPED));
}

/* Says whether a voter has answered a round. */
static bool
has_answered(const struct cons *cons, const wire_voter *voter, uint64_t round)
{
    const struct cons_peer *peer;

    if (fault_is(FAULT_LEASE_NO_QUORUM)) {
        return true;
    }
    if (voter->replica == cons->self) {
        return voter->identity == cons->identity;
    }
    peer = cons_peer_of((struct cons *)cons, voter->replica);
    return peer != NULL && peer->round >= round &&
           peer->identity == voter->identity;
}

/* Moves the commit index and the confirmed round forward. */
void
cons_advance(struct cons *cons)
{
    uint64_t index = cons_last_index(cons);

    while (cons->confirmed < cons->round &&
           cons_quorum(cons, has_answered, cons->confirmed + 1)) {
        cons->confirmed++;
    }
    while (index > cons->commit && !cons_quorum(cons, has_stored, index)) {
        index--;
    }
    /* Entries of older terms are committed only under one of this term. */
    if (index > cons->commit && (cons_term_at(cons, index) == cons->term ||
                                 fault_is(FAULT_NO_TERM_CHECK))) {
        cons->commit = index;
        cons->heartbeat_at = 0;
    }
}

/* Answers a leader. */
static void
reply_append(struct cons *cons, uint32_t to, uint64_t round, bool ok,
             uint64_t match)
{
    struct cons_action *action = cons_act(cons, CONS_SEND);
    wire_append_reply *out = &action->msg.wire_msg_u.append_reply;

    action->to = to;
    action->msg.kind = WIRE_APPEND_REPLY;
    out->term = cons->term;
    out->replica = cons->self;
    out->identity = cons->identity;
    out->round = round;
    out->ok = ok;
    out->match = match;
}

/* Stores entries that the log lacks or holds differently. */
static void
store_entries(struct cons *cons, const wire_append *append)
{
    uint64_t first_new = 0;

    for (u_int i = 0; i < append->entries.entries_len; i++) {
        const wire_log_entry *entry = &append->entries.entries_val[i];
        uint64_t index = append->prev_index + 1 + i;

        if (index <= cons->commit) {
            continue;
        }
        if (index <= cons_last_index(cons)) {
            if (cons_term_at(cons, index) == entry->term) {
                continue;
            }
            cons_act(cons, CONS_SAVE_CUT)->index = index;
            cons_log_cut(cons, index);
        }
        first_new = first_new ? first_new : index;
        cons_log_append(cons, entry->term, entry->command.command_val,
                        entry->command.command_len);
    }
    if (first_new != 0) {
        struct cons_action *action = cons_act(cons, CONS_SAVE_ENTRIES);

        action->index = first_new;
        action->count = (uint32_t)(cons_last_index(cons) - first_new + 1);
    }
}

/* Takes a leader's round. */
void
cons_take_append(struct cons *cons, uint64_t now, const wire_append *append)
{
    uint64_t last_sent = append->prev_index + append->entries.entries_len;

    if (append->term < cons->term) {
        reply_append(cons, append->replica, append->round, false, 0);
        return;
    }
    cons_follow(cons, now, append->term, append->replica);
    if (append->prev_index > cons_last_index(cons) ||
        (append->prev_index > cons->commit &&
         cons_term_at(cons, append->prev_index) != append->prev_term)) {
        uint64_t retry = MIN(append->prev_index, cons_last_index(cons) + 1);

        reply_append(cons, append->replica, append->round, false,
                     MAX(retry, cons->commit + 1));
        return;
    }
    store_entries(cons, append);
    if (append->commit > cons->commit) {
        cons->commit = MAX(cons->commit, MIN(append->commit, last_sent));
    }
    reply_append(cons, append->replica, append->round, true,
                 MAX(last_sent, MIN(cons->commit, cons_last_index(cons))));
}

/* Takes a leader's snapshot. */
void
cons_take_snapshot(struct cons *cons, uint64_t now,
                   const wire_snapshot *snapshot)
{
    if (snapshot->term < cons->term) {
        reply_append(cons, snapshot->replica, snapshot->round, false, 0);
        return;
    }
    cons_follow(cons, now, snapshot->term, snapshot->replica);
    if (snapshot->last_index > cons->commit) {
        cons_log_reset(cons, snapshot);
        (void)cons_act(cons, CONS_SAVE_SNAPSHOT);
        (void)cons_act(cons, CONS_LOAD);
    }
    reply_append(cons, snapshot->replica, snapshot->round, true, cons->commit);
}

/* Takes a follower's answer. */
void
cons_take_append_reply(struct cons *cons, uint64_t now,
                       const wire_append_reply *reply)
{
    struct cons_peer *peer = cons_peer_of(cons, reply->replica);

    if (cons->role != CONS_LEADER || peer == NULL ||
        reply->term != cons->term) {
        return;
    }
    if (peer->identity != reply->identity) {
        peer->identity = reply->identity;
        peer->match = 0;
        peer->round = 0;
    }
    peer->heard_at = now;
    peer->round = MAX(peer->round, reply->round);
    if (!reply->ok) {
        peer->next = MAX(1, MIN(reply->match, cons_last_index(cons) + 1));
    }
    else if (reply->match >= peer->match) {
        peer->match = MIN(reply->match, cons_last_index(cons));
        peer->next = peer->match + 1;
    }
    cons_advance(cons);
    if (peer->next <= cons_last_index(cons) &&
        (!reply->ok || reply->match > 0)) {
        send_append(cons, (size_t)(peer - cons->peers));
    }
}
