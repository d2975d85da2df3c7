/* The life of a node: start, the loop's work, reload, stop. */
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

/* The fabric asks twice a second and leaves a node out after two misses;
 * packets are carried on for one question more. */
#define LEAVE_FABRIC_MS 1800U
/* Left of the grace period when the process ends, for a slow VM. */
#define GRACE_MARGIN_MS 1500U
/* Settings may change without a signal. */
#define SETTINGS_CHECK_MS 2000U
/* Decisions kept to be explained: 100 KB, and on the busiest VM of today (40
 * new flows a second) half a minute. */
#define RING_SIZE 1024
/* Least time between two stores of the inventory: two syncs of 5 ms are then
 * at most a hundredth of a disk's time. */
#define KEEP_MS 1000U
/* HTTP is opened once the node holds enough to serve, or so long after its
 * start: loading its library takes longer than all else of a start, and the
 * fabric asks twice a second. */
#define HTTP_LATEST_MS 300U
/* Where a deadline stays in the past, the loop rests so long between two
 * wake-ups: a hundred a second are as many as a busy VM has anyway. */
#define MISSED_PAUSE_MS 10U
/* A tick later than this by its deadline means that the process stood still,
 * and what it did not hear meanwhile proves nothing. */
#define STANDSTILL_MS 400U

/* A change of an upstream that is older when this node is told it is late: all
 * nodes know one within 1.1 s where relays are lost and links lose 5%. */
#define TOLD_LATE_MS 1500U

/* Says that a table cannot be used. */
static void
log_unreadable(const wire_routes *routes, const char *reason)
{
    log_event(LOG_ERROR, "table-unreadable", "version=%llu reason=\"%s\"",
              (unsigned long long)routes->bundle_version, reason);
}

/* Takes an operator's table that is committed. Only nodes with a disk read
 * documents: one of 4,245 routes takes 10 to 17 ms of a core, which is 0.4 s
 * of the smallest VM, in which it forwards nothing. */
void
node_take_table(struct node *node, const wire_routes *document)
{
    struct status st = {STATUS_OK, ""};
    wire_routes packed = {0};
    struct route_table *table;
    char *text;

    if (document->bundle_version <= node->fleet.routes.bundle_version) {
        return;
    }
    text = node_unpack(document);
    table =
        text != NULL ? platform_read_table(text, document->length, &st) : NULL;
    g_free(text);
    if (table != NULL && node_pack_table(table, &packed, &st) == STATUS_OK) {
        (void)fleet_set_routes(&node->fleet, loop_now(), &packed);
        g_free(packed.packed.packed_val);
    }
    else {
        log_unreadable(document, st.message);
    }
    route_free(table);
}

/* Applies a table that the fleet brought. */
static void
apply_table(struct node *node)
{
    const wire_routes *routes = &node->fleet.routes;
    uint64_t began = loop_now_us();
    char *bytes = node_unpack(routes);
    struct route_table *table =
        bytes != NULL ? route_decode(bytes, routes->length) : NULL;

    g_free(bytes);
    if (table == NULL) {
        log_unreadable(routes, "its bytes are damaged");
        return;
    }
    if (evidence_apply(&node->evidence, table)) {
        histogram_add(&node->histograms, HISTOGRAM_APPLY,
                      loop_now_us() - began);
        log_event(LOG_INFO, "table-in-force",
                  "version=%llu routes=%u leader=%08x term=%llu",
                  (unsigned long long)routes->bundle_version,
                  node->evidence.table->routes->len, node->fleet.leader,
                  (unsigned long long)node->fleet.term);
    }
}

/* Logs which halls are emptied now, and by which entries of the log. */
static void
log_halls(const struct node *node)
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

/* Carries out the fleet's actions. */
static void
act_fleet(struct node *node)
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
            node_voter_hear(node, &all[i].node);
            break;
        case FLEET_BOOTSTRAP:
            node_voter_found(node);
            break;
        case FLEET_TABLE:
            apply_table(node);
            break;
        case FLEET_HALLS:
            log_halls(node);
            break;
        case FLEET_UNRESPONSIVE:
            counter_add(&node->counters, COUNTER_NODES_UNANSWERED, 1);
            log_event(LOG_WARN, "node-unanswered", "node=%08x", all[i].to);
            break;
        }
    }
    fleet_clear(&node->fleet);
}

/* Logs what is believed anew of upstreams. */
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

/* Logs what this node tells of upstreams that leave data unanswered. */
static void
log_doubts(const struct node *node)
{
    const GArray *doubted = node->upstreams.suspicions;

    for (guint i = 0; i < doubted->len; i++) {
        const struct upstream_suspicion *d =
            &g_array_index(doubted, struct upstream_suspicion, i);

        log_event(LOG_INFO, "upstream-doubted",
                  "upstream=%llx quiet_ms=%u answered=%d too_soon=%d",
                  (unsigned long long)d->id, d->quiet_ms,
                  d->quiet_ms == 0 && !d->outlier, d->outlier);
    }
}

/* Logs what other nodes told of upstreams, and how old it was; not what a node
 * that begins is sent. */
static void
log_told(struct node *node)
{
    GArray *told = node->upstreams.learned;

    for (guint i = 0; node->fleet.settled && i < told->len; i++) {
        const struct upstream_learned *t =
            &g_array_index(told, struct upstream_learned, i);
        const struct upstream *u = upstream_by_id(&node->upstreams, t->id);

        histogram_add(&node->histograms, HISTOGRAM_TOLD,
                      (uint64_t)t->age_ms * 1000);
        if (u != NULL) {
            log_event(t->age_ms > TOLD_LATE_MS ? LOG_WARN : LOG_INFO,
                      "upstream-told",
                      "upstream=%llx state=%s sequence=%llu keeper=%08x "
                      "age_ms=%u",
                      (unsigned long long)u->id, upstream_state_name(u->state),
                      (unsigned long long)u->sequence, u->keeper, t->age_ms);
        }
    }
    g_array_set_size(told, 0);
}

/* Stores the inventory and the members when they changed, so that a start
 * after a loss of power need not wait until every upstream registered again.
 */
static void
keep_upstreams(struct node *node, uint64_t now)
{
    if (!node->voter.running || fault_is(FAULT_NO_KEPT) ||
        (node->kept_changes == node->upstreams.change_count &&
         node->kept_members == fleet_members_digest(&node->fleet)) ||
        now < node->keep_at || !node->fleet.settled) {
        return;
    }
    node->kept_changes = node->upstreams.change_count;
    node->kept_members = fleet_members_digest(&node->fleet);
    node->keep_at = now + KEEP_MS;
    node_voter_keep(node, fleet_save(&node->fleet, now));
}

/* What the loop waits for. */
struct due {
    const char *what; /* for the log */
    uint64_t at;      /* deadline */
};

/* What is due first. */
static struct due
next_due(struct node *node)
{
    uint64_t open_at = node->fleet.settled ? loop_now() : node->http_at;
    struct due all[] = {
        {"fleet", fleet_deadline(&node->fleet)},
        {"upstreams", upstream_deadline(&node->upstreams)},
        {"http", node_http_deadline(node)},
        {"settings", node->settings_at},
        {"open-http", node->http_at != 0 ? open_at : UINT64_MAX},
        {"halls", node->probe_at != 0 ? node->probe_at : UINT64_MAX},
        {"end", node->end_at != 0 ? node->end_at : UINT64_MAX},
    };
    struct due first = all[0];

    for (size_t i = 1; i < G_N_ELEMENTS(all); i++) {
        if (all[i].at < first.at) {
            first = all[i];
        }
    }
    return first;
}

/* Sets the next wake-up. What was due before the last tick began, and still
 * is, nobody meets: without a pause the loop would spin until a restart. */
static void
schedule(struct node *node)
{
    struct due due = next_due(node);

    if (due.at < node->ticked_at) {
        counter_add(&node->counters, COUNTER_DEADLINES_MISSED, 1);
        log_event(LOG_ERROR, "deadline-missed", "of=%s by_ms=%llu", due.what,
                  (unsigned long long)(node->ticked_at - due.at));
        due.at = node->ticked_at + MISSED_PAUSE_MS;
    }
    loop_wake_at(due.at);
}

/* Carries out what the cores ask for. */
void
node_act(struct node *node)
{
    uint64_t version = node->evidence.table->version;
    guint known = node->upstreams.all->len;

    log_upstreams(node);
    log_doubts(node);
    log_told(node);
    node_watch_halls(node, loop_now());
    fleet_broadcast_changes(&node->fleet, loop_now());
    act_fleet(node);
    if (node->evidence.settled != node->fleet.settled ||
        node->evidence.table->version != version ||
        node->known_upstreams != known) {
        node->evidence.settled = node->fleet.settled;
        node->known_upstreams = known;
        node_release_packets(node);
    }
    schedule(node);
}

/* Says whether the fabric may send packets here. */
bool
node_is_ready(const struct node *node)
{
    return node->unready_at == 0 && node->fleet.settled;
}

/* Time of a file's last change, in ns; 0 when it cannot be told. */
static int64_t
changed_at(const char *path)
{
    struct stat info;

    if (stat(path, &info) != 0) {
        return 0;
    }
    return (int64_t)info.st_mtim.tv_sec * 1000000000 + info.st_mtim.tv_nsec;
}

/* Takes the seeds of the settings. */
static void
take_seeds(struct node *node, const struct node_settings *settings)
{
    uint32_t seeds[FLEET_SEEDS_MAX];
    size_t count = MIN(settings->seed_count, FLEET_SEEDS_MAX);

    for (size_t i = 0; i < count; i++) {
        seeds[i] = settings->seeds[i].control.address;
    }
    fleet_set_seeds(&node->fleet, seeds, count);
}

/* Reads the settings again: seeds are taken, the rest needs a restart. */
static void
reload(struct node *node)
{
    struct node_settings settings;
    struct status st = {STATUS_OK, ""};

    node->settings_changed = changed_at(node->settings_path);
    if (node_settings_load(node->settings_path, &settings, &st) != STATUS_OK) {
        log_event(LOG_WARN, "reload-refused", "message=\"%s\"", st.message);
        return;
    }
    take_seeds(node, &settings);
    log_event(LOG_INFO, "reload", "seeds=%zu", settings.seed_count);
    node_settings_free(&settings);
}

/* The settings file was changed, says a signal. */
static void
on_hangup(void *data)
{
    reload(data);
}

/* A planned stop begins: out of the fabric first, then on with packets. */
static void
on_terminate(void *data)
{
    struct node *node = data;
    uint64_t now = loop_now();
    uint64_t grace = node->settings.grace_ms;

    if (node->unready_at != 0) {
        return;
    }
    grace = grace > GRACE_MARGIN_MS ? grace - GRACE_MARGIN_MS : 0;
    node->unready_at = now;
    node->end_at = now + MIN(LEAVE_FABRIC_MS, grace);
    log_event(LOG_INFO, "stop-begins", "ends_in_ms=%llu",
              (unsigned long long)(node->end_at - now));
    node_voter_resign(node);
    fleet_stop(&node->fleet, now);
    node_act(node);
}

/* Opens HTTP when it is due; packets come first. */
static void
open_http_when_due(struct node *node, uint64_t now)
{
    if (node->http_at == 0 || (now < node->http_at && !node->fleet.settled)) {
        return;
    }
    node->http_at = 0;
    if (node_open_http(node, &node->failure) != STATUS_OK) {
        log_event(LOG_ERROR, "http-not-opened", "message=\"%s\"",
                  node->failure.message);
        loop_stop();
    }
}

/* Says who may send to cold upstreams, where a service bounds it. */
static void
list_owners(struct node *node, uint64_t now)
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

/* Lets time pass. */
static void
on_tick(void *data)
{
    struct node *node = data;
    uint64_t now = loop_now();

    if (node->ticked_at != 0 &&
        now > node->ticked_at + FLEET_HELLO_INTERVAL_MS + STANDSTILL_MS) {
        log_event(LOG_WARN, "stood-still", "ms=%llu",
                  (unsigned long long)(now - node->ticked_at));
        upstream_extend_deadlines(&node->upstreams, now,
                                  now - node->ticked_at);
        evidence_pause_detection(&node->evidence, now);
    }
    node->ticked_at = now;
    counter_add(&node->counters, COUNTER_WAKEUPS, 1);
    if (node->end_at != 0 && now >= node->end_at) {
        loop_stop();
        return;
    }
    if (now >= node->settings_at) {
        node->settings_at = now + SETTINGS_CHECK_MS;
        if (changed_at(node->settings_path) != node->settings_changed) {
            reload(node);
        }
    }
    upstream_tick(&node->upstreams, now);
    evidence_tick(&node->evidence, now);
    fleet_tick(&node->fleet, now);
    node->evidence.rank = fleet_rank(&node->fleet);
    list_owners(node, now);
    keep_upstreams(node, now);
    open_http_when_due(node, now);
    node_poll_http(node);
    node_act(node);
}

/* Starts the cores. */
static void
open_cores(struct node *node)
{
    const struct node_settings *s = &node->settings;
    struct fleet_options options = {.address = node_settings_address(s),
                                    .first_start = s->first_start != 0,
                                    .link_kbit_s = s->link_kbit_s,
                                    .hall = (uint32_t)hash_name(s->hall)};

    randombytes_buf(&options.incarnation, sizeof(options.incarnation));
    randombytes_buf(&options.seed, sizeof(options.seed));
    ring_open(&node->ring, RING_SIZE);
    upstream_open(&node->upstreams, options.address, s->interval_ms);
    evidence_open(&node->evidence, &node->upstreams, &node->counters,
                  s->flow_max_ms);
    node->evidence.overshoot_milli = s->cold_overshoot_milli;
    node->evidence.slack_milli = s->cold_slack_milli;
    evidence_pause_detection(&node->evidence, loop_now());
    node_open_egress(node);
    fleet_open(&node->fleet, loop_now(), &options, &node->upstreams);
    take_seeds(node, s);
}

/* Opens all that the node needs; packets first. */
static enum status_kind
open_all(struct node *node, struct status *st)
{
    loop_open_idle(on_tick, node);
    loop_signal(SIGTERM, on_terminate, node);
    loop_signal(SIGINT, on_terminate, node);
    loop_signal(SIGHUP, on_hangup, node);
    open_cores(node);
    node->http_at = loop_now() + HTTP_LATEST_MS;
    if (node_open_packets(node, st) != STATUS_OK ||
        node_open_peers(node, st) != STATUS_OK) {
        return st->kind;
    }
    node_start_voter(node);
    return STATUS_OK;
}

/* Runs a node. */
enum status_kind
node_run(struct node_settings *settings, const char *path, struct status *st)
{
    static struct node node;

    (void)signal(SIGPIPE, SIG_IGN);
    /* A write past a file's size limit fails, as on a full disk, instead of
     * ending the process. */
    (void)signal(SIGXFSZ, SIG_IGN);
    node.settings = *settings;
    node.settings_path = path;
    node.settings_changed = changed_at(path);
    node.calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (open_all(&node, st) != STATUS_OK) {
        return st->kind;
    }
    log_event(LOG_INFO, "started",
              "role=node name=%s hall=%s disk=%d first_start=%d seeds=%zu",
              settings->name, settings->hall, settings->data[0] != '\0',
              (int)settings->first_start, settings->seed_count);
    node_act(&node);
    loop_run();
    node_close_http(&node);
    node_stop_voter(&node);
    log_event(LOG_INFO, "stopped", "name=%s", settings->name);
    *st = node.failure;
    return st->kind;
}
