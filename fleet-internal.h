/**
 * @file fleet-internal.h
 * What the fleet*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_FLEET_INTERNAL_H
#define RIDGERIDGE_FLEET_INTERNAL_H

#include "fleet.h"

/** In place of a node's address, which is never 0: every member. */
#define FLEET_ALL 0

/* fleet.c */
/** Adds an action, to be filled in. */
struct fleet_action *fleet_act(struct fleet *fleet,
                               enum fleet_action_kind kind);

/* fleet-members.c */
/** Notes a member; `heard` says that the word is its own or the leader's. */
void fleet_note_member(struct fleet *fleet, uint64_t now,
                       const wire_node *node, bool heard);
/** A member drawn by lot, 0 when there is none. */
uint32_t fleet_random_member(struct fleet *fleet);
/** LEADER: drops members that are silent. */
void fleet_drop_lost(struct fleet *fleet, uint64_t now);
/** Takes a list of members. */
void fleet_take_members(struct fleet *fleet, uint64_t now,
                        const wire_members *members);

/* fleet-kept.c */
/** Greets the stored nodes that were not heard yet. */
void fleet_greet_unheard(struct fleet *fleet, uint64_t now);

/* fleet-owed.c */
/** A node is owed something; one that begins is before the others. */
void fleet_owe(struct fleet *fleet, uint32_t to, enum fleet_bulk what,
               bool begins);
/** Sends the copies that the link has room for. */
void fleet_pay(struct fleet *fleet, uint64_t now);
/** Counts bytes of copies that were sent otherwise. */
void fleet_note_bulk(struct fleet *fleet, uint64_t now, uint64_t bytes);
/** LEADER: owes the table to all members that showed an older one. */
void fleet_push_table(struct fleet *fleet, uint64_t now);
/** Asks a node that shows a newer table, when the leader's copy stays away. */
void fleet_see_table(struct fleet *fleet, uint64_t now,
                     const wire_hello *hello);
/** Another node asks for the table. */
void fleet_take_table_ask(struct fleet *fleet, const wire_table_ask *ask);

/* fleet-inventory.c */
/** Sends a node that begins what it lacks in the buckets that differ. */
void fleet_send_differing(struct fleet *fleet, uint64_t now, uint32_t to,
                          const uint32_t theirs[WIRE_BUCKETS]);
/** Asks for the records that differ from what another node holds. */
void fleet_take_summary(struct fleet *fleet, const wire_summary *summary);
/** Sends the records that another node asks for. */
void fleet_take_need(struct fleet *fleet, uint64_t now, const wire_need *need);
/** Compares the inventory with that of a node, when it is time to. */
void fleet_compare(struct fleet *fleet, uint64_t now, const wire_hello *hello,
                   bool same);
/** Answers a comparison. */
void fleet_take_compare(struct fleet *fleet, uint64_t now,
                        const wire_compare *compare);
/** Says whether the sender of a hello knows any upstream. */
bool fleet_has_upstreams(const wire_hello *hello);
/** Says whether a hello shows the same inventory. */
bool fleet_has_same_upstreams(const struct fleet *fleet,
                              const wire_hello *hello);

/* fleet-spread.c */
/** Sends a message; to address 0 or to this node itself, nothing. */
void fleet_send(struct fleet *fleet, uint32_t to, wire_msg *msg);
/** Tells another node what this one knows. */
void fleet_send_hello(struct fleet *fleet, uint32_t to, bool reply);
/** The same, and asks it for what this one lacks. */
void fleet_ask(struct fleet *fleet, uint32_t to);
/** LEADER: tells all members who is new. */
void fleet_push_joined(struct fleet *fleet);
/** Pushes once more what takes upstreams out of use. */
void fleet_push_again(struct fleet *fleet, uint64_t now);
/** Sends all members. */
void fleet_send_members(struct fleet *fleet, uint32_t to);
/** Owes the members to the node of a hello that lacks them. */
void fleet_owe_members(struct fleet *fleet, const wire_hello *hello,
                       struct fleet_member *member);
/** Sends records of upstreams to one node, or to FLEET_ALL. */
void fleet_send_upstreams(struct fleet *fleet, uint32_t to,
                          wire_upstream *records, guint count);

#endif
