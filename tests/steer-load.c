/* Callers and nodes of the steering model, its event loop and its figures. */
#include "steer-model.h"

#include <math.h>
#include <string.h>
#include <time.h>

#include "hash.h"
#include "random.h"

#define TICK_MS 100U /* of a node */
#define CONNECT_TIMEOUT_MS 1400U
#define LATENCY_GAIN 0.3 /* of the moving average of latency */
#define MAX_ATTEMPTS 3   /* of a request */
#define IDLE_TIMEOUT_MS 15000U
#define RESPONSE_BYTES 4000U
#define ROUTE_ADDRESS 0xc6120001U
#define ROUTE_PORT 443

/* Retransmission timeouts of first packets and data. */
static const unsigned retransmit_ms[] = {200, 400, 800, 1600};

/* Node that receives a caller's flow: the fabric's ECMP hash. */
static unsigned
node_of(const struct model *m, unsigned caller)
{
    return (unsigned)(hash_pair(HASH_FLOW, caller, m->callers[caller].port) %
                      m->scenario->nodes);
}

static struct evidence_packet
packet_of(const struct model *m, unsigned caller)
{
    const struct caller *c = &m->callers[caller];

    return (struct evidence_packet){.source = 0x64400000U + caller,
                                    .source_port = c->port,
                                    .destination = ROUTE_ADDRESS,
                                    .destination_port = ROUTE_PORT,
                                    .token = c->token,
                                    .acknowledged = c->acknowledged,
                                    .sequence = c->sequence};
}

/* Steers a packet at its node and measures the CPU time of first packets. */
static struct evidence_verdict
steer(struct model *m, unsigned caller, const struct evidence_packet *packet)
{
    unsigned n = node_of(m, caller);
    struct evidence_verdict verdict;
    struct timespec before;
    struct timespec after;

    m->deciding_node = n;
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
    evidence_steer(&m->nodes[n], m->now, packet, &verdict);
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
    if (packet->first) {
        m->decisions++;
        m->decision_ns +=
            (uint64_t)(after.tv_sec - before.tv_sec) * 1000000000U +
            (uint64_t)after.tv_nsec - (uint64_t)before.tv_nsec;
    }
    server_broadcast(m, n);
    return verdict;
}

/* Sends a first packet, or a retransmission of it. */
static void
send_first(struct model *m, unsigned caller, unsigned retransmission)
{
    struct caller *c = &m->callers[caller];

    if (!model_packet_is_lost(m)) {
        model_schedule(m, m->now + CLIENT_DELAY_MS, EV_FIRST_PACKET, caller,
                       retransmission, c->generation);
    }
}

static void
open_flow(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    c->generation++;
    c->attempts++;
    c->port++;
    c->upstream = NONE;
    c->token = 0;
    c->acknowledged = 0;
    c->sequence = 1;
    c->opening = true;
    c->delivered = false;
    send_first(m, caller, 0);
    model_schedule(m, m->now + retransmit_ms[0], EV_RETRANSMIT, caller, 1,
                   c->generation);
}

/* Sends the request, or a retransmission of it, on the caller's open flow. */
static void
send_data(struct model *m, unsigned caller, unsigned retransmission)
{
    struct caller *c = &m->callers[caller];

    if (!model_packet_is_lost(m)) {
        model_schedule(m, m->now + CLIENT_DELAY_MS, EV_NODE_DATA, caller,
                       retransmission, c->generation);
    }
    if (retransmission < G_N_ELEMENTS(retransmit_ms)) {
        model_schedule(m, m->now + retransmit_ms[retransmission],
                       EV_RETRANSMIT, caller, retransmission + 1,
                       c->generation);
    }
}

static void
abandon_flow(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    if (c->upstream != NONE && model_server(m, c->upstream)->open > 0) {
        model_server(m, c->upstream)->open--;
    }
    c->upstream = NONE;
}

/* Retries a request on a new flow while attempts are left. */
static void
retry(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    abandon_flow(m, caller);
    if (c->pending && c->attempts < MAX_ATTEMPTS) {
        open_flow(m, caller);
    }
}

/* Retransmission timer: resends the packet, or retries on a new flow after
 * the connect timeout. */
static void
retransmit(struct model *m, unsigned caller, unsigned retransmission,
           unsigned generation)
{
    struct caller *c = &m->callers[caller];
    uint64_t waited = 0;

    if (c->generation != generation || !c->pending) {
        return;
    }
    if (!c->opening) {
        if (!c->delivered) {
            send_data(m, caller, retransmission);
        }
        return;
    }
    for (unsigned i = 0; i < retransmission; i++) {
        waited += retransmit_ms[i];
    }
    if (waited >= CONNECT_TIMEOUT_MS) {
        retry(m, caller);
        return;
    }
    if (retransmission < 3) {
        send_first(m, caller, retransmission);
    }
    model_schedule(m, m->now + retransmit_ms[retransmission], EV_RETRANSMIT,
                   caller, retransmission + 1, generation);
}

/* Steers a first packet that reaches its node. */
static void
receive_first_packet(struct model *m, unsigned caller, unsigned retransmission,
                     unsigned generation)
{
    struct caller *c = &m->callers[caller];
    struct evidence_packet packet = packet_of(m, caller);
    struct evidence_verdict verdict;
    unsigned s;

    if (c->generation != generation) {
        return;
    }
    policy_take_snapshot(m);
    for (int i = 0; i < 2; i++) {
        do {
            m->candidates[i] =
                (unsigned)(random_next(&m->random) % m->servers->len);
        } while (model_server(m, m->candidates[i])->leaving);
    }
    packet.first = true;
    packet.token = 0;
    packet.acknowledged = retransmission;
    verdict = steer(m, caller, &packet);
    if (verdict.action == EVIDENCE_REFUSE) {
        model_schedule(m, m->now + CLIENT_DELAY_MS, EV_RESET, caller, 0,
                       generation);
        return;
    }
    if (verdict.action != EVIDENCE_FORWARD) {
        return;
    }
    s = model_index_of(m, verdict.upstream->id);
    m->assigned[m->deciding_node * m->stride + s]++;
    if (model_server(m, s)->alive && !model_packet_is_lost(m)) {
        model_schedule(m, m->now + UPSTREAM_DELAY_MS + CLIENT_DELAY_MS,
                       EV_OPENED, caller, s, generation);
    }
}

/* Sends the request on a flow that opened. */
static void
receive_opened(struct model *m, unsigned caller, unsigned s,
               unsigned generation)
{
    struct caller *c = &m->callers[caller];

    if (c->generation != generation || !c->opening) {
        return;
    }
    c->opening = false;
    c->upstream = s;
    c->token = upstream_token(model_server(m, s)->id);
    c->acknowledged = 1;
    model_server(m, s)->open++;
    send_data(m, caller, 0);
}

/* Steers data that reaches its node. */
static void
receive_data(struct model *m, unsigned caller, unsigned retransmission,
             unsigned generation)
{
    struct caller *c = &m->callers[caller];
    struct evidence_packet packet = packet_of(m, caller);
    struct evidence_verdict verdict;

    if (c->generation != generation || c->upstream == NONE) {
        return;
    }
    if (retransmission == 0) {
        c->sent_at = m->now;
    }
    packet.length = 900;
    verdict = steer(m, caller, &packet);
    if (verdict.action == EVIDENCE_REFUSE) {
        m->result->false_resets += model_server(m, c->upstream)->alive;
        model_schedule(m, m->now + CLIENT_DELAY_MS, EV_RESET, caller, 0,
                       generation);
    }
    else if (verdict.action == EVIDENCE_FORWARD && !model_packet_is_lost(m)) {
        model_schedule(m, m->now + UPSTREAM_DELAY_MS, EV_SERVER_DATA, caller,
                       c->upstream, generation);
    }
}

/* Updates a node's moving average of a server's latency. */
static void
update_latency(struct model *m, unsigned n, unsigned s, uint64_t ms)
{
    double *average = &m->latency_ms[n * m->stride + s];

    *average = *average > 0 ? *average + ((double)ms - *average) * LATENCY_GAIN
                            : (double)ms + 1;
}

static void
receive_response(struct model *m, unsigned caller, unsigned s,
                 unsigned generation)
{
    struct caller *c = &m->callers[caller];

    if (c->generation != generation || !c->pending) {
        return;
    }
    c->pending = false;
    if (m->now <= c->started_at + m->scenario->aim_ms) {
        m->result->on_time++;
    }
    else {
        m->result->late++;
    }
    c->acknowledged += RESPONSE_BYTES;
    c->sequence += 900;
    model_schedule(m, m->now + CLIENT_DELAY_MS, EV_ACK, caller, s, generation);
    if (c->is_short || model_server(m, s)->leaving) {
        abandon_flow(m, caller);
    }
}

/* Steers the acknowledgement of a response at its node. */
static void
receive_ack(struct model *m, unsigned caller, unsigned s, unsigned generation)
{
    struct caller *c = &m->callers[caller];
    struct evidence_packet packet = packet_of(m, caller);

    if (c->generation != generation) {
        return;
    }
    packet.closing = c->upstream == NONE;
    update_latency(m, node_of(m, caller), s, m->now - c->sent_at);
    (void)steer(m, caller, &packet);
}

/* Starts a request unless one is pending, and schedules the caller's next one
 * after an exponentially distributed time. */
static void
start_request(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];
    double mean = 1000.0 * m->scenario->callers / m->scenario->per_s;

    model_schedule(
        m, m->now + 1 + (uint64_t)(-mean * log(1.0 - model_uniform(m))),
        EV_REQUEST, caller, 0, 0);
    if (c->pending) {
        return;
    }
    m->result->requests++;
    c->pending = true;
    c->started_at = m->now;
    c->attempts = 0;
    if (c->upstream == NONE) {
        open_flow(m, caller);
    }
    else {
        c->generation++;
        c->attempts++;
        c->delivered = false;
        send_data(m, caller, 0);
    }
    model_schedule(m, m->now + m->scenario->budget_ms, EV_TIMEOUT, caller, 0,
                   (unsigned)m->result->requests);
}

static void
time_out_request(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    if (!c->pending || m->now < c->started_at + m->scenario->budget_ms) {
        return;
    }
    c->pending = false;
    c->opening = false;
    c->generation++;
    m->result->failed++;
    abandon_flow(m, caller);
}

static void
tick(struct model *m, unsigned n)
{
    upstream_tick(&m->sets[n], m->now);
    evidence_tick(&m->nodes[n], m->now);
    server_broadcast(m, n);
    model_schedule(m, m->now + TICK_MS, EV_TICK, n, 0, 0);
}

static void
dispatch(struct model *m, const struct event *e)
{
    switch (e->kind) {
    case EV_REQUEST:
        start_request(m, e->target);
        return;
    case EV_FIRST_PACKET:
        receive_first_packet(m, e->target, e->argument, e->generation);
        return;
    case EV_OPENED:
        receive_opened(m, e->target, e->argument, e->generation);
        return;
    case EV_RETRANSMIT:
        retransmit(m, e->target, e->argument, e->generation);
        return;
    case EV_NODE_DATA:
        receive_data(m, e->target, e->argument, e->generation);
        return;
    case EV_SERVER_DATA:
        server_receive(m, e->argument, e->target, e->generation);
        return;
    case EV_DATA_ACK:
        return;
    case EV_DONE:
        server_finish(m, e->argument, e->target, e->generation);
        return;
    case EV_RESPONSE:
        receive_response(m, e->target, e->argument, e->generation);
        return;
    case EV_REJECTED:
        if (m->callers[e->target].generation == e->generation) {
            m->result->rejected++;
            retry(m, e->target);
        }
        return;
    case EV_ACK:
        receive_ack(m, e->target, e->argument, e->generation);
        return;
    case EV_RESET:
        if (m->callers[e->target].generation == e->generation) {
            retry(m, e->target);
        }
        return;
    case EV_TIMEOUT:
        time_out_request(m, e->target);
        return;
    case EV_REGISTER:
        server_register(m, e->target);
        model_schedule(m, m->now + REGISTRATION_MS, EV_REGISTER, e->target, 0,
                       0);
        return;
    case EV_TICK:
        tick(m, e->target);
        return;
    case EV_CRASH:
        model_server(m, e->target)->alive = false;
        model_server(m, e->target)->died_at = m->now;
        model_server(m, e->target)->whole_run = false;
        return;
    case EV_REPLACE:
        server_replace(m, e->target);
        return;
    case EV_STOPPED:
        server_stop(m, e->target);
        return;
    }
}

static struct route_table *
make_table(void)
{
    struct route_table *table = route_new();
    struct route route = {.name = "load",
                          .address = ROUTE_ADDRESS,
                          .port = ROUTE_PORT,
                          .target_count = 1,
                          .targets = g_new0(struct route_target, 1)};

    g_strlcpy(route.targets[0].service, "feed", ROUTE_NAME_MAX);
    route.targets[0].weight = 1;
    g_assert_true(route_add(table, &route));
    table->version = 1;
    return table;
}

/* Creates nodes, upstreams and callers, and schedules their first events. */
static void
start(struct model *m)
{
    const struct steer_scenario *c = m->scenario;

    for (unsigned n = 0; n < c->nodes; n++) {
        upstream_open(&m->sets[n], n, REGISTRATION_MS);
        evidence_open(&m->nodes[n], &m->sets[n], m->counters, IDLE_TIMEOUT_MS);
        m->nodes[n].settled = true;
        m->nodes[n].rank = (uint32_t)(((uint64_t)n << 32) / c->nodes);
        g_assert_true(evidence_apply(&m->nodes[n], make_table()));
        model_schedule(m, m->now + 1 + n % TICK_MS, EV_TICK, n, 0, 0);
    }
    for (unsigned s = 0; s < c->upstreams; s++) {
        (void)server_add(m, false);
        model_server(m, s)->slow =
            c->slow_at != 0 && s * 100 < c->slow_share * c->upstreams;
        if (c->die_at != 0 && s * 100 < c->die_share * c->upstreams) {
            model_schedule(m, START_MS + c->die_at, EV_CRASH, s, 0, 0);
        }
        if (c->renew_at != 0 && s * 100 < c->renew_share * c->upstreams) {
            model_schedule(m, START_MS + c->renew_at + 1000ULL * s, EV_REPLACE,
                           s, 0, 0);
        }
    }
    for (unsigned i = 0; i < c->callers; i++) {
        struct caller *caller = &m->callers[i];

        caller->upstream = NONE;
        caller->port = 1024;
        caller->is_short = i * 100 < c->short_share * c->callers;
        model_schedule(m, m->now + 1 + random_next(&m->random) % 1000,
                       EV_REQUEST, i, 0, 0);
    }
}

static void
compute_result(struct model *m)
{
    struct steer_result *r = m->result;
    double sum = 0;
    double most = 0;
    unsigned count = 0;

    for (guint i = 0; i < m->servers->len; i++) {
        const struct server *server = model_server(m, i);

        if (server->whole_run) {
            sum += server->arrivals;
            most = MAX(most, server->arrivals);
            count++;
        }
    }
    r->imbalance = sum > 0 ? most * count / sum : 0;
    r->ns_per_decision =
        m->decisions > 0 ? (double)m->decision_ns / (double)m->decisions : 0;
    r->bytes_per_node_s = (double)m->bytes * 1000.0 / m->scenario->nodes /
                          m->scenario->length_ms;
}

/* Frees what start() made. */
static void
stop(struct model *m)
{
    for (unsigned n = 0; n < m->scenario->nodes; n++) {
        evidence_close(&m->nodes[n]);
        upstream_close(&m->sets[n]);
    }
    g_array_free(m->heap, TRUE);
    g_hash_table_destroy(m->by_id);
    g_ptr_array_free(m->servers, TRUE);
    g_free(m->callers);
    g_free(m->counters);
    g_free(m->sets);
    g_free(m->nodes);
    g_free(m->latency_ms);
    g_free(m->assigned);
    g_free(m->shared);
}

void
steer_load_run(const struct steer_scenario *scenario, enum steer_policy policy,
               uint64_t seed, struct steer_result *result)
{
    struct model m = {.scenario = scenario,
                      .policy = policy,
                      .result = result,
                      .now = START_MS,
                      .random = seed,
                      .stride = 2 * scenario->upstreams};

    memset(result, 0, sizeof(*result));
    m.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
    m.servers = g_ptr_array_new_with_free_func(server_free);
    m.by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    m.callers = g_new0(struct caller, scenario->callers);
    m.counters = g_new0(struct counters, 1);
    m.sets = g_new0(struct upstream_set, scenario->nodes);
    m.nodes = g_new0(struct evidence, scenario->nodes);
    m.latency_ms = g_new0(double, (gsize)scenario->nodes *m.stride);
    m.assigned = g_new0(unsigned, (gsize)scenario->nodes *m.stride);
    m.shared = g_new0(unsigned, m.stride);
    policy_install(&m);
    start(&m);
    while (m.now < START_MS + scenario->length_ms) {
        struct event event = model_next_event(&m);

        m.now = event.at;
        dispatch(&m, &event);
    }
    compute_result(&m);
    stop(&m);
    policy_remove(&m);
}
