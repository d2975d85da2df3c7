/**
 * @file fleet-sim-internal.h
 * What the fleet-sim*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_FLEET_SIM_INTERNAL_H
#define RIDGERIDGE_FLEET_SIM_INTERNAL_H

#include "fleet-sim.h"

/* fleet-sim.c */
/* Gives a message to a node; a part waits until its message is whole. */
void fleet_sim_deliver(struct fleet_sim *sim, int to, const GByteArray *bytes);

/* fleet-sim-net.c */
/* Node at an address, -1 when there is none. */
int fleet_sim_node_at(const struct fleet_sim *sim, uint32_t address);
/* Rate of a node's link, KB a second; 0: no bound. */
unsigned fleet_sim_link_of(const struct fleet_sim *sim, int n);
/* Sends a message, in parts when no datagram holds it. */
void fleet_sim_send(struct fleet_sim *sim, int from, uint32_t to,
                    GByteArray *bytes);
/* Delivers messages that are due; those for a frozen node wait. */
void fleet_sim_deliver_due(struct fleet_sim *sim);
/* Makes and frees the queue of messages under way. */
GArray *fleet_sim_queue_new(void);
void fleet_sim_queue_free(GArray *queue);

#endif
