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

void
sim_disk_append(struct sim_disk *disk, const struct cons *cons, uint64_t index,
                uint32_t count)
{
    sim_disk_truncate(disk, index);
    disk->commit = cons->commit_index;
    for (uint32_t i = 0; i < count; i++) {
        struct cons_entry entry = *cons_entry_at(cons, index + i);

        entry.command = g_bytes_ref(entry.command);
        g_array_append_val(disk->log, entry);
    }
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
sim_disk_save_snapshot(struct sim_disk *disk, const struct cons *cons)
{
    sim_disk_truncate(disk, disk->snapshot.index + 1);
    sim_disk_copy_snapshot(&cons->snapshot, &disk->snapshot);
    sim_disk_append(disk, cons, cons->snapshot.index + 1, cons->log->len);
}

void
sim_disk_load(const struct sim_disk *disk, struct cons_stored *out)
{
    *out = (struct cons_stored){.term = disk->term,
                                .voted_for = disk->vote,
                                .commit_index = disk->commit};
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
}
