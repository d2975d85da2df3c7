/* Documents of routing tables, deflated for the log and between nodes. */
#include <glib.h>
#include <zlib.h>

#include "log.h"
#include "node.h"

/* Deflates a document. */
bool
node_pack(const char *text, size_t length, wire_routes *out)
{
    uLongf size = compressBound(length);
    Bytef *packed = g_malloc(size);

    if (compress2(packed, &size, (const Bytef *)text, length, Z_BEST_SPEED) !=
        Z_OK) {
        log_event(LOG_ERROR, "table-not-packed", "bytes=%zu reason=\"%s\"",
                  length, "zlib is out of memory");
        g_free(packed);
        return false;
    }
    out->length = (u_int)length;
    out->packed.packed_val = (char *)packed;
    out->packed.packed_len = (u_int)size;
    return true;
}

/* Inflates a document. */
char *
node_unpack(const wire_routes *routes)
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
