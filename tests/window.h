/**
 * @file window.h
 * Windows that slide: what is counted in any span of a length, not in whole
 * seconds.
 */
#ifndef RIDGERIDGE_WINDOW_H
#define RIDGERIDGE_WINDOW_H

#include <glib.h>
#include <stdint.h>

/** Most of some times (uint64_t, in order) in any span of `ms`. */
unsigned window_most(const GArray *times, uint64_t ms);

#endif
