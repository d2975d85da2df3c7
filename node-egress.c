/*
 * Sends datagrams at the rate of this VM's link, in the order of egress.h.
 * Owns the timer of the queues, and reports packets that were queued or
 * dropped to evidence.h, whose timeouts must not count them as sent.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>

#include "address.h"
#include "log.h"
#include "loop.h"
#include "node.h"

/* A datagram that sendmsg() refuses is dropped. */
void
node_send_now(const struct node *node, const struct egress_meta *meta,
              const uint8_t *first, size_t first_length, const uint8_t *second,
              size_t second_length)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(meta->port),
                             .sin_addr.s_addr = htonl(meta->address)};
    struct iovec pieces[2] = {
        {.iov_base = (void *)first, .iov_len = first_length},
        {.iov_base = (void *)second, .iov_len = second_length}};
    struct msghdr message = {.msg_name = &to,
                             .msg_namelen = sizeof(to),
                             .msg_iov = pieces,
                             .msg_iovlen = second_length > 0 ? 2 : 1};
    int fd = meta->kind == EGRESS_CALLER ? node->packets_fd : node->peers_fd;

    if (sendmsg(fd, &message, MSG_DONTWAIT) < 0) {
        char text[ADDRESS_TEXT];

        (void)address_format(meta->address, meta->port, text);
        log_event(LOG_WARN, "send-failed", "to=%s bytes=%zu error=\"%s\"",
                  text, first_length + second_length, g_strerror(errno));
    }
}

/* Logs and counts a dropped datagram. `was_queued`: it had been in a queue. */
static void
report_unsent(struct node *node, const struct egress_meta *meta, size_t length,
              bool was_queued)
{
    char text[ADDRESS_TEXT];

    (void)address_format(meta->address, meta->port, text);
    log_event(LOG_WARN, "not-sent",
              "reason=link-full kind=%s to=%s bytes=%zu flow=%016llx "
              "waiting_bytes=%llu",
              egress_kind_name(meta->kind), text, length,
              (unsigned long long)meta->flow,
              (unsigned long long)node->egress.bytes);
    if (meta->kind == EGRESS_CALLER) {
        counter_add(&node->counters, COUNTER_PACKETS_UNSENT, 1);
        evidence_note_dropped(&node->evidence, meta->flow, was_queued);
    }
    else {
        counter_add(&node->counters, COUNTER_MSGS_UNSENT, 1);
    }
    node_note_drop(node);
}

static void
report_dropped(struct node *node)
{
    struct egress_item *item;

    while ((item = egress_pop_dropped(&node->egress)) != NULL) {
        node_note_wait(node, loop_now_us(), item);
        report_unsent(node, &item->meta, item->length, true);
        g_free(item);
    }
}

static void
arm_egress_timer(struct node *node)
{
    uint64_t due_us = egress_due_us(&node->egress);

    if (due_us != UINT64_MAX) {
        loop_timer_set(node->egress_timer, due_us);
    }
}

/* Charges the link with the bytes that the voter's thread sent ahead of the
 * queues. */
static void
charge_consensus_bytes(struct node *node)
{
    uint64_t bytes_sent =
        counter_read(&node->counters, COUNTER_CONSENSUS_BYTES_OUT);

    if (bytes_sent != node->consensus_bytes_charged) {
        egress_charge(&node->egress,
                      bytes_sent - node->consensus_bytes_charged);
        node->consensus_bytes_charged = bytes_sent;
    }
}

/* Sends queued datagrams when the link has room again. */
static void
on_link_ready(void *data)
{
    struct node *node = data;
    uint64_t now_us = loop_now_us();
    struct egress_item *item;

    charge_consensus_bytes(node);
    while ((item = egress_dequeue(&node->egress, now_us)) != NULL) {
        node_note_wait(node, now_us, item);
        node_send_now(node, &item->meta, item->bytes, item->length, NULL, 0);
        histogram_add(&node->histograms, HISTOGRAM_EGRESS,
                      now_us - item->enqueued_at_us);
        if (item->meta.kind == EGRESS_CALLER) {
            evidence_note_sent(&node->evidence, now_us / 1000, item->meta.flow,
                               item->meta.sequence);
        }
        g_free(item);
    }
    report_dropped(node);
    arm_egress_timer(node);
}

bool
node_egress_admit(struct node *node, const struct egress_meta *meta,
                  const uint8_t *first, size_t first_length,
                  const uint8_t *second, size_t second_length)
{
    bool was_queued = node->egress.bytes > 0;

    charge_consensus_bytes(node);
    switch (egress_enqueue(&node->egress, loop_now_us(), meta, first,
                           first_length, second, second_length)) {
    case EGRESS_SEND_NOW:
        return true;
    case EGRESS_QUEUED:
        counter_add(&node->counters, COUNTER_SENDS_WAITED, 1);
        if (meta->kind == EGRESS_CALLER) {
            evidence_note_queued(&node->evidence, meta->flow);
        }
        report_dropped(node);
        if (!was_queued) {
            arm_egress_timer(node);
        }
        return false;
    case EGRESS_DUPLICATE:
        counter_add(&node->counters, COUNTER_PACKETS_DUPLICATE, 1);
        return false;
    case EGRESS_QUEUE_FULL:
        report_unsent(node, meta, first_length + second_length, false);
        return false;
    }
    return false;
}

void
node_send(struct node *node, const struct egress_meta *meta,
          const uint8_t *first, size_t first_length, const uint8_t *second,
          size_t second_length)
{
    if (node_egress_admit(node, meta, first, first_length, second,
                          second_length)) {
        node_send_now(node, meta, first, first_length, second, second_length);
    }
}

void
node_open_egress(struct node *node)
{
    egress_open(&node->egress, node->settings.link_kbit_s);
    node->egress_timer = loop_timer_new(on_link_ready, node);
}
