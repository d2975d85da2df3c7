/**
 * @file settings.h
 * Settings file of an entry or control VM: JSON with comments, validated
 * against a schema.
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

enum settings_role { ROLE_ENTRY, ROLE_CONTROL };

/** A control VM. */
struct settings_control {
    uint64_t id;        /**< replica id, 1 to 7 */
    uint32_t address;   /**< IPv4, host order */
    uint64_t rpc_port;  /**< TCP: ONC RPC */
    uint64_t http_port; /**< TCP: operators' HTTP */
    uint64_t founder;   /**< 1: voter of a new deployment, 0: added later */
};

/** An operator's name, public key and digest of the HTTP bearer token. */
struct settings_operator {
    char name[SETTINGS_NAME_MAX + 1];             /**< as in submissions */
    unsigned char public_key[SETTINGS_KEY_BYTES]; /**< Ed25519 */
    unsigned char token[SETTINGS_KEY_BYTES];      /**< SHA-256 digest */
};

/** The fabric's Geneve endpoint, where an entry sends packets. */
struct settings_fabric {
    uint32_t address; /**< IPv4, host order */
    uint64_t port;    /**< UDP, Geneve */
};

/** Settings of one VM. */
struct settings {
    char name[SETTINGS_NAME_MAX + 1]; /**< of this VM, in logs and responses */
    int role;                         /**< enum settings_role */
    char hall[SETTINGS_NAME_MAX + 1]; /**< data hall of this VM */
    uint32_t address;                 /**< IPv4 listen address, host order */
    char data[SETTINGS_PATH_MAX + 1]; /**< data folder */
    char log[SETTINGS_PATH_MAX + 1];  /**< log file; empty: stderr */
    int log_level;                    /**< enum log_level */
    uint64_t id;                      /**< control: replica id */
    uint64_t rpc_port;                /**< TCP: ONC RPC */
    uint64_t http_port;               /**< TCP: callers and operators */
    uint64_t peer_port;               /**< entry: UDP between entries */
    uint64_t fabric_port;             /**< entry: UDP, Geneve */
    uint64_t flow_capacity;           /**< entry: size of the flow table */
    uint64_t ring_size;               /**< entry: decisions held for explain */
    uint64_t request_threads; /**< entry: limit of concurrent requests */
    unsigned char cluster_key[SETTINGS_KEY_BYTES]; /**< encrypts messages */
    struct settings_fabric fabric;       /**< entry: destination of packets */
    struct settings_control *controls;   /**< all control VMs */
    size_t control_count;                /**< of `controls` */
    struct settings_operator *operators; /**< may submit and sign off */
    size_t operator_count;               /**< of `operators` */
};

extern const struct schema settings_schema;

/** Parses and validates a settings file; free with settings_free(). */
enum status_kind settings_load(const char *path, struct settings *out,
                               struct status *st);

/** Parses and validates text. @param source file name for messages */
enum status_kind settings_read(const char *source, const char *text,
                               size_t length, struct settings *out,
                               struct status *st);

void settings_free(struct settings *settings);

/** NULL when there is none with the id. */
const struct settings_control *
settings_find_control(const struct settings *settings, uint64_t id);

/** NULL when there is none of the name. */
const struct settings_operator *
settings_find_operator(const struct settings *settings, const char *name);

#endif
