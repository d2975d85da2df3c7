/*
 * What packets tell of the life of upstreams. An upstream that dies without a
 * word leaves its callers waiting, and answers go past this entry, so the only
 * signs are what callers acknowledge and what they send again. Owns no record:
 * it writes what a packet tells into the flow's and the upstream's, and leaves
 * to evidence.c which packets go where.
 */
#include "evidence-internal.h"

#include "fault.h"

/* A flow that was closed is kept this long, since its last packets may be
 * sent again (the ends' longest wait is 1.6 s). */
#define CLOSED_MS 2000U
/* A copy of data counts only so long after the one before: callers wait
 * 200 ms and more, but copies that were held up arrive together. */
#define RESEND_MS 150U
/* Copies in a row that must be proved. One may be the first after links came
 * back or a queue of this node's own drained, when others were answered
 * already. */
#define LOST_PROOFS 2
/* So long after a start or a standstill silence proves nothing: packets that
 * waited meanwhile arrive first, and records that came with them. */
#define TRUST_MS 1000U
/* An upstream is doubted in a message at most so often; its flows' copies come
 * 0.2 s apart and more. */
#define DOUBT_PAUSE_MS 200U
/* That a silent upstream answers is told at most so often: it speaks against
 * its loss for a second. */
#define VOUCH_PAUSE_MS 500U
/* An upstream that gave a sign of life here so lately is not lost for this
 * node, whatever others say. */
#define LIVES_MS 2000U
/* What packets told of upstreams within this time says whether this node's
 * own link works. */
#define LATELY_MS 1000U
/* Of the upstreams that packets told of lately, a node that lacks answers of
 * more than one in so many doubts itself, not them: a quarter of a service may
 * die at once, but a full link takes them all. */
#define DOUBT_SHARE 4U

/* Each answer moves the estimate of an upstream's time by a quarter of the
 * difference: about the last four answers count. */
#define TOOK_SHARE 4
/* Each moves the usual time of a service by a sixteenth of itself, up or
 * down, so that it settles at the median of answers: a third of slow upstreams
 * does not move it much. */
#define USUAL_SHARE 16U
/* An estimate without a new answer is forgotten after so long, so that an
 * upstream that was slow is tried again. */
#define TOOK_MS 10000U
/* An upstream is slow from so many times the usual time on; what differs less
 * is the spread of requests. */
#define SLOW_TIMES 2U
/* It weighs at most so many times as much, so that it is never left without
 * any work when all others are busy. */
#define SLOW_MOST 8U

/* Says whether what was sent of a flow has left so long ago that its
 * upstream's answer could be here. */
bool
evidence_has_left(const struct evidence_flow *flow, uint64_t now)
{
    return fault_is(FAULT_NO_WAITS) ||
           (flow->waiting == 0 && now >= flow->left_at + RESEND_MS);
}

/* A packet of a flow waits at this node's own link. */
void
evidence_note_waits(struct evidence *ev, uint64_t key)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow != NULL) {
        flow->waiting++;
    }
}

/* A packet of a flow that waited has left: what its upstream owes counts from
 * now on. */
void
evidence_note_left(struct evidence *ev, uint64_t now, uint64_t key,
                   uint32_t sequence)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow == NULL) {
        return;
    }
    flow->waiting -= flow->waiting > 0;
    flow->left_at = now;
    if (flow->sent_at != 0 && flow->sent_at == flow->resent_at &&
        flow->sequence == sequence) {
        flow->sent_at = now;
        flow->resent_at = now;
    }
}

/* A packet of a flow never left: its upstream owes no answer to it. */
void
evidence_note_unsent(struct evidence *ev, uint64_t key, bool waited)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow == NULL) {
        return;
    }
    flow->sent_at = 0;
    if (waited && flow->waiting > 0) {
        flow->waiting--;
    }
}

/* Lets silence prove nothing for TRUST_MS. */
void
evidence_distrust(struct evidence *ev, uint64_t now)
{
    ev->trust_at = now + TRUST_MS;
}

/* Upstream of a flow; NULL when its record is gone, or another start of it is
 * believed to run. Packets of the flow go there still: only the upstream knows
 * which of its starts had opened it, since the word of a new one comes after
 * it takes flows, and it resets those that it does not hold. */
struct upstream *
evidence_upstream_of(const struct evidence *ev,
                     const struct evidence_flow *flow)
{
    struct upstream *upstream = upstream_by_id(ev->upstreams, flow->upstream);

    return upstream != NULL && upstream->born == flow->born ? upstream : NULL;
}

/* Ends the work that a flow is thought to cause. */
void
evidence_set_idle(struct evidence *ev, struct evidence_flow *flow)
{
    struct upstream *upstream = evidence_upstream_of(ev, flow);

    if (flow->busy && upstream != NULL && upstream->busy > 0) {
        upstream->busy--;
    }
    flow->busy = false;
}

/* The usual time of a service. */
static uint32_t *
usual_of(struct evidence *ev, uint16_t service)
{
    if (service >= ev->usual_us->len) {
        g_array_set_size(ev->usual_us, service + 1U);
    }
    return &g_array_index(ev->usual_us, uint32_t, service);
}

/* Data that was sent once was answered: notes how long that took, from here to
 * the caller's acknowledgement. */
static void
note_took(struct evidence *ev, uint64_t now,
          const struct evidence_packet *packet,
          const struct evidence_flow *flow, struct upstream *upstream)
{
    uint32_t took_us = (uint32_t)(now - flow->sent_at) * 1000U + 500U;
    uint32_t *usual_us = usual_of(ev, upstream->service);
    int64_t more = (int64_t)took_us - (int64_t)upstream->took_us;

    if (flow->resent_at != flow->sent_at) {
        return;
    }
    evidence_note_answer(ev, now, packet, upstream, took_us);
    upstream->took_us =
        upstream->took_us == 0
            ? took_us
            : (uint32_t)((int64_t)upstream->took_us + more / TOOK_SHARE);
    upstream->took_until = now + TOOK_MS;
    if (*usual_us == 0) {
        *usual_us = took_us;
    }
    else if (took_us > *usual_us) {
        *usual_us += MAX(*usual_us / USUAL_SHARE, 1U);
    }
    else {
        *usual_us -= *usual_us / USUAL_SHARE;
    }
}

/* How many times as long as usual an upstream takes. */
uint32_t
evidence_slowness(const struct evidence *ev, uint64_t now,
                  const struct upstream *upstream)
{
    uint32_t usual_us =
        upstream->service < ev->usual_us->len
            ? g_array_index(ev->usual_us, uint32_t, upstream->service)
            : 0;
    uint32_t times;

    if (fault_is(FAULT_NO_TOOK) || usual_us == 0 ||
        now >= upstream->took_until) {
        return 1;
    }
    times = upstream->took_us / usual_us;
    return times < SLOW_TIMES ? 1 : MIN(times, SLOW_MOST);
}

/* The caller got more bytes of its upstream: a sign of life. */
static void
note_progress(struct evidence *ev, uint64_t now,
              const struct evidence_packet *packet, struct evidence_flow *flow,
              struct upstream *upstream)
{
    ev->answered_sent_at = MAX(ev->answered_sent_at, flow->sent_at);
    evidence_reach_answered(ev, now, upstream);
    if (flow->sent_at != 0) {
        note_took(ev, now, packet, flow, upstream);
    }
    flow->sent_at = 0;
    flow->ordered = false;
    flow->hole = false;
    upstream->suspect_until = 0;
    upstream->alive_at = now;
    if (upstream->doubt_at != 0 ||
        (upstream->state == UPSTREAM_SILENT && now >= upstream->vouch_at)) {
        struct upstream_doubt answered = {.id = upstream->id};

        upstream->doubt_at = 0;
        upstream->vouch_at = now + VOUCH_PAUSE_MS;
        g_array_append_val(ev->upstreams->doubted, answered);
    }
    evidence_set_idle(ev, flow);
}

/* Says whether this node lacks the answers of so many upstreams that its own
 * link is the likelier cause. */
static bool
is_own_trouble(const struct evidence *ev, uint64_t now)
{
    const GPtrArray *all = ev->upstreams->all;
    guint doubted = 0;
    guint answered = 0;

    for (guint i = 0; i < all->len; i++) {
        const struct upstream *u = g_ptr_array_index(all, i);

        if (now < u->doubt_at + LATELY_MS) {
            doubted++;
        }
        else if (now < u->alive_at + LATELY_MS) {
            answered++;
        }
    }
    return doubted * (DOUBT_SHARE - 1) > answered;
}

/* Data was sent again though others answered what was sent after the copy
 * before: the node that hears this upstream is told. Three nodes that say so
 * prove sooner than missing registrations do that it is lost, so callers of
 * repeatable requests are still in time with another one. A doubt that a loss
 * on the way brought about is taken back when the next copy is answered. */
static void
note_doubt(struct evidence *ev, uint64_t now, const struct evidence_flow *flow,
           struct upstream *upstream)
{
    struct upstream_doubt doubt = {
        .id = upstream->id, .quiet_ms = (uint32_t)(now - flow->sent_at)};

    if (fault_is(FAULT_NO_DOUBT) || now < ev->trust_at ||
        now < upstream->doubt_at ||
        (upstream->state != UPSTREAM_READY &&
         upstream->state != UPSTREAM_SILENT) ||
        upstream->alive_at > flow->sent_at) {
        return;
    }
    upstream->doubt_at = now + DOUBT_PAUSE_MS;
    if (!is_own_trouble(ev, now)) {
        g_array_append_val(ev->upstreams->doubted, doubt);
    }
}

/* Notes whether data comes in order. Where something before it was lost on its
 * way to this node, an upstream that is well acknowledges nothing beyond, and
 * the caller sends again what this node has sent on. */
static void
note_order(struct evidence_flow *flow, const struct evidence_packet *packet,
           uint64_t now)
{
    uint32_t end = packet->sequence + packet->length;
    int32_t beyond = (int32_t)(packet->sequence - flow->next);

    if (!flow->ordered) {
        flow->ordered = true;
        flow->next = end;
    }
    else if (beyond > 0) {
        flow->hole = true;
    }
    else if ((int32_t)(end - flow->next) > 0) {
        flow->next = end;
        if (flow->hole) {
            flow->hole = false;
            flow->resent_at = now;
        }
    }
}

/* A copy of data that has no answer yet: proves something only when another
 * upstream answered what was sent after the copy before, and nothing of the
 * flow is missing or waits here. */
static void
note_copy(struct evidence *ev, uint64_t now, struct evidence_flow *flow,
          struct upstream *upstream)
{
    bool owed = evidence_has_left(flow, now) &&
                (!flow->hole || fault_is(FAULT_NO_ORDER));

    flow->proofs =
        owed && ev->answered_sent_at > flow->resent_at ? flow->proofs + 1 : 0;
    flow->resent_at = now;
    if (flow->proofs > 0) {
        evidence_reach_missed(ev, now, upstream);
        note_doubt(ev, now, flow, upstream);
    }
}

/* The caller sends data, perhaps again. */
static void
note_data(struct evidence *ev, uint64_t now,
          const struct evidence_packet *packet, struct evidence_flow *flow,
          struct upstream *upstream)
{
    note_order(flow, packet, now);
    if (flow->sent_at == 0) {
        flow->sent_at = now;
        flow->resent_at = now;
        flow->sequence = packet->sequence;
        flow->proofs = 0;
    }
    else if (packet->sequence == flow->sequence &&
             now >= flow->resent_at + RESEND_MS) {
        note_copy(ev, now, flow, upstream);
    }
    if (!flow->busy) {
        flow->busy = true;
        upstream->busy++;
    }
}

/* Forgets a flow that ended, once its last copies have passed. */
void
evidence_forget(struct evidence *ev, uint64_t now, struct evidence_flow *flow)
{
    if (flow->forget_at == 0) {
        evidence_set_idle(ev, flow);
        flow->forget_at = now + CLOSED_MS;
    }
}

/* Notes what a packet tells of the work and the life of its upstream. */
void
evidence_learn(struct evidence *ev, uint64_t now,
               const struct evidence_packet *packet,
               struct evidence_flow *flow, struct upstream *upstream)
{
    flow->seen_at = now;
    if (!flow->answered) {
        evidence_reach_opened(ev, now, upstream, flow->opened_at);
    }
    flow->answered = true;
    if (packet->acknowledged != flow->acknowledged) {
        flow->acknowledged = packet->acknowledged;
        note_progress(ev, now, packet, flow, upstream);
    }
    if (packet->length > 0) {
        note_data(ev, now, packet, flow, upstream);
    }
    if (packet->closing) {
        evidence_forget(ev, now, flow);
    }
}

/* Says whether a flow's upstream is lost for everybody: its registrations stay
 * away, three nodes got no answer, none saw one since, nor did this one for a
 * while. Then data ends its flow at once, without copies of its own. Buys the
 * callers of long flows an end before they notice: of the requests late while
 * a quarter of the upstreams was dark, those that began 1.6 s after it. */
static bool
is_lost_for_all(const struct evidence_flow *flow,
                const struct upstream *upstream, uint64_t now)
{
    return upstream->state == UPSTREAM_LOST && flow->sent_at != 0 &&
           now > upstream->alive_at + LIVES_MS;
}

/* Says whether another node missed an upstream. */
static bool
is_missed_elsewhere(const struct evidence *ev, const struct upstream *upstream)
{
    return (upstream->state == UPSTREAM_SILENT ||
            upstream->state == UPSTREAM_LOST) &&
           (upstream->keeper != ev->upstreams->self ||
            upstream->doubts.decide_at != 0 || upstream->doubts.proved);
}

/* Says whether a flow's upstream is lost. A reset of a flow that could go on
 * breaks it, so what this node sees alone is not enough: its own link, queue
 * or standstill looks the same. Another node must have missed its
 * registrations, and this one must have seen LOST_PROOFS copies go unanswered
 * while others answered, with no sign of life since. Buys the callers of a
 * dead upstream an end before their time budget. */
bool
evidence_is_lost(const struct evidence *ev, uint64_t now,
                 const struct evidence_flow *flow,
                 const struct upstream *upstream)
{
    if (fault_is(FAULT_NO_LOST) || now < ev->trust_at) {
        return false;
    }
    return is_lost_for_all(flow, upstream, now) ||
           (is_missed_elsewhere(ev, upstream) && flow->sent_at != 0 &&
            flow->proofs >= LOST_PROOFS &&
            upstream->alive_at <= flow->sent_at);
}
