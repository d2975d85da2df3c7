/**
 * @file pack.h
 * Deflating by zlib (RFC 1950), for documents in the log and for large messages
 * between nodes. Knows nothing of what the bytes are.
 */
#ifndef RIDGERIDGE_PACK_H
#define RIDGERIDGE_PACK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * Deflates bytes, as fast as zlib can.
 * @return NULL when zlib is out of memory; free with g_byte_array_unref()
 */
GByteArray *pack_deflate(const void *bytes, size_t length);

/**
 * Inflates bytes.
 * @param out receives exactly `length` bytes
 * @return false when the bytes are damaged or hold another length
 */
bool pack_inflate(const void *packed, size_t packed_length, void *out,
                  size_t length);

#endif
