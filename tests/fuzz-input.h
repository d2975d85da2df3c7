/**
 * @file fuzz-input.h
 * The fuzzing target, so that the tests can read its corpus.
 */
#ifndef RIDGERIDGE_FUZZ_INPUT_H
#define RIDGERIDGE_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>

/** Reads one input; the first byte picks the reader. Always 0. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

#endif
