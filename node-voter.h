/**
 * @file node-voter.h
 * What the two threads of a node with a disk say to each other: jobs that the
 * loop's thread queues for the voter, and news that the voter posts back. Only
 * node-voter.c (the loop's side) and node-voter-thread.c include it.
 */
#ifndef RIDGERIDGE_NODE_VOTER_H
#define RIDGERIDGE_NODE_VOTER_H

#include "node.h"
#include "replica.h"

/** What the loop asks of the voter. */
enum voter_job_kind {
    VOTER_JOB_MESSAGE, /* of another voter */
    VOTER_JOB_DISK,    /* a disk is alive */
    VOTER_JOB_FOUND,   /* found the quorum */
    VOTER_JOB_SUBMIT,  /* an operator's table */
    VOTER_JOB_HALL,    /* an operator's order about a hall */
    VOTER_JOB_READ,    /* an operator's question */
    VOTER_JOB_KEEP,    /* store the inventory */
    VOTER_JOB_RESIGN,  /* give up leading */
    VOTER_JOB_STOP     /* end the thread */
};

/** One job. */
struct voter_job {
    enum voter_job_kind kind; /* which of the following is set */
    uint64_t queued_at;       /* time */
    GByteArray *bytes;        /* MESSAGE, KEEP; owned */
    wire_node disk;           /* DISK */
    uint64_t token;           /* SUBMIT, HALL, READ */
    wire_routes routes;       /* SUBMIT; packed is owned */
    struct hall_order hall;   /* HALL */
};

/** What the voter tells the loop. */
struct voter_news {
    struct node *node;
    bool opened;       /* the folder was opened: `identity` to `kept` */
    uint64_t identity; /* of the disk */
    uint32_t voters[CONS_REPLICAS_MAX]; /* their addresses */
    u_int voter_count;                  /* of voters */
    GByteArray *kept;                   /* the inventory stored, or NULL */
    bool has_leader;                    /* `term` and `leader` are told */
    uint64_t term;                      /* of the leader */
    uint32_t leader;                    /* 0: none is known */
    bool has_answer;                    /* `token` to `with_table` are told */
    uint64_t token;                     /* of the call */
    struct status status;               /* of the answer */
    bool with_table;                    /* the answer carries `routes` */
    bool apply;                         /* `routes`, `halls` were committed */
    struct hall_set halls;              /* that are emptied */
    wire_routes routes;                 /* packed is owned */
};

/** What the voter's thread is started with; both live as long as it runs. */
struct voter_start {
    struct node *node; /**< of its fields only settings, counters, histograms
                            and peers_fd are used by the thread */
    GAsyncQueue *jobs; /**< struct voter_job */
};

/** Runs the voter until VOTER_JOB_STOP; `data` is a struct voter_start. */
gpointer voter_run(gpointer data);

/** Takes a struct voter_news on the loop's thread, and frees it. */
void voter_on_news(void *data);

/** Frees a job. */
void voter_free_job(struct voter_job *job);

#endif
