/*
 * What a node owes others that is large: the routing table, the inventory and
 * the list of members. Each node is owed each of them once, whatever its
 * hellos say meanwhile, since a copy may be on its way or being read. Copies
 * leave in turn and take a share of the link, so that rounds of consensus,
 * hellos and callers' packets do not wait behind them; a quorum that waits
 * behind copies loses its leader, and all who then look for one ask for more.
 */
#include "fleet-internal.h"

#include "fault.h"

/* The place of a node among those that are owed something; a new one at the
 * end, without anything yet, when it has none. */
static struct fleet_owed *
owed_to(struct fleet *fleet, uint32_t to)
{
    struct fleet_owed none = {.to = to};

    for (guint i = 0; i < fleet->owed->len; i++) {
        struct fleet_owed *owed =
            &g_array_index(fleet->owed, struct fleet_owed, i);

        if (owed->to == to) {
            return owed;
        }
    }
    g_array_append_val(fleet->owed, none);
    return &g_array_index(fleet->owed, struct fleet_owed,
                          fleet->owed->len - 1);
}

/* A node is owed something; one that begins is before the others. */
void
fleet_owe(struct fleet *fleet, uint32_t to, enum fleet_bulk what, bool begins)
{
    struct fleet_owed *owed = owed_to(fleet, to);

    owed->what |= (unsigned)what;
    owed->begins = owed->begins || begins;
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
            fleet_owe(fleet, member->node.address, FLEET_OWE_TABLE, false);
        }
    }
}

/* Sends the table, unless the node has shown it since. */
static void
pay_table(struct fleet *fleet, const struct fleet_member *member)
{
    wire_msg msg = {.kind = WIRE_TABLE, .wire_msg_u.table = fleet->routes};

    if (member->routes < fleet->routes.bundle_version) {
        fleet_send(fleet, member->node.address, &msg);
    }
}

/* Sends what one node is owed, as far as its last hello shows that it still
 * lacks it. */
static void
pay_one(struct fleet *fleet, uint64_t now, const struct fleet_owed *owed)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(owed->to));

    if (member == NULL) {
        return;
    }
    if (owed->what & FLEET_OWE_TABLE) {
        pay_table(fleet, member);
    }
    if (owed->what & FLEET_OWE_MEMBERS) {
        fleet_send_members(fleet, owed->to);
    }
    if (owed->what & FLEET_OWE_UPSTREAMS) {
        fleet_send_differing(fleet, now, owed->to, member->upstreams);
    }
}

/* Finds who is paid next: the table of a node that begins is a hundredth of an
 * inventory, and no first packet is placed without it; then all of those that
 * begin; then others. Who waits longest is first. */
static guint
next_owed(const struct fleet *fleet)
{
    guint first_begins = 0;
    bool any_begins = false;

    for (guint i = 0; i < fleet->owed->len; i++) {
        const struct fleet_owed *owed =
            &g_array_index(fleet->owed, struct fleet_owed, i);

        if (owed->begins && (owed->what & FLEET_OWE_TABLE) != 0) {
            return i;
        }
        if (owed->begins && !any_begins) {
            first_begins = i;
            any_begins = true;
        }
    }
    return first_begins;
}

/* Takes what is paid next: the table alone, or all that a node is owed. */
static struct fleet_owed
take_owed(struct fleet *fleet)
{
    guint place = next_owed(fleet);
    struct fleet_owed *next =
        &g_array_index(fleet->owed, struct fleet_owed, place);
    struct fleet_owed taken = *next;

    if (next->begins && (next->what & FLEET_OWE_TABLE) != 0 &&
        next->what != FLEET_OWE_TABLE) {
        taken.what = FLEET_OWE_TABLE;
        next->what &= ~(unsigned)FLEET_OWE_TABLE;
    }
    else {
        g_array_remove_index(fleet->owed, place);
    }
    return taken;
}

/* Sends the copies that the link has room for. */
void
fleet_pay(struct fleet *fleet, uint64_t now)
{
    while (fleet->owed->len > 0 && now >= fleet->pay_at) {
        struct fleet_owed owed = take_owed(fleet);
        uint64_t before = fleet->bytes_sent;

        pay_one(fleet, now, &owed);
        fleet_note_bulk(fleet, now, fleet->bytes_sent - before);
    }
}

/* Counts bytes of copies: the next one may leave once the link had time for
 * them. */
void
fleet_note_bulk(struct fleet *fleet, uint64_t now, uint64_t bytes)
{
    if (fleet->bulk_bytes_ms == 0 || fault_is(FAULT_NO_PACE)) {
        return;
    }
    fleet->bulk_bytes += bytes;
    fleet->pay_at =
        MAX(fleet->pay_at, now) + fleet->bulk_bytes / fleet->bulk_bytes_ms;
    fleet->bulk_bytes %= fleet->bulk_bytes_ms;
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
        fleet_owe(fleet, ask->node, FLEET_OWE_TABLE, false);
    }
}
