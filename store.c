/*
 * The data folder of a control replica. The only file that writes the state
 * of control; its format is in docs/STATE.md.
 */
#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "codec.h"
#include "hash.h"

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

/* Reports an error of the operating system. */
static enum status_kind
io_error(struct status *st, const char *what, const char *name)
{
    return status_set(st, STATUS_IO,
                      "%s %s: %s; check space and rights of the data folder",
                      what, name, g_strerror(errno));
}

/* Reports damage, with the remedy. */
static enum status_kind
damaged(struct status *st, const char *name, uint64_t at)
{
    return status_set(st, STATUS_DAMAGED,
                      "%s is damaged at byte %llu; move the data folder "
                      "aside and start again: this replica then joins with "
                      "a new identity and copies the log from the others",
                      name, (unsigned long long)at);
}

/* Writes all bytes. */
static bool
write_all(int fd, const void *bytes, size_t length)
{
    const char *at = bytes;

    while (length > 0) {
        ssize_t n = write(fd, at, length);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        at += n;
        length -= (size_t)n;
    }
    return true;
}

/* Writes a file whole, so that either the old or the new one is there. */
enum status_kind
store_write_file(int folder, const char *name, const void *bytes,
                 size_t length, struct status *st)
{
    char temporary[64];
    int fd;
    bool ok;

    (void)g_snprintf(temporary, sizeof(temporary), "%s.new", name);
    fd = openat(folder, temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                0600);
    if (fd < 0) {
        return io_error(st, "create", temporary);
    }
    ok = write_all(fd, bytes, length) && fsync(fd) == 0;
    if (close(fd) != 0 || !ok) {
        return io_error(st, "write", temporary);
    }
    if (renameat(folder, temporary, folder, name) != 0 || fsync(folder) != 0) {
        return io_error(st, "rename", name);
    }
    return STATUS_OK;
}

/* Reads what an open file holds. */
static bool
read_all(int fd, GByteArray *out)
{
    size_t at = 0;

    while (at < out->len) {
        ssize_t n = pread(fd, out->data + at, out->len - at, (off_t)at);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return false;
        }
        if (n == 0) {
            break;
        }
        at += (size_t)n;
    }
    g_byte_array_set_size(out, (guint)at);
    return true;
}

/* Reads a small file. One that is there and cannot be read is an error of the
 * disk, neither a new disk nor damage. */
enum status_kind
store_read_file(int folder, const char *name, GByteArray **out,
                struct status *st)
{
    int fd = openat(folder, name, O_RDONLY | O_CLOEXEC);
    struct stat info;

    *out = NULL;
    if (fd < 0) {
        return errno == ENOENT ? STATUS_OK : io_error(st, "open", name);
    }
    if (fstat(fd, &info) != 0 || info.st_size > INT32_MAX) {
        (void)io_error(st, "read", name);
        (void)close(fd);
        return st->kind;
    }
    *out = g_byte_array_sized_new((guint)info.st_size + 1);
    g_byte_array_set_size(*out, (guint)info.st_size);
    if (!read_all(fd, *out)) {
        (void)io_error(st, "read", name);
        g_byte_array_unref(*out);
        *out = NULL;
    }
    (void)close(fd);
    return *out != NULL ? STATUS_OK : st->kind;
}

/* Checksum of a record. */
static uint64_t
record_checksum(const struct record_header *header, const void *command)
{
    uint64_t head = hash_bytes(HASH_NAME, header,
                               offsetof(struct record_header, checksum));

    return hash_pair(HASH_NAME, head,
                     hash_bytes(HASH_NAME, command, header->length));
}

/* Reads the file of term and vote. */
static enum status_kind
load_vote(struct store *store, struct cons_stored *stored, struct status *st)
{
    GByteArray *bytes;
    struct vote_file file;

    if (store_read_file(store->folder, "vote", &bytes, st) != STATUS_OK) {
        return st->kind;
    }
    if (bytes == NULL) {
        return STATUS_OK;
    }
    if (bytes->len != sizeof(file)) {
        g_byte_array_unref(bytes);
        return damaged(st, "vote", 0);
    }
    memcpy(&file, bytes->data, sizeof(file));
    g_byte_array_unref(bytes);
    if (file.magic != VOTE_MAGIC ||
        file.checksum != hash_pair(HASH_NAME, file.term, file.vote)) {
        return damaged(st, "vote", 0);
    }
    stored->term = file.term;
    stored->vote = (uint32_t)file.vote;
    return STATUS_OK;
}

/* Takes voters and state out of a snapshot file that was checked. */
static bool
unpack_snapshot(const struct snapshot_file *file, const guint8 *body,
                struct cons_snapshot *out)
{
    wire_command voters;

    if (!codec_decode_command(body, file->voters, &voters)) {
        return false;
    }
    if (voters.kind != WIRE_CMD_CONFIG) {
        codec_free_command(&voters);
        return false;
    }
    out->index = file->index;
    out->term = file->term;
    out->config = voters.wire_command_u.config;
    out->state = g_bytes_new(body + file->voters, file->state);
    return true;
}

/* Reads the snapshot. */
static enum status_kind
load_snapshot(struct store *store, struct cons_stored *stored,
              struct status *st)
{
    GByteArray *bytes;
    struct snapshot_file file;
    const guint8 *body;
    bool ok;

    if (store_read_file(store->folder, "snapshot", &bytes, st) != STATUS_OK) {
        return st->kind;
    }
    if (bytes == NULL) {
        return STATUS_OK;
    }
    ok = bytes->len >= sizeof(file);
    if (ok) {
        memcpy(&file, bytes->data, sizeof(file));
        body = bytes->data + sizeof(file);
        ok = file.magic == SNAPSHOT_MAGIC &&
             file.voters <= bytes->len - sizeof(file) &&
             file.state == bytes->len - sizeof(file) - file.voters &&
             file.checksum ==
                 hash_pair(
                     HASH_NAME,
                     hash_bytes(HASH_NAME, &file,
                                offsetof(struct snapshot_file, checksum)),
                     hash_bytes(HASH_NAME, body, bytes->len - sizeof(file))) &&
             unpack_snapshot(&file, body, &stored->snapshot);
    }
    g_byte_array_unref(bytes);
    return ok ? STATUS_OK : damaged(st, "snapshot", 0);
}

/* Says whether all bytes from a place on are zero. */
static bool
is_zero(const GByteArray *bytes, size_t from)
{
    while (from < bytes->len && bytes->data[from] == 0) {
        from++;
    }
    return from == bytes->len;
}

/* Reads one record; 0 for a torn tail, -1 for damage, else its length. */
static ssize_t
read_record(const GByteArray *bytes, size_t at, struct record_header *out)
{
    size_t left = bytes->len - at;

    if (left < sizeof(*out) || is_zero(bytes, at)) {
        return 0;
    }
    memcpy(out, bytes->data + at, sizeof(*out));
    if ((out->magic != RECORD_MAGIC && out->magic != RECORD_NEXT_MAGIC) ||
        out->length > RECORD_MAX) {
        return -1;
    }
    if (left < sizeof(*out) + out->length) {
        return 0;
    }
    if (out->checksum !=
        record_checksum(out, bytes->data + at + sizeof(*out))) {
        return -1;
    }
    return (ssize_t)(sizeof(*out) + out->length);
}

/* Takes one record into the log, unless the snapshot holds it. */
static bool
take_record(struct store *store, const struct record_header *header,
            const guint8 *command, off_t at, struct cons_stored *stored)
{
    uint64_t next = store->first + store->offsets->len;
    struct cons_entry entry;

    if (store->offsets->len == 0) {
        store->first = header->index;
    }
    else if (header->index != next) {
        return false;
    }
    g_array_append_val(store->offsets, at);
    if (header->index <= stored->snapshot.index) {
        return true;
    }
    stored->commit = MAX(stored->commit, header->commit);
    entry.term = header->term;
    entry.command = g_bytes_new(command, header->length);
    g_array_append_val(stored->log, entry);
    return header->index == stored->snapshot.index + stored->log->len;
}

/* Says whether a record that begins a later sync follows a bad place: then
 * the bad place had been synced, and is damage rather than a torn write. */
static bool
is_proved_synced(const GByteArray *bytes, size_t bad)
{
    struct record_header header;

    for (size_t at = bad + 1; at + sizeof(header) <= bytes->len; at++) {
        if (read_record(bytes, at, &header) > 0 &&
            header.magic == RECORD_MAGIC) {
            return true;
        }
    }
    return false;
}

/* Reads the records of the log; cuts a torn tail, refuses damage. */
static enum status_kind
load_records(struct store *store, const GByteArray *bytes,
             struct cons_stored *stored, struct status *st)
{
    size_t at = sizeof(uint64_t);
    off_t end;

    while (at < bytes->len) {
        struct record_header header;
        ssize_t length = read_record(bytes, at, &header);

        if (length <= 0 && store->tail == STORE_TAIL_TORN) {
            length = is_proved_synced(bytes, at) ? -1 : 0;
        }
        if (length < 0 ||
            (length > 0 &&
             !take_record(store, &header, bytes->data + at + sizeof(header),
                          (off_t)at, stored))) {
            return damaged(st, "log", at);
        }
        if (length == 0) {
            store->cut_bytes = bytes->len - at;
            if (ftruncate(store->log, (off_t)at) != 0 ||
                fsync(store->log) != 0) {
                return io_error(st, "cut", "log");
            }
            break;
        }
        at += (size_t)length;
    }
    end = (off_t)at;
    g_array_append_val(store->offsets, end);
    return STATUS_OK;
}

/* Opens the log, or makes an empty one. */
static enum status_kind
load_log(struct store *store, struct cons_stored *stored, struct status *st)
{
    uint64_t magic = LOG_MAGIC;
    GByteArray *bytes;
    enum status_kind kind;

    if (store_read_file(store->folder, "log", &bytes, st) != STATUS_OK) {
        return st->kind;
    }
    if (bytes == NULL || bytes->len == 0) {
        if (bytes != NULL) {
            g_byte_array_unref(bytes);
        }
        if (store_write_file(store->folder, "log", &magic, sizeof(magic),
                             st) != STATUS_OK) {
            return st->kind;
        }
        if (store_read_file(store->folder, "log", &bytes, st) != STATUS_OK) {
            return st->kind;
        }
    }
    store->log = openat(store->folder, "log", O_RDWR | O_CLOEXEC);
    if (store->log < 0 || bytes == NULL) {
        return io_error(st, "open", "log");
    }
    if (bytes->len < sizeof(magic) ||
        memcmp(bytes->data, &magic, sizeof(magic)) != 0) {
        kind = damaged(st, "log", 0);
    }
    else {
        kind = load_records(store, bytes, stored, st);
    }
    g_byte_array_unref(bytes);
    store->first = MAX(store->first, 1);
    return kind;
}

/* Reads the identity, or draws a new one for a new disk. */
static enum status_kind
load_identity(struct store *store, struct status *st)
{
    GByteArray *bytes;

    if (store_read_file(store->folder, "identity", &bytes, st) != STATUS_OK) {
        return st->kind;
    }
    if (bytes != NULL && bytes->len == sizeof(store->identity)) {
        memcpy(&store->identity, bytes->data, sizeof(store->identity));
        g_byte_array_unref(bytes);
        store->founder = store->identity <= CONS_REPLICAS_MAX;
        return STATUS_OK;
    }
    if (bytes != NULL) {
        g_byte_array_unref(bytes);
        return damaged(st, "identity", 0);
    }
    do {
        randombytes_buf(&store->identity, sizeof(store->identity));
    } while (store->identity <= CONS_REPLICAS_MAX);
    return store_write_file(store->folder, "identity", &store->identity,
                            sizeof(store->identity), st);
}

/* Opens and locks the folder. */
static enum status_kind
open_folder(struct store *store, const char *path, struct status *st)
{
    g_strlcpy(store->path, path, sizeof(store->path));
    (void)mkdir(path, 0700);
    store->folder = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (store->folder < 0) {
        return io_error(st, "open", path);
    }
    store->lock =
        openat(store->folder, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (store->lock < 0) {
        return io_error(st, "create", "lock");
    }
    if (flock(store->lock, LOCK_EX | LOCK_NB) != 0) {
        return status_set(st, STATUS_REFUSED,
                          "%s is used by another process; stop that one "
                          "first",
                          path);
    }
    return STATUS_OK;
}

/* Empties a log that ends before the snapshot: a crash came between the
 * two, and records appended later would leave a gap. */
static enum status_kind
drop_stale_log(struct store *store, const struct cons_stored *stored,
               struct status *st)
{
    off_t begin = sizeof(uint64_t);
    uint64_t next = store->first + store->offsets->len - 1;

    if (store->offsets->len > 1 && next > stored->snapshot.index) {
        return STATUS_OK;
    }
    if (ftruncate(store->log, begin) != 0 || fsync(store->log) != 0) {
        return io_error(st, "cut", "log");
    }
    g_array_set_size(store->offsets, 0);
    g_array_append_val(store->offsets, begin);
    store->first = stored->snapshot.index + 1;
    return STATUS_OK;
}

/* Opens a data folder. */
enum status_kind
store_open(struct store *store, const char *path, enum store_tail tail,
           struct cons_stored *stored, struct status *st)
{
    memset(store, 0, sizeof(*store));
    store->tail = tail;
    memset(stored, 0, sizeof(*stored));
    st->kind = STATUS_OK;
    store->log = -1;
    store->lock = -1;
    store->offsets = g_array_new(FALSE, FALSE, sizeof(off_t));
    stored->log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    if (open_folder(store, path, st) != STATUS_OK ||
        load_identity(store, st) != STATUS_OK ||
        load_vote(store, stored, st) != STATUS_OK ||
        load_snapshot(store, stored, st) != STATUS_OK ||
        load_log(store, stored, st) != STATUS_OK) {
        return st->kind;
    }
    return drop_stale_log(store, stored, st);
}

/* Makes an empty folder the founder's. */
enum status_kind
store_found(struct store *store, uint32_t replica, struct status *st)
{
    uint64_t identity = replica;

    if (store_write_file(store->folder, "identity", &identity,
                         sizeof(identity), st) == STATUS_OK) {
        store->identity = identity;
        store->founder = true;
    }
    return st->kind;
}

/* Removes the state of a damaged folder. */
enum status_kind
store_wipe(const char *path, struct status *st)
{
    static const char *const names[] = {"identity", "vote", "snapshot", "log"};
    int folder = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (folder < 0) {
        return io_error(st, "open", path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (unlinkat(folder, names[i], 0) != 0 && errno != ENOENT) {
            (void)io_error(st, "remove", names[i]);
        }
    }
    if (fsync(folder) != 0) {
        (void)io_error(st, "sync", path);
    }
    (void)close(folder);
    return st->kind;
}

/* Makes the folder of a founder. */
enum status_kind
store_init(const char *path, uint32_t replica, struct status *st)
{
    uint64_t identity = replica;
    int folder;

    (void)mkdir(path, 0700);
    folder = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return io_error(st, "open", path);
    }
    if (faccessat(folder, "identity", F_OK, 0) == 0) {
        (void)close(folder);
        return status_set(st, STATUS_REFUSED,
                          "%s already holds a replica; init is only for the "
                          "first install",
                          path);
    }
    (void)store_write_file(folder, "identity", &identity, sizeof(identity),
                           st);
    (void)close(folder);
    return st->kind;
}

/* Closes the folder. */
void
store_close(struct store *store)
{
    if (store->log >= 0) {
        (void)close(store->log);
    }
    if (store->lock >= 0) {
        (void)close(store->lock);
    }
    if (store->folder >= 0) {
        (void)close(store->folder);
    }
    g_clear_pointer(&store->offsets, g_array_unref);
}

/* Stores term and vote. */
enum status_kind
store_save_term(struct store *store, uint64_t term, uint32_t vote,
                struct status *st)
{
    struct vote_file file = {.magic = VOTE_MAGIC, .term = term, .vote = vote};

    file.checksum = hash_pair(HASH_NAME, file.term, file.vote);
    return store_write_file(store->folder, "vote", &file, sizeof(file), st);
}

/* Adds one record to a buffer. */
static void
pack_record(GByteArray *out, uint32_t magic, uint64_t index,
            const struct cons *cons)
{
    const struct cons_entry *entry = cons_entry_at(cons, index);
    gsize length = 0;
    const void *command = g_bytes_get_data(entry->command, &length);
    struct record_header header = {.magic = magic,
                                   .length = (uint32_t)length,
                                   .index = index,
                                   .term = entry->term,
                                   .commit = cons->commit};

    header.checksum = record_checksum(&header, command);
    g_byte_array_append(out, (const guint8 *)&header, sizeof(header));
    g_byte_array_append(out, command, (guint)length);
}

/* Place of a record in the log file; the end when there is none. */
static off_t
offset_of(const struct store *store, uint64_t index)
{
    uint64_t place = index - store->first;

    if (place >= store->offsets->len) {
        place = store->offsets->len - 1;
    }
    return g_array_index(store->offsets, off_t, place);
}

/* Drops records from an index on. */
enum status_kind
store_cut(struct store *store, uint64_t index, struct status *st)
{
    off_t end = offset_of(store, index);

    if (index < store->first) {
        index = store->first;
        end = g_array_index(store->offsets, off_t, 0);
    }
    if (ftruncate(store->log, end) != 0 || fsync(store->log) != 0) {
        return io_error(st, "cut", "log");
    }
    if (index - store->first + 1 < store->offsets->len) {
        g_array_set_size(store->offsets, (guint)(index - store->first + 1));
    }
    return STATUS_OK;
}

/* Appends records. */
enum status_kind
store_append(struct store *store, const struct cons *cons, uint64_t index,
             uint32_t count, struct status *st)
{
    off_t end = g_array_index(store->offsets, off_t, store->offsets->len - 1);
    GByteArray *out = g_byte_array_new();
    bool ok;

    for (uint32_t i = 0; i < count; i++) {
        off_t next;

        pack_record(out, i == 0 ? RECORD_MAGIC : RECORD_NEXT_MAGIC, index + i,
                    cons);
        next = end + (off_t)out->len;
        g_array_append_val(store->offsets, next);
    }
    ok = lseek(store->log, end, SEEK_SET) == end &&
         write_all(store->log, out->data, out->len) &&
         fdatasync(store->log) == 0;
    g_byte_array_unref(out);
    return ok ? STATUS_OK : io_error(st, "append to", "log");
}

/* Packs the snapshot file. */
static GByteArray *
pack_snapshot(const struct cons *cons)
{
    const struct cons_snapshot *s = &cons->snapshot;
    wire_command command = {.kind = WIRE_CMD_CONFIG,
                            .wire_command_u.config = s->config};
    GByteArray *voters = codec_encode_command(&command);
    gsize length = 0;
    const void *state = g_bytes_get_data(s->state, &length);
    struct snapshot_file file = {.magic = SNAPSHOT_MAGIC,
                                 .index = s->index,
                                 .term = s->term,
                                 .voters = voters->len,
                                 .state = length};
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

/* Writes the log anew, with the entries after the snapshot only. */
static enum status_kind
rewrite_log(struct store *store, const struct cons *cons, struct status *st)
{
    uint64_t magic = LOG_MAGIC;
    uint64_t first = cons->snapshot.index + 1;
    GByteArray *out = g_byte_array_new();

    g_byte_array_append(out, (const guint8 *)&magic, sizeof(magic));
    g_array_set_size(store->offsets, 0);
    for (uint64_t i = first; i <= cons_last_index(cons) + 1; i++) {
        off_t at = out->len;

        g_array_append_val(store->offsets, at);
        if (i <= cons_last_index(cons)) {
            pack_record(out, i == first ? RECORD_MAGIC : RECORD_NEXT_MAGIC, i,
                        cons);
        }
    }
    store->first = first;
    (void)store_write_file(store->folder, "log", out->data, out->len, st);
    g_byte_array_unref(out);
    (void)close(store->log);
    store->log = openat(store->folder, "log", O_RDWR | O_CLOEXEC);
    if (store->log < 0) {
        return io_error(st, "open", "log");
    }
    return st->kind;
}

/* Stores the snapshot, then the shorter log. */
enum status_kind
store_snapshot(struct store *store, const struct cons *cons, struct status *st)
{
    GByteArray *out = pack_snapshot(cons);

    st->kind = STATUS_OK;
    (void)store_write_file(store->folder, "snapshot", out->data, out->len, st);
    g_byte_array_unref(out);
    if (st->kind != STATUS_OK) {
        return st->kind;
    }
    return rewrite_log(store, cons, st);
}
