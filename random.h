/**
 * @file random.h
 * The generator of random numbers of the cores (splitmix64). Its state is the
 * caller's, drawn once by the shell, so that a core's run can be repeated.
 * Not for secrets.
 */
#ifndef RIDGERIDGE_RANDOM_H
#define RIDGERIDGE_RANDOM_H

#include <stdint.h>

/** Next number; `state` moves on. */
uint64_t random_next(uint64_t *state);

#endif
