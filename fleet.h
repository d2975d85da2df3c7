/**
 * @file fleet.h
 * How the nodes of one deployment find each other and tell each other what
 * they know: members, the leader, the routing table in force and the
 * inventory of upstreams. Every node greets the leader and a peer drawn by
 * lot twice a second, and asks for what it lacks, one node at a time; changes
 * go at once by a relay of each data hall. Which halls are emptied is told by
 * the leader at once, and stands in each hello. What is large is owed to each
 * node once. Owns the members and the packed table; the inventory is borrowed
 * and changed only through upstream.h. Does no I/O.
 */
#ifndef RIDGERIDGE_FLEET_H
#define RIDGERIDGE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "evidence.h"
#include "generated/wire.h"
#include "upstream.h"

#define FLEET_SEEDS_MAX 16
#define FLEET_HELLO_MS                                                        \
    500U                      /**< between comparisons; two lost datagrams in \
                                   a row still leave time within 3 s */
#define FLEET_SEEK_MS 100U    /**< the same until a leader is known */
#define FLEET_LOST_MS 4000U   /**< the leader drops a member unheard so long */
#define FLEET_LEADER_MS 2500U /**< a leader unheard so long is looked for */
#define FLEET_FOUND_MS                                                        \
    1500U /**< after the first start, nodes have so long                      \
               to report before a founder is named */
#define FLEET_SETTLE_MS                                                       \
    1000U /**< a node that has exchanged for so long holds                    \
               enough, though others change meanwhile */
#define FLEET_ASK_MS                                                          \
    200U /**< a node that begins asks another one for what it lacks only so   \
              long after the last: 20 KB take 50 ms on a link of 3 Mbit/s */
#define FLEET_ASK_MOST_MS                                                     \
    500U /**< the same while records arrive: 64 KB take 0.23 s on a link of   \
              2.2 Mbit/s, and another node may be served before */
#define FLEET_ASK_ANY_MS                                                      \
    50U /**< after the first hello, nodes without a disk are asked too;       \
             those with one answer within a few ms and have larger links */
#define FLEET_ASK_FAR_MS                                                      \
    600U /**< nodes of other data halls are asked for the rest once none of   \
              this hall offered it for so long: three greetings, of which two \
              may be lost, with what is on its way to others before */
#define FLEET_PUSH_MS 250U /**< least time between two pushes of tables */
#define FLEET_TABLE_WAIT_MS                                                   \
    300U /**< a node that sees a newer table has so long to be sent it by the \
              leader, before it asks */
#define FLEET_TABLE_AGAIN_MS                                                  \
    400U /**< it asks again only so long after: 37 KB take 0.13 s on a link   \
              of 2.2 Mbit/s, and others may be before it */
#define FLEET_BULK_SHARE                                                      \
    2U /**< copies of tables, inventories and lists take at most one part in  \
            so many of a link */
#define FLEET_SEEK_SETTLED_MS                                                 \
    250U /**< between greetings of a node that serves and looks for a leader: \
              it can wait, and all do it at once */
#define FLEET_COMPARE_MS                                                      \
    500U /**< a node compares its inventory with one other so often, however  \
              many it meets: what it sends does not grow with the fleet */
#define FLEET_TAKEN_BITS                                                      \
    64U /**< last messages of changes of a node that are told from repeated   \
             ones; a relay sends 50 a second, and repeats within 0.7 s */
#define FLEET_JOINED_MS                                                       \
    100U /**< LEADER: between two messages to all about nodes that are new */

/** What the shell must do. */
enum fleet_action_kind {
    FLEET_SEND,      /**< send `bytes` to the node `to` */
    FLEET_DISK,      /**< a disk is alive: `node` */
    FLEET_FOUND,     /**< found the control quorum on the own disk */
    FLEET_TABLE,     /**< read and apply `fleet.routes`, of `version` */
    FLEET_HALLS,     /**< other halls are emptied now: to be logged */
    FLEET_UNANSWERED /**< the node `to` does not acknowledge changes: to be
                          logged */
};

/** One action. */
struct fleet_action {
    enum fleet_action_kind kind; /**< which of the following is set */
    uint32_t to;                 /**< SEND, UNANSWERED: address */
    GByteArray *bytes;           /**< SEND: encoded message */
    wire_node node;              /**< DISK */
    uint64_t version;            /**< TABLE */
};

/** What a node may be owed, in bits. */
enum fleet_bulk {
    FLEET_OWE_TABLE = 1,     /**< the routing table */
    FLEET_OWE_UPSTREAMS = 2, /**< what differs in the inventory */
    FLEET_OWE_MEMBERS = 4    /**< the list of members */
};

/** A node that is owed something. */
struct fleet_owed {
    uint32_t to;   /**< its address */
    unsigned what; /**< enum fleet_bulk, or-ed */
    bool begins;   /**< it cannot serve without: it is before the others */
};

/** An upstream that was asked for, since an open flow names it. */
struct fleet_sought {
    uint32_t token; /**< that names it */
    unsigned times; /**< that it was asked for */
    uint64_t at;    /**< deadline: it is asked for then */
};

/** Nodes of a data hall, by address. */
struct fleet_range {
    uint32_t hall;  /**< hash of its name */
    uint32_t first; /**< address */
    uint32_t last;  /**< address */
};

/** A change that this node passes on. */
struct fleet_passed {
    uint64_t id;              /**< of the upstream */
    struct fleet_range range; /**< those to whom */
    bool halls;               /**< and to a relay of each other hall */
};

/** A change that was heard here, and is to be handed over once more. */
struct fleet_told {
    uint64_t id; /**< of the upstream */
    uint64_t at; /**< deadline */
};

/** A change that this node passed on. */
struct fleet_recent {
    uint64_t id; /**< of the upstream */
    uint64_t at; /**< when */
};

struct fleet_batch;

/** Changes that are owed to a node until it acknowledges them. */
struct fleet_delivery {
    struct fleet_batch *batch; /**< the changes; counted */
    uint32_t to;               /**< address of the node */
    wire_reach reach;          /**< how far it passes them on */
    struct fleet_range range;  /**< those to whom it does */
    unsigned tries;            /**< times that they were sent to it */
    unsigned relays;           /**< relays that did not answer before it */
    uint64_t at;               /**< deadline: send them, or ask another */
    uint64_t until;            /**< deadline: owed no longer */
};

/** Changes on their way to all nodes. */
struct fleet_relay {
    GArray *own;         /**< uint64_t: upstreams whose change was heard here,
                              to be handed to a relay */
    GArray *told;        /**< struct fleet_told, first due first */
    GArray *passed;      /**< struct fleet_passed */
    GArray *recent;      /**< struct fleet_recent, oldest first */
    uint64_t flush_at;   /**< deadline: these leave, once all that left before
                              was sent; 0: there are none */
    uint64_t flushed_at; /**< when something left last */
    GArray *deliveries;  /**< struct fleet_delivery */
    uint64_t due_at;     /**< no deadline of a delivery is earlier */
    guint unsent;        /**< deliveries that were not sent yet */
    uint64_t pace_at;    /**< deadline: the link has taken what was sent */
    uint64_t pace_bytes; /**< sent within the current ms of it */
    uint64_t number;     /**< of the last message */
    bool listed;         /**< this node knows all members */
};

/** Another node. */
struct fleet_member {
    wire_node node;     /**< as it or the leader reported it */
    uint64_t heard_at;  /**< last hello, or word of the leader */
    bool lacks_members; /**< its last hello showed another list */
    uint64_t routes;    /**< version that it showed last, 0: none */
    uint64_t halls;     /**< revision of the emptied halls that it showed */
    uint32_t upstreams[WIRE_BUCKETS]; /**< digests that it showed last */
    uint64_t mute_until; /**< deadline: it did not answer, and is not sent
                              changes until then */
    uint64_t relay_at;   /**< deadline: it is not asked to relay before, since
                              it did not answer in time or has just begun */
    uint64_t taken;      /**< number of its last message of changes */
    uint64_t taken_bits; /**< a bit for each of those up to it: taken */
};

/** What one node knows of the fleet. */
struct fleet {
    wire_node self;                  /**< this node */
    bool first_start;                /**< of the whole deployment */
    uint32_t seeds[FLEET_SEEDS_MAX]; /**< whom to ask first */
    size_t seed_count;               /**< of seeds */
    uint64_t started_at;             /**< of this process */
    GHashTable *members;             /**< address to struct fleet_member */
    GArray *addresses;               /**< uint32_t: of the members, lowest
                                          first */
    GArray *neighbours;              /**< uint32_t: the same, of those in this
                                          node's data hall */
    uint64_t near_until;             /**< deadline: until then nodes of this
                                          hall have what this one lacks */
    uint64_t members_sum;            /**< of what each member adds to their
                                          digest */
    uint64_t term;                   /**< of the leader known */
    uint32_t leader;                 /**< its address, 0: none known */
    uint64_t leader_heard_at;        /**< last word of it */
    uint64_t leads_since;            /**< this node leads since, 0: not */
    uint64_t hello_at;               /**< deadline */
    uint32_t founder;                /**< named here, 0: none yet */
    bool founded;                    /**< a leader was known once, here or to
                                          another node */
    bool settled;                    /**< holds enough to serve */
    uint64_t met_at;                 /**< first hello of a peer, 0: none */
    uint64_t asked_at;               /**< when it asked last, 0: never */
    uint64_t asked_until;            /**< deadline: until then the node that
                                          was asked may still send */
    GArray *unheard;                 /**< uint32_t: nodes that were stored and
                                          are greeted until they are heard */
    GArray *joined;                  /**< uint32_t: LEADER: nodes that are
                                          new, to be told to all */
    wire_routes routes;              /**< newest table; packed is owned */
    uint64_t push_at;                /**< deadline: push the table, 0: no */
    uint64_t pushed_at;              /**< last push */
    uint64_t watch_at;               /**< LEADER: deadline: look for members
                                          that are lost */
    uint64_t joined_at;              /**< deadline: tell all of these */
    GArray *sought;                  /**< struct fleet_sought */
    GArray *owed;                    /**< struct fleet_owed, in order, each
                                          node once */
    uint64_t pay_at;                 /**< deadline: the next copy may leave */
    uint64_t bulk_bytes;             /**< of copies, within the current ms */
    uint32_t bulk_bytes_ms;          /**< copies may take so much of the link,
                                          0: no bound */
    uint64_t bytes_sent;             /**< of all messages to one node */
    struct fleet_relay relay;        /**< changes on their way to all */
    uint64_t compare_at;             /**< deadline: compare the inventory */
    uint64_t differs_since[WIRE_BUCKETS]; /**< all that were met since then
                                               held the bucket differently; 0:
                                               the last one held the same */
    uint64_t seen_routes;           /**< highest version that was shown */
    uint64_t ask_table_at;          /**< deadline: ask who shows a newer one */
    struct upstream_set *upstreams; /**< borrowed */
    uint64_t random;                /**< state of the generator */
    GArray *actions;                /**< struct fleet_action */
};

/** What fleet_open() needs. */
struct fleet_options {
    uint32_t address;     /**< of this node */
    uint64_t incarnation; /**< drawn at each start */
    uint64_t identity;    /**< of the own disk, 0: none */
    bool first_start;     /**< of the whole deployment */
    uint64_t link_kbit_s; /**< of this node's link, 0: not known */
    uint32_t hall;        /**< hash of its data hall's name */
    uint64_t seed;        /**< of the generator */
};

/** Starts alone. */
void fleet_open(struct fleet *fleet, uint64_t now,
                const struct fleet_options *options,
                struct upstream_set *upstreams);

/** Frees it. */
void fleet_close(struct fleet *fleet);

/** Sets whom to ask first; they may be wrong or gone. */
void fleet_set_seeds(struct fleet *fleet, const uint32_t *seeds, size_t count);

/** Notes a node that is known from elsewhere, such as a stored voter. */
void fleet_add_contact(struct fleet *fleet, uint32_t address);

/** Says who leads, as the own voter knows it; 0: it knows of none. */
void fleet_set_leader(struct fleet *fleet, uint64_t now, uint64_t term,
                      uint32_t leader);

/** Takes a committed table; true when it is newer. */
bool fleet_set_routes(struct fleet *fleet, uint64_t now,
                      const wire_routes *routes);

/** Takes committed orders about halls; true when they are newer. */
bool fleet_set_halls(struct fleet *fleet, uint64_t now,
                     const struct hall_set *halls);

/** Nodes, this one with them, that are known to hold the emptied halls of this
 * node's list. Whole only at the leader, which all others greet. */
guint fleet_count_halls_in_force(const struct fleet *fleet);

/** Announces that this node is about to end. */
void fleet_stop(struct fleet *fleet, uint64_t now);

/** Lets time pass. */
void fleet_tick(struct fleet *fleet, uint64_t now);

/** Takes a message of another node. */
void fleet_receive(struct fleet *fleet, uint64_t now, const wire_msg *msg);

/** Sends what changed in the inventory on its way to all members and tells
 * doubts to those whom they concern; clears the inventory's lists of both. */
void fleet_spread(struct fleet *fleet, uint64_t now);

/** An open flow names an upstream that this node does not know: asks for it
 * with the next fleet_spread(). */
void fleet_resolve(struct fleet *fleet, uint64_t now, uint32_t token);

/** When fleet_spread() has such an upstream to ask for; UINT64_MAX: there is
 * none. */
uint64_t fleet_resolve_due(const struct fleet *fleet);

/** Earliest time at which fleet_tick() has something to do. */
uint64_t fleet_deadline(const struct fleet *fleet);

/** Digest of the members: who, and which start of it. */
uint64_t fleet_members_digest(const struct fleet *fleet);

/** Lists the nodes among which owners of cold upstreams are found; none while
 * this one does not know all, has just begun or stops. */
void fleet_list_owners(const struct fleet *fleet, uint64_t now, GArray *out);

/** A member of a hall, drawn by `seed`, that takes packets for others; NULL
 * when there is none. */
const wire_node *fleet_carrier(const struct fleet *fleet, uint64_t now,
                               uint32_t hall, uint64_t seed);

/** Asks members of a hall, drawn by lot, whether they hear this node. */
void fleet_probe_hall(struct fleet *fleet, uint64_t now, uint32_t hall);

/** Place of this node among all by address, in parts of 2^32. */
uint32_t fleet_place(const struct fleet *fleet);

/** Encodes what a node with a disk stores of its fleet. */
GByteArray *fleet_save(const struct fleet *fleet, uint64_t now);

/** Takes what was stored, before a start; false when it cannot be read. */
bool fleet_load(struct fleet *fleet, uint64_t now, const GByteArray *bytes);

/** Takes the actions. */
struct fleet_action *fleet_actions(struct fleet *fleet, size_t *count);

/** Forgets the actions, after they were carried out. */
void fleet_clear(struct fleet *fleet);

#endif
