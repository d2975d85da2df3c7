/* Applying drain orders and replacing older sets. */
#include "hall.h"

#include <glib.h>
#include <string.h>

#include "fault.h"

/* Names appear unescaped in URL paths, logs and JSON. */
bool
hall_is_name(const char *name)
{
    size_t length = strlen(name);

    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(name[i]) || strchr("/\"\\%?#", name[i]) != NULL) {
            return false;
        }
    }
    return length > 0 && length <= HALL_NAME_MAX;
}

/* Index of a hall; the count when it is not drained. */
static size_t
find_hall(const struct hall_set *set, const char *name)
{
    size_t i = 0;

    while (i < set->count && strcmp(set->all[i].name, name) != 0) {
        i++;
    }
    return i;
}

bool
hall_apply(struct hall_set *set, uint64_t index, const wire_hall_order *order)
{
    size_t at = find_hall(set, order->hall);
    bool is_drained = at < set->count;

    if (is_drained == order->emptied ||
        (order->emptied && set->count == HALL_MAX)) {
        return false;
    }
    if (order->emptied) {
        struct hall *hall = &set->all[set->count++];

        *hall = (struct hall){.since = index, .wall = order->wall};
        g_strlcpy(hall->name, order->hall, sizeof(hall->name));
    }
    else {
        set->count--;
        memmove(&set->all[at], &set->all[at + 1],
                (set->count - at) * sizeof(set->all[0]));
    }
    set->revision = index;
    return true;
}

bool
hall_update(struct hall_set *set, const wire_halls *received)
{
    if (received->revision == set->revision ||
        (received->revision < set->revision &&
         !fault_is(FAULT_HALLS_UNVERSIONED))) {
        return false;
    }
    set->revision = received->revision;
    set->count = 0;
    for (u_int i = 0; i < received->list.list_len && i < HALL_MAX; i++) {
        const wire_hall *record = &received->list.list_val[i];
        struct hall *hall = &set->all[set->count++];

        *hall = (struct hall){.since = record->since, .wall = record->wall};
        g_strlcpy(hall->name, record->name, sizeof(hall->name));
    }
    return true;
}

bool
hall_is_drained(const struct hall_set *set, const char *name)
{
    return find_hall(set, name) < set->count;
}

void
hall_pack(const struct hall_set *set, wire_hall buffer[HALL_MAX],
          wire_halls *out)
{
    for (size_t i = 0; i < set->count; i++) {
        buffer[i] = (wire_hall){.name = (char *)set->all[i].name,
                                .since = set->all[i].since,
                                .wall = set->all[i].wall};
    }
    out->revision = set->revision;
    out->list.list_val = buffer;
    out->list.list_len = (u_int)set->count;
}
