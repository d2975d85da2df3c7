/* The life of a control process: start, actions of the core, stop. */
#include "control.h"

#include <signal.h>
#include <sodium.h>
#include <string.h>

#include "codec.h"
#include "log.h"
#include "loop.h"
#include "rpc.h"
#include "seal.h"

#define TICK_MS 20U

/* Sends a message to another replica. */
static void
send_to_replica(struct control *control, struct cons_action *action)
{
    const struct settings_control *to =
        settings_find_control(&control->settings, action->to);
    GByteArray *bytes;

    if (to == NULL) {
        return;
    }
    bytes = codec_encode(&action->msg);
    rpc_send(to->address, (uint16_t)to->rpc_port, bytes);
    g_byte_array_unref(bytes);
}

/* Carries out one action of consensus; false when storage failed. */
static bool
act_cons(struct control *control, struct cons_action *action)
{
    struct cons *cons = &control->core.cons;
    struct status st = {STATUS_OK, ""};

    switch (action->kind) {
    case CONS_SAVE_TERM:
        (void)store_save_term(&control->store, cons->term, cons->vote, &st);
        break;
    case CONS_SAVE_ENTRIES:
        (void)store_append(&control->store, cons, action->index, action->count,
                           &st);
        break;
    case CONS_SAVE_CUT:
        (void)store_cut(&control->store, action->index, &st);
        break;
    case CONS_SAVE_SNAPSHOT:
        (void)store_snapshot(&control->store, cons, &st);
        break;
    case CONS_SEND:
        send_to_replica(control, action);
        break;
    case CONS_LOAD:
        log_event(LOG_INFO, "snapshot-taken", "index=%llu",
                  (unsigned long long)cons->snapshot.index);
        break;
    }
    if (st.kind != STATUS_OK) {
        counter_add(&control->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_ERROR, "storage-failed", "message=\"%s\"", st.message);
        return false;
    }
    return true;
}

/* Sends a message to an entry. */
static void
send_to_entry(struct control_action *action)
{
    GByteArray *bytes = codec_encode(&action->msg);

    rpc_send(action->member.address, (uint16_t)action->member.rpc_port, bytes);
    g_byte_array_unref(bytes);
}

/* Answers a waiting operator. */
static void
answer(struct control *control, const struct control_action *action)
{
    struct control_call *call =
        g_hash_table_lookup(control->calls, &action->token);

    if (call == NULL) {
        return;
    }
    g_hash_table_remove(control->calls, &action->token);
    g_mutex_lock(&call->lock);
    call->status = action->status;
    call->done = true;
    g_cond_signal(&call->changed);
    g_mutex_unlock(&call->lock);
}

/* Carries out the core's actions. What storage refused is not answered, and
 * nothing that follows it in the same batch is done. */
void
control_act(struct control *control)
{
    size_t count;
    const struct control_action *all =
        control_core_actions(&control->core, &count);

    for (size_t i = 0; i < count && !control->core.cons.failed; i++) {
        struct control_action action = all[i];

        switch (action.kind) {
        case CONTROL_CONS:
            if (!act_cons(control, &action.cons)) {
                cons_fail(&control->core.cons);
            }
            break;
        case CONTROL_SEND:
            send_to_entry(&action);
            break;
        case CONTROL_REPLY:
            answer(control, &action);
            break;
        }
    }
    control_core_clear(&control->core);
}

/* Takes a message. */
static void
on_message(void *data, const wire_msg *msg)
{
    struct control *control = data;

    control->core.wall = loop_wall();
    control_core_receive(&control->core, loop_now(), msg);
    control_act(control);
}

/* Logs changes of role, step and epoch. */
static void
log_changes(struct control *control)
{
    static enum cons_role role;
    static uint64_t step;
    static uint64_t epoch;
    const struct control_core *core = &control->core;
    const wire_epoch *now = control_state_epoch(&core->state);

    if (role != core->cons.role) {
        role = core->cons.role;
        log_event(LOG_INFO, "role", "role=%s term=%llu",
                  role == CONS_LEADER     ? "leader"
                  : role == CONS_FOLLOWER ? "follower"
                                          : "candidate",
                  (unsigned long long)core->cons.term);
    }
    if (step != core->step_seen) {
        step = core->step_seen;
        log_event(LOG_INFO, "rollout", "version=%llu step=%u",
                  (unsigned long long)core->state.current, core->state.step);
    }
    if (now != NULL && epoch != now->number) {
        epoch = now->number;
        log_event(LOG_INFO, "epoch", "number=%llu members=%u",
                  (unsigned long long)epoch, now->members.members_len);
    }
}

/* Lets time pass. */
static void
on_tick(void *data)
{
    struct control *control = data;

    control->core.wall = loop_wall();
    control_core_tick(&control->core, loop_now());
    control_act(control);
    log_changes(control);
}

/* Ends the process; the log needs nothing more. */
static void
on_terminate(void *data)
{
    (void)data;
    log_event(LOG_INFO, "stop-begins", "role=control");
    loop_stop();
}

/* Opens the log file again. */
static void
on_hangup(void *data)
{
    (void)data;
    log_reopen();
}

/* Opens the data folder and starts the core from it. */
static enum status_kind
open_core(struct control *control, struct status *st)
{
    struct settings *s = &control->settings;
    wire_voter voters[CONS_REPLICAS_MAX];
    uint32_t replicas[CONS_REPLICAS_MAX];
    wire_config founders = {.voters = {.voters_val = voters}};
    struct cons_stored stored;
    uint64_t seed;

    if (store_open(&control->store, s->data, STORE_TAIL_STRICT, &stored, st) !=
        STATUS_OK) {
        return st->kind;
    }
    if (control->store.cut_bytes > 0) {
        log_event(LOG_WARN, "torn-tail-cut", "bytes=%llu",
                  (unsigned long long)control->store.cut_bytes);
    }
    for (size_t i = 0; i < s->control_count; i++) {
        replicas[i] = (uint32_t)s->controls[i].id;
        if (s->controls[i].founder) {
            voters[founders.voters.voters_len].replica = replicas[i];
            voters[founders.voters.voters_len++].identity = replicas[i];
        }
    }
    randombytes_buf(&seed, sizeof(seed));
    control_core_open(&control->core, loop_now(), (uint32_t)s->id,
                      control->store.identity, replicas, s->control_count,
                      &founders, seed, &stored, &control->counters);
    return STATUS_OK;
}

/* Runs a control VM. */
enum status_kind
control_run(struct settings *settings, struct status *st)
{
    static struct control control;

    (void)signal(SIGPIPE, SIG_IGN);
    /* A file that may not grow is an error of the disk, not an end. */
    (void)signal(SIGXFSZ, SIG_IGN);
    control.settings = *settings;
    control.calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    if (!seal_open(settings->cluster_key)) {
        return status_set(st, STATUS_IO, "libsodium does not start");
    }
    if (open_core(&control, st) != STATUS_OK) {
        return st->kind;
    }
    loop_open(on_tick, &control, TICK_MS);
    loop_signal(SIGTERM, on_terminate, &control);
    loop_signal(SIGINT, on_terminate, &control);
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
