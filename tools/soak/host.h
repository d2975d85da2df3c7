/**
 * @file host.h
 * The soak's upstreams and callers: they speak the platform's packets and
 * registrations, and check what they see. The rest is in soak.c, whose
 * functions are declared here too.
 */
#ifndef RIDGERIDGE_SOAK_HOST_H
#define RIDGERIDGE_SOAK_HOST_H

#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_HOSTS 8
#define SOAK_INTERVAL_MS 770

/* soak.c */
void soak_broken(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int soak_socket(uint32_t address, uint16_t port);
bool soak_is_calm(uint32_t node_address);
uint32_t soak_route(uint32_t hash);
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

/* 0: a host drains and is replaced; 1: one crashes; 2: one is paused. */
void soak_host_fault(int kind);

/* A routing table for both services. Free with g_free(). */
char *soak_table(uint64_t version);

/* Prints what callers saw. */
void soak_host_report(void);

#endif
