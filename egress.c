/* Token bucket and fair queueing of outgoing datagrams. */
#include "egress.h"

#include <string.h>

#include "fault.h"

/* Share of the link rate; HTTP connections use the rest. */
#define RATE_PERCENT 97U
/* Token bucket depth. */
#define BURST_MS 10
/* IPv4 and UDP headers (RFC 791, RFC 768). */
#define HEADER_BYTES 28U
/* Queue limit in time: later the caller has retransmitted or timed out. */
#define QUEUE_MS 1000U
/* Room for the largest datagram and a few more. */
#define LIMIT_MIN_BYTES (128U * 1024U)
/* Memory bound. */
#define LIMIT_MAX_BYTES (4U * 1024U * 1024U)
/* One large packet of a caller. */
#define QUANTUM_BYTES 1240
/* Low priority without starvation. */
#define BULK_QUANTUM_BYTES (QUANTUM_BYTES / 10)
#define MILLI 1000
#define BITS 8

struct egress_queue {
    uint64_t key;
    GQueue items;    /* struct egress_item */
    uint64_t bytes;  /* queued bytes */
    int64_t deficit; /* bytes that it may still send in this round */
    int64_t quantum; /* bytes added per round */
};

const char *
egress_kind_name(enum egress_kind kind)
{
    switch (kind) {
    case EGRESS_CALLER:
        return "caller";
    case EGRESS_PROMPT:
        return "prompt";
    case EGRESS_BULK:
        return "bulk";
    }
    return "";
}

void
egress_open(struct egress *egress, uint64_t link_kbit_s)
{
    uint64_t limit = link_kbit_s * QUEUE_MS / BITS;

    memset(egress, 0, sizeof(*egress));
    egress->rate_kbit_s = link_kbit_s * RATE_PERCENT / 100;
    egress->limit = CLAMP(limit, LIMIT_MIN_BYTES, LIMIT_MAX_BYTES);
    egress->queues = g_hash_table_new(g_int64_hash, g_int64_equal);
    egress->content_hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&egress->new_queues);
    g_queue_init(&egress->old_queues);
    g_queue_init(&egress->dropped);
}

/* Requires that the queue is in neither list. */
static void
free_queue(struct egress *egress, struct egress_queue *queue)
{
    (void)g_hash_table_remove(egress->queues, &queue->key);
    g_queue_clear_full(&queue->items, g_free);
    g_free(queue);
}

static void
free_queues(struct egress *egress, GQueue *list)
{
    struct egress_queue *queue;

    while ((queue = g_queue_pop_head(list)) != NULL) {
        free_queue(egress, queue);
    }
}

void
egress_close(struct egress *egress)
{
    free_queues(egress, &egress->new_queues);
    free_queues(egress, &egress->old_queues);
    g_queue_clear_full(&egress->dropped, g_free);
    g_hash_table_destroy(egress->queues);
    g_hash_table_destroy(egress->content_hashes);
}

/* Size on the link, in 1/1000 bit. */
static int64_t
cost_of(uint64_t length)
{
    return (int64_t)((length + HEADER_BYTES) * BITS * MILLI);
}

static void
refill(struct egress *egress, uint64_t now_us)
{
    int64_t burst = (int64_t)egress->rate_kbit_s * BURST_MS * MILLI;

    if (now_us <= egress->credit_at_us) {
        return;
    }
    /* 1 kbit/s is 1/1000 bit/us. */
    egress->credit = MIN(
        burst, egress->credit + (int64_t)(egress->rate_kbit_s *
                                          (now_us - egress->credit_at_us)));
    egress->credit_at_us = now_us;
}

static uint64_t
key_of(const struct egress_meta *meta)
{
    if (fault_is(FAULT_NO_FAIR_QUEUEING)) {
        return 0;
    }
    return meta->kind == EGRESS_CALLER ? meta->flow : (uint64_t)meta->kind;
}

/* Finds or creates the queue of a datagram. */
static struct egress_queue *
queue_of(struct egress *egress, const struct egress_meta *meta)
{
    uint64_t key = key_of(meta);
    struct egress_queue *queue = g_hash_table_lookup(egress->queues, &key);

    if (queue != NULL) {
        return queue;
    }
    queue = g_new0(struct egress_queue, 1);
    queue->key = key;
    queue->quantum =
        meta->kind == EGRESS_BULK ? BULK_QUANTUM_BYTES : QUANTUM_BYTES;
    queue->deficit = queue->quantum;
    g_queue_init(&queue->items);
    (void)g_hash_table_insert(egress->queues, &queue->key, queue);
    g_queue_push_tail(meta->kind == EGRESS_BULK ? &egress->old_queues
                                                : &egress->new_queues,
                      queue);
    return queue;
}

static void
remove_item(struct egress *egress, struct egress_queue *queue,
            const struct egress_item *item)
{
    queue->bytes -= item->length;
    egress->bytes -= item->length;
    if (item->meta.content_hash != 0) {
        (void)g_hash_table_remove(egress->content_hashes,
                                  &item->meta.content_hash);
    }
}

static struct egress_queue *
longest_queue(const struct egress *egress)
{
    struct egress_queue *most = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, egress->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct egress_queue *queue = value;

        if (most == NULL || queue->bytes > most->bytes) {
            most = queue;
        }
    }
    return most;
}

/* Drops the tails of longer queues until the datagram fits; false when its own
 * queue is the longest. */
static bool
make_room(struct egress *egress, const struct egress_meta *meta,
          uint64_t length)
{
    uint64_t key = key_of(meta);

    while (egress->bytes + length > egress->limit) {
        struct egress_queue *queue = longest_queue(egress);
        struct egress_item *item;

        if (queue == NULL || queue->bytes == 0 || queue->key == key) {
            return false;
        }
        item = g_queue_pop_tail(&queue->items);
        remove_item(egress, queue, item);
        g_queue_push_tail(&egress->dropped, item);
    }
    return true;
}

static void
append(struct egress *egress, struct egress_item *item)
{
    struct egress_queue *queue = queue_of(egress, &item->meta);

    g_queue_push_tail(&queue->items, item);
    queue->bytes += item->length;
    egress->bytes += item->length;
    if (item->meta.content_hash != 0) {
        (void)g_hash_table_add(egress->content_hashes,
                               &item->meta.content_hash);
    }
}

enum egress_result
egress_enqueue(struct egress *egress, uint64_t now_us,
               const struct egress_meta *meta, const uint8_t *first,
               size_t first_length, const uint8_t *second,
               size_t second_length)
{
    size_t length = first_length + second_length;
    struct egress_item *item;

    if (egress->rate_kbit_s == 0 || fault_is(FAULT_NO_EGRESS_QUEUE)) {
        return EGRESS_SEND_NOW;
    }
    refill(egress, now_us);
    if (egress->bytes == 0 && egress->credit > 0) {
        egress->credit -= cost_of(length);
        return EGRESS_SEND_NOW;
    }
    if (meta->content_hash != 0 && !fault_is(FAULT_NO_DUPLICATE_DROP) &&
        g_hash_table_contains(egress->content_hashes, &meta->content_hash)) {
        return EGRESS_DUPLICATE;
    }
    if (!make_room(egress, meta, length)) {
        return EGRESS_QUEUE_FULL;
    }
    item = g_malloc(sizeof(*item) + length);
    item->meta = *meta;
    item->enqueued_at_us = now_us;
    item->length = length;
    memcpy(item->bytes, first, first_length);
    if (second_length > 0) {
        memcpy(item->bytes + first_length, second, second_length);
    }
    append(egress, item);
    return EGRESS_QUEUED;
}

/* Moves the first queue of a list to the end of the old ones. An empty new
 * queue goes there too, since its flow could otherwise stay in the new list
 * and starve the old ones (RFC 8290, section 4.2). */
static void
rotate(struct egress *egress, GQueue *list)
{
    g_queue_push_tail(&egress->old_queues, g_queue_pop_head(list));
}

static bool
is_expired(const struct egress_item *item, uint64_t now_us)
{
    return item->meta.deadline_us != 0 && now_us > item->meta.deadline_us;
}

struct egress_item *
egress_dequeue(struct egress *egress, uint64_t now_us)
{
    refill(egress, now_us);
    while (egress->credit > 0) {
        GQueue *list = egress->new_queues.length > 0 ? &egress->new_queues
                                                     : &egress->old_queues;
        struct egress_queue *queue = g_queue_peek_head(list);
        struct egress_item *item;

        if (queue == NULL) {
            return NULL;
        }
        if (queue->deficit <= 0) {
            queue->deficit += queue->quantum;
            rotate(egress, list);
            continue;
        }
        item = g_queue_pop_head(&queue->items);
        if (item != NULL && is_expired(item, now_us)) {
            remove_item(egress, queue, item);
            g_queue_push_tail(&egress->dropped, item);
            continue;
        }
        if (item != NULL) {
            queue->deficit -= (int64_t)item->length;
            egress->credit -= cost_of(item->length);
            remove_item(egress, queue, item);
            return item;
        }
        if (list == &egress->new_queues) {
            rotate(egress, list);
            continue;
        }
        (void)g_queue_pop_head(list);
        free_queue(egress, queue);
    }
    return NULL;
}

struct egress_item *
egress_pop_dropped(struct egress *egress)
{
    return g_queue_pop_head(&egress->dropped);
}

void
egress_charge(struct egress *egress, uint64_t bytes)
{
    if (egress->rate_kbit_s != 0) {
        egress->credit -= cost_of(bytes);
    }
}

uint64_t
egress_due_us(const struct egress *egress)
{
    if (egress->bytes == 0) {
        return UINT64_MAX;
    }
    if (egress->credit > 0) {
        return egress->credit_at_us;
    }
    return egress->credit_at_us +
           (uint64_t)-egress->credit / egress->rate_kbit_s + 1;
}
