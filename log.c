/* Event log: formatting, rate limit per event name, output. */
#include "log.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_EVENTS_MAX 128 /* event names with a rate limit of their own */
#define LOG_PAIRS_MAX 1024 /* bytes of the key=value pairs of a line */

/* Fixed-window rate limit of one event name. */
struct log_rate {
    const char *event;   /* string literal of the caller */
    time_t second;       /* start of the window */
    unsigned written;    /* lines in the window */
    unsigned suppressed; /* lines since the last one written */
};

static struct {
    GMutex lock;
    int fd;             /* 0: not open */
    unsigned long lost; /* lines whose write failed */
    char path[256];
    char process[64];
    enum log_level level;
    struct log_rate rates[LOG_EVENTS_MAX];
} log_state;

const char *const log_level_names[] = {"debug", "info", "warn", "error", NULL};

/* Finds or adds a rate limit; events over LOG_EVENTS_MAX share the last. */
static struct log_rate *
find_rate(const char *event)
{
    for (size_t i = 0; i < LOG_EVENTS_MAX; i++) {
        struct log_rate *rate = &log_state.rates[i];

        if (rate->event == NULL) {
            rate->event = event;
        }
        if (strcmp(rate->event, event) == 0) {
            return rate;
        }
    }
    return &log_state.rates[LOG_EVENTS_MAX - 1];
}

/* True if a line is within the rate limit; sets the number of lines
 * suppressed before it. */
static bool
admit_line(const char *event, time_t now, unsigned *suppressed)
{
    struct log_rate *rate = find_rate(event);

    if (rate->second != now) {
        rate->second = now;
        rate->written = 0;
    }
    if (rate->written >= LOG_EVENT_BURST) {
        rate->suppressed++;
        return false;
    }
    rate->written++;
    *suppressed = rate->suppressed;
    rate->suppressed = 0;
    return true;
}

static int
open_append(const char *path)
{
    return open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

bool
log_open(const char *path, const char *process, enum log_level level)
{
    g_strlcpy(log_state.process, process, sizeof(log_state.process));
    log_state.level = level;
    log_state.fd = STDERR_FILENO;
    if (path != NULL && strcmp(path, LOG_STDOUT) == 0) {
        log_state.fd = STDOUT_FILENO;
        (void)fcntl(STDOUT_FILENO, F_SETFL,
                    fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    else if (path != NULL && path[0] != '\0') {
        int fd = open_append(path);

        if (fd < 0) {
            return false;
        }
        g_strlcpy(log_state.path, path, sizeof(log_state.path));
        log_state.fd = fd;
    }
    return true;
}

void
log_reopen(void)
{
    int fd;

    g_mutex_lock(&log_state.lock);
    if (log_state.path[0] != '\0') {
        fd = open_append(log_state.path);
        if (fd >= 0) {
            (void)close(log_state.fd);
            log_state.fd = fd;
        }
    }
    g_mutex_unlock(&log_state.lock);
}

/* Formats one line with its line feed; returns its length. */
static size_t
format_line(char *out, size_t size, enum log_level level, const char *event,
            const char *pairs, unsigned suppressed, const struct timespec *now)
{
    struct tm utc;
    char timestamp[32];
    char suppressed_text[32] = "";
    int n;

    (void)gmtime_r(&now->tv_sec, &utc);
    (void)strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
    if (suppressed > 0) {
        (void)snprintf(suppressed_text, sizeof(suppressed_text),
                       " held_back=%u", suppressed);
    }
    n = snprintf(
        out, size - 1, "time=%s.%03ldZ level=%s process=%s event=%s%s%s%s",
        timestamp, now->tv_nsec / 1000000, log_level_names[level],
        log_state.process, event, pairs[0] ? " " : "", pairs, suppressed_text);
    n = CLAMP(n, 0, (int)size - 2);
    out[n++] = '\n';
    return (size_t)n;
}

void
log_event(enum log_level level, const char *event, const char *format, ...)
{
    char pairs[LOG_PAIRS_MAX];
    char line[LOG_PAIRS_MAX + 256];
    struct timespec now;
    unsigned suppressed = 0;
    size_t length;
    va_list args;

    if (level < log_state.level || log_state.fd == 0) {
        return;
    }
    (void)clock_gettime(CLOCK_REALTIME, &now);
    g_mutex_lock(&log_state.lock);
    if (admit_line(event, now.tv_sec, &suppressed)) {
        va_start(args, format);
        (void)vsnprintf(pairs, sizeof(pairs), format, args);
        va_end(args);
        length = format_line(line, sizeof(line), level, event, pairs,
                             suppressed, &now);
        if (write(log_state.fd, line, length) != (ssize_t)length) {
            log_state.lost++;
        }
    }
    g_mutex_unlock(&log_state.lock);
}

unsigned long
log_lines_lost(void)
{
    return log_state.lost;
}
