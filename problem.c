/* Error responses as problem documents. */
#include "problem.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "library.h"

#define TYPE_PREFIX "urn:ridgeridge:problem:"

void
problem_fill(struct _u_response *response, unsigned status, const char *type,
             const char *detail, const char *outcome, uint32_t retry_ms)
{
    json_object *doc = json_object_new_object();
    char name[96];
    char seconds[16];
    const char *text;

    (void)snprintf(name, sizeof(name), TYPE_PREFIX "%s", type);
    json_object_object_add(doc, "type", json_object_new_string(name));
    json_object_object_add(doc, "title", json_object_new_string(type));
    json_object_object_add(doc, "status", json_object_new_int((int)status));
    json_object_object_add(doc, "detail", json_object_new_string(detail));
    if (outcome != NULL) {
        json_object_object_add(doc, "outcome",
                               json_object_new_string(outcome));
    }
    if (retry_ms > 0) {
        json_object_object_add(doc, "retry_after_ms",
                               json_object_new_int64(retry_ms));
        (void)snprintf(seconds, sizeof(seconds), "%u",
                       (retry_ms + 999) / 1000);
        (void)library_ulfius.map_put(response->map_header, "Retry-After",
                                     seconds);
    }
    text = json_object_to_json_string(doc);
    (void)library_ulfius.set_body(response, status, text, strlen(text));
    (void)library_ulfius.map_put(response->map_header, "Content-Type",
                                 "application/problem+json");
    json_object_put(doc);
}

void
problem_from_status(struct _u_response *response, const struct status *st)
{
    static const unsigned codes[] = {
        [STATUS_OK] = 200,        [STATUS_BAD_INPUT] = 400,
        [STATUS_REFUSED] = 403,   [STATUS_CONFLICT] = 409,
        [STATUS_NO_ANSWER] = 503, [STATUS_UNCONFIRMED] = 504,
        [STATUS_IO] = 500,        [STATUS_DAMAGED] = 500,
    };

    problem_fill(response, codes[st->kind], status_name(st->kind), st->message,
                 NULL, st->kind == STATUS_NO_ANSWER ? 1000 : 0);
}
