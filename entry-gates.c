/* The gates that an entry runs: for each service that it ranks first for, or
 * stands in for while the first is silent. */
#include <string.h>

#include "entry-internal.h"
#include "hash.h"

/* Says whether this entry gates a service, or may stand in for its gate. */
static bool
is_gate(const struct entry_core *core, uint64_t service)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t count = member_keepers(&core->active, service, MEMBER_KEEPERS, set);

    for (size_t i = 0; i < count; i++) {
        if (set[i]->id == core->self.id) {
            return true;
        }
    }
    return false;
}

/* Finds a request service by the hash of its name. */
static const struct bundle_service *
find_service(const struct entry_core *core, uint64_t service)
{
    for (size_t i = 0; i < core->bundle.service_count; i++) {
        const struct bundle_service *s = &core->bundle.services[i];

        if (s->kind == BUNDLE_REQUEST && hash_name(s->name) == service) {
            return s;
        }
    }
    return NULL;
}

/* Finds the gate of a service, and starts it when it is this entry's. */
static struct gate *
find_gate(struct entry_core *core, uint64_t now, uint64_t service)
{
    struct gate *gate = g_hash_table_lookup(core->gates, &service);
    const struct bundle_service *s = find_service(core, service);

    if (gate != NULL || s == NULL || !is_gate(core, service)) {
        return gate;
    }
    gate = gate_new(service, now);
    gate_set_upstreams(gate, now, s);
    g_hash_table_insert(core->gates, g_memdup2(&service, sizeof(service)),
                        gate);
    return gate;
}

/* Sends what a gate decided. */
static void
send_answers(struct entry_core *core, struct gate *gate)
{
    for (guint i = 0; i < gate->replies->len; i++) {
        const struct gate_reply *a =
            &g_array_index(gate->replies, struct gate_reply, i);
        wire_msg msg = {.kind = WIRE_SLOT_REFUSE};

        if (a->granted) {
            msg.kind = WIRE_SLOT_GRANT;
            msg.wire_msg_u.slot_grant.token = a->token;
            msg.wire_msg_u.slot_grant.gate = core->self.id;
            msg.wire_msg_u.slot_grant.address = a->address;
            msg.wire_msg_u.slot_grant.port = a->port;
        }
        else if (a->waiting) {
            msg.kind = WIRE_SLOT_WAIT;
            msg.wire_msg_u.slot_wait.token = a->token;
        }
        else {
            msg.wire_msg_u.slot_refuse.token = a->token;
            msg.wire_msg_u.slot_refuse.reason = a->rule;
            msg.wire_msg_u.slot_refuse.retry_ms = a->retry_ms;
        }
        entry_send_peer(core, a->entry, &msg);
    }
    g_array_set_size(gate->replies, 0);
}

/* Takes a question; one that is for another gate is left unanswered, and
 * the coordinator asks again once it knows the epoch. */
void
entry_take_slot_ask(struct entry_core *core, uint64_t now,
                    const wire_slot_ask *ask)
{
    struct gate *gate = find_gate(core, now, ask->service);

    if (gate != NULL) {
        gate_acquire(gate, now, ask);
        send_answers(core, gate);
    }
}

/* Takes a slot back. */
void
entry_take_slot_done(struct entry_core *core, uint64_t now,
                     const wire_slot_done *done)
{
    GHashTableIter iter;
    gpointer value;

    /* A slot that was never used does not name its service. */
    g_hash_table_iter_init(&iter, core->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate *gate = value;

        if (done->service == 0 || done->service == gate->service) {
            gate_release(gate, now, done);
            send_answers(core, gate);
        }
    }
}

/* Lets time pass for all gates. */
void
entry_tick_gates(struct entry_core *core, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        gate_tick(value, now);
        send_answers(core, value);
    }
}

/* Says whether an entry id is a member, stopping or not. */
static void
drop_missing(struct entry_core *core, struct gate *gate)
{
    GHashTableIter iter;
    gpointer value;
    GArray *gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    g_hash_table_iter_init(&iter, gate->held_slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gate_slot *hold = value;

        if (member_find(&core->all, hold->entry) == NULL) {
            g_array_append_val(gone, hold->entry);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        gate_drop_entry(gate, g_array_index(gone, uint64_t, i));
    }
    g_array_free(gone, TRUE);
}

/* Follows a new bundle or epoch. */
void
entry_update_gates(struct entry_core *core, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate *gate = value;
        const struct bundle_service *s = find_service(core, gate->service);

        if (s == NULL || !is_gate(core, gate->service)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        gate_set_upstreams(gate, now, s);
        drop_missing(core, gate);
    }
}
