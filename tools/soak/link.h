/**
 * @file link.h
 * UDP proxy between the soak's nodes that drops, delays or partitions their
 * datagrams per link. soak.c decides which link is impaired, and until when.
 */
#ifndef RIDGERIDGE_SOAK_LINK_H
#define RIDGERIDGE_SOAK_LINK_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

/* Impairment of the link between a node and all others; all zero: none. */
struct soak_link {
    bool drop_in;          /* drops what the node would receive */
    bool drop_out;         /* drops what the node sends */
    unsigned loss_percent; /* of 100 datagrams */
    unsigned delay_ms;     /* added to each datagram */
};

/* Opens a proxy socket per node. Proxies use consecutive addresses from
 * first_proxy on, nodes from first_node on. The seed selects the datagrams
 * that are lost. */
void soak_link_open(uint32_t first_proxy, uint32_t first_node, int node_count,
                    uint16_t port, unsigned seed);

/* The link of a node; the caller may modify it. */
struct soak_link *soak_link_of(int n);

/* Partitions two halls from each other until a time: no datagrams between
 * their nodes, nor from nodes to hosts. */
void soak_link_partition_halls(int one, int other, uint64_t until);

/* Partitions nodes from all others, but not from each other, until a time. */
void soak_link_cut_group(int first, int count, uint64_t until);

/* True if a node cannot reach a hall now. */
bool soak_link_is_partitioned(int n, int hall);

/* Fills fds for poll(2); returns how many. */
nfds_t soak_link_poll(struct pollfd *fds);

/* Forwards received datagrams and those whose delay has expired. */
void soak_link_run(void);

#endif
