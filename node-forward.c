/*
 * Detours: packets of open flows whose upstream's data hall is cut off from
 * this node go by a node of another hall, which sends them straight on. Asks
 * nodes of that hall all the while whether they hear this one; the answer of
 * one ends the detour.
 */
#include <string.h>

#include "codec.h"
#include "log.h"
#include "loop.h"
#include "node.h"
#include "platform/platform.h"

/* Between two questions to a hall that is cut off. */
#define PROBE_MS 250U
/* Copies of a packet go by another node after so long: the one before may be
 * down. Copies come 0.2 s apart. */
#define TURN_MS 150U

/* A node by which a packet may take a detour to the hall `cut`; 0: none. */
static uint32_t
carrier_of(const struct node *node, uint64_t now, uint32_t cut, uint64_t seed)
{
    const GArray *halls = node->evidence.halls;
    uint32_t own = node->fleet.self.hall;

    for (guint i = 0; i < halls->len; i++) {
        guint at = (guint)((seed + i) % halls->len);
        uint32_t by = g_array_index(halls, struct evidence_hall, at).hall;
        const wire_node *carrier =
            by != own && evidence_may_relay(&node->evidence, now, cut, by)
                ? fleet_choose_forwarder(&node->fleet, now, by, seed)
                : NULL;

        if (carrier != NULL) {
            return carrier->address;
        }
    }
    return 0;
}

/* Sends a packet by a node of another hall. */
bool
node_carry(struct node *node, uint64_t now,
           const struct evidence_verdict *verdict, const uint8_t *packet,
           size_t length)
{
    uint32_t by = carrier_of(node, now, verdict->upstream->hall_hash,
                             verdict->flow + now / TURN_MS);
    wire_msg msg = {.kind = WIRE_CARRY};
    wire_carry *carry = &msg.wire_msg_u.carry;
    GByteArray *bytes;

    if (by == 0) {
        return false;
    }
    carry->upstream = verdict->upstream->id;
    carry->packet.packet_val = (char *)packet;
    carry->packet.packet_len = (u_int)length;
    bytes = codec_encode(&msg);
    node_send_to_peer(node, by, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    counter_add(&node->counters, COUNTER_PACKETS_CARRIED, 1);
    return true;
}

/* Sends a packet on that took a detour by this node, and nowhere else: so it
 * never goes round. */
void
node_take_carried(struct node *node, const wire_carry *carry)
{
    const struct upstream *u =
        upstream_by_id(&node->upstreams, carry->upstream);
    uint8_t bytes[PLATFORM_PREFIX_BYTES + WIRE_PACKET_MAX];
    size_t length = carry->packet.packet_len;
    struct egress_head head = {.kind = EGRESS_CALLER, .flow = carry->upstream};

    if (u == NULL || u->state == UPSTREAM_GONE) {
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        log_event(LOG_WARN, "packet-not-carried",
                  "upstream=%016llx reason=unknown-here",
                  (unsigned long long)carry->upstream);
        return;
    }
    head.address = u->address;
    head.port = u->port;
    platform_write_prefix(bytes, u->id);
    memcpy(bytes + PLATFORM_PREFIX_BYTES, carry->packet.packet_val, length);
    node_send(node, &head, bytes, PLATFORM_PREFIX_BYTES + length, NULL, 0);
}

/* Asks all halls whether they hear this node: the one that is doubted, and
 * those by which its packets may go. */
static void
ask_halls(struct node *node, uint64_t now)
{
    const GArray *halls = node->evidence.halls;

    for (guint i = 0; i < halls->len; i++) {
        fleet_probe_hall(&node->fleet, now,
                         g_array_index(halls, struct evidence_hall, i).hall);
    }
    node->probe_at = now + PROBE_MS;
}

/* Name of a hall, from an upstream in it. */
static const char *
name_of(const struct node *node, uint32_t hall)
{
    for (guint i = 0; i < node->upstreams.all->len; i++) {
        const struct upstream *u = node->upstreams.all->pdata[i];

        if (u->hall_hash == hall) {
            return u->hall;
        }
    }
    return "unknown";
}

/* Logs a hall that is cut off, once its nodes had time to answer, or reached
 * again. */
static void
log_hall(const struct node *node, struct evidence_hall *hall, uint64_t now)
{
    bool cut =
        now < hall->suspected_until && now >= hall->suspected_at + PROBE_MS;

    if (cut && !hall->logged) {
        log_event(LOG_WARN, "hall-cut-off", "hall=%s avoided=%d",
                  name_of(node, hall->hall), now < hall->avoid_until);
    }
    else if (hall->logged && now >= hall->suspected_until) {
        log_event(LOG_WARN, "hall-reached", "hall=%s",
                  name_of(node, hall->hall));
    }
    else {
        return;
    }
    hall->logged = cut;
}

/* Asks about halls that are doubted, and logs what becomes of them. */
void
node_watch_halls(struct node *node, uint64_t now)
{
    GArray *halls = node->evidence.halls;
    bool asks = false;
    bool any = false;

    for (guint i = 0; i < halls->len; i++) {
        struct evidence_hall *hall =
            &g_array_index(halls, struct evidence_hall, i);

        log_hall(node, hall, now);
        asks = asks || hall->probe_due;
        any = any || now < hall->suspected_until;
        hall->probe_due = false;
    }
    if (!any) {
        node->probe_at = 0;
    }
    else if (asks || now >= node->probe_at) {
        ask_halls(node, now);
    }
}

/* Says whether a hall is to be asked. */
bool
node_asks_halls(const struct node *node)
{
    const GArray *halls = node->evidence.halls;

    for (guint i = 0; i < halls->len; i++) {
        if (g_array_index(halls, struct evidence_hall, i).probe_due) {
            return true;
        }
    }
    return false;
}
