/*
 * Messages between nodes: XDR (RFC 4506) in UDP datagrams, each after an
 * 8-byte checksum. Delivery is best effort, and the sender of a message
 * retries as its protocol requires. Larger messages are sent in fragments.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#include "codec.h"
#include "hash.h"
#include "log.h"
#include "loop.h"
#include "node.h"

#define DATAGRAMS_PER_WAKEUP 16 /* limit, so that other events are handled */
/* Pending actions are executed at this number, to bound their memory. */
#define ACTIONS_PENDING_MAX 64
/* A message up to this size has priority over bulk transfers. */
#define PROMPT_MAX_BYTES 1200U

/* True for messages of the consensus protocol. */
static bool
is_for_voter(uint32_t kind)
{
    return kind == WIRE_VOTE_ASK || kind == WIRE_VOTE_REPLY ||
           kind == WIRE_APPEND || kind == WIRE_APPEND_REPLY ||
           kind == WIRE_SNAPSHOT;
}

/* Counts sent bytes by purpose. */
static void
count_bytes(struct node *node, uint32_t kind, size_t length)
{
    enum counter_id id = COUNTER_INVENTORY_BYTES_OUT;

    if (is_for_voter(kind)) {
        id = COUNTER_CONSENSUS_BYTES_OUT;
    }
    else if (kind == WIRE_TABLE || kind == WIRE_TABLE_ASK) {
        id = COUNTER_TABLE_BYTES_OUT;
    }
    else if (kind == WIRE_HELLO || kind == WIRE_MEMBERS ||
             kind == WIRE_FOUND || kind == WIRE_HALLS) {
        id = COUNTER_MEMBER_BYTES_OUT;
    }
    /* Counted by node_count_load(). */
    if (kind != WIRE_LOAD) {
        counter_add(&node->counters, id, length);
    }
    counter_add(&node->counters, COUNTER_CONTROL_BYTES_OUT, length);
}

/* Packets on hold may depend on a small message, and it occupies the link only
 * briefly, so it gets priority. */
static enum egress_kind
egress_kind_of(uint32_t kind, size_t length)
{
    if (length <= PROMPT_MAX_BYTES) {
        return EGRESS_PROMPT;
    }
    return kind == WIRE_TABLE || kind == WIRE_UPSTREAMS || kind == WIRE_MEMBERS
               ? EGRESS_BULK
               : EGRESS_PROMPT;
}

static void
send_datagram(struct node *node, uint32_t to, uint32_t kind,
              const guint8 *bytes, size_t length)
{
    struct egress_meta meta = {.kind = egress_kind_of(kind, length),
                               .address = to,
                               .port = (uint16_t)node->settings.peer_port};
    uint64_t checksum = hash_checksum(bytes, length);

    if (is_for_voter(kind)) {
        node_send_now(node, &meta, (const uint8_t *)&checksum,
                      sizeof(checksum), bytes, length);
    }
    else {
        node_send(node, &meta, (const uint8_t *)&checksum, sizeof(checksum),
                  bytes, length);
    }
}

static void
send_fragments(struct node *node, uint32_t to, const guint8 *bytes,
               size_t length)
{
    uint32_t kind = codec_kind(bytes, length);
    GPtrArray *fragments;
    uint64_t message_id;

    randombytes_buf(&message_id, sizeof(message_id));
    fragments = fragment_split(message_id, bytes, length);
    if (fragments == NULL) {
        counter_add(&node->counters, COUNTER_MSGS_TOO_LARGE, 1);
        log_event(LOG_ERROR, "message-too-large", "to=%08x kind=%u bytes=%zu",
                  to, kind, length);
        return;
    }
    for (guint i = 0; i < fragments->len; i++) {
        const GByteArray *fragment = g_ptr_array_index(fragments, i);

        send_datagram(node, to, kind, fragment->data, fragment->len);
    }
    g_ptr_array_unref(fragments);
}

void
node_send_to_peer(struct node *node, uint32_t to, const guint8 *bytes,
                  size_t length)
{
    uint32_t kind = codec_kind(bytes, length);

    count_bytes(node, kind, length);
    if (length > FRAGMENT_UNSPLIT_MAX) {
        send_fragments(node, to, bytes, length);
    }
    else {
        send_datagram(node, to, kind, bytes, length);
    }
}

static void receive_message(struct node *node, const guint8 *bytes,
                            size_t length);

/* Handles a message once its last fragment has arrived. Nested fragments are
 * discarded. */
static void
receive_fragment(struct node *node, const wire_part *fragment)
{
    GByteArray *assembled =
        fragment_receive(&node->fragments, loop_now(), fragment);

    if (assembled == NULL) {
        return;
    }
    if (codec_kind(assembled->data, assembled->len) != WIRE_PART) {
        receive_message(node, assembled->data, assembled->len);
    }
    g_byte_array_unref(assembled);
}

/* A hello reply proves that packets reach the sender's data hall and
 * return. */
static void
note_hall_reachable(struct node *node, const wire_msg *msg)
{
    const wire_hello *hello = &msg->wire_msg_u.hello;

    if (msg->kind == WIRE_HELLO && (hello->flags & WIRE_HELLO_REPLY) != 0) {
        evidence_note_hall_reply(&node->evidence, loop_now(),
                                 hello->self.hall);
    }
}

static void
receive_message(struct node *node, const guint8 *bytes, size_t length)
{
    wire_msg msg;

    if (!codec_decode(bytes, length, &msg)) {
        counter_add(&node->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
    if (msg.kind == WIRE_PART) {
        receive_fragment(node, &msg.wire_msg_u.part);
    }
    else if (msg.kind == WIRE_CARRY) {
        node_deliver_forwarded(node, &msg.wire_msg_u.carry);
    }
    else if (is_for_voter(msg.kind)) {
        GByteArray *copy = g_byte_array_sized_new((guint)length);

        g_byte_array_append(copy, bytes, (guint)length);
        node_voter_receive(node, copy);
    }
    else {
        note_hall_reachable(node, &msg);
        fleet_receive(&node->fleet, loop_now(), &msg);
    }
    codec_free(&msg);
}

static void
receive_datagram(struct node *node, const guint8 *bytes, size_t length)
{
    uint64_t checksum;
    const guint8 *message = bytes + sizeof(checksum);

    counter_add(&node->counters, COUNTER_MSGS_IN, 1);
    counter_add(&node->counters, COUNTER_CONTROL_BYTES_IN, length);
    if (length <= sizeof(checksum)) {
        counter_add(&node->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
    memcpy(&checksum, bytes, sizeof(checksum));
    length -= sizeof(checksum);
    if (checksum != hash_checksum(message, length)) {
        counter_add(&node->counters, COUNTER_MSGS_FORGED, 1);
        return;
    }
    receive_message(node, message, length);
}

/* Returns the length of the next datagram, -1 when there is none. */
static ssize_t
read_datagram(struct node *node, guint8 *bytes, size_t size)
{
    union node_drops_buffer drops;
    struct iovec piece = {.iov_base = bytes, .iov_len = size};
    struct msghdr message = {.msg_iov = &piece,
                             .msg_iovlen = 1,
                             .msg_control = &drops,
                             .msg_controllen = sizeof(drops)};
    ssize_t n = recvmsg(node->peers_fd, &message, MSG_DONTWAIT);

    if (n >= 0) {
        node_note_receive_drops(node, loop_now(), &node->peers_drops,
                                &message);
    }
    return n;
}

/* Limits the datagrams, so that messages can't starve other events. */
static void
on_datagrams(void *data)
{
    static guint8 bytes[FRAGMENT_DATAGRAM_MAX];
    struct node *node = data;

    for (int i = 0; i < DATAGRAMS_PER_WAKEUP; i++) {
        ssize_t n = read_datagram(node, bytes, sizeof(bytes));

        if (n < 0) {
            break;
        }
        receive_datagram(node, bytes, (size_t)n);
        if (node->fleet.actions->len >= ACTIONS_PENDING_MAX) {
            node_run_actions(node);
        }
    }
    node_run_actions(node);
}

enum status_kind
node_open_peers(struct node *node, struct status *st)
{
    struct sockaddr_in at = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)node->settings.peer_port),
        .sin_addr.s_addr = htonl(node->settings.packets.address)};

    node->peers_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (node->peers_fd < 0 ||
        bind(node->peers_fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        return status_set(st, STATUS_IO,
                          "cannot bind UDP port %u of \"peer_port\": %s; free "
                          "the port or set another",
                          (unsigned)node->settings.peer_port,
                          g_strerror(errno));
    }
    node_enable_receive_drops(node->peers_fd);
    loop_watch(node->peers_fd, on_datagrams, node);
    return STATUS_OK;
}
