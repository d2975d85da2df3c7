/**
 * @file replica.h
 * One Raft replica (Ongaro and Ousterhout, USENIX ATC 2014) of the
 * deployment's configuration: the log and the state machine of routing tables
 * and drained data halls, reads confirmed by a quorum, and the changes of the
 * set of voters. The routing table with the highest version is in force.
 *
 * Does no I/O: each call appends actions, which the caller carries out in
 * their order. A replica is addressed by its node's IPv4 address.
 */
#ifndef RIDGERIDGE_REPLICA_H
#define RIDGERIDGE_REPLICA_H

#include "cons.h"
#include "counter.h"
#include "hall.h"
#include "status.h"

#define REPLICA_REQUEST_TIMEOUT_MS                                            \
    900U /**< an operator tries the next node after 1 s */
#define REPLICA_FIRST_ELECTION_MS                                             \
    250U /**< first election after a start, at the earliest; above            \
            CONS_HEARTBEAT_MS */
#define REPLICA_FIRST_ELECTION_JITTER_MS 400U /**< random, added to it */
#define REPLICA_REPLACE_MS                                                    \
    3000U /**< without a message from a voter, until a disk with the whole    \
             log replaces it */
#define REPLICA_DISK_FRESH_MS                                                 \
    1500U /**< greatest age of the last report with which a disk counts for   \
               the wanted number of voters */
#define REPLICA_SHRINK_MS                                                     \
    10000U /**< without a message from a voter that no disk can replace,      \
              until it is removed */
#define REPLICA_DISK_TIMEOUT_MS                                               \
    6000U /**< without a report from a learner, until it is removed */
#define REPLICA_STOP_LEADING_MS                                               \
    1000U /**< a stopping leader waits this long for a disk to replace it */
#define REPLICA_JOIN_MS                                                       \
    2000U /**< after bootstrap, for disks to join before operators' requests  \
             are accepted */
#define REPLICA_COMPACT_ENTRIES                                               \
    64U /**< applied entries since the last snapshot */
#define REPLICA_DISKS_MAX CONS_PEERS_MAX

/** Kind of a struct replica_action. */
enum replica_action_kind {
    REPLICA_CONS,   /**< carry out `cons` */
    REPLICA_REPLY,  /**< send `reply` to an operator */
    REPLICA_APPLY,  /**< `state` was committed */
    REPLICA_REPLACE /**< log that a voter is being replaced */
};

/** Why the leader replaces a voter. */
enum replica_replace_reason {
    REPLICA_DISK_CHANGED,   /**< its node has a new disk */
    REPLICA_VOTER_STOPPING, /**< its node reports a planned stop */
    REPLICA_VOTER_SILENT    /**< no message for REPLICA_REPLACE_MS */
};

/** Replacement of a voter that the leader proposes. */
struct replica_replacement {
    uint32_t from; /**< address of the voter */
    uint32_t to;   /**< address of the disk that replaces it, 0: removed */
    enum replica_replace_reason reason;
    uint64_t silent_ms; /**< since the last message of the voter */
};

/** Answer to an operator's request. */
struct replica_reply {
    uint64_t token;       /**< of the request */
    struct status status; /**< result */
    bool with_table;      /**< send the routing table */
    GBytes *routes;       /**< with it: encoded wire_command, NULL: none */
};

/** Committed state. */
struct replica_state {
    GBytes *routes;         /**< encoded wire_command, NULL: no table */
    struct hall_set *halls; /**< drained data halls */
};

/** Owns its data, since the replica may change before the action is carried
 * out. */
struct replica_action {
    enum replica_action_kind kind; /**< selects the field below */
    union {
        struct cons_action cons;                /**< CONS */
        struct replica_reply reply;             /**< REPLY */
        struct replica_state state;             /**< APPLY */
        struct replica_replacement replacement; /**< REPLACE */
    };
};

/** A node with a disk: a voter or a learner. */
struct replica_disk {
    uint32_t address;  /**< IPv4, host order */
    uint64_t identity; /**< of the disk; a replaced disk has another one */
    uint64_t last_seen_at;
    bool stopping; /**< the node reports a planned stop */
};

/** A request of an operator that is not answered yet. */
struct replica_pending {
    uint64_t token;    /**< given by the caller */
    bool read;         /**< waits for `round`, else for `index` */
    uint64_t index;    /**< log entry of the request */
    uint64_t term;     /**< at arrival; in another term it is answered with
                            STATUS_UNCONFIRMED */
    uint64_t round;    /**< quorum round that confirms a read */
    uint64_t deadline; /**< answered with STATUS_UNCONFIRMED then */
};

/** A voter or a learner. */
struct replica {
    struct cons cons;      /**< Raft state and log */
    GBytes *routes;        /**< encoded wire_command; NULL: none */
    uint64_t version;      /**< of the routing table, 0: none */
    struct hall_set halls; /**< drained data halls */
    uint64_t applied;      /**< index of the last applied entry */
    struct replica_disk disks[REPLICA_DISKS_MAX];
    size_t disk_count;
    u_int voters_max; /**< set by the owner: further disks stay spares; 0: not
                           limited, as the tolerated losses are unknown */
    uint64_t bootstrapped_at;  /**< time of the bootstrap by this replica, 0:
                                    another one did it */
    uint64_t ready_at;         /**< time: operators' requests are accepted from
                                    then on */
    uint64_t led_term;         /**< last term in which this replica led */
    bool stopping;             /**< a planned stop of this node has begun */
    uint64_t lead_until;       /**< deadline: a stopping leader steps down */
    GArray *pending;           /**< of struct replica_pending */
    GArray *actions;           /**< of struct replica_action */
    struct counters *counters; /**< of the process, not owned */
};

/**
 * @param founder bootstraps the deployment as its only voter
 * @param stored see cons_open()
 */
void replica_open(struct replica *replica, uint64_t now, uint32_t self,
                  uint64_t identity, bool founder, uint64_t seed,
                  struct cons_stored *stored, struct counters *counters);

void replica_close(struct replica *replica);

/** Records a report of a node with a disk. */
void replica_update_disk(struct replica *replica, uint64_t now,
                         const wire_node *node);

/** Runs the timers that are due; see replica_deadline(). */
void replica_tick(struct replica *replica, uint64_t now);

/** Handles a message of another replica. */
void replica_receive(struct replica *replica, uint64_t now,
                     const wire_msg *msg);

/**
 * Submits an operator's routing table, already validated. A version that is
 * not above the current one is acknowledged without a log entry.
 */
void replica_submit(struct replica *replica, uint64_t now, uint64_t token,
                    const wire_routes *routes);

/**
 * Submits an operator's order to drain or undrain a data hall; answered with
 * STATUS_OK once a quorum stored it. An order that changes nothing is logged
 * too, to confirm that no later leader has undone it.
 */
void replica_submit_hall(struct replica *replica, uint64_t now, uint64_t token,
                         const struct hall_order *hall);

/**
 * Reads the routing table, linearizable: STATUS_OK means that a quorum
 * confirmed the leader since the request arrived.
 */
void replica_read(struct replica *replica, uint64_t now, uint64_t token);

/** Starts a planned stop of this node. As the leader it lets a disk replace
 * its own, and steps down. */
void replica_stop(struct replica *replica, uint64_t now);

/** Actions since the last replica_clear(), in order. */
const struct replica_action *replica_actions(struct replica *replica,
                                             size_t *count);

/**
 * Tokens of requests without an answer after a disk failure: those pending,
 * and those whose REPLY is among the actions from `from` on.
 * @return uint64_t tokens; free with g_array_free()
 */
GArray *replica_unanswered_tokens(const struct replica *replica, size_t from);

/** Drops the actions after they were carried out. */
void replica_clear(struct replica *replica);

/** Time at which replica_tick() is due next. */
uint64_t replica_deadline(const struct replica *replica);

#endif
