/**
 * @file http.h
 * HTTP clients of the soak, in threads of their own: an operator whose reads
 * are checked for staleness, and the health checks by which the fabric selects
 * nodes.
 */
#ifndef RIDGERIDGE_SOAK_HTTP_H
#define RIDGERIDGE_SOAK_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Sends a request to a node. Returns the HTTP status, 0 on a timeout or
 * connection error; after a redirect to another node, *redirect is that
 * node's address. */
long soak_http_request(const char *method, uint32_t address, uint16_t port,
                       const char *path, const char *body, GString *answer,
                       uint32_t *redirect);

/* Starts the operator and a health-check thread per node. */
void soak_http_start(uint32_t first_node, int node_count, uint16_t ready_port,
                     uint16_t control_port);

/* The node that the fabric forwards a flow to: rendezvous hashing over
 * ready nodes. */
uint32_t soak_http_pick_node(uint32_t hash);

/* True if the fabric selects a node. */
bool soak_http_is_ready(int n);

/* When the draining of a hall was acknowledged; 0: not drained. */
uint64_t soak_http_drained_since(int hall);

/* Versions of the table that may be in force at a node: from the newest one
 * whose acknowledgement is older than the time in which all nodes apply it, to
 * the newest one that was sent. */
void soak_http_versions_in_force(uint64_t *oldest, uint64_t *newest);

/* Reports a violation unless a read and a write succeeded recently. */
void soak_http_check_operator(const char *when);

/* Makes the operator drain a hall and leave it drained. */
void soak_http_keep_hall_drained(void);

/* Stops the threads. */
void soak_http_stop(void);

/* Checks the state that must be reached after the last fault. */
void soak_http_check(void);

/* Prints the operator's counters. */
void soak_http_report(void);

#endif
