/**
 * @file node.h
 * The process of a load balancer node: its sockets, timers and event loop,
 * around the I/O-free modules evidence.h (choice of upstreams) and fleet.h
 * (membership, distribution of state). A node with a disk also runs a Raft
 * voter, on a thread of its own so that a slow fsync() delays no packet; a
 * struct node belongs to the loop's thread, except for the fields that struct
 * voter_thread_args names.
 */
#ifndef RIDGERIDGE_NODE_H
#define RIDGERIDGE_NODE_H

#include <microhttpd.h>
#include <sys/socket.h>

#include "counter.h"
#include "egress.h"
#include "evidence.h"
#include "fleet.h"
#include "histogram.h"
#include "loop.h"
#include "node-settings.h"
#include "overload.h"
#include "fragment.h"
#include "ring.h"
#include "status.h"
#include "upstream.h"

/** State of the voter, as its thread last reported it. */
struct node_voter {
    bool running;      /**< the node has a disk, so the thread was started */
    uint64_t identity; /**< of the disk, 0 until its folder is opened */
    uint32_t leader;   /**< IPv4 address, 0: none is known */
    uint64_t term;     /**< of `leader` */
    bool in_quorum;    /**< the quorum may need this disk */
    struct fleet_disk voters[FLEET_VOTERS_MAX];
    size_t voter_count; /**< entries in `voters` */
};

/** HTTP listeners, each with its own port. */
enum node_http_listener {
    NODE_HTTP_READY,
    NODE_HTTP_CONTROL,
    NODE_HTTP_METRICS,
    NODE_HTTP_COUNT
};

struct node {
    struct node_settings settings;
    const char *settings_path;  /**< file to reload */
    int64_t settings_mtime_ns;  /**< st_mtim of the file */
    uint64_t settings_check_at; /**< deadline of the next check of the file */
    struct counters counters;
    struct histograms histograms;
    struct ring ring;              /**< recent decisions, for /v1/flows/ */
    struct upstream_set upstreams; /**< inventory of upstreams */
    struct evidence evidence;      /**< assigns flows to upstreams */
    struct fleet fleet; /**< membership and state shared with other nodes */
    struct node_voter voter;
    struct overload overload;         /**< detects overloads of this node */
    struct egress egress;             /**< send queues of this VM's link */
    struct loop_timer *egress_timer;  /**< fires when the link has room for the
                                           next datagram */
    uint64_t consensus_bytes_charged; /**< COUNTER_CONSENSUS_BYTES_OUT already
                                           charged to `egress` */
    int packets_fd;         /**< UDP socket to callers and upstreams */
    int peers_fd;           /**< UDP socket to other nodes */
    uint32_t packets_drops; /**< last SO_RXQ_OVFL counter of `packets_fd` */
    uint32_t peers_drops;   /**< last SO_RXQ_OVFL counter of `peers_fd` */
    struct fragment_table fragments; /**< reassembly of messages larger than a
                                          datagram */
    uint64_t http_open_at; /**< deadline to open HTTP, 0: it is open */
    struct MHD_Daemon *http[NODE_HTTP_COUNT];
    struct status failure;        /**< error that ends the process */
    GHashTable *pending_requests; /**< token to struct http_request */
    uint64_t last_token;          /**< last one given to a suspended request */
    guint retry_upstream_count;   /**< size of the inventory when held packets
                                       were last retried */
    uint64_t saved_change_count;  /**< change_count at the last save */
    uint64_t saved_members_digest; /**< at the last save */
    uint64_t hall_probe_at; /**< deadline of the next probe of suspected data
                                 halls, 0: none is suspected */
    uint64_t save_at;       /**< earliest time of the next save */
    bool load_reported;     /**< a service was short at the last report */
    uint64_t held_retry_at; /**< deadline: packets that wait for room are
                                 decided about again, 0: none wait */
    bool after_stall; /**< reading packets that queued up during a stall */
    uint64_t last_tick_at;   /**< to detect a stall */
    uint64_t tick_at;        /**< deadline of the next tick */
    uint64_t stopping_since; /**< start of the planned stop, 0: running */
    uint64_t exit_at;        /**< deadline of the planned stop */
    uint64_t exit_by;        /**< deadline: no later, even if the quorum needs
                                  this disk */
};

/** Runs a node until its planned stop is done or it fails. */
enum status_kind node_run(struct node_settings *settings, const char *path,
                          struct status *st);

/** Parses a committed table as the operator submitted it, and publishes it to
 * all nodes in the form that route_decode() reads. */
void node_publish_table(struct node *node, const wire_routes *submitted);

/** Executes the pending actions of the I/O-free modules, and schedules the
 * next tick. */
void node_run_actions(struct node *node);

/** True when the fabric's health check passes. */
bool node_is_ready(const struct node *node);

/* node-packets.c */
enum status_kind node_open_packets(struct node *node, struct status *st);
/** Steers held packets once more, after the inventory or the table changed. */
void node_retry_held_packets(struct node *node);

/* node-load.c */
/** Sets up load control from the settings. */
void node_open_load(struct node *node);
/** Hands this node's load to the exchange between nodes, while a service is
 * short of capacity. */
void node_report_load(struct node *node, uint64_t now);
/** Adds what the exchange of loads has sent to the counters. */
void node_count_load(struct node *node);
/** True when a shortage began or ended since the last report. */
bool node_load_report_due(struct node *node);

/* node-forward.c */
/** Forwards a packet through a node in another data hall, while the upstream's
 * hall is suspected; false when there is no such node. */
bool node_forward_via_relay(struct node *node, uint64_t now,
                            const struct evidence_verdict *verdict,
                            const uint8_t *packet, size_t length);
/** Delivers a packet that another node forwarded to its upstream. */
void node_deliver_forwarded(struct node *node, const wire_carry *carry);
/** Probes suspected data halls with hellos, and logs their state changes. */
void node_probe_halls(struct node *node, uint64_t now);
/** True when a data hall must be probed now. */
bool node_hall_probe_due(const struct node *node);

/* node-egress.c */
void node_open_egress(struct node *node);
/** Sends the concatenation of two buffers as one datagram, or queues it while
 * the link is busy; the second buffer may be empty. */
void node_send(struct node *node, const struct egress_meta *meta,
               const uint8_t *first, size_t first_length,
               const uint8_t *second, size_t second_length);
/** Queues a datagram unless the link is free. Returns true when the caller
 * must send it now; otherwise it was queued or dropped. */
bool node_egress_admit(struct node *node, const struct egress_meta *meta,
                       const uint8_t *first, size_t first_length,
                       const uint8_t *second, size_t second_length);
/** Sends a datagram ahead of all queues. Safe from the voter's thread. */
void node_send_now(const struct node *node, const struct egress_meta *meta,
                   const uint8_t *first, size_t first_length,
                   const uint8_t *second, size_t second_length);

/* node-overload.c */
/** Room for the control message of one datagram with its socket's drops. */
union node_drops_buffer {
    char bytes[CMSG_SPACE(sizeof(uint32_t))];
    struct cmsghdr align;
};
/** Applies the state of `overload` to the modules that depend on it; logs and
 * counts its start and end. */
void node_update_overload(struct node *node, uint64_t now);
/** A queued datagram left its queue. */
void node_note_wait(struct node *node, uint64_t now_us,
                    const struct egress_item *item);
/** A datagram was dropped because the link was full. */
void node_note_drop(struct node *node);
/** A timer or handler runs that could have run at `expected_at`. */
void node_note_late(struct node *node, uint64_t now, uint64_t expected_at);
/** Has the kernel report the datagrams that it drops at a socket. */
void node_enable_receive_drops(int fd);
/** Reads the drops at a socket from the last message received. */
void node_note_receive_drops(struct node *node, uint64_t now,
                             uint32_t *socket_drops, struct msghdr *message);

/* node-peers.c */
enum status_kind node_open_peers(struct node *node, struct status *st);
/** Sends an encoded message, in fragments if needed. Safe from the voter's
 * thread. */
void node_send_to_peer(struct node *node, uint32_t to, const guint8 *bytes,
                       size_t length);

/* node-http.c, node-operator.c */
/** Opens the HTTP listeners. */
enum status_kind node_open_http(struct node *node, struct status *st);
/** Closes HTTP; suspended requests get a 503 response first. */
void node_close_http(struct node *node);
/** Processes pending HTTP events of all listeners. */
void node_poll_http(struct node *node);
/** Earliest timeout of a listener; UINT64_MAX: none. */
uint64_t node_http_deadline(struct node *node);
/** Responds to a request that was suspended until the voter replied. `table`
 * is NULL unless the request reads it. */
void node_complete_request(struct node *node, uint64_t token,
                           const struct status *status,
                           const wire_routes *table);

/* node-voter.c: without a disk, requests fail with STATUS_NO_ANSWER and other
 * calls do nothing */
void node_start_voter(struct node *node);
/** Joins the voter's thread, after its queued jobs. */
void node_stop_voter(struct node *node);
/** Queues an encoded consensus message; takes ownership of the bytes. */
void node_voter_receive(struct node *node, GByteArray *bytes);
/** Reports a node with a disk as alive. */
void node_voter_report_disk(struct node *node, const wire_node *disk);
/** Starts a new cluster with the disk of this node as its only voter. */
void node_voter_bootstrap(struct node *node);
/** Starts a planned stop: lets another disk replace the one of this node, and
 * gives up leadership. */
void node_voter_leave(struct node *node);
/** Proposes a table; takes ownership of `routes`. node_complete_request()
 * follows. */
void node_voter_submit_table(struct node *node, uint64_t token,
                             wire_routes *routes);
/** Proposes an order that drains or undrains a data hall.
 * node_complete_request() follows. */
void node_voter_submit_hall(struct node *node, uint64_t token,
                            const struct hall_order *hall);
/** Reads the committed table with a quorum's confirmation.
 * node_complete_request() follows. */
void node_voter_read_table(struct node *node, uint64_t token);
/** Saves the inventory for the next start; takes ownership of the bytes. */
void node_voter_save_inventory(struct node *node, GByteArray *bytes);

/* node-compress.c */
/**
 * Compresses a document with zlib; free `packed` with g_free().
 * @return STATUS_REFUSED when it is larger than WIRE_PACKED_MAX,
 *         STATUS_NO_ANSWER when zlib ran out of memory
 */
enum status_kind node_compress(const char *text, size_t length,
                               wire_routes *out, struct status *st);
/** Encodes and compresses a table for other nodes. */
enum status_kind node_compress_table(const struct route_table *table,
                                     wire_routes *out, struct status *st);
/** Decompresses a document, with a final '\0'; NULL when it is damaged. Free
 * with g_free(). */
char *node_decompress(const wire_routes *routes);

#endif
