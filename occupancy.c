/* Counts of outstanding requests, by upstream and weighted by age. */
#include "occupancy.h"

#include <string.h>

/* Time for a report to reach the relay and for its sum to come back; a report
 * sent less than this before a sum arrived is not included in it. */
#define TRANSIT_MS 20U
/* Relays discard reports after 500 ms; older ones are in no sum. */
#define REPORT_EXPIRY_MS 500U
/* A relay that sent no sum for this long has failed, so that another relay's
 * sum replaces its last one even with older counts. */
#define SUM_VALID_MS 500U

void
occupancy_open(struct occupancy *o)
{
    memset(o, 0, sizeof(*o));
    o->own = g_array_new(FALSE, FALSE, sizeof(struct occupancy_entry));
    o->sum =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    for (guint i = 0; i < OCCUPANCY_REPORTS; i++) {
        o->reports[i].entries =
            g_array_new(FALSE, FALSE, sizeof(struct occupancy_entry));
    }
}

void
occupancy_close(struct occupancy *o)
{
    g_array_free(o->own, TRUE);
    g_hash_table_destroy(o->sum);
    for (guint i = 0; i < OCCUPANCY_REPORTS; i++) {
        g_array_free(o->reports[i].entries, TRUE);
    }
}

static void
replace(GArray *entries, const struct occupancy_entry *list, guint count)
{
    g_array_set_size(entries, 0);
    if (count > 0) {
        g_array_append_vals(entries, list, count);
    }
}

void
occupancy_set_own(struct occupancy *o, uint64_t now,
                  const struct occupancy_entry *list, guint count)
{
    replace(o->own, list, count);
    o->own_at = now;
}

void
occupancy_note_report(struct occupancy *o, uint64_t now, uint32_t relay,
                      const struct occupancy_entry *list, guint count)
{
    struct occupancy_report *report = &o->reports[o->next_report];

    report->relay = relay;
    report->sent_at = now;
    replace(report->entries, list, count);
    o->next_report = (o->next_report + 1) % OCCUPANCY_REPORTS;
}

/* The report that a sum arriving now includes; NULL: none. */
static const struct occupancy_report *
included_report(const struct occupancy *o, uint64_t now, uint32_t relay)
{
    const struct occupancy_report *best = NULL;

    for (guint i = 0; i < OCCUPANCY_REPORTS; i++) {
        const struct occupancy_report *report = &o->reports[i];

        if (report->relay == relay && relay != 0 &&
            now >= report->sent_at + TRANSIT_MS &&
            now <= report->sent_at + REPORT_EXPIRY_MS &&
            (best == NULL || report->sent_at > best->sent_at)) {
            best = report;
        }
    }
    return best;
}

static struct occupancy_entry *
find(const struct occupancy *o, uint32_t token)
{
    return g_hash_table_lookup(o->sum, GUINT_TO_POINTER(OCCUPANCY_KEY(token)));
}

static void
subtract(struct occupancy *o, const struct occupancy_report *report)
{
    for (guint i = 0; i < report->entries->len; i++) {
        const struct occupancy_entry *own =
            &g_array_index(report->entries, struct occupancy_entry, i);
        struct occupancy_entry *entry = find(o, own->token);

        if (entry != NULL) {
            entry->requests -= MIN(own->requests, entry->requests);
        }
    }
}

bool
occupancy_set_sum(struct occupancy *o, uint64_t now, uint32_t relay,
                  uint32_t age_ms, const struct occupancy_entry *list,
                  guint count)
{
    const struct occupancy_report *report = included_report(o, now, relay);
    uint64_t counted_at = now > age_ms ? now - age_ms : 0;

    if (o->has_sum && relay != o->sum_relay &&
        now < o->sum_at + SUM_VALID_MS && counted_at < o->counted_at) {
        return false;
    }
    g_hash_table_remove_all(o->sum);
    for (guint i = 0; i < count; i++) {
        (void)g_hash_table_insert(
            o->sum, GUINT_TO_POINTER(OCCUPANCY_KEY(list[i].token)),
            g_memdup2(&list[i], sizeof(struct occupancy_entry)));
    }
    if (report != NULL) {
        subtract(o, report);
    }
    o->has_sum = true;
    o->counted_at = counted_at;
    o->sum_relay = relay;
    o->sum_at = now;
    return true;
}

uint64_t
occupancy_age_ms(const struct occupancy *o, uint64_t now)
{
    if (!o->has_sum) {
        return UINT64_MAX;
    }
    return now > o->counted_at ? now - o->counted_at : 0;
}

/* Weight of the counts, in units of 1/(EXPIRY - FULL). */
static uint64_t
weight(const struct occupancy *o, uint64_t now)
{
    uint64_t age = occupancy_age_ms(o, now);

    if (age >= OCCUPANCY_EXPIRY_MS) {
        return 0;
    }
    return OCCUPANCY_EXPIRY_MS - MAX(age, OCCUPANCY_FULL_MS);
}

uint32_t
occupancy_elsewhere(const struct occupancy *o, uint64_t now, uint32_t token)
{
    const struct occupancy_entry *entry = find(o, token);

    return entry == NULL
               ? 0
               : (uint32_t)(entry->requests * weight(o, now) /
                            (OCCUPANCY_EXPIRY_MS - OCCUPANCY_FULL_MS));
}

uint32_t
occupancy_latency_ms(const struct occupancy *o, uint64_t now, uint32_t token)
{
    const struct occupancy_entry *entry = find(o, token);

    return entry == NULL || occupancy_age_ms(o, now) >= OCCUPANCY_EXPIRY_MS
               ? 0
               : entry->latency_ms;
}
