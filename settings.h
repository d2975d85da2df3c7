/**
 * @file settings.h
 * One VM's settings, read from JSON with comments and checked whole.
 */
#ifndef RIDGERIDGE_SETTINGS_H
#define RIDGERIDGE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "schema.h"
#include "status.h"

#define SETTINGS_NAME_MAX 63
#define SETTINGS_PATH_MAX 200
#define SETTINGS_KEY_BYTES 32

/** What a VM runs. */
enum settings_role { ROLE_ENTRY, ROLE_CONTROL };

/** One control VM, as every VM knows it. */
struct settings_control {
    uint64_t id;        /**< 1 to 7, the replica's number */
    uint32_t address;   /**< IPv4, host order */
    uint64_t rpc_port;  /**< TCP: ONC RPC */
    uint64_t http_port; /**< TCP: operators */
    uint64_t founder;   /**< 1: votes from the first install on */
};

/** One operator and the public half of the signing key. */
struct settings_operator {
    char name[SETTINGS_NAME_MAX + 1];             /**< as in submissions */
    unsigned char public_key[SETTINGS_KEY_BYTES]; /**< Ed25519 */
    unsigned char token[SETTINGS_KEY_BYTES];      /**< HTTP bearer token */
};

/** Where an entry sends packets that leave it. */
struct settings_fabric {
    uint32_t address; /**< IPv4, host order */
    uint64_t port;    /**< UDP, Geneve */
};

/** All settings of one VM. */
struct settings {
    char name[SETTINGS_NAME_MAX + 1]; /**< of this VM, in logs and answers */
    int role;                         /**< enum settings_role */
    char hall[SETTINGS_NAME_MAX + 1]; /**< data hall of this VM */
    uint32_t address;                 /**< IPv4 this VM listens on */
    char data[SETTINGS_PATH_MAX + 1]; /**< data folder */
    char log[SETTINGS_PATH_MAX + 1];  /**< log file; empty: stderr */
    int log_level;                    /**< enum log_level */
    uint64_t id;                      /**< control: this replica's number */
    uint64_t rpc_port;                /**< TCP: ONC RPC */
    uint64_t http_port;               /**< TCP: callers and operators */
    uint64_t peer_port;               /**< entry: UDP between entries */
    uint64_t fabric_port;             /**< entry: UDP from the fabric */
    uint64_t flow_capacity;           /**< entry: flow records held */
    uint64_t ring_size;               /**< entry: decisions kept to explain */
    uint64_t request_threads;         /**< entry: requests held at once */
    unsigned char cluster_key[SETTINGS_KEY_BYTES]; /**< seals messages */
    struct settings_fabric fabric;                 /**< entry: way out */
    struct settings_control *controls;             /**< all control VMs */
    size_t control_count;                          /**< of controls */
    struct settings_operator *operators;           /**< who may submit */
    size_t operator_count;                         /**< of operators */
};

/** The table of keys, also for the reference page. */
extern const struct schema settings_schema;

/** Reads and checks a settings file; free with settings_free(). */
enum status_kind settings_load(const char *path, struct settings *out,
                               struct status *st);

/** Reads and checks settings from text. */
enum status_kind settings_read(const char *source, const char *text,
                               size_t length, struct settings *out,
                               struct status *st);

/** Frees the lists. */
void settings_free(struct settings *settings);

/** Finds a control VM by number; NULL when there is none. */
const struct settings_control *
settings_find_control(const struct settings *settings, uint64_t id);

/** Finds an operator by name; NULL when there is none. */
const struct settings_operator *
settings_find_operator(const struct settings *settings, const char *name);

#endif
