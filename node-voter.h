/**
 * @file node-voter.h
 * Message queues between the loop's thread (node-voter.c) and the voter's
 * thread (node-voter-thread.c): jobs in one direction, updates in the other.
 */
#ifndef RIDGERIDGE_NODE_VOTER_H
#define RIDGERIDGE_NODE_VOTER_H

#include "node.h"
#include "replica.h"

/** Kinds of jobs from the loop to the voter. */
enum voter_job_kind {
    VOTER_JOB_MESSAGE,        /* consensus message of another voter */
    VOTER_JOB_DISK,           /* a node with a disk is alive */
    VOTER_JOB_BOOTSTRAP,      /* start a new cluster */
    VOTER_JOB_SUBMIT_TABLE,   /* propose a table */
    VOTER_JOB_SUBMIT_HALL,    /* propose an order about a data hall */
    VOTER_JOB_READ_TABLE,     /* read the committed table */
    VOTER_JOB_SAVE_INVENTORY, /* save the inventory */
    VOTER_JOB_LEAVE,          /* the node stops as planned */
    VOTER_JOB_STOP            /* end the thread */
};

struct voter_job {
    enum voter_job_kind kind; /* selects the fields below */
    uint64_t queued_at;       /* ms of loop_now() */
    GByteArray *bytes;        /* MESSAGE, SAVE_INVENTORY; owned */
    wire_node disk;           /* DISK */
    uint64_t token; /* of the request: SUBMIT_TABLE, SUBMIT_HALL, READ_TABLE */
    wire_routes routes;     /* SUBMIT_TABLE; packed is owned */
    struct hall_order hall; /* SUBMIT_HALL */
};

/** An update from the voter to the loop; each flag selects fields. */
struct voter_update {
    struct node *node;
    bool opened;           /* `identity` and `inventory` are set */
    uint64_t identity;     /* of the disk */
    GByteArray *inventory; /* as saved, or NULL */
    bool has_voters;       /* `in_quorum` up to `voter_count` are set */
    bool in_quorum;        /* the quorum may need this disk */
    struct fleet_disk voters[FLEET_VOTERS_MAX];
    size_t voter_count;
    bool has_leader; /* `term` and `leader` are set */
    uint64_t term;
    uint32_t leader;       /* IPv4 address, 0: none is known */
    bool has_reply;        /* `token` up to `with_table` are set */
    uint64_t token;        /* of the request */
    struct status status;  /* of the reply */
    bool with_table;       /* the reply includes `routes` */
    bool committed;        /* `halls` and `routes` were committed */
    struct hall_set halls; /* drained data halls */
    wire_routes routes;    /* packed is owned */
};

/** Arguments of voter_run(), valid until it returns. */
struct voter_thread_args {
    struct node *node; /**< the thread uses only settings, counters, histograms
                            and peers_fd */
    GAsyncQueue *jobs; /**< struct voter_job */
};

/** Runs the voter until VOTER_JOB_STOP; `data` is a struct
 * voter_thread_args. */
gpointer voter_run(gpointer data);

/** Handles and frees a struct voter_update, on the loop's thread. */
void voter_on_update(void *data);

void voter_free_job(struct voter_job *job);

#endif
