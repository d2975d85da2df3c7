/**
 * @file node-http.h
 * What node-http.c and node-operator.c share: one call over HTTP, and how it
 * is answered. Nothing else includes it.
 */
#ifndef RIDGERIDGE_NODE_HTTP_H
#define RIDGERIDGE_NODE_HTTP_H

#include "node.h"

#define NODE_HTTP_RETRY_S "1" /**< an election takes about that long */

/* What an operator's call that waits for the voter does. */
enum call_kind { CALL_READ, CALL_TABLE, CALL_HALL };

/* One call. */
struct call {
    struct node *node;
    struct MHD_Connection *connection;
    GByteArray *body;
    bool too_large;           /* the body is past PLATFORM_BODY_MAX */
    bool registers;           /* is a registration */
    enum call_kind kind;      /* of an operator's call */
    uint64_t token;           /* 0: not suspended */
    uint64_t began_us;        /* for its duration */
    struct MHD_Response *out; /* set when it is resumed */
    unsigned code;            /* of `out` */
};

/* node-http.c */
/** Queues an answer. */
enum MHD_Result node_http_answer(struct call *call, unsigned code,
                                 const char *type, const char *body,
                                 size_t length);
/** Answers with a reason. */
enum MHD_Result node_http_refuse(struct call *call, unsigned code,
                                 const char *reason);

/* node-operator.c */
/** An operator sends a table. */
enum MHD_Result node_operator_submit(struct call *call, const char *path);
/** An operator empties a hall, or takes it back. */
enum MHD_Result node_operator_order(struct call *call, const char *path,
                                    const char *hall, bool emptied);
/** An operator asks for the table. */
enum MHD_Result node_operator_read(struct call *call, const char *path);

#endif
