/*
 * Liveness and response times of upstreams. Answers bypass this node (direct
 * server return), so failures are detected from the acknowledgements and
 * retransmissions of callers.
 */
#include "evidence-internal.h"

#include "fault.h"

/* A closed flow is freed after this time; both ends retransmit at intervals of
 * up to 1.6 s. */
#define CLOSED_TIMEOUT_MS 2000U
/* Callers retransmit after 200 ms or more; copies at shorter intervals were
 * delayed in the network. */
#define RETRANSMIT_MIN_MS 150U
/* A single timeout may result from a link failure or a full queue here: after
 * either, the first copy may arrive when other upstreams have already
 * answered. */
#define LOST_TIMEOUTS 2
/* Pause of the failure detection after a start or a stall, until the packets
 * and records that arrived meanwhile are processed. */
#define DETECTION_PAUSE_MS 1000U
/* Minimum interval between suspicion reports about an upstream; a caller's
 * copies are 200 ms or more apart. */
#define REPORT_INTERVAL_MS 200U
/* Minimum interval between alive reports about an upstream; each counts for 1
 * s. */
#define ALIVE_REPORT_INTERVAL_MS 500U
/* An upstream that answered here within this time is not lost for this
 * node. */
#define LOST_ALIVE_TIMEOUT_MS 2000U
/* Answers and suspicions within this time count in the check of this node's
 * own link. */
#define OWN_LINK_WINDOW_MS 1000U
/* A node suspects its own link when more than one in this many of the
 * upstreams in use do not answer it. A quarter of a service may fail at once,
 * but a full link affects all upstreams. */
#define SUSPECTED_SHARE 4U

/* Weight of a new sample in the response time (EWMA): 1/4. */
#define LATENCY_DIVISOR 4
/* Step of the running median, as a fraction of it: 1/16. A median, since a
 * third of slow upstreams hardly moves it. */
#define MEDIAN_DIVISOR 16U
/* A response time expires after this time, so that a slow upstream is tried
 * again. */
#define LATENCY_TIMEOUT_MS 10000U
/* Ratio to the median from which an upstream counts as slow; smaller
 * differences are the variation between requests. */
#define SLOW_MIN 2U
/* Upper bound of the ratio, so that slow upstreams still get flows. */
#define SLOW_MAX 8U

bool
evidence_is_overloaded(const struct evidence *ev, uint64_t now)
{
    return now < ev->overloaded_until && !fault_is(FAULT_NO_OVERLOAD);
}

bool
evidence_answer_is_due(const struct evidence_flow *flow, uint64_t now)
{
    return fault_is(FAULT_COUNT_QUEUED_AS_SENT) ||
           (flow->queued == 0 && now >= flow->dequeued_at + RETRANSMIT_MIN_MS);
}

void
evidence_note_queued(struct evidence *ev, uint64_t key)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow != NULL) {
        flow->queued++;
    }
}

/* The response timeout of data sent for the first time starts when it leaves
 * the queue. */
void
evidence_note_sent(struct evidence *ev, uint64_t now, uint64_t key,
                   uint32_t sequence)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow == NULL) {
        return;
    }
    flow->queued -= flow->queued > 0;
    flow->dequeued_at = now;
    if (flow->unanswered_since != 0 &&
        flow->unanswered_since == flow->retransmitted_at &&
        flow->unanswered_sequence == sequence) {
        flow->unanswered_since = now;
        flow->retransmitted_at = now;
    }
}

/* No answer is expected to a dropped packet. */
void
evidence_note_dropped(struct evidence *ev, uint64_t key, bool was_queued)
{
    struct evidence_flow *flow = g_hash_table_lookup(ev->flows, &key);

    if (flow == NULL) {
        return;
    }
    flow->unanswered_since = 0;
    if (was_queued && flow->queued > 0) {
        flow->queued--;
    }
}

void
evidence_pause_detection(struct evidence *ev, uint64_t now)
{
    ev->detection_paused_until = now + DETECTION_PAUSE_MS;
}

/* Packets of a flow whose upstream has restarted are still forwarded: the new
 * instance accepts flows before its registration arrives, and resets those it
 * does not have. */
struct upstream *
evidence_upstream_of(const struct evidence *ev,
                     const struct evidence_flow *flow)
{
    struct upstream *upstream = upstream_by_id(ev->upstreams, flow->upstream);

    return upstream != NULL &&
                   upstream->started_at == flow->upstream_started_at
               ? upstream
               : NULL;
}

void
evidence_set_idle(struct evidence *ev, struct evidence_flow *flow)
{
    struct upstream *upstream = evidence_upstream_of(ev, flow);

    if (flow->busy && upstream != NULL && upstream->busy > 0) {
        upstream->busy--;
    }
    flow->busy = false;
}

/* Median response time of a service, in us; 0: unknown. */
static uint32_t *
median_of(struct evidence *ev, uint16_t service)
{
    if (service >= ev->median_us->len) {
        g_array_set_size(ev->median_us, service + 1U);
    }
    return &g_array_index(ev->median_us, uint32_t, service);
}

/* Updates response times with an answer to data that was sent once: from the
 * send here to the acknowledgement of the caller. */
static void
note_latency(struct evidence *ev, uint64_t now,
             const struct evidence_packet *packet,
             const struct evidence_flow *flow, struct upstream *upstream)
{
    uint32_t latency_us =
        (uint32_t)(now - flow->unanswered_since) * 1000U + 500U;
    uint32_t *median_us = median_of(ev, upstream->service);
    int64_t difference = (int64_t)latency_us - (int64_t)upstream->latency_us;

    if (flow->retransmitted_at != flow->unanswered_since) {
        return;
    }
    evidence_note_response(ev, now, packet, upstream, latency_us);
    upstream->latency_us = upstream->latency_us == 0
                               ? latency_us
                               : (uint32_t)((int64_t)upstream->latency_us +
                                            difference / LATENCY_DIVISOR);
    upstream->latency_until = now + LATENCY_TIMEOUT_MS;
    if (*median_us == 0) {
        *median_us = latency_us;
    }
    else if (latency_us > *median_us) {
        *median_us += MAX(*median_us / MEDIAN_DIVISOR, 1U);
    }
    else {
        *median_us -= *median_us / MEDIAN_DIVISOR;
    }
}

uint32_t
evidence_slowness(const struct evidence *ev, uint64_t now,
                  const struct upstream *upstream)
{
    uint32_t median_us =
        upstream->service < ev->median_us->len
            ? g_array_index(ev->median_us, uint32_t, upstream->service)
            : 0;
    uint32_t ratio;

    if (fault_is(FAULT_NO_LATENCY) || median_us == 0 ||
        now >= upstream->latency_until) {
        return 1;
    }
    ratio = upstream->latency_us / median_us;
    return ratio < SLOW_MIN ? 1 : MIN(ratio, SLOW_MAX);
}

/* The caller acknowledged more bytes of its upstream, so the upstream is
 * alive. */
static void
note_progress(struct evidence *ev, uint64_t now,
              const struct evidence_packet *packet, struct evidence_flow *flow,
              struct upstream *upstream, uint32_t bytes)
{
    ev->answered_sent_at = MAX(ev->answered_sent_at, flow->unanswered_since);
    evidence_reach_note_answer(ev, now, upstream);
    if (flow->unanswered_since != 0) {
        note_latency(ev, now, packet, flow, upstream);
        if (ev->load.level != EVIDENCE_LOAD_OFF) {
            evidence_load_note_answer(
                ev, now, packet, upstream,
                (uint32_t)MIN((now - flow->unanswered_since) * 1000,
                              UINT32_MAX),
                bytes);
            evidence_load_note_end(ev, now, flow->key);
        }
    }
    flow->unanswered_since = 0;
    flow->has_next_sequence = false;
    flow->gap = false;
    upstream->suspect_until = 0;
    upstream->last_progress_at = now;
    if (upstream->next_suspicion_at != 0 ||
        (upstream->state == UPSTREAM_SILENT &&
         now >= upstream->next_alive_report_at)) {
        struct upstream_report alive_report = {.id = upstream->id};

        upstream->next_suspicion_at = 0;
        upstream->next_alive_report_at = now + ALIVE_REPORT_INTERVAL_MS;
        g_array_append_val(ev->upstreams->reports, alive_report);
    }
    evidence_set_idle(ev, flow);
}

/* Whether so many upstreams do not answer this node that its own link is the
 * likelier cause. */
static bool
is_own_link_suspected(const struct evidence *ev, uint64_t now)
{
    const GPtrArray *all = ev->upstreams->all;
    guint suspected = 0;
    guint answered = 0;

    for (guint i = 0; i < all->len; i++) {
        const struct upstream *u = g_ptr_array_index(all, i);

        if (now < u->next_suspicion_at + OWN_LINK_WINDOW_MS) {
            suspected++;
        }
        else if (now < u->last_progress_at + OWN_LINK_WINDOW_MS) {
            answered++;
        }
    }
    return suspected * (SUSPECTED_SHARE - 1) > answered;
}

/* Reports an upstream that left data unanswered, while later data to others
 * was answered, to the node that monitors its registrations. Three reports
 * detect a failure earlier than missed registrations. A false report is
 * withdrawn when the upstream answers. */
static void
report_unanswered(struct evidence *ev, uint64_t now,
                  const struct evidence_flow *flow, struct upstream *upstream)
{
    struct upstream_report report = {
        .id = upstream->id,
        .quiet_ms = (uint32_t)(now - flow->unanswered_since)};

    if (fault_is(FAULT_NO_SUSPICION_REPORT) ||
        now < ev->detection_paused_until ||
        now < upstream->next_suspicion_at ||
        (upstream->state != UPSTREAM_READY &&
         upstream->state != UPSTREAM_SILENT) ||
        upstream->last_progress_at > flow->unanswered_since) {
        return;
    }
    upstream->next_suspicion_at = now + REPORT_INTERVAL_MS;
    if (!is_own_link_suspected(ev, now)) {
        g_array_append_val(ev->upstreams->reports, report);
    }
}

/* Tracks gaps in the data of a flow. After a loss on the way to this node, a
 * healthy upstream does not acknowledge the data behind the gap, and the
 * caller retransmits it. */
static void
note_order(struct evidence_flow *flow, const struct evidence_packet *packet,
           uint64_t now)
{
    uint32_t end = packet->sequence + packet->length;
    int32_t distance = (int32_t)(packet->sequence - flow->next_sequence);

    if (!flow->has_next_sequence) {
        flow->has_next_sequence = true;
        flow->next_sequence = end;
    }
    else if (distance > 0) {
        flow->gap = true;
    }
    else if ((int32_t)(end - flow->next_sequence) > 0) {
        flow->next_sequence = end;
        if (flow->gap) {
            flow->gap = false;
            flow->retransmitted_at = now;
        }
    }
}

/* Counts a retransmission of unanswered data as a timeout when data sent to
 * another upstream since the previous copy was answered, none of this flow is
 * missing or queued here, and this node is not overloaded. */
static void
note_retransmission(struct evidence *ev, uint64_t now,
                    struct evidence_flow *flow, struct upstream *upstream)
{
    bool answer_due = !evidence_is_overloaded(ev, now) &&
                      evidence_answer_is_due(flow, now) &&
                      (!flow->gap || fault_is(FAULT_IGNORE_GAPS));

    flow->confirmed_timeouts =
        answer_due && ev->answered_sent_at > flow->retransmitted_at
            ? flow->confirmed_timeouts + 1
            : 0;
    flow->retransmitted_at = now;
    if (flow->confirmed_timeouts > 0) {
        evidence_reach_note_timeout(ev, now, upstream);
        report_unanswered(ev, now, flow, upstream);
    }
}

/* Notes data of the caller, new or retransmitted. */
static void
note_data(struct evidence *ev, uint64_t now,
          const struct evidence_packet *packet, struct evidence_flow *flow,
          struct upstream *upstream)
{
    note_order(flow, packet, now);
    if (flow->unanswered_since == 0) {
        flow->unanswered_since = now;
        flow->retransmitted_at = now;
        flow->unanswered_sequence = packet->sequence;
        flow->confirmed_timeouts = 0;
    }
    else if (packet->sequence == flow->unanswered_sequence &&
             now >= flow->retransmitted_at + RETRANSMIT_MIN_MS) {
        note_retransmission(ev, now, flow, upstream);
    }
    if (!flow->busy) {
        flow->busy = true;
        upstream->busy++;
        evidence_load_note_request(ev, now, packet, flow, upstream);
    }
    evidence_load_note_data(ev, now, packet, flow->key);
}

void
evidence_expire_flow(struct evidence *ev, uint64_t now,
                     struct evidence_flow *flow)
{
    if (flow->expire_at == 0) {
        evidence_set_idle(ev, flow);
        evidence_load_note_end(ev, now, flow->key);
        flow->expire_at = now + CLOSED_TIMEOUT_MS;
    }
}

void
evidence_observe(struct evidence *ev, uint64_t now,
                 const struct evidence_packet *packet,
                 struct evidence_flow *flow, struct upstream *upstream)
{
    flow->last_seen_at = now;
    if (!flow->answered) {
        evidence_reach_note_open(ev, now, upstream, flow->opened_at);
    }
    flow->answered = true;
    if (packet->acknowledged != flow->acknowledged) {
        uint32_t bytes = packet->acknowledged - flow->acknowledged;

        flow->acknowledged = packet->acknowledged;
        note_progress(ev, now, packet, flow, upstream, bytes);
    }
    if (packet->length > 0) {
        note_data(ev, now, packet, flow, upstream);
    }
    if (packet->closing) {
        evidence_expire_flow(ev, now, flow);
    }
}

/* Whether several nodes reported an upstream as lost, so that its flows end on
 * their first unanswered data, without retransmissions. An answer that this
 * node saw within LOST_ALIVE_TIMEOUT_MS takes precedence. */
static bool
is_lost_by_quorum(const struct evidence_flow *flow,
                  const struct upstream *upstream, uint64_t now)
{
    return upstream->state == UPSTREAM_LOST && flow->unanswered_since != 0 &&
           now > upstream->last_progress_at + LOST_ALIVE_TIMEOUT_MS;
}

/* Whether a node other than this one detected missing registrations or
 * answers. */
static bool
is_missed_elsewhere(const struct evidence *ev, const struct upstream *upstream)
{
    return (upstream->state == UPSTREAM_SILENT ||
            upstream->state == UPSTREAM_LOST) &&
           (upstream->keeper != ev->upstreams->self ||
            upstream->suspicions.decide_at != 0 ||
            upstream->suspicions.confirmed);
}

/* A full link, a queue or a stall of this node looks like a failed upstream,
 * and the reset of a working flow breaks it. So a flow ends only when another
 * node has missed the upstream as well, and this node saw LOST_TIMEOUTS
 * confirmed timeouts without an answer since. The reset tells the caller of a
 * failed upstream before its time budget is over. */
bool
evidence_is_lost(const struct evidence *ev, uint64_t now,
                 const struct evidence_flow *flow,
                 const struct upstream *upstream)
{
    if (fault_is(FAULT_KEEP_LOST_FLOWS) || now < ev->detection_paused_until ||
        evidence_is_overloaded(ev, now)) {
        return false;
    }
    return is_lost_by_quorum(flow, upstream, now) ||
           (is_missed_elsewhere(ev, upstream) && flow->unanswered_since != 0 &&
            flow->confirmed_timeouts >= LOST_TIMEOUTS &&
            upstream->last_progress_at <= flow->unanswered_since);
}
