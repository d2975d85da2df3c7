/**
 * @file admission.h
 * Admission control of first packets: forward it now, hold it until a
 * deadline, or refuse it at once. Decides from the free capacity of the
 * service's upstreams (room) and of this node's link. Without information
 * about either, it admits. Times are in ms.
 */
#ifndef RIDGERIDGE_ADMISSION_H
#define RIDGERIDGE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#define ADMISSION_ROOM_AGE_MAX_MS 1000U /**< older occupancy is unknown */
#define ADMISSION_HOLD_MS                                                     \
    150U /**< from arrival; a retransmission after 200 ms may open the flow   \
              at another node */
#define ADMISSION_FLOOR_ATTEMPTS 10U /**< one of them is admitted */
#define ADMISSION_WINDOW_BYTES                                                \
    (16U * 1264U) /**< a caller's window, with headers */

/** What to do with a first packet. */
enum admission_action { ADMISSION_ADMIT, ADMISSION_HOLD, ADMISSION_REFUSE };

/** Why. */
enum admission_reason {
    ADMISSION_ROOM,     /**< admitted: below the limit */
    ADMISSION_UNKNOWN,  /**< admitted: the occupancy is unknown or old */
    ADMISSION_FLOOR,    /**< admitted over the limit: the route's floor */
    ADMISSION_NO_ROOM,  /**< held or refused: the upstreams are full */
    ADMISSION_LINK_BUSY /**< held or refused: this node's link is full */
};

/** A first packet. */
struct admission_request {
    uint32_t rank;        /**< 0: most important */
    uint32_t aim_ms;      /**< target response time, 0: unknown */
    uint64_t deadline_ms; /**< the caller gives up after it, 0: unknown */
    bool returning; /**< the caller was refused within the last seconds */
    uint64_t received_at; /**< arrival at this node; also after a hold */
    bool no_hold; /**< no space for the packet, or a better rank is refused */
};

/** Occupancy of the service's upstreams. */
struct admission_room {
    bool known;
    uint32_t age_ms;
    uint32_t lowest_milli; /**< requests per slot, in 1/1000, at the least
                                loaded eligible upstream */
    uint32_t unloaded_us;  /**< response time without queueing, 0: unknown */
};

/** State of this node's link. */
struct admission_link {
    uint64_t rate_kbit_s;   /**< 0: unknown */
    uint64_t queued_bytes;  /**< in the egress queue */
    uint64_t pending_bytes; /**< still expected from admitted flows */
    uint64_t request_bytes; /**< expected from this request, 0: unknown */
};

/** Floor of one route; zero-initialized. */
struct admission_floor {
    uint32_t refused; /**< attempts since the last admitted one, at most
                           ADMISSION_FLOOR_ATTEMPTS - 1 */
};

/** A decision. */
struct admission_verdict {
    enum admission_action action;
    enum admission_reason reason;
    uint32_t limit_milli; /**< limit of the request, 0: without `room` */
    uint64_t hold_until;  /**< deadline of a hold, otherwise 0 */
};

/** Requests per slot, in 1/1000, below which a request is admitted. */
uint32_t admission_limit_milli(const struct admission_request *r,
                               uint32_t unloaded_us);

/**
 * Decides about a first packet, or again about one that was held; only an
 * admission or a refusal counts as an attempt for the floor.
 * @param room NULL: the upstreams do not limit the request
 * @param link NULL: the link does not limit the request
 * @param floor of the request's route
 */
void admission_decide(uint64_t now, const struct admission_request *r,
                      const struct admission_room *room,
                      const struct admission_link *link,
                      struct admission_floor *floor,
                      struct admission_verdict *out);

#endif
