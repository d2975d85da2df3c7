/**
 * @file packet.h
 * Geneve encapsulation (RFC 8926) of IPv4 packets between the fabric and
 * entries and between entries, and NAT of TCP and UDP with incremental
 * checksum updates (RFC 1624).
 */
#ifndef RIDGERIDGE_PACKET_H
#define RIDGERIDGE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PACKET_MAX 2048       /**< bytes of an encapsulated packet */
#define PACKET_HEADROOM 32    /**< bytes free in front of a received packet */
#define PACKET_GENEVE_BYTES 8 /**< Geneve header without options */
#define PACKET_FORWARDING_BYTES 24 /**< forwarding option with its header */
#define PACKET_ASKED_MAX 4         /**< keepers in the option */

#define PACKET_TCP 6
#define PACKET_UDP 17

/** Geneve option of a packet that another entry forwarded. */
struct packet_forwarding {
    uint64_t origin;  /**< entry that received it from the fabric */
    uint8_t position; /**< number of keepers asked for a flow record */
    uint8_t hops;     /**< number of entries passed */
    uint16_t asked[PACKET_ASKED_MAX]; /**< low 16 bits of the keepers' ids */
};

/** A parsed packet; points into the caller's buffer. */
struct packet {
    uint8_t *ip;               /**< inner IPv4 header */
    size_t length;             /**< bytes of the inner packet */
    uint8_t *transport;        /**< TCP or UDP header */
    uint32_t source;           /**< IPv4, host order */
    uint32_t destination;      /**< IPv4, host order */
    uint16_t source_port;      /**< host order */
    uint16_t destination_port; /**< host order */
    uint8_t protocol;          /**< PACKET_TCP or PACKET_UDP */
    bool first;                /**< TCP SYN without ACK */
    bool closing;              /**< TCP FIN or RST */
    bool forwarded; /**< forwarded by another entry: `forwarding` is set */
    struct packet_forwarding forwarding;
};

/** False when the encapsulated packet is malformed. */
bool packet_parse(uint8_t *bytes, size_t length, struct packet *out);

/** Hash of the 5-tuple, never 0. */
uint64_t packet_hash(const struct packet *packet);

/** Rewrites the destination and updates both checksums. */
void packet_set_destination(struct packet *packet, uint32_t address,
                            uint16_t port);

/** Rewrites the source and updates both checksums. */
void packet_set_source(struct packet *packet, uint32_t address, uint16_t port);

/**
 * Writes the Geneve header in front of the inner packet, where PACKET_HEADROOM
 * bytes must be free.
 * @param forwarding NULL for a packet to the fabric
 * @param length receives the bytes of the encapsulated packet
 * @return start of the encapsulated packet
 */
uint8_t *packet_encapsulate(struct packet *packet,
                            const struct packet_forwarding *forwarding,
                            size_t *length);

/** Computes the checksums of an inner packet, for tests and simulated
 * peers. */
void packet_fill_checksums(uint8_t *ip, size_t length);

bool packet_checksums_valid(const uint8_t *ip, size_t length);

#endif
