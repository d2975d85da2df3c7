/**
 * @file shortage.h
 * Detects, from the answers that one node sees, that a service is short of
 * capacity: within a second at least 3 answers, and at least one in ten,
 * failed or took longer than half of their target response time. Times are in
 * ms unless named otherwise.
 */
#ifndef RIDGERIDGE_SHORTAGE_H
#define RIDGERIDGE_SHORTAGE_H

#include <stdbool.h>
#include <stdint.h>

#define SHORTAGE_BUCKETS 10U    /**< of the last second */
#define SHORTAGE_BUCKET_MS 100U /**< duration of a bucket */
#define SHORTAGE_HOLD_MS                                                      \
    2000U                        /**< from the last second that met the       \
                                      condition to the end of the shortage */
#define SHORTAGE_MIN_ANSWERS 16U /**< required for the response time */

/** Answers of one bucket. */
struct shortage_bucket {
    uint32_t answers;
    uint32_t slow;       /**< of them: failed or slow */
    uint32_t measured;   /**< of them: counted in `latency_us` */
    uint64_t latency_us; /**< sum */
};

/** Shortage of one service; zero-initialized. */
struct shortage {
    struct shortage_bucket bucket[SHORTAGE_BUCKETS]; /**< by number modulo
                                                          SHORTAGE_BUCKETS */
    uint64_t number;          /**< of the latest bucket: time / duration */
    uint64_t active_until;    /**< deadline: the shortage ends */
    uint64_t unloaded_sum_us; /**< SHORTAGE_MIN_ANSWERS times the smoothed
                                   response time, once that many are known */
    uint32_t learned; /**< answers in it, SHORTAGE_MIN_ANSWERS at most */
};

/**
 * Records an answer of the service.
 * @param failed the upstream did not run the request
 * @param aim_ms target response time; 0: unknown, then only a failure counts
 */
void shortage_note_answer(struct shortage *s, uint64_t now,
                          uint32_t latency_us, bool failed, uint32_t aim_ms);

/** Whether the service is short of capacity. */
bool shortage_is_active(const struct shortage *s, uint64_t now);

/** Response time without queueing, 0: unknown. It follows with a delay of a
 * second and only from periods without shortage. */
uint32_t shortage_unloaded_us(const struct shortage *s);

#endif
