/**
 * @file sim.c
 * Deterministic discrete-event simulation of control replicas and entries.
 */
#include "sim.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "fault.h"
#include "random.h"

#define CONTROL_TICK_MS 20
#define ENTRY_TICK_MS 10
#define MINUTE_MS 60000
#define PACKET_OVERHEAD 28 /* bytes: IPv4 and UDP headers of a message */
#define SEAL_BYTES 40

enum event_kind { EVENT_MESSAGE, EVENT_PACKET, EVENT_CALL };

struct event {
    uint64_t at;
    uint64_t sequence;
    enum event_kind kind;
    int node;
    uint64_t start; /* id of the receiving entry's start, 0: any */
    GByteArray *bytes;
    struct flow_packet packet;
    uint64_t tag;
    void (*call)(struct sim *sim, void *data);
    void *data;
};

uint64_t
sim_random(struct sim *sim, uint64_t below)
{
    uint64_t z = random_next(&sim->random);

    return below ? z % below : z;
}

/* Orders events by time, then by creation. */
static bool
is_before(const struct event *a, const struct event *b)
{
    return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
swap(GPtrArray *heap, guint a, guint b)
{
    gpointer swapped = heap->pdata[a];

    heap->pdata[a] = heap->pdata[b];
    heap->pdata[b] = swapped;
}

static struct event *
push_event(struct sim *sim, uint64_t at, enum event_kind kind, int node)
{
    struct event *event = g_new0(struct event, 1);
    GPtrArray *heap = sim->queue;
    guint i = heap->len;

    event->at = at;
    event->sequence = ++sim->sequence;
    event->kind = kind;
    event->node = node;
    g_ptr_array_add(heap, event);
    while (i > 0 && is_before(heap->pdata[i], heap->pdata[(i - 1) / 2])) {
        swap(heap, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
    return event;
}

static struct event *
pop_event(struct sim *sim)
{
    GPtrArray *heap = sim->queue;
    struct event *first = heap->pdata[0];
    guint i = 0;

    swap(heap, 0, heap->len - 1);
    g_ptr_array_set_size(heap, (gint)heap->len - 1);
    for (;;) {
        guint least = i;

        for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
            if (child < heap->len &&
                is_before(heap->pdata[child], heap->pdata[least])) {
                least = child;
            }
        }
        if (least == i) {
            return first;
        }
        swap(heap, i, least);
        i = least;
    }
}

static void
free_event(struct event *event)
{
    if (event->bytes != NULL) {
        g_byte_array_unref(event->bytes);
    }
    g_free(event);
}

int
sim_entry(const struct sim *sim, int n)
{
    return sim->options.controls + n;
}

/* A frozen node is up but not running. */
static bool
is_running(const struct sim *sim, int node)
{
    return sim->nodes[node].up && sim->now >= sim->nodes[node].frozen_until;
}

static uint64_t
draw_delay(struct sim *sim, int from, int to)
{
    uint64_t base = sim->nodes[from].hall == sim->nodes[to].hall
                        ? 0
                        : sim->options.delay_ms;

    return base + sim_random(sim, sim->options.jitter_ms + 1);
}

static void
count_bytes(struct sim *sim, int from, size_t length, bool request)
{
    struct sim_node *node = &sim->nodes[from];
    size_t bytes = length + SEAL_BYTES + PACKET_OVERHEAD;

    if (request) {
        node->request_bytes += bytes;
        return;
    }
    node->control_bytes += bytes;
    node->minute_bytes += bytes;
}

/* Sends an encoded message, which the network may lose. */
static void
send_bytes(struct sim *sim, int from, int to, GByteArray *bytes, bool request,
           uint64_t start)
{
    struct event *event;

    count_bytes(sim, from, bytes->len, request);
    if (to < 0 || sim->link_down[from][to] ||
        sim_random(sim, 1000) < sim->options.loss) {
        return;
    }
    event = push_event(sim, sim->now + draw_delay(sim, from, to),
                       EVENT_MESSAGE, to);
    event->bytes = g_byte_array_ref(bytes);
    event->start = start;
}

/* Returns the node of a control replica, -1 when there is none. */
static int
node_of_replica(const struct sim *sim, uint32_t replica)
{
    return replica >= 1 && (int)replica <= sim->options.controls
               ? (int)replica - 1
               : -1;
}

/* Returns the entry at an address, -1 when there is none. */
static int
node_at_address(const struct sim *sim, uint32_t address)
{
    int n = (int)(address - 1);

    return n >= 0 && n < sim->options.entries ? sim_entry(sim, n) : -1;
}

static void
run_cons_action(struct sim *sim, int index, const struct cons_action *action)
{
    struct sim_node *node = &sim->nodes[index];
    bool stored;

    if (action->kind == CONS_SEND) {
        send_bytes(sim, index, node_of_replica(sim, action->message.to),
                   action->message.bytes, false, 0);
        return;
    }
    /* Without a sync a crash may lose acknowledged entries. */
    if (fault_is(FAULT_ACK_UNSYNCED) && action->kind == CONS_SAVE_ENTRIES &&
        sim_random(sim, 3) == 0) {
        return;
    }
    stored = sim_disk_run(&node->disk, action);
    g_assert_true(stored || fault_is(FAULT_ACK_UNSYNCED));
}

static void
run_control_actions(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];
    size_t count;
    const struct control_action *all =
        control_core_actions(&node->core, &count);

    for (size_t i = 0; i < count; i++) {
        const struct control_action *action = &all[i];

        switch (action->kind) {
        case CONTROL_CONS:
            run_cons_action(sim, index, &action->cons);
            break;
        case CONTROL_SEND:
            send_bytes(sim, index,
                       node_at_address(sim, action->message.address),
                       action->message.bytes, false, 0);
            break;
        case CONTROL_REPLY:
            if (sim->options.hooks.replied != NULL) {
                sim->options.hooks.replied(sim->options.hooks.data, index,
                                           action->reply.token,
                                           &action->reply.status);
            }
            break;
        }
    }
    control_core_clear(&node->core);
}

static void
run_entry_actions(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];
    const struct sim_hooks *hooks = &sim->options.hooks;
    size_t count;
    const struct entry_action *all = entry_core_actions(node->entry, &count);

    for (size_t i = 0; i < count; i++) {
        const struct entry_action *action = &all[i];

        switch (action->kind) {
        case ENTRY_SEND_CONTROL:
            send_bytes(sim, index, node_of_replica(sim, action->replica),
                       action->bytes, false, 0);
            break;
        case ENTRY_SEND_PEER:
            send_bytes(sim, index, node_at_address(sim, action->peer.address),
                       action->bytes,
                       action->msg_kind != WIRE_RECORDS &&
                           action->msg_kind != WIRE_KNOWN &&
                           action->msg_kind != WIRE_RECORDS_ACK,
                       action->peer.id);
            break;
        case ENTRY_DISPATCH:
        case ENTRY_ABORT:
            if (hooks->dispatched != NULL) {
                hooks->dispatched(hooks->data, index, action);
            }
            break;
        case ENTRY_RESPOND:
            if (hooks->answered != NULL) {
                hooks->answered(hooks->data, index, action);
            }
            break;
        case ENTRY_SAVE_BUNDLE:
            g_free(node->saved_text);
            node->saved_text = g_strdup(node->entry->text);
            break;
        }
    }
    entry_core_clear_actions(node->entry);
}

void
sim_run_actions(struct sim *sim, int node)
{
    if (sim->nodes[node].control) {
        run_control_actions(sim, node);
    }
    else {
        run_entry_actions(sim, node);
    }
}

/* Starts a control replica from its disk. */
static void
start_control(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];
    struct sim_options *o = &sim->options;
    uint32_t replicas[SIM_CONTROLS_MAX];
    wire_voter voters[SIM_CONTROLS_MAX];
    wire_config initial_config = {.voters = {.voters_val = voters}};
    struct cons_stored stored;

    for (int i = 0; i < o->controls; i++) {
        replicas[i] = (uint32_t)i + 1;
        if (o->initial_voters == 0 || i < o->initial_voters) {
            voters[initial_config.voters.voters_len].replica = replicas[i];
            voters[initial_config.voters.voters_len++].identity = replicas[i];
        }
    }
    sim_disk_load(&node->disk, &stored);
    control_core_open(&node->core, sim->now, (uint32_t)index + 1,
                      node->disk.identity, replicas, (size_t)o->controls,
                      &initial_config, sim_random(sim, 0), &stored,
                      &sim->counters);
}

/* Starts an entry with its saved bundle. */
static void
start_entry(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];
    uint32_t controls[SIM_CONTROLS_MAX];
    char name[32];
    char hall[32];
    struct entry_options options = {
        .controls = controls,
        .control_count = (size_t)sim->options.controls,
        .flow_capacity = sim->options.flow_capacity,
        .ring_size = 64,
        .counters = &sim->counters,
        .saved_text = node->saved_text,
        .push_off = sim->options.push_off};

    for (int i = 0; i < sim->options.controls; i++) {
        controls[i] = (uint32_t)i + 1;
    }
    (void)snprintf(name, sizeof(name), "entry-%d",
                   index - sim->options.controls + 1);
    (void)snprintf(hall, sizeof(hall), "hall-%u", node->hall);
    node->id = sim_random(sim, 0);
    options.self.id = node->id;
    options.self.address = (u_int)(index - sim->options.controls) + 1;
    options.self.rpc_port = 1;
    options.self.name = name;
    options.self.hall = hall;
    node->entry = entry_core_new(&options);
}

void
sim_start(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];

    if (node->up) {
        return;
    }
    node->up = true;
    node->frozen_until = 0;
    node->tick_at = sim->now;
    if (node->control) {
        start_control(sim, index);
    }
    else {
        start_entry(sim, index);
    }
}

void
sim_kill(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];

    if (!node->up) {
        return;
    }
    node->up = false;
    if (node->control) {
        control_core_close(&node->core);
    }
    else {
        entry_core_free(node->entry);
        node->entry = NULL;
    }
}

void
sim_wipe(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];

    sim_kill(sim, index);
    g_clear_pointer(&node->saved_text, g_free);
    if (node->control) {
        sim_disk_wipe(&node->disk);
        node->disk.identity = 1000 + sim_random(sim, 0) / 2;
    }
}

void
sim_freeze(struct sim *sim, int node, uint64_t until)
{
    sim->nodes[node].frozen_until = until;
}

void
sim_set_link_down(struct sim *sim, int from, int to, bool down)
{
    sim->link_down[from][to] = down;
}

void
sim_isolate(struct sim *sim, int node, bool down)
{
    for (int i = 0; i < sim->count; i++) {
        sim->link_down[node][i] = down;
        sim->link_down[i][node] = down;
    }
}

struct sim *
sim_new(const struct sim_options *options)
{
    struct sim *sim = g_new0(struct sim, 1);

    sim->options = *options;
    sim->random = options->seed * 0x9e3779b97f4a7c15ULL + 1;
    sim->now = 1000000;
    sim->minute_at = sim->now + MINUTE_MS;
    sim->queue = g_ptr_array_new();
    sim->count = options->controls + options->entries;
    for (int i = 0; i < sim->count; i++) {
        struct sim_node *node = &sim->nodes[i];

        node->control = i < options->controls;
        node->hall = (uint32_t)(i % MAX(1, options->halls));
        if (node->control) {
            node->disk.identity = (uint64_t)i + 1;
            node->disk.log =
                g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
        }
        sim_start(sim, i);
    }
    return sim;
}

void
sim_free(struct sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        sim_wipe(sim, i);
        if (sim->nodes[i].control) {
            g_array_free(sim->nodes[i].disk.log, TRUE);
        }
    }
    while (sim->queue->len > 0) {
        free_event(pop_event(sim));
    }
    g_ptr_array_free(sim->queue, TRUE);
    g_free(sim);
}

/* Forwards a packet to another entry. */
static void
forward_packet(struct sim *sim, int from, const struct flow_verdict *verdict,
               const struct flow_packet *packet, uint64_t tag)
{
    const struct member *peer =
        member_find(&sim->nodes[from].entry->members, verdict->peer);
    int to = peer ? node_at_address(sim, peer->address) : -1;
    struct event *event;

    sim->packet_hops++;
    if (to < 0 || sim->link_down[from][to] ||
        sim_random(sim, 1000) < sim->options.loss) {
        sim->packets_lost++;
        return;
    }
    event = push_event(sim, sim->now + draw_delay(sim, from, to), EVENT_PACKET,
                       to);
    event->packet = *packet;
    event->packet.forwarded = true;
    event->packet.origin = verdict->origin;
    event->packet.position = verdict->position;
    event->packet.hops = verdict->hops;
    memcpy(event->packet.asked, verdict->asked, sizeof(verdict->asked));
    event->tag = tag;
}

/* Steers a packet at an entry and carries out the verdict. */
static void
steer_packet(struct sim *sim, int node, uint64_t tag,
             const struct flow_packet *packet)
{
    struct flow *flow = sim->nodes[node].entry->flow;
    struct flow_packet steered = *packet;
    const struct flow_upstream *u;
    struct flow_verdict verdict;

    sim->packets++;
    steered.service = flow_find_named(flow, "feed");
    flow_steer(flow, sim->now, SIM_WALL + sim->now, &steered, &verdict);
    switch (verdict.action) {
    case FLOW_FORWARD:
        u = flow_upstream(flow, verdict.upstream);
        sim->options.hooks.forwarded(sim->options.hooks.data, node, tag,
                                     &steered, u->address, u->port);
        break;
    case FLOW_FORWARD_TO_ENTRY:
        forward_packet(sim, node, &verdict, &steered, tag);
        break;
    case FLOW_DROP:
        sim->packets_lost++;
        break;
    }
    entry_core_flush(sim->nodes[node].entry);
    run_entry_actions(sim, node);
}

void
sim_send_packet(struct sim *sim, int node, uint64_t tag,
                const struct flow_packet *packet)
{
    struct event *event = push_event(sim, sim->now, EVENT_PACKET, node);

    event->packet = *packet;
    event->tag = tag;
}

void
sim_schedule(struct sim *sim, uint64_t at,
             void (*call)(struct sim *sim, void *data), void *data)
{
    struct event *event = push_event(sim, MAX(at, sim->now), EVENT_CALL, -1);

    event->call = call;
    event->data = data;
}

/* Delivers a message, unless it is for an earlier start of an entry. */
static void
deliver_message(struct sim *sim, struct event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    wire_msg msg;

    if (event->start != 0 && event->start != node->id) {
        return;
    }
    if (!codec_decode(event->bytes->data, event->bytes->len, &msg)) {
        return;
    }
    if (node->control) {
        node->core.wall = SIM_WALL + sim->now;
        control_core_receive(&node->core, sim->now, &msg);
    }
    else {
        entry_core_receive(node->entry, sim->now, SIM_WALL + sim->now, &msg);
    }
    codec_free(&msg);
    sim_run_actions(sim, event->node);
}

/* Runs an event; defers messages and packets for a frozen node. */
static void
run_event(struct sim *sim, struct event *event)
{
    struct sim_node *node;

    if (event->kind == EVENT_CALL) {
        event->call(sim, event->data);
        free_event(event);
        return;
    }
    node = &sim->nodes[event->node];
    if (node->up && sim->now < node->frozen_until) {
        struct event *deferred =
            push_event(sim, node->frozen_until, event->kind, event->node);

        deferred->bytes = g_steal_pointer(&event->bytes);
        deferred->start = event->start;
        deferred->packet = event->packet;
        deferred->tag = event->tag;
    }
    else if (node->up && event->kind == EVENT_MESSAGE) {
        deliver_message(sim, event);
    }
    else if (node->up) {
        steer_packet(sim, event->node, event->tag, &event->packet);
    }
    else {
        sim->packets_lost += event->kind == EVENT_PACKET;
    }
    free_event(event);
}

static void
tick(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];

    if (!is_running(sim, index) || sim->now < node->tick_at) {
        return;
    }
    if (node->control) {
        node->tick_at = sim->now + CONTROL_TICK_MS;
        node->core.wall = SIM_WALL + sim->now;
        control_core_tick(&node->core, sim->now);
    }
    else {
        node->tick_at = sim->now + ENTRY_TICK_MS;
        entry_core_tick(node->entry, sim->now, SIM_WALL + sim->now);
    }
    sim_run_actions(sim, index);
}

static void
update_worst_minute(struct sim *sim)
{
    if (sim->now < sim->minute_at) {
        return;
    }
    sim->minute_at = sim->now + MINUTE_MS;
    for (int i = 0; i < sim->count; i++) {
        struct sim_node *node = &sim->nodes[i];

        node->worst_minute = MAX(node->worst_minute, node->minute_bytes);
        node->minute_bytes = 0;
    }
}

void
sim_run(struct sim *sim, uint64_t until)
{
    while (sim->now < until) {
        while (sim->queue->len > 0 &&
               ((struct event *)sim->queue->pdata[0])->at <= sim->now) {
            run_event(sim, pop_event(sim));
        }
        for (int i = 0; i < sim->count; i++) {
            tick(sim, i);
        }
        update_worst_minute(sim);
        sim->now++;
    }
}

int
sim_leader(const struct sim *sim)
{
    int leader = -1;

    for (int i = 0; i < sim->options.controls; i++) {
        const struct sim_node *node = &sim->nodes[i];

        if (is_running(sim, i) && node->core.cons.role == CONS_LEADER &&
            (leader < 0 ||
             node->core.cons.term > sim->nodes[leader].core.cons.term)) {
            leader = i;
        }
    }
    return leader;
}

bool
sim_submit(struct sim *sim, const char *text, const char *submission,
           const char *operator_name, uint64_t token)
{
    int leader = sim_leader(sim);
    wire_submit submit = {0};
    struct bundle bundle;
    struct status st;

    if (leader < 0 ||
        bundle_read("sim", text, strlen(text), &bundle, &st) != STATUS_OK) {
        return false;
    }
    submit.bundle_version = bundle.version;
    submit.base = bundle.base;
    memcpy(submit.digest, bundle.digest, sizeof(submit.digest));
    submit.operator_name = (char *)operator_name;
    submit.submission = (char *)submission;
    submit.text = (char *)text;
    control_core_submit(&sim->nodes[leader].core, sim->now, token, &submit);
    sim_run_actions(sim, leader);
    bundle_free(&bundle);
    return true;
}

bool
sim_sign_off(struct sim *sim, uint64_t token)
{
    int leader = sim_leader(sim);
    struct control_core *core;
    wire_sign_off sign = {0};

    if (leader < 0) {
        return false;
    }
    core = &sim->nodes[leader].core;
    if (!core->state.has_pending) {
        return false;
    }
    sign.bundle_version = core->state.pending.bundle_version;
    memcpy(sign.digest, core->state.pending.digest, sizeof(sign.digest));
    sign.operator_name = (char *)"ivo";
    control_core_sign_off(core, sim->now, token, &sign);
    sim_run_actions(sim, leader);
    return true;
}

/* True when the leader considers a version in force at all entries. */
static bool
is_in_force(const struct sim *sim, uint64_t version)
{
    int leader = sim_leader(sim);

    return leader >= 0 && sim->nodes[leader].core.state.current == version &&
           control_core_in_force(&sim->nodes[leader].core, NULL, 0);
}

bool
sim_roll_out(struct sim *sim, const char *text, uint64_t limit_ms)
{
    uint64_t end = sim->now + limit_ms;
    struct bundle bundle;
    struct status st;
    uint64_t version;
    char id[64];

    if (bundle_read("sim", text, strlen(text), &bundle, &st) != STATUS_OK) {
        return false;
    }
    version = bundle.version;
    bundle_free(&bundle);
    (void)snprintf(id, sizeof(id), "roll-out-%llu",
                   (unsigned long long)version);
    while (sim->now < end && !is_in_force(sim, version)) {
        (void)sim_submit(sim, text, id, "ana", 0);
        sim_run(sim, sim->now + 50);
        (void)sim_sign_off(sim, 0);
        sim_run(sim, sim->now + 50);
    }
    return is_in_force(sim, version);
}

char *
sim_bundle(uint64_t version, uint64_t base, const char *states,
           const char *weights, unsigned slots, bool udp)
{
    GString *flows = g_string_new("");
    GString *requests = g_string_new("");
    char *text;

    for (int i = 0; states[i] != '\0'; i++) {
        const char *state = states[i] == 'l' ? "leaving" : "serving";
        const char *comma = flows->len ? "," : "";
        unsigned weight =
            weights != NULL ? 10 * (unsigned)(weights[i] - '0') : 100;

        if (states[i] == '-') {
            continue;
        }
        g_string_append_printf(
            flows,
            "%s{\"name\":\"f%d\",\"address\":\"10.1.0.%d\",\"port\":80,"
            "\"state\":\"%s\",\"weight\":%u}",
            comma, i, i + 1, state, weight);
        g_string_append_printf(
            requests,
            "%s{\"name\":\"r%d\",\"address\":\"10.2.0.%d\",\"port\":80,"
            "\"state\":\"%s\",\"weight\":%u,\"slots\":%u}",
            comma, i, i + 1, state, weight, slots);
    }
    text = g_strdup_printf(
        "{\"version\":%llu,\"base\":%llu,\"services\":["
        "{\"name\":\"feed\",\"kind\":\"flow\",\"address\":\"10.0.0.1\","
        "\"port\":443,\"protocol\":\"%s\",\"upstreams\":[%s]},"
        "{\"name\":\"save\",\"kind\":\"request\",\"host\":\"save\","
        "\"upstreams\":[%s]}]}",
        (unsigned long long)version, (unsigned long long)base,
        udp ? "udp" : "tcp", flows->str, requests->str);
    g_string_free(flows, TRUE);
    g_string_free(requests, TRUE);
    return text;
}
