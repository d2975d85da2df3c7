/**
 * @file schema.h
 * Reads JSON with comments into C structs by tables of fields. The same
 * tables drive the checks, the defaults and the reference pages. Size, depth,
 * duplicate keys and NUL bytes are checked before json-c sees the text.
 */
#ifndef RIDGERIDGE_SCHEMA_H
#define RIDGERIDGE_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

#define SCHEMA_TEXT_MAX (4U * 1024 * 1024) /**< bytes of one document */
#define SCHEMA_DEPTH_MAX 12                /**< nested objects and arrays */

/** How a value is read. */
enum schema_type {
    SCHEMA_TEXT,     /**< string into char[max + 1] */
    SCHEMA_UINT,     /**< integer into uint64_t, within min and max */
    SCHEMA_SECONDS,  /**< seconds, a fraction allowed, into uint64_t ms within
                          min and max; the default is in ms as well */
    SCHEMA_RATE,     /**< Mbit/s, a fraction allowed, into uint64_t kbit/s
                          within min and max */
    SCHEMA_DECIMAL,  /**< number, a fraction allowed, into uint64_t
                          thousandths within min and max */
    SCHEMA_ENDPOINT, /**< "address:port" into struct schema_endpoint */
    SCHEMA_IPV4,     /**< dotted quad into uint32_t, host order */
    SCHEMA_HEX,      /**< 2 * max hex digits into unsigned char[max] */
    SCHEMA_WORD,     /**< one of `words`, its index into int */
    SCHEMA_LIST,     /**< array of objects: pointer, and a size_t after it */
    SCHEMA_OBJECT    /**< an object, in place */
};

/** An IPv4 address and a port. */
struct schema_endpoint {
    uint32_t address; /**< host order */
    uint16_t port;    /**< TCP or UDP */
};

struct schema;

/** One key of an object. */
struct schema_field {
    const char *key;            /**< name in the document */
    enum schema_type type;      /**< how it is read */
    bool required;              /**< no default */
    uint64_t min;               /**< least value, or least length */
    uint64_t max;               /**< greatest value, or greatest length */
    size_t offset;              /**< where it goes in the struct */
    uint64_t value;             /**< default of UINT and WORD */
    const char *const *words;   /**< WORD: names, NULL at the end */
    const struct schema *inner; /**< LIST and OBJECT: what they hold */
    const char *unit;           /**< for the reference page; may be NULL */
    const char *help;           /**< one sentence, and the remedy */
};

/** The keys of one kind of object. */
struct schema {
    const char *name;                  /**< for the reference page */
    size_t size;                       /**< of the struct */
    const struct schema_field *fields; /**< ends with a NULL key */
};

/**
 * Reads a document into `out` (of schema->size bytes, zeroed first).
 * @param source a file's name or "body", for messages
 * @return STATUS_OK, or STATUS_BAD_INPUT with source, line or key path
 */
enum status_kind schema_read(const struct schema *schema, const char *source,
                             const char *text, size_t length, void *out,
                             struct status *st);

/** Frees the lists that schema_read() made. */
void schema_free(const struct schema *schema, void *out);

/** Reads a whole file, of at most SCHEMA_TEXT_MAX bytes; free the result. */
char *schema_load(const char *path, size_t *length, struct status *st);

/** Prints the reference page of a schema as Markdown. */
void schema_print(const struct schema *schema, bool nested);

#endif
