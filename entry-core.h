/**
 * @file entry-core.h
 * State machine of one entry, without I/O (sans-I/O): lease, bundle and epoch
 * in force, flow steering, idempotent requests, replicated claim records and
 * gates. Events and the time are arguments; effects are returned as actions.
 */
#ifndef RIDGERIDGE_ENTRY_CORE_H
#define RIDGERIDGE_ENTRY_CORE_H

#include "bundle.h"
#include "claim.h"
#include "counter.h"
#include "flow.h"
#include "gate.h"
#include "request.h"
#include "ring.h"

#define ENTRY_REPORT_INTERVAL_MS 1000U /**< between reports to control */
#define ENTRY_FETCH_INTERVAL_MS 300U   /**< between fetches of one object */
#define ENTRY_PUSH_PEAK_BYTES_S 12000U /**< peak rate of pushed records */
#define ENTRY_PUSH_COMMITTED_BYTES_S 1500U /**< mean rate */
#define ENTRY_PUSH_BURST_BYTES 30000U      /**< burst above the mean rate */
#define ENTRY_PUSH_INTERVAL_MS 250U        /**< between pushes */
#define ENTRY_HINT_INTERVAL_MS 4000U       /**< between batches of hints */
#define ENTRY_SCAN_SLOTS 65536U            /**< flow table slots per tick */
#define ENTRY_NO_LEASE_EXIT_MS 20000U  /**< after lease expiry: stop ends */
#define ENTRY_EXPIRE_INTERVAL_MS 5000U /**< between claim expiry runs */
#define ENTRY_STOP_MIN_MS 1000U        /**< shortest planned stop */
#define ENTRY_CONTROLS_MAX 7U          /**< control replicas */

/** Effect that the owner of the core carries out. */
enum entry_action_kind {
    ENTRY_SEND_CONTROL, /**< send `bytes` to control replica `replica` */
    ENTRY_SEND_PEER,    /**< send `bytes` to the entry `peer` */
    ENTRY_DISPATCH,     /**< send the request to an upstream */
    ENTRY_ABORT,        /**< cancel the request at the upstream */
    ENTRY_RESPOND,      /**< respond to a caller */
    ENTRY_SAVE_BUNDLE   /**< save the bundle in force to disk */
};

/** One action; the comments name the kinds that set a field. */
struct entry_action {
    enum entry_action_kind kind;
    uint32_t replica;        /**< SEND_CONTROL */
    struct member peer;      /**< SEND_PEER */
    GByteArray *bytes;       /**< SEND_*: encoded message, owned */
    enum wire_kind msg_kind; /**< SEND_*: for traffic counters */
    uint64_t token;          /**< DISPATCH, ABORT, RESPOND: request */
    uint32_t address;        /**< DISPATCH: IPv4, host order */
    uint16_t port;           /**< DISPATCH: TCP */
    uint64_t deadline;       /**< DISPATCH: monotonic ms */
    wire_outcome outcome;    /**< RESPOND; owned body */
    enum ring_rule rule;     /**< RESPOND: why */
};

/** Handover of claim records from a stopping entry to one other entry. */
struct entry_handover {
    uint64_t receiver;  /**< entry */
    GPtrArray *records; /**< struct claim_record, borrowed */
    uint32_t acked;     /**< records acknowledged */
    bool done;          /**< all records acknowledged */
    uint64_t resend_at; /**< monotonic ms */
};

/** Flow records pushed to a keeper and not yet acknowledged. */
struct entry_batch {
    uint64_t receiver;           /**< entry */
    uint32_t sequence;           /**< unique among this entry's batches */
    uint64_t resend_at;          /**< monotonic ms */
    uint32_t resend_interval_ms; /**< exponential backoff */
    u_int count;                 /**< of records */
    wire_flow_record records[WIRE_RECORDS_MAX];
};

/** One entry; times are monotonic ms. */
struct entry_core {
    wire_member self;                      /**< as reported; owned strings */
    uint32_t controls[ENTRY_CONTROLS_MAX]; /**< replica numbers */
    size_t control_count;                  /**< of controls */
    size_t next_control;         /**< tried while the leader is unknown */
    uint32_t leader;             /**< replica; 0: unknown */
    uint64_t term;               /**< highest seen from control */
    uint64_t lease_deadline;     /**< 0: no lease */
    uint64_t report_at;          /**< next report */
    uint64_t unanswered_reports; /**< since the last reply of control */
    uint64_t bundle_fetch_at;    /**< earliest next fetch */
    uint64_t epoch_fetch_at;     /**< earliest next fetch */
    uint64_t epoch;              /**< in force; 0: none */
    uint64_t min_version;        /**< bundle version saved by the last run */
    uint64_t announced_version;  /**< bundle version announced by control */
    uint32_t announced_step;     /**< rollout step of announced_version */
    unsigned char announced_digest[WIRE_DIGEST]; /**< of announced_version */
    struct bundle bundle;                        /**< in force */
    struct bundle prev_bundle;             /**< empty without a predecessor */
    bool has_prev_bundle;                  /**< prev_bundle is set */
    char *text;                            /**< of the bundle in force */
    struct member_set members;             /**< of the epoch, with stopping */
    struct member_set active_members;      /**< of the epoch, none stopping */
    struct member_set prev_active_members; /**< last set with this entry */
    struct flow *flow;                     /**< packet steering */
    struct request_core requests;          /**< as coordinator */
    struct claim_table claims;             /**< as replica */
    GHashTable *gates;                     /**< service hash to struct gate */
    struct counters *counters;             /**< of the process */
    struct ring ring;                      /**< recent decisions */
    double push_committed_tokens;          /**< token bucket, mean rate */
    double push_peak_tokens;               /**< token bucket, peak rate */
    uint64_t push_at;                      /**< next push */
    uint64_t hint_at;                      /**< next batch of hints */
    GPtrArray *batches;        /**< struct entry_batch, unacknowledged */
    uint32_t last_batch;       /**< sequence number */
    uint64_t last_tick;        /**< 0: none yet */
    bool stopping;             /**< a planned stop has started */
    uint64_t expire_claims_at; /**< next expiry run */
    uint64_t earliest_exit;    /**< a planned stop lasts at least until then */
    GPtrArray *handovers;      /**< struct entry_handover */
    uint64_t handover_epoch;   /**< epoch of `handovers` */
    GQueue inbox;    /**< GByteArray: messages to this entry itself */
    GArray *actions; /**< struct entry_action */
};

/** Options of entry_core_new(). */
struct entry_options {
    wire_member self;          /**< copied */
    const uint32_t *controls;  /**< replica numbers */
    size_t control_count;      /**< of controls */
    size_t flow_capacity;      /**< records */
    size_t ring_size;          /**< decisions */
    struct counters *counters; /**< of the process */
    const char *saved_text;    /**< bundle saved by the last run, or NULL */
    bool push_off;             /**< never push flow records (simulation) */
};

struct entry_core *entry_core_new(const struct entry_options *options);

void entry_core_free(struct entry_core *core);

/** Runs timers. @param wall ms since 1970 */
void entry_core_tick(struct entry_core *core, uint64_t now, uint64_t wall);

/** Handles a message of control or of another entry. */
void entry_core_receive(struct entry_core *core, uint64_t now, uint64_t wall,
                        const wire_msg *msg);

/** Starts a caller's request. @param spec its token is unique at this entry */
void entry_core_start_request(struct entry_core *core, uint64_t now,
                              uint64_t wall, const struct request_spec *spec);

/** Handles the result of a request that ENTRY_DISPATCH sent to an upstream. */
void entry_core_handle_response(struct entry_core *core, uint64_t now,
                                uint64_t wall, uint64_t token,
                                enum gate_result result,
                                const struct request_response *reply);

/** The caller closed its connection. */
void entry_core_cancel_request(struct entry_core *core, uint64_t now,
                               uint64_t wall, uint64_t token);

/** Starts a planned stop. */
void entry_core_stop(struct entry_core *core, uint64_t now);

/** True once a planned stop has drained requests, flow and claim records. */
bool entry_core_may_exit(const struct entry_core *core, uint64_t now);

/** Ends the lease and reports to control that this entry is gone. */
void entry_core_deregister(struct entry_core *core, uint64_t now);

/** Sends flow records to the other keepers; called after each packet batch. */
void entry_core_flush(struct entry_core *core);

/** Finds the request service of a Host header; NULL when there is none. */
const struct bundle_service *
entry_core_find_host(const struct entry_core *core, const char *host);

/** Actions in order; valid until entry_core_clear_actions(). */
const struct entry_action *entry_core_actions(struct entry_core *core,
                                              size_t *count);

void entry_core_clear_actions(struct entry_core *core);

#endif
