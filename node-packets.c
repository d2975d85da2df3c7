/*
 * The data path: reads callers' packets in batches, has evidence.h choose an
 * upstream for each, and forwards them or resets the flow.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "address.h"
#include "fault.h"
#include "hash.h"
#include "log.h"
#include "loop.h"
#include "node-status.h"
#include "platform/platform.h"

#define BATCH_PACKETS 64     /* packets per recvmmsg() call */
#define BATCHES_PER_WAKEUP 4 /* then other events are handled */
#define PACKET_MAX (PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX)
#define SOCKET_BUFFER (1024 * 1024) /* bytes; holds a burst during a stall */
#define HELD_MAX 256                /* packets */
#define HOLD_MS 500U /* callers retransmit after 200 and 600 ms */
/* A first packet is held for less than the caller's first retransmission
 * timeout (200 ms): the copy may open the flow at another node. */
#define HOLD_FIRST_MS 150U
/* After a stall of this length first packets are dropped, since a copy may
 * have opened the flow at another node. */
#define STALE_MS 150U
/* Interval between two decisions about a packet that waits for room: half of a
 * short request's time. */
#define ROOM_RETRY_MS 20U
/* Time for decisions about packets that wait for room, in each interval: one
 * takes 2.4 ms at 13,000 upstreams, so those about 256 packets would delay new
 * packets by 600 ms. */
#define ROOM_RETRY_BUDGET_MS 5U

/* Buffers of one batch; each packet is preceded by room for its prefix. */
static struct {
    uint8_t buffers[BATCH_PACKETS][PLATFORM_PREFIX_BYTES + PACKET_MAX + 1];
    struct iovec in[BATCH_PACKETS];
    struct iovec out[BATCH_PACKETS];
    struct sockaddr_in to[BATCH_PACKETS];
    struct mmsghdr received[BATCH_PACKETS];
    union node_drops_buffer drops[BATCH_PACKETS];
    struct mmsghdr sent[BATCH_PACKETS];
    unsigned sent_count;
} batch;

/* A packet that waits for the table, the inventory, or room at an upstream or
 * the link. */
struct held_packet {
    uint64_t received_at; /* time */
    uint64_t expires_at;  /* deadline: dropped, or refused when it waits for
                             room */
    bool waits_for_room;  /* else for the table or the inventory */
    uint32_t rank;        /* of its route, when it waits for room */
    size_t length;        /* of the packet, without prefix */
    uint8_t bytes[PLATFORM_PREFIX_BYTES + PACKET_MAX]; /* prefix, packet */
};

static struct held_packet *held_packets; /* HELD_MAX, allocated on first use */
static unsigned held_count;

static void
batch_add(uint32_t address, uint16_t port, uint8_t *bytes, size_t length)
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

/* Sends the batch; a packet that sendmmsg() refuses is dropped. */
static void
batch_send(struct node *node)
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

static const char *
action_event(enum evidence_action action)
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

/* Fields common to the log lines about a decision. */
struct decision_text {
    char caller[ADDRESS_TEXT];
    char route[ADDRESS_TEXT];
    const char *event;
    const char *rule;
    unsigned long long flow;
    unsigned long long version; /* of the table in use */
};

static void
log_assigned(const struct decision_text *text,
             const struct evidence_packet *packet,
             const struct evidence_verdict *verdict)
{
    const struct upstream *u = verdict->upstream;

    log_event(LOG_INFO, text->event,
              "flow=%016llx caller=%s route=%s rule=%s upstream=%llx "
              "busy=%u open=%u candidates=%u emptied=%u cold=%u copies=%u "
              "version=%llu",
              text->flow, text->caller, text->route, text->rule,
              (unsigned long long)u->id, u->busy, u->open, verdict->candidates,
              verdict->drained, verdict->warming,
              packet->first ? packet->acknowledged : 0, text->version);
}

/* Logs the reset of an open flow, with the state of its upstream. */
static void
log_flow_end(const struct decision_text *text, const struct upstream *u)
{
    uint64_t now = loop_now();

    log_event(LOG_INFO, text->event,
              "flow=%016llx caller=%s route=%s rule=%s upstream=%llx "
              "state=%s sequence=%llu keeper=%08x quiet_ms=%llu version=%llu",
              text->flow, text->caller, text->route, text->rule,
              (unsigned long long)u->id, upstream_state_name(u->state),
              (unsigned long long)u->sequence, u->keeper,
              (unsigned long long)(u->last_progress_at != 0
                                       ? now - u->last_progress_at
                                       : 0),
              text->version);
}

/* Logs a first packet that load control did not admit, with the inputs of the
 * decision. */
static void
log_not_admitted(const struct decision_text *text,
                 const struct evidence_admission *a)
{
    log_event(LOG_INFO, text->event,
              "flow=%016llx caller=%s route=%s rule=%s rank=%u aim_ms=%u "
              "limit_milli=%u lowest_milli=%u room_age_ms=%u unloaded_us=%u "
              "queued_bytes=%llu pending_bytes=%llu request_bytes=%llu "
              "returning=%d no_hold=%d version=%llu",
              text->flow, text->caller, text->route, text->rule,
              a->request.rank, a->request.aim_ms, a->verdict.limit_milli,
              a->room.lowest_milli, a->room.age_ms, a->room.unloaded_us,
              (unsigned long long)a->link.queued_bytes,
              (unsigned long long)a->link.pending_bytes,
              (unsigned long long)a->link.request_bytes, a->request.returning,
              a->request.no_hold, text->version);
}

/* Logs and records a decision, unless the packet's token alone decided it. */
static void
log_verdict(struct node *node, const struct evidence_packet *packet,
            const struct evidence_verdict *verdict)
{
    struct decision_text text = {
        .event = action_event(verdict->action),
        .rule = ring_rule_name(verdict->rule),
        .flow = verdict->flow,
        .version = node->evidence.table->version,
    };

    if (verdict->rule == RULE_EVIDENCE) {
        return;
    }
    node_record_decision(node, packet, verdict);
    (void)address_format(packet->source, packet->source_port, text.caller);
    (void)address_format(packet->destination, packet->destination_port,
                         text.route);
    if (verdict->action == EVIDENCE_FORWARD) {
        log_assigned(&text, packet, verdict);
    }
    else if (verdict->upstream != NULL) {
        log_flow_end(&text, verdict->upstream);
    }
    else if (verdict->admission.decided) {
        log_not_admitted(&text, &verdict->admission);
    }
    else {
        log_event(LOG_INFO, text.event,
                  "flow=%016llx caller=%s route=%s rule=%s token=%08x "
                  "first=%d version=%llu",
                  text.flow, text.caller, text.route, text.rule, packet->token,
                  packet->first, text.version);
    }
}

/* A packet that waits for room is left to node_retry_held_packets(), which
 * forwards or refuses it. */
static void
drop_expired(struct node *node)
{
    uint64_t now = loop_now();
    unsigned remaining = 0;

    for (unsigned i = 0; i < held_count; i++) {
        if (now >= held_packets[i].expires_at &&
            !held_packets[i].waits_for_room) {
            counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        }
        else if (remaining++ != i) {
            held_packets[remaining - 1] = held_packets[i];
        }
    }
    held_count = remaining;
}

/* Whether another packet can be held. */
static bool
has_space(struct node *node)
{
    if (held_count == HELD_MAX) {
        drop_expired(node);
    }
    return held_count < HELD_MAX && !fault_is(FAULT_NO_HOLD);
}

/* Holds a packet; false when HELD_MAX packets are still held. */
static bool
hold(struct node *node, const struct held_packet *info, bool is_retry,
     const uint8_t *bytes, size_t length)
{
    struct held_packet *slot;

    if (!has_space(node)) {
        return false;
    }
    if (held_packets == NULL) {
        held_packets = g_new0(struct held_packet, HELD_MAX);
    }
    /* Decided about again every 20 ms; counted once. */
    if (!info->waits_for_room || !is_retry) {
        counter_add(&node->counters, COUNTER_PACKETS_HELD, 1);
    }
    slot = &held_packets[held_count++];
    slot->received_at = info->received_at;
    slot->expires_at = info->expires_at;
    slot->waits_for_room = info->waits_for_room;
    slot->rank = info->rank;
    slot->length = length;
    /* On a retry the packet may already be in this slot. */
    memmove(slot->bytes + PLATFORM_PREFIX_BYTES, bytes + PLATFORM_PREFIX_BYTES,
            length);
    return true;
}

/* Identifies a packet within its flow, so that egress.h can drop a
 * retransmission whose original is still queued. 0 for a pure acknowledgement,
 * since each carries new information. */
static uint64_t
content_hash_of(const struct evidence_packet *packet,
                const struct evidence_verdict *verdict)
{
    uint64_t position =
        packet->first ? UINT64_MAX
                      : (uint64_t)packet->sequence << 32 | packet->length;

    return packet->first || packet->length > 0
               ? hash_pair(HASH_FLOW, verdict->flow, position)
               : 0;
}

/* True when the link is free; otherwise the packet was queued or dropped. */
static bool
admit_packet(struct node *node, const struct evidence_packet *packet,
             const struct evidence_verdict *verdict, const uint8_t *bytes,
             size_t length)
{
    struct egress_meta meta = {.kind = EGRESS_CALLER,
                               .flow = verdict->flow,
                               .content_hash =
                                   content_hash_of(packet, verdict),
                               .sequence = packet->sequence,
                               .address = verdict->upstream->address,
                               .port = verdict->upstream->port};

    /* A copy may have opened the flow at another node by then. */
    meta.deadline_us = packet->first ? loop_now_us() + STALE_MS * 1000
                                     : verdict->expires_at * 1000;

    return node_egress_admit(node, &meta, bytes,
                             PLATFORM_PREFIX_BYTES + length, NULL, 0);
}

static void
send_reset(struct node *node, const struct evidence_packet *packet,
           uint64_t flow)
{
    struct egress_meta meta = {.kind = EGRESS_CALLER,
                               .flow = flow,
                               .address = packet->source,
                               .port = node->settings.packets.port};
    uint8_t reset[PLATFORM_HEADER_BYTES];

    counter_add(&node->counters, COUNTER_FLOWS_REFUSED, 1);
    platform_write_reset(packet, reset);
    node_send(node, &meta, reset, sizeof(reset), NULL, 0);
}

/* Holds a packet as its verdict says; one that cannot be held is dropped. A
 * packet waits for room only while there is space for it, see
 * set_load_inputs(). */
static void
hold_packet(struct node *node, uint64_t now,
            const struct evidence_packet *packet,
            const struct evidence_verdict *verdict, const uint8_t *bytes,
            size_t length)
{
    struct held_packet info = {
        .received_at = packet->received_at != 0 ? packet->received_at : now,
        .expires_at = now + (packet->first ? HOLD_FIRST_MS : HOLD_MS)};

    if (verdict->rule == RULE_UNKNOWN_EVIDENCE) {
        fleet_resolve(&node->fleet, now, packet->token);
    }
    if (verdict->rule == RULE_WAIT_FOR_ROOM) {
        info.waits_for_room = true;
        info.expires_at = verdict->admission.verdict.hold_until;
        info.rank = verdict->admission.request.rank;
        /* A later packet must not postpone the retry of those before it. */
        if (node->held_retry_at == 0) {
            node->held_retry_at = now + ROOM_RETRY_MS;
        }
    }
    if (!hold(node, &info, packet->received_at != 0, bytes, length)) {
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
    }
}

/* State of the link and of the held packets, for the decision about a first
 * packet. */
static void
set_load_inputs(struct node *node)
{
    struct admission_link *link = &node->evidence.load.link;

    node->evidence.load.no_hold = !has_space(node);
    link->rate_kbit_s = node->settings.link_kbit_s;
    link->queued_bytes = node->egress.bytes;
}

/* Handles one packet, which follows its prefix in `bytes`. `received_at`: when
 * it arrived, if it was held since; else 0. */
static void
steer_packet(struct node *node, uint64_t now, uint8_t *bytes, size_t length,
             uint64_t received_at)
{
    uint8_t *header = bytes + PLATFORM_PREFIX_BYTES;
    struct evidence_packet packet;
    struct evidence_verdict verdict;
    bool is_retry = received_at != 0;

    if (!platform_read_packet(header, length, &packet)) {
        counter_add(&node->counters, COUNTER_PACKETS_MALFORMED, 1);
        return;
    }
    packet.received_at = received_at;
    if (packet.first) {
        set_load_inputs(node);
    }
    if (packet.first && node->after_stall && !fault_is(FAULT_NO_STALE_DROP)) {
        counter_add(&node->counters, COUNTER_PACKETS_STALE, 1);
        return;
    }
    evidence_steer(&node->evidence, now, &packet, &verdict);
    if (!is_retry || verdict.action != EVIDENCE_HOLD) {
        log_verdict(node, &packet, &verdict);
    }
    switch (verdict.action) {
    case EVIDENCE_FORWARD:
        platform_write_token(header, verdict.upstream->token);
        if (verdict.via_relay &&
            node_forward_via_relay(node, now, &verdict, header, length)) {
            break;
        }
        platform_write_prefix(bytes, verdict.upstream->id);
        if (!admit_packet(node, &packet, &verdict, bytes, length)) {
            break;
        }
        batch_add(verdict.upstream->address, verdict.upstream->port, bytes,
                  PLATFORM_PREFIX_BYTES + length);
        break;
    case EVIDENCE_REFUSE:
        send_reset(node, &packet, verdict.flow);
        break;
    case EVIDENCE_HOLD:
        hold_packet(node, now, &packet, &verdict, bytes, length);
        break;
    case EVIDENCE_DROP:
        counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
        break;
    }
}

/* Returns the number of packets read. */
static int
receive_batch(struct node *node)
{
    uint64_t started_us;
    uint64_t now;
    int n;

    for (unsigned i = 0; i < BATCH_PACKETS; i++) {
        batch.in[i] = (struct iovec){.iov_base = batch.buffers[i] +
                                                 PLATFORM_PREFIX_BYTES,
                                     .iov_len = PACKET_MAX + 1};
        batch.received[i].msg_hdr =
            (struct msghdr){.msg_iov = &batch.in[i],
                            .msg_iovlen = 1,
                            .msg_control = &batch.drops[i],
                            .msg_controllen = sizeof(batch.drops[i])};
    }
    n = recvmmsg(node->packets_fd, batch.received, BATCH_PACKETS, MSG_DONTWAIT,
                 NULL);
    started_us = loop_now_us();
    now = started_us / 1000;
    if (n > 0) {
        node_note_receive_drops(node, now, &node->packets_drops,
                                &batch.received[n - 1].msg_hdr);
    }
    for (int i = 0; i < n; i++) {
        steer_packet(node, now, batch.buffers[i], batch.received[i].msg_len,
                     0);
    }
    batch_send(node);
    node_note_late(node, loop_now(), now);
    if (n > 0) {
        histogram_add(&node->histograms, HISTOGRAM_PACKET,
                      loop_now_us() - started_us);
    }
    return n;
}

/* Order in which held packets are handled: the best rank first, then the least
 * time left. */
static int
compare_held(const void *a, const void *b)
{
    const struct held_packet *x = a;
    const struct held_packet *y = b;

    if (x->rank != y->rank) {
        return x->rank < y->rank ? -1 : 1;
    }
    return x->expires_at < y->expires_at ? -1 : x->expires_at > y->expires_at;
}

/* Leaves a packet that waits for room to the next retry. */
static void
keep_waiting(struct node *node, uint64_t now, const struct held_packet *held)
{
    if (held != &held_packets[held_count]) {
        held_packets[held_count] = *held;
    }
    held_count++;
    node->held_retry_at = now + ROOM_RETRY_MS;
}

void
node_retry_held_packets(struct node *node)
{
    unsigned count = held_count;
    uint64_t now = loop_now();

    node->held_retry_at = 0;
    if (count > 1 && node->evidence.load.level != EVIDENCE_LOAD_OFF) {
        qsort(held_packets, count, sizeof(*held_packets), compare_held);
    }
    /* Packets that must still wait move to the front of the array. */
    held_count = 0;
    for (unsigned i = 0; i < count; i++) {
        struct held_packet *held = &held_packets[i];
        uint64_t expires_at = held->expires_at;
        uint64_t waited_us = (now - held->received_at) * 1000;
        bool waits_for_room = held->waits_for_room;
        unsigned before = held_count;

        if (now >= expires_at && !waits_for_room) {
            counter_add(&node->counters, COUNTER_PACKETS_NO_EVIDENCE, 1);
            continue;
        }
        if (waits_for_room && now < expires_at &&
            loop_now() >= now + ROOM_RETRY_BUDGET_MS) {
            keep_waiting(node, now, held);
            continue;
        }
        steer_packet(node, now, held->bytes, held->length, held->received_at);
        if (held_count > before) {
            held_packets[before].expires_at =
                MIN(held_packets[before].expires_at, expires_at);
        }
        else if (waits_for_room) {
            histogram_add(&node->histograms, HISTOGRAM_HELD, waited_us);
        }
        batch_send(node);
    }
}

/* Limits the batches, so that a flood of packets can't starve other events. */
static void
on_packets(void *data)
{
    struct node *node = data;
    uint64_t retry_at = node->held_retry_at;

    node_note_late(node, loop_now(), node->tick_at);
    for (int i = 0; i < BATCHES_PER_WAKEUP; i++) {
        if (receive_batch(node) < BATCH_PACKETS) {
            break;
        }
    }
    if (node->upstreams.reports->len > 0 || node_hall_probe_due(node) ||
        node_load_report_due(node) || node->held_retry_at != retry_at ||
        (retry_at != 0 && loop_now() >= retry_at) ||
        fleet_resolve_due(&node->fleet) <= loop_now()) {
        node_run_actions(node);
    }
}

/* Reads the packets that queued up while the process did not run, and drops
 * the first packets among them. */
static void
on_stall(void *data)
{
    struct node *node = data;
    uint64_t before = node->counters.value[COUNTER_PACKETS_STALE];
    uint64_t now = loop_now();

    node_note_late(node, now, now - STALE_MS);
    node->after_stall = true;
    while (receive_batch(node) == BATCH_PACKETS) {
    }
    node->after_stall = false;
    counter_add(&node->counters, COUNTER_WAKEUPS_LATE, 1);
    log_event(
        LOG_WARN, "woke-late", "first_packets_dropped=%llu",
        (unsigned long long)(node->counters.value[COUNTER_PACKETS_STALE] -
                             before));
}

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
        return status_set(
            st, STATUS_IO,
            "cannot bind UDP port %u of \"packets\": %s; free the "
            "port or set another",
            own->port, g_strerror(errno));
    }
    if (setsockopt(node->packets_fd, SOL_SOCKET, SO_RCVBUF, &size,
                   sizeof(size)) != 0) {
        log_event(LOG_WARN, "receive-buffer-not-set", "bytes=%d error=\"%s\"",
                  size, g_strerror(errno));
    }
    node_enable_receive_drops(node->packets_fd);
    loop_watch(node->packets_fd, on_packets, node);
    loop_on_stall(on_stall, node, STALE_MS);
    return STATUS_OK;
}
