/**
 * @file steer-model.h
 * State and events of the steering model, shared by the steer-*.c files alone.
 */
#ifndef RIDGERIDGE_STEER_MODEL_H
#define RIDGERIDGE_STEER_MODEL_H

#include "evidence.h"
#include "steer-load.h"

#define CLIENT_DELAY_MS 3U   /* one way, caller to node or upstream */
#define UPSTREAM_DELAY_MS 1U /* one way, node to upstream */
#define REGISTRATION_MS 1200U
#define START_MS 100000U /* simulated time at the start */
#define NONE UINT32_MAX

/* Events, with the meaning of target and argument. */
enum event_kind {
    EV_REQUEST,      /* caller: starts a request */
    EV_FIRST_PACKET, /* caller, retransmission: reaches the node */
    EV_OPENED,       /* caller, upstream */
    EV_RETRANSMIT,   /* caller, retransmission: its timer expires */
    EV_NODE_DATA,    /* caller, retransmission: data reaches the node */
    EV_SERVER_DATA,  /* caller, upstream: data reaches the upstream */
    EV_DATA_ACK,     /* caller */
    EV_DONE,         /* caller, upstream: the request is processed */
    EV_RESPONSE,     /* caller, upstream: reaches the caller */
    EV_REJECTED,     /* caller: its upstream's queue is full */
    EV_ACK,          /* caller: its acknowledgement reaches the node */
    EV_RESET,        /* caller */
    EV_TIMEOUT,      /* caller */
    EV_REGISTER,     /* upstream */
    EV_TICK,         /* node */
    EV_CRASH,        /* upstream */
    EV_REPLACE,      /* upstream: drains while a new one starts */
    EV_STOPPED       /* upstream */
};

struct event {
    uint64_t at;
    uint64_t sequence; /* breaks ties of `at` */
    enum event_kind kind;
    unsigned target;
    unsigned argument;
    unsigned generation; /* of the caller; events of older ones are stale */
};

struct caller {
    bool is_short; /* one request per flow */
    bool pending;
    bool delivered; /* the upstream received the request */
    bool opening;
    unsigned generation; /* increases with each request and new flow */
    unsigned attempts;
    unsigned upstream; /* of the open flow, or NONE */
    uint32_t token;
    uint16_t port;
    uint32_t acknowledged;
    uint32_t sequence;
    uint64_t started_at;
    uint64_t sent_at; /* first transmission of the data, at the node */
};

struct server {
    uint64_t id;
    unsigned keeper;
    uint64_t sequence;
    bool alive;
    bool leaving;
    bool whole_run; /* alive from the start on, neither crashed nor replaced */
    uint64_t warmup_until;
    uint64_t died_at;
    unsigned running;
    unsigned open; /* flows */
    unsigned arrivals;
    bool slow;
    GArray *backlog; /* unsigned: caller and its generation in turn */
};

struct model {
    const struct steer_scenario *scenario;
    enum steer_policy policy;
    struct steer_result *result;
    uint64_t now;
    uint64_t random;
    uint64_t event_count;
    GArray *heap; /* struct event */
    struct caller *callers;
    GPtrArray *servers; /* struct server */
    struct counters *counters;
    struct upstream_set *sets;
    struct evidence *nodes;
    unsigned deciding_node;
    uint64_t decisions;
    uint64_t decision_ns; /* CPU time */
    uint64_t snapshot_at;
    GHashTable *by_id;      /* id to struct server */
    double *latency_ms;     /* by node and server; 0: unknown */
    unsigned *assigned;     /* flows by node and server */
    unsigned *shared;       /* by server: open flows at the snapshot */
    unsigned stride;        /* maximum number of servers */
    unsigned candidates[2]; /* servers drawn for the current decision */
    uint64_t bytes;
};

/* steer-model.c */
void model_schedule(struct model *m, uint64_t at, enum event_kind kind,
                    unsigned target, unsigned argument, unsigned generation);
struct event model_next_event(struct model *m);
/* Uniform in [0, 1). */
double model_uniform(struct model *m);
/* Draws whether a packet is lost. */
bool model_packet_is_lost(struct model *m);
struct server *model_server(const struct model *m, unsigned index);
/* Returns NONE for an unknown id. */
unsigned model_index_of(const struct model *m, uint64_t id);

/* steer-policies.c */
/* Makes nodes choose by the model's policy; one model at a time. */
void policy_install(struct model *m);
/* Restores the program's own policy. */
void policy_remove(const struct model *m);
/* Refreshes the shared flow counts when they are due. */
void policy_take_snapshot(struct model *m);

/* steer-servers.c */
/* Delivers a node's reports to the keepers and its changes to all nodes. */
void server_broadcast(struct model *m, unsigned n);
void server_register(struct model *m, unsigned s);
/* Adds an upstream with its timer for registrations; returns its index. */
unsigned server_add(struct model *m, bool warming_up);
void server_receive(struct model *m, unsigned s, unsigned caller,
                    unsigned generation);
/* Sends the response and starts the next request of the queue. */
void server_finish(struct model *m, unsigned s, unsigned caller,
                   unsigned generation);
/* Drains an upstream and adds a new one that warms up. */
void server_replace(struct model *m, unsigned s);
/* Deregisters a drained upstream. */
void server_stop(struct model *m, unsigned s);
bool server_is_slow(const struct model *m, const struct server *server);
void server_free(gpointer data);

#endif
