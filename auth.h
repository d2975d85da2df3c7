/**
 * @file auth.h
 * Authentication of operators: bearer tokens (RFC 6750), compared by SHA-256,
 * and Ed25519 signatures of sign-offs (RFC 8032). Also hashes request keys.
 */
#ifndef RIDGERIDGE_AUTH_H
#define RIDGERIDGE_AUTH_H

#include <stdbool.h>
#include <ulfius.h>

#include "generated/wire.h"
#include "settings.h"

/** Returns NULL when the request has no token of an operator. */
const struct settings_operator *
auth_find_operator(const struct settings *settings,
                   const struct _u_request *request);

/** First WIRE_KEY bytes of SHA-256 over a label, its NUL and the bytes. */
void auth_hash_labelled(const char *label, const void *bytes, size_t length,
                        char out[WIRE_KEY]);

/** Hashes a Host (lower case, no port) and an Idempotency-Key. */
void auth_hash_request_key(const char *host, const char *key,
                           char out[WIRE_KEY]);

/** Writes the signed message: a label, the version and the digest. Returns its
 * length. */
#define AUTH_SIGN_OFF_MAX 128 /**< bytes of the signed message */
size_t auth_sign_off_message(uint64_t version, const unsigned char *digest,
                             unsigned char out[AUTH_SIGN_OFF_MAX]);

/** Verifies a sign-off against the public key of its operator. */
bool auth_verify_sign_off(const struct settings_operator *op,
                          const wire_sign_off *sign);

#endif
