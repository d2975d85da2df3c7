/**
 * @file gate.h
 * Admission and choice of upstream for one request service, at the one entry
 * that gates it: exact slots, a bounded queue, refusal at once with a time to
 * come back that capacity is set aside for, slow start, and ejection of
 * upstreams that fail, with a floor.
 */
#ifndef RIDGERIDGE_GATE_H
#define RIDGERIDGE_GATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "generated/wire.h"
#include "ring.h"

#define GATE_OPEN_MS 100U      /**< a new gate first hears what is running */
#define GATE_PROBE_MS 1000U    /**< between such questions */
#define GATE_RAMP_MS 10000U    /**< a new upstream gets all slots after it */
#define GATE_QUEUE_MAX 4096U   /**< requests waiting, at most */
#define GATE_EJECT_FAILURES 3U /**< failures in a row */
#define GATE_EJECT_MS 5000U    /**< ejected so long, then one trial */

/** What became of a request at an upstream. */
enum gate_result {
    GATE_ANSWERED, /**< whole answer */
    GATE_FAILED,   /**< broken or timed out: may have run */
    GATE_SHED,     /**< refused by the upstream: did not run */
    GATE_REFUSED,  /**< no connection: did not run */
    GATE_UNUSED,   /**< the slot was given back unused */
};

/** One upstream at the gate. */
struct gate_upstream {
    uint32_t address;       /**< IPv4, host order */
    uint16_t port;          /**< TCP */
    uint32_t slots;         /**< of the bundle */
    uint32_t limit;         /**< slots it really takes, as observed */
    uint32_t busy;          /**< slots in use */
    uint32_t failures;      /**< in a row */
    uint32_t successes;     /**< in a row, since the limit was lowered */
    uint64_t ejected_until; /**< deadline */
    uint64_t ramp_from;     /**< slow start began then; 0: none */
    uint64_t chosen;        /**< times it was given work */
    bool serving;           /**< not leaving, weight above 0 */
    bool present;           /**< in the bundle in force */
};

/** One request that waits. */
struct gate_ask {
    uint64_t token;    /**< of the coordinator */
    uint64_t entry;    /**< coordinator */
    uint64_t deadline; /**< refused when this passes */
    uint64_t subject;  /**< of the caller */
};

/** One slot in use. */
struct gate_hold {
    uint64_t token;    /**< of the coordinator */
    uint64_t entry;    /**< coordinator */
    uint64_t deadline; /**< freed then, if nobody says so before */
    uint64_t probe_at; /**< deadline: ask whether it is still in use */
    uint32_t upstream; /**< index */
};

/** What the gate answers. */
struct gate_answer {
    uint64_t entry;      /**< coordinator */
    uint64_t token;      /**< of the coordinator */
    bool granted;        /**< a slot */
    bool waiting;        /**< it waits in the queue; else a refusal */
    uint32_t address;    /**< granted: upstream */
    uint16_t port;       /**< granted: upstream */
    enum ring_rule rule; /**< refused: why */
    uint32_t retry_ms;   /**< refused: when to come back */
};

/** The gate of one service. */
struct gate {
    uint64_t service;      /**< hash of the service's name */
    uint64_t open_at;      /**< deadline before which nothing is granted */
    GArray *upstreams;     /**< struct gate_upstream */
    GQueue queue;          /**< struct gate_ask, oldest first */
    GHashTable *waiting;   /**< key of entry and token of each in the queue */
    GHashTable *holds;     /**< key of entry and token to struct gate_hold */
    GHashTable *promises;  /**< subject to the time it was told (gint64) */
    double promised_until; /**< capacity is set aside up to then, ms */
    double service_ms;     /**< moving mean of an answer's time */
    GArray *answers;       /**< struct gate_answer, to be taken */
};

/** Starts the gate of a service. */
struct gate *gate_new(uint64_t service, uint64_t now);

/** Frees a gate. */
void gate_free(struct gate *gate);

/** Takes the upstreams of a bundle; new ones start slowly. */
void gate_set_upstreams(struct gate *gate, uint64_t now,
                        const struct bundle_service *service);

/** A coordinator asks for a slot, or tells of one it holds. */
void gate_ask(struct gate *gate, uint64_t now, const wire_slot_ask *ask);

/** A coordinator gives a slot back. */
void gate_done(struct gate *gate, uint64_t now, const wire_slot_done *done);

/** A coordinator is gone; its slots are freed and its asks dropped. */
void gate_drop_entry(struct gate *gate, uint64_t entry);

/** Lets time pass. */
void gate_tick(struct gate *gate, uint64_t now);

/** Busy slots of all upstreams. */
uint32_t gate_busy(const struct gate *gate);

#endif
