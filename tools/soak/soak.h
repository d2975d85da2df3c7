/**
 * @file soak.h
 * What the soak's parts need of soak.c, which owns the processes, the faults
 * and the count of broken promises.
 */
#ifndef RIDGERIDGE_SOAK_H
#define RIDGERIDGE_SOAK_H

#include <stdbool.h>
#include <stdint.h>

#define SOAK_NODES_MAX 24
#define SOAK_CALM_MS 5000 /* without a fault, all that is timed must hold */

/* Notes a broken promise. */
void soak_broken(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/* Opens a UDP socket; ends the soak when it cannot. */
int soak_socket(uint32_t address, uint16_t port);
/* Says whether timed promises hold at a node: no fault was near. */
bool soak_is_calm(uint32_t node_address);

#endif
