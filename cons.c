/* Roles, elections and time of one replica. */
#include "cons-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"
#include "random.h"

#define QUIET_LEADER_MS (2 * CONS_ELECTION_MS)

/* Adds an action. */
struct cons_action *
cons_act(struct cons *cons, enum cons_action_kind kind)
{
    struct cons_action action = {.kind = kind};

    g_array_append_val(cons->actions, action);
    return &g_array_index(cons->actions, struct cons_action,
                          cons->actions->len - 1);
}

/* Asks to store term and vote. */
void
cons_save_term(struct cons *cons)
{
    (void)cons_act(cons, CONS_SAVE_TERM);
}

/* Sets the next election deadline. */
static void
set_election(struct cons *cons, uint64_t now)
{
    cons->election_at = now + CONS_ELECTION_MS +
                        random_next(&cons->random) % CONS_ELECTION_SPAN_MS;
}

/* Starts a replica. */
void
cons_open(struct cons *cons, uint64_t now, uint32_t self, uint64_t identity,
          const uint32_t *replicas, size_t count, const wire_config *founders,
          uint64_t seed, struct cons_stored *stored)
{
    memset(cons, 0, sizeof(*cons));
    cons->self = self;
    cons->identity = identity;
    cons->random = seed;
    cons->replica_count = count;
    memcpy(cons->replicas, replicas, count * sizeof(*replicas));
    cons->actions = g_array_new(FALSE, FALSE, sizeof(struct cons_action));
    cons_voters_open(cons, founders);
    if (stored != NULL) {
        cons->term = stored->term;
        cons->vote = stored->vote;
        cons->log = stored->log;
        if (stored->snapshot.index > 0) {
            g_free(cons->snapshot.config.voters.voters_val);
            cons->snapshot = stored->snapshot;
            cons->commit = stored->snapshot.index;
        }
    }
    if (stored != NULL && cons->log != NULL) {
        cons->commit =
            MAX(cons->commit, MIN(stored->commit, cons_last_index(cons)));
    }
    if (cons->log == NULL) {
        cons->log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    }
    cons_voters_rescan(cons);
    set_election(cons, now);
}

/* Frees a replica. */
void
cons_close(struct cons *cons)
{
    cons_log_cut(cons, cons->snapshot.index + 1);
    g_array_free(cons->log, TRUE);
    cons_clear_actions(cons);
    cons_voters_close(cons);
    g_clear_pointer(&cons->snapshot.state, g_bytes_unref);
    g_array_free(cons->actions, TRUE);
}

/* Becomes a follower, of a newer term or of a leader just heard. */
void
cons_follow(struct cons *cons, uint64_t now, uint64_t term, uint32_t leader)
{
    if (term > cons->term) {
        cons->term = term;
        cons->vote = 0;
        cons->leader = 0;
        cons_save_term(cons);
    }
    cons->role = CONS_FOLLOWER;
    if (leader != 0) {
        cons->leader = leader;
        cons->leader_heard_at = now;
        set_election(cons, now);
    }
}

/* Says whether a voter granted its vote in this election. */
static bool
has_granted(const struct cons *cons, const wire_voter *voter, uint64_t unused)
{
    const struct cons_peer *peer =
        cons_peer_of((struct cons *)cons, voter->replica);

    (void)unused;
    if (voter->replica == cons->self) {
        return voter->identity == cons->identity ||
               fault_is(FAULT_COUNT_WIPED);
    }
    return peer != NULL && peer->vote &&
           (peer->vote_identity == voter->identity ||
            fault_is(FAULT_COUNT_WIPED));
}

/* Becomes the leader; an empty entry commits what older terms left. */
static void
lead(struct cons *cons, uint64_t now)
{
    wire_command command = {.kind = WIRE_CMD_NOOP};

    cons->role = CONS_LEADER;
    cons->leader = cons->self;
    cons->elected_at = now;
    for (size_t i = 0; i < cons->replica_count; i++) {
        struct cons_peer *peer = &cons->peers[i];

        *peer = (struct cons_peer){.next = cons_last_index(cons) + 1,
                                   .heard_at = now};
    }
    cons->confirmed = cons->round;
    (void)cons_propose(cons, now, &command);
}

static void ask_votes(struct cons *cons, uint64_t now, bool pre);

/* Counts the votes of an election. */
static void
count_votes(struct cons *cons, uint64_t now)
{
    if (cons->role != CONS_CANDIDATE || !cons_quorum(cons, has_granted, 0)) {
        return;
    }
    if (cons->pre) {
        ask_votes(cons, now, false);
        return;
    }
    lead(cons, now);
}

/* Asks every replica for its vote, or whether it would give it. */
static void
ask_votes(struct cons *cons, uint64_t now, bool pre)
{
    uint64_t last = cons_last_index(cons);

    cons->role = CONS_CANDIDATE;
    cons->pre = pre;
    cons->leader = 0;
    if (!pre) {
        cons->term++;
        cons->vote = cons->self;
        cons_save_term(cons);
    }
    for (size_t i = 0; i < cons->replica_count; i++) {
        struct cons_action *action;
        wire_vote_ask *ask;

        cons->peers[i].vote = false;
        if (cons->replicas[i] == cons->self) {
            continue;
        }
        action = cons_act(cons, CONS_SEND);
        action->to = cons->replicas[i];
        action->msg.kind = WIRE_VOTE_ASK;
        ask = &action->msg.wire_msg_u.vote_ask;
        ask->term = cons->term + (pre ? 1 : 0);
        ask->replica = cons->self;
        ask->identity = cons->identity;
        ask->last_index = last;
        ask->last_term = cons_term_at(cons, last);
        ask->pre = pre;
    }
    count_votes(cons, now);
}

/* Says whether a candidate's log holds all that this one holds. */
static bool
is_up_to_date(const struct cons *cons, const wire_vote_ask *ask)
{
    uint64_t last = cons_last_index(cons);
    uint64_t last_term = cons_term_at(cons, last);

    if (fault_is(FAULT_VOTE_BEHIND)) {
        return true;
    }
    if (ask->last_term != last_term) {
        return ask->last_term > last_term;
    }
    return ask->last_index >= last;
}

/* Decides about a vote. */
static bool
grant_vote(struct cons *cons, uint64_t now, const wire_vote_ask *ask)
{
    if (ask->term < cons->term || !is_up_to_date(cons, ask)) {
        return false;
    }
    if (ask->pre) {
        bool quiet = cons->role != CONS_LEADER &&
                     now >= cons->leader_heard_at + CONS_ELECTION_MS;

        return quiet && ask->term > cons->term;
    }
    if (cons->vote != 0 && cons->vote != ask->replica &&
        !fault_is(FAULT_VOTE_TWICE)) {
        return false;
    }
    if (cons->vote != ask->replica) {
        cons->vote = ask->replica;
        cons_save_term(cons);
    }
    set_election(cons, now);
    return true;
}

/* Takes a candidate's question. */
static void
take_vote_ask(struct cons *cons, uint64_t now, const wire_vote_ask *ask)
{
    struct cons_action *action;
    wire_vote_reply *out;
    bool granted;

    if (!ask->pre && ask->term > cons->term) {
        cons_follow(cons, now, ask->term, 0);
    }
    granted = grant_vote(cons, now, ask);
    action = cons_act(cons, CONS_SEND);
    action->to = ask->replica;
    action->msg.kind = WIRE_VOTE_REPLY;
    out = &action->msg.wire_msg_u.vote_reply;
    out->term = ask->pre && granted ? ask->term : cons->term;
    out->replica = cons->self;
    out->identity = cons->identity;
    out->pre = ask->pre;
    out->granted = granted;
}

/* Takes a vote. */
static void
take_vote_reply(struct cons *cons, uint64_t now, const wire_vote_reply *reply)
{
    struct cons_peer *peer = cons_peer_of(cons, reply->replica);
    uint64_t expected = cons->term + (cons->pre ? 1 : 0);

    if (!reply->granted && reply->term > cons->term) {
        cons_follow(cons, now, reply->term, 0);
        return;
    }
    if (cons->role != CONS_CANDIDATE || peer == NULL || !reply->granted ||
        reply->pre != cons->pre || reply->term != expected) {
        return;
    }
    peer->vote = true;
    peer->vote_identity = reply->identity;
    count_votes(cons, now);
}

/* Says whether a voter answered since a time. */
static bool
heard_since(const struct cons *cons, const wire_voter *voter, uint64_t since)
{
    const struct cons_peer *peer =
        cons_peer_of((struct cons *)cons, voter->replica);

    return voter->replica == cons->self ||
           (peer != NULL && peer->heard_at >= since);
}

/* Writes a committed change of voters once more, so that the log shows it. */
static void
settle_voters(struct cons *cons, uint64_t now)
{
    wire_command command = {.kind = WIRE_CMD_CONFIG};

    if (cons_is_ready(cons) && !cons_config_pending(cons) &&
        !cons_is_settled(cons)) {
        command.wire_command_u.config.voters = cons->latest.voters;
        (void)cons_propose(cons, now, &command);
    }
}

/* Lets a leader's time pass: rounds, and stepping down when cut off. */
static void
tick_leader(struct cons *cons, uint64_t now)
{
    uint64_t since = now > QUIET_LEADER_MS ? now - QUIET_LEADER_MS : 0;

    if (!cons_may_lead(cons)) {
        cons->role = CONS_FOLLOWER;
        cons->leader = 0;
        return;
    }
    if (!fault_is(FAULT_LEASE_NO_QUORUM) &&
        now > cons->elected_at + QUIET_LEADER_MS &&
        !cons_quorum(cons, heard_since, since)) {
        cons->role = CONS_FOLLOWER;
        cons->leader = 0;
        set_election(cons, now);
        return;
    }
    settle_voters(cons, now);
    if (now >= cons->heartbeat_at) {
        cons_broadcast(cons, now);
    }
}

/* Lets time pass. */
void
cons_tick(struct cons *cons, uint64_t now)
{
    if (cons->failed) {
        return;
    }
    if (cons->role == CONS_LEADER) {
        tick_leader(cons, now);
        return;
    }
    if (now < cons->election_at) {
        return;
    }
    set_election(cons, now);
    if (cons_may_lead(cons)) {
        ask_votes(cons, now, true);
    }
}

/* Takes a message. */
void
cons_receive(struct cons *cons, uint64_t now, const wire_msg *msg)
{
    if (cons->failed) {
        return;
    }
    switch (msg->kind) {
    case WIRE_VOTE_ASK:
        take_vote_ask(cons, now, &msg->wire_msg_u.vote_ask);
        return;
    case WIRE_VOTE_REPLY:
        take_vote_reply(cons, now, &msg->wire_msg_u.vote_reply);
        return;
    case WIRE_APPEND:
        cons_take_append(cons, now, &msg->wire_msg_u.append);
        return;
    case WIRE_APPEND_REPLY:
        if (msg->wire_msg_u.append_reply.term > cons->term) {
            cons_follow(cons, now, msg->wire_msg_u.append_reply.term, 0);
            return;
        }
        cons_take_append_reply(cons, now, &msg->wire_msg_u.append_reply);
        return;
    case WIRE_SNAPSHOT:
        cons_take_snapshot(cons, now, &msg->wire_msg_u.snapshot);
        return;
    case WIRE_REPORT:
    case WIRE_LEASE:
    case WIRE_FETCH:
    case WIRE_BUNDLE:
    case WIRE_EPOCHS:
    case WIRE_RECORDS:
    case WIRE_CLAIM:
    case WIRE_CLAIM_REPLY:
    case WIRE_FINISH:
    case WIRE_FINISH_REPLY:
    case WIRE_SLOT_ASK:
    case WIRE_SLOT_GRANT:
    case WIRE_SLOT_REFUSE:
    case WIRE_SLOT_DONE:
    case WIRE_HANDOVER:
    case WIRE_HANDOVER_ACK:
    case WIRE_RECORDS_ACK:
    case WIRE_SLOT_WAIT:
    case WIRE_KNOWN:
    case WIRE_HELLO:
    case WIRE_MEMBERS:
    case WIRE_UPSTREAMS:
    case WIRE_ROUTES:
    case WIRE_FOUND:
    case WIRE_DOUBT:
    case WIRE_SUMMARY:
    case WIRE_NEED:
    case WIRE_KEPT:
    case WIRE_PART:
    case WIRE_TABLE_ASK:
    case WIRE_COMPARE:
    case WIRE_TABLE:
    case WIRE_SPREAD:
    case WIRE_SPREAD_ACK:
    case WIRE_HALLS:
    case WIRE_STORED:
    case WIRE_CARRY:
        return;
    }
}

/* Appends a command as the leader. */
uint64_t
cons_propose(struct cons *cons, uint64_t now, wire_command *command)
{
    struct cons_action *action;
    GByteArray *bytes;

    if (cons->role != CONS_LEADER || cons->failed ||
        (command->kind == WIRE_CMD_CONFIG && cons_config_pending(cons))) {
        return 0;
    }
    bytes = codec_encode_command(command);
    cons_log_append(cons, cons->term, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    action = cons_act(cons, CONS_SAVE_ENTRIES);
    action->index = cons_last_index(cons);
    action->count = 1;
    cons_broadcast(cons, now);
    return cons_last_index(cons);
}

/* Begins a round as the leader. */
uint64_t
cons_begin_round(struct cons *cons, uint64_t now)
{
    if (cons->role != CONS_LEADER || cons->failed) {
        return 0;
    }
    cons_broadcast(cons, now);
    return cons->round;
}

/* Says whether a leader knows all that was committed before it. */
bool
cons_is_ready(const struct cons *cons)
{
    return cons->role == CONS_LEADER &&
           cons_term_at(cons, cons->commit) == cons->term;
}

/* Gives the actions. */
const struct cons_action *
cons_actions(struct cons *cons, size_t *count)
{
    *count = cons->actions->len;
    return (const struct cons_action *)(void *)cons->actions->data;
}

/* Forgets the actions, and frees what appends borrowed. */
void
cons_clear_actions(struct cons *cons)
{
    for (guint i = 0; i < cons->actions->len; i++) {
        struct cons_action *action =
            &g_array_index(cons->actions, struct cons_action, i);

        if (action->kind == CONS_SEND && action->msg.kind == WIRE_APPEND) {
            g_free(action->msg.wire_msg_u.append.entries.entries_val);
        }
    }
    g_array_set_size(cons->actions, 0);
}

/* Stops taking part: what cannot be stored must not be answered. */
void
cons_fail(struct cons *cons)
{
    cons->failed = true;
    cons->role = CONS_FOLLOWER;
    cons->leader = 0;
}
