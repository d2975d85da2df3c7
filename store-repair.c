/*
 * Repair of a data folder. A log that is damaged before records that were
 * synced later is cut at the damage; the entries after it are copied from the
 * leader. A folder that cannot be repaired is set aside. Nothing that might be
 * the last copy of an entry is deleted.
 */
#include "store-internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "hash.h"

#define DAMAGED_SUFFIX ".damaged"

static uint64_t
missing_checksum(const struct missing_file *file)
{
    return hash_bytes(HASH_NAME, file,
                      offsetof(struct missing_file, checksum));
}

enum status_kind
store_load_missing(struct store *store, struct status *st)
{
    GByteArray *bytes;
    struct missing_file file;

    if (store_read_file(store->folder_fd, "missing", &bytes, st) !=
        STATUS_OK) {
        return st->kind;
    }
    if (bytes == NULL) {
        return STATUS_OK;
    }
    memset(&file, 0, sizeof(file));
    memcpy(&file, bytes->data, MIN(bytes->len, sizeof(file)));
    g_byte_array_unref(bytes);
    if (file.magic != MISSING_MAGIC ||
        file.checksum != missing_checksum(&file)) {
        return store_damaged(st, "missing", 0);
    }
    store->missing =
        (struct cons_position){.index = file.index, .term = file.term};
    return STATUS_OK;
}

static enum status_kind
save_missing(struct store *store, struct cons_position missing,
             struct status *st)
{
    struct missing_file file = {
        .magic = MISSING_MAGIC, .index = missing.index, .term = missing.term};

    file.checksum = missing_checksum(&file);
    store->missing = missing;
    return store_write_file(store->folder_fd, "missing", &file, sizeof(file),
                            st);
}

/* Position of the last intact record after a byte. */
static struct cons_position
find_last_record(const GByteArray *bytes, size_t at)
{
    struct cons_position last = {0};

    while (at < bytes->len) {
        struct record_header header = {0};
        ssize_t length = store_parse_record(bytes, at, &header);
        struct cons_position found = {.index = header.index,
                                      .term = header.term};

        if (length > 0 && cons_is_before(last, found)) {
            last = found;
        }
        at += length > 0 ? (size_t)length : 1;
    }
    return last;
}

enum status_kind
store_repair_log(struct store *store, const GByteArray *bytes, size_t at,
                 struct cons_stored *stored, struct status *st)
{
    struct cons_position last = find_last_record(bytes, at);
    struct cons_batch intact = {.first = stored->snapshot.index + 1,
                                .entries = stored->log,
                                .commit_index = stored->commit_index};

    /* While entries are missing, an earlier damaged log is the fuller one. */
    if (store->missing.index == 0 &&
        store_write_file(store->folder_fd, "log" DAMAGED_SUFFIX, bytes->data,
                         bytes->len, st) != STATUS_OK) {
        return st->kind;
    }
    if (cons_is_before(last, store->missing)) {
        last = store->missing;
    }
    if (save_missing(store, last, st) != STATUS_OK) {
        return st->kind;
    }
    return store_rewrite_log(store, &intact, st);
}

void
store_update_missing(struct store *store, struct cons_position last)
{
    if (store->missing.index != 0 && !cons_is_before(last, store->missing)) {
        store->missing = (struct cons_position){0};
        /* If a crash brings the file back, the next start removes it. */
        (void)unlinkat(store->folder_fd, "missing", 0);
    }
}

enum status_kind
store_set_aside(const char *path, struct status *st)
{
    static const char *const names[] = {"identity", "vote", "snapshot", "log",
                                        "missing"};
    int folder = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (folder < 0) {
        return store_io_error(st, "open", path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char kept[32];

        (void)snprintf(kept, sizeof(kept), "%s" DAMAGED_SUFFIX, names[i]);
        if (renameat(folder, names[i], folder, kept) != 0 && errno != ENOENT) {
            (void)store_io_error(st, "rename", names[i]);
        }
    }
    if (fsync(folder) != 0) {
        (void)store_io_error(st, "sync", path);
    }
    (void)close(folder);
    return st->kind;
}
