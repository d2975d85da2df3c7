/**
 * @file node-settings.h
 * Settings of a node, read from a JSON file with comments and validated
 * against a schema.
 */
#ifndef RIDGERIDGE_NODE_SETTINGS_H
#define RIDGERIDGE_NODE_SETTINGS_H

#include "schema.h"
#include "status.h"

#define NODE_NAME_MAX 63
#define NODE_PATH_MAX 200
#define NODE_TOLERATED_DISKS_MAX 3U /**< of CONS_VOTERS_MAX voters */
#define NODE_TOLERATED_HALLS_MAX 16U

/** What load control decides about when capacity is short. */
enum node_load_control {
    NODE_LOAD_OFF,    /**< nothing */
    NODE_LOAD_RANKED, /**< capacity of upstreams, for services whose routes
                           have different priorities */
    NODE_LOAD_FULL    /**< capacity of all services and of this VM's link */
};

/** A node to contact after the start. */
struct node_seed {
    struct schema_endpoint control; /**< its "control" address */
};

struct node_settings {
    char name[NODE_NAME_MAX + 1];   /**< of this VM, in logs */
    char hall[NODE_NAME_MAX + 1];   /**< data hall of this VM */
    char data[NODE_PATH_MAX + 1];   /**< the voter's folder; empty: no disk */
    struct schema_endpoint packets; /**< UDP socket for callers' packets */
    uint32_t advertise;             /**< address at which other nodes reach
                                         this one, 0: that of `packets` */
    struct schema_endpoint ready;   /**< HTTP for the fabric's health check */
    struct schema_endpoint control; /**< HTTP for operators and upstreams */
    uint64_t peer_port;             /**< UDP, for messages between nodes */
    uint64_t metrics_port;          /**< HTTP for metrics, 0: none */
    uint64_t first_start;           /**< 1: first start of the whole
                                         deployment */
    uint64_t registration_interval_ms;    /**< between an upstream's
                                               registrations */
    uint64_t grace_ms;                    /**< time for a planned stop */
    uint64_t flow_max_ms;                 /**< idle timeout of flows, where the
                                               table sets none */
    uint64_t link_kbit_s;                 /**< bandwidth of this VM's link, 0:
                                               unknown */
    uint64_t warmup_overshoot_milli;      /**< factor on the flow limit of an
                                               upstream in warmup, in 1/1000 */
    uint64_t warmup_slack_milli;          /**< added to that limit, in 1/1000
                                               flow/s */
    uint64_t tolerated_disks;             /**< losses at once that the quorum
                                               must outlast, 0: unknown */
    uint64_t tolerated_halls;             /**< the same for whole data halls */
    int load_control;                     /**< enum node_load_control */
    char requirements[NODE_PATH_MAX + 1]; /**< of the deployment, as its
                                               platform lists them */
    int log_level;                        /**< enum log_level */
    struct node_seed *seeds;              /**< nodes to contact first */
    size_t seed_count;                    /**< entries in `seeds` */
};

/** Also printed by `ridgeridge reference`. */
extern const struct schema node_settings_schema;

/** Reads and validates a file; free with node_settings_free(). */
enum status_kind node_settings_load(const char *path,
                                    struct node_settings *out,
                                    struct status *st);

/** IPv4 address at which other nodes reach this one. */
uint32_t node_settings_address(const struct node_settings *settings);

/** Frees the seeds. */
void node_settings_free(struct node_settings *settings);

#endif
