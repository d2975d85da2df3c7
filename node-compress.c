/* zlib compression of routing tables, in the log and between nodes. */
#include <glib.h>
#include <zlib.h>

#include "log.h"
#include "node.h"
#include "route-wire.h"

/* A document above WIRE_PACKED_MAX must be refused here: XDR would encode it
 * as empty, and it would be acknowledged. */
enum status_kind
node_compress(const char *text, size_t length, wire_routes *out,
              struct status *st)
{
    uLongf size = compressBound(length);
    Bytef *packed = g_malloc(size);

    if (compress2(packed, &size, (const Bytef *)text, length, Z_BEST_SPEED) !=
        Z_OK) {
        g_free(packed);
        return status_set(st, STATUS_NO_ANSWER,
                          "zlib ran out of memory; submit the table again");
    }
    if (size > WIRE_PACKED_MAX) {
        g_free(packed);
        return status_set(st, STATUS_REFUSED,
                          "the compressed table has %lu bytes, the limit is "
                          "%u; use shorter names or fewer routes",
                          (unsigned long)size, (unsigned)WIRE_PACKED_MAX);
    }
    out->length = (u_int)length;
    out->packed.packed_val = (char *)packed;
    out->packed.packed_len = (u_int)size;
    return STATUS_OK;
}

enum status_kind
node_compress_table(const struct route_table *table, wire_routes *out,
                    struct status *st)
{
    GByteArray *bytes = route_encode(table);

    out->bundle_version = table->version;
    (void)node_compress((const char *)bytes->data, bytes->len, out, st);
    g_byte_array_unref(bytes);
    return st->kind;
}

char *
node_decompress(const wire_routes *routes)
{
    uLongf size = routes->length;
    char *text;

    if (routes->length == 0 || routes->length > SCHEMA_TEXT_MAX) {
        return NULL;
    }
    text = g_malloc(size + 1);
    if (uncompress((Bytef *)text, &size,
                   (const Bytef *)routes->packed.packed_val,
                   routes->packed.packed_len) != Z_OK ||
        size != routes->length) {
        log_event(LOG_ERROR, "table-damaged", "version=%llu bytes=%u",
                  (unsigned long long)routes->bundle_version,
                  routes->packed.packed_len);
        g_free(text);
        return NULL;
    }
    text[size] = '\0';
    return text;
}
