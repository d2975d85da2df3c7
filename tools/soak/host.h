/**
 * @file host.h
 * The soak's hosts, which are its upstreams, and its callers: they speak the
 * platform's packets and registrations, and check what they see. They own no
 * node and harm none: that is soak.c's, whose functions are declared here too.
 */
#ifndef RIDGERIDGE_SOAK_HOST_H
#define RIDGERIDGE_SOAK_HOST_H

#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_HOSTS 8
#define SOAK_INTERVAL_MS 770 /* between registrations of a host */

/* soak.c */
/* Notes a broken promise. */
void soak_broken(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/* Opens a UDP socket; ends the soak when it cannot. */
int soak_socket(uint32_t address, uint16_t port);
/* Says whether timed promises hold at a node: no fault was near. */
bool soak_is_calm(uint32_t node_address);
/* The node that the fabric sends a flow to, by a hash of the flow. */
uint32_t soak_route(uint32_t hash);
/* Calls a node; the HTTP status, 0 without an answer, or 307 with `where`. */
long soak_call(const char *method, uint32_t address, uint16_t port,
               const char *path, const char *body, GString *answer,
               uint32_t *where);

/* Opens hosts and callers; the first of their addresses are given. */
void soak_host_open(uint32_t hosts, uint32_t callers, uint32_t nodes,
                    int node_count, uint16_t packet_port,
                    uint16_t control_port, unsigned seed);

/* Adds the sockets to poll. */
nfds_t soak_host_poll(struct pollfd *fds);

/* Takes packets, sends what is due. */
void soak_host_run(uint64_t now);

/* What can happen to a host. */
enum soak_host_fault {
    SOAK_HOST_LEAVES,  /* it says so, ends, and is replaced */
    SOAK_HOST_CRASHES, /* it is replaced */
    SOAK_HOST_PAUSES,
    SOAK_HOST_FAULTS
};

/* Harms a host drawn by lot, unless it is down, paused or leaves. */
void soak_host_fault(enum soak_host_fault fault);

/* A routing table for both services. Free with g_free(). */
char *soak_table(uint64_t version);

/* Prints what callers saw. */
void soak_host_report(void);

#endif
