/**
 * @file histogram.h
 * Prometheus histograms of durations with fixed, exponential buckets, in the
 * text exposition format. See counter.h for counters.
 */
#ifndef RIDGERIDGE_HISTOGRAM_H
#define RIDGERIDGE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 21 /**< upper bounds 16 us, 32 us, ... 16.8 s */

/** X(identifier, metric name, help). */
#define HISTOGRAM_TABLE(X)                                                    \
    X(PACKET, "packet_seconds",                                               \
      "from receiving a batch of packets to sending it")                      \
    X(EGRESS, "egress_wait_seconds",                                          \
      "queueing delay of datagrams that waited for the link")                 \
    X(OPERATOR, "operator_call_seconds",                                      \
      "from an operator's request to the leader's response")                  \
    X(APPLY, "table_apply_seconds",                                           \
      "from receipt of a routing table to its activation")                    \
    X(REGISTRATION, "registration_seconds",                                   \
      "from a registration's HTTP header to its response")                    \
    X(CHANGE_LATENCY, "change_told_seconds",                                  \
      "delay of an upstream's change from the node that received it")         \
    X(HELD, "held_seconds", "time for which first packets waited for room")   \
    X(SYNC, "storage_sync_seconds",                                           \
      "write of one change to the store, including fsync")

enum histogram_id {
#define X(id, name, help) HISTOGRAM_##id,
    HISTOGRAM_TABLE(X)
#undef X
        HISTOGRAM_COUNT
};

/** A set of histograms; zero-initialized. */
struct histograms {
    uint64_t buckets[HISTOGRAM_COUNT][HISTOGRAM_BUCKETS +
                                      1]; /**< counts; the last one is +Inf */
    uint64_t sum_us[HISTOGRAM_COUNT];     /**< sum of durations */
};

/** Observes one duration in microseconds; thread-safe. */
void histogram_add(struct histograms *set, enum histogram_id id, uint64_t us);

/** Writes all histograms in Prometheus text format; returns the bytes
 * written. */
size_t histogram_print(const struct histograms *set, char *out, size_t size);

#endif
