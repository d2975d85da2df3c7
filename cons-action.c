/*
 * The queue of actions. An action owns copies of what it stores or sends: the
 * log may be extended, truncated or compacted before the caller carries it
 * out.
 */
#include "cons-internal.h"

#include "codec.h"

static struct cons_action *
add_action(struct cons *cons, enum cons_action_kind kind)
{
    struct cons_action action = {.kind = kind};

    g_array_append_val(cons->actions, action);
    return &g_array_index(cons->actions, struct cons_action,
                          cons->actions->len - 1);
}

static void
unref_entry(gpointer data)
{
    g_bytes_unref(((struct cons_entry *)data)->command);
}

/* References the entries from an index to the end of the log. */
static struct cons_batch
make_batch(const struct cons *cons, uint64_t first)
{
    guint count = (guint)(cons_last_index(cons) + 1 - first);
    struct cons_batch batch = {
        .first = first,
        .entries =
            g_array_sized_new(FALSE, FALSE, sizeof(struct cons_entry), count),
        .commit_index = cons->commit_index};

    g_array_set_clear_func(batch.entries, unref_entry);
    for (guint i = 0; i < count; i++) {
        struct cons_entry entry = *cons_entry_at(cons, first + i);

        (void)g_bytes_ref(entry.command);
        g_array_append_val(batch.entries, entry);
    }
    return batch;
}

void
cons_save_term(struct cons *cons)
{
    add_action(cons, CONS_SAVE_TERM)->vote =
        (struct cons_vote){.term = cons->term, .voted_for = cons->voted_for};
}

void
cons_save_entries(struct cons *cons, uint64_t first)
{
    add_action(cons, CONS_SAVE_ENTRIES)->batch = make_batch(cons, first);
}

void
cons_save_truncation(struct cons *cons, uint64_t index)
{
    add_action(cons, CONS_SAVE_TRUNCATION)->index = index;
}

void
cons_save_snapshot(struct cons *cons)
{
    const struct cons_snapshot *from = &cons->snapshot;
    struct cons_image image = {.snapshot = {.index = from->index,
                                            .term = from->term,
                                            .state = g_bytes_ref(from->state)},
                               .batch = make_batch(cons, from->index + 1)};

    cons_copy_config(&from->config, &image.snapshot.config);
    add_action(cons, CONS_SAVE_SNAPSHOT)->image = image;
}

void
cons_restore_snapshot(struct cons *cons)
{
    add_action(cons, CONS_RESTORE_SNAPSHOT)->index = cons->snapshot.index;
}

void
cons_send(struct cons *cons, uint32_t to, wire_msg *msg)
{
    add_action(cons, CONS_SEND)->message =
        (struct cons_message){.to = to, .bytes = codec_encode(msg)};
}

const struct cons_action *
cons_actions(struct cons *cons, size_t *count)
{
    *count = cons->actions->len;
    return (const struct cons_action *)(void *)cons->actions->data;
}

void
cons_clear_actions(struct cons *cons)
{
    for (guint i = 0; i < cons->actions->len; i++) {
        cons_free_action(&g_array_index(cons->actions, struct cons_action, i));
    }
    g_array_set_size(cons->actions, 0);
}

void
cons_move_actions(struct cons *cons,
                  void (*add)(void *data, const struct cons_action *),
                  void *data)
{
    for (guint i = 0; i < cons->actions->len; i++) {
        add(data, &g_array_index(cons->actions, struct cons_action, i));
    }
    g_array_set_size(cons->actions, 0);
}

void
cons_free_action(struct cons_action *action)
{
    switch (action->kind) {
    case CONS_SAVE_ENTRIES:
        g_array_unref(action->batch.entries);
        break;
    case CONS_SAVE_SNAPSHOT:
        g_array_unref(action->image.batch.entries);
        g_bytes_unref(action->image.snapshot.state);
        g_free(action->image.snapshot.config.voters.voters_val);
        break;
    case CONS_SEND:
        g_byte_array_unref(action->message.bytes);
        break;
    case CONS_SAVE_TERM:
    case CONS_SAVE_TRUNCATION:
    case CONS_RESTORE_SNAPSHOT:
        break;
    }
}
