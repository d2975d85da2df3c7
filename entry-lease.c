/*
 * An entry and control: reports, leases, and the bundle and epoch in force.
 * Only higher versions, steps and epochs are ever taken.
 */
#include <string.h>

#include "codec.h"
#include "entry-internal.h"
#include "hash.h"

#define REPORTS_UNANSWERED 2 /* then another replica is asked */

/* The replica that reports go to. */
static uint32_t
target(const struct entry_core *core)
{
    return core->leader != 0
               ? core->leader
               : core->controls[core->control_next % core->control_count];
}

/* The step as control is told: LEARNED once all records are confirmed. */
static enum flow_step
reported_step(const struct entry_core *core)
{
    enum flow_step step = flow_step(core->flow);

    return step == FLOW_STEP_MOVE && entry_is_pushed(core) ? FLOW_STEP_LEARNED
                                                           : step;
}

/* Sends a report. */
static void
send_report(struct entry_core *core, uint64_t now, bool gone)
{
    wire_msg msg = {.kind = WIRE_REPORT};
    wire_report *report = &msg.wire_msg_u.report;

    if (core->unanswered >= REPORTS_UNANSWERED) {
        core->leader = 0;
        core->control_next++;
        core->unanswered = 0;
    }
    report->self = core->self;
    report->bundle_version = flow_version(core->flow);
    report->step = reported_step(core);
    report->epoch = core->epoch;
    report->sent_at = now;
    report->gone = gone;
    entry_send_control(core, target(core), &msg);
    core->unanswered++;
    core->report_at = now + ENTRY_REPORT_MS;
}

/* Ends the lease and tells control. */
void
entry_core_leave(struct entry_core *core, uint64_t now)
{
    core->lease_deadline = 0;
    core->requests.lease_deadline = 0;
    flow_set_lease(core->flow, 0);
    send_report(core, now, true);
}

/* Fetches what control has told of and this entry lacks. */
static void
fetch(struct entry_core *core, uint64_t now, uint64_t version, uint64_t epoch)
{
    wire_msg msg = {.kind = WIRE_FETCH};
    wire_fetch *out = &msg.wire_msg_u.fetch;

    if (version > flow_version(core->flow) && now >= core->bundle_fetch_at) {
        out->bundle_version = version;
        core->bundle_fetch_at = now + ENTRY_FETCH_MS;
    }
    if (epoch > core->epoch && now >= core->epoch_fetch_at) {
        out->epoch = epoch;
        out->have_epoch = core->epoch;
        core->epoch_fetch_at = now + ENTRY_FETCH_MS;
    }
    if (out->bundle_version != 0 || out->epoch != 0) {
        out->entry = core->self.id;
        entry_send_control(core, target(core), &msg);
    }
}

/* Sends a report when it is time, or when something was learned. */
void
entry_tick_lease(struct entry_core *core, uint64_t now)
{
    bool learned = core->told_step == FLOW_STEP_MOVE &&
                   reported_step(core) == FLOW_STEP_LEARNED;

    if (learned) {
        core->told_step = FLOW_STEP_LEARNED;
        core->report_at = now;
    }
    if (now >= core->report_at) {
        send_report(core, now, false);
    }
}

/* Takes a lease: it counts from when the report was sent. */
static void
extend_lease(struct entry_core *core, uint64_t now, const wire_lease *lease)
{
    if (lease->sent_at == 0 || lease->sent_at > now ||
        lease->entry != core->self.id) {
        return;
    }
    core->lease_deadline =
        MAX(core->lease_deadline, lease->sent_at + lease->lease_ms);
    flow_set_lease(core->flow, core->lease_deadline);
    core->requests.lease_deadline = core->lease_deadline;
    counter_add(core->counters, COUNTER_LEASES, 1);
}

/* Follows the version and step that control tells of. */
static void
follow_version(struct entry_core *core, uint64_t now, const wire_lease *lease)
{
    if (lease->bundle_version > core->told_version) {
        core->told_version = lease->bundle_version;
        core->told_step = 0;
        memcpy(core->told_digest, lease->digest, sizeof(core->told_digest));
    }
    if (lease->bundle_version != core->told_version) {
        return;
    }
    core->told_step = MAX(core->told_step, lease->step);
    if (lease->bundle_version == flow_version(core->flow) &&
        flow_advance(core->flow, now, (enum flow_step)lease->step)) {
        core->report_at = now;
    }
}

/* Takes a lease or a notice. */
void
entry_take_lease(struct entry_core *core, uint64_t now,
                 const wire_lease *lease)
{
    bool redirected;

    if (lease->term < core->term || (lease->leader == lease->replica &&
                                     lease->bundle_version < core->floor)) {
        counter_add(core->counters, COUNTER_MSGS_STALE, 1);
        return;
    }
    core->term = lease->term;
    core->unanswered = 0;
    redirected = lease->leader != 0 && lease->leader != core->leader;
    core->leader = lease->leader;
    if (lease->leader == 0) {
        core->control_next++;
    }
    if (lease->leader != lease->replica) {
        if (redirected) {
            core->report_at = now;
        }
        return;
    }
    extend_lease(core, now, lease);
    follow_version(core, now, lease);
    fetch(core, now, lease->bundle_version, lease->epoch);
}

/* Reads a bundle's text into the core. */
bool
entry_apply_text(struct entry_core *core, uint64_t now, const char *text,
                 const char *prev_text, uint32_t step)
{
    struct bundle bundle;
    struct bundle before;
    struct status st;
    bool has_before = false;

    if (bundle_read("bundle", text, strlen(text), &bundle, &st) != STATUS_OK) {
        return false;
    }
    memset(&before, 0, sizeof(before));
    if (prev_text != NULL && prev_text[0] != '\0') {
        has_before = bundle_read("bundle", prev_text, strlen(prev_text),
                                 &before, &st) == STATUS_OK;
    }
    if (!flow_apply(core->flow, now, &bundle, has_before ? &before : NULL,
                    (enum flow_step)step)) {
        bundle_free(&bundle);
        bundle_free(&before);
        return false;
    }
    if (bundle.base == 0) {
        request_drop_old_epochs(&core->requests);
    }
    bundle_free(&core->bundle);
    bundle_free(&core->before);
    core->bundle = bundle;
    core->before = before;
    core->has_before = has_before;
    core->requests.version = bundle.version;
    g_free(core->text);
    core->text = g_strdup(text);
    entry_update_gates(core, now);
    return true;
}

/* Takes a bundle that was fetched. */
void
entry_take_bundle(struct entry_core *core, uint64_t now,
                  const wire_bundle *bundle)
{
    struct entry_action action = {.kind = ENTRY_SAVE};
    unsigned char digest[BUNDLE_DIGEST_BYTES];

    if (bundle->bundle_version != core->told_version ||
        bundle->bundle_version <= flow_version(core->flow)) {
        counter_add(core->counters, COUNTER_MSGS_STALE, 1);
        return;
    }
    bundle_digest(bundle->text, strlen(bundle->text), digest);
    if (memcmp(digest, core->told_digest, sizeof(digest)) != 0) {
        counter_add(core->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
    if (entry_apply_text(core, now, bundle->text, bundle->prev_text,
                         MAX(core->told_step, FLOW_STEP_ANNOUNCE))) {
        core->report_at = now;
        g_array_append_val(core->actions, action);
    }
}

/* Remembers the version of an earlier run. Its text is not applied: without
 * the bundle before it, flows of buckets that were moving would be lost. */
void
entry_set_floor(struct entry_core *core, const char *saved_text)
{
    struct bundle bundle;
    struct status st;

    if (bundle_read("saved bundle", saved_text, strlen(saved_text), &bundle,
                    &st) == STATUS_OK) {
        core->floor = bundle.version;
        bundle_free(&bundle);
    }
}

/* Makes members of what control sent, without stopping ones on demand. */
static void
read_epoch(const wire_epoch *epoch, bool with_stopping, struct member_set *out)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct member));

    for (u_int i = 0; i < epoch->members.members_len; i++) {
        const wire_member *from = &epoch->members.members_val[i];
        struct member member = {.id = from->id,
                                .hall = hash_name(from->hall),
                                .address = from->address,
                                .peer = (uint16_t)from->peer_port,
                                .fabric = (uint16_t)from->fabric_port,
                                .http = (uint16_t)from->http_port};

        g_strlcpy(member.name, from->name, sizeof(member.name));
        if (with_stopping || !from->stopping) {
            g_array_append_val(members, member);
        }
    }
    member_set_assign(out, epoch->number,
                      (const struct member *)(void *)members->data,
                      members->len);
    g_array_free(members, TRUE);
}

/* Takes epochs that were fetched. */
void
entry_take_epochs(struct entry_core *core, uint64_t now,
                  const wire_epochs *epochs)
{
    u_int count = epochs->epochs.epochs_len;
    const wire_epoch *all = epochs->epochs.epochs_val;
    struct member_set sets[WIRE_EPOCHS_MAX] = {{0}};

    if (count == 0 || all[0].number <= core->epoch ||
        epochs->ended_ago.ended_ago_len != count) {
        counter_add(core->counters, COUNTER_MSGS_STALE, 1);
        return;
    }
    core->epoch = all[0].number;
    read_epoch(&all[0], true, &core->all);
    if (member_find(&core->active, core->self.id) != NULL) {
        member_set_assign(&core->active_before, core->active.epoch,
                          core->active.items, core->active.count);
    }
    read_epoch(&all[0], false, &core->active);
    for (u_int i = 0; i < count; i++) {
        read_epoch(&all[i], false, &sets[i]);
    }
    flow_set_members(core->flow, now, &core->active);
    request_set_epochs(&core->requests, now, &core->all, sets,
                       epochs->ended_ago.ended_ago_val, count);
    entry_update_gates(core, now);
    for (u_int i = 0; i < count; i++) {
        member_set_clear(&sets[i]);
    }
    core->report_at = now;
}
