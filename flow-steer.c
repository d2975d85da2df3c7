/*
 * The verdict on a packet. A flow with a record stays where it is; a flow
 * without one goes where the table says, unless its bucket moved, when up to
 * three keepers are asked in turn by handing them the packet itself.
 */
#include "flow-internal.h"

#include "hash.h"

/* One packet while it is decided. */
struct steering {
    struct flow *flow;
    const struct flow_packet *packet;
    const struct flow_service *service;
    uint64_t now;
    uint64_t wall;
    upstream_id now_owner;
    upstream_id old_owner;
    bool moved;
    const struct member *keepers[MEMBER_KEEPERS];
    size_t keeper_count;
    struct flow_verdict *out;
};

/* Notes an upstream's endpoint in a decision's record. */
static void
note_endpoint(const struct flow *flow, upstream_id id, uint32_t *address,
              uint16_t *port)
{
    const struct flow_upstream *u = flow_upstream(flow, id);

    if (u != NULL) {
        *address = u->address;
        *port = u->port;
    }
}

/* Keeps the decision for explain. */
static void
note_decision(const struct steering *s)
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
    note_endpoint(s->flow, s->out->upstream, &record.address, &record.port);
    note_endpoint(s->flow, s->now_owner, &record.new_address,
                  &record.new_port);
    note_endpoint(s->flow, s->old_owner, &record.old_address,
                  &record.old_port);
    ring_add(s->flow->options.ring, &record);
}

/* Ends with a drop. */
static void
drop(struct steering *s, enum ring_rule rule, enum counter_id counter)
{
    s->out->action = FLOW_DROP;
    s->out->rule = rule;
    counter_add(s->flow->options.counters, counter, 1);
    note_decision(s);
}

/* Ends by handing the packet to another entry. */
static void
hand(struct steering *s, enum ring_rule rule, uint64_t peer, uint8_t position)
{
    s->out->action = FLOW_HAND;
    s->out->rule = rule;
    s->out->peer = peer;
    s->out->position = position;
    s->out->hops = (uint8_t)(s->packet->hops + 1);
    s->out->origin =
        s->packet->handed ? s->packet->origin : s->flow->options.self;
    counter_add(s->flow->options.counters, COUNTER_PACKETS_TO_PEER, 1);
    note_decision(s);
}

/* Hands the packet to any peer, since this entry may not decide. */
static void
hand_to_peer(struct steering *s)
{
    uint64_t key = s->packet->hash + s->packet->hops;
    const struct member *peer =
        member_other(&s->flow->members, key, s->flow->options.self);

    if (peer == NULL) {
        drop(s, RULE_NO_LEASE, COUNTER_PACKETS_NO_UPSTREAM);
        return;
    }
    hand(s, RULE_NO_LEASE, peer->id, 0);
}

/* Ends by placing a flow that had no record here. */
static void
place(struct steering *s, enum ring_rule rule, upstream_id upstream)
{
    struct flow_record *record;
    struct flow_upstream *u;

    if (flow_upstream(s->flow, upstream) == NULL) {
        drop(s, RULE_NO_UPSTREAM, COUNTER_PACKETS_NO_UPSTREAM);
        return;
    }
    record = flow_store_put(s->flow, s->now, s->packet->hash, upstream);
    /* Only a first packet makes an origin; UDP does not mark any. */
    if ((s->packet->first || s->service->protocol == BUNDLE_UDP) &&
        s->packet->position == 0) {
        record->flags |= FLOW_FLAG_ORIGIN;
    }
    u = (struct flow_upstream *)flow_upstream(s->flow, upstream);
    u->placed++;
    s->out->action = FLOW_FORWARD;
    s->out->rule = rule;
    s->out->upstream = upstream;
    counter_add(s->flow->options.counters, COUNTER_FLOWS_NEW, 1);
    note_decision(s);
}

/* Tells the other keepers and the asking entry what a keeper decided. */
static void
tell_others(struct steering *s, upstream_id upstream)
{
    uint64_t self = s->flow->options.self;
    bool origin_told = !s->packet->handed || s->packet->origin == self;

    for (size_t i = 0; i < s->keeper_count; i++) {
        uint64_t id = s->keepers[i]->id;

        origin_told = origin_told || id == s->packet->origin;
        if (id != self) {
            flow_queue(s->flow, id, s->packet->hash, upstream, FLOW_SEND_COPY);
        }
    }
    if (!origin_told) {
        flow_queue(s->flow, s->packet->origin, s->packet->hash, upstream,
                   FLOW_SEND_HINT);
    }
}

/* Decides as the last keeper asked. */
static void
decide_as_keeper(struct steering *s)
{
    bool udp = s->service->protocol == BUNDLE_UDP;
    bool flipped = s->flow->step >= FLOW_STEP_FLIP ||
                   (udp && s->flow->step >= FLOW_STEP_MOVE &&
                    s->now >= s->flow->flip_udp_at);
    enum ring_rule rule = RULE_KEEPER_DEFAULT;
    upstream_id upstream = s->now_owner;

    if (s->moved && s->packet->first) {
        bool announced = s->flow->step < FLOW_STEP_MOVE;

        rule = announced ? RULE_KEEPER_ANNOUNCED : RULE_KEEPER_NEW;
        upstream = announced ? s->old_owner : s->now_owner;
    }
    else if (s->moved && !flipped) {
        rule = RULE_KEEPER_OLD;
        upstream = s->old_owner;
    }
    place(s, rule, upstream);
    /* Once unknown flows follow the table, a flow that does needs no record
     * at other keepers. */
    if (s->out->action == FLOW_FORWARD && s->moved && !flipped) {
        tell_others(s, upstream);
    }
}

/* Says whether this keeper's not knowing a flow is final: the step before
 * waited until all records were confirmed, and no keeper is new. */
static bool
is_complete(const struct steering *s)
{
    return s->flow->step >= FLOW_STEP_FLIP && s->now >= s->flow->complete_at;
}

/* Says whether a keeper was asked before, by whatever view. */
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

/* Finds the next keeper to ask: in this view, not this entry, not asked. */
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

/* Hands the packet to a keeper, which looks and then asks the next. */
static void
hand_to_keeper(struct steering *s, const struct member *keeper)
{
    uint8_t position = s->packet->position;

    for (size_t i = 0; i < position; i++) {
        s->out->asked[i] = s->packet->asked[i];
    }
    s->out->asked[position] = (uint16_t)keeper->id;
    hand(s, RULE_ASK_KEEPER, keeper->id, (uint8_t)(position + 1));
}

/* Asks the next keeper that has not looked, or decides after the last. */
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
    if (first_keeper && (s->packet->first || is_complete(s))) {
        decide_as_keeper(s);
        return;
    }
    next = next_keeper(s);
    if (next != NULL) {
        hand_to_keeper(s, next);
        return;
    }
    decide_as_keeper(s);
}

/* Decides about a flow that has no record here. */
static void
steer_unknown(struct steering *s)
{
    bool asked = s->packet->handed && s->packet->position > 0;
    bool disturbed;

    if (s->now >= s->flow->lease_deadline) {
        hand_to_peer(s);
        return;
    }
    s->moved = flow_is_moved(s->flow, s->service, s->packet->hash,
                             &s->now_owner, &s->old_owner);
    disturbed = flow_is_disturbed(s->service, s->now, s->packet->hash);
    if (asked || s->moved || (disturbed && !s->packet->first)) {
        ask_keepers(s);
        return;
    }
    place(s, RULE_SETTLED, s->now_owner);
}

/* Tells an entry that asks again and again. Short flows are answered packet
 * by packet, which costs a hop but no message. */
static void
tell_asker(struct steering *s, struct flow_record *record)
{
    uint32_t asked = (record->flags >> FLOW_ASKED_SHIFT) + 1;

    if (asked == FLOW_ASKED_MAX) {
        asked = 0;
        flow_queue(s->flow, s->packet->origin, s->packet->hash,
                   record->upstream, FLOW_SEND_HINT);
    }
    record->flags = (record->flags & ((1U << FLOW_ASKED_SHIFT) - 1)) |
                    (asked << FLOW_ASKED_SHIFT);
}

/* Forwards a flow that has a record. */
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
    if (s->packet->handed && s->packet->position > 0 &&
        s->packet->origin != s->flow->options.self) {
        tell_asker(s, record);
    }
}

/* Decides about one packet. */
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
        hand_to_peer(&s);
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

/* Takes another entry's record, unless one of our own exists. */
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
