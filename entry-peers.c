/* Messages between entries: encrypted XDR (RFC 4506) in UDP datagrams. */
#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec.h"
#include "entry.h"
#include "loop.h"
#include "seal.h"

#define DATAGRAM_MAX 65535 /* bytes */
#define DATAGRAMS_PER_WAKEUP 256
#define SOCKET_BUFFER (4 * 1024 * 1024) /* bytes */

/* Flow messages count as control traffic, all others as requests. */
static bool
is_flow_message(enum wire_kind kind)
{
    return kind == WIRE_RECORDS || kind == WIRE_RECORDS_ACK ||
           kind == WIRE_KNOWN;
}

void
entry_send_to_peer(struct entry *entry, const struct entry_action *action)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(action->peer.peer),
                             .sin_addr.s_addr = htonl(action->peer.address)};
    GByteArray *sealed = seal_encrypt(action->bytes->data, action->bytes->len);

    counter_add(&entry->counters,
                is_flow_message(action->msg_kind) ? COUNTER_CONTROL_BYTES_OUT
                                                  : COUNTER_REQUEST_BYTES_OUT,
                sealed->len);
    (void)sendto(entry->peer_fd, sealed->data, sealed->len, MSG_DONTWAIT,
                 (struct sockaddr *)&to, sizeof(to));
    g_byte_array_unref(sealed);
}

static void
handle_datagram(struct entry *entry, const uint8_t *bytes, size_t length)
{
    GByteArray *plaintext = seal_decrypt(bytes, length);
    wire_msg msg;

    counter_add(&entry->counters, COUNTER_MSGS_IN, 1);
    if (plaintext == NULL) {
        counter_add(&entry->counters, COUNTER_MSGS_FORGED, 1);
        return;
    }
    if (codec_decode(plaintext->data, plaintext->len, &msg)) {
        if (is_flow_message(msg.kind)) {
            counter_add(&entry->counters, COUNTER_CONTROL_BYTES_IN, length);
        }
        entry_core_receive(entry->core, loop_now(), loop_wall(), &msg);
        codec_free(&msg);
    }
    else {
        counter_add(&entry->counters, COUNTER_MSGS_MALFORMED, 1);
    }
    g_byte_array_unref(plaintext);
}

static void
on_datagrams(void *data)
{
    static uint8_t bytes[DATAGRAM_MAX];
    struct entry *entry = data;

    for (int i = 0; i < DATAGRAMS_PER_WAKEUP; i++) {
        ssize_t n = recv(entry->peer_fd, bytes, sizeof(bytes), MSG_DONTWAIT);

        if (n < 0) {
            break;
        }
        handle_datagram(entry, bytes, (size_t)n);
    }
    entry_run_actions(entry);
}

enum status_kind
entry_open_peers(struct entry *entry, struct status *st)
{
    struct settings *s = &entry->settings;
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)s->peer_port),
                             .sin_addr.s_addr = htonl(s->address)};
    int size = SOCKET_BUFFER;

    entry->peer_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (entry->peer_fd < 0 ||
        bind(entry->peer_fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        return status_set(st, STATUS_IO,
                          "cannot bind peer_port %u: %s; free the port or "
                          "set another",
                          (unsigned)s->peer_port, g_strerror(errno));
    }
    (void)setsockopt(entry->peer_fd, SOL_SOCKET, SO_RCVBUF, &size,
                     sizeof(size));
    loop_watch(entry->peer_fd, on_datagrams, entry);
    return STATUS_OK;
}
