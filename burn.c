/* Event histories by service, and burn rates over windows. */
#include "burn.h"

#include <string.h>

static const struct {
    const char *name;
    uint64_t ms;
} windows[BURN_WINDOWS] = {
    {"5m", 300000}, {"30m", 1800000}, {"1h", 3600000}, {"6h", 21600000}};

GHashTable *
burn_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

static struct burn *
find_or_add(GHashTable *table, const char *service)
{
    struct burn *burn = g_hash_table_lookup(table, service);

    if (burn == NULL) {
        burn = g_new0(struct burn, 1);
        g_strlcpy(burn->name, service, sizeof(burn->name));
        g_hash_table_insert(table, burn->name, burn);
    }
    return burn;
}

void
burn_count(GHashTable *table, const char *service, bool good)
{
    struct burn *burn = find_or_add(table, service);
    struct burn_slot *slot = &burn->slots[burn->slot % BURN_SLOTS];

    slot->total++;
    slot->good += good;
}

/* Advances a history to the slot of `now`, clearing the slots between. */
static void
advance(struct burn *burn, uint64_t now)
{
    uint64_t slot = now / BURN_SLOT_MS;

    if (burn->slot == 0 || slot > burn->slot + BURN_SLOTS) {
        burn->slot = slot - 1;
    }
    while (burn->slot < slot) {
        burn->slot++;
        memset(&burn->slots[burn->slot % BURN_SLOTS], 0,
               sizeof(burn->slots[0]));
    }
}

/* Counts the flows since the last call, from the counters. */
static void
count_flows(GHashTable *table, const struct bundle_service *service,
            const struct counters *counters)
{
    static uint64_t counted_new;
    static uint64_t counted_bad;
    uint64_t new = counters->value[COUNTER_FLOWS_NEW];
    uint64_t bad = counters->value[COUNTER_PACKETS_NO_UPSTREAM] +
                   counters->value[COUNTER_PACKETS_HOP_LIMIT];
    struct burn *burn = find_or_add(table, service->name);
    struct burn_slot *slot = &burn->slots[burn->slot % BURN_SLOTS];

    slot->total += (uint32_t)(new - counted_new + bad - counted_bad);
    slot->good += (uint32_t)(new - counted_new);
    counted_new = new;
    counted_bad = bad;
}

void
burn_tick(GHashTable *table, const struct bundle *bundle,
          const struct counters *counters, uint64_t now)
{
    bool flows_counted = false;

    for (size_t i = 0; i < bundle->service_count; i++) {
        const struct bundle_service *s = &bundle->services[i];
        struct burn *burn = find_or_add(table, s->name);

        burn->budget = 10000 - s->objective.good_per_ten_thousand;
        advance(burn, now);
        if (s->kind == BUNDLE_FLOW && !flows_counted) {
            count_flows(table, s, counters);
            flows_counted = true;
        }
    }
}

void
burn_sum(const struct burn *burn, uint64_t slots, uint64_t *good,
         uint64_t *total)
{
    *good = 0;
    *total = 0;
    for (uint64_t i = 0; i < MIN(slots, BURN_SLOTS) && i < burn->slot; i++) {
        const struct burn_slot *slot =
            &burn->slots[(burn->slot - i) % BURN_SLOTS];

        *good += slot->good;
        *total += slot->total;
    }
}

double
burn_rate(uint64_t good, uint64_t total, uint64_t budget)
{
    if (total == 0 || budget == 0) {
        return 0.0;
    }
    return (double)(total - good) / (double)total * 10000.0 / (double)budget;
}

uint64_t
burn_window(int index, const char **name)
{
    *name = windows[index].name;
    return windows[index].ms;
}

static json_object *
service_json(const struct burn *burn)
{
    json_object *out = json_object_new_object();
    json_object *list = json_object_new_array();

    json_object_object_add(out, "service", json_object_new_string(burn->name));
    json_object_object_add(out, "budget_per_ten_thousand",
                           json_object_new_int64((int64_t)burn->budget));
    for (int i = 0; i < BURN_WINDOWS; i++) {
        json_object *window = json_object_new_object();
        uint64_t good;
        uint64_t total;

        burn_sum(burn, windows[i].ms / BURN_SLOT_MS, &good, &total);
        json_object_object_add(window, "window",
                               json_object_new_string(windows[i].name));
        json_object_object_add(window, "good",
                               json_object_new_int64((int64_t)good));
        json_object_object_add(window, "all",
                               json_object_new_int64((int64_t)total));
        json_object_array_add(list, window);
    }
    json_object_object_add(out, "windows", list);
    return out;
}

json_object *
burn_json(GHashTable *table)
{
    json_object *out = json_object_new_array();
    GList *names =
        g_list_sort(g_hash_table_get_keys(table), (GCompareFunc)strcmp);

    for (GList *l = names; l != NULL; l = l->next) {
        json_object_array_add(
            out, service_json(g_hash_table_lookup(table, l->data)));
    }
    g_list_free(names);
    return out;
}
