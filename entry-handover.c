/*
 * A planned stop hands the records of keys to the entries that hold them in
 * the first epoch without the stopping one, so that its going takes no
 * majority away. Sent again until each receiver has confirmed all.
 */
#include "entry-internal.h"

#define HANDOVER_RESEND_MS 200U
#define HANDOVER_BATCH 256U

/* Frees the handovers. */
void
entry_forget_handovers(struct entry_core *core)
{
    for (guint i = 0; i < core->handovers->len; i++) {
        struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        g_ptr_array_free(handover->records, TRUE);
        g_free(handover);
    }
    g_ptr_array_set_size(core->handovers, 0);
}

/* Lists what each entry of the epoch must get. */
static void
list_handovers(struct entry_core *core)
{
    entry_forget_handovers(core);
    core->handover_epoch = core->epoch;
    for (size_t i = 0; i < core->active.count; i++) {
        struct entry_handover *handover = g_new0(struct entry_handover, 1);

        handover->receiver = core->active.items[i].id;
        handover->records = g_ptr_array_new();
        claim_list_handover(&core->claims, &core->active_before, &core->active,
                            handover->receiver, handover->records);
        g_ptr_array_add(core->handovers, handover);
    }
}

/* Sends one record, or that there is none. */
static void
send_one(struct entry_core *core, const struct entry_handover *handover,
         guint sequence)
{
    wire_absorbed absorbed[WIRE_ABSORBED_MAX];
    wire_msg msg = {.kind = WIRE_HANDOVER};
    wire_handover *out = &msg.wire_msg_u.handover;

    out->sender = core->self.id;
    out->epoch = core->handover_epoch;
    out->before = core->active_before.epoch;
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

/* Sends a batch to one receiver, from what it has confirmed on. */
static void
send_batch(struct entry_core *core, struct entry_handover *handover)
{
    guint total = handover->records->len;

    if (total == 0) {
        send_one(core, handover, 0);
        return;
    }
    for (guint i = 0; i < MIN(total, HANDOVER_BATCH); i++) {
        send_one(core, handover, (handover->received + i) % total);
    }
}

/* Lets time pass: the handover begins once the epoch has no place for this
 * entry, since only then no new record can come. */
void
entry_tick_handover(struct entry_core *core, uint64_t now)
{
    if (!core->stopping || core->epoch == 0 ||
        member_find(&core->active, core->self.id) != NULL) {
        return;
    }
    if (core->handover_epoch != core->epoch) {
        list_handovers(core);
    }
    for (guint i = 0; i < core->handovers->len; i++) {
        struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        if (!handover->done && now >= handover->resend_at) {
            handover->resend_at = now + HANDOVER_RESEND_MS;
            send_batch(core, handover);
        }
    }
}

/* Takes a record of a stopping entry. */
void
entry_take_handover(struct entry_core *core, uint64_t wall,
                    const wire_handover *handover)
{
    wire_msg msg = {.kind = WIRE_HANDOVER_ACK};
    wire_handover_ack *ack = &msg.wire_msg_u.handover_ack;

    ack->received = claim_handle_handover(&core->claims, wall, handover);
    ack->receiver = core->self.id;
    ack->epoch = handover->epoch;
    entry_send_peer(core, handover->sender, &msg);
}

/* Takes a confirmation. */
void
entry_take_handover_ack(struct entry_core *core, const wire_handover_ack *ack)
{
    for (guint i = 0; i < core->handovers->len; i++) {
        struct entry_handover *handover =
            g_ptr_array_index(core->handovers, i);

        if (handover->receiver == ack->receiver &&
            ack->epoch == core->handover_epoch) {
            handover->received = MAX(handover->received, ack->received);
            handover->done = handover->received >= handover->records->len;
        }
    }
}

/* Says whether every receiver has confirmed all records. */
bool
entry_is_handed_over(const struct entry_core *core)
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
