/* Start, event loop and stop of a control process; carries out the actions of
 * control-core.h. */
#include "control.h"

#include <signal.h>
#include <sodium.h>
#include <string.h>

#include "codec.h"
#include "log.h"
#include "loop.h"
#include "rpc.h"
#include "seal.h"

#define TICK_MS 20U /* period of control_core_tick() */

static void
send_to_replica(const struct control *control,
                const struct cons_message *message)
{
    const struct settings_control *to =
        settings_find_control(&control->settings, message->to);

    if (to != NULL) {
        rpc_send(to->address, (uint16_t)to->rpc_port, message->bytes);
    }
}

/* Carries out one action of cons.h; false if storage failed. */
static bool
run_cons_action(struct control *control, const struct cons_action *action)
{
    struct status st = {STATUS_OK, ""};

    switch (action->kind) {
    case CONS_SAVE_TERM:
        (void)store_save_term(&control->store, action->vote.term,
                              action->vote.voted_for, &st);
        break;
    case CONS_SAVE_ENTRIES:
        (void)store_append(&control->store, &action->batch, &st);
        break;
    case CONS_SAVE_TRUNCATION:
        (void)store_truncate(&control->store, action->index, &st);
        break;
    case CONS_SAVE_SNAPSHOT:
        (void)store_save_snapshot(&control->store, &action->image, &st);
        break;
    case CONS_SEND:
        send_to_replica(control, &action->message);
        break;
    case CONS_RESTORE_SNAPSHOT:
        log_event(LOG_INFO, "snapshot-taken", "index=%llu",
                  (unsigned long long)action->index);
        break;
    }
    if (st.kind != STATUS_OK) {
        counter_add(&control->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_ERROR, "storage-failed", "message=\"%s\"", st.message);
        return false;
    }
    return true;
}

/* Wakes the HTTP thread that waits for the reply. */
static void
complete_request(struct control *control, const struct control_reply *reply)
{
    struct control_waiter *waiter =
        g_hash_table_lookup(control->waiters, &reply->token);

    if (waiter == NULL) {
        return;
    }
    g_hash_table_remove(control->waiters, &reply->token);
    g_mutex_lock(&waiter->lock);
    waiter->status = reply->status;
    waiter->done = true;
    g_cond_signal(&waiter->changed);
    g_mutex_unlock(&waiter->lock);
}

/* After a storage error the replica stops taking part: the remaining actions,
 * messages and replies included, are dropped. */
void
control_run_actions(struct control *control)
{
    size_t count;
    const struct control_action *all =
        control_core_actions(&control->core, &count);

    for (size_t i = 0; i < count && !control->core.cons.failed; i++) {
        const struct control_action *action = &all[i];

        switch (action->kind) {
        case CONTROL_CONS:
            if (!run_cons_action(control, &action->cons)) {
                cons_fail(&control->core.cons);
            }
            break;
        case CONTROL_SEND:
            rpc_send(action->message.address, action->message.port,
                     action->message.bytes);
            break;
        case CONTROL_REPLY:
            complete_request(control, &action->reply);
            break;
        }
    }
    control_core_clear(&control->core);
}

static void
on_message(void *data, const wire_msg *msg)
{
    struct control *control = data;

    control->core.wall = loop_wall();
    control_core_receive(&control->core, loop_now(), msg);
    control_run_actions(control);
}

static void
log_changes(struct control *control)
{
    static enum cons_role role;
    static uint64_t step;
    static uint64_t epoch;
    const struct control_core *core = &control->core;
    const wire_epoch *current = control_state_epoch(&core->state);

    if (role != core->cons.role) {
        role = core->cons.role;
        log_event(LOG_INFO, "role", "role=%s term=%llu",
                  role == CONS_LEADER     ? "leader"
                  : role == CONS_FOLLOWER ? "follower"
                                          : "candidate",
                  (unsigned long long)core->cons.term);
    }
    if (step != core->step_key) {
        step = core->step_key;
        log_event(LOG_INFO, "rollout", "version=%llu step=%u",
                  (unsigned long long)core->state.current, core->state.step);
    }
    if (current != NULL && epoch != current->number) {
        epoch = current->number;
        log_event(LOG_INFO, "epoch", "number=%llu members=%u",
                  (unsigned long long)epoch, current->members.members_len);
    }
}

static void
on_tick(void *data)
{
    struct control *control = data;

    control->core.wall = loop_wall();
    control_core_tick(&control->core, loop_now());
    control_run_actions(control);
    log_changes(control);
}

/* SIGTERM, SIGINT: saved log entries are synced, so nothing is flushed. */
static void
on_stop_signal(void *data)
{
    (void)data;
    log_event(LOG_INFO, "stop-begins", "role=control");
    loop_stop();
}

/* SIGHUP: reopens the log file after its rotation. */
static void
on_hangup(void *data)
{
    (void)data;
    log_reopen();
}

static enum status_kind
open_core(struct control *control, struct status *st)
{
    struct settings *s = &control->settings;
    wire_voter voters[CONS_VOTERS_MAX];
    uint32_t replicas[CONS_VOTERS_MAX];
    wire_config bootstrap_voters = {.voters = {.voters_val = voters}};
    struct cons_stored stored;
    uint64_t seed;

    if (store_open(&control->store, s->data, STORE_TAIL_STRICT, &stored, st) !=
        STATUS_OK) {
        return st->kind;
    }
    if (control->store.torn_bytes > 0) {
        log_event(LOG_WARN, "torn-tail-cut", "bytes=%llu",
                  (unsigned long long)control->store.torn_bytes);
    }
    for (size_t i = 0; i < s->control_count; i++) {
        replicas[i] = (uint32_t)s->controls[i].id;
        if (s->controls[i].founder) {
            voters[bootstrap_voters.voters.voters_len].replica = replicas[i];
            voters[bootstrap_voters.voters.voters_len++].identity =
                replicas[i];
        }
    }
    randombytes_buf(&seed, sizeof(seed));
    control_core_open(&control->core, loop_now(), (uint32_t)s->id,
                      control->store.identity, replicas, s->control_count,
                      &bootstrap_voters, seed, &stored, &control->counters);
    return STATUS_OK;
}

enum status_kind
control_run(struct settings *settings, struct status *st)
{
    static struct control control;

    (void)signal(SIGPIPE, SIG_IGN);
    /* Beyond RLIMIT_FSIZE, write() then fails with EFBIG. */
    (void)signal(SIGXFSZ, SIG_IGN);
    control.settings = *settings;
    control.waiters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    if (!seal_set_key(settings->cluster_key)) {
        return status_set(st, STATUS_IO, "cannot initialize libsodium");
    }
    if (open_core(&control, st) != STATUS_OK) {
        return st->kind;
    }
    loop_open(on_tick, &control, TICK_MS);
    loop_signal(SIGTERM, on_stop_signal, &control);
    loop_signal(SIGINT, on_stop_signal, &control);
    loop_signal(SIGHUP, on_hangup, &control);
    if (rpc_listen(settings->address, (uint16_t)settings->rpc_port, on_message,
                   &control, &control.counters, st) != STATUS_OK ||
        control_open_http(&control, st) != STATUS_OK) {
        return st->kind;
    }
    log_event(LOG_INFO, "started",
              "role=control name=%s id=%llu identity=%016llx founder=%d "
              "last_index=%llu",
              settings->name, (unsigned long long)settings->id,
              (unsigned long long)control.store.identity,
              control.store.founder,
              (unsigned long long)cons_last_index(&control.core.cons));
    loop_run();
    control_close_http(&control);
    store_close(&control.store);
    log_event(LOG_INFO, "stopped", "name=%s", settings->name);
    return STATUS_OK;
}
