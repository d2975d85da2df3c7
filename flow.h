/**
 * @file flow.h
 * Flow steering: which upstream a packet goes to, at any entry. Does no I/O
 * and reads no clock. The state of one entry is a struct flow; it is changed
 * by views (bundle and step), epochs, leases, packets and records, and
 * answers with verdicts and with records to send.
 *
 * A flow's upstream is computed from the bundle wherever it can be. Only
 * while a bucket moves from one upstream to another do entries keep and
 * exchange records, at three keepers for each flow (see docs/DESIGN.md).
 */
#ifndef RIDGERIDGE_FLOW_H
#define RIDGERIDGE_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bundle.h"
#include "counter.h"
#include "member.h"
#include "ring.h"

#define FLOW_NO_SERVICE UINT16_MAX
#define FLOW_NO_UPSTREAM 0U     /**< no upstream_id is 0 */
#define FLOW_IDLE_S 3600U       /**< a record unused this long may go */
#define FLOW_CLOSING_S 60U      /**< the same after FIN or RST */
#define FLOW_EXCEPTION_S 86400U /**< a moved bucket asks keepers so long */
#define FLOW_UDP_FLIP_MS 8000U  /**< UDP: unknown flows are new after it */
#define FLOW_REPAIR_MS 30000U   /**< after an epoch: ask all keepers */
#define FLOW_ASKED_KEEPERS 4    /**< keepers asked, in views that differ */
#define FLOW_HOPS_MAX 6U        /**< packets handed more often are dropped */
#define FLOW_STALE_MS 30000U    /**< after the lease: forward nothing */

/** Steps of a rollout; each waits for every live entry to confirm. */
enum flow_step {
    FLOW_STEP_NONE = 0,
    FLOW_STEP_ANNOUNCE = 1, /**< moved buckets go through keepers */
    FLOW_STEP_MOVE = 2,     /**< new flows go to the new upstream */
    FLOW_STEP_LEARNED = 3,  /**< told by entries: all records were pushed */
    FLOW_STEP_FLIP = 4,     /**< unknown flows go to the new upstream */
    FLOW_STEP_SETTLED = 5,  /**< new flows need no keeper */
};

/** Handle of an upstream: an index and a generation. */
typedef uint32_t upstream_id;

/** What a packet looks like to the steering. */
struct flow_packet {
    uint64_t hash;    /**< of addresses, ports and protocol; never 0 */
    uint64_t origin;  /**< entry that the fabric gave it to, 0: this one */
    uint16_t service; /**< index from flow_find_service() */
    bool first;       /**< TCP SYN without ACK */
    bool closing;     /**< TCP FIN or RST */
    bool handed;      /**< came from another entry */
    uint8_t position; /**< keepers asked so far, this one included */
    uint8_t hops;     /**< entries it has passed */
    uint16_t asked[FLOW_ASKED_KEEPERS]; /**< low bits of their ids */
};

/** What to do with a packet. */
enum flow_action { FLOW_FORWARD, FLOW_HAND, FLOW_DROP };

/** The verdict on a packet. */
struct flow_verdict {
    enum flow_action action;            /**< what to do */
    enum ring_rule rule;                /**< why */
    upstream_id upstream;               /**< FORWARD: to which */
    uint64_t peer;                      /**< HAND: to which entry */
    uint64_t origin;                    /**< HAND: pass on as origin */
    uint8_t position;                   /**< HAND: pass on as position */
    uint8_t hops;                       /**< HAND: pass on as hops */
    uint16_t asked[FLOW_ASKED_KEEPERS]; /**< HAND: pass on */
};

/** How urgent a record is. */
enum flow_send_class {
    FLOW_SEND_COPY, /**< a keeper's decision, for the other keepers: now */
    FLOW_SEND_HINT, /**< spares an entry from asking again: gathered */
    FLOW_SEND_PUSH, /**< for keepers after a change: within a budget */
};

/** A record for another entry. */
struct flow_send {
    uint64_t peer;              /**< entry it is for */
    uint64_t hash;              /**< flow */
    uint32_t address;           /**< upstream's address */
    uint16_t port;              /**< upstream's port */
    enum flow_send_class class; /**< how urgent */
};

/** One upstream as the steering knows it. */
struct flow_upstream {
    uint32_t address;    /**< IPv4, host order */
    uint16_t port;       /**< TCP or UDP */
    uint16_t generation; /**< 0: free */
    uint16_t service;    /**< index in the view, FLOW_NO_SERVICE if none */
    bool leaving;        /**< takes no new work */
    uint64_t placed;     /**< new flows put there by this entry */
};

struct flow;

/** What a new steering state needs. */
struct flow_options {
    uint64_t self;             /**< this entry's id */
    size_t capacity;           /**< flow records, made a power of two */
    struct counters *counters; /**< where events are counted */
    struct ring *ring;         /**< where decisions go; may be NULL */
    bool push_off;             /**< trial: never push records */
};

/** Allocates a steering state. */
struct flow *flow_new(const struct flow_options *options);

/** Frees it. */
void flow_free(struct flow *flow);

/**
 * Takes a view: the bundle, the one before it (NULL when not known) and the
 * step. Views older than the one in force are ignored.
 * @param now monotonic ms
 * @return true when the view was taken
 */
bool flow_apply(struct flow *flow, uint64_t now, const struct bundle *bundle,
                const struct bundle *before, enum flow_step step);

/** Moves the view in force to a later step. */
bool flow_advance(struct flow *flow, uint64_t now, enum flow_step step);

/** Takes the members of a new epoch. */
void flow_set_members(struct flow *flow, uint64_t now,
                      const struct member_set *members);

/** Sets when the lease ends (monotonic ms). */
void flow_set_lease(struct flow *flow, uint64_t deadline);

/** Finds the service that callers reach at an address and port. */
uint16_t flow_find_service(const struct flow *flow, uint32_t address,
                           uint16_t port, int protocol);

/** Finds the service that an upstream's address and port belong to. */
uint16_t flow_find_return(const struct flow *flow, uint32_t address,
                          uint16_t port, int protocol);

/** Address and port of a service. */
void flow_service_endpoint(const struct flow *flow, uint16_t service,
                           uint32_t *address, uint16_t *port);

/** Fetches a flow's place in the record table into the cache, early. */
void flow_prefetch(const struct flow *flow, uint64_t hash);

/** Decides about one packet. `wall` only stamps the decision's record. */
void flow_steer(struct flow *flow, uint64_t now, uint64_t wall,
                const struct flow_packet *packet, struct flow_verdict *out);

/** Takes a record that another entry sent. */
void flow_learn(struct flow *flow, uint64_t now, uint64_t hash,
                uint32_t address, uint16_t port);

/**
 * Looks for records to push, a bounded number of table places a call.
 * @return true when a pass is complete
 */
bool flow_scan(struct flow *flow, uint64_t now, size_t places);

/** Takes records of one class to send, at most `max`. */
size_t flow_take(struct flow *flow, enum flow_send_class class,
                 struct flow_send *out, size_t max);

/**
 * After a loss while buckets move: says once whether the other entries must
 * be told which of their flows this keeper holds, and gives the filter; free
 * it with g_bytes_unref().
 */
GBytes *flow_take_known(struct flow *flow, uint64_t now);

/** Takes what another keeper holds, of the epoch in force. */
void flow_set_known(struct flow *flow, uint64_t keeper, uint64_t epoch,
                    const void *bits, size_t length);

/** Says whether every record that others must hold was taken to be sent. */
bool flow_is_pushed(const struct flow *flow);

/** Looks an upstream up by handle; NULL when the handle is dead. */
const struct flow_upstream *flow_upstream(const struct flow *flow,
                                          upstream_id id);

/** Bundle version, step and table digest of a service. */
uint64_t flow_version(const struct flow *flow);
enum flow_step flow_step(const struct flow *flow);
uint64_t flow_table_digest(const struct flow *flow, uint16_t service);

/** New flows that this entry placed at an upstream's endpoint. */
uint64_t flow_placed(const struct flow *flow, uint32_t address, uint16_t port);

/** Index of a flow service by name; FLOW_NO_SERVICE when there is none. */
uint16_t flow_find_named(const struct flow *flow, const char *name);

/** The upstream of a flow's record here; FLOW_NO_UPSTREAM without one. */
upstream_id flow_recorded(const struct flow *flow, uint64_t hash);

/** Where a new flow and an old flow of this hash go now. */
void flow_owners(const struct flow *flow, uint16_t service, uint64_t hash,
                 upstream_id *now_owner, upstream_id *old_owner);

/** Records held, and bytes of all structures. */
size_t flow_records(const struct flow *flow);
size_t flow_memory(const struct flow *flow);

#endif
