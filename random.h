/**
 * @file random.h
 * Pseudo-random numbers: splitmix64 (Steele et al., OOPSLA 2014). The caller
 * owns the state, so runs with the same seed are reproducible. Not for
 * secrets.
 */
#ifndef RIDGERIDGE_RANDOM_H
#define RIDGERIDGE_RANDOM_H

#include <stdint.h>

/** Next number; advances `state`. */
uint64_t random_next(uint64_t *state);

#endif
