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

/* An upstream is asked for again, of another node, after so long: the answer
 * takes a few ms, and packets that wait are dropped after 500. */
#define AGAIN_MS 100U
/* So many times; then nobody knows it, or its packets have been dropped. */
#define ASKED_TIMES 4U
/* Upstreams that are asked for at a time, at most. */
#define SOUGHT_MOST 256U

/* Says whether an upstream is asked for now. */
static bool
is_sought(const struct fleet *fleet, uint32_t token)
{
    for (guint i = 0; i < fleet->sought->len; i++) {
        if (g_array_index(fleet->sought, struct fleet_sought, i).token ==
            token) {
            return true;
        }
    }
    return false;
}

/* Asks for the upstream of an open flow, soon. */
void
fleet_resolve(struct fleet *fleet, uint64_t now, uint32_t token)
{
    struct fleet_sought sought = {.token = token, .at = now};

    if (!is_sought(fleet, token) && fleet->sought->len < SOUGHT_MOST &&
        !fault_is(FAULT_NO_RESOLVE)) {
        g_array_append_val(fleet->sought, sought);
    }
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

/* When something is to be asked for, again or for the first time. */
uint64_t
fleet_resolve_due(const struct fleet *fleet)
{
    uint64_t at = UINT64_MAX;

    for (guint i = 0; i < fleet->sought->len; i++) {
        at = MIN(at, g_array_index(fleet->sought, struct fleet_sought, i).at);
    }
    return at;
}

/* Lists what is to be asked for now; what came meanwhile, or never comes, is
 * sought no more. */
static void
list_due(struct fleet *fleet, uint64_t now, GArray *tokens)
{
    GArray *all = fleet->sought;

    for (guint i = all->len; i > 0; i--) {
        struct fleet_sought *sought =
            &g_array_index(all, struct fleet_sought, i - 1);

        if (now < sought->at) {
            continue;
        }
        if (sought->times == ASKED_TIMES ||
            upstream_by_token(fleet->upstreams, sought->token) != NULL) {
            g_array_remove_index_fast(all, i - 1);
            continue;
        }
        sought->times++;
        sought->at = now + AGAIN_MS;
        g_array_append_val(tokens, sought->token);
    }
}

/* Asks for what is due. */
void
fleet_resolve_now(struct fleet *fleet, uint64_t now)
{
    wire_msg msg = {.kind = WIRE_NEED};
    wire_need *need = &msg.wire_msg_u.need;
    GArray *tokens;

    if (now < fleet_resolve_due(fleet)) {
        return;
    }
    tokens = g_array_new(FALSE, FALSE, sizeof(u_int));
    list_due(fleet, now, tokens);
    if (tokens->len > 0) {
        need->node = fleet->self.address;
        need->tokens.tokens_val = (u_int *)(void *)tokens->data;
        need->tokens.tokens_len = tokens->len;
        fleet_send(fleet, whom_to_ask(fleet), &msg);
    }
    g_array_free(tokens, TRUE);
}
