/* Merging of upstream records (last writer wins by start, sequence and state),
 * registration, tombstones, bucket digests, and drained halls. */
#include "upstream-internal.h"

#include <string.h>

#include "fault.h"
#include "hash.h"

/* A start is new up to this sequence number: its first two registrations may
 * be lost. */
#define NEW_SEQUENCE_MAX 3

void
upstream_open(struct upstream_set *set, uint32_t self, uint64_t interval_ms)
{
    memset(set, 0, sizeof(*set));
    set->self = self;
    set->interval_ms = interval_ms;
    set->all = g_ptr_array_new_with_free_func(g_free);
    set->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    set->by_endpoint = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        set->buckets[i] = g_ptr_array_new();
    }
    set->by_token = g_hash_table_new(g_direct_hash, g_direct_equal);
    set->services = g_ptr_array_new_with_free_func(g_free);
    set->limits = g_array_new(FALSE, TRUE, sizeof(struct warmup_limit));
    set->changed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    set->reports = g_array_new(FALSE, FALSE, sizeof(struct upstream_report));
    set->learned = g_array_new(FALSE, FALSE, sizeof(struct upstream_learned));
    set->queries = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    set->due_at = UINT64_MAX;
}

void
upstream_close(struct upstream_set *set)
{
    g_hash_table_destroy(set->by_id);
    g_hash_table_destroy(set->by_endpoint);
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        g_ptr_array_free(set->buckets[i], TRUE);
    }
    g_hash_table_destroy(set->by_token);
    g_ptr_array_free(set->all, TRUE);
    g_ptr_array_free(set->services, TRUE);
    g_array_free(set->limits, TRUE);
    g_array_free(set->changed, TRUE);
    g_array_free(set->reports, TRUE);
    g_array_free(set->learned, TRUE);
    g_array_free(set->queries, TRUE);
}

uint16_t
upstream_service(struct upstream_set *set, const char *name)
{
    for (guint i = 0; i < set->services->len; i++) {
        if (strcmp(g_ptr_array_index(set->services, i), name) == 0) {
            return (uint16_t)i;
        }
    }
    if (set->services->len == UPSTREAM_NO_SERVICE) {
        return UPSTREAM_NO_SERVICE;
    }
    g_ptr_array_add(set->services, g_strdup(name));
    return (uint16_t)(set->services->len - 1);
}

const char *
upstream_service_name(const struct upstream_set *set, uint16_t service)
{
    return service < set->services->len
               ? g_ptr_array_index(set->services, service)
               : "";
}

void
upstream_set_warmup_limit(struct upstream_set *set, uint16_t service,
                          const struct warmup_limit *limit)
{
    if (service >= set->limits->len) {
        g_array_set_size(set->limits, service + 1U);
    }
    g_array_index(set->limits, struct warmup_limit, service) = *limit;
}

struct warmup_limit
upstream_warmup_limit(const struct upstream_set *set, uint16_t service)
{
    static const struct warmup_limit none = {0};

    return service < set->limits->len
               ? g_array_index(set->limits, struct warmup_limit, service)
               : none;
}

bool
upstream_is_warming_up(const struct upstream *upstream, uint64_t now)
{
    return now < upstream->warmup_until ||
           now < upstream->undrain_warmup_until;
}

const char *
upstream_state_name(enum upstream_state state)
{
    switch (state) {
    case UPSTREAM_READY:
        return "ready";
    case UPSTREAM_LEAVING:
        return "leaving";
    case UPSTREAM_SILENT:
        return "silent";
    case UPSTREAM_LOST:
        return "lost";
    case UPSTREAM_GONE:
        return "gone";
    }
    return "";
}

/* Keeps the bucket digests current on each change, so that a hello reads them
 * without a pass over all records: the leader of 300 nodes sends 600 hellos a
 * second. */
void
upstream_update_digest(struct upstream_set *set, struct upstream *upstream)
{
    uint32_t digest = upstream_digest(upstream);

    set->digests[upstream->token % WIRE_BUCKETS] += digest - upstream->digest;
    upstream->digest = digest;
}

void
upstream_schedule(struct upstream_set *set, uint64_t at)
{
    set->due_at = MIN(set->due_at, at);
}

void
upstream_queue_change(struct upstream_set *set,
                      const struct upstream *upstream)
{
    set->change_count++;
    g_array_append_val(set->changed, upstream->id);
}

/* Whether a record without a start time applies to an upstream whose start is
 * known. Older releases send such records, possibly for an earlier start, so
 * the record may only change READY to LEAVING; the next registration corrects
 * a wrong one. */
static bool
leaves_without_start(const struct upstream *upstream,
                     enum upstream_state state, uint64_t sequence)
{
    return upstream->state == UPSTREAM_READY && state == UPSTREAM_LEAVING &&
           sequence > upstream->sequence;
}

/* Whether a record wins over the local one: by start time, then sequence, then
 * state. GONE is final for a start. */
static bool
is_newer(const struct upstream *upstream, uint64_t started_at,
         enum upstream_state state, uint64_t sequence)
{
    if (started_at != upstream->started_at && !fault_is(FAULT_NO_START_TIME)) {
        if (started_at == 0) {
            return leaves_without_start(upstream, state, sequence);
        }
        if (upstream->started_at != 0 || sequence <= NEW_SEQUENCE_MAX) {
            return started_at > upstream->started_at;
        }
    }
    if (upstream->state == UPSTREAM_GONE || state == UPSTREAM_GONE) {
        return upstream->state != UPSTREAM_GONE;
    }
    if (sequence != upstream->sequence) {
        return sequence > upstream->sequence;
    }
    return state > upstream->state;
}

/* Resets all that was observed of the previous start; the new process has none
 * of its flows. */
static void
reset_start(struct upstream *upstream, uint64_t started_at)
{
    upstream->started_at = started_at;
    upstream->sequence = 0;
    upstream->changed_at = 0;
    upstream->forget_at = 0;
    upstream->suspect_until = 0;
    upstream->last_progress_at = 0;
    upstream->latency_until = 0;
    upstream->latency_us = 0;
    upstream->next_suspicion_at = 0;
    upstream->undrain_warmup_until = 0;
    upstream->next_alive_report_at = 0;
    upstream->ejected_until = 0;
    memset(&upstream->outlier_reports, 0, sizeof(upstream->outlier_reports));
    upstream->open = 0;
    upstream->busy = 0;
}

static void
apply_record(struct upstream_set *set, uint64_t now, struct upstream *upstream,
             const wire_upstream *record)
{
    if (record->born > upstream->started_at) {
        reset_start(upstream, record->born);
    }
    if (upstream->changed_at == 0 || upstream->keeper != record->keeper ||
        upstream->state != (enum upstream_state)record->state) {
        upstream->changed_at = now - MIN(record->age_ms, now);
    }
    upstream->service = upstream_service(set, record->service);
    g_strlcpy(upstream->hall, record->hall, sizeof(upstream->hall));
    upstream->hall_hash = (uint32_t)hash_name(upstream->hall);
    upstream->drained = hall_is_drained(&set->halls, upstream->hall);
    upstream->address = record->address;
    upstream->port = (uint16_t)record->port;
    upstream_index_endpoint(set, upstream);
    upstream->slots = MAX(record->slots, 1);
    upstream->state = (enum upstream_state)record->state;
    if (record->born == upstream->started_at) {
        upstream->sequence = record->sequence;
    }
    upstream->keeper = record->keeper;
    upstream->warmup_until = now + record->warm_ms;
    if (record->keeper != set->self) {
        upstream->ejected_until =
            record->sick_ms != 0 ? now + record->sick_ms : 0;
    }
    upstream->queried = false;
    upstream_clear_suspicions(upstream);
    upstream_update_digest(set, upstream);
}

/* A new upstream at an occupied endpoint proves that the previous one ended,
 * up to two intervals before its registrations are missed. */
static void
mark_replaced_silent(struct upstream_set *set, uint64_t now,
                     const wire_upstream *record, bool broadcast)
{
    struct upstream *previous =
        record->state == UPSTREAM_READY && record->sequence <= NEW_SEQUENCE_MAX
            ? upstream_running_at(set, record->id, record->address,
                                  record->port)
            : NULL;

    if (previous == NULL || fault_is(FAULT_NO_REPLACE)) {
        return;
    }
    upstream_mark_silent(set, now, previous, broadcast);
}

/* Whether a registration was delayed in transit and its upstream has ended:
 * another upstream is alive at the endpoint, and this one is neither alive nor
 * new. It would get new flows until it expires. */
static bool
is_delayed(const struct upstream_set *set, const struct upstream *existing,
           const struct upstream_registration *r)
{
    bool may_run = existing != NULL ? upstream_is_alive(existing)
                                    : r->sequence <= NEW_SEQUENCE_MAX;

    return !fault_is(FAULT_NO_REPLACE) && !r->leaving && !may_run &&
           upstream_running_at(set, r->id, r->address, r->port) != NULL;
}

bool
upstream_register(struct upstream_set *set, uint64_t now,
                  const struct upstream_registration *r)
{
    struct upstream *upstream = upstream_by_id(set, r->id);
    enum upstream_state state = r->leaving ? UPSTREAM_LEAVING : UPSTREAM_READY;
    wire_upstream record = {.id = r->id,
                            .address = r->address,
                            .port = r->port,
                            .slots = r->slots,
                            .state = state,
                            .sequence = r->sequence,
                            .keeper = set->self,
                            .warm_ms = r->warm_ms,
                            .service = (char *)r->service,
                            .hall = (char *)r->hall,
                            .born = r->started_at};
    bool is_new = upstream == NULL;
    bool differs;

    if ((!is_new && !is_newer(upstream, r->started_at, state, r->sequence)) ||
        is_delayed(set, upstream, r)) {
        return false;
    }
    if (is_new) {
        mark_replaced_silent(set, now, &record, true);
        upstream = upstream_add(set, r->id);
    }
    differs = is_new || upstream->started_at != r->started_at ||
              upstream->state != state || upstream->keeper != set->self ||
              (r->warm_ms > 0 && now >= upstream->warmup_until) ||
              upstream->address != r->address || upstream->port != r->port;
    apply_record(set, now, upstream, &record);
    upstream->last_registered_at = now;
    upstream->expire_at = upstream_next_expiry(set, now);
    upstream_schedule(set, upstream->expire_at);
    if (differs) {
        upstream_queue_change(set, upstream);
    }
    return true;
}

/* Turns a record into a tombstone. */
static void
make_tombstone(struct upstream_set *set, struct upstream *upstream,
               uint64_t now, uint64_t lifetime_ms)
{
    upstream->state = UPSTREAM_GONE;
    upstream->expire_at = 0;
    upstream->forget_at = now + MIN(lifetime_ms, UPSTREAM_TOMBSTONE_MS);
    upstream_update_digest(set, upstream);
    upstream_schedule(set, upstream->forget_at);
}

/* Remaining lifetime of a received tombstone. All nodes forget it at the same
 * time; with a full lifetime at each receiver, nodes would pass it to each
 * other forever. A node of an earlier version sends 0. */
static uint64_t
tombstone_lifetime(const wire_upstream *record)
{
    return record->warm_ms != 0 ? record->warm_ms : UPSTREAM_TOMBSTONE_MS;
}

/* Whether a deregistration without a start time may be a delayed one of an
 * earlier start: the current start is new, and a planned shutdown announces
 * LEAVING first. */
static bool
may_be_earlier_start(const struct upstream *upstream)
{
    return upstream->started_at != 0 && upstream->state == UPSTREAM_READY &&
           upstream->sequence <= NEW_SEQUENCE_MAX &&
           !fault_is(FAULT_NO_START_TIME);
}

bool
upstream_deregister(struct upstream_set *set, uint64_t now, uint64_t id,
                    uint64_t started_at)
{
    struct upstream *upstream = upstream_by_id(set, id);

    if (upstream == NULL) {
        upstream = upstream_add(set, id);
        upstream->service = UPSTREAM_NO_SERVICE;
    }
    else if (started_at == 0 && may_be_earlier_start(upstream)) {
        return false;
    }
    if (started_at != 0 && started_at < upstream->started_at) {
        return true;
    }
    if (started_at > upstream->started_at) {
        reset_start(upstream, started_at);
    }
    else if (upstream->state == UPSTREAM_GONE) {
        return true;
    }
    upstream->changed_at = now;
    make_tombstone(set, upstream, now, UPSTREAM_TOMBSTONE_MS);
    upstream_queue_change(set, upstream);
    return true;
}

static void
queue_learned(struct upstream_set *set, const wire_upstream *record)
{
    struct upstream_learned learned = {.id = record->id,
                                       .age_ms = record->age_ms};

    g_array_append_val(set->learned, learned);
}

/* Refutes another node's SILENT or LOST for an upstream that registers here,
 * at most once per interval. */
static void
refute(struct upstream_set *set, uint64_t now, struct upstream *upstream,
       const wire_upstream *record)
{
    if ((record->state == UPSTREAM_SILENT || record->state == UPSTREAM_LOST) &&
        upstream_is_alive(upstream) && upstream->keeper == set->self &&
        upstream->last_registered_at != 0 && now >= upstream->next_refute_at) {
        upstream->next_refute_at = now + set->interval_ms;
        upstream_queue_change(set, upstream);
    }
}

bool
upstream_merge(struct upstream_set *set, uint64_t now,
               const wire_upstream *record)
{
    struct upstream *upstream = upstream_by_id(set, record->id);
    bool is_new = upstream == NULL;
    bool differs;

    if (record->state > UPSTREAM_GONE) {
        return false;
    }
    if (!is_new &&
        !is_newer(upstream, record->born, (enum upstream_state)record->state,
                  record->sequence)) {
        refute(set, now, upstream, record);
        return false;
    }
    if (is_new) {
        /* Each receiver of the new record reaches the same conclusion, so no
         * broadcast is needed. */
        mark_replaced_silent(set, now, record, false);
        upstream = upstream_add(set, record->id);
    }
    differs = is_new || upstream->started_at < record->born ||
              upstream->state != record->state ||
              upstream->keeper != record->keeper ||
              upstream->address != record->address ||
              upstream->port != record->port;
    apply_record(set, now, upstream, record);
    /* This node was the keeper before its restart. */
    upstream->expire_at =
        upstream->keeper == set->self && upstream->state < UPSTREAM_SILENT
            ? upstream_failover_expiry(set, now)
            : 0;
    if (upstream->expire_at != 0) {
        upstream_schedule(set, upstream->expire_at);
    }
    if (upstream->state == UPSTREAM_GONE) {
        make_tombstone(set, upstream, now, tombstone_lifetime(record));
    }
    if (differs) {
        set->change_count++;
        queue_learned(set, record);
    }
    return differs;
}

static void
update_drained(struct upstream_set *set, uint64_t now,
               struct upstream *upstream)
{
    bool drained = hall_is_drained(&set->halls, upstream->hall);

    if (upstream->drained && !drained) {
        upstream->undrain_warmup_until =
            now + upstream_warmup_limit(set, upstream->service).warmup_ms;
    }
    upstream->drained = drained;
}

bool
upstream_drain_halls(struct upstream_set *set, uint64_t now,
                     const wire_halls *halls)
{
    if (!hall_update(&set->halls, halls)) {
        return false;
    }
    for (guint i = 0; i < set->all->len; i++) {
        update_drained(set, now, g_ptr_array_index(set->all, i));
    }
    return true;
}

uint32_t
upstream_digest(const struct upstream *upstream)
{
    uint64_t keeper = upstream->state == UPSTREAM_GONE ? 0 : upstream->keeper;
    uint64_t start =
        upstream->started_at == 0
            ? upstream->id
            : hash_pair(HASH_UPSTREAM, upstream->id, upstream->started_at);

    return (uint32_t)hash_pair(HASH_UPSTREAM, start,
                               (uint64_t)upstream->state << 32 | keeper);
}

void
upstream_digests(const struct upstream_set *set, uint32_t out[WIRE_BUCKETS])
{
    memcpy(out, set->digests, sizeof(set->digests));
}

/* Remaining warmup, or remaining lifetime of a tombstone; the latter is at
 * least 1, since 0 means unknown. */
static u_int
remaining_ms(const struct upstream *upstream, uint64_t now)
{
    bool gone = upstream->state == UPSTREAM_GONE;
    uint64_t until =
        gone ? upstream->forget_at
             : MAX(upstream->warmup_until, upstream->undrain_warmup_until);

    return until > now ? (u_int)(until - now) : gone;
}

void
upstream_pack(const struct upstream_set *set, uint64_t now,
              const struct upstream *upstream, wire_upstream *out)
{
    *out = (wire_upstream){
        .id = upstream->id,
        .sequence = upstream->sequence,
        .address = upstream->address,
        .port = upstream->port,
        .slots = upstream->slots,
        .state = upstream->state,
        .warm_ms = remaining_ms(upstream, now),
        .keeper = upstream->keeper,
        .age_ms = (u_int)MIN(now - upstream->changed_at, UINT32_MAX),
        .service = (char *)upstream_service_name(set, upstream->service),
        .hall = (char *)upstream->hall,
        .born = upstream->started_at,
        .sick_ms = upstream->ejected_until > now
                       ? (u_int)(upstream->ejected_until - now)
                       : 0};
}
