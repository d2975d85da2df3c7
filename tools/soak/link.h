/**
 * @file link.h
 * The links between the soak's nodes: a proxy passes their datagrams on, and
 * holds, loses or cuts them as each link says. It owns its sockets and what it
 * holds; which link is harmed, and until when, soak.c decides.
 */
#ifndef RIDGERIDGE_SOAK_LINK_H
#define RIDGERIDGE_SOAK_LINK_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

/* One node's link to the others; whole when all is zero. */
struct soak_link {
    bool cut_in;       /* nothing arrives */
    bool cut_out;      /* nothing leaves */
    unsigned loss;     /* of 100 datagrams */
    unsigned delay_ms; /* of each */
};

/* Opens the proxy; the first of its addresses and of the nodes' are given.
 * The seed draws which datagrams are lost. */
void soak_link_open(uint32_t proxies, uint32_t nodes, int node_count,
                    uint16_t port, unsigned seed);

/* A node's link, to be harmed or healed. */
struct soak_link *soak_link_of(int n);

/* Cuts two halls from each other until a time: nodes, and nodes from hosts. */
void soak_link_cut_halls(int one, int other, uint64_t until);

/* Says whether a node is cut from a hall now. */
bool soak_link_is_cut(int n, int hall);

/* Adds the sockets to poll. */
nfds_t soak_link_poll(struct pollfd *fds);

/* Takes what nodes sent, delivers what is due. */
void soak_link_run(void);

#endif
