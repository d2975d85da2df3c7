/**
 * @file request.h
 * Requests at the entry that a caller reached (the coordinator): claim the
 * key at its replicas, get a slot from the gate, dispatch to one upstream,
 * record the outcome, answer. Does no I/O; time is an argument.
 *
 * A request is dispatched only while this entry's lease lasts, and only
 * after a majority of the key's replicas granted it in one epoch and a
 * majority of each earlier epoch's replicas, within the window, held nothing.
 */
#ifndef RIDGERIDGE_REQUEST_H
#define RIDGERIDGE_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "claim.h"
#include "counter.h"
#include "gate.h"
#include "generated/wire.h"
#include "member.h"
#include "ring.h"

#define REQUEST_RESEND_MS 100U /**< unanswered messages go again */
#define REQUEST_WAIT_MS 500U   /**< a question that waits goes again */
#define REQUEST_CLAIM_MS 4500U /**< longest claim: past a lost entry's end */
#define REQUEST_FINISH_MS 300U /**< longest wait for the outcome's copies */
#define REQUEST_GATE_TRIES 3U  /**< questions before a stand-in is asked */
#define REQUEST_EPOCHS WIRE_EPOCHS_MAX /**< epochs kept for the window */
#define REQUEST_REPLICAS 48      /**< distinct replicas of a key in them */
#define REQUEST_RETRY_PERCENT 10 /**< retries add at most this load */

/** Where a request stands. */
enum request_state {
    REQUEST_CLAIMING,  /**< asking the replicas of its key */
    REQUEST_WAITING,   /**< another request with the key is running */
    REQUEST_QUEUED,    /**< asking the gate for a slot */
    REQUEST_RUNNING,   /**< at an upstream */
    REQUEST_FINISHING, /**< telling the replicas the outcome */
    REQUEST_ENDED,     /**< answered */
};

/** What a caller asks. */
struct request_spec {
    uint64_t token;         /**< of the shell, unique at this entry */
    uint64_t service;       /**< hash of the service's name */
    uint64_t subject;       /**< the same when the caller comes back */
    bool safe;              /**< may be repeated (RFC 9110, 9.2.2) */
    bool keyed;             /**< came with an Idempotency-Key */
    char key[WIRE_KEY];     /**< hash of service and key */
    char digest[WIRE_KEY];  /**< hash of method, target and body */
    uint64_t deadline;      /**< monotonic ms */
    uint64_t wall_deadline; /**< the same as ms since 1970 */
};

/** What the shell must do. */
enum request_action_kind {
    REQUEST_SEND,     /**< send `msg` to entry `peer` */
    REQUEST_DISPATCH, /**< call the upstream */
    REQUEST_ABORT,    /**< cancel the call */
    REQUEST_ANSWER    /**< answer the caller with `outcome` */
};

/** One action. */
struct request_action {
    enum request_action_kind kind; /**< which of the following is set */
    uint64_t token;                /**< all but SEND */
    uint64_t peer;                 /**< SEND */
    wire_msg msg;                  /**< SEND; borrowed bytes */
    uint32_t address;              /**< DISPATCH */
    uint16_t port;                 /**< DISPATCH */
    uint64_t deadline;             /**< DISPATCH: monotonic ms */
    wire_outcome outcome;          /**< ANSWER; borrowed body */
    enum ring_rule rule;           /**< ANSWER: why */
};

/** What one replica of a key said. */
struct request_replica {
    uint64_t id;              /**< entry */
    bool current;             /**< in the set of the epoch in force */
    bool alive;               /**< member of the epoch in force */
    bool heard;               /**< answered in this epoch */
    wire_claim_result result; /**< its answer */
    uint64_t holder;          /**< HELD: by whom */
    uint64_t holder_token;    /**< HELD: its request */
    uint64_t holder_epoch;    /**< HELD: when it was granted */
    bool finished;            /**< stored the outcome */
};

/** One request. */
struct request {
    struct request_spec spec;                          /**< what was asked */
    enum request_state state;                          /**< where it stands */
    struct request_replica replicas[REQUEST_REPLICAS]; /**< union of sets */
    size_t replica_count;                              /**< of replicas */
    bool too_many;              /**< replicas; earlier ones cannot be read */
    GArray *absorbed;           /**< wire_absorbed, of all replicas */
    uint64_t claim_deadline;    /**< CLAIMING: give up then */
    uint64_t resend_at;         /**< deadline: send again */
    uint64_t finish_deadline;   /**< FINISHING: answer anyway then */
    uint64_t holder;            /**< WAITING: for whom */
    uint64_t holder_token;      /**< WAITING: for its request */
    enum ring_rule released;    /**< the holder was refused, and why */
    uint32_t released_retry_ms; /**< as the holder was told */
    unsigned gate_rank;         /**< 0: the gate, 1 and 2: stand-ins */
    unsigned gate_asked;        /**< times it was asked in vain */
    uint64_t gate;              /**< entry asked for a slot */
    uint64_t slot_token;        /**< of this try at the gate */
    uint32_t address;           /**< RUNNING: upstream */
    uint16_t port;              /**< RUNNING: upstream */
    uint64_t started;           /**< RUNNING: when */
    unsigned tries;             /**< upstreams tried */
    bool ran;                   /**< an upstream may have run it */
    bool delivered;             /**< answered, or nobody waits */
    wire_outcome outcome;       /**< once known; owned body */
    enum ring_rule rule;        /**< why it ended so */
};

/** An epoch that may still matter. */
struct request_epoch {
    struct member_set members; /**< without those that were stopping */
    uint64_t until;            /**< deadline after which it does not */
};

/** The coordinator of one entry. */
struct request_core {
    uint64_t self;        /**< this entry's id */
    GHashTable *requests; /**< token to struct request */
    GHashTable *by_slot;  /**< slot_token to struct request */
    GPtrArray *ended;     /**< to be freed when actions are cleared */
    struct request_epoch epochs[REQUEST_EPOCHS]; /**< [0] in force */
    size_t epoch_count;                          /**< of epochs */
    struct member_set alive;   /**< epoch in force, with stopping ones */
    bool history_cut;          /**< more epochs mattered than are kept */
    uint64_t lease_deadline;   /**< no dispatch after it */
    uint64_t next_slot_token;  /**< for tries at gates */
    double retry_budget;       /**< retries that may be made */
    struct counters *counters; /**< of the process */
    struct ring *ring;         /**< decisions; may be NULL */
    uint64_t version;          /**< of the bundle, for the ring */
    GArray *actions;           /**< struct request_action */
};

/** Starts a coordinator. */
void request_open(struct request_core *core, uint64_t self,
                  struct counters *counters, struct ring *ring);

/** Frees a coordinator. */
void request_close(struct request_core *core);

/**
 * Takes the epochs that control sent, the one in force first, and how long
 * ago each ended (ms, a lower bound). Older ones that are known are kept.
 * @param alive members of the epoch in force, with those that are stopping:
 *        they hold no new records, and can still be asked for old ones
 */
void request_set_epochs(struct request_core *core, uint64_t now,
                        const struct member_set *alive,
                        const struct member_set *epochs,
                        const uint64_t *ended_ago, size_t count);

/** Forgets the epochs before the one in force: no request ran in them. */
void request_forget_epochs(struct request_core *core);

/** A caller asks. `wall` is ms since 1970. */
void request_begin(struct request_core *core, uint64_t now, uint64_t wall,
                   const struct request_spec *spec);

/** Messages of other entries. */
void request_take_claim_reply(struct request_core *core, uint64_t now,
                              const wire_claim_reply *reply);
void request_take_finish_reply(struct request_core *core, uint64_t now,
                               const wire_finish_reply *reply);
void request_take_grant(struct request_core *core, uint64_t now,
                        const wire_slot_grant *grant);
void request_take_wait(struct request_core *core, uint64_t now,
                       const wire_slot_wait *wait);
void request_take_refusal(struct request_core *core, uint64_t now,
                          const wire_slot_refuse *refuse);

/** The answer of an upstream. */
struct request_reply {
    uint32_t status;          /**< HTTP status */
    const char *content_type; /**< may be NULL */
    const char *body;         /**< whole; kept up to WIRE_BODY_MAX bytes */
    size_t length;            /**< of body */
};

/** An upstream's call ended. `reply` goes with GATE_ANSWERED, else NULL. */
void request_upstream(struct request_core *core, uint64_t now, uint64_t token,
                      enum gate_result result,
                      const struct request_reply *reply);

/** The caller went away. */
void request_cancel(struct request_core *core, uint64_t now, uint64_t token);

/** Lets time pass. */
void request_tick(struct request_core *core, uint64_t now);

/** Requests not yet answered. */
size_t request_count(const struct request_core *core);

/** Takes the actions. */
const struct request_action *request_actions(struct request_core *core,
                                             size_t *count);

/** Forgets the actions, after they were carried out. */
void request_clear_actions(struct request_core *core);

#endif
