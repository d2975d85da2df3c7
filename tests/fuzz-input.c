/**
 * @file fuzz-input.c
 * libFuzzer target for the parsers of untrusted input. The first byte of an
 * input selects the parser. `make fuzz` builds it with clang; run it with
 *
 *   build-fuzz/fuzz-input -max_total_time=60 build-fuzz/found tests/corpus
 *
 * and copy inputs that crash a parser to tests/corpus, which test-input reads.
 */
#include <glib.h>
#include <string.h>

#include "codec.h"
#include "fuzz-input.h"
#include "node-settings.h"
#include "platform/platform.h"
#include "route-wire.h"

/* Selected by the first byte modulo PARSER_COUNT. */
enum parser {
    PARSER_PACKET,
    PARSER_REGISTRATION,
    PARSER_ID,
    PARSER_TABLE,
    PARSER_MESSAGE,
    PARSER_SETTINGS,
    PARSER_ROUTES,
    PARSER_DEREGISTRATION,
    PARSER_HALL,
    PARSER_COUNT
};

/* The first line is the upstream's id, the rest its registration. */
static void
parse_registration(const char *text, size_t length)
{
    const char *end = memchr(text, '\n', length);
    struct upstream_registration registration;
    struct status st = {STATUS_OK, ""};
    char *id;

    if (end == NULL) {
        return;
    }
    id = g_strndup(text, (gsize)(end - text));
    (void)platform_read_registration(
        id, end + 1, length - (size_t)(end + 1 - text), &registration, &st);
    g_free(id);
}

static void
parse_message(const uint8_t *bytes, size_t length)
{
    wire_msg msg;

    if (codec_decode(bytes, length, &msg)) {
        codec_free(&msg);
    }
}

static void
parse_settings(const char *text, size_t length)
{
    struct node_settings settings;
    struct status st = {STATUS_OK, ""};

    if (schema_read(&node_settings_schema, "fuzz", text, length, &settings,
                    &st) == STATUS_OK) {
        node_settings_free(&settings);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    struct status st = {STATUS_OK, ""};
    struct evidence_packet packet;
    uint64_t id;
    uint64_t born;
    char *text;

    if (size < 1) {
        return 0;
    }
    /* Some parsers need a terminated string. */
    text = g_strndup((const char *)bytes + 1, size - 1);
    switch ((enum parser)(bytes[0] % PARSER_COUNT)) {
    case PARSER_PACKET:
        (void)platform_read_packet(bytes + 1, size - 1, &packet);
        break;
    case PARSER_REGISTRATION:
        parse_registration((const char *)bytes + 1, size - 1);
        break;
    case PARSER_ID:
        (void)platform_read_id(text, &id, &st);
        break;
    case PARSER_TABLE:
        route_free(
            platform_read_table((const char *)bytes + 1, size - 1, &st));
        break;
    case PARSER_MESSAGE:
        parse_message(bytes + 1, size - 1);
        break;
    case PARSER_SETTINGS:
        parse_settings(text, strlen(text));
        break;
    case PARSER_ROUTES:
        route_free(route_decode(bytes + 1, size - 1));
        break;
    case PARSER_DEREGISTRATION:
        (void)platform_read_deregistration((const char *)bytes + 1, size - 1,
                                           &born, &st);
        break;
    case PARSER_HALL:
        (void)hall_is_name(text);
        break;
    case PARSER_COUNT:
        break;
    }
    g_free(text);
    return 0;
}
