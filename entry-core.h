/**
 * @file entry-core.h
 * One entry without I/O: the bundle and epoch in force, its lease, flow
 * steering, requests, records of keys and gates. Packets are decided by
 * flow_steer() on `flow`; everything else comes in and goes out here.
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

#define ENTRY_REPORT_MS 1000U    /**< between reports to control */
#define ENTRY_FETCH_MS 300U      /**< between fetches of the same thing */
#define ENTRY_PUSH_RATE 12000U   /**< bytes a second of records, at most */
#define ENTRY_PUSH_REFILL 1500U  /**< bytes a second, in the long run */
#define ENTRY_PUSH_BURST 30000U  /**< bytes that may gather */
#define ENTRY_PUSH_MS 250U       /**< between pushes */
#define ENTRY_HINT_MS 4000U      /**< between hints to entries that ask */
#define ENTRY_SCAN_PLACES 65536U /**< places of the table a tick looks at */
#define ENTRY_ALONE_MS 20000U    /**< a stop without any lease ends then */
#define ENTRY_EXPIRE_MS 5000U    /**< between looks for expired claims */
#define ENTRY_LINGER_MS 1000U    /**< a stopping entry goes on so long */
#define ENTRY_CONTROLS_MAX 7U

/** What the shell must do. */
enum entry_action_kind {
    ENTRY_TO_CONTROL, /**< send `msg` to control replica `replica` */
    ENTRY_TO_PEER,    /**< send `msg` to the entry at `peer` */
    ENTRY_DISPATCH,   /**< call an upstream */
    ENTRY_ABORT,      /**< cancel that call */
    ENTRY_ANSWER,     /**< answer a caller */
    ENTRY_SAVE        /**< store the bundle in force, where there is a disk */
};

/** One action. */
struct entry_action {
    enum entry_action_kind kind; /**< which of the following is set */
    uint32_t replica;            /**< TO_CONTROL */
    struct member peer;          /**< TO_PEER */
    GByteArray *bytes;           /**< TO_CONTROL, TO_PEER: encoded message */
    enum wire_kind msg_kind;     /**< TO_CONTROL, TO_PEER: for accounting */
    uint64_t token;              /**< DISPATCH, ABORT, ANSWER */
    uint32_t address;            /**< DISPATCH: upstream */
    uint16_t port;               /**< DISPATCH: upstream */
    uint64_t deadline;           /**< DISPATCH: monotonic ms */
    wire_outcome outcome;        /**< ANSWER; its body is owned */
    enum ring_rule rule;         /**< ANSWER */
};

/** The handover of key records by a stopping entry, to one other. */
struct entry_handover {
    uint64_t receiver;  /**< entry */
    GPtrArray *records; /**< struct claim_record, borrowed */
    uint32_t received;  /**< confirmed */
    bool done;          /**< all confirmed */
    uint64_t resend_at; /**< deadline */
};

/** Flow records that were pushed to a keeper and not yet confirmed. */
struct entry_batch {
    uint64_t receiver;  /**< entry */
    uint32_t sequence;  /**< of this entry's batches */
    uint64_t resend_at; /**< deadline */
    uint32_t wait_ms;   /**< until the next resend, doubled each time */
    u_int count;        /**< of records */
    wire_flow_record records[WIRE_RECORDS_MAX]; /**< as sent */
};

/** One entry. */
struct entry_core {
    wire_member self;                      /**< as reported; owned strings */
    uint32_t controls[ENTRY_CONTROLS_MAX]; /**< replica numbers */
    size_t control_count;                  /**< of controls */
    size_t control_next;                   /**< whom to try without a leader */
    uint32_t leader;                       /**< replica, 0: not known */
    uint64_t term;                         /**< highest seen from control */
    uint64_t lease_deadline;               /**< monotonic ms */
    uint64_t report_at;                    /**< deadline of the next report */
    uint64_t unanswered;                   /**< reports since the last lease */
    uint64_t bundle_fetch_at;              /**< not before */
    uint64_t epoch_fetch_at;               /**< not before */
    uint64_t epoch;                        /**< in force here, 0: none */
    uint64_t floor;        /**< version that an earlier run had */
    uint64_t told_version; /**< by control */
    uint32_t told_step;    /**< of that version */
    unsigned char told_digest[WIRE_DIGEST]; /**< of that version */
    struct bundle bundle;                   /**< in force */
    struct bundle before;            /**< the one before; may be empty */
    bool has_before;                 /**< `before` is set */
    char *text;                      /**< of the bundle in force */
    struct member_set all;           /**< of the epoch, with stopping ones */
    struct member_set active;        /**< of the epoch, without them */
    struct member_set active_before; /**< the last that had this entry */
    struct flow *flow;               /**< steering */
    struct request_core requests;    /**< as coordinator */
    struct claim_table claims;       /**< as replica */
    GHashTable *gates;               /**< service hash to struct gate */
    struct counters *counters;       /**< of the process */
    struct ring ring;                /**< decisions */
    double push_budget;              /**< bytes that may be pushed in all */
    double push_allowance;           /**< bytes that may be pushed now */
    uint64_t push_at;                /**< deadline of the next push */
    uint64_t hint_at;                /**< deadline of the next hints */
    GPtrArray *batches;              /**< struct entry_batch, unconfirmed */
    uint32_t next_batch;             /**< sequence of the next one */
    uint64_t ticked_at;              /**< last tick */
    bool stopping;                   /**< a planned stop began */
    uint64_t expire_at;              /**< deadline: drop expired claims */
    uint64_t linger_until;           /**< not before the stop is done */
    GPtrArray *handovers;            /**< struct entry_handover */
    uint64_t handover_epoch;         /**< it was listed for */
    GQueue inbox;                    /**< GByteArray: messages to itself */
    GArray *actions;                 /**< struct entry_action */
};

/** What a new entry needs. */
struct entry_options {
    wire_member self;          /**< copied */
    const uint32_t *controls;  /**< replica numbers */
    size_t control_count;      /**< of controls */
    size_t flow_capacity;      /**< records */
    size_t ring_size;          /**< decisions */
    struct counters *counters; /**< of the process */
    const char *saved_text;    /**< bundle of an earlier run, or NULL */
    bool push_off;             /**< trial: never push flow records */
};

/** Starts an entry. */
struct entry_core *entry_core_new(const struct entry_options *options);

/** Frees an entry. */
void entry_core_free(struct entry_core *core);

/** Lets time pass; `wall` is ms since 1970. */
void entry_core_tick(struct entry_core *core, uint64_t now, uint64_t wall);

/** Takes a message of control or of another entry. */
void entry_core_receive(struct entry_core *core, uint64_t now, uint64_t wall,
                        const wire_msg *msg);

/** A caller asks; its token must be unique at this entry. */
void entry_core_request(struct entry_core *core, uint64_t now, uint64_t wall,
                        const struct request_spec *spec);

/** An upstream's call ended. */
void entry_core_upstream(struct entry_core *core, uint64_t now, uint64_t wall,
                         uint64_t token, enum gate_result result,
                         const struct request_response *reply);

/** A caller went away. */
void entry_core_cancel(struct entry_core *core, uint64_t now, uint64_t wall,
                       uint64_t token);

/** Begins a planned stop. */
void entry_core_stop(struct entry_core *core, uint64_t now);

/** Says whether a planned stop has cut nothing and may end now. */
bool entry_core_is_stopped(const struct entry_core *core, uint64_t now);

/** Ends the lease and tells control that this entry is gone. */
void entry_core_leave(struct entry_core *core, uint64_t now);

/** Sends the records that packets caused; call after a batch of packets. */
void entry_core_flush(struct entry_core *core);

/** Finds the service of a Host; NULL when there is none. */
const struct bundle_service *
entry_core_find_host(const struct entry_core *core, const char *host);

/** Takes the actions. */
const struct entry_action *entry_core_actions(struct entry_core *core,
                                              size_t *count);

/** Forgets the actions, after they were carried out. */
void entry_core_clear(struct entry_core *core);

#endif
