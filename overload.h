/**
 * @file overload.h
 * Detection of an overload of this node: a full link, receive buffers that
 * overflow, or a processor that runs timers and handlers late. Answers are
 * then missing because of this node and not because of upstreams. Does no I/O
 * and reads no clock; times are in ms unless named `_us`.
 */
#ifndef RIDGERIDGE_OVERLOAD_H
#define RIDGERIDGE_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#define OVERLOAD_HOLD_MS                                                      \
    1000U /**< a signal stays active for this long: callers' retransmissions  \
             of delayed packets arrive within it */
#define OVERLOAD_DELAY_MAX_MS                                                 \
    100U /**< longer delays are signals: half of a caller's first             \
            retransmission timeout */

/** Resource whose shortage started an overload. */
enum overload_cause {
    OVERLOAD_LINK,     /**< the queue for the link */
    OVERLOAD_RECEIVE,  /**< a socket's receive buffer */
    OVERLOAD_PROCESSOR /**< timers or handlers ran late */
};

/** Result of overload_poll(). */
enum overload_edge { OVERLOAD_SAME, OVERLOAD_BEGAN, OVERLOAD_ENDED };

/** State of one node; zero-initialized. */
struct overload {
    uint64_t active_until;     /**< deadline of the last signal */
    uint64_t started_at;       /**< first signal of the latest overload */
    uint64_t wait_ms;          /**< longest delay since `started_at` */
    uint64_t drops;            /**< dropped datagrams since `started_at` */
    uint32_t receive_drops;    /**< last total of the kernel's counters */
    enum overload_cause cause; /**< of the signal at `started_at` */
    bool began;                /**< overload_poll() returned the start */
};

/** A datagram waited for the link. */
void overload_note_wait(struct overload *o, uint64_t now, uint64_t wait_us);

/** A datagram was dropped because the link was full. */
void overload_note_drop(struct overload *o, uint64_t now);

/** @param total sum of the SO_RXQ_OVFL counters of all sockets, modulo 2^32 */
void overload_note_receive_drops(struct overload *o, uint64_t now,
                                 uint32_t total);

/** A timer or handler ran late. */
void overload_note_late(struct overload *o, uint64_t now, uint64_t late_ms);

bool overload_is_active(const struct overload *o, uint64_t now);

/** Cause of the latest overload. */
enum overload_cause overload_cause(const struct overload *o);

/** For logs. */
const char *overload_cause_name(enum overload_cause cause);

/** Start or end since the last call, each returned once. A signal that
 * precedes the call for an end continues the overload. */
enum overload_edge overload_poll(struct overload *o, uint64_t now);

#endif
