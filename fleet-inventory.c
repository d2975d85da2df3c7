/*
 * Bringing inventories of upstreams together. A node that begins is sent what
 * it lacks by one node at a time. A node that serves compares a few buckets
 * with one other node twice a second, whichever it meets, and both then hold
 * the same there: so a change that was lost on its way is found wherever it is
 * known, and what a node sends for it grows neither with the fleet nor with
 * the number of hellos.
 */
#include "fleet-internal.h"

#include <string.h>

#include "fault.h"
#include "random.h"

/* An inventory of no more records than this is sent without asking: all of it
 * is no larger than the messages about it on a calm second. */
#define RECORDS_FEW 40
/* Bytes of a record in a message: 40 and two names. */
#define RECORD_BYTES 64U
/* Bytes of a mark. */
#define MARK_BYTES 8U
/* Most that one node that begins is sent at once; it asks another one for the
 * rest, so that the first one's link is free again: 0.23 s of 2.2 Mbit/s. */
#define BEGIN_BYTES 65536U
/* The same for one that knows no upstream yet: enough for its first choices,
 * so that of many that begin together all have some soon. */
#define BEGIN_FIRST_BYTES 16384U
/* Marks in one comparison: 4 KB, so 8 KB a second. With 3,000 upstreams it has
 * three buckets of sixteen. */
#define COMPARE_MARKS 512U
/* A fleet of no more members than this compares with its leader too; in a
 * larger one all would compare with it. */
#define COMPARE_FEW 16U
/* A bucket is compared once all that were met for so long held it differently:
 * a change is on its way for 20 to 100 ms, and two nodes that meet meanwhile
 * lack nothing. */
#define LASTING_MS 300U
/* Comparisons are not answered while copies wait so long for the link, nor
 * while so much waits: whoever asked meets another node half a second later.
 */
#define BACKLOG_MS 500U
#define BACKLOG_BYTES (2U * 1024U * 1024U)
/* So many records are sent all the same: packets of open flows wait for them.
 */
#define NEED_FEW 64U

/* Records and marks that are gathered for one node. */
struct gathered {
    wire_upstream *records;
    guint record_count;
    wire_mark *marks;
    guint mark_count;
    uint32_t buckets; /* a bit for each that was gathered */
};

/* Makes room for all of an inventory. */
static void
open_gathered(struct gathered *g, const struct upstream_set *set)
{
    memset(g, 0, sizeof(*g));
    g->records = g_new0(wire_upstream, set->all->len);
    g->marks = g_new0(wire_mark, set->all->len);
}

/* Frees it. */
static void
close_gathered(struct gathered *g)
{
    g_free(g->records);
    g_free(g->marks);
}

/* Gathers one bucket, as records or as marks. */
static void
gather(const struct fleet *fleet, uint64_t now, uint32_t bucket, bool whole,
       struct gathered *g)
{
    const struct upstream_set *set = fleet->upstreams;
    const GPtrArray *list = set->buckets[bucket];

    g->buckets |= 1U << bucket;
    for (guint i = 0; i < list->len; i++) {
        const struct upstream *u = g_ptr_array_index(list, i);

        if (whole) {
            upstream_pack(set, now, u, &g->records[g->record_count++]);
        }
        else {
            g->marks[g->mark_count++] =
                (wire_mark){u->token, upstream_digest(u)};
        }
    }
}

/* Sends marks, in as many messages as they need. */
static void
send_marks(struct fleet *fleet, uint32_t to, wire_mark *marks, guint count)
{
    for (guint at = 0; at < count; at += WIRE_MARKS_MAX) {
        wire_msg msg = {.kind = WIRE_SUMMARY};

        msg.wire_msg_u.summary.node = fleet->self.address;
        msg.wire_msg_u.summary.list.list_val = marks + at;
        msg.wire_msg_u.summary.list.list_len = MIN(count - at, WIRE_MARKS_MAX);
        fleet_send(fleet, to, &msg);
    }
}

/* Says whether a node holds no upstream. */
static bool
knows_none(const uint32_t digests[WIRE_BUCKETS])
{
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        if (digests[i] != 0) {
            return false;
        }
    }
    return true;
}

/* Sends a node that begins what it may lack, of the buckets in which it
 * differs: the records where these are few or it has none at all there, else
 * their marks, and it asks for what it needs. Begins at a bucket drawn by
 * lot and ends at BEGIN_BYTES. */
void
fleet_send_differing(struct fleet *fleet, uint64_t now, uint32_t to,
                     const uint32_t theirs[WIRE_BUCKETS])
{
    const struct upstream_set *set = fleet->upstreams;
    uint32_t first = (uint32_t)(random_next(&fleet->random) % WIRE_BUCKETS);
    uint32_t most = knows_none(theirs) ? BEGIN_FIRST_BYTES : BEGIN_BYTES;
    uint32_t own[WIRE_BUCKETS];
    struct gathered g;

    upstream_digests(set, own);
    open_gathered(&g, set);
    for (uint32_t i = 0; i < WIRE_BUCKETS; i++) {
        uint32_t bucket = (first + i) % WIRE_BUCKETS;

        if (own[bucket] != theirs[bucket] &&
            g.record_count * RECORD_BYTES + g.mark_count * MARK_BYTES < most) {
            gather(fleet, now, bucket,
                   theirs[bucket] == 0 || set->all->len <= RECORDS_FEW, &g);
        }
    }
    g.record_count = MIN(g.record_count, most / RECORD_BYTES);
    fleet_send_upstreams(fleet, to, g.records, g.record_count);
    send_marks(fleet, to, g.marks, g.mark_count);
    close_gathered(&g);
}

/* Asks for records. */
static void
send_need(struct fleet *fleet, uint32_t to, u_int *tokens, u_int count)
{
    wire_msg msg = {.kind = WIRE_NEED};

    if (count > 0) {
        msg.wire_msg_u.need.node = fleet->self.address;
        msg.wire_msg_u.need.tokens.tokens_val = tokens;
        msg.wire_msg_u.need.tokens.tokens_len = count;
        fleet_send(fleet, to, &msg);
    }
}

/* Lists the tokens whose records differ from what another node holds; returns
 * how many. */
static u_int
list_needed(const struct fleet *fleet, const wire_mark *marks, u_int count,
            u_int *tokens)
{
    u_int needed = 0;

    for (u_int i = 0; i < count; i++) {
        const struct upstream *u =
            upstream_by_token(fleet->upstreams, marks[i].token);

        if (u == NULL || upstream_digest(u) != marks[i].about) {
            tokens[needed++] = marks[i].token;
        }
    }
    return needed;
}

/* Asks for the records that differ from what another node holds. */
void
fleet_take_summary(struct fleet *fleet, const wire_summary *summary)
{
    u_int *tokens = g_new0(u_int, summary->list.list_len);
    u_int count = list_needed(fleet, summary->list.list_val,
                              summary->list.list_len, tokens);

    send_need(fleet, summary->node, tokens, count);
    g_free(tokens);
}

/* Says whether enough copies wait for the link. */
static bool
is_backlogged(const struct fleet *fleet, uint64_t now)
{
    uint64_t ms = fleet->pay_at > now ? fleet->pay_at - now : 0;

    return ms > BACKLOG_MS || ms * fleet->bulk_bytes_ms > BACKLOG_BYTES;
}

/* Sends the records that another node asks for, BEGIN_BYTES at most. */
void
fleet_take_need(struct fleet *fleet, uint64_t now, const wire_need *need)
{
    struct upstream_set *set = fleet->upstreams;
    u_int most = MIN(need->tokens.tokens_len, BEGIN_BYTES / RECORD_BYTES);
    wire_upstream *records = g_new0(wire_upstream, most);
    uint64_t before = fleet->bytes_sent;
    guint count = 0;

    if (most > NEED_FEW && is_backlogged(fleet, now)) {
        most = 0;
    }
    for (u_int i = 0; i < most; i++) {
        const struct upstream *u =
            upstream_by_token(set, need->tokens.tokens_val[i]);

        if (u != NULL) {
            upstream_pack(set, now, u, &records[count++]);
        }
    }
    fleet_send_upstreams(fleet, need->node, records, count);
    fleet_note_bulk(fleet, now, fleet->bytes_sent - before);
    g_free(records);
}

/* Notes in which buckets those who are met hold something else. */
static void
note_differing(struct fleet *fleet, uint64_t now, const wire_hello *hello)
{
    uint32_t own[WIRE_BUCKETS];

    upstream_digests(fleet->upstreams, own);
    for (uint32_t i = 0; i < WIRE_BUCKETS; i++) {
        if (own[i] == hello->upstreams[i]) {
            fleet->differs_since[i] = 0;
        }
        else if (fleet->differs_since[i] == 0) {
            fleet->differs_since[i] = now;
        }
    }
}

/* Says whether a bucket differs, and not by a change on its way. */
static bool
is_lasting(const struct fleet *fleet, uint64_t now, uint32_t bucket)
{
    uint64_t since = fleet->differs_since[bucket];

    return since != 0 &&
           (now >= since + LASTING_MS || fault_is(FAULT_NO_LASTING));
}

/* Says whether to compare with the node of a hello now. One that knows
 * nothing, here or there, asks for all. */
static bool
should_compare(const struct fleet *fleet, uint64_t now,
               const wire_hello *hello)
{
    bool one_for_all = hello->self.address == fleet->leader &&
                       g_hash_table_size(fleet->members) > COMPARE_FEW;

    return !fault_is(FAULT_NO_COMPARE) && fleet->upstreams->all->len > 0 &&
           fleet_has_upstreams(hello) && !one_for_all &&
           now >= fleet->compare_at;
}

/* Compares the inventory with that of the node of a hello: some of the buckets
 * that differ, from one drawn by lot on. */
void
fleet_compare(struct fleet *fleet, uint64_t now, const wire_hello *hello,
              bool same)
{
    uint32_t first = (uint32_t)(random_next(&fleet->random) % WIRE_BUCKETS);
    wire_msg msg = {.kind = WIRE_COMPARE};
    wire_compare *compare = &msg.wire_msg_u.compare;
    uint32_t own[WIRE_BUCKETS];
    struct gathered g;

    if (fleet_has_upstreams(hello)) {
        note_differing(fleet, now, hello);
    }
    if (same || !should_compare(fleet, now, hello)) {
        return;
    }
    upstream_digests(fleet->upstreams, own);
    open_gathered(&g, fleet->upstreams);
    for (uint32_t i = 0; i < WIRE_BUCKETS; i++) {
        uint32_t bucket = (first + i) % WIRE_BUCKETS;

        if (own[bucket] != hello->upstreams[bucket] &&
            is_lasting(fleet, now, bucket) && g.mark_count < COMPARE_MARKS) {
            gather(fleet, now, bucket, false, &g);
        }
    }
    if (g.buckets == 0) {
        close_gathered(&g);
        return;
    }
    fleet->compare_at = now + FLEET_COMPARE_MS;
    compare->node = fleet->self.address;
    compare->buckets = g.buckets;
    compare->list.list_val = g.marks;
    compare->list.list_len = MIN(g.mark_count, WIRE_MARKS_MAX);
    fleet_send(fleet, hello->self.address, &msg);
    close_gathered(&g);
}

/* Gathers the records of a bucket for which another node has no mark, or
 * another one. */
static void
gather_unlike(const struct fleet *fleet, uint64_t now, const GPtrArray *list,
              GHashTable *theirs, struct gathered *g)
{
    for (guint i = 0; i < list->len; i++) {
        const struct upstream *u = g_ptr_array_index(list, i);
        gpointer about;

        if (!g_hash_table_lookup_extended(theirs, GUINT_TO_POINTER(u->token),
                                          NULL, &about) ||
            GPOINTER_TO_UINT(about) != upstream_digest(u)) {
            upstream_pack(fleet->upstreams, now, u,
                          &g->records[g->record_count++]);
        }
    }
}

/* Gathers the records of some buckets that another node lacks or holds
 * differently, by its marks. */
static void
gather_lacking(const struct fleet *fleet, uint64_t now,
               const wire_compare *compare, struct gathered *g)
{
    const struct upstream_set *set = fleet->upstreams;
    GHashTable *theirs = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (u_int i = 0; i < compare->list.list_len; i++) {
        const wire_mark *mark = &compare->list.list_val[i];

        g_hash_table_insert(theirs, GUINT_TO_POINTER(mark->token),
                            GUINT_TO_POINTER(mark->about));
    }
    for (uint32_t bucket = 0; bucket < WIRE_BUCKETS; bucket++) {
        if ((compare->buckets >> bucket & 1U) != 0) {
            gather_unlike(fleet, now, set->buckets[bucket], theirs, g);
        }
    }
    g_hash_table_destroy(theirs);
}

/* Answers a comparison: sends what the other node lacks, and asks it for what
 * this one lacks. Both then hold the same there, so this node need not begin
 * one of its own meanwhile. */
void
fleet_take_compare(struct fleet *fleet, uint64_t now,
                   const wire_compare *compare)
{
    u_int *tokens = g_new0(u_int, compare->list.list_len);
    uint64_t before = fleet->bytes_sent;
    struct gathered g;
    u_int count;

    if (!is_backlogged(fleet, now)) {
        fleet->compare_at = MAX(fleet->compare_at, now + FLEET_COMPARE_MS);
        open_gathered(&g, fleet->upstreams);
        gather_lacking(fleet, now, compare, &g);
        count = list_needed(fleet, compare->list.list_val,
                            compare->list.list_len, tokens);
        fleet_send_upstreams(fleet, compare->node, g.records, g.record_count);
        send_need(fleet, compare->node, tokens, count);
        close_gathered(&g);
        fleet_note_bulk(fleet, now, fleet->bytes_sent - before);
    }
    g_free(tokens);
}

/* Says whether the sender of a hello knows any upstream. */
bool
fleet_has_upstreams(const wire_hello *hello)
{
    return !knows_none(hello->upstreams);
}

/* Says whether a hello shows the same inventory. */
bool
fleet_has_same_upstreams(const struct fleet *fleet, const wire_hello *hello)
{
    uint32_t own[WIRE_BUCKETS];

    upstream_digests(fleet->upstreams, own);
    return memcmp(own, hello->upstreams, sizeof(own)) == 0;
}
