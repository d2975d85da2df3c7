/**
 * @file node-http.h
 * HTTP requests to a node and their responses, shared by node-http.c and
 * node-operator.c.
 */
#ifndef RIDGERIDGE_NODE_HTTP_H
#define RIDGERIDGE_NODE_HTTP_H

#include "node.h"

#define NODE_HTTP_RETRY_AFTER_S                                               \
    "1" /**< about the duration of a leader election */

/* Requests of operators that the voter handles. */
enum http_request_kind {
    REQUEST_READ_TABLE,
    REQUEST_SUBMIT_TABLE,
    REQUEST_SET_HALL
};

struct http_request {
    struct node *node;
    struct MHD_Connection *connection;
    GByteArray *body;
    bool too_large; /* the body exceeds PLATFORM_BODY_MAX */
    bool is_registration;
    enum http_request_kind kind;   /* of an operator's request */
    uint64_t token;                /* 0: not suspended */
    uint64_t started_us;           /* to measure its latency */
    struct MHD_Response *response; /* set before it resumes */
    unsigned status_code;          /* of `response` */
};

/* node-http.c */
/** Queues a response. */
enum MHD_Result node_http_respond(struct http_request *request,
                                  unsigned status_code, const char *type,
                                  const char *body, size_t length);
/** Queues an error response with a reason. */
enum MHD_Result node_http_respond_error(struct http_request *request,
                                        unsigned status_code,
                                        const char *reason);

/* node-operator.c */
/** Handles the submission of a routing table. */
enum MHD_Result node_operator_submit(struct http_request *request,
                                     const char *path);
/** Handles an order that drains or undrains a data hall. */
enum MHD_Result node_operator_set_hall(struct http_request *request,
                                       const char *path, const char *hall,
                                       bool drained);
/** Handles a read of the committed table. */
enum MHD_Result node_operator_read(struct http_request *request,
                                   const char *path);

#endif
