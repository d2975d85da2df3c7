/**
 * @file cons.h
 * Consensus on a log of commands among 1, 3, 5 or 7 control replicas: terms,
 * votes with a pre-vote, replication, joint changes of voters, and quorum
 * rounds that confirm a leader. After Raft (Ongaro and Ousterhout, USENIX
 * ATC 2014). Does no I/O: every call returns actions, to be carried out in
 * order; an action that stores must be synced before the next is begun.
 */
#ifndef RIDGERIDGE_CONS_H
#define RIDGERIDGE_CONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"

#define CONS_HEARTBEAT_MS 200U     /**< between a leader's rounds */
#define CONS_ELECTION_MS 800U      /**< least time without a leader */
#define CONS_ELECTION_SPAN_MS 800U /**< random time added to it */
#define CONS_REPLICAS_MAX 7U       /**< voters at most */
#define CONS_PEERS_MAX 16U         /**< voters and those that learn, at most */

/** Role of a replica. */
enum cons_role { CONS_FOLLOWER, CONS_CANDIDATE, CONS_LEADER };

/** What a replica must do. */
enum cons_action_kind {
    CONS_SAVE_TERM,     /**< store term and vote, sync */
    CONS_SAVE_ENTRIES,  /**< append entries from `index` on, sync */
    CONS_SAVE_CUT,      /**< drop stored entries from `index` on, sync */
    CONS_SAVE_SNAPSHOT, /**< replace all stored entries, sync */
    CONS_SEND,          /**< send `msg` to replica `to` */
    CONS_LOAD           /**< take the state of the received snapshot */
};

/** One action. What it points to lives until the next call. */
struct cons_action {
    enum cons_action_kind kind; /**< which of the following is set */
    uint32_t to;                /**< SEND: replica */
    uint64_t index;             /**< SAVE_ENTRIES, SAVE_CUT */
    uint32_t count;             /**< SAVE_ENTRIES */
    wire_msg msg;               /**< SEND; its bytes are borrowed */
};

/** One entry of the log. */
struct cons_entry {
    uint64_t term;   /**< of the leader that made it */
    GBytes *command; /**< an encoded wire_command */
};

/** A snapshot: all that entries up to `index` built. */
struct cons_snapshot {
    uint64_t index;     /**< last entry it holds, 0: none */
    uint64_t term;      /**< of that entry */
    wire_config config; /**< voters at that entry */
    GBytes *state;      /**< an encoded wire_control_state */
};

/** One other replica, as a leader sees it. */
struct cons_peer {
    uint64_t identity;      /**< of its last answer */
    uint64_t next;          /**< next entry to send */
    uint64_t match;         /**< stored up to here, for that identity */
    uint64_t round;         /**< last round it answered */
    uint64_t heard_at;      /**< when it last answered */
    bool vote;              /**< granted in this election */
    uint64_t vote_identity; /**< identity that granted */
};

/** A replica. */
struct cons {
    uint32_t self;                     /**< own number */
    uint64_t identity;                 /**< of the own disk */
    uint32_t replicas[CONS_PEERS_MAX]; /**< all that may be talked to */
    size_t replica_count;              /**< of replicas */
    uint64_t random;                   /**< state of the generator */
    enum cons_role role;               /**< own role */
    bool pre;                          /**< CANDIDATE: only asking */
    bool failed;                   /**< storage failed: takes part no more */
    uint64_t term;                 /**< stored */
    uint32_t vote;                 /**< stored; 0: none in this term */
    uint32_t leader;               /**< known leader of this term, 0: none */
    uint64_t commit;               /**< highest committed entry */
    struct cons_snapshot snapshot; /**< what the log begins after */
    GArray *log;              /**< struct cons_entry, after the snapshot */
    uint64_t change_index;    /**< last entry that changes voters */
    wire_config latest;       /**< voters after that entry */
    uint64_t election_at;     /**< deadline: start an election */
    uint64_t heartbeat_at;    /**< deadline: start a round */
    uint64_t leader_heard_at; /**< when a leader last wrote */
    uint64_t round;           /**< last round begun */
    uint64_t confirmed;       /**< last round a quorum answered */
    uint64_t elected_at;      /**< LEADER: since when */
    struct cons_peer peers[CONS_PEERS_MAX]; /**< as `replicas` */
    GArray *actions;                        /**< struct cons_action */
};

/** What was stored by an earlier run. */
struct cons_stored {
    uint64_t term;
    uint32_t vote;
    struct cons_snapshot snapshot; /**< index 0: none; taken over */
    GArray *log;                   /**< struct cons_entry; taken over */
    uint64_t commit; /**< an entry known to be committed, 0: none */
};

/** Starts a replica. `stored` may be NULL. `founders` vote at first. */
void cons_open(struct cons *cons, uint64_t now, uint32_t self,
               uint64_t identity, const uint32_t *replicas, size_t count,
               const wire_config *founders, uint64_t seed,
               struct cons_stored *stored);

/** Frees a replica. */
void cons_close(struct cons *cons);

/**
 * Begins to talk to a replica, which learns the log and votes nowhere yet.
 * Voters are added by themselves. False when CONS_PEERS_MAX are known.
 */
bool cons_add_replica(struct cons *cons, uint64_t now, uint32_t replica);

/** Stops talking to a replica; a voter stays. */
void cons_drop_replica(struct cons *cons, uint32_t replica);

/** Lets time pass. */
void cons_tick(struct cons *cons, uint64_t now);

/** Takes a message of another replica. */
void cons_receive(struct cons *cons, uint64_t now, const wire_msg *msg);

/**
 * LEADER: appends a command and begins its replication.
 * @return its index, or 0 when not the leader, or when a change of voters
 *         is proposed while another is not committed
 */
uint64_t cons_propose(struct cons *cons, uint64_t now, wire_command *command);

/** LEADER: begins a round now; its number confirms what came before. */
uint64_t cons_begin_round(struct cons *cons, uint64_t now);

/** Takes the actions; the array is emptied by the next call. */
const struct cons_action *cons_actions(struct cons *cons, size_t *count);

/** Forgets the actions, after they were carried out. */
void cons_clear_actions(struct cons *cons);

/** LEADER: says whether an entry of its own term is committed; before that
 * it may not know all that leaders before it committed. */
bool cons_is_ready(const struct cons *cons);

/** Highest index in the log. */
uint64_t cons_last_index(const struct cons *cons);

/** An entry by index; NULL when it is in the snapshot or past the end. */
const struct cons_entry *cons_entry_at(const struct cons *cons,
                                       uint64_t index);

/** Replaces entries up to `index` (committed) by a snapshot of the state. */
void cons_compact(struct cons *cons, uint64_t index, GBytes *state);

/** The voters in force at the end of the log. */
const wire_config *cons_config(const struct cons *cons);

/** Says whether a replica and identity vote in the latest voters. */
bool cons_is_voter(const struct cons *cons, uint32_t replica,
                   uint64_t identity);

/** Tells that an action which stores has failed. */
void cons_fail(struct cons *cons);

#endif
