/*
 * Exchange of flow records between entries. Copies for the other keepers are
 * sent at once, hints in batches. Pushes to keepers are shaped by two token
 * buckets (as in RFC 2698) and resent until acknowledged.
 */
#include <string.h>

#include "entry-internal.h"

#define SEND_CLASS_MAX 256 /* records per call */
#define RESEND_INTERVAL_MS 300U
#define RESEND_INTERVAL_MAX_MS 5000U
#define RECORD_BYTES 16 /* of one record, XDR (RFC 4506) */
#define BATCHES_MAX 64  /* unacknowledged; limits the window of pushes */

/* `batch` is NULL for records that are not acknowledged. */
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

/* Sends a batch and retains it until it is acknowledged. */
static void
push_batch(struct entry_core *core, uint64_t now, uint64_t peer,
           const wire_flow_record *records, u_int count)
{
    struct entry_batch *batch = g_new0(struct entry_batch, 1);

    batch->receiver = peer;
    batch->sequence = ++core->last_batch;
    batch->resend_interval_ms = RESEND_INTERVAL_MS;
    batch->resend_at = now + RESEND_INTERVAL_MS;
    batch->count = count;
    memcpy(batch->records, records, count * sizeof(*records));
    g_ptr_array_add(core->batches, batch);
    send_records(core, peer, batch->records, count, batch);
}

/* Copies the records for the peer of sends[first] to `out` and clears their
 * `peer`, which marks them as sent. */
static u_int
collect_records(struct flow_send *sends, size_t count, size_t first,
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

/* Sends queued records of one class, at most `max`; returns the number. */
static size_t
send_class(struct entry_core *core, uint64_t now, enum flow_send_class class,
           size_t max)
{
    struct flow_send sends[SEND_CLASS_MAX];
    size_t count =
        flow_dequeue(core->flow, class, sends, MIN(max, SEND_CLASS_MAX));

    for (size_t i = 0; i < count; i++) {
        wire_flow_record records[WIRE_RECORDS_MAX];
        uint64_t peer = sends[i].peer;
        u_int n;

        if (peer == 0) {
            continue;
        }
        n = collect_records(sends, count, i, records);
        if (class == FLOW_SEND_PUSH) {
            push_batch(core, now, peer, records, n);
        }
        else {
            send_records(core, peer, records, n, NULL);
        }
    }
    return count;
}

static void
send_all(struct entry_core *core, uint64_t now, enum flow_send_class class)
{
    while (send_class(core, now, class, SEND_CLASS_MAX) == SEND_CLASS_MAX) {
    }
}

void
entry_core_flush(struct entry_core *core)
{
    send_all(core, core->last_tick, FLOW_SEND_COPY);
}

/* Resends unacknowledged batches with exponential backoff; drops those whose
 * receiver left the epoch. */
static void
resend(struct entry_core *core, uint64_t now)
{
    for (guint i = core->batches->len; i > 0; i--) {
        struct entry_batch *batch = g_ptr_array_index(core->batches, i - 1);

        if (member_find(&core->active_members, batch->receiver) == NULL) {
            g_free(batch);
            g_ptr_array_remove_index_fast(core->batches, i - 1);
        }
        else if (now >= batch->resend_at) {
            batch->resend_interval_ms =
                MIN(2 * batch->resend_interval_ms, RESEND_INTERVAL_MAX_MS);
            batch->resend_at = now + batch->resend_interval_ms;
            send_records(core, batch->receiver, batch->records, batch->count,
                         batch);
        }
    }
}

static void
refill_tokens(struct entry_core *core, uint64_t now)
{
    double seconds =
        core->last_tick ? (double)(now - core->last_tick) / 1000.0 : 0.0;

    core->push_committed_tokens = MIN(
        (double)ENTRY_PUSH_BURST_BYTES,
        core->push_committed_tokens + ENTRY_PUSH_COMMITTED_BYTES_S * seconds);
    core->push_peak_tokens =
        MIN(ENTRY_PUSH_PEAK_BYTES_S * (ENTRY_PUSH_INTERVAL_MS * 2.0 / 1000.0),
            core->push_peak_tokens + ENTRY_PUSH_PEAK_BYTES_S * seconds);
}

/* Pushes records while both token buckets allow it; large batches at intervals
 * spend fewer bytes on headers. */
static void
push_records(struct entry_core *core, uint64_t now)
{
    double bytes = MIN(core->push_peak_tokens, core->push_committed_tokens);
    size_t sent;

    if (now < core->push_at || core->batches->len >= BATCHES_MAX ||
        bytes < RECORD_BYTES) {
        return;
    }
    core->push_at = now + ENTRY_PUSH_INTERVAL_MS;
    sent =
        send_class(core, now, FLOW_SEND_PUSH, (size_t)(bytes / RECORD_BYTES));
    core->push_committed_tokens -= (double)(sent * RECORD_BYTES);
    core->push_peak_tokens -= (double)(sent * RECORD_BYTES);
}

/* Sends a Bloom filter of this keeper's flows to all entries after one was
 * lost. */
static void
broadcast_filter(struct entry_core *core, uint64_t now)
{
    GBytes *filter = flow_build_filter(core->flow, now);
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
    for (size_t i = 0; i < core->active_members.count; i++) {
        if (core->active_members.items[i].id != core->self.id) {
            entry_send_peer(core, core->active_members.items[i].id, &msg);
        }
    }
    g_bytes_unref(filter);
}

void
entry_tick_records(struct entry_core *core, uint64_t now)
{
    refill_tokens(core, now);
    (void)flow_scan(core->flow, now, ENTRY_SCAN_SLOTS);
    send_all(core, now, FLOW_SEND_COPY);
    /* Without a lease, the members may have removed this entry from their
     * epoch and then never acknowledge its pushes. */
    if (now < core->lease_deadline) {
        broadcast_filter(core, now);
        resend(core, now);
        push_records(core, now);
    }
    if (now >= core->hint_at) {
        core->hint_at = now + ENTRY_HINT_INTERVAL_MS;
        send_all(core, now, FLOW_SEND_HINT);
    }
}

/* Stores received records; acknowledges a push. */
void
entry_handle_records(struct entry_core *core, uint64_t now,
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

void
entry_handle_records_ack(struct entry_core *core, const wire_records_ack *ack)
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

/* True if the keepers acknowledged all records pushed to them. */
bool
entry_records_confirmed(const struct entry_core *core)
{
    return flow_is_pushed(core->flow) && core->batches->len == 0;
}

void
entry_free_batches(struct entry_core *core)
{
    for (guint i = 0; i < core->batches->len; i++) {
        g_free(g_ptr_array_index(core->batches, i));
    }
    g_ptr_array_set_size(core->batches, 0);
}
