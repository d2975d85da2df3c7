/**
 * @file entry.h
 * The entry process: sockets, HTTP server and event loop around entry-core.
 * Only the event loop's thread accesses the core.
 */
#ifndef RIDGERIDGE_ENTRY_H
#define RIDGERIDGE_ENTRY_H

#include <glib.h>
#include <json-c/json.h>
#include <ulfius.h>

#include "entry-core.h"
#include "settings.h"
#include "status.h"

/** One HTTP request of a caller and its response. */
struct entry_transaction {
    GMutex lock;              /**< protects the fields below */
    GCond changed;            /**< signals dispatch and answered */
    struct request_spec spec; /**< request */
    bool dispatch;            /**< send the request to the upstream now */
    uint32_t address;         /**< upstream or peer: IPv4, host order */
    uint16_t port;            /**< upstream or peer: TCP */
    uint64_t deadline;        /**< monotonic ms */
    bool aborted;             /**< cancel the request at the upstream */
    bool forwarded;           /**< sent to a peer instead of an upstream */
    bool answered;            /**< outcome and rule are set */
    wire_outcome outcome;     /**< owned body */
    enum ring_rule rule;      /**< why it ended with `outcome` */
    char service[64];         /**< name; empty when the Host has no service */
    uint64_t objective_ms;    /**< latency objective of the service */
};

/** Phase of a planned stop. */
enum entry_stop_state {
    STOP_DRAINING,     /**< no planned stop, or requests are in progress */
    STOP_QUIESCED,     /**< accepts no new connections */
    STOP_DEREGISTERED, /**< control was notified */
};

/** The entry process. */
struct entry {
    struct settings settings;         /**< of this VM */
    struct counters counters;         /**< of this process */
    struct entry_core *core;          /**< state machine */
    int fabric_fd;                    /**< UDP: packets */
    int peer_fd;                      /**< UDP: messages between entries */
    struct _u_instance http;          /**< callers and operators */
    bool http_open;                   /**< http is running */
    GHashTable *transactions;         /**< token to struct entry_transaction */
    uint64_t last_token;              /**< of transactions */
    enum entry_stop_state stop_state; /**< of a planned stop */
    uint64_t stop_step_at;            /**< next state change, monotonic ms */
    int open_transactions;            /**< atomic */
    GHashTable *burn;                 /**< service name to struct burn */
};

/** Runs an entry until its planned stop is complete. */
enum status_kind entry_run(struct settings *settings, struct status *st);

/** Carries out the core's actions; called after each event. */
void entry_run_actions(struct entry *entry);

/* entry-packets.c */
enum status_kind entry_open_packets(struct entry *entry, struct status *st);

/* entry-peers.c */
enum status_kind entry_open_peers(struct entry *entry, struct status *st);
void entry_send_to_peer(struct entry *entry,
                        const struct entry_action *action);

/* entry-http.c */
enum status_kind entry_open_http(struct entry *entry, struct status *st);
void entry_quiesce_http(struct entry *entry);
void entry_close_http(struct entry *entry);

/* entry-proxy.c */
void entry_proxy_request(struct entry *entry, struct entry_transaction *txn,
                         const struct _u_request *request,
                         struct _u_response *response);
void entry_respond_refused(const struct entry_transaction *txn,
                           struct _u_response *response);

/* entry-status.c */
json_object *entry_status(struct entry *entry);
json_object *entry_explain(struct entry *entry, uint64_t subject);
json_object *entry_decide(struct entry *entry, const char *service,
                          uint64_t hash);

#endif
