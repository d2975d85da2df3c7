/* Flows of callers over a simulated cluster. */
#include "flow-load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow-evidence.h"
#include "hash.h"
#include "median.h"

#define WARM_UP_MS 12000
#define LIST_LAG_MS 1000
#define SYN_AGAIN_MS 1000
#define SAMPLE_MS 1000
#define UPSTREAMS_MAX 32
#define SHORT_PACKETS 10
#define TALK_MEAN_MS 4000 /* between packets of a long-lived flow */
#define SILENT_SHARE 10   /* one in so many is idle until the end */

enum flow_phase { PHASE_SYN, PHASE_OPEN, PHASE_CLOSED, PHASE_BROKEN };

/* One flow as its caller and upstream know it. */
struct load_flow {
    uint64_t hash;
    enum flow_phase phase;
    uint32_t upstream; /* last byte of the address, 0: none yet */
    uint32_t token;    /* what its packets name */
    bool is_short, silent;
    unsigned sent;
    uint64_t next_at;
    uint64_t opened_at;
};

/* A run. */
struct run {
    const struct flow_load *load;
    const struct flow_scene *scene;
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
    uint64_t left_at[UPSTREAMS_MAX + 1]; /* leaving in force since */
    GQueue wanted;                       /* struct act: bundles to submit */
    unsigned open_at[UPSTREAMS_MAX + 1];
    double *samples;
    unsigned sample_count;
    GArray *timers; /* struct timer, a heap by time */
};

/* When a flow talks next. */
struct timer {
    uint64_t at;
    unsigned flow;
};

/* Names a way. */
const char *
flow_load_way(enum way way)
{
    static const char *const names[WAY_COUNT] = {
        "keepers", "keepers-no-push", "consistent", "modulo", "evidence"};

    return names[way];
}

/* Adds a timer to the heap. */
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
        struct timer held = *parent;

        if (parent->at <= child->at) {
            return;
        }
        *parent = *child;
        *child = held;
        i = (i - 1) / 2;
    }
}

/* Takes the first timer off the heap. */
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
        struct timer held;

        for (guint c = 2 * i + 1; c <= 2 * i + 2; c++) {
            if (c < count && t[c].at < t[least].at) {
                least = c;
            }
        }
        if (least == i) {
            return first;
        }
        held = t[i];
        t[i] = t[least];
        t[least] = held;
        i = least;
    }
}

/* Sets when a flow talks next. */
static void
talk_at(struct run *r, unsigned index, uint64_t at)
{
    r->flows[index].next_at = at;
    push_timer(r, at, index);
}

/* Opens a flow: its first packet goes out now. */
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
    f->silent = !is_short && sim_random(r->sim, SILENT_SHARE) == 0;
    f->opened_at = r->sim->now;
    r->out->opened++;
    talk_at(r, r->count, r->sim->now);
    r->count++;
}

/* Says whether an upstream's address is leaving in the wanted bundle. */
static bool
is_leaving(const struct run *r, uint32_t upstream)
{
    return r->states[upstream - 1] == 'l';
}

/* Notes that a flow broke. */
static void
break_flow(struct run *r, unsigned index, int node, uint32_t upstream)
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

/* A packet reached an upstream. */
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
        if (f->upstream != 0 && !packet->first && !r->scene->udp) {
            return;
        }
        f->phase = PHASE_OPEN;
        f->upstream = upstream;
        r->open_at[upstream]++;
        r->out->established++;
        if (left != 0 && r->sim->now > left + 3000) {
            r->out->late_at_leaving++;
        }
        talk_at(r, (unsigned)tag, r->sim->now + r->load->rtt_ms);
        return;
    }
    if (f->phase != PHASE_OPEN || packet->first) {
        return;
    }
    if (upstream != f->upstream) {
        break_flow(r, (unsigned)tag, node, upstream);
    }
}

/* Picks an entry from the fabric's list; -1 when it is empty. */
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

/* Upstream by hash modulo those that serve in an entry's bundle. */
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

/* Upstream by our table. */
static uint32_t
table_upstream(const struct entry_core *entry, uint64_t hash)
{
    uint16_t service = flow_find_named(entry->flow, "feed");
    const struct flow_upstream *u;
    upstream_id now_owner;
    upstream_id old_owner;

    if (service == FLOW_NO_SERVICE) {
        return 0;
    }
    flow_owners(entry->flow, service, hash, &now_owner, &old_owner);
    u = flow_upstream(entry->flow, now_owner);
    return u ? u->address : 0;
}

/* Steers by what packets name, with the code of nodes. */
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

/* Steers by a naive way: a private record, else the table of the way. */
static void
steer_naive(struct run *r, int n, unsigned index,
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
    if (r->load->way == WAY_EVIDENCE && !r->scene->udp) {
        steer_evidence(r, n, index, packet);
        return;
    }
    address =
        GPOINTER_TO_UINT(g_hash_table_lookup(r->private_records[n], key));
    if (address == 0) {
        address = r->load->way == WAY_MODULO
                      ? modulo_upstream(sim_node->entry, f->hash)
                      : table_upstream(sim_node->entry, f->hash);
        g_hash_table_insert(r->private_records[n], key,
                            GUINT_TO_POINTER(address));
    }
    if (address != 0) {
        on_forwarded(r, node, index, packet, address, 0);
    }
}

/* Sends one packet of a flow through the fabric. */
static void
send_packet(struct run *r, unsigned index, bool first)
{
    struct load_flow *f = &r->flows[index];
    struct flow_packet packet = {.hash = f->hash,
                                 .first = first && !r->scene->udp};
    int n = pick_entry(r);

    f->sent++;
    if (n < 0) {
        return;
    }
    if (r->load->way <= WAY_NO_PUSH) {
        sim_packet(r->sim, sim_entry(r->sim, n), index, &packet);
    }
    else {
        steer_naive(r, n, index, &packet);
    }
}

/* A flow talks. */
static void
talk(struct run *r, unsigned index)
{
    struct load_flow *f = &r->flows[index];
    uint64_t mean = f->is_short ? 300 : TALK_MEAN_MS;

    if (f->phase == PHASE_SYN) {
        send_packet(r, index, true);
        talk_at(r, index, r->sim->now + SYN_AGAIN_MS);
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
    if (!f->silent || f->sent < 3) {
        talk_at(r, index, r->sim->now + 1 + sim_random(r->sim, 2 * mean));
    }
}

/* Lets the flows talk whose time has come. */
static void
talk_due(struct run *r)
{
    while (r->timers->len > 0 &&
           g_array_index(r->timers, struct timer, 0).at <= r->sim->now) {
        struct timer t = pop_timer(r);

        if (r->flows[t.flow].next_at == t.at) {
            talk(r, t.flow);
        }
    }
}

/* Submits the next wanted bundle when the last one has settled. */
static void
tick_bundles(struct run *r)
{
    int leader = sim_leader(r->sim);
    const wire_control_state *state;
    const struct act *act;
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
    act = g_queue_peek_head(&r->wanted);
    if (act == NULL || state->current != r->version ||
        (state->current != 0 && state->step != FLOW_STEP_SETTLED)) {
        return;
    }
    (void)g_queue_pop_head(&r->wanted);
    if (act->kind == ACT_WEIGHTS) {
        r->weighted = true;
        (void)g_strlcpy(r->weights, act->states, sizeof(r->weights));
    }
    else {
        (void)g_strlcpy(r->states, act->states, sizeof(r->states));
    }
    text = sim_bundle(r->version + 1, r->version, r->states,
                      r->weighted ? r->weights : NULL, 3, r->scene->udp);
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

/* Notes since when leaving upstreams are in force. */
static void
note_leaving(struct run *r)
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

/* Max over mean of open flows per weight, of the serving upstreams. */
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

/* Starts an entry anew; its private records are gone. */
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

/* Ends a planned stop that has cut nothing. */
static void
tick_stops(struct run *r)
{
    for (int n = 0; n < r->load->entries; n++) {
        int node = sim_entry(r->sim, n);
        struct entry_core *entry = r->sim->nodes[node].entry;

        if (!r->stopping[n] || !r->sim->nodes[node].up || r->listed[n] ||
            !entry_core_may_exit(entry, r->sim->now)) {
            continue;
        }
        entry_core_deregister(entry, r->sim->now);
        sim_act(r->sim, node);
        sim_kill(r->sim, node);
        r->stopping[n] = false;
    }
}

/* An entry of a callback that comes later. */
struct later {
    struct run *run;
    int entry;
};

/* The fabric's list no longer has an entry. */
static void
on_unlisted(struct sim *sim, void *data)
{
    struct later *later = data;

    (void)sim;
    later->run->listed[later->entry] = false;
    g_free(later);
}

/* An entry reaches control again. */
static void
on_mended(struct sim *sim, void *data)
{
    struct later *later = data;

    for (int i = 0; i < sim->options.controls; i++) {
        sim_cut(sim, i, sim_entry(sim, later->entry), false);
        sim_cut(sim, sim_entry(sim, later->entry), i, false);
    }
    g_free(later);
}

/* Calls back later about an entry. */
static void
call_later(struct run *r, unsigned ms, int entry,
           void (*call)(struct sim *sim, void *data))
{
    struct later *later = g_new(struct later, 1);

    later->run = r;
    later->entry = entry;
    sim_at(r->sim, r->sim->now + ms, call, later);
}

/* Lets an act happen. */
static void
act_now(struct run *r, const struct act *act)
{
    int node = sim_entry(r->sim, act->entry);

    switch (act->kind) {
    case ACT_END:
        return;
    case ACT_STATES:
    case ACT_WEIGHTS:
        g_queue_push_tail(&r->wanted, (gpointer)act);
        return;
    case ACT_KILL:
        sim_kill(r->sim, node);
        call_later(r, LIST_LAG_MS, act->entry, on_unlisted);
        return;
    case ACT_START:
        start_entry(r, act->entry);
        return;
    case ACT_STOP:
        if (r->sim->nodes[node].up) {
            entry_core_stop(r->sim->nodes[node].entry, r->sim->now);
            r->stopping[act->entry] = true;
            call_later(r, LIST_LAG_MS, act->entry, on_unlisted);
        }
        return;
    case ACT_FREEZE:
        sim_freeze(r->sim, node, r->sim->now + 8000);
        return;
    case ACT_CUT:
        for (int i = 0; i < r->sim->options.controls; i++) {
            sim_cut(r->sim, i, node, true);
            sim_cut(r->sim, node, i, true);
        }
        call_later(r, 5000, act->entry, on_mended);
        return;
    }
}

/* Runs a millisecond of load and cluster. */
static void
run_ms(struct run *r, uint64_t ms)
{
    talk_due(r);
    if (ms % 100 == 0) {
        tick_bundles(r);
        note_leaving(r);
    }
    tick_stops(r);
    sim_run(r->sim, r->sim->now + 1);
}

/* Greatest control bytes a second of any entry, over a minute or so far. */
static double
worst_control(const struct run *r, double seconds)
{
    double worst = 0;

    for (int n = 0; n < r->load->entries; n++) {
        const struct sim_node *node = &r->sim->nodes[sim_entry(r->sim, n)];

        worst = MAX(worst, (double)node->control_bytes / seconds);
    }
    return worst;
}

/* Forgets the byte counts so far. */
static void
clear_control(struct run *r)
{
    for (int i = 0; i < r->sim->count; i++) {
        r->sim->nodes[i].control_bytes = 0;
    }
}

/* Opens the long-lived flows over the warm-up. */
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

/* Runs the scene's acts under load. */
static void
run_acts(struct run *r)
{
    const struct act *act = r->scene->acts;
    unsigned due = 0;

    for (uint64_t ms = 0; ms < r->scene->length_ms; ms++) {
        while (act < r->scene->acts + ACTS_MAX && act->kind != ACT_END &&
               ms >= act->at_ms) {
            act_now(r, act++);
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

/* At the end every flow talks, also those that were idle all along. */
static void
ask_all(struct run *r)
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

/* Bytes of an entry's structures for each flow it holds. */
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

/* Prepares a run. */
static void
open_run(struct run *r)
{
    struct sim_options options = {
        .controls = 3,
        .entries = r->load->entries,
        .halls = r->load->halls,
        .seed = r->load->seed,
        .delay_ms = r->load->delay_ms,
        .jitter_ms = 1,
        .push_off = r->load->way == WAY_NO_PUSH,
        .hooks = {.forwarded = on_forwarded, .data = r}};

    r->size =
        r->load->flows + r->load->new_per_s * (r->scene->length_ms / 1000 + 1);
    options.flow_capacity = 2 * (size_t)r->size;
    r->flows = g_new0(struct load_flow, r->size);
    r->timers = g_array_new(FALSE, FALSE, sizeof(struct timer));
    r->samples = g_new0(double, r->scene->length_ms / SAMPLE_MS + 2);
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

/* Frees a run. */
static void
close_run(struct run *r)
{
    for (int n = 0; n < r->load->entries; n++) {
        g_hash_table_destroy(r->private_records[n]);
        flow_evidence_free(r->evidence[n]);
    }
    g_queue_clear(&r->wanted);
    g_array_free(r->timers, TRUE);
    g_free(r->samples);
    g_free(r->flows);
    sim_free(r->sim);
}

/* Runs one scene. */
void
flow_load_run(const struct flow_load *load, const struct flow_scene *scene,
              struct flow_result *out)
{
    struct run r = {.load = load, .scene = scene, .out = out};
    struct act first = {.kind = ACT_STATES};
    char states[UPSTREAMS_MAX + 1];

    memset(out, 0, sizeof(*out));
    open_run(&r);
    (void)g_strlcpy(states, r.states, sizeof(states));
    first.states = states;
    g_queue_push_tail(&r.wanted, &first);
    warm_up(&r);
    out->control_idle = worst_control(&r, WARM_UP_MS / 1000.0);
    clear_control(&r);
    run_acts(&r);
    out->control_worst =
        worst_control(&r, MAX(60.0, scene->length_ms / 1000.0));
    ask_all(&r);
    out->memory_per_flow = memory_per_flow(&r);
    out->hops_percent = r.sim->packets ? 100.0 * (double)r.sim->packet_hops /
                                             (double)r.sim->packets
                                       : 0;
    median_sort(r.samples, r.sample_count);
    if (r.sample_count > 0) {
        out->imbalance_median = r.samples[r.sample_count / 2];
        out->imbalance_worst = r.samples[r.sample_count - 1];
    }
    close_run(&r);
}

/* Changes the states of upstreams as an operator may: one starts or ceases
 * to leave, or one joins; never more than three leave at once. */
static void
change_states(struct sim *random, char *states)
{
    size_t i = sim_random(random, UPSTREAMS_IN_MIX);
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

/* Makes a scene of random acts: bundles that drain, return and join; entries
 * that stop, die, freeze and start. */
void
flow_load_mix(uint64_t seed, int entries, struct flow_scene *out,
              char states[ACTS_MAX][UPSTREAMS_IN_MIX + 1], bool views_apart)
{
    static const enum act_kind kinds[] = {ACT_STATES, ACT_STOP,   ACT_KILL,
                                          ACT_STATES, ACT_FREEZE, ACT_STATES};
    struct sim random = {.random = seed * 7919};
    char now[UPSTREAMS_IN_MIX + 1] = "ssssssssssssss--";
    uint64_t at = 1000;
    int gone = -1;

    memset(out, 0, sizeof(*out));
    out->name = "mix";
    out->length_ms = 45000;
    for (int i = 0; i < ACTS_MAX - 2 && at < 30000; i++) {
        struct act *act = &out->acts[i];

        act->at_ms = (unsigned)at;
        act->kind = kinds[sim_random(&random, G_N_ELEMENTS(kinds))];
        act->entry = (int)sim_random(&random, (uint64_t)entries);
        if (views_apart && sim_random(&random, 4) == 0) {
            act->kind = ACT_CUT;
        }
        else if (gone >= 0 && sim_random(&random, 2) == 0) {
            act->kind = ACT_START;
            act->entry = gone;
            gone = -1;
        }
        if (act->kind == ACT_STATES) {
            change_states(&random, now);
            (void)g_strlcpy(states[i], now, UPSTREAMS_IN_MIX + 1);
            act->states = states[i];
        }
        if (act->kind == ACT_KILL || act->kind == ACT_STOP) {
            gone = act->entry;
        }
        at += 500 + sim_random(&random, 6000);
    }
}
