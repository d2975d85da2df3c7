/**
 * @file page.h
 * What the operators' HTTP of both roles shares: JSON and counters as pages,
 * and the values that JSON objects hold.
 */
#ifndef RIDGERIDGE_PAGE_H
#define RIDGERIDGE_PAGE_H

#include <json-c/json.h>
#include <stdint.h>
#include <ulfius.h>

#include "counter.h"

/** Answers with a JSON document, which is released. */
void page_json(struct _u_response *response, json_object *doc);

/** Answers with counters as Prometheus text. */
void page_counters(struct _u_response *response,
                   const struct counters *counters);

/** Adds a number to an object. */
void page_add_number(json_object *doc, const char *key, uint64_t value);

/** Adds a string to an object. */
void page_add_text(json_object *doc, const char *key, const char *value);

/** Adds a number as 16 hex digits. */
void page_add_hex(json_object *doc, const char *key, uint64_t value);

/** Adds an address and port. */
void page_add_endpoint(json_object *doc, const char *key, uint32_t address,
                       uint16_t port);

/** Adds yes or no. */
void page_add_bool(json_object *doc, const char *key, int value);

#endif
