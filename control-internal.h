/**
 * @file control-internal.h
 * What the control-*.c files of the core share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_CONTROL_INTERNAL_H
#define RIDGERIDGE_CONTROL_INTERNAL_H

#include "control-core.h"

/* control-core.c */
void control_take_cons(struct control_core *core);
wire_msg *control_send(struct control_core *core, const wire_member *member);
void control_load_snapshot(struct control_core *core);

/* control-entries.c */
void control_take_report(struct control_core *core, uint64_t now,
                         const wire_report *report);
void control_take_fetch(struct control_core *core, uint64_t now,
                        const wire_fetch *fetch);
void control_announce(struct control_core *core);
void control_forget_entries(struct control_core *core);
void control_grant_leases(struct control_core *core);
struct control_entry *control_find_entry(const struct control_core *core,
                                         uint64_t id);

/* control-rollout.c */
void control_lead(struct control_core *core, uint64_t now);
uint64_t control_change_voters(struct control_core *core, uint64_t now,
                               uint32_t replica, uint64_t identity);

#endif
