/**
 * @file host.h
 * The soak's hosts, which are its upstreams, and its callers: they speak the
 * platform's packets and registrations, and check what they see. They own no
 * node and harm none: that is soak.c's.
 */
#ifndef RIDGERIDGE_SOAK_HOST_H
#define RIDGERIDGE_SOAK_HOST_H

#include <poll.h>
#include <stdint.h>

#define SOAK_HOSTS 8
#define SOAK_HALLS 3         /* data halls, of nodes and hosts by turns */
#define SOAK_HALL "hall-%d"  /* name of one */
#define SOAK_INTERVAL_MS 770 /* between registrations of a host */

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
    SOAK_HOST_FAULTS,  /* those before are drawn by lot */
    SOAK_HOST_RESTARTS /* it crashes and starts again under its id */
};

/* Harms a host drawn by lot, unless it is down, paused or leaves. */
void soak_host_fault(enum soak_host_fault fault);

/* A routing table for both services. Free with g_free(). */
char *soak_table(uint64_t version);

/* Prints what callers saw. */
void soak_host_report(void);

#endif
