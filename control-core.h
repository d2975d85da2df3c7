/**
 * @file control-core.h
 * One control replica without I/O: consensus, the state it builds, the
 * entries it hears, leases, epochs, roll-outs, and operators' requests that
 * wait for a commit or a quorum. Actions come back in the order in which
 * they must be carried out.
 */
#ifndef RIDGERIDGE_CONTROL_CORE_H
#define RIDGERIDGE_CONTROL_CORE_H

#include "cons.h"
#include "control-state.h"
#include "counter.h"
#include "status.h"

#define CONTROL_LEASE_MS 3000U   /**< counted from when a report was sent */
#define CONTROL_SUSPECT_MS 3500U /**< an unheard entry leaves the epoch */
#define CONTROL_BEHIND_MS 5000U  /**< an entry that lags so long as well */
#define CONTROL_LEARN_MS 30000U  /**< longest wait for records to be pushed */
#define CONTROL_LINGER_MS                                                     \
    8000U                       /**< after a loss, flows that only the lost   \
                                     entry knew may still show themselves */
#define CONTROL_ANSWER_MS 3000U /**< longest wait of an operator */
#define CONTROL_COMPACT 256U    /**< entries of the log before a snapshot */

/** What the shell must do. */
enum control_action_kind {
    CONTROL_CONS, /**< an action of consensus */
    CONTROL_SEND, /**< send `msg` to the entry `member` */
    CONTROL_REPLY /**< answer the operator who holds `token` */
};

/** One action. */
struct control_action {
    enum control_action_kind kind; /**< which of the following is set */
    struct cons_action cons;       /**< CONS */
    wire_member member;            /**< SEND: whom to; borrowed strings */
    wire_msg msg;                  /**< SEND; borrowed bytes */
    uint64_t token;                /**< REPLY */
    struct status status;          /**< REPLY */
};

/** An entry that this replica hears as the leader. */
struct control_entry {
    wire_member self;       /**< as it reported; owned strings */
    uint64_t version;       /**< applied there */
    uint32_t step;          /**< applied there */
    uint64_t epoch;         /**< applied there */
    bool gone;              /**< its planned stop is done */
    uint64_t heard_at;      /**< when it last reported */
    uint64_t behind_since;  /**< since when it lags, 0: it does not */
    uint64_t lease_until;   /**< no lease of it lasts longer */
    uint64_t waiting_sent;  /**< sent_at of a report not answered, 0: none */
    uint64_t waiting_round; /**< round that must be confirmed first */
    uint64_t waiting_at;    /**< when that report came */
};

/** Kinds of operators' requests that wait. */
enum control_wait_kind {
    CONTROL_WAIT_SUBMIT,
    CONTROL_WAIT_SIGN_OFF,
    CONTROL_WAIT_READ,
    CONTROL_WAIT_VOTERS
};

/** One operator's request that waits. */
struct control_wait {
    enum control_wait_kind kind; /**< which */
    uint64_t token;              /**< of the shell */
    uint64_t index;              /**< entry to be committed */
    uint64_t term;               /**< in which it was proposed */
    uint64_t round;              /**< READ: round to be confirmed */
    uint64_t deadline;           /**< answered as unconfirmed then */
    uint64_t version;            /**< SIGN_OFF: which bundle */
    char submission[64];         /**< SUBMIT: which one */
};

/** One control replica. */
struct control_core {
    struct cons cons;          /**< the log */
    wire_control_state state;  /**< what it built */
    GPtrArray *entries;        /**< struct control_entry */
    GArray *waits;             /**< struct control_wait */
    GArray *actions;           /**< struct control_action */
    struct counters *counters; /**< of the process */
    uint64_t lead_term;        /**< term in which entries were cleared */
    uint64_t step_at;          /**< when the step was reached here */
    uint64_t departed_at;      /**< when an entry was last given up */
    uint64_t step_seen;        /**< version * 8 + step of `step_at` */
    uint64_t proposed;         /**< last STEP, EPOCH or CONFIG proposed */
    uint64_t proposed_term;    /**< its term */
    GArray *dropping;          /**< uint64_t: ids that the EPOCH proposed
                                    last leaves out; no lease for them */
    uint64_t epoch_ended[WIRE_EPOCHS_MAX]; /**< when, as seen here */
    u_quad_t ended_ago[WIRE_EPOCHS_MAX];   /**< borrowed by messages */
    uint64_t in_force_ms; /**< how long the last roll-out took */
    uint64_t wall;        /**< ms since 1970, set before each call */
    uint64_t signed_at;   /**< when its sign-off was applied here */
};

/** Starts a replica; see cons_open(). Applies what a snapshot holds. */
void control_core_open(struct control_core *core, uint64_t now, uint32_t self,
                       uint64_t identity, const uint32_t *replicas,
                       size_t count, const wire_config *founders,
                       uint64_t seed, struct cons_stored *stored,
                       struct counters *counters);

/** Frees a replica. */
void control_core_close(struct control_core *core);

/** Lets time pass. */
void control_core_tick(struct control_core *core, uint64_t now);

/** Takes a message of a replica or an entry. */
void control_core_receive(struct control_core *core, uint64_t now,
                          const wire_msg *msg);

/** An operator submits. The text was checked by the shell. */
void control_core_submit(struct control_core *core, uint64_t now,
                         uint64_t token, const wire_submit *submit);

/** An operator signs off. The signature was checked by the shell. */
void control_core_sign_off(struct control_core *core, uint64_t now,
                           uint64_t token, const wire_sign_off *sign);

/** An operator asks; STATUS_OK means that a quorum confirmed the state. */
void control_core_read(struct control_core *core, uint64_t now,
                       uint64_t token);

/** An operator adds or removes a voter (identity 0 removes). */
void control_core_voters(struct control_core *core, uint64_t now,
                         uint64_t token, uint32_t replica, uint64_t identity);

/** Says whether all live entries confirmed the bundle; names the others. */
bool control_core_in_force(const struct control_core *core, char *missing,
                           size_t size);

/** Takes the actions. */
const struct control_action *control_core_actions(struct control_core *core,
                                                  size_t *count);

/** Forgets the actions, after they were carried out. */
void control_core_clear(struct control_core *core);

#endif
