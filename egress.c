/* The order in which datagrams leave by a node's link, and the link's rate. */
#include "egress.h"

#include <string.h>

#include "fault.h"

/* Of the link's rate, what datagrams are offered, in hundredths; connections
 * of HTTP take the rest. */
#define RATE_PERCENT 97U
/* A link that rested takes so much at once. */
#define BURST_MS 10
/* Before each datagram stand the heads of IP and UDP (RFC 791, RFC 768). */
#define HEADERS_BYTES 28U
/* No more waits than leaves within so long: callers have sent it again by
 * then, or have given up. */
#define WAIT_MS 1000U
/* But no less than the largest datagram and some others, */
#define LIMIT_LEAST (128U * 1024U)
/* and no more than this, since it is memory. */
#define LIMIT_MOST (4U * 1024U * 1024U)
/* Bytes that a queue may send in one turn: one large packet of a caller. */
#define TURN_BYTES 1240
/* The same for copies of what other nodes hold too. They wait best, but must
 * arrive in the end. */
#define BULK_TURN_BYTES (TURN_BYTES / 10)
#define MILLI 1000
#define BITS 8

/* Datagrams of one flow, in order. */
struct egress_queue {
    uint64_t key;    /* in the table of queues */
    GQueue items;    /* struct egress_item */
    uint64_t bytes;  /* of them */
    int64_t allowed; /* bytes left of its turn */
    int64_t turn;    /* bytes that a turn adds */
};

/* Names a kind. */
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

/* Starts with nothing. */
void
egress_open(struct egress *egress, uint64_t link_kbit_s)
{
    uint64_t limit = link_kbit_s * WAIT_MS / BITS;

    memset(egress, 0, sizeof(*egress));
    egress->rate_kbit_s = link_kbit_s * RATE_PERCENT / 100;
    egress->limit = CLAMP(limit, LIMIT_LEAST, LIMIT_MOST);
    egress->queues = g_hash_table_new(g_int64_hash, g_int64_equal);
    egress->contents = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&egress->begun);
    g_queue_init(&egress->waiting);
    g_queue_init(&egress->dropped);
}

/* Frees a queue that is in no list any more. */
static void
free_queue(struct egress *egress, struct egress_queue *queue)
{
    (void)g_hash_table_remove(egress->queues, &queue->key);
    g_queue_clear_full(&queue->items, g_free);
    g_free(queue);
}

/* Frees the queues of a list. */
static void
free_list(struct egress *egress, GQueue *list)
{
    struct egress_queue *queue;

    while ((queue = g_queue_pop_head(list)) != NULL) {
        free_queue(egress, queue);
    }
}

/* Frees it. */
void
egress_close(struct egress *egress)
{
    free_list(egress, &egress->begun);
    free_list(egress, &egress->waiting);
    g_queue_clear_full(&egress->dropped, g_free);
    g_hash_table_destroy(egress->queues);
    g_hash_table_destroy(egress->contents);
}

/* What a datagram takes of the link, in thousandths of a bit. */
static int64_t
cost_of(uint64_t length)
{
    return (int64_t)((length + HEADERS_BYTES) * BITS * MILLI);
}

/* Lets time pass: the link took bits meanwhile. */
static void
refill(struct egress *egress, uint64_t now_us)
{
    int64_t most = (int64_t)egress->rate_kbit_s * BURST_MS * MILLI;

    if (now_us <= egress->at_us) {
        return;
    }
    /* A kbit a second is a thousandth of a bit a microsecond. */
    egress->credit =
        MIN(most, egress->credit + (int64_t)(egress->rate_kbit_s *
                                             (now_us - egress->at_us)));
    egress->at_us = now_us;
}

/* The key of a datagram's queue. */
static uint64_t
key_of(const struct egress_head *head)
{
    if (fault_is(FAULT_NO_TURNS)) {
        return 0;
    }
    return head->kind == EGRESS_CALLER ? head->flow : (uint64_t)head->kind;
}

/* The queue of a datagram; begins one when there is none. */
static struct egress_queue *
queue_of(struct egress *egress, const struct egress_head *head)
{
    uint64_t key = key_of(head);
    struct egress_queue *queue = g_hash_table_lookup(egress->queues, &key);

    if (queue != NULL) {
        return queue;
    }
    queue = g_new0(struct egress_queue, 1);
    queue->key = key;
    queue->turn = head->kind == EGRESS_BULK ? BULK_TURN_BYTES : TURN_BYTES;
    queue->allowed = queue->turn;
    g_queue_init(&queue->items);
    (void)g_hash_table_insert(egress->queues, &queue->key, queue);
    g_queue_push_tail(
        head->kind == EGRESS_BULK ? &egress->waiting : &egress->begun, queue);
    return queue;
}

/* Takes a datagram off what waits. */
static void
take_off(struct egress *egress, struct egress_queue *queue,
         const struct egress_item *item)
{
    queue->bytes -= item->length;
    egress->bytes -= item->length;
    if (item->head.content != 0) {
        (void)g_hash_table_remove(egress->contents, &item->head.content);
    }
}

/* The queue in which most waits. */
static struct egress_queue *
longest(const struct egress *egress)
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

/* Makes room for a datagram, at the cost of queues that are longer than its
 * own; false when there are none. */
static bool
make_room(struct egress *egress, const struct egress_head *head,
          uint64_t length)
{
    uint64_t key = key_of(head);

    while (egress->bytes + length > egress->limit) {
        struct egress_queue *queue = longest(egress);
        struct egress_item *item;

        if (queue == NULL || queue->bytes == 0 || queue->key == key) {
            return false;
        }
        item = g_queue_pop_tail(&queue->items);
        take_off(egress, queue, item);
        g_queue_push_tail(&egress->dropped, item);
    }
    return true;
}

/* Lets a datagram wait. */
static void
append(struct egress *egress, struct egress_item *item)
{
    struct egress_queue *queue = queue_of(egress, &item->head);

    g_queue_push_tail(&queue->items, item);
    queue->bytes += item->length;
    egress->bytes += item->length;
    if (item->head.content != 0) {
        (void)g_hash_table_add(egress->contents, &item->head.content);
    }
}

/* Takes a datagram. */
enum egress_fate
egress_put(struct egress *egress, uint64_t now_us,
           const struct egress_head *head, const uint8_t *first,
           size_t first_length, const uint8_t *second, size_t second_length)
{
    size_t length = first_length + second_length;
    struct egress_item *item;

    if (egress->rate_kbit_s == 0 || fault_is(FAULT_NO_EGRESS)) {
        return EGRESS_NOW;
    }
    refill(egress, now_us);
    if (egress->bytes == 0 && egress->credit > 0) {
        egress->credit -= cost_of(length);
        return EGRESS_NOW;
    }
    if (head->content != 0 && !fault_is(FAULT_NO_COPIES) &&
        g_hash_table_contains(egress->contents, &head->content)) {
        return EGRESS_COPY;
    }
    if (!make_room(egress, head, length)) {
        return EGRESS_FULL;
    }
    item = g_malloc(sizeof(*item) + length);
    item->head = *head;
    item->put_at_us = now_us;
    item->length = length;
    memcpy(item->bytes, first, first_length);
    if (second_length > 0) {
        memcpy(item->bytes + first_length, second, second_length);
    }
    append(egress, item);
    return EGRESS_WAITS;
}

/* Moves the first queue of a list to the end of those that wait. One that has
 * just begun goes there also when it is empty, so that it cannot begin again
 * and again before the others. */
static void
rotate(struct egress *egress, GQueue *list)
{
    g_queue_push_tail(&egress->waiting, g_queue_pop_head(list));
}

/* Says whether a datagram is not to be sent any more. */
static bool
is_late(const struct egress_item *item, uint64_t now_us)
{
    return item->head.leave_by_us != 0 && now_us > item->head.leave_by_us;
}

/* The next datagram that the link takes now. */
struct egress_item *
egress_take(struct egress *egress, uint64_t now_us)
{
    refill(egress, now_us);
    while (egress->credit > 0) {
        GQueue *list =
            egress->begun.length > 0 ? &egress->begun : &egress->waiting;
        struct egress_queue *queue = g_queue_peek_head(list);
        struct egress_item *item;

        if (queue == NULL) {
            return NULL;
        }
        if (queue->allowed <= 0) {
            queue->allowed += queue->turn;
            rotate(egress, list);
            continue;
        }
        item = g_queue_pop_head(&queue->items);
        if (item != NULL && is_late(item, now_us)) {
            take_off(egress, queue, item);
            g_queue_push_tail(&egress->dropped, item);
            continue;
        }
        if (item != NULL) {
            queue->allowed -= (int64_t)item->length;
            egress->credit -= cost_of(item->length);
            take_off(egress, queue, item);
            return item;
        }
        if (list == &egress->begun) {
            rotate(egress, list);
            continue;
        }
        (void)g_queue_pop_head(list);
        free_queue(egress, queue);
    }
    return NULL;
}

/* The next one that was dropped. */
struct egress_item *
egress_take_dropped(struct egress *egress)
{
    return g_queue_pop_head(&egress->dropped);
}

/* Counts bytes that left otherwise. */
void
egress_charge(struct egress *egress, uint64_t bytes)
{
    if (egress->rate_kbit_s != 0) {
        egress->credit -= cost_of(bytes);
    }
}

/* When the link takes the next datagram. */
uint64_t
egress_due_us(const struct egress *egress)
{
    if (egress->bytes == 0) {
        return UINT64_MAX;
    }
    if (egress->credit > 0) {
        return egress->at_us;
    }
    return egress->at_us + (uint64_t)-egress->credit / egress->rate_kbit_s + 1;
}
