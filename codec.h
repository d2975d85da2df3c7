/**
 * @file codec.h
 * XDR encoding (RFC 4506) of messages, log commands and stored state, by the
 * code generated from generated/wire.x. Decoding accepts untrusted bytes.
 */
#ifndef RIDGERIDGE_CODEC_H
#define RIDGERIDGE_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "generated/wire.h"

/** Free with g_byte_array_unref(). */
GByteArray *codec_encode(wire_msg *msg);

/** False unless the bytes are exactly one message; free with codec_free(). */
bool codec_decode(const void *bytes, size_t length, wire_msg *out);

/** wire_kind of an encoded message; 0 if shorter than the kind. */
uint32_t codec_kind(const void *bytes, size_t length);

/** Frees what codec_decode() allocated. */
void codec_free(wire_msg *msg);

/** The same for commands of the replicated log. */
GByteArray *codec_encode_command(wire_command *command);
bool codec_decode_command(const void *bytes, size_t length, wire_command *out);
void codec_free_command(wire_command *command);

/** The same for routing tables. */
GByteArray *codec_encode_table(wire_table *table);
bool codec_decode_table(const void *bytes, size_t length, wire_table *out);
void codec_free_table(wire_table *table);

/** The same for the state of the control role. */
GByteArray *codec_encode_state(wire_control_state *state);
bool codec_decode_state(const void *bytes, size_t length,
                        wire_control_state *out);
void codec_free_state(wire_control_state *state);

/** Deep copy; free with codec_free_epoch(). */
void codec_copy_epoch(const wire_epoch *from, wire_epoch *to);
void codec_free_epoch(wire_epoch *epoch);

#endif
