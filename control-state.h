/**
 * @file control-state.h
 * The control plane's replicated state machine: bundle and rollout step,
 * pending bundle, outcomes of submissions, epochs and retired voters. It is a
 * pure function of the log and so the same on every replica.
 */
#ifndef RIDGERIDGE_CONTROL_STATE_H
#define RIDGERIDGE_CONTROL_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "generated/wire.h"
#include "status.h"

/** Initializes an empty state. */
void control_state_open(wire_control_state *state);

/** Frees a state. */
void control_state_close(wire_control_state *state);

/** Applies the committed command at log index `index`. */
void control_state_apply(wire_control_state *state, uint64_t index,
                         const wire_command *command);

/** Time before an endpoint that a bundle dropped may join another service.
 * Longer than an entry without a lease keeps forwarding its flows
 * (FLOW_STALE_MS). */
#define CONTROL_COOLDOWN_MS 7500000U

/**
 * Checks a bundle against the current one and the endpoints in cooldown.
 * @param wall ms since 1970
 * @return STATUS_REFUSED, with the remedy, if it would misdeliver or break
 * flows
 */
enum status_kind control_state_check_bundle(const wire_control_state *state,
                                            uint64_t wall,
                                            const struct bundle *next,
                                            struct status *st);

/** Finds the outcome of a submission id; NULL if there is none. */
const wire_submission *
control_state_find_outcome(const wire_control_state *state,
                           const char *submission);

/** Returns the current epoch; NULL before the first. */
const wire_epoch *control_state_epoch(const wire_control_state *state);

/** True if an identity was removed from the voters permanently. */
bool control_state_is_retired(const wire_control_state *state,
                              uint64_t identity);

#endif
