/* The log in memory: a snapshot and the entries after it. */
#include "cons-internal.h"

#include <string.h>

uint64_t
cons_last_index(const struct cons *cons)
{
    return cons->snapshot.index + cons->log->len;
}

const struct cons_entry *
cons_entry_at(const struct cons *cons, uint64_t index)
{
    if (index <= cons->snapshot.index || index > cons_last_index(cons)) {
        return NULL;
    }
    return &g_array_index(cons->log, struct cons_entry,
                          index - cons->snapshot.index - 1);
}

/* Returns 0 for an index outside the log. */
uint64_t
cons_term_at(const struct cons *cons, uint64_t index)
{
    const struct cons_entry *entry = cons_entry_at(cons, index);

    if (entry != NULL) {
        return entry->term;
    }
    return index == cons->snapshot.index ? cons->snapshot.term : 0;
}

bool
cons_is_before(struct cons_position a, struct cons_position b)
{
    return a.term != b.term ? a.term < b.term : a.index < b.index;
}

struct cons_position
cons_last_position(const struct cons *cons)
{
    uint64_t last = cons_last_index(cons);

    return (struct cons_position){.index = last,
                                  .term = cons_term_at(cons, last)};
}

void
cons_update_missing(struct cons *cons)
{
    if (!cons_is_before(cons_last_position(cons), cons->missing)) {
        cons->missing = (struct cons_position){0};
    }
}

void
cons_log_append(struct cons *cons, uint64_t term, const void *bytes,
                size_t length)
{
    struct cons_entry entry = {.term = term,
                               .command = g_bytes_new(bytes, length)};

    g_array_append_val(cons->log, entry);
    cons_voters_update(cons);
    cons_update_missing(cons);
}

/* Removes the entries from an index on. */
void
cons_log_truncate(struct cons *cons, uint64_t index)
{
    guint kept = (guint)(index - cons->snapshot.index - 1);

    for (guint i = kept; i < cons->log->len; i++) {
        g_bytes_unref(g_array_index(cons->log, struct cons_entry, i).command);
    }
    g_array_set_size(cons->log, kept);
    if (cons->config_index >= index) {
        cons_voters_rescan(cons);
    }
}

/* Replaces the whole log by a received snapshot. */
void
cons_log_reset(struct cons *cons, const wire_snapshot *snapshot)
{
    cons_log_truncate(cons, cons->snapshot.index + 1);
    g_clear_pointer(&cons->snapshot.state, g_bytes_unref);
    cons->snapshot.index = snapshot->last_index;
    cons->snapshot.term = snapshot->last_term;
    cons_copy_config(&snapshot->config, &cons->snapshot.config);
    cons->snapshot.state =
        g_bytes_new(snapshot->state.state_val, snapshot->state.state_len);
    cons->commit_index = snapshot->last_index;
    cons_voters_rescan(cons);
    cons_update_missing(cons);
}

/* Waits until the log records that the last configuration was committed: this
 * replica's snapshot would record it for its own disk only. */
void
cons_compact(struct cons *cons, uint64_t index, GBytes *state)
{
    uint64_t term = cons_term_at(cons, index);
    guint dropped = (guint)(index - cons->snapshot.index);

    if (index <= cons->snapshot.index || index > cons->commit_index ||
        cons->config_index > index || !cons_config_commit_logged(cons)) {
        return;
    }
    for (guint i = 0; i < dropped; i++) {
        g_bytes_unref(g_array_index(cons->log, struct cons_entry, i).command);
    }
    g_array_remove_range(cons->log, 0, dropped);
    g_clear_pointer(&cons->snapshot.state, g_bytes_unref);
    cons_copy_config(&cons->config, &cons->snapshot.config);
    cons->snapshot.index = index;
    cons->config_index = index;
    cons->snapshot.term = term;
    cons->snapshot.state = g_bytes_ref(state);
    cons_save_snapshot(cons);
}
