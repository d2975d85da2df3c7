/*
 * Callers' packets: in batches from the fabric, through the steering, and on
 * to upstreams or, as resets, back to callers.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "address.h"
#include "fault.h"
#include "hash.h"
#include "log.h"
#include "loop.h"
#include "node-status.h"
#include "platform/platform.h"

#define BATCH 64         /* packets taken by one call of the kernel */
#define BATCHES_A_TURN 4 /* then other events have their turn */
#define PACKET_MAX (PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX)
#define SOCKET_BUFFER (1024 * 1024) /* for a burst while it stands still */
#define HELD_MAX 256 /* packets of half a second on the smallest VMs */
#define HOLD_MS 500U /* callers send again after 200 and 600 ms */
/* A first packet is held for less, since its copy, after 200 ms, may open the
 * flow elsewhere meanwhile. */
#define HOLD_FIRST_MS 150U
/* When the loop wakes up so late, first packets that waited meanwhile may have
 * been answered elsewhere. */
#define STALE_MS 150U

/* One batch. Each packet has room before it for the prefix. */
static struct {
    uint8_t buffers[BATCH][PLATFORM_PREFIX_BYTES + PACKET_MAX + 1];
    struct iovec in[BATCH];
    struct iovec out[BATCH];
    struct sockaddr_in to[BATCH];
    struct mmsghdr received[BATCH];
    struct mmsghdr sent[BATCH];
    unsigned sent_count;
} batch;

/* A packet that waits until this node knows more. */
struct held {
    uint64_t until; /* deadline: dropped then */
    size_t length;  /* of the packet */
    uint8_t bytes[PLATFORM_PREFIX_BYTES + PACKET_MAX]; /* room, packet */
};

static struct held *held; /* HELD_MAX of them, made when first needed */
static unsigned held_count;

/* Addresses a packet that leaves. */
static void
put_out(uint32_t address, uint16_t port, uint8_t *bytes, size_t length)
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

/* Sends the batch; what the socket does not take is lost as in a network. */
static void
send_out(struct node *node)
{
    unsigned at = 0;

    while (at < batch.sent_count) {
        int n = sendmmsg(node->packets_fd, batch.sent + at,
                         batch.sent_count - at, MSG_DONTWAIT);

        if (n <= 0) {
            log_event(LOG_WARN, "send-failed", "lost=1 error=\"%s\"",
                      g_strerror(errno));
            n = 1;
        }
        at += (unsigned)n;
    }
    batch.sent_count = 0;
}

/* Names a decision in the log. */
static const char *
event_name(enum evidence_action action)
{
    switch (action) {
    case EVIDENCE_FORWARD:
        return "flow-placed";
    case EVIDENCE_REFUSE:
        return "flow-refused";
    case EVIDENCE_HOLD:
        return "packet-held";
    case EVIDENCE_DROP:
        return "packet-dropped";
    }
    return "";
}

/* What every line about a decision says first. */
struct decision_text {
    char caller[ADDRESS_TEXT];
    char place[ADDRESS_TEXT];
    const char *event;
    const char *rule;
    unsigned long long flow;
    unsigned long long version; /* of the table in force */
};

/* Writes that a new flow was placed, and by what. */
static void
log_placed(const struct decision_text *text,
           const struct evidence_packet *packet,
           const struct evidence_verdict *verdict)
{
    const struct upstream *u = verdict->upstream;

    log_event(LOG_INFO, text->event,
              "flow=%016llx caller=%s route=%s rule=%s upstream=%llx "
              "busy=%u open=%u candidates=%u emptied=%u cold=%u copies=%u "
              "version=%llu",
              text->flow, text->caller, text->place, text->rule,
              (unsigned long long)u->id, u->busy, u->open, verdict->candidates,
              verdict->drained, verdict->warming,
              packet->first ? packet->acknowledged : 0, text->version);
}

/* Writes that an open flow ends, and what is believed of its upstream. */
static void
log_ended(const struct decision_text *text, const struct upstream *u)
{
    uint64_t now = loop_now();

    log_event(LOG_INFO, text->event,
              "flow=%016llx caller=%s route=%s rule=%s upstream=%llx "
              "state=%s sequence=%llu keeper=%08x quiet_ms=%llu version=%llu",
              text->flow, text->caller, text->place, text->rule,
              (unsigned long long)u->id, upstream_state_name(u->state),
              (unsigned long long)u->sequence, u->keeper,
              (unsigned long long)(u->last_progress_at != 0
                                       ? now - u->last_progress_at
                                       : 0),
              text->version);
}

/* Writes one line about a decision that is not simply the evidence, and
 * keeps it to be explained. */
static void
log_verdict(struct node *node, const struct evidence_packet *packet,
            const struct evidence_verdict *verdict)
{
    struct decision_text text = {
        .event = event_name(verdict->action),
        .rule = ring_rule_name(verdict->rule),
        .flow = verdict->flow,
        .version = node->evidence.table->version,
    };

    if (verdict->rule == RULE_EVIDENCE) {
        return;
    }
    node_record(node, packet, verdict);
    (void)address_format(packet->source, packet->source_port, text.caller);
    (void)address_format(packet->destination, packet->destination_port,
                         text.place);
    if (verdict->action == EVIDENCE_FORWARD) {
        log_placed(&text, packet, verdict);
    }
    else if (verdict->upstream != NULL) {
        log_ended(&text, verdict->upstream);
    }
    else {
        log_event(LOG_INFO, text.event,
                  "flow=%016llx caller=%s route=%s rule=%s token=%08x "
                  "first=%d version=%llu",
                  text.flow, text.caller, text.place, text.rule, packet->token,
                  packet->first, text.version);
    }
}

/* Drops held packets whose deadline is over, to make room. */
static void
drop_expired(struct node *node)
{
    uint64_t now = loop_now();
    unsigned kept = 0;

    for (unsigned i = 0; i < held_count; i++) {
        if (now >= held[i].until) {
            counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        }
        else if (kept++ != i) {
            held[kept - 1] = held[i];
        }
    }
    held_count = kept;
}

/* Holds a packet; drops it when too many are held. */
static void
hold(struct node *node, uint64_t until, const uint8_t *bytes, size_t length)
{
    struct held *place;

    if (fault_is(FAULT_NO_HOLD)) {
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        return;
    }
    if (held == NULL) {
        held = g_new0(struct held, HELD_MAX);
    }
    if (held_count == HELD_MAX) {
        drop_expired(node);
    }
    if (held_count == HELD_MAX) {
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        return;
    }
    counter_add(&node->counters, COUNTER_PACKETS_HELD, 1);
    place = &held[held_count++];
    place->until = until;
    place->length = length;
    /* A packet that is held again may lie at its own place. */
    memmove(place->bytes + PLATFORM_PREFIX_BYTES,
            bytes + PLATFORM_PREFIX_BYTES, length);
}

/* Names a packet among those of its flow: copies have the same name. Those
 * without data have none, since each tells something new. */
static uint64_t
content_of(const struct evidence_packet *packet,
           const struct evidence_verdict *verdict)
{
    uint64_t place = packet->first
                         ? UINT64_MAX
                         : (uint64_t)packet->sequence << 32 | packet->length;

    return packet->first || packet->length > 0
               ? hash_pair(HASH_FLOW, verdict->flow, place)
               : 0;
}

/* Says whether a packet may leave for its upstream at once. */
static bool
may_forward(struct node *node, const struct evidence_packet *packet,
            const struct evidence_verdict *verdict, const uint8_t *bytes,
            size_t length)
{
    struct egress_head head = {.kind = EGRESS_CALLER,
                               .flow = verdict->flow,
                               .content_hash = content_of(packet, verdict),
                               .sequence = packet->sequence,
                               .address = verdict->upstream->address,
                               .port = verdict->upstream->port};

    /* Its copy may have opened the flow elsewhere by then. */
    head.deadline_us = packet->first ? loop_now_us() + STALE_MS * 1000 : 0;

    return node_may_send(node, &head, bytes, PLATFORM_PREFIX_BYTES + length,
                         NULL, 0);
}

/* Resets a flow towards its caller. */
static void
send_reset(struct node *node, const struct evidence_packet *packet,
           uint64_t flow)
{
    struct egress_head head = {.kind = EGRESS_CALLER,
                               .flow = flow,
                               .address = packet->source,
                               .port = node->settings.packets.port};
    uint8_t reset[PLATFORM_HEADER_BYTES];

    counter_add(&node->counters, COUNTER_FLOWS_REFUSED, 1);
    platform_write_reset(packet, reset);
    node_send(node, &head, reset, sizeof(reset), NULL, 0);
}

/* Steers one packet, which lies behind its prefix; `again` says that it was
 * held before. */
static void
take_packet(struct node *node, uint64_t now, uint8_t *bytes, size_t length,
            bool again)
{
    uint8_t *head = bytes + PLATFORM_PREFIX_BYTES;
    struct evidence_packet packet;
    struct evidence_verdict verdict;

    if (!platform_read_packet(head, length, &packet)) {
        counter_add(&node->counters, COUNTER_PACKETS_MALFORMED, 1);
        return;
    }
    if (packet.first && node->stale && !fault_is(FAULT_NO_STALE)) {
        counter_add(&node->counters, COUNTER_PACKETS_STALE, 1);
        return;
    }
    evidence_steer(&node->evidence, now, &packet, &verdict);
    if (!again || verdict.action != EVIDENCE_HOLD) {
        log_verdict(node, &packet, &verdict);
    }
    switch (verdict.action) {
    case EVIDENCE_FORWARD:
        platform_write_token(head, verdict.upstream->token);
        if (verdict.via_relay &&
            node_carry(node, now, &verdict, head, length)) {
            break;
        }
        platform_write_prefix(bytes, verdict.upstream->id);
        if (!may_forward(node, &packet, &verdict, bytes, length)) {
            break;
        }
        put_out(verdict.upstream->address, verdict.upstream->port, bytes,
                PLATFORM_PREFIX_BYTES + length);
        break;
    case EVIDENCE_REFUSE:
        send_reset(node, &packet, verdict.flow);
        break;
    case EVIDENCE_HOLD:
        if (verdict.rule == RULE_UNKNOWN_EVIDENCE) {
            fleet_resolve(&node->fleet, now, packet.token);
        }
        hold(node, now + (packet.first ? HOLD_FIRST_MS : HOLD_MS), bytes,
             length);
        break;
    case EVIDENCE_DROP:
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        break;
    }
}

/* Takes one batch; returns how many packets it had. */
static int
take_batch(struct node *node)
{
    uint64_t began;
    uint64_t now;
    int n;

    for (unsigned i = 0; i < BATCH; i++) {
        batch.in[i] = (struct iovec){.iov_base = batch.buffers[i] +
                                                 PLATFORM_PREFIX_BYTES,
                                     .iov_len = PACKET_MAX + 1};
        batch.received[i].msg_hdr =
            (struct msghdr){.msg_iov = &batch.in[i], .msg_iovlen = 1};
    }
    n = recvmmsg(node->packets_fd, batch.received, BATCH, MSG_DONTWAIT, NULL);
    began = loop_now_us();
    now = began / 1000;
    for (int i = 0; i < n; i++) {
        take_packet(node, now, batch.buffers[i], batch.received[i].msg_len,
                    false);
    }
    send_out(node);
    if (n > 0) {
        histogram_add(&node->histograms, HISTOGRAM_PACKET,
                      loop_now_us() - began);
    }
    return n;
}

/* Steers once more the packets that were held. */
void
node_release_packets(struct node *node)
{
    unsigned count = held_count;
    uint64_t now = loop_now();

    /* What must wait longer is held again, at or before its old place. */
    held_count = 0;
    for (unsigned i = 0; i < count; i++) {
        uint64_t until = held[i].until;
        unsigned before = held_count;

        if (now >= until) {
            counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
            continue;
        }
        take_packet(node, now, held[i].bytes, held[i].length, true);
        if (held_count > before) {
            held[before].until = MIN(held[before].until, until);
        }
        send_out(node);
    }
}

/* Takes what the socket holds, in bounds. */
static void
on_packets(void *data)
{
    struct node *node = data;

    for (int i = 0; i < BATCHES_A_TURN; i++) {
        if (take_batch(node) < BATCH) {
            break;
        }
    }
    if (node->upstreams.suspicions->len > 0 || node_asks_halls(node) ||
        fleet_resolve_due(&node->fleet) <= loop_now()) {
        node_act(node);
    }
}

/* The process stood still: takes what waited meanwhile, without its first
 * packets. */
static void
on_late(void *data)
{
    struct node *node = data;
    uint64_t before = node->counters.value[COUNTER_PACKETS_STALE];

    node->stale = true;
    while (take_batch(node) == BATCH) {
    }
    node->stale = false;
    counter_add(&node->counters, COUNTER_WAKEUPS_LATE, 1);
    log_event(
        LOG_WARN, "woke-late", "first_packets_dropped=%llu",
        (unsigned long long)(node->counters.value[COUNTER_PACKETS_STALE] -
                             before));
}

/* Opens the socket for packets. */
enum status_kind
node_open_packets(struct node *node, struct status *st)
{
    const struct schema_endpoint *own = &node->settings.packets;
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(own->port),
                             .sin_addr.s_addr = htonl(own->address)};
    int size = SOCKET_BUFFER;

    node->packets_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (node->packets_fd < 0 ||
        bind(node->packets_fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        return status_set(st, STATUS_IO,
                          "cannot bind the port of packets %u: %s; free the "
                          "port or set another",
                          own->port, g_strerror(errno));
    }
    if (setsockopt(node->packets_fd, SOL_SOCKET, SO_RCVBUF, &size,
                   sizeof(size)) != 0) {
        log_event(LOG_WARN, "receive-buffer-not-set", "bytes=%d error=\"%s\"",
                  size, g_strerror(errno));
    }
    loop_watch(node->packets_fd, on_packets, node);
    loop_on_stall(on_late, node, STALE_MS);
    return STATUS_OK;
}
