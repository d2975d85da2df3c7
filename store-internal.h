/**
 * @file store-internal.h
 * Layout of the files in a data folder (docs/STATE.md), private to the
 * store*.c files.
 */
#ifndef RIDGERIDGE_STORE_INTERNAL_H
#define RIDGERIDGE_STORE_INTERNAL_H

#include "store.h"

#define LOG_MAGIC 0x32474f4c52524952ULL      /* "RIRRLOG2" */
#define RECORD_FIRST_MAGIC 0x44434552U       /* "RECD": first of a batch */
#define RECORD_NEXT_MAGIC 0x4e434552U        /* "RECN": rest of the batch */
#define VOTE_MAGIC 0x31544f5652524952ULL     /* "RIRRVOT1" */
#define SNAPSHOT_MAGIC 0x31504e5352524952ULL /* "RIRRSNP1" */
#define MISSING_MAGIC 0x3153494d52524952ULL  /* "RIRRMIS1" */
#define RECORD_MAX (8U * 1024 * 1024)        /* bytes of a command */

/* Precedes each record of the log. */
struct record_header {
    uint32_t magic;
    uint32_t length; /* bytes of the command that follows */
    uint64_t index;
    uint64_t term;
    uint64_t commit_index; /* when the record was written */
    uint64_t checksum;     /* of the fields above and the command */
};

/* The file "vote". */
struct vote_file {
    uint64_t magic;
    uint64_t term;
    uint64_t vote;
    uint64_t checksum;
};

/* The file "missing": a struct cons_position. */
struct missing_file {
    uint64_t magic;
    uint64_t index;
    uint64_t term;
    uint64_t checksum;
};

/* Header of the file "snapshot"; voters and state follow. */
struct snapshot_file {
    uint64_t magic;
    uint64_t index;
    uint64_t term;
    uint64_t voters_length; /* bytes of the encoded configuration */
    uint64_t state_length;  /* bytes of the encoded state */
    uint64_t checksum;
};

/* store-file.c */
/** Sets STATUS_IO with the text of errno. */
enum status_kind store_io_error(struct status *st, const char *operation,
                                const char *name);
/** Sets STATUS_DAMAGED with the byte offset and the remedy. */
enum status_kind store_damaged(struct status *st, const char *name,
                               uint64_t at);
/** Repeats write(2) until all bytes are written; false on an error. */
bool store_write_all(int fd, const void *bytes, size_t length);

/* store.c */
/** Replaces the log by a batch. */
enum status_kind store_rewrite_log(struct store *store,
                                   const struct cons_batch *batch,
                                   struct status *st);

/* store-repair.c */
enum status_kind store_load_missing(struct store *store, struct status *st);
/** Cuts the log before the damage at byte `at` of `bytes`, and records the
 * last entry after it as missing. The damaged file is kept. */
enum status_kind store_repair_log(struct store *store, const GByteArray *bytes,
                                  size_t at, struct cons_stored *stored,
                                  struct status *st);
/** Removes the record of missing entries once the log reaches them. */
void store_update_missing(struct store *store, struct cons_position last);

/* store-load.c */
/** Returns the length of the record at a byte, 0 for a torn tail, -1 for
 * damage. */
ssize_t store_parse_record(const GByteArray *bytes, size_t at,
                           struct record_header *out);
uint64_t store_record_checksum(const struct record_header *header,
                               const void *command);
enum status_kind store_load_vote(struct store *store,
                                 struct cons_stored *stored,
                                 struct status *st);
enum status_kind store_load_snapshot(struct store *store,
                                     struct cons_stored *stored,
                                     struct status *st);
enum status_kind store_load_log(struct store *store,
                                struct cons_stored *stored, struct status *st);
enum status_kind store_load_identity(struct store *store, struct status *st);

#endif
