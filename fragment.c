/* Fragmentation and reassembly of messages. */
#include "fragment.h"

#include <string.h>

#include "codec.h"

static void
free_bytes(gpointer bytes)
{
    g_byte_array_unref(bytes);
}

GPtrArray *
fragment_split(uint64_t number, const uint8_t *bytes, size_t length)
{
    size_t count = (length + WIRE_PART_MAX - 1) / WIRE_PART_MAX;
    GPtrArray *out;

    if (count > FRAGMENT_COUNT_MAX) {
        return NULL;
    }
    out = g_ptr_array_new_with_free_func(free_bytes);
    for (size_t i = 0; i < count; i++) {
        size_t at = i * WIRE_PART_MAX;
        wire_msg msg = {.kind = WIRE_PART};
        wire_part *fragment = &msg.wire_msg_u.part;

        fragment->message = number;
        fragment->place = (u_int)i;
        fragment->count = (u_int)count;
        fragment->bytes.bytes_val = (char *)bytes + at;
        fragment->bytes.bytes_len = (u_int)MIN(length - at, WIRE_PART_MAX);
        g_ptr_array_add(out, codec_encode(&msg));
    }
    return out;
}

static void
release(struct fragment_buffer *buffer)
{
    for (uint32_t i = 0; i < buffer->count; i++) {
        if (buffer->fragments[i] != NULL) {
            g_byte_array_unref(buffer->fragments[i]);
        }
    }
    memset(buffer, 0, sizeof(*buffer));
}

/* Finds the buffer of a message, else a free one, else evicts the oldest
 * message. Drops expired messages. */
static struct fragment_buffer *
find_buffer(struct fragment_table *table, uint64_t now, uint64_t message)
{
    struct fragment_buffer *oldest = &table->buffers[0];

    for (size_t i = 0; i < FRAGMENT_BUFFERS_MAX; i++) {
        struct fragment_buffer *buffer = &table->buffers[i];

        if (buffer->message != 0 && now >= buffer->deadline) {
            release(buffer);
        }
        if (buffer->message == message) {
            return buffer;
        }
        if (buffer->deadline < oldest->deadline) {
            oldest = buffer;
        }
    }
    release(oldest);
    return oldest;
}

static GByteArray *
reassemble(const struct fragment_buffer *buffer)
{
    GByteArray *out = g_byte_array_new();

    for (uint32_t i = 0; i < buffer->count; i++) {
        g_byte_array_append(out, buffer->fragments[i]->data,
                            buffer->fragments[i]->len);
    }
    return out;
}

GByteArray *
fragment_receive(struct fragment_table *table, uint64_t now,
                 const wire_part *fragment)
{
    struct fragment_buffer *buffer;
    GByteArray *message;

    if (fragment->message == 0 || fragment->count > FRAGMENT_COUNT_MAX ||
        fragment->place >= fragment->count) {
        return NULL;
    }
    buffer = find_buffer(table, now, fragment->message);
    if (buffer->message == 0) {
        buffer->message = fragment->message;
        buffer->deadline = now + FRAGMENT_TIMEOUT_MS;
        buffer->count = fragment->count;
    }
    if (buffer->count != fragment->count ||
        buffer->fragments[fragment->place] != NULL) {
        return NULL;
    }
    buffer->fragments[fragment->place] = g_byte_array_new();
    g_byte_array_append(buffer->fragments[fragment->place],
                        (const guint8 *)fragment->bytes.bytes_val,
                        fragment->bytes.bytes_len);
    buffer->received++;
    if (buffer->received < buffer->count) {
        return NULL;
    }
    message = reassemble(buffer);
    release(buffer);
    return message;
}

void
fragment_close(struct fragment_table *table)
{
    for (size_t i = 0; i < FRAGMENT_BUFFERS_MAX; i++) {
        release(&table->buffers[i]);
    }
}
