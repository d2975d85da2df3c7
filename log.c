/* Event log: formats, limits the rate of each event name, and writes. */
#include "log.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_NAMES 128     /* event names that are told apart */
#define LOG_LINE_MAX 1024 /* bytes of the pairs of one line */

/* The rate limit of one event name. */
struct log_rate {
    const char *event; /* static string of the caller */
    time_t second;     /* the second that `written` counts */
    unsigned written;  /* lines in that second */
    unsigned held;     /* lines not written since the last one */
};

static struct {
    GMutex lock;
    int file;           /* descriptor; 0: not open */
    unsigned long lost; /* lines that a full pipe did not take */
    char path[256];
    char process[64];
    enum log_level level;
    struct log_rate rates[LOG_NAMES];
} log_state;

const char *const log_level_words[] = {"debug", "info", "warn", "error", NULL};

/* Finds the rate of an event, or a free place for it. */
static struct log_rate *
log_rate_of(const char *event)
{
    for (size_t i = 0; i < LOG_NAMES; i++) {
        struct log_rate *rate = &log_state.rates[i];

        if (rate->event == NULL) {
            rate->event = event;
        }
        if (strcmp(rate->event, event) == 0) {
            return rate;
        }
    }
    return &log_state.rates[LOG_NAMES - 1];
}

/* Says whether this line may be written, and how many were held before. */
static bool
log_admit(const char *event, time_t now, unsigned *held)
{
    struct log_rate *rate = log_rate_of(event);

    if (rate->second != now) {
        rate->second = now;
        rate->written = 0;
    }
    if (rate->written >= LOG_EVENT_BURST) {
        rate->held++;
        return false;
    }
    rate->written++;
    *held = rate->held;
    rate->held = 0;
    return true;
}

/* Opens a file to append to. */
static int
open_file(const char *path)
{
    return open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

/* Opens the log file, or standard error where there is none. */
bool
log_open(const char *path, const char *process, enum log_level level)
{
    g_strlcpy(log_state.process, process, sizeof(log_state.process));
    log_state.level = level;
    log_state.file = STDERR_FILENO;
    if (path != NULL && strcmp(path, LOG_STDOUT) == 0) {
        log_state.file = STDOUT_FILENO;
        (void)fcntl(STDOUT_FILENO, F_SETFL,
                    fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    else if (path != NULL && path[0] != '\0') {
        int file = open_file(path);

        if (file < 0) {
            return false;
        }
        g_strlcpy(log_state.path, path, sizeof(log_state.path));
        log_state.file = file;
    }
    return true;
}

/* Opens the same path again; keeps the old file when that fails. */
void
log_reopen(void)
{
    int file;

    g_mutex_lock(&log_state.lock);
    if (log_state.path[0] != '\0') {
        file = open_file(log_state.path);
        if (file >= 0) {
            (void)close(log_state.file);
            log_state.file = file;
        }
    }
    g_mutex_unlock(&log_state.lock);
}

/* Formats one whole line; returns its bytes. */
static size_t
format_line(char *out, size_t size, enum log_level level, const char *event,
            const char *pairs, unsigned held, const struct timespec *now)
{
    struct tm utc;
    char stamp[32];
    char held_text[32] = "";
    int n;

    (void)gmtime_r(&now->tv_sec, &utc);
    (void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    if (held > 0) {
        (void)snprintf(held_text, sizeof(held_text), " held_back=%u", held);
    }
    n = snprintf(
        out, size - 1, "time=%s.%03ldZ level=%s process=%s event=%s%s%s%s",
        stamp, now->tv_nsec / 1000000, log_level_words[level],
        log_state.process, event, pairs[0] ? " " : "", pairs, held_text);
    n = CLAMP(n, 0, (int)size - 2);
    out[n++] = '\n';
    return (size_t)n;
}

/* Writes one line. */
void
log_event(enum log_level level, const char *event, const char *format, ...)
{
    char pairs[LOG_LINE_MAX];
    char line[LOG_LINE_MAX + 256];
    struct timespec now;
    unsigned held = 0;
    size_t length;
    va_list args;

    if (level < log_state.level || log_state.file == 0) {
        return;
    }
    (void)clock_gettime(CLOCK_REALTIME, &now);
    g_mutex_lock(&log_state.lock);
    if (log_admit(event, now.tv_sec, &held)) {
        va_start(args, format);
        (void)vsnprintf(pairs, sizeof(pairs), format, args);
        va_end(args);
        length =
            format_line(line, sizeof(line), level, event, pairs, held, &now);
        if (write(log_state.file, line, length) != (ssize_t)length) {
            log_state.lost++;
        }
    }
    g_mutex_unlock(&log_state.lock);
}

/* Lines that a full pipe did not take. */
unsigned long
log_lost(void)
{
    return log_state.lost;
}
