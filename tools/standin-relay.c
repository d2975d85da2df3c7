/*
 * UDP relay without any decision: the baseline of tools/measure-forward.
 *
 * usage: standin-relay ADDRESS TO
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define PORT 6081
#define BATCH 64
#define PACKET_MAX 2048

static volatile sig_atomic_t running = 1;

static void
on_signal(int number)
{
    (void)number;
    running = 0;
}

int
main(int argc, char **argv)
{
    static unsigned char buffers[BATCH][PACKET_MAX];
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    struct sockaddr_in to = at;
    struct timeval timeout = {.tv_usec = 100000};
    struct mmsghdr messages[BATCH];
    struct iovec parts[BATCH];
    int size = 4 * 1024 * 1024;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    if (argc != 3) {
        (void)fprintf(stderr, "usage: standin-relay ADDRESS TO\n");
        return 2;
    }
    at.sin_addr.s_addr = inet_addr(argv[1]);
    to.sin_addr.s_addr = inet_addr(argv[2]);
    (void)signal(SIGTERM, on_signal);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("standin-relay: bind");
        return 2;
    }
    while (running) {
        int count;

        for (int i = 0; i < BATCH; i++) {
            parts[i] = (struct iovec){buffers[i], PACKET_MAX};
            messages[i].msg_hdr =
                (struct msghdr){.msg_iov = &parts[i], .msg_iovlen = 1};
        }
        count = recvmmsg(fd, messages, BATCH, MSG_WAITFORONE, NULL);
        for (int i = 0; i < count; i++) {
            parts[i].iov_len = messages[i].msg_len;
            messages[i].msg_hdr.msg_name = &to;
            messages[i].msg_hdr.msg_namelen = sizeof(to);
        }
        if (count > 0) {
            (void)sendmmsg(fd, messages, (unsigned)count, 0);
        }
    }
    return 0;
}
