/**
 * @file codec.h
 * Messages, log commands and stored state to bytes and back, by the XDR code
 * generated from generated/wire.x. Decoding never trusts a length.
 */
#ifndef RIDGERIDGE_CODEC_H
#define RIDGERIDGE_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "generated/wire.h"

/** Encodes a message; free the array with g_byte_array_unref(). */
GByteArray *codec_encode(wire_msg *msg);

/** Decodes a message, all bytes or none; free with codec_free(). */
bool codec_decode(const void *bytes, size_t length, wire_msg *out);

/** Kind of an encoded message; 0 when there is none. */
uint32_t codec_kind(const void *bytes, size_t length);

/** Frees what codec_decode() allocated. */
void codec_free(wire_msg *msg);

/** The same for commands of the log. */
GByteArray *codec_encode_command(wire_command *command);
bool codec_decode_command(const void *bytes, size_t length, wire_command *out);
void codec_free_command(wire_command *command);

/** The same for routing tables between nodes. */
GByteArray *codec_encode_table(wire_table *table);
bool codec_decode_table(const void *bytes, size_t length, wire_table *out);
void codec_free_table(wire_table *table);

/** The same for the state of control. */
GByteArray *codec_encode_state(wire_control_state *state);
bool codec_decode_state(const void *bytes, size_t length,
                        wire_control_state *out);
void codec_free_state(wire_control_state *state);

/** A deep copy through the codec. */
void codec_copy_epoch(const wire_epoch *from, wire_epoch *to);
void codec_free_epoch(wire_epoch *epoch);

#endif
