/* Members of an epoch, and rendezvous hashing over them. */
#include "member.h"

#include <glib.h>
#include <string.h>

#include "hash.h"

static int
compare_members(const void *a, const void *b)
{
    const struct member *left = a;
    const struct member *right = b;

    return (left->id > right->id) - (left->id < right->id);
}

void
member_set_assign(struct member_set *set, uint64_t epoch,
                  const struct member *items, size_t count)
{
    struct member *copy = g_new0(struct member, count ? count : 1);

    if (count > 0) {
        memcpy(copy, items, count * sizeof(*items));
        qsort(copy, count, sizeof(*copy), compare_members);
    }
    g_free(set->items);
    set->items = copy;
    set->count = count;
    set->epoch = epoch;
}

void
member_set_clear(struct member_set *set)
{
    g_free(set->items);
    memset(set, 0, sizeof(*set));
}

const struct member *
member_find(const struct member_set *set, uint64_t id)
{
    struct member key = {.id = id};

    if (set->count == 0) {
        return NULL;
    }
    return bsearch(&key, set->items, set->count, sizeof(key), compare_members);
}

static bool
hall_is_new(const struct member *candidate, const struct member *const *chosen,
            size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (chosen[i]->hall == candidate->hall) {
            return false;
        }
    }
    return true;
}

static bool
is_chosen(const struct member *candidate, const struct member *const *chosen,
          size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (chosen[i] == candidate) {
            return true;
        }
    }
    return false;
}

/* Finds the member with the highest rank that is not chosen yet, in a hall
 * without a chosen member if `new_hall`. */
static const struct member *
best_candidate(const struct member_set *set, uint64_t key,
               const struct member *const *chosen, size_t count, bool new_hall)
{
    const struct member *best = NULL;
    uint64_t best_rank = 0;

    for (size_t i = 0; i < set->count; i++) {
        const struct member *candidate = &set->items[i];
        uint64_t rank = hash_pair(HASH_RANK, key, candidate->id);

        if ((best != NULL && rank <= best_rank) ||
            is_chosen(candidate, chosen, count) ||
            (new_hall && !hall_is_new(candidate, chosen, count))) {
            continue;
        }
        best = candidate;
        best_rank = rank;
    }
    return best;
}

size_t
member_keepers(const struct member_set *set, uint64_t key, size_t want,
               const struct member *out[MEMBER_KEEPERS])
{
    size_t count = 0;

    while (count < want && count < set->count) {
        const struct member *next = best_candidate(set, key, out, count, true);

        if (next == NULL) {
            next = best_candidate(set, key, out, count, false);
        }
        out[count++] = next;
    }
    return count;
}

const struct member *
member_find_peer(const struct member_set *set, uint64_t key, uint64_t self)
{
    const struct member *best = NULL;
    uint64_t best_rank = 0;

    for (size_t i = 0; i < set->count; i++) {
        uint64_t rank = hash_pair(HASH_RANK, key, set->items[i].id);

        if (set->items[i].id != self && (best == NULL || rank > best_rank)) {
            best = &set->items[i];
            best_rank = rank;
        }
    }
    return best;
}
