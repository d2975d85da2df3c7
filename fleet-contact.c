/*
 * Contacts: nodes outside of the member list that may be back, such as lost
 * members, nodes saved on the disk and seeds. Nodes that restart together know
 * only each other, so the members keep sending hellos to their contacts. Each
 * node contacts one at random, with a probability by which a contact receives
 * about one hello per interval from the whole fleet, however large it is.
 */
#include "fleet-internal.h"

#include "fault.h"
#include "random.h"

/* All contacts are sent hellos for this long after a start; after a power
 * loss, VMs come back within a second or two. */
#define CONTACT_ALL_MS 3000U

/* Index of a contact; the number of contacts when there is none. */
static guint
find_contact(const struct fleet *fleet, uint32_t address)
{
    guint i = 0;

    while (i < fleet->contacts->len &&
           g_array_index(fleet->contacts, struct fleet_contact, i).address !=
               address) {
        i++;
    }
    return i;
}

void
fleet_contact_add(struct fleet *fleet, uint64_t now, uint32_t address)
{
    struct fleet_contact contact = {.address = address,
                                    .added_at = now,
                                    .expires_at =
                                        now + FLEET_CONTACT_RETAIN_MS};

    if (address == 0 || address == fleet->self.address ||
        find_contact(fleet, address) < fleet->contacts->len) {
        return;
    }
    if (fleet->contacts->len == FLEET_CONTACTS_MAX) {
        g_array_remove_index(fleet->contacts, 0);
    }
    g_array_append_val(fleet->contacts, contact);
}

void
fleet_contact_remove(struct fleet *fleet, uint64_t now, uint32_t address)
{
    guint index = find_contact(fleet, address);
    struct fleet_action *action;

    if (index < fleet->contacts->len) {
        action = fleet_add_action(fleet, FLEET_CONTACT_FOUND);
        action->to = address;
        action->age_ms =
            now - g_array_index(fleet->contacts, struct fleet_contact, index)
                      .added_at;
        g_array_remove_index(fleet->contacts, index);
    }
}

/* Removes contacts that have expired; the first ones are the oldest. */
static void
expire_contacts(struct fleet *fleet, uint64_t now)
{
    guint count = 0;

    while (count < fleet->contacts->len &&
           now >= g_array_index(fleet->contacts, struct fleet_contact, count)
                      .expires_at) {
        count++;
    }
    if (count > 0) {
        g_array_remove_range(fleet->contacts, 0, count);
    }
}

static void
send_contact_hello(struct fleet *fleet, uint32_t address)
{
    fleet->contact_hellos++;
    fleet_send_hello(fleet, address, false);
}

/* Lists the seeds that are neither members nor contacts. Without a leader, the
 * search for one already sends hellos to all seeds. */
static size_t
list_unknown_seeds(const struct fleet *fleet, uint32_t out[FLEET_SEEDS_MAX])
{
    size_t count = 0;

    for (size_t i = 0; i < fleet->seed_count && fleet->leader != 0; i++) {
        uint32_t seed = fleet->seeds[i];

        if (seed != fleet->self.address &&
            !g_hash_table_contains(fleet->members, GUINT_TO_POINTER(seed)) &&
            find_contact(fleet, seed) == fleet->contacts->len) {
            out[count++] = seed;
        }
    }
    return count;
}

void
fleet_contact_send(struct fleet *fleet, uint64_t now)
{
    uint32_t seeds[FLEET_SEEDS_MAX];
    size_t seed_count = list_unknown_seeds(fleet, seeds);
    size_t count;
    size_t pick;

    expire_contacts(fleet, now);
    if (fault_is(FAULT_NO_CONTACTS)) {
        return;
    }
    if (now < fleet->started_at + CONTACT_ALL_MS) {
        for (guint i = 0; i < fleet->contacts->len; i++) {
            send_contact_hello(
                fleet, g_array_index(fleet->contacts, struct fleet_contact, i)
                           .address);
        }
        return;
    }
    count = fleet->contacts->len + seed_count;
    if (count == 0 ||
        random_next(&fleet->random) % (fleet->addresses->len + 1) >= count) {
        return;
    }
    pick = random_next(&fleet->random) % count;
    send_contact_hello(fleet, pick < seed_count
                                  ? seeds[pick]
                                  : g_array_index(fleet->contacts,
                                                  struct fleet_contact,
                                                  (guint)(pick - seed_count))
                                        .address);
}
