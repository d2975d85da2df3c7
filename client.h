/**
 * @file client.h
 * HTTP client of the operator commands, on libcurl. Requests to control try
 * one control VM after the other until the leader responds.
 */
#ifndef RIDGERIDGE_CLIENT_H
#define RIDGERIDGE_CLIENT_H

#include <json-c/json.h>
#include <stdint.h>

#include "settings.h"
#include "status.h"

/** Contents of a credentials file, as written by `ridgeridge keygen`. */
struct client_credentials {
    char name[SETTINGS_NAME_MAX + 1]; /**< as in the settings */
    char token[65];                   /**< bearer token */
    unsigned char secret_key[64];     /**< Ed25519, for sign-offs */
};

struct client_reply {
    long status;   /**< HTTP status; 0: no response */
    char *body;    /**< owned; never NULL after a request */
    size_t length; /**< of body */
};

extern const struct schema client_credentials_schema;

enum status_kind client_load_credentials(const char *path,
                                         struct client_credentials *out,
                                         struct status *st);

/**
 * Sends one HTTP request.
 * @param credentials may be NULL: no Authorization header
 * @param submission idempotency key; may be NULL
 */
void client_request(const char *method, const char *url,
                    const struct client_credentials *credentials,
                    const char *submission, const char *body, size_t length,
                    struct client_reply *out);

/**
 * Sends a request to the control VMs in turn until the leader responds.
 * @return STATUS_NO_ANSWER if none does, STATUS_UNCONFIRMED if only followers
 *   respond, otherwise by the HTTP status
 */
enum status_kind
client_request_control(const struct settings *settings,
                       const struct client_credentials *credentials,
                       const char *method, const char *path,
                       const char *submission, const char *body, size_t length,
                       struct client_reply *out, struct status *st);

/** Parses the body as JSON; NULL if it is malformed. */
json_object *client_json(const struct client_reply *reply);

/** "" if the member is missing or no string. */
const char *client_text(json_object *doc, const char *key);

/** 0 if the member is missing. */
int64_t client_number(json_object *doc, const char *key);

/** Frees the body. */
void client_free(struct client_reply *reply);

#endif
