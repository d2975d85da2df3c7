/*
 * Simulated upstreams and callers of the soak. A caller opens flows and sends
 * data on them; an upstream answers its own flows and resets others.
 * Violations are packets at an upstream that does not own the flow or serves
 * another service, and resets of a flow that its upstream still has. During a
 * burst further callers send more requests than the upstreams can run, some of
 * them uploads; an upstream answers the excess with a short failure.
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
#define FLOWS_MAX 120       /* open at once */
#define ROUTE_A 0xc6120001U /* 198.18.0.1 */
#define ROUTE_B 0xc6120002U /* 198.18.0.2 */
#define ROUTE_C 0xc6120003U /* 198.18.0.3: leads to "a" and "b" in turn */
#define VERSIONS_PER_TURN 8 /* of the table, until ROUTE_C changes */
#define ROUTE_PORT 443
#define FIRST_CALLER_PORT 20000
#define REUSED_PORTS                                                          \
    600 /* the first ones; each is used again after seconds                   \
         */
#define DATA_INTERVAL_MS 250 /* on an open flow */
#define FLOW_LIFETIME_MS 20000
#define SHORT_FLOW_LIFETIME_MS 800 /* every fourth flow */
#define SYN_RETRANSMIT_1_MS 200    /* first retransmission of a SYN */
#define SYN_RETRANSMIT_2_MS 600    /* second one */
#define CONNECT_TIMEOUT_MS 1400    /* from the first SYN */
#define LEAVE_PROPAGATION_MS 3000  /* acknowledged leaving to no new flow */
#define DRAIN_PROPAGATION_MS 1500  /* acknowledged drain to no new flow */
#define LEAVE_DURATION_MS 6000     /* from leaving to deregistration */
#define RESTART_DELAY_MS 2000 /* from the end of a host to its next start */
#define DATA_BYTES 100        /* payload of a request and of its reply */
#define UNANSWERED_MAX 20     /* unanswered requests: close the flow */
#define SERVICE_B_HOSTS 2     /* the last hosts serve "b", all others "a" */
#define DEADLINE_MS 1000      /* deadline_ms of the routes */
#define BURST_FLOWS_MAX 400   /* open at once, in addition to FLOWS_MAX */
#define BURST_PAUSE_MS 300    /* between two flows of a caller */
#define BURST_RETRY_MS 300    /* retransmission of a request */
#define BURST_TIMEOUT_MS 2000 /* from the first SYN to the answer */
#define UPLOAD_PACKETS 17     /* 20 KB */
#define UPLOAD_DATA_BYTES 1200
#define SLOTS 2       /* requests of a burst that a host runs at once */
#define QUEUE 8       /* further ones that wait */
#define WORK_MS 52    /* duration of a request */
#define FAIL_BYTES 30 /* payload of a failure, a 503 without a body */

/* A request of a burst at a host. */
struct job {
    struct evidence_packet packet;
    uint64_t done_at; /* deadline: answer it, 0: free */
};

/* A simulated upstream process. */
struct host {
    int fd;
    uint64_t id;
    uint64_t start_time;  /* Unix time in ms of this start */
    unsigned start_count; /* starts so far */
    bool keep_id;         /* the next start reuses the id */
    bool up;
    bool service_b;
    bool leaving;
    uint64_t leave_confirmed_at; /* leaving acknowledged, 0: no */
    uint64_t stop_at;            /* deadline: deregister and stop */
    uint64_t restart_at;         /* deadline: start again */
    uint64_t paused_until;       /* deadline */
    uint64_t sequence;           /* of the last registration */
    int keeper;                  /* node that receives its registrations */
    GHashTable *flows;           /* caller port -> connection id */
    struct job job[SLOTS + QUEUE];
};

enum flow_state { FLOW_CLOSED, FLOW_OPENING, FLOW_OPEN };

/* A flow of a caller. */
struct flow {
    enum flow_state state;
    uint16_t port;
    uint32_t route;
    uint32_t token;
    int host;         /* index of the upstream that answered the SYN */
    uint64_t host_id; /* its id at that time */
    unsigned host_start_count;
    uint32_t connection_id; /* assigned by the upstream */
    uint32_t sequence;      /* of the first packet */
    unsigned retransmissions;
    uint64_t opened_at;
    uint64_t next_data_at; /* deadline */
    uint64_t data_sent;
    uint64_t answered; /* value of data_sent at the last reply */
};

static struct {
    struct host host[SOAK_HOSTS];
    struct flow flow[FLOWS_MAX + BURST_FLOWS_MAX]; /* the last: of a burst */
    bool burst;
    int caller_fd;
    uint32_t first_host, caller_address, first_node;
    uint16_t packet_port, control_port;
    uint16_t next_port;        /* of a burst */
    uint16_t next_reused_port; /* of other flows */
    uint64_t random;
    unsigned opened, timed_out, refused, resets, data, answers;
    unsigned burst_answers, burst_failures;
} traffic;

static uint32_t
random_below(uint32_t bound)
{
    traffic.random =
        traffic.random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)(traffic.random >> 33) % bound;
}

static void
send_datagram(int fd, uint32_t address, uint16_t port, const uint8_t *bytes,
              size_t length)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};

    (void)sendto(fd, bytes, length, MSG_DONTWAIT, (struct sockaddr *)&at,
                 sizeof(at));
}

/* Sends a registration of a host, or deregisters it. */
static void
register_host(struct host *host, int index, bool deregister)
{
    char path[STANDIN_PATH_MAX];
    struct upstream_registration registration = {
        .id = host->id,
        .address = traffic.first_host + (uint32_t)index,
        .port = HOST_PORT,
        .slots = SLOTS,
        .leaving = host->leaving,
        .started_at = host->start_time,
        .sequence = ++host->sequence};
    char *body;
    GString *response = g_string_new(NULL);
    bool leaving = host->leaving;
    uint64_t id = host->id;
    long status;

    g_strlcpy(registration.service, host->service_b ? "b" : "a",
              sizeof(registration.service));
    (void)snprintf(registration.hall, sizeof(registration.hall),
                   SOAK_HALL_FORMAT, index % SOAK_HALLS);
    body = standin_registration(&registration);
    standin_upstream_path(id, path);
    status = soak_http_request(deregister ? "DELETE" : "PUT",
                               traffic.first_node + (uint32_t)host->keeper,
                               traffic.control_port, path,
                               deregister ? NULL : body, response, NULL);
    if (status != 200) {
        host->keeper = soak_random_node();
    }
    else if (leaving && host->id == id && host->leave_confirmed_at == 0) {
        host->leave_confirmed_at = loop_now();
    }
    g_string_free(response, TRUE);
    g_free(body);
}

/* Thread that sends the registrations of a host. */
static gpointer
run_registrations(gpointer data)
{
    int index = GPOINTER_TO_INT(data);
    struct host *host = &traffic.host[index];

    while (true) {
        uint64_t now = loop_now();

        if (host->up && now >= host->paused_until) {
            register_host(host, index,
                          host->leaving && host->stop_at != 0 &&
                              now >= host->stop_at);
            if (host->leaving && host->stop_at != 0 && now >= host->stop_at) {
                host->up = false;
                host->restart_at = now + RESTART_DELAY_MS;
            }
        }
        g_usleep(SOAK_REGISTRATION_MS * 1000);
    }
    return NULL;
}

/* Starts a host at the address of the previous one. */
static void
start_host(struct host *host)
{
    if (!host->keep_id) {
        host->id =
            (uint64_t)random_below(0x7fffffff) << 8 | random_below(256) | 1;
    }
    host->start_time = loop_wall();
    host->keep_id = false;
    host->start_count++;
    host->leaving = false;
    host->leave_confirmed_at = 0;
    host->stop_at = 0;
    host->restart_at = 0;
    host->sequence = 0;
    g_hash_table_remove_all(host->flows);
    memset(host->job, 0, sizeof(host->job));
    host->up = true;
}

/* Opens the sockets, starts the hosts and their registration threads. */
void
soak_host_open(uint32_t hosts, uint32_t callers, uint32_t nodes,
               uint16_t packet_port, uint16_t control_port, unsigned seed)
{
    traffic.first_host = hosts;
    traffic.caller_address = callers;
    traffic.first_node = nodes;
    traffic.packet_port = packet_port;
    traffic.control_port = control_port;
    traffic.random = seed;
    traffic.next_port = FIRST_CALLER_PORT + REUSED_PORTS;
    traffic.next_reused_port = FIRST_CALLER_PORT;
    traffic.caller_fd = soak_socket(callers, packet_port);
    for (int i = 0; i < SOAK_HOSTS; i++) {
        struct host *host = &traffic.host[i];

        host->fd = soak_socket(hosts + (uint32_t)i, HOST_PORT);
        host->service_b = i >= SOAK_HOSTS - SERVICE_B_HOSTS;
        host->keeper = soak_random_node();
        host->flows = g_hash_table_new(g_direct_hash, g_direct_equal);
        start_host(host);
        (void)g_thread_new("registrations", run_registrations,
                           GINT_TO_POINTER(i));
    }
}

nfds_t
soak_host_poll(struct pollfd *fds)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        fds[i] = (struct pollfd){.fd = traffic.host[i].fd, .events = POLLIN};
    }
    fds[SOAK_HOSTS] =
        (struct pollfd){.fd = traffic.caller_fd, .events = POLLIN};
    return SOAK_HOSTS + 1;
}

static bool
is_of_burst(const struct flow *flow)
{
    return flow >= &traffic.flow[FLOWS_MAX];
}

/* Sequence of the last packet of a caller's request in a burst. */
static uint32_t
last_sequence(uint16_t port)
{
    return port % 4 == 0 ? 1 + (UPLOAD_PACKETS - 1) * UPLOAD_DATA_BYTES : 1;
}

/* The open flow of a caller port, or NULL. */
static struct flow *
find_flow(uint16_t port)
{
    for (size_t i = 0; i < G_N_ELEMENTS(traffic.flow); i++) {
        if (traffic.flow[i].port == port &&
            traffic.flow[i].state != FLOW_CLOSED) {
            return &traffic.flow[i];
        }
    }
    return NULL;
}

/* Sends a reply packet from a host to a caller. */
static void
send_reply(const struct host *host, const struct evidence_packet *p,
           uint32_t connection_id, uint8_t flags, uint16_t length)
{
    uint8_t out[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX] = {0};
    struct platform_header header = {.source = p->destination,
                                     .source_port = p->destination_port,
                                     .destination = p->source,
                                     .destination_port = p->source_port,
                                     .token = p->token,
                                     .acknowledged = connection_id,
                                     .length = length,
                                     .flags = flags};

    platform_write_header(&header, out);
    send_datagram(host->fd, p->source, traffic.packet_port, out,
                  PLATFORM_HEADER_BYTES + length);
}

/* A drained hall must get no new flow once the order has propagated. */
static void
check_drained_hall(const struct host *host, uint32_t node)
{
    uint64_t since =
        soak_http_drained_since((int)(host - traffic.host) % SOAK_HALLS);

    if (since != 0 && loop_now() > since + DRAIN_PROPAGATION_MS &&
        soak_is_stable(node)) {
        soak_violation("new flow at %llx %llu ms after its hall was "
                       "drained",
                       (unsigned long long)host->id,
                       (unsigned long long)(loop_now() - since));
    }
}

/* Whether ROUTE_C leads to service "b" in a version of the table. */
static bool
leads_to_b(uint64_t version)
{
    return version / VERSIONS_PER_TURN % 2 == 1;
}

/* Whether a route leads to a host in one of the versions that may be in force
 * now. */
static bool
may_receive(const struct host *host, uint32_t route, uint32_t node)
{
    uint64_t version = 0;
    uint64_t last;

    if (route != ROUTE_C) {
        return (route == ROUTE_B) == host->service_b;
    }
    soak_http_versions_in_force(&version, &last);
    while (version <= last) {
        if (leads_to_b(version) == host->service_b) {
            return true;
        }
        version++;
    }
    return !soak_is_stable(node);
}

/* Checks a SYN: the route must lead to the service, and the host must neither
 * have left nor be in a drained hall. */
static void
check_syn(const struct host *host, const struct evidence_packet *p,
          uint32_t node)
{
    if (!may_receive(host, p->destination, node)) {
        soak_violation("flow of port %u, route %08x at an upstream of another "
                       "service",
                       p->source_port, p->destination);
    }
    if (host->leave_confirmed_at != 0 &&
        loop_now() > host->leave_confirmed_at + LEAVE_PROPAGATION_MS &&
        soak_is_stable(node)) {
        soak_violation(
            "new flow at %llx %llu ms after it left",
            (unsigned long long)host->id,
            (unsigned long long)(loop_now() - host->leave_confirmed_at));
    }
    check_drained_hall(host, node);
}

/* A packet of an open flow must not reach another host while its own runs. */
static void
check_misrouted(const struct host *host, const struct evidence_packet *p)
{
    const struct flow *flow = find_flow(p->source_port);
    const struct host *own;

    if (flow == NULL || flow->state != FLOW_OPEN) {
        return;
    }
    own = &traffic.host[flow->host];
    if (own != host && own->up && own->id == flow->host_id &&
        own->start_count == flow->host_start_count) {
        soak_violation("packet of port %u at %llx, but its flow is at %llx",
                       p->source_port, (unsigned long long)host->id,
                       (unsigned long long)own->id);
    }
}

/* Queues a request of a burst; the answer to a request that finds no place is
 * short. */
static void
queue_job(struct host *host, const struct evidence_packet *p)
{
    struct job *free_job = NULL;
    unsigned busy = 0;

    for (int i = 0; i < SLOTS + QUEUE; i++) {
        struct job *job = &host->job[i];

        if (job->done_at == 0) {
            free_job = job;
        }
        else if (job->packet.source_port == p->source_port) {
            return; /* a retransmission */
        }
        busy += job->done_at != 0;
    }
    if (free_job == NULL) {
        send_reply(host, p, p->acknowledged, FLAG_ACK, FAIL_BYTES);
        return;
    }
    free_job->packet = *p;
    free_job->done_at = loop_now() + WORK_MS * (1 + busy / SLOTS);
}

/* Answers the requests that are done. */
static void
run_jobs(struct host *host, uint64_t now)
{
    for (int i = 0; i < SLOTS + QUEUE; i++) {
        struct job *job = &host->job[i];

        if (host->up && job->done_at != 0 && now >= job->done_at &&
            now >= host->paused_until) {
            send_reply(host, &job->packet, job->packet.acknowledged, FLAG_ACK,
                       DATA_BYTES);
            job->done_at = 0;
        }
    }
}

/* Handles a packet at a host. */
static void
receive_at_host(struct host *host, const uint8_t *bytes, size_t length,
                uint32_t node)
{
    struct evidence_packet p;
    uint64_t target_id = 0;
    uint32_t connection_id;
    gpointer key;

    for (int i = 0; i < PLATFORM_PREFIX_BYTES; i++) {
        target_id = target_id << 8 | bytes[i];
    }
    if (!host->up || loop_now() < host->paused_until ||
        soak_link_is_partitioned((int)(node & 255) - 1,
                                 (int)(host - traffic.host) % SOAK_HALLS) ||
        !platform_read_packet(bytes + PLATFORM_PREFIX_BYTES,
                              length - PLATFORM_PREFIX_BYTES, &p)) {
        return;
    }
    if (target_id != host->id) {
        return;
    }
    key = GUINT_TO_POINTER(p.source_port);
    connection_id = GPOINTER_TO_UINT(g_hash_table_lookup(host->flows, key));
    if (p.first) {
        check_syn(host, &p, node);
        connection_id = connection_id != 0 ? connection_id
                                           : random_below(UINT32_MAX - 1) + 1;
        (void)g_hash_table_insert(host->flows, key,
                                  GUINT_TO_POINTER(connection_id));
        send_reply(host, &p, connection_id, FLAG_SYN | FLAG_ACK, 0);
    }
    else if (connection_id != 0 && p.length == 0 &&
             p.acknowledged - connection_id <= DATA_BYTES) {
        return; /* acknowledges the answer to a request of a burst */
    }
    else if (connection_id == 0 || connection_id != p.acknowledged) {
        check_misrouted(host, &p);
        send_reply(host, &p, 0, FLAG_RST | FLAG_ACK, 0);
    }
    else if (p.sequence == last_sequence(p.source_port)) {
        queue_job(host, &p);
    }
    else if (p.length > 0 && p.sequence == 0) {
        send_reply(host, &p, connection_id, FLAG_ACK, DATA_BYTES);
    }
}

/* Index of the running host with this token, -1: none. */
static int
find_host_by_token(uint32_t token)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        if (traffic.host[i].up &&
            upstream_token(traffic.host[i].id) == token) {
            return i;
        }
    }
    return -1;
}

/* A refused flow must not be open at a host: its caller retries. */
static void
check_refusal(const struct flow *flow)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        const struct host *host = &traffic.host[i];

        if (host->up &&
            g_hash_table_contains(host->flows, GUINT_TO_POINTER(flow->port))) {
            soak_violation("refusal of port %u, but %llx has the flow",
                           flow->port, (unsigned long long)host->id);
        }
    }
}

/* Handles a reset sent by a node: the flow's upstream must be gone or
 * leaving. */
static void
handle_reset(struct flow *flow)
{
    const struct host *own = &traffic.host[flow->host];

    if (flow->state == FLOW_OPENING) {
        check_refusal(flow);
    }
    if (flow->state == FLOW_OPEN && own->up && own->id == flow->host_id &&
        own->start_count == flow->host_start_count && !own->leaving) {
        soak_violation("reset of port %u, but %llx still has the flow%s",
                       flow->port, (unsigned long long)own->id,
                       loop_now() < own->paused_until ? ", paused" : "");
    }
    traffic.refused += flow->state == FLOW_OPENING;
    traffic.resets += flow->state == FLOW_OPEN;
    flow->state = FLOW_CLOSED;
}

/* Handles a packet at the callers. */
static void
receive_at_caller(const uint8_t *bytes, size_t length)
{
    struct evidence_packet p;
    struct flow *flow;
    uint8_t flags;

    if (!platform_read_packet(bytes, length, &p)) {
        return;
    }
    flags = standin_flags(bytes);
    flow = find_flow(p.destination_port);
    if (flow == NULL) {
        return;
    }
    if ((flags & FLAG_RST) != 0) {
        if ((flags & FLAG_ACK) == 0) {
            handle_reset(flow);
        }
        else {
            flow->state = FLOW_CLOSED;
        }
        return;
    }
    flow->token = p.token;
    if (flow->state == FLOW_OPENING && (flags & FLAG_SYN) != 0) {
        flow->host = find_host_by_token(p.token);
        if (flow->host >= 0) {
            flow->host_id = traffic.host[flow->host].id;
            flow->host_start_count = traffic.host[flow->host].start_count;
            flow->connection_id = p.acknowledged;
            flow->state = FLOW_OPEN;
            flow->next_data_at = loop_now();
            traffic.opened++;
        }
    }
    else if (p.length > 0 && is_of_burst(flow)) {
        flow->answered = p.length;
    }
    else if (p.length > 0) {
        traffic.answers++;
        flow->answered = flow->data_sent;
    }
}

/* Receives until the socket is empty; host is NULL for the callers' socket. */
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
            receive_at_caller(bytes, (size_t)n);
        }
        else if (n > PLATFORM_PREFIX_BYTES) {
            receive_at_host(host, bytes, (size_t)n,
                            ntohl(from.sin_addr.s_addr));
        }
    }
}

/* Sends a packet of a flow to the node that the fabric selects. */
static void
send_flow(const struct flow *flow, uint8_t flags, uint32_t ack,
          uint32_t sequence, uint16_t length)
{
    uint8_t out[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX] = {0};
    struct platform_header header = {
        .source = traffic.caller_address,
        .source_port = flow->port,
        .destination = flow->route,
        .destination_port = ROUTE_PORT,
        .token = (flags & FLAG_SYN) != 0 ? 0 : flow->token,
        .sequence = sequence,
        .acknowledged = ack,
        .length = length,
        .flags = flags};

    platform_write_header(&header, out);
    send_datagram(traffic.caller_fd,
                  soak_http_pick_node(flow->port * 2654435761U),
                  traffic.packet_port, out, PLATFORM_HEADER_BYTES + length);
}

static uint16_t
next_burst_port(void)
{
    uint16_t port = traffic.next_port++;

    if (traffic.next_port < FIRST_CALLER_PORT) {
        traffic.next_port = FIRST_CALLER_PORT + REUSED_PORTS;
    }
    return port;
}

/* The port that was closed the longest ago. */
static uint16_t
next_reused_port(void)
{
    uint16_t port;

    do {
        port = traffic.next_reused_port++;
        if (traffic.next_reused_port == FIRST_CALLER_PORT + REUSED_PORTS) {
            traffic.next_reused_port = FIRST_CALLER_PORT;
        }
    } while (find_flow(port) != NULL);
    return port;
}

/* Opens a flow. */
static void
open_flow(struct flow *flow, uint64_t now)
{
    static const uint32_t routes[] = {ROUTE_A, ROUTE_A, ROUTE_B, ROUTE_C};

    memset(flow, 0, sizeof(*flow));
    flow->state = FLOW_OPENING;
    flow->port = is_of_burst(flow) ? next_burst_port() : next_reused_port();
    flow->route = routes[random_below(G_N_ELEMENTS(routes))];
    flow->sequence = random_below(UINT32_MAX);
    flow->opened_at = now;
    for (int i = 0; i < SOAK_HOSTS; i++) { /* port numbers are used again */
        (void)g_hash_table_remove(traffic.host[i].flows,
                                  GUINT_TO_POINTER(flow->port));
    }
    send_flow(flow, FLAG_SYN, 0, flow->sequence, 0);
}

/* Sends the request of a burst's flow until it is answered, then acknowledges
 * the answer and closes the flow. */
static void
run_request(struct flow *flow, uint64_t now)
{
    uint32_t last = last_sequence(flow->port);

    if (flow->answered != 0 || now > flow->opened_at + BURST_TIMEOUT_MS) {
        traffic.burst_failures += flow->answered == FAIL_BYTES;
        traffic.burst_answers += flow->answered == DATA_BYTES;
        send_flow(flow, FLAG_ACK,
                  flow->connection_id + (uint32_t)flow->answered, 0, 0);
        flow->state = FLOW_CLOSED;
        flow->next_data_at = now + BURST_PAUSE_MS;
    }
    else if (now >= flow->next_data_at) {
        flow->next_data_at = now + BURST_RETRY_MS;
        for (uint32_t i = 1; i <= last; i += UPLOAD_DATA_BYTES) {
            send_flow(flow, FLAG_ACK, flow->connection_id, i,
                      last > 1 ? UPLOAD_DATA_BYTES : DATA_BYTES);
        }
    }
}

static uint64_t
flow_lifetime_ms(const struct flow *flow)
{
    return (flow - traffic.flow) % 4 == 0 ? SHORT_FLOW_LIFETIME_MS
                                          : FLOW_LIFETIME_MS;
}

/* Runs the timers of a flow. */
static void
run_flow(struct flow *flow, uint64_t now)
{
    static const uint64_t retransmit_ms[] = {SYN_RETRANSMIT_1_MS,
                                             SYN_RETRANSMIT_2_MS};

    switch (flow->state) {
    case FLOW_CLOSED:
        if (is_of_burst(flow) ? traffic.burst && now >= flow->next_data_at
                              : random_below(40) == 0) {
            open_flow(flow, now);
        }
        return;
    case FLOW_OPENING:
        if (now > flow->opened_at + CONNECT_TIMEOUT_MS) {
            traffic.timed_out++;
            flow->state = FLOW_CLOSED;
        }
        else if (flow->retransmissions < G_N_ELEMENTS(retransmit_ms) &&
                 now >=
                     flow->opened_at + retransmit_ms[flow->retransmissions]) {
            send_flow(flow, FLAG_SYN, ++flow->retransmissions, flow->sequence,
                      0);
        }
        return;
    case FLOW_OPEN:
        if (is_of_burst(flow)) {
            run_request(flow, now);
            return;
        }
        if (now >= flow->next_data_at) {
            flow->next_data_at = now + DATA_INTERVAL_MS;
            flow->data_sent++;
            traffic.data++;
            send_flow(flow, FLAG_ACK, flow->connection_id, 0, DATA_BYTES);
        }
        if (now > flow->opened_at + flow_lifetime_ms(flow) ||
            flow->data_sent > flow->answered + UNANSWERED_MAX) {
            flow->state = FLOW_CLOSED;
        }
        return;
    }
}

void
soak_host_run(uint64_t now)
{
    for (int i = 0; i < SOAK_HOSTS; i++) {
        struct host *host = &traffic.host[i];

        drain_socket(host->fd, host);
        run_jobs(host, now);
        if (!host->up && host->restart_at != 0 && now >= host->restart_at) {
            start_host(host);
        }
    }
    drain_socket(traffic.caller_fd, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(traffic.flow); i++) {
        run_flow(&traffic.flow[i], now);
    }
}

void
soak_host_inject(enum soak_host_fault fault)
{
    struct host *host = &traffic.host[random_below(SOAK_HOSTS)];
    uint64_t now = loop_now();

    if (!host->up || host->leaving || now < host->paused_until) {
        return;
    }
    switch (fault) {
    case SOAK_HOST_LEAVE:
        host->stop_at = now + LEAVE_DURATION_MS;
        host->leaving = true;
        return;
    case SOAK_HOST_CRASH:
        host->up = false;
        host->restart_at = now + RESTART_DELAY_MS;
        return;
    case SOAK_HOST_RESTART:
        host->up = false;
        host->keep_id = true;
        host->restart_at = now + random_below(RESTART_DELAY_MS);
        return;
    case SOAK_HOST_PAUSE:
    case SOAK_HOST_RANDOM_FAULTS:
        host->paused_until = now + 500 + random_below(2500);
        return;
    }
}

void
soak_host_set_burst(bool active)
{
    traffic.burst = active;
}

char *
soak_routing_table(uint64_t version)
{
    const struct standin_route routes[] = {
        {.name = "r-a",
         .service = "a",
         .address = ROUTE_A,
         .port = ROUTE_PORT,
         .deadline_ms = DEADLINE_MS + version % 7},
        {.name = "r-b",
         .service = "b",
         .address = ROUTE_B,
         .port = ROUTE_PORT,
         .non_idempotent = true,
         .deadline_ms = DEADLINE_MS},
        {.name = "r-c",
         .service = leads_to_b(version) ? "b" : "a",
         .address = ROUTE_C,
         .port = ROUTE_PORT,
         .deadline_ms = DEADLINE_MS},
    };

    return standin_table(version, routes, G_N_ELEMENTS(routes));
}

void
soak_host_report(void)
{
    printf("%u flows opened, %u timed out, %u refused, %u reset, %u of %u "
           "requests answered\n",
           traffic.opened, traffic.timed_out, traffic.refused, traffic.resets,
           traffic.answers, traffic.data);
    printf("burst: %u answers, %u failures\n", traffic.burst_answers,
           traffic.burst_failures);
}
