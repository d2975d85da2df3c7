/*
 * The gates of an entry. The entries of a service are ranked by rendezvous
 * hashing (Thaler and Ravishankar, 1998); the first runs the gate, the next
 * ones are backups.
 */
#include <string.h>

#include "entry-internal.h"
#include "hash.h"

/* True for the gate of a service and for its backups. */
static bool
may_gate(const struct entry_core *core, uint64_t service)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t count =
        member_keepers(&core->active_members, service, MEMBER_KEEPERS, set);

    for (size_t i = 0; i < count; i++) {
        if (set[i]->id == core->self.id) {
            return true;
        }
    }
    return false;
}

static const struct bundle_service *
find_request_service(const struct entry_core *core, uint64_t service)
{
    for (size_t i = 0; i < core->bundle.service_count; i++) {
        const struct bundle_service *s = &core->bundle.services[i];

        if (s->kind == BUNDLE_REQUEST && hash_name(s->name) == service) {
            return s;
        }
    }
    return NULL;
}

/* Creates the gate on first use; NULL when this entry may not run it. */
static struct gate *
get_gate(struct entry_core *core, uint64_t now, uint64_t service)
{
    struct gate *gate = g_hash_table_lookup(core->gates, &service);
    const struct bundle_service *s = find_request_service(core, service);

    if (gate != NULL || s == NULL || !may_gate(core, service)) {
        return gate;
    }
    gate = gate_new(service, now);
    gate_set_upstreams(gate, now, s);
    g_hash_table_insert(core->gates, g_memdup2(&service, sizeof(service)),
                        gate);
    return gate;
}

static void
send_replies(struct entry_core *core, struct gate *gate)
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

/* Ignores a request for another entry's gate; the coordinator resends it to
 * the right one after the next epoch. */
void
entry_handle_slot_ask(struct entry_core *core, uint64_t now,
                      const wire_slot_ask *ask)
{
    struct gate *gate = get_gate(core, now, ask->service);

    if (gate != NULL) {
        gate_acquire(gate, now, ask);
        send_replies(core, gate);
    }
}

void
entry_handle_slot_done(struct entry_core *core, uint64_t now,
                       const wire_slot_done *done)
{
    GHashTableIter iter;
    gpointer value;

    /* An unused slot is released without its service. */
    g_hash_table_iter_init(&iter, core->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate *gate = value;

        if (done->service == 0 || done->service == gate->service) {
            gate_release(gate, now, done);
            send_replies(core, gate);
        }
    }
}

void
entry_tick_gates(struct entry_core *core, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        gate_tick(value, now);
        send_replies(core, value);
    }
}

/* Frees the slots held by entries that left the epoch. */
static void
release_absent_entries(struct entry_core *core, struct gate *gate)
{
    GHashTableIter iter;
    gpointer value;
    GArray *absent = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    g_hash_table_iter_init(&iter, gate->held_slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gate_slot *slot = value;

        if (member_find(&core->members, slot->entry) == NULL) {
            g_array_append_val(absent, slot->entry);
        }
    }
    for (guint i = 0; i < absent->len; i++) {
        gate_drop_entry(gate, g_array_index(absent, uint64_t, i));
    }
    g_array_free(absent, TRUE);
}

/* Applies a new bundle or epoch: closes, updates and cleans up gates. */
void
entry_update_gates(struct entry_core *core, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate *gate = value;
        const struct bundle_service *s =
            find_request_service(core, gate->service);

        if (s == NULL || !may_gate(core, gate->service)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        gate_set_upstreams(gate, now, s);
        release_absent_entries(core, gate);
    }
}
