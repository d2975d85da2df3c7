/*
 * Stand-ins for servers and a client of the users' platform, as
 * PROTOCOL.md describes them ("Packets", "Flows", "Hosts", "Service
 * discovery"). They share no code with the program under test.
 *
 *   peer-3 host ADDRESS PORT ID SERVICE ZONE CONTROL-PORT CLIENT-PORT RECORD
 *       NODE...
 *       a server: registers every 770 ms at one of the nodes and answers
 *       flows. Each line of RECORD is something that it did. SIGUSR1 holds
 *       its answers to requests back, SIGUSR2 sends them.
 *   peer-3 caller ADDRESS PORT
 *       a client, told what to do by lines on its standard input:
 *         open P ROUTE-ADDRESS ROUTE-PORT NODE   opens a flow from port P
 *         ask P NODE ID      sends the request ID on it, waits for the answer
 *         close P NODE       closes the flow with FIN from both ends
 *       It prints one line for each. NODE is the node that the router picked.
 *   peer-3 links NET COUNT PORT CUT
 *       the links between the nodes 1 to COUNT: a datagram that comes to
 *       127.NET.5.N goes on to 127.NET.1.N. SIGUSR1 cuts node CUT off from
 *       all others, in both directions, SIGUSR2 joins it again.
 *   peer-3 http METHOD ADDRESS PORT PATH [BODY-FILE]
 *       one call of an operator, which follows 307 twice and waits a second
 *       for an answer: prints the status (0: none) and then the body.
 *   peer-3 orders ADDRESS PORT BODY-FILE FIRST COUNT AT-ONCE
 *       an operator that sends COUNT changes, at most 8 at once, each with
 *       the next version from FIRST on in the place of "version":0 of the
 *       body: prints the highest version that was acknowledged.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD 36
#define DATA_MAX 1200
#define SYN 64
#define ACK 128
#define FIN 16
#define RST 32
#define FLOWS_MAX 64
#define SYN_TIMEOUT_MS 1400
#define BUDGET_MS 1500 /* of a request */
#define CALL_TIMEOUT_MS 1000

struct packet {
    uint16_t sport, dport, len;
    uint32_t src, dst, echo, seq, ack;
    uint8_t flags;
    char data[DATA_MAX + 1];
};

static uint64_t
now_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static void
put(uint8_t *at, uint32_t value, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        at[i] = (uint8_t)(value >> (8 * i));
    }
}

static uint32_t
get(const uint8_t *at, int bytes)
{
    uint32_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value |= (uint32_t)at[i] << (8 * i);
    }
    return value;
}

static bool
parse(const uint8_t *b, size_t n, struct packet *p)
{
    if (n < HEAD || n > HEAD + DATA_MAX || get(b + 28, 2) != n - HEAD) {
        return false;
    }
    p->sport = (uint16_t)get(b + 4, 2);
    p->dst = get(b + 6, 4);
    p->src = get(b + 10, 4);
    p->dport = (uint16_t)get(b + 14, 2);
    p->echo = get(b + 16, 4);
    p->seq = get(b + 20, 4);
    p->ack = get(b + 24, 4);
    p->len = (uint16_t)get(b + 28, 2);
    p->flags = b[30];
    memcpy(p->data, b + HEAD, p->len);
    p->data[p->len] = '\0';
    return true;
}

static struct sockaddr_in
at_address(uint32_t address, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};

    return at;
}

static void
send_packet(int fd, uint32_t to, uint16_t port, const struct packet *p)
{
    uint8_t b[HEAD + DATA_MAX] = {0};
    struct sockaddr_in at = at_address(to, port);

    put(b + 4, p->sport, 2);
    put(b + 6, p->dst, 4);
    put(b + 10, p->src, 4);
    put(b + 14, p->dport, 2);
    put(b + 16, p->echo, 4);
    put(b + 20, p->seq, 4);
    put(b + 24, p->ack, 4);
    put(b + 28, p->len, 2);
    b[30] = p->flags;
    memcpy(b + HEAD, p->data, p->len);
    (void)sendto(fd, b, HEAD + (size_t)p->len, 0, (struct sockaddr *)&at,
                 sizeof(at));
}

static uint32_t
address_of(const char *text)
{
    struct in_addr in;

    if (inet_pton(AF_INET, text, &in) != 1) {
        (void)fprintf(stderr, "peer-3: no address: %s\n", text);
        exit(2);
    }
    return ntohl(in.s_addr);
}

static int
open_udp(uint32_t address, uint16_t port)
{
    struct sockaddr_in at = at_address(address, port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("peer-3: bind");
        exit(2);
    }
    return fd;
}

/* One HTTP call; returns the status, 0 without an answer in time. */
static int
call(uint32_t from, uint32_t to, uint16_t port, const char *method,
     const char *path, const char *body)
{
    struct sockaddr_in own = at_address(from, 0);
    struct sockaddr_in at = at_address(to, port);
    struct timeval limit = {.tv_sec = CALL_TIMEOUT_MS / 1000};
    char text[2048];
    ssize_t n;
    int status = 0;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    (void)bind(fd, (struct sockaddr *)&own, sizeof(own));
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0) {
        n = snprintf(text, sizeof(text),
                     "%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                     "Content-Type: application/json\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     method, path, strlen(body), body);
        if (write(fd, text, (size_t)n) == n) {
            n = read(fd, text, sizeof(text) - 1);
            text[n > 0 ? n : 0] = '\0';
            (void)sscanf(text, "HTTP/1.1 %d", &status);
        }
    }
    (void)close(fd);
    return status;
}

#define ANSWER_MAX (8U << 20)

/* One try of an operator's call; the answer is in `text`. */
static int
operator_try(uint32_t to, uint16_t port, const char *method, const char *path,
             const char *body, size_t length, char *text)
{
    struct sockaddr_in at = at_address(to, port);
    uint64_t until = now_ms() + CALL_TIMEOUT_MS;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    char head[512];
    size_t head_length = (size_t)snprintf(
        head, sizeof(head),
        "%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
        method, path, length);
    size_t sent = 0;
    size_t got = 0;
    int status = 0;

    text[0] = '\0';
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
        errno != EINPROGRESS) {
        (void)close(fd);
        return 0;
    }
    while (now_ms() < until) {
        bool sending = sent < head_length + length;
        struct pollfd wait = {.fd = fd,
                              .events = sending ? POLLOUT : POLLIN};
        ssize_t n;

        if (poll(&wait, 1, (int)(until - now_ms())) <= 0) {
            continue;
        }
        if (sending) {
            n = sent < head_length
                    ? write(fd, head + sent, head_length - sent)
                    : write(fd, body + (sent - head_length),
                            length - (sent - head_length));
            if (n < 0 && errno != EAGAIN) {
                break;
            }
            sent += n > 0 ? (size_t)n : 0;
            continue;
        }
        n = read(fd, text + got, ANSWER_MAX - 1 - got);
        if (n < 0 && errno == EAGAIN) {
            continue;
        }
        if (n <= 0) {
            (void)sscanf(text, "HTTP/1.1 %d", &status);
            break;
        }
        got += (size_t)n;
        text[got] = '\0';
    }
    (void)close(fd);
    return status;
}

/* A call that follows 307 twice. */
static int
operator_call(uint32_t to, uint16_t port, const char *method,
              const char *path, const char *body, size_t length, char *text)
{
    int status = 0;

    for (int hop = 0; hop < 3; hop++) {
        unsigned a, b, c, d;
        const char *at;

        status = operator_try(to, port, method, path, body, length, text);
        at = strstr(text, "Location: http://");
        if (status != 307 || at == NULL ||
            sscanf(at + 17, "%u.%u.%u.%u:", &a, &b, &c, &d) != 4) {
            break;
        }
        to = a << 24 | b << 16 | c << 8 | d;
    }
    return status;
}

/* One of the operator's calls at once: every `step`th change. */
static void
send_orders(char **argv, char *body, uint64_t first, uint64_t end,
            unsigned step, int report)
{
    char *text = malloc(ANSWER_MAX);
    char *own = malloc(strlen(body) + 32);
    uint64_t highest = 0;

    for (uint64_t version = first; version < end; version += step) {
        int n = sprintf(own, "{\"version\":%llu%s",
                        (unsigned long long)version,
                        body + strlen("{\"version\":0"));

        if (operator_call(address_of(argv[2]), (uint16_t)atoi(argv[3]), "PUT",
                          "/-/configuration", own, (size_t)n, text) == 200) {
            highest = version;
        }
    }
    (void)!write(report, &highest, sizeof(highest));
    _exit(0);
}

static int
run_orders(char **argv)
{
    uint64_t first = strtoull(argv[5], NULL, 10);
    uint64_t count = strtoull(argv[6], NULL, 10);
    unsigned at_once = (unsigned)atoi(argv[7]);
    char *body = calloc(1, 1 << 20);
    FILE *file = fopen(argv[4], "r");
    uint64_t highest = 0;
    uint64_t one;
    int pipes[2];

    if (file == NULL || at_once < 1 || at_once > 8 ||
        fread(body, 1, (1 << 20) - 64, file) == 0 || pipe(pipes) != 0) {
        return 2;
    }
    for (unsigned i = 0; i < at_once; i++) {
        if (fork() == 0) {
            send_orders(argv, body, first + i, first + count, at_once,
                        pipes[1]);
        }
    }
    (void)close(pipes[1]);
    while (read(pipes[0], &one, sizeof(one)) == sizeof(one)) {
        highest = one > highest ? one : highest;
    }
    printf("%llu\n", (unsigned long long)highest);
    return 0;
}

static int
run_http(char **argv, int argc)
{
    uint32_t to = address_of(argv[3]);
    char *text = malloc(ANSWER_MAX);
    char *body = calloc(1, ANSWER_MAX);
    size_t length = 0;
    int status = 0;
    const char *at;

    if (text == NULL || body == NULL) {
        return 2;
    }
    if (argc == 7) {
        FILE *file = fopen(argv[6], "r");

        if (file == NULL) {
            return 2;
        }
        length = fread(body, 1, ANSWER_MAX - 1, file);
        (void)fclose(file);
    }
    status = operator_call(to, (uint16_t)atoi(argv[4]), argv[2], argv[5], body,
                           length, text);
    at = strstr(text, "\r\n\r\n");
    printf("%d %s\n", status, at != NULL ? at + 4 : "");
    return 0;
}

static FILE *record;

__attribute__((format(printf, 1, 2))) static void
note(const char *format, ...)
{
    va_list args;
    struct timespec t;

    (void)clock_gettime(CLOCK_REALTIME, &t);
    va_start(args, format);
    (void)fprintf(record, "%ld.%03ld ", (long)t.tv_sec, t.tv_nsec / 1000000);
    (void)vfprintf(record, format, args);
    (void)fprintf(record, "\n");
    (void)fflush(record);
    va_end(args);
}

/* A flow at a server or at the client. */
struct flow {
    bool used, open, ended;
    uint32_t peer, route;     /* client's address; route's address */
    uint16_t port, route_port; /* client's port; route's port */
    uint32_t echo, next, seq; /* expected from the other end; own next */
    char held[128];           /* server: id of a request not answered yet */
};

static struct flow flows[FLOWS_MAX];
static volatile sig_atomic_t hold_answers, stopped;

static void
on_signal(int number)
{
    if (number == SIGTERM || number == SIGINT) {
        stopped = 1;
    }
    else {
        hold_answers = number == SIGUSR1;
    }
}

static void
answer(int fd, uint16_t client_port, struct flow *f, uint8_t flags,
       const char *data)
{
    struct packet p = {.src = f->route,
                       .sport = f->route_port,
                       .dst = f->peer,
                       .dport = f->port,
                       .echo = f->echo,
                       .seq = f->seq,
                       .ack = f->next,
                       .flags = flags};

    p.len = (uint16_t)snprintf(p.data, sizeof(p.data), "%s", data);
    send_packet(fd, f->peer, client_port, &p);
    f->seq += p.len + ((flags & (SYN | FIN)) != 0);
}

static void
answer_request(int fd, uint16_t client_port, struct flow *f, const char *name)
{
    char text[512];

    (void)snprintf(text, sizeof(text),
                   "HTTP/1.1 200 OK\r\nRidgeridge-Server-Signature: %s\r\n"
                   "Content-Length: 2\r\n\r\nok",
                   name);
    answer(fd, client_port, f, ACK, text);
    note("%s answered %s", name, f->held);
    f->held[0] = '\0';
}

/* A packet that reached the server. */
static void
serve(int fd, uint16_t client_port, const char *name, const struct packet *p)
{
    struct flow *f = NULL;
    struct flow *spare = NULL;
    const char *id;

    for (int i = 0; i < FLOWS_MAX; i++) {
        struct flow *at = &flows[i];

        if (at->used && at->peer == p->src && at->port == p->sport &&
            at->route == p->dst && at->route_port == p->dport) {
            f = at;
        }
        else if (!at->used && spare == NULL) {
            spare = at;
        }
    }
    if ((p->flags & SYN) != 0) {
        if (f != NULL && f->open && !f->ended) {
            return; /* a late copy */
        }
        f = f != NULL ? f : spare;
        if (f == NULL) {
            return;
        }
        *f = (struct flow){.used = true,
                           .peer = p->src,
                           .port = p->sport,
                           .route = p->dst,
                           .route_port = p->dport,
                           .echo = p->echo,
                           .next = p->seq + 1,
                           .seq = (uint32_t)random()};
        answer(fd, client_port, f, SYN | ACK, "");
        note("%s took a SYN from port %u to port %u", name, p->sport,
             p->dport);
        return;
    }
    if (f == NULL || (f->ended && p->len > 0)) {
        struct flow none = {.peer = p->src,
                            .port = p->sport,
                            .route = p->dst,
                            .route_port = p->dport,
                            .echo = p->echo,
                            .seq = p->ack};

        if ((p->flags & RST) == 0) {
            note("%s got a packet of a flow that it doesn't hold (port %u to "
                 "%u), and resets it",
                 name, p->sport, p->dport);
            answer(fd, client_port, &none, RST, "");
        }
        return;
    }
    f->echo = p->echo;
    if (!f->open && (p->flags & ACK) != 0 && p->ack == f->seq) {
        f->open = true;
        note("%s opened the flow of port %u", name, p->sport);
    }
    if (p->len > 0 && p->seq == f->next) {
        f->next += p->len;
        id = strstr(p->data, "Ridgeridge-Request-Id: ");
        (void)sscanf(id != NULL ? id + 23 : "-", "%127[^\r]", f->held);
        note("%s ran %s", name, f->held);
        answer(fd, client_port, f, ACK, "");
        if (!hold_answers) {
            answer_request(fd, client_port, f, name);
        }
    }
    else if (p->len > 0) {
        answer(fd, client_port, f, ACK, "");
    }
    if ((p->flags & FIN) != 0) {
        if (!f->ended) {
            f->next++;
            f->ended = true;
            note("%s: the flow of port %u ended", name, p->sport);
            answer(fd, client_port, f, FIN | ACK, "");
        }
        else {
            answer(fd, client_port, f, ACK, "");
        }
    }
}

static int
run_host(char **argv, int argc)
{
    uint32_t own = address_of(argv[2]);
    uint16_t port = (uint16_t)atoi(argv[3]);
    uint64_t id = strtoull(argv[4], NULL, 16);
    const char *service = argv[5];
    const char *zone = argv[6];
    uint16_t control = (uint16_t)atoi(argv[7]);
    uint16_t client_port = (uint16_t)atoi(argv[8]);
    int nodes = argc - 10;
    int fd = open_udp(own, port);
    uint64_t next_beat = 0;
    unsigned sequence = 0;
    bool was_known = false;
    int pick = 0;
    char name[64];

    record = fopen(argv[9], "a");
    if (record == NULL || nodes < 1) {
        return 2;
    }
    (void)snprintf(name, sizeof(name), "%s/%s", service, argv[4]);
    while (!stopped) {
        struct pollfd wait = {.fd = fd, .events = POLLIN};

        if (now_ms() >= next_beat) {
            char path[64];
            char body[512];

            (void)snprintf(path, sizeof(path), "/-/instances/i-%s", argv[4]);
            (void)snprintf(body, sizeof(body),
                           "{\"service\":\"%s\",\"address\":\"%s:%u\","
                           "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":3,"
                           "\"state\":\"ready\",\"warmup_remaining_ms\":0,"
                           "\"sequence\":%u}",
                           service, argv[2], port, zone, ++sequence);
            next_beat = now_ms() + 770;
            if (call(own, address_of(argv[10 + pick]), control, "PUT", path,
                     body) / 100 == 2) {
                if (!was_known) {
                    note("%s is registered", name);
                }
                was_known = true;
            }
            else {
                pick = (pick + 1) % nodes;
                next_beat = now_ms() + 100;
            }
        }
        if (poll(&wait, 1, 20) > 0) {
            uint8_t b[8 + HEAD + DATA_MAX + 1];
            ssize_t n = recv(fd, b, sizeof(b), 0);
            struct packet p;
            uint64_t meant = 0;

            for (int i = 0; i < 8 && n >= 8; i++) {
                meant = meant << 8 | b[i];
            }
            if (n >= 8 && (meant == 0 || meant == id) &&
                parse(b + 8, (size_t)n - 8, &p)) {
                serve(fd, client_port, name, &p);
            }
        }
        for (int i = 0; i < FLOWS_MAX && !hold_answers; i++) {
            if (flows[i].held[0] != '\0') {
                answer_request(fd, client_port, &flows[i], name);
            }
        }
    }
    return 0;
}

#define LINKS_MAX 16

static int
run_links(char **argv)
{
    uint32_t base = 127U << 24 | (uint32_t)atoi(argv[2]) << 16;
    unsigned count = (unsigned)atoi(argv[3]);
    uint16_t port = (uint16_t)atoi(argv[4]);
    uint32_t cut = base | 1U << 8 | (uint32_t)atoi(argv[5]);
    struct pollfd wait[LINKS_MAX];
    static uint8_t bytes[65536];

    for (unsigned i = 0; i < count && i < LINKS_MAX; i++) {
        wait[i] = (struct pollfd){
            .fd = open_udp(base | 5U << 8 | (i + 1), port), .events = POLLIN};
    }
    while (!stopped) {
        if (poll(wait, count, 100) <= 0) {
            continue;
        }
        for (unsigned i = 0; i < count; i++) {
            uint32_t to = base | 1U << 8 | (i + 1);
            struct sockaddr_in at = at_address(to, port);
            struct sockaddr_in from = {0};
            socklen_t size = sizeof(from);
            ssize_t n;

            if ((wait[i].revents & POLLIN) == 0) {
                continue;
            }
            n = recvfrom(wait[i].fd, bytes, sizeof(bytes), 0,
                         (struct sockaddr *)&from, &size);
            /* hold_answers: the cut stands. */
            if (n > 0 && !(hold_answers &&
                           (to == cut || ntohl(from.sin_addr.s_addr) == cut))) {
                (void)sendto(wait[i].fd, bytes, (size_t)n, 0,
                             (struct sockaddr *)&at, sizeof(at));
            }
        }
    }
    return 0;
}

/* Client: the flow from port P. */
static struct flow *
flow_of_port(uint16_t port)
{
    struct flow *spare = NULL;

    for (int i = 0; i < FLOWS_MAX; i++) {
        if (flows[i].used && flows[i].port == port) {
            return &flows[i];
        }
        if (!flows[i].used && spare == NULL) {
            spare = &flows[i];
        }
    }
    return spare;
}

static struct packet
own_packet(uint32_t own, const struct flow *f, uint8_t flags)
{
    struct packet p = {.src = own,
                       .sport = f->port,
                       .dst = f->route,
                       .dport = f->route_port,
                       .echo = f->echo,
                       .seq = f->seq,
                       .ack = f->next,
                       .flags = flags};

    return p;
}

/* Waits for a packet of a flow until a time; false: none came. */
static bool
wait_packet(int fd, const struct flow *f, uint64_t until, struct packet *p)
{
    while (now_ms() < until) {
        struct pollfd wait = {.fd = fd, .events = POLLIN};
        uint8_t b[HEAD + DATA_MAX + 1];
        ssize_t n;

        if (poll(&wait, 1, (int)(until - now_ms())) <= 0) {
            continue;
        }
        n = recv(fd, b, sizeof(b), 0);
        if (n > 0 && parse(b, (size_t)n, p) && p->dport == f->port &&
            p->src == f->route && p->sport == f->route_port) {
            return true;
        }
    }
    return false;
}

/* Copies of the SYN after 200 and 600 ms. */
static void
open_flow(int fd, uint32_t own, uint16_t port, struct flow *f, uint32_t node)
{
    static const uint64_t send_at[] = {0, 200, 600, SYN_TIMEOUT_MS};
    uint64_t began = now_ms();
    struct packet p;

    f->seq = (uint32_t)random();
    f->echo = 0;
    for (unsigned copy = 0; copy < 3; copy++) {
        struct packet syn = own_packet(own, f, SYN);

        syn.ack = copy;
        send_packet(fd, node, port, &syn);
        while (wait_packet(fd, f, began + send_at[copy + 1], &p)) {
            if ((p.flags & RST) != 0) {
                printf("open %u: reset\n", f->port);
                f->used = false;
                return;
            }
            if ((p.flags & (SYN | ACK)) == (SYN | ACK) &&
                p.ack == f->seq + 1) {
                struct packet ack;

                f->seq++;
                f->next = p.seq + 1;
                f->echo = p.echo;
                f->open = true;
                ack = own_packet(own, f, ACK);
                send_packet(fd, node, port, &ack);
                printf("open %u: open\n", f->port);
                return;
            }
        }
    }
    printf("open %u: no answer\n", f->port);
    f->used = false;
}

/* Sends a request, again after 200, 400, 800 ms, and prints how it ended. */
static void
ask(int fd, uint32_t own, uint16_t port, struct flow *f, uint32_t node,
    const char *id)
{
    uint64_t until = now_ms() + BUDGET_MS;
    uint64_t pause = 200;
    struct packet request = own_packet(own, f, ACK);
    struct packet p;

    request.len = (uint16_t)snprintf(
        request.data, sizeof(request.data),
        "POST /save HTTP/1.1\r\nHost: service\r\n"
        "Ridgeridge-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
        id);
    while (now_ms() < until) {
        uint64_t again = now_ms() + pause;

        request.echo = f->echo;
        request.ack = f->next;
        send_packet(fd, node, port, &request);
        pause = pause < 1600 ? pause * 2 : 1600;
        while (wait_packet(fd, f, again < until ? again : until, &p)) {
            if ((p.flags & RST) != 0) {
                printf("ask %u %s: reset %s\n", f->port, id,
                       p.echo == 0 ? "by the system" : "by a server");
                f->used = false;
                return;
            }
            f->echo = p.echo;
            if (p.len > 0 && p.seq == f->next) {
                struct packet ack;
                char by[64] = "";
                const char *at =
                    strstr(p.data, "Ridgeridge-Server-Signature: ");

                (void)sscanf(at != NULL ? at + 29 : "-", "%63[^\r]", by);
                f->seq += request.len;
                f->next += p.len;
                ack = own_packet(own, f, ACK);
                send_packet(fd, node, port, &ack);
                printf("ask %u %s: 200 by %s\n", f->port, id, by);
                return;
            }
        }
    }
    printf("ask %u %s: no answer\n", f->port, id);
}

static void
close_flow(int fd, uint32_t own, uint16_t port, struct flow *f, uint32_t node)
{
    struct packet fin = own_packet(own, f, FIN | ACK);
    struct packet p;
    const char *result = "no answer";

    for (int copy = 0; copy < 3 && strcmp(result, "closed") != 0; copy++) {
        send_packet(fd, node, port, &fin);
        while (wait_packet(fd, f, now_ms() + 200, &p)) {
            if ((p.flags & FIN) != 0) {
                struct packet ack;

                f->seq++;
                f->next = p.seq + 1;
                ack = own_packet(own, f, ACK);
                send_packet(fd, node, port, &ack);
                result = "closed";
                break;
            }
        }
    }
    printf("close %u: %s\n", f->port, result);
    f->used = false;
}

static int
run_caller(char **argv)
{
    uint32_t own = address_of(argv[2]);
    uint16_t port = (uint16_t)atoi(argv[3]);
    int fd = open_udp(own, port);
    char line[256];

    setlinebuf(stdout);
    while (fgets(line, sizeof(line), stdin) != NULL) {
        char node[64], route[64], id[128];
        unsigned p, route_port;
        struct flow *f;

        if (sscanf(line, "open %u %63s %u %63s", &p, route, &route_port,
                   node) == 4) {
            f = flow_of_port((uint16_t)p);
            *f = (struct flow){.used = true,
                               .port = (uint16_t)p,
                               .route = address_of(route),
                               .route_port = (uint16_t)route_port};
            open_flow(fd, own, port, f, address_of(node));
        }
        else if (sscanf(line, "ask %u %63s %127s", &p, node, id) == 3) {
            ask(fd, own, port, flow_of_port((uint16_t)p), address_of(node),
                id);
        }
        else if (sscanf(line, "close %u %63s", &p, node) == 2) {
            close_flow(fd, own, port, flow_of_port((uint16_t)p),
                       address_of(node));
        }
    }
    return 0;
}

int
main(int argc, char **argv)
{
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    (void)signal(SIGUSR1, on_signal);
    (void)signal(SIGUSR2, on_signal);
    srandom((unsigned)getpid() ^ (unsigned)now_ms());
    if (argc > 10 && strcmp(argv[1], "host") == 0) {
        return run_host(argv, argc);
    }
    if (argc == 4 && strcmp(argv[1], "caller") == 0) {
        return run_caller(argv);
    }
    if ((argc == 6 || argc == 7) && strcmp(argv[1], "http") == 0) {
        return run_http(argv, argc);
    }
    if (argc == 6 && strcmp(argv[1], "links") == 0) {
        return run_links(argv);
    }
    if (argc == 8 && strcmp(argv[1], "orders") == 0) {
        return run_orders(argv);
    }
    (void)fprintf(stderr, "usage: see the first lines of peer-3.c\n");
    return 2;
}
