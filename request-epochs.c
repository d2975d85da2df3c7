/*
 * The current epoch and the earlier ones whose key records have not expired.
 */
#include <string.h>

#include "request-internal.h"

/* Drops epochs whose records have all expired, oldest first. */
void
request_expire_epochs(struct request_core *core, uint64_t now)
{
    while (core->epoch_count > 1 &&
           now >= core->epochs[core->epoch_count - 1].expires_at) {
        core->epoch_count--;
        member_set_clear(&core->epochs[core->epoch_count].members);
        core->epochs_truncated = false;
    }
}

static void
restart_claims(struct request_core *core, uint64_t now)
{
    GList *all = g_hash_table_get_values(core->requests);

    for (GList *l = all; l != NULL; l = l->next) {
        struct request *request = l->data;

        if (request->state == REQUEST_CLAIMING) {
            request_start_claim(core, now, request);
        }
        else if (request->state == REQUEST_WAITING) {
            request_start_claim(core, now, request);
            request->state = REQUEST_WAITING;
        }
    }
    g_list_free(all);
}

/* Moves the epochs older than the received ones to `next`. */
static size_t
append_older(struct request_core *core, struct request_epoch *next,
             size_t count, uint64_t oldest, uint64_t now)
{
    for (size_t i = 0; i < core->epoch_count; i++) {
        struct request_epoch *old = &core->epochs[i];

        if (old->members.epoch >= oldest || count == REQUEST_EPOCHS_MAX) {
            member_set_clear(&old->members);
            continue;
        }
        if (i == 0) {
            old->expires_at = now + CLAIM_DEADLINE_MAX_MS + CLAIM_RETENTION_MS;
        }
        next[count++] = *old;
    }
    return count;
}

/* An unexpired epoch is missing from the list. */
static bool
has_gap(const struct request_core *core, uint64_t now)
{
    const struct request_epoch *last = &core->epochs[core->epoch_count - 1];

    for (size_t i = 1; i < core->epoch_count; i++) {
        if (core->epochs[i].members.epoch + 1 !=
            core->epochs[i - 1].members.epoch) {
            return true;
        }
    }
    return core->epoch_count == REQUEST_EPOCHS_MAX &&
           last->members.epoch > 1 && last->expires_at > now;
}

/* An ended epoch expires with the last of its key records. */
void
request_set_epochs(struct request_core *core, uint64_t now,
                   const struct member_set *alive,
                   const struct member_set *epochs, const uint64_t *ended_ago,
                   size_t count)
{
    struct request_epoch next[REQUEST_EPOCHS_MAX] = {0};
    uint64_t window = CLAIM_DEADLINE_MAX_MS + CLAIM_RETENTION_MS;
    size_t next_count = MIN(count, REQUEST_EPOCHS_MAX);

    if (count == 0 || (core->epoch_count > 0 &&
                       epochs[0].epoch <= core->epochs[0].members.epoch)) {
        return;
    }
    for (size_t i = 0; i < next_count; i++) {
        member_set_assign(&next[i].members, epochs[i].epoch, epochs[i].items,
                          epochs[i].count);
        next[i].expires_at = now + window;
        if (i > 0) {
            next[i].expires_at -= MIN(window, ended_ago[i]);
        }
    }
    member_set_assign(&core->alive, alive->epoch, alive->items, alive->count);
    next_count = append_older(core, next, next_count,
                              epochs[next_count - 1].epoch, now);
    memcpy(core->epochs, next, sizeof(next));
    core->epoch_count = next_count;
    request_expire_epochs(core, now);
    core->epochs_truncated = has_gap(core, now);
    restart_claims(core, now);
}

void
request_drop_old_epochs(struct request_core *core)
{
    for (size_t i = 1; i < core->epoch_count; i++) {
        member_set_clear(&core->epochs[i].members);
    }
    core->epoch_count = MIN(core->epoch_count, 1);
    core->epochs_truncated = false;
}
