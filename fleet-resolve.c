/*
 * Upstreams that open flows name and this node does not know yet: it has just
 * begun, and its inventory is on the way. Nodes with a disk know them from
 * their last run, so those few are asked for at once, and the flows go on
 * while the rest arrives. What is asked for grows with the packets that wait,
 * not with the inventory.
 */
#include "fleet-internal.h"

#include "fault.h"
#include "hash.h"
#include "random.h"

/* One upstream is asked for only so often: the answer takes a few ms, and the
 * caller sends again after 200. */
#define AGAIN_MS 100U
/* What was asked for so long ago is forgotten: its packets have been dropped,
 * or sent on. */
#define FORGET_MS 1000U
/* Upstreams that are asked for within FORGET_MS, at most. */
#define SOUGHT_MOST 256U

/* Forgets what was asked for long ago. */
static void
forget_old(struct fleet *fleet, uint64_t now)
{
    GArray *sought = fleet->sought;

    for (guint i = sought->len; i > 0; i--) {
        if (now >=
            g_array_index(sought, struct fleet_sought, i - 1).at + FORGET_MS) {
            g_array_remove_index_fast(sought, i - 1);
        }
    }
}

/* An upstream that was asked for lately; NULL when it was not. */
static struct fleet_sought *
find_sought(const struct fleet *fleet, uint32_t token)
{
    for (guint i = 0; i < fleet->sought->len; i++) {
        struct fleet_sought *sought =
            &g_array_index(fleet->sought, struct fleet_sought, i);

        if (sought->token == token) {
            return sought;
        }
    }
    return NULL;
}

/* Asks for the upstream of an open flow, soon. */
void
fleet_resolve(struct fleet *fleet, uint64_t now, uint32_t token)
{
    struct fleet_sought entry = {.token = token, .at = now};
    struct fleet_sought *sought = find_sought(fleet, token);

    if (fault_is(FAULT_NO_RESOLVE)) {
        return;
    }
    if (sought == NULL) {
        forget_old(fleet, now);
        if (fleet->sought->len >= SOUGHT_MOST) {
            return;
        }
        g_array_append_val(fleet->sought, entry);
    }
    else if (now < sought->at + AGAIN_MS) {
        return;
    }
    else {
        sought->at = now;
    }
    g_array_append_val(fleet->asked_for, token);
}

/* A node with a disk, in this data hall if there is one; else a seed. */
static uint32_t
whom_to_ask(struct fleet *fleet)
{
    uint64_t seed = random_next(&fleet->random);
    uint64_t best_rank = 0;
    uint32_t best = 0;
    bool best_near = false;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wire_node *node = &((struct fleet_member *)value)->node;
        uint64_t rank = hash_pair(HASH_RANK, node->address, seed);
        bool near = node->hall == fleet->self.hall;

        if (node->identity != 0 && !node->stopping &&
            (best == 0 || (near && !best_near) ||
             (near == best_near && rank > best_rank))) {
            best = node->address;
            best_rank = rank;
            best_near = near;
        }
    }
    if (best == 0 && fleet->seed_count > 0) {
        best = fleet->seeds[seed % fleet->seed_count];
    }
    return best;
}

/* Says whether there is something to ask for. */
bool
fleet_resolves(const struct fleet *fleet)
{
    return fleet->asked_for->len > 0;
}

/* Asks for all that is needed since the last time. */
void
fleet_resolve_now(struct fleet *fleet)
{
    wire_msg msg = {.kind = WIRE_NEED};
    wire_need *need = &msg.wire_msg_u.need;

    if (!fleet_resolves(fleet)) {
        return;
    }
    need->node = fleet->self.address;
    need->tokens.tokens_val = (u_int *)(void *)fleet->asked_for->data;
    need->tokens.tokens_len = MIN(fleet->asked_for->len, WIRE_MARKS_MAX);
    fleet_send(fleet, whom_to_ask(fleet), &msg);
    g_array_set_size(fleet->asked_for, 0);
}
