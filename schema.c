/* Table-driven JSON parser. The schemas are in the modules that use them. */
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

#define SCHEMA_PATH_MAX 128 /* bytes of a key path in messages */

/* Context of one document. */
struct parser {
    const char *source;
    struct status *st;
};

static enum status_kind read_object(struct parser *parser,
                                    const struct schema *schema,
                                    json_object *value, const char *path,
                                    char *out);

/* Sets an error with the key path, the fault, and the field's help as
 * remedy. */
static enum status_kind
reject(struct parser *parser, const char *path,
       const struct schema_field *field, const char *fault)
{
    return status_set(parser->st, STATUS_BAD_INPUT, "%s: \"%s\" %s; %s",
                      parser->source, path, fault, field->help);
}

static enum status_kind
read_text(struct parser *parser, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    size_t length;

    if (!json_object_is_type(value, json_type_string)) {
        return reject(parser, path, field, "is not a string");
    }
    length = (size_t)json_object_get_string_len(value);
    if (length < field->min || length > field->max) {
        return reject(parser, path, field, "is too short or too long");
    }
    if (strlen(json_object_get_string(value)) != length) {
        return reject(parser, path, field, "contains a NUL character");
    }
    memcpy(out, json_object_get_string(value), length + 1);
    return STATUS_OK;
}

static enum status_kind
read_uint(struct parser *parser, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    int64_t number;
    uint64_t stored;
    char fault[96];

    if (!json_object_is_type(value, json_type_int)) {
        return reject(parser, path, field, "is not a whole number");
    }
    number = json_object_get_int64(value);
    if (number < 0 || (uint64_t)number < field->min ||
        (uint64_t)number > field->max) {
        (void)snprintf(fault, sizeof(fault),
                       "is out of range %" PRIu64 " to %" PRIu64, field->min,
                       field->max);
        return reject(parser, path, field, fault);
    }
    stored = (uint64_t)number;
    memcpy(out, &stored, sizeof(stored));
    return STATUS_OK;
}

/* Parses a decimal into thousandths: seconds into ms, Mbit/s into kbit/s. */
static enum status_kind
read_decimal(struct parser *parser, const struct schema_field *field,
             json_object *value, const char *path, char *out)
{
    double decimal;
    uint64_t stored;

    if (!json_object_is_type(value, json_type_int) &&
        !json_object_is_type(value, json_type_double)) {
        return reject(parser, path, field, "is not a number");
    }
    decimal = json_object_get_double(value);
    if (!(decimal >= 0.0 && decimal <= (double)field->max / 1000.0)) {
        return reject(parser, path, field, "is out of range");
    }
    stored = (uint64_t)(decimal * 1000.0 + 0.5);
    if (stored < field->min) {
        return reject(parser, path, field, "is too small");
    }
    memcpy(out, &stored, sizeof(stored));
    return STATUS_OK;
}

static enum status_kind
read_endpoint(struct parser *parser, const struct schema_field *field,
              json_object *value, const char *path, char *out)
{
    struct schema_endpoint endpoint;

    if (!json_object_is_type(value, json_type_string) ||
        !address_parse(json_object_get_string(value), &endpoint.address,
                       &endpoint.port)) {
        return reject(parser, path, field, "is not an IPv4 address and port");
    }
    memcpy(out, &endpoint, sizeof(endpoint));
    return STATUS_OK;
}

static enum status_kind
read_ipv4(struct parser *parser, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    struct in_addr address;
    uint32_t host;

    if (!json_object_is_type(value, json_type_string) ||
        inet_pton(AF_INET, json_object_get_string(value), &address) != 1) {
        return reject(parser, path, field, "is not an IPv4 address");
    }
    host = ntohl(address.s_addr);
    memcpy(out, &host, sizeof(host));
    return STATUS_OK;
}

/* Parses exactly 2 * max hex digits. */
static enum status_kind
read_hex(struct parser *parser, const struct schema_field *field,
         json_object *value, const char *path, char *out)
{
    size_t length = 0;
    const char *text;

    if (!json_object_is_type(value, json_type_string)) {
        return reject(parser, path, field, "is not a string");
    }
    text = json_object_get_string(value);
    if (strlen(text) != 2 * field->max ||
        sodium_hex2bin((unsigned char *)out, field->max, text, strlen(text),
                       NULL, &length, NULL) != 0 ||
        length != field->max) {
        return reject(parser, path, field,
                      "has the wrong number of hex digits");
    }
    return STATUS_OK;
}

static enum status_kind
read_enum(struct parser *parser, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    if (json_object_is_type(value, json_type_string)) {
        for (int i = 0; field->names[i] != NULL; i++) {
            if (strcmp(field->names[i], json_object_get_string(value)) == 0) {
                memcpy(out, &i, sizeof(i));
                return STATUS_OK;
            }
        }
    }
    return reject(parser, path, field, "is none of the allowed words");
}

/* Parses an array of objects into allocated memory. */
static enum status_kind
read_list(struct parser *parser, const struct schema_field *field,
          json_object *value, const char *path, char *out)
{
    size_t count;
    char *items;

    if (!json_object_is_type(value, json_type_array)) {
        return reject(parser, path, field, "is not a list");
    }
    count = json_object_array_length(value);
    if (count < field->min || count > field->max) {
        return reject(parser, path, field, "has too few or too many items");
    }
    items = g_malloc0_n(count ? count : 1, field->inner->size);
    memcpy(out, &items, sizeof(items));
    memcpy(out + sizeof(items), &count, sizeof(count));
    for (size_t i = 0; i < count; i++) {
        char inner[SCHEMA_PATH_MAX];

        (void)snprintf(inner, sizeof(inner), "%s[%zu]", path, i);
        if (read_object(parser, field->inner,
                        json_object_array_get_idx(value, i), inner,
                        items + i * field->inner->size) != STATUS_OK) {
            return parser->st->kind;
        }
    }
    return STATUS_OK;
}

static enum status_kind
read_value(struct parser *parser, const struct schema_field *field,
           json_object *value, const char *path, char *out)
{
    switch (field->type) {
    case SCHEMA_TEXT:
        return read_text(parser, field, value, path, out);
    case SCHEMA_SECONDS:
    case SCHEMA_RATE:
    case SCHEMA_DECIMAL:
        return read_decimal(parser, field, value, path, out);
    case SCHEMA_ENDPOINT:
        return read_endpoint(parser, field, value, path, out);
    case SCHEMA_UINT:
        return read_uint(parser, field, value, path, out);
    case SCHEMA_IPV4:
        return read_ipv4(parser, field, value, path, out);
    case SCHEMA_HEX:
        return read_hex(parser, field, value, path, out);
    case SCHEMA_ENUM:
        return read_enum(parser, field, value, path, out);
    case SCHEMA_LIST:
        return read_list(parser, field, value, path, out);
    case SCHEMA_OBJECT:
        return read_object(parser, field->inner, value, path, out);
    }
    return STATUS_BAD_INPUT;
}

/* Stores the default of a field, or of each field of a nested object. */
static void
store_default(const struct schema_field *field, char *out)
{
    int index = (int)field->default_value;

    if (field->type == SCHEMA_OBJECT) {
        for (const struct schema_field *f = field->inner->fields;
             f->key != NULL; f++) {
            store_default(f, out + f->offset);
        }
    }
    else if (field->type == SCHEMA_UINT || field->type == SCHEMA_SECONDS ||
             field->type == SCHEMA_RATE || field->type == SCHEMA_DECIMAL) {
        memcpy(out, &field->default_value, sizeof(field->default_value));
    }
    else if (field->type == SCHEMA_ENUM) {
        memcpy(out, &index, sizeof(index));
    }
}

/* Rejects unknown keys of an object. */
static enum status_kind
check_keys(struct parser *parser, const struct schema *schema,
           json_object *value, const char *path)
{
    json_object_object_foreach(value, key, item)
    {
        const struct schema_field *field = schema->fields;

        (void)item;
        while (field->key != NULL && strcmp(field->key, key) != 0) {
            field++;
        }
        if (field->key == NULL) {
            return status_set(parser->st, STATUS_BAD_INPUT,
                              "%s: \"%s%s%.40s\" is not a known key; remove "
                              "it or correct its spelling",
                              parser->source, path, path[0] ? "." : "", key);
        }
    }
    return STATUS_OK;
}

static enum status_kind
read_object(struct parser *parser, const struct schema *schema,
            json_object *value, const char *path, char *out)
{
    if (!json_object_is_type(value, json_type_object)) {
        return status_set(parser->st, STATUS_BAD_INPUT,
                          "%s: \"%s\" is not an object; write { ... }",
                          parser->source, path);
    }
    if (check_keys(parser, schema, value, path) != STATUS_OK) {
        return parser->st->kind;
    }
    for (const struct schema_field *f = schema->fields; f->key != NULL; f++) {
        char inner[SCHEMA_PATH_MAX];
        json_object *item;

        (void)snprintf(inner, sizeof(inner), "%s%s%s", path,
                       path[0] ? "." : "", f->key);
        if (!json_object_object_get_ex(value, f->key, &item)) {
            if (f->required) {
                return reject(parser, inner, f, "is missing");
            }
            store_default(f, out + f->offset);
        }
        else if (read_value(parser, f, item, inner, out + f->offset) !=
                 STATUS_OK) {
            return parser->st->kind;
        }
    }
    return STATUS_OK;
}

/* Line number of an offset, from 1. */
static unsigned
line_number(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset; i++) {
        line += text[i] == '\n';
    }
    return line;
}

/* Parses exactly one JSON value; NULL with a message otherwise. */
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
                         source, line_number(text, length));
    }
    else if (error != json_tokener_success) {
        (void)status_set(st, STATUS_BAD_INPUT, "%s:%u: %s; correct it there",
                         source, line_number(text, end),
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
                         "%s:%u: more text after the JSON value; remove it",
                         source, line_number(text, end));
        json_object_put(value);
        return NULL;
    }
    return value;
}

enum status_kind
schema_read(const struct schema *schema, const char *source, const char *text,
            size_t length, void *out, struct status *st)
{
    struct parser parser = {.source = source, .st = st};
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
    (void)read_object(&parser, schema, value, "", out);
    json_object_put(value);
    if (st->kind != STATUS_OK) {
        schema_free(schema, out);
    }
    return st->kind;
}

void
schema_free(const struct schema *schema, void *out)
{
    for (const struct schema_field *f = schema->fields; f->key != NULL; f++) {
        char *member = (char *)out + f->offset;
        char *items;
        size_t count;

        if (f->type == SCHEMA_OBJECT) {
            schema_free(f->inner, member);
        }
        if (f->type != SCHEMA_LIST) {
            continue;
        }
        memcpy(&items, member, sizeof(items));
        memcpy(&count, member + sizeof(items), sizeof(count));
        for (size_t i = 0; items != NULL && i < count; i++) {
            schema_free(f->inner, items + i * f->inner->size);
        }
        g_free(items);
        memset(member, 0, sizeof(items) + sizeof(count));
    }
}

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
                         file ? "not a regular file" : g_strerror(errno));
        if (file != NULL) {
            (void)fclose(file);
        }
        return NULL;
    }
    text = g_malloc(SCHEMA_TEXT_MAX + 2);
    *length = fread(text, 1, SCHEMA_TEXT_MAX + 1, file);
    if (ferror(file)) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s: read error; check the disk", path);
        g_clear_pointer(&text, g_free);
    }
    else {
        text[*length] = '\0';
    }
    (void)fclose(file);
    return text;
}

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
        return "megabits per second";
    case SCHEMA_DECIMAL:
        return "number";
    case SCHEMA_ENDPOINT:
        return "IPv4 address and port";
    case SCHEMA_IPV4:
        return "IPv4 address";
    case SCHEMA_HEX:
        return "hex digits";
    case SCHEMA_ENUM:
        return "word";
    case SCHEMA_LIST:
        return "list";
    case SCHEMA_OBJECT:
        return "object";
    }
    return "";
}

static void
print_default(const struct schema_field *f)
{
    if (f->required) {
        (void)printf("required");
    }
    else if (f->type == SCHEMA_UINT) {
        (void)printf("%" PRIu64, f->default_value);
    }
    else if (f->type == SCHEMA_SECONDS || f->type == SCHEMA_RATE ||
             f->type == SCHEMA_DECIMAL) {
        (void)printf("%g", (double)f->default_value / 1000.0);
    }
    else if (f->type == SCHEMA_ENUM) {
        (void)printf("`%s`", f->names[f->default_value]);
    }
    else {
        (void)printf("empty");
    }
}

/* Prints one table, then the tables of nested objects. */
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
        if (f->type == SCHEMA_ENUM) {
            for (int i = 0; f->names[i] != NULL; i++) {
                (void)printf("%s`%s`", i ? ", " : "", f->names[i]);
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
