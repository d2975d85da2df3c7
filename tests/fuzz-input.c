/*
 * A target for libFuzzer: each reader of bytes that strangers send to a node.
 * The first byte of an input picks the reader. `make fuzz` builds it with
 * clang, then
 *
 *   build-fuzz/fuzz-input -max_total_time=60 build-fuzz/found tests/corpus
 *
 * What it finds is kept in tests/corpus, whose files test-input reads too.
 */
#include <glib.h>
#include <string.h>

#include "codec.h"
#include "fuzz-input.h"
#include "node-settings.h"
#include "platform/platform.h"
#include "route-wire.h"

/* Which reader: the remainder of the first byte by their count. */
enum reader {
    READER_PACKET,
    READER_REGISTRATION,
    READER_ID,
    READER_TABLE,
    READER_MESSAGE,
    READER_SETTINGS,
    READER_ROUTES,
    READER_END,
    READER_HALL,
    READER_COUNT
};

/* Reads an upstream's registration; the id ends at the first line's end. */
static void
read_registration(const char *text, size_t length)
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

/* Reads a message between nodes. */
static void
read_message(const uint8_t *bytes, size_t length)
{
    wire_msg msg;

    if (codec_decode(bytes, length, &msg)) {
        codec_free(&msg);
    }
}

/* Reads settings. */
static void
read_settings(const char *text, size_t length)
{
    struct node_settings settings;
    struct status st = {STATUS_OK, ""};

    if (schema_read(&node_settings_schema, "fuzz", text, length, &settings,
                    &st) == STATUS_OK) {
        node_settings_free(&settings);
    }
}

/* Reads one input; libFuzzer's name. */
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
    /* Readers of text are given a string that ends. */
    text = g_strndup((const char *)bytes + 1, size - 1);
    switch ((enum reader)(bytes[0] % READER_COUNT)) {
    case READER_PACKET:
        (void)platform_read_packet(bytes + 1, size - 1, &packet);
        break;
    case READER_REGISTRATION:
        read_registration((const char *)bytes + 1, size - 1);
        break;
    case READER_ID:
        (void)platform_read_id(text, &id, &st);
        break;
    case READER_TABLE:
        route_free(
            platform_read_table((const char *)bytes + 1, size - 1, &st));
        break;
    case READER_MESSAGE:
        read_message(bytes + 1, size - 1);
        break;
    case READER_SETTINGS:
        read_settings(text, strlen(text));
        break;
    case READER_ROUTES:
        route_free(route_decode(bytes + 1, size - 1));
        break;
    case READER_END:
        (void)platform_read_deregistration((const char *)bytes + 1, size - 1,
                                           &born, &st);
        break;
    case READER_HALL:
        (void)hall_is_name(text);
        break;
    case READER_COUNT:
        break;
    }
    g_free(text);
    return 0;
}
