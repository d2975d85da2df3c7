/*
 * What packets tell of the life of upstreams. An upstream that dies without a
 * word leaves its callers waiting, and answers go past this entry, so the only
 * signs are what callers acknowledge and what they send again. Owns no record:
 * it writes what a packet tells into the flow's and the upstream's, and leaves
 * to evidence.c which packets go where.
 */
#include "evidence-internal.h"

/* A flow that was closed is kept this long, since its last packets may be
 * sent again (the ends' longest wait is 1.6 s). */
#define CLOSED_MS 2000U
/* A copy of data counts only so long after the one before: callers wait
 * 200 ms and more, but copies that were held up arrive together. */
#define RESEND_MS 150U
/* One flow alone proves a loss with so many copies, after 0.6 s. In trials of
 * ten days on four deployments that only logged, no flow that this would have
 * ended went on (journal of 2026-12-02, "would the noticing ... be right"). */
#define LOST_RESENDS 2
/* So many flows prove it together, with a copy each, after 0.2 s. */
#define LOST_FLOWS 2
/* But only copies that come so near each other: on a quiet day two packets
 * that were lost a while apart prove nothing. Ends wait at most 1.6 s between
 * copies. */
#define TOGETHER_MS 2000U
/* A lost upstream gets no new flow for so long, unless it shows life: by then
 * its registrations have stayed away too. */
#define LOST_MS 3000U
/* So long after a start or a standstill silence proves nothing: flows whose
 * packets were lost meanwhile go on at their ends' pace, and these wait up to
 * 1.6 s between copies, on both sides. */
#define TRUST_MS 4000U

/* Lets silence prove nothing for TRUST_MS. */
void
evidence_distrust(struct evidence *ev, uint64_t now)
{
    ev->trust_at = now + TRUST_MS;
}

/* Upstream of a flow; NULL when its record is gone. */
struct upstream *
evidence_upstream_of(const struct evidence *ev,
                     const struct evidence_flow *flow)
{
    return upstream_by_id(ev->upstreams, flow->upstream);
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

/* The caller got more bytes of its upstream: a sign of life. */
static void
note_progress(struct evidence *ev, uint64_t now, struct evidence_flow *flow,
              struct upstream *upstream)
{
    ev->answered_sent_at = MAX(ev->answered_sent_at, flow->sent_at);
    flow->sent_at = 0;
    upstream->suspect_until = 0;
    upstream->alive_at = now;
    upstream->stalled_flows = 0;
    evidence_set_idle(ev, flow);
}

/* A flow's data was sent again for the first time. */
static void
note_stalled(uint64_t now, struct upstream *upstream)
{
    if (now > upstream->stalled_at + TOGETHER_MS) {
        upstream->stalled_flows = 0;
    }
    upstream->stalled_at = now;
    upstream->stalled_flows++;
}

/* The caller sends data, perhaps again. */
static void
note_data(uint64_t now, const struct evidence_packet *packet,
          struct evidence_flow *flow, struct upstream *upstream)
{
    if (flow->sent_at == 0) {
        flow->sent_at = now;
        flow->resent_at = now;
        flow->sequence = packet->sequence;
        flow->resends = 0;
    }
    else if (packet->sequence == flow->sequence &&
             now >= flow->resent_at + RESEND_MS) {
        flow->resent_at = now;
        if (flow->resends++ == 0) {
            note_stalled(now, upstream);
        }
    }
    if (!flow->busy) {
        flow->busy = true;
        upstream->busy++;
    }
}

/* Notes what a packet tells of the work and the life of its upstream. */
void
evidence_learn(struct evidence *ev, uint64_t now,
               const struct evidence_packet *packet,
               struct evidence_flow *flow, struct upstream *upstream)
{
    flow->seen_at = now;
    flow->answered = true;
    if (packet->acknowledged != flow->acknowledged) {
        flow->acknowledged = packet->acknowledged;
        note_progress(ev, now, flow, upstream);
    }
    if (packet->length > 0) {
        note_data(now, packet, flow, upstream);
    }
    if (packet->closing && flow->forget_at == 0) {
        evidence_set_idle(ev, flow);
        flow->forget_at = now + CLOSED_MS;
    }
}

/* Says whether a flow's upstream is lost. Data must have been sent to it again
 * without any sign of life since, and what this entry sent later must have
 * been answered by another one: then neither this entry's links nor a moment's
 * congestion is the cause. */
bool
evidence_is_lost(const struct evidence *ev, uint64_t now,
                 const struct evidence_flow *flow,
                 const struct upstream *upstream)
{
    if (now < ev->trust_at || flow->sent_at == 0 || flow->resends == 0 ||
        upstream->alive_at > flow->sent_at ||
        ev->answered_sent_at <= flow->sent_at) {
        return false;
    }
    return upstream->state == UPSTREAM_SILENT ||
           flow->resends >= LOST_RESENDS ||
           upstream->stalled_flows >= LOST_FLOWS;
}

/* Ends a flow whose upstream is lost. */
void
evidence_give_up(struct evidence *ev, uint64_t now, struct evidence_flow *flow,
                 struct upstream *upstream)
{
    upstream->suspect_until = now + LOST_MS;
    evidence_set_idle(ev, flow);
    if (flow->forget_at == 0) {
        flow->forget_at = now + CLOSED_MS;
    }
}
