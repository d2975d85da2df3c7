/**
 * @file request-internal.h
 * Private to the request*.c files.
 */
#ifndef RIDGERIDGE_REQUEST_INTERNAL_H
#define RIDGERIDGE_REQUEST_INTERNAL_H

#include "request.h"

/* Result of a key's claim at its replicas. */
enum claim_verdict {
    VERDICT_PENDING,       /* more replies are needed */
    VERDICT_GRANTED,       /* the request may run */
    VERDICT_HELD,          /* another coordinator holds the key */
    VERDICT_DONE,          /* the key has an outcome */
    VERDICT_CONFLICT,      /* the key was used for another request body */
    VERDICT_REPLICAS_LOST, /* an earlier epoch's majority is unreachable */
};

/* request.c */
void request_end(struct request_core *core, uint64_t now,
                 struct request *request, wire_outcome_kind kind,
                 enum ring_rule rule, uint32_t retry_ms);
void request_acquire_slot(struct request_core *core, uint64_t now,
                          struct request *request);
wire_msg *request_send(struct request_core *core, uint64_t peer);

/* request-epochs.c */
void request_expire_epochs(struct request_core *core, uint64_t now);

/* request-claim.c */
void request_start_claim(struct request_core *core, uint64_t now,
                         struct request *request);
void request_send_claims(struct request_core *core, struct request *request);
enum claim_verdict request_evaluate_claim(const struct request_core *core,
                                          const struct request *request);
void request_advance_claim(struct request_core *core, uint64_t now,
                           struct request *request);
void request_tick_claim(struct request_core *core, uint64_t now,
                        struct request *request);
void request_fill_claim(const struct request_core *core,
                        const struct request *request, wire_claim *out);
bool request_never_ran(const struct request_core *core,
                       const struct request *request);

#endif
