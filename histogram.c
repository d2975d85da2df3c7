/* Prometheus histograms. */
#include "histogram.h"

#include <stdio.h>

#define FIRST_BOUND_US 16ULL /* each next bound is twice the one before */

static const struct {
    const char *name;
    const char *help;
} histogram_table[HISTOGRAM_COUNT] = {
#define X(id, name, help) {name, help},
    HISTOGRAM_TABLE(X)
#undef X
};

void
histogram_add(struct histograms *set, enum histogram_id id, uint64_t us)
{
    int bucket = 0;

    while (bucket < HISTOGRAM_BUCKETS && us > FIRST_BOUND_US << bucket) {
        bucket++;
    }
    (void)__atomic_fetch_add(&set->buckets[id][bucket], 1, __ATOMIC_RELAXED);
    (void)__atomic_fetch_add(&set->sum_us[id], us, __ATOMIC_RELAXED);
}

static size_t
print_histogram(const struct histograms *set, int id, char *out, size_t size)
{
    const char *name = histogram_table[id].name;
    uint64_t count = 0;
    size_t used;
    int n = snprintf(out, size,
                     "# HELP ridgeridge_%s %s\n"
                     "# TYPE ridgeridge_%s histogram\n",
                     name, histogram_table[id].help, name);

    used = n > 0 ? (size_t)n : 0;
    for (int i = 0; i <= HISTOGRAM_BUCKETS && used < size; i++) {
        char bound[32] = "+Inf";

        count += __atomic_load_n(&set->buckets[id][i], __ATOMIC_RELAXED);
        if (i < HISTOGRAM_BUCKETS) {
            (void)snprintf(bound, sizeof(bound), "%.6f",
                           (double)(FIRST_BOUND_US << i) / 1e6);
        }
        n = snprintf(out + used, size - used,
                     "ridgeridge_%s_bucket{le=\"%s\"} %llu\n", name, bound,
                     (unsigned long long)count);
        used += n > 0 ? (size_t)n : 0;
    }
    if (used < size) {
        n = snprintf(
            out + used, size - used,
            "ridgeridge_%s_sum %.6f\nridgeridge_%s_count %llu\n", name,
            (double)__atomic_load_n(&set->sum_us[id], __ATOMIC_RELAXED) / 1e6,
            name, (unsigned long long)count);
        used += n > 0 ? (size_t)n : 0;
    }
    return used < size ? used : size;
}

size_t
histogram_print(const struct histograms *set, char *out, size_t size)
{
    size_t used = 0;

    for (int i = 0; i < HISTOGRAM_COUNT && used < size; i++) {
        used += print_histogram(set, i, out + used, size - used);
    }
    return used;
}
