/**
 * @file fleet-internal.h
 * Shared declarations of the fleet*.c files; private to them.
 */
#ifndef RIDGERIDGE_FLEET_INTERNAL_H
#define RIDGERIDGE_FLEET_INTERNAL_H

#include "fleet.h"

/* fleet.c */
/** Appends an action; the caller sets its other fields. */
struct fleet_action *fleet_add_action(struct fleet *fleet,
                                      enum fleet_action_kind kind);

/* fleet-members.c */
/** Whether a member recently stated that it is overloaded. */
bool fleet_member_is_overloaded(const struct fleet_member *member,
                                uint64_t now);
/** Adds or updates a member; `first_hand`: the report comes from the node
 * itself or from the leader. */
void fleet_update_member(struct fleet *fleet, uint64_t now,
                         const wire_node *node, bool first_hand);
/** Address of a random member, 0: none. */
uint32_t fleet_random_member(struct fleet *fleet);
/** Address of a random member, mostly of this data hall; 0: none. */
uint32_t fleet_random_peer(struct fleet *fleet);
/** LEADER: removes members after FLEET_MEMBER_TIMEOUT_MS. */
void fleet_expire_members(struct fleet *fleet, uint64_t now);
void fleet_handle_members(struct fleet *fleet, uint64_t now,
                          const wire_members *members);

/* fleet-contact.c */
/** Adds a node that is not a member; the oldest contact makes room. */
void fleet_contact_add(struct fleet *fleet, uint64_t now, uint32_t address);
/** Removes a node that is a member now. */
void fleet_contact_remove(struct fleet *fleet, uint64_t now, uint32_t address);
/** Sends hellos to contacts and to seeds that are no members. */
void fleet_contact_send(struct fleet *fleet, uint64_t now);

/* fleet-transfer.c */
/** Queues an item for a node; `starting` nodes are served first. */
void fleet_transfer_enqueue(struct fleet *fleet, uint32_t to,
                            enum fleet_transfer_item items, bool starting);
/** Sends queued transfers within the rate limit. */
void fleet_transfer_send(struct fleet *fleet, uint64_t now);
/** Charges bytes sent outside the queue to the rate limit. */
void fleet_charge_bulk(struct fleet *fleet, uint64_t now, uint64_t bytes);
/** LEADER: queues the table for all members with an older one. */
void fleet_push_table(struct fleet *fleet, uint64_t now);
/** Requests the table from the sender of a hello when its version is newer
 * and the leader has not pushed it within FLEET_TABLE_WAIT_MS. */
void fleet_request_newer_table(struct fleet *fleet, uint64_t now,
                               const wire_hello *hello);
void fleet_handle_table_ask(struct fleet *fleet, const wire_table_ask *ask);

/* fleet-inventory.c */
/** Sends a starting node records and digests of the buckets whose digest is
 * not equal to `theirs`. */
void fleet_send_differences(struct fleet *fleet, uint64_t now, uint32_t to,
                            const uint32_t theirs[WIRE_BUCKETS]);
void fleet_handle_summary(struct fleet *fleet, const wire_summary *summary);
void fleet_handle_need(struct fleet *fleet, uint64_t now,
                       const wire_need *need);
/** Starts a comparison with the sender of a hello when one is due. */
void fleet_compare(struct fleet *fleet, uint64_t now, const wire_hello *hello,
                   bool same_upstreams);
void fleet_handle_compare(struct fleet *fleet, uint64_t now,
                          const wire_compare *compare);
bool fleet_hello_has_upstreams(const wire_hello *hello);
bool fleet_hello_matches_upstreams(const struct fleet *fleet,
                                   const wire_hello *hello);

/* fleet-resolve.c */
/** Sends the lookups that are due. */
void fleet_resolve_send(struct fleet *fleet, uint64_t now);

/* fleet-relay.c */
/** Initializes the queues; `number` precedes the first sequence number. */
void fleet_relay_open(struct fleet *fleet, uint64_t number);
void fleet_relay_close(struct fleet *fleet);
/** Chooses the relay of a range; 0: none. May return this node only with
 * WIRE_REACH_FLEET. */
uint32_t fleet_choose_relay(const struct fleet *fleet, uint64_t now,
                            const struct fleet_range *range, wire_reach reach);
/** Sends recent changes to a member that is new or responsive again. */
void fleet_relay_send_recent(struct fleet *fleet, uint64_t now,
                             const wire_node *node);
/** Queues a change that this node detected. */
void fleet_relay_add_change(struct fleet *fleet, uint64_t now, uint64_t id);
/** Queues changes again after all relays have failed. */
void fleet_relay_requeue(struct fleet *fleet, uint64_t now,
                         const uint64_t *ids, guint count);
/** Deadline of the next flush; UINT64_MAX: none, or deliveries are unsent. */
uint64_t fleet_relay_due(const struct fleet *fleet);
/** Flushes the queues and sends deliveries that are due. */
void fleet_relay_run(struct fleet *fleet, uint64_t now);
/** Merges, acknowledges and relays changes. */
void fleet_handle_spread(struct fleet *fleet, uint64_t now,
                         const wire_spread *spread);

/** The relay of this hall; 0: none. */
uint32_t fleet_relay_of_hall(const struct fleet *fleet, uint64_t now);
/** Lists the addresses to which the relay of this hall sends directly. */
GArray *fleet_relay_list_hall(const struct fleet *fleet, uint64_t now);
/** Lists the hashes of the other halls that have relays of their own. */
GArray *fleet_relay_list_halls(const struct fleet *fleet);
/** The relay of another hall; 0: none. */
uint32_t fleet_relay_of_other_hall(const struct fleet *fleet, uint64_t now,
                                   uint32_t hall);

/* fleet-load.c */
void fleet_load_open(struct fleet *fleet);
void fleet_load_close(struct fleet *fleet);
/** Deadline of the next message; UINT64_MAX: none. */
uint64_t fleet_load_due(const struct fleet *fleet);
/** Sends the messages that are due. */
void fleet_load_run(struct fleet *fleet, uint64_t now);
void fleet_handle_load(struct fleet *fleet, uint64_t now,
                       const wire_load *load);

/* fleet-deliver.c */
void fleet_deliver_open(struct fleet *fleet);
void fleet_deliver_close(struct fleet *fleet);
/** Size on the link of a message with `count` records, in bytes. */
uint64_t fleet_deliver_message_bytes(guint count);
/** Queues changes for the relay of a range; `to` 0: chosen when sent. */
void fleet_deliver_to_relay(struct fleet *fleet, uint64_t now, uint32_t to,
                            const struct fleet_range *range, wire_reach reach,
                            const uint64_t *ids, guint count);
/** Queues changes for nodes that do not relay them. */
void fleet_deliver_to_nodes(struct fleet *fleet, uint64_t now,
                            const uint32_t *to, guint nodes,
                            const uint64_t *ids, guint count);
/** Sends deliveries that are due, within the rate limit. */
void fleet_deliver_due(struct fleet *fleet, uint64_t now);
void fleet_handle_spread_ack(struct fleet *fleet, uint64_t now,
                             const wire_spread_ack *ack);

/* fleet-send.c */
/** Encodes and sends a message; does nothing for address 0 or this node. */
void fleet_send(struct fleet *fleet, uint32_t to, wire_msg *msg);
/** Sends an encoded message; takes a reference. */
void fleet_send_encoded(struct fleet *fleet, uint32_t to, GByteArray *bytes);
/** Applies a report about an upstream to the upstream set. */
void fleet_handle_report(struct fleet *fleet, uint64_t now,
                         const wire_doubt *report);
/** LEADER: sends the drained halls to all members. */
void fleet_push_halls(struct fleet *fleet);
void fleet_send_hello(struct fleet *fleet, uint32_t to, bool reply);
/** Sends a hello that requests all data that this node lacks. */
void fleet_request_sync(struct fleet *fleet, uint32_t to);
/** LEADER: announces new members to all. */
void fleet_push_joined(struct fleet *fleet);
/** Sends the member list. */
void fleet_send_members(struct fleet *fleet, uint32_t to);
/** Queues the member list for the sender of a hello that lacks it. */
void fleet_enqueue_members(struct fleet *fleet, const wire_hello *hello,
                           struct fleet_member *member);
/** Sends records in as many messages as needed. */
void fleet_send_upstreams(struct fleet *fleet, uint32_t to,
                          wire_upstream *records, guint count);

#endif
