/* Event loop on libev, and the queue of posted work. */
#include "loop.h"

#include <ev.h>
#include <glib.h>
#include <time.h>

/* Posted work. */
struct job {
    loop_work work;
    void *data;
    bool synchronous; /* owned by loop_call(), which waits for `done` */
    bool done;
};

/* A watcher of a descriptor or a signal. */
struct watch {
    ev_io io;
    ev_signal signal;
    loop_work work;
    void *data;
};

struct loop_timer {
    ev_timer timer;
    loop_work work;
    void *data;
};

static struct {
    struct ev_loop *loop;
    ev_async wake;
    ev_timer timer;
    ev_check check;
    ev_prepare prepare;
    uint64_t wake_at; /* time of the tick, UINT64_MAX: none */
    uint64_t due_at;  /* latest expected time of the next callback */
    uint64_t stall_ms;
    loop_work on_stall;
    void *on_stall_data;
    loop_work tick;
    void *tick_data;
    GMutex lock;
    GCond done;
    GQueue jobs;
} loop_state;

static uint64_t
clock_ms(clockid_t clock)
{
    struct timespec now;

    (void)clock_gettime(clock, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
loop_now(void)
{
    return clock_ms(CLOCK_BOOTTIME);
}

uint64_t
loop_now_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
loop_wall(void)
{
    return clock_ms(CLOCK_REALTIME);
}

/* NULL when the queue is empty. */
static struct job *
next_job(void)
{
    struct job *job;

    g_mutex_lock(&loop_state.lock);
    job = g_queue_pop_head(&loop_state.jobs);
    g_mutex_unlock(&loop_state.lock);
    return job;
}

/* Reports a stall. Each callback starts with it, so that a stall during one is
 * noticed before the next handles events queued meanwhile. */
static void
check_stall(void)
{
    uint64_t now = loop_now();
    uint64_t due_at = loop_state.due_at;

    loop_state.due_at = now;
    if (loop_state.on_stall != NULL && now > due_at &&
        now - due_at > loop_state.stall_ms) {
        loop_state.on_stall(loop_state.on_stall_data);
    }
}

/* Runs all posted work. */
static void
on_wake(struct ev_loop *loop, ev_async *watcher, int events)
{
    struct job *job;

    (void)loop;
    (void)watcher;
    (void)events;
    while ((job = next_job()) != NULL) {
        check_stall();
        job->work(job->data);
        if (!job->synchronous) {
            g_free(job);
            continue;
        }
        g_mutex_lock(&loop_state.lock);
        job->done = true;
        g_cond_broadcast(&loop_state.done);
        g_mutex_unlock(&loop_state.lock);
    }
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    check_stall();
    loop_state.wake_at = UINT64_MAX;
    loop_state.tick(loop_state.tick_data);
}

void
loop_open_idle(loop_work tick, void *data)
{
    loop_state.loop = ev_loop_new(EVFLAG_AUTO);
    loop_state.wake_at = UINT64_MAX;
    loop_state.tick = tick;
    loop_state.tick_data = data;
    g_queue_init(&loop_state.jobs);
    ev_async_init(&loop_state.wake, on_wake);
    ev_async_start(loop_state.loop, &loop_state.wake);
    ev_init(&loop_state.timer, on_timer);
}

/* Runs after the loop polled, before other callbacks. */
static void
on_check(struct ev_loop *loop, ev_check *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    check_stall();
}

/* Runs before the loop polls, which ends at `wake_at` at the latest. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    check_stall();
    /* A time that was already past when set is no sign of a stall. */
    loop_state.due_at = MAX(loop_state.due_at, loop_state.wake_at);
}

void
loop_on_stall(loop_work work, void *data, uint64_t stall_ms)
{
    loop_state.on_stall = work;
    loop_state.on_stall_data = data;
    loop_state.stall_ms = stall_ms;
    loop_state.due_at = loop_now();
    ev_check_init(&loop_state.check, on_check);
    ev_set_priority(&loop_state.check, EV_MAXPRI);
    ev_check_start(loop_state.loop, &loop_state.check);
    ev_prepare_init(&loop_state.prepare, on_prepare);
    ev_set_priority(&loop_state.prepare, EV_MINPRI);
    ev_prepare_start(loop_state.loop, &loop_state.prepare);
}

void
loop_wake_at(uint64_t at)
{
    uint64_t now = loop_now();
    double wait = at > now ? (double)(at - now) / 1000.0 : 0.0;

    loop_state.wake_at = at;
    ev_timer_stop(loop_state.loop, &loop_state.timer);
    ev_now_update(loop_state.loop);
    ev_timer_set(&loop_state.timer, wait, 0.0);
    ev_timer_start(loop_state.loop, &loop_state.timer);
}

static void
on_loop_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    struct loop_timer *timer = watcher->data;

    (void)loop;
    (void)events;
    check_stall();
    timer->work(timer->data);
}

struct loop_timer *
loop_timer_new(loop_work work, void *data)
{
    struct loop_timer *timer = g_new0(struct loop_timer, 1);

    timer->work = work;
    timer->data = data;
    ev_init(&timer->timer, on_loop_timer);
    timer->timer.data = timer;
    return timer;
}

void
loop_timer_set(struct loop_timer *timer, uint64_t at_us)
{
    uint64_t now_us = loop_now_us();
    double wait = at_us > now_us ? (double)(at_us - now_us) / 1e6 : 0.0;

    ev_timer_stop(loop_state.loop, &timer->timer);
    ev_now_update(loop_state.loop);
    ev_timer_set(&timer->timer, wait, 0.0);
    ev_timer_start(loop_state.loop, &timer->timer);
}

void
loop_open(loop_work tick, void *data, uint64_t tick_ms)
{
    loop_open_idle(tick, data);
    ev_timer_init(&loop_state.timer, on_timer, 0.0, (double)tick_ms / 1000.0);
    ev_timer_start(loop_state.loop, &loop_state.timer);
}

static void
push_job(struct job *job)
{
    g_mutex_lock(&loop_state.lock);
    g_queue_push_tail(&loop_state.jobs, job);
    g_mutex_unlock(&loop_state.lock);
    ev_async_send(loop_state.loop, &loop_state.wake);
}

void
loop_post(loop_work work, void *data)
{
    struct job *job = g_new0(struct job, 1);

    job->work = work;
    job->data = data;
    push_job(job);
}

void
loop_call(loop_work work, void *data)
{
    struct job job = {.work = work, .data = data, .synchronous = true};

    push_job(&job);
    g_mutex_lock(&loop_state.lock);
    while (!job.done) {
        g_cond_wait(&loop_state.done, &loop_state.lock);
    }
    g_mutex_unlock(&loop_state.lock);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct watch *watch = watcher->data;

    (void)loop;
    (void)events;
    check_stall();
    watch->work(watch->data);
}

void
loop_watch(int fd, loop_work work, void *data)
{
    struct watch *watch = g_new0(struct watch, 1);

    watch->work = work;
    watch->data = data;
    ev_io_init(&watch->io, on_readable, fd, EV_READ);
    watch->io.data = watch;
    ev_io_start(loop_state.loop, &watch->io);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    struct watch *watch = watcher->data;

    (void)loop;
    (void)events;
    check_stall();
    watch->work(watch->data);
}

void
loop_signal(int number, loop_work work, void *data)
{
    struct watch *watch = g_new0(struct watch, 1);

    watch->work = work;
    watch->data = data;
    ev_signal_init(&watch->signal, on_signal, number);
    watch->signal.data = watch;
    ev_signal_start(loop_state.loop, &watch->signal);
}

void
loop_run(void)
{
    ev_run(loop_state.loop, 0);
}

void
loop_stop(void)
{
    ev_break(loop_state.loop, EVBREAK_ALL);
}
