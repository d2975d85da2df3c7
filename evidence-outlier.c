/*
 * Outlier detection by response time. An upstream that fails requests without
 * processing them answers far earlier than the median of its route. This node
 * reports early answers to the node that monitors the upstream; several
 * reports eject it.
 */
#include "evidence-internal.h"

#include "fault.h"

/* An answer is early below 1/6 of the median. */
#define EARLY_DIVISOR 6U
/* Samples required for a valid median. */
#define MEDIAN_MIN_ANSWERS 16U
/* Step of the running median, as a fraction of it: 1/16. */
#define MEDIAN_DIVISOR 16U
/* Below this median the network round trip hides early answers. */
#define MEDIAN_MIN_US 20000U
/* Minimum interval between reports about an upstream. */
#define REPORT_INTERVAL_MS 200U

/* Finds or creates the baseline of a route. */
static struct evidence_baseline *
baseline_of(struct evidence *ev, const struct evidence_packet *packet)
{
    gpointer key = route_key(packet->destination, packet->destination_port);
    struct evidence_baseline *baseline =
        g_hash_table_lookup(ev->baselines, key);

    if (baseline == NULL) {
        baseline = g_new0(struct evidence_baseline, 1);
        g_hash_table_insert(ev->baselines, key, baseline);
    }
    return baseline;
}

static void
update_median(struct evidence_baseline *baseline, uint32_t latency_us)
{
    if (baseline->answers == 0) {
        baseline->median_us = latency_us;
    }
    else if (latency_us > baseline->median_us) {
        baseline->median_us += MAX(baseline->median_us / MEDIAN_DIVISOR, 1U);
    }
    else {
        baseline->median_us -= baseline->median_us / MEDIAN_DIVISOR;
    }
    baseline->answers += baseline->answers < MEDIAN_MIN_ANSWERS;
}

void
evidence_note_response(struct evidence *ev, uint64_t now,
                       const struct evidence_packet *packet,
                       struct upstream *upstream, uint32_t latency_us)
{
    struct evidence_baseline *baseline = baseline_of(ev, packet);
    bool early = baseline->answers >= MEDIAN_MIN_ANSWERS &&
                 baseline->median_us >= MEDIAN_MIN_US &&
                 latency_us < baseline->median_us / EARLY_DIVISOR;

    update_median(baseline, latency_us);
    if (early && now >= upstream->next_outlier_report_at &&
        !evidence_is_overloaded(ev, now) && !fault_is(FAULT_NO_OUTLIERS)) {
        struct upstream_report report = {.id = upstream->id, .outlier = true};

        upstream->next_outlier_report_at = now + REPORT_INTERVAL_MS;
        g_array_append_val(ev->upstreams->reports, report);
    }
}
