/**
 * @file bundle.h
 * A bundle: the services, their upstreams and which of these are leaving. It
 * is parsed from JSON with comments and validated as a whole, then against the
 * bundle that it replaces.
 */
#ifndef RIDGERIDGE_BUNDLE_H
#define RIDGERIDGE_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "schema.h"
#include "status.h"

#define BUNDLE_NAME_MAX 63
#define BUNDLE_SERVICES_MAX 4096
#define BUNDLE_UPSTREAMS_MAX 16384
#define BUNDLE_DIGEST_BYTES 32

enum bundle_kind { BUNDLE_FLOW, BUNDLE_REQUEST };

enum bundle_protocol { BUNDLE_TCP, BUNDLE_UDP };

enum bundle_state { BUNDLE_SERVING, BUNDLE_LEAVING };

struct bundle_upstream {
    char name[BUNDLE_NAME_MAX + 1]; /**< unique in the service */
    uint32_t address;               /**< IPv4, host order */
    uint64_t port;
    uint64_t weight; /**< relative share of new flows or requests */
    uint64_t slots;  /**< concurrent requests */
    int state;       /**< enum bundle_state */
    char hall[BUNDLE_NAME_MAX + 1];
};

/** Service level objective. */
struct bundle_objective {
    uint64_t within_ms; /**< longest response time that counts as good */
    uint64_t good_per_ten_thousand; /**< share of good requests or flows */
};

struct bundle_service {
    char name[BUNDLE_NAME_MAX + 1];    /**< unique in the bundle */
    int kind;                          /**< enum bundle_kind */
    uint32_t address;                  /**< flow: IPv4 address, host order */
    uint64_t port;                     /**< flow */
    int protocol;                      /**< flow: enum bundle_protocol */
    char host[BUNDLE_NAME_MAX + 1];    /**< request: Host header */
    struct bundle_objective objective; /**< for the burn-rate report */
    struct bundle_upstream *upstreams;
    size_t upstream_count;
};

struct bundle {
    uint64_t version; /**< set by operators, increasing */
    uint64_t base;    /**< version that it is based on, 0: first bundle */
    struct bundle_service *services; /**< in the order of the file */
    size_t service_count;
    unsigned char digest[BUNDLE_DIGEST_BYTES]; /**< SHA-256 of the text */
};

/** Keys of a bundle, also printed into docs/BUNDLE.md. */
extern const struct schema bundle_schema;

/** Parses and validates a bundle; free with bundle_free(). */
enum status_kind bundle_read(const char *source, const char *text,
                             size_t length, struct bundle *out,
                             struct status *st);

/** bundle_read() of a file. */
enum status_kind bundle_load(const char *path, struct bundle *out,
                             struct status *st);

void bundle_free(struct bundle *bundle);

void bundle_digest(const char *text, size_t length,
                   unsigned char digest[BUNDLE_DIGEST_BYTES]);

/** An address and port, and the service that it belongs to. */
struct bundle_endpoint {
    uint32_t address; /**< IPv4, host order */
    uint16_t port;    /**< TCP or UDP */
    uint64_t service; /**< hash of the service's name */
};

/** Endpoints of flow services and of all upstreams; free with g_free(). */
struct bundle_endpoint *bundle_endpoints(const struct bundle *bundle,
                                         size_t *count);

/**
 * Refuses to reassign an endpoint to another service, since entries with an
 * older table would send it packets of the old one, and to remove an upstream
 * that is not leaving, since that would break its flows.
 */
enum status_kind bundle_check_successor(const struct bundle *before,
                                        const struct bundle *after,
                                        struct status *st);

/** Returns NULL when there is none. */
const struct bundle_service *bundle_find_service(const struct bundle *bundle,
                                                 const char *name);

#endif
