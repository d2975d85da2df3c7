/* Simulated disk of a consensus replica. */
#include "sim-disk.h"

void
sim_disk_truncate(struct sim_disk *disk, uint64_t index)
{
    guint kept_count = index > disk->snapshot.index + 1
                           ? (guint)(index - disk->snapshot.index - 1)
                           : 0;

    for (guint i = kept_count; i < disk->log->len; i++) {
        g_bytes_unref(g_array_index(disk->log, struct cons_entry, i).command);
    }
    g_array_set_size(disk->log, MIN(kept_count, disk->log->len));
}

static struct cons_position
last_position(const struct sim_disk *disk)
{
    guint count = disk->log->len;

    return (struct cons_position){
        .index = disk->snapshot.index + count,
        .term =
            count > 0
                ? g_array_index(disk->log, struct cons_entry, count - 1).term
                : disk->snapshot.term};
}

static void
update_missing(struct sim_disk *disk)
{
    if (!cons_is_before(last_position(disk), disk->missing)) {
        disk->missing = (struct cons_position){0};
    }
}

void
sim_disk_damage(struct sim_disk *disk, uint64_t index)
{
    struct cons_position last = last_position(disk);

    if (cons_is_before(disk->missing, last)) {
        disk->missing = last;
    }
    sim_disk_truncate(disk, index);
    update_missing(disk);
}

bool
sim_disk_append(struct sim_disk *disk, const struct cons_batch *batch)
{
    if (batch->first != disk->snapshot.index + disk->log->len + 1) {
        return false;
    }
    disk->commit = batch->commit_index;
    for (guint i = 0; i < batch->entries->len; i++) {
        struct cons_entry entry =
            g_array_index(batch->entries, struct cons_entry, i);

        entry.command = g_bytes_ref(entry.command);
        g_array_append_val(disk->log, entry);
    }
    update_missing(disk);
    return true;
}

void
sim_disk_copy_snapshot(const struct cons_snapshot *from,
                       struct cons_snapshot *to)
{
    g_free(to->config.voters.voters_val);
    g_clear_pointer(&to->state, g_bytes_unref);
    *to = *from;
    to->config.voters.voters_val =
        g_memdup2(from->config.voters.voters_val,
                  from->config.voters.voters_len * sizeof(wire_voter));
    to->state = from->state ? g_bytes_ref(from->state) : NULL;
}

void
sim_disk_save_snapshot(struct sim_disk *disk, const struct cons_image *image)
{
    sim_disk_truncate(disk, disk->snapshot.index + 1);
    sim_disk_copy_snapshot(&image->snapshot, &disk->snapshot);
    (void)sim_disk_append(disk, &image->batch);
}

bool
sim_disk_run(struct sim_disk *disk, const struct cons_action *action)
{
    switch (action->kind) {
    case CONS_SAVE_TERM:
        disk->term = action->vote.term;
        disk->vote = action->vote.voted_for;
        return true;
    case CONS_SAVE_ENTRIES:
        return sim_disk_append(disk, &action->batch);
    case CONS_SAVE_TRUNCATION:
        sim_disk_truncate(disk, action->index);
        return true;
    case CONS_SAVE_SNAPSHOT:
        sim_disk_save_snapshot(disk, &action->image);
        return true;
    case CONS_SEND:
    case CONS_RESTORE_SNAPSHOT:
        return true;
    }
    return true;
}

void
sim_disk_check(const struct sim_disk *disk, const struct cons *cons)
{
    g_assert_cmpuint(disk->snapshot.index, ==, cons->snapshot.index);
    g_assert_cmpuint(disk->log->len, ==, cons->log->len);
    for (guint i = 0; i < MIN(disk->log->len, cons->log->len); i++) {
        const struct cons_entry *stored =
            &g_array_index(disk->log, struct cons_entry, i);
        const struct cons_entry *entry =
            cons_entry_at(cons, cons->snapshot.index + i + 1);

        g_assert_cmpuint(stored->term, ==, entry->term);
        g_assert_true(g_bytes_equal(stored->command, entry->command));
    }
}

void
sim_disk_load(const struct sim_disk *disk, struct cons_stored *out)
{
    *out = (struct cons_stored){.term = disk->term,
                                .voted_for = disk->vote,
                                .commit_index = disk->commit,
                                .missing = disk->missing};
    out->log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    for (guint i = 0; i < disk->log->len; i++) {
        struct cons_entry entry =
            g_array_index(disk->log, struct cons_entry, i);

        entry.command = g_bytes_ref(entry.command);
        g_array_append_val(out->log, entry);
    }
    sim_disk_copy_snapshot(&disk->snapshot, &out->snapshot);
}

void
sim_disk_wipe(struct sim_disk *disk)
{
    struct cons_snapshot none = {0};

    sim_disk_truncate(disk, disk->snapshot.index + 1);
    sim_disk_copy_snapshot(&none, &disk->snapshot);
    disk->term = 0;
    disk->vote = 0;
    disk->commit = 0;
    disk->missing = (struct cons_position){0};
}
