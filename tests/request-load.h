/**
 * @file request-load.h
 * Requests of callers over a simulated cluster, upstreams with slots that
 * fail in many ways, and naive ways to compare with.
 */
#ifndef RIDGERIDGE_REQUEST_LOAD_H
#define RIDGERIDGE_REQUEST_LOAD_H

#include "sim.h"

/* How requests are admitted and placed. */
enum request_way {
    REQ_GATE,       /* ours */
    REQ_NAIVE,      /* random upstream, retry on any error, no records */
    REQ_RANDOM,     /* random upstream, no retry */
    REQ_TWO_CHOICE, /* two random ones: own outstanding and load 10 s old */
    REQ_WAYS
};

/* Trouble of a scene. */
enum request_trouble {
    REQ_CALM,
    REQ_KILL_ENTRY,      /* an entry, and its start again */
    REQ_KILL_TWO,        /* two entries a second apart */
    REQ_FREEZE_ENTRY,    /* an entry for 30 s */
    REQ_STOP_ENTRIES,    /* planned stops, one after the other */
    REQ_CUT_ENTRY,       /* an entry from control for 10 s */
    REQ_FREEZE_UPSTREAM, /* one answers nothing for 10 s */
    REQ_SHED_STORM,      /* half of the upstreams shed all for 5 s */
    REQ_CUT_ANSWERS,     /* one answer in twenty is cut short */
    REQ_DRAIN,           /* an upstream leaves, another joins cold */
    REQ_EPOCHS,          /* entries come and go all the time */
    REQ_TROUBLES
};

struct request_load {
    enum request_way way;
    enum request_trouble trouble;
    uint64_t seed;
    int upstreams, slots;
    int entries, halls;
    unsigned delay_ms;  /* between halls */
    unsigned caller_ms; /* caller to entry, one way */
    double load;        /* share of capacity that arrives */
    double overload;    /* another share, from 10 s to 10 s + its length */
    unsigned overload_ms;
    unsigned length_ms;
    unsigned service_ms; /* mean */
    unsigned loss;       /* of 1,000 messages between entries */
    bool duplicates;     /* callers send some twice at once, and resend */
};

struct request_result {
    unsigned requests, answered, not_run, unknown, lost;
    unsigned run_twice;     /* keys that ran more than once */
    unsigned false_not_run; /* told not-run, though it ran or was running */
    unsigned run_after_refusal; /* an attempt ran after it was refused */
    unsigned wrong;             /* answers that were not the caller's own */
    unsigned cut;               /* no answer by a planned change */
    unsigned late_at_leaving;   /* work at a leaving upstream after 3 s */
    unsigned returned, returned_ok; /* callers that came back as told */
    unsigned retried;
    unsigned rules[RULE_COUNT]; /* of those refused or unknown */
    double p50_ms, p99_ms;      /* of answered ones, service time excluded */
    double goodput;        /* answers per slot time offered by upstreams */
    double refusal_ms;     /* slowest refusal after its decision */
    double busy_imbalance; /* max over mean busy slots, mean of samples */
    double bytes_per_s;    /* of an entry, for requests */
};

void request_load_run(const struct request_load *load,
                      struct request_result *out);
const char *request_load_way(enum request_way way);
const char *request_load_trouble(enum request_trouble trouble);

#endif
