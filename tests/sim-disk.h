/**
 * @file sim-disk.h
 * Simulated disk of a consensus replica: the term, vote, log and snapshot that
 * it synced.
 */
#ifndef RIDGERIDGE_SIM_DISK_H
#define RIDGERIDGE_SIM_DISK_H

#include "cons.h"

/* Durable state of a control replica. */
struct sim_disk {
    uint64_t identity;
    uint64_t term;
    uint32_t vote;
    struct cons_snapshot snapshot;
    GArray *log; /* struct cons_entry */
    uint64_t commit;
};

/* Removes the entries from `index` on. */
void sim_disk_truncate(struct sim_disk *disk, uint64_t index);

/* Replaces the entries from `index` on by `count` entries of the log. */
void sim_disk_append(struct sim_disk *disk, const struct cons *cons,
                     uint64_t index, uint32_t count);

/* Replaces `to` by a deep copy of `from`. */
void sim_disk_copy_snapshot(const struct cons_snapshot *from,
                            struct cons_snapshot *to);

/* Stores a replica's snapshot and the entries after it. */
void sim_disk_save_snapshot(struct sim_disk *disk, const struct cons *cons);

/* Copies the stored state for the restart of a replica; the caller owns it. */
void sim_disk_load(const struct sim_disk *disk, struct cons_stored *out);

/* Erases all but the identity. */
void sim_disk_wipe(struct sim_disk *disk);

#endif
