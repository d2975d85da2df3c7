/* Start, event handling, reload of settings and planned stop of a node. */
#include "node.h"

#include <signal.h>
#include <sodium.h>
#include <sys/stat.h>

#include "fault.h"
#include "hash.h"
#include "log.h"
#include "loop.h"
#include "platform/platform.h"
#include "route-wire.h"

/* The fabric's health check runs every 500 ms and removes a node after two
 * failures; packets that still arrive in the meantime are handled. */
#define FABRIC_REMOVAL_MS 1800U
/* Between checks whether another disk has replaced that of a stopping node. */
#define EXIT_RETRY_MS 50U
/* Remainder of `grace_s` at the exit, as a margin for a slow VM. */
#define EXIT_MARGIN_MS 1500U
#define SETTINGS_CHECK_INTERVAL_MS 2000U
/* Decisions that /v1/flows/ can explain. */
#define DECISION_RING_SIZE 1024
/* Least time between two saves of the inventory: a save takes two syncs, at 5
 * ms each a hundredth of the disk's time. */
#define SAVE_INTERVAL_MS 1000U
/* HTTP is opened after fleet synchronization, or this long after the start:
 * loading libmicrohttpd would delay the first packets. */
#define HTTP_OPEN_DELAY_MAX_MS 300U
/* Delay before an overdue deadline is retried: a deadline that stays in the
 * past costs at most 100 wake-ups a second. */
#define OVERDUE_RETRY_MS 10U
/* A tick this late means that the process did not run: the registrations and
 * responses of that time may have been missed. */
#define STALL_MS 400U

/* Age from which a change learned from another node is logged as a warning:
 * all nodes learn one within 1.1 s, even where relays fail and links lose
 * 5%. */
#define LEARNED_LATE_MS 1500U

static void
log_table_unreadable(const wire_routes *routes, const char *reason)
{
    log_event(LOG_ERROR, "table-unreadable", "version=%llu reason=\"%s\"",
              (unsigned long long)routes->bundle_version, reason);
}

/* Documents are parsed only on nodes with a disk; all others receive the
 * encoded table. Parsing 4,245 routes takes 12 to 17 ms of a core, which is
 * 0.3 to 0.45 s on the smallest VMs, and nothing is forwarded meanwhile. */
void
node_publish_table(struct node *node, const wire_routes *submitted)
{
    struct status st = {STATUS_OK, ""};
    wire_routes packed = {0};
    struct route_table *table;
    char *text;

    if (submitted->bundle_version <= node->fleet.routes.bundle_version) {
        return;
    }
    text = node_decompress(submitted);
    table = text != NULL ? platform_read_table(text, submitted->length, &st)
                         : NULL;
    g_free(text);
    if (table != NULL &&
        node_compress_table(table, &packed, &st) == STATUS_OK) {
        (void)fleet_set_routes(&node->fleet, loop_now(), &packed);
        g_free(packed.packed.packed_val);
    }
    else {
        log_table_unreadable(submitted, st.message);
    }
    route_free(table);
}

/* Applies the table of `fleet`. */
static void
apply_table(struct node *node)
{
    const wire_routes *routes = &node->fleet.routes;
    uint64_t started_us = loop_now_us();
    char *bytes = node_decompress(routes);
    struct route_table *table =
        bytes != NULL ? route_decode(bytes, routes->length) : NULL;

    g_free(bytes);
    if (table == NULL) {
        log_table_unreadable(routes, "the encoded table is damaged");
        return;
    }
    if (evidence_apply(&node->evidence, table)) {
        histogram_add(&node->histograms, HISTOGRAM_APPLY,
                      loop_now_us() - started_us);
        log_event(LOG_INFO, "table-in-force",
                  "version=%llu routes=%u leader=%08x term=%llu",
                  (unsigned long long)routes->bundle_version,
                  node->evidence.table->routes->len, node->fleet.leader,
                  (unsigned long long)node->fleet.term);
    }
}

/* Logs the drained data halls with the log entry that drained each. */
static void
log_drained_halls(const struct node *node)
{
    const struct hall_set *halls = &node->upstreams.halls;
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < halls->count; i++) {
        g_string_append_printf(text, "%s%s@%llu", i > 0 ? "," : "",
                               halls->all[i].name,
                               (unsigned long long)halls->all[i].since);
    }
    log_event(LOG_INFO, "halls-in-force", "revision=%llu emptied=%s",
              (unsigned long long)halls->revision,
              halls->count > 0 ? text->str : "none");
    g_string_free(text, TRUE);
}

/* Logs and counts a change of the leader or the members that this node
 * knows. */
static void
log_membership(struct node *node, const struct fleet_action *action)
{
    const struct fleet *fleet = &node->fleet;
    guint members = g_hash_table_size(fleet->members) + 1;
    guint known_seeds = fleet_count_known_seeds(fleet);

    switch (action->kind) {
    case FLEET_LEADER_LOST:
        counter_add(&node->counters, COUNTER_LEADERS_LOST, 1);
        log_event(LOG_WARN, "leader-lost",
                  "leader=%08x term=%llu age_ms=%llu members=%u seeds=%zu "
                  "known_seeds=%u",
                  action->to, (unsigned long long)fleet->term,
                  (unsigned long long)action->age_ms, members,
                  fleet->seed_count, known_seeds);
        break;
    case FLEET_LEADER_FOUND:
        log_event(
            LOG_INFO, "leader-found",
            "leader=%08x term=%llu reported_by=%08x members=%u seeds=%zu "
            "known_seeds=%u",
            action->to, (unsigned long long)fleet->term, action->reported_by,
            members, fleet->seed_count, known_seeds);
        break;
    case FLEET_NODES_JOINED:
        counter_add(&node->counters, COUNTER_NODES_JOINED, action->count);
        log_event(LOG_INFO, "nodes-joined", "count=%u first=%08x members=%u",
                  action->count, action->to, members);
        break;
    case FLEET_NODES_LOST:
        counter_add(&node->counters, COUNTER_NODES_LOST, action->count);
        log_event(LOG_WARN, "nodes-lost",
                  "count=%u first=%08x age_ms=%llu members=%u seeds=%zu "
                  "known_seeds=%u",
                  action->count, action->to,
                  (unsigned long long)action->age_ms, members,
                  fleet->seed_count, known_seeds);
        break;
    case FLEET_CONTACT_FOUND:
        counter_add(&node->counters, COUNTER_CONTACTS_FOUND, 1);
        log_event(LOG_INFO, "contact-found",
                  "node=%08x away_ms=%llu members=%u contacts=%u", action->to,
                  (unsigned long long)action->age_ms, members,
                  fleet->contacts->len);
        break;
    case FLEET_SEND:
    case FLEET_DISK_SEEN:
    case FLEET_BOOTSTRAP:
    case FLEET_TABLE:
    case FLEET_HALLS:
    case FLEET_UNRESPONSIVE:
        break;
    }
}

static void
run_fleet_actions(struct node *node)
{
    size_t count;
    struct fleet_action *all = fleet_actions(&node->fleet, &count);

    for (size_t i = 0; i < count; i++) {
        switch (all[i].kind) {
        case FLEET_SEND:
            node_send_to_peer(node, all[i].to, all[i].bytes->data,
                              all[i].bytes->len);
            break;
        case FLEET_DISK_SEEN:
            node_voter_report_disk(node, &all[i].node);
            break;
        case FLEET_BOOTSTRAP:
            node_voter_bootstrap(node);
            break;
        case FLEET_TABLE:
            apply_table(node);
            break;
        case FLEET_HALLS:
            log_drained_halls(node);
            break;
        case FLEET_UNRESPONSIVE:
            counter_add(&node->counters, COUNTER_NODES_UNANSWERED, 1);
            log_event(LOG_WARN, "node-unanswered", "node=%08x", all[i].to);
            break;
        case FLEET_LEADER_LOST:
        case FLEET_LEADER_FOUND:
        case FLEET_NODES_JOINED:
        case FLEET_NODES_LOST:
        case FLEET_CONTACT_FOUND:
            log_membership(node, &all[i]);
            break;
        }
    }
    node->counters.value[COUNTER_CONTACT_HELLOS] = node->fleet.contact_hellos;
    fleet_clear(&node->fleet);
}

/* Logs state changes of upstreams. */
static void
log_upstreams(const struct node *node)
{
    const GArray *changed = node->upstreams.changed;

    for (guint i = 0; i < changed->len; i++) {
        const struct upstream *u = upstream_by_id(
            &node->upstreams, g_array_index(changed, uint64_t, i));

        if (u != NULL) {
            log_event(LOG_INFO, "upstream",
                      "upstream=%llx state=%s service=%s born=%llu "
                      "sequence=%llu doubted=%d sick=%d",
                      (unsigned long long)u->id, upstream_state_name(u->state),
                      upstream_service_name(&node->upstreams, u->service),
                      (unsigned long long)u->started_at,
                      (unsigned long long)u->sequence, u->suspicions.confirmed,
                      loop_now() < u->ejected_until);
        }
    }
}

/* Logs the reports that are about to be sent to the upstreams' keepers. */
static void
log_reports(const struct node *node)
{
    const GArray *reports = node->upstreams.reports;

    for (guint i = 0; i < reports->len; i++) {
        const struct upstream_report *report =
            &g_array_index(reports, struct upstream_report, i);

        log_event(LOG_INFO, "upstream-doubted",
                  "upstream=%llx quiet_ms=%u answered=%d too_soon=%d",
                  (unsigned long long)report->id, report->quiet_ms,
                  report->quiet_ms == 0 && !report->outlier, report->outlier);
    }
}

/* Logs changes learned from other nodes, but not the initial
 * synchronization. */
static void
log_learned(struct node *node)
{
    GArray *learned = node->upstreams.learned;

    for (guint i = 0; node->fleet.settled && i < learned->len; i++) {
        const struct upstream_learned *change =
            &g_array_index(learned, struct upstream_learned, i);
        const struct upstream *u =
            upstream_by_id(&node->upstreams, change->id);

        histogram_add(&node->histograms, HISTOGRAM_CHANGE_LATENCY,
                      (uint64_t)change->age_ms * 1000);
        if (u != NULL) {
            log_event(change->age_ms > LEARNED_LATE_MS ? LOG_WARN : LOG_INFO,
                      "upstream-told",
                      "upstream=%llx state=%s sequence=%llu keeper=%08x "
                      "age_ms=%u",
                      (unsigned long long)u->id, upstream_state_name(u->state),
                      (unsigned long long)u->sequence, u->keeper,
                      change->age_ms);
        }
    }
    g_array_set_size(learned, 0);
}

/* Saves the inventory when it changed, so that a restart after a power loss
 * need not wait for new registrations. */
static void
save_inventory(struct node *node, uint64_t now)
{
    if (!node->voter.running || fault_is(FAULT_NO_SAVED_INVENTORY) ||
        (node->saved_change_count == node->upstreams.change_count &&
         node->saved_members_digest == fleet_members_digest(&node->fleet)) ||
        now < node->save_at || !node->fleet.settled) {
        return;
    }
    node->saved_change_count = node->upstreams.change_count;
    node->saved_members_digest = fleet_members_digest(&node->fleet);
    node->save_at = now + SAVE_INTERVAL_MS;
    node_voter_save_inventory(node, fleet_save(&node->fleet, now));
}

/* A deadline of the event loop. */
struct deadline {
    const char *name; /* in logs */
    uint64_t at;      /* in ms of loop_now() */
};

static struct deadline
earliest_deadline(struct node *node)
{
    uint64_t http_deadline =
        node->fleet.settled ? loop_now() : node->http_open_at;
    struct deadline all[] = {
        {"fleet", fleet_deadline(&node->fleet)},
        {"upstreams", upstream_deadline(&node->upstreams)},
        {"http", node_http_deadline(node)},
        {"settings", node->settings_check_at},
        {"open-http", node->http_open_at != 0 ? http_deadline : UINT64_MAX},
        {"halls", node->hall_probe_at != 0 ? node->hall_probe_at : UINT64_MAX},
        {"overload",
         node->fleet.overloaded ? node->overload.active_until : UINT64_MAX},
        {"held", node->held_retry_at != 0 ? node->held_retry_at : UINT64_MAX},
        {"end", node->exit_at != 0 ? node->exit_at : UINT64_MAX},
    };
    struct deadline first = all[0];

    for (size_t i = 1; i < G_N_ELEMENTS(all); i++) {
        if (all[i].at < first.at) {
            first = all[i];
        }
    }
    return first;
}

/* Schedules the next tick. A deadline that was already due at the last tick
 * and was not handled is logged and delayed, so that the loop can't spin. */
static void
schedule_tick(struct node *node)
{
    struct deadline deadline = earliest_deadline(node);

    if (deadline.at < node->last_tick_at) {
        counter_add(&node->counters, COUNTER_DEADLINES_MISSED, 1);
        log_event(LOG_ERROR, "deadline-missed", "of=%s by_ms=%llu",
                  deadline.name,
                  (unsigned long long)(node->last_tick_at - deadline.at));
        deadline.at = node->last_tick_at + OVERDUE_RETRY_MS;
    }
    node->tick_at = MAX(deadline.at, loop_now());
    loop_wake_at(deadline.at);
}

void
node_run_actions(struct node *node)
{
    uint64_t version = node->evidence.table->version;
    guint upstream_count = node->upstreams.all->len;

    log_upstreams(node);
    log_reports(node);
    log_learned(node);
    node_probe_halls(node, loop_now());
    node_report_load(node, loop_now());
    fleet_broadcast_changes(&node->fleet, loop_now());
    run_fleet_actions(node);
    node_count_load(node);
    if (node->evidence.settled != node->fleet.settled ||
        node->evidence.table->version != version ||
        node->retry_upstream_count != upstream_count ||
        (node->held_retry_at != 0 && loop_now() >= node->held_retry_at)) {
        node->evidence.settled = node->fleet.settled;
        node->retry_upstream_count = upstream_count;
        node_retry_held_packets(node);
    }
    schedule_tick(node);
}

bool
node_is_ready(const struct node *node)
{
    return node->stopping_since == 0 && node->fleet.settled;
}

/* Time of a file's last modification in ns since 1970; 0 when stat() fails. */
static int64_t
file_mtime_ns(const char *path)
{
    struct stat file_info;

    if (stat(path, &file_info) != 0) {
        return 0;
    }
    return (int64_t)file_info.st_mtim.tv_sec * 1000000000 +
           file_info.st_mtim.tv_nsec;
}

static void
set_seeds(struct node *node, const struct node_settings *settings)
{
    uint32_t seeds[FLEET_SEEDS_MAX];
    size_t count = MIN(settings->seed_count, FLEET_SEEDS_MAX);

    for (size_t i = 0; i < count; i++) {
        seeds[i] = settings->seeds[i].control.address;
    }
    fleet_set_seeds(&node->fleet, seeds, count);
}

/* Reloads the settings file; only `seeds` take effect without a restart. */
static void
reload_settings(struct node *node)
{
    struct node_settings settings;
    struct status st = {STATUS_OK, ""};

    node->settings_mtime_ns = file_mtime_ns(node->settings_path);
    if (node_settings_load(node->settings_path, &settings, &st) != STATUS_OK) {
        log_event(LOG_WARN, "reload-refused", "message=\"%s\"", st.message);
        return;
    }
    set_seeds(node, &settings);
    log_event(LOG_INFO, "reload", "seeds=%zu known_seeds=%u",
              settings.seed_count, fleet_count_known_seeds(&node->fleet));
    node_settings_free(&settings);
}

static void
on_sighup(void *data)
{
    reload_settings(data);
}

/* Starts a planned stop: fails health checks, and keeps handling packets until
 * the fabric sends no more. */
static void
on_terminate(void *data)
{
    struct node *node = data;
    uint64_t now = loop_now();
    uint64_t exit_delay = node->settings.grace_ms;

    if (node->stopping_since != 0) {
        return;
    }
    exit_delay = exit_delay > EXIT_MARGIN_MS ? exit_delay - EXIT_MARGIN_MS : 0;
    node->stopping_since = now;
    node->exit_at = now + MIN(FABRIC_REMOVAL_MS, exit_delay);
    node->exit_by = now + exit_delay;
    log_event(LOG_INFO, "stop-begins", "ends_in_ms=%llu at_most_ms=%llu",
              (unsigned long long)(node->exit_at - now),
              (unsigned long long)(node->exit_by - now));
    node_voter_leave(node);
    fleet_stop(&node->fleet, now);
    node_run_actions(node);
}

/* Whether another disk is about to replace that of this stopping node: with
 * one voter less, the quorum would tolerate one failure less meanwhile. */
static bool
awaits_replacement(const struct node *node, uint64_t now)
{
    return now < node->exit_by && node->voter.in_quorum &&
           fleet_awaits_replacement(&node->fleet, node->voter.voters,
                                    node->voter.voter_count);
}

/* Ends the loop of a stopping node, unless the quorum still needs its disk. */
static bool
exit_when_due(struct node *node, uint64_t now)
{
    if (node->exit_at == 0 || now < node->exit_at) {
        return false;
    }
    if (awaits_replacement(node, now)) {
        node->exit_at = MIN(now + EXIT_RETRY_MS, node->exit_by);
        return false;
    }
    log_event(LOG_INFO, "stop-ends", "after_ms=%llu in_quorum=%d voters=%zu",
              (unsigned long long)(now - node->stopping_since),
              node->voter.in_quorum, node->voter.voter_count);
    loop_stop();
    return true;
}

static void
open_http_when_due(struct node *node, uint64_t now)
{
    if (node->http_open_at == 0 ||
        (now < node->http_open_at && !node->fleet.settled)) {
        return;
    }
    node->http_open_at = 0;
    if (node_open_http(node, &node->failure) != STATUS_OK) {
        log_event(LOG_ERROR, "http-not-opened", "message=\"%s\"",
                  node->failure.message);
        loop_stop();
    }
}

/* Sets the nodes among which owners of warming upstreams are chosen. */
static void
update_warmup_nodes(struct node *node, uint64_t now)
{
    GArray *all;

    if (!node->evidence.bounded) {
        return;
    }
    all = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    fleet_list_owners(&node->fleet, now, all);
    warmup_set_nodes(&node->evidence.nodes, all);
    g_array_free(all, TRUE);
}

/* Registrations may have been missed since the last tick because of a stall or
 * an overload. */
static void
allow_for_missed_packets(struct node *node, uint64_t now)
{
    uint64_t since_ms = now - node->last_tick_at;

    if (node->last_tick_at == 0) {
        return;
    }
    if (since_ms > FLEET_HELLO_INTERVAL_MS + STALL_MS) {
        log_event(LOG_WARN, "stood-still", "ms=%llu",
                  (unsigned long long)since_ms);
        evidence_pause_detection(&node->evidence, now);
    }
    else if (!overload_is_active(&node->overload, now)) {
        return;
    }
    upstream_extend_deadlines(&node->upstreams, now, since_ms);
}

static void
on_tick(void *data)
{
    struct node *node = data;
    uint64_t now = loop_now();

    node_note_late(node, now, node->tick_at);
    node_update_overload(node, now);
    allow_for_missed_packets(node, now);
    node->last_tick_at = now;
    counter_add(&node->counters, COUNTER_WAKEUPS, 1);
    if (exit_when_due(node, now)) {
        return;
    }
    if (now >= node->settings_check_at) {
        node->settings_check_at = now + SETTINGS_CHECK_INTERVAL_MS;
        if (file_mtime_ns(node->settings_path) != node->settings_mtime_ns) {
            reload_settings(node);
        }
    }
    upstream_tick(&node->upstreams, now);
    evidence_tick(&node->evidence, now);
    fleet_tick(&node->fleet, now);
    node->evidence.rank = fleet_rank(&node->fleet);
    update_warmup_nodes(node, now);
    save_inventory(node, now);
    open_http_when_due(node, now);
    node_poll_http(node);
    node_note_late(node, loop_now(), now);
    node_run_actions(node);
}

static void
init_modules(struct node *node)
{
    const struct node_settings *s = &node->settings;
    struct fleet_options options = {.address = node_settings_address(s),
                                    .first_start = s->first_start != 0,
                                    .link_kbit_s = s->link_kbit_s,
                                    .hall = (uint32_t)hash_name(s->hall)};

    randombytes_buf(&options.incarnation, sizeof(options.incarnation));
    randombytes_buf(&options.seed, sizeof(options.seed));
    ring_open(&node->ring, DECISION_RING_SIZE);
    upstream_open(&node->upstreams, options.address,
                  s->registration_interval_ms);
    evidence_open(&node->evidence, &node->upstreams, &node->counters,
                  s->flow_max_ms);
    node->evidence.overshoot_milli = s->warmup_overshoot_milli;
    node->evidence.slack_milli = s->warmup_slack_milli;
    evidence_pause_detection(&node->evidence, loop_now());
    node_open_egress(node);
    fleet_open(&node->fleet, loop_now(), &options, &node->upstreams);
    node_open_load(node);
    set_seeds(node, s);
}

/* Opens sockets and starts the voter; HTTP follows later. */
static enum status_kind
open_all(struct node *node, struct status *st)
{
    loop_open_idle(on_tick, node);
    loop_signal(SIGTERM, on_terminate, node);
    loop_signal(SIGINT, on_terminate, node);
    loop_signal(SIGHUP, on_sighup, node);
    init_modules(node);
    node->http_open_at = loop_now() + HTTP_OPEN_DELAY_MAX_MS;
    if (node_open_packets(node, st) != STATUS_OK ||
        node_open_peers(node, st) != STATUS_OK) {
        return st->kind;
    }
    node_start_voter(node);
    return STATUS_OK;
}

enum status_kind
node_run(struct node_settings *settings, const char *path, struct status *st)
{
    static struct node node;

    (void)signal(SIGPIPE, SIG_IGN);
    /* A write past RLIMIT_FSIZE then fails with EFBIG, as on a full disk. */
    (void)signal(SIGXFSZ, SIG_IGN);
    node.settings = *settings;
    node.settings_path = path;
    node.settings_mtime_ns = file_mtime_ns(path);
    node.pending_requests = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (open_all(&node, st) != STATUS_OK) {
        return st->kind;
    }
    log_event(LOG_INFO, "started",
              "role=node name=%s hall=%s disk=%d first_start=%d seeds=%zu",
              settings->name, settings->hall, settings->data[0] != '\0',
              (int)settings->first_start, settings->seed_count);
    node_run_actions(&node);
    loop_run();
    node_close_http(&node);
    node_stop_voter(&node);
    log_event(LOG_INFO, "stopped", "name=%s", settings->name);
    *st = node.failure;
    return st->kind;
}
