/* Bytes that open flows are expected to send through this node. */
#include "link-demand.h"

#include <stdbool.h>

#include "fault.h"

/* Weight of a new sample in the expected size (EWMA): 1/8. */
#define SIZE_DIVISOR 8U

struct link_demand_flow {
    uint64_t key;
    GList link;          /* in by_activity */
    uint64_t expires_at; /* deadline: the caller has given up */
    uint64_t received;
    uint64_t pending; /* bytes still expected */
    uint32_t route;
};

struct link_demand_route {
    uint32_t route;
    uint64_t size_sum; /* expected size times SIZE_DIVISOR */
};

void
link_demand_open(struct link_demand *d)
{
    d->flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    d->routes = g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
    g_queue_init(&d->by_activity);
    d->pending = 0;
}

void
link_demand_close(struct link_demand *d)
{
    g_hash_table_destroy(d->flows);
    g_hash_table_destroy(d->routes);
}

static void
remove_flow(struct link_demand *d, struct link_demand_flow *flow)
{
    d->pending -= flow->pending;
    g_queue_unlink(&d->by_activity, &flow->link);
    (void)g_hash_table_remove(d->flows, &flow->key);
}

void
link_demand_expire(struct link_demand *d, uint64_t now)
{
    const struct link_demand_flow *flow;

    while ((flow = g_queue_peek_head(&d->by_activity)) != NULL &&
           now >= flow->expires_at) {
        remove_flow(d, g_queue_peek_head(&d->by_activity));
    }
}

static struct link_demand_flow *
start_request(struct link_demand *d, uint64_t now, uint64_t key,
              uint32_t route)
{
    struct link_demand_flow *flow;

    if (g_hash_table_size(d->flows) >= LINK_DEMAND_FLOWS_MAX) {
        remove_flow(d, g_queue_peek_head(&d->by_activity));
    }
    flow = g_new0(struct link_demand_flow, 1);
    flow->key = key;
    flow->link.data = flow;
    flow->expires_at = now + LINK_DEMAND_TIMEOUT_MS;
    flow->pending = link_demand_expected(d, route);
    flow->route = route;
    d->pending += flow->pending;
    (void)g_hash_table_insert(d->flows, &flow->key, flow);
    g_queue_push_tail_link(&d->by_activity, &flow->link);
    return flow;
}

void
link_demand_admit(struct link_demand *d, uint64_t now, uint64_t flow,
                  uint32_t route)
{
    link_demand_expire(d, now);
    if (!fault_is(FAULT_NO_LINK_DEMAND) &&
        !g_hash_table_contains(d->flows, &flow)) {
        (void)start_request(d, now, flow, route);
    }
}

void
link_demand_note_bytes(struct link_demand *d, uint64_t now, uint64_t flow,
                       uint32_t route, uint32_t bytes)
{
    struct link_demand_flow *f;
    uint64_t arrived;

    link_demand_expire(d, now);
    if (bytes == 0 || fault_is(FAULT_NO_LINK_DEMAND)) {
        return;
    }
    f = g_hash_table_lookup(d->flows, &flow);
    if (f == NULL) {
        f = start_request(d, now, flow, route);
    }
    arrived = MIN(f->pending, bytes);
    f->received += bytes;
    f->pending -= arrived;
    d->pending -= arrived;
    f->expires_at = now + LINK_DEMAND_TIMEOUT_MS;
    g_queue_unlink(&d->by_activity, &f->link);
    g_queue_push_tail_link(&d->by_activity, &f->link);
}

static void
learn(struct link_demand *d, uint32_t route, uint64_t size)
{
    struct link_demand_route *r = g_hash_table_lookup(d->routes, &route);

    if (r != NULL) {
        r->size_sum += size - r->size_sum / SIZE_DIVISOR;
        return;
    }
    if (g_hash_table_size(d->routes) >= LINK_DEMAND_ROUTES_MAX) {
        g_hash_table_remove_all(d->routes);
    }
    r = g_new0(struct link_demand_route, 1);
    r->route = route;
    r->size_sum = size * SIZE_DIVISOR;
    (void)g_hash_table_insert(d->routes, &r->route, r);
}

void
link_demand_end(struct link_demand *d, uint64_t now, uint64_t flow)
{
    struct link_demand_flow *f;

    link_demand_expire(d, now);
    f = g_hash_table_lookup(d->flows, &flow);
    if (f == NULL) {
        return;
    }
    /* A request without data was refused, or its data came elsewhere. */
    if (f->received > 0) {
        learn(d, f->route, f->received);
    }
    remove_flow(d, f);
}

uint64_t
link_demand_pending(const struct link_demand *d)
{
    return d->pending;
}

uint32_t
link_demand_expected(const struct link_demand *d, uint32_t route)
{
    const struct link_demand_route *r = g_hash_table_lookup(d->routes, &route);

    return r == NULL ? 0
                     : (uint32_t)MIN(r->size_sum / SIZE_DIVISOR, UINT32_MAX);
}
