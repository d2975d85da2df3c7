/*
 * Stand-ins of the flow cases: hosts that register and hold flows, a client
 * with long flows, and the provider's router in front of the nodes. They speak
 * PROTOCOL.md and know nothing of the system's code.
 *
 * usage: flow-2 SECONDS FLOWS ROUTE CLIENT NODES CONTROL READY PACKETS HOST...
 *   ROUTE    address:port of the route
 *   CLIENT   address of the client
 *   NODES    comma-separated addresses of the nodes
 *   CONTROL, READY, PACKETS  the ports of the nodes
 *   HOST     id,service,address:port,zone,start in ms
 *
 * In the environment:
 *   PORTS=FIRST,COUNT     ports of the client, drawn at random among the free
 *                         ones; without it they rise from 40000
 *   CLOSE=FROM,TO         ms after which long flows close, drawn at random
 *   BRIEF=PER_S,FROM,TO   besides, flows with one request each, from and to ms
 *   OLD=SERVICE,APPLY_MS  checks rule CONFIG: SIGUSR1 tells of the
 * confirmation of a version that moves the route away from SERVICE
 *
 * Writes one line per event to standard output; exits with 1 if rule FLOW or
 * CONFIG was broken, with 2 if the flows could not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD 36
#define PREFIX 8
#define DATA_MAX 1200
#define SYN 64
#define ACK 128
#define FIN 16
#define RST 32
#define NODES_MAX 16
#define HOSTS_MAX 16
#define FLOWS_MAX 8192
#define PORTS 65536
#define HEARTBEAT_MS 770
#define WORK_MS 40
#define PAUSE_MS 250
#define BUDGET_MS 1500
#define RESET_WINDOW 76800
#define REORDER_MS 2000 /* flow_reorder_ms */

struct packet {
    uint32_t sum, src, dst, echo, seq, ack;
    uint16_t sport, dport, length;
    uint8_t flags;
    uint8_t data[DATA_MAX];
};

struct host_flow {
    bool used, open, last, ended;
    uint32_t client, own_seq, next, answered_seq;
    uint16_t sport;
    uint64_t answer_at, sent_at;
    bool answer_due, awaits_ack;
    unsigned tries;
    uint32_t echo;
};

struct host {
    char id_text[40], service[64], zone[64], address_text[40];
    uint64_t id, start_at;
    struct sockaddr_in address;
    uint32_t key;
    int fd;
    struct host_flow *flows; /* by the client's port */
    unsigned held, answered, refused;
};

enum state { WAITING, OPENING, OPEN, CLOSING, ENDED };

struct flow {
    enum state state;
    uint16_t sport;
    int host; /* that holds it */
    uint32_t seq, host_seq, echo;
    uint64_t start_at, opened_at, next_at, asked_at, send_at, close_at;
    unsigned tries, requests;
    bool asking, brief, last;
    unsigned elsewhere; /* packets that other hosts got, none its own */
    uint64_t elsewhere_since;
};

static struct host hosts[HOSTS_MAX];
static int host_count;
static struct flow flows[FLOWS_MAX];
static int flow_count;
static struct flow *flow_at_port[PORTS];
static uint32_t port_first, port_count, lowest_port = PORTS, highest_port;
static struct sockaddr_in nodes[NODES_MAX]; /* packets */
static char node_text[NODES_MAX][40];
static int node_count, control_port, ready_port, packets_port;
static atomic_bool node_in[NODES_MAX];
static struct sockaddr_in client_address;
static uint32_t route_address;
static uint16_t route_port, next_sport = 40000;
static int client_fd;
static uint64_t began;
static unsigned opened, answered, timeouts, refused_opens, broken, wrong;
static char old_service[64];
static uint64_t apply_ms;
static volatile sig_atomic_t confirmed;
static uint64_t confirmed_at; /* 0: not yet */
static pthread_mutex_t print_lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_bool ends;

static uint64_t
now_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

__attribute__((format(printf, 1, 2))) static void
say(const char *format, ...)
{
    va_list list;

    pthread_mutex_lock(&print_lock);
    printf("%7llu ms  ", (unsigned long long)(now_ms() - began));
    va_start(list, format);
    (void)vprintf(format, list);
    va_end(list);
    (void)putchar('\n');
    (void)fflush(stdout);
    pthread_mutex_unlock(&print_lock);
}

static uint64_t
mix(uint64_t x)
{
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    x *= 0xc4ceb9fe1a85ec53ULL;
    return x ^ x >> 33;
}

static void
put16(uint8_t *at, uint16_t v)
{
    at[0] = (uint8_t)v;
    at[1] = (uint8_t)(v >> 8);
}

static void
put32(uint8_t *at, uint32_t v)
{
    put16(at, (uint16_t)v);
    put16(at + 2, (uint16_t)(v >> 16));
}

static uint16_t
get16(const uint8_t *at)
{
    return (uint16_t)(at[0] | at[1] << 8);
}

static uint32_t
get32(const uint8_t *at)
{
    return (uint32_t)get16(at) | (uint32_t)get16(at + 2) << 16;
}

/* Keyed sum of everything but echo and pad. */
static uint32_t
sum_of(uint32_t key, const struct packet *p)
{
    uint64_t h = mix(key);

    h = mix(h ^ p->src ^ (uint64_t)p->dst << 32);
    h = mix(h ^ p->sport ^ (uint64_t)p->dport << 16 ^
            (uint64_t)p->flags << 32 ^ (uint64_t)p->length << 40);
    h = mix(h ^ p->seq ^ (uint64_t)p->ack << 32);
    for (unsigned i = 0; i < p->length; i++) {
        h = mix(h ^ p->data[i]);
    }
    return (uint32_t)h != 0 ? (uint32_t)h : 1;
}

static size_t
encode(const struct packet *p, uint8_t *out)
{
    memset(out, 0, HEAD);
    put32(out, p->sum);
    put16(out + 4, p->sport);
    put32(out + 6, p->dst);
    put32(out + 10, p->src);
    put16(out + 14, p->dport);
    put32(out + 16, p->echo);
    put32(out + 20, p->seq);
    put32(out + 24, p->ack);
    put16(out + 28, p->length);
    out[30] = p->flags;
    memcpy(out + HEAD, p->data, p->length);
    return HEAD + p->length;
}

static bool
decode(const uint8_t *in, size_t length, struct packet *p)
{
    if (length < HEAD || length > HEAD + DATA_MAX) {
        return false;
    }
    memset(p, 0, sizeof(*p));
    p->sum = get32(in);
    p->sport = get16(in + 4);
    p->dst = get32(in + 6);
    p->src = get32(in + 10);
    p->dport = get16(in + 14);
    p->echo = get32(in + 16);
    p->seq = get32(in + 20);
    p->ack = get32(in + 24);
    p->length = get16(in + 28);
    p->flags = in[30];
    if (p->length != length - HEAD) {
        return false;
    }
    memcpy(p->data, in + HEAD, p->length);
    return true;
}

/* ---- HTTP of hosts and the router ---- */

/* One request; the response's status, 0 without one within a second. */
static int
http(const char *address, int port, const char *request, char *response,
     size_t size)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    struct timeval limit = {.tv_sec = 1};
    size_t length = 0;
    ssize_t n;
    int status = 0;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    (void)inet_pton(AF_INET, address, &to.sin_addr);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    response[0] = '\0';
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 &&
        send(fd, request, strlen(request), MSG_NOSIGNAL) > 0) {
        while (length + 1 < size &&
               (n = recv(fd, response + length, size - 1 - length, 0)) > 0) {
            length += (size_t)n;
            response[length] = '\0';
        }
        (void)sscanf(response, "HTTP/1.1 %d", &status);
    }
    (void)close(fd);
    return status;
}

static void *
run_heartbeats(void *data)
{
    struct host *h = data;
    char target[40] = "";
    uint64_t sequence = 0;
    int pick = (int)(h - hosts);

    while (now_ms() < h->start_at) {
        usleep(1000);
    }
    say("host %s of %s starts at %s", h->id_text, h->service, h->address_text);
    while (!ends) {
        char body[512], request[1024], response[4096];
        const char *to =
            target[0] != '\0' ? target : node_text[pick % node_count];
        uint64_t at = now_ms();
        int status;
        char *found;

        (void)snprintf(
            body, sizeof(body),
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
            "\"warmup_remaining_ms\":0,\"sequence\":%llu}",
            h->service, h->address_text, h->zone,
            (unsigned long long)++sequence);
        (void)snprintf(
            request, sizeof(request),
            "PUT /-/instances/%s HTTP/1.1\r\nHost: x\r\n"
            "Connection: close\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            h->id_text, strlen(body), body);
        status = http(to, control_port, request, response, sizeof(response));
        if (status / 100 == 2) {
            found = strstr(response, "\"heartbeat_address\":\"");
            if (found != NULL) {
                (void)sscanf(found + 21, "%39[0-9.]", target);
            }
            while (!ends && now_ms() < at + HEARTBEAT_MS) {
                usleep(5000);
            }
        }
        else {
            target[0] = '\0';
            pick++;
            usleep(20000);
        }
    }
    return NULL;
}

static void *
run_readiness(void *unused)
{
    int missed[NODES_MAX];

    (void)unused;
    for (int i = 0; i < node_count; i++) {
        missed[i] = 2;
    }
    while (!ends) {
        uint64_t at = now_ms();

        for (int i = 0; i < node_count; i++) {
            char response[1024];
            int status = http(node_text[i], ready_port,
                              "GET /-/readiness HTTP/1.1\r\nHost: x\r\n"
                              "Connection: close\r\n\r\n",
                              response, sizeof(response));
            bool in;

            missed[i] = status == 200 ? 0 : missed[i] + 1;
            in = missed[i] < 2;
            if (in != node_in[i]) {
                say("router: node %s is %s", node_text[i], in ? "in" : "out");
                node_in[i] = in;
            }
        }
        while (!ends && now_ms() < at + 500) {
            usleep(5000);
        }
    }
    return NULL;
}

/* Steady hash: only the flows of a node that comes or goes move. */
static int
router_pick(const struct packet *p)
{
    uint64_t best = 0;
    int pick = -1;

    for (int i = 0; i < node_count; i++) {
        uint64_t rank = mix(mix(p->src ^ (uint64_t)p->dst << 32) ^ p->sport ^
                            (uint64_t)p->dport << 16 ^
                            (uint64_t)ntohl(nodes[i].sin_addr.s_addr) << 32);

        if (node_in[i] && (pick < 0 || rank > best)) {
            best = rank;
            pick = i;
        }
    }
    return pick;
}

/* ---- hosts ---- */

static void
host_send(struct host *h, struct packet *p)
{
    struct sockaddr_in to = client_address;
    uint8_t bytes[HEAD + DATA_MAX];
    size_t length;

    p->sum = sum_of(h->key, p);
    length = encode(p, bytes);
    to.sin_port = htons((uint16_t)packets_port);
    (void)sendto(h->fd, bytes, length, 0, (struct sockaddr *)&to, sizeof(to));
}

static struct host_flow *
host_flow_of(struct host *h, const struct packet *p, bool add)
{
    struct host_flow *f = &h->flows[p->sport];

    if (add && (!f->used || f->ended)) {
        *f = (struct host_flow){
            .used = true, .client = p->src, .sport = p->sport};
    }
    return f->used && f->client == p->src ? f : NULL;
}

static struct packet
host_reply(const struct host_flow *f, uint8_t flags)
{
    return (struct packet){.src = route_address,
                           .dst = f->client,
                           .sport = route_port,
                           .dport = f->sport,
                           .flags = flags,
                           .echo = f->echo,
                           .seq = f->own_seq,
                           .ack = f->next};
}

static void
host_answer(struct host *h, struct host_flow *f, uint64_t now)
{
    struct packet p = host_reply(f, f->last ? ACK | FIN : ACK);

    p.length = (uint16_t)snprintf(
        (char *)p.data, DATA_MAX,
        "HTTP/1.1 200 OK\r\nRidgeridge-Server-Signature: %s\r\n"
        "Content-Length: 400\r\n\r\n%400s",
        h->id_text, "");
    f->sent_at = now;
    f->awaits_ack = true;
    f->answered_seq = f->own_seq + p.length + f->last;
    host_send(h, &p);
}

/* Clause (b) of FLOW: packets of an open flow that reach other hosts. */
static void
watch_packet(int host, const struct packet *p)
{
    struct flow *f = flow_at_port[p->sport];

    if (f == NULL || f->state != OPEN || (p->flags & SYN) != 0) {
        return;
    }
    if (f->host == host) {
        f->elsewhere = 0;
        return;
    }
    if (f->elsewhere++ == 0) {
        f->elsewhere_since = now_ms();
    }
}

static void
host_receive(struct host *h, const uint8_t *bytes, size_t length, uint64_t now)
{
    uint64_t meant = 0;
    struct packet p, reply;
    struct host_flow *f;

    if (length < PREFIX + HEAD || now < h->start_at) {
        return;
    }
    for (int i = 0; i < PREFIX; i++) {
        meant = meant << 8 | bytes[i];
    }
    if ((meant != 0 && meant != h->id) ||
        !decode(bytes + PREFIX, length - PREFIX, &p)) {
        return;
    }
    watch_packet((int)(h - hosts), &p);
    if ((p.flags & SYN) != 0) {
        f = host_flow_of(h, &p, true);
        if (f == NULL) {
            return;
        }
        if (f->own_seq == 0) {
            f->own_seq = (uint32_t)mix(h->id ^ p.sport ^ now) | 1;
            f->next = p.seq + 1;
        }
        f->echo = p.echo;
        reply = host_reply(f, SYN | ACK);
        host_send(h, &reply);
        return;
    }
    f = host_flow_of(h, &p, false);
    if (f != NULL && f->ended && (p.flags & FIN) != 0) {
        reply = host_reply(f, ACK);
        host_send(h, &reply);
        return;
    }
    if (f == NULL || f->ended) {
        reply = (struct packet){.src = route_address,
                                .dst = p.src,
                                .sport = route_port,
                                .dport = p.sport,
                                .flags = RST,
                                .echo = p.echo,
                                .seq = p.ack};
        h->refused++;
        host_send(h, &reply);
        return;
    }
    f->echo = p.echo;
    if (!f->open && p.ack == f->own_seq + 1) {
        f->open = true;
        f->own_seq++;
        h->held++;
    }
    if (f->open && f->awaits_ack && p.ack == f->answered_seq) {
        f->awaits_ack = false;
        f->own_seq = f->answered_seq;
        f->tries = 0;
        h->answered++;
    }
    if (f->open && p.length > 0 && p.seq == f->next) {
        f->next += p.length;
        f->answer_at = now + WORK_MS;
        f->answer_due = true;
        f->last = memmem(p.data, p.length, "Connection: close", 17) != NULL;
    }
    if (f->open && (p.flags & FIN) != 0 && p.seq == f->next) {
        f->next++;
        f->ended = true;
        reply = host_reply(f, ACK);
        host_send(h, &reply);
    }
}

static void
host_tick(struct host *h, uint64_t now)
{
    for (uint32_t i = lowest_port; i <= highest_port; i++) {
        struct host_flow *f = &h->flows[i];

        if (f->answer_due && now >= f->answer_at) {
            f->answer_due = false;
            f->tries = 0;
            host_answer(h, f, now);
        }
        else if (f->awaits_ack && f->tries < 8 &&
                 now >=
                     f->sent_at + (f->tries < 3 ? 200U << f->tries : 1600U)) {
            f->tries++;
            host_answer(h, f, now);
        }
    }
}

/* ---- client ---- */

static void
client_send(struct flow *f, uint8_t flags, const char *data)
{
    struct packet p = {.src = ntohl(client_address.sin_addr.s_addr),
                       .dst = route_address,
                       .sport = f->sport,
                       .dport = route_port,
                       .flags = flags,
                       .echo = f->echo,
                       .seq = f->seq,
                       .ack = (flags & SYN) != 0 ? f->tries : f->host_seq};
    uint8_t bytes[HEAD + DATA_MAX];
    size_t length;
    int node;

    if (data != NULL) {
        p.length = (uint16_t)strlen(data);
        memcpy(p.data, data, p.length);
    }
    p.sum = sum_of(1, &p);
    length = encode(&p, bytes);
    node = router_pick(&p);
    if (node >= 0) {
        (void)sendto(client_fd, bytes, length, 0,
                     (struct sockaddr *)&nodes[node], sizeof(nodes[node]));
    }
}

/* A port that no flow of the client uses. */
static uint16_t
free_port(void)
{
    uint16_t port;

    do {
        port = port_count != 0
                   ? (uint16_t)(port_first + (uint32_t)random() % port_count)
                   : next_sport++;
    } while (flow_at_port[port] != NULL);
    return port;
}

static void
client_open(struct flow *f, uint64_t now)
{
    *f = (struct flow){.state = OPENING,
                       .sport = free_port(),
                       .host = -1,
                       .seq = (uint32_t)mix(now ^ (uint64_t)random()),
                       .opened_at = now,
                       .start_at = now,
                       .send_at = now + 200,
                       .brief = f->brief,
                       .close_at = f->close_at};
    flow_at_port[f->sport] = f;
    lowest_port = f->sport < lowest_port ? f->sport : lowest_port;
    highest_port = f->sport > highest_port ? f->sport : highest_port;
    client_send(f, SYN, NULL);
}

/* The flow is over; a long one without a time to close starts again. */
static void
client_end(struct flow *f, uint64_t now, bool closed)
{
    flow_at_port[f->sport] = NULL;
    f->state = f->brief || closed ? ENDED : WAITING;
    f->start_at = now + PAUSE_MS;
}

/* Rule CONFIG: run by the old service, although sent later than
 * `config_apply_ms` after the confirmation. */
static void
check_service(const struct flow *f, uint64_t syn_at)
{
    const struct host *h = &hosts[f->host];

    if (confirmed_at != 0 && syn_at > confirmed_at + apply_ms &&
        strcmp(h->service, old_service) == 0) {
        wrong++;
        say("CONFIG broken: port %u, opened %llu ms after the confirmation, "
            "is "
            "served by %s of %s",
            f->sport, (unsigned long long)(syn_at - confirmed_at), h->id_text,
            h->service);
    }
}

static const char *
request_text(const struct flow *f)
{
    static char text[200];

    (void)snprintf(text, sizeof(text),
                   "GET /feed HTTP/1.1\r\nHost: x\r\n%s"
                   "Ridgeridge-Request-Id: %u-%llu-%u\r\n\r\n",
                   f->last ? "Connection: close\r\n" : "", f->sport,
                   (unsigned long long)(f->start_at - began), f->requests);
    return text;
}

/* The host that wrote a packet, -1: none. */
static int
writer_of(const struct packet *p)
{
    for (int i = 0; i < host_count; i++) {
        if (p->sum == sum_of(hosts[i].key, p)) {
            return i;
        }
    }
    return -1;
}

static void
client_reset(struct flow *f, const struct packet *p, int writer, uint64_t now)
{
    if (f->state == OPENING) {
        refused_opens++;
        client_end(f, now, false);
        return;
    }
    if (writer < 0 &&
        (p->sum != 0 || p->length != 0 ||
         p->seq - f->host_seq + RESET_WINDOW > 2 * RESET_WINDOW)) {
        return;
    }
    if (writer != f->host) {
        broken++;
        say("FLOW broken: port %u, open for %llu ms at host %s, gets a reset "
            "of %s%s",
            f->sport, (unsigned long long)(now - f->opened_at),
            hosts[f->host].id_text,
            writer < 0 ? "the system" : hosts[writer].id_text,
            f->asking ? " while a request has no answer" : "");
    }
    else {
        say("port %u is reset by its own host", f->sport);
    }
    client_end(f, now, false);
}

static void
client_receive(const uint8_t *bytes, size_t length, uint64_t now)
{
    struct packet p;
    struct flow *f;
    int writer;

    if (!decode(bytes, length, &p) || p.sport != route_port ||
        p.src != route_address) {
        return;
    }
    f = flow_at_port[p.dport];
    if (f == NULL) {
        return;
    }
    writer = writer_of(&p);
    if ((p.flags & RST) != 0) {
        client_reset(f, &p, writer, now);
        return;
    }
    if (writer < 0) {
        return;
    }
    if ((p.flags & SYN) != 0) {
        if (f->state != OPENING || p.ack != f->seq + 1) {
            return;
        }
        f->state = OPEN;
        f->host = writer;
        f->seq++;
        f->host_seq = p.seq + 1;
        f->echo = p.echo;
        f->opened_at = now;
        f->next_at = now;
        opened++;
        check_service(f, f->start_at);
        client_send(f, ACK, NULL);
        return;
    }
    if (writer != f->host) {
        return;
    }
    if (f->state == CLOSING && p.ack == f->seq + 1) {
        client_end(f, now, true);
        return;
    }
    if (f->state != OPEN) {
        return;
    }
    f->echo = p.echo;
    if (p.length > 0 && p.seq == f->host_seq) {
        f->host_seq += p.length;
        if (f->asking) {
            f->asking = false;
            f->seq += (uint32_t)strlen(request_text(f));
            f->requests++;
            f->next_at = now + (f->close_at != 0 ? 4 * PAUSE_MS : PAUSE_MS);
            answered++;
        }
        if ((p.flags & FIN) != 0) {
            f->host_seq++;
            f->state = CLOSING;
            f->tries = 0;
            f->send_at = now + 200;
            client_send(f, ACK | FIN, NULL);
            return;
        }
    }
    if (p.length > 0) {
        client_send(f, ACK, NULL);
    }
}

static void
client_tick(struct flow *f, uint64_t now)
{
    if (f->state == WAITING) {
        if (now >= f->start_at) {
            client_open(f, now);
        }
        return;
    }
    if (f->state == OPENING) {
        if (now >= f->opened_at + 1400) {
            timeouts++;
            client_end(f, now, false);
        }
        else if (now >= f->send_at && f->tries < 2) {
            f->tries++;
            f->send_at = f->opened_at + 600;
            client_send(f, SYN, NULL);
        }
        return;
    }
    if (f->state == CLOSING && now >= f->send_at) {
        if (f->tries++ == 4) {
            client_end(f, now, true);
            return;
        }
        f->send_at = now + (200U << f->tries);
        client_send(f, ACK | FIN, NULL);
    }
    if (f->state != OPEN) {
        return;
    }
    if (f->elsewhere >= 3 && now >= f->elsewhere_since + REORDER_MS) {
        broken++;
        say("FLOW broken: port %u, %u packets in %u ms reach other hosts, "
            "none "
            "its own",
            f->sport, f->elsewhere, REORDER_MS);
        f->elsewhere = 0;
    }
    if (!f->asking && now >= f->next_at) {
        f->asking = true;
        f->last = f->brief || (f->close_at != 0 && now >= f->close_at);
        f->asked_at = now;
        f->tries = 0;
        f->send_at = now + 200;
        client_send(f, ACK, request_text(f));
    }
    else if (f->asking && now >= f->asked_at + BUDGET_MS) {
        timeouts++;
        say("port %u at host %s: no answer within the time budget", f->sport,
            hosts[f->host].id_text);
        client_end(f, now, false);
    }
    else if (f->asking && now >= f->send_at) {
        f->tries++;
        f->send_at = now + (200U << (f->tries < 3 ? f->tries : 3));
        client_send(f, ACK, request_text(f));
    }
}

/* ---- main ---- */

static int
open_udp(const struct sockaddr_in *at)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (const struct sockaddr *)at, sizeof(*at)) != 0) {
        perror("bind");
        exit(2);
    }
    return fd;
}

static struct sockaddr_in
parse(const char *text, int port)
{
    struct sockaddr_in out = {.sin_family = AF_INET,
                              .sin_port = htons((uint16_t)port)};
    char address[40] = "";

    if (sscanf(text, "%39[0-9.]:%d", address, &port) == 2) {
        out.sin_port = htons((uint16_t)port);
    }
    if (inet_pton(AF_INET, address, &out.sin_addr) != 1) {
        (void)fprintf(stderr, "bad address %s\n", text);
        exit(2);
    }
    return out;
}

static void
add_host(const char *text)
{
    struct host *h = &hosts[host_count++];
    unsigned long long start = 0;
    const char *digits;

    if (sscanf(text, "%39[^,],%63[^,],%39[^,],%63[^,],%llu", h->id_text,
               h->service, h->address_text, h->zone, &start) != 5) {
        (void)fprintf(stderr, "bad host %s\n", text);
        exit(2);
    }
    digits = strrchr(h->id_text, '-');
    h->id = strtoull(digits != NULL ? digits + 1 : h->id_text, NULL, 16);
    h->start_at = began + start;
    h->address = parse(h->address_text, 0);
    h->key = (uint32_t)mix(h->id) | 2;
    h->flows = calloc(PORTS, sizeof(*h->flows));
    h->fd = open_udp(&h->address);
}

static void
read_socket(int fd, struct host *h, uint64_t now)
{
    uint8_t bytes[PREFIX + HEAD + DATA_MAX + 1];
    ssize_t n;

    while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        if (h != NULL) {
            host_receive(h, bytes, (size_t)n, now);
        }
        else {
            client_receive(bytes, (size_t)n, now);
        }
    }
}

static void
on_confirmed(int number)
{
    (void)number;
    confirmed = 1;
}

/* Starts a flow with one request. */
static void
add_brief(uint64_t now)
{
    for (int i = flow_count; i < FLOWS_MAX; i++) {
        if (flows[i].state == ENDED || flows[i].sport == 0) {
            flows[i] = (struct flow){.brief = true};
            client_open(&flows[i], now);
            return;
        }
    }
}

int
main(int argc, char **argv)
{
    unsigned long long close_from = 0, close_to = 0, brief_from = 0,
                       brief_to = 0, apply = 0, made = 0;
    unsigned per_s = 0;
    struct pollfd fds[HOSTS_MAX + 1];
    pthread_t thread;
    struct sockaddr_in route;
    uint64_t until;
    char *at;

    if (argc < 10) {
        (void)fprintf(stderr, "usage: see the comment of flow-2.c\n");
        return 2;
    }
    began = now_ms();
    until = began + strtoull(argv[1], NULL, 10) * 1000;
    flow_count = atoi(argv[2]);
    route = parse(argv[3], 0);
    route_address = ntohl(route.sin_addr.s_addr);
    route_port = ntohs(route.sin_port);
    control_port = atoi(argv[6]);
    ready_port = atoi(argv[7]);
    packets_port = atoi(argv[8]);
    client_address = parse(argv[4], packets_port);
    for (at = strtok(argv[5], ","); at != NULL; at = strtok(NULL, ",")) {
        (void)snprintf(node_text[node_count], sizeof(node_text[0]), "%s", at);
        nodes[node_count++] = parse(at, packets_port);
    }
    for (int i = 9; i < argc; i++) {
        add_host(argv[i]);
    }
    if (getenv("PORTS") != NULL) {
        (void)sscanf(getenv("PORTS"), "%u,%u", &port_first, &port_count);
    }
    if (getenv("CLOSE") != NULL) {
        (void)sscanf(getenv("CLOSE"), "%llu,%llu", &close_from, &close_to);
    }
    if (getenv("BRIEF") != NULL) {
        (void)sscanf(getenv("BRIEF"), "%u,%llu,%llu", &per_s, &brief_from,
                     &brief_to);
    }
    if (getenv("OLD") != NULL) {
        (void)sscanf(getenv("OLD"), "%63[^,],%llu", old_service, &apply);
        apply_ms = apply;
    }
    srandom((unsigned)time(NULL) ^ (unsigned)getpid());
    (void)signal(SIGUSR1, on_confirmed);
    client_fd = open_udp(&client_address);
    (void)pthread_create(&thread, NULL, run_readiness, NULL);
    for (int i = 0; i < host_count; i++) {
        (void)pthread_create(&thread, NULL, run_heartbeats, &hosts[i]);
    }
    for (int i = 0; i < flow_count; i++) {
        flows[i].start_at = began + 4000 + (uint64_t)i * 50;
        if (close_to > close_from) {
            flows[i].close_at = began + close_from +
                                (uint64_t)random() % (close_to - close_from);
        }
    }
    fds[0] = (struct pollfd){.fd = client_fd, .events = POLLIN};
    for (int i = 0; i < host_count; i++) {
        fds[i + 1] = (struct pollfd){.fd = hosts[i].fd, .events = POLLIN};
    }
    while (now_ms() < until) {
        uint64_t now;

        (void)poll(fds, (nfds_t)host_count + 1, 5);
        now = now_ms();
        if (confirmed && confirmed_at == 0) {
            confirmed_at = now;
            say("the version is confirmed that moves the route from %s",
                old_service);
        }
        while (per_s != 0 && now >= began + brief_from &&
               now < began + brief_to &&
               made < (now - began - brief_from) * per_s / 1000) {
            made++;
            add_brief(now);
        }
        for (int i = 0; i < host_count; i++) {
            read_socket(hosts[i].fd, &hosts[i], now);
            host_tick(&hosts[i], now);
        }
        read_socket(client_fd, NULL, now);
        for (int i = 0; i < FLOWS_MAX; i++) {
            if (i < flow_count || flows[i].sport != 0) {
                client_tick(&flows[i], now);
            }
        }
    }
    ends = true;
    for (int i = 0; i < host_count; i++) {
        say("host %s: %u flows opened, %u answers, %u resets for flows that "
            "it "
            "does not hold",
            hosts[i].id_text, hosts[i].held, hosts[i].answered,
            hosts[i].refused);
    }
    say("client: %u flows opened, %u answers, %u refused openings, %u without "
        "an answer, %u flows broken, %u at the old service",
        opened, answered, refused_opens, timeouts, broken, wrong);
    if (opened == 0 || answered == 0) {
        return 2;
    }
    return broken > 0 || wrong > 0 ? 1 : 0;
}
