/*
 * Reads JSON into structs by tables of fields. Knows no key itself: the
 * tables are in settings.c and bundle.c.
 */
#include "schema.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "address.h"
#include "schema-scan.h"

#define SCHEMA_PATH_MAX 128

/* What all readers of one document share. */
struct reader {
    const char *source;
    struct status *st;
};

static enum status_kind read_object(struct reader *r,
                                    const struct schema *schema,
                                    json_object *value, const char *path,
                                    char *out);

/* Refuses one value, naming its path and the field's help as remedy. */
static enum status_kind
refuse(struct reader *r, const char *path, const struct schema_field *field,
       const char *fault)
{
    return status_set(r->st, STATUS_BAD_INPUT, "%s: \"%s\" %s; %s", r->source,
                      path, fault, field->help);
}

/* Reads a string into a char array. */
static enum status_kind
read_text(struct reader *r, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    size_t length;

    if (!json_object_is_type(value, json_type_string)) {
        return refuse(r, path, field, "is not a string");
    }
    length = (size_t)json_object_get_string_len(value);
    if (length < field->min || length > field->max) {
        return refuse(r, path, field, "is too short or too long");
    }
    if (strlen(json_object_get_string(value)) != length) {
        return refuse(r, path, field, "holds a NUL");
    }
    memcpy(out, json_object_get_string(value), length + 1);
    return STATUS_OK;
}

/* Reads an integer. */
static enum status_kind
read_uint(struct reader *r, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    int64_t number;
    uint64_t stored;
    char fault[96];

    if (!json_object_is_type(value, json_type_int)) {
        return refuse(r, path, field, "is not a whole number");
    }
    number = json_object_get_int64(value);
    if (number < 0 || (uint64_t)number < field->min ||
        (uint64_t)number > field->max) {
        (void)snprintf(fault, sizeof(fault),
                       "is out of range %" PRIu64 " to %" PRIu64, field->min,
                       field->max);
        return refuse(r, path, field, fault);
    }
    stored = (uint64_t)number;
    memcpy(out, &stored, sizeof(stored));
    return STATUS_OK;
}

/* Reads a decimal number as thousandths: seconds as ms, Mbit/s as kbit/s. */
static enum status_kind
read_decimal(struct reader *r, const struct schema_field *field,
             json_object *value, const char *path, char *out)
{
    double decimal;
    uint64_t stored;

    if (!json_object_is_type(value, json_type_int) &&
        !json_object_is_type(value, json_type_double)) {
        return refuse(r, path, field, "is not a number");
    }
    decimal = json_object_get_double(value);
    if (!(decimal >= 0.0 && decimal <= (double)field->max / 1000.0)) {
        return refuse(r, path, field, "is out of range");
    }
    stored = (uint64_t)(decimal * 1000.0 + 0.5);
    if (stored < field->min) {
        return refuse(r, path, field, "is too small");
    }
    memcpy(out, &stored, sizeof(stored));
    return STATUS_OK;
}

/* Reads an address and port. */
static enum status_kind
read_endpoint(struct reader *r, const struct schema_field *field,
              json_object *value, const char *path, char *out)
{
    struct schema_endpoint at;

    if (!json_object_is_type(value, json_type_string) ||
        !address_parse(json_object_get_string(value), &at.address, &at.port)) {
        return refuse(r, path, field, "is not an IPv4 address and port");
    }
    memcpy(out, &at, sizeof(at));
    return STATUS_OK;
}

/* Reads a dotted quad. */
static enum status_kind
read_ipv4(struct reader *r, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    struct in_addr address;
    uint32_t host;

    if (!json_object_is_type(value, json_type_string) ||
        inet_pton(AF_INET, json_object_get_string(value), &address) != 1) {
        return refuse(r, path, field, "is not an IPv4 address");
    }
    host = ntohl(address.s_addr);
    memcpy(out, &host, sizeof(host));
    return STATUS_OK;
}

/* Reads hex digits of an exact length. */
static enum status_kind
read_hex(struct reader *r, const struct schema_field *field,
         json_object *value, const char *path, char *out)
{
    size_t length = 0;
    const char *text;

    if (!json_object_is_type(value, json_type_string)) {
        return refuse(r, path, field, "is not a string");
    }
    text = json_object_get_string(value);
    if (strlen(text) != 2 * field->max ||
        sodium_hex2bin((unsigned char *)out, field->max, text, strlen(text),
                       NULL, &length, NULL) != 0 ||
        length != field->max) {
        return refuse(r, path, field, "has the wrong number of hex digits");
    }
    return STATUS_OK;
}

/* Reads one of a set of words. */
static enum status_kind
read_word(struct reader *r, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    if (json_object_is_type(value, json_type_string)) {
        for (int i = 0; field->words[i] != NULL; i++) {
            if (strcmp(field->words[i], json_object_get_string(value)) == 0) {
                memcpy(out, &i, sizeof(i));
                return STATUS_OK;
            }
        }
    }
    return refuse(r, path, field, "is none of the allowed words");
}

/* Reads an array of objects into a new block. */
static enum status_kind
read_list(struct reader *r, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    size_t count;
    char *items;

    if (!json_object_is_type(value, json_type_array)) {
        return refuse(r, path, field, "is not a list");
    }
    count = json_object_array_length(value);
    if (count < field->min || count > field->max) {
        return refuse(r, path, field, "has too few or too many items");
    }
    items = g_malloc0_n(count ? count : 1, field->inner->size);
    memcpy(out, &items, sizeof(items));
    memcpy(out + sizeof(items), &count, sizeof(count));
    for (size_t i = 0; i < count; i++) {
        char inner[SCHEMA_PATH_MAX];

        (void)snprintf(inner, sizeof(inner), "%s[%zu]", path, i);
        if (read_object(r, field->inner, json_object_array_get_idx(value, i),
                        inner, items + i * field->inner->size) != STATUS_OK) {
            return r->st->kind;
        }
    }
    return STATUS_OK;
}

/* Reads one value by its field's type. */
static enum status_kind
read_value(struct reader *r, const struct schema_field *field,
           json_object *value, const char *path, char *out)
{
    switch (field->type) {
    case SCHEMA_TEXT:
        return read_text(r, field, value, path, out);
    case SCHEMA_SECONDS:
    case SCHEMA_RATE:
    case SCHEMA_DECIMAL:
        return read_decimal(r, field, value, path, out);
    case SCHEMA_ENDPOINT:
        return read_endpoint(r, field, value, path, out);
    case SCHEMA_UINT:
        return read_uint(r, field, value, path, out);
    case SCHEMA_IPV4:
        return read_ipv4(r, field, value, path, out);
    case SCHEMA_HEX:
        return read_hex(r, field, value, path, out);
    case SCHEMA_WORD:
        return read_word(r, field, value, path, out);
    case SCHEMA_LIST:
        return read_list(r, field, value, path, out);
    case SCHEMA_OBJECT:
        return read_object(r, field->inner, value, path, out);
    }
    return STATUS_BAD_INPUT;
}

/* Puts a field's default in place, and those of an object inside it. */
static void
put_default(const struct schema_field *field, char *out)
{
    int word = (int)field->value;

    if (field->type == SCHEMA_OBJECT) {
        for (const struct schema_field *f = field->inner->fields;
             f->key != NULL; f++) {
            put_default(f, out + f->offset);
        }
    }
    else if (field->type == SCHEMA_UINT || field->type == SCHEMA_SECONDS ||
             field->type == SCHEMA_RATE || field->type == SCHEMA_DECIMAL) {
        memcpy(out, &field->value, sizeof(field->value));
    }
    else if (field->type == SCHEMA_WORD) {
        memcpy(out, &word, sizeof(word));
    }
}

/* Refuses the first key of an object that the schema does not have. */
static enum status_kind
check_keys(struct reader *r, const struct schema *schema, json_object *value,
           const char *path)
{
    json_object_object_foreach(value, key, item)
    {
        const struct schema_field *field = schema->fields;

        (void)item;
        while (field->key != NULL && strcmp(field->key, key) != 0) {
            field++;
        }
        if (field->key == NULL) {
            return status_set(r->st, STATUS_BAD_INPUT,
                              "%s: \"%s%s%.40s\" is not a known key; remove "
                              "it or correct its spelling",
                              r->source, path, path[0] ? "." : "", key);
        }
    }
    return STATUS_OK;
}

/* Reads an object: unknown keys, then each field of the table. */
static enum status_kind
read_object(struct reader *r, const struct schema *schema, json_object *value,
            const char *path, char *out)
{
    if (!json_object_is_type(value, json_type_object)) {
        return status_set(r->st, STATUS_BAD_INPUT,
                          "%s: \"%s\" is not an object; write { ... }",
                          r->source, path);
    }
    if (check_keys(r, schema, value, path) != STATUS_OK) {
        return r->st->kind;
    }
    for (const struct schema_field *f = schema->fields; f->key != NULL; f++) {
        char inner[SCHEMA_PATH_MAX];
        json_object *item;

        (void)snprintf(inner, sizeof(inner), "%s%s%s", path,
                       path[0] ? "." : "", f->key);
        if (!json_object_object_get_ex(value, f->key, &item)) {
            if (f->required) {
                return refuse(r, inner, f, "is missing");
            }
            put_default(f, out + f->offset);
        }
        else if (read_value(r, f, item, inner, out + f->offset) != STATUS_OK) {
            return r->st->kind;
        }
    }
    return STATUS_OK;
}

/* Counts the line of an offset. */
static unsigned
line_of(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset; i++) {
        line += text[i] == '\n';
    }
    return line;
}

/* Parses the text; NULL with a message when it is not one JSON value. */
static json_object *
parse(const char *source, const char *text, size_t length, struct status *st)
{
    json_tokener *tokener = json_tokener_new_ex(SCHEMA_DEPTH_MAX + 1);
    json_object *value = json_tokener_parse_ex(tokener, text, (int)length);
    enum json_tokener_error error = json_tokener_get_error(tokener);
    size_t end = json_tokener_get_parse_end(tokener);

    json_tokener_free(tokener);
    if (error == json_tokener_continue) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s:%u: the text ends too early; the file may be "
                         "truncated, write it again",
                         source, line_of(text, length));
    }
    else if (error != json_tokener_success) {
        (void)status_set(st, STATUS_BAD_INPUT, "%s:%u: %s; correct it there",
                         source, line_of(text, end),
                         json_tokener_error_desc(error));
    }
    if (error != json_tokener_success) {
        json_object_put(value);
        return NULL;
    }
    while (end < length && strchr(" \t\r\n", text[end]) != NULL) {
        end++;
    }
    if (end < length && text[end] != '/') {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s:%u: more text after the value; remove it", source,
                         line_of(text, end));
        json_object_put(value);
        return NULL;
    }
    return value;
}

/* Reads a whole document. */
enum status_kind
schema_read(const struct schema *schema, const char *source, const char *text,
            size_t length, void *out, struct status *st)
{
    struct reader r = {.source = source, .st = st};
    json_object *value;

    memset(out, 0, schema->size);
    st->kind = STATUS_OK;
    st->message[0] = '\0';
    if (schema_scan(source, text, length, st) != STATUS_OK) {
        return st->kind;
    }
    value = parse(source, text, length, st);
    if (value == NULL) {
        return st->kind;
    }
    (void)read_object(&r, schema, value, "", out);
    json_object_put(value);
    if (st->kind != STATUS_OK) {
        schema_free(schema, out);
    }
    return st->kind;
}

/* Frees the lists of a struct, and the lists inside them. */
void
schema_free(const struct schema *schema, void *out)
{
    for (const struct schema_field *f = schema->fields; f->key != NULL; f++) {
        char *at = (char *)out + f->offset;
        char *items;
        size_t count;

        if (f->type == SCHEMA_OBJECT) {
            schema_free(f->inner, at);
        }
        if (f->type != SCHEMA_LIST) {
            continue;
        }
        memcpy(&items, at, sizeof(items));
        memcpy(&count, at + sizeof(items), sizeof(count));
        for (size_t i = 0; items != NULL && i < count; i++) {
            schema_free(f->inner, items + i * f->inner->size);
        }
        g_free(items);
        memset(at, 0, sizeof(items) + sizeof(count));
    }
}

/* Reads a whole file. */
char *
schema_load(const char *path, size_t *length, struct status *st)
{
    struct stat info;
    FILE *file = fopen(path, "re");
    char *text;

    if (file == NULL || fstat(fileno(file), &info) != 0 ||
        !S_ISREG(info.st_mode)) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s: cannot be read (%s); name a readable file", path,
                         file ? "not a file" : g_strerror(errno));
        if (file != NULL) {
            (void)fclose(file);
        }
        return NULL;
    }
    text = g_malloc(SCHEMA_TEXT_MAX + 2);
    *length = fread(text, 1, SCHEMA_TEXT_MAX + 1, file);
    if (ferror(file)) {
        (void)status_set(st, STATUS_BAD_INPUT, "%s: read failed; check disk",
                         path);
        g_clear_pointer(&text, g_free);
    }
    else {
        text[*length] = '\0';
    }
    (void)fclose(file);
    return text;
}

/* Names a type on the reference page. */
static const char *
type_name(enum schema_type type)
{
    switch (type) {
    case SCHEMA_TEXT:
        return "string";
    case SCHEMA_UINT:
        return "whole number";
    case SCHEMA_SECONDS:
        return "seconds";
    case SCHEMA_RATE:
        return "megabits a second";
    case SCHEMA_DECIMAL:
        return "number";
    case SCHEMA_ENDPOINT:
        return "IPv4 address and port";
    case SCHEMA_IPV4:
        return "IPv4 address";
    case SCHEMA_HEX:
        return "hex digits";
    case SCHEMA_WORD:
        return "word";
    case SCHEMA_LIST:
        return "list";
    case SCHEMA_OBJECT:
        return "object";
    }
    return "";
}

/* Prints what a field takes when it is left out. */
static void
print_default(const struct schema_field *f)
{
    if (f->required) {
        (void)printf("required");
    }
    else if (f->type == SCHEMA_UINT) {
        (void)printf("%" PRIu64, f->value);
    }
    else if (f->type == SCHEMA_SECONDS || f->type == SCHEMA_RATE ||
             f->type == SCHEMA_DECIMAL) {
        (void)printf("%g", (double)f->value / 1000.0);
    }
    else if (f->type == SCHEMA_WORD) {
        (void)printf("`%s`", f->words[f->value]);
    }
    else {
        (void)printf("empty");
    }
}

/* Prints one table, then those of the objects inside. */
void
schema_print(const struct schema *schema, bool nested)
{
    (void)printf("%s %s\n\n| key | type | unit | default | bounds | meaning "
                 "|\n|---|---|---|---|---|---|\n",
                 nested ? "##" : "#", schema->name);
    for (const struct schema_field *f = schema->fields; f->key != NULL; f++) {
        (void)printf("| `%s` | %s | %s | ", f->key, type_name(f->type),
                     f->unit ? f->unit : "");
        print_default(f);
        (void)printf(" | ");
        if (f->type == SCHEMA_WORD) {
            for (int i = 0; f->words[i] != NULL; i++) {
                (void)printf("%s`%s`", i ? ", " : "", f->words[i]);
            }
        }
        else if (f->max > 0) {
            (void)printf("%" PRIu64 " to %" PRIu64, f->min, f->max);
        }
        (void)printf(" | %s |\n", f->help);
    }
    (void)printf("\n");
    for (const struct schema_field *f = schema->fields; f->key != NULL; f++) {
        if (f->inner != NULL) {
            schema_print(f->inner, true);
        }
    }
}
