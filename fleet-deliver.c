/*
 * Changes of upstreams that are owed to nodes: each is sent until the node has
 * acknowledged it, at a pace that this node's link bears. A relay that does
 * not answer is replaced by the next one.
 */
#include "fleet-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* A message is sent again when no acknowledgement came so long after it: the
 * way there and back takes 6 ms between halls, and both ends may have a queue
 * of 40 ms before it. */
#define RESEND_MS 100U
/* A message to a relay sooner, since all of its hall wait for it; one that is
 * late for its queues alone is told from the first by its number. */
#define RELAY_RESEND_MS 70U
/* So many times a message is sent to one relay: where links lose 5%, one that
 * lives is taken for dead once in a thousand, and 0.2 s pass before one that
 * is dead is replaced. */
#define RELAY_TRIES 3U
/* Relays that are tried for a message before it is given up. */
#define RELAYS_TRIED 4U
/* So many times it is sent to a node that passes nothing on, after 0.1, 0.2
 * and 0.4 s again: where links lose 5%, all are lost once in 160,000. */
#define NODE_TRIES 4U
/* Changes are owed for so long; then all who differ have found them by
 * comparing inventories, and sending them once more fills links for nothing.
 * What a node heard itself it hands to a relay however long that takes. */
#define OWED_MS 2000U
/* A node that has just begun is not asked to relay for so long: it knows the
 * members soon after a leader knows it. */
#define BEGINS_MS 300U
/* A node that did not answer is not sent any more, nor asked to relay, for so
 * long: it is down, frozen or cut off. */
#define MUTE_MS 2000U
/* Messages leave in turns that the link takes so long for. */
#define TURN_MS 10U
/* Records in one message, and bytes of one: 22 ms of a link of 2 Mbit/s. */
#define RECORDS 80U
#define RECORD_BYTES 70U
/* Bytes of a datagram's heads: IP, UDP, our checksum and the message's own. */
#define HEAD_BYTES 68U

/* Changes that are owed together. */
struct fleet_batch {
    uint64_t number;
    uint64_t *ids;
    guint count;
    GByteArray *to_node; /* encoded for those that pass nothing on */
};

/* Opens the list of what is owed. */
void
fleet_deliver_open(struct fleet *fleet)
{
    fleet->relay.deliveries =
        g_array_new(FALSE, FALSE, sizeof(struct fleet_delivery));
    fleet->relay.due_at = UINT64_MAX;
}

/* Frees what a batch holds. */
static void
clear_batch(gpointer data)
{
    struct fleet_batch *batch = data;

    g_free(batch->ids);
    g_clear_pointer(&batch->to_node, g_byte_array_unref);
}

/* Lets go of a batch. */
static void
release(struct fleet_batch *batch)
{
    g_rc_box_release_full(batch, clear_batch);
}

/* Frees the list. */
void
fleet_deliver_close(struct fleet *fleet)
{
    GArray *all = fleet->relay.deliveries;

    for (guint i = 0; i < all->len; i++) {
        release(g_array_index(all, struct fleet_delivery, i).batch);
    }
    g_array_free(all, TRUE);
}

/* Makes a batch. */
static struct fleet_batch *
new_batch(struct fleet *fleet, const uint64_t *ids, guint count)
{
    struct fleet_batch *batch = g_rc_box_new0(struct fleet_batch);

    batch->number = ++fleet->relay.number;
    batch->ids = g_memdup2(ids, count * sizeof(*ids));
    batch->count = count;
    return batch;
}

/* Bytes that the link takes for a message of so many records. */
uint64_t
fleet_deliver_bytes(guint count)
{
    return HEAD_BYTES + (uint64_t)MIN(count, RECORDS) * RECORD_BYTES;
}

/* What is owed as a message: what is believed now of its upstreams. */
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

/* The same; encoded once for all nodes that pass nothing on. */
static GByteArray *
encode_once(const struct fleet *fleet, uint64_t now,
            const struct fleet_delivery *delivery)
{
    struct fleet_batch *batch = delivery->batch;

    if (delivery->reach != WIRE_REACH_NODE) {
        return encode(fleet, now, delivery);
    }
    if (batch->to_node == NULL) {
        batch->to_node = encode(fleet, now, delivery);
    }
    return g_byte_array_ref(batch->to_node);
}

/* Adds what is owed to one node. */
static void
owe(struct fleet *fleet, uint64_t now, struct fleet_batch *batch,
    struct fleet_delivery delivery)
{
    delivery.batch = g_rc_box_acquire(batch);
    delivery.at = now;
    delivery.until = now + OWED_MS;
    fleet->relay.unsent++;
    g_array_append_val(fleet->relay.deliveries, delivery);
    fleet->relay.due_at = MIN(fleet->relay.due_at, now);
}

/* Owes changes to the relay of a range. */
void
fleet_deliver_to_relay(struct fleet *fleet, uint64_t now, uint32_t to,
                       const struct fleet_range *range, wire_reach reach,
                       const uint64_t *ids, guint count)
{
    for (guint at = 0; at < count; at += RECORDS) {
        struct fleet_batch *batch =
            new_batch(fleet, ids + at, MIN(count - at, RECORDS));

        owe(fleet, now, batch,
            (struct fleet_delivery){
                .to = to, .range = *range, .reach = reach});
        release(batch);
    }
}

/* Owes changes to nodes that pass nothing on. */
void
fleet_deliver_to_nodes(struct fleet *fleet, uint64_t now, const uint32_t *to,
                       guint nodes, const uint64_t *ids, guint count)
{
    for (guint at = 0; at < count; at += RECORDS) {
        struct fleet_batch *batch =
            new_batch(fleet, ids + at, MIN(count - at, RECORDS));

        for (guint i = 0; i < nodes; i++) {
            owe(fleet, now, batch,
                (struct fleet_delivery){.to = to[i],
                                        .reach = WIRE_REACH_NODE});
        }
        release(batch);
    }
}

/* Turns to the next relay; false when there is none left. */
static bool
next_relay(struct fleet *fleet, uint64_t now, struct fleet_delivery *d)
{
    uint32_t to = d->relays + 1 < RELAYS_TRIED
                      ? fleet_relay_of(fleet, now, &d->range, d->reach)
                      : 0;

    if (to == 0 || to == fleet->self.address) {
        return false;
    }
    fleet->relay.unsent += d->tries > 0;
    d->to = to;
    d->tries = 0;
    d->relays++;
    d->at = now;
    return true;
}

/* Gives a delivery up. This node's own changes wait for another relay, which
 * may be this node; others are found by comparisons. */
static void
give_up(struct fleet *fleet, uint64_t now, const struct fleet_delivery *d)
{
    fleet->relay.unsent -= d->tries == 0;
    if (d->reach == WIRE_REACH_FLEET) {
        fleet_relay_hold(fleet, now, d->batch->ids, d->batch->count);
    }
}

/* Says whether a node is not worth sending to: it is no member, or did not
 * answer lately. */
static bool
is_mute(const struct fleet *fleet, uint64_t now,
        const struct fleet_delivery *d)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(d->to));

    return member == NULL || now < member->mute_until ||
           (d->reach != WIRE_REACH_NODE && now < member->relay_at);
}

/* Notes that a node does not answer. One that did not answer as a relay is
 * soon replaced, and may be alive: it is sent changes still. */
static void
mute(struct fleet *fleet, uint64_t now, const struct fleet_delivery *d)
{
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(d->to));

    if (member == NULL) {
        return;
    }
    if (d->reach != WIRE_REACH_NODE) {
        member->relay_at = now + MUTE_MS;
    }
    else {
        member->mute_until = now + MUTE_MS;
    }
    fleet_act(fleet, FLEET_UNANSWERED)->to = d->to;
}

/* Sends a message, and counts what the link takes for it. */
static void
send_once(struct fleet *fleet, uint64_t now, struct fleet_delivery *d)
{
    struct fleet_relay *relay = &fleet->relay;
    GByteArray *bytes = encode_once(fleet, now, d);

    fleet_send_encoded(fleet, d->to, bytes);
    relay->unsent -= d->tries == 0;
    d->at = d->reach == WIRE_REACH_NODE ? now + (RESEND_MS << d->tries)
                                        : now + RELAY_RESEND_MS;
    d->tries++;
    if (fault_is(FAULT_NO_RESEND)) {
        d->at = d->until;
    }
    if (fleet->bulk_bytes_ms != 0) {
        relay->pace_bytes += bytes->len + HEAD_BYTES;
        relay->pace_at = MAX(relay->pace_at, now) +
                         relay->pace_bytes / fleet->bulk_bytes_ms;
        relay->pace_bytes %= fleet->bulk_bytes_ms;
    }
    g_byte_array_unref(bytes);
}

/* Meets the deadline of one delivery; false when nothing is owed any more. */
static bool
meet(struct fleet *fleet, uint64_t now, struct fleet_delivery *d)
{
    bool passes_on = d->reach != WIRE_REACH_NODE;

    if (now >= d->until) {
        return false;
    }
    if (d->tries >= (passes_on ? RELAY_TRIES : NODE_TRIES)) {
        mute(fleet, now, d);
    }
    if (!is_mute(fleet, now, d)) {
        send_once(fleet, now, d);
        return true;
    }
    return passes_on && next_relay(fleet, now, d);
}

/* Says whether the link has room for another message in this turn. */
static bool
has_room(const struct fleet *fleet, uint64_t now)
{
    return fleet->relay.pace_at <= now + TURN_MS;
}

/* Sends what is due, as far as the link has room. */
void
fleet_deliver_due(struct fleet *fleet, uint64_t now)
{
    struct fleet_relay *relay = &fleet->relay;
    GArray *before = relay->deliveries;

    if (now < relay->due_at) {
        return;
    }
    relay->deliveries = g_array_sized_new(
        FALSE, FALSE, sizeof(struct fleet_delivery), before->len);
    relay->due_at = UINT64_MAX;
    for (guint i = 0; i < before->len; i++) {
        struct fleet_delivery d =
            g_array_index(before, struct fleet_delivery, i);
        bool owed = true;

        if (now >= d.at && has_room(fleet, now)) {
            owed = meet(fleet, now, &d);
        }
        if (!owed) {
            give_up(fleet, now, &d);
            release(d.batch);
            continue;
        }
        g_array_append_val(relay->deliveries, d);
        relay->due_at = MIN(relay->due_at,
                            now >= d.at ? MAX(relay->pace_at, now + 1) : d.at);
    }
    g_array_free(before, TRUE);
}

/* Ends a delivery: it was taken, or is given up. */
static void
settle(struct fleet *fleet, uint64_t now, guint index, bool taken)
{
    GArray *all = fleet->relay.deliveries;
    struct fleet_delivery d = g_array_index(all, struct fleet_delivery, index);

    g_array_remove_index(all, index);
    if (!taken) {
        give_up(fleet, now, &d);
    }
    release(d.batch);
}

/* A node has taken a message. One that cannot pass it on is not asked again
 * for a while, and the message goes to another. */
void
fleet_take_spread_ack(struct fleet *fleet, uint64_t now,
                      const wire_spread_ack *ack)
{
    GArray *all = fleet->relay.deliveries;
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(ack->node));

    if (member != NULL) {
        member->mute_until = 0;
        member->relay_at = ack->passed ? 0 : now + BEGINS_MS;
    }
    for (guint i = 0; i < all->len; i++) {
        struct fleet_delivery *d =
            &g_array_index(all, struct fleet_delivery, i);

        if (d->to != ack->node || d->batch->number != ack->number) {
            continue;
        }
        if (ack->passed || d->reach == WIRE_REACH_NODE ||
            !next_relay(fleet, now, d)) {
            settle(fleet, now, i, ack->passed);
        }
        else {
            fleet->relay.due_at = MIN(fleet->relay.due_at, now);
        }
        return;
    }
}
