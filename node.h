/**
 * @file node.h
 * The process of a node: sockets and the loop around the cores. A node is an
 * entry of a fleet that finds itself; with a disk it is also a voter, whose
 * thread owns consensus and storage so that a slow disk holds up no packet.
 * Only the loop's thread touches a struct node, but for what node-voter.c
 * names. Decides nothing itself: steering is evidence.h's, members and tables
 * are fleet.h's, and the platform's bytes and names are platform/'s.
 */
#ifndef RIDGERIDGE_NODE_H
#define RIDGERIDGE_NODE_H

#include <microhttpd.h>

#include "counter.h"
#include "egress.h"
#include "evidence.h"
#include "fleet.h"
#include "histogram.h"
#include "loop.h"
#include "node-settings.h"
#include "fragment.h"
#include "ring.h"
#include "status.h"
#include "upstream.h"

/** What the voter's thread has told. */
struct node_voter {
    bool running;      /**< there is a disk, so the thread was started */
    uint64_t identity; /**< of the disk, 0 until it was opened */
    uint32_t leader;   /**< that the voter knows, 0: none */
    uint64_t term;     /**< of it */
};

/** The daemons of HTTP, each with a port of its own. */
enum node_port { NODE_READY, NODE_CONTROL, NODE_METRICS, NODE_PORTS };

/** A node. */
struct node {
    struct node_settings settings;   /**< as loaded */
    const char *settings_path;       /**< to be read again */
    int64_t settings_changed;        /**< time of the file's last change */
    uint64_t settings_at;            /**< deadline: look at it again */
    struct counters counters;        /**< of the process */
    struct histograms histograms;    /**< of the process */
    struct ring ring;                /**< decisions, to be explained */
    struct upstream_set upstreams;   /**< the inventory */
    struct evidence evidence;        /**< steering */
    struct fleet fleet;              /**< other nodes */
    struct node_voter voter;         /**< what its thread told */
    struct egress egress;            /**< what waits for this VM's link */
    struct loop_timer *egress_timer; /**< until the link takes more */
    uint64_t consensus_charged;      /**< bytes of the voter's thread that the
                                          link was charged with */
    int packets_fd;                  /**< UDP: callers and upstreams */
    int peers_fd;                    /**< UDP: other nodes */
    struct fragment_table parts;     /**< messages of other nodes in parts */
    uint64_t http_at;                /**< deadline: open HTTP, 0: it is open */
    struct MHD_Daemon *http[NODE_PORTS]; /**< by enum node_port */
    struct status failure;               /**< why the node ends by itself */
    GHashTable *calls;     /**< token to a suspended struct call */
    uint64_t last_token;   /**< of the call suspended last */
    guint known_upstreams; /**< when held packets were steered again last */
    uint64_t kept_changes; /**< of the inventory, that are stored */
    uint64_t kept_members; /**< digest of the members that are stored */
    uint64_t probe_at;     /**< deadline: ask data halls that are cut off, 0:
                                none is */
    uint64_t keep_at;      /**< deadline: the inventory may be stored */
    bool stale;            /**< packets are those that waited while
                                it stood still */
    uint64_t ticked_at;    /**< last tick, to notice a standstill */
    uint64_t unready_at;   /**< stop: when it began, 0: not */
    uint64_t end_at;       /**< stop: deadline of the end */
};

/** Runs a node until a planned stop is done. */
enum status_kind node_run(struct node_settings *settings, const char *path,
                          struct status *st);

/** Takes an operator's table that is committed: reads the document once, and
 * gives the fleet the table in the form that nodes work by. */
void node_take_table(struct node *node, const wire_routes *document);

/** Carries out what the cores ask for, and sets the next wake-up. */
void node_act(struct node *node);

/** Says whether the fabric may send packets here. */
bool node_is_ready(const struct node *node);

/* node-packets.c */
/** Opens the socket of callers' packets. */
enum status_kind node_open_packets(struct node *node, struct status *st);
/** Steers once more the packets that were held. */
void node_release_packets(struct node *node);

/* node-forward.c */
/** Sends a caller's packet to its upstream by a node of another hall; false
 * when there is none. */
bool node_carry(struct node *node, uint64_t now,
                const struct evidence_verdict *verdict, const uint8_t *packet,
                size_t length);
/** Sends on a packet that takes a detour by this node. */
void node_take_carried(struct node *node, const wire_carry *carry);
/** Asks about data halls that are doubted, and logs what becomes of them. */
void node_watch_halls(struct node *node, uint64_t now);
/** Says whether node_watch_halls() has a hall to ask at once. */
bool node_asks_halls(const struct node *node);

/* node-egress.c */
/** Starts with a free link. */
void node_open_egress(struct node *node);
/** Sends a datagram in two pieces, of which the second may be empty: at once,
 * or in its turn. */
void node_send(struct node *node, const struct egress_head *head,
               const uint8_t *first, size_t first_length,
               const uint8_t *second, size_t second_length);
/** Says whether the caller is to send a datagram at once; else it waits, or
 * was dropped. */
bool node_may_send(struct node *node, const struct egress_head *head,
                   const uint8_t *first, size_t first_length,
                   const uint8_t *second, size_t second_length);
/** Sends a datagram past all that wait. Safe from the voter's thread. */
void node_send_now(const struct node *node, const struct egress_head *head,
                   const uint8_t *first, size_t first_length,
                   const uint8_t *second, size_t second_length);

/* node-peers.c */
/** Opens the socket between nodes. */
enum status_kind node_open_peers(struct node *node, struct status *st);
/** Sends an encoded message to a node. Safe from the voter's thread. */
void node_send_to_peer(struct node *node, uint32_t to, const guint8 *bytes,
                       size_t length);

/* node-http.c, node-operator.c */
/** Opens HTTP for the fabric, operators and upstreams, and counters. */
enum status_kind node_open_http(struct node *node, struct status *st);
/** Closes HTTP; calls that wait are answered first. */
void node_close_http(struct node *node);
/** Lets HTTP do what is due. */
void node_poll_http(struct node *node);
/** When HTTP has something to do next; UINT64_MAX: nothing. */
uint64_t node_http_deadline(struct node *node);
/** Answers a call that waited for the voter. `table` may be NULL. */
void node_answer(struct node *node, uint64_t token,
                 const struct status *status, const wire_routes *table);

/* node-voter.c; without a disk all of them do nothing */
/** Starts the voter's thread. */
void node_start_voter(struct node *node);
/** Ends the voter's thread, after the jobs that are queued. */
void node_stop_voter(struct node *node);
/** Passes on an encoded message of another voter; takes the bytes over. */
void node_voter_receive(struct node *node, GByteArray *bytes);
/** Says that a disk is alive. */
void node_voter_hear(struct node *node, const wire_node *disk);
/** Founds the quorum on the own disk. */
void node_voter_found(struct node *node);
/** Gives up leading. */
void node_voter_resign(struct node *node);
/** Passes on an operator's table, which it takes over; node_answer() follows.
 */
void node_voter_submit(struct node *node, uint64_t token, wire_routes *routes);
/** Passes on an operator's order about a hall; node_answer() follows. */
void node_voter_submit_hall(struct node *node, uint64_t token,
                            const struct hall_order *hall);
/** Passes on an operator's question for the table; node_answer() follows. */
void node_voter_read(struct node *node, uint64_t token);
/** Stores the inventory, so that a start after a loss of power knows it;
 * takes the bytes over. */
void node_voter_keep(struct node *node, GByteArray *bytes);

/* node-compress.c */
/**
 * Deflates a document; free `packed` with g_free().
 * @return STATUS_REFUSED when it is too large for the log, STATUS_NO_ANSWER
 *         when memory was short
 */
enum status_kind node_pack(const char *text, size_t length, wire_routes *out,
                           struct status *st);
/** The same for a table as nodes work by it. */
enum status_kind node_pack_table(const struct route_table *table,
                                 wire_routes *out, struct status *st);
/** Inflates a document; NULL when it is damaged. Free with g_free(). */
char *node_unpack(const wire_routes *routes);

#endif
