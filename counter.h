/**
 * @file counter.h
 * Prometheus counters in the text exposition format. Each core has its own
 * struct counters, so that several can run in one process.
 */
#ifndef RIDGERIDGE_COUNTER_H
#define RIDGERIDGE_COUNTER_H

#include <stddef.h>
#include <stdint.h>

/** X(identifier, metric name, help). */
#define COUNTER_TABLE(X)                                                      \
    X(PACKETS_IN, "packets_in_total", "encapsulated packets received")        \
    X(PACKETS_FORWARDED, "packets_forwarded_total",                           \
      "packets forwarded to an upstream")                                     \
    X(PACKETS_RETURNED, "packets_returned_total",                             \
      "packets returned to a caller")                                         \
    X(PACKETS_TO_PEER, "packets_handed_total",                                \
      "packets forwarded to another entry")                                   \
    X(PACKETS_MALFORMED, "packets_malformed_total",                           \
      "packets dropped: malformed")                                           \
    X(PACKETS_NO_SERVICE, "packets_no_service_total",                         \
      "packets dropped: no service at the destination")                       \
    X(PACKETS_NO_UPSTREAM, "packets_no_upstream_total",                       \
      "packets dropped: no eligible upstream")                                \
    X(PACKETS_HOP_LIMIT, "packets_too_far_total",                             \
      "packets dropped: too many hops between entries")                       \
    X(FLOWS_NEW, "flows_new_total", "new flows")                              \
    X(FLOWS_NO_ROOM, "flows_refused_no_room_total",                           \
      "first packets refused: no upstream has room for the route's rank")     \
    X(FLOWS_LINK_BUSY, "flows_refused_link_busy_total",                       \
      "first packets refused: the link cannot carry the request in time")     \
    X(FLOWS_HELD, "flows_held_total",                                         \
      "first packets held until an upstream or the link has room")            \
    X(FLOWS_FLOOR, "flows_admitted_floor_total",                              \
      "first packets admitted by their route's floor")                        \
    X(FLOWS_RETURNING, "flows_returning_total",                               \
      "first packets of callers that were refused recently")                  \
    X(LOAD_REPORTS_OUT, "load_reports_out_total",                             \
      "messages about the load of upstreams sent to other nodes")             \
    X(LOAD_BYTES_OUT, "load_bytes_out_total",                                 \
      "control-plane bytes sent: load of upstreams")                          \
    X(ANSWERS_SHORT, "answers_short_total",                                   \
      "answers too short to be complete, as of an overloaded upstream")       \
    X(FLOWS_EVICTED, "flows_evicted_total", "live flow records evicted")      \
    X(RECORDS_SENT, "flow_records_sent_total",                                \
      "flow records sent to keepers")                                         \
    X(RECORDS_LEARNED, "flow_records_learned_total",                          \
      "flow records received from other entries")                             \
    X(MSGS_IN, "messages_in_total", "messages received from other processes") \
    X(MSGS_MALFORMED, "messages_malformed_total",                             \
      "messages dropped: malformed")                                          \
    X(MSGS_FORGED, "messages_forged_total",                                   \
      "messages dropped: authentication failed")                              \
    X(MSGS_STALE, "messages_stale_total",                                     \
      "messages dropped: stale term, epoch or version")                       \
    X(CONTROL_BYTES_OUT, "control_bytes_out_total",                           \
      "control-plane bytes sent")                                             \
    X(CONTROL_BYTES_IN, "control_bytes_in_total",                             \
      "control-plane bytes received")                                         \
    X(CONSENSUS_BYTES_OUT, "consensus_bytes_out_total",                       \
      "control-plane bytes sent: consensus between voters")                   \
    X(TABLE_BYTES_OUT, "table_bytes_out_total",                               \
      "control-plane bytes sent: routing tables")                             \
    X(INVENTORY_BYTES_OUT, "inventory_bytes_out_total",                       \
      "control-plane bytes sent: upstream records, digests, suspicions")      \
    X(MEMBER_BYTES_OUT, "member_bytes_out_total",                             \
      "control-plane bytes sent: hellos and member lists")                    \
    X(MSGS_TOO_LARGE, "messages_too_large_total",                             \
      "messages not sent: larger than a datagram (a bug)")                    \
    X(REQUEST_BYTES_OUT, "request_bytes_out_total",                           \
      "bytes sent between entries for requests")                              \
    X(REQUESTS, "requests_total", "requests received")                        \
    X(REQUESTS_ANSWERED, "requests_answered_total",                           \
      "requests answered completely")                                         \
    X(REQUESTS_NOT_RUN, "requests_not_run_total",                             \
      "requests refused and not run at any upstream")                         \
    X(REQUESTS_UNKNOWN, "requests_unknown_total",                             \
      "requests with an unknown outcome")                                     \
    X(REQUESTS_REPEATED, "requests_repeated_total",                           \
      "requests answered from a key record")                                  \
    X(REQUESTS_IN_TIME, "requests_in_time_total",                             \
      "requests answered within the objective")                               \
    X(REQUESTS_RETRIED, "requests_retried_total",                             \
      "requests retried at a second upstream")                                \
    X(ANSWERS_LATE, "answers_late_total",                                     \
      "upstream responses dropped: request already finished")                 \
    X(HTTP_MALFORMED, "http_malformed_total",                                 \
      "HTTP requests refused: malformed or unknown path")                     \
    X(LEASES, "leases_total", "leases received")                              \
    X(BUNDLES_APPLIED, "bundles_applied_total",                               \
      "bundles, steps or routing tables applied")                             \
    X(ELECTIONS, "elections_total", "elections started")                      \
    X(COMMITS, "commits_total", "log entries committed")                      \
    X(STORE_ERRORS, "store_errors_total", "failed writes to the store")       \
    X(VOTERS_REPLACED, "voters_replaced_total",                               \
      "replacements of a voter that this node proposed as the leader")        \
    X(FLOWS_REFUSED, "flows_refused_total", "flows reset towards the caller") \
    X(FLOWS_REROUTED, "flows_moved_off_total",                                \
      "flows rerouted to a second upstream: the first did not answer")        \
    X(PACKETS_NO_EVIDENCE, "packets_no_evidence_total",                       \
      "packets dropped: no evidence, or its upstream is unknown")             \
    X(PACKETS_HELD, "packets_held_total",                                     \
      "packets held until routing table and upstreams are known")             \
    X(PACKETS_RELAYED, "packets_carried_total",                               \
      "packets relayed: no direct path to the upstream's data hall")          \
    X(PACKETS_STALE, "packets_stale_total",                                   \
      "first packets dropped after the process stalled")                      \
    X(SENDS_WAITED, "sends_waited_total", "datagrams queued for the link")    \
    X(PACKETS_DUPLICATE, "packets_copies_total",                              \
      "callers' packets dropped: duplicate of a queued packet")               \
    X(PACKETS_UNSENT, "packets_unsent_total",                                 \
      "callers' packets dropped: queue for the link full")                    \
    X(MSGS_UNSENT, "messages_unsent_total",                                   \
      "messages to nodes dropped: queue for the link full")                   \
    X(WAKEUPS, "wakeups_total", "wake-ups of the event loop")                 \
    X(WAKEUPS_LATE, "wakeups_late_total",                                     \
      "wake-ups so late that the process had stalled")                        \
    X(OVERLOADS, "overloads_total", "overloads of this node")                 \
    X(OVERLOAD_MS, "overload_ms_total", "duration of ended overloads, ms")    \
    X(DEADLINES_MISSED, "deadlines_missed_total",                             \
      "deadlines in the past after a wake-up (a bug)")                        \
    X(REGISTRATIONS, "registrations_total",                                   \
      "registrations of upstreams received")                                  \
    X(REGISTRATIONS_LATE, "registrations_late_total",                         \
      "registrations superseded by a newer one or another upstream")          \
    X(REGISTRATIONS_UNCONFIRMED, "registrations_unconfirmed_total",           \
      "upstreams that leave answered 503: no contact to the leader")          \
    X(REGISTRATIONS_REFUSED, "registrations_refused_total",                   \
      "registrations refused: malformed")                                     \
    X(TABLES_ACKNOWLEDGED, "tables_acknowledged_total",                       \
      "operators' routing tables acknowledged")                               \
    X(TABLES_INVALID, "tables_invalid_total",                                 \
      "operators' routing tables refused")                                    \
    X(HALL_ORDERS, "hall_orders_acknowledged_total",                          \
      "operators' orders about data halls acknowledged")                      \
    X(TABLES_UNCONFIRMED, "tables_unconfirmed_total",                         \
      "operators' requests answered 503: no leader or no quorum")             \
    X(NODES_UNANSWERED, "nodes_unanswered_total",                             \
      "nodes that did not acknowledge upstream changes in time")              \
    X(NODES_JOINED, "nodes_joined_total",                                     \
      "nodes that joined or restarted, counted by the leader")                \
    X(NODES_LOST, "nodes_lost_total", "nodes removed from the member list")   \
    X(CONTACTS_FOUND, "contacts_found_total",                                 \
      "lost or saved nodes that are members again")                           \
    X(CONTACT_HELLOS, "contact_hellos_total",                                 \
      "hellos sent to contacts and to seeds that are no members")             \
    X(LEADERS_LOST, "leaders_lost_total",                                     \
      "times that the leader sent no hello for too long")                     \
    X(REDIRECTS, "redirects_total",                                           \
      "operators' requests redirected to the leader")                         \
    X(LOG_LINES_LOST, "log_lines_lost_total",                                 \
      "log lines lost: the pipe was full")

enum counter_id {
#define X(id, name, help) COUNTER_##id,
    COUNTER_TABLE(X)
#undef X
        COUNTER_COUNT
};

/** A set of counters; zero-initialized. */
struct counters {
    uint64_t value[COUNTER_COUNT]; /**< by enum counter_id */
};

/** Thread-safe. */
void counter_add(struct counters *set, enum counter_id id, uint64_t delta);

/** Thread-safe. */
uint64_t counter_read(const struct counters *set, enum counter_id id);

/** Metric name without the ridgeridge_ prefix. */
const char *counter_name(enum counter_id id);

/** Writes all counters in Prometheus text format; returns the bytes
 * written. */
size_t counter_print(const struct counters *set, char *out, size_t size);

#endif
