/**
 * @file gate.h
 * Admission control and load balancing for one request service, on the one
 * entry that gates it: slots per upstream (least loaded first), a bounded
 * queue, immediate refusal with a Retry-After for which capacity is reserved,
 * slow start, and ejection of failing upstreams (outlier ejection).
 */
#ifndef RIDGERIDGE_GATE_H
#define RIDGERIDGE_GATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "generated/wire.h"
#include "ring.h"

#define GATE_START_DELAY_MS 100U     /**< to register held slots */
#define GATE_PROBE_INTERVAL_MS 1000U /**< between probes of a held slot */
#define GATE_SLOW_START_MS 10000U    /**< ramp of a new upstream */
#define GATE_QUEUE_MAX 4096U         /**< queued requests */
#define GATE_EJECT_FAILURES 3U       /**< consecutive failures */
#define GATE_EJECT_MS 5000U          /**< ejection time */

/** Result of a request at an upstream. */
enum gate_result {
    GATE_ANSWERED, /**< complete response */
    GATE_FAILED,   /**< broken or timed out: may have run */
    GATE_SHED,     /**< refused by the upstream: did not run */
    GATE_REFUSED,  /**< no connection: did not run */
    GATE_UNUSED,   /**< slot released without a request */
};

/** Upstream state at the gate. */
struct gate_upstream {
    uint32_t address;       /**< IPv4, host order */
    uint16_t port;          /**< TCP */
    uint32_t slots;         /**< concurrency limit in the bundle */
    uint32_t limit;         /**< adaptive limit, at most `slots` */
    uint32_t busy;          /**< slots in use */
    uint32_t failures;      /**< consecutive failures */
    uint32_t successes;     /**< responses since the limit changed */
    uint64_t ejected_until; /**< monotonic ms */
    uint64_t slow_start_at; /**< monotonic ms; 0: no slow start */
    uint64_t chosen;        /**< grants so far */
    bool serving;           /**< not draining, weight above 0 */
    bool present;           /**< in the bundle in force */
};

/** Queued request. */
struct gate_waiter {
    uint64_t token;    /**< of the coordinator */
    uint64_t entry;    /**< coordinator */
    uint64_t deadline; /**< monotonic ms */
    uint64_t subject;  /**< of the caller */
};

/** Slot in use. */
struct gate_slot {
    uint64_t token;    /**< of the coordinator */
    uint64_t entry;    /**< coordinator */
    uint64_t deadline; /**< monotonic ms; the slot is freed then */
    uint64_t probe_at; /**< monotonic ms; the grant is sent again then */
    uint32_t upstream; /**< index */
};

/** Reply to a coordinator: a grant, a wait, or else a refusal. */
struct gate_reply {
    uint64_t entry;      /**< coordinator */
    uint64_t token;      /**< of the coordinator */
    bool granted;        /**< a slot is granted */
    bool waiting;        /**< the request is queued */
    uint32_t address;    /**< grant: upstream */
    uint16_t port;       /**< grant: upstream */
    enum ring_rule rule; /**< refusal: reason */
    uint32_t retry_ms;   /**< refusal: Retry-After in ms */
};

/** Gate of one service. */
struct gate {
    uint64_t service;         /**< hash of the service's name */
    uint64_t first_grant_at;  /**< monotonic ms; no grants before */
    GArray *upstreams;        /**< struct gate_upstream */
    GQueue queue;             /**< struct gate_waiter, oldest first */
    GHashTable *queued;       /**< keys (entry, token) of the queue */
    GHashTable *held_slots;   /**< key (entry, token) to struct gate_slot */
    GHashTable *reservations; /**< subject to its time (gint64 ms) */
    double reserved_until;    /**< end of the reserved capacity, ms */
    double service_ms;        /**< moving average of the response time */
    GArray *replies;          /**< struct gate_reply; the caller empties it */
};

struct gate *gate_new(uint64_t service, uint64_t now);

void gate_free(struct gate *gate);

/** Applies a bundle's upstreams; added ones go through slow start. */
void gate_set_upstreams(struct gate *gate, uint64_t now,
                        const struct bundle_service *service);

/**
 * Handles a slot request. An `ask` that names an upstream registers a slot
 * that the coordinator already holds.
 */
void gate_acquire(struct gate *gate, uint64_t now, const wire_slot_ask *ask);

/** Frees a slot and records the result at its upstream. */
void gate_release(struct gate *gate, uint64_t now, const wire_slot_done *done);

/** Frees the slots and drops the queued requests of a lost coordinator. */
void gate_drop_entry(struct gate *gate, uint64_t entry);

/** Runs the timers. */
void gate_tick(struct gate *gate, uint64_t now);

/** Number of busy slots of all upstreams. */
uint32_t gate_busy(const struct gate *gate);

#endif
