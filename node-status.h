/**
 * @file node-status.h
 * Introspection of a node as JSON: its state, its upstreams, and the
 * decisions about a flow.
 */
#ifndef RIDGERIDGE_NODE_STATUS_H
#define RIDGERIDGE_NODE_STATUS_H

#include <json-c/json.h>

#include "node.h"

/** Records a decision in the ring that node_explain() reads. */
void node_record_decision(struct node *node,
                          const struct evidence_packet *packet,
                          const struct evidence_verdict *verdict);

/** The body of /v1/status. Release with json_object_put(). */
json_object *node_status(struct node *node);

/** The recorded decisions about a flow, newest first. `flow` is the hash in
 * log lines. Release with json_object_put(). */
json_object *node_explain(const struct node *node, uint64_t flow);

#endif
