/**
 * @file explain.h
 * Client side of the explain commands: queries all entries, and recomputes a
 * recorded flow decision from the bundle with the data plane's own code.
 */
#ifndef RIDGERIDGE_EXPLAIN_H
#define RIDGERIDGE_EXPLAIN_H

#include <glib.h>
#include <json-c/json.h>

#include "bundle.h"
#include "client.h"
#include "flow.h"

/** A flow by its caller and service. */
struct explain_flow {
    uint32_t source;                      /**< caller's address, host order */
    uint16_t source_port;                 /**< caller's port */
    const struct bundle_service *service; /**< in the bundle */
};

/** Same hash as packet_hash() at the entries. */
uint64_t explain_flow_hash(const struct explain_flow *flow);

/**
 * Gets `path` from every entry of the current epoch.
 * @param unanswered gets the names of entries without a valid response,
 * separated by commas
 * @return array of the JSON responses
 */
json_object *
explain_query_entries(const struct settings *settings,
                      const struct client_credentials *credentials,
                      const char *path, GString *unanswered,
                      struct status *st);

/** Fetches and parses the bundle in force. */
enum status_kind
explain_fetch_bundle(const struct settings *settings,
                     const struct client_credentials *credentials,
                     struct bundle *out, struct status *st);

/**
 * Recomputes a recorded flow decision from the bundle.
 * @return false when they differ, with both values in `why`
 */
bool explain_verify_flow(const struct bundle *bundle, const char *service,
                         uint64_t hash, json_object *decision, char *why,
                         size_t size);

#endif
