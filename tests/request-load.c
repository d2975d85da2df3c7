/* Requests of callers over a simulated cluster. */
#include "median.h"
#include "request-load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"

#define WARM_UP_MS 6000
#define DEADLINE_MS 5000
#define GIVE_UP_MS 1500 /* a caller asks another entry after so long */
#define UPSTREAMS_MAX 32
#define LOADS_AGE_MS 10000
#define SAMPLE_MS 20

/* One request of a caller, however often it is sent. */
struct call {
    uint64_t id; /* from 1; also its key */
    bool safe;
    uint64_t sent_at;
    uint64_t deadline;
    unsigned runs; /* at upstreams */
    unsigned running;
    bool settled;   /* answered, or given up */
    bool returning; /* came back after a refusal */
    unsigned attempts;
    double service_ms;
};

/* One sending of a request to an entry. */
struct attempt {
    uint64_t call;
    int node;
    uint64_t entry_start; /* id of the entry's start */
    bool refused;
    bool ended;
    int tries; /* naive: upstreams tried */
};

/* One upstream. */
struct upstream {
    unsigned busy;
    unsigned reported; /* load of some time ago */
    GQueue queue;      /* struct execution: waits, in the naive ways */
    uint64_t frozen_until, shed_until;
    bool leaving;
    uint64_t left_at;
};

/* One execution at an upstream. */
struct execution {
    struct run *run;
    uint64_t attempt;
    int upstream;
    int node;
    uint64_t entry_start;
    bool cut;
    bool cancelled;
};

/* A run. */
struct run {
    const struct request_load *load;
    struct request_result *out;
    struct sim *sim;
    GArray *calls;    /* struct call */
    GArray *attempts; /* struct attempt */
    GArray *waits;    /* double */
    struct upstream upstreams[UPSTREAMS_MAX];
    unsigned outstanding[SIM_ENTRIES_MAX][UPSTREAMS_MAX];
    bool listed[SIM_ENTRIES_MAX];
    bool stopping[SIM_ENTRIES_MAX];
    double busy_ratio_sum;
    unsigned busy_samples;
    unsigned busy_second[UPSTREAMS_MAX]; /* sums over a second */
    double work_ms; /* service time of answered requests */
    int next_stop;
    bool measuring;
};

/* Names a way. */
const char *
request_load_way(enum request_way way)
{
    static const char *const names[REQ_WAYS] = {"gate", "naive", "random",
                                                "two-choice"};

    return names[way];
}

/* Names a trouble. */
const char *
request_load_trouble(enum request_trouble trouble)
{
    static const char *const names[REQ_TROUBLES] = {
        "calm",         "kill-entry", "kill-two",  "freeze-entry",
        "stop-entries", "cut-entry",  "freeze-up", "shed-storm",
        "cut-answers",  "drain+join", "epochs"};

    return names[trouble];
}

/* A request by its number. */
static struct call *
call_at(const struct run *r, uint64_t id)
{
    return &g_array_index(r->calls, struct call, id - 1);
}

/* A sending by its number. */
static struct attempt *
attempt_at(const struct run *r, uint64_t id)
{
    return &g_array_index(r->attempts, struct attempt, id - 1);
}

/* Draws from an exponential distribution. */
static double
exponential(struct sim *sim, double mean)
{
    double u = ((double)sim_random(sim, 1000000) + 1.0) / 1000001.0;

    return -mean * log(u);
}

static void send_call(struct run *r, uint64_t id);

/* A callback about a number. */
struct later {
    struct run *run;
    uint64_t number;
};

/* Calls back later about a number. */
static void
call_later(struct run *r, uint64_t ms, uint64_t number,
           void (*call)(struct sim *sim, void *data))
{
    struct later *later = g_new(struct later, 1);

    later->run = r;
    later->number = number;
    sim_at(r->sim, r->sim->now + ms, call, later);
}

/* Ends a request. */
static void
settle(struct run *r, struct call *call)
{
    (void)r;
    call->settled = true;
}

/* A caller comes back after a refusal, as it was told. */
static void
on_return(struct sim *sim, void *data)
{
    struct later *later = data;
    struct call *call = call_at(later->run, later->number);

    call->deadline = sim->now + DEADLINE_MS;
    call->sent_at = sim->now;
    call->returning = true;
    later->run->out->returned++;
    send_call(later->run, later->number);
    g_free(later);
}

/* A caller got a whole answer. */
static void
take_answer(struct run *r, struct call *call, const char *body)
{
    char own[32];

    (void)snprintf(own, sizeof(own), "%llu", (unsigned long long)call->id);
    if (strcmp(body, own) != 0) {
        r->out->wrong++;
    }
    if (call->settled) {
        return;
    }
    settle(r, call);
    r->out->answered++;
    r->out->returned_ok += call->returning;
    if (r->measuring) {
        double wait = (double)(r->sim->now - call->sent_at) - call->service_ms;

        g_array_append_val(r->waits, wait);
        r->work_ms += call->service_ms;
    }
}

/* A caller was refused. */
static void
take_refusal(struct run *r, struct call *call, struct attempt *attempt,
             uint32_t retry_ms)
{
    attempt->refused = true;
    if (call->runs > 0 && !call->safe) {
        r->out->false_not_run++;
    }
    if (call->settled) {
        return;
    }
    r->out->not_run++;
    if (!call->returning && retry_ms > 0 && r->load->overload > 0) {
        call_later(r, retry_ms, call->id, on_return);
        return;
    }
    settle(r, call);
}

/* The core answered an attempt. */
static void
on_answered(void *data, int node, const struct entry_action *action)
{
    struct run *r = data;
    struct attempt *attempt = attempt_at(r, action->token);
    struct call *call = call_at(r, attempt->call);
    char body[64] = "";

    (void)node;
    attempt->ended = true;
    if (action->rule == RULE_NO_LEASE && call->attempts < 8) {
        /* The shell hands the request to a peer. */
        send_call(r, attempt->call);
        return;
    }
    if (action->outcome.kind != WIRE_OUTCOME_ANSWERED && !call->settled) {
        r->out->rules[action->rule]++;
    }
    switch (action->outcome.kind) {
    case WIRE_OUTCOME_ANSWERED:
        memcpy(body, action->outcome.body.body_val,
               MIN(action->outcome.body.body_len, sizeof(body) - 1));
        take_answer(r, call, body);
        return;
    case WIRE_OUTCOME_NOT_RUN:
        take_refusal(r, call, attempt, action->outcome.retry_ms);
        return;
    case WIRE_OUTCOME_UNKNOWN:
        if (!call->settled) {
            r->out->unknown++;
            settle(r, call);
        }
        return;
    }
}

/* Tells the coordinator how an execution ended. */
static void
tell_coordinator(struct run *r, struct execution *e, enum gate_result result)
{
    struct sim_node *node = &r->sim->nodes[e->node];
    const struct attempt *attempt = attempt_at(r, e->attempt);
    char body[32];
    struct request_response reply = {.status = 200, .body = body};

    if (!node->up || node->id != e->entry_start) {
        return;
    }
    (void)snprintf(body, sizeof(body), "%llu",
                   (unsigned long long)attempt->call);
    reply.length = strlen(body);
    entry_core_handle_response(node->entry, r->sim->now,
                               SIM_WALL + r->sim->now, e->attempt, result,
                               &reply);
    sim_act(r->sim, e->node);
}

static void naive_ended(struct run *r, struct execution *e,
                        enum gate_result result);
static void run_request(struct run *r, struct execution *e);

/* An upstream has done its work. */
static void
on_executed(struct sim *sim, void *data)
{
    struct execution *e = data;
    struct run *r = e->run;
    struct upstream *u = &r->upstreams[e->upstream];
    enum gate_result result = e->cut ? GATE_FAILED : GATE_ANSWERED;

    if (sim->now < u->frozen_until) {
        sim_at(sim, u->frozen_until, on_executed, e);
        return;
    }
    if (sim->now < sim->nodes[e->node].frozen_until) {
        sim_at(sim, sim->nodes[e->node].frozen_until, on_executed, e);
        return;
    }
    u->busy--;
    call_at(r, attempt_at(r, e->attempt)->call)->running--;
    if (u->queue.length > 0) {
        run_request(r, g_queue_pop_head(&u->queue));
    }
    if (r->load->way == REQ_GATE) {
        tell_coordinator(r, e, result);
    }
    else {
        naive_ended(r, e, result);
    }
    g_free(e);
}

/* An upstream shed, after the way there and back. */
static void
on_shed(struct sim *sim, void *data)
{
    struct execution *e = data;

    (void)sim;
    if (e->run->load->way == REQ_GATE) {
        tell_coordinator(e->run, e, GATE_SHED);
    }
    else {
        naive_ended(e->run, e, GATE_SHED);
    }
    g_free(e);
}

/* An upstream begins a request. */
static void
run_request(struct run *r, struct execution *e)
{
    struct upstream *u = &r->upstreams[e->upstream];
    struct attempt *attempt = attempt_at(r, e->attempt);
    struct call *call = call_at(r, attempt->call);

    u->busy++;
    call->runs++;
    call->running++;
    if (call->runs > 1 && !call->safe) {
        r->out->run_twice += call->runs == 2;
    }
    if (attempt->refused && !call->safe) {
        r->out->run_after_refusal++;
    }
    if (u->leaving && u->left_at != 0 && r->sim->now > u->left_at + 3000) {
        r->out->late_at_leaving++;
    }
    call->service_ms = exponential(r->sim, r->load->service_ms);
    e->cut =
        r->load->trouble == REQ_CUT_ANSWERS && sim_random(r->sim, 20) == 0;
    sim_at(r->sim,
           r->sim->now + 2 * r->load->delay_ms + (uint64_t)call->service_ms +
               1,
           on_executed, e);
}

/* An upstream gets a request: it runs it, sheds it, or, in the ways that
 * choose without knowing, lets it wait. */
static void
execute(struct run *r, uint64_t token, int node, int upstream)
{
    struct upstream *u = &r->upstreams[upstream];
    struct execution *e = g_new0(struct execution, 1);

    *e = (struct execution){.run = r,
                            .attempt = token,
                            .upstream = upstream,
                            .node = node,
                            .entry_start = r->sim->nodes[node].id};
    if (u->busy < (unsigned)r->load->slots && r->sim->now >= u->shed_until) {
        run_request(r, e);
    }
    else if (r->load->way == REQ_RANDOM || r->load->way == REQ_TWO_CHOICE) {
        g_queue_push_tail(&u->queue, e);
    }
    else {
        sim_at(r->sim, r->sim->now + 2 * r->load->delay_ms + 1, on_shed, e);
    }
}

/* The core dispatched an attempt, or cancelled it (the upstream goes on). */
static void
on_dispatched(void *data, int node, const struct entry_action *action)
{
    struct run *r = data;

    if (action->kind == ENTRY_DISPATCH) {
        execute(r, action->token, node, (int)(action->address & 0xff) - 1);
    }
}

/* ---- naive ways ---- */

/* Picks an upstream for a naive way. */
static int
naive_choice(struct run *r, int n)
{
    int serving[UPSTREAMS_MAX] = {0};
    int count = 0;
    int a;
    int b;

    for (int i = 0; i < r->load->upstreams; i++) {
        if (!r->upstreams[i].leaving) {
            serving[count++] = i;
        }
    }
    a = serving[sim_random(r->sim, (uint64_t)count)];
    b = serving[sim_random(r->sim, (uint64_t)count)];
    if (r->load->way == REQ_TWO_CHOICE &&
        r->outstanding[n][b] * 11 + r->upstreams[b].reported <
            r->outstanding[n][a] * 11 + r->upstreams[a].reported) {
        return b;
    }
    return a;
}

/* Sends an attempt to an upstream in a naive way. */
static void
naive_dispatch(struct run *r, uint64_t token)
{
    struct attempt *attempt = attempt_at(r, token);
    int n = attempt->node - r->sim->options.controls;
    int upstream = naive_choice(r, n);

    attempt->tries++;
    r->outstanding[n][upstream]++;
    execute(r, token, attempt->node, upstream);
}

/* An execution ended: answer, or try again. */
static void
naive_ended(struct run *r, struct execution *e, enum gate_result result)
{
    struct attempt *attempt = attempt_at(r, e->attempt);
    struct call *call = call_at(r, attempt->call);
    struct sim_node *node = &r->sim->nodes[e->node];
    char body[32];

    r->outstanding[e->node - r->sim->options.controls][e->upstream]--;
    if (!node->up || node->id != e->entry_start || attempt->ended) {
        return;
    }
    if (result == GATE_ANSWERED) {
        attempt->ended = true;
        (void)snprintf(body, sizeof(body), "%llu",
                       (unsigned long long)attempt->call);
        take_answer(r, call, body);
        return;
    }
    if (r->load->way == REQ_NAIVE && attempt->tries < 4) {
        r->out->retried++;
        naive_dispatch(r, e->attempt);
        return;
    }
    attempt->ended = true;
    if (result == GATE_SHED) {
        take_refusal(r, call, attempt, 1000);
    }
    else if (!call->settled) {
        r->out->unknown++;
        settle(r, call);
    }
}

/* ---- callers ---- */

/* A caller that heard nothing asks another entry, with the same key. */
static void
on_silence(struct sim *sim, void *data)
{
    struct later *later = data;
    struct run *r = later->run;
    struct attempt *attempt = attempt_at(r, later->number);
    struct call *call = call_at(r, attempt->call);
    const struct sim_node *node = &sim->nodes[attempt->node];
    bool dead = !node->up || node->id != attempt->entry_start;

    if (!call->settled && !attempt->ended) {
        if (sim->now >= call->deadline + 1000) {
            r->out->lost++;
            settle(r, call);
        }
        else if (dead || (r->load->duplicates && call->attempts < 4)) {
            /* A connection to a process that is gone fails at once; another
             * caller only loses patience. */
            uint64_t id = attempt->call;

            call_later(r, GIVE_UP_MS, later->number, on_silence);
            send_call(r, id);
        }
        else {
            call_later(r, GIVE_UP_MS, later->number, on_silence);
        }
    }
    g_free(later);
}

/* Says whether an entry takes connections: it does from its first lease on;
 * a connection to one that does not fails at once. */
static bool
accepts(const struct run *r, int node)
{
    const struct sim_node *n = &r->sim->nodes[node];

    return n->up && n->entry->lease_deadline != 0;
}

/* Picks an entry from the fabric's list. */
static int
pick_entry(struct run *r)
{
    int start = (int)sim_random(r->sim, (uint64_t)r->load->entries);

    for (int i = 0; i < r->load->entries; i++) {
        int n = (start + i) % r->load->entries;

        if (r->listed[n] && accepts(r, sim_entry(r->sim, n))) {
            return n;
        }
    }
    return -1;
}

/* An attempt reaches its entry. */
static void
on_arrival(struct sim *sim, void *data)
{
    struct later *later = data;
    struct run *r = later->run;
    struct attempt *attempt = attempt_at(r, later->number);
    struct call *call = call_at(r, attempt->call);
    struct sim_node *node = &sim->nodes[attempt->node];
    struct request_spec spec = {.token = later->number,
                                .service = hash_name("save"),
                                .safe = call->safe,
                                .keyed = !call->safe,
                                .deadline = call->deadline,
                                .wall_deadline = SIM_WALL + call->deadline};

    if (node->up && sim->now < node->frozen_until) {
        sim_at(sim, node->frozen_until, on_arrival, later);
        return;
    }
    if (node->up) {
        attempt->entry_start = node->id;
        memcpy(spec.key, &call->id, sizeof(call->id));
        memcpy(spec.digest, &call->id, sizeof(call->id));
        spec.subject = hash_pair(HASH_KEY, call->id, 1);
        if (r->load->way == REQ_GATE) {
            entry_core_start_request(node->entry, sim->now,
                                     SIM_WALL + sim->now, &spec);
            sim_act(sim, attempt->node);
        }
        else {
            naive_dispatch(r, later->number);
        }
    }
    g_free(later);
}

/* A caller sends its request. */
static void
send_call(struct run *r, uint64_t id)
{
    struct call *call = call_at(r, id);
    int n = pick_entry(r);
    struct attempt attempt = {.call = id};
    uint64_t token;

    if (n < 0) {
        return;
    }
    call->attempts++;
    attempt.node = sim_entry(r->sim, n);
    attempt.entry_start = r->sim->nodes[attempt.node].id;
    g_array_append_val(r->attempts, attempt);
    token = r->attempts->len;
    call_later(r, r->load->caller_ms, token, on_arrival);
    call_later(r, GIVE_UP_MS, token, on_silence);
}

/* A new request. */
static void
new_call(struct run *r)
{
    struct call call = {.id = r->calls->len + 1,
                        .safe = sim_random(r->sim, 4) == 0,
                        .sent_at = r->sim->now,
                        .deadline = r->sim->now + DEADLINE_MS};

    g_array_append_val(r->calls, call);
    r->out->requests++;
    send_call(r, call.id);
    if (r->load->duplicates && sim_random(r->sim, 10) == 0) {
        send_call(r, call.id);
    }
}

/* ---- trouble ---- */

/* Starts an entry again, listed. */
static void
start_entry(struct run *r, int n)
{
    sim_start(r->sim, sim_entry(r->sim, n));
    r->listed[n] = true;
    r->stopping[n] = false;
}

/* Kills an entry; callers' connections fail at once. */
static void
kill_entry(struct run *r, int n)
{
    sim_kill(r->sim, sim_entry(r->sim, n));
    r->listed[n] = false;
}

/* Begins a planned stop. */
static void
stop_entry(struct run *r, int n)
{
    int node = sim_entry(r->sim, n);

    if (r->sim->nodes[node].up && !r->stopping[n]) {
        r->listed[n] = false;
        r->stopping[n] = true;
        entry_core_stop(r->sim->nodes[node].entry, r->sim->now);
    }
}

/* Ends planned stops that have cut nothing, and starts the entry again. */
static void
tick_stops(struct run *r)
{
    for (int n = 0; n < r->load->entries; n++) {
        int node = sim_entry(r->sim, n);

        if (r->stopping[n] && r->sim->nodes[node].up &&
            entry_core_may_exit(r->sim->nodes[node].entry, r->sim->now)) {
            entry_core_deregister(r->sim->nodes[node].entry, r->sim->now);
            sim_act(r->sim, node);
            sim_kill(r->sim, node);
            start_entry(r, n);
        }
    }
}

/* Changes the bundle: upstream 0 leaves; the last, unlisted so far, joins. */
static void
drain_and_join(struct run *r, uint64_t ms)
{
    int leader = sim_leader(r->sim);
    char states[UPSTREAMS_MAX + 1] = "";
    char *text;

    if (ms == 3000) {
        memset(states, 's', (size_t)r->load->upstreams);
        states[0] = 'l';
        text = sim_bundle(2, 1, states, NULL, (unsigned)r->load->slots, false);
        (void)sim_submit(r->sim, text, "drain", "ana", 0);
        g_free(text);
        r->upstreams[0].leaving = true;
    }
    if (leader >= 0 && r->sim->nodes[leader].core.state.has_pending) {
        (void)sim_sign_off(r->sim, 0);
    }
    if (leader >= 0 && r->upstreams[0].left_at == 0 &&
        r->upstreams[0].leaving &&
        r->sim->nodes[leader].core.state.current == 2 &&
        control_core_in_force(&r->sim->nodes[leader].core, NULL, 0)) {
        r->upstreams[0].left_at = r->sim->now;
    }
}

/* Lets the scene's trouble happen; `ms` counts from the warm-up. */
static void
trouble(struct run *r, uint64_t ms)
{
    int n = (int)(r->load->seed % (uint64_t)r->load->entries);
    int other = (n + 1) % r->load->entries;

    switch (r->load->trouble) {
    case REQ_CALM:
    case REQ_CUT_ANSWERS:
    case REQ_TROUBLES:
        return;
    case REQ_KILL_ENTRY:
        if (ms == 3000) {
            kill_entry(r, n);
        }
        if (ms == 9000) {
            start_entry(r, n);
        }
        return;
    case REQ_KILL_TWO:
        if (ms == 3000 || ms == 4000) {
            kill_entry(r, ms == 3000 ? n : other);
        }
        return;
    case REQ_FREEZE_ENTRY:
        if (ms == 3000) {
            sim_freeze(r->sim, sim_entry(r->sim, n), r->sim->now + 30000);
        }
        if (ms == 4000) {
            r->listed[n] = false;
        }
        return;
    case REQ_STOP_ENTRIES:
        if (ms % 2500 == 1000 && r->next_stop < r->load->entries) {
            stop_entry(r, r->next_stop++);
        }
        return;
    case REQ_CUT_ENTRY:
        if (ms == 3000 || ms == 13000) {
            for (int i = 0; i < r->sim->options.controls; i++) {
                sim_cut(r->sim, i, sim_entry(r->sim, n), ms == 3000);
                sim_cut(r->sim, sim_entry(r->sim, n), i, ms == 3000);
            }
        }
        return;
    case REQ_FREEZE_UPSTREAM:
        if (ms == 3000) {
            r->upstreams[1].frozen_until = r->sim->now + 10000;
        }
        return;
    case REQ_SHED_STORM:
        if (ms == 3000) {
            for (int i = 0; i < r->load->upstreams; i += 2) {
                r->upstreams[i].shed_until = r->sim->now + 5000;
            }
        }
        return;
    case REQ_DRAIN:
        if (ms % 50 == 0) {
            drain_and_join(r, ms);
        }
        return;
    case REQ_EPOCHS:
        if (ms % 1500 == 0) {
            int one = (int)sim_random(r->sim, (uint64_t)r->load->entries);

            if (r->sim->nodes[sim_entry(r->sim, one)].up) {
                kill_entry(r, one);
            }
            else {
                start_entry(r, one);
            }
        }
        return;
    }
}

/* Samples the busy slots; the imbalance is that of each second's mean. */
static void
sample_busy(struct run *r)
{
    unsigned max = 0;
    unsigned sum = 0;

    for (int i = 0; i < r->load->upstreams; i++) {
        r->busy_second[i] += r->upstreams[i].busy;
        max = MAX(max, r->busy_second[i]);
        sum += r->busy_second[i];
    }
    if (r->sim->now % 1000 < SAMPLE_MS && sum > 0) {
        r->busy_ratio_sum += (double)max * r->load->upstreams / sum;
        r->busy_samples++;
        memset(r->busy_second, 0, sizeof(r->busy_second));
    }
    if (r->sim->now % LOADS_AGE_MS < SAMPLE_MS) {
        for (int i = 0; i < r->load->upstreams; i++) {
            r->upstreams[i].reported = r->upstreams[i].busy;
        }
    }
}

/* Runs the load. */
static void
run_load(struct run *r)
{
    double per_ms =
        (double)(r->load->upstreams * r->load->slots) / r->load->service_ms;
    double due = 0;
    uint64_t end =
        r->load->length_ms + (r->load->overload > 0 ? 150000 : 8000);

    for (uint64_t ms = 0; ms < end; ms++) {
        bool over = ms >= 10000 && ms < 10000 + r->load->overload_ms;
        double rate = per_ms * (over ? r->load->overload : r->load->load);

        if (ms < r->load->length_ms) {
            due += rate;
            while (due >= exponential(r->sim, 1.0)) {
                new_call(r);
                due -= 1;
            }
        }
        r->measuring = r->load->overload <= 0 || over;
        trouble(r, ms);
        tick_stops(r);
        if (ms % SAMPLE_MS == 0 && ms < r->load->length_ms) {
            sample_busy(r);
        }
        sim_run(r->sim, r->sim->now + 1);
    }
}

/* Works the figures out. */
static void
finish(struct run *r)
{
    struct request_result *out = r->out;
    double seconds = r->load->length_ms / 1000.0;
    double capacity = r->load->upstreams * r->load->slots;
    double window =
        r->load->overload > 0 ? r->load->overload_ms : r->load->length_ms;

    median_sort((double *)(void *)r->waits->data, r->waits->len);
    if (r->waits->len > 0) {
        out->p50_ms = g_array_index(r->waits, double, r->waits->len / 2);
        out->p99_ms =
            g_array_index(r->waits, double, r->waits->len * 99 / 100);
    }
    out->goodput = r->work_ms / (capacity * window);
    out->busy_imbalance =
        r->busy_samples ? r->busy_ratio_sum / r->busy_samples : 0;
    for (int n = 0; n < r->load->entries; n++) {
        out->bytes_per_s =
            MAX(out->bytes_per_s,
                (double)r->sim->nodes[sim_entry(r->sim, n)].request_bytes /
                    seconds);
    }
    if (r->load->way == REQ_GATE) {
        out->retried =
            (unsigned)r->sim->counters.value[COUNTER_REQUESTS_RETRIED];
    }
    for (guint i = 0; i < r->calls->len; i++) {
        out->lost += !g_array_index(r->calls, struct call, i).settled;
    }
}

/* Runs one load. */
void
request_load_run(const struct request_load *load, struct request_result *out)
{
    struct run r = {.load = load, .out = out};
    char states[UPSTREAMS_MAX + 1] = "";
    char *text;
    struct sim_options options = {.controls = 3,
                                  .entries = load->entries,
                                  .halls = load->halls,
                                  .seed = load->seed,
                                  .delay_ms = load->delay_ms,
                                  .jitter_ms = 1,
                                  .loss = load->loss,
                                  .flow_capacity = 1024,
                                  .hooks = {.dispatched = on_dispatched,
                                            .answered = on_answered,
                                            .data = &r}};

    memset(out, 0, sizeof(*out));
    r.calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    r.attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt));
    r.waits = g_array_new(FALSE, FALSE, sizeof(double));
    r.sim = sim_new(&options);
    for (int n = 0; n < load->entries; n++) {
        r.listed[n] = true;
    }
    memset(states, 's', (size_t)load->upstreams);
    text = sim_bundle(1, 0, states, NULL, (unsigned)load->slots, false);
    sim_run(r.sim, r.sim->now + 2000);
    (void)sim_roll_out(r.sim, text, WARM_UP_MS);
    /* The epochs of the start must be out of the window. */
    sim_run(r.sim, r.sim->now + CLAIM_DEADLINE_MAX_MS + CLAIM_RETENTION_MS);
    g_free(text);
    run_load(&r);
    finish(&r);
    for (int i = 0; i < UPSTREAMS_MAX; i++) {
        g_queue_clear_full(&r.upstreams[i].queue, g_free);
    }
    g_array_free(r.calls, TRUE);
    g_array_free(r.attempts, TRUE);
    g_array_free(r.waits, TRUE);
    sim_free(r.sim);
}
