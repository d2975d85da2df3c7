/**
 * @file log.h
 * Thread-safe structured log in logfmt (key=value pairs), one line per event,
 * with a rate limit per event name. Owns the log file, which log_reopen()
 * reopens after rotation.
 */
#ifndef RIDGERIDGE_LOG_H
#define RIDGERIDGE_LOG_H

#include <stdbool.h>

/** Severity; lines below the configured level are discarded. */
enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/** Names of enum log_level, NULL-terminated. */
extern const char *const log_level_names[];

/** Lines per second and event name. */
#define LOG_EVENT_BURST 20

/** Path that selects standard output in log_open(). */
#define LOG_STDOUT "-"

/**
 * Opens the log.
 * @param path a file; NULL or empty: standard error; LOG_STDOUT: standard
 * output, set to non-blocking: a line that does not fit into a full pipe is
 * dropped and counted
 * @return false when the file cannot be opened
 */
bool log_open(const char *path, const char *process, enum log_level level);

/** Reopens the log file; keeps the open one on failure. */
void log_reopen(void);

/**
 * Writes one event. Lines over LOG_EVENT_BURST are suppressed; the next line
 * of the event has their number as held_back=.
 * @param event name of the event, a string literal
 * @param format key=value pairs; the caller quotes values with spaces
 */
void log_event(enum log_level level, const char *event, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

/** Lines dropped because their write failed. */
unsigned long log_lines_lost(void);

#endif
