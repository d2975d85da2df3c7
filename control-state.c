/* Applies committed commands: bundles, sign-offs, steps, epochs, voters. */
#include "control-state.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "bundle.h"
#include "codec.h"

static void
set_string(char **string, const char *text)
{
    g_free(*string);
    *string = g_strdup(text);
}

static void
clear_pending(wire_control_state *state)
{
    state->has_pending = FALSE;
    state->signed_off = FALSE;
    state->pending.bundle_version = 0;
    set_string(&state->pending.text, "");
    set_string(&state->pending.operator_name, "");
    set_string(&state->pending.submission, "");
    set_string(&state->signed_by, "");
}

/* XDR cannot encode a NULL string, so every string is set. */
void
control_state_open(wire_control_state *state)
{
    memset(state, 0, sizeof(*state));
    set_string(&state->text, "");
    set_string(&state->prev_text, "");
    clear_pending(state);
}

void
control_state_close(wire_control_state *state)
{
    codec_free_state(state);
}

const wire_submission *
control_state_find_outcome(const wire_control_state *state,
                           const char *submission)
{
    for (u_int i = 0; i < state->submissions.submissions_len; i++) {
        const wire_submission *s = &state->submissions.submissions_val[i];

        if (strcmp(s->submission, submission) == 0) {
            return s;
        }
    }
    return NULL;
}

/* Appends an outcome, dropping the oldest beyond WIRE_OUTCOMES_MAX. */
static void
add_outcome(wire_control_state *state, const wire_submit *submit,
            enum status_kind result, const char *message)
{
    u_int count = state->submissions.submissions_len;
    wire_submission *all = state->submissions.submissions_val;
    wire_submission *outcome;

    if (count == WIRE_OUTCOMES_MAX) {
        g_free(all[0].submission);
        g_free(all[0].operator_name);
        g_free(all[0].message);
        memmove(all, all + 1, (count - 1) * sizeof(*all));
        count--;
    }
    all = g_renew(wire_submission, all, count + 1);
    outcome = &all[count];
    memset(outcome, 0, sizeof(*outcome));
    outcome->submission = g_strdup(submit->submission);
    outcome->operator_name = g_strdup(submit->operator_name);
    outcome->bundle_version = submit->bundle_version;
    memcpy(outcome->digest, submit->digest, sizeof(outcome->digest));
    outcome->result = result;
    outcome->message = g_strdup(message);
    state->submissions.submissions_val = all;
    state->submissions.submissions_len = count + 1;
}

/* Ignores sign-offs by the submitter and of any bundle but the pending one. */
static void
apply_sign_off(wire_control_state *state, const wire_sign_off *sign)
{
    const wire_submit *pending = &state->pending;

    if (!state->has_pending || state->signed_off ||
        pending->bundle_version != sign->bundle_version ||
        memcmp(pending->digest, sign->digest, sizeof(pending->digest)) != 0 ||
        strcmp(pending->operator_name, sign->operator_name) == 0) {
        return;
    }
    state->signed_off = TRUE;
    set_string(&state->signed_by, sign->operator_name);
}

static bool
has_endpoint(const struct bundle_endpoint *list, size_t count,
             const struct bundle_endpoint *one)
{
    for (size_t i = 0; i < count; i++) {
        if (list[i].address == one->address && list[i].port == one->port &&
            list[i].service == one->service) {
            return true;
        }
    }
    return false;
}

static void
drop_expired_cooldowns(wire_control_state *state, uint64_t wall)
{
    wire_resting *all = state->resting.resting_val;
    u_int count = 0;

    for (u_int i = 0; i < state->resting.resting_len; i++) {
        if (wall < all[i].since + CONTROL_COOLDOWN_MS) {
            all[count++] = all[i];
        }
    }
    state->resting.resting_len = count;
}

static void
add_cooldown(wire_control_state *state, const struct bundle_endpoint *endpoint,
             uint64_t wall)
{
    u_int count = state->resting.resting_len;

    state->resting.resting_val =
        g_renew(wire_resting, state->resting.resting_val, count + 1);
    state->resting.resting_val[count] =
        (wire_resting){.address = endpoint->address,
                       .port = endpoint->port,
                       .service = endpoint->service,
                       .since = wall};
    state->resting.resting_len = count + 1;
}

/* Starts the cooldown of endpoints that the pending bundle drops. */
static void
start_cooldowns(wire_control_state *state, uint64_t wall)
{
    struct bundle before;
    struct bundle after;
    struct status st;
    struct bundle_endpoint *old;
    struct bundle_endpoint *new;
    size_t old_count;
    size_t new_count;

    drop_expired_cooldowns(state, wall);
    if (bundle_read("before", state->text, strlen(state->text), &before,
                    &st) != STATUS_OK) {
        return;
    }
    if (bundle_read("after", state->pending.text, strlen(state->pending.text),
                    &after, &st) != STATUS_OK) {
        bundle_free(&before);
        return;
    }
    old = bundle_endpoints(&before, &old_count);
    new = bundle_endpoints(&after, &new_count);
    for (size_t i = 0; i < old_count; i++) {
        if (!has_endpoint(new, new_count, &old[i])) {
            add_cooldown(state, &old[i], wall);
        }
    }
    g_free(old);
    g_free(new);
    bundle_free(&before);
    bundle_free(&after);
}

/* Refuses an endpoint in cooldown after its use by another service. */
static enum status_kind
check_cooldowns(const wire_control_state *state, uint64_t wall,
                const struct bundle *next, struct status *st)
{
    size_t count;
    struct bundle_endpoint *list = bundle_endpoints(next, &count);

    for (u_int i = 0; i < state->resting.resting_len; i++) {
        const wire_resting *r = &state->resting.resting_val[i];
        uint64_t until = r->since + CONTROL_COOLDOWN_MS;
        char text[ADDRESS_TEXT];
        uint64_t minutes = wall < until ? 1 + (until - wall) / 60000 : 0;

        for (size_t j = 0; j < count && minutes > 0; j++) {
            if (list[j].address == r->address && list[j].port == r->port &&
                list[j].service != r->service) {
                (void)status_set(
                    st, STATUS_REFUSED,
                    "%s left another service and still rests; "
                    "submit this again in %llu minutes",
                    address_format(r->address, (uint16_t)r->port, text),
                    (unsigned long long)minutes);
            }
        }
    }
    g_free(list);
    return st->kind;
}

enum status_kind
control_state_check_bundle(const wire_control_state *state, uint64_t wall,
                           const struct bundle *next, struct status *st)
{
    struct bundle base;

    st->kind = STATUS_OK;
    if (state->current == 0 ||
        bundle_read("base", state->text, strlen(state->text), &base, st) !=
            STATUS_OK) {
        return st->kind;
    }
    (void)bundle_check_successor(&base, next, st);
    bundle_free(&base);
    if (st->kind != STATUS_OK) {
        return st->kind;
    }
    return check_cooldowns(state, wall, next, st);
}

/* Repeats the checks when the submission is applied, as the current bundle may
 * have changed since the leader received it. */
static enum status_kind
check_bundle(const wire_control_state *state, const wire_submit *submit,
             char *message, size_t size)
{
    struct bundle next;
    struct status st;

    if (bundle_read("submission", submit->text, strlen(submit->text), &next,
                    &st) != STATUS_OK) {
        (void)snprintf(message, size, "%s", st.message);
        return st.kind;
    }
    (void)control_state_check_bundle(state, submit->wall, &next, &st);
    bundle_free(&next);
    if (st.kind != STATUS_OK) {
        (void)snprintf(message, size, "%s; use another --submission then",
                       st.message);
        return st.kind;
    }
    (void)snprintf(message, size, "accepted; waits for sign-off");
    return STATUS_OK;
}

/* Compare-and-set on version and base, then the checks of the bundle. The
 * messages are part of the replicated state. */
static enum status_kind
check_submit(const wire_control_state *state, const wire_submit *submit,
             char *message, size_t size)
{
    const wire_submit *pending = &state->pending;

    if (state->has_pending &&
        submit->bundle_version <= pending->bundle_version) {
        (void)snprintf(message, size,
                       "version %llu was accepted from %s as submission %s; "
                       "look at it, then submit a higher version",
                       (unsigned long long)pending->bundle_version,
                       pending->operator_name, pending->submission);
        return STATUS_CONFLICT;
    }
    if (submit->bundle_version <= state->current) {
        (void)snprintf(message, size,
                       "version %llu is already rolled out; submit a higher "
                       "version made from it",
                       (unsigned long long)state->current);
        return STATUS_CONFLICT;
    }
    if (state->has_pending && state->signed_off) {
        (void)snprintf(message, size,
                       "version %llu is signed off and waits for its "
                       "roll-out; submit one made from it in some seconds",
                       (unsigned long long)pending->bundle_version);
        return STATUS_REFUSED;
    }
    if (submit->base != state->current) {
        (void)snprintf(message, size,
                       "base %llu is not the version in force, %llu; make "
                       "the bundle from that one",
                       (unsigned long long)submit->base,
                       (unsigned long long)state->current);
        return STATUS_CONFLICT;
    }
    return check_bundle(state, submit, message, size);
}

/* Idempotent by submission id. */
static void
apply_submit(wire_control_state *state, const wire_submit *submit)
{
    char message[256];
    enum status_kind result;

    if (control_state_find_outcome(state, submit->submission) != NULL) {
        return;
    }
    result = check_submit(state, submit, message, sizeof(message));
    add_outcome(state, submit, result, message);
    if (result != STATUS_OK) {
        return;
    }
    clear_pending(state);
    state->has_pending = TRUE;
    state->pending.bundle_version = submit->bundle_version;
    state->pending.base = submit->base;
    memcpy(state->pending.digest, submit->digest, sizeof(submit->digest));
    set_string(&state->pending.operator_name, submit->operator_name);
    set_string(&state->pending.submission, submit->submission);
    set_string(&state->pending.text, submit->text);
}

/* Drops the epochs before the first bundle; without a bundle no request ran,
 * so they hold no claims. */
static void
drop_ended_epochs(wire_control_state *state)
{
    for (u_int i = 1; i < state->epochs.epochs_len; i++) {
        codec_free_epoch(&state->epochs.epochs_val[i]);
    }
    state->epochs.epochs_len = MIN(state->epochs.epochs_len, 1);
}

static void
start_rollout(wire_control_state *state, uint64_t wall)
{
    start_cooldowns(state, wall);
    if (state->current == 0) {
        drop_ended_epochs(state);
    }
    state->prev_version = state->current;
    g_free(state->prev_text);
    state->prev_text = state->text;
    state->text = g_strdup(state->pending.text);
    state->current = state->pending.bundle_version;
    state->step = 1;
    clear_pending(state);
}

static void
apply_step(wire_control_state *state, const wire_rollout *rollout)
{
    if (rollout->bundle_version == state->current) {
        state->step = MAX(state->step, rollout->step);
        return;
    }
    if (state->has_pending && state->signed_off &&
        rollout->bundle_version == state->pending.bundle_version) {
        start_rollout(state, rollout->wall);
    }
}

/* Ignores an epoch that is not the successor of the current one. */
static void
apply_epoch(wire_control_state *state, const wire_epoch *epoch)
{
    u_int count = state->epochs.epochs_len;
    wire_epoch *all = state->epochs.epochs_val;
    uint64_t last = count ? all[0].number : 0;

    if (epoch->number != last + 1) {
        return;
    }
    if (count == WIRE_EPOCHS_MAX) {
        codec_free_epoch(&all[count - 1]);
        count--;
    }
    all = g_renew(wire_epoch, all, count + 1);
    memmove(all + 1, all, count * sizeof(*all));
    codec_copy_epoch(epoch, &all[0]);
    state->epochs.epochs_val = all;
    state->epochs.epochs_len = count + 1;
}

/* Records the identity that the change retires; cons.c applies the voters. */
static void
apply_config(wire_control_state *state, const wire_config *config)
{
    u_int count = state->retired.retired_len;

    if (config->retired == 0 || count == WIRE_RETIRED_MAX) {
        return;
    }
    state->retired.retired_val =
        g_renew(u_quad_t, state->retired.retired_val, count + 1);
    state->retired.retired_val[count] = config->retired;
    state->retired.retired_len = count + 1;
}

void
control_state_apply(wire_control_state *state, uint64_t index,
                    const wire_command *command)
{
    state->applied = index;
    switch (command->kind) {
    case WIRE_CMD_NOOP:
    case WIRE_CMD_ROUTES: /* registration deployments only */
    case WIRE_CMD_HALL:
    case WIRE_CMD_STATE:
        return;
    case WIRE_CMD_BUNDLE:
        apply_submit(state, &command->wire_command_u.submit);
        return;
    case WIRE_CMD_SIGN_OFF:
        apply_sign_off(state, &command->wire_command_u.sign_off);
        return;
    case WIRE_CMD_STEP:
        apply_step(state, &command->wire_command_u.rollout);
        return;
    case WIRE_CMD_EPOCH:
        apply_epoch(state, &command->wire_command_u.epoch);
        return;
    case WIRE_CMD_CONFIG:
        apply_config(state, &command->wire_command_u.config);
        return;
    }
}

const wire_epoch *
control_state_epoch(const wire_control_state *state)
{
    return state->epochs.epochs_len ? &state->epochs.epochs_val[0] : NULL;
}

bool
control_state_is_retired(const wire_control_state *state, uint64_t identity)
{
    for (u_int i = 0; i < state->retired.retired_len; i++) {
        if (state->retired.retired_val[i] == identity) {
            return true;
        }
    }
    return false;
}
