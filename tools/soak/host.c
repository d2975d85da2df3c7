/*
 * Upstreams and callers of the soak. A caller keeps flows open and sends data
 * on them; an upstream answers flows that it holds and resets others. Every
 * packet that arrives is checked: at the upstream that holds the flow, of the
 * service that the route names, and never a reset while the flow is held.
 */
#include "host.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "http.h"
#include "link.h"
#include "loop.h"
#include "platform/standin/standin.h"
#include "soak.h"

#define HOST_PORT 17110
#define FLOWS 120           /* of all callers, open at once */
#define ROUTE_A 0xc6120001U /* 198.18.0.1 */
#define ROUTE_B 0xc6120002U /* 198.18.0.2 */
#define ROUTE_PORT 443
#define FIRST_CALLER_PORT 20000
#define DATA_MS 250   /* between data on an open flow */
#define LIFE_MS 20000 /* longest life of a flow */
#define SHORT_LIFE_MS                                                         \
    800               /* life of each fourth flow, so that flows always open */
#define COPY_1_MS 200 /* a first packet is sent again */
#define COPY_2_MS 600 /* and once more */
#define GIVE_UP_MS 1400 /* then the flow is given up */
#define DRAIN_MS 3000   /* a confirmed leaving is known everywhere */
#define EMPTIED_MS 1500 /* an emptied hall is known everywhere */
#define LEAVE_MS 6000   /* a leaving host ends after it */
#define REUSE_MS 2000   /* then its address is used again */
#define DATA_BYTES 100  /* of a request and of its answer */
#define LAG_MAX 20      /* data without an answer: the flow is given up */
#define SECOND_HOSTS 2  /* the last hosts serve "b", the others "a" */
#define SAFE_MS 1000    /* callers of the soak's routes give up after it */

/* One upstream process. */
struct host {
    int fd;
    uint64_t id;
    uint64_t born;  /* of this start, by the clock; 0: it does not say */
    unsigned start; /* how often it has started */
    bool keeps_id;  /* it starts again under its id */
    bool up;
    bool service_b;
    bool leaving;
    uint64_t left_at;      /* its leaving was confirmed, 0: not */
    uint64_t end_at;       /* deadline: it ends */
    uint64_t start_at;     /* deadline: a new one starts */
    uint64_t paused_until; /* deadline */
    uint64_t sequence;     /* of the registration sent last */
    int keeper;            /* node that it registers with */
    GHashTable *flows;     /* ports of callers whose flows it holds */
};

/* What a flow of a caller is. */
enum flow_state { FLOW_CLOSED, FLOW_OPENING, FLOW_OPEN };

/* One flow of a caller. */
struct flow {
    enum flow_state state;
    uint16_t port;
    uint32_t route;
    uint32_t token;
    int host;         /* that answered */
    uint64_t host_id; /* its incarnation */
    unsigned host_start;
    uint32_t number; /* of the upstream that opened it */
    unsigned copies;
    uint64_t began_at;
    uint64_t data_at; /* deadline: send data */
    uint64_t data_sent;
    uint64_t answered; /* data that was answered */
};

static struct {
    struct host host[SOAK_HOSTS];
    struct flow flow[FLOWS];
    int caller_fd;
    uint32_t hosts, callers, nodes;
    int node_count;
    uint16_t packet_port, control_port;
    uint16_t next_port;
    uint64_t random;
    unsigned opened, given_up, refused, resets, data, answers;
} world;

/* Random number below a bound. */
static uint32_t
below(uint32_t bound)
{
    world.random =
        world.random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)(world.random >> 33) % bound;
}

/* Sends bytes. */
static void
send_to(int fd, uint32_t address, uint16_t port, const uint8_t *bytes,
        size_t length)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};

    (void)sendto(fd, bytes, length, MSG_DONTWAIT, (struct sockaddr *)&at,
                 sizeof(at));
}

/* Registers a host, or says that it ends. */
static void
register_host(struct host *host, int index, bool ends)
{
    char path[STANDIN_PATH_MAX];
    struct upstream_registration registration = {.id = host->id,
                                                 .address = world.hosts +
                                                            (uint32_t)index,
                                                 .port = HOST_PORT,
                                                 .slots = 2,
                                                 .leaving = host->leaving,
                                                 .started_at = host->born,
                                                 .sequence = ++host->sequence};
    char *body;
    GString *answer = g_string_new(NULL);
    bool leaving = host->leaving;
    uint64_t id = host->id;
    long status;

    g_strlcpy(registration.service, host->service_b ? "b" : "a",
              sizeof(registration.service));
    (void)snprintf(registration.hall, sizeof(registration.hall), SOAK_HALL,
                   index % SOAK_HALLS);
    body = standin_registration(&registration);
    standin_upstream_path(id, path);
    status = soak_ask_call(
        ends ? "DELETE" : "PUT", world.nodes + (uint32_t)host->keeper,
        world.control_port, path, ends ? NULL : body, answer, NULL);
    if (status != 200) {
        host->keeper = (int)(g_random_int() % (guint)world.node_count);
    }
    else if (leaving && host->id == id && host->left_at == 0) {
        host->left_at = loop_now();
    }
    g_string_free(answer, TRUE);
    g_free(body);
}

/* The registering thread of a host. */
static gpointer
run_registrations(gpointer data)
{
    int index = GPOINTER_TO_INT(data);
    struct host *host = &world.host[index];

    while (true) {
        uint64_t now = loop_now();

        if (host->up && now >= host->paused_until) {
            register_host(host, index,
                          host->leaving && host->end_at != 0 &&
                              now >= host->end_at);
            if (host->leaving && host->end_at != 0 && now >= host->end_at) {
                host->up = false;
                host->start_at = now + REUSE_MS;
            }
        }
        g_usleep(SOAK_INTERVAL_MS * 1000);
    }
    return NULL;
}

/* Starts a new incarnation at a host's address. */
static void
start_host(struct host *host)
{
    if (!host->keeps_id) {
        host->id = (uint64_t)below(0x7fffffff) << 8 | below(256) | 1;
    }
    host->born = loop_wall();
    host->keeps_id = false;
    host->start++;
    host->leaving = false;
    host->left_at = 0;
    host->end_at = 0;
    host->start_at = 0;
    host->sequence = 0;
    g_hash_table_remove_all(host->flows);
    host->up = true;
}

/* Opens hosts and callers. */
void
soak_host_open(uint32_t hosts, uint32_t callers, uint32_t nodes,
               int node_count, uint16_t packet_port, uint16_t control_port,
               unsigned seed)
{
    world.hosts = hosts;
    world.callers = callers;
    world.nodes = nodes;
    world.node_count = node_count;
    world.packet_port = packet_port;
    world.control_port = control_port;
    world.random = seed;
    world.next_port = FIRST_CALLER_PORT;
    world.caller_fd = soak_socket(callers, packet_port);
    for (int i = 0; i < SOAK_HOSTS; i++) {
        struct host *host = &world.host[i];

        host->fd = soak_socket(hosts + (uint32_t)i, HOST_PORT);
        host->service_b = i >= SOAK_HOSTS - SECOND_HOSTS;
        host->keeper = i % node_count;
        host->flows = g_hash_table_new(g_direct_hash, g_direct_equal);
        start_host(host);
        (void)g_thread_new("registrations", run_registrations,
                           GINT_TO_POINTER(i));
    }
}

/* Adds the sockets to poll. */
nfds_t
soak_host_poll(struct pollfd *fds)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        fds[i] = (struct pollfd){.fd = world.host[i].fd, .events = POLLIN};
    }
    fds[SOAK_HOSTS] = (struct pollfd){.fd = world.caller_fd, .events = POLLIN};
    return SOAK_HOSTS + 1;
}

/* Which of the callers' flows a port is; NULL when it was given up. */
static struct flow *
flow_of(uint16_t port)
{
    for (int i = 0; i < FLOWS; i++) {
        if (world.flow[i].port == port && world.flow[i].state != FLOW_CLOSED) {
            return &world.flow[i];
        }
    }
    return NULL;
}

/* Answers a caller from a host. */
static void
answer(const struct host *host, const struct evidence_packet *p,
       uint32_t number, uint8_t flags, uint16_t length)
{
    uint8_t out[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX] = {0};
    struct platform_header head = {.source = p->destination,
                                   .source_port = p->destination_port,
                                   .destination = p->source,
                                   .destination_port = p->source_port,
                                   .token = p->token,
                                   .acknowledged = number,
                                   .length = length,
                                   .flags = flags};

    platform_write_header(&head, out);
    send_to(host->fd, p->source, world.packet_port, out,
            PLATFORM_HEADER_BYTES + length);
}

/* Checks that a host whose hall is emptied gets no new flow. */
static void
check_hall(const struct host *host, uint32_t node)
{
    uint64_t since =
        soak_ask_emptied_since((int)(host - world.host) % SOAK_HALLS);

    if (since != 0 && loop_now() > since + EMPTIED_MS && soak_is_calm(node)) {
        soak_broken("a new flow came to %llx %llu ms after its hall was "
                    "emptied",
                    (unsigned long long)host->id,
                    (unsigned long long)(loop_now() - since));
    }
}

/* Checks a first packet that a host takes. */
static void
check_first(const struct host *host, const struct evidence_packet *p,
            uint32_t node)
{
    if ((p->destination == ROUTE_B) != host->service_b) {
        soak_broken("a flow of route %08x came to the other service",
                    p->destination);
    }
    if (host->left_at != 0 && loop_now() > host->left_at + DRAIN_MS &&
        soak_is_calm(node)) {
        soak_broken("a new flow came to %llx %llu ms after it left",
                    (unsigned long long)host->id,
                    (unsigned long long)(loop_now() - host->left_at));
    }
    check_hall(host, node);
}

/* Checks a later packet that came to a host which does not hold its flow. */
static void
check_stray(const struct host *host, const struct evidence_packet *p)
{
    const struct flow *flow = flow_of(p->source_port);
    const struct host *own;

    if (flow == NULL || flow->state != FLOW_OPEN) {
        return;
    }
    own = &world.host[flow->host];
    if (own != host && own->up && own->id == flow->host_id &&
        own->start == flow->host_start) {
        soak_broken("a packet of port %u came to %llx, its flow is at %llx",
                    p->source_port, (unsigned long long)host->id,
                    (unsigned long long)own->id);
    }
}

/* Takes one packet at a host. */
static void
take_at_host(struct host *host, const uint8_t *bytes, size_t length,
             uint32_t node)
{
    struct evidence_packet p;
    uint64_t meant = 0;
    uint32_t number;
    gpointer key;

    for (int i = 0; i < PLATFORM_PREFIX_BYTES; i++) {
        meant = meant << 8 | bytes[i];
    }
    if (!host->up || loop_now() < host->paused_until ||
        soak_link_is_cut((int)(node & 255) - 1,
                         (int)(host - world.host) % SOAK_HALLS) ||
        !platform_read_packet(bytes + PLATFORM_PREFIX_BYTES,
                              length - PLATFORM_PREFIX_BYTES, &p)) {
        return;
    }
    if (meant != host->id) {
        return;
    }
    key = GUINT_TO_POINTER(p.source_port);
    number = GPOINTER_TO_UINT(g_hash_table_lookup(host->flows, key));
    if (p.first) {
        check_first(host, &p, node);
        number = number != 0 ? number : below(UINT32_MAX - 1) + 1;
        (void)g_hash_table_insert(host->flows, key, GUINT_TO_POINTER(number));
        answer(host, &p, number, FLAG_SYN | FLAG_ACK, 0);
    }
    else if (number == 0 || number != p.acknowledged) {
        check_stray(host, &p);
        answer(host, &p, 0, FLAG_RST | FLAG_ACK, 0);
    }
    else if (p.length > 0) {
        answer(host, &p, number, FLAG_ACK, DATA_BYTES);
    }
}

/* Which host a token names; -1 for none. */
static int
host_of_token(uint32_t token)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        if (world.host[i].up && upstream_token(world.host[i].id) == token) {
            return i;
        }
    }
    return -1;
}

/* A reset that a node made came to a caller. */
static void
take_reset(struct flow *flow)
{
    const struct host *own = &world.host[flow->host];

    if (flow->state == FLOW_OPEN && own->up && own->id == flow->host_id &&
        own->start == flow->host_start && !own->leaving) {
        soak_broken("a reset of port %u, whose flow is held by %llx",
                    flow->port, (unsigned long long)own->id);
    }
    world.refused += flow->state == FLOW_OPENING;
    world.resets += flow->state == FLOW_OPEN;
    flow->state = FLOW_CLOSED;
}

/* Takes one packet at the callers. */
static void
take_at_caller(const uint8_t *bytes, size_t length)
{
    struct evidence_packet p;
    struct flow *flow;
    uint8_t flags;

    if (!platform_read_packet(bytes, length, &p)) {
        return;
    }
    flags = standin_flags(bytes);
    flow = flow_of(p.destination_port);
    if (flow == NULL) {
        return;
    }
    if ((flags & FLAG_RST) != 0) {
        if ((flags & FLAG_ACK) == 0) {
            take_reset(flow);
        }
        else {
            flow->state = FLOW_CLOSED;
        }
        return;
    }
    flow->token = p.token;
    if (flow->state == FLOW_OPENING && (flags & FLAG_SYN) != 0) {
        flow->host = host_of_token(p.token);
        if (flow->host >= 0) {
            flow->host_id = world.host[flow->host].id;
            flow->host_start = world.host[flow->host].start;
            flow->number = p.acknowledged;
            flow->state = FLOW_OPEN;
            flow->data_at = loop_now();
            world.opened++;
        }
    }
    else if (p.length > 0) {
        world.answers++;
        flow->answered = flow->data_sent;
    }
}

/* Takes what a socket holds. */
static void
drain_socket(int fd, struct host *host)
{
    uint8_t bytes[2048];
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    ssize_t n;

    while ((n = recvfrom(fd, bytes, sizeof(bytes), 0, (struct sockaddr *)&from,
                         &size)) > 0) {
        if (host == NULL) {
            take_at_caller(bytes, (size_t)n);
        }
        else if (n > PLATFORM_PREFIX_BYTES) {
            take_at_host(host, bytes, (size_t)n, ntohl(from.sin_addr.s_addr));
        }
    }
}

/* Sends a packet of a flow to the node that the fabric picks. */
static void
send_flow(const struct flow *flow, uint8_t flags, uint32_t ack,
          uint16_t length)
{
    uint8_t out[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX] = {0};
    struct platform_header head = {
        .source = world.callers,
        .source_port = flow->port,
        .destination = flow->route,
        .destination_port = ROUTE_PORT,
        .token = (flags & FLAG_SYN) != 0 ? 0 : flow->token,
        .acknowledged = ack,
        .length = length,
        .flags = flags};

    platform_write_header(&head, out);
    send_to(world.caller_fd, soak_ask_route(flow->port * 2654435761U),
            world.packet_port, out, PLATFORM_HEADER_BYTES + length);
}

/* Opens a flow anew, from a new port. */
static void
open_flow(struct flow *flow, uint64_t now)
{
    memset(flow, 0, sizeof(*flow));
    flow->state = FLOW_OPENING;
    flow->port = world.next_port++;
    if (world.next_port < FIRST_CALLER_PORT) {
        world.next_port = FIRST_CALLER_PORT;
    }
    flow->route = below(4) == 0 ? ROUTE_B : ROUTE_A;
    flow->began_at = now;
    send_flow(flow, FLAG_SYN, 0, 0);
}

/* How long a flow lives. */
static uint64_t
life_of(const struct flow *flow)
{
    return (flow - world.flow) % 4 == 0 ? SHORT_LIFE_MS : LIFE_MS;
}

/* Lets a flow do what is due. */
static void
run_flow(struct flow *flow, uint64_t now)
{
    static const uint64_t copies[] = {COPY_1_MS, COPY_2_MS};

    switch (flow->state) {
    case FLOW_CLOSED:
        if (below(40) == 0) {
            open_flow(flow, now);
        }
        return;
    case FLOW_OPENING:
        if (now > flow->began_at + GIVE_UP_MS) {
            world.given_up++;
            flow->state = FLOW_CLOSED;
        }
        else if (flow->copies < G_N_ELEMENTS(copies) &&
                 now >= flow->began_at + copies[flow->copies]) {
            send_flow(flow, FLAG_SYN, ++flow->copies, 0);
        }
        return;
    case FLOW_OPEN:
        if (now >= flow->data_at) {
            flow->data_at = now + DATA_MS;
            flow->data_sent++;
            world.data++;
            send_flow(flow, FLAG_ACK, flow->number, DATA_BYTES);
        }
        if (now > flow->began_at + life_of(flow) ||
            flow->data_sent > flow->answered + LAG_MAX) {
            flow->state = FLOW_CLOSED;
        }
        return;
    }
}

/* Takes packets, sends what is due. */
void
soak_host_run(uint64_t now)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        struct host *host = &world.host[i];

        drain_socket(host->fd, host);
        if (!host->up && host->start_at != 0 && now >= host->start_at) {
            start_host(host);
        }
    }
    drain_socket(world.caller_fd, NULL);
    for (int i = 0; i < FLOWS; i++) {
        run_flow(&world.flow[i], now);
    }
}

/* Harms a host. */
void
soak_host_fault(enum soak_host_fault fault)
{
    struct host *host = &world.host[below(SOAK_HOSTS)];
    uint64_t now = loop_now();

    if (!host->up || host->leaving || now < host->paused_until) {
        return;
    }
    switch (fault) {
    case SOAK_HOST_LEAVES:
        host->end_at = now + LEAVE_MS;
        host->leaving = true;
        return;
    case SOAK_HOST_CRASHES:
        host->up = false;
        host->start_at = now + REUSE_MS;
        return;
    case SOAK_HOST_RESTARTS:
        host->up = false;
        host->keeps_id = true;
        host->start_at = now + below(REUSE_MS);
        return;
    case SOAK_HOST_PAUSES:
    case SOAK_HOST_FAULTS:
        host->paused_until = now + 500 + below(2500);
        return;
    }
}

/* A routing table for both services. */
char *
soak_table(uint64_t version)
{
    const struct standin_route routes[] = {
        {.name = "r-a",
         .service = "a",
         .address = ROUTE_A,
         .port = ROUTE_PORT,
         .deadline_ms = SAFE_MS + version % 7},
        {.name = "r-b",
         .service = "b",
         .address = ROUTE_B,
         .port = ROUTE_PORT,
         .once = true,
         .deadline_ms = SAFE_MS},
    };

    return standin_table(version, routes, G_N_ELEMENTS(routes));
}

/* Prints what callers saw. */
void
soak_host_report(void)
{
    printf("%u flows opened, %u given up, %u refused, %u reset, %u of %u data "
           "answered\n",
           world.opened, world.given_up, world.refused, world.resets,
           world.answers, world.data);
}
