/**
 * @file cons.h
 * Raft consensus (Ongaro and Ousterhout, USENIX ATC 2014) among 1, 3, 5 or 7
 * control replicas, with pre-vote, joint consensus and ReadIndex. Does no I/O:
 * calls queue actions that the caller carries out in order, syncing each write
 * before the next action.
 */
#ifndef RIDGERIDGE_CONS_H
#define RIDGERIDGE_CONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"

#define CONS_HEARTBEAT_INTERVAL_MS 200U
#define CONS_ELECTION_TIMEOUT_MS 800U /**< before the random addition */
#define CONS_ELECTION_JITTER_MS 800U  /**< upper bound of the addition */
#define CONS_VOTERS_MAX 7U
#define CONS_PEERS_MAX 16U /**< voters and learners */

enum cons_role { CONS_FOLLOWER, CONS_CANDIDATE, CONS_LEADER };

enum cons_action_kind {
    CONS_SAVE_TERM,       /**< store `vote`, sync */
    CONS_SAVE_ENTRIES,    /**< append `batch` to the log, sync */
    CONS_SAVE_TRUNCATION, /**< remove entries from `index` on, sync */
    CONS_SAVE_SNAPSHOT,   /**< replace snapshot and log by `image`, sync */
    CONS_SEND,            /**< send `message` */
    CONS_RESTORE_SNAPSHOT /**< load the snapshot that ends at `index` into the
                             state machine */
};

/** One entry of the log. */
struct cons_entry {
    uint64_t term;
    GBytes *command; /**< an encoded wire_command */
};

/** State machine and configuration after the entry at `index`. */
struct cons_snapshot {
    uint64_t index; /**< last included entry, 0: no snapshot */
    uint64_t term;  /**< of the last included entry */
    wire_config config;
    GBytes *state; /**< an encoded wire_control_state */
};

/** Position of an entry in the log. */
struct cons_position {
    uint64_t index; /**< 0: none */
    uint64_t term;
};

/** A term and the vote in it. */
struct cons_vote {
    uint64_t term;
    uint32_t voted_for; /**< replica number, 0: none */
};

/** Consecutive entries of the log. */
struct cons_batch {
    uint64_t first;        /**< index of the first entry */
    GArray *entries;       /**< struct cons_entry */
    uint64_t commit_index; /**< known when the batch was made */
};

/** A snapshot and the entries after it. */
struct cons_image {
    struct cons_snapshot snapshot;
    struct cons_batch batch;
};

/** A message to another replica. */
struct cons_message {
    uint32_t to;       /**< replica number */
    GByteArray *bytes; /**< an encoded wire_msg */
};

/** Owns its data, since the log may change before the action is carried
 * out. */
struct cons_action {
    enum cons_action_kind kind; /**< selects the field below */
    union {
        struct cons_vote vote;       /**< SAVE_TERM */
        struct cons_batch batch;     /**< SAVE_ENTRIES */
        struct cons_image image;     /**< SAVE_SNAPSHOT */
        struct cons_message message; /**< SEND */
        uint64_t index;              /**< SAVE_TRUNCATION, RESTORE_SNAPSHOT */
    };
};

/** Replication progress of another replica, tracked by the leader. */
struct cons_peer {
    uint64_t identity;    /**< disk identity in its last reply */
    uint64_t next_index;  /**< next entry to send */
    uint64_t match_index; /**< highest entry stored under `identity` */
    uint64_t last_round;  /**< last heartbeat round it acknowledged */
    uint64_t last_reply_at;
    bool vote_granted;      /**< in the current election */
    uint64_t vote_identity; /**< disk identity that granted the vote */
};

/** A replica. */
struct cons {
    uint32_t self;                     /**< own replica number */
    uint64_t identity;                 /**< of the own disk */
    uint32_t replicas[CONS_PEERS_MAX]; /**< voters and learners, and self */
    size_t replica_count;
    uint64_t random; /**< state of the generator */
    enum cons_role role;
    bool pre_vote; /**< CANDIDATE: in the pre-vote phase */
    bool failed;   /**< a write failed; the replica is passive */
    /** Last entry that the disk held before a part of its log was damaged,
     * while the log does not reach it again; index 0: nothing is missing. Such
     * a replica does not lead, grants votes as if it still held that entry,
     * and does not count as a holder of entries. */
    struct cons_position missing;
    uint64_t term;         /**< stored on disk */
    uint32_t voted_for;    /**< stored on disk; 0: none in this term */
    uint32_t leader;       /**< of this term, 0: unknown */
    uint64_t commit_index; /**< highest committed entry */
    struct cons_snapshot snapshot;
    GArray *log;           /**< struct cons_entry, after the snapshot */
    uint64_t config_index; /**< last configuration entry in the log */
    wire_config config;    /**< of that entry, committed or not */
    uint64_t election_at;  /**< election deadline */
    uint64_t heartbeat_at; /**< heartbeat deadline */
    uint64_t leader_last_seen_at;
    uint32_t last_leader;     /**< seen then, 0: none since the start */
    uint64_t round;           /**< last heartbeat round sent */
    uint64_t confirmed_round; /**< last round a quorum acknowledged */
    uint64_t elected_at;      /**< LEADER: start of leadership */
    struct cons_peer peers[CONS_PEERS_MAX]; /**< parallel to `replicas` */
    GArray *actions;                        /**< struct cons_action */
};

/** State loaded from disk; cons_open() takes ownership of the pointers. */
struct cons_stored {
    uint64_t term;
    uint32_t voted_for;
    struct cons_snapshot snapshot; /**< index 0: none */
    GArray *log;                   /**< struct cons_entry */
    uint64_t commit_index;         /**< known to be committed, 0: none */
    struct cons_position missing;  /**< see struct cons */
};

/**
 * @param now monotonic time in ms
 * @param replicas voters and learners known at the start, `self` included
 * @param initial_config voters of an empty log
 * @param seed of the election timeouts
 * @param stored state of an earlier run, or NULL
 */
void cons_open(struct cons *cons, uint64_t now, uint32_t self,
               uint64_t identity, const uint32_t *replicas, size_t count,
               const wire_config *initial_config, uint64_t seed,
               struct cons_stored *stored);

void cons_close(struct cons *cons);

/**
 * Replicates the log to a learner, which has no vote. Voters of the
 * configuration are added automatically.
 * @return false when there are CONS_PEERS_MAX replicas already
 */
bool cons_add_peer(struct cons *cons, uint64_t now, uint32_t replica);

/** Removes a learner; a voter stays. */
void cons_remove_peer(struct cons *cons, uint32_t replica);

/** Runs elections and heartbeats that are due. */
void cons_tick(struct cons *cons, uint64_t now);

/** Handles a message from another replica; ignores kinds of other modules. */
void cons_receive(struct cons *cons, uint64_t now, const wire_msg *msg);

/**
 * LEADER: appends a command and starts its replication.
 * @return its index, or 0 when not the leader, or for a configuration change
 *         while another is uncommitted
 */
uint64_t cons_propose(struct cons *cons, uint64_t now, wire_command *command);

/**
 * LEADER: starts a heartbeat round. Once `confirmed_round` reaches it, this
 * replica was still the leader at the time of the call (Raft ReadIndex).
 * @return the round, or 0 when not the leader
 */
uint64_t cons_start_round(struct cons *cons, uint64_t now);

/** Queued actions, in the order in which they must be carried out. */
const struct cons_action *cons_actions(struct cons *cons, size_t *count);

/** Empties the queue of actions, after they were carried out. */
void cons_clear_actions(struct cons *cons);

/** Moves the queued actions to another queue, in order. Free each with
 * cons_free_action(). */
void cons_move_actions(struct cons *cons,
                       void (*add)(void *data, const struct cons_action *),
                       void *data);

/** Frees the data of an action. */
void cons_free_action(struct cons_action *action);

/** True for a leader that has committed an entry of its own term; before
 * that, it may not know the commit index of its predecessors. */
bool cons_is_ready(const struct cons *cons);

uint64_t cons_last_index(const struct cons *cons);

/** Compares by term, then by index (Raft, section 5.4.1). */
bool cons_is_before(struct cons_position a, struct cons_position b);

/** Returns NULL when the index is in the snapshot or past the end. */
const struct cons_entry *cons_entry_at(const struct cons *cons,
                                       uint64_t index);

/** Replaces committed entries up to `index` by a snapshot of the state, unless
 * they are still needed; the caller tries again later. */
void cons_compact(struct cons *cons, uint64_t index, GBytes *state);

/** Latest configuration in the log, committed or not. */
const wire_config *cons_config(const struct cons *cons);

/** Whether this replica is no voter, by a configuration that the log records
 * as committed: the others no longer need its disk. */
bool cons_has_left(const struct cons *cons);

/** Tests replica number and disk identity against the latest configuration. */
bool cons_is_voter(const struct cons *cons, uint32_t replica,
                   uint64_t identity);

/** Reports a failed write; the replica ignores all messages from then on. */
void cons_fail(struct cons *cons);

#endif
