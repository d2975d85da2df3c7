/*
 * Steering decision for a packet. A recorded flow stays at its upstream;
 * others follow the consistent-hash table. If the bucket moved, the packet is
 * forwarded through up to three keepers, which may hold a record.
 */
#include "flow-internal.h"

#include "hash.h"

/* Context of one decision. */
struct steering {
    struct flow *flow;
    const struct flow_packet *packet;
    const struct flow_service *service;
    uint64_t now;
    uint64_t wall;
    upstream_id new_owner;
    upstream_id old_owner;
    bool is_moving;
    const struct member *keepers[MEMBER_KEEPERS];
    size_t keeper_count;
    struct flow_verdict *out;
};

static void
copy_endpoint(const struct flow *flow, upstream_id id, uint32_t *address,
              uint16_t *port)
{
    const struct flow_upstream *u = flow_upstream(flow, id);

    if (u != NULL) {
        *address = u->address;
        *port = u->port;
    }
}

/* Adds the decision to the ring for explain. */
static void
record_decision(const struct steering *s)
{
    struct ring_record record = {
        .at = s->wall,
        .subject = s->packet->hash,
        .version = s->flow->version,
        .epoch = s->flow->members.epoch,
        .peer = s->out->peer,
        .kind = RING_FLOW,
        .rule = (uint8_t)s->out->rule,
        .step = (uint8_t)s->flow->step,
        .first = s->packet->first,
    };

    if (s->flow->options.ring == NULL) {
        return;
    }
    if (s->service != NULL) {
        record.service = s->service->key;
        record.table_digest = s->service->digest;
    }
    copy_endpoint(s->flow, s->out->upstream, &record.address, &record.port);
    copy_endpoint(s->flow, s->new_owner, &record.new_address,
                  &record.new_port);
    copy_endpoint(s->flow, s->old_owner, &record.old_address,
                  &record.old_port);
    ring_add(s->flow->options.ring, &record);
}

static void
drop(struct steering *s, enum ring_rule rule, enum counter_id counter)
{
    s->out->action = FLOW_DROP;
    s->out->rule = rule;
    counter_add(s->flow->options.counters, counter, 1);
    record_decision(s);
}

static void
forward_to_entry(struct steering *s, enum ring_rule rule, uint64_t peer,
                 uint8_t position)
{
    s->out->action = FLOW_FORWARD_TO_ENTRY;
    s->out->rule = rule;
    s->out->peer = peer;
    s->out->position = position;
    s->out->hops = (uint8_t)(s->packet->hops + 1);
    s->out->origin =
        s->packet->forwarded ? s->packet->origin : s->flow->options.self;
    counter_add(s->flow->options.counters, COUNTER_PACKETS_TO_PEER, 1);
    record_decision(s);
}

/* Without a lease this entry may not decide; another member has to. */
static void
forward_to_any_entry(struct steering *s)
{
    uint64_t key = s->packet->hash + s->packet->hops;
    const struct member *peer =
        member_find_peer(&s->flow->members, key, s->flow->options.self);

    if (peer == NULL) {
        drop(s, RULE_NO_LEASE, COUNTER_PACKETS_NO_UPSTREAM);
        return;
    }
    forward_to_entry(s, RULE_NO_LEASE, peer->id, 0);
}

/* Assigns a flow without a local record to an upstream. */
static void
assign(struct steering *s, enum ring_rule rule, upstream_id upstream)
{
    struct flow_record *record;
    struct flow_upstream *u;

    if (flow_upstream(s->flow, upstream) == NULL) {
        drop(s, RULE_NO_UPSTREAM, COUNTER_PACKETS_NO_UPSTREAM);
        return;
    }
    record = flow_store_put(s->flow, s->now, s->packet->hash, upstream);
    /* The origin saw the first packet, which UDP does not mark. */
    if ((s->packet->first || s->service->protocol == BUNDLE_UDP) &&
        s->packet->position == 0) {
        record->flags |= FLOW_FLAG_ORIGIN;
    }
    u = (struct flow_upstream *)flow_upstream(s->flow, upstream);
    u->assigned++;
    s->out->action = FLOW_FORWARD;
    s->out->rule = rule;
    s->out->upstream = upstream;
    counter_add(s->flow->options.counters, COUNTER_FLOWS_NEW, 1);
    record_decision(s);
}

/* Sends a keeper's decision to the other keepers and to the origin. */
static void
replicate_decision(struct steering *s, upstream_id upstream)
{
    uint64_t self = s->flow->options.self;
    bool origin_has_record =
        !s->packet->forwarded || s->packet->origin == self;

    for (size_t i = 0; i < s->keeper_count; i++) {
        uint64_t id = s->keepers[i]->id;

        origin_has_record = origin_has_record || id == s->packet->origin;
        if (id != self) {
            flow_enqueue(s->flow, id, s->packet->hash, upstream,
                         FLOW_SEND_COPY);
        }
    }
    if (!origin_has_record) {
        flow_enqueue(s->flow, s->packet->origin, s->packet->hash, upstream,
                     FLOW_SEND_HINT);
    }
}

/* Decides, as a keeper, for a flow without a record. */
static void
decide_as_keeper(struct steering *s)
{
    bool udp = s->service->protocol == BUNDLE_UDP;
    bool flipped = s->flow->step >= FLOW_STEP_FLIP ||
                   (udp && s->flow->step >= FLOW_STEP_MOVE &&
                    s->now >= s->flow->flip_udp_at);
    enum ring_rule rule = RULE_KEEPER_DEFAULT;
    upstream_id upstream = s->new_owner;

    if (s->is_moving && s->packet->first) {
        bool announced = s->flow->step < FLOW_STEP_MOVE;

        rule = announced ? RULE_KEEPER_ANNOUNCED : RULE_KEEPER_NEW;
        upstream = announced ? s->old_owner : s->new_owner;
    }
    else if (s->is_moving && !flipped) {
        rule = RULE_KEEPER_OLD;
        upstream = s->old_owner;
    }
    assign(s, rule, upstream);
    /* After the flip unknown flows follow the table and need no record at
     * other keepers. */
    if (s->out->action == FLOW_FORWARD && s->is_moving && !flipped) {
        replicate_decision(s, upstream);
    }
}

/* True if a missing record is final: the step before FLOW_STEP_FLIP waited
 * for all records, and no keeper is new. */
static bool
keepers_have_all(const struct steering *s)
{
    return s->flow->step >= FLOW_STEP_FLIP && s->now >= s->flow->replicated_at;
}

/* True if the keeper is among those asked, in any view. */
static bool
was_asked(const struct steering *s, uint64_t id)
{
    size_t count = MIN(s->packet->position, FLOW_ASKED_KEEPERS);

    for (size_t i = 0; i < count; i++) {
        if (s->packet->asked[i] == (uint16_t)id) {
            return true;
        }
    }
    return false;
}

/* Next keeper of this view that was not asked yet; NULL if none is left. */
static const struct member *
next_keeper(const struct steering *s)
{
    if (s->packet->position >= FLOW_ASKED_KEEPERS) {
        return NULL;
    }
    for (size_t i = 0; i < s->keeper_count; i++) {
        if (s->keepers[i]->id != s->flow->options.self &&
            !was_asked(s, s->keepers[i]->id)) {
            return s->keepers[i];
        }
    }
    return NULL;
}

/* The keeper looks for a record, then asks the next keeper. */
static void
forward_to_keeper(struct steering *s, const struct member *keeper)
{
    uint8_t position = s->packet->position;

    for (size_t i = 0; i < position; i++) {
        s->out->asked[i] = s->packet->asked[i];
    }
    s->out->asked[position] = (uint16_t)keeper->id;
    forward_to_entry(s, RULE_ASK_KEEPER, keeper->id, (uint8_t)(position + 1));
}

/* Decides as a keeper, or forwards to the next one. */
static void
ask_keepers(struct steering *s)
{
    uint64_t self = s->flow->options.self;
    const struct member *next;
    bool first_keeper;

    s->keeper_count = member_keepers(
        &s->flow->members, hash_pair(HASH_BUCKET, s->packet->hash, 0),
        MEMBER_KEEPERS, s->keepers);
    first_keeper = s->packet->position > 0 ||
                   (s->keeper_count > 0 && s->keepers[0]->id == self);
    if (first_keeper && (s->packet->first || keepers_have_all(s))) {
        decide_as_keeper(s);
        return;
    }
    next = next_keeper(s);
    if (next != NULL) {
        forward_to_keeper(s, next);
        return;
    }
    decide_as_keeper(s);
}

/* Decides for a flow without a local record. */
static void
steer_unknown(struct steering *s)
{
    bool asked = s->packet->forwarded && s->packet->position > 0;
    bool moved_recently;

    if (s->now >= s->flow->lease_deadline) {
        forward_to_any_entry(s);
        return;
    }
    s->is_moving = flow_bucket_is_moving(s->flow, s->service, s->packet->hash,
                                         &s->new_owner, &s->old_owner);
    moved_recently =
        flow_bucket_moved_recently(s->service, s->now, s->packet->hash);
    if (asked || s->is_moving || (moved_recently && !s->packet->first)) {
        ask_keepers(s);
        return;
    }
    assign(s, RULE_SETTLED, s->new_owner);
}

/* Counts the queries of an entry and sends it a hint after FLOW_QUERIES_MAX.
 * A short flow ends before that and costs no hint. */
static void
count_query(struct steering *s, struct flow_record *record)
{
    uint32_t asked = (record->flags >> FLOW_QUERIES_SHIFT) + 1;

    if (asked == FLOW_QUERIES_MAX) {
        asked = 0;
        flow_enqueue(s->flow, s->packet->origin, s->packet->hash,
                     record->upstream, FLOW_SEND_HINT);
    }
    record->flags = (record->flags & ((1U << FLOW_QUERIES_SHIFT) - 1)) |
                    (asked << FLOW_QUERIES_SHIFT);
}

static void
steer_recorded(struct steering *s, struct flow_record *record)
{
    flow_store_touch(record, s->now);
    if (s->packet->closing) {
        record->flags |= FLOW_FLAG_CLOSING;
    }
    s->out->action = FLOW_FORWARD;
    s->out->rule = RULE_RECORDED;
    s->out->upstream = record->upstream;
    if (s->packet->forwarded && s->packet->position > 0 &&
        s->packet->origin != s->flow->options.self) {
        count_query(s, record);
    }
}

void
flow_steer(struct flow *flow, uint64_t now, uint64_t wall,
           const struct flow_packet *packet, struct flow_verdict *out)
{
    struct steering s = {
        .flow = flow, .packet = packet, .now = now, .wall = wall, .out = out};
    struct flow_record *record;
    const struct flow_upstream *upstream;

    *out = (struct flow_verdict){0};
    if (packet->hops > FLOW_HOPS_MAX) {
        drop(&s, RULE_HOP_LIMIT, COUNTER_PACKETS_HOP_LIMIT);
        return;
    }
    if (now >= flow->lease_deadline + FLOW_STALE_MS) {
        forward_to_any_entry(&s);
        return;
    }
    if (packet->service >= flow->service_count) {
        drop(&s, RULE_NO_SERVICE, COUNTER_PACKETS_NO_SERVICE);
        return;
    }
    s.service = &flow->services[packet->service];
    record = flow_store_find(&flow->store, packet->hash);
    upstream = record ? flow_upstream(flow, record->upstream) : NULL;
    if (upstream != NULL && upstream->service == packet->service) {
        steer_recorded(&s, record);
        return;
    }
    steer_unknown(&s);
}

void
flow_learn(struct flow *flow, uint64_t now, uint64_t hash, uint32_t address,
           uint16_t port)
{
    struct flow_record *record = flow_store_find(&flow->store, hash);
    upstream_id upstream = flow_lookup_upstream(flow, address, port);

    if (hash == 0 || flow_upstream(flow, upstream) == NULL) {
        counter_add(flow->options.counters, COUNTER_MSGS_STALE, 1);
        return;
    }
    if (record != NULL && flow_upstream(flow, record->upstream) != NULL) {
        return;
    }
    (void)flow_store_put(flow, now, hash, upstream);
    counter_add(flow->options.counters, COUNTER_RECORDS_LEARNED, 1);
}
