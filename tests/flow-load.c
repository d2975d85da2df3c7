/**
 * @file flow-load.c
 * Load of flows over the simulated cluster: a fabric that sends each packet to
 * a random entry, callers with short and long-lived flows, and upstreams that
 * check whether a flow's packets keep coming to them.
 */
#include "flow-load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow-evidence.h"
#include "hash.h"
#include "median.h"

#define WARM_UP_MS 12000
#define FABRIC_LIST_DELAY_MS 1000
#define SYN_RETRANSMIT_MS 1000
#define SAMPLE_MS 1000
#define UPSTREAMS_MAX 32
#define SHORT_PACKETS 10
#define PACKET_INTERVAL_MS 4000 /* mean, of a long-lived flow */
#define IDLE_DIVISOR 10 /* 1 of 10 long-lived flows is idle until the end */

enum flow_phase { PHASE_SYN, PHASE_OPEN, PHASE_CLOSED, PHASE_BROKEN };

/* A flow as seen by its caller and its upstream. */
struct load_flow {
    uint64_t hash;
    enum flow_phase phase;
    uint32_t upstream; /* last byte of the address, 0: none yet */
    uint32_t token;    /* evidence token in its packets */
    bool is_short, idle;
    unsigned sent;
    uint64_t next_at;
    uint64_t opened_at;
};

struct run {
    const struct flow_load *load;
    const struct flow_scenario *scenario;
    struct flow_result *out;
    struct sim *sim;
    struct load_flow *flows;
    unsigned count, size;
    bool listed[SIM_ENTRIES_MAX];
    bool stopping[SIM_ENTRIES_MAX];
    GHashTable *private_records[SIM_ENTRIES_MAX];
    struct flow_evidence *evidence[SIM_ENTRIES_MAX];
    char states[UPSTREAMS_MAX + 1];
    char weights[UPSTREAMS_MAX + 1];
    bool weighted;
    uint64_t version;                    /* submitted last */
    uint64_t left_at[UPSTREAMS_MAX + 1]; /* leaving since, 0: not leaving */
    GQueue bundle_queue; /* struct load_event: bundles to submit */
    unsigned open_at[UPSTREAMS_MAX + 1];
    double *samples;
    unsigned sample_count;
    GArray *timers; /* struct timer, a heap by time */
};

/* Time of a flow's next packet. */
struct timer {
    uint64_t at;
    unsigned flow;
};

const char *
flow_load_policy_name(enum flow_policy policy)
{
    static const char *const names[POLICY_COUNT] = {
        "keepers", "keepers-no-push", "consistent", "modulo", "evidence"};

    return names[policy];
}

static void
push_timer(struct run *r, uint64_t at, unsigned flow)
{
    struct timer new = {at, flow};
    guint i = r->timers->len;

    g_array_append_val(r->timers, new);
    while (i > 0) {
        struct timer *parent =
            &g_array_index(r->timers, struct timer, (i - 1) / 2);
        struct timer *child = &g_array_index(r->timers, struct timer, i);
        struct timer swapped = *parent;

        if (parent->at <= child->at) {
            return;
        }
        *parent = *child;
        *child = swapped;
        i = (i - 1) / 2;
    }
}

static struct timer
pop_timer(struct run *r)
{
    struct timer *t = (struct timer *)(void *)r->timers->data;
    struct timer first = t[0];
    guint count = r->timers->len - 1;
    guint i = 0;

    t[0] = t[count];
    g_array_set_size(r->timers, count);
    for (;;) {
        guint least = i;
        struct timer swapped;

        for (guint c = 2 * i + 1; c <= 2 * i + 2; c++) {
            if (c < count && t[c].at < t[least].at) {
                least = c;
            }
        }
        if (least == i) {
            return first;
        }
        swapped = t[i];
        t[i] = t[least];
        t[least] = swapped;
        i = least;
    }
}

static void
schedule_packet(struct run *r, unsigned index, uint64_t at)
{
    r->flows[index].next_at = at;
    push_timer(r, at, index);
}

/* Opens a flow, unless the array is full; its first packet is due now. */
static void
open_flow(struct run *r, bool is_short)
{
    struct load_flow *f;

    if (r->count == r->size) {
        return;
    }
    f = &r->flows[r->count];
    f->hash = MAX(1, sim_random(r->sim, 0));
    f->is_short = is_short;
    f->idle = !is_short && sim_random(r->sim, IDLE_DIVISOR) == 0;
    f->opened_at = r->sim->now;
    r->out->opened++;
    schedule_packet(r, r->count, r->sim->now);
    r->count++;
}

/* According to the last submitted states; `upstream` is the last byte of its
 * address. */
static bool
is_leaving(const struct run *r, uint32_t upstream)
{
    return r->states[upstream - 1] == 'l';
}

/* Counts a broken flow; describes the first one in the result. */
static void
record_broken(struct run *r, unsigned index, int node, uint32_t upstream)
{
    struct load_flow *f = &r->flows[index];

    f->phase = PHASE_BROKEN;
    r->open_at[f->upstream]--;
    if (r->out->broken++ == 0) {
        (void)snprintf(r->out->first_broken, sizeof(r->out->first_broken),
                       "flow %u at %llu ms by entry %d: from %u to %u, "
                       "opened %llu ms before, sent %u",
                       index, (unsigned long long)r->sim->now, node,
                       f->upstream, upstream,
                       (unsigned long long)(r->sim->now - f->opened_at),
                       f->sent);
    }
}

/* An upstream received a packet. */
static void
on_forwarded(void *data, int node, uint64_t tag,
             const struct flow_packet *packet, uint32_t address, uint16_t port)
{
    struct run *r = data;
    struct load_flow *f = &r->flows[tag];
    uint32_t upstream = address & 0xff;
    uint64_t left = r->left_at[upstream];

    (void)port;
    if (f->phase == PHASE_SYN) {
        if (f->upstream != 0 && !packet->first && !r->scenario->udp) {
            return;
        }
        f->phase = PHASE_OPEN;
        f->upstream = upstream;
        r->open_at[upstream]++;
        r->out->established++;
        if (left != 0 && r->sim->now > left + 3000) {
            r->out->late_at_leaving++;
        }
        schedule_packet(r, (unsigned)tag, r->sim->now + r->load->rtt_ms);
        return;
    }
    if (f->phase != PHASE_OPEN || packet->first) {
        return;
    }
    if (upstream != f->upstream) {
        record_broken(r, (unsigned)tag, node, upstream);
    }
}

/* Returns a random entry that the fabric lists, -1 when there is none. */
static int
pick_entry(struct run *r)
{
    int start = (int)sim_random(r->sim, (uint64_t)r->load->entries);

    for (int i = 0; i < r->load->entries; i++) {
        int n = (start + i) % r->load->entries;

        if (r->listed[n]) {
            return n;
        }
    }
    return -1;
}

/* Chooses by hash modulo the number of serving upstreams; 0: none. */
static uint32_t
modulo_upstream(const struct entry_core *entry, uint64_t hash)
{
    const struct bundle_service *s =
        bundle_find_service(&entry->bundle, "feed");
    uint32_t serving[UPSTREAMS_MAX];
    size_t count = 0;

    for (size_t i = 0; s != NULL && i < s->upstream_count; i++) {
        if (s->upstreams[i].state == BUNDLE_SERVING &&
            s->upstreams[i].weight > 0) {
            serving[count++] = s->upstreams[i].address;
        }
    }
    return count ? serving[hash % count] : 0;
}

/* Chooses by the Maglev table of the entry; 0: none. */
static uint32_t
table_upstream(const struct entry_core *entry, uint64_t hash)
{
    uint16_t service = flow_find_named(entry->flow, "feed");
    const struct flow_upstream *u;
    upstream_id owner;
    upstream_id old_owner;

    if (service == FLOW_NO_SERVICE) {
        return 0;
    }
    flow_owners(entry->flow, service, hash, &owner, &old_owner);
    u = flow_upstream(entry->flow, owner);
    return u ? u->address : 0;
}

/* Steers by the evidence token in the packet. */
static void
steer_evidence(struct run *r, int n, unsigned index,
               const struct flow_packet *packet)
{
    int node = sim_entry(r->sim, n);
    struct load_flow *f = &r->flows[index];
    uint32_t token = f->token;
    uint32_t address = flow_evidence_steer(r->evidence[n], r->sim->now,
                                           r->sim->nodes[node].entry,
                                           index + 1, packet->first, &token);

    if (address == 0) {
        return;
    }
    if (f->phase == PHASE_SYN) {
        f->token = token;
    }
    on_forwarded(r, node, index, packet, address, 0);
}

/* Steers by an entry's own record of the flow, or by the policy's choice. */
static void
steer_without_keepers(struct run *r, int n, unsigned index,
                      const struct flow_packet *packet)
{
    int node = sim_entry(r->sim, n);
    const struct sim_node *sim_node = &r->sim->nodes[node];
    struct load_flow *f = &r->flows[index];
    gpointer key = GSIZE_TO_POINTER(f->hash);
    uint32_t address;

    if (!sim_node->up || r->sim->now < sim_node->frozen_until) {
        return;
    }
    if (r->load->policy == POLICY_EVIDENCE && !r->scenario->udp) {
        steer_evidence(r, n, index, packet);
        return;
    }
    address =
        GPOINTER_TO_UINT(g_hash_table_lookup(r->private_records[n], key));
    if (address == 0) {
        address = r->load->policy == POLICY_MODULO
                      ? modulo_upstream(sim_node->entry, f->hash)
                      : table_upstream(sim_node->entry, f->hash);
        g_hash_table_insert(r->private_records[n], key,
                            GUINT_TO_POINTER(address));
    }
    if (address != 0) {
        on_forwarded(r, node, index, packet, address, 0);
    }
}

/* Sends a packet of a flow to an entry that the fabric lists. */
static void
send_packet(struct run *r, unsigned index, bool first)
{
    struct load_flow *f = &r->flows[index];
    struct flow_packet packet = {.hash = f->hash,
                                 .first = first && !r->scenario->udp};
    int n = pick_entry(r);

    f->sent++;
    if (n < 0) {
        return;
    }
    if (r->load->policy <= POLICY_NO_PUSH) {
        sim_send_packet(r->sim, sim_entry(r->sim, n), index, &packet);
    }
    else {
        steer_without_keepers(r, n, index, &packet);
    }
}

/* Sends a flow's due packet and schedules the next; closes finished short
 * flows. */
static void
send_next_packet(struct run *r, unsigned index)
{
    struct load_flow *f = &r->flows[index];
    uint64_t mean = f->is_short ? 300 : PACKET_INTERVAL_MS;

    if (f->phase == PHASE_SYN) {
        send_packet(r, index, true);
        schedule_packet(r, index, r->sim->now + SYN_RETRANSMIT_MS);
        return;
    }
    if (f->phase != PHASE_OPEN) {
        return;
    }
    if (f->is_short && f->sent >= SHORT_PACKETS) {
        f->phase = PHASE_CLOSED;
        r->open_at[f->upstream]--;
        return;
    }
    send_packet(r, index, false);
    if (!f->idle || f->sent < 3) {
        schedule_packet(r, index,
                        r->sim->now + 1 + sim_random(r->sim, 2 * mean));
    }
}

static void
send_due_packets(struct run *r)
{
    while (r->timers->len > 0 &&
           g_array_index(r->timers, struct timer, 0).at <= r->sim->now) {
        struct timer t = pop_timer(r);

        if (r->flows[t.flow].next_at == t.at) {
            send_next_packet(r, t.flow);
        }
    }
}

/* Submits the next bundle once the last one has settled; signs it off. */
static void
submit_next_bundle(struct run *r)
{
    int leader = sim_leader(r->sim);
    const wire_control_state *state;
    const struct load_event *event;
    char id[64];
    char *text;

    if (leader < 0) {
        return;
    }
    state = &r->sim->nodes[leader].core.state;
    if (state->has_pending) {
        if (!state->signed_off) {
            (void)sim_sign_off(r->sim, 0);
        }
        return;
    }
    event = g_queue_peek_head(&r->bundle_queue);
    if (event == NULL || state->current != r->version ||
        (state->current != 0 && state->step != FLOW_STEP_SETTLED)) {
        return;
    }
    (void)g_queue_pop_head(&r->bundle_queue);
    if (event->kind == LOAD_WEIGHTS) {
        r->weighted = true;
        (void)g_strlcpy(r->weights, event->states, sizeof(r->weights));
    }
    else {
        (void)g_strlcpy(r->states, event->states, sizeof(r->states));
    }
    text = sim_bundle(r->version + 1, r->version, r->states,
                      r->weighted ? r->weights : NULL, 3, r->scenario->udp);
    (void)snprintf(id, sizeof(id), "v%llu",
                   (unsigned long long)r->version + 1);
    if (sim_submit(r->sim, text, id, "ana", 0)) {
        r->version++;
        for (uint32_t u = 1; r->states[u - 1] != '\0'; u++) {
            r->left_at[u] = is_leaving(r, u) ? r->left_at[u] : 0;
        }
    }
    g_free(text);
}

/* Records when the leaving state of upstreams came into force. */
static void
record_leaving(struct run *r)
{
    int leader = sim_leader(r->sim);

    if (leader < 0 || r->sim->nodes[leader].core.state.current != r->version ||
        !control_core_in_force(&r->sim->nodes[leader].core, NULL, 0)) {
        return;
    }
    for (uint32_t u = 1; r->states[u - 1] != '\0'; u++) {
        if (!is_leaving(r, u)) {
            r->left_at[u] = 0;
        }
        else if (r->left_at[u] == 0) {
            r->left_at[u] = r->sim->now;
        }
    }
    r->out->in_force_ms = r->sim->nodes[leader].core.in_force_ms;
}

/* Max / mean of open flows per weight of the serving upstreams. */
static double
imbalance(const struct run *r)
{
    double max = 0;
    double sum = 0;
    double weights = 0;

    for (uint32_t u = 1; r->states[u - 1] != '\0'; u++) {
        double weight = r->weighted ? r->weights[u - 1] - '0' : 1;

        if (r->states[u - 1] != 's' || weight <= 0) {
            continue;
        }
        sum += r->open_at[u];
        weights += weight;
        max = MAX(max, r->open_at[u] / weight);
    }
    return sum > 0 ? max * weights / sum : 1.0;
}

/* Starts an entry without flow records. */
static void
start_entry(struct run *r, int n)
{
    sim_start(r->sim, sim_entry(r->sim, n));
    g_hash_table_remove_all(r->private_records[n]);
    flow_evidence_free(r->evidence[n]);
    r->evidence[n] = flow_evidence_new((uint32_t)n + 1);
    r->stopping[n] = false;
    r->listed[n] = true;
}

/* Terminates entries whose planned stop is complete. */
static void
finish_stops(struct run *r)
{
    for (int n = 0; n < r->load->entries; n++) {
        int node = sim_entry(r->sim, n);
        struct entry_core *entry = r->sim->nodes[node].entry;

        if (!r->stopping[n] || !r->sim->nodes[node].up || r->listed[n] ||
            !entry_core_may_exit(entry, r->sim->now)) {
            continue;
        }
        entry_core_deregister(entry, r->sim->now);
        sim_run_actions(r->sim, node);
        sim_kill(r->sim, node);
        r->stopping[n] = false;
    }
}

/* Argument of a scheduled callback. */
struct deferred {
    struct run *run;
    int entry;
};

/* The fabric removed an entry from its list. */
static void
on_unlisted(struct sim *sim, void *data)
{
    struct deferred *deferred = data;

    (void)sim;
    deferred->run->listed[deferred->entry] = false;
    g_free(deferred);
}

/* An entry and the control replicas can exchange messages again. */
static void
on_partition_end(struct sim *sim, void *data)
{
    struct deferred *deferred = data;

    for (int i = 0; i < sim->options.controls; i++) {
        sim_set_link_down(sim, i, sim_entry(sim, deferred->entry), false);
        sim_set_link_down(sim, sim_entry(sim, deferred->entry), i, false);
    }
    g_free(deferred);
}

static void
schedule_for_entry(struct run *r, unsigned ms, int entry,
                   void (*callback)(struct sim *sim, void *data))
{
    struct deferred *deferred = g_new(struct deferred, 1);

    deferred->run = r;
    deferred->entry = entry;
    sim_schedule(r->sim, r->sim->now + ms, callback, deferred);
}

static void
apply_event(struct run *r, const struct load_event *event)
{
    int node = sim_entry(r->sim, event->entry);

    switch (event->kind) {
    case LOAD_END:
        return;
    case LOAD_STATES:
    case LOAD_WEIGHTS:
        g_queue_push_tail(&r->bundle_queue, (gpointer)event);
        return;
    case LOAD_KILL:
        sim_kill(r->sim, node);
        schedule_for_entry(r, FABRIC_LIST_DELAY_MS, event->entry, on_unlisted);
        return;
    case LOAD_START:
        start_entry(r, event->entry);
        return;
    case LOAD_STOP:
        if (r->sim->nodes[node].up) {
            entry_core_stop(r->sim->nodes[node].entry, r->sim->now);
            r->stopping[event->entry] = true;
            schedule_for_entry(r, FABRIC_LIST_DELAY_MS, event->entry,
                               on_unlisted);
        }
        return;
    case LOAD_FREEZE:
        sim_freeze(r->sim, node, r->sim->now + 8000);
        return;
    case LOAD_PARTITION:
        for (int i = 0; i < r->sim->options.controls; i++) {
            sim_set_link_down(r->sim, i, node, true);
            sim_set_link_down(r->sim, node, i, true);
        }
        schedule_for_entry(r, 5000, event->entry, on_partition_end);
        return;
    }
}

static void
run_ms(struct run *r, uint64_t ms)
{
    send_due_packets(r);
    if (ms % 100 == 0) {
        submit_next_bundle(r);
        record_leaving(r);
    }
    finish_stops(r);
    sim_run(r->sim, r->sim->now + 1);
}

/* Control bytes per second of the entry that sent most. */
static double
max_control_rate(const struct run *r, double seconds)
{
    double worst = 0;

    for (int n = 0; n < r->load->entries; n++) {
        const struct sim_node *node = &r->sim->nodes[sim_entry(r->sim, n)];

        worst = MAX(worst, (double)node->control_bytes / seconds);
    }
    return worst;
}

static void
reset_control_bytes(struct run *r)
{
    for (int i = 0; i < r->sim->count; i++) {
        r->sim->nodes[i].control_bytes = 0;
    }
}

/* Opens the long-lived flows, spread over the middle of the warmup. */
static void
warm_up(struct run *r)
{
    unsigned opened = 0;

    for (uint64_t ms = 0; ms < WARM_UP_MS; ms++) {
        uint64_t from = WARM_UP_MS / 3;

        while (ms >= from && opened < r->load->flows &&
               opened < r->load->flows * (ms - from) / (WARM_UP_MS / 2)) {
            open_flow(r, false);
            opened++;
        }
        run_ms(r, ms);
    }
}

static void
run_events(struct run *r)
{
    const struct load_event *event = r->scenario->events;
    unsigned due = 0;

    for (uint64_t ms = 0; ms < r->scenario->length_ms; ms++) {
        while (event < r->scenario->events + LOAD_EVENTS_MAX &&
               event->kind != LOAD_END && ms >= event->at_ms) {
            apply_event(r, event++);
        }
        due += r->load->new_per_s;
        while (due >= 1000) {
            open_flow(r, true);
            due -= 1000;
        }
        run_ms(r, ms);
        if (ms % SAMPLE_MS == 0) {
            r->samples[r->sample_count++] = imbalance(r);
        }
    }
}

/* Sends packets of all open flows, so that broken idle flows are found too. */
static void
send_to_all_open(struct run *r)
{
    r->out->imbalance_end = imbalance(r);
    for (int round = 0; round < 3; round++) {
        for (unsigned i = 0; i < r->count; i++) {
            if (r->flows[i].phase == PHASE_OPEN) {
                send_packet(r, i, false);
            }
        }
        for (uint64_t ms = 1; ms < 1000; ms++) {
            sim_run(r->sim, r->sim->now + 1);
        }
    }
}

/* Bytes per flow record, of the entry with the most. */
static double
memory_per_flow(const struct run *r)
{
    double worst = 0;

    for (int n = 0; n < r->load->entries; n++) {
        const struct sim_node *node = &r->sim->nodes[sim_entry(r->sim, n)];

        if (node->up && flow_records(node->entry->flow) > 0) {
            worst = MAX(worst, (double)flow_memory(node->entry->flow) /
                                   (double)flow_records(node->entry->flow));
        }
    }
    return worst;
}

static void
init_run(struct run *r)
{
    struct sim_options options = {
        .controls = 3,
        .entries = r->load->entries,
        .halls = r->load->halls,
        .seed = r->load->seed,
        .delay_ms = r->load->delay_ms,
        .jitter_ms = 1,
        .push_off = r->load->policy == POLICY_NO_PUSH,
        .hooks = {.forwarded = on_forwarded, .data = r}};

    r->size = r->load->flows +
              r->load->new_per_s * (r->scenario->length_ms / 1000 + 1);
    options.flow_capacity = 2 * (size_t)r->size;
    r->flows = g_new0(struct load_flow, r->size);
    r->timers = g_array_new(FALSE, FALSE, sizeof(struct timer));
    r->samples = g_new0(double, r->scenario->length_ms / SAMPLE_MS + 2);
    r->sim = sim_new(&options);
    for (int n = 0; n < r->load->entries; n++) {
        r->listed[n] = true;
        r->private_records[n] = g_hash_table_new(NULL, NULL);
        r->evidence[n] = flow_evidence_new((uint32_t)n + 1);
    }
    memset(r->states, 's', (size_t)r->load->upstreams);
    if (r->load->states != NULL) {
        (void)g_strlcpy(r->states, r->load->states, sizeof(r->states));
    }
}

static void
free_run(struct run *r)
{
    for (int n = 0; n < r->load->entries; n++) {
        g_hash_table_destroy(r->private_records[n]);
        flow_evidence_free(r->evidence[n]);
    }
    g_queue_clear(&r->bundle_queue);
    g_array_free(r->timers, TRUE);
    g_free(r->samples);
    g_free(r->flows);
    sim_free(r->sim);
}

void
flow_load_run(const struct flow_load *load,
              const struct flow_scenario *scenario, struct flow_result *out)
{
    struct run r = {.load = load, .scenario = scenario, .out = out};
    struct load_event first = {.kind = LOAD_STATES};
    char states[UPSTREAMS_MAX + 1];

    memset(out, 0, sizeof(*out));
    init_run(&r);
    (void)g_strlcpy(states, r.states, sizeof(states));
    first.states = states;
    g_queue_push_tail(&r.bundle_queue, &first);
    warm_up(&r);
    out->control_idle = max_control_rate(&r, WARM_UP_MS / 1000.0);
    reset_control_bytes(&r);
    run_events(&r);
    out->control_worst =
        max_control_rate(&r, MAX(60.0, scenario->length_ms / 1000.0));
    send_to_all_open(&r);
    out->memory_per_flow = memory_per_flow(&r);
    out->hops_percent = r.sim->packets ? 100.0 * (double)r.sim->packet_hops /
                                             (double)r.sim->packets
                                       : 0;
    median_sort(r.samples, r.sample_count);
    if (r.sample_count > 0) {
        out->imbalance_median = r.samples[r.sample_count / 2];
        out->imbalance_worst = r.samples[r.sample_count - 1];
    }
    free_run(&r);
}

/* Changes the state of a random upstream to leaving or serving; at most three
 * are leaving. */
static void
change_states(struct sim *random, char *states)
{
    size_t i = sim_random(random, MIX_UPSTREAMS);
    int leaving = 0;

    for (const char *s = states; *s != '\0'; s++) {
        leaving += *s == 'l';
    }
    if (states[i] == 's' && leaving < 3) {
        states[i] = 'l';
    }
    else {
        states[i] = 's';
    }
}

/* Mixes bundles that change states with stopped, killed, frozen, partitioned
 * and restarted entries. */
void
flow_load_random_scenario(uint64_t seed, int entries,
                          struct flow_scenario *out,
                          char states[LOAD_EVENTS_MAX][MIX_UPSTREAMS + 1],
                          bool partitions)
{
    static const enum load_event_kind kinds[] = {LOAD_STATES, LOAD_STOP,
                                                 LOAD_KILL,   LOAD_STATES,
                                                 LOAD_FREEZE, LOAD_STATES};
    struct sim random = {.random = seed * 7919};
    char now[MIX_UPSTREAMS + 1] = "ssssssssssssss--";
    uint64_t at = 1000;
    int gone = -1;

    memset(out, 0, sizeof(*out));
    out->name = "mix";
    out->length_ms = 45000;
    for (int i = 0; i < LOAD_EVENTS_MAX - 2 && at < 30000; i++) {
        struct load_event *event = &out->events[i];

        event->at_ms = (unsigned)at;
        event->kind = kinds[sim_random(&random, G_N_ELEMENTS(kinds))];
        event->entry = (int)sim_random(&random, (uint64_t)entries);
        if (partitions && sim_random(&random, 4) == 0) {
            event->kind = LOAD_PARTITION;
        }
        else if (gone >= 0 && sim_random(&random, 2) == 0) {
            event->kind = LOAD_START;
            event->entry = gone;
            gone = -1;
        }
        if (event->kind == LOAD_STATES) {
            change_states(&random, now);
            (void)g_strlcpy(states[i], now, MIX_UPSTREAMS + 1);
            event->states = states[i];
        }
        if (event->kind == LOAD_KILL || event->kind == LOAD_STOP) {
            gone = event->entry;
        }
        at += 500 + sim_random(&random, 6000);
    }
}
