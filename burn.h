/**
 * @file burn.h
 * Service-level objectives: burn rate of each service's error budget over
 * several windows, for the multi-window, multi-burn-rate alerts of the Site
 * Reliability Workbook (Beyer et al., 2018, chapter 5). A burn rate of 1
 * spends exactly the budget.
 */
#ifndef RIDGERIDGE_BURN_H
#define RIDGERIDGE_BURN_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "counter.h"

#define BURN_SLOT_MS 10000U /**< resolution of the history */
#define BURN_SLOTS 2160     /**< 6 h */
#define BURN_WINDOWS 4

/** Events of one slot. */
struct burn_slot {
    uint32_t good;
    uint32_t total;
};

/** History of one service: a ring buffer of slots. */
struct burn {
    char name[64];   /**< service */
    uint64_t budget; /**< bad events allowed per 10,000 */
    uint64_t slot;   /**< newest slot: time / BURN_SLOT_MS */
    struct burn_slot slots[BURN_SLOTS]; /**< slot % BURN_SLOTS */
};

/** New table of struct burn by service name. */
GHashTable *burn_new(void);

/** Counts an event in the newest slot of a service. */
void burn_count(GHashTable *table, const char *service, bool good);

/**
 * Applies the objectives of a bundle, advances the histories to `now` (ms)
 * and counts the flows since the last call. The counters are not per service:
 * all flows count for the first flow service.
 */
void burn_tick(GHashTable *table, const struct bundle *bundle,
               const struct counters *counters, uint64_t now);

/** Sums the events of the newest `slots` slots. */
void burn_sum(const struct burn *burn, uint64_t slots, uint64_t *good,
              uint64_t *total);

/** Error ratio over the error ratio that the budget allows; 0 without events
 * or budget. */
double burn_rate(uint64_t good, uint64_t total, uint64_t budget);

/** Length of a window in ms; sets its name. */
uint64_t burn_window(int index, const char **name);

/** Events by service and window, sorted by service. */
json_object *burn_json(GHashTable *table);

#endif
