/**
 * @file entry-internal.h
 * Functions shared by the files of the entry core: entry-core.c,
 * entry-lease.c, entry-gates.c, entry-records.c, entry-handover.c.
 */
#ifndef RIDGERIDGE_ENTRY_INTERNAL_H
#define RIDGERIDGE_ENTRY_INTERNAL_H

#include "entry-core.h"

/* entry-core.c */
void entry_send_peer(struct entry_core *core, uint64_t id, wire_msg *msg);
void entry_send_control(struct entry_core *core, uint32_t replica,
                        wire_msg *msg);

/* entry-lease.c */
void entry_tick_lease(struct entry_core *core, uint64_t now);
void entry_handle_lease(struct entry_core *core, uint64_t now,
                        const wire_lease *lease);
void entry_handle_bundle(struct entry_core *core, uint64_t now,
                         const wire_bundle *bundle);
void entry_handle_epochs(struct entry_core *core, uint64_t now,
                         const wire_epochs *epochs);
bool entry_apply_bundle(struct entry_core *core, uint64_t now,
                        const char *text, const char *prev_text,
                        uint32_t step);
void entry_set_min_version(struct entry_core *core, const char *saved_text);

/* entry-gates.c */
void entry_handle_slot_ask(struct entry_core *core, uint64_t now,
                           const wire_slot_ask *ask);
void entry_handle_slot_done(struct entry_core *core, uint64_t now,
                            const wire_slot_done *done);
void entry_tick_gates(struct entry_core *core, uint64_t now);
void entry_update_gates(struct entry_core *core, uint64_t now);

/* entry-records.c */
void entry_tick_records(struct entry_core *core, uint64_t now);
void entry_handle_records(struct entry_core *core, uint64_t now,
                          const wire_records *records);
void entry_handle_records_ack(struct entry_core *core,
                              const wire_records_ack *ack);
bool entry_records_confirmed(const struct entry_core *core);
void entry_free_batches(struct entry_core *core);

/* entry-handover.c */
void entry_tick_handover(struct entry_core *core, uint64_t now);
void entry_handle_handover(struct entry_core *core, uint64_t wall,
                           const wire_handover *handover);
void entry_handle_handover_ack(struct entry_core *core,
                               const wire_handover_ack *ack);
bool entry_handover_is_done(const struct entry_core *core);
void entry_free_handovers(struct entry_core *core);

#endif
