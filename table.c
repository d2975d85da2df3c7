/* Maglev table population with weights. */
#include "table.h"

#include <glib.h>

#include "hash.h"

#define TABLE_BUCKETS_PER_UPSTREAM 100

/* A candidate's permutation of the buckets, as in Maglev. */
struct permutation {
    uint32_t offset; /* first bucket */
    uint32_t skip;   /* distance to the next bucket */
    uint32_t next;   /* number of buckets tried */
    uint64_t credit; /* weight accumulated for the next bucket */
};

uint32_t
table_size(size_t upstreams)
{
    static const uint32_t primes[] = {1021, 4093, 16381, 65521};
    size_t i = 0;

    while (i + 1 < G_N_ELEMENTS(primes) &&
           primes[i] < upstreams * TABLE_BUCKETS_PER_UPSTREAM) {
        i++;
    }
    return primes[i];
}

/* Takes the first free bucket of the candidate's permutation. */
static void
take_bucket(struct permutation *permutation, uint16_t index, uint32_t size,
            uint16_t *out)
{
    uint32_t bucket;

    do {
        bucket = (uint32_t)((permutation->offset +
                             (uint64_t)permutation->next * permutation->skip) %
                            size);
        permutation->next++;
    } while (out[bucket] != TABLE_NONE);
    out[bucket] = index;
}

static uint64_t
max_weight(const struct table_candidate *candidates, size_t count)
{
    uint64_t max = 0;

    for (size_t i = 0; i < count; i++) {
        max = MAX(max, candidates[i].weight);
    }
    return max;
}

/* A candidate takes a bucket once its credit reaches the maximum weight. */
void
table_fill(const struct table_candidate *candidates, size_t count,
           uint32_t size, uint16_t *out)
{
    uint64_t max = max_weight(candidates, count);
    struct permutation *permutations =
        g_new0(struct permutation, count ? count : 1);
    uint32_t filled = 0;

    g_assert(size > 1);
    for (uint32_t i = 0; i < size; i++) {
        out[i] = TABLE_NONE;
    }
    for (size_t i = 0; i < count; i++) {
        uint64_t hash = hash_pair(HASH_UPSTREAM, candidates[i].key, size);

        permutations[i].offset = (uint32_t)(hash % size);
        permutations[i].skip = (uint32_t)((hash >> 32) % (size - 1)) + 1;
    }
    while (max > 0 && filled < size) {
        for (size_t i = 0; i < count && filled < size; i++) {
            permutations[i].credit += candidates[i].weight;
            if (permutations[i].credit < max) {
                continue;
            }
            permutations[i].credit -= max;
            take_bucket(&permutations[i], (uint16_t)i, size, out);
            filled++;
        }
    }
    g_free(permutations);
}
