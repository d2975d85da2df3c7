/**
 * @file page.h
 * HTTP server of the entry and control roles (libulfius): endpoints, JSON and
 * Prometheus responses, and typed members of JSON objects.
 */
#ifndef RIDGERIDGE_PAGE_H
#define RIDGERIDGE_PAGE_H

#include <json-c/json.h>
#include <stdint.h>
#include <ulfius.h>

#include "counter.h"
#include "settings.h"
#include "status.h"

/** An HTTP endpoint. */
struct page_route {
    const char *method; /**< GET or POST */
    const char *prefix; /**< path prefix; NULL: none */
    const char *path;   /**< path after the prefix; NULL ends a table */
    int (*handler)(const struct _u_request *request,
                   struct _u_response *response, void *data);
};

/**
 * Starts the HTTP server at the address and http_port of the settings.
 * @param routes ends with a NULL path, whose handler gets all other paths
 * @param body_max limit of a request's body, in bytes
 * @return STATUS_IO when the port is in use
 */
enum status_kind page_start_http(struct _u_instance *http,
                                 const struct settings *settings,
                                 const struct page_route *routes,
                                 size_t body_max, void *data,
                                 struct status *st);

/** Sets a JSON response and releases `doc`. */
void page_send_json(struct _u_response *response, json_object *doc);

/** Sets a Prometheus text response with counters and process metrics. */
void page_send_metrics(struct _u_response *response,
                       const struct counters *counters);

/** Writes CPU time and peak resident memory in Prometheus text format; returns
 * the bytes written. */
size_t page_print_process_metrics(char *out, size_t size);

void page_add_number(json_object *doc, const char *key, uint64_t value);

void page_add_text(json_object *doc, const char *key, const char *value);

/** Adds a string of 16 hex digits. */
void page_add_hex(json_object *doc, const char *key, uint64_t value);

/** Adds a string "address:port". @param address IPv4, host order */
void page_add_endpoint(json_object *doc, const char *key, uint32_t address,
                       uint16_t port);

void page_add_bool(json_object *doc, const char *key, int value);

#endif
