/*
 * The leader's view of the entries: their reports, leases granted after a
 * quorum round, and replies to fetches of bundles and epochs.
 */
#include <string.h>

#include "bundle.h"
#include "claim.h"
#include "control-internal.h"

struct control_entry *
control_find_entry(const struct control_core *core, uint64_t id)
{
    for (guint i = 0; i < core->entries->len; i++) {
        struct control_entry *entry = g_ptr_array_index(core->entries, i);

        if (entry->self.id == id) {
            return entry;
        }
    }
    return NULL;
}

void
control_clear_entries(struct control_core *core)
{
    for (guint i = 0; i < core->entries->len; i++) {
        struct control_entry *entry = g_ptr_array_index(core->entries, i);

        g_free(entry->self.name);
        g_free(entry->self.hall);
        g_free(entry);
    }
    g_ptr_array_set_size(core->entries, 0);
}

/* Fills the fields that leases and announcements share. */
static void
fill_lease(const struct control_core *core, wire_msg *msg)
{
    wire_lease *lease = &msg->wire_msg_u.lease;
    const wire_epoch *epoch = control_state_epoch(&core->state);

    msg->kind = WIRE_LEASE;
    lease->term = core->cons.term;
    lease->replica = core->cons.self;
    lease->bundle_version = core->state.current;
    lease->step = core->state.step;
    lease->epoch = epoch ? epoch->number : 0;
    lease->leader = core->cons.leader;
    if (core->state.current > 0) {
        bundle_digest(core->state.text, strlen(core->state.text),
                      (unsigned char *)lease->digest);
    }
}

/* Announces version, step and epoch to all entries, without a lease. */
void
control_announce_state(struct control_core *core)
{
    if (core->cons.role != CONS_LEADER) {
        return;
    }
    for (guint i = 0; i < core->entries->len; i++) {
        struct control_entry *entry = g_ptr_array_index(core->entries, i);

        wire_msg msg = {0};

        fill_lease(core, &msg);
        control_send(core, &entry->self, &msg);
    }
}

static bool
is_member(const struct control_core *core, uint64_t id)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);

    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        if (epoch->members.members_val[i].id == id) {
            return true;
        }
    }
    return false;
}

/* True while a proposed, uncommitted epoch leaves the entry out. */
static bool
is_evicting(const struct control_core *core, uint64_t id)
{
    if (core->proposed_term != core->cons.term ||
        core->proposed_index <= core->state.applied) {
        return false;
    }
    for (guint i = 0; i < core->evicting->len; i++) {
        if (g_array_index(core->evicting, uint64_t, i) == id) {
            return true;
        }
    }
    return false;
}

/* True if the entry lacks the current version, step or epoch. */
static bool
is_lagging(const struct control_core *core, const struct control_entry *entry)
{
    const wire_epoch *epoch = control_state_epoch(&core->state);

    return entry->version < core->state.current ||
           (entry->version == core->state.current &&
            entry->step < core->state.step) ||
           (epoch != NULL && entry->epoch < epoch->number);
}

/* Replies to the reports whose round a quorum confirmed. An entry that is no
 * member, is being evicted or lags too long gets no lease. */
void
control_grant_leases(struct control_core *core)
{
    for (guint i = 0; i < core->entries->len; i++) {
        struct control_entry *entry = g_ptr_array_index(core->entries, i);
        wire_msg msg = {0};

        if (entry->report_sent_at == 0 ||
            core->cons.confirmed_round < entry->report_round) {
            continue;
        }
        fill_lease(core, &msg);
        if (is_member(core, entry->self.id) &&
            !is_evicting(core, entry->self.id) &&
            (entry->lagging_since == 0 ||
             entry->report_received_at <
                 entry->lagging_since + CONTROL_LAG_TIMEOUT_MS)) {
            msg.wire_msg_u.lease.entry = entry->self.id;
            msg.wire_msg_u.lease.sent_at = entry->report_sent_at;
            msg.wire_msg_u.lease.lease_ms = CONTROL_LEASE_MS;
            entry->lease_until = entry->report_received_at + CONTROL_LEASE_MS;
        }
        control_send(core, &entry->self, &msg);
        entry->report_sent_at = 0;
    }
}

/* Names the leader to an entry that reported to a follower. */
static void
redirect(struct control_core *core, const wire_report *report)
{
    wire_msg msg = {.kind = WIRE_LEASE};

    msg.wire_msg_u.lease.term = core->cons.term;
    msg.wire_msg_u.lease.replica = core->cons.self;
    msg.wire_msg_u.lease.leader = core->cons.leader;
    control_send(core, &report->self, &msg);
}

static struct control_entry *
add_entry(struct control_core *core, const wire_report *report)
{
    struct control_entry *entry = g_new0(struct control_entry, 1);

    entry->self = report->self;
    entry->self.name = g_strdup(report->self.name);
    entry->self.hall = g_strdup(report->self.hall);
    g_ptr_array_add(core->entries, entry);
    return entry;
}

void
control_handle_report(struct control_core *core, uint64_t now,
                      const wire_report *report)
{
    struct control_entry *entry;

    if (core->cons.role != CONS_LEADER) {
        redirect(core, report);
        return;
    }
    entry = control_find_entry(core, report->self.id);
    if (entry == NULL) {
        entry = add_entry(core, report);
    }
    entry->self.stopping = report->self.stopping;
    entry->version = report->bundle_version;
    entry->step = report->step;
    entry->epoch = report->epoch;
    entry->last_seen_at = now;
    entry->stopped = entry->stopped || report->gone;
    entry->report_sent_at = entry->stopped ? 0 : report->sent_at;
    entry->report_round = core->cons.round + 1;
    entry->report_received_at = now;
    if (!is_lagging(core, entry)) {
        entry->lagging_since = 0;
    }
    else if (entry->lagging_since == 0) {
        entry->lagging_since = now;
    }
}

/* Finds an entry by id; followers, which get no reports, use the epoch. */
static const wire_member *
find_member(const struct control_core *core, uint64_t id)
{
    const struct control_entry *entry = control_find_entry(core, id);
    const wire_epoch *epoch = control_state_epoch(&core->state);

    if (entry != NULL) {
        return &entry->self;
    }
    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        if (epoch->members.members_val[i].id == id) {
            return &epoch->members.members_val[i];
        }
    }
    return NULL;
}

/* Counts the epochs to send and fills their age: those after `have`, or for an
 * entry without any (0) those whose claim records may still be valid. */
static u_int
count_missing_epochs(struct control_core *core, uint64_t now, uint64_t have)
{
    const wire_epoch *all = core->state.epochs.epochs_val;
    u_int count = 1;

    core->ended_ago_ms[0] = 0;
    while (count < core->state.epochs.epochs_len) {
        core->ended_ago_ms[count] = now - core->epoch_ended_at[count];
        if (have != 0 ? all[count].number <= have
                      : core->ended_ago_ms[count] >
                            CLAIM_DEADLINE_MAX_MS + CLAIM_RETENTION_MS) {
            break;
        }
        count++;
    }
    return count;
}

void
control_handle_fetch(struct control_core *core, uint64_t now,
                     const wire_fetch *fetch)
{
    const wire_member *member = find_member(core, fetch->entry);

    if (member == NULL) {
        return;
    }
    if (fetch->bundle_version != 0 && core->state.current > 0) {
        wire_msg msg = {.kind = WIRE_BUNDLE};
        wire_bundle *out = &msg.wire_msg_u.bundle;

        out->term = core->cons.term;
        out->bundle_version = core->state.current;
        out->text = core->state.text;
        out->prev_version = core->state.prev_version;
        out->prev_text = core->state.prev_text;
        control_send(core, member, &msg);
    }
    if (fetch->epoch != 0 && core->state.epochs.epochs_len > 0) {
        wire_msg msg = {.kind = WIRE_EPOCHS};
        wire_epochs *out = &msg.wire_msg_u.epochs;
        u_int count = count_missing_epochs(core, now, fetch->have_epoch);

        out->term = core->cons.term;
        out->epochs.epochs_len = count;
        out->epochs.epochs_val = core->state.epochs.epochs_val;
        out->ended_ago.ended_ago_len = count;
        out->ended_ago.ended_ago_val = core->ended_ago_ms;
        control_send(core, member, &msg);
    }
}
