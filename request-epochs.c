/*
 * The epochs whose records may still matter to a request: the one in force
 * and those that ended within the window. Decides nothing about keys.
 */
#include <string.h>

#include "request-internal.h"

/* Drops epochs whose records have all expired, oldest first. */
void
request_expire_epochs(struct request_core *core, uint64_t now)
{
    while (core->epoch_count > 1 &&
           now >= core->epochs[core->epoch_count - 1].until) {
        core->epoch_count--;
        member_set_clear(&core->epochs[core->epoch_count].members);
        core->history_cut = false;
    }
}

/* Starts claims again in the new epoch. */
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

/* Puts the epochs that are known behind those just taken. */
static size_t
keep_known(struct request_core *core, struct request_epoch *next, size_t count,
           uint64_t oldest, uint64_t now)
{
    for (size_t i = 0; i < core->epoch_count; i++) {
        struct request_epoch *known = &core->epochs[i];

        if (known->members.epoch >= oldest || count == REQUEST_EPOCHS) {
            member_set_clear(&known->members);
            continue;
        }
        if (i == 0) {
            known->until = now + CLAIM_HORIZON_MS + CLAIM_KEEP_MS;
        }
        next[count++] = *known;
    }
    return count;
}

/* Says whether an epoch that still matters is missing from the list. */
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
    return core->epoch_count == REQUEST_EPOCHS && last->members.epoch > 1 &&
           last->until > now;
}

/* Takes the epochs; one that ended matters until its records expired. */
void
request_set_epochs(struct request_core *core, uint64_t now,
                   const struct member_set *alive,
                   const struct member_set *epochs, const uint64_t *ended_ago,
                   size_t count)
{
    struct request_epoch next[REQUEST_EPOCHS] = {0};
    uint64_t window = CLAIM_HORIZON_MS + CLAIM_KEEP_MS;
    size_t kept = MIN(count, REQUEST_EPOCHS);

    if (count == 0 || (core->epoch_count > 0 &&
                       epochs[0].epoch <= core->epochs[0].members.epoch)) {
        return;
    }
    for (size_t i = 0; i < kept; i++) {
        member_set_assign(&next[i].members, epochs[i].epoch, epochs[i].items,
                          epochs[i].count);
        next[i].until = now + window;
        if (i > 0) {
            next[i].until -= MIN(window, ended_ago[i]);
        }
    }
    member_set_assign(&core->alive, alive->epoch, alive->items, alive->count);
    kept = keep_known(core, next, kept, epochs[kept - 1].epoch, now);
    memcpy(core->epochs, next, sizeof(next));
    core->epoch_count = kept;
    request_expire_epochs(core, now);
    core->history_cut = has_gap(core, now);
    restart_claims(core, now);
}

/* Forgets the epochs before the one in force. */
void
request_forget_epochs(struct request_core *core)
{
    for (size_t i = 1; i < core->epoch_count; i++) {
        member_set_clear(&core->epochs[i].members);
    }
    core->epoch_count = MIN(core->epoch_count, 1);
    core->history_cut = false;
}
