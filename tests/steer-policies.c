/* The ways of choosing that are compared: what each takes for work. */
#include "steer-model.h"

#include "fault.h"
#include "random.h"

#define SNAPSHOT_MS 500U /* age of shared counts */

static struct model *model; /* that fault_work() looks at */

/* Name of a way. */
const char *
steer_way_name(enum steer_way way)
{
    static const char *const names[STEER_WAYS] = {"today",    "random", "turn",
                                                  "no-place", "two",    "wait",
                                                  "shared",   "oracle"};

    return names[way];
}

/* Takes shared counts, when they are due. */
void
way_take_snapshot(struct model *m)
{
    if (m->now < m->snapshot_at) {
        return;
    }
    m->snapshot_at = m->now + SNAPSHOT_MS;
    for (guint i = 0; i < m->servers->len; i++) {
        m->shared[i] = model_server(m, i)->open;
    }
}

/* Work as one of the ways sees it. */
static uint64_t
trial_work(const struct evidence *ev, const struct upstream *u)
{
    unsigned s = model_index_of(model, u->id);
    const struct server *server = model_server(model, s);
    unsigned at = model->asking * model->stride + s;
    bool is_drawn = s == model->drawn[0] || s == model->drawn[1];
    uint64_t own = (uint64_t)(u->busy + 1) * 8 + u->open;
    double took = model->took[at];

    (void)ev;
    switch (model->way) {
    case STEER_RANDOM:
        return random_next(&model->random) >> 1;
    case STEER_TURN:
        return model->placed[at];
    case STEER_TWO:
        return is_drawn ? own : UINT64_MAX / 2;
    case STEER_WAIT:
        return (uint64_t)((double)own *
                          (took > 0 ? took : model->scene->work_ms));
    case STEER_SHARED:
        return is_drawn ? model->shared[s] : UINT64_MAX / 2;
    case STEER_ORACLE:
        return !server->alive
                   ? UINT64_MAX / 2
                   : ((uint64_t)server->open +
                      8 * (server->running + server->waiting->len / 2)) *
                         (server_is_slow(model, server)
                              ? model->scene->slow_times
                              : 1);
    case STEER_TODAY:
    case STEER_NO_PLACE:
    case STEER_WAYS:
        break;
    }
    return own;
}

/* Makes nodes choose by the way of a model. */
void
way_begin(struct model *m)
{
    model = m;
    fault_work =
        m->way == STEER_TODAY || m->way == STEER_NO_PLACE ? NULL : trial_work;
    fault_trials[FAULT_NO_RANK] |= m->way == STEER_NO_PLACE;
}

/* Lets them choose as the program does. */
void
way_end(const struct model *m)
{
    fault_work = NULL;
    if (m->way == STEER_NO_PLACE) {
        fault_trials[FAULT_NO_RANK] = false;
    }
    model = NULL;
}
