/**
 * @file request-internal.h
 * What the request-*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_REQUEST_INTERNAL_H
#define RIDGERIDGE_REQUEST_INTERNAL_H

#include "request.h"

/* What the replicas' answers add up to. */
enum claim_verdict {
    VERDICT_OPEN,     /* more answers are needed */
    VERDICT_OURS,     /* may run */
    VERDICT_HELD,     /* another coordinator holds the key */
    VERDICT_DONE,     /* the outcome was taken over */
    VERDICT_CONFLICT, /* other body */
    VERDICT_OLD_LOST, /* earlier replicas cannot be read any more */
};

/* request.c */
void request_end(struct request_core *core, uint64_t now,
                 struct request *request, wire_outcome_kind kind,
                 enum ring_rule rule, uint32_t retry_ms);
void request_ask_gate(struct request_core *core, uint64_t now,
                      struct request *request);
wire_msg *request_send(struct request_core *core, uint64_t peer);

/* request-epochs.c */
void request_expire_epochs(struct request_core *core, uint64_t now);

/* request-claim.c */
void request_start_claim(struct request_core *core, uint64_t now,
                         struct request *request);
void request_send_claims(struct request_core *core, struct request *request);
enum claim_verdict request_judge(const struct request_core *core,
                                 const struct request *request);
void request_act_on_claim(struct request_core *core, uint64_t now,
                          struct request *request);
void request_tick_claim(struct request_core *core, uint64_t now,
                        struct request *request);
void request_fill_claim(const struct request_core *core,
                        const struct request *request, wire_claim *out);
bool request_is_clean(const struct request_core *core,
                      const struct request *request);

#endif
