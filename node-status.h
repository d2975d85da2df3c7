/**
 * @file node-status.h
 * What a node tells operators of itself, as JSON: who leads, what is in
 * force, what it believes of upstreams, and why it decided about a flow.
 */
#ifndef RIDGERIDGE_NODE_STATUS_H
#define RIDGERIDGE_NODE_STATUS_H

#include <json-c/json.h>

#include "node.h"

/** Remembers a decision, to be explained later. */
void node_record(struct node *node, const struct evidence_packet *packet,
                 const struct evidence_verdict *verdict);

/** The state of the node. Release with json_object_put(). */
json_object *node_status(struct node *node);

/** The decisions about a flow, newest first, by the hash that logs name.
 * Release with json_object_put(). */
json_object *node_explain(const struct node *node, uint64_t flow);

#endif
