/* Loading of shared libraries with dlopen(). */
#include "library.h"

#include <dlfcn.h>
#include <stddef.h>
#include <string.h>

/* The Makefile sets the versioned names of the shared objects; these defaults
 * are for compilation without it, such as by a linter. */
#ifndef LIBRARY_ULFIUS_OBJECT
#define LIBRARY_ULFIUS_OBJECT "libulfius.so"
#endif
#ifndef LIBRARY_CURL_OBJECT
#define LIBRARY_CURL_OBJECT "libcurl.so"
#endif
#ifndef LIBRARY_MICROHTTPD_OBJECT
#define LIBRARY_MICROHTTPD_OBJECT "libmicrohttpd.so"
#endif

struct library_ulfius library_ulfius;
struct library_curl library_curl;
struct library_microhttpd library_microhttpd;

struct function_row {
    const char *name;
    size_t offset; /* of the function pointer in `table` */
};

#define ULFIUS_ROW(field, function)                                           \
    {#function, offsetof(struct library_ulfius, field)},
static const struct function_row ulfius_rows[] = {
    LIBRARY_ULFIUS_FUNCTIONS(ULFIUS_ROW)};

#define CURL_ROW(field, function)                                             \
    {#function, offsetof(struct library_curl, field)},
static const struct function_row curl_rows[] = {
    LIBRARY_CURL_FUNCTIONS(CURL_ROW)};

#define MICROHTTPD_ROW(field, function)                                       \
    {#function, offsetof(struct library_microhttpd, field)},
static const struct function_row microhttpd_rows[] = {
    LIBRARY_MICROHTTPD_FUNCTIONS(MICROHTTPD_ROW)};

struct library_row {
    enum library_set bit;
    const char *object;  /* file name of the shared object */
    const char *package; /* Debian package with the object */
    void *table;         /* struct of function pointers */
    const struct function_row *functions;
    size_t count; /* of functions */
};

#define COUNT_OF(rows) (sizeof(rows) / sizeof((rows)[0]))
static const struct library_row libraries[] = {
    {LIBRARY_ULFIUS, LIBRARY_ULFIUS_OBJECT, "libulfius2.7", &library_ulfius,
     ulfius_rows, COUNT_OF(ulfius_rows)},
    {LIBRARY_CURL, LIBRARY_CURL_OBJECT, "libcurl3-gnutls", &library_curl,
     curl_rows, COUNT_OF(curl_rows)},
    {LIBRARY_MICROHTTPD, LIBRARY_MICROHTTPD_OBJECT, "libmicrohttpd12",
     &library_microhttpd, microhttpd_rows, COUNT_OF(microhttpd_rows)},
};

static enum status_kind
report_error(const struct library_row *row, struct status *st)
{
    const char *reason = dlerror();

    return status_set(st, STATUS_IO,
                      "cannot load %s: %s; install the package %s",
                      row->object, reason != NULL ? reason : "no reason given",
                      row->package);
}

static enum status_kind
load_one(const struct library_row *row, struct status *st)
{
    void *handle = dlopen(row->object, RTLD_NOW | RTLD_LOCAL);

    if (handle == NULL) {
        return report_error(row, st);
    }
    for (size_t i = 0; i < row->count; i++) {
        void *function = dlsym(handle, row->functions[i].name);

        if (function == NULL) {
            return report_error(row, st);
        }
        memcpy((char *)row->table + row->functions[i].offset, &function,
               sizeof(function));
    }
    return STATUS_OK;
}

enum status_kind
library_load(unsigned set, struct status *st)
{
    for (size_t i = 0; i < COUNT_OF(libraries); i++) {
        if ((set & libraries[i].bit) != 0 &&
            load_one(&libraries[i], st) != STATUS_OK) {
            return st->kind;
        }
    }
    return STATUS_OK;
}
