/* The model: callers, nodes, and what came of it. */
#include "steer-model.h"

#include <math.h>
#include <string.h>
#include <time.h>

#include "hash.h"
#include "random.h"

#define TICK_MS 100U       /* between two ticks of a node */
#define OPEN_MS 1400U      /* a caller waits so long for a flow to open */
#define TOOK_PART 0.3      /* of the newest answer in an estimate of time */
#define TRIES 3            /* of a request, with the first */
#define IDLE_MS 15000U     /* a flow at rest is forgotten */
#define ANSWER_BYTES 4000U /* of an answer */
#define ROUTE_ADDRESS 0xc6120001U
#define ROUTE_PORT 443

/* Waits between copies of a first packet and of data. */
static const unsigned copies_ms[] = {200, 400, 800, 1600};

/* Node of a caller's flow: the fabric's hash. */
static unsigned
node_of(const struct model *m, unsigned caller)
{
    return (unsigned)(hash_pair(HASH_FLOW, caller, m->callers[caller].port) %
                      m->scene->nodes);
}

/* A packet of a caller. */
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

/* Steers a packet at its node. */
static struct evidence_verdict
steer(struct model *m, unsigned caller, const struct evidence_packet *packet)
{
    unsigned n = node_of(m, caller);
    struct evidence_verdict verdict;
    struct timespec before;
    struct timespec after;

    m->asking = n;
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
    evidence_steer(&m->nodes[n], m->now, packet, &verdict);
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
    if (packet->first) {
        m->decisions++;
        m->decided_ns +=
            (uint64_t)(after.tv_sec - before.tv_sec) * 1000000000U +
            (uint64_t)after.tv_nsec - (uint64_t)before.tv_nsec;
    }
    server_spread(m, n);
    return verdict;
}

/* A caller sends a first packet, or a copy of it. */
static void
send_first(struct model *m, unsigned caller, unsigned copy)
{
    struct caller *c = &m->callers[caller];

    if (!model_is_lost(m)) {
        model_plan(m, m->now + CLIENT_MS, EV_FIRST, caller, copy, c->turn);
    }
}

/* A caller opens a flow. */
static void
open_flow(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    c->turn++;
    c->tries++;
    c->port++;
    c->up = NONE;
    c->token = 0;
    c->acknowledged = 0;
    c->sequence = 1;
    c->opening = true;
    c->taken = false;
    send_first(m, caller, 0);
    model_plan(m, m->now + copies_ms[0], EV_UNOPENED, caller, 1, c->turn);
}

/* A caller sends its request, or a copy of it, on its open flow. */
static void
send_data(struct model *m, unsigned caller, unsigned copy)
{
    struct caller *c = &m->callers[caller];

    if (!model_is_lost(m)) {
        model_plan(m, m->now + CLIENT_MS, EV_DATA, caller, copy, c->turn);
    }
    if (copy < G_N_ELEMENTS(copies_ms)) {
        model_plan(m, m->now + copies_ms[copy], EV_UNOPENED, caller, copy + 1,
                   c->turn);
    }
}

/* A caller gives a flow up. */
static void
drop_flow(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    if (c->up != NONE && model_server(m, c->up)->open > 0) {
        model_server(m, c->up)->open--;
    }
    c->up = NONE;
}

/* A caller tries once more, on a new flow. */
static void
try_again(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    drop_flow(m, caller);
    if (c->pending && c->tries < TRIES) {
        open_flow(m, caller);
    }
}

/* Nothing came of a packet for a while: a copy is sent, or the flow is given
 * up. */
static void
repeat(struct model *m, unsigned caller, unsigned copy, unsigned turn)
{
    struct caller *c = &m->callers[caller];
    uint64_t waited = 0;

    if (c->turn != turn || !c->pending) {
        return;
    }
    if (!c->opening) {
        if (!c->taken) {
            send_data(m, caller, copy);
        }
        return;
    }
    for (unsigned i = 0; i < copy; i++) {
        waited += copies_ms[i];
    }
    if (waited >= OPEN_MS) {
        try_again(m, caller);
        return;
    }
    if (copy < 3) {
        send_first(m, caller, copy);
    }
    model_plan(m, m->now + copies_ms[copy], EV_UNOPENED, caller, copy + 1,
               turn);
}

/* A first packet is at the node. */
static void
first_at_node(struct model *m, unsigned caller, unsigned copy, unsigned turn)
{
    struct caller *c = &m->callers[caller];
    struct evidence_packet packet = packet_of(m, caller);
    struct evidence_verdict verdict;
    unsigned s;

    if (c->turn != turn) {
        return;
    }
    way_take_snapshot(m);
    for (int i = 0; i < 2; i++) {
        do {
            m->drawn[i] =
                (unsigned)(random_next(&m->random) % m->servers->len);
        } while (model_server(m, m->drawn[i])->leaving);
    }
    packet.first = true;
    packet.token = 0;
    packet.acknowledged = copy;
    verdict = steer(m, caller, &packet);
    if (verdict.action == EVIDENCE_REFUSE) {
        model_plan(m, m->now + CLIENT_MS, EV_RESET, caller, 0, turn);
        return;
    }
    if (verdict.action != EVIDENCE_FORWARD) {
        return;
    }
    s = model_index_of(m, verdict.upstream->id);
    m->placed[m->asking * m->stride + s]++;
    if (model_server(m, s)->alive && !model_is_lost(m)) {
        model_plan(m, m->now + INSIDE_MS + CLIENT_MS, EV_OPENED, caller, s,
                   turn);
    }
}

/* The flow opened: the request follows. */
static void
opened(struct model *m, unsigned caller, unsigned s, unsigned turn)
{
    struct caller *c = &m->callers[caller];

    if (c->turn != turn || !c->opening) {
        return;
    }
    c->opening = false;
    c->up = s;
    c->token = upstream_token(model_server(m, s)->id);
    c->acknowledged = 1;
    model_server(m, s)->open++;
    send_data(m, caller, 0);
}

/* Data is at the node. */
static void
data_at_node(struct model *m, unsigned caller, unsigned copy, unsigned turn)
{
    struct caller *c = &m->callers[caller];
    struct evidence_packet packet = packet_of(m, caller);
    struct evidence_verdict verdict;

    if (c->turn != turn || c->up == NONE) {
        return;
    }
    if (copy == 0) {
        c->sent_at = m->now;
    }
    packet.length = 900;
    verdict = steer(m, caller, &packet);
    if (verdict.action == EVIDENCE_REFUSE) {
        m->result->reset_alive += model_server(m, c->up)->alive;
        model_plan(m, m->now + CLIENT_MS, EV_RESET, caller, 0, turn);
    }
    else if (verdict.action == EVIDENCE_FORWARD && !model_is_lost(m)) {
        model_plan(m, m->now + INSIDE_MS, EV_ARRIVE, caller, c->up, turn);
    }
}

/* Remembers how long a server took, as a node sees it. */
static void
note_took(struct model *m, unsigned n, unsigned s, uint64_t ms)
{
    double *took = &m->took[n * m->stride + s];

    *took =
        *took > 0 ? *took + ((double)ms - *took) * TOOK_PART : (double)ms + 1;
}

/* A caller has its whole answer. */
static void
answered(struct model *m, unsigned caller, unsigned s, unsigned turn)
{
    struct caller *c = &m->callers[caller];

    if (c->turn != turn || !c->pending) {
        return;
    }
    c->pending = false;
    if (m->now <= c->began_at + m->scene->aim_ms) {
        m->result->in_aim++;
    }
    else {
        m->result->late++;
    }
    c->acknowledged += ANSWER_BYTES;
    c->sequence += 900;
    model_plan(m, m->now + CLIENT_MS, EV_ACK, caller, s, turn);
    if (c->is_short || model_server(m, s)->leaving) {
        drop_flow(m, caller);
    }
}

/* The acknowledgement of an answer is at the node. */
static void
ack_at_node(struct model *m, unsigned caller, unsigned s, unsigned turn)
{
    struct caller *c = &m->callers[caller];
    struct evidence_packet packet = packet_of(m, caller);

    if (c->turn != turn) {
        return;
    }
    packet.closing = c->up == NONE;
    note_took(m, node_of(m, caller), s, m->now - c->sent_at);
    (void)steer(m, caller, &packet);
}

/* A caller wants something; its next wish follows by lot. */
static void
request(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];
    double mean = 1000.0 * m->scene->callers / m->scene->per_s;

    model_plan(m, m->now + 1 + (uint64_t)(-mean * log(1.0 - model_draw(m))),
               EV_REQUEST, caller, 0, 0);
    if (c->pending) {
        return;
    }
    m->result->asked++;
    c->pending = true;
    c->began_at = m->now;
    c->tries = 0;
    if (c->up == NONE) {
        open_flow(m, caller);
    }
    else {
        c->turn++;
        c->tries++;
        c->taken = false;
        send_data(m, caller, 0);
    }
    model_plan(m, m->now + m->scene->budget_ms, EV_BUDGET, caller, 0,
               (unsigned)m->result->asked);
}

/* The time budget of a request ends. */
static void
end_budget(struct model *m, unsigned caller)
{
    struct caller *c = &m->callers[caller];

    if (!c->pending || m->now < c->began_at + m->scene->budget_ms) {
        return;
    }
    c->pending = false;
    c->opening = false;
    c->turn++;
    m->result->failed++;
    drop_flow(m, caller);
}

/* Lets time pass at a node. */
static void
tick(struct model *m, unsigned n)
{
    upstream_tick(&m->sets[n], m->now);
    evidence_tick(&m->nodes[n], m->now);
    server_spread(m, n);
    model_plan(m, m->now + TICK_MS, EV_TICK, n, 0, 0);
}

/* Lets something happen. */
static void
happen(struct model *m, const struct event *e)
{
    switch (e->kind) {
    case EV_REQUEST:
        request(m, e->who);
        return;
    case EV_FIRST:
        first_at_node(m, e->who, e->other, e->turn);
        return;
    case EV_OPENED:
        opened(m, e->who, e->other, e->turn);
        return;
    case EV_UNOPENED:
        repeat(m, e->who, e->other, e->turn);
        return;
    case EV_DATA:
        data_at_node(m, e->who, e->other, e->turn);
        return;
    case EV_ARRIVE:
        server_arrive(m, e->other, e->who, e->turn);
        return;
    case EV_TAKEN:
        return;
    case EV_DONE:
        server_finish(m, e->other, e->who, e->turn);
        return;
    case EV_ANSWER:
        answered(m, e->who, e->other, e->turn);
        return;
    case EV_SHED:
        if (m->callers[e->who].turn == e->turn) {
            m->result->turned_away++;
            try_again(m, e->who);
        }
        return;
    case EV_ACK:
        ack_at_node(m, e->who, e->other, e->turn);
        return;
    case EV_RESET:
        if (m->callers[e->who].turn == e->turn) {
            try_again(m, e->who);
        }
        return;
    case EV_BUDGET:
        end_budget(m, e->who);
        return;
    case EV_BEAT:
        server_beat(m, e->who);
        model_plan(m, m->now + BEAT_MS, EV_BEAT, e->who, 0, 0);
        return;
    case EV_TICK:
        tick(m, e->who);
        return;
    case EV_DIE:
        model_server(m, e->who)->alive = false;
        model_server(m, e->who)->died_at = m->now;
        model_server(m, e->who)->from_start = false;
        return;
    case EV_RENEW:
        server_renew(m, e->who);
        return;
    case EV_GONE:
        server_go(m, e->who);
        return;
    }
}

/* A table with the one route of the model. */
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

/* Starts nodes, upstreams and callers. */
static void
start(struct model *m)
{
    const struct steer_scene *c = m->scene;

    for (unsigned n = 0; n < c->nodes; n++) {
        upstream_open(&m->sets[n], n, BEAT_MS);
        evidence_open(&m->nodes[n], &m->sets[n], m->counters, IDLE_MS);
        m->nodes[n].settled = true;
        m->nodes[n].rank = (uint32_t)(((uint64_t)n << 32) / c->nodes);
        g_assert_true(evidence_apply(&m->nodes[n], make_table()));
        model_plan(m, m->now + 1 + n % TICK_MS, EV_TICK, n, 0, 0);
    }
    for (unsigned s = 0; s < c->upstreams; s++) {
        (void)server_add(m, false);
        model_server(m, s)->slow =
            c->slow_at != 0 && s * 100 < c->slow_share * c->upstreams;
        if (c->die_at != 0 && s * 100 < c->die_share * c->upstreams) {
            model_plan(m, BEGIN_MS + c->die_at, EV_DIE, s, 0, 0);
        }
        if (c->renew_at != 0 && s * 100 < c->renew_share * c->upstreams) {
            model_plan(m, BEGIN_MS + c->renew_at + 1000ULL * s, EV_RENEW, s, 0,
                       0);
        }
    }
    for (unsigned i = 0; i < c->callers; i++) {
        struct caller *caller = &m->callers[i];

        caller->up = NONE;
        caller->port = 1024;
        caller->is_short = i * 100 < c->short_share * c->callers;
        model_plan(m, m->now + 1 + random_next(&m->random) % 1000, EV_REQUEST,
                   i, 0, 0);
    }
}

/* Works the figures out. */
static void
conclude(struct model *m)
{
    struct steer_result *r = m->result;
    double sum = 0;
    double most = 0;
    unsigned count = 0;

    for (guint i = 0; i < m->servers->len; i++) {
        const struct server *server = model_server(m, i);

        if (server->from_start) {
            sum += server->arrivals;
            most = MAX(most, server->arrivals);
            count++;
        }
    }
    r->imbalance = sum > 0 ? most * count / sum : 0;
    r->ns_a_decision =
        m->decisions > 0 ? (double)m->decided_ns / (double)m->decisions : 0;
    r->bytes_a_node_s =
        (double)m->bytes * 1000.0 / m->scene->nodes / m->scene->length_ms;
}

/* Frees what start() made. */
static void
stop(struct model *m)
{
    for (unsigned n = 0; n < m->scene->nodes; n++) {
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
    g_free(m->took);
    g_free(m->placed);
    g_free(m->shared);
}

/* Plays a scene. */
void
steer_load_run(const struct steer_scene *scene, enum steer_way way,
               uint64_t seed, struct steer_result *result)
{
    struct model m = {.scene = scene,
                      .way = way,
                      .result = result,
                      .now = BEGIN_MS,
                      .random = seed,
                      .stride = 2 * scene->upstreams};

    memset(result, 0, sizeof(*result));
    m.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
    m.servers = g_ptr_array_new_with_free_func(server_free);
    m.by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    m.callers = g_new0(struct caller, scene->callers);
    m.counters = g_new0(struct counters, 1);
    m.sets = g_new0(struct upstream_set, scene->nodes);
    m.nodes = g_new0(struct evidence, scene->nodes);
    m.took = g_new0(double, (gsize)scene->nodes *m.stride);
    m.placed = g_new0(unsigned, (gsize)scene->nodes *m.stride);
    m.shared = g_new0(unsigned, m.stride);
    way_begin(&m);
    start(&m);
    while (m.now < BEGIN_MS + scene->length_ms) {
        struct event event = model_next(&m);

        m.now = event.at;
        happen(&m, &event);
    }
    conclude(&m);
    stop(&m);
    way_end(&m);
}
