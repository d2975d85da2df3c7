/**
 * @file schema-scan.h
 * Checks of a JSON text that json-c does not make.
 */
#ifndef RIDGERIDGE_SCHEMA_SCAN_H
#define RIDGERIDGE_SCHEMA_SCAN_H

#include "schema.h"

/**
 * Rejects a text that is too large, empty, not UTF-8 or nested too deep, or
 * that has NUL bytes, single quotes, multi-line strings, or duplicate or
 * escaped keys.
 */
enum status_kind schema_scan(const char *source, const char *text,
                             size_t length, struct status *st);

#endif
