/* Deflating and inflating. */
#include "pack.h"

#include <zlib.h>

/* Deflates bytes. */
GByteArray *
pack_deflate(const void *bytes, size_t length)
{
    uLongf size = compressBound(length);
    GByteArray *out = g_byte_array_sized_new((guint)size);

    g_byte_array_set_size(out, (guint)size);
    if (compress2(out->data, &size, bytes, length, Z_BEST_SPEED) != Z_OK) {
        g_byte_array_unref(out);
        return NULL;
    }
    g_byte_array_set_size(out, (guint)size);
    return out;
}

/* Inflates bytes. */
bool
pack_inflate(const void *packed, size_t packed_length, void *out,
             size_t length)
{
    uLongf size = length;

    return uncompress(out, &size, packed, packed_length) == Z_OK &&
           size == length;
}
