/* Halls that are emptied: applying orders, and which of two sets is newer. */
#include "hall.h"

#include <glib.h>
#include <string.h>

#include "fault.h"

/* Says whether a name may be a hall's. It is written into paths, logs and
 * pages as it is. */
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

/* Place of a hall; the count when it is not emptied. */
static size_t
place_of(const struct hall_set *set, const char *name)
{
    size_t i = 0;

    while (i < set->count && strcmp(set->all[i].name, name) != 0) {
        i++;
    }
    return i;
}

/* Applies an order. */
bool
hall_apply(struct hall_set *set, uint64_t index, const wire_hall_order *order)
{
    size_t place = place_of(set, order->hall);
    bool is_emptied = place < set->count;

    if (is_emptied == order->emptied ||
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
        memmove(&set->all[place], &set->all[place + 1],
                (set->count - place) * sizeof(set->all[0]));
    }
    set->revision = index;
    return true;
}

/* Takes a set that another node told. */
bool
hall_take(struct hall_set *set, const wire_halls *told)
{
    if (told->revision == set->revision ||
        (told->revision < set->revision && !fault_is(FAULT_HALLS_UNORDERED))) {
        return false;
    }
    set->revision = told->revision;
    set->count = 0;
    for (u_int i = 0; i < told->list.list_len && i < HALL_MAX; i++) {
        const wire_hall *from = &told->list.list_val[i];
        struct hall *hall = &set->all[set->count++];

        *hall = (struct hall){.since = from->since, .wall = from->wall};
        g_strlcpy(hall->name, from->name, sizeof(hall->name));
    }
    return true;
}

/* Says whether a hall is emptied. */
bool
hall_is_emptied(const struct hall_set *set, const char *name)
{
    return place_of(set, name) < set->count;
}

/* Fills a set for the wire. */
void
hall_pack(const struct hall_set *set, wire_hall room[HALL_MAX],
          wire_halls *out)
{
    for (size_t i = 0; i < set->count; i++) {
        room[i] = (wire_hall){.name = (char *)set->all[i].name,
                              .since = set->all[i].since,
                              .wall = set->all[i].wall};
    }
    out->revision = set->revision;
    out->list.list_val = room;
    out->list.list_len = (u_int)set->count;
}
