/*
 * One control replica: applies what is committed, answers operators, and
 * hands entries' messages to control-entries.c.
 */
#include "control-core.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "fault.h"
#include "control-internal.h"

/* Adds an action. */
static struct control_action *
act(struct control_core *core, enum control_action_kind kind)
{
    struct control_action action = {.kind = kind};

    g_array_append_val(core->actions, action);
    return &g_array_index(core->actions, struct control_action,
                          core->actions->len - 1);
}

/* Moves the actions of consensus over, in order. */
void
control_take_cons(struct control_core *core)
{
    for (guint i = 0; i < core->cons.actions->len; i++) {
        struct control_action *action = act(core, CONTROL_CONS);

        action->cons =
            g_array_index(core->cons.actions, struct cons_action, i);
    }
    g_array_set_size(core->cons.actions, 0);
}

/* Adds a message to an entry. */
wire_msg *
control_send(struct control_core *core, const wire_member *member)
{
    struct control_action *action = act(core, CONTROL_SEND);

    action->member = *member;
    return &action->msg;
}

/* Answers an operator. */
static struct status *
reply(struct control_core *core, uint64_t token)
{
    struct control_action *action = act(core, CONTROL_REPLY);

    action->token = token;
    action->status.kind = STATUS_OK;
    return &action->status;
}

/* Answers an operator at once with a kind and message. */
static void
refuse(struct control_core *core, uint64_t token, enum status_kind kind,
       const char *message)
{
    (void)status_set(reply(core, token), kind, "%s", message);
}

/* Answers that this replica does not lead. */
static void
refuse_leaderless(struct control_core *core, uint64_t token)
{
    (void)status_set(reply(core, token), STATUS_NO_ANSWER,
                     "replica %u does not lead (leader %u); ask another "
                     "control VM",
                     core->cons.self, core->cons.leader);
}

/* Starts a replica. */
void
control_core_open(struct control_core *core, uint64_t now, uint32_t self,
                  uint64_t identity, const uint32_t *replicas, size_t count,
                  const wire_config *founders, uint64_t seed,
                  struct cons_stored *stored, struct counters *counters)
{
    memset(core, 0, sizeof(*core));
    cons_open(&core->cons, now, self, identity, replicas, count, founders,
              seed, stored);
    core->entries = g_ptr_array_new();
    core->waits = g_array_new(FALSE, FALSE, sizeof(struct control_wait));
    core->actions = g_array_new(FALSE, FALSE, sizeof(struct control_action));
    core->dropping = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    core->counters = counters;
    control_state_open(&core->state);
    if (core->cons.snapshot.index > 0) {
        control_load_snapshot(core);
    }
    /* What ended before this start ended at least now. */
    for (size_t i = 0; i < WIRE_EPOCHS_MAX; i++) {
        core->epoch_ended[i] = now;
    }
}

/* Takes the state that a snapshot holds. */
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

/* Frees a replica. */
void
control_core_close(struct control_core *core)
{
    control_forget_entries(core);
    control_core_clear(core);
    g_ptr_array_free(core->entries, TRUE);
    g_array_free(core->waits, TRUE);
    g_array_free(core->dropping, TRUE);
    g_array_free(core->actions, TRUE);
    control_state_close(&core->state);
    cons_close(&core->cons);
}

/* Notes when the step in force was reached, for deadlines that follow it. */
static void
note_step(struct control_core *core, uint64_t now)
{
    uint64_t seen = core->state.current * 8 + core->state.step;

    if (core->state.signed_off && core->signed_at == 0) {
        core->signed_at = now;
    }
    if (seen != core->step_seen) {
        core->step_seen = seen;
        core->step_at = now;
        control_announce(core);
    }
}

/* Notes when an epoch ended. [0] is the one in force. */
static void
note_epoch(struct control_core *core, uint64_t now)
{
    memmove(core->epoch_ended + 1, core->epoch_ended,
            sizeof(core->epoch_ended) - sizeof(core->epoch_ended[0]));
    core->epoch_ended[0] = now;
    core->epoch_ended[1] = now;
}

/* Applies one committed entry. */
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
        note_epoch(core, now);
        control_announce(core);
    }
    note_step(core, now);
}

/* Says whether entries of the log wait to be stored. */
static bool
is_saving(const struct control_core *core)
{
    for (guint i = 0; i < core->actions->len; i++) {
        const struct control_action *action =
            &g_array_index(core->actions, struct control_action, i);

        if (action->kind == CONTROL_CONS &&
            action->cons.kind == CONS_SAVE_ENTRIES) {
            return true;
        }
    }
    return false;
}

/* Replaces a long log by a snapshot of the state, unless an entry waits to be
 * stored: it may be committed already, and the snapshot would take it out of
 * the log. */
static void
compact(struct control_core *core)
{
    uint64_t first = core->cons.snapshot.index;
    GByteArray *bytes;
    GBytes *state;

    if (core->state.applied < first + CONTROL_COMPACT || is_saving(core)) {
        return;
    }
    bytes = codec_encode_state(&core->state);
    state = g_byte_array_free_to_bytes(bytes);
    cons_compact(&core->cons, core->state.applied, state);
    g_bytes_unref(state);
}

/* Answers what an outcome of the state settles. */
static void
answer_submit(struct control_core *core, const struct control_wait *wait)
{
    const wire_submission *found =
        control_state_find(&core->state, wait->submission);
    struct status *st = reply(core, wait->token);

    if (found == NULL) {
        (void)status_set(st, STATUS_UNCONFIRMED,
                         "another leader took over; submit again with the "
                         "same submission id");
        return;
    }
    (void)status_set(st, found->result, "%s", found->message);
}

/* Answers a sign-off. */
static void
answer_sign_off(struct control_core *core, const struct control_wait *wait)
{
    const wire_control_state *state = &core->state;
    bool done = state->current >= wait->version ||
                (state->has_pending && state->signed_off &&
                 state->pending.bundle_version == wait->version);
    struct status *st = reply(core, wait->token);

    if (!done) {
        (void)status_set(st, STATUS_CONFLICT,
                         "the accepted bundle changed meanwhile; look at it "
                         "and sign that one off");
        return;
    }
    (void)status_set(st, STATUS_OK, "signed off; the roll-out begins");
}

/* Says whether a wait is over, and answers it. */
static bool
settle_wait(struct control_core *core, uint64_t now,
            const struct control_wait *wait)
{
    bool leads = core->cons.role == CONS_LEADER;

    if (wait->kind == CONTROL_WAIT_READ) {
        if (fault_is(FAULT_READ_LOCAL) ||
            (cons_is_ready(&core->cons) && core->cons.term == wait->term &&
             core->cons.confirmed >= wait->round)) {
            (void)reply(core, wait->token);
            return true;
        }
    }
    else if (core->state.applied >= wait->index) {
        switch (wait->kind) {
        case CONTROL_WAIT_SUBMIT:
            answer_submit(core, wait);
            return true;
        case CONTROL_WAIT_SIGN_OFF:
            answer_sign_off(core, wait);
            return true;
        case CONTROL_WAIT_VOTERS:
        case CONTROL_WAIT_READ:
            refuse(core, wait->token, STATUS_OK, "the voters are changed");
            return true;
        }
    }
    if (now >= wait->deadline || !leads || core->cons.term != wait->term) {
        refuse(core, wait->token, STATUS_UNCONFIRMED,
               "no quorum confirmed it in time; ask again, with the same "
               "submission id if it was a submission");
        return true;
    }
    return false;
}

/* Answers the waits that are over. */
static void
settle_waits(struct control_core *core, uint64_t now)
{
    for (guint i = 0; i < core->waits->len;) {
        struct control_wait wait =
            g_array_index(core->waits, struct control_wait, i);

        if (settle_wait(core, now, &wait)) {
            g_array_remove_index(core->waits, i);
        }
        else {
            i++;
        }
    }
}

/* Does all that follows from a change of consensus. */
static void
settle(struct control_core *core, uint64_t now)
{
    control_take_cons(core);
    while (core->state.applied < core->cons.commit) {
        apply_entry(core, now, core->state.applied + 1);
    }
    compact(core);
    control_take_cons(core);
    if (core->cons.role == CONS_LEADER) {
        control_lead(core, now);
        control_take_cons(core);
    }
    settle_waits(core, now);
}

/* Lets time pass. */
void
control_core_tick(struct control_core *core, uint64_t now)
{
    bool was_candidate = core->cons.role == CONS_CANDIDATE;

    cons_tick(&core->cons, now);
    if (!was_candidate && core->cons.role == CONS_CANDIDATE) {
        counter_add(core->counters, COUNTER_ELECTIONS, 1);
    }
    settle(core, now);
}

/* Takes a message. */
void
control_core_receive(struct control_core *core, uint64_t now,
                     const wire_msg *msg)
{
    if (msg->kind == WIRE_REPORT) {
        control_take_report(core, now, &msg->wire_msg_u.report);
    }
    else if (msg->kind == WIRE_FETCH) {
        control_take_fetch(core, now, &msg->wire_msg_u.fetch);
    }
    else {
        cons_receive(&core->cons, now, msg);
        for (guint i = 0; i < core->cons.actions->len; i++) {
            if (g_array_index(core->cons.actions, struct cons_action, i)
                    .kind == CONS_LOAD) {
                control_load_snapshot(core);
                for (size_t j = 0; j < WIRE_EPOCHS_MAX; j++) {
                    core->epoch_ended[j] = now;
                }
            }
        }
    }
    settle(core, now);
}

/* Notes that an operator waits for an entry of the log. */
static struct control_wait *
wait_for(struct control_core *core, uint64_t now, uint64_t token,
         enum control_wait_kind kind, uint64_t index)
{
    struct control_wait wait = {.kind = kind,
                                .token = token,
                                .index = index,
                                .term = core->cons.term,
                                .deadline = now + CONTROL_ANSWER_MS};

    g_array_append_val(core->waits, wait);
    return &g_array_index(core->waits, struct control_wait,
                          core->waits->len - 1);
}

/* Takes a submission. */
void
control_core_submit(struct control_core *core, uint64_t now, uint64_t token,
                    const wire_submit *submit)
{
    wire_command command = {.kind = WIRE_CMD_BUNDLE,
                            .wire_command_u.submit = *submit};
    struct control_wait *wait;
    uint64_t index;

    command.wire_command_u.submit.wall = core->wall;
    index = cons_propose(&core->cons, now, &command);
    if (index == 0) {
        refuse_leaderless(core, token);
        return;
    }
    wait = wait_for(core, now, token, CONTROL_WAIT_SUBMIT, index);
    g_strlcpy(wait->submission, submit->submission, sizeof(wait->submission));
    settle(core, now);
}

/* Takes a sign-off. */
void
control_core_sign_off(struct control_core *core, uint64_t now, uint64_t token,
                      const wire_sign_off *sign)
{
    wire_command command = {.kind = WIRE_CMD_SIGN_OFF,
                            .wire_command_u.sign_off = *sign};
    const wire_submit *held = &core->state.pending;
    uint64_t index;

    if (core->cons.role != CONS_LEADER) {
        refuse_leaderless(core, token);
        return;
    }
    if (core->state.has_pending &&
        strcmp(held->operator_name, sign->operator_name) == 0) {
        refuse(core, token, STATUS_REFUSED,
               "the submitter cannot sign off; ask another operator");
        return;
    }
    index = cons_propose(&core->cons, now, &command);
    wait_for(core, now, token, CONTROL_WAIT_SIGN_OFF, index)->version =
        sign->bundle_version;
    settle(core, now);
}

/* Takes a question; it is answered once a quorum confirms the leader. */
void
control_core_read(struct control_core *core, uint64_t now, uint64_t token)
{
    struct control_wait *wait;

    if (core->cons.role != CONS_LEADER) {
        if (fault_is(FAULT_READ_LOCAL)) {
            (void)reply(core, token);
            return;
        }
        refuse_leaderless(core, token);
        return;
    }
    wait = wait_for(core, now, token, CONTROL_WAIT_READ, 0);
    wait->round = cons_begin_round(&core->cons, now);
    settle(core, now);
}

/* Takes a change of voters by an operator. */
void
control_core_voters(struct control_core *core, uint64_t now, uint64_t token,
                    uint32_t replica, uint64_t identity)
{
    uint64_t index;

    if (core->cons.role != CONS_LEADER) {
        refuse_leaderless(core, token);
        return;
    }
    index = control_change_voters(core, now, replica, identity);
    if (index == 0) {
        refuse(core, token, STATUS_REFUSED,
               "the voters cannot change now: another change is not yet "
               "committed, or the replica has not caught up; try again");
        return;
    }
    (void)wait_for(core, now, token, CONTROL_WAIT_VOTERS, index);
    settle(core, now);
}

/* Gives the actions. */
const struct control_action *
control_core_actions(struct control_core *core, size_t *count)
{
    *count = core->actions->len;
    return (const struct control_action *)(void *)core->actions->data;
}

/* Forgets the actions. */
void
control_core_clear(struct control_core *core)
{
    for (guint i = 0; i < core->actions->len; i++) {
        struct control_action *action =
            &g_array_index(core->actions, struct control_action, i);

        if (action->kind == CONTROL_CONS) {
            g_array_append_val(core->cons.actions, action->cons);
        }
    }
    cons_clear_actions(&core->cons);
    g_array_set_size(core->actions, 0);
}
