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
    struct cons_position missing; /* damaged entries; see struct cons */
};

/* Damages the entries from `index` on; they read as missing. */
void sim_disk_damage(struct sim_disk *disk, uint64_t index);

/* Removes the entries from `index` on. */
void sim_disk_truncate(struct sim_disk *disk, uint64_t index);

/* Appends entries; false, with nothing stored, unless they begin right after
 * the last one. */
bool sim_disk_append(struct sim_disk *disk, const struct cons_batch *batch);

/* Replaces `to` by a deep copy of `from`. */
void sim_disk_copy_snapshot(const struct cons_snapshot *from,
                            struct cons_snapshot *to);

/* Stores a snapshot and the entries after it. */
void sim_disk_save_snapshot(struct sim_disk *disk,
                            const struct cons_image *image);

/* Carries out an action that stores; false when the disk refuses it. */
bool sim_disk_run(struct sim_disk *disk, const struct cons_action *action);

/* Asserts that the disk holds the same log as a replica. */
void sim_disk_check(const struct sim_disk *disk, const struct cons *cons);

/* Copies the stored state for the restart of a replica; the caller owns it. */
void sim_disk_load(const struct sim_disk *disk, struct cons_stored *out);

/* Erases all but the identity. */
void sim_disk_wipe(struct sim_disk *disk);

#endif
