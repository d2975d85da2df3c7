/* Prometheus counters. */
#include "counter.h"

#include <stdio.h>

static const struct {
    const char *name;
    const char *help;
} counter_table[COUNTER_COUNT] = {
#define X(id, name, help) {name, help},
    COUNTER_TABLE(X)
#undef X
};

void
counter_add(struct counters *set, enum counter_id id, uint64_t delta)
{
    (void)__atomic_fetch_add(&set->value[id], delta, __ATOMIC_RELAXED);
}

uint64_t
counter_read(const struct counters *set, enum counter_id id)
{
    return __atomic_load_n(&set->value[id], __ATOMIC_RELAXED);
}

const char *
counter_name(enum counter_id id)
{
    return counter_table[id].name;
}

size_t
counter_print(const struct counters *set, char *out, size_t size)
{
    size_t used = 0;

    for (int i = 0; i < COUNTER_COUNT && used < size; i++) {
        int n = snprintf(
            out + used, size - used,
            "# HELP ridgeridge_%s %s\n"
            "# TYPE ridgeridge_%s counter\n"
            "ridgeridge_%s %llu\n",
            counter_table[i].name, counter_table[i].help,
            counter_table[i].name, counter_table[i].name,
            (unsigned long long)counter_read(set, (enum counter_id)i));

        used += n > 0 ? (size_t)n : 0;
    }
    return used < size ? used : size;
}
