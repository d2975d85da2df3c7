/*
 * Simulated platform fabric: forwards packets of callers and upstreams to a
 * random entry of a list that is reread with a delay, and packets of entries
 * to the destination of their inner header. Geneve (RFC 8926) on UDP port
 * 6081.
 *
 * usage: standin-fabric ADDRESS ENTRIES-FILE LAG-SECONDS
 */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "packet.h"

#define FABRIC_PORT 6081
#define BATCH 64
#define ENTRIES_MAX 64

static volatile sig_atomic_t running = 1;

/* The entries file at its last read. */
static struct {
    uint32_t address[ENTRIES_MAX];
    size_t count;
    time_t read_at;
} entries;

static void
on_signal(int number)
{
    (void)number;
    running = 0;
}

/* Rereads the entries file if the last read is older than the lag. */
static void
read_entries(const char *path, int lag)
{
    char line[64];
    time_t now = time(NULL);
    FILE *file;

    if (now < entries.read_at + lag) {
        return;
    }
    entries.read_at = now;
    file = fopen(path, "re");
    if (file == NULL) {
        return;
    }
    entries.count = 0;
    while (entries.count < ENTRIES_MAX &&
           fgets(line, sizeof(line), file) != NULL) {
        g_strstrip(line);
        entries.address[entries.count++] = ntohl(inet_addr(line));
    }
    (void)fclose(file);
}

/* True if an address is an entry's (127.0.1.0/24), listed or not. */
static bool
is_entry(uint32_t address)
{
    return address >> 8 == 0x7f0001;
}

/* The next hop of a packet, 0: drop it. */
static uint32_t
next_hop(uint32_t from, uint8_t *bytes, size_t length)
{
    struct packet packet;

    if (is_entry(from)) {
        return packet_parse(bytes, length, &packet) ? packet.destination : 0;
    }
    if (entries.count == 0) {
        return 0;
    }
    return entries.address[(size_t)random() % entries.count];
}

/* Receives a batch of packets and forwards it. */
static void
forward_batch(int fd)
{
    static uint8_t buffers[BATCH][PACKET_MAX];
    struct sockaddr_in from[BATCH];
    struct sockaddr_in to[BATCH];
    struct iovec in[BATCH];
    struct mmsghdr messages[BATCH];
    struct mmsghdr out[BATCH];
    int sent = 0;
    int count;

    for (int i = 0; i < BATCH; i++) {
        in[i] = (struct iovec){buffers[i], PACKET_MAX};
        messages[i].msg_hdr = (struct msghdr){.msg_name = &from[i],
                                              .msg_namelen = sizeof(from[i]),
                                              .msg_iov = &in[i],
                                              .msg_iovlen = 1};
    }
    count = recvmmsg(fd, messages, BATCH, MSG_WAITFORONE, NULL);
    for (int i = 0; i < count; i++) {
        uint32_t target = next_hop(ntohl(from[i].sin_addr.s_addr), buffers[i],
                                   messages[i].msg_len);

        if (target == 0) {
            continue;
        }
        in[i].iov_len = messages[i].msg_len;
        to[sent] = (struct sockaddr_in){.sin_family = AF_INET,
                                        .sin_port = htons(FABRIC_PORT),
                                        .sin_addr.s_addr = htonl(target)};
        out[sent].msg_hdr = (struct msghdr){.msg_name = &to[sent],
                                            .msg_namelen = sizeof(to[sent]),
                                            .msg_iov = &in[i],
                                            .msg_iovlen = 1};
        sent++;
    }
    for (int done = 0; done < sent;) {
        int n = sendmmsg(fd, out + done, (unsigned)(sent - done), 0);

        done += n > 0 ? n : 1;
    }
}

int
main(int argc, char **argv)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(FABRIC_PORT)};
    struct timeval timeout = {.tv_usec = 100000};
    int size = 8 * 1024 * 1024;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    if (argc != 4) {
        (void)fprintf(stderr,
                      "usage: standin-fabric ADDRESS ENTRIES LAG-SECONDS\n");
        return 2;
    }
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    at.sin_addr.s_addr = inet_addr(argv[1]);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("standin-fabric: bind");
        return 2;
    }
    while (running) {
        read_entries(argv[2], atoi(argv[3]));
        forward_batch(fd);
    }
    return 0;
}
