/**
 * @file hash.h
 * The hashes that several VMs must agree on. xxHash (XXH3, 64 bits) with
 * seeds named here, so that no two uses share one.
 */
#ifndef RIDGERIDGE_HASH_H
#define RIDGERIDGE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** One seed for each use. */
enum hash_use {
    HASH_FLOW = 1,     /**< a packet's addresses, ports and protocol */
    HASH_UPSTREAM = 2, /**< an upstream's address and port */
    HASH_RANK = 3,     /**< rendezvous of a key and a member */
    HASH_NAME = 4,     /**< names of services and halls */
    HASH_BUCKET = 5,   /**< a flow's keepers */
    HASH_KEY = 6,      /**< a request's key */
};

/** Hash of bytes. */
uint64_t hash_bytes(enum hash_use use, const void *bytes, size_t length);

/** Hash of two numbers. */
uint64_t hash_pair(enum hash_use use, uint64_t a, uint64_t b);

/** Checksum of a message between nodes, or of a node's stored inventory. Its
 * seed is that of HASH_KEY; the two are never compared. */
uint64_t hash_checksum(const void *bytes, size_t length);

/** Hash of a string. */
uint64_t hash_name(const char *name);

#endif
