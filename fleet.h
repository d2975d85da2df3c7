/**
 * @file fleet.h
 * Cluster membership and state exchange between nodes: hellos, anti-entropy
 * of upstream inventories, broadcast of upstream changes through a relay per
 * data hall, and rate-limited transfers of routing tables, inventories and
 * member lists. Owns the member list and the packed routing table; borrows the
 * upstream set and changes it only through upstream.h. Does no I/O.
 */
#ifndef RIDGERIDGE_FLEET_H
#define RIDGERIDGE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "evidence.h"
#include "generated/wire.h"
#include "occupancy.h"
#include "returning.h"
#include "upstream.h"

#define FLEET_SEEDS_MAX 16
#define FLEET_VOTERS_MAX 16 /**< more than CONS_VOTERS_MAX */
/* Without a leader, a settled node can wait longer than a starting one, and
 * all nodes search at once. */
#define FLEET_HELLO_INTERVAL_MS 500U  /**< between hellos, leader known */
#define FLEET_HELLO_STARTING_MS 100U  /**< between hellos before settling */
#define FLEET_HELLO_NO_LEADER_MS 250U /**< between hellos without a leader */
#define FLEET_MEMBER_TIMEOUT_MS                                               \
    4000U /**< the leader removes a member after this long without a hello */
#define FLEET_LEADER_TIMEOUT_MS                                               \
    2500U /**< leader discovery starts after this long without a hello */
#define FLEET_SEARCH_ALL_MS                                                   \
    10000U /**< a node without a leader asks all candidates for this long;    \
                then at random, so that a candidate with a small link is not  \
                overloaded by a large fleet */
#define FLEET_SEARCH_FEW                                                      \
    3U /**< candidates that a node then asks per interval, at most */
#define FLEET_BOOTSTRAP_DELAY_MS                                              \
    1500U /**< from the first start to the choice of a founder */
#define FLEET_SETTLE_MS                                                       \
    1000U /**< from the first hello of a peer until a node with data counts   \
               as settled although inventories still differ */
#define FLEET_SYNC_INTERVAL_MS                                                \
    200U /**< between sync requests of a starting node */
#define FLEET_SYNC_TIMEOUT_MS                                                 \
    500U /**< longest wait for further records after a sync request; a sync   \
              of 64 KB takes 0.24 s on a link of 2.2 Mbit/s, and another node \
              may be served before */
#define FLEET_SYNC_ANY_NODE_MS                                                \
    50U /**< from the first hello until nodes without a disk are sent sync    \
             requests too */
#define FLEET_SYNC_OTHER_HALL_MS                                              \
    600U /**< without an offer from this hall, sync requests go to other      \
              halls after this long */
#define FLEET_PUSH_INTERVAL_MS 250U /**< between pushes of the table */
#define FLEET_TABLE_WAIT_MS                                                   \
    300U /**< wait for the leader's push before requesting a newer table */
#define FLEET_TABLE_RETRY_MS 400U /**< between requests for a newer table */
#define FLEET_BULK_SHARE                                                      \
    2U /**< transfers take at most 1/FLEET_BULK_SHARE of the link */
#define FLEET_COMPARE_INTERVAL_MS                                             \
    500U /**< between anti-entropy comparisons of one node */
#define FLEET_DUPLICATE_WINDOW                                                \
    64U /**< sequence numbers remembered per sender; one bit each. A relay    \
             sends 50 messages a second and repeats one within 0.7 s */
#define FLEET_OVERLOADED_MS                                                   \
    1500U /**< from a hello with WIRE_HELLO_OVERLOADED until the member is    \
               used as a relay again, and its suspicions count */
#define FLEET_JOINED_INTERVAL_MS                                              \
    100U /**< LEADER: between announcements of new members */
#define FLEET_CONTACT_RETAIN_MS                                               \
    7200000U /**< a lost node is forgotten after this long; regions may be    \
                  partitioned for an hour */
#define FLEET_CONTACTS_MAX                                                    \
    WIRE_MEMBERS_MAX /**< a larger fleet cannot have lost more members */

/** Kind of a struct fleet_action. */
enum fleet_action_kind {
    FLEET_SEND,      /**< send `bytes` to the node `to` */
    FLEET_DISK_SEEN, /**< received a hello of `node`, which has a disk */
    FLEET_BOOTSTRAP, /**< bootstrap the control quorum on this node's disk */
    FLEET_TABLE,     /**< decode and apply `fleet.routes` */
    FLEET_HALLS,     /**< the set of drained halls changed: log it */
    FLEET_UNRESPONSIVE, /**< no acknowledgement from the node `to`: log it */
    FLEET_LEADER_LOST, /**< no hello of the leader `to` for `age_ms`: log it */
    FLEET_LEADER_FOUND, /**< adopted the leader `to`, which `reported_by`
                           named: log it */
    FLEET_NODES_JOINED, /**< LEADER: `count` new members, the first is `to`:
                             log it */
    FLEET_NODES_LOST,   /**< removed `count` members, the first is `to` and
                             sent no hello for `age_ms`: log it */
    FLEET_CONTACT_FOUND /**< the node `to` is a member again, after `age_ms`:
                             log it */
};

/** Work for the event loop. */
struct fleet_action {
    enum fleet_action_kind kind; /**< selects the fields that are set */
    uint32_t to;                 /**< address, unless DISK_SEEN, BOOTSTRAP,
                                      TABLE or HALLS */
    uint32_t reported_by;        /**< LEADER_FOUND: address, 0: the voter */
    guint count;                 /**< NODES_JOINED, NODES_LOST */
    uint64_t age_ms;             /**< LEADER_LOST, NODES_LOST,
                                      CONTACT_FOUND */
    GByteArray *bytes;           /**< SEND: encoded message */
    wire_node node;              /**< DISK_SEEN */
    uint64_t version;            /**< TABLE: bundle version */
};

/** Items of a transfer, as bits. */
enum fleet_transfer_item {
    FLEET_TRANSFER_TABLE = 1,     /**< the routing table */
    FLEET_TRANSFER_UPSTREAMS = 2, /**< differences in the inventory */
    FLEET_TRANSFER_MEMBERS = 4    /**< the list of members */
};

/** A queued transfer to one node. */
struct fleet_transfer {
    uint32_t to;    /**< address */
    unsigned items; /**< enum fleet_transfer_item, or-ed */
    bool starting;  /**< the receiver is not settled: served first */
};

/** A lookup of an upstream that a packet names but the inventory lacks. */
struct fleet_lookup {
    uint32_t token;    /**< of the upstream */
    unsigned attempts; /**< requests sent */
    uint64_t send_at;  /**< deadline: next request */
};

/** The nodes of a data hall in a range of addresses. */
struct fleet_range {
    uint32_t hall;  /**< hash of its name */
    uint32_t first; /**< address */
    uint32_t last;  /**< address, inclusive */
};

/** An upstream change queued for relaying. */
struct fleet_queued_change {
    uint64_t id;              /**< of the upstream */
    struct fleet_range range; /**< receivers */
    bool to_other_halls;      /**< also to a relay of each other hall */
};

/** A change of this node that is broadcast a second time. */
struct fleet_repeat {
    uint64_t id;     /**< of the upstream */
    uint64_t due_at; /**< deadline */
};

/** A change that this node relayed recently. */
struct fleet_recent_change {
    uint64_t id;       /**< of the upstream */
    uint64_t added_at; /**< time */
};

struct fleet_batch;

/** Changes sent to one node until it acknowledges them. */
struct fleet_delivery {
    struct fleet_batch *batch; /**< the changes; reference-counted */
    uint32_t to;               /**< address of the receiver */
    wire_reach reach;          /**< how far the receiver relays them */
    struct fleet_range range;  /**< to which nodes the receiver relays them */
    unsigned attempts;         /**< transmissions to `to` */
    unsigned failed_relays;    /**< unresponsive relays before `to` */
    uint64_t send_at;          /**< deadline: next transmission */
    uint64_t expires_at;       /**< deadline: given up */
};

/** Queues of upstream changes. */
struct fleet_relay {
    GArray *own_changes; /**< uint64_t: upstreams whose change this node
                              detected, for the hall's relay */
    GArray *repeats;     /**< struct fleet_repeat, earliest first */
    GArray *queued;      /**< struct fleet_queued_change */
    GArray *recent;      /**< struct fleet_recent_change, oldest first */
    uint64_t flush_at;   /**< deadline: send the queues; 0: they are empty */
    uint64_t flushed_at; /**< time of the last flush */
    GArray *deliveries;  /**< struct fleet_delivery */
    uint64_t due_at;     /**< lower bound of all delivery deadlines */
    guint unsent;        /**< deliveries without a transmission yet */
    uint64_t pace_at;    /**< deadline: the link has sent all bytes so far */
    uint64_t pace_bytes; /**< bytes not yet counted in `pace_at`, below 1 ms */
    uint64_t last_number; /**< sequence number of the last message */
    bool has_all_members; /**< the member list is complete */
};

/** Counts received from a node or from a relay of another hall. */
struct fleet_load_report {
    uint32_t node;        /**< address of the sender */
    uint64_t received_at; /**< time */
    uint64_t counted_at;  /**< time of the oldest count */
    uint32_t nodes;       /**< whose counts are included */
    uint32_t short_nodes; /**< those of them that detect a shortage */
    GArray *entries;      /**< struct occupancy_entry */
};

/** Exchange of the counts in `struct occupancy` between nodes. A deadline of
 * 0 means that nothing is sent. */
struct fleet_exchange {
    bool active;          /**< a service is short at this node */
    uint64_t short_until; /**< deadline: a received sum has a shortage */
    uint64_t report_at;   /**< deadline: next report */
    uint32_t relay;       /**< receives the reports */
    uint64_t relay_until; /**< deadline: `relay` sends a sum */
    uint64_t hall_at;     /**< RELAY: deadline: next sum of this hall */
    uint32_t hall_short;  /**< RELAY: nodes with a shortage in the last one */
    uint64_t fleet_at;    /**< RELAY: deadline: next sum of all halls */
    GHashTable *nodes;    /**< RELAY: address to struct fleet_load_report */
    GHashTable *halls;    /**< RELAY: hall to struct fleet_load_report */
    GArray *refused;      /**< RELAY: uint32_t: keys for the next sum */
    GArray *receivers;    /**< RELAY: uint32_t: of the sum of all halls */
    guint sent;           /**< RELAY: how many of them have got it */
    GArray *keys;         /**< RELAY: uint32_t: keys that go with it */
    uint64_t round_at;    /**< RELAY: time when its first message was sent */
    uint64_t messages_sent; /**< once per receiver */
    uint64_t bytes_sent;    /**< once per receiver */
};

/** A disk of a node. */
struct fleet_disk {
    uint32_t address;
    uint64_t identity; /**< another one after the disk was exchanged */
};

/** Another node. */
struct fleet_member {
    wire_node node;          /**< as reported by it or by the leader */
    uint64_t last_seen_at;   /**< last hello, or last report by the leader */
    bool members_differ;     /**< its last hello had another member digest */
    uint64_t table_version;  /**< in its last hello, 0: no table */
    uint64_t halls_revision; /**< of the drained halls in its last hello, 0:
                                  none */
    uint32_t bucket_digests[WIRE_BUCKETS]; /**< in its last hello */
    uint64_t unresponsive_until; /**< deadline: no changes are sent to it */
    uint64_t overloaded_until;   /**< deadline: its hellos stated an overload;
                                      0: never */
    uint64_t relay_after;        /**< deadline: not used as a relay before */
    uint64_t highest_number; /**< highest sequence number received from it */
    uint64_t received_bits;  /**< bit n: `highest_number` - n was received */
};

/** A node outside of the member list that may be back. */
struct fleet_contact {
    uint32_t address;
    uint64_t added_at;   /**< time */
    uint64_t expires_at; /**< deadline: forgotten */
};

/** Membership and exchange state of one node. */
struct fleet {
    wire_node self;       /**< this node */
    bool first_start;     /**< of the whole deployment */
    bool chooses_founder; /**< of all nodes, this one alone may do so, on the
                             first start */
    uint32_t seeds[FLEET_SEEDS_MAX];   /**< of the settings */
    size_t seed_count;                 /**< of seeds */
    uint32_t voters[FLEET_VOTERS_MAX]; /**< stored on this node's disk */
    size_t voter_count;                /**< of voters */
    uint64_t started_at;               /**< time of fleet_open() */
    GHashTable *members;               /**< address to struct fleet_member */
    GArray *addresses;                 /**< uint32_t: of the members, sorted */
    GArray *hall_addresses;            /**< uint32_t: of the members in this
                                            node's data hall, sorted */
    uint64_t hall_has_data_until; /**< deadline: sync only from this hall */
    uint64_t members_digest_sum;  /**< sum of the members' digests */
    uint64_t term;                /**< term of `leader` */
    uint32_t leader;              /**< its address, 0: none known */
    uint64_t leader_seen_at;      /**< last hello of it, or first report
                                       of it by another node */
    bool leader_confirmed;        /**< it or the local voter said that it
                                       leads; a report of another node may
                                       be out of date */
    uint64_t search_since;        /**< time since when no leader is known,
                                       0: one is */
    uint64_t leads_since;         /**< time, 0: this node is no leader */
    uint64_t hello_at;            /**< deadline: next hellos */
    uint32_t founder;             /**< address chosen here, 0: none yet */
    bool bootstrapped;            /**< a leader existed in any term */
    bool settled;                 /**< has enough data to serve */
    bool overloaded;              /**< this node is overloaded; set by its
                                       owner, stated in hellos */
    uint64_t first_hello_at;      /**< first hello of a peer, 0: none */
    uint64_t sync_requested_at;   /**< last sync request, 0: none */
    uint64_t sync_until;          /**< deadline: no further sync request
                                       before */
    GArray *contacts;             /**< struct fleet_contact, oldest first */
    uint64_t contact_hellos;      /**< sent to contacts and to seeds that
                                       are no members */
    GArray *joined;               /**< uint32_t: LEADER: new members to
                                       announce */
    wire_routes routes;           /**< newest table; packed is owned */
    uint64_t push_at;             /**< deadline: push the table, 0: none */
    uint64_t pushed_at;           /**< last push */
    uint64_t expire_after; /**< LEADER: deadline: members expire again after a
                              stall of this node */
    uint64_t expire_members_at;     /**< LEADER: deadline: expire members */
    uint64_t push_joined_at;        /**< deadline: announce `joined` */
    GArray *lookups;                /**< struct fleet_lookup */
    GArray *transfers;              /**< struct fleet_transfer: FIFO, one
                                         per node */
    uint64_t transfer_at;           /**< deadline: next transfer */
    uint64_t bulk_bytes;            /**< bytes not yet counted in
                                         `transfer_at`, below 1 ms */
    uint32_t bulk_bytes_per_ms;     /**< rate limit, 0: none */
    uint64_t bytes_sent;            /**< in all messages, once per receiver */
    struct fleet_relay relay;       /**< queues of changes */
    struct occupancy load;          /**< of the upstreams, at all nodes */
    struct returning returning;     /**< callers refused in this hall */
    struct fleet_exchange exchange; /**< of `load` and `returning` */
    uint64_t compare_at;            /**< deadline: next comparison */
    uint64_t differs_since[WIRE_BUCKETS]; /**< since when all hellos had
                                               another digest, 0: the last
                                               hello had the same */
    uint64_t highest_seen_version;  /**< highest table version in a hello */
    uint64_t request_table_at;      /**< deadline: request a newer table */
    struct upstream_set *upstreams; /**< borrowed */
    uint64_t random;                /**< state of the generator */
    GArray *actions;                /**< struct fleet_action */
};

/** Parameters of fleet_open(). */
struct fleet_options {
    uint32_t address;     /**< of this node */
    uint64_t incarnation; /**< random number of this start */
    uint64_t identity;    /**< of this node's disk, 0: none */
    bool first_start;     /**< of the whole deployment */
    uint64_t link_kbit_s; /**< of this node's link, 0: unknown */
    uint32_t hall;        /**< hash of its data hall's name */
    uint64_t seed;        /**< of the random generator */
};

/** Initializes the state without any members. */
void fleet_open(struct fleet *fleet, uint64_t now,
                const struct fleet_options *options,
                struct upstream_set *upstreams);

void fleet_close(struct fleet *fleet);

/** Sets the seeds of the settings; some may be unreachable. On the first start
 * of the deployment, the lowest of the first seeds chooses the founder. */
void fleet_set_seeds(struct fleet *fleet, const uint32_t *seeds, size_t count);

/** Adds a voter that this node's disk names; it is asked for the leader as the
 * seeds are, also after they have changed. */
void fleet_add_voter(struct fleet *fleet, uint32_t address);

/** Sets the leader as the local voter sees it; 0: none. */
void fleet_set_leader(struct fleet *fleet, uint64_t now, uint64_t term,
                      uint32_t leader);

/** Stores a committed table; false when it is not newer. */
bool fleet_set_routes(struct fleet *fleet, uint64_t now,
                      const wire_routes *routes);

/** Applies committed hall orders; false when they are not newer. */
bool fleet_set_halls(struct fleet *fleet, uint64_t now,
                     const struct hall_set *halls);

/** Number of nodes, this one included, whose last hello had this node's
 * revision of the drained halls or a newer one. Complete only on the leader,
 * which receives hellos from all nodes. */
guint fleet_count_halls_in_force(const struct fleet *fleet);

/** Marks this node as stopping and sends hellos at the next tick; with a disk,
 * to all nodes that have one, since any of them may lead. */
void fleet_stop(struct fleet *fleet, uint64_t now);

/** Whether a stopping node should wait for another disk to take the place of
 * its own: its disk is a voter and a disk that is no voter is known, even if
 * it is restarting; or the last change of the voters leaves its disk out. */
bool fleet_awaits_replacement(const struct fleet *fleet,
                              const struct fleet_disk *voters, size_t count);

/** Runs all timers that are due. */
void fleet_tick(struct fleet *fleet, uint64_t now);

/** Handles a message of another node. */
void fleet_receive(struct fleet *fleet, uint64_t now, const wire_msg *msg);

/** Broadcasts upstream changes, sends reports to the upstreams' keepers
 * and requests records that are out of date; clears these lists of the
 * upstream set. */
void fleet_broadcast_changes(struct fleet *fleet, uint64_t now);

/** Queues a lookup of an upstream that is not in the inventory; the next
 * fleet_broadcast_changes() sends it. */
void fleet_resolve(struct fleet *fleet, uint64_t now, uint32_t token);

/** Deadline of the next lookup request; UINT64_MAX: none. */
uint64_t fleet_resolve_due(const struct fleet *fleet);

/** Sets the requests that this node has outstanding at upstreams; `active`
 * while it detects a shortage of a service. To be called at least every
 * 100 ms: the counts are reported with their age, and not after 500 ms. */
void fleet_set_load(struct fleet *fleet, uint64_t now, bool active,
                    const struct occupancy_entry *list, guint count);

/** Whether this node detects a shortage, or learned of one recently. */
bool fleet_load_is_active(const struct fleet *fleet, uint64_t now);

/** Whether this node leads, or heard from the leader within
 * FLEET_LEADER_TIMEOUT_MS. */
bool fleet_reaches_leader(const struct fleet *fleet, uint64_t now);

/** Number of seeds that are members; this node counts as one. */
guint fleet_count_known_seeds(const struct fleet *fleet);

/** Earliest deadline of fleet_tick(). */
uint64_t fleet_deadline(const struct fleet *fleet);

/** Digest of all members' addresses and incarnations. */
uint64_t fleet_members_digest(const struct fleet *fleet);

/** Appends the addresses of the nodes that may own upstreams in warmup; none
 * while this node has no complete member list, started recently or stops. */
void fleet_list_owners(const struct fleet *fleet, uint64_t now, GArray *out);

/** Chooses a responsive member of a hall to forward packets, by rendezvous
 * hashing with `seed`; NULL: none. */
const wire_node *fleet_choose_forwarder(const struct fleet *fleet,
                                        uint64_t now, uint32_t hall,
                                        uint64_t seed);

/** Sends hellos to random members of a hall to test whether it can be
 * reached. */
void fleet_probe_hall(struct fleet *fleet, uint64_t now, uint32_t hall);

/** Rank of this node's address among all nodes, in units of 2^-32. */
uint32_t fleet_rank(const struct fleet *fleet);

/** Encodes the upstreams and member addresses for storage on disk. */
GByteArray *fleet_save(const struct fleet *fleet, uint64_t now);

/** Restores the state of fleet_save(); false when it cannot be decoded. */
bool fleet_load(struct fleet *fleet, uint64_t now, const GByteArray *bytes);

/** Pending actions; valid until fleet_clear(). */
struct fleet_action *fleet_actions(struct fleet *fleet, size_t *count);

/** Discards the pending actions. */
void fleet_clear(struct fleet *fleet);

#endif
