/*
 * Load control of a node: its level from the settings, and the report of this
 * node's load to the exchange between nodes (fleet-load.c).
 */
#include "log.h"
#include "loop.h"
#include "node.h"
#include "platform/platform.h"

void
node_open_load(struct node *node)
{
    struct evidence_load *load = &node->evidence.load;
    int level = MAX(node->settings.load_control,
                    (int)platform_load_control(node->settings.requirements));

    switch ((enum node_load_control)level) {
    case NODE_LOAD_OFF:
        load->level = EVIDENCE_LOAD_OFF;
        break;
    case NODE_LOAD_RANKED:
        load->level = EVIDENCE_LOAD_RANKED;
        break;
    case NODE_LOAD_FULL:
        load->level = EVIDENCE_LOAD_FULL;
        break;
    }
    load->occupancy = &node->fleet.load;
    load->returning = &node->fleet.returning;
}

/* Logs services whose shortage began or ended. */
static void
log_shortages(struct node *node, uint64_t now)
{
    struct evidence_shortage change;

    while (evidence_load_next_change(&node->evidence, now, &change)) {
        log_event(LOG_INFO,
                  change.is_short ? "service-short" : "service-short-ended",
                  "service=%s unloaded_us=%u",
                  upstream_service_name(&node->upstreams, change.service),
                  change.unloaded_us);
    }
}

bool
node_load_report_due(struct node *node)
{
    return node->evidence.load.level != EVIDENCE_LOAD_OFF &&
           evidence_load_is_short(&node->evidence, loop_now()) !=
               node->load_reported;
}

static void
raise_counter(struct node *node, enum counter_id id, uint64_t total)
{
    counter_add(&node->counters, id,
                total - counter_read(&node->counters, id));
}

void
node_count_load(struct node *node)
{
    const struct fleet_exchange *exchange = &node->fleet.exchange;

    raise_counter(node, COUNTER_LOAD_REPORTS_OUT, exchange->messages_sent);
    raise_counter(node, COUNTER_LOAD_BYTES_OUT, exchange->bytes_sent);
}

void
node_report_load(struct node *node, uint64_t now)
{
    GArray *entries;

    if (node->evidence.load.level == EVIDENCE_LOAD_OFF) {
        return;
    }
    log_shortages(node, now);
    node->load_reported = evidence_load_is_short(&node->evidence, now);
    entries = g_array_new(FALSE, FALSE, sizeof(struct occupancy_entry));
    if (node->load_reported || fleet_load_is_active(&node->fleet, now)) {
        evidence_load_report(&node->evidence, now, entries);
    }
    fleet_set_load(&node->fleet, now, node->load_reported,
                   (const struct occupancy_entry *)(void *)entries->data,
                   entries->len);
    g_array_free(entries, TRUE);
}
