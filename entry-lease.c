/*
 * An entry's protocol with control: reports, leases (Gray and Cheriton, 1989),
 * and fetches of bundles and epochs. Versions, steps and epochs only increase.
 */
#include <string.h>

#include "codec.h"
#include "entry-internal.h"
#include "hash.h"

#define UNANSWERED_REPORTS_MAX 2 /* before the next replica is tried */

static uint32_t
report_target(const struct entry_core *core)
{
    return core->leader != 0
               ? core->leader
               : core->controls[core->next_control % core->control_count];
}

/* MOVE becomes LEARNED once the keepers acknowledged all records. */
static enum flow_step
reported_step(const struct entry_core *core)
{
    enum flow_step step = flow_step(core->flow);

    return step == FLOW_STEP_MOVE && entry_records_confirmed(core)
               ? FLOW_STEP_LEARNED
               : step;
}

static void
send_report(struct entry_core *core, uint64_t now, bool gone)
{
    wire_msg msg = {.kind = WIRE_REPORT};
    wire_report *report = &msg.wire_msg_u.report;

    if (core->unanswered_reports >= UNANSWERED_REPORTS_MAX) {
        core->leader = 0;
        core->next_control++;
        core->unanswered_reports = 0;
    }
    report->self = core->self;
    report->bundle_version = flow_version(core->flow);
    report->step = reported_step(core);
    report->epoch = core->epoch;
    report->sent_at = now;
    report->gone = gone;
    entry_send_control(core, report_target(core), &msg);
    core->unanswered_reports++;
    core->report_at = now + ENTRY_REPORT_INTERVAL_MS;
}

void
entry_core_deregister(struct entry_core *core, uint64_t now)
{
    core->lease_deadline = 0;
    core->requests.lease_deadline = 0;
    flow_set_lease(core->flow, 0);
    send_report(core, now, true);
}

/* Requests the announced bundle and epoch if newer than those in force. */
static void
fetch_missing(struct entry_core *core, uint64_t now, uint64_t version,
              uint64_t epoch)
{
    wire_msg msg = {.kind = WIRE_FETCH};
    wire_fetch *out = &msg.wire_msg_u.fetch;

    if (version > flow_version(core->flow) && now >= core->bundle_fetch_at) {
        out->bundle_version = version;
        core->bundle_fetch_at = now + ENTRY_FETCH_INTERVAL_MS;
    }
    if (epoch > core->epoch && now >= core->epoch_fetch_at) {
        out->epoch = epoch;
        out->have_epoch = core->epoch;
        core->epoch_fetch_at = now + ENTRY_FETCH_INTERVAL_MS;
    }
    if (out->bundle_version != 0 || out->epoch != 0) {
        out->entry = core->self.id;
        entry_send_control(core, report_target(core), &msg);
    }
}

/* Reports periodically, and at once when the step becomes LEARNED. */
void
entry_tick_lease(struct entry_core *core, uint64_t now)
{
    bool learned = core->announced_step == FLOW_STEP_MOVE &&
                   reported_step(core) == FLOW_STEP_LEARNED;

    if (learned) {
        core->announced_step = FLOW_STEP_LEARNED;
        core->report_at = now;
    }
    if (now >= core->report_at) {
        send_report(core, now, false);
    }
}

/* The lease counts from the sending of the report, so it ends here no later
 * than at control. */
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

/* Updates the announced version and step, and advances the rollout step. */
static void
update_version(struct entry_core *core, uint64_t now, const wire_lease *lease)
{
    if (lease->bundle_version > core->announced_version) {
        core->announced_version = lease->bundle_version;
        core->announced_step = 0;
        memcpy(core->announced_digest, lease->digest,
               sizeof(core->announced_digest));
    }
    if (lease->bundle_version != core->announced_version) {
        return;
    }
    core->announced_step = MAX(core->announced_step, lease->step);
    if (lease->bundle_version == flow_version(core->flow) &&
        flow_advance(core->flow, now, (enum flow_step)lease->step)) {
        core->report_at = now;
    }
}

/* Handles a lease of the leader, or the redirect of another replica. */
void
entry_handle_lease(struct entry_core *core, uint64_t now,
                   const wire_lease *lease)
{
    bool redirected;

    if (lease->term < core->term ||
        (lease->leader == lease->replica &&
         lease->bundle_version < core->min_version)) {
        counter_add(core->counters, COUNTER_MSGS_STALE, 1);
        return;
    }
    core->term = lease->term;
    core->unanswered_reports = 0;
    redirected = lease->leader != 0 && lease->leader != core->leader;
    core->leader = lease->leader;
    if (lease->leader == 0) {
        core->next_control++;
    }
    if (lease->leader != lease->replica) {
        if (redirected) {
            core->report_at = now;
        }
        return;
    }
    extend_lease(core, now, lease);
    update_version(core, now, lease);
    fetch_missing(core, now, lease->bundle_version, lease->epoch);
}

/* Parses a bundle and its predecessor and puts them in force. */
bool
entry_apply_bundle(struct entry_core *core, uint64_t now, const char *text,
                   const char *prev_text, uint32_t step)
{
    struct bundle bundle;
    struct bundle prev_bundle;
    struct status st;
    bool has_prev_bundle = false;

    if (bundle_read("bundle", text, strlen(text), &bundle, &st) != STATUS_OK) {
        return false;
    }
    memset(&prev_bundle, 0, sizeof(prev_bundle));
    if (prev_text != NULL && prev_text[0] != '\0') {
        has_prev_bundle = bundle_read("bundle", prev_text, strlen(prev_text),
                                      &prev_bundle, &st) == STATUS_OK;
    }
    if (!flow_apply(core->flow, now, &bundle,
                    has_prev_bundle ? &prev_bundle : NULL,
                    (enum flow_step)step)) {
        bundle_free(&bundle);
        bundle_free(&prev_bundle);
        return false;
    }
    if (bundle.base == 0) {
        request_drop_old_epochs(&core->requests);
    }
    bundle_free(&core->bundle);
    bundle_free(&core->prev_bundle);
    core->bundle = bundle;
    core->prev_bundle = prev_bundle;
    core->has_prev_bundle = has_prev_bundle;
    core->requests.version = bundle.version;
    g_free(core->text);
    core->text = g_strdup(text);
    entry_update_gates(core, now);
    return true;
}

/* Applies a fetched bundle if its digest is the announced one. */
void
entry_handle_bundle(struct entry_core *core, uint64_t now,
                    const wire_bundle *bundle)
{
    struct entry_action action = {.kind = ENTRY_SAVE_BUNDLE};
    unsigned char digest[BUNDLE_DIGEST_BYTES];

    if (bundle->bundle_version != core->announced_version ||
        bundle->bundle_version <= flow_version(core->flow)) {
        counter_add(core->counters, COUNTER_MSGS_STALE, 1);
        return;
    }
    bundle_digest(bundle->text, strlen(bundle->text), digest);
    if (memcmp(digest, core->announced_digest, sizeof(digest)) != 0) {
        counter_add(core->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
    if (entry_apply_bundle(core, now, bundle->text, bundle->prev_text,
                           MAX(core->announced_step, FLOW_STEP_ANNOUNCE))) {
        core->report_at = now;
        g_array_append_val(core->actions, action);
    }
}

/* Takes the version of the saved bundle as lower bound. The bundle is not
 * applied: without its predecessor, flows in moving buckets would break. */
void
entry_set_min_version(struct entry_core *core, const char *saved_text)
{
    struct bundle bundle;
    struct status st;

    if (bundle_read("saved bundle", saved_text, strlen(saved_text), &bundle,
                    &st) == STATUS_OK) {
        core->min_version = bundle.version;
        bundle_free(&bundle);
    }
}

static void
copy_members(const wire_epoch *epoch, bool with_stopping,
             struct member_set *out)
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

/* Applies fetched epochs; the first is the one in force. */
void
entry_handle_epochs(struct entry_core *core, uint64_t now,
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
    copy_members(&all[0], true, &core->members);
    if (member_find(&core->active_members, core->self.id) != NULL) {
        member_set_assign(
            &core->prev_active_members, core->active_members.epoch,
            core->active_members.items, core->active_members.count);
    }
    copy_members(&all[0], false, &core->active_members);
    for (u_int i = 0; i < count; i++) {
        copy_members(&all[i], false, &sets[i]);
    }
    flow_set_members(core->flow, now, &core->active_members);
    request_set_epochs(&core->requests, now, &core->members, sets,
                       epochs->ended_ago.ended_ago_val, count);
    entry_update_gates(core, now);
    for (u_int i = 0; i < count; i++) {
        member_set_clear(&sets[i]);
    }
    core->report_at = now;
}
