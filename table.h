/**
 * @file table.h
 * Maglev consistent hashing (Eisenbud et al., NSDI 2016, section 3.4),
 * weighted: maps the buckets of a service to upstreams. The table depends only
 * on the upstreams and weights, so every entry computes the same one.
 */
#ifndef RIDGERIDGE_TABLE_H
#define RIDGERIDGE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#define TABLE_NONE UINT16_MAX /**< bucket without upstream */

/** One upstream that may own buckets. */
struct table_candidate {
    uint64_t key;    /**< hash of its address and port */
    uint64_t weight; /**< share of buckets; 0: none */
};

/** Number of buckets, a prime. */
uint32_t table_size(size_t upstreams);

/** Fills `out[size]` with indexes of candidates; TABLE_NONE if no candidate
 * has weight. */
void table_fill(const struct table_candidate *candidates, size_t count,
                uint32_t size, uint16_t *out);

#endif
