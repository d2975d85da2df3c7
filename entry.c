/*
 * The entry process: startup, actions of the core, and graceful shutdown on
 * SIGTERM or SIGINT.
 */
#include "entry.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "burn.h"
#include "library.h"
#include "log.h"
#include "loop.h"
#include "rpc.h"
#include "seal.h"
#include "store.h"

#define TICK_MS 10U
#define QUIESCE_MS 300U    /* requests on connections just accepted */
#define DEREGISTER_MS 100U /* sending of the last report */
#define SAVED_BUNDLE "bundle"

/* Passes an action to the HTTP thread that waits for it. */
static void
notify_transaction(struct entry *entry, const struct entry_action *action)
{
    struct entry_transaction *txn =
        g_hash_table_lookup(entry->transactions, &action->token);

    if (txn == NULL) {
        return;
    }
    g_mutex_lock(&txn->lock);
    switch (action->kind) {
    case ENTRY_DISPATCH:
        txn->dispatch = true;
        txn->address = action->address;
        txn->port = action->port;
        txn->deadline = action->deadline;
        break;
    case ENTRY_ABORT:
        txn->aborted = true;
        break;
    case ENTRY_RESPOND:
        txn->answered = true;
        txn->rule = action->rule;
        claim_copy_outcome(&action->outcome, &txn->outcome);
        g_hash_table_remove(entry->transactions, &action->token);
        break;
    case ENTRY_SEND_CONTROL:
    case ENTRY_SEND_PEER:
    case ENTRY_SAVE_BUNDLE:
        break;
    }
    g_cond_signal(&txn->changed);
    g_mutex_unlock(&txn->lock);
}

/* Saved for entry_set_min_version() at the next start. */
static void
save_bundle(struct entry *entry)
{
    struct status st = {STATUS_OK, ""};
    int folder_fd = open(entry->settings.data, O_RDONLY | O_DIRECTORY);

    log_event(LOG_INFO, "bundle-applied", "version=%llu services=%zu",
              (unsigned long long)entry->core->bundle.version,
              entry->core->bundle.service_count);
    if (folder_fd < 0) {
        return;
    }
    if (store_write_file(folder_fd, SAVED_BUNDLE, entry->core->text,
                         strlen(entry->core->text), &st) != STATUS_OK) {
        counter_add(&entry->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_WARN, "bundle-not-saved", "message=\"%s\"", st.message);
    }
    (void)close(folder_fd);
}

static void
send_to_control(struct entry *entry, const struct entry_action *action)
{
    const struct settings_control *control =
        settings_find_control(&entry->settings, action->replica);

    if (control != NULL) {
        rpc_send(control->address, (uint16_t)control->rpc_port, action->bytes);
    }
}

void
entry_run_actions(struct entry *entry)
{
    size_t count;
    const struct entry_action *all = entry_core_actions(entry->core, &count);

    for (size_t i = 0; i < count; i++) {
        switch (all[i].kind) {
        case ENTRY_SEND_CONTROL:
            send_to_control(entry, &all[i]);
            break;
        case ENTRY_SEND_PEER:
            entry_send_to_peer(entry, &all[i]);
            break;
        case ENTRY_DISPATCH:
        case ENTRY_ABORT:
        case ENTRY_RESPOND:
            notify_transaction(entry, &all[i]);
            break;
        case ENTRY_SAVE_BUNDLE:
            save_bundle(entry);
            break;
        }
    }
    entry_core_clear_actions(entry->core);
}

/* Handles a message of control. */
static void
on_message(void *data, const wire_msg *msg)
{
    struct entry *entry = data;

    entry_core_receive(entry->core, loop_now(), loop_wall(), msg);
    entry_run_actions(entry);
}

static bool
is_idle(struct entry *entry, uint64_t now)
{
    return entry_core_may_exit(entry->core, now) &&
           g_atomic_int_get(&entry->open_transactions) == 0;
}

/* Advances a planned stop: drains, closes the listening socket, waits for
 * connections just accepted, deregisters at control, ends the event loop. */
static void
tick_stop(struct entry *entry, uint64_t now)
{
    switch (entry->stop_state) {
    case STOP_DRAINING:
        if (is_idle(entry, now)) {
            entry_quiesce_http(entry);
            entry->stop_state = STOP_QUIESCED;
            entry->stop_step_at = now + QUIESCE_MS;
        }
        return;
    case STOP_QUIESCED:
        if (now >= entry->stop_step_at &&
            g_atomic_int_get(&entry->open_transactions) == 0) {
            entry_core_deregister(entry->core, now);
            entry_run_actions(entry);
            entry->stop_state = STOP_DEREGISTERED;
            entry->stop_step_at = now + DEREGISTER_MS;
        }
        return;
    case STOP_DEREGISTERED:
        if (now >= entry->stop_step_at) {
            log_event(LOG_INFO, "stop-done", "requests_cut=0");
            loop_stop();
        }
        return;
    }
}

/* Opens HTTP at the first lease; until then callers get connection refused
 * and retry at another entry. */
static void
tick_http(struct entry *entry)
{
    struct status st = {STATUS_OK, ""};

    if (entry->http_open || entry->core->lease_deadline == 0 ||
        entry->stop_state != STOP_DRAINING) {
        return;
    }
    if (entry_open_http(entry, &st) != STATUS_OK) {
        log_event(LOG_ERROR, "http-failed", "message=\"%s\"", st.message);
        loop_stop();
    }
}

static void
on_tick(void *data)
{
    struct entry *entry = data;
    uint64_t now = loop_now();

    entry_core_tick(entry->core, now, loop_wall());
    entry_run_actions(entry);
    tick_http(entry);
    burn_tick(entry->burn, &entry->core->bundle, &entry->counters, now);
    tick_stop(entry, now);
}

/* Starts a planned stop; further signals have no effect. */
static void
on_terminate(void *data)
{
    struct entry *entry = data;

    log_event(LOG_INFO, "stop-begins", "requests=%zu",
              request_count(&entry->core->requests));
    entry_core_stop(entry->core, loop_now());
}

/* SIGHUP: reopens the log file after rotation. */
static void
on_hangup(void *data)
{
    (void)data;
    log_reopen();
}

/* Reads the bundle saved by the last run; NULL when there is none. */
static char *
load_bundle(const struct settings *settings)
{
    char *path = g_build_filename(settings->data, SAVED_BUNDLE, NULL);
    char *text = NULL;

    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        text = NULL;
    }
    g_free(path);
    return text;
}

static void
start_core(struct entry *entry)
{
    struct settings *s = &entry->settings;
    struct entry_options options = {.flow_capacity = s->flow_capacity,
                                    .ring_size = s->ring_size,
                                    .counters = &entry->counters,
                                    .control_count = s->control_count};
    uint32_t controls[ENTRY_CONTROLS_MAX];
    char *saved = load_bundle(s);

    for (size_t i = 0; i < s->control_count; i++) {
        controls[i] = (uint32_t)s->controls[i].id;
    }
    options.controls = controls;
    options.saved_text = saved;
    randombytes_buf(&options.self.id, sizeof(options.self.id));
    options.self.address = s->address;
    options.self.peer_port = (u_int)s->peer_port;
    options.self.fabric_port = (u_int)s->fabric_port;
    options.self.rpc_port = (u_int)s->rpc_port;
    options.self.http_port = (u_int)s->http_port;
    options.self.name = s->name;
    options.self.hall = s->hall;
    entry->core = entry_core_new(&options);
    g_free(saved);
}

static enum status_kind
start_process(struct entry *entry, struct status *st)
{
    struct settings *s = &entry->settings;

    if (!seal_set_key(s->cluster_key)) {
        return status_set(st, STATUS_IO,
                          "libsodium cannot be initialized; reinstall it");
    }
    (void)mkdir(s->data, 0700);
    (void)library_curl.global_init(CURL_GLOBAL_DEFAULT);
    start_core(entry);
    loop_open(on_tick, entry, TICK_MS);
    loop_signal(SIGTERM, on_terminate, entry);
    loop_signal(SIGINT, on_terminate, entry);
    loop_signal(SIGHUP, on_hangup, entry);
    if (rpc_listen(s->address, (uint16_t)s->rpc_port, on_message, entry,
                   &entry->counters, st) != STATUS_OK ||
        entry_open_peers(entry, st) != STATUS_OK) {
        return st->kind;
    }
    return entry_open_packets(entry, st);
}

enum status_kind
entry_run(struct settings *settings, struct status *st)
{
    static struct entry entry;

    (void)signal(SIGPIPE, SIG_IGN);
    entry.settings = *settings;
    entry.transactions = g_hash_table_new(g_int64_hash, g_int64_equal);
    entry.burn = burn_new();
    if (start_process(&entry, st) != STATUS_OK) {
        return st->kind;
    }
    log_event(LOG_INFO, "started", "role=entry name=%s hall=%s id=%016llx",
              settings->name, settings->hall,
              (unsigned long long)entry.core->self.id);
    loop_run();
    entry_close_http(&entry);
    log_event(LOG_INFO, "stopped", "name=%s", settings->name);
    return STATUS_OK;
}
