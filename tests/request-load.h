/**
 * @file request-load.h
 * Load of HTTP requests over the simulated cluster (sim.h), with injected
 * faults: admission by the gate, compared with simpler policies.
 */
#ifndef RIDGERIDGE_REQUEST_LOAD_H
#define RIDGERIDGE_REQUEST_LOAD_H

#include "sim.h"

/* How a request is admitted and its upstream chosen. */
enum request_policy {
    REQ_GATE,       /* slots granted by the gate, keyed records */
    REQ_NAIVE,      /* random upstream, retries after any error */
    REQ_RANDOM,     /* random upstream, no retries */
    REQ_TWO_CHOICE, /* the better of two random upstreams, by own outstanding
                       requests and load reports up to 10 s old */
    REQ_POLICIES
};

/* Injected fault. */
enum request_fault {
    REQ_NO_FAULT,
    REQ_KILL_ENTRY,         /* killed and restarted */
    REQ_KILL_TWO,           /* a second apart */
    REQ_FREEZE_ENTRY,       /* for 30 s */
    REQ_STOP_ENTRIES,       /* planned stop of one entry after the other */
    REQ_PARTITION_ENTRY,    /* from all control replicas for 10 s */
    REQ_FREEZE_UPSTREAM,    /* for 10 s */
    REQ_SHED_UPSTREAMS,     /* half of them shed all requests for 5 s */
    REQ_TRUNCATE_RESPONSES, /* 1 response of 20 */
    REQ_DRAIN,              /* an upstream is leaving */
    REQ_ENTRY_CHURN,        /* entries are killed and started, 1 every 1.5 s */
    REQ_FAULTS
};

struct request_load {
    enum request_policy policy;
    enum request_fault fault;
    uint64_t seed;
    int upstreams, slots;
    int entries, halls;
    unsigned delay_ms;  /* between halls */
    unsigned caller_ms; /* from caller to entry, one way */
    double load;        /* offered load, as a share of capacity */
    double overload;    /* load from 10 s on, 0: none */
    unsigned overload_ms;
    unsigned length_ms;
    unsigned service_ms; /* mean */
    unsigned loss;       /* of 1,000 messages between entries */
    bool duplicates;     /* callers resend, some at once */
};

struct request_result {
    unsigned requests, answered, not_run, unknown, lost;
    unsigned run_twice;         /* keys executed more than once */
    unsigned false_not_run;     /* refused as not run, after an execution */
    unsigned run_after_refusal; /* attempts executed after their refusal */
    unsigned wrong;             /* responses to another request */
    unsigned cut;               /* not measured */
    unsigned late_at_leaving;   /* executions at an upstream that has been
                                 leaving for 3 s */
    unsigned returned, returned_ok; /* retried after their Retry-After */
    unsigned retried;
    unsigned rules[RULE_COUNT]; /* refused or unknown, by rule */
    double p50_ms, p99_ms;      /* of answers, without service time */
    double goodput;             /* service time of answers / slot time */
    double refusal_ms;          /* not measured */
    double busy_imbalance;      /* max / mean of busy slots per second, mean */
    double bytes_per_s;         /* sent for requests by the busiest entry */
};

void request_load_run(const struct request_load *load,
                      struct request_result *out);
const char *request_load_policy_name(enum request_policy policy);
const char *request_load_fault_name(enum request_fault fault);

#endif
