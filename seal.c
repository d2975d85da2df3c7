/* Encryption of messages with libsodium. */
#include "seal.h"

#include <sodium.h>
#include <string.h>

G_STATIC_ASSERT(SEAL_KEY_BYTES == crypto_secretbox_KEYBYTES);
G_STATIC_ASSERT(SEAL_OVERHEAD ==
                crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES);

static unsigned char seal_key[SEAL_KEY_BYTES];

bool
seal_set_key(const unsigned char key[SEAL_KEY_BYTES])
{
    memcpy(seal_key, key, sizeof(seal_key));
    return sodium_init() >= 0;
}

/* Layout: nonce, MAC, ciphertext. */
GByteArray *
seal_encrypt(const void *bytes, size_t length)
{
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(out, (guint)(length + SEAL_OVERHEAD));
    randombytes_buf(out->data, crypto_secretbox_NONCEBYTES);
    (void)crypto_secretbox_easy(out->data + crypto_secretbox_NONCEBYTES, bytes,
                                length, out->data, seal_key);
    return out;
}

GByteArray *
seal_decrypt(const void *bytes, size_t length)
{
    const unsigned char *in = bytes;
    GByteArray *out;

    if (length < SEAL_OVERHEAD) {
        return NULL;
    }
    out = g_byte_array_new();
    g_byte_array_set_size(out, (guint)(length - SEAL_OVERHEAD));
    if (crypto_secretbox_open_easy(out->data, in + crypto_secretbox_NONCEBYTES,
                                   length - crypto_secretbox_NONCEBYTES, in,
                                   seal_key) != 0) {
        g_byte_array_unref(out);
        return NULL;
    }
    return out;
}
