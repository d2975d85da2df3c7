/* Admission, queueing and load balancing of one request service. */
#include "gate.h"

#include <string.h>

#include "hash.h"

#define SERVICE_MS_INITIAL 20.0    /* before the first sample */
#define SERVICE_MS_WEIGHT 0.05     /* of a sample in the moving average */
#define SLOT_GRACE_MS 2000U        /* from a deadline to the slot's expiry */
#define RESERVATION_SLACK_MS 3000U /* tolerance around a reserved time */
#define RESERVATION_MAX_MS 120000U /* longest Retry-After */
#define RESERVATION_MIN_MS 1000.0  /* shortest Retry-After */
#define RESERVATION_MARGIN 1.1     /* spacing of reservations */
#define QUEUE_SHARE_DIVISOR 4      /* of the slots, without a reservation */
#define SHED_PAUSE_MS 100U         /* without requests after a shed */
#define LIMIT_RAISE_SUCCESSES 20U  /* responses that raise the limit by 1 */

static uint64_t
slot_key(uint64_t entry, uint64_t token)
{
    return hash_pair(HASH_KEY, entry, token);
}

struct gate *
gate_new(uint64_t service, uint64_t now)
{
    struct gate *gate = g_new0(struct gate, 1);

    gate->service = service;
    gate->first_grant_at = now + GATE_START_DELAY_MS;
    gate->service_ms = SERVICE_MS_INITIAL;
    gate->upstreams = g_array_new(FALSE, TRUE, sizeof(struct gate_upstream));
    gate->replies = g_array_new(FALSE, FALSE, sizeof(struct gate_reply));
    gate->held_slots =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    gate->reservations =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    gate->queued =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&gate->queue);
    return gate;
}

void
gate_free(struct gate *gate)
{
    g_array_free(gate->upstreams, TRUE);
    g_array_free(gate->replies, TRUE);
    g_hash_table_destroy(gate->held_slots);
    g_hash_table_destroy(gate->queued);
    g_hash_table_destroy(gate->reservations);
    g_queue_clear_full(&gate->queue, g_free);
    g_free(gate);
}

static struct gate_upstream *
upstream_at(const struct gate *gate, guint index)
{
    return &g_array_index(gate->upstreams, struct gate_upstream, index);
}

/* Returns the index, or -1. */
static int
find_upstream(const struct gate *gate, uint32_t address, uint16_t port)
{
    for (guint i = 0; i < gate->upstreams->len; i++) {
        const struct gate_upstream *u = upstream_at(gate, i);

        if (u->address == address && u->port == port) {
            return (int)i;
        }
    }
    return -1;
}

void
gate_set_upstreams(struct gate *gate, uint64_t now,
                   const struct bundle_service *service)
{
    bool is_initial = gate->upstreams->len == 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        upstream_at(gate, i)->present = false;
        upstream_at(gate, i)->serving = false;
    }
    for (size_t i = 0; i < service->upstream_count; i++) {
        const struct bundle_upstream *from = &service->upstreams[i];
        int index = find_upstream(gate, from->address, (uint16_t)from->port);
        struct gate_upstream *u;
        bool existed;

        if (index < 0) {
            struct gate_upstream new = {.address = from->address,
                                        .port = (uint16_t)from->port};

            g_array_append_val(gate->upstreams, new);
            index = (int)gate->upstreams->len - 1;
        }
        u = upstream_at(gate, (guint)index);
        existed = u->limit != 0;
        u->present = true;
        u->serving = from->state == BUNDLE_SERVING && from->weight > 0;
        u->slots = (uint32_t)from->slots;
        u->limit = existed ? MIN(u->limit, u->slots) : u->slots;
        if (!is_initial && !existed) {
            u->slow_start_at = now;
        }
    }
}

/* Adaptive limit, lowered during slow start. */
static uint32_t
allowed_slots(const struct gate_upstream *u, uint64_t now)
{
    uint64_t age = now - u->slow_start_at;

    if (u->slow_start_at == 0 || age >= GATE_SLOW_START_MS) {
        return u->limit;
    }
    return MIN(u->limit, 1 + (uint32_t)(u->slots * age / GATE_SLOW_START_MS));
}

static bool
is_usable(const struct gate_upstream *u, uint64_t now)
{
    return u->present && u->serving && now >= u->ejected_until;
}

static uint32_t
capacity(const struct gate *gate, uint64_t now)
{
    uint32_t slots = 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        if (is_usable(upstream_at(gate, i), now)) {
            slots += allowed_slots(upstream_at(gate, i), now);
        }
    }
    return slots;
}

uint32_t
gate_busy(const struct gate *gate)
{
    uint32_t busy = 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        busy += upstream_at(gate, i)->busy;
    }
    return busy;
}

/* Returns the index of the upstream with the smallest share of its slots in
 * use; ties go to the fewest grants per slot. Returns -1 if no slot is free.
 */
static int
choose(const struct gate *gate, uint64_t now)
{
    int best = -1;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        const struct gate_upstream *u = upstream_at(gate, i);
        const struct gate_upstream *b;
        uint64_t load;
        uint64_t best_load;

        if (!is_usable(u, now) || u->busy >= allowed_slots(u, now)) {
            continue;
        }
        if (best < 0) {
            best = (int)i;
            continue;
        }
        b = upstream_at(gate, (guint)best);
        load = (uint64_t)(u->busy + 1) * b->slots;
        best_load = (uint64_t)(b->busy + 1) * u->slots;
        if (load < best_load ||
            (load == best_load &&
             u->chosen * b->slots < b->chosen * u->slots)) {
            best = (int)i;
        }
    }
    return best;
}

static void
hold_slot(struct gate *gate, uint64_t now, uint64_t entry, uint64_t token,
          uint64_t deadline, guint upstream)
{
    uint64_t key = slot_key(entry, token);
    struct gate_slot *slot = g_new(struct gate_slot, 1);

    *slot = (struct gate_slot){.token = token,
                               .entry = entry,
                               .deadline = deadline + SLOT_GRACE_MS,
                               .probe_at = now + GATE_PROBE_INTERVAL_MS,
                               .upstream = upstream};
    g_hash_table_insert(gate->held_slots, g_memdup2(&key, sizeof(key)), slot);
    upstream_at(gate, upstream)->busy++;
}

static struct gate_reply *
add_reply(struct gate *gate, uint64_t entry, uint64_t token)
{
    struct gate_reply new = {.entry = entry, .token = token};

    g_array_append_val(gate->replies, new);
    return &g_array_index(gate->replies, struct gate_reply,
                          gate->replies->len - 1);
}

/* Expected time for the slots to serve a number of requests, in ms. */
static double
queue_delay_ms(const struct gate *gate, uint64_t now, double requests)
{
    uint32_t slots = capacity(gate, now);

    return slots == 0 ? GATE_EJECT_MS
                      : requests * gate->service_ms / (double)slots;
}

/* Reserves capacity for a refused caller and returns its Retry-After in ms. */
static uint32_t
reserve(struct gate *gate, uint64_t now, uint64_t subject)
{
    double queue = queue_delay_ms(gate, now, g_queue_get_length(&gate->queue));
    double earliest = (double)now + queue + RESERVATION_MIN_MS;
    double at = MIN(MAX(earliest, gate->reserved_until),
                    (double)now + RESERVATION_MAX_MS);
    gint64 reserved_at = (gint64)at;

    gate->reserved_until =
        at + queue_delay_ms(gate, now, 1.0) * RESERVATION_MARGIN;
    g_hash_table_replace(gate->reservations,
                         g_memdup2(&subject, sizeof(subject)),
                         g_memdup2(&reserved_at, sizeof(reserved_at)));
    return (uint32_t)((uint64_t)reserved_at - now);
}

/* Refuses with a Retry-After. */
static void
refuse(struct gate *gate, uint64_t now, uint64_t entry, uint64_t token,
       uint64_t subject, enum ring_rule rule)
{
    struct gate_reply *out = add_reply(gate, entry, token);

    out->rule = rule;
    out->retry_ms = reserve(gate, now, subject);
}

static void
grant(struct gate *gate, uint64_t now, uint64_t entry, uint64_t token,
      uint64_t deadline, guint upstream)
{
    struct gate_upstream *u = upstream_at(gate, upstream);
    struct gate_reply *out = add_reply(gate, entry, token);

    out->granted = true;
    out->address = u->address;
    out->port = u->port;
    u->chosen++;
    hold_slot(gate, now, entry, token, deadline, upstream);
}

/* Removes a caller's reservation and returns whether the caller is on time
 * for it. */
static bool
redeem_reservation(struct gate *gate, uint64_t now, uint64_t subject)
{
    const gint64 *reserved_at =
        g_hash_table_lookup(gate->reservations, &subject);
    bool on_time = reserved_at != NULL &&
                   now + RESERVATION_SLACK_MS >= (uint64_t)*reserved_at &&
                   now <= (uint64_t)*reserved_at + RESERVATION_SLACK_MS;

    if (reserved_at != NULL) {
        g_hash_table_remove(gate->reservations, &subject);
    }
    return on_time;
}

/* Capacity is reserved beyond the shortest Retry-After. */
static bool
has_reservations(const struct gate *gate, uint64_t now)
{
    return gate->reserved_until > (double)now + RESERVATION_MIN_MS;
}

/* Queues a request, at the head if it has a reservation. */
static void
enqueue(struct gate *gate, uint64_t now, const wire_slot_ask *ask,
        bool has_reservation)
{
    struct gate_waiter *waiter = g_new(struct gate_waiter, 1);
    uint64_t key = slot_key(ask->entry, ask->token);

    g_hash_table_add(gate->queued, g_memdup2(&key, sizeof(key)));

    *waiter = (struct gate_waiter){.token = ask->token,
                                   .entry = ask->entry,
                                   .deadline = now + ask->budget_ms,
                                   .subject = ask->subject};
    if (has_reservation) {
        g_queue_push_head(&gate->queue, waiter);
    }
    else {
        g_queue_push_tail(&gate->queue, waiter);
    }
}

static void
free_waiter(struct gate *gate, struct gate_waiter *waiter)
{
    uint64_t key = slot_key(waiter->entry, waiter->token);

    g_hash_table_remove(gate->queued, &key);
    g_free(waiter);
}

static void
serve_queue(struct gate *gate, uint64_t now)
{
    while (now >= gate->first_grant_at && !g_queue_is_empty(&gate->queue)) {
        int upstream = choose(gate, now);
        struct gate_waiter *waiter;

        if (upstream < 0) {
            return;
        }
        waiter = g_queue_pop_head(&gate->queue);
        grant(gate, now, waiter->entry, waiter->token, waiter->deadline,
              (guint)upstream);
        free_waiter(gate, waiter);
    }
}

static bool
is_queued(struct gate *gate, uint64_t entry, uint64_t token)
{
    uint64_t key = slot_key(entry, token);

    return g_hash_table_contains(gate->queued, &key);
}

/* Repeats the grant of a held slot. */
static void
resend_grant(struct gate *gate, const struct gate_slot *slot)
{
    struct gate_reply *out = add_reply(gate, slot->entry, slot->token);

    out->granted = true;
    out->address = upstream_at(gate, slot->upstream)->address;
    out->port = upstream_at(gate, slot->upstream)->port;
}

/* Repeats the grant of a request that has a slot: the first grant was lost. */
static bool
resend_if_granted(struct gate *gate, const wire_slot_ask *ask)
{
    uint64_t key = slot_key(ask->entry, ask->token);
    const struct gate_slot *slot = g_hash_table_lookup(gate->held_slots, &key);

    if (slot == NULL) {
        return false;
    }
    resend_grant(gate, slot);
    return true;
}

/* Queues a request, or refuses it if the queue is full or its expected end is
 * past its budget. While capacity is reserved, requests without a reservation
 * queue only up to a share of the slots. */
static void
admit(struct gate *gate, uint64_t now, const wire_slot_ask *ask)
{
    bool has_reservation = redeem_reservation(gate, now, ask->subject);
    double wait =
        queue_delay_ms(gate, now, g_queue_get_length(&gate->queue) + 1.0);
    uint32_t free_slots = capacity(gate, now);

    free_slots -= MIN(free_slots, gate_busy(gate));
    if (free_slots > 0 && g_queue_is_empty(&gate->queue)) {
        wait = 0;
    }
    if (g_queue_get_length(&gate->queue) >= GATE_QUEUE_MAX) {
        refuse(gate, now, ask->entry, ask->token, ask->subject,
               RULE_QUEUE_FULL);
    }
    else if (wait + gate->service_ms > ask->budget_ms ||
             (!has_reservation && has_reservations(gate, now) &&
              g_queue_get_length(&gate->queue) >=
                  capacity(gate, now) / QUEUE_SHARE_DIVISOR)) {
        refuse(gate, now, ask->entry, ask->token, ask->subject, RULE_TOO_LATE);
    }
    else {
        enqueue(gate, now, ask, has_reservation);
        serve_queue(gate, now);
    }
}

void
gate_acquire(struct gate *gate, uint64_t now, const wire_slot_ask *ask)
{
    if (ask->address != 0) {
        int index = find_upstream(gate, ask->address, (uint16_t)ask->port);
        uint64_t key = slot_key(ask->entry, ask->token);

        if (index >= 0 &&
            g_hash_table_lookup(gate->held_slots, &key) == NULL) {
            hold_slot(gate, now, ask->entry, ask->token, now + ask->budget_ms,
                      (guint)index);
        }
        return;
    }
    if (resend_if_granted(gate, ask)) {
        return;
    }
    if (is_queued(gate, ask->entry, ask->token)) {
        add_reply(gate, ask->entry, ask->token)->waiting = true;
        return;
    }
    admit(gate, now, ask);
}

static guint
usable_count(const struct gate *gate, uint64_t now)
{
    guint count = 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        count += is_usable(upstream_at(gate, i), now);
    }
    return count;
}

/* Ejects an upstream after consecutive failures, but only while more than half
 * of the upstreams are usable. */
static void
record_failure(struct gate *gate, uint64_t now, struct gate_upstream *u)
{
    u->failures++;
    if (u->failures >= GATE_EJECT_FAILURES &&
        usable_count(gate, now) * 2 > gate->upstreams->len) {
        u->ejected_until = now + GATE_EJECT_MS;
    }
}

/* Updates the mean response time and raises the adaptive limit. */
static void
record_success(struct gate *gate, struct gate_upstream *u, uint32_t latency_ms)
{
    gate->service_ms +=
        SERVICE_MS_WEIGHT * ((double)latency_ms - gate->service_ms);
    u->failures = 0;
    u->successes++;
    if (u->successes >= LIMIT_RAISE_SUCCESSES && u->limit < u->slots) {
        u->limit++;
        u->successes = 0;
    }
}

/* Lowers the adaptive limit to the slots in use, and pauses the upstream. */
static void
record_shed(struct gate_upstream *u, uint64_t now)
{
    u->limit = MAX(1, MIN(u->limit, u->busy));
    u->successes = 0;
    u->ejected_until = MAX(u->ejected_until, now + SHED_PAUSE_MS);
}

void
gate_release(struct gate *gate, uint64_t now, const wire_slot_done *done)
{
    uint64_t key = slot_key(done->entry, done->token);
    const struct gate_slot *slot = g_hash_table_lookup(gate->held_slots, &key);
    struct gate_upstream *u;

    if (slot == NULL) {
        return;
    }
    u = upstream_at(gate, slot->upstream);
    u->busy -= MIN(u->busy, 1);
    g_hash_table_remove(gate->held_slots, &key);
    switch ((enum gate_result)done->result) {
    case GATE_ANSWERED:
        record_success(gate, u, done->took_ms);
        break;
    case GATE_FAILED:
    case GATE_REFUSED:
        record_failure(gate, now, u);
        break;
    case GATE_SHED:
        record_shed(u, now);
        break;
    case GATE_UNUSED:
        break;
    }
    serve_queue(gate, now);
}

void
gate_drop_entry(struct gate *gate, uint64_t entry)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, gate->held_slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gate_slot *slot = value;

        if (slot->entry == entry) {
            upstream_at(gate, slot->upstream)->busy--;
            g_hash_table_iter_remove(&iter);
        }
    }
    for (GList *l = gate->queue.head; l != NULL;) {
        GList *next = l->next;
        struct gate_waiter *waiter = l->data;

        if (waiter->entry == entry) {
            free_waiter(gate, waiter);
            g_queue_delete_link(&gate->queue, l);
        }
        l = next;
    }
}

/* Frees expired slots, and probes the others by a repeated grant: a
 * coordinator that does not use the slot releases it. */
static void
expire_slots(struct gate *gate, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, gate->held_slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate_slot *slot = value;

        if (now >= slot->deadline) {
            upstream_at(gate, slot->upstream)->busy--;
            g_hash_table_iter_remove(&iter);
        }
        else if (now >= slot->probe_at) {
            slot->probe_at = now + GATE_PROBE_INTERVAL_MS;
            resend_grant(gate, slot);
        }
    }
}

/* Refuses queued requests that can no longer meet their deadline. */
static void
refuse_late(struct gate *gate, uint64_t now)
{
    for (GList *l = gate->queue.head; l != NULL;) {
        GList *next = l->next;
        struct gate_waiter *waiter = l->data;

        if (now + (uint64_t)gate->service_ms > waiter->deadline) {
            refuse(gate, now, waiter->entry, waiter->token, waiter->subject,
                   RULE_TOO_LATE);
            free_waiter(gate, waiter);
            g_queue_delete_link(&gate->queue, l);
        }
        l = next;
    }
}

static gboolean
is_expired_reservation(gpointer key, gpointer value, gpointer data)
{
    const gint64 *reserved_at = value;
    const uint64_t *now = data;

    (void)key;
    return *now > (uint64_t)*reserved_at + RESERVATION_SLACK_MS;
}

void
gate_tick(struct gate *gate, uint64_t now)
{
    expire_slots(gate, now);
    refuse_late(gate, now);
    (void)g_hash_table_foreach_remove(gate->reservations,
                                      is_expired_reservation, &now);
    serve_queue(gate, now);
}
