/**
 * @file window.h
 * Sliding-window maximum of event counts.
 */
#ifndef RIDGERIDGE_WINDOW_H
#define RIDGERIDGE_WINDOW_H

#include <glib.h>
#include <stdint.h>

/** Returns the maximum number of times (uint64_t, ascending) in any window of
 * `ms`. */
unsigned window_max(const GArray *times, uint64_t ms);

#endif
