/*
 * Data plane of an entry: receives Geneve packets from the fabric in batches
 * (recvmmsg), steers them with flow_steer() and sends them (sendmmsg).
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry.h"
#include "loop.h"
#include "packet.h"

#define BATCH_PACKETS 64
#define BATCHES_PER_WAKEUP 8 /* before the loop polls other events */
#define SOCKET_BUFFER (4 * 1024 * 1024) /* bytes */

struct batch {
    uint8_t buffers[BATCH_PACKETS][PACKET_HEADROOM + PACKET_MAX];
    struct iovec in[BATCH_PACKETS];
    struct iovec out[BATCH_PACKETS];
    struct sockaddr_in to[BATCH_PACKETS];
    struct mmsghdr received[BATCH_PACKETS];
    struct mmsghdr sent[BATCH_PACKETS];
    struct packet packets[BATCH_PACKETS];
    bool valid[BATCH_PACKETS];
    unsigned sent_count;
};

static struct batch batch;

/* Adds a packet to those that send_batch() sends. */
static void
queue_packet(uint32_t address, uint16_t port, uint8_t *bytes, size_t length)
{
    unsigned i = batch.sent_count++;

    batch.to[i] = (struct sockaddr_in){.sin_family = AF_INET,
                                       .sin_port = htons(port),
                                       .sin_addr.s_addr = htonl(address)};
    batch.out[i] = (struct iovec){.iov_base = bytes, .iov_len = length};
    batch.sent[i].msg_hdr = (struct msghdr){.msg_name = &batch.to[i],
                                            .msg_namelen = sizeof(batch.to[i]),
                                            .msg_iov = &batch.out[i],
                                            .msg_iovlen = 1};
}

/* The fabric routes a packet by its inner addresses. */
static void
queue_to_fabric(struct entry *entry, struct packet *packet)
{
    size_t length;
    uint8_t *at = packet_encapsulate(packet, NULL, &length);

    queue_packet(entry->settings.fabric.address,
                 (uint16_t)entry->settings.fabric.port, at, length);
}

/* Forwards a packet to another entry, with the Geneve forwarding option. */
static void
forward_to_entry(struct entry *entry, struct packet *packet,
                 const struct flow_verdict *verdict)
{
    struct packet_forwarding option = {.origin = verdict->origin,
                                       .position = verdict->position,
                                       .hops = verdict->hops};
    const struct member *peer =
        member_find(&entry->core->members, verdict->peer);
    size_t length;
    uint8_t *at;

    if (peer == NULL) {
        return;
    }
    memcpy(option.asked, verdict->asked, sizeof(option.asked));
    at = packet_encapsulate(packet, &option, &length);
    queue_packet(peer->address, peer->fabric, at, length);
}

/* Applies the steering verdict to a caller's packet. */
static void
steer(struct entry *entry, uint64_t now, uint64_t wall, uint16_t service,
      struct packet *packet)
{
    struct flow_packet input = {.hash = packet_hash(packet),
                                .origin = packet->forwarding.origin,
                                .service = service,
                                .first = packet->first,
                                .closing = packet->closing,
                                .forwarded = packet->forwarded,
                                .position = packet->forwarding.position,
                                .hops = packet->forwarding.hops};
    const struct flow_upstream *upstream;
    struct flow_verdict verdict;

    memcpy(input.asked, packet->forwarding.asked, sizeof(input.asked));
    flow_steer(entry->core->flow, now, wall, &input, &verdict);
    switch (verdict.action) {
    case FLOW_FORWARD:
        upstream = flow_upstream(entry->core->flow, verdict.upstream);
        packet_set_destination(packet, upstream->address, upstream->port);
        queue_to_fabric(entry, packet);
        counter_add(&entry->counters, COUNTER_PACKETS_FORWARDED, 1);
        return;
    case FLOW_FORWARD_TO_ENTRY:
        forward_to_entry(entry, packet, &verdict);
        return;
    case FLOW_DROP:
        return;
    }
}

/* Source NAT: an upstream's packet gets the service's address. */
static void
return_to_caller(struct entry *entry, uint16_t service, struct packet *packet)
{
    uint32_t address;
    uint16_t port;

    flow_service_endpoint(entry->core->flow, service, &address, &port);
    packet_set_source(packet, address, port);
    queue_to_fabric(entry, packet);
    counter_add(&entry->counters, COUNTER_PACKETS_RETURNED, 1);
}

/* Parses a packet and prefetches its flow record. */
static bool
parse_packet(struct entry *entry, uint8_t *bytes, size_t length,
             struct packet *packet)
{
    counter_add(&entry->counters, COUNTER_PACKETS_IN, 1);
    if (!packet_parse(bytes, length, packet)) {
        counter_add(&entry->counters, COUNTER_PACKETS_MALFORMED, 1);
        return false;
    }
    flow_prefetch(entry->core->flow, packet_hash(packet));
    return true;
}

static void
handle_packet(struct entry *entry, uint64_t now, uint64_t wall,
              struct packet *packet)
{
    const struct flow *flow = entry->core->flow;
    int protocol = packet->protocol == PACKET_TCP ? BUNDLE_TCP : BUNDLE_UDP;
    uint16_t service = flow_find_service(flow, packet->destination,
                                         packet->destination_port, protocol);

    if (service != FLOW_NO_SERVICE) {
        steer(entry, now, wall, service, packet);
        return;
    }
    service =
        flow_find_return(flow, packet->source, packet->source_port, protocol);
    if (service != FLOW_NO_SERVICE) {
        return_to_caller(entry, service, packet);
        return;
    }
    if (flow_version(flow) == 0) {
        /* Before the first bundle, a peer may have the service. */
        steer(entry, now, wall, FLOW_NO_SERVICE, packet);
        return;
    }
    counter_add(&entry->counters, COUNTER_PACKETS_NO_SERVICE, 1);
}

static void
send_batch(struct entry *entry)
{
    unsigned done = 0;

    while (done < batch.sent_count) {
        int n = sendmmsg(entry->fabric_fd, batch.sent + done,
                         batch.sent_count - done, MSG_DONTWAIT);

        if (n <= 0) {
            /* Skips a packet that cannot be sent. */
            n = 1;
        }
        done += (unsigned)n;
    }
    batch.sent_count = 0;
}

/* Receives and handles one batch; returns its number of packets. */
static int
receive_batch(struct entry *entry)
{
    uint64_t now;
    uint64_t wall;
    int count;

    for (int i = 0; i < BATCH_PACKETS; i++) {
        batch.in[i] =
            (struct iovec){.iov_base = batch.buffers[i] + PACKET_HEADROOM,
                           .iov_len = PACKET_MAX};
        batch.received[i].msg_hdr =
            (struct msghdr){.msg_iov = &batch.in[i], .msg_iovlen = 1};
    }
    count = recvmmsg(entry->fabric_fd, batch.received, BATCH_PACKETS,
                     MSG_DONTWAIT, NULL);
    now = loop_now();
    wall = loop_wall();
    for (int i = 0; i < count; i++) {
        batch.valid[i] =
            parse_packet(entry, batch.in[i].iov_base,
                         batch.received[i].msg_len, &batch.packets[i]);
    }
    for (int i = 0; i < count; i++) {
        if (batch.valid[i]) {
            handle_packet(entry, now, wall, &batch.packets[i]);
        }
    }
    send_batch(entry);
    return count;
}

static void
on_packets(void *data)
{
    struct entry *entry = data;
    int batches = 0;

    while (batches < BATCHES_PER_WAKEUP &&
           receive_batch(entry) == BATCH_PACKETS) {
        batches++;
    }
    entry_core_flush(entry->core);
    entry_run_actions(entry);
}

enum status_kind
entry_open_packets(struct entry *entry, struct status *st)
{
    struct settings *s = &entry->settings;
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)s->fabric_port),
                             .sin_addr.s_addr = htonl(s->address)};
    int size = SOCKET_BUFFER;

    entry->fabric_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (entry->fabric_fd < 0 ||
        bind(entry->fabric_fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        return status_set(st, STATUS_IO,
                          "cannot bind fabric_port %u: %s; free the port or "
                          "set another",
                          (unsigned)s->fabric_port, g_strerror(errno));
    }
    (void)setsockopt(entry->fabric_fd, SOL_SOCKET, SO_RCVBUF, &size,
                     sizeof(size));
    (void)setsockopt(entry->fabric_fd, SOL_SOCKET, SO_SNDBUF, &size,
                     sizeof(size));
    loop_watch(entry->fabric_fd, on_packets, entry);
    return STATUS_OK;
}
