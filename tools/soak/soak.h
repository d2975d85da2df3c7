/**
 * @file soak.h
 * Interface of soak.c to the modules of the soak: reporting of violations,
 * sockets, and the condition under which time bounds are checked.
 */
#ifndef RIDGERIDGE_SOAK_H
#define RIDGERIDGE_SOAK_H

#include <stdbool.h>
#include <stdint.h>

#define SOAK_NODES_MAX 26
#define SOAK_STABLE_MS                                                        \
    5000 /* time bounds hold this long after the last fault */

/* Reports a violated invariant; the soak fails. */
void soak_violation(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/* Opens a nonblocking UDP socket; exits with status 2 on failure. */
int soak_socket(uint32_t address, uint16_t port);
/* True if a node is part of the fleet: started and not replaced. */
bool soak_node_in_use(int n);
/* A random one of them; safe from any thread. */
int soak_random_node(void);
/* True if neither the node nor the cluster had a fault within
 * SOAK_STABLE_MS. */
bool soak_is_stable(uint32_t node_address);

#endif
