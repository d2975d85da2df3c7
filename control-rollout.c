/*
 * Proposals of the leader: the next rollout step once every member confirmed
 * the last one, a new epoch when entries join or leave, and a new identity
 * for a replica that lost its disk and has caught up.
 */
#include <stdio.h>
#include <string.h>

#include "control-internal.h"
#include "fault.h"
#include "flow.h"

#define FIRST_EPOCH_DELAY_MS 1500U /* after an election */

/* True while the last proposed STEP or EPOCH is not applied. */
static bool
is_proposing(const struct control_core *core)
{
    return core->proposed_term == core->cons.term &&
           core->proposed_index > core->state.applied;
}

/* Proposes a command, one at a time. */
static void
propose(struct control_core *core, uint64_t now, wire_command *command)
{
    uint64_t index;

    if (is_proposing(core)) {
        return;
    }
    index = cons_propose(&core->cons, now, command);
    if (index != 0) {
        core->proposed_index = index;
        core->proposed_term = core->cons.term;
    }
}

/* True if an entry reported the current epoch and at least `step` of the
 * current bundle. An entry in an older epoch may not have pushed all its
 * flow records. */
static bool
has_confirmed(const struct control_core *core, uint64_t id, uint32_t step)
{
    const struct control_entry *entry = control_find_entry(core, id);

    return entry != NULL &&
           entry->epoch >= control_state_epoch(&core->state)->number &&
           (entry->version > core->state.current ||
            (entry->version == core->state.current && entry->step >= step));
}

/* True if every member confirmed `step`; `missing` lists the others. */
static bool
all_confirmed(const struct control_core *core, uint32_t step, char *missing,
              size_t size)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);
    size_t used = 0;
    bool all = epoch != NULL && epoch->members.members_len > 0;

    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        const wire_member *member = &epoch->members.members_val[i];
        int n = 0;

        if (has_confirmed(core, member->id, step)) {
            continue;
        }
        all = false;
        if (missing != NULL && used < size) {
            n = snprintf(missing + used, size - used, "%s%s", used ? "," : "",
                         member->name);
            used += n > 0 ? (size_t)n : 0;
        }
    }
    return all;
}

bool
control_core_in_force(const struct control_core *core, char *missing,
                      size_t size)
{
    if (size > 0) {
        missing[0] = '\0';
    }
    return core->state.current > 0 && core->state.step >= FLOW_STEP_MOVE &&
           all_confirmed(core, FLOW_STEP_MOVE, missing, size);
}

/* Returns the step to propose, FLOW_STEP_NONE if the rollout has to wait. */
static enum flow_step
next_step(const struct control_core *core, uint64_t now)
{
    uint32_t step = core->state.step;

    if (!fault_is(FAULT_NO_BARRIER) && !all_confirmed(core, step, NULL, 0)) {
        return FLOW_STEP_NONE;
    }
    switch (step) {
    case FLOW_STEP_ANNOUNCE:
        return FLOW_STEP_MOVE;
    case FLOW_STEP_MOVE:
        if (now < core->evicted_at + CONTROL_EVICTION_DELAY_MS) {
            return FLOW_STEP_NONE;
        }
        if (all_confirmed(core, FLOW_STEP_LEARNED, NULL, 0) ||
            now >= core->step_reached_at + CONTROL_LEARN_TIMEOUT_MS) {
            return FLOW_STEP_FLIP;
        }
        return FLOW_STEP_NONE;
    case FLOW_STEP_FLIP:
        return FLOW_STEP_SETTLED;
    default:
        return FLOW_STEP_NONE;
    }
}

/* Proposes the next step, or starts the rollout of the pending bundle. */
static void
propose_rollout(struct control_core *core, uint64_t now)
{
    wire_command command = {.kind = WIRE_CMD_STEP};
    wire_rollout *rollout = &command.wire_command_u.rollout;
    const wire_control_state *state = &core->state;

    rollout->wall = core->wall;
    if (state->has_pending && state->signed_off &&
        (state->current == 0 ||
         (state->step == FLOW_STEP_SETTLED &&
          all_confirmed(core, FLOW_STEP_SETTLED, NULL, 0)))) {
        rollout->bundle_version = state->pending.bundle_version;
        rollout->step = FLOW_STEP_ANNOUNCE;
        propose(core, now, &command);
        return;
    }
    rollout->bundle_version = state->current;
    rollout->step = state->current ? next_step(core, now) : FLOW_STEP_NONE;
    if (rollout->step != FLOW_STEP_NONE) {
        propose(core, now, &command);
    }
}

/* True if a member stopped, or if it is silent or lags and its last lease has
 * certainly ended. */
static bool
must_evict(const struct control_core *core, uint64_t now,
           const wire_member *member)
{
    const struct control_entry *entry = control_find_entry(core, member->id);
    uint64_t last_seen_at =
        entry ? entry->last_seen_at : core->cons.elected_at;
    uint64_t lease = entry ? entry->lease_until : 0;
    bool lagging = entry != NULL && entry->lagging_since != 0 &&
                   now >= entry->lagging_since + CONTROL_LAG_TIMEOUT_MS;

    if (entry != NULL && entry->stopped) {
        return true;
    }
    if (fault_is(FAULT_EVICT_EARLY)) {
        return now >= last_seen_at + CONTROL_MEMBER_TIMEOUT_MS / 4;
    }
    /* An earlier leader may have granted a lease until its own end. */
    lease = MAX(lease, core->cons.elected_at + CONTROL_LEASE_MS);
    return (lagging || now >= last_seen_at + CONTROL_MEMBER_TIMEOUT_MS) &&
           now >= lease + CONTROL_LEASE_MS / 6;
}

/* Lists the next epoch's members and those evicted; true on a change. */
static bool
next_members(struct control_core *core, uint64_t now, GArray *out,
             GArray *evicting)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);
    bool changed = epoch == NULL;

    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        wire_member member = epoch->members.members_val[i];
        const struct control_entry *entry =
            control_find_entry(core, member.id);

        if (must_evict(core, now, &member)) {
            core->evicted_at =
                entry != NULL && entry->stopped ? core->evicted_at : now;
            g_array_append_val(evicting, member.id);
            changed = true;
            continue;
        }
        if (entry != NULL && entry->self.stopping != member.stopping) {
            member.stopping = entry->self.stopping;
            changed = true;
        }
        g_array_append_val(out, member);
    }
    for (guint i = 0; i < core->entries->len; i++) {
        const struct control_entry *entry =
            g_ptr_array_index(core->entries, i);
        bool is_member = false;

        for (u_int j = 0; epoch != NULL && j < epoch->members.members_len;
             j++) {
            is_member |= epoch->members.members_val[j].id == entry->self.id;
        }
        if (!is_member && now < entry->last_seen_at + CONTROL_LEASE_MS / 2 &&
            !entry->self.stopping && out->len < WIRE_MEMBERS_MAX &&
            entry->lagging_since == 0 && !entry->stopped) {
            g_array_append_val(out, entry->self);
            changed = true;
        }
    }
    return changed && (epoch != NULL || out->len > 0);
}

/* Frees entries without a report for 20 member timeouts. */
static void
remove_silent(struct control_core *core, uint64_t now)
{
    for (guint i = core->entries->len; i > 0; i--) {
        struct control_entry *entry = g_ptr_array_index(core->entries, i - 1);

        if (now > entry->last_seen_at + 20ULL * CONTROL_MEMBER_TIMEOUT_MS) {
            g_free(entry->self.name);
            g_free(entry->self.hall);
            g_free(entry);
            g_ptr_array_remove_index_fast(core->entries, i - 1);
        }
    }
}

static void
propose_epoch(struct control_core *core, uint64_t now)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);
    wire_command command = {.kind = WIRE_CMD_EPOCH};
    GArray *members = g_array_new(FALSE, FALSE, sizeof(wire_member));
    GArray *evicting = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    /* Let entries that start together join the same first epoch. */
    if (epoch == NULL && now < core->cons.elected_at + FIRST_EPOCH_DELAY_MS) {
        g_array_free(evicting, TRUE);
        g_array_free(members, TRUE);
        return;
    }
    if (!is_proposing(core) && next_members(core, now, members, evicting)) {
        wire_epoch *next = &command.wire_command_u.epoch;

        next->number = epoch ? epoch->number + 1 : 1;
        next->members.members_len = members->len;
        next->members.members_val = (wire_member *)(void *)members->data;
        g_array_set_size(core->evicting, 0);
        g_array_append_vals(core->evicting, evicting->data, evicting->len);
        propose(core, now, &command);
    }
    g_array_free(evicting, TRUE);
    g_array_free(members, TRUE);
}

/* Proposes to set a replica's identity, or with 0 to remove the replica;
 * returns the log index, 0 if not possible. The old identity is retired. */
uint64_t
control_propose_voters(struct control_core *core, uint64_t now,
                       uint32_t replica, uint64_t identity)
{
    const wire_config *config = cons_config(&core->cons);
    wire_voter voters[WIRE_VOTERS_MAX + 1];
    wire_command command = {.kind = WIRE_CMD_CONFIG};
    wire_config *next = &command.wire_command_u.config;
    u_int count = 0;

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        if (config->voters.voters_val[i].replica != replica) {
            voters[count++] = config->voters.voters_val[i];
        }
        else {
            next->retired = config->voters.voters_val[i].identity;
        }
    }
    if (identity != 0) {
        voters[count].replica = replica;
        voters[count++].identity = identity;
    }
    if (count == 0 || count > WIRE_VOTERS_MAX) {
        return 0;
    }
    next->voters.voters_len = count;
    next->voters.voters_val = voters;
    return cons_propose(&core->cons, now, &command);
}

/* Replaces the identity of a voter that lost its disk once the replica has
 * caught up. */
static void
propose_replaced_voters(struct control_core *core, uint64_t now)
{
    for (size_t i = 0; i < core->cons.replica_count; i++) {
        const struct cons_peer *peer = &core->cons.peers[i];
        uint32_t replica = core->cons.replicas[i];
        const wire_config *config = cons_config(&core->cons);
        bool has_voter = false;

        for (u_int j = 0; j < config->voters.voters_len; j++) {
            has_voter |= config->voters.voters_val[j].replica == replica;
        }
        if (!has_voter || replica == core->cons.self || peer->identity == 0 ||
            now > peer->last_reply_at + CONS_ELECTION_TIMEOUT_MS ||
            peer->match_index < core->cons.commit_index ||
            cons_is_voter(&core->cons, replica, peer->identity) ||
            control_state_is_retired(&core->state, peer->identity)) {
            continue;
        }
        if (control_propose_voters(core, now, replica, peer->identity) != 0) {
            return;
        }
    }
}

/* Measures the time from sign-off until in force. */
static void
update_in_force_ms(struct control_core *core, uint64_t now)
{
    if (core->signed_off_at != 0 && !core->state.signed_off &&
        control_core_in_force(core, NULL, 0)) {
        core->in_force_ms = now - core->signed_off_at;
        core->signed_off_at = 0;
    }
}

/* Proposes and grants; a new term starts without entries, as only their
 * reports to this leader count. */
void
control_run_leader(struct control_core *core, uint64_t now)
{
    if (core->entries_term != core->cons.term) {
        core->entries_term = core->cons.term;
        core->step_reached_at = now;
        control_clear_entries(core);
    }
    if (!cons_is_ready(&core->cons)) {
        return;
    }
    control_grant_leases(core);
    propose_epoch(core, now);
    propose_rollout(core, now);
    propose_replaced_voters(core, now);
    update_in_force_ms(core, now);
    remove_silent(core, now);
}
