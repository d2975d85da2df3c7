/**
 * @file flow-internal.h
 * What the flow-*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_FLOW_INTERNAL_H
#define RIDGERIDGE_FLOW_INTERNAL_H

#include <glib.h>

#include "flow.h"
#include "table.h"

#define FLOW_PROBE 32         /* places a record may stand from its first */
#define FLOW_FLAG_ORIGIN 1U   /* this entry saw the flow's first packet */
#define FLOW_FLAG_CLOSING 2U  /* FIN or RST was seen */
#define FLOW_ASKED_SHIFT 4    /* bits 4 to 7: times asked, at a keeper */
#define FLOW_ASKED_MAX 4U     /* then the asking entry is told */
#define FLOW_SEEN_BITS 24     /* seconds, wraps after 194 days */
#define FLOW_STAMP_MS 600000U /* unit of `stamps` */
#define FLOW_ORPHANS_MS 4000U /* first the origins push what they know */
#define FLOW_KNOWN_MS 500U    /* before that, keepers tell what they hold */
#define FLOW_KNOWN_BITS 10    /* of a filter, for each flow */
#define FLOW_KNOWN_HASHES 4   /* bits set for each flow */
#define FLOW_QUEUE_MAX 4096   /* paced records waiting to be sent */

/* One record, 16 bytes. hash 0: never used. */
struct flow_record {
    uint64_t hash;      /* of the flow */
    uint32_t upstream;  /* upstream_id */
    uint32_t seen : 24; /* seconds */
    uint32_t flags : 8; /* FLOW_FLAG_* */
};

/* The record table: open addressing, never rehashed. */
struct flow_store {
    struct flow_record *records;
    size_t mask;  /* capacity - 1 */
    size_t count; /* places ever used */
};

/* One service in the view. */
struct flow_service {
    char name[BUNDLE_NAME_MAX + 1];
    uint64_t key;      /* hash of the name */
    uint32_t address;  /* callers' side */
    uint16_t port;     /* callers' side */
    uint8_t protocol;  /* enum bundle_protocol */
    uint32_t size;     /* buckets in `now` and `stamps` */
    uint32_t old_size; /* buckets in `old`, 0: no earlier table */
    uint16_t *now;     /* bucket to index in `upstreams` */
    uint16_t *old;     /* the same before the last change */
    uint16_t *stamps;  /* when the bucket last moved, 0: never */
    upstream_id *upstreams;
    size_t upstream_count;
    uint64_t digest; /* of `now` and the upstreams' endpoints */
};

/* What a scan of the records is for. */
enum flow_pass { PASS_NONE, PASS_MOVE, PASS_ORPHANS, PASS_EPOCH };

struct flow {
    struct flow_options options;
    struct flow_store store;
    struct flow_service *services;
    size_t service_count;
    GHashTable *by_address;  /* service endpoint to index + 1 */
    GHashTable *by_upstream; /* upstream endpoint to upstream_id */
    struct flow_upstream *upstreams;
    size_t upstream_size; /* places in `upstreams`; 0 is unused */
    uint64_t version;
    enum flow_step step;
    uint64_t flip_udp_at; /* deadline after which unknown UDP is new */
    uint64_t lease_deadline;
    struct member_set members;
    struct member_set before; /* members of the epoch before */
    uint64_t complete_at;     /* deadline: by then new keepers know all */
    uint64_t departed_until;  /* a member left; its flows may be orphans */
    enum flow_pass pass;
    bool move_pending;
    bool orphans_pending;
    bool epoch_pending;
    size_t cursor;
    uint64_t orphans_at; /* deadline: other keepers have told by then */
    bool known_wanted;   /* the other entries must be told */
    GHashTable *known;   /* keeper's id to GBytes: what it holds */
    GQueue sends[FLOW_SEND_PUSH + 1]; /* struct flow_send, by class */
};

/* flow-store.c */
void flow_store_open(struct flow_store *store, size_t capacity);
void flow_store_close(struct flow_store *store);
struct flow_record *flow_store_find(struct flow_store *store, uint64_t hash);
struct flow_record *flow_store_put(struct flow *flow, uint64_t now,
                                   uint64_t hash, upstream_id upstream);
void flow_store_touch(struct flow_record *record, uint64_t now);

/* flow-view.c */
bool flow_is_moved(const struct flow *flow, const struct flow_service *service,
                   uint64_t hash, upstream_id *now, upstream_id *old);
bool flow_is_disturbed(const struct flow_service *service, uint64_t now,
                       uint64_t hash);
upstream_id flow_intern(struct flow *flow, uint32_t address, uint16_t port);
upstream_id flow_lookup_upstream(const struct flow *flow, uint32_t address,
                                 uint16_t port);

/* flow-filter.c */
bool flow_is_known(const struct flow *flow, uint64_t keeper, uint64_t hash);
void flow_forget_known(struct flow *flow);

/* flow-push.c */
void flow_queue(struct flow *flow, uint64_t peer, uint64_t hash,
                upstream_id upstream, enum flow_send_class class);
void flow_begin_pass(struct flow *flow);

#endif
