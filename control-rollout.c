/*
 * What a leader proposes on its own: steps of a roll-out once every live
 * entry confirmed the one before, epochs when entries come and go, and new
 * identities of replicas that lost their disk and have caught up.
 */
#include <stdio.h>
#include <string.h>

#include "control-internal.h"
#include "fault.h"
#include "flow.h"

#define FIRST_EPOCH_MS 1500U /* after the election of the first leader */

/* Says whether the last command proposed here is still on its way. */
static bool
is_proposing(const struct control_core *core)
{
    return core->proposed_term == core->cons.term &&
           core->proposed > core->state.applied;
}

/* Proposes a command unless the last one is still on its way. */
static void
propose(struct control_core *core, uint64_t now, wire_command *command)
{
    uint64_t index;

    if (is_proposing(core)) {
        return;
    }
    index = cons_propose(&core->cons, now, command);
    if (index != 0) {
        core->proposed = index;
        core->proposed_term = core->cons.term;
    }
}

/* Says whether an entry has confirmed a step of the bundle in force. An
 * entry that does not know the epoch may not have pushed what it must. */
static bool
has_confirmed(const struct control_core *core, uint64_t id, uint32_t step)
{
    const struct control_entry *entry = control_find_entry(core, id);

    return entry != NULL &&
           entry->epoch >= control_state_epoch(&core->state)->number &&
           (entry->version > core->state.current ||
            (entry->version == core->state.current && entry->step >= step));
}

/* Says whether every member confirmed a step; names those that did not. */
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

/* Says whether the bundle governs new work on every live entry. */
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

/* The step that may follow now, FLOW_STEP_NONE when none may. */
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
        if (now < core->departed_at + CONTROL_LINGER_MS) {
            return FLOW_STEP_NONE;
        }
        if (all_confirmed(core, FLOW_STEP_LEARNED, NULL, 0) ||
            now >= core->step_at + CONTROL_LEARN_MS) {
            return FLOW_STEP_FLIP;
        }
        return FLOW_STEP_NONE;
    case FLOW_STEP_FLIP:
        return FLOW_STEP_SETTLED;
    default:
        return FLOW_STEP_NONE;
    }
}

/* Proposes the next step of the roll-out, or the next roll-out. */
static void
lead_rollout(struct control_core *core, uint64_t now)
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

/* Says whether a member must leave: unheard, and surely without a lease. */
static bool
must_leave(const struct control_core *core, uint64_t now,
           const wire_member *member)
{
    const struct control_entry *entry = control_find_entry(core, member->id);
    uint64_t heard = entry ? entry->heard_at : core->cons.elected_at;
    uint64_t lease = entry ? entry->lease_until : 0;
    bool behind = entry != NULL && entry->behind_since != 0 &&
                  now >= entry->behind_since + CONTROL_BEHIND_MS;

    if (entry != NULL && entry->gone) {
        return true;
    }
    if (fault_is(FAULT_EVICT_EARLY)) {
        return now >= heard + CONTROL_SUSPECT_MS / 4;
    }
    /* A leader before this one may have granted a lease up to its end. */
    lease = MAX(lease, core->cons.elected_at + CONTROL_LEASE_MS);
    return (behind || now >= heard + CONTROL_SUSPECT_MS) &&
           now >= lease + CONTROL_LEASE_MS / 6;
}

/* Lists who should be in the next epoch; true when that is a change. */
static bool
next_members(struct control_core *core, uint64_t now, GArray *out,
             GArray *dropping)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);
    bool changed = epoch == NULL;

    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        wire_member member = epoch->members.members_val[i];
        const struct control_entry *entry =
            control_find_entry(core, member.id);

        if (must_leave(core, now, &member)) {
            core->departed_at =
                entry != NULL && entry->gone ? core->departed_at : now;
            g_array_append_val(dropping, member.id);
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
        bool known = false;

        for (u_int j = 0; epoch != NULL && j < epoch->members.members_len;
             j++) {
            known |= epoch->members.members_val[j].id == entry->self.id;
        }
        if (!known && now < entry->heard_at + CONTROL_LEASE_MS / 2 &&
            !entry->self.stopping && out->len < WIRE_MEMBERS_MAX &&
            entry->behind_since == 0 && !entry->gone) {
            g_array_append_val(out, entry->self);
            changed = true;
        }
    }
    return changed && (epoch != NULL || out->len > 0);
}

/* Drops entries that are gone for long from memory. */
static void
forget_silent(struct control_core *core, uint64_t now)
{
    for (guint i = core->entries->len; i > 0; i--) {
        struct control_entry *entry = g_ptr_array_index(core->entries, i - 1);

        if (now > entry->heard_at + 20ULL * CONTROL_SUSPECT_MS) {
            g_free(entry->self.name);
            g_free(entry->self.hall);
            g_free(entry);
            g_ptr_array_remove_index_fast(core->entries, i - 1);
        }
    }
}

/* Proposes the next epoch when members changed. */
static void
lead_epoch(struct control_core *core, uint64_t now)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);
    wire_command command = {.kind = WIRE_CMD_EPOCH};
    GArray *members = g_array_new(FALSE, FALSE, sizeof(wire_member));
    GArray *dropping = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    /* The first epoch waits for those that start together. */
    if (epoch == NULL && now < core->cons.elected_at + FIRST_EPOCH_MS) {
        g_array_free(dropping, TRUE);
        g_array_free(members, TRUE);
        return;
    }
    if (!is_proposing(core) && next_members(core, now, members, dropping)) {
        wire_epoch *next = &command.wire_command_u.epoch;

        next->number = epoch ? epoch->number + 1 : 1;
        next->members.members_len = members->len;
        next->members.members_val = (wire_member *)(void *)members->data;
        g_array_set_size(core->dropping, 0);
        g_array_append_vals(core->dropping, dropping->data, dropping->len);
        propose(core, now, &command);
    }
    g_array_free(dropping, TRUE);
    g_array_free(members, TRUE);
}

/* Proposes other voters: one replica's identity set, or removed with 0. */
uint64_t
control_change_voters(struct control_core *core, uint64_t now,
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

/* Admits a replica that lost its disk, once it has caught up. */
static void
lead_voters(struct control_core *core, uint64_t now)
{
    for (size_t i = 0; i < core->cons.replica_count; i++) {
        const struct cons_peer *peer = &core->cons.peers[i];
        uint32_t replica = core->cons.replicas[i];
        const wire_config *config = cons_config(&core->cons);
        bool seat = false;

        for (u_int j = 0; j < config->voters.voters_len; j++) {
            seat |= config->voters.voters_val[j].replica == replica;
        }
        if (!seat || replica == core->cons.self || peer->identity == 0 ||
            now > peer->heard_at + CONS_ELECTION_MS ||
            peer->match < core->cons.commit ||
            cons_is_voter(&core->cons, replica, peer->identity) ||
            control_state_is_retired(&core->state, peer->identity)) {
            continue;
        }
        if (control_change_voters(core, now, replica, peer->identity) != 0) {
            return;
        }
    }
}

/* Notes how long the roll-out took from sign-off until in force. */
static void
note_in_force(struct control_core *core, uint64_t now)
{
    if (core->signed_at != 0 && !core->state.signed_off &&
        control_core_in_force(core, NULL, 0)) {
        core->in_force_ms = now - core->signed_at;
        core->signed_at = 0;
    }
}

/* Does a leader's work. */
void
control_lead(struct control_core *core, uint64_t now)
{
    if (core->lead_term != core->cons.term) {
        core->lead_term = core->cons.term;
        core->step_at = now;
        control_forget_entries(core);
    }
    if (!cons_is_ready(&core->cons)) {
        return;
    }
    control_grant_leases(core);
    lead_epoch(core, now);
    lead_rollout(core, now);
    lead_voters(core, now);
    note_in_force(core, now);
    forget_silent(core, now);
}
