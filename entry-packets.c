/*
 * Packets: batches from the fabric socket through flow_steer() and out, with
 * recvmmsg and sendmmsg.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry.h"
#include "loop.h"
#include "packet.h"

#define BATCH 64
#define BATCHES_A_TURN 8 /* then other events have their turn */
#define SOCKET_BUFFER (4 * 1024 * 1024)

/* One batch of packets. */
struct batch {
    uint8_t buffers[BATCH][PACKET_HEADROOM + PACKET_MAX];
    struct iovec in[BATCH];
    struct iovec out[BATCH];
    struct sockaddr_in to[BATCH];
    struct mmsghdr received[BATCH];
    struct mmsghdr sent[BATCH];
    struct packet packets[BATCH];
    bool good[BATCH];
    unsigned sent_count;
};

static struct batch batch;

/* Addresses a packet that leaves. */
static void
send_to(uint32_t address, uint16_t port, uint8_t *bytes, size_t length)
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

/* Sends a packet to the fabric, which routes it by its inner addresses. */
static void
send_to_fabric(struct entry *entry, struct packet *packet)
{
    size_t length;
    uint8_t *at = packet_encapsulate(packet, NULL, &length);

    send_to(entry->settings.fabric.address,
            (uint16_t)entry->settings.fabric.port, at, length);
}

/* Hands a packet to another entry. */
static void
hand(struct entry *entry, struct packet *packet,
     const struct flow_verdict *verdict)
{
    struct packet_forwarding option = {.origin = verdict->origin,
                                       .position = verdict->position,
                                       .hops = verdict->hops};
    const struct member *peer = member_find(&entry->core->all, verdict->peer);
    size_t length;
    uint8_t *at;

    if (peer == NULL) {
        return;
    }
    memcpy(option.asked, verdict->asked, sizeof(option.asked));
    at = packet_encapsulate(packet, &option, &length);
    send_to(peer->address, peer->fabric, at, length);
}

/* Steers a packet on its way to an upstream. */
static void
steer(struct entry *entry, uint64_t now, uint64_t wall, uint16_t service,
      struct packet *packet)
{
    struct flow_packet question = {.hash = packet_hash(packet),
                                   .origin = packet->forwarding.origin,
                                   .service = service,
                                   .first = packet->first,
                                   .closing = packet->closing,
                                   .handed = packet->handed,
                                   .position = packet->forwarding.position,
                                   .hops = packet->forwarding.hops};
    const struct flow_upstream *upstream;
    struct flow_verdict verdict;

    memcpy(question.asked, packet->forwarding.asked, sizeof(question.asked));
    flow_steer(entry->core->flow, now, wall, &question, &verdict);
    switch (verdict.action) {
    case FLOW_FORWARD:
        upstream = flow_upstream(entry->core->flow, verdict.upstream);
        packet_set_destination(packet, upstream->address, upstream->port);
        send_to_fabric(entry, packet);
        counter_add(&entry->counters, COUNTER_PACKETS_FORWARDED, 1);
        return;
    case FLOW_HAND:
        hand(entry, packet, &verdict);
        return;
    case FLOW_DROP:
        return;
    }
}

/* Sends a packet of an upstream back to its caller. */
static void
send_back(struct entry *entry, uint16_t service, struct packet *packet)
{
    uint32_t address;
    uint16_t port;

    flow_service_endpoint(entry->core->flow, service, &address, &port);
    packet_set_source(packet, address, port);
    send_to_fabric(entry, packet);
    counter_add(&entry->counters, COUNTER_PACKETS_RETURNED, 1);
}

/* Parses one packet, and fetches its flow's record early. */
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

/* Takes one packet. */
static void
take_packet(struct entry *entry, uint64_t now, uint64_t wall,
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
        send_back(entry, service, packet);
        return;
    }
    if (flow_version(flow) == 0) {
        /* Without any bundle a peer may know the service. */
        steer(entry, now, wall, FLOW_NO_SERVICE, packet);
        return;
    }
    counter_add(&entry->counters, COUNTER_PACKETS_NO_SERVICE, 1);
}

/* Sends what the batch produced. */
static void
send_batch(struct entry *entry)
{
    unsigned done = 0;

    while (done < batch.sent_count) {
        int n = sendmmsg(entry->fabric_fd, batch.sent + done,
                         batch.sent_count - done, MSG_DONTWAIT);

        if (n <= 0) {
            /* One that cannot be sent must not hold up those behind it. */
            n = 1;
        }
        done += (unsigned)n;
    }
    batch.sent_count = 0;
}

/* Receives one batch; returns how many packets it had. */
static int
take_batch(struct entry *entry)
{
    uint64_t now;
    uint64_t wall;
    int count;

    for (int i = 0; i < BATCH; i++) {
        batch.in[i] =
            (struct iovec){.iov_base = batch.buffers[i] + PACKET_HEADROOM,
                           .iov_len = PACKET_MAX};
        batch.received[i].msg_hdr =
            (struct msghdr){.msg_iov = &batch.in[i], .msg_iovlen = 1};
    }
    count =
        recvmmsg(entry->fabric_fd, batch.received, BATCH, MSG_DONTWAIT, NULL);
    now = loop_now();
    wall = loop_wall();
    for (int i = 0; i < count; i++) {
        batch.good[i] =
            parse_packet(entry, batch.in[i].iov_base,
                         batch.received[i].msg_len, &batch.packets[i]);
    }
    for (int i = 0; i < count; i++) {
        if (batch.good[i]) {
            take_packet(entry, now, wall, &batch.packets[i]);
        }
    }
    send_batch(entry);
    return count;
}

/* Takes what the socket holds, in a bounded number of batches. */
static void
on_packets(void *data)
{
    struct entry *entry = data;
    int turns = 0;

    while (turns < BATCHES_A_TURN && take_batch(entry) == BATCH) {
        turns++;
    }
    entry_core_flush(entry->core);
    entry_act(entry);
}

/* Opens the socket for packets. */
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
