/**
 * @file store-internal.h
 * What the store*.c files share: the layout of the files in a data folder
 * (docs/STATE.md). Nothing else includes it.
 */
#ifndef RIDGERIDGE_STORE_INTERNAL_H
#define RIDGERIDGE_STORE_INTERNAL_H

#include "store.h"

#define LOG_MAGIC 0x32474f4c52524952ULL      /* "RIRRLOG2" */
#define RECORD_MAGIC 0x44434552U             /* "RECD": first of a sync */
#define RECORD_NEXT_MAGIC 0x4e434552U        /* "RECN": more of that sync */
#define VOTE_MAGIC 0x31544f5652524952ULL     /* "RIRRVOT1" */
#define SNAPSHOT_MAGIC 0x31504e5352524952ULL /* "RIRRSNP1" */
#define RECORD_MAX (8U * 1024 * 1024)

/* What stands before each record of the log. */
struct record_header {
    uint32_t magic;
    uint32_t length; /* of the command that follows */
    uint64_t index;
    uint64_t term;
    uint64_t commit;   /* highest entry known to be committed by then */
    uint64_t checksum; /* of the fields above and the command */
};

/* The file of term and vote. */
struct vote_file {
    uint64_t magic;
    uint64_t term;
    uint64_t vote;
    uint64_t checksum;
};

/* The head of the snapshot file; voters and state follow. */
struct snapshot_file {
    uint64_t magic;
    uint64_t index;
    uint64_t term;
    uint64_t voters; /* bytes of the encoded voters */
    uint64_t state;  /* bytes of the encoded state */
    uint64_t checksum;
};

/* store-file.c */
/** Reports an error of the operating system. */
enum status_kind store_io_error(struct status *st, const char *what,
                                const char *name);
/** Reports damage, with the remedy. */
enum status_kind store_damaged(struct status *st, const char *name,
                               uint64_t at);
/** Writes all bytes. */
bool store_write_all(int fd, const void *bytes, size_t length);

/* store-load.c */
/** Checksum of a record of the log. */
uint64_t store_record_checksum(const struct record_header *header,
                               const void *command);
/** Reads the file of term and vote. */
enum status_kind store_load_vote(struct store *store,
                                 struct cons_stored *stored,
                                 struct status *st);
/** Reads the snapshot. */
enum status_kind store_load_snapshot(struct store *store,
                                     struct cons_stored *stored,
                                     struct status *st);
/** Opens and reads the log. */
enum status_kind store_load_log(struct store *store,
                                struct cons_stored *stored, struct status *st);
/** Reads the identity, or draws a new one for a new disk. */
enum status_kind store_load_identity(struct store *store, struct status *st);

#endif
