/* Callers that were refused recently: a ring with an index by key. */
#include "returning.h"

#include <string.h>

void
returning_open(struct returning *r)
{
    memset(r, 0, sizeof(*r));
    r->by_key = g_hash_table_new(g_direct_hash, g_direct_equal);
    r->new_keys = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
returning_close(struct returning *r)
{
    g_hash_table_destroy(r->by_key);
    g_array_free(r->new_keys, TRUE);
}

static const struct returning_entry *
find(const struct returning *r, uint32_t key)
{
    guint place = GPOINTER_TO_UINT(
        g_hash_table_lookup(r->by_key, GUINT_TO_POINTER(key)));

    return place != 0 ? &r->ring[place - 1] : NULL;
}

static void
remove_entry(struct returning *r, uint32_t key)
{
    guint place = GPOINTER_TO_UINT(
        g_hash_table_lookup(r->by_key, GUINT_TO_POINTER(key)));

    if (place != 0) {
        r->ring[place - 1].is_known = false;
        g_hash_table_remove(r->by_key, GUINT_TO_POINTER(key));
    }
}

void
returning_note_reported(struct returning *r, uint64_t now, uint32_t key)
{
    struct returning_entry *entry = &r->ring[r->next];

    remove_entry(r, key);
    if (entry->is_known) {
        remove_entry(r, entry->key);
    }
    entry->key = key;
    entry->is_known = true;
    entry->expires_at = now + RETURNING_EXPIRY_MS;
    r->next = (r->next + 1) % RETURNING_MAX;
    g_hash_table_insert(r->by_key, GUINT_TO_POINTER(key),
                        GUINT_TO_POINTER((guint)(entry - r->ring) + 1));
}

static bool
is_new(const struct returning *r, uint32_t key)
{
    for (guint i = 0; i < r->new_keys->len; i++) {
        if (g_array_index(r->new_keys, uint32_t, i) == key) {
            return true;
        }
    }
    return false;
}

void
returning_note_refused(struct returning *r, uint64_t now, uint32_t key)
{
    returning_note_reported(r, now, key);
    if (is_new(r, key)) {
        return;
    }
    if (r->new_keys->len == RETURNING_NEW_MAX) {
        g_array_remove_index(r->new_keys, 0);
    }
    g_array_append_val(r->new_keys, key);
}

bool
returning_is_known(const struct returning *r, uint64_t now, uint32_t key)
{
    const struct returning_entry *entry = find(r, key);

    return entry != NULL && now < entry->expires_at;
}

void
returning_forget(struct returning *r, uint32_t key)
{
    remove_entry(r, key);
}

/* Skips keys that were forgotten or expired since. */
guint
returning_take_new(struct returning *r, uint64_t now, uint32_t *out, guint max)
{
    guint taken = 0;
    guint count = 0;

    while (taken < r->new_keys->len && count < max) {
        uint32_t key = g_array_index(r->new_keys, uint32_t, taken++);

        if (returning_is_known(r, now, key)) {
            out[count++] = key;
        }
    }
    g_array_remove_range(r->new_keys, 0, taken);
    return count;
}
