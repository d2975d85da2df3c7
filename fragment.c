/* Splitting messages into parts, and putting them together. */
#include "fragment.h"

#include <string.h>

#include "codec.h"

/* Frees an array of a list. */
static void
free_bytes(gpointer bytes)
{
    g_byte_array_unref(bytes);
}

/* Splits an encoded message. */
GPtrArray *
part_split(uint64_t number, const uint8_t *bytes, size_t length)
{
    size_t count = (length + WIRE_PART_MAX - 1) / WIRE_PART_MAX;
    GPtrArray *out;

    if (count > PART_COUNT_MAX) {
        return NULL;
    }
    out = g_ptr_array_new_with_free_func(free_bytes);
    for (size_t i = 0; i < count; i++) {
        size_t at = i * WIRE_PART_MAX;
        wire_msg msg = {.kind = WIRE_PART};
        wire_part *part = &msg.wire_msg_u.part;

        part->message = number;
        part->place = (u_int)i;
        part->count = (u_int)count;
        part->bytes.bytes_val = (char *)bytes + at;
        part->bytes.bytes_len = (u_int)MIN(length - at, WIRE_PART_MAX);
        g_ptr_array_add(out, codec_encode(&msg));
    }
    return out;
}

/* Frees the parts of one message. */
static void
drop(struct part_open *open)
{
    for (uint32_t i = 0; i < open->count; i++) {
        if (open->parts[i] != NULL) {
            g_byte_array_unref(open->parts[i]);
        }
    }
    memset(open, 0, sizeof(*open));
}

/* The place of a message: its own, a free one, or that of the oldest. */
static struct part_open *
place_of(struct part_box *box, uint64_t now, uint64_t message)
{
    struct part_open *oldest = &box->open[0];

    for (size_t i = 0; i < PART_OPEN_MAX; i++) {
        struct part_open *open = &box->open[i];

        if (open->message != 0 && now >= open->until) {
            drop(open);
        }
        if (open->message == message) {
            return open;
        }
        if (open->until < oldest->until) {
            oldest = open;
        }
    }
    drop(oldest);
    return oldest;
}

/* Puts the parts of a message together. */
static GByteArray *
join(const struct part_open *open)
{
    GByteArray *out = g_byte_array_new();

    for (uint32_t i = 0; i < open->count; i++) {
        g_byte_array_append(out, open->parts[i]->data, open->parts[i]->len);
    }
    return out;
}

/* Takes a part. */
GByteArray *
part_take(struct part_box *box, uint64_t now, const wire_part *part)
{
    struct part_open *open;
    GByteArray *whole;

    if (part->message == 0 || part->count > PART_COUNT_MAX ||
        part->place >= part->count) {
        return NULL;
    }
    open = place_of(box, now, part->message);
    if (open->message == 0) {
        open->message = part->message;
        open->until = now + PART_WAIT_MS;
        open->count = part->count;
    }
    if (open->count != part->count || open->parts[part->place] != NULL) {
        return NULL;
    }
    open->parts[part->place] = g_byte_array_new();
    g_byte_array_append(open->parts[part->place],
                        (const guint8 *)part->bytes.bytes_val,
                        part->bytes.bytes_len);
    open->arrived++;
    if (open->arrived < open->count) {
        return NULL;
    }
    whole = join(open);
    drop(open);
    return whole;
}

/* Frees what has arrived. */
void
part_close(struct part_box *box)
{
    for (size_t i = 0; i < PART_OPEN_MAX; i++) {
        drop(&box->open[i]);
    }
}
