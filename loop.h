/**
 * @file loop.h
 * The event loop of a process (libev): one thread owns all state; others
 * post work to it. Owns the watchers and the queue of posted work, knows
 * nothing of what the work is. Time for cores comes from here.
 */
#ifndef RIDGERIDGE_LOOP_H
#define RIDGERIDGE_LOOP_H

#include <stdbool.h>
#include <stdint.h>

/** Work done on the loop's thread. */
typedef void (*loop_work)(void *data);

/** Monotonic milliseconds. */
uint64_t loop_now(void);

/** Monotonic microseconds, for durations. */
uint64_t loop_now_us(void);

/** Wall clock, ms since 1970. */
uint64_t loop_wall(void);

/** Starts the loop's tables; `tick` is called every `tick_ms`. */
void loop_open(loop_work tick, void *data, uint64_t tick_ms);

/** The same, but `tick` is called only when loop_wake_at() says so. */
void loop_open_idle(loop_work tick, void *data);

/** Calls the tick at a time of loop_now(), once; replaces an earlier one. */
void loop_wake_at(uint64_t at);

/** A timer of its own, which says nothing of when the tick is due. */
struct loop_timer;

/** Makes one that is not set; it is kept until the process ends. */
struct loop_timer *loop_timer_new(loop_work work, void *data);

/** Lets it call its work at a time of loop_now_us(), once; replaces an earlier
 * one. */
void loop_timer_set(struct loop_timer *timer, uint64_t at_us);

/**
 * Calls `work` before anything else when the process stood still for more than
 * `late_ms`: the loop woke up so long after the time of loop_wake_at(), or so
 * long after a handler began, the next one was to.
 */
void loop_on_late(loop_work work, void *data, uint64_t late_ms);

/** Calls `work` on the loop's thread, soon. From any thread. */
void loop_post(loop_work work, void *data);

/** Calls `work` on the loop's thread and waits until it returned. */
void loop_call(loop_work work, void *data);

/** Calls `work` when a descriptor can be read. */
void loop_watch(int fd, loop_work work, void *data);

/** Calls `work` on a signal. */
void loop_signal(int number, loop_work work, void *data);

/** Runs until loop_stop(). */
void loop_run(void);

/** Ends loop_run(). */
void loop_stop(void);

#endif
