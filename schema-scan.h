/**
 * @file schema-scan.h
 * Checks of a document's raw text, before it is parsed.
 */
#ifndef RIDGERIDGE_SCHEMA_SCAN_H
#define RIDGERIDGE_SCHEMA_SCAN_H

#include "schema.h"

/**
 * Refuses a text that is too large, not UTF-8, empty, nested too deep, or
 * has a key twice in one object.
 */
enum status_kind schema_scan(const char *source, const char *text,
                             size_t length, struct status *st);

#endif
