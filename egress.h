/**
 * @file egress.h
 * In which order what a node sends leaves by its link, and when: never more
 * than the link takes, since what does not fit is lost without a word, comes
 * again as copies that fill the link, and looks like the silence of whoever
 * was to answer. Each caller's flow has a queue; queues take turns by bytes,
 * and one that has just begun goes before those that wait for longer (deficit
 * round robin, Shreedhar and Varghese 1995; sparse queues first as in RFC
 * 8290, section 4.2). Owns what waits; does no I/O and asks no clock.
 */
#ifndef RIDGERIDGE_EGRESS_H
#define RIDGERIDGE_EGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What a datagram is for. */
enum egress_kind {
    EGRESS_CALLER, /**< a caller's packet, or the answer to one */
    EGRESS_PROMPT, /**< between nodes: others wait for it */
    EGRESS_BULK    /**< between nodes: copies of what other nodes hold too */
};

/** Name of a kind, for logs. */
const char *egress_kind_name(enum egress_kind kind);

/** Whose packet a datagram carries, and where it goes. */
struct egress_head {
    enum egress_kind kind;
    uint64_t flow;        /**< CALLER: hash of the flow */
    uint64_t content;     /**< CALLER: the same for all copies of a packet, 0:
                               it has none */
    uint32_t sequence;    /**< CALLER: names its first byte of data */
    uint64_t leave_by_us; /**< deadline: not sent later; 0: none */
    uint32_t address;     /**< host order */
    uint16_t port;        /**< host order */
};

/** A datagram that waits. */
struct egress_item {
    struct egress_head head;
    uint64_t put_at_us; /**< when it began to wait */
    size_t length;      /**< of `bytes` */
    uint8_t bytes[];
};

/** What becomes of a datagram. */
enum egress_fate {
    EGRESS_NOW,   /**< the link is free: it is to be sent at once */
    EGRESS_WAITS, /**< egress_take() returns it in its turn */
    EGRESS_COPY,  /**< dropped: the same packet waits already */
    EGRESS_FULL   /**< dropped: too much waits, most of it in its queue */
};

/** All that waits at one link. */
struct egress {
    uint64_t rate_kbit_s; /**< that the link is offered; 0: not known, nothing
                               waits */
    uint64_t limit;       /**< bytes that may wait */
    int64_t credit;       /**< bits that the link takes now, in thousandths;
                               below 0 while it is busy */
    uint64_t at_us;       /**< when that was so */
    uint64_t bytes;       /**< that wait */
    GHashTable *queues;   /**< key to struct egress_queue */
    GHashTable *contents; /**< those of packets that wait */
    GQueue begun;         /**< queues that have just begun, borrowed */
    GQueue waiting;       /**< all others, borrowed */
    GQueue dropped;       /**< struct egress_item: not to be sent */
};

/** Starts with nothing. */
void egress_open(struct egress *egress, uint64_t link_kbit_s);

/** Frees it, with what waits. */
void egress_close(struct egress *egress);

/**
 * Takes a datagram in two pieces, of which the second may be empty; copies
 * them when it must wait. To make room, the last of the longest queue is
 * dropped.
 */
enum egress_fate egress_put(struct egress *egress, uint64_t now_us,
                            const struct egress_head *head,
                            const uint8_t *first, size_t first_length,
                            const uint8_t *second, size_t second_length);

/** The next datagram that the link takes now, NULL: none; free with g_free().
 */
struct egress_item *egress_take(struct egress *egress, uint64_t now_us);

/** The next one that waited and was dropped, to make room or by its deadline;
 * NULL: none; free with g_free(). */
struct egress_item *egress_take_dropped(struct egress *egress);

/** Counts bytes that left by the link without egress_put(). */
void egress_charge(struct egress *egress, uint64_t bytes);

/** When the link takes the next datagram; UINT64_MAX: none waits. */
uint64_t egress_due_us(const struct egress *egress);

#endif
