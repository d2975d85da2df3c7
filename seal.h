/**
 * @file seal.h
 * Messages between processes are sealed with the deployment's shared key
 * (libsodium secretbox, XSalsa20-Poly1305), so that a stranger on the network
 * can neither read nor make one.
 */
#ifndef RIDGERIDGE_SEAL_H
#define RIDGERIDGE_SEAL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#define SEAL_KEY_BYTES 32
#define SEAL_OVERHEAD 40 /**< bytes a sealed message is longer */

/** Sets the key of this process; 32 bytes. False if libsodium fails. */
bool seal_open(const unsigned char key[SEAL_KEY_BYTES]);

/** Seals bytes; free the array with g_byte_array_unref(). */
GByteArray *seal_close_message(const void *bytes, size_t length);

/** Opens a sealed message; NULL when it was not made with the key. */
GByteArray *seal_open_message(const void *bytes, size_t length);

#endif
