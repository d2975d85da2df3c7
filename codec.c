/* XDR (RFC 4506) encoding and decoding, on libtirpc. */
#include "codec.h"

#include <string.h>

static GByteArray *
encode(xdrproc_t proc, void *value)
{
    unsigned long size = xdr_sizeof(proc, value);
    GByteArray *out = g_byte_array_sized_new((guint)size);
    XDR xdr;

    g_byte_array_set_size(out, (guint)size);
    xdrmem_create(&xdr, (char *)out->data, (u_int)size, XDR_ENCODE);
    if (!proc(&xdr, value)) {
        g_byte_array_set_size(out, 0);
    }
    xdr_destroy(&xdr);
    return out;
}

/* Fails if bytes are left over. */
static bool
decode(xdrproc_t proc, const void *bytes, size_t length, void *out,
       size_t size)
{
    XDR xdr;
    bool ok;

    memset(out, 0, size);
    if (length == 0 || length % 4 != 0 || length > G_MAXINT32) {
        return false;
    }
    xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
    ok = proc(&xdr, out) && xdr_getpos(&xdr) == (u_int)length;
    xdr_destroy(&xdr);
    if (!ok) {
        xdr_free(proc, out);
        memset(out, 0, size);
    }
    return ok;
}

GByteArray *
codec_encode(wire_msg *msg)
{
    return encode((xdrproc_t)xdr_wire_msg, msg);
}

bool
codec_decode(const void *bytes, size_t length, wire_msg *out)
{
    return decode((xdrproc_t)xdr_wire_msg, bytes, length, out, sizeof(*out));
}

/* The XDR union writes its discriminant first. */
uint32_t
codec_kind(const void *bytes, size_t length)
{
    uint32_t kind;

    if (length < sizeof(kind)) {
        return 0;
    }
    memcpy(&kind, bytes, sizeof(kind));
    return g_ntohl(kind);
}

void
codec_free(wire_msg *msg)
{
    xdr_free((xdrproc_t)xdr_wire_msg, (char *)msg);
}

GByteArray *
codec_encode_command(wire_command *command)
{
    return encode((xdrproc_t)xdr_wire_command, command);
}

bool
codec_decode_command(const void *bytes, size_t length, wire_command *out)
{
    return decode((xdrproc_t)xdr_wire_command, bytes, length, out,
                  sizeof(*out));
}

void
codec_free_command(wire_command *command)
{
    xdr_free((xdrproc_t)xdr_wire_command, (char *)command);
}

GByteArray *
codec_encode_table(wire_table *table)
{
    return encode((xdrproc_t)xdr_wire_table, table);
}

bool
codec_decode_table(const void *bytes, size_t length, wire_table *out)
{
    return decode((xdrproc_t)xdr_wire_table, bytes, length, out, sizeof(*out));
}

void
codec_free_table(wire_table *table)
{
    xdr_free((xdrproc_t)xdr_wire_table, (char *)table);
}

GByteArray *
codec_encode_state(wire_control_state *state)
{
    return encode((xdrproc_t)xdr_wire_control_state, state);
}

bool
codec_decode_state(const void *bytes, size_t length, wire_control_state *out)
{
    return decode((xdrproc_t)xdr_wire_control_state, bytes, length, out,
                  sizeof(*out));
}

void
codec_free_state(wire_control_state *state)
{
    xdr_free((xdrproc_t)xdr_wire_control_state, (char *)state);
}

void
codec_copy_epoch(const wire_epoch *from, wire_epoch *to)
{
    GByteArray *bytes = encode((xdrproc_t)xdr_wire_epoch, (void *)from);

    (void)decode((xdrproc_t)xdr_wire_epoch, bytes->data, bytes->len, to,
                 sizeof(*to));
    g_byte_array_unref(bytes);
}

void
codec_free_epoch(wire_epoch *epoch)
{
    xdr_free((xdrproc_t)xdr_wire_epoch, (char *)epoch);
}
