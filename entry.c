/* The life of an entry process: start, actions of the core, planned stop. */
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
#define QUIET_MS 300U /* for connections that were just accepted */
#define LEAVE_MS 100U /* for the last message to control */
#define SAVED_BUNDLE "bundle"

/* Tells a waiting thread what the core decided. */
static void
tell_call(struct entry *entry, const struct entry_action *action)
{
    struct entry_call *call =
        g_hash_table_lookup(entry->calls, &action->token);

    if (call == NULL) {
        return;
    }
    g_mutex_lock(&call->lock);
    switch (action->kind) {
    case ENTRY_DISPATCH:
        call->dispatch = true;
        call->address = action->address;
        call->port = action->port;
        call->deadline = action->deadline;
        break;
    case ENTRY_ABORT:
        call->aborted = true;
        break;
    case ENTRY_ANSWER:
        call->answered = true;
        call->rule = action->rule;
        claim_copy_outcome(&action->outcome, &call->outcome);
        g_hash_table_remove(entry->calls, &action->token);
        break;
    case ENTRY_TO_CONTROL:
    case ENTRY_TO_PEER:
    case ENTRY_SAVE:
        break;
    }
    g_cond_signal(&call->changed);
    g_mutex_unlock(&call->lock);
}

/* Stores the bundle in force, so that a restart does not begin below it. */
static void
save_bundle(struct entry *entry)
{
    struct status st = {STATUS_OK, ""};
    int folder = open(entry->settings.data, O_RDONLY | O_DIRECTORY);

    log_event(LOG_INFO, "bundle-applied", "version=%llu services=%zu",
              (unsigned long long)entry->core->bundle.version,
              entry->core->bundle.service_count);
    if (folder < 0) {
        return;
    }
    if (store_write_file(folder, SAVED_BUNDLE, entry->core->text,
                         strlen(entry->core->text), &st) != STATUS_OK) {
        counter_add(&entry->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_WARN, "bundle-not-saved", "message=\"%s\"", st.message);
    }
    (void)close(folder);
}

/* Sends a message to a control replica. */
static void
send_to_control(struct entry *entry, const struct entry_action *action)
{
    const struct settings_control *control =
        settings_find_control(&entry->settings, action->replica);

    if (control != NULL) {
        rpc_send(control->address, (uint16_t)control->rpc_port, action->bytes);
    }
}

/* Carries out the core's actions. */
void
entry_act(struct entry *entry)
{
    size_t count;
    const struct entry_action *all = entry_core_actions(entry->core, &count);

    for (size_t i = 0; i < count; i++) {
        switch (all[i].kind) {
        case ENTRY_TO_CONTROL:
            send_to_control(entry, &all[i]);
            break;
        case ENTRY_TO_PEER:
            entry_send_to_peer(entry, &all[i]);
            break;
        case ENTRY_DISPATCH:
        case ENTRY_ABORT:
        case ENTRY_ANSWER:
            tell_call(entry, &all[i]);
            break;
        case ENTRY_SAVE:
            save_bundle(entry);
            break;
        }
    }
    entry_core_clear(entry->core);
}

/* Takes a message of control. */
static void
on_message(void *data, const wire_msg *msg)
{
    struct entry *entry = data;

    entry_core_receive(entry->core, loop_now(), loop_wall(), msg);
    entry_act(entry);
}

/* Says whether nothing is left that a stop would cut. */
static bool
is_idle(struct entry *entry, uint64_t now)
{
    return entry_core_is_stopped(entry->core, now) &&
           g_atomic_int_get(&entry->held_calls) == 0;
}

/* Goes through the end of a planned stop: no new connections, then a pause
 * for those just accepted, then control is told, then the process ends. */
static void
tick_stop(struct entry *entry, uint64_t now)
{
    switch (entry->stop) {
    case STOP_RUNNING:
        if (is_idle(entry, now)) {
            entry_quiesce_http(entry);
            entry->stop = STOP_QUIET;
            entry->stop_at = now + QUIET_MS;
        }
        return;
    case STOP_QUIET:
        if (now >= entry->stop_at &&
            g_atomic_int_get(&entry->held_calls) == 0) {
            entry_core_leave(entry->core, now);
            entry_act(entry);
            entry->stop = STOP_LEFT;
            entry->stop_at = now + LEAVE_MS;
        }
        return;
    case STOP_LEFT:
        if (now >= entry->stop_at) {
            log_event(LOG_INFO, "stop-done", "requests_cut=0");
            loop_stop();
        }
        return;
    }
}

/* Takes requests from the first lease on: before it, a caller is better
 * served by a connection that fails at once. */
static void
tick_http(struct entry *entry)
{
    struct status st = {STATUS_OK, ""};

    if (entry->http_open || entry->core->lease_deadline == 0 ||
        entry->stop != STOP_RUNNING) {
        return;
    }
    if (entry_open_http(entry, &st) != STATUS_OK) {
        log_event(LOG_ERROR, "http-failed", "message=\"%s\"", st.message);
        loop_stop();
    }
}

/* Lets time pass. */
static void
on_tick(void *data)
{
    struct entry *entry = data;
    uint64_t now = loop_now();

    entry_core_tick(entry->core, now, loop_wall());
    entry_act(entry);
    tick_http(entry);
    burn_tick(entry->burn, &entry->core->bundle, &entry->counters, now);
    tick_stop(entry, now);
}

/* Begins the planned stop; a second signal changes nothing. */
static void
on_terminate(void *data)
{
    struct entry *entry = data;

    log_event(LOG_INFO, "stop-begins", "requests=%zu",
              request_count(&entry->core->requests));
    entry_core_stop(entry->core, loop_now());
}

/* Opens the log file again. */
static void
on_hangup(void *data)
{
    (void)data;
    log_reopen();
}

/* Reads the bundle that an earlier run stored; NULL when there is none. */
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

/* Starts the core from the settings. */
static void
open_core(struct entry *entry)
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

/* Opens sockets and threads. */
static enum status_kind
open_all(struct entry *entry, struct status *st)
{
    struct settings *s = &entry->settings;

    if (!seal_open(s->cluster_key)) {
        return status_set(st, STATUS_IO, "libsodium does not start");
    }
    (void)mkdir(s->data, 0700);
    (void)library_curl.global_init(CURL_GLOBAL_DEFAULT);
    open_core(entry);
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

/* Runs an entry. */
enum status_kind
entry_run(struct settings *settings, struct status *st)
{
    static struct entry entry;

    (void)signal(SIGPIPE, SIG_IGN);
    entry.settings = *settings;
    entry.calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    entry.burn = burn_new();
    if (open_all(&entry, st) != STATUS_OK) {
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
