/**
 * @file counter.h
 * The project's counters: one table of name, unit and help, and one value
 * each. Cores count into a struct counters of their own, so that many cores
 * can live in one process; shells print it as Prometheus text.
 */
#ifndef RIDGERIDGE_COUNTER_H
#define RIDGERIDGE_COUNTER_H

#include <stddef.h>
#include <stdint.h>

/** X(identifier, name, help): the one table of counters. */
#define COUNTER_TABLE(X)                                                      \
    X(PACKETS_IN, "packets_in_total", "encapsulated packets received")        \
    X(PACKETS_FORWARDED, "packets_forwarded_total", "sent to an upstream")    \
    X(PACKETS_RETURNED, "packets_returned_total", "sent back to a caller")    \
    X(PACKETS_HANDED, "packets_handed_total", "handed to another entry")      \
    X(PACKETS_MALFORMED, "packets_malformed_total", "dropped: unreadable")    \
    X(PACKETS_NO_SERVICE, "packets_no_service_total", "dropped: no service")  \
    X(PACKETS_NO_UPSTREAM, "packets_no_upstream_total",                       \
      "dropped: no upstream may take it")                                     \
    X(PACKETS_TOO_FAR, "packets_too_far_total", "dropped: handed too often")  \
    X(FLOWS_NEW, "flows_new_total", "flows first seen here")                  \
    X(FLOWS_EVICTED, "flows_evicted_total", "live records pushed out")        \
    X(RECORDS_SENT, "flow_records_sent_total", "flow records to keepers")     \
    X(RECORDS_LEARNED, "flow_records_learned_total", "flow records taken")    \
    X(MSGS_IN, "messages_in_total", "messages from other processes")          \
    X(MSGS_MALFORMED, "messages_malformed_total", "dropped: unreadable")      \
    X(MSGS_FORGED, "messages_forged_total", "dropped: key did not match")     \
    X(MSGS_STALE, "messages_stale_total", "dropped: old term or version")     \
    X(CONTROL_BYTES_OUT, "control_bytes_out_total", "control bytes sent")     \
    X(CONTROL_BYTES_IN, "control_bytes_in_total", "control bytes received")   \
    X(CONSENSUS_BYTES_OUT, "consensus_bytes_out_total",                       \
      "of those, between voters: rounds, entries, snapshots, votes")          \
    X(TABLE_BYTES_OUT, "table_bytes_out_total",                               \
      "of those, copies of the routing table")                                \
    X(INVENTORY_BYTES_OUT, "inventory_bytes_out_total",                       \
      "of those, records of upstreams, their marks, and doubts")              \
    X(MEMBER_BYTES_OUT, "member_bytes_out_total",                             \
      "of those, hellos and lists of members")                                \
    X(MSGS_TOO_LARGE, "messages_too_large_total",                             \
      "not sent: no datagram holds them, a fault of ours")                    \
    X(REQUEST_BYTES_OUT, "request_bytes_out_total",                           \
      "bytes between entries on behalf of requests")                          \
    X(REQUESTS, "requests_total", "requests received")                        \
    X(REQUESTS_ANSWERED, "requests_answered_total", "answered whole")         \
    X(REQUESTS_NOT_RUN, "requests_not_run_total",                             \
      "refused, provably not run")                                            \
    X(REQUESTS_UNKNOWN, "requests_unknown_total", "ended with no proof")      \
    X(REQUESTS_REPEATED, "requests_repeated_total", "served from a record")   \
    X(REQUESTS_IN_TIME, "requests_in_time_total", "within the objective")     \
    X(REQUESTS_RETRIED, "requests_retried_total",                             \
      "sent to a second upstream")                                            \
    X(ANSWERS_LATE, "answers_late_total", "dropped: already answered")        \
    X(HTTP_MALFORMED, "http_malformed_total", "HTTP requests refused as bad") \
    X(LEASES, "leases_total", "leases taken")                                 \
    X(BUNDLES_APPLIED, "bundles_applied_total", "bundles or steps applied")   \
    X(ELECTIONS, "elections_total", "elections started")                      \
    X(COMMITS, "commits_total", "log entries committed")                      \
    X(STORE_ERRORS, "store_errors_total", "failed writes of state")           \
    X(FLOWS_REFUSED, "flows_refused_total", "reset towards the caller")       \
    X(FLOWS_MOVED_OFF, "flows_moved_off_total",                               \
      "opened at a second upstream: the first gave no sign of life")          \
    X(PACKETS_NO_EVIDENCE, "packets_no_evidence_total",                       \
      "dropped: named no upstream, or one not known here")                    \
    X(PACKETS_HELD, "packets_held_total",                                     \
      "held until the table and the inventory are known")                     \
    X(PACKETS_CARRIED, "packets_carried_total",                               \
      "sent by a detour: their upstream's data hall is cut off from here")    \
    X(PACKETS_STALE, "packets_stale_total",                                   \
      "first packets dropped: they waited while the process stood still")     \
    X(SENDS_WAITED, "sends_waited_total",                                     \
      "datagrams that waited for the link")                                   \
    X(PACKETS_COPIES, "packets_copies_total",                                 \
      "callers' packets dropped: the same one waited for the link")           \
    X(PACKETS_UNSENT, "packets_unsent_total",                                 \
      "callers' packets dropped: too much waited for the link")               \
    X(MSGS_UNSENT, "messages_unsent_total",                                   \
      "messages to nodes dropped: too much waited for the link")              \
    X(WAKEUPS, "wakeups_total", "times that the loop of a node was due")      \
    X(WAKEUPS_LATE, "wakeups_late_total",                                     \
      "of those, so late that the process must have stood still")             \
    X(DEADLINES_MISSED, "deadlines_missed_total",                             \
      "deadlines that a wake-up left in the past: a fault of ours")           \
    X(REGISTRATIONS, "registrations_total", "taken from upstreams")           \
    X(REGISTRATIONS_LATE, "registrations_late_total",                         \
      "overtaken by a later one, or by another upstream at the address")      \
    X(REGISTRATIONS_REFUSED, "registrations_refused_total",                   \
      "unreadable registrations")                                             \
    X(TABLES_TAKEN, "tables_acknowledged_total",                              \
      "operators' tables acknowledged here")                                  \
    X(TABLES_INVALID, "tables_invalid_total", "operators' tables refused")    \
    X(HALL_ORDERS, "hall_orders_acknowledged_total",                          \
      "operators' orders about data halls acknowledged here")                 \
    X(TABLES_UNCONFIRMED, "tables_unconfirmed_total",                         \
      "tables and reads answered 503: no leader, or no quorum in time")       \
    X(NODES_UNANSWERED, "nodes_unanswered_total",                             \
      "nodes that did not acknowledge changes of upstreams")                  \
    X(REDIRECTS, "redirects_total", "operators sent to the leader")           \
    X(LOG_LINES_LOST, "log_lines_lost_total", "not written: the pipe was full")

/** Index of a counter. */
enum counter_id {
#define X(id, name, help) COUNTER_##id,
    COUNTER_TABLE(X)
#undef X
        COUNTER_COUNT
};

/** A set of counters, all from zero. */
struct counters {
    uint64_t value[COUNTER_COUNT]; /**< by enum counter_id */
};

/** Adds to a counter; safe from any thread. */
void counter_add(struct counters *set, enum counter_id id, uint64_t more);

/** Value of a counter; safe from any thread. */
uint64_t counter_read(const struct counters *set, enum counter_id id);

/** Name of a counter, without the ridgeridge_ prefix. */
const char *counter_name(enum counter_id id);

/** Writes all counters as Prometheus text; returns the bytes written. */
size_t counter_print(const struct counters *set, char *out, size_t size);

#endif
