/*
 * Raft roles, elections with pre-vote, and leader timeouts of one replica.
 */
#include "cons-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"
#include "random.h"

#define CHECK_QUORUM_MS (2 * CONS_ELECTION_TIMEOUT_MS)

static void
reset_election_timer(struct cons *cons, uint64_t now)
{
    cons->election_at = now + CONS_ELECTION_TIMEOUT_MS +
                        random_next(&cons->random) % CONS_ELECTION_JITTER_MS;
}

void
cons_open(struct cons *cons, uint64_t now, uint32_t self, uint64_t identity,
          const uint32_t *replicas, size_t count,
          const wire_config *initial_config, uint64_t seed,
          struct cons_stored *stored)
{
    memset(cons, 0, sizeof(*cons));
    cons->self = self;
    cons->identity = identity;
    cons->random = seed;
    cons->replica_count = count;
    memcpy(cons->replicas, replicas, count * sizeof(*replicas));
    cons->actions = g_array_new(FALSE, FALSE, sizeof(struct cons_action));
    cons_voters_init(cons, initial_config);
    if (stored != NULL) {
        cons->term = stored->term;
        cons->voted_for = stored->voted_for;
        cons->log = stored->log;
        if (stored->snapshot.index > 0) {
            g_free(cons->snapshot.config.voters.voters_val);
            cons->snapshot = stored->snapshot;
            cons->commit_index = stored->snapshot.index;
        }
    }
    if (stored != NULL && cons->log != NULL) {
        cons->commit_index =
            MAX(cons->commit_index,
                MIN(stored->commit_index, cons_last_index(cons)));
    }
    if (cons->log == NULL) {
        cons->log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    }
    if (stored != NULL) {
        cons->missing = stored->missing;
        cons_update_missing(cons);
    }
    cons_voters_rescan(cons);
    reset_election_timer(cons, now);
}

void
cons_close(struct cons *cons)
{
    cons_log_truncate(cons, cons->snapshot.index + 1);
    g_array_free(cons->log, TRUE);
    cons_clear_actions(cons);
    cons_voters_free(cons);
    g_clear_pointer(&cons->snapshot.state, g_bytes_unref);
    g_array_free(cons->actions, TRUE);
}

/* Steps down for a newer term, or follows the leader of the current one. */
void
cons_become_follower(struct cons *cons, uint64_t now, uint64_t term,
                     uint32_t leader)
{
    if (term > cons->term) {
        cons->term = term;
        cons->voted_for = 0;
        cons->leader = 0;
        cons_save_term(cons);
    }
    cons->role = CONS_FOLLOWER;
    if (leader != 0) {
        cons->leader = leader;
        cons->last_leader = leader;
        cons->leader_last_seen_at = now;
        reset_election_timer(cons, now);
    }
}

static bool
granted_vote(const struct cons *cons, const wire_voter *voter, uint64_t unused)
{
    const struct cons_peer *peer =
        cons_find_peer((struct cons *)cons, voter->replica);

    (void)unused;
    if (voter->replica == cons->self) {
        return voter->identity == cons->identity ||
               fault_is(FAULT_COUNT_ANY_IDENTITY);
    }
    return peer != NULL && peer->vote_granted &&
           (peer->vote_identity == voter->identity ||
            fault_is(FAULT_COUNT_ANY_IDENTITY));
}

/* The no-op entry commits entries of earlier terms (Raft, section 5.4.2). The
 * former leader has been silent for longer than this term: a lost one is
 * replaced in time, however long the election took. */
static void
become_leader(struct cons *cons, uint64_t now)
{
    wire_command command = {.kind = WIRE_CMD_NOOP};

    cons->role = CONS_LEADER;
    cons->leader = cons->self;
    cons->elected_at = now;
    for (size_t i = 0; i < cons->replica_count; i++) {
        struct cons_peer *peer = &cons->peers[i];

        *peer = (struct cons_peer){.next_index = cons_last_index(cons) + 1,
                                   .last_reply_at = now};
        if (cons->replicas[i] == cons->last_leader) {
            peer->last_reply_at = cons->leader_last_seen_at;
        }
    }
    cons->last_leader = cons->self;
    cons->confirmed_round = cons->round;
    (void)cons_propose(cons, now, &command);
}

static void request_votes(struct cons *cons, uint64_t now, bool pre);

static void
count_votes(struct cons *cons, uint64_t now)
{
    if (cons->role != CONS_CANDIDATE || !cons_quorum(cons, granted_vote, 0)) {
        return;
    }
    if (cons->pre_vote) {
        request_votes(cons, now, false);
        return;
    }
    become_leader(cons, now);
}

/* A pre-vote leaves the stored term and vote unchanged. */
static void
request_votes(struct cons *cons, uint64_t now, bool pre)
{
    uint64_t last = cons_last_index(cons);
    wire_msg msg = {.kind = WIRE_VOTE_ASK};
    wire_vote_ask *ask = &msg.wire_msg_u.vote_ask;

    cons->role = CONS_CANDIDATE;
    cons->pre_vote = pre;
    cons->leader = 0;
    if (!pre) {
        cons->term++;
        cons->voted_for = cons->self;
        cons_save_term(cons);
    }
    ask->term = cons->term + (pre ? 1 : 0);
    ask->replica = cons->self;
    ask->identity = cons->identity;
    ask->last_index = last;
    ask->last_term = cons_term_at(cons, last);
    ask->pre = pre;
    for (size_t i = 0; i < cons->replica_count; i++) {
        cons->peers[i].vote_granted = false;
        if (cons->replicas[i] != cons->self) {
            cons_send(cons, cons->replicas[i], &msg);
        }
    }
    count_votes(cons, now);
}

/* An entry that was damaged here may be committed: a candidate needs it (as in
 * Alagappan et al., FAST 2018). */
static bool
candidate_is_up_to_date(const struct cons *cons, const wire_vote_ask *ask)
{
    struct cons_position candidate = {.index = ask->last_index,
                                      .term = ask->last_term};
    struct cons_position last = cons_last_position(cons);

    if (cons_is_before(last, cons->missing) &&
        !fault_is(FAULT_FORGET_MISSING)) {
        last = cons->missing;
    }
    return !cons_is_before(candidate, last) || fault_is(FAULT_VOTE_STALE_LOG);
}

/* A pre-vote is refused while a leader is alive. */
static bool
grant_vote(struct cons *cons, uint64_t now, const wire_vote_ask *ask)
{
    if (ask->term < cons->term || !candidate_is_up_to_date(cons, ask)) {
        return false;
    }
    if (ask->pre) {
        bool no_leader =
            cons->role != CONS_LEADER &&
            now >= cons->leader_last_seen_at + CONS_ELECTION_TIMEOUT_MS;

        return no_leader && ask->term > cons->term;
    }
    if (cons->voted_for != 0 && cons->voted_for != ask->replica &&
        !fault_is(FAULT_VOTE_TWICE)) {
        return false;
    }
    if (cons->voted_for != ask->replica) {
        cons->voted_for = ask->replica;
        cons_save_term(cons);
    }
    reset_election_timer(cons, now);
    return true;
}

static void
handle_vote_request(struct cons *cons, uint64_t now, const wire_vote_ask *ask)
{
    wire_msg msg = {.kind = WIRE_VOTE_REPLY};
    wire_vote_reply *out = &msg.wire_msg_u.vote_reply;
    bool granted;

    if (!ask->pre && ask->term > cons->term) {
        cons_become_follower(cons, now, ask->term, 0);
    }
    granted = grant_vote(cons, now, ask);
    out->term = ask->pre && granted ? ask->term : cons->term;
    out->replica = cons->self;
    out->identity = cons->identity;
    out->pre = ask->pre;
    out->granted = granted;
    cons_send(cons, ask->replica, &msg);
}

static void
handle_vote_reply(struct cons *cons, uint64_t now,
                  const wire_vote_reply *reply)
{
    struct cons_peer *peer = cons_find_peer(cons, reply->replica);
    uint64_t expected = cons->term + (cons->pre_vote ? 1 : 0);

    if (!reply->granted && reply->term > cons->term) {
        cons_become_follower(cons, now, reply->term, 0);
        return;
    }
    if (cons->role != CONS_CANDIDATE || peer == NULL || !reply->granted ||
        reply->pre != cons->pre_vote || reply->term != expected) {
        return;
    }
    peer->vote_granted = true;
    peer->vote_identity = reply->identity;
    count_votes(cons, now);
}

static bool
replied_since(const struct cons *cons, const wire_voter *voter, uint64_t since)
{
    const struct cons_peer *peer =
        cons_find_peer((struct cons *)cons, voter->replica);

    return voter->replica == cons->self ||
           (peer != NULL && peer->last_reply_at >= since);
}

/* Appends a committed configuration a second time, which records in the log
 * that it was committed; see cons_config_commit_logged(). */
static void
log_config_commit(struct cons *cons, uint64_t now)
{
    wire_command command = {.kind = WIRE_CMD_CONFIG};

    if (cons_is_ready(cons) && !cons_config_pending(cons) &&
        !cons_config_commit_logged(cons)) {
        command.wire_command_u.config.voters = cons->config.voters;
        (void)cons_propose(cons, now, &command);
    }
}

/* Sends heartbeats; steps down without a quorum of replies (CheckQuorum). A
 * leader that is no voter any more first tells the voters that the change was
 * committed: its own disk may be gone soon. */
static void
tick_leader(struct cons *cons, uint64_t now)
{
    uint64_t since = now > CHECK_QUORUM_MS ? now - CHECK_QUORUM_MS : 0;

    if (cons_has_left(cons)) {
        cons_broadcast_append(cons, now);
        cons->role = CONS_FOLLOWER;
        cons->leader = 0;
        return;
    }
    if (!fault_is(FAULT_LEASE_NO_QUORUM) &&
        now > cons->elected_at + CHECK_QUORUM_MS &&
        !cons_quorum(cons, replied_since, since)) {
        cons->role = CONS_FOLLOWER;
        cons->leader = 0;
        reset_election_timer(cons, now);
        return;
    }
    log_config_commit(cons, now);
    if (now >= cons->heartbeat_at) {
        cons_broadcast_append(cons, now);
    }
}

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
    reset_election_timer(cons, now);
    if (cons_may_lead(cons)) {
        request_votes(cons, now, true);
    }
}

void
cons_receive(struct cons *cons, uint64_t now, const wire_msg *msg)
{
    if (cons->failed) {
        return;
    }
    switch (msg->kind) {
    case WIRE_VOTE_ASK:
        handle_vote_request(cons, now, &msg->wire_msg_u.vote_ask);
        return;
    case WIRE_VOTE_REPLY:
        handle_vote_reply(cons, now, &msg->wire_msg_u.vote_reply);
        return;
    case WIRE_APPEND:
        cons_handle_append(cons, now, &msg->wire_msg_u.append);
        return;
    case WIRE_APPEND_REPLY:
        if (msg->wire_msg_u.append_reply.term > cons->term) {
            cons_become_follower(cons, now, msg->wire_msg_u.append_reply.term,
                                 0);
            return;
        }
        cons_handle_append_reply(cons, now, &msg->wire_msg_u.append_reply);
        return;
    case WIRE_SNAPSHOT:
        cons_handle_snapshot(cons, now, &msg->wire_msg_u.snapshot);
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
    case WIRE_LOAD:
        return;
    }
}

uint64_t
cons_propose(struct cons *cons, uint64_t now, wire_command *command)
{
    GByteArray *bytes;
    guint save;

    if (cons->role != CONS_LEADER || cons->failed ||
        (command->kind == WIRE_CMD_CONFIG && cons_config_pending(cons))) {
        return 0;
    }
    bytes = codec_encode_command(command);
    cons_log_append(cons, cons->term, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    save = cons->actions->len;
    cons_save_entries(cons, cons_last_index(cons));
    cons_broadcast_append(cons, now);
    /* A sole voter has committed the entry. */
    g_array_index(cons->actions, struct cons_action, save).batch.commit_index =
        cons->commit_index;
    return cons_last_index(cons);
}

uint64_t
cons_start_round(struct cons *cons, uint64_t now)
{
    if (cons->role != CONS_LEADER || cons->failed) {
        return 0;
    }
    cons_broadcast_append(cons, now);
    return cons->round;
}

bool
cons_is_ready(const struct cons *cons)
{
    return cons->role == CONS_LEADER &&
           cons_term_at(cons, cons->commit_index) == cons->term;
}

/* A replica that cannot store must not acknowledge or vote. */
void
cons_fail(struct cons *cons)
{
    cons->failed = true;
    cons->role = CONS_FOLLOWER;
    cons->leader = 0;
}
