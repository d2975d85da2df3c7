/*
 * Dispatches events to the modules of the entry core and collects their
 * actions; decides when a planned stop may end.
 */
#include "entry-core.h"

#include <string.h>

#include "codec.h"
#include "entry-internal.h"
#include "hash.h"

static struct entry_action *
add_action(struct entry_core *core, enum entry_action_kind kind)
{
    struct entry_action action = {.kind = kind};

    g_array_append_val(core->actions, action);
    return &g_array_index(core->actions, struct entry_action,
                          core->actions->len - 1);
}

/* Sends a message to another entry, or queues it in the inbox for itself. */
void
entry_send_peer(struct entry_core *core, uint64_t id, wire_msg *msg)
{
    const struct member *peer = member_find(&core->members, id);
    struct entry_action *action;

    if (id == core->self.id) {
        g_queue_push_tail(&core->inbox, codec_encode(msg));
        return;
    }
    if (peer == NULL) {
        return;
    }
    action = add_action(core, ENTRY_SEND_PEER);
    action->peer = *peer;
    action->msg_kind = msg->kind;
    action->bytes = codec_encode(msg);
}

void
entry_send_control(struct entry_core *core, uint32_t replica, wire_msg *msg)
{
    struct entry_action *action = add_action(core, ENTRY_SEND_CONTROL);

    action->replica = replica;
    action->msg_kind = msg->kind;
    action->bytes = codec_encode(msg);
}

struct entry_core *
entry_core_new(const struct entry_options *options)
{
    struct entry_core *core = g_new0(struct entry_core, 1);
    struct flow_options flow = {.self = options->self.id,
                                .capacity = options->flow_capacity,
                                .counters = options->counters,
                                .push_off = options->push_off};

    core->self = options->self;
    core->self.name = g_strdup(options->self.name);
    core->self.hall = g_strdup(options->self.hall);
    core->control_count = options->control_count;
    memcpy(core->controls, options->controls,
           options->control_count * sizeof(*options->controls));
    core->counters = options->counters;
    core->push_committed_tokens = ENTRY_PUSH_BURST_BYTES;
    ring_open(&core->ring, options->ring_size);
    flow.ring = &core->ring;
    core->flow = flow_new(&flow);
    request_open(&core->requests, core->self.id, core->counters, &core->ring);
    claim_open(&core->claims, core->self.id);
    core->gates = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        (GDestroyNotify)gate_free);
    core->handovers = g_ptr_array_new();
    core->batches = g_ptr_array_new();
    g_queue_init(&core->inbox);
    core->actions = g_array_new(FALSE, FALSE, sizeof(struct entry_action));
    if (options->saved_text != NULL) {
        entry_set_min_version(core, options->saved_text);
    }
    return core;
}

void
entry_core_free(struct entry_core *core)
{
    entry_core_clear_actions(core);
    entry_free_handovers(core);
    g_ptr_array_free(core->handovers, TRUE);
    entry_free_batches(core);
    g_ptr_array_free(core->batches, TRUE);
    while (!g_queue_is_empty(&core->inbox)) {
        g_byte_array_unref(g_queue_pop_head(&core->inbox));
    }
    g_array_free(core->actions, TRUE);
    g_hash_table_destroy(core->gates);
    claim_close(&core->claims);
    request_close(&core->requests);
    flow_free(core->flow);
    ring_close(&core->ring);
    bundle_free(&core->bundle);
    bundle_free(&core->prev_bundle);
    member_set_clear(&core->members);
    member_set_clear(&core->active_members);
    member_set_clear(&core->prev_active_members);
    g_free(core->text);
    g_free(core->self.name);
    g_free(core->self.hall);
    g_free(core);
}

/* Converts the actions of the coordinator. */
static void
collect_request_actions(struct entry_core *core)
{
    size_t count;
    const struct request_action *all =
        request_actions(&core->requests, &count);

    for (size_t i = 0; i < count; i++) {
        struct request_action from = all[i];
        struct entry_action *action;

        switch (from.kind) {
        case REQUEST_SEND:
            entry_send_peer(core, from.peer, &from.msg);
            break;
        case REQUEST_DISPATCH:
            action = add_action(core, ENTRY_DISPATCH);
            action->token = from.token;
            action->address = from.address;
            action->port = from.port;
            action->deadline = from.deadline;
            break;
        case REQUEST_ABORT:
            add_action(core, ENTRY_ABORT)->token = from.token;
            break;
        case REQUEST_RESPOND:
            action = add_action(core, ENTRY_RESPOND);
            action->token = from.token;
            action->rule = from.rule;
            claim_copy_outcome(&from.outcome, &action->outcome);
            break;
        }
    }
    request_clear_actions(&core->requests);
}

static void
handle_claim(struct entry_core *core, const wire_claim *claim)
{
    wire_msg msg = {.kind = WIRE_CLAIM_REPLY};

    claim_decide(&core->claims, core->epoch, claim,
                 &msg.wire_msg_u.claim_reply);
    entry_send_peer(core, claim->coordinator, &msg);
}

static void
handle_finish(struct entry_core *core, const wire_finish *finish)
{
    wire_msg msg = {.kind = WIRE_FINISH_REPLY};

    claim_finish(&core->claims, finish);
    msg.wire_msg_u.finish_reply.token = finish->claim.token;
    msg.wire_msg_u.finish_reply.replica = core->self.id;
    entry_send_peer(core, finish->claim.coordinator, &msg);
}

static void
handle_message(struct entry_core *core, uint64_t now, uint64_t wall,
               const wire_msg *msg)
{
    switch (msg->kind) {
    case WIRE_LEASE:
        entry_handle_lease(core, now, &msg->wire_msg_u.lease);
        return;
    case WIRE_BUNDLE:
        entry_handle_bundle(core, now, &msg->wire_msg_u.bundle);
        return;
    case WIRE_EPOCHS:
        entry_handle_epochs(core, now, &msg->wire_msg_u.epochs);
        return;
    case WIRE_RECORDS:
        entry_handle_records(core, now, &msg->wire_msg_u.records);
        return;
    case WIRE_KNOWN:
        flow_set_filter(core->flow, msg->wire_msg_u.known.sender,
                        msg->wire_msg_u.known.epoch,
                        msg->wire_msg_u.known.bits.bits_val,
                        msg->wire_msg_u.known.bits.bits_len);
        return;
    case WIRE_RECORDS_ACK:
        entry_handle_records_ack(core, &msg->wire_msg_u.records_ack);
        return;
    case WIRE_CLAIM:
        handle_claim(core, &msg->wire_msg_u.claim);
        return;
    case WIRE_CLAIM_REPLY:
        request_handle_claim_reply(&core->requests, now,
                                   &msg->wire_msg_u.claim_reply);
        return;
    case WIRE_FINISH:
        handle_finish(core, &msg->wire_msg_u.finish);
        return;
    case WIRE_FINISH_REPLY:
        request_handle_finish_reply(&core->requests, now,
                                    &msg->wire_msg_u.finish_reply);
        return;
    case WIRE_SLOT_ASK:
        entry_handle_slot_ask(core, now, &msg->wire_msg_u.slot_ask);
        return;
    case WIRE_SLOT_GRANT:
        request_handle_grant(&core->requests, now,
                             &msg->wire_msg_u.slot_grant);
        return;
    case WIRE_SLOT_REFUSE:
        request_handle_refusal(&core->requests, now,
                               &msg->wire_msg_u.slot_refuse);
        return;
    case WIRE_SLOT_WAIT:
        request_handle_wait(&core->requests, now, &msg->wire_msg_u.slot_wait);
        return;
    case WIRE_SLOT_DONE:
        entry_handle_slot_done(core, now, &msg->wire_msg_u.slot_done);
        return;
    case WIRE_HANDOVER:
        entry_handle_handover(core, wall, &msg->wire_msg_u.handover);
        return;
    case WIRE_HANDOVER_ACK:
        entry_handle_handover_ack(core, &msg->wire_msg_u.handover_ack);
        return;
    case WIRE_VOTE_ASK:
    case WIRE_VOTE_REPLY:
    case WIRE_APPEND:
    case WIRE_APPEND_REPLY:
    case WIRE_REPORT:
    case WIRE_FETCH:
    case WIRE_SNAPSHOT:
    case WIRE_HELLO:
    case WIRE_MEMBERS:
    case WIRE_UPSTREAMS:
    case WIRE_ROUTES:
    case WIRE_FOUND:
    case WIRE_DOUBT:
    case WIRE_SUMMARY:
    case WIRE_NEED:
    case WIRE_KEPT:
    case WIRE_PART:
    case WIRE_TABLE_ASK:
    case WIRE_COMPARE:
    case WIRE_TABLE:
    case WIRE_SPREAD:
    case WIRE_SPREAD_ACK:
    case WIRE_HALLS:
    case WIRE_STORED:
    case WIRE_CARRY:
    case WIRE_LOAD:
        counter_add(core->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
}

/* Handles messages to this entry itself until the inbox is empty. */
static void
process_pending(struct entry_core *core, uint64_t now, uint64_t wall)
{
    collect_request_actions(core);
    while (!g_queue_is_empty(&core->inbox)) {
        GByteArray *bytes = g_queue_pop_head(&core->inbox);
        wire_msg msg;

        if (codec_decode(bytes->data, bytes->len, &msg)) {
            handle_message(core, now, wall, &msg);
            codec_free(&msg);
        }
        g_byte_array_unref(bytes);
        collect_request_actions(core);
    }
}

void
entry_core_tick(struct entry_core *core, uint64_t now, uint64_t wall)
{
    entry_tick_lease(core, now);
    entry_tick_records(core, now);
    entry_tick_gates(core, now);
    request_tick(&core->requests, now);
    /* Handovers borrow claim records, so none may expire meanwhile. */
    if (core->handovers->len == 0 && now >= core->expire_claims_at) {
        core->expire_claims_at = now + ENTRY_EXPIRE_INTERVAL_MS;
        claim_expire(&core->claims, wall);
    }
    entry_tick_handover(core, now);
    core->last_tick = now;
    process_pending(core, now, wall);
}

void
entry_core_receive(struct entry_core *core, uint64_t now, uint64_t wall,
                   const wire_msg *msg)
{
    handle_message(core, now, wall, msg);
    process_pending(core, now, wall);
}

void
entry_core_start_request(struct entry_core *core, uint64_t now, uint64_t wall,
                         const struct request_spec *spec)
{
    request_start(&core->requests, now, wall, spec);
    process_pending(core, now, wall);
}

void
entry_core_handle_response(struct entry_core *core, uint64_t now,
                           uint64_t wall, uint64_t token,
                           enum gate_result result,
                           const struct request_response *reply)
{
    request_handle_response(&core->requests, now, token, result, reply);
    process_pending(core, now, wall);
}

void
entry_core_cancel_request(struct entry_core *core, uint64_t now, uint64_t wall,
                          uint64_t token)
{
    request_cancel(&core->requests, now, token);
    process_pending(core, now, wall);
}

void
entry_core_stop(struct entry_core *core, uint64_t now)
{
    if (core->stopping) {
        return;
    }
    core->stopping = true;
    core->self.stopping = TRUE;
    core->report_at = now;
    core->earliest_exit = now + ENTRY_STOP_MIN_MS;
}

bool
entry_core_may_exit(const struct entry_core *core, uint64_t now)
{
    bool removed = core->epoch > 0 &&
                   member_find(&core->active_members, core->self.id) == NULL;

    if (!core->stopping || now < core->earliest_exit ||
        request_count(&core->requests) > 0) {
        return false;
    }
    /* Without control, no new epoch removes this entry. */
    if (now >= core->lease_deadline + ENTRY_NO_LEASE_EXIT_MS) {
        return true;
    }
    return removed && entry_handover_is_done(core) &&
           entry_records_confirmed(core);
}

/* Compares the Host without its port, case-insensitively (RFC 9110, 7.2). */
const struct bundle_service *
entry_core_find_host(const struct entry_core *core, const char *host)
{
    size_t length = strcspn(host, ":");

    for (size_t i = 0; i < core->bundle.service_count; i++) {
        const struct bundle_service *s = &core->bundle.services[i];

        if (s->kind == BUNDLE_REQUEST && strlen(s->host) == length &&
            g_ascii_strncasecmp(s->host, host, length) == 0) {
            return s;
        }
    }
    return NULL;
}

const struct entry_action *
entry_core_actions(struct entry_core *core, size_t *count)
{
    *count = core->actions->len;
    return (const struct entry_action *)(void *)core->actions->data;
}

void
entry_core_clear_actions(struct entry_core *core)
{
    for (guint i = 0; i < core->actions->len; i++) {
        struct entry_action *action =
            &g_array_index(core->actions, struct entry_action, i);

        if (action->bytes != NULL) {
            g_byte_array_unref(action->bytes);
        }
        g_free(action->outcome.body.body_val);
    }
    g_array_set_size(core->actions, 0);
}
