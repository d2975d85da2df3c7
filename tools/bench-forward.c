/*
 * Measures the forwarding rate of a process: sends packets of many flows to
 * it, counts those that arrive at the fabric's address, and prints packets per
 * second of the process's processor time.
 *
 * usage: bench-forward TARGET SINK PID FLOWS SECONDS
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "packet.h"

#define PORT 6081
#define BATCH 32
#define BATCH_INTERVAL_US 150
#define PAYLOAD 64
#define WARMUP_US 1000000

static volatile gint running = 1;

/* User and system time of a process in seconds. */
static double
cpu_seconds(const char *pid)
{
    char *path = g_strdup_printf("/proc/%s/stat", pid);
    char *text = NULL;
    unsigned long user = 0;
    unsigned long system = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        (void)sscanf(strrchr(text, ')') + 2,
                     "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                     &user, &system);
    }
    g_free(text);
    g_free(path);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Opens a UDP socket; exits with status 2 on failure. */
static int
open_socket(const char *address)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(PORT),
                             .sin_addr.s_addr = inet_addr(address)};
    struct timeval timeout = {.tv_usec = 50000};
    int size = 16 * 1024 * 1024;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("bench-forward: bind");
        exit(2);
    }
    return fd;
}

/* Thread that counts received packets; returns the count. */
static gpointer
count_packets(gpointer data)
{
    static unsigned char buffers[BATCH][PACKET_MAX];
    int fd = GPOINTER_TO_INT(data);
    size_t count = 0;

    while (g_atomic_int_get(&running)) {
        struct mmsghdr messages[BATCH];
        struct iovec parts[BATCH];
        int n;

        for (int i = 0; i < BATCH; i++) {
            parts[i] = (struct iovec){buffers[i], PACKET_MAX};
            messages[i].msg_hdr =
                (struct msghdr){.msg_iov = &parts[i], .msg_iovlen = 1};
        }
        n = recvmmsg(fd, messages, BATCH, MSG_WAITFORONE, NULL);
        count += n > 0 ? (size_t)n : 0;
    }
    return GSIZE_TO_POINTER(count);
}

/* Writes a Geneve packet of a flow; returns its first byte. */
static uint8_t *
make_packet(uint8_t *buffer, unsigned flow, size_t *length)
{
    uint8_t *ip = buffer + PACKET_HEADROOM;
    size_t total = 40 + PAYLOAD;
    struct packet packet = {.ip = ip, .length = total};
    uint8_t ports[4] = {(uint8_t)(flow >> 8), (uint8_t)flow, 443 >> 8,
                        443 & 255};

    memset(ip, 0, total);
    ip[0] = 0x45;
    ip[3] = (uint8_t)total;
    ip[8] = 64;
    ip[9] = PACKET_TCP;
    memcpy(ip + 12, "\x7f\x00\x04\x02\x0a\x09\x00\x01", 8);
    ip[13] = (uint8_t)(flow >> 16);
    memcpy(ip + 20, ports, sizeof(ports));
    ip[32] = 0x50;
    ip[33] = 0x10;
    packet_fill_checksums(ip, total);
    return packet_encapsulate(&packet, NULL, length);
}

/* Sends packets until a time; returns their number. */
static size_t
send_packets(int fd, const struct sockaddr_in *to, unsigned flows,
             gint64 until)
{
    static uint8_t buffers[BATCH][PACKET_HEADROOM + 256];
    static unsigned next;
    size_t sent = 0;

    while (g_get_monotonic_time() < until) {
        struct mmsghdr messages[BATCH];
        struct iovec parts[BATCH];
        int n;

        for (int i = 0; i < BATCH; i++) {
            parts[i].iov_base =
                make_packet(buffers[i], next++ % flows, &parts[i].iov_len);
            messages[i].msg_hdr = (struct msghdr){.msg_name = (void *)to,
                                                  .msg_namelen = sizeof(*to),
                                                  .msg_iov = &parts[i],
                                                  .msg_iovlen = 1};
        }
        n = sendmmsg(fd, messages, BATCH, 0);
        sent += n > 0 ? (size_t)n : 0;
        g_usleep(BATCH_INTERVAL_US);
    }
    return sent;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    GThread *sink;
    double cpu;
    size_t sent;
    size_t received;
    int in;
    int out;

    if (argc != 6) {
        (void)fprintf(stderr, "usage: bench-forward TARGET SINK PID FLOWS "
                              "SECONDS\n");
        return 2;
    }
    to.sin_addr.s_addr = inet_addr(argv[1]);
    in = open_socket(argv[2]);
    out = open_socket("127.0.4.9");
    (void)send_packets(out, &to, (unsigned)atoi(argv[4]),
                       g_get_monotonic_time() + WARMUP_US);
    sink = g_thread_new("sink", count_packets, GINT_TO_POINTER(in));
    cpu = cpu_seconds(argv[3]);
    sent = send_packets(out, &to, (unsigned)atoi(argv[4]),
                        g_get_monotonic_time() + atoi(argv[5]) * 1000000LL);
    g_usleep(200000);
    cpu = cpu_seconds(argv[3]) - cpu;
    g_atomic_int_set(&running, 0);
    received = GPOINTER_TO_SIZE(g_thread_join(sink));
    (void)printf(
        "sent=%zu received=%zu cpu=%.2f packets_per_cpu_second=%.0f\n", sent,
        received, cpu, cpu > 0 ? (double)received / cpu : 0);
    return 0;
}
