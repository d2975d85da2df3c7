/**
 * @file problem.h
 * Refusals over HTTP: application/problem+json (RFC 9457) with a typed kind,
 * an `outcome` and, where it helps, Retry-After (RFC 9110, 10.2.3).
 */
#ifndef RIDGERIDGE_PROBLEM_H
#define RIDGERIDGE_PROBLEM_H

#include <stdint.h>
#include <ulfius.h>

#include "status.h"

/** Fills a response with a problem. `outcome` may be NULL. */
void problem_fill(struct _u_response *response, unsigned status,
                  const char *type, const char *detail, const char *outcome,
                  uint32_t retry_ms);

/** Fills a response from a status. */
void problem_from_status(struct _u_response *response,
                         const struct status *st);

#endif
