/*
 * Upstreams and node addresses saved by a node with a disk and restored after
 * a power loss on all nodes. Nodes without a disk then have no contacts but
 * their seeds, so the saved nodes become contacts of this node.
 */
#include "fleet-internal.h"

#include "codec.h"

GByteArray *
fleet_save(const struct fleet *fleet, uint64_t now)
{
    const struct upstream_set *set = fleet->upstreams;
    wire_msg msg = {.kind = WIRE_STORED};
    wire_kept *stored = &msg.wire_msg_u.stored;
    GHashTableIter iter;
    gpointer key;
    GByteArray *bytes;

    stored->list.list_val = g_new0(wire_upstream, set->all->len);
    stored->nodes.nodes_val = g_new0(u_int, g_hash_table_size(fleet->members) +
                                                fleet->contacts->len);
    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);

        if (u->state < UPSTREAM_SILENT &&
            stored->list.list_len < WIRE_KEPT_MAX) {
            upstream_pack(set, now, u,
                          &stored->list.list_val[stored->list.list_len++]);
        }
    }
    g_hash_table_iter_init(&iter, fleet->members);
    while (g_hash_table_iter_next(&iter, &key, NULL) &&
           stored->nodes.nodes_len < WIRE_KEPT_NODES_MAX) {
        stored->nodes.nodes_val[stored->nodes.nodes_len++] =
            GPOINTER_TO_UINT(key);
    }
    for (guint i = 0; i < fleet->contacts->len &&
                      stored->nodes.nodes_len < WIRE_KEPT_NODES_MAX;
         i++) {
        stored->nodes.nodes_val[stored->nodes.nodes_len++] =
            g_array_index(fleet->contacts, struct fleet_contact, i).address;
    }
    bytes = codec_encode(&msg);
    g_free(stored->list.list_val);
    g_free(stored->nodes.nodes_val);
    return bytes;
}

static void
load_nodes(struct fleet *fleet, uint64_t now, const u_int *nodes, u_int count)
{
    for (u_int i = 0; i < count; i++) {
        if (!g_hash_table_contains(fleet->members,
                                   GUINT_TO_POINTER(nodes[i]))) {
            fleet_contact_add(fleet, now, nodes[i]);
        }
    }
    fleet->hello_at = now;
}

static void
load_current(struct fleet *fleet, uint64_t now, const wire_kept *stored)
{
    for (u_int i = 0; i < stored->list.list_len; i++) {
        (void)upstream_merge(fleet->upstreams, now, &stored->list.list_val[i]);
    }
    load_nodes(fleet, now, stored->nodes.nodes_val, stored->nodes.nodes_len);
}

/* Records of older releases lack the start time. */
static void
load_old_format(struct fleet *fleet, uint64_t now,
                const wire_kept_unborn *stored)
{
    for (u_int i = 0; i < stored->list.list_len; i++) {
        const wire_upstream_unborn *from = &stored->list.list_val[i];
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
    load_nodes(fleet, now, stored->nodes.nodes_val, stored->nodes.nodes_len);
}

bool
fleet_load(struct fleet *fleet, uint64_t now, const GByteArray *bytes)
{
    bool loaded = true;
    wire_msg msg;

    if (!codec_decode(bytes->data, bytes->len, &msg)) {
        return false;
    }
    if (msg.kind == WIRE_STORED) {
        load_current(fleet, now, &msg.wire_msg_u.stored);
    }
    else if (msg.kind == WIRE_KEPT) {
        load_old_format(fleet, now, &msg.wire_msg_u.kept_unborn);
    }
    else {
        loaded = false;
    }
    codec_free(&msg);
    return loaded;
}
