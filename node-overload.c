/*
 * Collects the signals of overload.h in the process of a node, and makes an
 * overload known to evidence.h and fleet.h, which then draw no conclusions
 * from missing answers.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "log.h"
#include "loop.h"
#include "node.h"

static void
log_edge(struct node *node, enum overload_edge edge)
{
    const struct overload *o = &node->overload;
    unsigned long long ms = o->active_until - o->started_at;

    switch (edge) {
    case OVERLOAD_SAME:
        return;
    case OVERLOAD_BEGAN:
        counter_add(&node->counters, COUNTER_OVERLOADS, 1);
        log_event(LOG_WARN, "overloaded", "cause=%s wait_ms=%llu drops=%llu",
                  overload_cause_name(overload_cause(o)),
                  (unsigned long long)o->wait_ms,
                  (unsigned long long)o->drops);
        return;
    case OVERLOAD_ENDED:
        counter_add(&node->counters, COUNTER_OVERLOAD_MS, ms);
        log_event(LOG_INFO, "overload-ended",
                  "ms=%llu cause=%s wait_ms=%llu drops=%llu", ms,
                  overload_cause_name(overload_cause(o)),
                  (unsigned long long)o->wait_ms,
                  (unsigned long long)o->drops);
        return;
    }
}

void
node_update_overload(struct node *node, uint64_t now)
{
    log_edge(node, overload_poll(&node->overload, now));
    node->evidence.overloaded_until = node->overload.active_until;
    node->fleet.overloaded = overload_is_active(&node->overload, now);
}

/* A bulk datagram waits whenever there is other traffic, so its delay does not
 * indicate an overload. */
void
node_note_wait(struct node *node, uint64_t now_us,
               const struct egress_item *item)
{
    if (item->meta.kind != EGRESS_BULK) {
        overload_note_wait(&node->overload, now_us / 1000,
                           now_us - item->enqueued_at_us);
        node_update_overload(node, now_us / 1000);
    }
}

void
node_note_drop(struct node *node)
{
    uint64_t now = loop_now();

    overload_note_drop(&node->overload, now);
    node_update_overload(node, now);
}

void
node_note_late(struct node *node, uint64_t now, uint64_t expected_at)
{
    if (now > expected_at) {
        overload_note_late(&node->overload, now, now - expected_at);
        node_update_overload(node, now);
    }
}

void
node_enable_receive_drops(int fd)
{
    int on = 1;

    if (setsockopt(fd, SOL_SOCKET, SO_RXQ_OVFL, &on, sizeof(on)) != 0) {
        log_event(LOG_WARN, "receive-drops-not-counted", "error=\"%s\"",
                  g_strerror(errno));
    }
}

void
node_note_receive_drops(struct node *node, uint64_t now,
                        uint32_t *socket_drops, struct msghdr *message)
{
    for (struct cmsghdr *c = CMSG_FIRSTHDR(message); c != NULL;
         c = CMSG_NXTHDR(message, c)) {
        if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SO_RXQ_OVFL) {
            memcpy(socket_drops, CMSG_DATA(c), sizeof(*socket_drops));
        }
    }
    overload_note_receive_drops(&node->overload, now,
                                node->packets_drops + node->peers_drops);
    node_update_overload(node, now);
}
