/**
 * @file sim-disk.h
 * A simulated disk: what a replica of the log has synced.
 */
#ifndef RIDGERIDGE_SIM_DISK_H
#define RIDGERIDGE_SIM_DISK_H

#include "cons.h"

/* What a control replica has synced. */
struct sim_disk {
    uint64_t identity;
    uint64_t term;
    uint32_t vote;
    struct cons_snapshot snapshot;
    GArray *log; /* struct cons_entry */
    uint64_t commit;
};

/* Drops what a disk holds from an index on. */
void sim_disk_cut(struct sim_disk *disk, uint64_t index);

/* Copies entries of a log to the disk. */
void sim_disk_append(struct sim_disk *disk, const struct cons *cons,
                     uint64_t index, uint32_t count);

/* Copies a snapshot struct. */
void sim_copy_snapshot(const struct cons_snapshot *from,
                       struct cons_snapshot *to);

/* Stores a replica's snapshot and the entries after it. */
void sim_disk_snapshot(struct sim_disk *disk, const struct cons *cons);

/* Gives what is stored to a replica that starts. */
void sim_disk_load(const struct sim_disk *disk, struct cons_stored *out);

/* Loses all that is stored. */
void sim_disk_wipe(struct sim_disk *disk);

#endif
