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
/** The same to compare with, mostly one of this data hall. */
uint32_t fleet_random_peer(struct fleet *fleet);
/** LEADER: drops members that are silent. */
void fleet_drop_lost(struct fleet *fleet, uint64_t now);
/** Takes a list of members. */
void fleet_take_members(struct fleet *fleet, uint64_t now,
                        const wire_members *members);

/* fleet-saved.c */
/** Greets the stored nodes that were not heard yet. */
void fleet_greet_unheard(struct fleet *fleet, uint64_t now);

/* fleet-transfer.c */
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

/* fleet-resolve.c */
/** Asks for upstreams that open flows name, as far as it is time to. */
void fleet_resolve_now(struct fleet *fleet, uint64_t now);

/* fleet-relay.c */
/** Opens and closes what is on its way; the first message has a number after
 * this one. */
void fleet_relay_open(struct fleet *fleet, uint64_t number);
void fleet_relay_close(struct fleet *fleet);
/** The node that relays to a range, as this one sees it; 0: none. Only with
 * WIRE_REACH_FLEET, for its own changes, it may be this one. */
uint32_t fleet_relay_of(const struct fleet *fleet, uint64_t now,
                        const struct fleet_range *range, wire_reach reach);
/** Tells a node that is new, or back, what it may have missed. */
void fleet_relay_greet(struct fleet *fleet, uint64_t now,
                       const wire_node *node);
/** A change that this node heard is to be known everywhere. */
void fleet_relay_tell(struct fleet *fleet, uint64_t now, uint64_t id);
/** This node's own changes wait until it finds a relay. */
void fleet_relay_hold(struct fleet *fleet, uint64_t now, const uint64_t *ids,
                      guint count);
/** When what has gathered may leave; UINT64_MAX: nothing has, or not yet. */
uint64_t fleet_relay_due(const struct fleet *fleet);
/** Lets what has gathered leave, when it is time to, and sends what is due. */
void fleet_relay_move(struct fleet *fleet, uint64_t now);
/** Takes changes, and owes them to those whom they are to reach. */
void fleet_take_spread(struct fleet *fleet, uint64_t now,
                       const wire_spread *spread);

/* fleet-deliver.c */
/** Opens and closes the list of what is owed. */
void fleet_deliver_open(struct fleet *fleet);
void fleet_deliver_close(struct fleet *fleet);
/** Bytes that the link takes for a message of so many records. */
uint64_t fleet_deliver_bytes(guint count);
/** Owes changes to the relay of a range; 0: to one that is found later. */
void fleet_deliver_to_relay(struct fleet *fleet, uint64_t now, uint32_t to,
                            const struct fleet_range *range, wire_reach reach,
                            const uint64_t *ids, guint count);
/** Owes changes to nodes that pass nothing on. */
void fleet_deliver_to_nodes(struct fleet *fleet, uint64_t now,
                            const uint32_t *to, guint nodes,
                            const uint64_t *ids, guint count);
/** Sends what is due, as far as the link has room. */
void fleet_deliver_due(struct fleet *fleet, uint64_t now);
/** A node has taken a message, or cannot pass it on. */
void fleet_take_spread_ack(struct fleet *fleet, uint64_t now,
                           const wire_spread_ack *ack);

/* fleet-send.c */
/** Sends a message; to address 0 or to this node itself, nothing. */
void fleet_send(struct fleet *fleet, uint32_t to, wire_msg *msg);
/** Sends an encoded message, which is shared. */
void fleet_send_encoded(struct fleet *fleet, uint32_t to, GByteArray *bytes);
/** Takes a node's word about an upstream that this one hears. */
void fleet_take_doubt(struct fleet *fleet, uint64_t now,
                      const wire_doubt *doubt);
/** LEADER: tells all members which halls are emptied. */
void fleet_push_halls(struct fleet *fleet);
/** Tells another node what this one knows. */
void fleet_send_hello(struct fleet *fleet, uint32_t to, bool reply);
/** The same, and asks it for what this one lacks. */
void fleet_ask(struct fleet *fleet, uint32_t to);
/** LEADER: tells all members who is new. */
void fleet_push_joined(struct fleet *fleet);
/** Sends all members. */
void fleet_send_members(struct fleet *fleet, uint32_t to);
/** Owes the members to the node of a hello that lacks them. */
void fleet_owe_members(struct fleet *fleet, const wire_hello *hello,
                       struct fleet_member *member);
/** Sends records of upstreams to a node. */
void fleet_send_upstreams(struct fleet *fleet, uint32_t to,
                          wire_upstream *records, guint count);

#endif
