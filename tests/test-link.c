/*
 * A node whose link is small, and callers that send much: what it sends fits
 * its link, callers of small requests do not wait behind large ones, and no
 * upstream is blamed for what the link held up.
 *
 * The load: a link of 2 Mbit/s that keeps 20 ms of bytes and loses what comes
 * beyond, and callers that each send 80,000 bytes, with 16 packets under way,
 * beside others that ask for something small fifty times a second. Ends send
 * again what is not acknowledged after 200 ms, then after twice as long each
 * time. All upstreams are well.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "egress.h"
#include "fixture.h"
#include "mutation.h"

#define UPSTREAMS 60U
#define LINK_KBIT_S 2000U
#define LINK_QUEUE_MS 20U
#define UDP_HEADERS_BYTES 28U /* IP and UDP */
#define HEADERS_BYTES 72U     /* those, the packet's own and its prefix */
#define DATA_BYTES 1200U
#define UPLOAD_PACKETS 67U
#define WINDOW 16U
#define RESEND_MS 200U
#define RESEND_MOST_MS 1600U
#define ANSWER_MS 5U /* from the last byte to the answer's arrival */
#define TRAVEL_MS                                                             \
    2U             /* from the node to an upstream, and back to the caller    \
                    */
#define ASK_MS 20U /* between two small requests */
#define ASK_BYTES 200U
#define SCENE_MS 8000U
#define FLOWS_MAX 512U

/* Callers that begin to send much at the same time. */
struct scene {
    const char *name;
    unsigned uploads;
    unsigned packets; /* of each */
    uint64_t done_ms; /* all of them must be through by then: one and a half
                         times what the link takes for their bytes */
    uint64_t ask_ms;  /* a small request's first packet is at its upstream by
                         then */
};

static const struct scene scenes[] = {
    {"one-upload", 1, UPLOAD_PACKETS, 520, 50},
    {"two-uploads", 2, UPLOAD_PACKETS, 1030, 50},
    {"four-uploads", 4, UPLOAD_PACKETS, 2060, 50},
    {"eight-uploads", 8, UPLOAD_PACKETS, 4110, 60},
    {"fifty-begin-at-once", 50, 2, 770, 300},
};

/* One packet's worth of data of a flow. */
struct segment {
    uint64_t send_at;    /* deadline: goes (again) to the node then */
    uint64_t wait_ms;    /* before the next copy */
    uint64_t arrives_at; /* at the upstream, 0: it does not */
    bool arrived;
    bool acknowledged;
};

/* A caller's flow. */
struct flow {
    uint16_t port;
    unsigned count; /* of segments */
    uint32_t bytes; /* of each */
    uint32_t token;
    uint64_t began_at;
    uint64_t answered_at; /* at the caller, 0: not yet */
    bool told;            /* the caller acknowledged the answer */
    struct segment segments[UPLOAD_PACKETS];
};

/* The node, its link and its callers. */
struct world {
    struct fixture f;
    struct egress egress;
    uint64_t link_free_at_us; /* the link has sent all that it took */
    struct flow flows[FLOWS_MAX];
    unsigned flow_count;
    unsigned lost;    /* by the link */
    unsigned refused; /* by the node */
    unsigned doubts;  /* told to others */
    uint64_t slowest_ask_ms;
};

/* The link takes a packet; when it is at its upstream, 0: it is lost. */
static uint64_t
offer(struct world *w, uint64_t now, uint32_t length)
{
    uint64_t now_us = now * 1000;
    uint64_t takes_us = (length + HEADERS_BYTES) * 8000ULL / LINK_KBIT_S;
    uint64_t begins_us = MAX(now_us, w->link_free_at_us);

    if (begins_us > now_us + LINK_QUEUE_MS * 1000) {
        w->lost++;
        return 0;
    }
    w->link_free_at_us = begins_us + takes_us;
    return w->link_free_at_us / 1000 + 1 + TRAVEL_MS;
}

/* A packet of a flow. */
static struct evidence_packet
packet_of(const struct flow *flow, bool first)
{
    struct evidence_packet packet =
        fixture_packet(flow->port, first, first ? 0 : flow->token, 0);

    packet.acknowledged = flow->told ? 1 : 0;
    return packet;
}

/* A packet leaves the node. */
static void
leave(struct world *w, uint64_t now, struct flow *flow, uint32_t sequence)
{
    uint64_t arrives_at = offer(w, now, sequence != 0 ? flow->bytes : 0);
    struct segment *segment;

    if (sequence == 0) {
        return;
    }
    segment = &flow->segments[(sequence - 1) / flow->bytes];
    if (arrives_at != 0 && segment->arrives_at == 0) {
        segment->arrives_at = arrives_at;
    }
}

/* The node sends a packet on, at once or in its turn. */
static void
send_on(struct world *w, uint64_t now, struct flow *flow,
        const struct evidence_packet *packet)
{
    static const uint8_t bytes[HEADERS_BYTES + DATA_BYTES];
    struct egress_head head = {
        .kind = EGRESS_CALLER,
        .flow = evidence_hash(packet),
        .content_hash = packet->length > 0
                            ? (uint64_t)flow->port << 32 | packet->sequence
                            : 0,
        .sequence = packet->sequence,
        .address = (uint32_t)(flow - w->flows)};

    switch (egress_enqueue(&w->egress, now * 1000, &head, bytes,
                           HEADERS_BYTES - UDP_HEADERS_BYTES + packet->length,
                           NULL, 0)) {
    case EGRESS_SEND_NOW:
        leave(w, now, flow, packet->sequence);
        break;
    case EGRESS_QUEUED:
        evidence_note_queued(&w->f.ev, head.flow);
        break;
    case EGRESS_DUPLICATE:
        break;
    case EGRESS_QUEUE_FULL:
        evidence_note_dropped(&w->f.ev, head.flow, false);
        break;
    }
}

/* What waits leaves as the link takes it. */
static void
drain(struct world *w, uint64_t now)
{
    struct egress_item *item;

    while ((item = egress_dequeue(&w->egress, now * 1000)) != NULL) {
        leave(w, now, &w->flows[item->head.address], item->head.sequence);
        evidence_note_sent(&w->f.ev, now, item->head.flow,
                           item->head.sequence);
        g_free(item);
    }
}

/* The node takes a segment and sends it on. */
static void
pass(struct world *w, uint64_t now, struct flow *flow, unsigned number)
{
    struct evidence_packet packet = packet_of(flow, false);
    struct evidence_verdict verdict;

    packet.sequence = 1 + number * flow->bytes;
    packet.length = flow->bytes;
    evidence_steer(&w->f.ev, now, &packet, &verdict);
    if (verdict.action != EVIDENCE_FORWARD) {
        w->refused++;
        return;
    }
    send_on(w, now, flow, &packet);
}

/* A caller opens a flow, and sends as soon as it may. */
static void
begin(struct world *w, uint64_t now, unsigned count, uint32_t bytes)
{
    struct flow *flow = &w->flows[w->flow_count];
    struct evidence_packet packet;
    struct evidence_verdict verdict;

    g_assert_cmpuint(w->flow_count, <, FLOWS_MAX);
    flow->port = (uint16_t)(1000 + w->flow_count++);
    flow->count = count;
    flow->bytes = bytes;
    flow->began_at = now;
    packet = packet_of(flow, true);
    evidence_steer(&w->f.ev, now, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    flow->token = verdict.upstream->token;
    for (unsigned i = 0; i < count; i++) {
        flow->segments[i].wait_ms = RESEND_MS;
        flow->segments[i].send_at = i < WINDOW ? now : UINT64_MAX;
    }
}

/* An upstream takes what has arrived; the caller hears of it, and may send
 * more. */
static void
hear(struct world *w, uint64_t now, struct flow *flow)
{
    unsigned arrived = 0;

    for (unsigned i = 0; i < flow->count; i++) {
        struct segment *s = &flow->segments[i];

        if (s->arrives_at != 0 && now >= s->arrives_at) {
            s->arrived = true;
        }
        arrived += s->arrived;
        if (!s->acknowledged && s->arrived && now >= s->arrives_at + 1) {
            s->acknowledged = true;
        }
    }
    if (arrived == flow->count && flow->answered_at == 0) {
        flow->answered_at = now + ANSWER_MS;
        if (flow->count == 1) {
            w->slowest_ask_ms = MAX(w->slowest_ask_ms, now - flow->began_at);
        }
    }
}

/* A caller sends what is due. */
static void
send_due(struct world *w, uint64_t now, struct flow *flow)
{
    unsigned first = 0;

    while (first < flow->count && flow->segments[first].acknowledged) {
        first++;
    }
    for (unsigned i = first; i < flow->count && i < first + WINDOW; i++) {
        struct segment *s = &flow->segments[i];

        if (s->send_at == UINT64_MAX) {
            s->send_at = now;
        }
        if (!s->acknowledged && now >= s->send_at) {
            pass(w, now, flow, i);
            s->send_at = now + s->wait_ms;
            s->wait_ms = MIN(2 * s->wait_ms, RESEND_MOST_MS);
        }
    }
}

/* A caller that was answered says so, which the node sees. */
static void
acknowledge(struct world *w, uint64_t now, struct flow *flow)
{
    struct evidence_packet packet;
    struct evidence_verdict verdict;

    if (flow->answered_at == 0 || now < flow->answered_at || flow->told) {
        return;
    }
    flow->told = true;
    packet = packet_of(flow, false);
    evidence_steer(&w->f.ev, now, &packet, &verdict);
    send_on(w, now, flow, &packet);
}

/* Counts what the node tells of upstreams. */
static void
count_doubts(struct world *w)
{
    GArray *told = w->f.upstreams.suspicions;

    for (guint i = 0; i < told->len; i++) {
        w->doubts +=
            g_array_index(told, struct upstream_suspicion, i).quiet_ms > 0;
    }
    g_array_set_size(told, 0);
}

/* One millisecond. */
static void
play_ms(struct world *w, uint64_t now)
{
    for (unsigned i = 0; i < w->flow_count; i++) {
        struct flow *flow = &w->flows[i];

        if (!flow->told) {
            hear(w, now, flow);
            send_due(w, now, flow);
            acknowledge(w, now, flow);
        }
    }
    drain(w, now);
    count_doubts(w);
}

/* Registers all upstreams: they are well. */
static void
register_all(struct world *w, uint64_t now, uint64_t sequence)
{
    for (uint64_t id = 1; id <= UPSTREAMS; id++) {
        fixture_register(&w->f, now, id, sequence, false);
    }
}

/* Plays a scene. */
static void
test_scene(const void *data)
{
    const struct scene *scene = data;
    struct world *w = g_new0(struct world, 1);
    uint64_t done_ms = 0;

    fixture_open(&w->f, UPSTREAMS);
    egress_open(&w->egress, LINK_KBIT_S);
    for (uint64_t t = 0; t < SCENE_MS; t++) {
        if (t % INTERVAL_MS == 0) {
            register_all(w, NOW + t, 2 + t / INTERVAL_MS);
        }
        if (t % ASK_MS == 0) {
            begin(w, NOW + t, 1, ASK_BYTES);
        }
        for (unsigned i = 0; t == 1000 && i < scene->uploads; i++) {
            begin(w, NOW + t, scene->packets, DATA_BYTES);
        }
        play_ms(w, NOW + t);
    }
    for (unsigned i = 0; i < w->flow_count; i++) {
        const struct flow *flow = &w->flows[i];

        if (flow->count > 1) {
            g_assert_cmpuint(flow->answered_at, !=, 0);
            done_ms = MAX(done_ms, flow->answered_at - flow->began_at);
        }
    }
    g_test_message("doubts=%u refused=%u lost=%u done_ms=%u ask_ms=%u",
                   w->doubts, w->refused, w->lost, (unsigned)done_ms,
                   (unsigned)w->slowest_ask_ms);
    g_assert_cmpuint(w->doubts, ==, 0);
    g_assert_cmpuint(w->refused, ==, 0);
    g_assert_cmpuint(w->lost, ==, 0);
    g_assert_cmpuint(done_ms, <=, scene->done_ms);
    g_assert_cmpuint(w->slowest_ask_ms, <=, scene->ask_ms);
    egress_close(&w->egress);
    fixture_close(&w->f);
    g_free(w);
}

/* A packet that is not to leave late, behind one that takes the link: it is
 * dropped, said to be, and does not hold up what waits behind it. */
static void
test_leave_by(void)
{
    static const uint8_t bytes[DATA_BYTES];
    struct egress_head head = {.kind = EGRESS_CALLER, .flow = 1};
    struct egress egress;
    struct egress_item *item;

    egress_open(&egress, LINK_KBIT_S);
    while (egress_enqueue(&egress, NOW, &head, bytes, sizeof(bytes), NULL,
                          0) == EGRESS_SEND_NOW) {
    }
    head.flow = 2;
    head.deadline_us = NOW + 1;
    g_assert_cmpint(
        egress_enqueue(&egress, NOW, &head, bytes, sizeof(bytes), NULL, 0), ==,
        EGRESS_QUEUED);
    item = egress_dequeue(&egress, NOW + 20000);
    g_assert_cmpuint(item->head.flow, ==, 1);
    g_free(item);
    g_assert_null(egress_dequeue(&egress, NOW + 40000));
    item = egress_pop_dropped(&egress);
    g_assert_cmpuint(item->head.flow, ==, 2);
    g_free(item);
    g_assert_cmpuint(egress_due_us(&egress), ==, UINT64_MAX);
    egress_close(&egress);
}

/* What waits is bounded: the last of the longest queue makes room for others,
 * and a queue that is the longest gets no more. */
static void
test_full(void)
{
    static const uint8_t bytes[DATA_BYTES];
    struct egress_head many = {.kind = EGRESS_CALLER, .flow = 1};
    struct egress_head few = {.kind = EGRESS_CALLER, .flow = 2};
    struct egress egress;
    struct egress_item *item;

    egress_open(&egress, LINK_KBIT_S);
    while (egress_enqueue(&egress, NOW, &many, bytes, sizeof(bytes), NULL,
                          0) != EGRESS_QUEUE_FULL) {
    }
    g_assert_cmpuint(egress.bytes, <=, egress.limit);
    g_assert_cmpint(
        egress_enqueue(&egress, NOW, &few, bytes, sizeof(bytes), NULL, 0), ==,
        EGRESS_QUEUED);
    item = egress_pop_dropped(&egress);
    g_assert_cmpuint(item->head.flow, ==, 1);
    g_free(item);
    g_assert_null(egress_pop_dropped(&egress));
    egress_close(&egress);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"egress", FAULT_NO_EGRESS_QUEUE, "/link/one-upload"},
    {"turns", FAULT_NO_FAIR_QUEUEING, "/link/four-uploads"},
    {"copies", FAULT_NO_DUPLICATE_DROP, "/link/eight-uploads"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/link/", scenes, test_scene)
    g_test_add_func("/link/leave-by", test_leave_by);
    g_test_add_func("/link/full", test_full);
    CASES_ADD("/link/mutation/", mutations, mutation_test)
    return g_test_run();
}
