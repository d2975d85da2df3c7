/*
 * On-demand lookup of upstreams that packets of open flows name while this
 * node's inventory is incomplete after a start. Requests go to nodes with a
 * disk, whose inventory survives a restart.
 */
#include "fleet-internal.h"

#include "fault.h"
#include "hash.h"
#include "random.h"

/* Time until a request is repeated, to another random node. */
#define RETRY_MS 100U
/* Requests per lookup; by then nobody knows the upstream, or the packets that
 * wait for it are dropped (after 500 ms). */
#define ATTEMPTS_MAX 4U
/* Lookups at the same time. */
#define LOOKUPS_MAX 256U

static bool
is_pending(const struct fleet *fleet, uint32_t token)
{
    for (guint i = 0; i < fleet->lookups->len; i++) {
        if (g_array_index(fleet->lookups, struct fleet_lookup, i).token ==
            token) {
            return true;
        }
    }
    return false;
}

void
fleet_resolve(struct fleet *fleet, uint64_t now, uint32_t token)
{
    struct fleet_lookup lookup = {.token = token, .send_at = now};

    if (!is_pending(fleet, token) && fleet->lookups->len < LOOKUPS_MAX &&
        !fault_is(FAULT_NO_RESOLVE)) {
        g_array_append_val(fleet->lookups, lookup);
    }
}

/* A random node with a disk, preferably in this data hall, else a random
 * seed. */
static uint32_t
choose_node(struct fleet *fleet)
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

uint64_t
fleet_resolve_due(const struct fleet *fleet)
{
    uint64_t at = UINT64_MAX;

    for (guint i = 0; i < fleet->lookups->len; i++) {
        at = MIN(
            at, g_array_index(fleet->lookups, struct fleet_lookup, i).send_at);
    }
    return at;
}

/* Lists the tokens to request now; removes lookups that are resolved or have
 * failed. */
static void
list_due(struct fleet *fleet, uint64_t now, GArray *tokens)
{
    GArray *all = fleet->lookups;

    for (guint i = all->len; i > 0; i--) {
        struct fleet_lookup *lookup =
            &g_array_index(all, struct fleet_lookup, i - 1);

        if (now < lookup->send_at) {
            continue;
        }
        if (lookup->attempts == ATTEMPTS_MAX ||
            upstream_by_token(fleet->upstreams, lookup->token) != NULL) {
            g_array_remove_index_fast(all, i - 1);
            continue;
        }
        lookup->attempts++;
        lookup->send_at = now + RETRY_MS;
        g_array_append_val(tokens, lookup->token);
    }
}

void
fleet_resolve_send(struct fleet *fleet, uint64_t now)
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
        fleet_send(fleet, choose_node(fleet), &msg);
    }
    g_array_free(tokens, TRUE);
}
