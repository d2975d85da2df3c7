/*
 * Records of upstreams that register themselves: which word about one holds,
 * merging, digests, halls. Knows nothing of packets, members or sockets; how
 * records are found is upstream-index.c's.
 */
#include "upstream-internal.h"

#include <string.h>

#include "fault.h"
#include "hash.h"

/* An incarnation that is first heard of with no more registrations than this
 * has just begun: two may be lost on their way. */
#define FRESH_SEQUENCE 3

/* Makes an empty inventory. */
void
upstream_open(struct upstream_set *set, uint32_t self, uint64_t interval_ms)
{
    memset(set, 0, sizeof(*set));
    set->self = self;
    set->interval_ms = interval_ms;
    set->all = g_ptr_array_new_with_free_func(g_free);
    set->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    set->by_place = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        set->buckets[i] = g_ptr_array_new();
    }
    set->by_token = g_hash_table_new(g_direct_hash, g_direct_equal);
    set->services = g_ptr_array_new_with_free_func(g_free);
    set->limits = g_array_new(FALSE, TRUE, sizeof(struct warmup_limit));
    set->changed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    set->doubted = g_array_new(FALSE, FALSE, sizeof(struct upstream_doubt));
    set->told = g_array_new(FALSE, FALSE, sizeof(struct upstream_told));
    set->unsure = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    set->due_at = UINT64_MAX;
}

/* Frees it. */
void
upstream_close(struct upstream_set *set)
{
    g_hash_table_destroy(set->by_id);
    g_hash_table_destroy(set->by_place);
    for (guint i = 0; i < WIRE_BUCKETS; i++) {
        g_ptr_array_free(set->buckets[i], TRUE);
    }
    g_hash_table_destroy(set->by_token);
    g_ptr_array_free(set->all, TRUE);
    g_ptr_array_free(set->services, TRUE);
    g_array_free(set->limits, TRUE);
    g_array_free(set->changed, TRUE);
    g_array_free(set->doubted, TRUE);
    g_array_free(set->told, TRUE);
    g_array_free(set->unsure, TRUE);
}

/* Handle of a service's name. */
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

/* Name of a handle. */
const char *
upstream_service_name(const struct upstream_set *set, uint16_t service)
{
    return service < set->services->len
               ? g_ptr_array_index(set->services, service)
               : "";
}

/* Sets what the upstreams of a service bear while they are cold. */
void
upstream_set_limit(struct upstream_set *set, uint16_t service,
                   const struct warmup_limit *limit)
{
    if (service >= set->limits->len) {
        g_array_set_size(set->limits, service + 1U);
    }
    g_array_index(set->limits, struct warmup_limit, service) = *limit;
}

/* What the upstreams of a service bear. */
struct warmup_limit
upstream_limit(const struct upstream_set *set, uint16_t service)
{
    static const struct warmup_limit none = {0};

    return service < set->limits->len
               ? g_array_index(set->limits, struct warmup_limit, service)
               : none;
}

/* Says whether an upstream is cold. */
bool
upstream_is_cold(const struct upstream *upstream, uint64_t now)
{
    return now < upstream->warm_at || now < upstream->back_at;
}

/* Name of a state. */
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

/* Brings the digest up to what is believed of an upstream. Kept with each
 * change, it costs nothing for a hello: a leader of 300 nodes sends 600 of
 * them a second. */
void
upstream_update_digest(struct upstream_set *set, struct upstream *upstream)
{
    uint32_t mark = upstream_mark(upstream);

    set->digests[upstream->token % WIRE_BUCKETS] += mark - upstream->mark;
    upstream->mark = mark;
}

/* Notes a deadline of a record. */
void
upstream_note_due(struct upstream_set *set, uint64_t at)
{
    set->due_at = MIN(set->due_at, at);
}

/* Notes that a record must be spread. */
void
upstream_note_change(struct upstream_set *set, const struct upstream *upstream)
{
    set->change_count++;
    g_array_append_val(set->changed, upstream->id);
}

/* Says whether a word that states no start changes what is believed of an
 * upstream whose start is known: it may be of an earlier start, told by an
 * older program. It may take the upstream out of use, no more; the next
 * registration puts right what was wrong. */
static bool
takes_out_of_use(const struct upstream *upstream, enum upstream_state state,
                 uint64_t sequence)
{
    return upstream->state == UPSTREAM_READY && state == UPSTREAM_LEAVING &&
           sequence > upstream->sequence;
}

/* Says whether a word about a start replaces what is believed. Starts of one
 * id are ordered by when they were born, words of one start by sequence, at
 * the same sequence by state. */
static bool
is_newer(const struct upstream *upstream, uint64_t born,
         enum upstream_state state, uint64_t sequence)
{
    if (born != upstream->born && !fault_is(FAULT_NO_BORN)) {
        if (born == 0) {
            return takes_out_of_use(upstream, state, sequence);
        }
        if (upstream->born != 0 || sequence <= FRESH_SEQUENCE) {
            return born > upstream->born;
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

/* Another start of an upstream: what was seen of the one before says nothing
 * of it, and it knows none of its flows. */
static void
begin_start(struct upstream *upstream, uint64_t born)
{
    upstream->born = born;
    upstream->sequence = 0;
    upstream->changed_at = 0;
    upstream->forget_at = 0;
    upstream->suspect_until = 0;
    upstream->alive_at = 0;
    upstream->took_until = 0;
    upstream->took_us = 0;
    upstream->doubt_at = 0;
    upstream->back_at = 0;
    upstream->vouch_at = 0;
    upstream->sick_until = 0;
    memset(&upstream->too_soon, 0, sizeof(upstream->too_soon));
    upstream->open = 0;
    upstream->busy = 0;
}

/* Copies what a record says of an incarnation. */
static void
take_record(struct upstream_set *set, uint64_t now, struct upstream *upstream,
            const wire_upstream *record)
{
    if (record->born > upstream->born) {
        begin_start(upstream, record->born);
    }
    if (upstream->changed_at == 0 || upstream->keeper != record->keeper ||
        upstream->state != (enum upstream_state)record->state) {
        upstream->changed_at = now - MIN(record->age_ms, now);
    }
    upstream->service = upstream_service(set, record->service);
    g_strlcpy(upstream->hall, record->hall, sizeof(upstream->hall));
    upstream->hall_hash = (uint32_t)hash_name(upstream->hall);
    upstream->emptied = hall_is_emptied(&set->halls, upstream->hall);
    upstream->address = record->address;
    upstream->port = (uint16_t)record->port;
    upstream_take_place(set, upstream);
    upstream->slots = MAX(record->slots, 1);
    upstream->state = (enum upstream_state)record->state;
    if (record->born == upstream->born) {
        upstream->sequence = record->sequence;
    }
    upstream->keeper = record->keeper;
    upstream->warm_at = now + record->warm_ms;
    if (record->keeper != set->self) {
        upstream->sick_until =
            record->sick_ms != 0 ? now + record->sick_ms : 0;
    }
    upstream->asked = false;
    upstream_clear_doubts(upstream);
    upstream_update_digest(set, upstream);
}

/* An incarnation that has just begun proves that the one before it at its
 * address has ended, up to two intervals before its silence does. */
static void
replace_holder(struct upstream_set *set, uint64_t now,
               const wire_upstream *began, bool spread)
{
    struct upstream *holder =
        began->state == UPSTREAM_READY && began->sequence <= FRESH_SEQUENCE
            ? upstream_holder_of(set, began->id, began->address, began->port)
            : NULL;

    if (holder == NULL || fault_is(FAULT_NO_REPLACE)) {
        return;
    }
    upstream_fall_silent(set, now, holder, spread);
}

/* Says whether a registration is an ended incarnation's that was held up on
 * its way: another one runs at its address now, and this one neither runs nor
 * begins. Taken, it would draw new flows for two intervals. */
static bool
is_late(const struct upstream_set *set, const struct upstream *known,
        const struct upstream_registration *r)
{
    bool may_run = known != NULL ? upstream_is_alive(known)
                                 : r->sequence <= FRESH_SEQUENCE;

    return !fault_is(FAULT_NO_REPLACE) && !r->leaving && !may_run &&
           upstream_holder_of(set, r->id, r->address, r->port) != NULL;
}

/* Takes a registration. */
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
                            .born = r->born};
    bool is_new = upstream == NULL;
    bool differs;

    if ((!is_new && !is_newer(upstream, r->born, state, r->sequence)) ||
        is_late(set, upstream, r)) {
        return false;
    }
    if (is_new) {
        replace_holder(set, now, &record, true);
        upstream = upstream_add(set, r->id);
    }
    differs = is_new || upstream->born != r->born ||
              upstream->state != state || upstream->keeper != set->self ||
              (r->warm_ms > 0 && now >= upstream->warm_at) ||
              upstream->address != r->address || upstream->port != r->port;
    take_record(set, now, upstream, &record);
    upstream->heard_at = now;
    upstream->expire_at = upstream_next_expiry(set, now);
    upstream_note_due(set, upstream->expire_at);
    if (differs) {
        upstream_note_change(set, upstream);
    }
    return true;
}

/* Marks a record gone, to be forgotten after some time. */
static void
mark_gone(struct upstream_set *set, struct upstream *upstream, uint64_t now,
          uint64_t keep_ms)
{
    upstream->state = UPSTREAM_GONE;
    upstream->expire_at = 0;
    upstream->forget_at = now + MIN(keep_ms, UPSTREAM_GONE_MS);
    upstream_update_digest(set, upstream);
    upstream_note_due(set, upstream->forget_at);
}

/* How much longer a record that another node told as gone is kept: as long as
 * there, so that all forget it together. If each counted from when it was
 * told, one that forgot would be told again, for ever. A node of an earlier
 * version tells 0. */
static uint64_t
keep_of(const wire_upstream *record)
{
    return record->warm_ms != 0 ? record->warm_ms : UPSTREAM_GONE_MS;
}

/* Says whether a word that does not state which start ends may be an earlier
 * one's, held up on its way: the one that runs has just begun, and one that
 * ends as planned says so some seconds before. */
static bool
may_be_of_earlier_start(const struct upstream *upstream)
{
    return upstream->born != 0 && upstream->state == UPSTREAM_READY &&
           upstream->sequence <= FRESH_SEQUENCE && !fault_is(FAULT_NO_BORN);
}

/* Takes an upstream's word that it ends. */
bool
upstream_deregister(struct upstream_set *set, uint64_t now, uint64_t id,
                    uint64_t born)
{
    struct upstream *upstream = upstream_by_id(set, id);

    if (upstream == NULL) {
        upstream = upstream_add(set, id);
        upstream->service = UPSTREAM_NO_SERVICE;
    }
    else if (born == 0 && may_be_of_earlier_start(upstream)) {
        return false;
    }
    if (born != 0 && born < upstream->born) {
        return true;
    }
    if (born > upstream->born) {
        begin_start(upstream, born);
    }
    else if (upstream->state == UPSTREAM_GONE) {
        return true;
    }
    upstream->changed_at = now;
    mark_gone(set, upstream, now, UPSTREAM_GONE_MS);
    upstream_note_change(set, upstream);
    return true;
}

/* Notes what another node told, for the log. */
static void
note_told(struct upstream_set *set, const wire_upstream *record)
{
    struct upstream_told told = {.id = record->id, .age_ms = record->age_ms};

    g_array_append_val(set->told, told);
}

/* Another node believes an upstream silent that registers here, since it lost
 * sight of this node: what is true is told once more, at most once in an
 * interval. */
static void
contradict(struct upstream_set *set, uint64_t now, struct upstream *upstream,
           const wire_upstream *record)
{
    if ((record->state == UPSTREAM_SILENT || record->state == UPSTREAM_LOST) &&
        upstream_is_alive(upstream) && upstream->keeper == set->self &&
        upstream->heard_at != 0 && now >= upstream->contradict_at) {
        upstream->contradict_at = now + set->interval_ms;
        upstream_note_change(set, upstream);
    }
}

/* Takes a record of another node. */
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
        contradict(set, now, upstream, record);
        return false;
    }
    if (is_new) {
        /* Whoever is told of the new one concludes the same: if each spread
         * it, all would tell all. */
        replace_holder(set, now, record, false);
        upstream = upstream_add(set, record->id);
    }
    differs = is_new || upstream->born < record->born ||
              upstream->state != record->state ||
              upstream->keeper != record->keeper ||
              upstream->address != record->address ||
              upstream->port != record->port;
    take_record(set, now, upstream, record);
    /* What this node heard before it was restarted, it watches again. */
    upstream->expire_at =
        upstream->keeper == set->self && upstream->state < UPSTREAM_SILENT
            ? upstream_moved_expiry(set, now)
            : 0;
    if (upstream->expire_at != 0) {
        upstream_note_due(set, upstream->expire_at);
    }
    if (upstream->state == UPSTREAM_GONE) {
        mark_gone(set, upstream, now, keep_of(record));
    }
    if (differs) {
        set->change_count++;
        note_told(set, record);
    }
    return differs;
}

/* Notes for an upstream whether its hall is emptied. */
static void
note_hall(struct upstream_set *set, uint64_t now, struct upstream *upstream)
{
    bool emptied = hall_is_emptied(&set->halls, upstream->hall);

    if (upstream->emptied && !emptied) {
        upstream->back_at =
            now + upstream_limit(set, upstream->service).cold_ms;
    }
    upstream->emptied = emptied;
}

/* Takes which halls are emptied. */
bool
upstream_empty_halls(struct upstream_set *set, uint64_t now,
                     const wire_halls *halls)
{
    if (!hall_take(&set->halls, halls)) {
        return false;
    }
    for (guint i = 0; i < set->all->len; i++) {
        note_hall(set, now, g_ptr_array_index(set->all, i));
    }
    return true;
}

/* Hash of a record. */
uint32_t
upstream_mark(const struct upstream *upstream)
{
    uint64_t keeper = upstream->state == UPSTREAM_GONE ? 0 : upstream->keeper;
    uint64_t start =
        upstream->born == 0
            ? upstream->id
            : hash_pair(HASH_UPSTREAM, upstream->id, upstream->born);

    return (uint32_t)hash_pair(HASH_UPSTREAM, start,
                               (uint64_t)upstream->state << 32 | keeper);
}

/* Digests by bucket. */
void
upstream_digests(const struct upstream_set *set, uint32_t out[WIRE_BUCKETS])
{
    memcpy(out, set->digests, sizeof(set->digests));
}

/* How much longer a record is warming up or, when it is gone, kept; then at
 * least 1, which tells it from not known. */
static u_int
left_ms(const struct upstream *upstream, uint64_t now)
{
    bool gone = upstream->state == UPSTREAM_GONE;
    uint64_t until =
        gone ? upstream->forget_at : MAX(upstream->warm_at, upstream->back_at);

    return until > now ? (u_int)(until - now) : gone;
}

/* Fills a record for the wire. */
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
        .warm_ms = left_ms(upstream, now),
        .keeper = upstream->keeper,
        .age_ms = (u_int)MIN(now - upstream->changed_at, UINT32_MAX),
        .service = (char *)upstream_service_name(set, upstream->service),
        .hall = (char *)upstream->hall,
        .born = upstream->born,
        .sick_ms = upstream->sick_until > now
                       ? (u_int)(upstream->sick_until - now)
                       : 0};
}
