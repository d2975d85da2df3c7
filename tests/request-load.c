/**
 * @file request-load.c
 * Open-loop request load over the simulated cluster: callers that retry,
 * entries that fail, and upstreams with a limited number of slots.
 */
#include "median.h"
#include "request-load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"

#define WARM_UP_MS 6000
#define DEADLINE_MS 5000
#define CALLER_TIMEOUT_MS 1500 /* then the caller tries another entry */
#define UPSTREAMS_MAX 32
#define REPORT_INTERVAL_MS 10000
#define SAMPLE_MS 20

/* A request of a caller; all its attempts share the idempotency key. */
struct caller_request {
    uint64_t id; /* from 1; also its key */
    bool safe;
    uint64_t sent_at;
    uint64_t deadline;
    unsigned runs; /* executions at upstreams, started */
    unsigned running;
    bool settled; /* answered, refused, unknown or lost */
    bool retried_after_refusal;
    unsigned attempts;
    double service_ms;
};

/* A request as sent to one entry. */
struct attempt {
    uint64_t request;
    int node;
    uint64_t entry_start; /* the entry's id, new at each start */
    bool refused;
    bool ended;
    int upstream_attempts; /* without a gate */
};

struct upstream {
    unsigned busy;     /* slots */
    unsigned reported; /* busy at the last report */
    GQueue queue;      /* struct execution, without a gate */
    uint64_t frozen_until, shed_until;
    bool leaving;
    uint64_t left_at;
};

/* An attempt at an upstream. */
struct execution {
    struct run *run;
    uint64_t attempt;
    int upstream;
    int node;
    uint64_t entry_start;
    bool truncated;
    bool cancelled;
};

struct run {
    const struct request_load *load;
    struct request_result *out;
    struct sim *sim;
    GArray *requests; /* struct caller_request */
    GArray *attempts; /* struct attempt */
    GArray *waits;    /* double: ms, without service time */
    struct upstream upstreams[UPSTREAMS_MAX];
    unsigned outstanding[SIM_ENTRIES_MAX][UPSTREAMS_MAX];
    bool listed[SIM_ENTRIES_MAX];
    bool stopping[SIM_ENTRIES_MAX];
    double busy_ratio_sum;
    unsigned busy_samples;
    unsigned busy_second[UPSTREAMS_MAX]; /* sums over a second */
    double work_ms;                      /* of answered requests */
    int next_stop;
    bool measuring;
};

const char *
request_load_policy_name(enum request_policy policy)
{
    static const char *const names[REQ_POLICIES] = {"gate", "naive", "random",
                                                    "two-choice"};

    return names[policy];
}

const char *
request_load_fault_name(enum request_fault fault)
{
    static const char *const names[REQ_FAULTS] = {
        "calm",         "kill-entry", "kill-two",  "freeze-entry",
        "stop-entries", "cut-entry",  "freeze-up", "shed-storm",
        "cut-answers",  "drain+join", "epochs"};

    return names[fault];
}

static struct caller_request *
caller_request_at(const struct run *r, uint64_t id)
{
    return &g_array_index(r->requests, struct caller_request, id - 1);
}

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

static void send_request(struct run *r, uint64_t id);

/* Argument of a scheduled callback. */
struct deferred {
    struct run *run;
    uint64_t number; /* id of a request or an attempt */
};

static void
schedule(struct run *r, uint64_t ms, uint64_t number,
         void (*callback)(struct sim *sim, void *data))
{
    struct deferred *deferred = g_new(struct deferred, 1);

    deferred->run = r;
    deferred->number = number;
    sim_schedule(r->sim, r->sim->now + ms, callback, deferred);
}

static void
settle(struct run *r, struct caller_request *request)
{
    (void)r;
    request->settled = true;
}

/* A caller retries a refused request after its Retry-After. */
static void
on_retry_after(struct sim *sim, void *data)
{
    struct deferred *deferred = data;
    struct caller_request *request =
        caller_request_at(deferred->run, deferred->number);

    request->deadline = sim->now + DEADLINE_MS;
    request->sent_at = sim->now;
    request->retried_after_refusal = true;
    deferred->run->out->returned++;
    send_request(deferred->run, deferred->number);
    g_free(deferred);
}

/* A caller received a complete response. */
static void
receive_response(struct run *r, struct caller_request *request,
                 const char *body)
{
    char own[32];

    (void)snprintf(own, sizeof(own), "%llu", (unsigned long long)request->id);
    if (strcmp(body, own) != 0) {
        r->out->wrong++;
    }
    if (request->settled) {
        return;
    }
    settle(r, request);
    r->out->answered++;
    r->out->returned_ok += request->retried_after_refusal;
    if (r->measuring) {
        double wait =
            (double)(r->sim->now - request->sent_at) - request->service_ms;

        g_array_append_val(r->waits, wait);
        r->work_ms += request->service_ms;
    }
}

static void
receive_refusal(struct run *r, struct caller_request *request,
                struct attempt *attempt, uint32_t retry_ms)
{
    attempt->refused = true;
    if (request->runs > 0 && !request->safe) {
        r->out->false_not_run++;
    }
    if (request->settled) {
        return;
    }
    r->out->not_run++;
    if (!request->retried_after_refusal && retry_ms > 0 &&
        r->load->overload > 0) {
        schedule(r, retry_ms, request->id, on_retry_after);
        return;
    }
    settle(r, request);
}

/* The entry responded to an attempt. */
static void
on_respond(void *data, int node, const struct entry_action *action)
{
    struct run *r = data;
    struct attempt *attempt = attempt_at(r, action->token);
    struct caller_request *request = caller_request_at(r, attempt->request);
    char body[64] = "";

    (void)node;
    attempt->ended = true;
    if (action->rule == RULE_NO_LEASE && request->attempts < 8) {
        /* A real entry forwards the request to a peer. */
        send_request(r, attempt->request);
        return;
    }
    if (action->outcome.kind != WIRE_OUTCOME_ANSWERED && !request->settled) {
        r->out->rules[action->rule]++;
    }
    switch (action->outcome.kind) {
    case WIRE_OUTCOME_ANSWERED:
        memcpy(body, action->outcome.body.body_val,
               MIN(action->outcome.body.body_len, sizeof(body) - 1));
        receive_response(r, request, body);
        return;
    case WIRE_OUTCOME_NOT_RUN:
        receive_refusal(r, request, attempt, action->outcome.retry_ms);
        return;
    case WIRE_OUTCOME_UNKNOWN:
        if (!request->settled) {
            r->out->unknown++;
            settle(r, request);
        }
        return;
    }
}

/* Reports the result of an execution to the entry that dispatched it, unless
 * the entry has restarted. */
static void
notify_coordinator(struct run *r, struct execution *e, enum gate_result result)
{
    struct sim_node *node = &r->sim->nodes[e->node];
    const struct attempt *attempt = attempt_at(r, e->attempt);
    char body[32];
    struct request_response reply = {.status = 200, .body = body};

    if (!node->up || node->id != e->entry_start) {
        return;
    }
    (void)snprintf(body, sizeof(body), "%llu",
                   (unsigned long long)attempt->request);
    reply.length = strlen(body);
    entry_core_handle_response(node->entry, r->sim->now,
                               SIM_WALL + r->sim->now, e->attempt, result,
                               &reply);
    sim_run_actions(r->sim, e->node);
}

static void end_without_gate(struct run *r, struct execution *e,
                             enum gate_result result);
static void run_request(struct run *r, struct execution *e);

/* An upstream finished an execution. A frozen upstream or entry delays it. */
static void
on_execution_end(struct sim *sim, void *data)
{
    struct execution *e = data;
    struct run *r = e->run;
    struct upstream *u = &r->upstreams[e->upstream];
    enum gate_result result = e->truncated ? GATE_FAILED : GATE_ANSWERED;

    if (sim->now < u->frozen_until) {
        sim_schedule(sim, u->frozen_until, on_execution_end, e);
        return;
    }
    if (sim->now < sim->nodes[e->node].frozen_until) {
        sim_schedule(sim, sim->nodes[e->node].frozen_until, on_execution_end,
                     e);
        return;
    }
    u->busy--;
    caller_request_at(r, attempt_at(r, e->attempt)->request)->running--;
    if (u->queue.length > 0) {
        run_request(r, g_queue_pop_head(&u->queue));
    }
    if (r->load->policy == REQ_GATE) {
        notify_coordinator(r, e, result);
    }
    else {
        end_without_gate(r, e, result);
    }
    g_free(e);
}

/* The rejection by an upstream reached the entry. */
static void
on_execution_shed(struct sim *sim, void *data)
{
    struct execution *e = data;

    (void)sim;
    if (e->run->load->policy == REQ_GATE) {
        notify_coordinator(e->run, e, GATE_SHED);
    }
    else {
        end_without_gate(e->run, e, GATE_SHED);
    }
    g_free(e);
}

/* Starts an execution in a slot of its upstream. */
static void
run_request(struct run *r, struct execution *e)
{
    struct upstream *u = &r->upstreams[e->upstream];
    struct attempt *attempt = attempt_at(r, e->attempt);
    struct caller_request *request = caller_request_at(r, attempt->request);

    u->busy++;
    request->runs++;
    request->running++;
    if (request->runs > 1 && !request->safe) {
        r->out->run_twice += request->runs == 2;
    }
    if (attempt->refused && !request->safe) {
        r->out->run_after_refusal++;
    }
    if (u->leaving && u->left_at != 0 && r->sim->now > u->left_at + 3000) {
        r->out->late_at_leaving++;
    }
    request->service_ms = exponential(r->sim, r->load->service_ms);
    e->truncated = r->load->fault == REQ_TRUNCATE_RESPONSES &&
                   sim_random(r->sim, 20) == 0;
    sim_schedule(r->sim,
                 r->sim->now + 2 * r->load->delay_ms +
                     (uint64_t)request->service_ms + 1,
                 on_execution_end, e);
}

/* Sends an attempt to an upstream, which runs it, sheds it, or queues it with
 * the policies that never retry. */
static void
send_to_upstream(struct run *r, uint64_t token, int node, int upstream)
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
    else if (r->load->policy == REQ_RANDOM ||
             r->load->policy == REQ_TWO_CHOICE) {
        g_queue_push_tail(&u->queue, e);
    }
    else {
        sim_schedule(r->sim, r->sim->now + 2 * r->load->delay_ms + 1,
                     on_execution_shed, e);
    }
}

/* Upstreams ignore aborts: an execution runs to its end. */
static void
on_dispatched(void *data, int node, const struct entry_action *action)
{
    struct run *r = data;

    if (action->kind == ENTRY_DISPATCH) {
        send_to_upstream(r, action->token, node,
                         (int)(action->address & 0xff) - 1);
    }
}

/* ---- policies without a gate ---- */
static int
choose_upstream(struct run *r, int n)
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
    if (r->load->policy == REQ_TWO_CHOICE &&
        r->outstanding[n][b] * 11 + r->upstreams[b].reported <
            r->outstanding[n][a] * 11 + r->upstreams[a].reported) {
        return b;
    }
    return a;
}

static void
dispatch_without_gate(struct run *r, uint64_t token)
{
    struct attempt *attempt = attempt_at(r, token);
    int n = attempt->node - r->sim->options.controls;
    int upstream = choose_upstream(r, n);

    attempt->upstream_attempts++;
    r->outstanding[n][upstream]++;
    send_to_upstream(r, token, attempt->node, upstream);
}

/* An execution ended: responds to the caller, or retries. */
static void
end_without_gate(struct run *r, struct execution *e, enum gate_result result)
{
    struct attempt *attempt = attempt_at(r, e->attempt);
    struct caller_request *request = caller_request_at(r, attempt->request);
    struct sim_node *node = &r->sim->nodes[e->node];
    char body[32];

    r->outstanding[e->node - r->sim->options.controls][e->upstream]--;
    if (!node->up || node->id != e->entry_start || attempt->ended) {
        return;
    }
    if (result == GATE_ANSWERED) {
        attempt->ended = true;
        (void)snprintf(body, sizeof(body), "%llu",
                       (unsigned long long)attempt->request);
        receive_response(r, request, body);
        return;
    }
    if (r->load->policy == REQ_NAIVE && attempt->upstream_attempts < 4) {
        r->out->retried++;
        dispatch_without_gate(r, e->attempt);
        return;
    }
    attempt->ended = true;
    if (result == GATE_SHED) {
        receive_refusal(r, request, attempt, 1000);
    }
    else if (!request->settled) {
        r->out->unknown++;
        settle(r, request);
    }
}

/* ---- callers ---- */

/* A caller without a response retries at another entry with the same key. */
static void
on_timeout(struct sim *sim, void *data)
{
    struct deferred *deferred = data;
    struct run *r = deferred->run;
    struct attempt *attempt = attempt_at(r, deferred->number);
    struct caller_request *request = caller_request_at(r, attempt->request);
    const struct sim_node *node = &sim->nodes[attempt->node];
    bool dead = !node->up || node->id != attempt->entry_start;

    if (!request->settled && !attempt->ended) {
        if (sim->now >= request->deadline + 1000) {
            r->out->lost++;
            settle(r, request);
        }
        else if (dead || (r->load->duplicates && request->attempts < 4)) {
            /* The connection to a dead process was reset; with duplicates a
             * caller also retries while its first attempt is pending. */
            uint64_t id = attempt->request;

            schedule(r, CALLER_TIMEOUT_MS, deferred->number, on_timeout);
            send_request(r, id);
        }
        else {
            schedule(r, CALLER_TIMEOUT_MS, deferred->number, on_timeout);
        }
    }
    g_free(deferred);
}

/* An entry listens from its first lease on. */
static bool
accepts_connections(const struct run *r, int node)
{
    const struct sim_node *n = &r->sim->nodes[node];

    return n->up && n->entry->lease_deadline != 0;
}

/* Returns a random entry that the fabric lists, -1 when there is none. */
static int
pick_entry(struct run *r)
{
    int start = (int)sim_random(r->sim, (uint64_t)r->load->entries);

    for (int i = 0; i < r->load->entries; i++) {
        int n = (start + i) % r->load->entries;

        if (r->listed[n] && accepts_connections(r, sim_entry(r->sim, n))) {
            return n;
        }
    }
    return -1;
}

/* An attempt reached its entry. */
static void
on_arrival(struct sim *sim, void *data)
{
    struct deferred *deferred = data;
    struct run *r = deferred->run;
    struct attempt *attempt = attempt_at(r, deferred->number);
    struct caller_request *request = caller_request_at(r, attempt->request);
    struct sim_node *node = &sim->nodes[attempt->node];
    struct request_spec spec = {.token = deferred->number,
                                .service = hash_name("save"),
                                .safe = request->safe,
                                .keyed = !request->safe,
                                .deadline = request->deadline,
                                .wall_deadline = SIM_WALL + request->deadline};

    if (node->up && sim->now < node->frozen_until) {
        sim_schedule(sim, node->frozen_until, on_arrival, deferred);
        return;
    }
    if (node->up) {
        attempt->entry_start = node->id;
        memcpy(spec.key, &request->id, sizeof(request->id));
        memcpy(spec.digest, &request->id, sizeof(request->id));
        spec.subject = hash_pair(HASH_KEY, request->id, 1);
        if (r->load->policy == REQ_GATE) {
            entry_core_start_request(node->entry, sim->now,
                                     SIM_WALL + sim->now, &spec);
            sim_run_actions(sim, attempt->node);
        }
        else {
            dispatch_without_gate(r, deferred->number);
        }
    }
    g_free(deferred);
}

/* Sends a request to an entry. */
static void
send_request(struct run *r, uint64_t id)
{
    struct caller_request *request = caller_request_at(r, id);
    int n = pick_entry(r);
    struct attempt attempt = {.request = id};
    uint64_t token;

    if (n < 0) {
        return;
    }
    request->attempts++;
    attempt.node = sim_entry(r->sim, n);
    attempt.entry_start = r->sim->nodes[attempt.node].id;
    g_array_append_val(r->attempts, attempt);
    token = r->attempts->len;
    schedule(r, r->load->caller_ms, token, on_arrival);
    schedule(r, CALLER_TIMEOUT_MS, token, on_timeout);
}

static void
open_request(struct run *r)
{
    struct caller_request request = {.id = r->requests->len + 1,
                                     .safe = sim_random(r->sim, 4) == 0,
                                     .sent_at = r->sim->now,
                                     .deadline = r->sim->now + DEADLINE_MS};

    g_array_append_val(r->requests, request);
    r->out->requests++;
    send_request(r, request.id);
    if (r->load->duplicates && sim_random(r->sim, 10) == 0) {
        send_request(r, request.id);
    }
}

/* ---- fault injection ---- */

static void
start_entry(struct run *r, int n)
{
    sim_start(r->sim, sim_entry(r->sim, n));
    r->listed[n] = true;
    r->stopping[n] = false;
}

static void
kill_entry(struct run *r, int n)
{
    sim_kill(r->sim, sim_entry(r->sim, n));
    r->listed[n] = false;
}

/* Starts a planned stop. */
static void
begin_stop(struct run *r, int n)
{
    int node = sim_entry(r->sim, n);

    if (r->sim->nodes[node].up && !r->stopping[n]) {
        r->listed[n] = false;
        r->stopping[n] = true;
        entry_core_stop(r->sim->nodes[node].entry, r->sim->now);
    }
}

/* Restarts entries whose planned stop is complete. */
static void
finish_stops(struct run *r)
{
    for (int n = 0; n < r->load->entries; n++) {
        int node = sim_entry(r->sim, n);

        if (r->stopping[n] && r->sim->nodes[node].up &&
            entry_core_may_exit(r->sim->nodes[node].entry, r->sim->now)) {
            entry_core_deregister(r->sim->nodes[node].entry, r->sim->now);
            sim_run_actions(r->sim, node);
            sim_kill(r->sim, node);
            start_entry(r, n);
        }
    }
}

/* Submits a bundle in which upstream 0 is leaving, signs it off, and records
 * when it came into force. */
static void
drain_upstream(struct run *r, uint64_t ms)
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

/* Injects the load's fault; `ms` counts from the end of the warmup. */
static void
inject_fault(struct run *r, uint64_t ms)
{
    int n = (int)(r->load->seed % (uint64_t)r->load->entries);
    int other = (n + 1) % r->load->entries;

    switch (r->load->fault) {
    case REQ_NO_FAULT:
    case REQ_TRUNCATE_RESPONSES:
    case REQ_FAULTS:
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
            begin_stop(r, r->next_stop++);
        }
        return;
    case REQ_PARTITION_ENTRY:
        if (ms == 3000 || ms == 13000) {
            for (int i = 0; i < r->sim->options.controls; i++) {
                sim_set_link_down(r->sim, i, sim_entry(r->sim, n), ms == 3000);
                sim_set_link_down(r->sim, sim_entry(r->sim, n), i, ms == 3000);
            }
        }
        return;
    case REQ_FREEZE_UPSTREAM:
        if (ms == 3000) {
            r->upstreams[1].frozen_until = r->sim->now + 10000;
        }
        return;
    case REQ_SHED_UPSTREAMS:
        if (ms == 3000) {
            for (int i = 0; i < r->load->upstreams; i += 2) {
                r->upstreams[i].shed_until = r->sim->now + 5000;
            }
        }
        return;
    case REQ_DRAIN:
        if (ms % 50 == 0) {
            drain_upstream(r, ms);
        }
        return;
    case REQ_ENTRY_CHURN:
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

/* Samples busy slots. The imbalance is max / mean of their sums per second. */
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
    if (r->sim->now % REPORT_INTERVAL_MS < SAMPLE_MS) {
        for (int i = 0; i < r->load->upstreams; i++) {
            r->upstreams[i].reported = r->upstreams[i].busy;
        }
    }
}

static void
run_load(struct run *r)
{
    double per_ms =
        (double)(r->load->upstreams * r->load->slots) / r->load->service_ms;
    double due = 0;
    uint64_t end =
        r->load->length_ms + (r->load->overload > 0 ? 150000 : 8000);

    for (uint64_t ms = 0; ms < end; ms++) {
        bool overloaded = ms >= 10000 && ms < 10000 + r->load->overload_ms;
        double rate =
            per_ms * (overloaded ? r->load->overload : r->load->load);

        if (ms < r->load->length_ms) {
            due += rate;
            while (due >= exponential(r->sim, 1.0)) {
                open_request(r);
                due -= 1;
            }
        }
        r->measuring = r->load->overload <= 0 || overloaded;
        inject_fault(r, ms);
        finish_stops(r);
        if (ms % SAMPLE_MS == 0 && ms < r->load->length_ms) {
            sample_busy(r);
        }
        sim_run(r->sim, r->sim->now + 1);
    }
}

static void
compute_result(struct run *r)
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
    if (r->load->policy == REQ_GATE) {
        out->retried =
            (unsigned)r->sim->counters.value[COUNTER_REQUESTS_RETRIED];
    }
    for (guint i = 0; i < r->requests->len; i++) {
        out->lost +=
            !g_array_index(r->requests, struct caller_request, i).settled;
    }
}

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
                                            .answered = on_respond,
                                            .data = &r}};

    memset(out, 0, sizeof(*out));
    r.requests = g_array_new(FALSE, FALSE, sizeof(struct caller_request));
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
    /* Claims must not wait for the epochs of the cluster's start. */
    sim_run(r.sim, r.sim->now + CLAIM_DEADLINE_MAX_MS + CLAIM_RETENTION_MS);
    g_free(text);
    run_load(&r);
    compute_result(&r);
    for (int i = 0; i < UPSTREAMS_MAX; i++) {
        g_queue_clear_full(&r.upstreams[i].queue, g_free);
    }
    g_array_free(r.requests, TRUE);
    g_array_free(r.attempts, TRUE);
    g_array_free(r.waits, TRUE);
    sim_free(r.sim);
}
