/**
 * @file occupancy.h
 * Requests that all nodes of the fleet have outstanding at each upstream, as
 * known to one node: its own counts and the newest sum received from its
 * relay. Counts are weighted by their age, since queues drain within a few
 * hundred milliseconds. No I/O, no clock.
 */
#ifndef RIDGERIDGE_OCCUPANCY_H
#define RIDGERIDGE_OCCUPANCY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define OCCUPANCY_FULL_MS 600U /**< counts up to this age have full weight */
#define OCCUPANCY_EXPIRY_MS 1200U /**< counts from this age on have none */
#define OCCUPANCY_REPORTS 8U      /**< recent reports remembered */

/** Key of an upstream in the counts, to keep messages short. Of 150 upstreams
 * two share a key in one deployment of six; each then counts for both. */
#define OCCUPANCY_KEY(token) ((token)&0xffffU)

/** Requests at an upstream that are not answered yet. */
struct occupancy_entry {
    uint32_t token;      /**< of the upstream */
    uint32_t requests;   /**< outstanding */
    uint32_t latency_ms; /**< mean response time, 0: unknown */
};

/** Counts that this node reported to a relay. */
struct occupancy_report {
    uint32_t relay;   /**< address; 0: unused */
    uint64_t sent_at; /**< time */
    GArray *entries;  /**< struct occupancy_entry */
};

/** Counts known to one node. */
struct occupancy {
    GArray *own;     /**< struct occupancy_entry: of this node */
    uint64_t own_at; /**< time of `own`; 0: never set */
    struct occupancy_report reports[OCCUPANCY_REPORTS]; /**< a ring */
    guint next_report;   /**< index in `reports` */
    GHashTable *sum;     /**< token to struct occupancy_entry: without the
                              counts of this node */
    bool has_sum;        /**< a sum was received */
    uint64_t counted_at; /**< time of the oldest count in `sum` */
    uint32_t sum_relay;  /**< address of the relay that sent `sum` */
    uint64_t sum_at;     /**< time when `sum` arrived */
};

void occupancy_open(struct occupancy *o);

void occupancy_close(struct occupancy *o);

/** Sets the counts of this node to be reported; replaces the previous ones. */
void occupancy_set_own(struct occupancy *o, uint64_t now,
                       const struct occupancy_entry *list, guint count);

/** Remembers counts that were sent to a relay, to be subtracted from its
 * sums. */
void occupancy_note_report(struct occupancy *o, uint64_t now, uint32_t relay,
                           const struct occupancy_entry *list, guint count);

/** Replaces the sum, less what this node reported to `relay`; false when
 * another relay sent a recent one with newer counts. */
bool occupancy_set_sum(struct occupancy *o, uint64_t now, uint32_t relay,
                       uint32_t age_ms, const struct occupancy_entry *list,
                       guint count);

/** Requests that other nodes have outstanding at an upstream; 0 when unknown
 * or not among the listed ones. */
uint32_t occupancy_elsewhere(const struct occupancy *o, uint64_t now,
                             uint32_t token);

/** Mean response time seen by all nodes, ms; 0 when unknown. */
uint32_t occupancy_latency_ms(const struct occupancy *o, uint64_t now,
                              uint32_t token);

/** Age of the counts, ms; UINT64_MAX: none. */
uint64_t occupancy_age_ms(const struct occupancy *o, uint64_t now);

#endif
