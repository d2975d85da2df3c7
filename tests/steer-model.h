/**
 * @file steer-model.h
 * What the steer-*.c files share: the state of the model, its events, and its
 * upstreams. Nothing else includes it.
 */
#ifndef RIDGERIDGE_STEER_MODEL_H
#define RIDGERIDGE_STEER_MODEL_H

#include "evidence.h"
#include "steer-load.h"

#define CLIENT_MS 3U     /* one way between a caller and nodes, upstreams */
#define INSIDE_MS 1U     /* one way between a node and an upstream */
#define BEAT_MS 1200U    /* between registrations of an upstream */
#define BEGIN_MS 100000U /* time at which the model starts */
#define NONE UINT32_MAX

/* What happens. */
enum event_kind {
    EV_REQUEST, /* caller: wants something */
    EV_FIRST,   /* caller, copy: a first packet is at the node */
    EV_OPENED,  /* caller, upstream: the flow opened */
    EV_UNOPENED,
    EV_DATA,   /* caller, copy: data is at the node */
    EV_ARRIVE, /* caller, upstream: data is at the upstream */
    EV_TAKEN,  /* caller: the upstream has the data */
    EV_DONE,   /* caller, upstream: its request has run */
    EV_ANSWER, /* caller, upstream */
    EV_SHED,   /* caller: turned away */
    EV_ACK,    /* caller: its acknowledgement is at the node */
    EV_RESET,  /* caller */
    EV_BUDGET, /* caller: gives up */
    EV_BEAT,   /* upstream: registers */
    EV_TICK,   /* node */
    EV_DIE,    /* upstream */
    EV_RENEW,  /* upstream: a cold one takes its place */
    EV_GONE    /* upstream */
};

struct event {
    uint64_t at;
    uint64_t order;
    enum event_kind kind;
    unsigned who;
    unsigned other; /* upstream or copy */
    unsigned turn;  /* of the caller's request; others are over */
};

struct caller {
    bool is_short;
    bool pending;
    bool taken; /* the upstream has the data */
    bool opening;
    unsigned turn;
    unsigned tries;
    unsigned up; /* of the open flow, NONE */
    uint32_t token;
    uint16_t port;
    uint32_t acknowledged;
    uint32_t sequence;
    uint64_t began_at;
    uint64_t sent_at; /* first data at the node */
};

struct server {
    uint64_t id;
    unsigned keeper;
    uint64_t sequence;
    bool alive;
    bool leaving;
    bool from_start;
    uint64_t cold_until;
    uint64_t died_at;
    unsigned running;
    unsigned open; /* flows */
    unsigned arrivals;
    bool slow;
    GArray *waiting; /* unsigned: callers; their turn follows each */
};

struct model {
    const struct steer_scene *scene;
    enum steer_way way;
    struct steer_result *result;
    uint64_t now;
    uint64_t random;
    uint64_t orders;
    GArray *heap; /* struct event */
    struct caller *callers;
    GPtrArray *servers; /* struct server */
    struct counters *counters;
    struct upstream_set *sets;
    struct evidence *nodes;
    unsigned asking;     /* node that decides now */
    uint64_t decisions;  /* so far */
    uint64_t decided_ns; /* processor time of all */
    uint64_t snapshot_at;
    GHashTable *by_id; /* id to struct server */
    double *took;      /* by node and server: ms lately, 0: unknown */
    unsigned *placed;  /* by node and server */
    unsigned *shared;  /* by server: open flows at the snapshot */
    unsigned stride;   /* servers at most */
    unsigned drawn[2]; /* servers of this decision */
    uint64_t bytes;
};

/* steer-model.c */
/* Lets something happen later. */
void model_plan(struct model *m, uint64_t at, enum event_kind kind,
                unsigned who, unsigned other, unsigned turn);
/* Takes what happens next. */
struct event model_next(struct model *m);
/* A number from 0 to 1. */
double model_draw(struct model *m);
/* Says whether a packet is lost. */
bool model_is_lost(struct model *m);
/* An upstream by index. */
struct server *model_server(const struct model *m, unsigned index);
/* Index of an upstream by id, NONE when there is none. */
unsigned model_index_of(const struct model *m, uint64_t id);

/* steer-policies.c */
/* Makes nodes choose by the way of a model. */
void way_begin(struct model *m);
/* Lets them choose as the program does. */
void way_end(const struct model *m);
/* Takes shared counts, when they are due. */
void way_take_snapshot(struct model *m);

/* steer-servers.c */
/* Passes on what a node believes anew, and its doubts. */
void server_spread(struct model *m, unsigned n);
/* Lets an upstream register. */
void server_beat(struct model *m, unsigned s);
/* Adds an upstream, which registers from now on. */
unsigned server_add(struct model *m, bool cold);
/* Data arrives at an upstream. */
void server_arrive(struct model *m, unsigned s, unsigned caller,
                   unsigned turn);
/* A request has run: the next one begins. */
void server_finish(struct model *m, unsigned s, unsigned caller,
                   unsigned turn);
/* An upstream is replaced by a cold one. */
void server_renew(struct model *m, unsigned s);
/* An upstream that left has ended. */
void server_go(struct model *m, unsigned s);
/* Says whether an upstream is in its slow spell. */
bool server_is_slow(const struct model *m, const struct server *server);
/* Frees an upstream. */
void server_free(gpointer data);

#endif
