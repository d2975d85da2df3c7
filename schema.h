/**
 * @file schema.h
 * Table-driven parser of JSON with comments into C structs (json-c): types,
 * bounds, defaults, error messages and reference pages come from one schema.
 * Parsing is strict: unknown and duplicate keys are errors.
 */
#ifndef RIDGERIDGE_SCHEMA_H
#define RIDGERIDGE_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

#define SCHEMA_TEXT_MAX (4U * 1024 * 1024) /**< bytes of one document */
#define SCHEMA_DEPTH_MAX 12                /**< nested objects and arrays */

/** Type of a JSON value and of its struct member. */
enum schema_type {
    SCHEMA_TEXT,     /**< string into char[max + 1] */
    SCHEMA_UINT,     /**< integer into uint64_t */
    SCHEMA_SECONDS,  /**< decimal seconds into uint64_t ms */
    SCHEMA_RATE,     /**< decimal Mbit/s into uint64_t kbit/s */
    SCHEMA_DECIMAL,  /**< decimal into uint64_t thousandths */
    SCHEMA_ENDPOINT, /**< "address:port" into struct schema_endpoint */
    SCHEMA_IPV4,     /**< dotted quad into uint32_t, host order */
    SCHEMA_HEX,      /**< 2 * max hex digits into unsigned char[max] */
    SCHEMA_ENUM,     /**< one of `names`, its index into int */
    SCHEMA_LIST,     /**< array of objects: pointer, then size_t count */
    SCHEMA_OBJECT    /**< nested struct */
};

/** IPv4 address and port. */
struct schema_endpoint {
    uint32_t address; /**< host order */
    uint16_t port;    /**< TCP or UDP */
};

struct schema;

struct schema_field {
    const char *key;            /**< JSON key */
    enum schema_type type;      /**< JSON and C type */
    bool required;              /**< no default */
    uint64_t min;               /**< least value (as stored) or length */
    uint64_t max;               /**< greatest value (as stored) or length */
    size_t offset;              /**< offsetof() of the struct member */
    uint64_t default_value;     /**< numbers: as stored; ENUM: index */
    const char *const *names;   /**< ENUM: allowed strings, NULL-terminated */
    const struct schema *inner; /**< LIST: of its items; OBJECT: of its keys */
    const char *unit;           /**< for the reference page; may be NULL */
    const char *help;           /**< remedy in errors; meaning in the page */
};

/** Schema of an object. */
struct schema {
    const char *name;                  /**< title in the reference page */
    size_t size;                       /**< sizeof() of the struct */
    const struct schema_field *fields; /**< ends with a NULL key */
};

/**
 * Parses a document into `out` (schema->size bytes, zeroed first).
 * @param source file name or "body", for messages
 * @return STATUS_BAD_INPUT with the source and the line or key path on errors;
 * `out` then holds no memory
 */
enum status_kind schema_read(const struct schema *schema, const char *source,
                             const char *text, size_t length, void *out,
                             struct status *st);

/** Frees the lists of schema_read(). */
void schema_free(const struct schema *schema, void *out);

/**
 * Reads a regular file up to SCHEMA_TEXT_MAX + 1 bytes, so that schema_read()
 * detects a larger one.
 * @return NUL-terminated text to free with g_free(), or NULL
 */
char *schema_load(const char *path, size_t *length, struct status *st);

/** Prints the reference page in Markdown; `nested` lowers its heading. */
void schema_print(const struct schema *schema, bool nested);

#endif
