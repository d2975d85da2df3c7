/**
 * @file control.h
 * The process of a control VM: the I/O around control-core.h, with the data
 * folder, ONC RPC to replicas and entries, and the operators' HTTP API.
 */
#ifndef RIDGERIDGE_CONTROL_H
#define RIDGERIDGE_CONTROL_H

#include <glib.h>
#include <json-c/json.h>
#include <ulfius.h>

#include "control-core.h"
#include "settings.h"
#include "store.h"

/** The HTTP thread of an operator's request waits here for the reply. */
struct control_waiter {
    GMutex lock;          /**< guards the fields below */
    GCond changed;        /**< signaled when `done` is set */
    bool done;            /**< `status` is valid */
    struct status status; /**< the reply */
};

/** The process; the event loop's thread owns its state. */
struct control {
    struct settings settings; /**< of this VM */
    struct counters counters; /**< of this process */
    struct control_core core; /**< the replica */
    struct store store;       /**< the data folder */
    struct _u_instance http;  /**< operators' API */
    bool http_open;           /**< `http` is running */
    GHashTable *waiters;      /**< token to struct control_waiter */
    uint64_t next_token;      /**< last token given to a request */
};

/** Runs a control VM until SIGTERM or SIGINT. */
enum status_kind control_run(struct settings *settings, struct status *st);

/** Carries out the core's actions; call it after every event. */
void control_run_actions(struct control *control);

/* control-http.c */
enum status_kind control_open_http(struct control *control, struct status *st);
void control_close_http(struct control *control);

/* control-status.c */
json_object *control_status(struct control *control);

#endif
