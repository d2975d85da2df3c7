/*
 * The gate of one request service. All choices about waiting, refusing and
 * the upstream are made here, and nowhere else.
 */
#include "gate.h"

#include <string.h>

#include "hash.h"

#define SERVICE_MS_FIRST 20.0  /* before anything was measured */
#define SERVICE_MS_WEIGHT 0.05 /* of a new sample in the moving mean */
#define HOLD_SLACK_MS 2000U    /* a slot is freed this long after a deadline */
#define PROMISE_SLACK_MS 3000U /* a caller may come back this much late */
#define PROMISE_MAX_MS 120000U /* nobody is told to come back later */
#define PROMISE_MIN_MS 1000.0  /* nobody is told to come back sooner */
#define PROMISE_MARGIN 1.1     /* room left between those who come back */
#define NEW_QUEUE_SHARE                                                       \
    4                      /* while some come back, so many slots in a        \
                              queue place for a new request */
#define SHED_PAUSE_MS 100U /* an upstream that shed is left alone */
#define RAISE_AFTER 20U    /* answers in a row that raise the limit */

/* Key of a hold: coordinator and token. */
static uint64_t
hold_key(uint64_t entry, uint64_t token)
{
    return hash_pair(HASH_KEY, entry, token);
}

/* Starts a gate. */
struct gate *
gate_new(uint64_t service, uint64_t now)
{
    struct gate *gate = g_new0(struct gate, 1);

    gate->service = service;
    gate->open_at = now + GATE_OPEN_MS;
    gate->service_ms = SERVICE_MS_FIRST;
    gate->upstreams = g_array_new(FALSE, TRUE, sizeof(struct gate_upstream));
    gate->answers = g_array_new(FALSE, FALSE, sizeof(struct gate_answer));
    gate->holds =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    gate->promises =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    gate->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&gate->queue);
    return gate;
}

/* Frees a gate. */
void
gate_free(struct gate *gate)
{
    g_array_free(gate->upstreams, TRUE);
    g_array_free(gate->answers, TRUE);
    g_hash_table_destroy(gate->holds);
    g_hash_table_destroy(gate->waiting);
    g_hash_table_destroy(gate->promises);
    g_queue_clear_full(&gate->queue, g_free);
    g_free(gate);
}

/* One upstream by index. */
static struct gate_upstream *
upstream_at(const struct gate *gate, guint index)
{
    return &g_array_index(gate->upstreams, struct gate_upstream, index);
}

/* Finds an upstream by endpoint; -1 when there is none. */
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

/* Takes the upstreams of a bundle. */
void
gate_set_upstreams(struct gate *gate, uint64_t now,
                   const struct bundle_service *service)
{
    bool first = gate->upstreams->len == 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        upstream_at(gate, i)->present = false;
        upstream_at(gate, i)->serving = false;
    }
    for (size_t i = 0; i < service->upstream_count; i++) {
        const struct bundle_upstream *from = &service->upstreams[i];
        int index = find_upstream(gate, from->address, (uint16_t)from->port);
        struct gate_upstream *u;
        bool was_serving;

        if (index < 0) {
            struct gate_upstream new = {.address = from->address,
                                        .port = (uint16_t)from->port};

            g_array_append_val(gate->upstreams, new);
            index = (int)gate->upstreams->len - 1;
        }
        u = upstream_at(gate, (guint)index);
        was_serving = u->limit != 0;
        u->present = true;
        u->serving = from->state == BUNDLE_SERVING && from->weight > 0;
        u->slots = (uint32_t)from->slots;
        u->limit = was_serving ? MIN(u->limit, u->slots) : u->slots;
        if (!first && !was_serving) {
            u->ramp_from = now;
        }
    }
}

/* Slots that an upstream may use now. */
static uint32_t
allowed_slots(const struct gate_upstream *u, uint64_t now)
{
    uint64_t age = now - u->ramp_from;

    if (u->ramp_from == 0 || age >= GATE_RAMP_MS) {
        return u->limit;
    }
    return MIN(u->limit, 1 + (uint32_t)(u->slots * age / GATE_RAMP_MS));
}

/* Says whether an upstream may be given work, but for its slots. */
static bool
is_usable(const struct gate_upstream *u, uint64_t now)
{
    return u->present && u->serving && now >= u->ejected_until;
}

/* Slots of all usable upstreams. */
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

/* Busy slots of all upstreams. */
uint32_t
gate_busy(const struct gate *gate)
{
    uint32_t busy = 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        busy += upstream_at(gate, i)->busy;
    }
    return busy;
}

/* Picks the upstream with the least share of its slots in use; of equals,
 * the one that was chosen least. -1 when none has a free slot. */
static int
choose(const struct gate *gate, uint64_t now)
{
    int best = -1;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        const struct gate_upstream *u = upstream_at(gate, i);
        const struct gate_upstream *b;
        uint64_t mine;
        uint64_t other;

        if (!is_usable(u, now) || u->busy >= allowed_slots(u, now)) {
            continue;
        }
        if (best < 0) {
            best = (int)i;
            continue;
        }
        b = upstream_at(gate, (guint)best);
        mine = (uint64_t)(u->busy + 1) * b->slots;
        other = (uint64_t)(b->busy + 1) * u->slots;
        if (mine < other ||
            (mine == other && u->chosen * b->slots < b->chosen * u->slots)) {
            best = (int)i;
        }
    }
    return best;
}

/* Notes a slot in use. */
static void
add_hold(struct gate *gate, uint64_t now, uint64_t entry, uint64_t token,
         uint64_t deadline, guint upstream)
{
    uint64_t key = hold_key(entry, token);
    struct gate_hold *hold = g_new(struct gate_hold, 1);

    *hold = (struct gate_hold){.token = token,
                               .entry = entry,
                               .deadline = deadline + HOLD_SLACK_MS,
                               .probe_at = now + GATE_PROBE_MS,
                               .upstream = upstream};
    g_hash_table_insert(gate->holds, g_memdup2(&key, sizeof(key)), hold);
    upstream_at(gate, upstream)->busy++;
}

/* Adds an answer for a coordinator. */
static struct gate_answer *
answer(struct gate *gate, uint64_t entry, uint64_t token)
{
    struct gate_answer new = {.entry = entry, .token = token};

    g_array_append_val(gate->answers, new);
    return &g_array_index(gate->answers, struct gate_answer,
                          gate->answers->len - 1);
}

/* Time until a number of requests have been through the slots, ms. */
static double
drain_ms(const struct gate *gate, uint64_t now, double requests)
{
    uint32_t slots = capacity(gate, now);

    return slots == 0 ? GATE_EJECT_MS
                      : requests * gate->service_ms / (double)slots;
}

/* Sets capacity aside for a refused caller, and says when it is free. */
static uint32_t
promise(struct gate *gate, uint64_t now, uint64_t subject)
{
    double queue = drain_ms(gate, now, g_queue_get_length(&gate->queue));
    double earliest = (double)now + queue + PROMISE_MIN_MS;
    double at =
        MIN(MAX(earliest, gate->promised_until), (double)now + PROMISE_MAX_MS);
    gint64 told = (gint64)at;

    gate->promised_until = at + drain_ms(gate, now, 1.0) * PROMISE_MARGIN;
    g_hash_table_replace(gate->promises, g_memdup2(&subject, sizeof(subject)),
                         g_memdup2(&told, sizeof(told)));
    return (uint32_t)((uint64_t)told - now);
}

/* Refuses a request, at once. */
static void
refuse(struct gate *gate, uint64_t now, uint64_t entry, uint64_t token,
       uint64_t subject, enum ring_rule rule)
{
    struct gate_answer *out = answer(gate, entry, token);

    out->rule = rule;
    out->retry_ms = promise(gate, now, subject);
}

/* Grants a slot. */
static void
grant(struct gate *gate, uint64_t now, uint64_t entry, uint64_t token,
      uint64_t deadline, guint upstream)
{
    struct gate_upstream *u = upstream_at(gate, upstream);
    struct gate_answer *out = answer(gate, entry, token);

    out->granted = true;
    out->address = u->address;
    out->port = u->port;
    u->chosen++;
    add_hold(gate, now, entry, token, deadline, upstream);
}

/* Says whether a caller was told to come back about now; forgets it. */
static bool
take_promise(struct gate *gate, uint64_t now, uint64_t subject)
{
    const gint64 *told = g_hash_table_lookup(gate->promises, &subject);
    bool kept = told != NULL && now + PROMISE_SLACK_MS >= (uint64_t)*told &&
                now <= (uint64_t)*told + PROMISE_SLACK_MS;

    if (told != NULL) {
        g_hash_table_remove(gate->promises, &subject);
    }
    return kept;
}

/* Says whether capacity is set aside for callers who come back. */
static bool
is_reserved(const struct gate *gate, uint64_t now)
{
    return gate->promised_until > (double)now + PROMISE_MIN_MS;
}

/* Puts a request into the queue; one that was promised goes first. */
static void
enqueue(struct gate *gate, uint64_t now, const wire_slot_ask *ask, bool first)
{
    struct gate_ask *waiting = g_new(struct gate_ask, 1);
    uint64_t key = hold_key(ask->entry, ask->token);

    g_hash_table_add(gate->waiting, g_memdup2(&key, sizeof(key)));

    *waiting = (struct gate_ask){.token = ask->token,
                                 .entry = ask->entry,
                                 .deadline = now + ask->budget_ms,
                                 .subject = ask->subject};
    if (first) {
        g_queue_push_head(&gate->queue, waiting);
    }
    else {
        g_queue_push_tail(&gate->queue, waiting);
    }
}

/* Forgets a request that leaves the queue. */
static void
free_ask(struct gate *gate, struct gate_ask *ask)
{
    uint64_t key = hold_key(ask->entry, ask->token);

    g_hash_table_remove(gate->waiting, &key);
    g_free(ask);
}

/* Grants free slots to those that wait. */
static void
serve_queue(struct gate *gate, uint64_t now)
{
    while (now >= gate->open_at && !g_queue_is_empty(&gate->queue)) {
        int upstream = choose(gate, now);
        struct gate_ask *ask;

        if (upstream < 0) {
            return;
        }
        ask = g_queue_pop_head(&gate->queue);
        grant(gate, now, ask->entry, ask->token, ask->deadline,
              (guint)upstream);
        free_ask(gate, ask);
    }
}

/* Says whether a coordinator's request already waits. */
static bool
is_waiting(struct gate *gate, uint64_t entry, uint64_t token)
{
    uint64_t key = hold_key(entry, token);

    return g_hash_table_contains(gate->waiting, &key);
}

/* Tells a coordinator again which slot it has. */
static void
tell_again(struct gate *gate, const struct gate_hold *hold)
{
    struct gate_answer *out = answer(gate, hold->entry, hold->token);

    out->granted = true;
    out->address = upstream_at(gate, hold->upstream)->address;
    out->port = upstream_at(gate, hold->upstream)->port;
}

/* Repeats a grant whose message was lost. */
static bool
repeat_grant(struct gate *gate, const wire_slot_ask *ask)
{
    uint64_t key = hold_key(ask->entry, ask->token);
    const struct gate_hold *hold = g_hash_table_lookup(gate->holds, &key);

    if (hold == NULL) {
        return false;
    }
    tell_again(gate, hold);
    return true;
}

/* Decides whether a request may wait, and refuses it at once if not. */
static void
admit(struct gate *gate, uint64_t now, const wire_slot_ask *ask)
{
    bool promised = take_promise(gate, now, ask->subject);
    double wait = drain_ms(gate, now, g_queue_get_length(&gate->queue) + 1.0);
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
             (!promised && is_reserved(gate, now) &&
              g_queue_get_length(&gate->queue) >=
                  capacity(gate, now) / NEW_QUEUE_SHARE)) {
        refuse(gate, now, ask->entry, ask->token, ask->subject, RULE_TOO_LATE);
    }
    else {
        enqueue(gate, now, ask, promised);
        serve_queue(gate, now);
    }
}

/* Takes a coordinator's question. */
void
gate_ask(struct gate *gate, uint64_t now, const wire_slot_ask *ask)
{
    if (ask->address != 0) {
        int index = find_upstream(gate, ask->address, (uint16_t)ask->port);
        uint64_t key = hold_key(ask->entry, ask->token);

        if (index >= 0 && g_hash_table_lookup(gate->holds, &key) == NULL) {
            add_hold(gate, now, ask->entry, ask->token, now + ask->budget_ms,
                     (guint)index);
        }
        return;
    }
    if (repeat_grant(gate, ask)) {
        return;
    }
    if (is_waiting(gate, ask->entry, ask->token)) {
        answer(gate, ask->entry, ask->token)->waiting = true;
        return;
    }
    admit(gate, now, ask);
}

/* Usable upstreams, for the floor of ejection. */
static guint
usable_count(const struct gate *gate, uint64_t now)
{
    guint count = 0;

    for (guint i = 0; i < gate->upstreams->len; i++) {
        count += is_usable(upstream_at(gate, i), now);
    }
    return count;
}

/* Notes a failure; ejects an upstream, but never more than half of them. */
static void
note_failure(struct gate *gate, uint64_t now, struct gate_upstream *u)
{
    u->failures++;
    if (u->failures >= GATE_EJECT_FAILURES &&
        usable_count(gate, now) * 2 > gate->upstreams->len) {
        u->ejected_until = now + GATE_EJECT_MS;
    }
}

/* Notes an answer: time of service, and the limit after sheds. */
static void
note_success(struct gate *gate, struct gate_upstream *u, uint32_t took_ms)
{
    gate->service_ms +=
        SERVICE_MS_WEIGHT * ((double)took_ms - gate->service_ms);
    u->failures = 0;
    u->successes++;
    if (u->successes >= RAISE_AFTER && u->limit < u->slots) {
        u->limit++;
        u->successes = 0;
    }
}

/* Notes that an upstream takes less than the bundle says. */
static void
note_shed(struct gate_upstream *u, uint64_t now)
{
    u->limit = MAX(1, MIN(u->limit, u->busy));
    u->successes = 0;
    u->ejected_until = MAX(u->ejected_until, now + SHED_PAUSE_MS);
}

/* Takes a slot back. */
void
gate_done(struct gate *gate, uint64_t now, const wire_slot_done *done)
{
    uint64_t key = hold_key(done->entry, done->token);
    const struct gate_hold *hold = g_hash_table_lookup(gate->holds, &key);
    struct gate_upstream *u;

    if (hold == NULL) {
        return;
    }
    u = upstream_at(gate, hold->upstream);
    u->busy -= MIN(u->busy, 1);
    g_hash_table_remove(gate->holds, &key);
    switch ((enum gate_result)done->result) {
    case GATE_ANSWERED:
        note_success(gate, u, done->took_ms);
        break;
    case GATE_FAILED:
    case GATE_REFUSED:
        note_failure(gate, now, u);
        break;
    case GATE_SHED:
        note_shed(u, now);
        break;
    case GATE_UNUSED:
        break;
    }
    serve_queue(gate, now);
}

/* Frees what a coordinator that is gone held. */
void
gate_drop_entry(struct gate *gate, uint64_t entry)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, gate->holds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gate_hold *hold = value;

        if (hold->entry == entry) {
            upstream_at(gate, hold->upstream)->busy--;
            g_hash_table_iter_remove(&iter);
        }
    }
    for (GList *l = gate->queue.head; l != NULL;) {
        GList *next = l->next;
        struct gate_ask *ask = l->data;

        if (ask->entry == entry) {
            free_ask(gate, ask);
            g_queue_delete_link(&gate->queue, l);
        }
        l = next;
    }
}

/* Frees slots whose coordinator never came back. One whose message was lost
 * gives the slot back when it is told again that it has it. */
static void
expire_holds(struct gate *gate, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, gate->holds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate_hold *hold = value;

        if (now >= hold->deadline) {
            upstream_at(gate, hold->upstream)->busy--;
            g_hash_table_iter_remove(&iter);
        }
        else if (now >= hold->probe_at) {
            hold->probe_at = now + GATE_PROBE_MS;
            tell_again(gate, hold);
        }
    }
}

/* Refuses those that can no longer be done in time; they do not wait on. */
static void
refuse_late(struct gate *gate, uint64_t now)
{
    for (GList *l = gate->queue.head; l != NULL;) {
        GList *next = l->next;
        struct gate_ask *ask = l->data;

        if (now + (uint64_t)gate->service_ms > ask->deadline) {
            refuse(gate, now, ask->entry, ask->token, ask->subject,
                   RULE_TOO_LATE);
            free_ask(gate, ask);
            g_queue_delete_link(&gate->queue, l);
        }
        l = next;
    }
}

/* Says whether a promise was not taken up. */
static gboolean
is_broken_promise(gpointer key, gpointer value, gpointer data)
{
    const gint64 *told = value;
    const uint64_t *now = data;

    (void)key;
    return *now > (uint64_t)*told + PROMISE_SLACK_MS;
}

/* Lets time pass. */
void
gate_tick(struct gate *gate, uint64_t now)
{
    expire_holds(gate, now);
    refuse_late(gate, now);
    (void)g_hash_table_foreach_remove(gate->promises, is_broken_promise, &now);
    serve_queue(gate, now);
}
