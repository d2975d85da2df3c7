/* Lexical checks of a JSON text before json-c parses it. */
#include "schema-scan.h"

#include <glib.h>
#include <string.h>

/* State of the scanner. */
struct scan {
    const char *text;                       /* the document */
    size_t length;                          /* of `text` */
    size_t offset;                          /* of the next byte */
    unsigned line;                          /* of `offset`, from 1 */
    int depth;                              /* nesting, 0: outside */
    bool object[SCHEMA_DEPTH_MAX + 1];      /* by depth: object, not array */
    GHashTable *keys[SCHEMA_DEPTH_MAX + 1]; /* by depth: keys so far */
    const char *source;                     /* for messages */
    struct status *st;                      /* gets the error */
};

/* Skips a comment; false when there is none here. */
static bool
skip_comment(struct scan *scan)
{
    const char *text = scan->text + scan->offset;
    size_t remaining = scan->length - scan->offset;

    if (remaining < 2 || text[0] != '/') {
        return false;
    }
    if (text[1] == '/') {
        while (scan->offset < scan->length &&
               scan->text[scan->offset] != '\n') {
            scan->offset++;
        }
        return true;
    }
    if (text[1] != '*') {
        return false;
    }
    scan->offset += 2;
    while (scan->offset + 1 < scan->length) {
        if (scan->text[scan->offset] == '\n') {
            scan->line++;
        }
        if (scan->text[scan->offset] == '*' &&
            scan->text[scan->offset + 1] == '/') {
            scan->offset += 2;
            return true;
        }
        scan->offset++;
    }
    scan->offset = scan->length;
    return true;
}

static void
skip_blank(struct scan *scan)
{
    while (scan->offset < scan->length) {
        char c = scan->text[scan->offset];

        if (c == '\n') {
            scan->line++;
        }
        if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
            scan->offset++;
        }
        else if (!skip_comment(scan)) {
            return;
        }
    }
}

/* Adds a key of the innermost object; rejects duplicate and escaped keys. */
static enum status_kind
scan_key(struct scan *scan, const char *start, size_t length)
{
    char *key = g_strndup(start, length);

    if (strchr(key, '\\') != NULL) {
        g_free(key);
        return status_set(scan->st, STATUS_BAD_INPUT,
                          "%s:%u: a key has a backslash; write it without "
                          "escape sequences",
                          scan->source, scan->line);
    }
    if (!g_hash_table_add(scan->keys[scan->depth], key)) {
        return status_set(scan->st, STATUS_BAD_INPUT,
                          "%s:%u: \"%.*s\" stands twice in one object; remove "
                          "one of them",
                          scan->source, scan->line, (int)length, start);
    }
    return STATUS_OK;
}

/* Scans one string; a colon after it makes it a key. */
static enum status_kind
scan_string(struct scan *scan)
{
    size_t start = ++scan->offset;

    while (scan->offset < scan->length && scan->text[scan->offset] != '"') {
        if (scan->text[scan->offset] == '\n') {
            return status_set(scan->st, STATUS_BAD_INPUT,
                              "%s:%u: a string does not end on its line; "
                              "close it with a double quote",
                              scan->source, scan->line);
        }
        scan->offset += scan->text[scan->offset] == '\\' ? 2 : 1;
    }
    if (scan->offset >= scan->length) {
        return status_set(scan->st, STATUS_BAD_INPUT,
                          "%s:%u: the text ends inside a string; the file "
                          "may be truncated, write it again",
                          scan->source, scan->line);
    }
    size_t end = scan->offset++;

    skip_blank(scan);
    if (scan->depth > 0 && scan->object[scan->depth] &&
        scan->offset < scan->length && scan->text[scan->offset] == ':') {
        return scan_key(scan, scan->text + start, end - start);
    }
    return STATUS_OK;
}

/* Enters an object or array. */
static enum status_kind
scan_open(struct scan *scan, bool object)
{
    if (scan->depth == SCHEMA_DEPTH_MAX) {
        return status_set(scan->st, STATUS_BAD_INPUT,
                          "%s:%u: nested deeper than %d levels; flatten it",
                          scan->source, scan->line, SCHEMA_DEPTH_MAX);
    }
    scan->depth++;
    scan->object[scan->depth] = object;
    if (object) {
        scan->keys[scan->depth] =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    scan->offset++;
    return STATUS_OK;
}

/* Leaves an object or array. */
static void
scan_close(struct scan *scan)
{
    if (scan->depth > 0) {
        g_clear_pointer(&scan->keys[scan->depth], g_hash_table_destroy);
        scan->depth--;
    }
    scan->offset++;
}

static enum status_kind
scan_all(struct scan *scan)
{
    enum status_kind kind = STATUS_OK;

    for (skip_blank(scan); kind == STATUS_OK && scan->offset < scan->length;
         skip_blank(scan)) {
        switch (scan->text[scan->offset]) {
        case '{':
            kind = scan_open(scan, true);
            break;
        case '[':
            kind = scan_open(scan, false);
            break;
        case '}':
        case ']':
            scan_close(scan);
            break;
        case '"':
            kind = scan_string(scan);
            break;
        case '\'':
            kind = status_set(scan->st, STATUS_BAD_INPUT,
                              "%s:%u: a single quote; use double quotes",
                              scan->source, scan->line);
            break;
        default:
            scan->offset++;
        }
    }
    return kind;
}

enum status_kind
schema_scan(const char *source, const char *text, size_t length,
            struct status *st)
{
    struct scan scan = {
        .text = text, .length = length, .line = 1, .source = source, .st = st};
    enum status_kind kind;

    if (length > SCHEMA_TEXT_MAX) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: larger than %u bytes; make it smaller", source,
                          SCHEMA_TEXT_MAX);
    }
    if (memchr(text, '\0', length) != NULL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: contains a NUL byte; save it as UTF-8 text",
                          source);
    }
    if (!g_utf8_validate(text, (gssize)length, NULL)) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: not UTF-8; save it as UTF-8 text", source);
    }
    skip_blank(&scan);
    if (scan.offset == length) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: empty; write one JSON object", source);
    }
    kind = scan_all(&scan);
    while (scan.depth > 0) {
        scan_close(&scan);
    }
    return kind;
}
