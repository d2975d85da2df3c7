/*
 * Reliable delivery of upstream changes: retransmission until acknowledged,
 * paced to this node's link, with failover to another relay.
 */
#include "fleet-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* Retransmission timeout to a node that does not relay; doubles per try. */
#define RESEND_MS 100U
/* Retransmission timeout to a relay: shorter, as its whole hall waits.
 * Receivers detect duplicates by sequence number. */
#define RELAY_RESEND_MS 70U
/* Transmissions to one relay before failover to the next. On links that lose
 * 5%, a live relay is taken for failed once in a thousand messages; a failed
 * one is replaced after 0.2 s. */
#define RELAY_ATTEMPTS_MAX 3U
/* Relays tried per message. */
#define RELAYS_MAX 4U
/* Transmissions to a node that does not relay, at intervals of 0.1, 0.2
 * and 0.4 s. On links that lose 5%, all are lost once in 160,000 messages. */
#define NODE_ATTEMPTS_MAX 4U
/* By then, anti-entropy comparisons have repaired the difference. Own changes
 * are requeued instead. */
#define DELIVERY_TIMEOUT_MS 2000U
/* A node with an incomplete member list is not used as a relay for this long:
 * it receives the list soon after the leader has added it. */
#define RELAY_NOT_READY_MS 300U
/* A node without acknowledgement is skipped for this long. */
#define UNRESPONSIVE_MS 2000U
/* Messages are sent in bursts of this much link time. */
#define PACING_BURST_MS 10U
/* Limits a message to 22 ms on a link of 2 Mbit/s. */
#define RECORDS_PER_MESSAGE 80U
#define RECORD_BYTES 70U
/* IP, UDP, checksum and message headers. */
#define HEADER_BYTES 68U

/* Changes that share messages; reference-counted by their deliveries. */
struct fleet_batch {
    uint64_t number;
    uint64_t *ids;
    guint count;
    GByteArray *node_message; /* cached encoding for nodes that do not relay */
};

void
fleet_deliver_open(struct fleet *fleet)
{
    fleet->relay.deliveries =
        g_array_new(FALSE, FALSE, sizeof(struct fleet_delivery));
    fleet->relay.due_at = UINT64_MAX;
}

static void
clear_batch(gpointer data)
{
    struct fleet_batch *batch = data;

    g_free(batch->ids);
    g_clear_pointer(&batch->node_message, g_byte_array_unref);
}

static void
unref_batch(struct fleet_batch *batch)
{
    g_rc_box_release_full(batch, clear_batch);
}

void
fleet_deliver_close(struct fleet *fleet)
{
    GArray *all = fleet->relay.deliveries;

    for (guint i = 0; i < all->len; i++) {
        unref_batch(g_array_index(all, struct fleet_delivery, i).batch);
    }
    g_array_free(all, TRUE);
}

static struct fleet_batch *
new_batch(struct fleet *fleet, const uint64_t *ids, guint count)
{
    struct fleet_batch *batch = g_rc_box_new0(struct fleet_batch);

    batch->number = ++fleet->relay.last_number;
    batch->ids = g_memdup2(ids, count * sizeof(*ids));
    batch->count = count;
    return batch;
}

uint64_t
fleet_deliver_message_bytes(guint count)
{
    return HEADER_BYTES +
           (uint64_t)MIN(count, RECORDS_PER_MESSAGE) * RECORD_BYTES;
}

/* Encodes the current records of a delivery's upstreams. */
static GByteArray *
encode(const struct fleet *fleet, uint64_t now,
       const struct fleet_delivery *delivery)
{
    const struct fleet_batch *batch = delivery->batch;
    wire_msg msg = {.kind = WIRE_SPREAD};
    wire_spread *spread = &msg.wire_msg_u.spread;
    GByteArray *bytes;

    spread->node = fleet->self.address;
    spread->number = batch->number;
    spread->reach = delivery->reach;
    spread->first = delivery->range.first;
    spread->last = delivery->range.last;
    spread->list.list_val = g_new0(wire_upstream, batch->count);
    for (guint i = 0; i < batch->count; i++) {
        const struct upstream *u =
            upstream_by_id(fleet->upstreams, batch->ids[i]);

        if (u != NULL) {
            upstream_pack(fleet->upstreams, now, u,
                          &spread->list.list_val[spread->list.list_len++]);
        }
    }
    bytes = codec_encode(&msg);
    g_free(spread->list.list_val);
    return bytes;
}

/* Nodes that do not relay all receive the same bytes. */
static GByteArray *
encode_cached(const struct fleet *fleet, uint64_t now,
              const struct fleet_delivery *delivery)
{
    struct fleet_batch *batch = delivery->batch;

    if (delivery->reach != WIRE_REACH_NODE) {
        return encode(fleet, now, delivery);
    }
    if (batch->node_message == NULL) {
        batch->node_message = encode(fleet, now, delivery);
    }
    return g_byte_array_ref(batch->node_message);
}

static void
enqueue(struct fleet *fleet, uint64_t now, struct fleet_batch *batch,
        struct fleet_delivery delivery)
{
    delivery.batch = g_rc_box_acquire(batch);
    delivery.send_at = now;
    delivery.expires_at = now + DELIVERY_TIMEOUT_MS;
    fleet->relay.unsent++;
    g_array_append_val(fleet->relay.deliveries, delivery);
    fleet->relay.due_at = MIN(fleet->relay.due_at, now);
}

void
fleet_deliver_to_relay(struct fleet *fleet, uint64_t now, uint32_t to,
                       const struct fleet_range *range, wire_reach reach,
                       const uint64_t *ids, guint count)
{
    for (guint at = 0; at < count; at += RECORDS_PER_MESSAGE) {
        struct fleet_batch *batch =
            new_batch(fleet, ids + at, MIN(count - at, RECORDS_PER_MESSAGE));

        enqueue(fleet, now, batch,
                (struct fleet_delivery){
                    .to = to, .range = *range, .reach = reach});
        unref_batch(batch);
    }
}

void
fleet_deliver_to_nodes(struct fleet *fleet, uint64_t now, const uint32_t *to,
                       guint nodes, const uint64_t *ids, guint count)
{
    for (guint at = 0; at < count; at += RECORDS_PER_MESSAGE) {
        struct fleet_batch *batch =
            new_batch(fleet, ids + at, MIN(count - at, RECORDS_PER_MESSAGE));

        for (guint i = 0; i < nodes; i++) {
            enqueue(fleet, now, batch,
                    (struct fleet_delivery){.to = to[i],
                                            .reach = WIRE_REACH_NODE});
        }
        unref_batch(batch);
    }
}

/* Fails over to another relay; false when none is left. */
static bool
try_next_relay(struct fleet *fleet, uint64_t now, struct fleet_delivery *d)
{
    uint32_t to = d->failed_relays + 1 < RELAYS_MAX
                      ? fleet_choose_relay(fleet, now, &d->range, d->reach)
                      : 0;

    if (to == 0 || to == fleet->self.address) {
        return false;
    }
    fleet->relay.unsent += d->attempts > 0;
    d->to = to;
    d->attempts = 0;
    d->failed_relays++;
    d->send_at = now;
    return true;
}

/* Requeues own changes for another relay; relayed changes are left to
 * anti-entropy comparisons. */
static void
give_up(struct fleet *fleet, uint64_t now, const struct fleet_delivery *d)
{
    fleet->relay.unsent -= d->attempts == 0;
    if (d->reach == WIRE_REACH_FLEET) {
        fleet_relay_requeue(fleet, now, d->batch->ids, d->batch->count);
    }
}

/* Also true for a node that is no member. */
static bool
is_unresponsive(const struct fleet *fleet, uint64_t now,
                const struct fleet_delivery *d)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(d->to));

    return member == NULL || now < member->unresponsive_until ||
           (d->reach != WIRE_REACH_NODE && now < member->relay_after);
}

/* An unresponsive relay may be alive: it is still sent changes. */
static void
mark_unresponsive(struct fleet *fleet, uint64_t now,
                  const struct fleet_delivery *d)
{
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(d->to));

    if (member == NULL) {
        return;
    }
    if (d->reach != WIRE_REACH_NODE) {
        member->relay_after = now + UNRESPONSIVE_MS;
    }
    else {
        member->unresponsive_until = now + UNRESPONSIVE_MS;
    }
    fleet_add_action(fleet, FLEET_UNRESPONSIVE)->to = d->to;
}

/* Sends a delivery once, sets its retransmission timer and updates the
 * pacing. */
static void
send_once(struct fleet *fleet, uint64_t now, struct fleet_delivery *d)
{
    struct fleet_relay *relay = &fleet->relay;
    GByteArray *bytes = encode_cached(fleet, now, d);

    fleet_send_encoded(fleet, d->to, bytes);
    relay->unsent -= d->attempts == 0;
    d->send_at = d->reach == WIRE_REACH_NODE ? now + (RESEND_MS << d->attempts)
                                             : now + RELAY_RESEND_MS;
    d->attempts++;
    if (fault_is(FAULT_NO_RESEND)) {
        d->send_at = d->expires_at;
    }
    if (fleet->bulk_bytes_per_ms != 0) {
        relay->pace_bytes += bytes->len + HEADER_BYTES;
        relay->pace_at = MAX(relay->pace_at, now) +
                         relay->pace_bytes / fleet->bulk_bytes_per_ms;
        relay->pace_bytes %= fleet->bulk_bytes_per_ms;
    }
    g_byte_array_unref(bytes);
}

/* Retransmits, fails over or gives up; false when the delivery has ended. */
static bool
process_due(struct fleet *fleet, uint64_t now, struct fleet_delivery *d)
{
    bool to_relay = d->reach != WIRE_REACH_NODE;

    if (now >= d->expires_at) {
        return false;
    }
    if (d->attempts >= (to_relay ? RELAY_ATTEMPTS_MAX : NODE_ATTEMPTS_MAX)) {
        mark_unresponsive(fleet, now, d);
    }
    if (!is_unresponsive(fleet, now, d)) {
        send_once(fleet, now, d);
        return true;
    }
    return to_relay && try_next_relay(fleet, now, d);
}

/* True while less than PACING_BURST_MS of link time is queued. */
static bool
has_room(const struct fleet *fleet, uint64_t now)
{
    return fleet->relay.pace_at <= now + PACING_BURST_MS;
}

void
fleet_deliver_due(struct fleet *fleet, uint64_t now)
{
    struct fleet_relay *relay = &fleet->relay;
    GArray *old = relay->deliveries;

    if (now < relay->due_at) {
        return;
    }
    relay->deliveries = g_array_sized_new(
        FALSE, FALSE, sizeof(struct fleet_delivery), old->len);
    relay->due_at = UINT64_MAX;
    for (guint i = 0; i < old->len; i++) {
        struct fleet_delivery d = g_array_index(old, struct fleet_delivery, i);
        bool pending = true;

        if (now >= d.send_at && has_room(fleet, now)) {
            pending = process_due(fleet, now, &d);
        }
        if (!pending) {
            give_up(fleet, now, &d);
            unref_batch(d.batch);
            continue;
        }
        g_array_append_val(relay->deliveries, d);
        relay->due_at =
            MIN(relay->due_at,
                now >= d.send_at ? MAX(relay->pace_at, now + 1) : d.send_at);
    }
    g_array_free(old, TRUE);
}

/* Removes a delivery and gives it up unless it was acknowledged. */
static void
finish(struct fleet *fleet, uint64_t now, guint index, bool acknowledged)
{
    GArray *all = fleet->relay.deliveries;
    struct fleet_delivery d = g_array_index(all, struct fleet_delivery, index);

    g_array_remove_index(all, index);
    if (!acknowledged) {
        give_up(fleet, now, &d);
    }
    unref_batch(d.batch);
}

/* A node with an incomplete member list does not relay: the message goes to
 * another relay. */
void
fleet_handle_spread_ack(struct fleet *fleet, uint64_t now,
                        const wire_spread_ack *ack)
{
    GArray *all = fleet->relay.deliveries;
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(ack->node));

    if (member != NULL) {
        member->unresponsive_until = 0;
        member->relay_after = ack->passed ? 0 : now + RELAY_NOT_READY_MS;
    }
    for (guint i = 0; i < all->len; i++) {
        struct fleet_delivery *d =
            &g_array_index(all, struct fleet_delivery, i);

        if (d->to != ack->node || d->batch->number != ack->number) {
            continue;
        }
        if (ack->passed || d->reach == WIRE_REACH_NODE ||
            !try_next_relay(fleet, now, d)) {
            finish(fleet, now, i, ack->passed);
        }
        else {
            fleet->relay.due_at = MIN(fleet->relay.due_at, now);
        }
        return;
    }
}
