/* Bearer tokens and signatures of operators. */
#include "auth.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "library.h"

#define BEARER "Bearer "

const struct settings_operator *
auth_find_operator(const struct settings *settings,
                   const struct _u_request *request)
{
    const char *header =
        library_ulfius.map_get_case(request->map_header, "Authorization");
    const struct settings_operator *found = NULL;
    unsigned char digest[crypto_hash_sha256_BYTES];

    if (header == NULL || strncmp(header, BEARER, strlen(BEARER)) != 0) {
        return NULL;
    }
    header += strlen(BEARER);
    (void)crypto_hash_sha256(digest, (const unsigned char *)header,
                             strlen(header));
    for (size_t i = 0; i < settings->operator_count; i++) {
        if (sodium_memcmp(digest, settings->operators[i].token,
                          sizeof(digest)) == 0) {
            found = &settings->operators[i];
        }
    }
    return found;
}

size_t
auth_sign_off_message(uint64_t version, const unsigned char *digest,
                      unsigned char out[AUTH_SIGN_OFF_MAX])
{
    int n =
        snprintf((char *)out, AUTH_SIGN_OFF_MAX,
                 "ridgeridge sign-off v1 %llu ", (unsigned long long)version);

    memcpy(out + n, digest, crypto_hash_sha256_BYTES);
    return (size_t)n + crypto_hash_sha256_BYTES;
}

bool
auth_verify_sign_off(const struct settings_operator *op,
                     const wire_sign_off *sign)
{
    unsigned char bytes[AUTH_SIGN_OFF_MAX];
    size_t length = auth_sign_off_message(
        sign->bundle_version, (const unsigned char *)sign->digest, bytes);

    return crypto_sign_verify_detached((const unsigned char *)sign->signature,
                                       bytes, length, op->public_key) == 0;
}

/* The label's NUL byte separates it from the bytes that follow. */
void
auth_hash_labelled(const char *label, const void *bytes, size_t length,
                   char out[WIRE_KEY])
{
    crypto_hash_sha256_state state;
    unsigned char digest[crypto_hash_sha256_BYTES];

    (void)crypto_hash_sha256_init(&state);
    (void)crypto_hash_sha256_update(&state, (const unsigned char *)label,
                                    strlen(label) + 1);
    if (length > 0) {
        (void)crypto_hash_sha256_update(&state, bytes, length);
    }
    (void)crypto_hash_sha256_final(&state, digest);
    memcpy(out, digest, WIRE_KEY);
}

void
auth_hash_request_key(const char *host, const char *key, char out[WIRE_KEY])
{
    auth_hash_labelled(host, key, strlen(key), out);
}
