/* Documents of routing tables, deflated for the log and between nodes. */
#include <glib.h>

#include "log.h"
#include "node.h"
#include "pack.h"

/* Deflates a document. */
bool
node_pack(const char *text, size_t length, wire_routes *out)
{
    GByteArray *packed = pack_deflate(text, length);

    if (packed == NULL) {
        log_event(LOG_ERROR, "table-not-packed", "bytes=%zu reason=\"%s\"",
                  length, "zlib is out of memory");
        return false;
    }
    out->length = (u_int)length;
    out->packed.packed_len = packed->len;
    out->packed.packed_val = (char *)g_byte_array_free(packed, FALSE);
    return true;
}

/* Inflates a document. */
char *
node_unpack(const wire_routes *routes)
{
    char *text;

    if (routes->length == 0 || routes->length > SCHEMA_TEXT_MAX) {
        return NULL;
    }
    text = g_malloc(routes->length + 1);
    if (!pack_inflate(routes->packed.packed_val, routes->packed.packed_len,
                      text, routes->length)) {
        log_event(LOG_ERROR, "table-damaged", "version=%llu bytes=%u",
                  (unsigned long long)routes->bundle_version,
                  routes->packed.packed_len);
        g_free(text);
        return NULL;
    }
    text[routes->length] = '\0';
    return text;
}
