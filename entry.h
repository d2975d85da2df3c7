/**
 * @file entry.h
 * The shell of an entry: sockets, threads and HTTP around entry-core. All
 * state is owned by the loop's thread.
 */
#ifndef RIDGERIDGE_ENTRY_H
#define RIDGERIDGE_ENTRY_H

#include <glib.h>
#include <json-c/json.h>
#include <ulfius.h>

#include "entry-core.h"
#include "settings.h"
#include "status.h"

/** A caller's request while it is held. */
struct entry_call {
    GMutex lock;              /**< of the fields below */
    GCond changed;            /**< one of them changed */
    struct request_spec spec; /**< what was asked */
    bool dispatch;            /**< call the upstream now */
    uint32_t address;         /**< which */
    uint16_t port;            /**< which */
    uint64_t deadline;        /**< monotonic ms */
    bool aborted;             /**< cancel the call */
    bool handed;              /**< goes to a peer, not to an upstream */
    bool answered;            /**< the outcome is there */
    wire_outcome outcome;     /**< owned body */
    enum ring_rule rule;      /**< why */
    char service[64];         /**< its name, empty: no such Host */
    uint64_t within_ms;       /**< objective of the service */
};

/** How far a planned stop has come. */
enum entry_stop {
    STOP_RUNNING, /**< not begun, or work is left */
    STOP_QUIET,   /**< no new connections are taken */
    STOP_LEFT,    /**< control was told */
};

/** The shell. */
struct entry {
    struct settings settings; /**< of this VM */
    struct counters counters; /**< of this process */
    struct entry_core *core;  /**< the decisions */
    int fabric_fd;            /**< UDP, packets */
    int peer_fd;              /**< UDP, messages */
    struct _u_instance http;  /**< callers and operators */
    bool http_open;           /**< http is running */
    GHashTable *calls;        /**< token to struct entry_call */
    uint64_t next_token;      /**< of calls */
    enum entry_stop stop;     /**< how far a planned stop has come */
    uint64_t stop_at;         /**< deadline of its next step */
    int held_calls;           /**< atomic: calls held now */
    GHashTable *burn;         /**< service name to struct burn */
};

/** Runs an entry until a planned stop is done. */
enum status_kind entry_run(struct settings *settings, struct status *st);

/** Carries out the core's actions; call after every event. */
void entry_act(struct entry *entry);

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
void entry_call_upstream(struct entry *entry, struct entry_call *call,
                         const struct _u_request *request,
                         struct _u_response *response);
void entry_answer(const struct entry_call *call, struct _u_response *response);

/* entry-status.c */
json_object *entry_status(struct entry *entry);
json_object *entry_explain(struct entry *entry, uint64_t subject);
json_object *entry_decide(struct entry *entry, const char *service,
                          uint64_t hash);

#endif
