/**
 * @file fragment.h
 * Messages that no datagram holds, in parts. A lost part loses the message,
 * which is sent again by its own rule. Owns the parts that have arrived; does
 * no I/O.
 */
#ifndef RIDGERIDGE_PART_H
#define RIDGERIDGE_PART_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"

#define PART_DATAGRAM_MAX                                                     \
    65507U /**< bytes of a datagram over IPv4 (RFC 768, RFC 791) */
#define PART_MESSAGE_MAX                                                      \
    65499U /**< bytes of a message that is sent whole: the checksum before    \
                it has 8 */
#define PART_COUNT_MAX                                                        \
    24U /**< parts of one message: 1.1 MiB, more than the largest table */
#define PART_OPEN_MAX                                                         \
    8U /**< messages that are being put together; the oldest makes room */
#define PART_WAIT_MS                                                          \
    2000U /**< a message whose parts stay away so long is given up: whoever   \
               lacks it was sent another one by then */

/** A message of which parts have arrived. */
struct part_open {
    uint64_t message;                  /**< its number; 0: the place is free */
    uint64_t until;                    /**< deadline: given up then */
    uint32_t count;                    /**< of parts */
    uint32_t arrived;                  /**< of those */
    GByteArray *parts[PART_COUNT_MAX]; /**< by place; NULL: not arrived */
};

/** The messages that are being put together. */
struct part_box {
    struct part_open open[PART_OPEN_MAX]; /**< in no order */
};

/**
 * Splits an encoded message.
 * @param number drawn for this message
 * @return encoded messages, GByteArray, in order; NULL when it is too large.
 *         Free with g_ptr_array_unref().
 */
GPtrArray *part_split(uint64_t number, const uint8_t *bytes, size_t length);

/**
 * Takes a part.
 * @return the message once all of it has arrived, else NULL; free with
 *         g_byte_array_unref()
 */
GByteArray *part_take(struct part_box *box, uint64_t now,
                      const wire_part *part);

/** Frees what has arrived. */
void part_close(struct part_box *box);

#endif
