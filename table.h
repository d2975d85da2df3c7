/**
 * @file table.h
 * The consistent-hash table of one service: bucket to upstream, a pure
 * function of the upstreams and their weights, so that every entry computes
 * the same one. Filled as in Maglev (Eisenbud et al., NSDI 2016, section
 * 3.4), with weights as shares of turns.
 */
#ifndef RIDGERIDGE_TABLE_H
#define RIDGERIDGE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#define TABLE_NONE UINT16_MAX /**< no upstream takes this bucket */

/** One upstream that may own buckets. */
struct table_candidate {
    uint64_t key;    /**< hash of its address and port */
    uint64_t weight; /**< its share; 0 owns no bucket */
};

/** Number of buckets for a number of upstreams: a prime. */
uint32_t table_size(size_t upstreams);

/** Fills `out[size]` with indexes of candidates, or TABLE_NONE. */
void table_fill(const struct table_candidate *candidates, size_t count,
                uint32_t size, uint16_t *out);

#endif
