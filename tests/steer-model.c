/* Time, chance and the upstreams of the model by number. */
#include "steer-model.h"

#include "random.h"

/* A number from 0 to 1. */
double
model_draw(struct model *m)
{
    return (double)(random_next(&m->random) >> 11) / (double)(1ULL << 53);
}

/* Says whether an event comes before another one. */
static bool
is_before(const struct event *a, const struct event *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

/* Lets something happen later. */
void
model_plan(struct model *m, uint64_t at, enum event_kind kind, unsigned who,
           unsigned other, unsigned turn)
{
    struct event event = {at, m->orders++, kind, who, other, turn};
    struct event *heap;
    guint i = m->heap->len;

    g_array_append_val(m->heap, event);
    heap = (struct event *)(void *)m->heap->data;
    while (i > 0 && is_before(&event, &heap[(i - 1) / 2])) {
        heap[i] = heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap[i] = event;
}

/* Takes what happens next. */
struct event
model_next(struct model *m)
{
    struct event *heap = (struct event *)(void *)m->heap->data;
    struct event first = heap[0];
    guint count = m->heap->len - 1;
    struct event last = heap[count];
    guint i = 0;

    for (guint child = 1; child < count; child = 2 * i + 1) {
        if (child + 1 < count && is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (!is_before(&heap[child], &last)) {
            break;
        }
        heap[i] = heap[child];
        i = child;
    }
    heap[i] = last;
    g_array_set_size(m->heap, count);
    return first;
}

/* Says whether a packet is lost. */
bool
model_is_lost(struct model *m)
{
    return m->scene->loss > 0 &&
           random_next(&m->random) % 1000 < m->scene->loss;
}

/* An upstream by index. */
struct server *
model_server(const struct model *m, unsigned index)
{
    return g_ptr_array_index(m->servers, index);
}

/* Index of an upstream by id. */
unsigned
model_index_of(const struct model *m, uint64_t id)
{
    for (guint i = 0; i < m->servers->len; i++) {
        if (model_server(m, i)->id == id) {
            return i;
        }
    }
    return NONE;
}
