/* Writing the data folder of a control replica. */
#include "store-internal.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "codec.h"
#include "hash.h"

static enum status_kind
open_folder(struct store *store, const char *path, struct status *st)
{
    g_strlcpy(store->path, path, sizeof(store->path));
    (void)mkdir(path, 0700);
    store->folder_fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (store->folder_fd < 0) {
        return store_io_error(st, "open", path);
    }
    store->lock_fd =
        openat(store->folder_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (store->lock_fd < 0) {
        return store_io_error(st, "create", "lock");
    }
    if (flock(store->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return status_set(st, STATUS_REFUSED,
                          "data folder %s is locked by another process; stop "
                          "that process first",
                          path);
    }
    return STATUS_OK;
}

/* Empties a log that ends before the snapshot, after a crash between the two
 * writes; appended records would leave a gap. */
static enum status_kind
drop_stale_log(struct store *store, const struct cons_stored *stored,
               struct status *st)
{
    off_t start = sizeof(uint64_t);
    uint64_t next = store->first_index + store->offsets->len - 1;

    if (store->offsets->len > 1 && next > stored->snapshot.index) {
        return STATUS_OK;
    }
    if (ftruncate(store->log_fd, start) != 0 || fsync(store->log_fd) != 0) {
        return store_io_error(st, "cut", "log");
    }
    g_array_set_size(store->offsets, 0);
    g_array_append_val(store->offsets, start);
    store->first_index = stored->snapshot.index + 1;
    return STATUS_OK;
}

/* Position of the last entry of a snapshot and the entries after it. */
static struct cons_position
last_position(const struct cons_snapshot *snapshot, const GArray *entries)
{
    struct cons_position last = {.index = snapshot->index + entries->len,
                                 .term = snapshot->term};

    if (entries->len > 0) {
        last.term =
            g_array_index(entries, struct cons_entry, entries->len - 1).term;
    }
    return last;
}

/* Removes records that the log holds twice, and the record of entries that are
 * no longer missing. */
static enum status_kind
tidy(struct store *store, struct cons_stored *stored, struct status *st)
{
    struct cons_batch batch = {.first = stored->snapshot.index + 1,
                               .entries = stored->log,
                               .commit_index = stored->commit_index};

    store_update_missing(store, last_position(&stored->snapshot, stored->log));
    stored->missing = store->missing;
    return store->repeated > 0 ? store_rewrite_log(store, &batch, st)
                               : STATUS_OK;
}

enum status_kind
store_open(struct store *store, const char *path, enum store_tail_policy tail,
           struct cons_stored *stored, struct status *st)
{
    memset(store, 0, sizeof(*store));
    store->tail_policy = tail;
    memset(stored, 0, sizeof(*stored));
    st->kind = STATUS_OK;
    store->log_fd = -1;
    store->lock_fd = -1;
    store->offsets = g_array_new(FALSE, FALSE, sizeof(off_t));
    stored->log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    if (open_folder(store, path, st) != STATUS_OK ||
        store_load_identity(store, st) != STATUS_OK ||
        store_load_vote(store, stored, st) != STATUS_OK ||
        store_load_missing(store, st) != STATUS_OK ||
        store_load_snapshot(store, stored, st) != STATUS_OK ||
        store_load_log(store, stored, st) != STATUS_OK ||
        tidy(store, stored, st) != STATUS_OK) {
        return st->kind;
    }
    return drop_stale_log(store, stored, st);
}

enum status_kind
store_bootstrap(struct store *store, uint32_t replica, struct status *st)
{
    uint64_t identity = replica;

    if (store_write_file(store->folder_fd, "identity", &identity,
                         sizeof(identity), st) == STATUS_OK) {
        store->identity = identity;
        store->founder = true;
    }
    return st->kind;
}

enum status_kind
store_init(const char *path, uint32_t replica, struct status *st)
{
    uint64_t identity = replica;
    int folder;

    (void)mkdir(path, 0700);
    folder = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return store_io_error(st, "open", path);
    }
    if (faccessat(folder, "identity", F_OK, 0) == 0) {
        (void)close(folder);
        return status_set(st, STATUS_REFUSED,
                          "data folder %s already holds a replica; run "
                          "init-control only at the first install",
                          path);
    }
    (void)store_write_file(folder, "identity", &identity, sizeof(identity),
                           st);
    (void)close(folder);
    return st->kind;
}

void
store_close(struct store *store)
{
    if (store->log_fd >= 0) {
        (void)close(store->log_fd);
    }
    if (store->lock_fd >= 0) {
        (void)close(store->lock_fd);
    }
    if (store->folder_fd >= 0) {
        (void)close(store->folder_fd);
    }
    g_clear_pointer(&store->offsets, g_array_unref);
}

enum status_kind
store_save_term(struct store *store, uint64_t term, uint32_t vote,
                struct status *st)
{
    struct vote_file file = {.magic = VOTE_MAGIC, .term = term, .vote = vote};

    file.checksum = hash_pair(HASH_NAME, file.term, file.vote);
    return store_write_file(store->folder_fd, "vote", &file, sizeof(file), st);
}

/* Encodes entry `i` of a batch. */
static void
encode_record(GByteArray *out, const struct cons_batch *batch, guint i)
{
    const struct cons_entry *entry =
        &g_array_index(batch->entries, struct cons_entry, i);
    gsize length = 0;
    const void *command = g_bytes_get_data(entry->command, &length);
    struct record_header header = {.magic = i == 0 ? RECORD_FIRST_MAGIC
                                                   : RECORD_NEXT_MAGIC,
                                   .length = (uint32_t)length,
                                   .index = batch->first + i,
                                   .term = entry->term,
                                   .commit_index = batch->commit_index};

    header.checksum = store_record_checksum(&header, command);
    g_byte_array_append(out, (const guint8 *)&header, sizeof(header));
    g_byte_array_append(out, command, (guint)length);
}

/* Returns the end of the log for an index past it. */
static off_t
record_offset(const struct store *store, uint64_t index)
{
    uint64_t slot = index - store->first_index;

    if (slot >= store->offsets->len) {
        slot = store->offsets->len - 1;
    }
    return g_array_index(store->offsets, off_t, slot);
}

enum status_kind
store_truncate(struct store *store, uint64_t index, struct status *st)
{
    off_t end = record_offset(store, index);

    if (index < store->first_index) {
        index = store->first_index;
        end = g_array_index(store->offsets, off_t, 0);
    }
    if (ftruncate(store->log_fd, end) != 0 || fsync(store->log_fd) != 0) {
        return store_io_error(st, "cut", "log");
    }
    if (index - store->first_index + 1 < store->offsets->len) {
        g_array_set_size(store->offsets,
                         (guint)(index - store->first_index + 1));
    }
    return STATUS_OK;
}

enum status_kind
store_append(struct store *store, const struct cons_batch *batch,
             struct status *st)
{
    off_t end = g_array_index(store->offsets, off_t, store->offsets->len - 1);
    uint64_t next_index = store->first_index + store->offsets->len - 1;
    struct cons_position last;
    GByteArray *out;
    bool ok;

    if (batch->first != next_index) {
        return status_set(st, STATUS_CONFLICT,
                          "entry %llu cannot follow entry %llu of the log; "
                          "report this as a bug, with the logs of this node",
                          (unsigned long long)batch->first,
                          (unsigned long long)next_index - 1);
    }
    out = g_byte_array_new();
    for (guint i = 0; i < batch->entries->len; i++) {
        off_t next;

        encode_record(out, batch, i);
        next = end + (off_t)out->len;
        g_array_append_val(store->offsets, next);
    }
    ok = lseek(store->log_fd, end, SEEK_SET) == end &&
         store_write_all(store->log_fd, out->data, out->len) &&
         fdatasync(store->log_fd) == 0;
    g_byte_array_unref(out);
    if (!ok) {
        return store_io_error(st, "append to", "log");
    }
    last.index = batch->first + batch->entries->len - 1;
    last.term = g_array_index(batch->entries, struct cons_entry,
                              batch->entries->len - 1)
                    .term;
    store_update_missing(store, last);
    return STATUS_OK;
}

static GByteArray *
encode_snapshot(const struct cons_snapshot *s)
{
    wire_command command = {.kind = WIRE_CMD_CONFIG,
                            .wire_command_u.config = s->config};
    GByteArray *voters = codec_encode_command(&command);
    gsize length = 0;
    const void *state = g_bytes_get_data(s->state, &length);
    struct snapshot_file file = {.magic = SNAPSHOT_MAGIC,
                                 .index = s->index,
                                 .term = s->term,
                                 .voters_length = voters->len,
                                 .state_length = length};
    GByteArray *out = g_byte_array_new();

    g_byte_array_append(out, (const guint8 *)&file, sizeof(file));
    g_byte_array_append(out, voters->data, voters->len);
    g_byte_array_append(out, state, (guint)length);
    file.checksum = hash_pair(
        HASH_NAME,
        hash_bytes(HASH_NAME, &file, offsetof(struct snapshot_file, checksum)),
        hash_bytes(HASH_NAME, out->data + sizeof(file),
                   out->len - sizeof(file)));
    memcpy(out->data, &file, sizeof(file));
    g_byte_array_unref(voters);
    return out;
}

enum status_kind
store_rewrite_log(struct store *store, const struct cons_batch *batch,
                  struct status *st)
{
    uint64_t magic = LOG_MAGIC;
    GByteArray *out = g_byte_array_new();
    off_t at = sizeof(magic);

    g_byte_array_append(out, (const guint8 *)&magic, sizeof(magic));
    g_array_set_size(store->offsets, 0);
    g_array_append_val(store->offsets, at);
    for (guint i = 0; i < batch->entries->len; i++) {
        encode_record(out, batch, i);
        at = out->len;
        g_array_append_val(store->offsets, at);
    }
    store->first_index = batch->first;
    (void)store_write_file(store->folder_fd, "log", out->data, out->len, st);
    g_byte_array_unref(out);
    (void)close(store->log_fd);
    store->log_fd = openat(store->folder_fd, "log", O_RDWR | O_CLOEXEC);
    if (store->log_fd < 0) {
        return store_io_error(st, "open", "log");
    }
    return st->kind;
}

enum status_kind
store_save_snapshot(struct store *store, const struct cons_image *image,
                    struct status *st)
{
    GByteArray *out = encode_snapshot(&image->snapshot);

    st->kind = STATUS_OK;
    (void)store_write_file(store->folder_fd, "snapshot", out->data, out->len,
                           st);
    g_byte_array_unref(out);
    if (st->kind != STATUS_OK) {
        return st->kind;
    }
    if (store_rewrite_log(store, &image->batch, st) == STATUS_OK) {
        store_update_missing(
            store, last_position(&image->snapshot, image->batch.entries));
    }
    return st->kind;
}
