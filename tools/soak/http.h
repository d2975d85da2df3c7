/**
 * @file http.h
 * Those who ask the soak's nodes over HTTP, in threads of their own: an
 * operator, whose reads are checked, and the fabric, which sends packets only
 * to nodes that say they are ready. They own what they were answered, and
 * harm no node: that is soak.c's.
 */
#ifndef RIDGERIDGE_SOAK_ASK_H
#define RIDGERIDGE_SOAK_ASK_H

#include <glib.h>
#include <stdint.h>

/* Calls a node; the HTTP status, 0 without an answer, or 307 with `where`. */
long soak_ask_call(const char *method, uint32_t address, uint16_t port,
                   const char *path, const char *body, GString *answer,
                   uint32_t *where);

/* Starts operator and fabric; the first of the nodes' addresses is given. */
void soak_ask_open(uint32_t nodes, int node_count, uint16_t ready_port,
                   uint16_t control_port);

/* The node that the fabric sends a flow to, by a hash of the flow. */
uint32_t soak_ask_route(uint32_t hash);

/* When a hall was emptied, as acknowledged; 0: it is not, or is taken back. */
uint64_t soak_ask_emptied_since(int hall);

/* From now on the operator leaves a hall emptied. */
void soak_ask_hold_hall(void);

/* Asks operator and fabric to end. */
void soak_ask_end(void);

/* Checks what must hold once faults are over. */
void soak_ask_check(void);

/* Prints what the operator did. */
void soak_ask_report(void);

#endif
