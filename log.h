/**
 * @file log.h
 * Event log: one line of key=value pairs an event, on standard error or in a
 * file that log_reopen() opens anew (log rotation by SIGHUP). Owns that file
 * and the rate limits; a line may be written from any thread.
 */
#ifndef RIDGERIDGE_LOG_H
#define RIDGERIDGE_LOG_H

#include <stdbool.h>

/** Severity; a line below the level set is not written. */
enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/** Their names in settings and lines, NULL at the end. */
extern const char *const log_level_words[];

/** Most lines of one event name written in one second. */
#define LOG_EVENT_BURST 20

/** Name of standard output, as a path of log_open(). */
#define LOG_STDOUT "-"

/**
 * Opens the log. `path` may be NULL for standard error, or LOG_STDOUT. A line
 * that a full pipe does not take at once is lost and counted, so that logging
 * never holds anything up.
 */
bool log_open(const char *path, const char *process, enum log_level level);

/** Opens the file of log_open() again, after a rotation. */
void log_reopen(void);

/**
 * Writes one event. `event` is a stable name; `format` yields key=value
 * pairs, where a value with a space is quoted by the caller. Lines past
 * LOG_EVENT_BURST a second are counted and the count is written later.
 */
void log_event(enum log_level level, const char *event, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

/** Lines that a full pipe did not take. */
unsigned long log_lost(void);

#endif
