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
/* Datagrams of new queues in a row while an old queue waits. RFC 8290 has no
 * bound, and a flood of new flows starved the old ones. */
#define NEW_IN_ROW_MAX 8U
/* Estimated memory beside the structures with 64-bit pointers: allocator
 * headers and the entries in the tree and the hash table. */
#define ITEM_OVERHEAD_BYTES 96U
#define QUEUE_OVERHEAD_BYTES 112U
/* Bulk datagrams displace callers' packets up to this fraction of the limit: a
 * backlog that drains at a tenth of the link would fill it otherwise. */
#define BULK_DIVISOR 4U
#define MILLI 1000
#define BITS 8

/* Shares of the link while all classes are backlogged. */
static const uint64_t share_percent[EGRESS_KINDS] = {
    [EGRESS_CALLER] = 60, [EGRESS_PROMPT] = 30, [EGRESS_BULK] = 10};
/* Order at equal start times: a message after a pause is sent next. */
static const enum egress_kind send_order[EGRESS_KINDS] = {
    EGRESS_PROMPT, EGRESS_CALLER, EGRESS_BULK};

struct egress_queue {
    uint64_t key;
    GList link; /* in the list of new or of old queues */
    struct egress_class *class;
    GSequenceIter *size; /* in by_size */
    GQueue items;        /* struct egress_item */
    uint64_t memory;     /* of the queue and its items */
    int64_t deficit;     /* bytes that it may still send in this round */
    bool is_new;         /* in the list of new queues */
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
    case EGRESS_KINDS:
        break;
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
    for (size_t i = 0; i < EGRESS_KINDS; i++) {
        struct egress_class *class = &egress->classes[i];

        class->queues = g_hash_table_new(g_int64_hash, g_int64_equal);
        class->by_size = g_sequence_new(NULL);
    }
    egress->expiries = g_sequence_new(NULL);
    egress->content_hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static GQueue *
list_of(const struct egress_queue *queue)
{
    return queue->is_new ? &queue->class->new_queues
                         : &queue->class->old_queues;
}

static void
close_class(struct egress_class *class)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, class->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct egress_queue *queue = value;
        GList *link;

        while ((link = g_queue_pop_head_link(&queue->items)) != NULL) {
            g_free(link->data);
        }
        g_free(queue);
    }
    g_hash_table_destroy(class->queues);
    g_sequence_free(class->by_size);
}

void
egress_close(struct egress *egress)
{
    struct egress_item *item;

    for (size_t i = 0; i < EGRESS_KINDS; i++) {
        close_class(&egress->classes[i]);
    }
    while ((item = egress_pop_dropped(egress)) != NULL) {
        g_free(item);
    }
    g_sequence_free(egress->expiries);
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

static struct egress_class *
class_of(struct egress *egress, const struct egress_meta *meta)
{
    return &egress->classes[fault_is(FAULT_NO_CONTROL_SHARE) ? EGRESS_CALLER
                                                             : meta->kind];
}

static uint64_t
key_of(const struct egress_meta *meta)
{
    if (fault_is(FAULT_NO_FAIR_QUEUEING)) {
        return 0;
    }
    return meta->kind == EGRESS_CALLER ? meta->flow : (uint64_t)meta->kind;
}

static struct egress_queue *
find_queue(struct egress *egress, const struct egress_meta *meta)
{
    uint64_t key = key_of(meta);

    return g_hash_table_lookup(class_of(egress, meta)->queues, &key);
}

static gint
compare_size(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct egress_queue *one = a;
    const struct egress_queue *other = b;

    (void)unused;
    return (one->memory > other->memory) - (one->memory < other->memory);
}

static gint
compare_deadline(gconstpointer a, gconstpointer b, gpointer unused)
{
    uint64_t one = ((const struct egress_item *)a)->meta.deadline_us;
    uint64_t other = ((const struct egress_item *)b)->meta.deadline_us;

    (void)unused;
    return (one > other) - (one < other);
}

/* Memory of a queued datagram. */
static uint64_t
memory_of(size_t length)
{
    return sizeof(struct egress_item) + length + ITEM_OVERHEAD_BYTES;
}

/* Adds to the memory of a queue; `bytes` may be negative. */
static void
add_memory(struct egress *egress, struct egress_queue *queue, int64_t bytes)
{
    queue->memory += (uint64_t)bytes;
    egress->memory += (uint64_t)bytes;
    if (queue->is_new) {
        queue->class->new_memory += (uint64_t)bytes;
    }
    g_sequence_sort_changed(queue->size, compare_size, NULL);
}

static struct egress_queue *
add_queue(struct egress *egress, const struct egress_meta *meta)
{
    struct egress_queue *queue = g_new0(struct egress_queue, 1);
    struct egress_class *class = class_of(egress, meta);

    queue->key = key_of(meta);
    queue->class = class;
    queue->deficit = QUANTUM_BYTES;
    queue->is_new = true;
    queue->link.data = queue;
    queue->size =
        g_sequence_insert_sorted(class->by_size, queue, compare_size, NULL);
    (void)g_hash_table_insert(class->queues, &queue->key, queue);
    g_queue_push_tail_link(&class->new_queues, &queue->link);
    add_memory(egress, queue, sizeof(*queue) + QUEUE_OVERHEAD_BYTES);
    return queue;
}

/* Requires that the queue is empty. */
static void
free_queue(struct egress *egress, struct egress_queue *queue)
{
    add_memory(egress, queue, -(int64_t)queue->memory);
    g_queue_unlink(list_of(queue), &queue->link);
    g_sequence_remove(queue->size);
    (void)g_hash_table_remove(queue->class->queues, &queue->key);
    g_free(queue);
}

static void
remove_item(struct egress *egress, struct egress_item *item)
{
    struct egress_queue *queue = item->queue;

    g_queue_unlink(&queue->items, &item->link);
    if (item->expiry != NULL) {
        g_sequence_remove(item->expiry);
    }
    if (item->meta.content_hash != 0) {
        (void)g_hash_table_remove(egress->content_hashes,
                                  &item->meta.content_hash);
    }
    queue->class->count--;
    egress->count--;
    egress->bytes -= item->length;
    add_memory(egress, queue, -(int64_t)memory_of(item->length));
}

static void
drop_item(struct egress *egress, struct egress_item *item)
{
    struct egress_queue *queue = item->queue;

    remove_item(egress, item);
    g_queue_push_tail_link(&egress->dropped, &item->link);
    if (queue->items.length == 0) {
        free_queue(egress, queue);
    }
}

static void
drop_expired(struct egress *egress, uint64_t now_us)
{
    while (!g_sequence_is_empty(egress->expiries)) {
        struct egress_item *item =
            g_sequence_get(g_sequence_get_begin_iter(egress->expiries));

        if (now_us <= item->meta.deadline_us) {
            return;
        }
        drop_item(egress, item);
    }
}

static struct egress_queue *
longest_queue(const struct egress_class *class)
{
    if (g_sequence_is_empty(class->by_size)) {
        return NULL;
    }
    return g_sequence_get(
        g_sequence_iter_prev(g_sequence_get_end_iter(class->by_size)));
}

/* New queues with more than half of the limit count as one queue, the longest:
 * a flood of new flows would otherwise displace each longer queue. */
static bool
is_flood(const struct egress *egress, const struct egress_class *class)
{
    return class->new_memory > egress->limit / 2 &&
           class->new_queues.length > 1 && !fault_is(FAULT_NO_NEW_FLOW_LIMIT);
}

/* The queue whose tail gives way to a datagram of `own` (NULL: a new queue) of
 * the class `kind`, NULL: none. */
static struct egress_queue *
choose_victim(struct egress *egress, enum egress_kind kind,
              const struct egress_queue *own)
{
    struct egress_class *callers = &egress->classes[EGRESS_CALLER];
    struct egress_queue *victim = longest_queue(callers);

    if (kind == EGRESS_BULK && own != NULL &&
        own->memory > egress->limit / BULK_DIVISOR) {
        return NULL;
    }
    if (victim != NULL && is_flood(egress, callers)) {
        victim = g_queue_peek_tail(&callers->new_queues);
        if (kind == EGRESS_CALLER && (own == NULL || own->is_new)) {
            return NULL;
        }
    }
    if (victim == NULL && kind != EGRESS_BULK) {
        victim = longest_queue(&egress->classes[EGRESS_BULK]);
    }
    return victim == own ? NULL : victim;
}

/* Drops other datagrams until this one fits. */
static bool
make_room(struct egress *egress, const struct egress_meta *meta, size_t length)
{
    for (;;) {
        const struct egress_queue *own = find_queue(egress, meta);
        uint64_t memory = memory_of(length);
        struct egress_queue *victim;

        memory += own == NULL ? sizeof(*own) + QUEUE_OVERHEAD_BYTES : 0;
        if (egress->memory + memory <= egress->limit) {
            return true;
        }
        victim = choose_victim(egress, meta->kind, own);
        if (victim == NULL) {
            return false;
        }
        if (victim->items.length == 0) {
            free_queue(egress, victim);
        }
        else {
            drop_item(egress, g_queue_peek_tail(&victim->items));
        }
    }
}

static void
append(struct egress *egress, struct egress_item *item)
{
    struct egress_queue *queue = find_queue(egress, &item->meta);
    struct egress_class *class;

    if (queue == NULL) {
        queue = add_queue(egress, &item->meta);
    }
    class = queue->class;
    if (class->count++ == 0) {
        class->start = MAX(class->start, egress->virtual_time);
    }
    item->queue = queue;
    item->link.data = item;
    g_queue_push_tail_link(&queue->items, &item->link);
    egress->count++;
    egress->bytes += item->length;
    add_memory(egress, queue, (int64_t)memory_of(item->length));
    if (item->meta.deadline_us != 0) {
        item->expiry = g_sequence_insert_sorted(egress->expiries, item,
                                                compare_deadline, NULL);
    }
    if (item->meta.content_hash != 0) {
        (void)g_hash_table_add(egress->content_hashes,
                               &item->meta.content_hash);
    }
}

static struct egress_item *
make_item(uint64_t now_us, const struct egress_meta *meta,
          const uint8_t *first, size_t first_length, const uint8_t *second,
          size_t second_length)
{
    struct egress_item *item =
        g_malloc(sizeof(*item) + first_length + second_length);

    *item = (struct egress_item){.meta = *meta,
                                 .enqueued_at_us = now_us,
                                 .length = first_length + second_length};
    memcpy(item->bytes, first, first_length);
    if (second_length > 0) {
        memcpy(item->bytes + first_length, second, second_length);
    }
    return item;
}

enum egress_result
egress_enqueue(struct egress *egress, uint64_t now_us,
               const struct egress_meta *meta, const uint8_t *first,
               size_t first_length, const uint8_t *second,
               size_t second_length)
{
    size_t length = first_length + second_length;

    if (egress->rate_kbit_s == 0 || fault_is(FAULT_NO_EGRESS_QUEUE)) {
        return EGRESS_SEND_NOW;
    }
    refill(egress, now_us);
    drop_expired(egress, now_us);
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
    append(egress, make_item(now_us, meta, first, first_length, second,
                             second_length));
    return EGRESS_QUEUED;
}

/* Moves a queue to the end of the old ones. An empty new queue goes there too,
 * since its flow could otherwise stay in the new list and starve the old ones
 * (RFC 8290, section 4.2). */
static void
rotate(struct egress_queue *queue)
{
    struct egress_class *class = queue->class;

    g_queue_unlink(list_of(queue), &queue->link);
    class->new_memory -= queue->is_new ? queue->memory : 0;
    queue->is_new = false;
    g_queue_push_tail_link(&class->old_queues, &queue->link);
}

/* The queue whose turn it is, NULL: none. */
static struct egress_queue *
next_queue(struct egress_class *class)
{
    bool old_first = class->new_in_row >= NEW_IN_ROW_MAX &&
                     class->old_queues.length > 0 &&
                     !fault_is(FAULT_NO_NEW_FLOW_LIMIT);

    if (class->new_queues.length > 0 && !old_first) {
        return g_queue_peek_head(&class->new_queues);
    }
    return g_queue_peek_head(&class->old_queues);
}

/* Next datagram of a class, NULL: none. */
static struct egress_item *
next_item(struct egress *egress, struct egress_class *class)
{
    struct egress_queue *queue;

    while ((queue = next_queue(class)) != NULL) {
        if (queue->deficit <= 0) {
            queue->deficit += QUANTUM_BYTES;
            rotate(queue);
        }
        else if (queue->items.length > 0) {
            return g_queue_peek_head(&queue->items);
        }
        else if (queue->is_new) {
            rotate(queue);
        }
        else {
            free_queue(egress, queue);
        }
    }
    return NULL;
}

/* The backlogged class with the least start time, NULL: none. */
static struct egress_class *
next_class(struct egress *egress)
{
    struct egress_class *next = NULL;

    for (size_t i = 0; i < EGRESS_KINDS; i++) {
        struct egress_class *class = &egress->classes[send_order[i]];

        if (class->count > 0 && (next == NULL || class->start < next->start)) {
            next = class;
        }
    }
    return next;
}

static void
charge_class(struct egress *egress, struct egress_class *class, size_t length)
{
    uint64_t share = share_percent[class - egress->classes];

    egress->virtual_time = class->start;
    class->start += (length + HEADER_BYTES) * 100 / share;
}

struct egress_item *
egress_dequeue(struct egress *egress, uint64_t now_us)
{
    struct egress_class *class;
    struct egress_item *item;

    refill(egress, now_us);
    drop_expired(egress, now_us);
    class = next_class(egress);
    if (class == NULL || egress->credit <= 0) {
        return NULL;
    }
    item = next_item(egress, class);
    if (item == NULL) {
        return NULL;
    }
    class->new_in_row = item->queue->is_new ? class->new_in_row + 1 : 0;
    item->queue->deficit -= (int64_t)item->length;
    egress->credit -= cost_of(item->length);
    charge_class(egress, class, item->length);
    remove_item(egress, item);
    return item;
}

struct egress_item *
egress_pop_dropped(struct egress *egress)
{
    GList *link = g_queue_pop_head_link(&egress->dropped);

    return link == NULL ? NULL : link->data;
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

uint64_t
egress_wait_us(const struct egress *egress, uint64_t now_us)
{
    uint64_t elapsed_us = now_us - MIN(now_us, egress->credit_at_us);
    int64_t backlog =
        (int64_t)((egress->bytes + egress->count * HEADER_BYTES) * BITS *
                  MILLI) -
        egress->credit - (int64_t)(egress->rate_kbit_s * elapsed_us);

    if (egress->bytes == 0 || backlog <= 0) {
        return 0;
    }
    return (uint64_t)backlog / egress->rate_kbit_s;
}
