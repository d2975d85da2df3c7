/**
 * @file fleet-internal.h
 * What the fleet*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_FLEET_INTERNAL_H
#define RIDGERIDGE_FLEET_INTERNAL_H

#include "fleet.h"

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

/* fleet-table.c */
/** A node is owed the table; one that begins is before the others. */
void fleet_owe_table(struct fleet *fleet, uint32_t to, bool begins);
/** LEADER: owes the table to all members that showed an older one. */
void fleet_push_table(struct fleet *fleet, uint64_t now);
/** Sends the copies that the link has room for. */
void fleet_pay_tables(struct fleet *fleet, uint64_t now);
/** Asks a node that shows a newer table, when the leader's copy stays away. */
void fleet_see_table(struct fleet *fleet, uint64_t now,
                     const wire_hello *hello);
/** Another node asks for the table. */
void fleet_take_table_ask(struct fleet *fleet, const wire_table_ask *ask);

/* fleet-spread.c */
/** Sends a message; to address 0 or to this node itself, nothing. */
void fleet_send(struct fleet *fleet, uint32_t to, wire_msg *msg);
/** Tells another node what this one knows. */
void fleet_send_hello(struct fleet *fleet, uint32_t to, bool reply);
/** The same, and asks it for what this one lacks. */
void fleet_ask(struct fleet *fleet, uint32_t to);
/** LEADER: tells all members who is new. */
void fleet_push_joined(struct fleet *fleet);
/** Says whether the sender of a hello knows any upstream. */
bool fleet_has_upstreams(const wire_hello *hello);
/** Says whether a hello shows the same inventory. */
bool fleet_has_same_upstreams(const struct fleet *fleet,
                              const wire_hello *hello);
/** Sends upstreams that the node of a hello lacks, if `same` is false. */
void fleet_send_lacking_upstreams(struct fleet *fleet, uint64_t now,
                                  const wire_hello *hello,
                                  struct fleet_member *member, bool same);
/** Asks for the records that differ from what another node holds. */
void fleet_take_summary(struct fleet *fleet, const wire_summary *summary);
/** Sends the records that another node asks for. */
void fleet_take_need(struct fleet *fleet, uint64_t now, const wire_need *need);
/** Sends the members that the node of a hello lacks. */
void fleet_send_lacking_members(struct fleet *fleet, const wire_hello *hello,
                                struct fleet_member *member);

#endif
