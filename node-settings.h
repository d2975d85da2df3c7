/**
 * @file node-settings.h
 * Settings of a node: an entry of a fleet that finds itself. JSON with
 * comments, checked whole; the platform writes it from a template. Owns the
 * table of keys and starts nothing.
 */
#ifndef RIDGERIDGE_NODE_SETTINGS_H
#define RIDGERIDGE_NODE_SETTINGS_H

#include "schema.h"
#include "status.h"

#define NODE_NAME_MAX 63
#define NODE_PATH_MAX 200

/** A node to ask first. */
struct node_seed {
    struct schema_endpoint control; /**< its address for operators */
};

/** All settings of a node. */
struct node_settings {
    char name[NODE_NAME_MAX + 1];   /**< in logs */
    char hall[NODE_NAME_MAX + 1];   /**< data hall of this VM */
    char data[NODE_PATH_MAX + 1];   /**< data folder; empty: no disk */
    struct schema_endpoint packets; /**< UDP: callers' packets */
    uint32_t advertise;             /**< address that other nodes use for
                                         this one; 0: that of `packets` */
    struct schema_endpoint ready;   /**< HTTP: the fabric asks here */
    struct schema_endpoint control; /**< HTTP: operators and upstreams */
    uint64_t peer_port;             /**< UDP: between nodes */
    uint64_t metrics_port;          /**< HTTP: counters; 0: none */
    uint64_t first_start;           /**< 1: the deployment starts empty */
    uint64_t interval_ms;           /**< between an upstream's registrations */
    uint64_t grace_ms;              /**< a stop must be done within it */
    uint64_t flow_max_ms;           /**< flows at rest so long may be
                                         forgotten, where no table says */
    uint64_t link_kbit_s;           /**< of this VM's link; 0: not known */
    uint64_t cold_overshoot_milli;  /**< how far the rate that a cold upstream
                                         bears may be passed, in thousandths of
                                         it */
    uint64_t cold_slack_milli;      /**< and beyond that, in thousandths of a
                                         new flow a second */
    int log_level;                  /**< enum log_level */
    struct node_seed *seeds;        /**< whom to ask first */
    size_t seed_count;              /**< of seeds */
};

/** The table of keys, also for the reference page. */
extern const struct schema node_settings_schema;

/** Reads and checks a file; free with node_settings_free(). */
enum status_kind node_settings_load(const char *path,
                                    struct node_settings *out,
                                    struct status *st);

/** Address by which other nodes know this one. */
uint32_t node_settings_address(const struct node_settings *settings);

/** Frees the list. */
void node_settings_free(struct node_settings *settings);

#endif
