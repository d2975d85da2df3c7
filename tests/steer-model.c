/* Event queue, random draws and lookups of the steering model. */
#include "steer-model.h"

#include "random.h"

double
model_uniform(struct model *m)
{
    return (double)(random_next(&m->random) >> 11) / (double)(1ULL << 53);
}

static bool
is_before(const struct event *a, const struct event *b)
{
    return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

/* Adds an event to the heap. */
void
model_schedule(struct model *m, uint64_t at, enum event_kind kind,
               unsigned target, unsigned argument, unsigned generation)
{
    struct event event = {at,     m->event_count++, kind,
                          target, argument,         generation};
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

/* Removes the earliest event from the heap. */
struct event
model_next_event(struct model *m)
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

bool
model_packet_is_lost(struct model *m)
{
    return m->scenario->loss > 0 &&
           random_next(&m->random) % 1000 < m->scenario->loss;
}

struct server *
model_server(const struct model *m, unsigned index)
{
    return g_ptr_array_index(m->servers, index);
}

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
