/**
 * @file mutation.h
 * Tests that must fail when a mechanism is left out: each runs in a process of
 * its own, with and without it.
 */
#ifndef RIDGERIDGE_MUTATION_H
#define RIDGERIDGE_MUTATION_H

#include "fault.h"

/** A mechanism, and a test of the same program. */
struct mutation {
    const char *name;
    enum fault fault;
    const char *test;
};

/** Leaves out what the process was started without; call it first. */
void mutation_begin(void);

/** Runs the test of a struct mutation with and without its mechanism. */
void mutation_test(const void *data);

#endif
