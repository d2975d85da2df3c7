/**
 * @file explain.h
 * The operators' side of explaining: what every entry recorded about a
 * subject, and the recomputation of a decision from the bundle with the same
 * core that made it.
 */
#ifndef RIDGERIDGE_EXPLAIN_H
#define RIDGERIDGE_EXPLAIN_H

#include <glib.h>
#include <json-c/json.h>

#include "bundle.h"
#include "client.h"
#include "flow.h"

/** A flow as an operator names it. */
struct explain_flow {
    uint32_t source;                      /**< caller's address, host order */
    uint16_t source_port;                 /**< caller's port */
    const struct bundle_service *service; /**< of the bundle */
};

/** Hash of a flow, as entries compute it. */
uint64_t explain_hash(const struct explain_flow *flow);

/**
 * Asks every entry of the epoch for a page.
 * @param silent entries that did not answer, by name
 * @return an array of answers
 */
json_object *explain_ask_entries(const struct settings *settings,
                                 const struct client_credentials *credentials,
                                 const char *path, GString *silent,
                                 struct status *st);

/** Fetches and reads the bundle in force. */
enum status_kind
explain_load_bundle(const struct settings *settings,
                    const struct client_credentials *credentials,
                    struct bundle *out, struct status *st);

/**
 * Recomputes a recorded flow decision from the bundle.
 * @return false with both sides in `why` when they differ
 */
bool explain_verify_flow(const struct bundle *bundle, const char *service,
                         uint64_t hash, json_object *decision, char *why,
                         size_t size);

#endif
