/* Load-balancing policies of the steering model, each as a measure of work. */
#include "steer-model.h"

#include "fault.h"
#include "random.h"

#define SNAPSHOT_MS 500U /* between refreshes of the shared counts */

static struct model *model; /* read by policy_work() */

const char *
steer_policy_name(enum steer_policy policy)
{
    static const char *const names[STEER_POLICIES] = {
        "today", "random", "turn",   "no-place",
        "two",   "wait",   "shared", "oracle"};

    return names[policy];
}

void
policy_take_snapshot(struct model *m)
{
    if (m->now < m->snapshot_at) {
        return;
    }
    m->snapshot_at = m->now + SNAPSHOT_MS;
    for (guint i = 0; i < m->servers->len; i++) {
        m->shared[i] = model_server(m, i)->open;
    }
}

/* Work of an upstream under the model's policy; the least is chosen. */
static uint64_t
policy_work(const struct evidence *ev, const struct upstream *u)
{
    unsigned s = model_index_of(model, u->id);
    const struct server *server = model_server(model, s);
    unsigned at = model->deciding_node * model->stride + s;
    bool is_candidate = s == model->candidates[0] || s == model->candidates[1];
    uint64_t own = (uint64_t)(u->busy + 1) * 8 + u->open;
    double latency = model->latency_ms[at];

    (void)ev;
    switch (model->policy) {
    case STEER_RANDOM:
        return random_next(&model->random) >> 1;
    case STEER_ROUND_ROBIN:
        return model->assigned[at];
    case STEER_TWO_CHOICES:
        return is_candidate ? own : UINT64_MAX / 2;
    case STEER_LATENCY:
        return (uint64_t)((double)own *
                          (latency > 0 ? latency : model->scenario->work_ms));
    case STEER_SHARED_COUNTS:
        return is_candidate ? model->shared[s] : UINT64_MAX / 2;
    case STEER_ORACLE:
        return !server->alive
                   ? UINT64_MAX / 2
                   : ((uint64_t)server->open +
                      8 * (server->running + server->backlog->len / 2)) *
                         (server_is_slow(model, server)
                              ? model->scenario->slow_times
                              : 1);
    case STEER_LEAST_WORK:
    case STEER_NO_RANK:
    case STEER_POLICIES:
        break;
    }
    return own;
}

void
policy_install(struct model *m)
{
    model = m;
    fault_work = m->policy == STEER_LEAST_WORK || m->policy == STEER_NO_RANK
                     ? NULL
                     : policy_work;
    fault_trials[FAULT_NO_RANK] |= m->policy == STEER_NO_RANK;
}

void
policy_remove(const struct model *m)
{
    fault_work = NULL;
    if (m->policy == STEER_NO_RANK) {
        fault_trials[FAULT_NO_RANK] = false;
    }
    model = NULL;
}
