/**
 * @file flow.h
 * Flow steering at an entry: consistent hashing as in Maglev (Eisenbud et al.,
 * NSDI 2016) plus flow records, replicated to three keepers per flow while a
 * bucket moves between upstreams (docs/DESIGN.md). Performs no I/O and reads
 * no clock.
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
#define FLOW_NO_UPSTREAM 0U        /**< no upstream_id is 0 */
#define FLOW_IDLE_TIMEOUT_S 3600U  /**< idle record may be replaced */
#define FLOW_CLOSING_TIMEOUT_S 60U /**< same, after FIN or RST */
#define FLOW_MOVED_BUCKET_S 86400U /**< queries after a bucket's move */
#define FLOW_UDP_FLIP_MS 8000U     /**< delay of the UDP flip after MOVE */
#define FLOW_REPLICATION_MS 30000U /**< until new keepers have records */
#define FLOW_ASKED_KEEPERS 4       /**< keepers asked, across views */
#define FLOW_HOPS_MAX 6U           /**< entries a packet may pass */
#define FLOW_STALE_MS 30000U       /**< forwarding time after lease expiry */

/** Steps of a rollout; control waits for every live entry before the next. */
enum flow_step {
    FLOW_STEP_NONE = 0,
    FLOW_STEP_ANNOUNCE = 1, /**< keepers decide for moving buckets */
    FLOW_STEP_MOVE = 2,     /**< new flows go to the new upstream */
    FLOW_STEP_LEARNED = 3,  /**< reported by entries: all records sent */
    FLOW_STEP_FLIP = 4,     /**< unknown flows go to the new upstream */
    FLOW_STEP_SETTLED = 5,  /**< new flows need no keeper */
};

/** Handle of an upstream: index and generation. */
typedef uint32_t upstream_id;

/** Packet fields that the steering decision uses. */
struct flow_packet {
    uint64_t hash;    /**< of the 5-tuple; never 0 */
    uint64_t origin;  /**< entry that received it from the fabric; 0: self */
    uint16_t service; /**< index from flow_find_service() */
    bool first;       /**< TCP SYN without ACK */
    bool closing;     /**< TCP FIN or RST */
    bool forwarded;   /**< by another entry */
    uint8_t position; /**< keepers asked so far, including this one */
    uint8_t hops;     /**< entries passed */
    uint16_t asked[FLOW_ASKED_KEEPERS]; /**< low 16 bits of keepers' ids */
};

enum flow_action {
    FLOW_FORWARD,          /**< to an upstream */
    FLOW_FORWARD_TO_ENTRY, /**< to another entry */
    FLOW_DROP,
};

/** Steering decision; `peer` to `asked` are for FLOW_FORWARD_TO_ENTRY. */
struct flow_verdict {
    enum flow_action action;
    enum ring_rule rule;  /**< reason */
    upstream_id upstream; /**< for FLOW_FORWARD */
    uint64_t peer;        /**< id of the next entry */
    uint64_t origin;
    uint8_t position;
    uint8_t hops;
    uint16_t asked[FLOW_ASKED_KEEPERS];
};

/** Class of a record to send, most urgent first. */
enum flow_send_class {
    FLOW_SEND_COPY, /**< a keeper's decision, to the other keepers */
    FLOW_SEND_HINT, /**< to an entry that asks repeatedly; batched */
    FLOW_SEND_PUSH, /**< to keepers after a change; rate-limited */
};

/** A flow record for another entry. */
struct flow_send {
    uint64_t peer;    /**< id of the receiving entry */
    uint64_t hash;    /**< of the flow */
    uint32_t address; /**< of the upstream */
    uint16_t port;    /**< of the upstream */
    enum flow_send_class class;
};

struct flow_upstream {
    uint32_t address;    /**< IPv4, host order */
    uint16_t port;       /**< TCP or UDP */
    uint16_t generation; /**< 0: never used */
    uint16_t service;    /**< index in the view, FLOW_NO_SERVICE if none */
    bool leaving;        /**< receives no new flows */
    uint64_t assigned;   /**< new flows that this entry assigned to it */
};

struct flow;

struct flow_options {
    uint64_t self;             /**< this entry's id */
    size_t capacity;           /**< records, rounded up to a power of two */
    struct counters *counters; /**< not NULL */
    struct ring *ring;         /**< receives decisions; may be NULL */
    bool push_off;             /**< tests: send no FLOW_SEND_PUSH records */
};

struct flow *flow_new(const struct flow_options *options);
void flow_free(struct flow *flow);

/**
 * Applies a bundle if it is newer than the one in force.
 * @param now monotonic ms
 * @param before the preceding bundle; NULL if unknown
 * @return false if the bundle is not newer
 */
bool flow_apply(struct flow *flow, uint64_t now, const struct bundle *bundle,
                const struct bundle *before, enum flow_step step);

/** False if the bundle in force is already at `step` or later. */
bool flow_advance(struct flow *flow, uint64_t now, enum flow_step step);

/** Ignores epochs that are not newer. */
void flow_set_members(struct flow *flow, uint64_t now,
                      const struct member_set *members);

/** @param deadline end of the lease, monotonic ms */
void flow_set_lease(struct flow *flow, uint64_t deadline);

/** Finds a service by the address and port that callers use. */
uint16_t flow_find_service(const struct flow *flow, uint32_t address,
                           uint16_t port, int protocol);

/** Finds the service of an upstream's address and port. */
uint16_t flow_find_return(const struct flow *flow, uint32_t address,
                          uint16_t port, int protocol);

/** Gives the address and port that callers use. */
void flow_service_endpoint(const struct flow *flow, uint16_t service,
                           uint32_t *address, uint16_t *port);

/** Prefetches the record's slot into the CPU cache. */
void flow_prefetch(const struct flow *flow, uint64_t hash);

/**
 * Decides where one packet goes.
 * @param now monotonic ms
 * @param wall time stored with the decision for explain
 */
void flow_steer(struct flow *flow, uint64_t now, uint64_t wall,
                const struct flow_packet *packet, struct flow_verdict *out);

/** Stores a record received from another entry; a local record wins. */
void flow_learn(struct flow *flow, uint64_t now, uint64_t hash,
                uint32_t address, uint16_t port);

/**
 * Queues records to push, from at most `slots` slots of the record table.
 * @return true if no pass is left
 */
bool flow_scan(struct flow *flow, uint64_t now, size_t slots);

/** Removes at most `max` records of a class from its send queue. */
size_t flow_dequeue(struct flow *flow, enum flow_send_class class,
                    struct flow_send *out, size_t max);

/**
 * Builds a Bloom filter of the flows that this keeper holds. Due once after
 * the loss of an entry while buckets move.
 * @return the filter for the other entries, to be freed with
 *   g_bytes_unref(); NULL if none is due
 */
GBytes *flow_build_filter(struct flow *flow, uint64_t now);

/** Stores another keeper's filter; ignored unless of the epoch in force. */
void flow_set_filter(struct flow *flow, uint64_t keeper, uint64_t epoch,
                     const void *bits, size_t length);

/** True if no pass is pending and the FLOW_SEND_PUSH queue is empty. */
bool flow_is_pushed(const struct flow *flow);

/** NULL if the handle is stale. */
const struct flow_upstream *flow_upstream(const struct flow *flow,
                                          upstream_id id);

/** Version of the bundle in force. */
uint64_t flow_version(const struct flow *flow);
enum flow_step flow_step(const struct flow *flow);
/** 0 if there is no such service. */
uint64_t flow_table_digest(const struct flow *flow, uint16_t service);

/** Number of new flows that this entry assigned to an endpoint. */
uint64_t flow_assigned(const struct flow *flow, uint32_t address,
                       uint16_t port);

/** FLOW_NO_SERVICE if there is no flow service of this name. */
uint16_t flow_find_named(const struct flow *flow, const char *name);

/** Upstream in the flow's local record; FLOW_NO_UPSTREAM without one. */
upstream_id flow_find_recorded(const struct flow *flow, uint64_t hash);

/** Upstreams of a hash in the current and in the preceding table. */
void flow_owners(const struct flow *flow, uint16_t service, uint64_t hash,
                 upstream_id *new_owner, upstream_id *old_owner);

/** Number of record slots ever used. */
size_t flow_records(const struct flow *flow);
/** Bytes allocated. */
size_t flow_memory(const struct flow *flow);

#endif
