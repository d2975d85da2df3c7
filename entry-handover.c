/*
 * A stopping entry transfers its claim records to their replicas in the first
 * epoch without it, so that each key keeps its majority. Records are resent
 * until each receiver acknowledged all.
 */
#include "entry-internal.h"

#define HANDOVER_RESEND_INTERVAL_MS 200U
#define HANDOVER_BATCH_RECORDS 256U

void
entry_free_handovers(struct entry_core *core)
{
    for (guint i = 0; i < core->handovers->len; i++) {
        struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        g_ptr_array_free(handover->records, TRUE);
        g_free(handover);
    }
    g_ptr_array_set_size(core->handovers, 0);
}

/* Selects the records for each member of the epoch. */
static void
start_handovers(struct entry_core *core)
{
    entry_free_handovers(core);
    core->handover_epoch = core->epoch;
    for (size_t i = 0; i < core->active_members.count; i++) {
        struct entry_handover *handover = g_new0(struct entry_handover, 1);

        handover->receiver = core->active_members.items[i].id;
        handover->records = g_ptr_array_new();
        claim_list_handover(&core->claims, &core->prev_active_members,
                            &core->active_members, handover->receiver,
                            handover->records);
        g_ptr_array_add(core->handovers, handover);
    }
}

/* Sends one record, or an empty message when there are none. */
static void
send_record(struct entry_core *core, const struct entry_handover *handover,
            guint sequence)
{
    wire_absorbed absorbed[WIRE_ABSORBED_MAX];
    wire_msg msg = {.kind = WIRE_HANDOVER};
    wire_handover *out = &msg.wire_msg_u.handover;

    out->sender = core->self.id;
    out->epoch = core->handover_epoch;
    out->before = core->prev_active_members.epoch;
    if (sequence == 0) {
        out->absorbed.absorbed_len =
            claim_list_absorbed(&core->claims, absorbed);
        out->absorbed.absorbed_val = absorbed;
    }
    out->sequence = sequence;
    out->total = handover->records->len;
    if (sequence < handover->records->len) {
        const struct claim_record *record =
            g_ptr_array_index(handover->records, sequence);

        out->claim = record->claim;
        out->done = record->state != CLAIM_RUNNING;
        out->outcome = record->outcome;
    }
    entry_send_peer(core, handover->receiver, &msg);
}

/* Sends the next batch, starting after the acknowledged records. */
static void
send_batch(struct entry_core *core, struct entry_handover *handover)
{
    guint total = handover->records->len;

    if (total == 0) {
        send_record(core, handover, 0);
        return;
    }
    for (guint i = 0; i < MIN(total, HANDOVER_BATCH_RECORDS); i++) {
        send_record(core, handover, (handover->acked + i) % total);
    }
}

/* Starts the handover in the first epoch without this entry: from then on it
 * gets no new claims. */
void
entry_tick_handover(struct entry_core *core, uint64_t now)
{
    if (!core->stopping || core->epoch == 0 ||
        member_find(&core->active_members, core->self.id) != NULL) {
        return;
    }
    if (core->handover_epoch != core->epoch) {
        start_handovers(core);
    }
    for (guint i = 0; i < core->handovers->len; i++) {
        struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        if (!handover->done && now >= handover->resend_at) {
            handover->resend_at = now + HANDOVER_RESEND_INTERVAL_MS;
            send_batch(core, handover);
        }
    }
}

void
entry_handle_handover(struct entry_core *core, uint64_t wall,
                      const wire_handover *handover)
{
    wire_msg msg = {.kind = WIRE_HANDOVER_ACK};
    wire_handover_ack *ack = &msg.wire_msg_u.handover_ack;

    ack->received = claim_handle_handover(&core->claims, wall, handover);
    ack->receiver = core->self.id;
    ack->epoch = handover->epoch;
    entry_send_peer(core, handover->sender, &msg);
}

void
entry_handle_handover_ack(struct entry_core *core,
                          const wire_handover_ack *ack)
{
    for (guint i = 0; i < core->handovers->len; i++) {
        struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        if (handover->receiver == ack->receiver &&
            ack->epoch == core->handover_epoch) {
            handover->acked = MAX(handover->acked, ack->received);
            handover->done = handover->acked >= handover->records->len;
        }
    }
}

bool
entry_handover_is_done(const struct entry_core *core)
{
    if (core->handover_epoch != core->epoch) {
        return false;
    }
    for (guint i = 0; i < core->handovers->len; i++) {
        const struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        if (!handover->done) {
            return false;
        }
    }
    return true;
}
