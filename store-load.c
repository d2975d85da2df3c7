/*
 * What a data folder holds at a start: identity, term and vote, snapshot and
 * log; a torn tail is cut, damage is refused.
 */
#include "store-internal.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "codec.h"
#include "hash.h"

/* Checksum of a record. */
uint64_t
store_record_checksum(const struct record_header *header, const void *command)
{
    uint64_t head = hash_bytes(HASH_NAME, header,
                               offsetof(struct record_header, checksum));

    return hash_pair(HASH_NAME, head,
                     hash_bytes(HASH_NAME, command, header->length));
}

/* Reads the file of term and vote. */
enum status_kind
store_load_vote(struct store *store, struct cons_stored *stored,
                struct status *st)
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
        return store_damaged(st, "vote", 0);
    }
    memcpy(&file, bytes->data, sizeof(file));
    g_byte_array_unref(bytes);
    if (file.magic != VOTE_MAGIC ||
        file.checksum != hash_pair(HASH_NAME, file.term, file.vote)) {
        return store_damaged(st, "vote", 0);
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
enum status_kind
store_load_snapshot(struct store *store, struct cons_stored *stored,
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
    return ok ? STATUS_OK : store_damaged(st, "snapshot", 0);
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
        store_record_checksum(out, bytes->data + at + sizeof(*out))) {
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
            return store_damaged(st, "log", at);
        }
        if (length == 0) {
            store->cut_bytes = bytes->len - at;
            if (ftruncate(store->log, (off_t)at) != 0 ||
                fsync(store->log) != 0) {
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

/* Opens the log, or makes an empty one. */
enum status_kind
store_load_log(struct store *store, struct cons_stored *stored,
               struct status *st)
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
    store->first = MAX(store->first, 1);
    return kind;
}

/* Reads the identity, or draws a new one for a new disk. */
enum status_kind
store_load_identity(struct store *store, struct status *st)
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
        return store_damaged(st, "identity", 0);
    }
    do {
        randombytes_buf(&store->identity, sizeof(store->identity));
    } while (store->identity <= CONS_REPLICAS_MAX);
    return store_write_file(store->folder, "identity", &store->identity,
                            sizeof(store->identity), st);
}
