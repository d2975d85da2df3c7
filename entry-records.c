/*
 * Flow records on their way between entries: copies for the other keepers at
 * once, hints gathered for a second, pushes to keepers within a budget of
 * bytes and sent again until the keeper confirms them or is gone.
 */
#include <string.h>

#include "entry-internal.h"

#define FLUSH_MAX 256
#define RESEND_MS 300U
#define RESEND_MAX_MS 5000U
#define RECORD_BYTES 16 /* one record in XDR */
#define BATCHES_MAX 64  /* unconfirmed; then nothing more is pushed */

/* Sends records to one entry. `batch` is NULL for answers to packets. */
static void
send_records(struct entry_core *core, uint64_t peer, wire_flow_record *records,
             u_int count, const struct entry_batch *batch)
{
    wire_msg msg = {.kind = WIRE_RECORDS};
    wire_records *out = &msg.wire_msg_u.records;

    if (batch != NULL) {
        out->sender = core->self.id;
        out->sequence = batch->sequence;
    }
    out->records.records_len = count;
    out->records.records_val = records;
    entry_send_peer(core, peer, &msg);
}

/* Keeps a batch until it is confirmed, and sends it. */
static void
push_batch(struct entry_core *core, uint64_t now, uint64_t peer,
           const wire_flow_record *records, u_int count)
{
    struct entry_batch *batch = g_new0(struct entry_batch, 1);

    batch->receiver = peer;
    batch->sequence = ++core->next_batch;
    batch->wait_ms = RESEND_MS;
    batch->resend_at = now + RESEND_MS;
    batch->count = count;
    memcpy(batch->records, records, count * sizeof(*records));
    g_ptr_array_add(core->batches, batch);
    send_records(core, peer, batch->records, count, batch);
}

/* Gathers the records for one peer; marks them as gathered. */
static u_int
gather(struct flow_send *sends, size_t count, size_t first,
       wire_flow_record *out)
{
    u_int n = 0;
    uint64_t peer = sends[first].peer;

    for (size_t i = first; i < count && n < WIRE_RECORDS_MAX; i++) {
        if (sends[i].peer == peer) {
            out[n].hash = sends[i].hash;
            out[n].address = sends[i].address;
            out[n].port = sends[i].port;
            sends[i].peer = 0;
            n++;
        }
    }
    return n;
}

/* Sends waiting records of a class, at most `max`; returns how many. */
static size_t
flush(struct entry_core *core, uint64_t now, enum flow_send_class class,
      size_t max)
{
    struct flow_send sends[FLUSH_MAX];
    size_t count = flow_take(core->flow, class, sends, MIN(max, FLUSH_MAX));

    for (size_t i = 0; i < count; i++) {
        wire_flow_record records[WIRE_RECORDS_MAX];
        uint64_t peer = sends[i].peer;
        u_int n;

        if (peer == 0) {
            continue;
        }
        n = gather(sends, count, i, records);
        if (class == FLOW_SEND_PUSH) {
            push_batch(core, now, peer, records, n);
        }
        else {
            send_records(core, peer, records, n, NULL);
        }
    }
    return count;
}

/* Sends all waiting records of a class. */
static void
flush_all(struct entry_core *core, uint64_t now, enum flow_send_class class)
{
    while (flush(core, now, class, FLUSH_MAX) == FLUSH_MAX) {
    }
}

/* Sends the copies that packets caused. */
void
entry_core_flush(struct entry_core *core)
{
    flush_all(core, core->ticked_at, FLOW_SEND_COPY);
}

/* Sends batches again whose confirmation is late; forgets those whose
 * receiver is no member any more. */
static void
resend(struct entry_core *core, uint64_t now)
{
    for (guint i = core->batches->len; i > 0; i--) {
        struct entry_batch *batch = g_ptr_array_index(core->batches, i - 1);

        if (member_find(&core->active, batch->receiver) == NULL) {
            g_free(batch);
            g_ptr_array_remove_index_fast(core->batches, i - 1);
        }
        else if (now >= batch->resend_at) {
            batch->wait_ms = MIN(2 * batch->wait_ms, RESEND_MAX_MS);
            batch->resend_at = now + batch->wait_ms;
            send_records(core, batch->receiver, batch->records, batch->count,
                         batch);
        }
    }
}

/* Lets the budgets grow. */
static void
grow_budgets(struct entry_core *core, uint64_t now)
{
    double seconds =
        core->ticked_at ? (double)(now - core->ticked_at) / 1000.0 : 0.0;

    core->push_budget = MIN((double)ENTRY_PUSH_BURST,
                            core->push_budget + ENTRY_PUSH_REFILL * seconds);
    core->push_allowance =
        MIN(ENTRY_PUSH_RATE * (ENTRY_PUSH_MS * 2.0 / 1000.0),
            core->push_allowance + ENTRY_PUSH_RATE * seconds);
}

/* Pushes records within the budgets. Larger batches at longer intervals
 * spend fewer bytes on headers. */
static void
push(struct entry_core *core, uint64_t now)
{
    double bytes = MIN(core->push_allowance, core->push_budget);
    size_t sent;

    if (now < core->push_at || core->batches->len >= BATCHES_MAX ||
        bytes < RECORD_BYTES) {
        return;
    }
    core->push_at = now + ENTRY_PUSH_MS;
    sent = flush(core, now, FLOW_SEND_PUSH, (size_t)(bytes / RECORD_BYTES));
    core->push_budget -= (double)(sent * RECORD_BYTES);
    core->push_allowance -= (double)(sent * RECORD_BYTES);
}

/* Tells the other entries which flows this keeper holds, after a loss. */
static void
tell_known(struct entry_core *core, uint64_t now)
{
    GBytes *filter = flow_take_known(core->flow, now);
    wire_msg msg = {.kind = WIRE_KNOWN};
    wire_known *out = &msg.wire_msg_u.known;
    gsize length = 0;

    if (filter == NULL) {
        return;
    }
    out->sender = core->self.id;
    out->epoch = core->epoch;
    out->bits.bits_val = (char *)g_bytes_get_data(filter, &length);
    out->bits.bits_len = (u_int)length;
    for (size_t i = 0; i < core->active.count; i++) {
        if (core->active.items[i].id != core->self.id) {
            entry_send_peer(core, core->active.items[i].id, &msg);
        }
    }
    g_bytes_unref(filter);
}

/* Scans for records to push, and sends what waits. */
void
entry_tick_records(struct entry_core *core, uint64_t now)
{
    grow_budgets(core, now);
    (void)flow_scan(core->flow, now, ENTRY_SCAN_PLACES);
    flush_all(core, now, FLOW_SEND_COPY);
    /* Without a lease the members known here may not know this entry, and
     * would never confirm. */
    if (now < core->lease_deadline) {
        tell_known(core, now);
        resend(core, now);
        push(core, now);
    }
    if (now >= core->hint_at) {
        core->hint_at = now + ENTRY_HINT_MS;
        flush_all(core, now, FLOW_SEND_HINT);
    }
}

/* Takes records; a push is confirmed. */
void
entry_take_records(struct entry_core *core, uint64_t now,
                   const wire_records *records)
{
    wire_msg msg = {.kind = WIRE_RECORDS_ACK};

    for (u_int i = 0; i < records->records.records_len; i++) {
        const wire_flow_record *r = &records->records.records_val[i];

        flow_learn(core->flow, now, r->hash, r->address, (uint16_t)r->port);
    }
    if (records->sender != 0) {
        msg.wire_msg_u.records_ack.receiver = core->self.id;
        msg.wire_msg_u.records_ack.sequence = records->sequence;
        entry_send_peer(core, records->sender, &msg);
    }
}

/* Takes a confirmation. */
void
entry_take_records_ack(struct entry_core *core, const wire_records_ack *ack)
{
    for (guint i = 0; i < core->batches->len; i++) {
        struct entry_batch *batch = g_ptr_array_index(core->batches, i);

        if (batch->receiver == ack->receiver &&
            batch->sequence == ack->sequence) {
            g_free(batch);
            g_ptr_array_remove_index_fast(core->batches, i);
            return;
        }
    }
}

/* Says whether every record that others must hold is confirmed. */
bool
entry_is_pushed(const struct entry_core *core)
{
    return flow_is_pushed(core->flow) && core->batches->len == 0;
}

/* Forgets all batches. */
void
entry_forget_batches(struct entry_core *core)
{
    for (guint i = 0; i < core->batches->len; i++) {
        g_free(g_ptr_array_index(core->batches, i));
    }
    g_ptr_array_set_size(core->batches, 0);
}
