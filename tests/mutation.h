/**
 * @file mutation.h
 * Mutation tests: each test runs in a child process and must pass, then fail
 * while one safeguard is disabled (fault.h).
 */
#ifndef RIDGERIDGE_MUTATION_H
#define RIDGERIDGE_MUTATION_H

#include "fault.h"

struct mutation {
    const char *name;
    enum fault fault; /**< safeguard to disable */
    const char *test; /**< path of a test of the same program */
};

/** In a child process, disables the safeguard. Call it before g_test_init().
 */
void mutation_init(void);

/** GLib test function; `data` is a struct mutation. */
void mutation_test(const void *data);

#endif
