/* Idempotency-Key records of one replica. */
#include "claim.h"

#include <string.h>

#include "fault.h"
#include "hash.h"

static guint
hash_key(gconstpointer key)
{
    return (guint)hash_bytes(HASH_KEY, key, WIRE_KEY);
}

static gboolean
equal_keys(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, WIRE_KEY) == 0;
}

static void
free_record(gpointer data)
{
    struct claim_record *record = data;

    g_free(record->outcome.body.body_val);
    g_free(record);
}

void
claim_copy_outcome(const wire_outcome *from, wire_outcome *to)
{
    char *body = g_memdup2(from->body.body_val, from->body.body_len);

    g_free(to->body.body_val);
    *to = *from;
    to->body.body_val = body;
}

void
claim_open(struct claim_table *table, uint64_t self)
{
    table->records =
        g_hash_table_new_full(hash_key, equal_keys, NULL, free_record);
    table->received =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)g_hash_table_destroy);
    table->absorbed = g_array_new(FALSE, FALSE, sizeof(struct claim_absorbed));
    table->self = self;
}

void
claim_close(struct claim_table *table)
{
    g_hash_table_destroy(table->records);
    g_hash_table_destroy(table->received);
    g_array_free(table->absorbed, TRUE);
}

static struct claim_record *
add_record(struct claim_table *table, const wire_claim *claim)
{
    struct claim_record *record = g_new0(struct claim_record, 1);

    record->claim = *claim;
    g_hash_table_insert(table->records, record->claim.key, record);
    return record;
}

static bool
is_holder(const struct claim_record *record, const wire_claim *claim)
{
    return record->claim.coordinator == claim->coordinator &&
           record->claim.token == claim->token;
}

static void
reply_done(struct claim_record *record, wire_claim_reply *out)
{
    out->result = WIRE_CLAIM_DONE;
    out->outcome = &record->outcome;
}

/* Decides a claim on a key that has a record. */
static void
decide_record(struct claim_record *record, const wire_claim *claim,
              wire_claim_reply *out)
{
    if (memcmp(record->claim.digest, claim->digest, WIRE_KEY) != 0) {
        out->result = WIRE_CLAIM_CONFLICT;
        return;
    }
    out->holder = record->claim.coordinator;
    out->holder_token = record->claim.token;
    out->holder_epoch = record->claim.epoch;
    switch (record->state) {
    case CLAIM_DONE:
        reply_done(record, out);
        return;
    case CLAIM_RUNNING:
        out->result =
            is_holder(record, claim) ? WIRE_CLAIM_GRANTED : WIRE_CLAIM_HELD;
        return;
    case CLAIM_RELEASED:
        if (claim->probe) {
            reply_done(record, out);
            return;
        }
        record->claim = *claim;
        record->state = CLAIM_RUNNING;
        out->result = WIRE_CLAIM_GRANTED;
        return;
    }
}

/* Fences claims of another epoch, and probes of a newer epoch. */
static bool
is_fenced(uint64_t epoch, const wire_claim *claim)
{
    if (fault_is(FAULT_NO_FENCE)) {
        return false;
    }
    return claim->probe ? epoch < claim->epoch : epoch != claim->epoch;
}

void
claim_decide(struct claim_table *table, uint64_t epoch,
             const wire_claim *claim, wire_claim_reply *out)
{
    struct claim_record *record =
        g_hash_table_lookup(table->records, claim->key);

    memset(out, 0, sizeof(*out));
    out->token = claim->token;
    out->replica = table->self;
    out->epoch = epoch;
    out->probe = claim->probe;
    out->absorbed.absorbed_len =
        claim_list_absorbed(table, table->reply_absorbed);
    out->absorbed.absorbed_val = table->reply_absorbed;
    if (is_fenced(epoch, claim)) {
        out->result = WIRE_CLAIM_EPOCH;
    }
    else if (record != NULL) {
        decide_record(record, claim, out);
    }
    else if (claim->probe) {
        out->result = WIRE_CLAIM_NONE;
    }
    else {
        (void)add_record(table, claim);
        out->result = WIRE_CLAIM_GRANTED;
    }
}

static void
end_record(struct claim_record *record, const wire_outcome *outcome)
{
    claim_copy_outcome(outcome, &record->outcome);
    record->state =
        outcome->kind == WIRE_OUTCOME_NOT_RUN ? CLAIM_RELEASED : CLAIM_DONE;
}

/* An outcome that arrives without its claim adds a record. */
void
claim_finish(struct claim_table *table, const wire_finish *finish)
{
    struct claim_record *record =
        g_hash_table_lookup(table->records, finish->claim.key);

    if (record == NULL) {
        record = add_record(table, &finish->claim);
    }
    if (record->state == CLAIM_RUNNING && is_holder(record, &finish->claim)) {
        end_record(record, &finish->outcome);
    }
}

/* Drops the oldest handover if the list is full. */
static void
add_absorbed(struct claim_table *table, uint64_t wall,
             const wire_absorbed *absorbed)
{
    struct claim_absorbed new = {.absorbed = *absorbed,
                                 .expires_at = wall + CLAIM_DEADLINE_MAX_MS +
                                               CLAIM_RETENTION_MS};

    for (guint i = 0; i < table->absorbed->len; i++) {
        const struct claim_absorbed *old =
            &g_array_index(table->absorbed, struct claim_absorbed, i);

        if (memcmp(&old->absorbed, absorbed, sizeof(*absorbed)) == 0) {
            return;
        }
    }
    if (table->absorbed->len == WIRE_ABSORBED_MAX) {
        g_array_remove_index(table->absorbed, 0);
    }
    g_array_append_val(table->absorbed, new);
}

u_int
claim_list_absorbed(const struct claim_table *table,
                    wire_absorbed out[WIRE_ABSORBED_MAX])
{
    u_int count = MIN(table->absorbed->len, WIRE_ABSORBED_MAX);

    for (u_int i = 0; i < count; i++) {
        out[i] =
            g_array_index(table->absorbed, struct claim_absorbed, i).absorbed;
    }
    return count;
}

/* A final outcome is never overwritten. */
static void
store_record(struct claim_table *table, const wire_handover *handover)
{
    struct claim_record *record =
        g_hash_table_lookup(table->records, handover->claim.key);

    if (record == NULL) {
        record = add_record(table, &handover->claim);
    }
    else if (record->state == CLAIM_DONE) {
        return;
    }
    if (handover->done) {
        end_record(record, &handover->outcome);
    }
}

/* A `total` of 0 means that there are no records to hand over. */
uint32_t
claim_handle_handover(struct claim_table *table, uint64_t wall,
                      const wire_handover *handover)
{
    wire_absorbed absorbed = {.entry = handover->sender,
                              .holder = table->self,
                              .epoch = handover->epoch,
                              .before = handover->before};
    uint64_t sender = hash_pair(HASH_KEY, handover->sender, handover->epoch);
    GHashTable *sequences = g_hash_table_lookup(table->received, &sender);

    if (sequences == NULL) {
        sequences = g_hash_table_new(NULL, NULL);
        g_hash_table_insert(table->received,
                            g_memdup2(&sender, sizeof(sender)), sequences);
    }
    for (u_int i = 0; i < handover->absorbed.absorbed_len; i++) {
        add_absorbed(table, wall, &handover->absorbed.absorbed_val[i]);
    }
    if (handover->total > 0) {
        g_hash_table_add(sequences, GUINT_TO_POINTER(handover->sequence + 1));
        store_record(table, handover);
    }
    if (g_hash_table_size(sequences) >= handover->total) {
        add_absorbed(table, wall, &absorbed);
    }
    return g_hash_table_size(sequences);
}

static bool
is_replica(const struct member_set *members, const char *key, uint64_t id)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t count = member_keepers(members, hash_bytes(HASH_KEY, key, WIRE_KEY),
                                  MEMBER_KEEPERS, set);

    for (size_t i = 0; i < count; i++) {
        if (set[i]->id == id) {
            return true;
        }
    }
    return false;
}

/* Every replica of the key in `after` is one in `before` too. */
static bool
has_no_new_replica(const struct member_set *before,
                   const struct member_set *after, const char *key)
{
    const struct member *set[MEMBER_KEEPERS];
    size_t count = member_keepers(after, hash_bytes(HASH_KEY, key, WIRE_KEY),
                                  MEMBER_KEEPERS, set);

    for (size_t i = 0; i < count; i++) {
        if (!is_replica(before, key, set[i]->id)) {
            return false;
        }
    }
    return true;
}

/* A new replica of the key receives its record. All replicas receive it if the
 * stopping entry was no replica in `before` any more, or if there are too few
 * entries for a new replica. */
bool
claim_needs_handover(const struct member_set *before,
                     const struct member_set *after, const char *key,
                     uint64_t receiver, uint64_t stopping)
{
    return is_replica(after, key, receiver) &&
           (!is_replica(before, key, receiver) ||
            !is_replica(before, key, stopping) ||
            has_no_new_replica(before, after, key));
}

void
claim_list_handover(const struct claim_table *table,
                    const struct member_set *before,
                    const struct member_set *after, uint64_t receiver,
                    GPtrArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, table->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct claim_record *record = value;

        if (claim_needs_handover(before, after, record->claim.key, receiver,
                                 table->self)) {
            g_ptr_array_add(out, value);
        }
    }
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    const struct claim_record *record = value;
    const uint64_t *wall = data;

    (void)key;
    return record->claim.deadline + CLAIM_RETENTION_MS < *wall;
}

void
claim_expire(struct claim_table *table, uint64_t wall)
{
    (void)g_hash_table_foreach_remove(table->records, is_expired, &wall);
    while (
        table->absorbed->len > 0 &&
        g_array_index(table->absorbed, struct claim_absorbed, 0).expires_at <
            wall) {
        g_array_remove_index(table->absorbed, 0);
    }
}

size_t
claim_count(const struct claim_table *table)
{
    return g_hash_table_size(table->records);
}
