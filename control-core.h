/**
 * @file control-core.h
 * One control replica without I/O: the replicated state machine on top of
 * cons.h, leases and epochs (views) of the entries, staged bundle rollout,
 * and operators' requests that wait for a commit or a quorum read. Every call
 * queues actions, which the caller carries out in order.
 */
#ifndef RIDGERIDGE_CONTROL_CORE_H
#define RIDGERIDGE_CONTROL_CORE_H

#include "cons.h"
#include "control-state.h"
#include "counter.h"
#include "status.h"

#define CONTROL_LEASE_MS 3000U           /**< from when the report was sent */
#define CONTROL_MEMBER_TIMEOUT_MS 3500U  /**< without a report: evicted */
#define CONTROL_LAG_TIMEOUT_MS 5000U     /**< lagging this long: evicted */
#define CONTROL_LEARN_TIMEOUT_MS 30000U  /**< longest wait for flow records */
#define CONTROL_REQUEST_TIMEOUT_MS 3000U /**< of an operator's request */
#define CONTROL_COMPACT_ENTRIES 256U     /**< log entries per snapshot */

/** FLIP waits this long after an eviction: flows of which only the evicted
 * entry had records may still send packets. */
#define CONTROL_EVICTION_DELAY_MS 8000U

/** Kinds of actions. */
enum control_action_kind {
    CONTROL_CONS, /**< carry out `cons` */
    CONTROL_SEND, /**< send `message` to an entry */
    CONTROL_REPLY /**< send `reply` to an operator */
};

/** A message to an entry. */
struct control_message {
    uint32_t address;  /**< IPv4, host order */
    uint16_t port;     /**< for ONC RPC */
    GByteArray *bytes; /**< an encoded wire_msg */
};

/** Answer to an operator's request. */
struct control_reply {
    uint64_t token; /**< as the request gave it */
    struct status status;
};

/** Owns its data, since the replica may change before the action is carried
 * out. */
struct control_action {
    enum control_action_kind kind; /**< selects the field below */
    union {
        struct cons_action cons;        /**< CONS */
        struct control_message message; /**< SEND */
        struct control_reply reply;     /**< REPLY */
    };
};

/** LEADER: an entry that has reported in this term. */
struct control_entry {
    wire_member self;            /**< as reported; owned strings */
    uint64_t version;            /**< bundle applied by the entry */
    uint32_t step;               /**< rollout step applied by the entry */
    uint64_t epoch;              /**< epoch applied by the entry */
    bool stopped;                /**< planned stop completed */
    uint64_t last_seen_at;       /**< last report received */
    uint64_t lagging_since;      /**< 0: not lagging */
    uint64_t lease_until;        /**< end of its last lease */
    uint64_t report_sent_at;     /**< of the report to answer, 0: none */
    uint64_t report_round;       /**< a quorum must confirm this round first */
    uint64_t report_received_at; /**< of the report to answer */
};

/** Kinds of operators' requests. */
enum control_request_kind {
    CONTROL_REQUEST_SUBMIT,
    CONTROL_REQUEST_SIGN_OFF,
    CONTROL_REQUEST_READ,
    CONTROL_REQUEST_VOTERS
};

/** An operator's request that waits for a commit or a quorum. */
struct control_request {
    enum control_request_kind kind; /**< selects the fields below */
    uint64_t token;                 /**< returned in the reply */
    uint64_t index;                 /**< log index to be committed */
    uint64_t term;                  /**< in which it was proposed */
    uint64_t round;                 /**< READ: round to be confirmed */
    uint64_t deadline;              /**< STATUS_UNCONFIRMED from then on */
    uint64_t version;               /**< SIGN_OFF: bundle version */
    char submission[64];            /**< SUBMIT: submission id */
};

/** One control replica. Times are in ms of the caller's monotonic clock. */
struct control_core {
    struct cons cons;          /**< log and elections */
    wire_control_state state;  /**< built from committed commands */
    GPtrArray *entries;        /**< struct control_entry */
    GArray *requests;          /**< struct control_request */
    GArray *actions;           /**< struct control_action */
    struct counters *counters; /**< borrowed */
    uint64_t entries_term;     /**< term to which `entries` belongs */
    uint64_t step_reached_at;  /**< change of `step_key`, or election */
    uint64_t evicted_at;       /**< last eviction without a planned stop */
    uint64_t step_key;         /**< bundle version * 8 + rollout step */
    uint64_t proposed_index;   /**< last STEP or EPOCH proposed */
    uint64_t proposed_term;    /**< term of `proposed_index` */
    GArray *evicting;          /**< uint64_t: ids that the last proposed EPOCH
                                    leaves out; they get no lease */
    uint64_t epoch_ended_at[WIRE_EPOCHS_MAX]; /**< as in `state`; local time */
    u_quad_t ended_ago_ms[WIRE_EPOCHS_MAX];   /**< borrowed by messages */
    uint64_t in_force_ms;   /**< sign-off to in force, last rollout */
    uint64_t wall;          /**< ms since 1970; the caller sets it */
    uint64_t signed_off_at; /**< sign-off applied here, 0: none open */
};

/**
 * Starts a replica and applies its snapshot.
 * @param bootstrap_voters voters of an empty log
 * @param stored result of store_open(), or NULL; see cons_open()
 */
void control_core_open(struct control_core *core, uint64_t now, uint32_t self,
                       uint64_t identity, const uint32_t *replicas,
                       size_t count, const wire_config *bootstrap_voters,
                       uint64_t seed, struct cons_stored *stored,
                       struct counters *counters);

/** Frees a replica. */
void control_core_close(struct control_core *core);

/** Handles timeouts. */
void control_core_tick(struct control_core *core, uint64_t now);

/** Handles a message from a replica or an entry. */
void control_core_receive(struct control_core *core, uint64_t now,
                          const wire_msg *msg);

/** Proposes a bundle; the caller has validated its text. */
void control_core_submit(struct control_core *core, uint64_t now,
                         uint64_t token, const wire_submit *submit);

/** Proposes a sign-off; the caller has verified its signature. */
void control_core_sign_off(struct control_core *core, uint64_t now,
                           uint64_t token, const wire_sign_off *sign);

/** Linearizable read (Raft's ReadIndex): a reply with STATUS_OK means that a
 * quorum confirmed this leader, so that the caller may read `state`. */
void control_core_read(struct control_core *core, uint64_t now,
                       uint64_t token);

/** Proposes to add a voter, or with identity 0 to remove it. */
void control_core_change_voters(struct control_core *core, uint64_t now,
                                uint64_t token, uint32_t replica,
                                uint64_t identity);

/**
 * True if every member of the epoch applies the current bundle to new flows.
 * @param missing receives the names of the other members, separated by commas
 */
bool control_core_in_force(const struct control_core *core, char *missing,
                           size_t size);

/** Returns the queued actions, valid until the next call. */
const struct control_action *control_core_actions(struct control_core *core,
                                                  size_t *count);

/** Empties the queue after its actions are done. */
void control_core_clear(struct control_core *core);

#endif
