/*
 * The network of a simulated fleet: links with a rate and a queue, datagrams
 * that are bounded, delayed, lost or cut off, and messages in parts.
 */
#include "fleet-sim-internal.h"

#include "codec.h"

#define QUEUE_MS 1000 /* a message that would wait longer is lost */
#define DELAY_MS 1    /* least time that a message is under way */
#define JITTER_MS 3   /* most that is added to it */

/* A message under way. */
struct flight {
    uint64_t at;   /* deadline: at the receiver's link or, then, received */
    bool received; /* its link has taken it */
    int from;
    int to;
    GByteArray *bytes;
};

/* Node at an address, -1 when there is none. */
int
fleet_sim_node_at(const struct fleet_sim *sim, uint32_t address)
{
    for (int i = 0; i < sim->count; i++) {
        if (sim->nodes[i].address == address) {
            return i;
        }
    }
    return -1;
}

/* Says whether a node runs now. */
bool
fleet_sim_is_running(const struct fleet_sim *sim, int n)
{
    return sim->nodes[n].up && sim->now >= sim->nodes[n].frozen_until;
}

/* When a message of so many bytes has passed a link that is free at a time;
 * UINT64_MAX: its queue is full. */
static uint64_t
pass_link(const struct fleet_sim *sim, uint64_t now_us, uint64_t *free_at,
          unsigned kb_s, size_t bytes)
{
    uint64_t begins = MAX(now_us, *free_at);
    uint64_t queue_ms =
        sim->options.queue_ms ? sim->options.queue_ms : QUEUE_MS;

    if (kb_s == 0) {
        return now_us;
    }
    if (begins > now_us + queue_ms * 1000) {
        return UINT64_MAX;
    }
    *free_at = begins + bytes * 1000 / kb_s;
    return *free_at;
}

/* Rate of a node's link. */
unsigned
fleet_sim_link_of(const struct fleet_sim *sim, int n)
{
    return sim->nodes[n].has_disk ? sim->options.disk_link_kb_s
                                  : sim->options.link_kb_s;
}

/* When a message is at its receiver's link; UINT64_MAX: it is lost at the
 * sender's, which is full. */
static uint64_t
arrival(struct fleet_sim *sim, int from, size_t bytes)
{
    uint64_t at =
        pass_link(sim, sim->now * 1000, &sim->nodes[from].out_free_at,
                  fleet_sim_link_of(sim, from), bytes);

    if (at == UINT64_MAX) {
        return at;
    }
    return at / 1000 + DELAY_MS + fleet_sim_random(sim, JITTER_MS + 1);
}

/* When a message that is at its receiver's link has passed it; UINT64_MAX: it
 * is lost there. */
static uint64_t
reception(struct fleet_sim *sim, int to, size_t bytes)
{
    uint64_t at = pass_link(sim, sim->now * 1000, &sim->nodes[to].in_free_at,
                            fleet_sim_link_of(sim, to), bytes);

    return at == UINT64_MAX ? at : at / 1000;
}

/* Sends a datagram. */
static void
send_datagram(struct fleet_sim *sim, int from, uint32_t to_address,
              const GByteArray *bytes)
{
    struct flight flight = {.from = from,
                            .to = fleet_sim_node_at(sim, to_address)};

    if (bytes->len > FLEET_SIM_DATAGRAM_MAX) {
        return;
    }
    sim->nodes[from].bytes_sent += bytes->len;
    if (flight.to < 0 || sim->cut[from][flight.to] ||
        fleet_sim_random(sim, 1000) < sim->options.loss) {
        return;
    }
    flight.at = arrival(sim, from, bytes->len);
    if (flight.at == UINT64_MAX) {
        return;
    }
    flight.bytes = g_byte_array_ref((GByteArray *)bytes);
    g_array_append_val(sim->queue, flight);
}

/* Counts bytes of changes that a node sends. */
static void
count_spread(struct fleet_sim *sim, int from, uint32_t to, uint64_t bytes)
{
    int receiver = fleet_sim_node_at(sim, to);

    sim->nodes[from].spread_sent += bytes;
    if (receiver >= 0 &&
        fleet_sim_hall(sim, receiver) != fleet_sim_hall(sim, from)) {
        sim->nodes[from].spread_between += bytes;
    }
}

/* Sends a message, in parts when no datagram holds it. */
void
fleet_sim_send(struct fleet_sim *sim, int from, uint32_t to, GByteArray *bytes)
{
    GPtrArray *parts;

    uint32_t kind = codec_kind(bytes->data, bytes->len);

    if (kind == WIRE_TABLE) {
        sim->nodes[from].tables_sent += bytes->len;
    }
    if (kind == WIRE_SPREAD || kind == WIRE_SPREAD_ACK) {
        count_spread(sim, from, to, bytes->len);
    }
    if (kind == WIRE_COMPARE || kind == WIRE_NEED || kind == WIRE_UPSTREAMS) {
        sim->nodes[from].compared_sent += bytes->len;
    }
    if (kind < WIRE_HELLO && sim->nodes[from].out_free_at > sim->now * 1000) {
        sim->vote_wait_us = MAX(
            sim->vote_wait_us, sim->nodes[from].out_free_at - sim->now * 1000);
    }
    if (bytes->len <= FRAGMENT_UNSPLIT_MAX) {
        send_datagram(sim, from, to, bytes);
        return;
    }
    parts =
        fragment_split(fleet_sim_random(sim, 0) | 1, bytes->data, bytes->len);
    for (guint i = 0; parts != NULL && i < parts->len; i++) {
        send_datagram(sim, from, to, g_ptr_array_index(parts, i));
    }
    g_clear_pointer(&parts, g_ptr_array_unref);
}

/* Says whether a message that is under way must wait. */
static bool
waits(const struct fleet_sim *sim, const struct flight *flight)
{
    return flight->at > sim->now || (sim->nodes[flight->to].up &&
                                     !fleet_sim_is_running(sim, flight->to));
}

/* Delivers messages that are due; those for a frozen node wait. What is sent
 * meanwhile stands at the end of the queue. */
void
fleet_sim_deliver_due(struct fleet_sim *sim)
{
    guint kept = 0;

    for (guint i = 0; i < sim->queue->len; i++) {
        struct flight flight = g_array_index(sim->queue, struct flight, i);

        if (flight.at <= sim->now && !flight.received) {
            flight.at = reception(sim, flight.to, flight.bytes->len);
            flight.received = true;
        }
        if (flight.at == UINT64_MAX) {
            g_byte_array_unref(flight.bytes);
            continue;
        }
        if (waits(sim, &flight)) {
            g_array_index(sim->queue, struct flight, kept++) = flight;
            continue;
        }
        if (sim->nodes[flight.to].up && !sim->cut[flight.from][flight.to]) {
            fleet_sim_deliver(sim, flight.to, flight.bytes);
        }
        g_byte_array_unref(flight.bytes);
    }
    g_array_set_size(sim->queue, kept);
}

/* Makes the queue of messages under way. */
GArray *
fleet_sim_queue_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct flight));
}

/* Frees it, with what is under way. */
void
fleet_sim_queue_free(GArray *queue)
{
    for (guint i = 0; i < queue->len; i++) {
        g_byte_array_unref(g_array_index(queue, struct flight, i).bytes);
    }
    g_array_free(queue, TRUE);
}
