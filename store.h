/**
 * @file store.h
 * What a control replica keeps on disk, under its data folder: identity,
 * term and vote, snapshot, and the log with a checksum on each record. The
 * format is described in docs/STATE.md. A call that returns STATUS_OK has
 * synced what it wrote.
 */
#ifndef RIDGERIDGE_STORE_H
#define RIDGERIDGE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "cons.h"
#include "status.h"

/** What a bad record at the end of the log means. */
enum store_tail {
    STORE_TAIL_STRICT, /**< damage: an operator looks at the disk */
    STORE_TAIL_TORN    /**< a write cut by a loss of power, unless a later
                            batch proves that it was synced */
};

/** An open data folder. */
struct store {
    char path[256];       /**< the folder */
    int folder;           /**< its descriptor */
    int lock;             /**< held while the process lives */
    int log;              /**< descriptor of the log */
    uint64_t first;       /**< index of the first record in the log */
    GArray *offsets;      /**< off_t of each record, and of the end */
    uint64_t identity;    /**< of this disk */
    bool founder;         /**< the folder was made by init */
    enum store_tail tail; /**< how a bad end is taken */
    uint64_t cut_bytes;   /**< of a torn tail, cut at open */
};

/**
 * Opens a data folder, and makes an identity when it has none.
 * @param stored receives term, vote, snapshot and log
 * @return STATUS_DAMAGED when a record inside the log is damaged
 */
enum status_kind store_open(struct store *store, const char *path,
                            enum store_tail tail, struct cons_stored *stored,
                            struct status *st);

/** Makes an empty, open folder the founder's: its identity is its number. */
enum status_kind store_found(struct store *store, uint32_t replica,
                             struct status *st);

/** Removes the state of a damaged folder: the next open is a new disk. */
enum status_kind store_wipe(const char *path, struct status *st);

/** Makes the folder of a founding replica: its identity is its number. */
enum status_kind store_init(const char *path, uint32_t replica,
                            struct status *st);

/** Closes the folder. */
void store_close(struct store *store);

/** Stores term and vote. */
enum status_kind store_save_term(struct store *store, uint64_t term,
                                 uint32_t vote, struct status *st);

/** Appends entries from an index on; earlier ones of that index are cut. */
enum status_kind store_append(struct store *store, const struct cons *cons,
                              uint64_t index, uint32_t count,
                              struct status *st);

/** Drops entries from an index on. */
enum status_kind store_cut(struct store *store, uint64_t index,
                           struct status *st);

/** Stores the snapshot, then the log that follows it. */
enum status_kind store_snapshot(struct store *store, const struct cons *cons,
                                struct status *st);

/**
 * Reads a small file.
 * @param out receives its bytes, NULL when it is not there
 * @return STATUS_IO when it is there and cannot be read
 */
enum status_kind store_read_file(int folder, const char *name,
                                 GByteArray **out, struct status *st);

/** Writes a whole small file under a folder: temporary, sync, rename. */
enum status_kind store_write_file(int folder, const char *name,
                                  const void *bytes, size_t length,
                                  struct status *st);

#endif
