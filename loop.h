/**
 * @file loop.h
 * Event loop of a process, on libev. One thread owns all state; other threads
 * post callbacks to it. Also the source of time for modules that do no I/O.
 */
#ifndef RIDGERIDGE_LOOP_H
#define RIDGERIDGE_LOOP_H

#include <stdbool.h>
#include <stdint.h>

/** A callback on the loop's thread. */
typedef void (*loop_work)(void *data);

/** Monotonic clock in ms; counts suspended time. */
uint64_t loop_now(void);

/** The same clock in us. */
uint64_t loop_now_us(void);

/** Wall clock, ms since 1970. */
uint64_t loop_wall(void);

/** Sets up the loop; `tick` is called every `tick_ms`. */
void loop_open(loop_work tick, void *data, uint64_t tick_ms);

/** Sets up the loop; `tick` is called only at times set by loop_wake_at(). */
void loop_open_idle(loop_work tick, void *data);

/** Schedules one tick at a time of loop_now(); replaces the one scheduled. */
void loop_wake_at(uint64_t at);

/** A one-shot timer, independent of the tick. */
struct loop_timer;

/** Creates an unarmed timer, which is never freed. */
struct loop_timer *loop_timer_new(loop_work work, void *data);

/** Arms a timer for a time of loop_now_us(); replaces the time set before. */
void loop_timer_set(struct loop_timer *timer, uint64_t at_us);

/**
 * Calls `work` before any other callback after a stall of the process. A stall
 * is a delay of more than `stall_ms` of the loop's wake-up after the time of
 * loop_wake_at(), or of a callback after the previous one started.
 */
void loop_on_stall(loop_work work, void *data, uint64_t stall_ms);

/** Queues `work` for the loop's thread. Thread-safe. */
void loop_post(loop_work work, void *data);

/** Runs `work` on the loop's thread and waits for it; must not be called on
 * that thread. */
void loop_call(loop_work work, void *data);

/** Calls `work` when `fd` is readable. */
void loop_watch(int fd, loop_work work, void *data);

/** Calls `work` on the loop's thread after a signal. */
void loop_signal(int number, loop_work work, void *data);

/** Runs until loop_stop(). */
void loop_run(void);

void loop_stop(void);

#endif
