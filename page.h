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
#include "settings.h"
#include "status.h"

/** A page of a role's HTTP. */
struct page_route {
    const char *method; /**< GET or POST */
    const char *prefix; /**< the path before `path`; NULL for none */
    const char *path;   /**< the path; NULL ends a table */
    int (*call)(const struct _u_request *request, struct _u_response *response,
                void *data); /**< answers */
};

/**
 * Opens HTTP at the address and http_port of the settings.
 * @param routes ends with a path of NULL, whose call takes all other paths
 * @param body_max bytes of a request's body
 * @return STATUS_IO with the remedy when it cannot listen
 */
enum status_kind page_open_http(struct _u_instance *http,
                                const struct settings *settings,
                                const struct page_route *routes,
                                size_t body_max, void *data,
                                struct status *st);

/** Answers with a JSON document, which is released. */
void page_json(struct _u_response *response, json_object *doc);

/** Answers with counters as Prometheus text. */
void page_counters(struct _u_response *response,
                   const struct counters *counters);

/** Writes processor time and greatest memory of this process as Prometheus
 * text; returns the bytes written. */
size_t page_print_process(char *out, size_t size);

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
