/*
 * Messages between nodes: XDR in UDP datagrams, with a checksum before it.
 * No message needs to arrive: each is sent again by its own rule. One that no
 * datagram holds goes in parts.
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

#define DATAGRAMS_A_TURN 16 /* then callers' packets have their turn */
/* So many answers, of 6.5 KB each at most, are sent before more is taken: they
 * are kept in memory until then. */
#define ACTIONS_AT_ONCE 64
/* Bytes of a message that is too small to be a copy of much. */
#define PROMPT_BYTES 1200U

/* Says whether a message is for the voter. */
static bool
is_for_voter(uint32_t kind)
{
    return kind == WIRE_VOTE_ASK || kind == WIRE_VOTE_REPLY ||
           kind == WIRE_APPEND || kind == WIRE_APPEND_REPLY ||
           kind == WIRE_SNAPSHOT;
}

/* Counts bytes by what they are for, so that a full link can be explained. */
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
    counter_add(&node->counters, id, length);
    counter_add(&node->counters, COUNTER_CONTROL_BYTES_OUT, length);
}

/* What a message is for. A small one may be what packets wait for, and holds
 * nothing up. */
static enum egress_kind
egress_kind_of(uint32_t kind, size_t length)
{
    if (length <= PROMPT_BYTES) {
        return EGRESS_PROMPT;
    }
    return kind == WIRE_TABLE || kind == WIRE_UPSTREAMS || kind == WIRE_MEMBERS
               ? EGRESS_BULK
               : EGRESS_PROMPT;
}

/* Sends one datagram: a checksum, then a message. */
static void
send_datagram(struct node *node, uint32_t to, uint32_t kind,
              const guint8 *bytes, size_t length)
{
    struct egress_head head = {.kind = egress_kind_of(kind, length),
                               .address = to,
                               .port = (uint16_t)node->settings.peer_port};
    uint64_t sum = hash_checksum(bytes, length);

    if (is_for_voter(kind)) {
        node_send_now(node, &head, (const uint8_t *)&sum, sizeof(sum), bytes,
                      length);
    }
    else {
        node_send(node, &head, (const uint8_t *)&sum, sizeof(sum), bytes,
                  length);
    }
}

/* Sends a message that no datagram holds. */
static void
send_parts(struct node *node, uint32_t to, const guint8 *bytes, size_t length)
{
    uint32_t kind = codec_kind(bytes, length);
    GPtrArray *parts;
    uint64_t number;

    randombytes_buf(&number, sizeof(number));
    parts = fragment_split(number, bytes, length);
    if (parts == NULL) {
        counter_add(&node->counters, COUNTER_MSGS_TOO_LARGE, 1);
        log_event(LOG_ERROR, "message-too-large", "to=%08x kind=%u bytes=%zu",
                  to, kind, length);
        return;
    }
    for (guint i = 0; i < parts->len; i++) {
        const GByteArray *part = g_ptr_array_index(parts, i);

        send_datagram(node, to, kind, part->data, part->len);
    }
    g_ptr_array_unref(parts);
}

/* Sends an encoded message. Safe from the voter's thread. */
void
node_send_to_peer(struct node *node, uint32_t to, const guint8 *bytes,
                  size_t length)
{
    uint32_t kind = codec_kind(bytes, length);

    count_bytes(node, kind, length);
    if (length > FRAGMENT_UNSPLIT_MAX) {
        send_parts(node, to, bytes, length);
    }
    else {
        send_datagram(node, to, kind, bytes, length);
    }
}

static void take_message(struct node *node, const guint8 *bytes,
                         size_t length);

/* Takes a part of a message, and the message once it is whole. A part in a
 * part is nobody's. */
static void
take_part(struct node *node, const wire_part *part)
{
    GByteArray *whole = fragment_receive(&node->parts, loop_now(), part);

    if (whole == NULL) {
        return;
    }
    if (codec_kind(whole->data, whole->len) != WIRE_PART) {
        take_message(node, whole->data, whole->len);
    }
    g_byte_array_unref(whole);
}

/* The answer to a hello proves that packets go to its sender's hall and back.
 */
static void
hear_hall(struct node *node, const wire_msg *msg)
{
    const wire_hello *hello = &msg->wire_msg_u.hello;

    if (msg->kind == WIRE_HELLO && (hello->flags & WIRE_HELLO_REPLY) != 0) {
        evidence_note_hall_reply(&node->evidence, loop_now(),
                                 hello->self.hall);
    }
}

/* Takes one message. */
static void
take_message(struct node *node, const guint8 *bytes, size_t length)
{
    wire_msg msg;

    if (!codec_decode(bytes, length, &msg)) {
        counter_add(&node->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
    if (msg.kind == WIRE_PART) {
        take_part(node, &msg.wire_msg_u.part);
    }
    else if (msg.kind == WIRE_CARRY) {
        node_take_carried(node, &msg.wire_msg_u.carry);
    }
    else if (is_for_voter(msg.kind)) {
        GByteArray *copy = g_byte_array_sized_new((guint)length);

        g_byte_array_append(copy, bytes, (guint)length);
        node_voter_receive(node, copy);
    }
    else {
        hear_hall(node, &msg);
        fleet_receive(&node->fleet, loop_now(), &msg);
    }
    codec_free(&msg);
}

/* Takes one datagram: a checksum, then a message. */
static void
take_datagram(struct node *node, const guint8 *bytes, size_t length)
{
    uint64_t sum;
    const guint8 *message = bytes + sizeof(sum);

    counter_add(&node->counters, COUNTER_MSGS_IN, 1);
    counter_add(&node->counters, COUNTER_CONTROL_BYTES_IN, length);
    if (length <= sizeof(sum)) {
        counter_add(&node->counters, COUNTER_MSGS_MALFORMED, 1);
        return;
    }
    memcpy(&sum, bytes, sizeof(sum));
    length -= sizeof(sum);
    if (sum != hash_checksum(message, length)) {
        counter_add(&node->counters, COUNTER_MSGS_FORGED, 1);
        return;
    }
    take_message(node, message, length);
}

/* Takes what the socket holds, in bounds. */
static void
on_datagrams(void *data)
{
    static guint8 bytes[FRAGMENT_DATAGRAM_MAX];
    struct node *node = data;

    for (int i = 0; i < DATAGRAMS_A_TURN; i++) {
        ssize_t n = recv(node->peers_fd, bytes, sizeof(bytes), MSG_DONTWAIT);

        if (n < 0) {
            break;
        }
        take_datagram(node, bytes, (size_t)n);
        if (node->fleet.actions->len >= ACTIONS_AT_ONCE) {
            node_act(node);
        }
    }
    node_act(node);
}

/* Opens the socket between nodes. */
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
                          "cannot bind peer_port %u: %s; free the port or "
                          "set another",
                          (unsigned)node->settings.peer_port,
                          g_strerror(errno));
    }
    loop_watch(node->peers_fd, on_datagrams, node);
    return STATUS_OK;
}
