/**
 * @file host.h
 * Simulated upstreams (hosts) and callers of the soak. They speak the
 * platform's packet format and registration API and verify every packet that
 * they receive. Node faults belong to soak.c.
 */
#ifndef RIDGERIDGE_SOAK_HOST_H
#define RIDGERIDGE_SOAK_HOST_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_HOSTS 8
#define SOAK_HALLS 3               /* node n and host n: hall n % SOAK_HALLS */
#define SOAK_HALL_FORMAT "hall-%d" /* name of a hall */
#define SOAK_REGISTRATION_MS 770   /* registration interval of a host */

/* Opens the sockets of hosts and callers. Hosts use consecutive addresses
 * from first_host on, nodes from first_node on. */
void soak_host_open(uint32_t first_host, uint32_t caller_address,
                    uint32_t first_node, uint16_t packet_port,
                    uint16_t control_port, unsigned seed);

/* Fills fds for poll(2); returns how many. */
nfds_t soak_host_poll(struct pollfd *fds);

/* Handles received packets and expired timers. */
void soak_host_run(uint64_t now);

/* Faults of a host. */
enum soak_host_fault {
    SOAK_HOST_LEAVE, /* deregisters after a delay, then restarts */
    SOAK_HOST_CRASH, /* restarts under a new id */
    SOAK_HOST_PAUSE,
    SOAK_HOST_RANDOM_FAULTS, /* number of faults above */
    SOAK_HOST_RESTART        /* restarts under the same id */
};

/* Injects a fault into a random host; no effect while that host is down,
 * paused or leaving. */
void soak_host_inject(enum soak_host_fault fault);

/* Starts or ends a burst: many more flows than the hosts can serve. */
void soak_host_set_burst(bool active);

/* Returns the routing table of both services as JSON; free with g_free(). */
char *soak_routing_table(uint64_t version);

/* Prints the counters of the callers. */
void soak_host_report(void);

#endif
