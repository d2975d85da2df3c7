/*
 * Loading a data folder: identity, term and vote, snapshot and log. A torn
 * tail of the log is truncated; any other damage is an error.
 */
#include "store-internal.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "codec.h"
#include "hash.h"

uint64_t
store_record_checksum(const struct record_header *header, const void *command)
{
    uint64_t header_hash = hash_bytes(
        HASH_NAME, header, offsetof(struct record_header, checksum));

    return hash_pair(HASH_NAME, header_hash,
                     hash_bytes(HASH_NAME, command, header->length));
}

enum status_kind
store_load_vote(struct store *store, struct cons_stored *stored,
                struct status *st)
{
    GByteArray *bytes;
    struct vote_file file;

    if (store_read_file(store->folder_fd, "vote", &bytes, st) != STATUS_OK) {
        return st->kind;
    }
    if (bytes == NULL) {
        return STATUS_OK;
    }
    if (bytes->len != sizeof(file)) {
        g_byte_array_unref(bytes);
        return store_damaged(st, "vote", 0);
    }
    memcpy(&file, bytes->data, sizeof(file));
    g_byte_array_unref(bytes);
    if (file.magic != VOTE_MAGIC ||
        file.checksum != hash_pair(HASH_NAME, file.term, file.vote)) {
        return store_damaged(st, "vote", 0);
    }
    stored->term = file.term;
    stored->voted_for = (uint32_t)file.vote;
    return STATUS_OK;
}

static bool
decode_snapshot(const struct snapshot_file *file, const guint8 *body,
                struct cons_snapshot *out)
{
    wire_command voters;

    if (!codec_decode_command(body, file->voters_length, &voters)) {
        return false;
    }
    if (voters.kind != WIRE_CMD_CONFIG) {
        codec_free_command(&voters);
        return false;
    }
    out->index = file->index;
    out->term = file->term;
    out->config = voters.wire_command_u.config;
    out->state = g_bytes_new(body + file->voters_length, file->state_length);
    return true;
}

enum status_kind
store_load_snapshot(struct store *store, struct cons_stored *stored,
                    struct status *st)
{
    GByteArray *bytes;
    struct snapshot_file file;
    const guint8 *body;
    bool ok;

    if (store_read_file(store->folder_fd, "snapshot", &bytes, st) !=
        STATUS_OK) {
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
             file.voters_length <= bytes->len - sizeof(file) &&
             file.state_length ==
                 bytes->len - sizeof(file) - file.voters_length &&
             file.checksum ==
                 hash_pair(
                     HASH_NAME,
                     hash_bytes(HASH_NAME, &file,
                                offsetof(struct snapshot_file, checksum)),
                     hash_bytes(HASH_NAME, body, bytes->len - sizeof(file))) &&
             decode_snapshot(&file, body, &stored->snapshot);
    }
    g_byte_array_unref(bytes);
    return ok ? STATUS_OK : store_damaged(st, "snapshot", 0);
}

static bool
is_zero_filled(const GByteArray *bytes, size_t offset)
{
    while (offset < bytes->len && bytes->data[offset] == 0) {
        offset++;
    }
    return offset == bytes->len;
}

ssize_t
store_parse_record(const GByteArray *bytes, size_t at,
                   struct record_header *out)
{
    size_t left = bytes->len - at;

    if (left < sizeof(*out) || is_zero_filled(bytes, at)) {
        return 0;
    }
    memcpy(out, bytes->data + at, sizeof(*out));
    if ((out->magic != RECORD_FIRST_MAGIC &&
         out->magic != RECORD_NEXT_MAGIC) ||
        out->length > RECORD_MAX) {
        return -1;
    }
    if (left < sizeof(*out) + out->length) {
        return 0;
    }
    if (out->checksum !=
        store_record_checksum(out, bytes->data + at + sizeof(*out))) {
        return -1;
    }
    return (ssize_t)(sizeof(*out) + out->length);
}

/* Whether a record repeats a loaded one, as earlier releases could store an
 * entry twice after a snapshot. */
static bool
is_repeated(const struct record_header *header, const guint8 *command,
            const struct cons_stored *stored)
{
    uint64_t first = stored->snapshot.index + 1;
    const struct cons_entry *entry;
    gsize length = 0;
    const void *bytes;

    if (header->index < first || header->index >= first + stored->log->len) {
        return false;
    }
    entry =
        &g_array_index(stored->log, struct cons_entry, header->index - first);
    bytes = g_bytes_get_data(entry->command, &length);
    return entry->term == header->term && length == header->length &&
           memcmp(bytes, command, length) == 0;
}

/* A record that the snapshot includes is only indexed, not loaded. False when
 * the record does not continue the log. */
static bool
add_record(struct store *store, const struct record_header *header,
           const guint8 *command, off_t at, struct cons_stored *stored)
{
    uint64_t next = store->offsets->len > 0
                        ? store->first_index + store->offsets->len
                        : MIN(header->index, stored->snapshot.index + 1);
    struct cons_entry entry = {.term = header->term};

    if (is_repeated(header, command, stored)) {
        store->repeated++;
        return true;
    }
    if (header->index != next) {
        return false;
    }
    if (store->offsets->len == 0) {
        store->first_index = header->index;
    }
    g_array_append_val(store->offsets, at);
    if (header->index > stored->snapshot.index) {
        stored->commit_index = MAX(stored->commit_index, header->commit_index);
        entry.command = g_bytes_new(command, header->length);
        g_array_append_val(stored->log, entry);
    }
    return true;
}

/* Looks for the first record of a batch after a bad offset; if there is one,
 * the bad bytes had been synced and are damage rather than a torn write. */
static bool
has_later_sync(const GByteArray *bytes, size_t offset)
{
    struct record_header header;

    for (size_t at = offset + 1; at + sizeof(header) <= bytes->len; at++) {
        if (store_parse_record(bytes, at, &header) > 0 &&
            header.magic == RECORD_FIRST_MAGIC) {
            return true;
        }
    }
    return false;
}

static enum status_kind
load_records(struct store *store, const GByteArray *bytes,
             struct cons_stored *stored, struct status *st)
{
    size_t at = sizeof(uint64_t);
    off_t end;

    while (at < bytes->len) {
        struct record_header header;
        ssize_t length = store_parse_record(bytes, at, &header);

        if (length <= 0 && store->tail_policy == STORE_TAIL_TOLERANT) {
            length = has_later_sync(bytes, at) ? -1 : 0;
        }
        if (length < 0 ||
            (length > 0 &&
             !add_record(store, &header, bytes->data + at + sizeof(header),
                         (off_t)at, stored))) {
            return store->tail_policy == STORE_TAIL_TOLERANT
                       ? store_repair_log(store, bytes, at, stored, st)
                       : store_damaged(st, "log", at);
        }
        if (length == 0) {
            store->torn_bytes = bytes->len - at;
            if (ftruncate(store->log_fd, (off_t)at) != 0 ||
                fsync(store->log_fd) != 0) {
                return store_io_error(st, "cut", "log");
            }
            break;
        }
        at += (size_t)length;
    }
    end = (off_t)at;
    g_array_append_val(store->offsets, end);
    return STATUS_OK;
}

/* Creates an empty log when it is missing or empty. */
enum status_kind
store_load_log(struct store *store, struct cons_stored *stored,
               struct status *st)
{
    uint64_t magic = LOG_MAGIC;
    GByteArray *bytes;
    enum status_kind kind;

    if (store_read_file(store->folder_fd, "log", &bytes, st) != STATUS_OK) {
        return st->kind;
    }
    if (bytes == NULL || bytes->len == 0) {
        if (bytes != NULL) {
            g_byte_array_unref(bytes);
        }
        if (store_write_file(store->folder_fd, "log", &magic, sizeof(magic),
                             st) != STATUS_OK) {
            return st->kind;
        }
        if (store_read_file(store->folder_fd, "log", &bytes, st) !=
            STATUS_OK) {
            return st->kind;
        }
    }
    store->log_fd = openat(store->folder_fd, "log", O_RDWR | O_CLOEXEC);
    if (store->log_fd < 0 || bytes == NULL) {
        return store_io_error(st, "open", "log");
    }
    if (bytes->len < sizeof(magic) ||
        memcmp(bytes->data, &magic, sizeof(magic)) != 0) {
        kind = store_damaged(st, "log", 0);
    }
    else {
        kind = load_records(store, bytes, stored, st);
    }
    g_byte_array_unref(bytes);
    store->first_index = MAX(store->first_index, 1);
    return kind;
}

/* Draws a random identity, above all replica numbers, for a new disk. */
enum status_kind
store_load_identity(struct store *store, struct status *st)
{
    GByteArray *bytes;

    if (store_read_file(store->folder_fd, "identity", &bytes, st) !=
        STATUS_OK) {
        return st->kind;
    }
    if (bytes != NULL && bytes->len == sizeof(store->identity)) {
        memcpy(&store->identity, bytes->data, sizeof(store->identity));
        g_byte_array_unref(bytes);
        store->founder = store->identity <= CONS_VOTERS_MAX;
        return STATUS_OK;
    }
    if (bytes != NULL) {
        g_byte_array_unref(bytes);
        return store_damaged(st, "identity", 0);
    }
    do {
        randombytes_buf(&store->identity, sizeof(store->identity));
    } while (store->identity <= CONS_VOTERS_MAX);
    return store_write_file(store->folder_fd, "identity", &store->identity,
                            sizeof(store->identity), st);
}
