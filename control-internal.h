/**
 * @file control-internal.h
 * Functions shared by control-core.c, control-entries.c and
 * control-rollout.c.
 */
#ifndef RIDGERIDGE_CONTROL_INTERNAL_H
#define RIDGERIDGE_CONTROL_INTERNAL_H

#include "control-core.h"

/* control-core.c */
void control_move_cons_actions(struct control_core *core);
void control_send(struct control_core *core, const wire_member *member,
                  wire_msg *msg);
void control_load_snapshot(struct control_core *core);

/* control-entries.c */
void control_handle_report(struct control_core *core, uint64_t now,
                           const wire_report *report);
void control_handle_fetch(struct control_core *core, uint64_t now,
                          const wire_fetch *fetch);
void control_announce_state(struct control_core *core);
void control_clear_entries(struct control_core *core);
void control_grant_leases(struct control_core *core);
struct control_entry *control_find_entry(const struct control_core *core,
                                         uint64_t id);

/* control-rollout.c */
void control_run_leader(struct control_core *core, uint64_t now);
uint64_t control_propose_voters(struct control_core *core, uint64_t now,
                                uint32_t replica, uint64_t identity);

#endif
