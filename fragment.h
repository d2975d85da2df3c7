/**
 * @file fragment.h
 * Fragmentation of messages that exceed a UDP datagram, and their reassembly.
 * A message with a lost fragment is dropped; its sender retries. Owns the
 * reassembly buffers; does no I/O.
 */
#ifndef RIDGERIDGE_FRAGMENT_H
#define RIDGERIDGE_FRAGMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"

#define FRAGMENT_DATAGRAM_MAX                                                 \
    65507U /**< payload bytes of UDP over IPv4 (RFC 768, RFC 791) */
#define FRAGMENT_UNSPLIT_MAX                                                  \
    65499U /**< bytes of a message without fragmentation; a checksum of 8     \
              bytes precedes it */
#define FRAGMENT_COUNT_MAX                                                    \
    24U /**< fragments of one message, 1.1 MiB: above the largest routing     \
           table */
#define FRAGMENT_BUFFERS_MAX                                                  \
    8U /**< the oldest is evicted when all are in use */
#define FRAGMENT_TIMEOUT_MS                                                   \
    2000U /**< reassembly timeout, above the senders' retry intervals */

/** Reassembly buffer of one message. */
struct fragment_buffer {
    uint64_t message;  /**< number of the message; 0: the buffer is free */
    uint64_t deadline; /**< of the reassembly */
    uint32_t count;    /**< of `fragments` */
    uint32_t received; /**< fragments received */
    GByteArray *fragments[FRAGMENT_COUNT_MAX]; /**< by index; NULL: missing */
};

struct fragment_table {
    struct fragment_buffer buffers[FRAGMENT_BUFFERS_MAX]; /**< unordered */
};

/**
 * Splits an encoded message.
 * @param number unique number of the message, not 0
 * @return encoded WIRE_PART messages, GByteArray, in order; NULL when it
 *         exceeds FRAGMENT_COUNT_MAX. Free with g_ptr_array_unref().
 */
GPtrArray *fragment_split(uint64_t number, const uint8_t *bytes,
                          size_t length);

/**
 * Adds a received fragment.
 * @return the message once it is complete, else NULL; free with
 *         g_byte_array_unref()
 */
GByteArray *fragment_receive(struct fragment_table *table, uint64_t now,
                             const wire_part *fragment);

/** Frees all reassembly buffers. */
void fragment_close(struct fragment_table *table);

#endif
