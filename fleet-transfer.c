/*
 * Rate-limited transfers of routing tables, inventories and member lists. Each
 * node has at most one transfer of each item queued, however many hellos
 * request it. The rate limit keeps consensus, hellos and callers' packets from
 * queuing behind transfers. A quorum whose messages wait behind transfers
 * loses its leader, and the nodes that then look for one request still more.
 */
#include "fleet-internal.h"

#include "fault.h"

static struct fleet_transfer *
find_or_add_transfer(struct fleet *fleet, uint32_t to)
{
    struct fleet_transfer none = {.to = to};

    for (guint i = 0; i < fleet->transfers->len; i++) {
        struct fleet_transfer *transfer =
            &g_array_index(fleet->transfers, struct fleet_transfer, i);

        if (transfer->to == to) {
            return transfer;
        }
    }
    g_array_append_val(fleet->transfers, none);
    return &g_array_index(fleet->transfers, struct fleet_transfer,
                          fleet->transfers->len - 1);
}

void
fleet_transfer_enqueue(struct fleet *fleet, uint32_t to,
                       enum fleet_transfer_item items, bool starting)
{
    struct fleet_transfer *transfer = find_or_add_transfer(fleet, to);

    transfer->items |= (unsigned)items;
    transfer->starting = transfer->starting || starting;
}

/* Members with a disk receive the table by consensus. */
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
            member->table_version < fleet->routes.bundle_version) {
            fleet_transfer_enqueue(fleet, member->node.address,
                                   FLEET_TRANSFER_TABLE, false);
        }
    }
}

/* Skips a receiver that has the table by now. */
static void
send_table(struct fleet *fleet, const struct fleet_member *member)
{
    wire_msg msg = {.kind = WIRE_TABLE, .wire_msg_u.table = fleet->routes};

    if (member->table_version < fleet->routes.bundle_version) {
        fleet_send(fleet, member->node.address, &msg);
    }
}

static void
send_transfer(struct fleet *fleet, uint64_t now,
              const struct fleet_transfer *transfer)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(transfer->to));

    if (member == NULL) {
        return;
    }
    if (transfer->items & FLEET_TRANSFER_TABLE) {
        send_table(fleet, member);
    }
    if (transfer->items & FLEET_TRANSFER_MEMBERS) {
        fleet_send_members(fleet, transfer->to);
    }
    if (transfer->items & FLEET_TRANSFER_UPSTREAMS) {
        fleet_send_differences(fleet, now, transfer->to,
                               member->bucket_digests);
    }
}

/* Serves tables of starting nodes first, since a node without one forwards no
 * packet, then starting nodes, then the others; each in queue order. */
static guint
next_transfer(const struct fleet *fleet)
{
    guint first_starting = 0;
    bool any_starting = false;

    for (guint i = 0; i < fleet->transfers->len; i++) {
        const struct fleet_transfer *transfer =
            &g_array_index(fleet->transfers, struct fleet_transfer, i);

        if (transfer->starting &&
            (transfer->items & FLEET_TRANSFER_TABLE) != 0) {
            return i;
        }
        if (transfer->starting && !any_starting) {
            first_starting = i;
            any_starting = true;
        }
    }
    return first_starting;
}

/* Removes the next transfer. The table of a starting node is split off and
 * sent ahead of its other items. */
static struct fleet_transfer
dequeue(struct fleet *fleet)
{
    guint index = next_transfer(fleet);
    struct fleet_transfer *next =
        &g_array_index(fleet->transfers, struct fleet_transfer, index);
    struct fleet_transfer dequeued = *next;

    if (next->starting && (next->items & FLEET_TRANSFER_TABLE) != 0 &&
        next->items != FLEET_TRANSFER_TABLE) {
        dequeued.items = FLEET_TRANSFER_TABLE;
        next->items &= ~(unsigned)FLEET_TRANSFER_TABLE;
    }
    else {
        g_array_remove_index(fleet->transfers, index);
    }
    return dequeued;
}

void
fleet_transfer_send(struct fleet *fleet, uint64_t now)
{
    while (fleet->transfers->len > 0 && now >= fleet->transfer_at) {
        struct fleet_transfer transfer = dequeue(fleet);
        uint64_t before = fleet->bytes_sent;

        send_transfer(fleet, now, &transfer);
        fleet_charge_bulk(fleet, now, fleet->bytes_sent - before);
    }
}

/* Delays the next transfer by the link time of `bytes`. */
void
fleet_charge_bulk(struct fleet *fleet, uint64_t now, uint64_t bytes)
{
    if (fleet->bulk_bytes_per_ms == 0 || fault_is(FAULT_NO_TRANSFER_PACING)) {
        return;
    }
    fleet->bulk_bytes += bytes;
    fleet->transfer_at = MAX(fleet->transfer_at, now) +
                         fleet->bulk_bytes / fleet->bulk_bytes_per_ms;
    fleet->bulk_bytes %= fleet->bulk_bytes_per_ms;
}

/* A starting node uses sync requests instead. */
void
fleet_request_newer_table(struct fleet *fleet, uint64_t now,
                          const wire_hello *hello)
{
    wire_msg msg = {.kind = WIRE_TABLE_ASK};

    if (!fleet->settled || hello->routes <= fleet->routes.bundle_version) {
        return;
    }
    if (fleet->highest_seen_version <= fleet->routes.bundle_version) {
        fleet->request_table_at = now + FLEET_TABLE_WAIT_MS;
    }
    fleet->highest_seen_version =
        MAX(fleet->highest_seen_version, hello->routes);
    if (now < fleet->request_table_at) {
        return;
    }
    fleet->request_table_at = now + FLEET_TABLE_RETRY_MS;
    msg.wire_msg_u.table_ask.node = fleet->self.address;
    msg.wire_msg_u.table_ask.routes = fleet->routes.bundle_version;
    fleet_send(fleet, hello->self.address, &msg);
}

void
fleet_handle_table_ask(struct fleet *fleet, const wire_table_ask *ask)
{
    if (ask->routes < fleet->routes.bundle_version) {
        fleet_transfer_enqueue(fleet, ask->node, FLEET_TRANSFER_TABLE, false);
    }
}
