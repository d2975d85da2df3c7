/*
 * Measures processor time, memory and network bytes against flows, bundle size
 * and members, and prints a Markdown table for docs/CAPACITY.md.
 * Values are comparable within one run only.
 *
 * usage: bench-capacity
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec.h"
#include "flow.h"
#include "hash.h"
#include "median.h"
#include "packet.h"
#include "sim.h"

#define HALLS 8
#define ROUNDS 5

static struct counters counters;

static double
cpu_ns(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

/* Prints the median, minimum and maximum of the rounds. */
static void
print_row(const char *label, const char *size, double *values,
          const char *unit)
{
    median_sort(values, ROUNDS);
    (void)printf("| %s | %s | %.1f | %.1f to %.1f | %s |\n", label, size,
                 values[ROUNDS / 2], values[0], values[ROUNDS - 1], unit);
    (void)fflush(stdout);
}

/* Prints a row of a deterministic value. */
static void
print_exact_row(const char *label, const char *size, double value,
                const char *unit)
{
    (void)printf("| %s | %s | %.1f | exact | %s |\n", label, size, value,
                 unit);
}

/* Returns a bundle with many services and upstreams; free with g_free(). */
static char *
make_bundle(unsigned services, unsigned upstreams, uint64_t version)
{
    GString *out = g_string_new("");
    unsigned host = 0;

    g_string_printf(out, "{\"version\":%llu,\"base\":%llu,\"services\":[",
                    (unsigned long long)version,
                    (unsigned long long)version - 1);
    for (unsigned s = 0; s < services; s++) {
        unsigned count = (upstreams - host) / (services - s);

        g_string_append_printf(
            out,
            "%s{\"name\":\"s%u\",\"kind\":\"flow\",\"address\":"
            "\"10.%u.%u.1\",\"port\":443,\"upstreams\":[",
            s ? "," : "", s, 128 + s / 250, s % 250);
        for (unsigned u = 0; u < count; u++, host++) {
            g_string_append_printf(
                out,
                "%s{\"name\":\"u%u\",\"address\":\"10.%u.%u.%u\","
                "\"port\":8443}",
                u ? "," : "", host, host / 62500, host / 250 % 250,
                host % 250 + 1);
        }
        g_string_append(out, "]}");
    }
    g_string_append(out, "]}");
    return g_string_free(out, FALSE);
}

/* Time per steering decision and memory per flow. A batch above 0 changes
 * the label of the row only. */
static void
measure_steering(size_t flows, size_t batch)
{
    struct flow_options options = {
        .self = 1, .capacity = 2 * flows, .counters = &counters};
    struct flow *flow = flow_new(&options);
    char *text = sim_bundle(1, 0, "ssssssssssssss", NULL, 3, false);
    struct flow_packet packet = {.hash = 1};
    struct flow_verdict verdict;
    struct bundle bundle;
    struct status st;
    double values[ROUNDS];
    char size[64];

    (void)bundle_read("b", text, strlen(text), &bundle, &st);
    (void)flow_apply(flow, 1, &bundle, NULL, FLOW_STEP_SETTLED);
    flow_set_lease(flow, UINT64_MAX / 2);
    for (size_t i = 0; i < flows; i++) {
        packet.hash = hash_pair(HASH_FLOW, i, 1) | 1;
        packet.first = true;
        flow_steer(flow, 1000, 0, &packet, &verdict);
    }
    packet.first = false;
    for (int r = 0; r < ROUNDS; r++) {
        double start_ns = cpu_ns();
        size_t n = 1000000;

        for (size_t i = 0; i < n; i++) {
            packet.hash = hash_pair(HASH_FLOW, (i * 7919) % flows, 1) | 1;
            flow_steer(flow, 2000, 0, &packet, &verdict);
        }
        values[r] = (cpu_ns() - start_ns) / (double)n;
    }
    (void)snprintf(size, sizeof(size), "%zu flows", flows);
    print_row(batch > 0 ? "steering a packet, fetched a batch early, 2 hashes"
                        : "steering a packet, its hash included",
              size, values, "ns");
    print_exact_row("memory of an entry's steering", size,
                    (double)flow_memory(flow) / (double)flows, "bytes a flow");
    bundle_free(&bundle);
    g_free(text);
    flow_free(flow);
}

/* Time to parse and to apply a bundle, and the memory of its tables. */
static void
measure_bundle(unsigned services, unsigned upstreams)
{
    char *text = make_bundle(services, upstreams, 1);
    double read[ROUNDS];
    double apply[ROUNDS];
    double memory = 0;
    struct status st;
    char size[64];

    for (int r = 0; r < ROUNDS; r++) {
        struct flow_options options = {
            .self = 1, .capacity = 1024, .counters = &counters};
        struct flow *flow = flow_new(&options);
        struct bundle bundle;
        double start_ns = cpu_ns();

        if (bundle_read("b", text, strlen(text), &bundle, &st) != STATUS_OK) {
            (void)fprintf(stderr, "%s\n", st.message);
            exit(1);
        }
        read[r] = (cpu_ns() - start_ns) / 1e6;
        start_ns = cpu_ns();
        (void)flow_apply(flow, 1, &bundle, NULL, FLOW_STEP_SETTLED);
        apply[r] = (cpu_ns() - start_ns) / 1e6;
        memory = (double)flow_memory(flow) / 1e6;
        bundle_free(&bundle);
        flow_free(flow);
    }
    (void)snprintf(size, sizeof(size), "%u hosts, %u addresses", upstreams,
                   services);
    print_row("reading and checking a bundle", size, read, "ms");
    print_row("building its tables", size, apply, "ms");
    print_exact_row("tables and handles in memory", size, memory, "MB");
    print_exact_row("text of the bundle", size, (double)strlen(text) / 1e3,
                    "KB");
    g_free(text);
}

/* Time to rank the members as keepers of a flow. */
static void
measure_keepers(size_t count)
{
    struct member *members = g_new0(struct member, count);
    struct member_set set = {0};
    const struct member *keepers[MEMBER_KEEPERS];
    double values[ROUNDS];
    char size[64];

    for (size_t i = 0; i < count; i++) {
        members[i].id = hash_pair(HASH_NAME, i, 3);
        members[i].hall = i % HALLS;
    }
    member_set_assign(&set, 1, members, count);
    for (int r = 0; r < ROUNDS; r++) {
        double start_ns = cpu_ns();
        uint64_t n = 2000000 / count;

        for (uint64_t key = 0; key < n; key++) {
            (void)member_keepers(&set, key, MEMBER_KEEPERS, keepers);
        }
        values[r] = (cpu_ns() - start_ns) / (double)n;
    }
    (void)snprintf(size, sizeof(size), "%zu entries", count);
    print_row("ranking a flow's keepers", size, values, "ns");
    member_set_clear(&set);
    g_free(members);
}

/* Bytes per member of an epoch on the wire. */
static void
measure_epoch(void)
{
    wire_member members[64] = {{0}};
    wire_epoch epoch = {.number = 1, .members = {.members_val = members}};
    wire_epochs *epochs;
    wire_msg msg = {.kind = WIRE_EPOCHS};
    guint one_member_bytes;
    GByteArray *bytes;

    for (int i = 0; i < 64; i++) {
        members[i].name = "entry-1234";
        members[i].hall = "rennes-1";
    }
    epochs = &msg.wire_msg_u.epochs;
    epochs->epochs.epochs_len = 1;
    epochs->epochs.epochs_val = &epoch;
    epoch.members.members_len = 1;
    bytes = codec_encode(&msg);
    one_member_bytes = bytes->len;
    g_byte_array_unref(bytes);
    epoch.members.members_len = 64;
    bytes = codec_encode(&msg);
    print_exact_row("an epoch on the wire", "each member",
                    (double)(bytes->len - one_member_bytes) / 63.0, "bytes");
    g_byte_array_unref(bytes);
}

/* Network bytes and processor time of control and entries, idle and with a
 * bundle every 45 s. */
static void
measure_control(int entries)
{
    struct sim_options options = {.controls = 3,
                                  .entries = entries,
                                  .halls = 3,
                                  .seed = 1,
                                  .delay_ms = 1,
                                  .jitter_ms = 1,
                                  .flow_capacity = 1024};
    struct sim *sim = sim_new(&options);
    char *text = sim_bundle(1, 0, "ssssssssssssss", NULL, 3, false);
    uint64_t bytes_before = 0;
    uint64_t leader_bytes_before;
    double start_ns;
    char size[64];
    int leader;

    sim_run(sim, sim->now + 3000);
    if (!sim_roll_out(sim, text, 20000)) {
        (void)fprintf(stderr, "roll-out to %d entries not finished\n",
                      entries);
        exit(1);
    }
    g_free(text);
    sim_run(sim, sim->now + 5000);
    (void)snprintf(size, sizeof(size), "%d entries", entries);
    leader = sim_leader(sim);
    for (int n = 0; n < entries; n++) {
        bytes_before += sim->nodes[sim_entry(sim, n)].control_bytes;
    }
    leader_bytes_before = sim->nodes[leader].control_bytes;
    start_ns = cpu_ns();
    sim_run(sim, sim->now + 60000);
    print_exact_row(
        "leader, idle: bytes sent", size,
        (double)(sim->nodes[leader].control_bytes - leader_bytes_before) /
            60.0,
        "bytes/s");
    for (int n = 0; n < entries; n++) {
        bytes_before -= sim->nodes[sim_entry(sim, n)].control_bytes;
    }
    print_exact_row("entry, idle: bytes sent", size,
                    (double)(0 - bytes_before) / 60.0 / entries, "bytes/s");
    print_exact_row("all cores, idle: processor time", size,
                    (cpu_ns() - start_ns) / 60.0 / 1e3, "us/s");
    leader_bytes_before = sim->nodes[leader].control_bytes;
    for (uint64_t v = 2; v <= 3; v++) {
        text =
            sim_bundle(v, v - 1, v % 2 ? "slssssssssssss" : "lsssssssssssss",
                       NULL, 3, false);
        uint64_t submitted_at = sim->now;

        (void)sim_roll_out(sim, text, 20000);
        if (v == 2) {
            print_exact_row("acceptance to in force", size,
                            (double)(sim->now - submitted_at),
                            "ms, at most 100 too high");
        }
        sim_run(sim, sim->now + 45000);
        g_free(text);
    }
    print_exact_row(
        "leader, a bundle each 45 s: bytes sent", size,
        (double)(sim->nodes[leader].control_bytes - leader_bytes_before) /
            90.0,
        "bytes/s");
    sim_free(sim);
}

/* Time of the gate's slot decisions and of a replica's claims. */
static void
measure_requests(void)
{
    struct bundle_upstream upstreams[14];
    struct bundle_service service = {.upstreams = upstreams,
                                     .upstream_count = 14};
    double gate_values[ROUNDS];
    double claim_values[ROUNDS];

    memset(upstreams, 0, sizeof(upstreams));
    for (unsigned i = 0; i < 14; i++) {
        upstreams[i].address = i + 1;
        upstreams[i].port = 80;
        upstreams[i].weight = 100;
        upstreams[i].slots = 3;
    }
    for (int r = 0; r < ROUNDS; r++) {
        struct gate *gate = gate_new(1, 0);
        struct claim_table claims;
        double start_ns;

        memset(&claims, 0, sizeof(claims));
        gate_set_upstreams(gate, 1, &service);
        start_ns = cpu_ns();
        for (uint64_t i = 1; i <= 100000; i++) {
            wire_slot_ask ask = {
                .service = 1, .token = i, .entry = 7, .budget_ms = 1000};
            wire_slot_done done = {.service = 1, .token = i, .entry = 7};

            gate_acquire(gate, 1000, &ask);
            gate_release(gate, 1000, &done);
            g_array_set_size(gate->replies, 0);
        }
        gate_values[r] = (cpu_ns() - start_ns) / 100000.0;
        claim_open(&claims, 1);
        start_ns = cpu_ns();
        for (uint64_t i = 1; i <= 100000; i++) {
            wire_claim claim = {.token = i, .coordinator = 7};
            wire_claim_reply reply;

            memcpy(claim.key, &i, sizeof(i));
            claim_decide(&claims, 0, &claim, &reply);
        }
        claim_values[r] = (cpu_ns() - start_ns) / 100000.0;
        claim_close(&claims);
        gate_free(gate);
    }
    print_row("gate: a slot asked for and given back", "14 upstreams",
              gate_values, "ns");
    print_row("replica: a key claimed", "100,000 keys", claim_values, "ns");
    print_exact_row("replica: a key's record", "without a body",
                    sizeof(struct claim_record) + 48, "bytes");
}

int
main(void)
{
    (void)printf("| what | at | median | spread | unit |\n"
                 "|---|---|---|---|---|\n");
    measure_steering(50000, 0);
    measure_steering(50000, 32);
    measure_steering(500000, 0);
    measure_steering(500000, 32);
    measure_steering(1000000, 0);
    measure_steering(1000000, 32);
    measure_bundle(20, 100);
    measure_bundle(220, 1300);
    measure_bundle(2200, 13000);
    measure_keepers(11);
    measure_keepers(32);
    measure_keepers(1700);
    measure_epoch();
    measure_control(11);
    measure_control(32);
    measure_control(64);
    measure_requests();
    return 0;
}
