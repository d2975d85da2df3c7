/*
 * Anti-entropy between upstream inventories by digests of buckets. A starting
 * node syncs from one node at a time; settled nodes compare a few differing
 * buckets with one peer per interval, so that the cost grows neither with the
 * fleet nor with the number of hellos.
 */
#include "fleet-internal.h"

#include <string.h>

#include "fault.h"
#include "random.h"

/* An inventory of up to this many records is sent without digests first. */
#define SEND_ALL_RECORDS_MAX 40
/* Record in a message: 40 bytes and two names. */
#define RECORD_BYTES 64U
/* Token and digest in a message. */
#define DIGEST_BYTES 8U
/* Limit of one sync. The starting node requests the rest from another node, so
 * that the first one's link is free again: 0.24 s at 2.2 Mbit/s. */
#define SYNC_BYTES_MAX 65536U
/* Limit for a node without upstreams: enough for its first flows, so that
 * nodes starting together all have some data early. */
#define FIRST_SYNC_BYTES_MAX 16384U
/* A comparison with this many digests takes no further bucket: about 4 KB, or
 * 8 KB a second. With 3,000 upstreams it holds three of the sixteen buckets.
 */
#define COMPARE_DIGESTS_MAX 512U
/* Fleets of up to this many members compare with the leader too; a larger
 * fleet would overload it. */
#define COMPARE_WITH_LEADER_MAX 16U
/* A bucket is compared once it has differed from all peers for this long;
 * shorter differences are changes in transit, which take 20 to 100 ms. */
#define DIFFERENCE_MIN_MS 300U
/* Comparisons and large requests are dropped while transfers of this duration
 * or size are queued; the sender tries another peer. */
#define BACKLOG_MS 500U
#define BACKLOG_BYTES (2U * 1024U * 1024U)
/* Requests of up to this many records are served despite a backlog: packets of
 * open flows wait for them. */
#define NEED_ALWAYS_SENT 64U

/* Records and digests for one message or several to one node. */
struct collected {
    wire_upstream *records;
    guint record_count;
    wire_mark *digests;
    guint digest_count;
    uint32_t buckets; /* bitmap of the collected buckets */
};

/* Allocates for a whole inventory. */
static void
open_collected(struct collected *out, const struct upstream_set *set)
{
    memset(out, 0, sizeof(*out));
    out->records = g_new0(wire_upstream, set->all->len);
    out->digests = g_new0(wire_mark, set->all->len);
}

static void
close_collected(struct collected *out)
{
    g_free(out->records);
    g_free(out->digests);
}

/* Collects a bucket as records when `whole`, else as digests. */
static void
collect_bucket(const struct fleet *fleet, uint64_t now, uint32_t bucket,
               bool whole, struct collected *out)
{
    const struct upstream_set *set = fleet->upstreams;
    const GPtrArray *list = set->buckets[bucket];

    out->buckets |= 1U << bucket;
    for (guint i = 0; i < list->len; i++) {
        const struct upstream *u = g_ptr_array_index(list, i);

        if (whole) {
            upstream_pack(set, now, u, &out->records[out->record_count++]);
        }
        else {
            out->digests[out->digest_count++] =
                (wire_mark){u->token, upstream_digest(u)};
        }
    }
}

/* Sends digests in as many messages as needed. */
static void
send_digests(struct fleet *fleet, uint32_t to, wire_mark *digests, guint count)
{
    for (guint at = 0; at < count; at += WIRE_MARKS_MAX) {
        wire_msg msg = {.kind = WIRE_SUMMARY};

        msg.wire_msg_u.summary.node = fleet->self.address;
        msg.wire_msg_u.summary.list.list_val = digests + at;
        msg.wire_msg_u.summary.list.list_len = MIN(count - at, WIRE_MARKS_MAX);
        fleet_send(fleet, to, &msg);
    }
}

static bool
is_empty_inventory(const uint32_t digests[WIRE_BUCKETS])
{
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        if (digests[i] != 0) {
            return false;
        }
    }
    return true;
}

/* Sends records when the receiver's bucket is empty or the inventory is small,
 * else digests. Starts at a random bucket and stops at the limit of one
 * sync. */
void
fleet_send_differences(struct fleet *fleet, uint64_t now, uint32_t to,
                       const uint32_t theirs[WIRE_BUCKETS])
{
    const struct upstream_set *set = fleet->upstreams;
    uint32_t first = (uint32_t)(random_next(&fleet->random) % WIRE_BUCKETS);
    uint32_t limit =
        is_empty_inventory(theirs) ? FIRST_SYNC_BYTES_MAX : SYNC_BYTES_MAX;
    uint32_t own[WIRE_BUCKETS];
    struct collected out;

    upstream_digests(set, own);
    open_collected(&out, set);
    for (uint32_t i = 0; i < WIRE_BUCKETS; i++) {
        uint32_t bucket = (first + i) % WIRE_BUCKETS;

        if (own[bucket] != theirs[bucket] &&
            out.record_count * RECORD_BYTES + out.digest_count * DIGEST_BYTES <
                limit) {
            collect_bucket(fleet, now, bucket,
                           theirs[bucket] == 0 ||
                               set->all->len <= SEND_ALL_RECORDS_MAX,
                           &out);
        }
    }
    out.record_count = MIN(out.record_count, limit / RECORD_BYTES);
    fleet_send_upstreams(fleet, to, out.records, out.record_count);
    send_digests(fleet, to, out.digests, out.digest_count);
    close_collected(&out);
}

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

/* Lists the tokens whose record is missing or different here; returns their
 * number. */
static u_int
list_differing(const struct fleet *fleet, const wire_mark *digests,
               u_int count, u_int *tokens)
{
    u_int needed = 0;

    for (u_int i = 0; i < count; i++) {
        const struct upstream *u =
            upstream_by_token(fleet->upstreams, digests[i].token);

        if (u == NULL || upstream_digest(u) != digests[i].about) {
            tokens[needed++] = digests[i].token;
        }
    }
    return needed;
}

void
fleet_handle_summary(struct fleet *fleet, const wire_summary *summary)
{
    u_int *tokens = g_new0(u_int, summary->list.list_len);
    u_int count = list_differing(fleet, summary->list.list_val,
                                 summary->list.list_len, tokens);

    send_need(fleet, summary->node, tokens, count);
    g_free(tokens);
}

static bool
is_backlogged(const struct fleet *fleet, uint64_t now)
{
    uint64_t ms = fleet->transfer_at > now ? fleet->transfer_at - now : 0;

    return ms > BACKLOG_MS || ms * fleet->bulk_bytes_per_ms > BACKLOG_BYTES;
}

/* Sends at most SYNC_BYTES_MAX of records. */
void
fleet_handle_need(struct fleet *fleet, uint64_t now, const wire_need *need)
{
    struct upstream_set *set = fleet->upstreams;
    u_int limit = MIN(need->tokens.tokens_len, SYNC_BYTES_MAX / RECORD_BYTES);
    wire_upstream *records = g_new0(wire_upstream, limit);
    uint64_t before = fleet->bytes_sent;
    guint count = 0;

    if (limit > NEED_ALWAYS_SENT && is_backlogged(fleet, now)) {
        limit = 0;
    }
    for (u_int i = 0; i < limit; i++) {
        const struct upstream *u =
            upstream_by_token(set, need->tokens.tokens_val[i]);

        if (u != NULL) {
            upstream_pack(set, now, u, &records[count++]);
        }
    }
    fleet_send_upstreams(fleet, need->node, records, count);
    fleet_charge_bulk(fleet, now, fleet->bytes_sent - before);
    g_free(records);
}

/* Tracks since when each bucket has differed from all peers. */
static void
update_differing(struct fleet *fleet, uint64_t now, const wire_hello *hello)
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

/* Excludes differences caused by changes in transit. */
static bool
is_persistent(const struct fleet *fleet, uint64_t now, uint32_t bucket)
{
    uint64_t since = fleet->differs_since[bucket];

    return since != 0 && (now >= since + DIFFERENCE_MIN_MS ||
                          fault_is(FAULT_COMPARE_IN_FLIGHT));
}

/* An empty inventory on either side is left to sync requests. */
static bool
should_compare(const struct fleet *fleet, uint64_t now,
               const wire_hello *hello)
{
    bool is_large_fleet_leader =
        hello->self.address == fleet->leader &&
        g_hash_table_size(fleet->members) > COMPARE_WITH_LEADER_MAX;

    return !fault_is(FAULT_NO_ANTI_ENTROPY) &&
           fleet->upstreams->all->len > 0 &&
           fleet_hello_has_upstreams(hello) && !is_large_fleet_leader &&
           now >= fleet->compare_at;
}

/* Sends the digests of some persistently different buckets, from a random one
 * on. */
void
fleet_compare(struct fleet *fleet, uint64_t now, const wire_hello *hello,
              bool same_upstreams)
{
    uint32_t first = (uint32_t)(random_next(&fleet->random) % WIRE_BUCKETS);
    wire_msg msg = {.kind = WIRE_COMPARE};
    wire_compare *compare = &msg.wire_msg_u.compare;
    uint32_t own[WIRE_BUCKETS];
    struct collected out;

    if (fleet_hello_has_upstreams(hello)) {
        update_differing(fleet, now, hello);
    }
    if (same_upstreams || !should_compare(fleet, now, hello)) {
        return;
    }
    upstream_digests(fleet->upstreams, own);
    open_collected(&out, fleet->upstreams);
    for (uint32_t i = 0; i < WIRE_BUCKETS; i++) {
        uint32_t bucket = (first + i) % WIRE_BUCKETS;

        if (own[bucket] != hello->upstreams[bucket] &&
            is_persistent(fleet, now, bucket) &&
            out.digest_count < COMPARE_DIGESTS_MAX) {
            collect_bucket(fleet, now, bucket, false, &out);
        }
    }
    if (out.buckets == 0) {
        close_collected(&out);
        return;
    }
    fleet->compare_at = now + FLEET_COMPARE_INTERVAL_MS;
    compare->node = fleet->self.address;
    compare->buckets = out.buckets;
    compare->list.list_val = out.digests;
    compare->list.list_len = MIN(out.digest_count, WIRE_MARKS_MAX);
    fleet_send(fleet, hello->self.address, &msg);
    close_collected(&out);
}

/* Collects the records of a bucket that are missing or different in
 * `theirs`. */
static void
collect_differing(const struct fleet *fleet, uint64_t now,
                  const GPtrArray *list, GHashTable *theirs,
                  struct collected *out)
{
    for (guint i = 0; i < list->len; i++) {
        const struct upstream *u = g_ptr_array_index(list, i);
        gpointer their_digest;

        if (!g_hash_table_lookup_extended(theirs, GUINT_TO_POINTER(u->token),
                                          NULL, &their_digest) ||
            GPOINTER_TO_UINT(their_digest) != upstream_digest(u)) {
            upstream_pack(fleet->upstreams, now, u,
                          &out->records[out->record_count++]);
        }
    }
}

/* Collects the records of the compared buckets that are missing or different
 * in the sender's digests. */
static void
collect_missing(const struct fleet *fleet, uint64_t now,
                const wire_compare *compare, struct collected *out)
{
    const struct upstream_set *set = fleet->upstreams;
    GHashTable *theirs = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (u_int i = 0; i < compare->list.list_len; i++) {
        const wire_mark *digest = &compare->list.list_val[i];

        g_hash_table_insert(theirs, GUINT_TO_POINTER(digest->token),
                            GUINT_TO_POINTER(digest->about));
    }
    for (uint32_t bucket = 0; bucket < WIRE_BUCKETS; bucket++) {
        if ((compare->buckets >> bucket & 1U) != 0) {
            collect_differing(fleet, now, set->buckets[bucket], theirs, out);
        }
    }
    g_hash_table_destroy(theirs);
}

/* Sends the records that the sender lacks and requests those that this node
 * lacks. The buckets then match on both, so this node postpones its own next
 * comparison. */
void
fleet_handle_compare(struct fleet *fleet, uint64_t now,
                     const wire_compare *compare)
{
    u_int *tokens = g_new0(u_int, compare->list.list_len);
    uint64_t before = fleet->bytes_sent;
    struct collected out;
    u_int count;

    if (!is_backlogged(fleet, now)) {
        fleet->compare_at =
            MAX(fleet->compare_at, now + FLEET_COMPARE_INTERVAL_MS);
        open_collected(&out, fleet->upstreams);
        collect_missing(fleet, now, compare, &out);
        count = list_differing(fleet, compare->list.list_val,
                               compare->list.list_len, tokens);
        fleet_send_upstreams(fleet, compare->node, out.records,
                             out.record_count);
        send_need(fleet, compare->node, tokens, count);
        close_collected(&out);
        fleet_charge_bulk(fleet, now, fleet->bytes_sent - before);
    }
    g_free(tokens);
}

bool
fleet_hello_has_upstreams(const wire_hello *hello)
{
    return !is_empty_inventory(hello->upstreams);
}

bool
fleet_hello_matches_upstreams(const struct fleet *fleet,
                              const wire_hello *hello)
{
    uint32_t own[WIRE_BUCKETS];

    upstream_digests(fleet->upstreams, own);
    return memcmp(own, hello->upstreams, sizeof(own)) == 0;
}
