/* Upstreams of the steering model: registrations, queues and faults. */
#include "steer-model.h"

#include <math.h>

#include "random.h"

#define WARMUP_MS 2000U
#define WARMUP_SLOWDOWN 1.6 /* factor on the service time */
#define WORK_FLOOR 0.4      /* of the mean; the rest is exponential */
#define DRAIN_MS 4000U      /* from leaving to deregistration */
#define RECORD_BYTES 120U   /* with UDP and IP headers */
#define SUSPICION_BYTES 60U /* with UDP and IP headers */

void
server_broadcast(struct model *m, unsigned n)
{
    struct upstream_set *set = &m->sets[n];

    for (guint i = 0; i < set->reports->len; i++) {
        struct upstream_report report =
            g_array_index(set->reports, struct upstream_report, i);
        unsigned s = model_index_of(m, report.id);

        m->bytes += SUSPICION_BYTES;
        upstream_report_suspicion(&m->sets[model_server(m, s)->keeper], m->now,
                                  report.id, n + 1, report.quiet_ms);
    }
    g_array_set_size(set->reports, 0);
    for (guint i = 0; i < set->changed->len; i++) {
        uint64_t id = g_array_index(set->changed, uint64_t, i);
        const struct upstream *u = upstream_by_id(set, id);
        unsigned s = model_index_of(m, id);
        wire_upstream record;

        if (u == NULL) {
            continue;
        }
        if (u->state == UPSTREAM_SILENT && s != NONE &&
            model_server(m, s)->alive) {
            m->result->false_silent++;
        }
        upstream_pack(set, m->now, u, &record);
        for (unsigned other = 0; other < m->scenario->nodes; other++) {
            if (other != n) {
                (void)upstream_merge(&m->sets[other], m->now, &record);
                m->bytes += RECORD_BYTES;
            }
        }
    }
    g_array_set_size(set->changed, 0);
}

void
server_register(struct model *m, unsigned s)
{
    struct server *server = model_server(m, s);
    struct upstream_registration r = {
        .id = server->id,
        .service = "feed",
        .hall = "hall",
        .address = 0x0a800000U + s,
        .port = 8080,
        .slots = m->scenario->slots,
        .leaving = server->leaving,
        .warm_ms = server->warmup_until > m->now
                       ? (uint32_t)(server->warmup_until - m->now)
                       : 0,
        .sequence = ++server->sequence};

    if (!server->alive) {
        return;
    }
    (void)upstream_register(&m->sets[server->keeper], m->now, &r);
    server_broadcast(m, server->keeper);
}

/* Adds a server with its timer for registrations. */
unsigned
server_add(struct model *m, bool warming_up)
{
    struct server *server = g_new0(struct server, 1);
    unsigned s = m->servers->len;

    server->id = (random_next(&m->random) >> 24) | 1;
    server->keeper = s % m->scenario->nodes;
    server->alive = true;
    server->whole_run = !warming_up;
    server->warmup_until = warming_up ? m->now + WARMUP_MS : 0;
    server->backlog = g_array_new(FALSE, FALSE, sizeof(unsigned));
    g_ptr_array_add(m->servers, server);
    g_hash_table_insert(m->by_id, &server->id, server);
    server_register(m, s);
    model_schedule(m, m->now + REGISTRATION_MS, EV_REGISTER, s, 0, 0);
    return s;
}

bool
server_is_slow(const struct model *m, const struct server *server)
{
    const struct steer_scenario *c = m->scenario;

    return server->slow && m->now >= START_MS + c->slow_at &&
           m->now < START_MS + c->slow_at + c->slow_for;
}

/* Draws the service time of a request, in ms. */
static uint64_t
service_time(struct model *m, const struct server *server)
{
    const struct steer_scenario *c = m->scenario;
    double ms = c->work_ms * (WORK_FLOOR - (1.0 - WORK_FLOOR) *
                                               log(1.0 - model_uniform(m)));

    if (m->now < server->warmup_until) {
        ms *= WARMUP_SLOWDOWN;
    }
    if (server_is_slow(m, server)) {
        ms *= c->slow_times;
    }
    return (uint64_t)ms + 1;
}

/* Starts a request in a free slot. */
static void
run_request(struct model *m, unsigned s, unsigned caller, unsigned generation)
{
    struct server *server = model_server(m, s);

    server->running++;
    model_schedule(m, m->now + service_time(m, server), EV_DONE, caller, s,
                   generation);
}

/* Runs, queues or rejects a request; only acknowledges a duplicate. */
void
server_receive(struct model *m, unsigned s, unsigned caller,
               unsigned generation)
{
    struct server *server = model_server(m, s);
    struct caller *c = &m->callers[caller];

    if (!server->alive) {
        return;
    }
    if (!model_packet_is_lost(m)) {
        model_schedule(m, m->now + CLIENT_DELAY_MS, EV_DATA_ACK, caller, 0,
                       generation);
    }
    if (c->generation != generation || c->delivered) {
        return;
    }
    c->delivered = true;
    server->arrivals++;
    if (server->running < m->scenario->slots) {
        run_request(m, s, caller, generation);
    }
    else if (server->backlog->len / 2 < m->scenario->queue) {
        g_array_append_val(server->backlog, caller);
        g_array_append_val(server->backlog, generation);
    }
    else {
        model_schedule(m, m->now + CLIENT_DELAY_MS, EV_REJECTED, caller, 0,
                       generation);
    }
}

/* Sends the response and starts the next request of the queue. */
void
server_finish(struct model *m, unsigned s, unsigned caller,
              unsigned generation)
{
    struct server *server = model_server(m, s);

    if (!server->alive) {
        return;
    }
    server->running--;
    model_schedule(m, m->now + CLIENT_DELAY_MS, EV_RESPONSE, caller, s,
                   generation);
    if (server->backlog->len > 0) {
        unsigned next = g_array_index(server->backlog, unsigned, 0);
        unsigned next_generation = g_array_index(server->backlog, unsigned, 1);

        g_array_remove_range(server->backlog, 0, 2);
        run_request(m, s, next, next_generation);
    }
}

/* Drains an upstream and adds a new one that warms up. */
void
server_replace(struct model *m, unsigned s)
{
    struct server *server = model_server(m, s);

    if (!server->alive) {
        return;
    }
    (void)server_add(m, true);
    server->leaving = true;
    server->whole_run = false;
    server_register(m, s);
    model_schedule(m, m->now + DRAIN_MS, EV_STOPPED, s, 0, 0);
}

void
server_stop(struct model *m, unsigned s)
{
    struct server *server = model_server(m, s);

    server->alive = false;
    (void)upstream_deregister(&m->sets[server->keeper], m->now, server->id, 0);
    server_broadcast(m, server->keeper);
}

void
server_free(gpointer data)
{
    struct server *server = data;

    g_array_free(server->backlog, TRUE);
    g_free(server);
}
