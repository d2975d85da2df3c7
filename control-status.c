/* Builds the JSON document of GET /v1/status. */
#include <stdio.h>

#include "control.h"
#include "flow.h"
#include "loop.h"
#include "page.h"

/* A member of the epoch; on the leader with the fields of its last report. */
static json_object *
member_json(const struct control_core *core, const wire_member *member)
{
    json_object *out = json_object_new_object();
    uint64_t now = loop_now();

    page_add_text(out, "name", member->name);
    page_add_text(out, "hall", member->hall);
    page_add_hex(out, "id", member->id);
    page_add_endpoint(out, "http", member->address,
                      (uint16_t)member->http_port);
    page_add_bool(out, "stopping", member->stopping);
    for (guint i = 0; i < core->entries->len; i++) {
        const struct control_entry *entry =
            g_ptr_array_index(core->entries, i);

        if (entry->self.id == member->id) {
            page_add_number(out, "version", entry->version);
            page_add_number(out, "step", entry->step);
            page_add_number(out, "epoch", entry->epoch);
            page_add_number(out, "heard_ms_ago", now - entry->last_seen_at);
            page_add_number(out, "lease_left_ms",
                            entry->lease_until > now ? entry->lease_until - now
                                                     : 0);
        }
    }
    return out;
}

static const char *
step_name(uint32_t step)
{
    switch ((enum flow_step)step) {
    case FLOW_STEP_NONE:
        return "none";
    case FLOW_STEP_ANNOUNCE:
        return "announce";
    case FLOW_STEP_MOVE:
        return "move";
    case FLOW_STEP_LEARNED:
        return "learned";
    case FLOW_STEP_FLIP:
        return "flip";
    case FLOW_STEP_SETTLED:
        return "settled";
    }
    return "none";
}

static json_object *
pending_json(const wire_control_state *state)
{
    json_object *out = json_object_new_object();
    char digest[2 * WIRE_DIGEST + 1];

    for (int i = 0; i < WIRE_DIGEST; i++) {
        (void)snprintf(digest + 2 * i, 3, "%02x",
                       (unsigned char)state->pending.digest[i]);
    }
    page_add_number(out, "version", state->pending.bundle_version);
    page_add_text(out, "operator", state->pending.operator_name);
    page_add_text(out, "submission", state->pending.submission);
    page_add_text(out, "digest", digest);
    page_add_bool(out, "signed_off", state->signed_off);
    return out;
}

static json_object *
voters_json(const struct control_core *core)
{
    const wire_config *config = cons_config(&core->cons);
    json_object *out = json_object_new_array();

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        json_object *one = json_object_new_object();

        page_add_number(one, "replica", config->voters.voters_val[i].replica);
        page_add_hex(one, "identity", config->voters.voters_val[i].identity);
        json_object_array_add(out, one);
    }
    return out;
}

json_object *
control_status(struct control *control)
{
    const struct control_core *core = &control->core;
    const wire_epoch *epoch = control_state_epoch(&core->state);
    json_object *out = json_object_new_object();
    json_object *members = json_object_new_array();
    char missing[512] = "";
    bool in_force = control_core_in_force(core, missing, sizeof(missing));

    page_add_text(out, "name", control->settings.name);
    page_add_number(out, "replica", core->cons.self);
    page_add_number(out, "leader", core->cons.leader);
    page_add_number(out, "term", core->cons.term);
    page_add_number(out, "log_last", cons_last_index(&core->cons));
    page_add_number(out, "log_committed", core->cons.commit_index);
    page_add_bool(out, "storage_failed", core->cons.failed);
    json_object_object_add(out, "voters", voters_json(core));
    page_add_number(out, "version", core->state.current);
    page_add_text(out, "step", step_name(core->state.step));
    page_add_bool(out, "in_force", in_force);
    page_add_text(out, "unconfirmed_entries", missing);
    page_add_number(out, "in_force_ms", core->in_force_ms);
    page_add_number(out, "epoch", epoch ? epoch->number : 0);
    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        json_object_array_add(
            members, member_json(core, &epoch->members.members_val[i]));
    }
    json_object_object_add(out, "entries", members);
    if (core->state.has_pending) {
        json_object_object_add(out, "pending", pending_json(&core->state));
    }
    return out;
}
