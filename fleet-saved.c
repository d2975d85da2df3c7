/*
 * What a node with a disk stores of its fleet, so that a start after a loss of
 * power need not wait for others: the upstreams, and which nodes there were.
 * Nodes without a disk know nothing then but seeds, which may be the last to
 * come back; whoever has a disk greets them.
 */
#include "fleet-internal.h"

#include "codec.h"

/* So long after a start, nodes that were stored and are not heard yet are
 * greeted again at each comparison: VMs come back within a second or two. */
#define RECALL_MS 3000U

/* Encodes what is known. */
GByteArray *
fleet_save(const struct fleet *fleet, uint64_t now)
{
    const struct upstream_set *set = fleet->upstreams;
    wire_msg msg = {.kind = WIRE_STORED};
    wire_kept *kept = &msg.wire_msg_u.stored;
    GHashTableIter iter;
    gpointer key;
    GByteArray *bytes;

    kept->list.list_val = g_new0(wire_upstream, set->all->len);
    kept->nodes.nodes_val = g_new0(u_int, g_hash_table_size(fleet->members));
    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);

        if (u->state < UPSTREAM_SILENT &&
            kept->list.list_len < WIRE_KEPT_MAX) {
            upstream_pack(set, now, u,
                          &kept->list.list_val[kept->list.list_len++]);
        }
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, &key, NULL) &&
           kept->nodes.nodes_len < WIRE_KEPT_NODES_MAX) {
        kept->nodes.nodes_val[kept->nodes.nodes_len++] = GPOINTER_TO_UINT(key);
    }
    bytes = codec_encode(&msg);
    g_free(kept->list.list_val);
    g_free(kept->nodes.nodes_val);
    return bytes;
}

/* Takes nodes that were stored. */
static void
load_nodes(struct fleet *fleet, uint64_t now, const u_int *nodes, u_int count)
{
    g_array_append_vals(fleet->unheard, nodes, count);
    fleet->hello_at = now;
}

/* Takes what this release stored. */
static void
load_stored(struct fleet *fleet, uint64_t now, const wire_kept *stored)
{
    for (u_int i = 0; i < stored->list.list_len; i++) {
        (void)upstream_merge(fleet->upstreams, now, &stored->list.list_val[i]);
    }
    load_nodes(fleet, now, stored->nodes.nodes_val, stored->nodes.nodes_len);
}

/* Takes what the releases before stored. */
static void
load_unborn(struct fleet *fleet, uint64_t now, const wire_kept_unborn *kept)
{
    for (u_int i = 0; i < kept->list.list_len; i++) {
        const wire_upstream_unborn *from = &kept->list.list_val[i];
        wire_upstream record = {.id = from->id,
                                .sequence = from->sequence,
                                .address = from->address,
                                .port = from->port,
                                .slots = from->slots,
                                .state = from->state,
                                .warm_ms = from->warm_ms,
                                .keeper = from->keeper,
                                .age_ms = from->age_ms,
                                .service = from->service,
                                .hall = from->hall};

        (void)upstream_merge(fleet->upstreams, now, &record);
    }
    load_nodes(fleet, now, kept->nodes.nodes_val, kept->nodes.nodes_len);
}

/* Takes what was stored. */
bool
fleet_load(struct fleet *fleet, uint64_t now, const GByteArray *bytes)
{
    bool is_taken = true;
    wire_msg msg;

    if (!codec_decode(bytes->data, bytes->len, &msg)) {
        return false;
    }
    if (msg.kind == WIRE_STORED) {
        load_stored(fleet, now, &msg.wire_msg_u.stored);
    }
    else if (msg.kind == WIRE_KEPT) {
        load_unborn(fleet, now, &msg.wire_msg_u.kept_unborn);
    }
    else {
        is_taken = false;
    }
    codec_free(&msg);
    return is_taken;
}

/* Greets the stored nodes that were not heard yet. */
void
fleet_greet_unheard(struct fleet *fleet, uint64_t now)
{
    if (now >= fleet->started_at + RECALL_MS) {
        g_array_set_size(fleet->unheard, 0);
    }
    for (guint i = fleet->unheard->len; i > 0; i--) {
        uint32_t address = g_array_index(fleet->unheard, uint32_t, i - 1);

        if (g_hash_table_contains(fleet->members, GUINT_TO_POINTER(address))) {
            g_array_remove_index_fast(fleet->unheard, i - 1);
        }
        else {
            fleet_send_hello(fleet, address, false);
        }
    }
}
