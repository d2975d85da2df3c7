/**
 * @file store.h
 * Persistent state of a control replica in its data folder: disk identity,
 * Raft term and vote, snapshot, and a log with a checksum per record; the
 * format is in docs/STATE.md. Calls that return STATUS_OK have synced their
 * writes.
 */
#ifndef RIDGERIDGE_STORE_H
#define RIDGERIDGE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "cons.h"
#include "status.h"

/** Handling of invalid bytes in the log. An incomplete last record is
 * truncated under either policy. */
enum store_tail_policy {
    STORE_TAIL_STRICT,  /**< STATUS_DAMAGED; an operator checks the disk */
    STORE_TAIL_TOLERANT /**< truncated at the end of the log; before records
                            that were synced later, the log is cut there and
                            `missing` names the last of them */
};

/** An open data folder. */
struct store {
    char path[256]; /**< of the folder */
    int folder_fd;
    int lock_fd; /**< locked while the folder is open */
    int log_fd;
    uint64_t first_index; /**< index of the first record in the log */
    GArray *offsets;      /**< off_t of each record, and of the end */
    uint64_t identity;    /**< of the disk; drawn for a new folder */
    bool founder;         /**< bootstrap voter: the identity is its number */
    enum store_tail_policy tail_policy;
    uint64_t torn_bytes; /**< truncated from the end of the log at open */
    uint64_t repeated;   /**< records that the log held twice at open */
    struct cons_position missing; /**< see struct cons */
};

/**
 * Creates the folder and draws an identity when they are missing.
 * @param stored receives term, vote, snapshot and log
 * @return STATUS_DAMAGED when a file or record is damaged, STATUS_REFUSED when
 *         another process has the folder open
 */
enum status_kind store_open(struct store *store, const char *path,
                            enum store_tail_policy tail,
                            struct cons_stored *stored, struct status *st);

/** Sets the identity of an empty, open folder to the replica number. */
enum status_kind store_bootstrap(struct store *store, uint32_t replica,
                                 struct status *st);

/** Renames the files of a damaged folder to NAME.damaged; the next open draws
 * an identity. */
enum status_kind store_set_aside(const char *path, struct status *st);

/** Creates the folder of a bootstrap voter: its identity is its number. */
enum status_kind store_init(const char *path, uint32_t replica,
                            struct status *st);

void store_close(struct store *store);

enum status_kind store_save_term(struct store *store, uint64_t term,
                                 uint32_t vote, struct status *st);

/**
 * Appends entries to the log.
 * @return STATUS_CONFLICT, with nothing written, unless the batch begins
 *         right after the last entry
 */
enum status_kind store_append(struct store *store,
                              const struct cons_batch *batch,
                              struct status *st);

/** Removes the entries from `index` on. */
enum status_kind store_truncate(struct store *store, uint64_t index,
                                struct status *st);

/** Stores a snapshot, then rewrites the log with the entries after it. */
enum status_kind store_save_snapshot(struct store *store,
                                     const struct cons_image *image,
                                     struct status *st);

/**
 * @param out receives the file's bytes, NULL when it does not exist
 * @return STATUS_IO when it exists and cannot be read
 */
enum status_kind store_read_file(int folder, const char *name,
                                 GByteArray **out, struct status *st);

/** Replaces a file atomically: temporary file, fsync, rename. */
enum status_kind store_write_file(int folder, const char *name,
                                  const void *bytes, size_t length,
                                  struct status *st);

#endif
