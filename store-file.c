/* Atomic replacement and reading of small files in a data folder. */
#include "store-internal.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum status_kind
store_io_error(struct status *st, const char *operation, const char *name)
{
    return status_set(st, STATUS_IO,
                      "cannot %s %s: %s; check space and permissions of the "
                      "data folder",
                      operation, name, g_strerror(errno));
}

enum status_kind
store_damaged(struct status *st, const char *name, uint64_t at)
{
    return status_set(st, STATUS_DAMAGED,
                      "%s is damaged at byte %llu; move the data folder "
                      "aside and restart: the replica then joins with a new "
                      "identity and copies the log from its peers",
                      name, (unsigned long long)at);
}

bool
store_write_all(int fd, const void *bytes, size_t length)
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
        return store_io_error(st, "create", temporary);
    }
    ok = store_write_all(fd, bytes, length) && fsync(fd) == 0;
    if (close(fd) != 0 || !ok) {
        return store_io_error(st, "write", temporary);
    }
    if (renameat(folder, temporary, folder, name) != 0 || fsync(folder) != 0) {
        return store_io_error(st, "rename", name);
    }
    return STATUS_OK;
}

/* Shrinks the array when the file ends early. */
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

/* An unreadable file is STATUS_IO, neither missing nor damaged. */
enum status_kind
store_read_file(int folder, const char *name, GByteArray **out,
                struct status *st)
{
    int fd = openat(folder, name, O_RDONLY | O_CLOEXEC);
    struct stat info;

    *out = NULL;
    if (fd < 0) {
        return errno == ENOENT ? STATUS_OK : store_io_error(st, "open", name);
    }
    if (fstat(fd, &info) != 0 || info.st_size > INT32_MAX) {
        (void)store_io_error(st, "read", name);
        (void)close(fd);
        return st->kind;
    }
    *out = g_byte_array_sized_new((guint)info.st_size + 1);
    g_byte_array_set_size(*out, (guint)info.st_size);
    if (!read_all(fd, *out)) {
        (void)store_io_error(st, "read", name);
        g_byte_array_unref(*out);
        *out = NULL;
    }
    (void)close(fd);
    return *out != NULL ? STATUS_OK : st->kind;
}
