/**
 * @file egress.h
 * Egress shaping of a node: a token bucket below the link rate, so that queues
 * build here and not in the network, with fair queueing per caller flow as in
 * FQ-CoDel (RFC 8290, section 4.2; deficit round robin, Shreedhar and Varghese
 * 1995). The traffic classes share the link by start-time fair queueing
 * (Goyal, Vin and Cheng 1997). Owns the queued datagrams; does no I/O and
 * reads no clock.
 *
 * What does not fit the link is lost silently in the network, returns as
 * retransmissions that fill the link, and looks like an upstream or a peer
 * that does not answer.
 */
#ifndef RIDGERIDGE_EGRESS_H
#define RIDGERIDGE_EGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Traffic class of a datagram. */
enum egress_kind {
    EGRESS_CALLER, /**< packet of a caller's flow, either direction */
    EGRESS_PROMPT, /**< between nodes, latency-sensitive */
    EGRESS_BULK,   /**< between nodes, replication of state */
    EGRESS_KINDS
};

/** For logs. */
const char *egress_kind_name(enum egress_kind kind);

/** Queueing metadata and destination of a datagram. */
struct egress_meta {
    enum egress_kind kind;
    uint64_t flow;         /**< CALLER: hash of the flow */
    uint64_t content_hash; /**< CALLER: equal for retransmissions of a packet;
                                0: none */
    uint32_t sequence;     /**< CALLER: TCP sequence number */
    uint64_t deadline_us;  /**< dropped when queued past it; 0: none */
    uint32_t address;      /**< host order */
    uint16_t port;         /**< host order */
};

struct egress_queue;

/** A queued datagram. */
struct egress_item {
    GList link;                 /**< internal */
    struct egress_queue *queue; /**< internal */
    GSequenceIter *expiry;      /**< internal; NULL: no deadline */
    struct egress_meta meta;
    uint64_t enqueued_at_us; /**< time of egress_enqueue() */
    size_t length;           /**< of `bytes` */
    uint8_t bytes[];
};

/** Result of egress_enqueue(). */
enum egress_result {
    EGRESS_SEND_NOW,  /**< not queued: to be sent now */
    EGRESS_QUEUED,    /**< egress_dequeue() will return it */
    EGRESS_DUPLICATE, /**< dropped: the same packet is queued already */
    EGRESS_QUEUE_FULL /**< dropped: over the limit, and nothing is dropped
                           before it */
};

/** Queues of one traffic class. */
struct egress_class {
    GHashTable *queues;  /**< uint64_t to struct egress_queue, owned */
    GSequence *by_size;  /**< the same queues by memory, borrowed */
    GQueue new_queues;   /**< RFC 8290 new flows, borrowed */
    GQueue old_queues;   /**< RFC 8290 old flows, borrowed */
    uint64_t new_memory; /**< memory of the new queues */
    uint64_t count;      /**< queued datagrams */
    uint64_t start;      /**< virtual start time of the next datagram */
    unsigned new_in_row; /**< datagrams sent since one of an old queue */
};

/** Shaper and queues of one link. */
struct egress {
    uint64_t rate_kbit_s;  /**< shaped rate; 0: unknown, nothing is queued */
    uint64_t limit;        /**< of `memory` */
    uint64_t memory;       /**< of queues and datagrams, with indexes */
    int64_t credit;        /**< token bucket level, in 1/1000 bit; negative
                                while the link is busy */
    uint64_t credit_at_us; /**< time of the last refill */
    uint64_t bytes;        /**< queued bytes */
    uint64_t count;        /**< queued datagrams */
    uint64_t virtual_time; /**< start time of the datagram sent last */
    struct egress_class classes[EGRESS_KINDS];
    GSequence *expiries;        /**< struct egress_item by deadline */
    GHashTable *content_hashes; /**< uint64_t: of the queued packets */
    GQueue dropped; /**< struct egress_item: dropped after queueing */
};

/** @param link_kbit_s rate of the link, 0: unknown */
void egress_open(struct egress *egress, uint64_t link_kbit_s);

/** Drops all queued datagrams. */
void egress_close(struct egress *egress);

/**
 * Queues a copy of a datagram unless it can be sent now. Over the limit, the
 * tail of the longest caller queue is dropped, then bulk datagrams, and prompt
 * ones only when neither is left.
 * @param second continues `first`; may be empty
 */
enum egress_result egress_enqueue(struct egress *egress, uint64_t now_us,
                                  const struct egress_meta *meta,
                                  const uint8_t *first, size_t first_length,
                                  const uint8_t *second, size_t second_length);

/** Next datagram to send now, NULL: none; free with g_free(). */
struct egress_item *egress_dequeue(struct egress *egress, uint64_t now_us);

/** Next datagram dropped after queueing, for space or by its deadline, NULL:
 * none; free with g_free(). */
struct egress_item *egress_pop_dropped(struct egress *egress);

/** Charges a datagram of `bytes` that was sent without egress_enqueue(). */
void egress_charge(struct egress *egress, uint64_t bytes);

/** Time of the next egress_dequeue(), us; UINT64_MAX: nothing is queued. */
uint64_t egress_due_us(const struct egress *egress);

/** Time in which the link sends what is queued now, us. */
uint64_t egress_wait_us(const struct egress *egress, uint64_t now_us);

#endif
