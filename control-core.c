/*
 * Applies committed commands, compacts the log, and completes operators'
 * requests. control-entries.c handles the messages of entries,
 * control-rollout.c makes the proposals of the leader.
 */
#include "control-core.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "fault.h"
#include "control-internal.h"

static struct control_action *
add_action(struct control_core *core, enum control_action_kind kind)
{
    struct control_action action = {.kind = kind};

    g_array_append_val(core->actions, action);
    return &g_array_index(core->actions, struct control_action,
                          core->actions->len - 1);
}

static void
add_cons_action(void *data, const struct cons_action *action)
{
    add_action(data, CONTROL_CONS)->cons = *action;
}

/* Appends the queued actions of cons.h to the queue, in order. */
void
control_move_cons_actions(struct control_core *core)
{
    cons_move_actions(&core->cons, add_cons_action, core);
}

/* Queues a message to an entry. */
void
control_send(struct control_core *core, const wire_member *member,
             wire_msg *msg)
{
    add_action(core, CONTROL_SEND)->message =
        (struct control_message){.address = member->address,
                                 .port = (uint16_t)member->rpc_port,
                                 .bytes = codec_encode(msg)};
}

/* Queues a reply, STATUS_OK unless the caller changes it. */
static struct status *
add_reply(struct control_core *core, uint64_t token)
{
    struct control_action *action = add_action(core, CONTROL_REPLY);

    action->reply.token = token;
    action->reply.status.kind = STATUS_OK;
    return &action->reply.status;
}

static void
reply_status(struct control_core *core, uint64_t token, enum status_kind kind,
             const char *message)
{
    (void)status_set(add_reply(core, token), kind, "%s", message);
}

static void
reply_not_leader(struct control_core *core, uint64_t token)
{
    (void)status_set(add_reply(core, token), STATUS_NO_ANSWER,
                     "replica %u is not the leader (leader: %u, 0 if "
                     "unknown); ask another control VM",
                     core->cons.self, core->cons.leader);
}

void
control_core_open(struct control_core *core, uint64_t now, uint32_t self,
                  uint64_t identity, const uint32_t *replicas, size_t count,
                  const wire_config *bootstrap_voters, uint64_t seed,
                  struct cons_stored *stored, struct counters *counters)
{
    memset(core, 0, sizeof(*core));
    cons_open(&core->cons, now, self, identity, replicas, count,
              bootstrap_voters, seed, stored);
    core->entries = g_ptr_array_new();
    core->requests = g_array_new(FALSE, FALSE, sizeof(struct control_request));
    core->actions = g_array_new(FALSE, FALSE, sizeof(struct control_action));
    core->evicting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    core->counters = counters;
    control_state_open(&core->state);
    if (core->cons.snapshot.index > 0) {
        control_load_snapshot(core);
    }
    /* Epochs that ended before the start count as ended just now. */
    for (size_t i = 0; i < WIRE_EPOCHS_MAX; i++) {
        core->epoch_ended_at[i] = now;
    }
}

void
control_load_snapshot(struct control_core *core)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(core->cons.snapshot.state, &length);
    wire_control_state state;

    if (codec_decode_state(bytes, length, &state)) {
        control_state_close(&core->state);
        core->state = state;
    }
}

void
control_core_close(struct control_core *core)
{
    control_clear_entries(core);
    control_core_clear(core);
    g_ptr_array_free(core->entries, TRUE);
    g_array_free(core->requests, TRUE);
    g_array_free(core->evicting, TRUE);
    g_array_free(core->actions, TRUE);
    control_state_close(&core->state);
    cons_close(&core->cons);
}

/* Records when the rollout step changed and announces it to the entries. */
static void
update_step(struct control_core *core, uint64_t now)
{
    uint64_t key = core->state.current * 8 + core->state.step;

    if (core->state.signed_off && core->signed_off_at == 0) {
        core->signed_off_at = now;
    }
    if (key != core->step_key) {
        core->step_key = key;
        core->step_reached_at = now;
        control_announce_state(core);
    }
}

/* Records that the previous epoch ended now; [0] is the current one. */
static void
update_epoch_ends(struct control_core *core, uint64_t now)
{
    memmove(core->epoch_ended_at + 1, core->epoch_ended_at,
            sizeof(core->epoch_ended_at) - sizeof(core->epoch_ended_at[0]));
    core->epoch_ended_at[0] = now;
    core->epoch_ended_at[1] = now;
}

/* Applies one committed log entry; one that does not decode is skipped. */
static void
apply_entry(struct control_core *core, uint64_t now, uint64_t index)
{
    const struct cons_entry *entry = cons_entry_at(&core->cons, index);
    gsize length = 0;
    const void *bytes = g_bytes_get_data(entry->command, &length);
    wire_command command;
    uint64_t epoch = core->state.epochs.epochs_len
                         ? core->state.epochs.epochs_val[0].number
                         : 0;

    counter_add(core->counters, COUNTER_COMMITS, 1);
    if (!codec_decode_command(bytes, length, &command)) {
        core->state.applied = index;
        return;
    }
    control_state_apply(&core->state, index, &command);
    codec_free_command(&command);
    if (control_state_epoch(&core->state) != NULL &&
        control_state_epoch(&core->state)->number != epoch) {
        update_epoch_ends(core, now);
        control_announce_state(core);
    }
    update_step(core, now);
}

/* Compacts a long log. */
static void
compact(struct control_core *core)
{
    uint64_t first = core->cons.snapshot.index;
    GByteArray *bytes;
    GBytes *state;

    if (core->state.applied < first + CONTROL_COMPACT_ENTRIES) {
        return;
    }
    bytes = codec_encode_state(&core->state);
    state = g_byte_array_free_to_bytes(bytes);
    cons_compact(&core->cons, core->state.applied, state);
    g_bytes_unref(state);
}

static void
reply_submit(struct control_core *core, const struct control_request *request)
{
    const wire_submission *found =
        control_state_find_outcome(&core->state, request->submission);
    struct status *st = add_reply(core, request->token);

    if (found == NULL) {
        (void)status_set(st, STATUS_UNCONFIRMED,
                         "a new leader took over before the submission was "
                         "committed; retry with the same submission id");
        return;
    }
    (void)status_set(st, found->result, "%s", found->message);
}

static void
reply_sign_off(struct control_core *core,
               const struct control_request *request)
{
    const wire_control_state *state = &core->state;
    bool done = state->current >= request->version ||
                (state->has_pending && state->signed_off &&
                 state->pending.bundle_version == request->version);
    struct status *st = add_reply(core, request->token);

    if (!done) {
        (void)status_set(st, STATUS_CONFLICT,
                         "the pending bundle changed meanwhile; review it and "
                         "sign off its version");
        return;
    }
    (void)status_set(st, STATUS_OK, "signed off; the rollout starts");
}

/* Replies once the request is committed or confirmed, or when it timed out or
 * this replica lost its leadership; true if it replied. */
static bool
finish_request(struct control_core *core, uint64_t now,
               const struct control_request *request)
{
    bool leads = core->cons.role == CONS_LEADER;

    if (request->kind == CONTROL_REQUEST_READ) {
        if (fault_is(FAULT_READ_LOCAL) ||
            (cons_is_ready(&core->cons) && core->cons.term == request->term &&
             core->cons.confirmed_round >= request->round)) {
            (void)add_reply(core, request->token);
            return true;
        }
    }
    else if (core->state.applied >= request->index) {
        switch (request->kind) {
        case CONTROL_REQUEST_SUBMIT:
            reply_submit(core, request);
            return true;
        case CONTROL_REQUEST_SIGN_OFF:
            reply_sign_off(core, request);
            return true;
        case CONTROL_REQUEST_VOTERS:
        case CONTROL_REQUEST_READ:
            reply_status(core, request->token, STATUS_OK, "voters changed");
            return true;
        }
    }
    if (now >= request->deadline || !leads ||
        core->cons.term != request->term) {
        reply_status(
            core, request->token, STATUS_UNCONFIRMED,
            "no quorum confirmed the request in time; retry, a submission "
            "with the same submission id");
        return true;
    }
    return false;
}

static void
finish_requests(struct control_core *core, uint64_t now)
{
    for (guint i = 0; i < core->requests->len;) {
        struct control_request request =
            g_array_index(core->requests, struct control_request, i);

        if (finish_request(core, now, &request)) {
            g_array_remove_index(core->requests, i);
        }
        else {
            i++;
        }
    }
}

/* Applies new commits, runs the leader and completes requests; called after
 * every input. */
static void
update(struct control_core *core, uint64_t now)
{
    control_move_cons_actions(core);
    while (core->state.applied < core->cons.commit_index) {
        apply_entry(core, now, core->state.applied + 1);
    }
    compact(core);
    control_move_cons_actions(core);
    if (core->cons.role == CONS_LEADER) {
        control_run_leader(core, now);
        control_move_cons_actions(core);
    }
    finish_requests(core, now);
}

void
control_core_tick(struct control_core *core, uint64_t now)
{
    bool was_candidate = core->cons.role == CONS_CANDIDATE;

    cons_tick(&core->cons, now);
    if (!was_candidate && core->cons.role == CONS_CANDIDATE) {
        counter_add(core->counters, COUNTER_ELECTIONS, 1);
    }
    update(core, now);
}

void
control_core_receive(struct control_core *core, uint64_t now,
                     const wire_msg *msg)
{
    if (msg->kind == WIRE_REPORT) {
        control_handle_report(core, now, &msg->wire_msg_u.report);
    }
    else if (msg->kind == WIRE_FETCH) {
        control_handle_fetch(core, now, &msg->wire_msg_u.fetch);
    }
    else {
        cons_receive(&core->cons, now, msg);
        for (guint i = 0; i < core->cons.actions->len; i++) {
            if (g_array_index(core->cons.actions, struct cons_action, i)
                    .kind == CONS_RESTORE_SNAPSHOT) {
                control_load_snapshot(core);
                for (size_t j = 0; j < WIRE_EPOCHS_MAX; j++) {
                    core->epoch_ended_at[j] = now;
                }
            }
        }
    }
    update(core, now);
}

/* Adds a request that waits for the log entry `index`. */
static struct control_request *
add_request(struct control_core *core, uint64_t now, uint64_t token,
            enum control_request_kind kind, uint64_t index)
{
    struct control_request request = {.kind = kind,
                                      .token = token,
                                      .index = index,
                                      .term = core->cons.term,
                                      .deadline =
                                          now + CONTROL_REQUEST_TIMEOUT_MS};

    g_array_append_val(core->requests, request);
    return &g_array_index(core->requests, struct control_request,
                          core->requests->len - 1);
}

void
control_core_submit(struct control_core *core, uint64_t now, uint64_t token,
                    const wire_submit *submit)
{
    wire_command command = {.kind = WIRE_CMD_BUNDLE,
                            .wire_command_u.submit = *submit};
    struct control_request *request;
    uint64_t index;

    command.wire_command_u.submit.wall = core->wall;
    index = cons_propose(&core->cons, now, &command);
    if (index == 0) {
        reply_not_leader(core, token);
        return;
    }
    request = add_request(core, now, token, CONTROL_REQUEST_SUBMIT, index);
    g_strlcpy(request->submission, submit->submission,
              sizeof(request->submission));
    update(core, now);
}

void
control_core_sign_off(struct control_core *core, uint64_t now, uint64_t token,
                      const wire_sign_off *sign)
{
    wire_command command = {.kind = WIRE_CMD_SIGN_OFF,
                            .wire_command_u.sign_off = *sign};
    const wire_submit *pending = &core->state.pending;
    uint64_t index;

    if (core->cons.role != CONS_LEADER) {
        reply_not_leader(core, token);
        return;
    }
    if (core->state.has_pending &&
        strcmp(pending->operator_name, sign->operator_name) == 0) {
        reply_status(core, token, STATUS_REFUSED,
                     "the submitter cannot sign off its own bundle; ask "
                     "another operator");
        return;
    }
    index = cons_propose(&core->cons, now, &command);
    add_request(core, now, token, CONTROL_REQUEST_SIGN_OFF, index)->version =
        sign->bundle_version;
    update(core, now);
}

void
control_core_read(struct control_core *core, uint64_t now, uint64_t token)
{
    struct control_request *request;

    if (core->cons.role != CONS_LEADER) {
        if (fault_is(FAULT_READ_LOCAL)) {
            (void)add_reply(core, token);
            return;
        }
        reply_not_leader(core, token);
        return;
    }
    request = add_request(core, now, token, CONTROL_REQUEST_READ, 0);
    request->round = cons_start_round(&core->cons, now);
    update(core, now);
}

void
control_core_change_voters(struct control_core *core, uint64_t now,
                           uint64_t token, uint32_t replica, uint64_t identity)
{
    uint64_t index;

    if (core->cons.role != CONS_LEADER) {
        reply_not_leader(core, token);
        return;
    }
    index = control_propose_voters(core, now, replica, identity);
    if (index == 0) {
        reply_status(core, token, STATUS_REFUSED,
                     "cannot change the voters: another change is not yet "
                     "committed (retry later), or no voter or too many would "
                     "remain");
        return;
    }
    (void)add_request(core, now, token, CONTROL_REQUEST_VOTERS, index);
    update(core, now);
}

const struct control_action *
control_core_actions(struct control_core *core, size_t *count)
{
    *count = core->actions->len;
    return (const struct control_action *)(void *)core->actions->data;
}

void
control_core_clear(struct control_core *core)
{
    for (guint i = 0; i < core->actions->len; i++) {
        struct control_action *action =
            &g_array_index(core->actions, struct control_action, i);

        switch (action->kind) {
        case CONTROL_CONS:
            cons_free_action(&action->cons);
            break;
        case CONTROL_SEND:
            g_byte_array_unref(action->message.bytes);
            break;
        case CONTROL_REPLY:
            break;
        }
    }
    g_array_set_size(core->actions, 0);
}
