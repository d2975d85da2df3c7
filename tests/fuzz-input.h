/**
 * @file fuzz-input.h
 * libFuzzer target for the parsers of untrusted input, also used by tests.
 */
#ifndef RIDGERIDGE_FUZZ_INPUT_H
#define RIDGERIDGE_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>

/** Parses an input, whose first byte selects the parser. Returns 0. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

#endif
