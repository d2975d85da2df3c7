/* The upstreams of the model: registrations, queues, slow spells, ends. */
#include "steer-model.h"

#include <math.h>

#include "random.h"

#define COLD_MS 2000U     /* an upstream that starts is slow for so long */
#define COLD_TIMES 1.6    /* as slow */
#define WORK_LEAST 0.4    /* of the mean; the rest is drawn exponentially */
#define DRAIN_MS 4000U    /* from leaving to gone */
#define RECORD_BYTES 120U /* a record alone, with UDP and IP */
#define DOUBT_BYTES 60U   /* a doubt, with UDP and IP */

/* Passes on what a node believes anew, and its doubts. */
void
server_spread(struct model *m, unsigned n)
{
    struct upstream_set *set = &m->sets[n];

    for (guint i = 0; i < set->suspicions->len; i++) {
        struct upstream_suspicion doubt =
            g_array_index(set->suspicions, struct upstream_suspicion, i);
        unsigned s = model_index_of(m, doubt.id);

        m->bytes += DOUBT_BYTES;
        upstream_report_suspicion(&m->sets[model_server(m, s)->keeper], m->now,
                                  doubt.id, n + 1, doubt.quiet_ms);
    }
    g_array_set_size(set->suspicions, 0);
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
            m->result->silent_alive++;
        }
        upstream_pack(set, m->now, u, &record);
        for (unsigned other = 0; other < m->scene->nodes; other++) {
            if (other != n) {
                (void)upstream_merge(&m->sets[other], m->now, &record);
                m->bytes += RECORD_BYTES;
            }
        }
    }
    g_array_set_size(set->changed, 0);
}

/* Lets a server register. */
void
server_beat(struct model *m, unsigned s)
{
    struct server *server = model_server(m, s);
    struct upstream_registration r = {
        .id = server->id,
        .service = "feed",
        .hall = "hall",
        .address = 0x0a800000U + s,
        .port = 8080,
        .slots = m->scene->slots,
        .leaving = server->leaving,
        .warm_ms = server->cold_until > m->now
                       ? (uint32_t)(server->cold_until - m->now)
                       : 0,
        .sequence = ++server->sequence};

    if (!server->alive) {
        return;
    }
    (void)upstream_register(&m->sets[server->keeper], m->now, &r);
    server_spread(m, server->keeper);
}

/* Adds a server, which registers from now on. */
unsigned
server_add(struct model *m, bool cold)
{
    struct server *server = g_new0(struct server, 1);
    unsigned s = m->servers->len;

    server->id = (random_next(&m->random) >> 24) | 1;
    server->keeper = s % m->scene->nodes;
    server->alive = true;
    server->from_start = !cold;
    server->cold_until = cold ? m->now + COLD_MS : 0;
    server->waiting = g_array_new(FALSE, FALSE, sizeof(unsigned));
    g_ptr_array_add(m->servers, server);
    g_hash_table_insert(m->by_id, &server->id, server);
    server_beat(m, s);
    model_plan(m, m->now + BEAT_MS, EV_BEAT, s, 0, 0);
    return s;
}

/* Says whether an upstream is in its slow spell. */
bool
server_is_slow(const struct model *m, const struct server *server)
{
    const struct steer_scene *c = m->scene;

    return server->slow && m->now >= BEGIN_MS + c->slow_at &&
           m->now < BEGIN_MS + c->slow_at + c->slow_for;
}

/* Time that a request takes at a server. */
static uint64_t
work_time(struct model *m, const struct server *server)
{
    const struct steer_scene *c = m->scene;
    double ms = c->work_ms *
                (WORK_LEAST - (1.0 - WORK_LEAST) * log(1.0 - model_draw(m)));

    if (m->now < server->cold_until) {
        ms *= COLD_TIMES;
    }
    if (server_is_slow(m, server)) {
        ms *= c->slow_times;
    }
    return (uint64_t)ms + 1;
}

/* Starts a request at a server that has a free slot. */
static void
run_request(struct model *m, unsigned s, unsigned caller, unsigned turn)
{
    struct server *server = model_server(m, s);

    server->running++;
    model_plan(m, m->now + work_time(m, server), EV_DONE, caller, s, turn);
}

/* Data arrives at a server. */
void
server_arrive(struct model *m, unsigned s, unsigned caller, unsigned turn)
{
    struct server *server = model_server(m, s);
    struct caller *c = &m->callers[caller];

    if (!server->alive) {
        return;
    }
    if (!model_is_lost(m)) {
        model_plan(m, m->now + CLIENT_MS, EV_TAKEN, caller, 0, turn);
    }
    if (c->turn != turn || c->taken) {
        return;
    }
    c->taken = true;
    server->arrivals++;
    if (server->running < m->scene->slots) {
        run_request(m, s, caller, turn);
    }
    else if (server->waiting->len / 2 < m->scene->queue) {
        g_array_append_val(server->waiting, caller);
        g_array_append_val(server->waiting, turn);
    }
    else {
        model_plan(m, m->now + CLIENT_MS, EV_SHED, caller, 0, turn);
    }
}

/* A request has run: the next one begins. */
void
server_finish(struct model *m, unsigned s, unsigned caller, unsigned turn)
{
    struct server *server = model_server(m, s);

    if (!server->alive) {
        return;
    }
    server->running--;
    model_plan(m, m->now + CLIENT_MS, EV_ANSWER, caller, s, turn);
    if (server->waiting->len > 0) {
        unsigned next = g_array_index(server->waiting, unsigned, 0);
        unsigned its_turn = g_array_index(server->waiting, unsigned, 1);

        g_array_remove_range(server->waiting, 0, 2);
        run_request(m, s, next, its_turn);
    }
}

/* An upstream is replaced by a cold one. */
void
server_renew(struct model *m, unsigned s)
{
    struct server *server = model_server(m, s);

    if (!server->alive) {
        return;
    }
    (void)server_add(m, true);
    server->leaving = true;
    server->from_start = false;
    server_beat(m, s);
    model_plan(m, m->now + DRAIN_MS, EV_GONE, s, 0, 0);
}

/* An upstream that left has ended. */
void
server_go(struct model *m, unsigned s)
{
    struct server *server = model_server(m, s);

    server->alive = false;
    (void)upstream_deregister(&m->sets[server->keeper], m->now, server->id, 0);
    server_spread(m, server->keeper);
}

/* Frees a server. */
void
server_free(gpointer data)
{
    struct server *server = data;

    g_array_free(server->waiting, TRUE);
    g_free(server);
}
