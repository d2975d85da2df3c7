/*
 * Contents of load messages: adds up the counts of reports, lists the sums,
 * shortens the lists to the permitted size, and packs and unpacks entries.
 * Sends nothing and sets no deadlines.
 */
#include "fleet-load-internal.h"

#include "codec.h"

/* Upstreams without requests are listed only in messages that remain this
 * short. */
#define IDLE_ENTRIES_MS 150U
/* With this many upstreams, those without requests are never listed. */
#define MANY_UPSTREAMS 1000U
#define LATENCY_UNIT_MS 8U

void
load_sum_open(struct load_sum *sum)
{
    *sum = (struct load_sum){
        .places = g_hash_table_new(g_direct_hash, g_direct_equal),
        .totals = g_array_new(FALSE, TRUE, sizeof(struct load_total)),
        .counted_at = UINT64_MAX};
}

void
load_sum_close(struct load_sum *sum)
{
    g_hash_table_destroy(sum->places);
    g_array_free(sum->totals, TRUE);
}

static struct load_total *
total_of(struct load_sum *sum, uint32_t token)
{
    gpointer key = GUINT_TO_POINTER(token);
    guint place = GPOINTER_TO_UINT(g_hash_table_lookup(sum->places, key));

    if (place == 0) {
        struct load_total total = {.token = token};

        g_array_append_val(sum->totals, total);
        place = sum->totals->len;
        g_hash_table_insert(sum->places, key, GUINT_TO_POINTER(place));
    }
    return &g_array_index(sum->totals, struct load_total, place - 1);
}

static void
sum_add(struct load_sum *sum, uint64_t counted_at, const GArray *entries)
{
    sum->counted_at = MIN(sum->counted_at, counted_at);
    for (guint i = 0; i < entries->len; i++) {
        const struct occupancy_entry *entry =
            &g_array_index(entries, struct occupancy_entry, i);
        struct load_total *total = total_of(sum, OCCUPANCY_KEY(entry->token));

        total->requests += entry->requests;
        if (entry->latency_ms != 0) {
            uint64_t weight = 1ULL + entry->requests;

            total->latency_sum += weight * entry->latency_ms;
            total->latency_weight += weight;
        }
    }
}

void
load_sum_add_own(struct load_sum *sum, const struct fleet *fleet, uint64_t now)
{
    if (fleet_load_has_own(fleet, now)) {
        sum_add(sum, fleet->load.own_at, fleet->load.own);
        sum->nodes++;
        sum->short_nodes += fleet->exchange.active;
    }
}

/* Removes reports with counts older than `expiry_ms` and adds the others. */
static void
sum_add_reports(struct load_sum *sum, GHashTable *reports, uint64_t now,
                uint64_t expiry_ms)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_load_report *report = value;

        if (now > report->counted_at + expiry_ms) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        sum_add(sum, report->counted_at, report->entries);
        sum->nodes += report->nodes;
        sum->short_nodes += report->short_nodes;
    }
}

void
load_sum_add_hall(struct load_sum *sum, const struct fleet *fleet,
                  uint64_t now)
{
    sum_add_reports(sum, fleet->exchange.nodes, now, LOAD_NODE_EXPIRY_MS);
}

void
load_sum_add_other_halls(struct load_sum *sum, const struct fleet *fleet,
                         uint64_t now)
{
    sum_add_reports(sum, fleet->exchange.halls, now, LOAD_HALL_EXPIRY_MS);
}

static gint
compare_entries(gconstpointer a, gconstpointer b)
{
    const struct occupancy_entry *one = a;
    const struct occupancy_entry *other = b;

    if (one->requests != other->requests) {
        return one->requests > other->requests ? -1 : 1;
    }
    if (one->latency_ms != other->latency_ms) {
        return one->latency_ms > other->latency_ms ? -1 : 1;
    }
    return one->token < other->token ? -1 : one->token > other->token;
}

/* Lists the most loaded upstreams first, then the slowest. */
GArray *
load_sum_list(const struct load_sum *sum)
{
    GArray *list = g_array_sized_new(
        FALSE, FALSE, sizeof(struct occupancy_entry), sum->totals->len);

    for (guint i = 0; i < sum->totals->len; i++) {
        const struct load_total *total =
            &g_array_index(sum->totals, struct load_total, i);
        struct occupancy_entry entry = {
            .token = total->token,
            .requests = (uint32_t)MIN(total->requests, UINT32_MAX)};

        if (total->latency_weight != 0) {
            entry.latency_ms =
                (uint32_t)(total->latency_sum / total->latency_weight);
        }
        g_array_append_val(list, entry);
    }
    g_array_sort(list, compare_entries);
    return list;
}

/* Entries of a message that is sent every `interval_ms`. */
static guint
entries_within(uint64_t bytes_s, uint64_t interval_ms, guint keys)
{
    uint64_t bytes = bytes_s * interval_ms / 1000;
    uint64_t others = LOAD_MESSAGE_BYTES + (uint64_t)keys * LOAD_KEY_BYTES;

    return bytes > others
               ? (guint)MIN((bytes - others) / LOAD_ENTRY_BYTES, WIRE_LOAD_MAX)
               : 0;
}

/* Shortens a sorted list to what can be sent every `max_ms`. */
void
load_sum_shorten(const struct fleet *fleet, GArray *list, uint64_t bytes_s,
                 uint64_t max_ms, guint keys)
{
    guint count = MIN(list->len, entries_within(bytes_s, max_ms, keys));
    guint idle = fleet->upstreams->all->len < MANY_UPSTREAMS
                     ? entries_within(bytes_s, IDLE_ENTRIES_MS, keys)
                     : 0;

    while (count > idle &&
           g_array_index(list, struct occupancy_entry, count - 1).requests ==
               0) {
        count--;
    }
    g_array_set_size(list, count);
}

/* Age of the counts of a message, as sent. */
uint32_t
load_sum_age_ms(const struct load_sum *sum, uint64_t now)
{
    return sum->counted_at < now
               ? (uint32_t)MIN(now - sum->counted_at, UINT32_MAX)
               : 0;
}

static u_int
pack_entry(const struct occupancy_entry *entry)
{
    u_int latency =
        (entry->latency_ms + LATENCY_UNIT_MS - 1) / LATENCY_UNIT_MS;

    return OCCUPANCY_KEY(entry->token) << 16 |
           MIN(entry->requests, UINT8_MAX) << 8 | MIN(latency, UINT8_MAX);
}

static struct occupancy_entry
unpack_entry(u_int packed)
{
    return (struct occupancy_entry){.token = packed >> 16,
                                    .requests = packed >> 8 & UINT8_MAX,
                                    .latency_ms = (packed & UINT8_MAX) *
                                                  LATENCY_UNIT_MS};
}

/* Encodes a message whose list is already short enough. */
GByteArray *
load_sum_encode(const struct fleet *fleet, uint64_t now,
                const struct load_sum *sum, wire_load_scope scope,
                const GArray *list, const GArray *keys)
{
    u_int entries[WIRE_LOAD_MAX];
    wire_msg msg = {.kind = WIRE_LOAD};
    wire_load *load = &msg.wire_msg_u.load;

    load->node = fleet->self.address;
    load->hall = scope == WIRE_LOAD_FLEET ? 0 : fleet->self.hall;
    load->scope = scope;
    load->nodes = (u_int)MIN(sum->nodes, UINT32_MAX);
    load->short_nodes = (u_int)MIN(sum->short_nodes, UINT32_MAX);
    load->age_ms = load_sum_age_ms(sum, now);
    load->list.list_val = entries;
    load->list.list_len = list->len;
    for (guint i = 0; i < list->len; i++) {
        const struct occupancy_entry *entry =
            &g_array_index(list, struct occupancy_entry, i);

        entries[i] = pack_entry(entry);
    }
    if (keys != NULL) {
        load->refused.refused_val = (u_int *)(void *)keys->data;
        load->refused.refused_len = keys->len;
    }
    return codec_encode(&msg);
}

GArray *
load_sum_unpack(const wire_load *load)
{
    GArray *list = g_array_sized_new(
        FALSE, FALSE, sizeof(struct occupancy_entry), load->list.list_len);

    for (u_int i = 0; i < load->list.list_len; i++) {
        struct occupancy_entry entry = unpack_entry(load->list.list_val[i]);

        g_array_append_val(list, entry);
    }
    return list;
}
