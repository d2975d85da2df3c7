/**
 * @file seal.h
 * Authenticated encryption of messages between processes with the shared
 * cluster key (libsodium secretbox, XSalsa20-Poly1305).
 */
#ifndef RIDGERIDGE_SEAL_H
#define RIDGERIDGE_SEAL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#define SEAL_KEY_BYTES 32
#define SEAL_OVERHEAD 40 /**< bytes of nonce and MAC per message */

/** Sets the key of this process. False if libsodium fails to initialize. */
bool seal_set_key(const unsigned char key[SEAL_KEY_BYTES]);

/** Encrypts under a random nonce; free with g_byte_array_unref(). */
GByteArray *seal_encrypt(const void *bytes, size_t length);

/** Returns NULL when the message is too short or not authentic. */
GByteArray *seal_decrypt(const void *bytes, size_t length);

#endif
