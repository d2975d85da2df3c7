/**
 * @file request.h
 * Coordinator: handles a caller's HTTP request at the entry that received it,
 * with once-only execution by Idempotency-Key. Claims the key at its
 * replicas, acquires a slot from the gate, dispatches to one upstream, stores
 * the outcome and responds. A pure state machine: no I/O, time is passed in.
 *
 * Dispatch requires this entry's lease, grants by a majority of the key's
 * replicas in one epoch, and for each earlier epoch in the retention window a
 * majority of its replicas without a record.
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

/* The claim timeout exceeds CONTROL_MEMBER_TIMEOUT_MS as well, after which a
 * lost entry is evicted. */
#define REQUEST_RESEND_MS 100U             /**< for unanswered messages */
#define REQUEST_QUEUED_RESEND_MS 500U      /**< for requests in the queue */
#define REQUEST_CLAIM_TIMEOUT_MS 4500U     /**< longer than a lease */
#define REQUEST_FINISH_TIMEOUT_MS 300U     /**< to store the outcome */
#define REQUEST_GATE_ATTEMPTS 3U           /**< before a backup gate is used */
#define REQUEST_EPOCHS_MAX WIRE_EPOCHS_MAX /**< in the retention window */
#define REQUEST_REPLICAS_MAX 48            /**< of a key in all epochs */
#define REQUEST_RETRY_PERCENT 10           /**< retries per 100 requests */

/** State of a request. */
enum request_state {
    REQUEST_CLAIMING,  /**< claiming its key at the replicas */
    REQUEST_WAITING,   /**< another request with the key is running */
    REQUEST_QUEUED,    /**< waiting for a slot from the gate */
    REQUEST_RUNNING,   /**< at an upstream */
    REQUEST_FINISHING, /**< storing the outcome at the replicas */
    REQUEST_ENDED,     /**< complete */
};

/** A caller's request. */
struct request_spec {
    uint64_t token;         /**< unique on this entry */
    uint64_t service;       /**< hash of the service's name */
    uint64_t subject;       /**< id of the caller, stable over retries */
    bool safe;              /**< may be retried (RFC 9110, 9.2.2) */
    bool keyed;             /**< has an Idempotency-Key */
    char key[WIRE_KEY];     /**< hash of service and key */
    char digest[WIRE_KEY];  /**< hash of method, target and body */
    uint64_t deadline;      /**< monotonic ms */
    uint64_t wall_deadline; /**< deadline in ms since 1970 */
};

/** Kind of an action. */
enum request_action_kind {
    REQUEST_SEND,     /**< send `msg` to entry `peer` */
    REQUEST_DISPATCH, /**< send the request to the upstream */
    REQUEST_ABORT,    /**< cancel the request at the upstream */
    REQUEST_RESPOND   /**< respond to the caller with `outcome` */
};

/** Action for the caller of this module. */
struct request_action {
    enum request_action_kind kind; /**< selects the fields in use */
    uint64_t token;                /**< all but SEND */
    uint64_t peer;                 /**< SEND */
    wire_msg msg;                  /**< SEND; borrows its bytes */
    uint32_t address;              /**< DISPATCH */
    uint16_t port;                 /**< DISPATCH */
    uint64_t deadline;             /**< DISPATCH: monotonic ms */
    wire_outcome outcome;          /**< RESPOND; borrows its body */
    enum ring_rule rule;           /**< RESPOND: reason */
};

/** One replica's reply to a claim. */
struct request_replica {
    uint64_t id;              /**< entry */
    bool current;             /**< replica in the current epoch */
    bool alive;               /**< member of the current epoch */
    bool replied;             /**< in the current epoch */
    wire_claim_result result; /**< if replied */
    uint64_t holder;          /**< HELD: coordinator */
    uint64_t holder_token;    /**< HELD: its request */
    uint64_t holder_epoch;    /**< HELD: epoch of the grant */
    bool stored;              /**< confirmed the outcome */
};

/** Request in progress. */
struct request {
    struct request_spec spec;                              /**< as received */
    enum request_state state;                              /**< current */
    struct request_replica replicas[REQUEST_REPLICAS_MAX]; /**< all epochs */
    size_t replica_count;                                  /**< of replicas */
    bool replicas_truncated;       /**< replicas of old epochs are missing */
    GArray *absorbed;              /**< wire_absorbed, of all replies */
    uint64_t claim_deadline;       /**< CLAIMING: monotonic ms */
    uint64_t resend_at;            /**< monotonic ms */
    uint64_t finish_deadline;      /**< FINISHING: monotonic ms */
    uint64_t holder;               /**< WAITING: coordinator of the key */
    uint64_t holder_token;         /**< WAITING: its request */
    enum ring_rule release_reason; /**< of the holder's refused request */
    uint32_t release_retry_ms;     /**< the holder's Retry-After */
    unsigned gate_rank;            /**< 0: gate, 1 and 2: backup gates */
    unsigned gate_attempts;        /**< without a reply */
    uint64_t gate;                 /**< entry asked for a slot */
    uint64_t slot_token;           /**< of this slot request */
    uint32_t address;              /**< RUNNING: upstream */
    uint16_t port;                 /**< RUNNING: upstream */
    uint64_t started_at;           /**< RUNNING: monotonic ms */
    unsigned attempts;             /**< dispatches */
    bool may_have_run;             /**< at an upstream */
    bool responded;                /**< or caller disconnected */
    wire_outcome outcome;          /**< owns its body */
    enum ring_rule rule;           /**< reason of the outcome */
};

/** Epoch in the retention window. */
struct request_epoch {
    struct member_set members; /**< without stopping members */
    uint64_t expires_at;       /**< monotonic ms */
};

/** Coordinator state of one entry. */
struct request_core {
    uint64_t self;        /**< this entry's id */
    GHashTable *requests; /**< token to struct request */
    GHashTable *by_slot;  /**< slot_token to struct request */
    GPtrArray *ended;     /**< struct request; freed with the actions */
    struct request_epoch epochs[REQUEST_EPOCHS_MAX]; /**< [0] is current */
    size_t epoch_count;                              /**< of epochs */
    struct member_set alive;   /**< current epoch, with stopping members */
    bool epochs_truncated;     /**< an epoch in the window is missing */
    uint64_t lease_deadline;   /**< monotonic ms; no dispatch after it */
    uint64_t next_slot_token;  /**< incremented before use */
    double retry_budget;       /**< retries left */
    struct counters *counters; /**< of the process */
    struct ring *ring;         /**< decisions; may be NULL */
    uint64_t version;          /**< of the bundle, for the ring */
    GArray *actions;           /**< struct request_action */
};

void request_open(struct request_core *core, uint64_t self,
                  struct counters *counters, struct ring *ring);

void request_close(struct request_core *core);

/**
 * Applies the epochs sent by the control service. Older epochs that are
 * missing from the list stay until they expire.
 * @param alive members of the current epoch, including stopping ones: they
 *        accept no new records but reply about old ones
 * @param epochs the current epoch first
 * @param ended_ago lower bound of the time since each epoch ended, ms
 */
void request_set_epochs(struct request_core *core, uint64_t now,
                        const struct member_set *alive,
                        const struct member_set *epochs,
                        const uint64_t *ended_ago, size_t count);

/** Drops the earlier epochs, in which no request ran. */
void request_drop_old_epochs(struct request_core *core);

/** Starts a caller's request; `wall` is ms since 1970. */
void request_start(struct request_core *core, uint64_t now, uint64_t wall,
                   const struct request_spec *spec);

void request_handle_claim_reply(struct request_core *core, uint64_t now,
                                const wire_claim_reply *reply);
void request_handle_finish_reply(struct request_core *core, uint64_t now,
                                 const wire_finish_reply *reply);
void request_handle_grant(struct request_core *core, uint64_t now,
                          const wire_slot_grant *grant);
void request_handle_wait(struct request_core *core, uint64_t now,
                         const wire_slot_wait *wait);
void request_handle_refusal(struct request_core *core, uint64_t now,
                            const wire_slot_refuse *refuse);

/** Response of an upstream. */
struct request_response {
    uint32_t status;          /**< HTTP status */
    const char *content_type; /**< may be NULL */
    const char *body;         /**< complete; stored up to WIRE_BODY_MAX */
    size_t length;            /**< of body, bytes */
};

/**
 * Handles the end of an upstream request.
 * @param response NULL unless `result` is GATE_ANSWERED
 */
void request_handle_response(struct request_core *core, uint64_t now,
                             uint64_t token, enum gate_result result,
                             const struct request_response *response);

/** Handles a caller's disconnect. */
void request_cancel(struct request_core *core, uint64_t now, uint64_t token);

/** Runs the timers. */
void request_tick(struct request_core *core, uint64_t now);

/** Number of requests in progress. */
size_t request_count(const struct request_core *core);

/** Pending actions, valid until request_clear_actions(). */
const struct request_action *request_actions(struct request_core *core,
                                             size_t *count);

/** Drops the actions and frees the ended requests. */
void request_clear_actions(struct request_core *core);

#endif
