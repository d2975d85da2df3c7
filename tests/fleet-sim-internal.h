/**
 * @file fleet-sim-internal.h
 * Internals shared by the fleet-sim*.c files.
 */
#ifndef RIDGERIDGE_FLEET_SIM_INTERNAL_H
#define RIDGERIDGE_FLEET_SIM_INTERNAL_H

#include "fleet-sim.h"

/* fleet-sim.c */
/* Delivers a datagram to a node; fragments are reassembled first. */
void fleet_sim_deliver(struct fleet_sim *sim, int to, const GByteArray *bytes);

/* fleet-sim-net.c */
/* Rate of a node's link in KB/s; 0: no limit. */
unsigned fleet_sim_link_rate(const struct fleet_sim *sim, int n);
/* Sends a message, fragmented when it exceeds a datagram. */
void fleet_sim_send(struct fleet_sim *sim, int from, uint32_t to,
                    GByteArray *bytes);
/* Delivers datagrams that are due; those to a frozen node wait. */
void fleet_sim_deliver_due(struct fleet_sim *sim);
/* Creates and frees the queue of datagrams in flight. */
GArray *fleet_sim_queue_new(void);
void fleet_sim_queue_free(GArray *in_flight);

#endif
