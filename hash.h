/**
 * @file hash.h
 * Hashes that must be the same on all VMs: xxHash (XXH3, 64 bits) with one
 * seed per use.
 */
#ifndef RIDGERIDGE_HASH_H
#define RIDGERIDGE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Seeds. */
enum hash_use {
    HASH_FLOW = 1,     /**< 5-tuple of a packet */
    HASH_UPSTREAM = 2, /**< endpoint of an upstream */
    HASH_RANK = 3,     /**< rendezvous hashing: key and member */
    HASH_NAME = 4,     /**< names of services and halls */
    HASH_BUCKET = 5,   /**< keepers of a flow, table digests */
    HASH_KEY = 6,      /**< idempotency key, checksums */
};

uint64_t hash_bytes(enum hash_use use, const void *bytes, size_t length);

uint64_t hash_pair(enum hash_use use, uint64_t a, uint64_t b);

/** Checksum of a message or a stored inventory; has the seed of HASH_KEY. */
uint64_t hash_checksum(const void *bytes, size_t length);

uint64_t hash_name(const char *name);

#endif
