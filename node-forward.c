/*
 * Relay paths between data halls. While a hall is suspected to be unreachable
 * from this node, packets of open flows to upstreams there go through a node
 * of another hall, encapsulated in a message; hellos probe the hall until one
 * of its nodes replies.
 */
#include <string.h>

#include "codec.h"
#include "log.h"
#include "loop.h"
#include "node.h"
#include "platform/platform.h"

/* Interval of the probes to a suspected hall. */
#define PROBE_INTERVAL_MS 250U
/* After this time another relay is chosen, so that a retransmission (every 200
 * ms) avoids a relay that is down. */
#define RELAY_ROTATE_MS 150U

/* Address of a node through which packets reach `suspected_hall`; 0: none. */
static uint32_t
choose_relay(const struct node *node, uint64_t now, uint32_t suspected_hall,
             uint64_t seed)
{
    const GArray *halls = node->evidence.halls;
    uint32_t own = node->fleet.self.hall;

    for (guint i = 0; i < halls->len; i++) {
        guint at = (guint)((seed + i) % halls->len);
        uint32_t relay_hall =
            g_array_index(halls, struct evidence_hall, at).hall;
        const wire_node *relay =
            relay_hall != own && evidence_may_relay(&node->evidence, now,
                                                    suspected_hall, relay_hall)
                ? fleet_choose_forwarder(&node->fleet, now, relay_hall, seed)
                : NULL;

        if (relay != NULL) {
            return relay->address;
        }
    }
    return 0;
}

bool
node_forward_via_relay(struct node *node, uint64_t now,
                       const struct evidence_verdict *verdict,
                       const uint8_t *packet, size_t length)
{
    uint32_t relay = choose_relay(node, now, verdict->upstream->hall_hash,
                                  verdict->flow + now / RELAY_ROTATE_MS);
    wire_msg msg = {.kind = WIRE_CARRY};
    wire_carry *forwarded = &msg.wire_msg_u.carry;
    GByteArray *bytes;

    if (relay == 0) {
        return false;
    }
    forwarded->upstream = verdict->upstream->id;
    forwarded->packet.packet_val = (char *)packet;
    forwarded->packet.packet_len = (u_int)length;
    bytes = codec_encode(&msg);
    node_send_to_peer(node, relay, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    counter_add(&node->counters, COUNTER_PACKETS_RELAYED, 1);
    return true;
}

/* Sends to the upstream itself, never to another relay, so that packets cannot
 * loop. */
void
node_deliver_forwarded(struct node *node, const wire_carry *forwarded)
{
    const struct upstream *u =
        upstream_by_id(&node->upstreams, forwarded->upstream);
    uint8_t bytes[PLATFORM_PREFIX_BYTES + WIRE_PACKET_MAX];
    size_t length = forwarded->packet.packet_len;
    struct egress_meta meta = {.kind = EGRESS_CALLER,
                               .flow = forwarded->upstream};

    if (u == NULL || u->state == UPSTREAM_GONE) {
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        log_event(LOG_WARN, "packet-not-carried",
                  "upstream=%016llx reason=unknown-here",
                  (unsigned long long)forwarded->upstream);
        return;
    }
    meta.address = u->address;
    meta.port = u->port;
    platform_write_prefix(bytes, u->id);
    memcpy(bytes + PLATFORM_PREFIX_BYTES, forwarded->packet.packet_val,
           length);
    node_send(node, &meta, bytes, PLATFORM_PREFIX_BYTES + length, NULL, 0);
}

/* Probes all halls: the suspected ones and those in which relays would be. */
static void
probe_halls(struct node *node, uint64_t now)
{
    const GArray *halls = node->evidence.halls;

    for (guint i = 0; i < halls->len; i++) {
        fleet_probe_hall(&node->fleet, now,
                         g_array_index(halls, struct evidence_hall, i).hall);
    }
    node->hall_probe_at = now + PROBE_INTERVAL_MS;
}

/* Looks up the name of a hall among the upstreams in it. */
static const char *
hall_name(const struct node *node, uint32_t hall)
{
    for (guint i = 0; i < node->upstreams.all->len; i++) {
        const struct upstream *u = node->upstreams.all->pdata[i];

        if (u->hall_hash == hall) {
            return u->hall;
        }
    }
    return "unknown";
}

/* Logs a suspected hall, once a probe could have been answered, and the end of
 * the suspicion. */
static void
log_hall_reachability(const struct node *node, struct evidence_hall *hall,
                      uint64_t now)
{
    bool is_suspected = now < hall->suspected_until &&
                        now >= hall->suspected_at + PROBE_INTERVAL_MS;

    if (is_suspected && !hall->logged) {
        log_event(LOG_WARN, "hall-cut-off", "hall=%s avoided=%d",
                  hall_name(node, hall->hall), now < hall->avoid_until);
    }
    else if (hall->logged && now >= hall->suspected_until) {
        log_event(LOG_WARN, "hall-reached", "hall=%s",
                  hall_name(node, hall->hall));
    }
    else {
        return;
    }
    hall->logged = is_suspected;
}

void
node_probe_halls(struct node *node, uint64_t now)
{
    GArray *halls = node->evidence.halls;
    bool probe_due = false;
    bool any_suspected = false;

    for (guint i = 0; i < halls->len; i++) {
        struct evidence_hall *hall =
            &g_array_index(halls, struct evidence_hall, i);

        log_hall_reachability(node, hall, now);
        probe_due = probe_due || hall->probe_due;
        any_suspected = any_suspected || now < hall->suspected_until;
        hall->probe_due = false;
    }
    if (!any_suspected) {
        node->hall_probe_at = 0;
    }
    else if (probe_due || now >= node->hall_probe_at) {
        probe_halls(node, now);
    }
}

bool
node_hall_probe_due(const struct node *node)
{
    const GArray *halls = node->evidence.halls;

    for (guint i = 0; i < halls->len; i++) {
        if (g_array_index(halls, struct evidence_hall, i).probe_due) {
            return true;
        }
    }
    return false;
}
