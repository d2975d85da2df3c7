/**
 * @file flow-internal.h
 * Structures and functions private to the flow-*.c files.
 */
#ifndef RIDGERIDGE_FLOW_INTERNAL_H
#define RIDGERIDGE_FLOW_INTERNAL_H

#include <glib.h>

#include "flow.h"
#include "table.h"

#define FLOW_PROBE_MAX 32           /* linear probing distance, slots */
#define FLOW_FLAG_ORIGIN 1U         /* this entry saw the first packet */
#define FLOW_FLAG_CLOSING 2U        /* FIN or RST was seen */
#define FLOW_QUERIES_SHIFT 4        /* bits 4 to 7: queries to a keeper */
#define FLOW_QUERIES_MAX 4U         /* queries until a hint is sent */
#define FLOW_SEEN_BITS 24           /* seconds, wraps after 194 days */
#define FLOW_STAMP_MS 600000U       /* unit of `move_stamps` */
#define FLOW_ORPHANS_DELAY_MS 4000U /* wait for pushes of the origins */
#define FLOW_FILTER_LEAD_MS 500U    /* from the filters to that pass */
#define FLOW_FILTER_BITS 10         /* Bloom filter bits per flow */
#define FLOW_FILTER_HASHES 4        /* Bloom filter hash functions */
#define FLOW_QUEUE_MAX 4096         /* queued FLOW_SEND_PUSH records */

/* One record, 16 bytes. hash 0: slot never used. */
struct flow_record {
    uint64_t hash;
    uint32_t upstream;  /* upstream_id */
    uint32_t seen : 24; /* last use, seconds */
    uint32_t flags : 8; /* FLOW_FLAG_* and number of queries */
};

/* Hash table with linear probing, never rehashed. */
struct flow_store {
    struct flow_record *records;
    size_t mask;  /* capacity - 1 */
    size_t count; /* slots ever used */
};

/* One service in the view. */
struct flow_service {
    char name[BUNDLE_NAME_MAX + 1];
    uint64_t key;          /* hash of the name */
    uint32_t address;      /* virtual address, host order */
    uint16_t port;         /* virtual port */
    uint8_t protocol;      /* enum bundle_protocol */
    uint32_t size;         /* buckets in `table` and `move_stamps` */
    uint32_t old_size;     /* buckets in `old_table`; 0: no such table */
    uint16_t *table;       /* bucket to index in `upstreams` */
    uint16_t *old_table;   /* same, of the preceding bundle */
    uint16_t *move_stamps; /* time of a bucket's last move; 0: never */
    upstream_id *upstreams;
    size_t upstream_count;
    uint64_t digest; /* of `table` and the upstreams' endpoints */
};

/* Reason of a scan of the records. */
enum flow_pass { PASS_NONE, PASS_MOVE, PASS_ORPHANS, PASS_EPOCH };

struct flow {
    struct flow_options options;
    struct flow_store store;
    struct flow_service *services;
    size_t service_count;
    GHashTable *by_address;  /* service endpoint to index + 1 */
    GHashTable *by_upstream; /* upstream endpoint to upstream_id */
    struct flow_upstream *upstreams;
    size_t upstream_size; /* length of `upstreams`; index 0 is unused */
    uint64_t version;
    enum flow_step step;
    uint64_t flip_udp_at; /* end of FLOW_UDP_FLIP_MS */
    uint64_t lease_deadline;
    struct member_set members;
    struct member_set old_members; /* of the preceding epoch */
    uint64_t replicated_at;        /* end of FLOW_REPLICATION_MS */
    uint64_t orphans_until;        /* last expiry of a lost origin's records */
    enum flow_pass pass;
    bool move_pending;
    bool orphans_pending;
    bool epoch_pending;
    size_t cursor;           /* next slot to scan */
    uint64_t orphan_pass_at; /* earliest start of PASS_ORPHANS */
    bool filter_due;         /* flow_build_filter() returns a filter */
    GHashTable *filters;     /* keeper's id to GBytes */
    GQueue send_queues[FLOW_SEND_PUSH + 1]; /* struct flow_send, by class */
};

/* flow-store.c */
void flow_store_open(struct flow_store *store, size_t capacity);
void flow_store_close(struct flow_store *store);
struct flow_record *flow_store_find(struct flow_store *store, uint64_t hash);
struct flow_record *flow_store_put(struct flow *flow, uint64_t now,
                                   uint64_t hash, upstream_id upstream);
void flow_store_touch(struct flow_record *record, uint64_t now);

/* flow-view.c */
bool flow_bucket_is_moving(const struct flow *flow,
                           const struct flow_service *service, uint64_t hash,
                           upstream_id *new_owner, upstream_id *old_owner);
bool flow_bucket_moved_recently(const struct flow_service *service,
                                uint64_t now, uint64_t hash);
upstream_id flow_intern(struct flow *flow, uint32_t address, uint16_t port);
upstream_id flow_lookup_upstream(const struct flow *flow, uint32_t address,
                                 uint16_t port);

/* flow-filter.c */
bool flow_filter_contains(const struct flow *flow, uint64_t keeper,
                          uint64_t hash);
void flow_clear_filters(struct flow *flow);

/* flow-push.c */
void flow_enqueue(struct flow *flow, uint64_t peer, uint64_t hash,
                  upstream_id upstream, enum flow_send_class class);
void flow_start_pass(struct flow *flow);

#endif
