/* Seeded hashes, on xxHash. */
#include "hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
hash_bytes(enum hash_use use, const void *bytes, size_t length)
{
    return XXH3_64bits_withSeed(bytes, length, (XXH64_hash_t)use);
}

uint64_t
hash_pair(enum hash_use use, uint64_t a, uint64_t b)
{
    uint64_t pair[2] = {a, b};

    return hash_bytes(use, pair, sizeof(pair));
}

uint64_t
hash_checksum(const void *bytes, size_t length)
{
    return hash_bytes(HASH_KEY, bytes, length);
}

uint64_t
hash_name(const char *name)
{
    return hash_bytes(HASH_NAME, name, strlen(name));
}
