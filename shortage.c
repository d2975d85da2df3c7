/* Sliding window of answers, and the response time without queueing. */
#include "shortage.h"

#include <glib.h>
#include <string.h>

#include "fault.h"

#define SLOW_MIN 3U    /* fewer say nothing about the service */
#define SLOW_SHARE 10U /* one in this many answers */
/* Bounds the effect of one bucket on the smoothed response time to a quarter:
 * at high rates a single burst would otherwise replace it. */
#define BUCKET_WEIGHT_MAX 4U

static bool
is_met(const struct shortage *s)
{
    uint64_t answers = 0;
    uint64_t slow = 0;

    for (unsigned i = 0; i < SHORTAGE_BUCKETS; i++) {
        answers += s->bucket[i].answers;
        slow += s->bucket[i].slow;
    }
    return slow >= SLOW_MIN && slow * SLOW_SHARE >= answers;
}

/* Adds the mean of a bucket to the smoothed response time. */
static void
learn_bucket(struct shortage *s, const struct shortage_bucket *b)
{
    uint64_t weight = MIN(b->measured, BUCKET_WEIGHT_MAX);

    if (weight == 0) {
        return;
    }
    s->unloaded_sum_us -= s->unloaded_sum_us / SHORTAGE_MIN_ANSWERS * weight;
    s->unloaded_sum_us += b->latency_us / b->measured * weight;
}

/* Starts the next bucket in place of the oldest one. Answers are learned from
 * only now: those of the last second may belong to a shortage that is not
 * detected yet. */
static void
start_bucket(struct shortage *s)
{
    struct shortage_bucket *oldest;
    uint64_t now = ++s->number * SHORTAGE_BUCKET_MS;

    oldest = &s->bucket[s->number % SHORTAGE_BUCKETS];
    if (now >= s->active_until) {
        learn_bucket(s, oldest);
    }
    memset(oldest, 0, sizeof(*oldest));
    if (is_met(s)) {
        s->active_until = now + SHORTAGE_HOLD_MS;
    }
}

/* Moves the window; without effect when time stands still or steps back. */
static void
advance(struct shortage *s, uint64_t now)
{
    uint64_t number = now / SHORTAGE_BUCKET_MS;

    for (unsigned i = 0; i < SHORTAGE_BUCKETS && s->number < number; i++) {
        start_bucket(s);
    }
    s->number = MAX(s->number, number);
}

/* Records a response time. The first ones count at once, so that a new
 * service has a value early. */
static void
note_latency(struct shortage *s, struct shortage_bucket *b,
             uint32_t latency_us)
{
    if (s->learned < SHORTAGE_MIN_ANSWERS) {
        s->learned++;
        s->unloaded_sum_us += latency_us;
        return;
    }
    b->measured++;
    b->latency_us += latency_us;
}

void
shortage_note_answer(struct shortage *s, uint64_t now, uint32_t latency_us,
                     bool failed, uint32_t aim_ms)
{
    struct shortage_bucket *b;
    bool slow = aim_ms != 0 && latency_us > (uint64_t)aim_ms * 500;

    advance(s, now);
    b = &s->bucket[s->number % SHORTAGE_BUCKETS];
    b->answers++;
    b->slow += failed || slow;
    if (is_met(s)) {
        s->active_until = MAX(s->active_until, now + SHORTAGE_HOLD_MS);
    }
    if (!failed && now >= s->active_until) {
        note_latency(s, b, latency_us);
    }
}

bool
shortage_is_active(const struct shortage *s, uint64_t now)
{
    struct shortage at = *s;

    if (fault_is(FAULT_NO_SHORTAGE)) {
        return false;
    }
    advance(&at, now);
    return now < at.active_until;
}

uint32_t
shortage_unloaded_us(const struct shortage *s)
{
    return s->learned < SHORTAGE_MIN_ANSWERS
               ? 0
               : (uint32_t)(s->unloaded_sum_us / SHORTAGE_MIN_ANSWERS);
}
