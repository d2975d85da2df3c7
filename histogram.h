/**
 * @file histogram.h
 * Latency histograms with fixed bounds, beside the counters: one table of
 * name and help, printed as Prometheus text. The registry serves no C library
 * for this (one in C++, one in Go, one in Java were found), so it is part of
 * the project's own counters. Owns the bounds and the text; what is measured
 * is up to who adds.
 */
#ifndef RIDGERIDGE_HISTOGRAM_H
#define RIDGERIDGE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/** Bounds are 16 us, 32 us, ... 8.4 s; the last bucket has no bound. */
#define HISTOGRAM_BUCKETS 21

/** X(identifier, name, help): the one table of histograms. */
#define HISTOGRAM_TABLE(X)                                                    \
    X(PACKET, "packet_seconds", "from reading a batch to sending it")         \
    X(EGRESS, "egress_wait_seconds",                                          \
      "of datagrams that waited for the link: until they left")               \
    X(OPERATOR, "operator_call_seconds",                                      \
      "from an operator's call to its answer, by the leader")                 \
    X(APPLY, "table_apply_seconds", "from a table's arrival to its use")      \
    X(REGISTRATION, "registration_seconds",                                   \
      "from a registration's head to its answer")                             \
    X(TOLD, "change_told_seconds",                                            \
      "from a change of an upstream at the node that heard it to here")       \
    X(SYNC, "storage_sync_seconds", "one stored change, with its syncs")

/** Index of a histogram. */
enum histogram_id {
#define X(id, name, help) HISTOGRAM_##id,
    HISTOGRAM_TABLE(X)
#undef X
        HISTOGRAM_COUNT
};

/** A set of histograms, all empty at first. */
struct histograms {
    uint64_t buckets[HISTOGRAM_COUNT][HISTOGRAM_BUCKETS + 1]; /**< durations */
    uint64_t sum_us[HISTOGRAM_COUNT]; /**< of all durations */
};

/** Adds one duration, in microseconds; safe from any thread. */
void histogram_add(struct histograms *set, enum histogram_id id, uint64_t us);

/** Writes all as Prometheus text; returns the bytes written. */
size_t histogram_print(const struct histograms *set, char *out, size_t size);

#endif
