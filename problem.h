/**
 * @file problem.h
 * HTTP error responses as application/problem+json (RFC 9457) with the members
 * `type`, `outcome` and `retry_after_ms`, and the field Retry-After (RFC 9110,
 * 10.2.3).
 */
#ifndef RIDGERIDGE_PROBLEM_H
#define RIDGERIDGE_PROBLEM_H

#include <stdint.h>
#include <ulfius.h>

#include "status.h"

/**
 * Fills an error response.
 * @param status HTTP status code
 * @param type last part of the type URN, also the title
 * @param outcome NULL: left out
 * @param retry_ms 0: no Retry-After
 */
void problem_fill(struct _u_response *response, unsigned status,
                  const char *type, const char *detail, const char *outcome,
                  uint32_t retry_ms);

/** Fills an error response from a status; its kind selects the HTTP code. */
void problem_from_status(struct _u_response *response,
                         const struct status *st);

#endif
