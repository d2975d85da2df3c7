/*
 * Fault-injection soak of nodes as real processes on loopback. From one seed
 * it kills, stops and pauses nodes, wipes their disks or makes writes fail,
 * and drops, delays or partitions their datagrams, while simulated callers,
 * upstreams and an operator check what they observe. This file owns the
 * processes and the faults; link.c the proxy between nodes, http.c the
 * operator and the fabric's health checks, host.c callers and upstreams.
 *
 *   usage: build/soak SECONDS SEED [NODES]
 *
 * Prints each fault and each violation; exits 1 after a violation. It signals
 * only processes that it started.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "address.h"
#include "host.h"
#include "http.h"
#include "link.h"
#include "loop.h"
#include "soak.h"

#define DISKS 3
#define SEEDS 3
#define OUTAGE_SPARES 3  /* nodes with a disk that replace lost ones */
#define PLANNED_SPARES 2 /* the same for planned replacements */
#define SPARES (OUTAGE_SPARES + PLANNED_SPARES)
#define PACKET_PORT 17100
#define READY_PORT 17101
#define CONTROL_PORT 17102
#define PEER_PORT 17103
#define SETTLE_MS 6000       /* from the start to the first fault */
#define BURST_MS 5000        /* a burst without other faults */
#define LEAVING_MS 6000      /* two upstreams leave without other faults */
#define RECOVERY_MS 12000    /* from the last fault to the final checks */
#define STOP_TIMEOUT_MS 6000 /* a planned stop takes at most this */
#define RESTART_MS 200       /* from the end of a process to its next start */
#define WIPE_RESTART_MS 300  /* the same after a wiped disk */
#define REJOIN_MS 5000       /* from the end of an outage until nodes serve */
#define REPLACE_MS 1000      /* from the loss of a node to its successor */
#define CATCH_UP_MS 4000     /* from a successor's start to the next loss */
#define POLL_MS 2            /* poll(2) timeout */
#define DAMAGED_AT 40        /* byte of the log, in its first record */
#define DAMAGED_LOG_BYTES 2000 /* least size of a log that is damaged */
#define EXIT_EXEC_FAILED 3     /* execl(3) failed */

/* Faults, selected at random. */
enum fault {
    FAULT_KILL,
    FAULT_PAUSE,
    FAULT_STOP, /* SIGTERM */
    FAULT_PARTITION,
    FAULT_LOSS,
    FAULT_DELAY,
    FAULT_DISK, /* wiped, or write errors */
    FAULT_HOST, /* fault of an upstream */
    FAULT_COUNT
};

/* A node's process and the deadlines of its faults. */
struct node_process {
    pid_t pid;                /* 0: not running */
    bool disk;                /* has a data folder */
    bool in_use;              /* has started, and is not replaced */
    bool stopping;            /* SIGTERM was sent */
    bool leaving;             /* it does not start again */
    uint64_t start_at;        /* deadline: start, 0: none */
    uint64_t resume_at;       /* deadline: SIGCONT, 0: not paused */
    uint64_t restore_link_at; /* deadline: clear link faults, 0: none */
    uint64_t writable_at;     /* deadline: writes succeed again, 0: they do */
    uint64_t faulty_until;    /* end of its latest fault */
};

static struct {
    char directory[128];
    unsigned net;   /* second octet of all addresses */
    int nodes;      /* that start first */
    int total;      /* with the spares, which follow them */
    int first_seed; /* of the seeds in the settings */
    bool outage;    /* faults strike only nodes that are neither a seed nor
                       have a disk */
    struct node_process node[SOAK_NODES_MAX];
    GRand *rand; /* of inject_fault() */
    uint64_t started_at;
    GRand *extra_rand;   /* of inject_restart_or_partition(); separate, so that
                            neither changes the faults that a seed gives the
                            other */
    GRand *outage_rand;  /* of run_outage() */
    GRand *planned_rand; /* of run_planned_replacements() */
    uint64_t next_fault_at; /* deadline */
    uint64_t next_extra_at; /* deadline */
    uint64_t faulty_until;  /* end of the latest fault of any node */
    unsigned faults, violations;
} soak;

/* Set by SIGTERM and SIGINT. */
static volatile sig_atomic_t stop_requested;

void
soak_violation(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    printf("%8.3f VIOLATION ",
           (double)(loop_now() - soak.started_at) / 1000.0);
    vprintf(format, args);
    printf("\n");
    va_end(args);
    soak.violations++;
}

/* Prints a line with the time since the start. */
static void
log_event(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    printf("%8.3f ", (double)(loop_now() - soak.started_at) / 1000.0);
    vprintf(format, args);
    printf("\n");
    va_end(args);
}

/* Third octet of an address. */
enum address_kind {
    ADDRESS_NODE = 1,  /* a node's own sockets */
    ADDRESS_PROXY = 2, /* a node's proxy */
    ADDRESS_HOST = 3,
    ADDRESS_CALLERS = 4
};

static uint32_t
address_of(enum address_kind kind, int n)
{
    return 127U << 24 | soak.net << 16 | (uint32_t)kind << 8 |
           (unsigned)(n + 1);
}

static int
random_below(int bound)
{
    return g_rand_int_range(soak.rand, 0, bound);
}

int
soak_socket(uint32_t address, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};
    int size = 1 << 20;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("soak: bind");
        exit(2);
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    return fd;
}

/* Writes a node's settings file; returns its path, free with g_free(). */
static char *
write_settings(int n, bool first_start)
{
    char *path = g_strdup_printf("%s/node-%d.json", soak.directory, n);
    char a[ADDRESS_TEXT], b[ADDRESS_TEXT], c[ADDRESS_TEXT], seeds[256] = "";
    char text[2048];
    char data[192] = "";
    uint32_t own = address_of(ADDRESS_NODE, n);

    for (int i = 0; i < SEEDS; i++) {
        char s[ADDRESS_TEXT];
        size_t used = strlen(seeds);

        (void)snprintf(
            seeds + used, sizeof(seeds) - used, "%s{\"control\": \"%s\"}",
            i ? "," : "",
            address_format(address_of(ADDRESS_PROXY, soak.first_seed + i),
                           CONTROL_PORT, s));
    }
    if (soak.node[n].disk) {
        (void)snprintf(data, sizeof(data), "%s/data-%d", soak.directory, n);
    }
    (void)snprintf(
        text, sizeof(text),
        "{\"name\": \"node-%d\", \"hall\": \"hall-%d\", \"data\": \"%s\","
        "\"packets\": \"%s\", \"ready\": \"%s\", \"control\": \"%s\","
        "\"tolerated_disks\": 1,\"advertise\": \"127.%u.2.%d\", "
        "\"peer_port\": %d,"
        "\"first_start\": %d, \"registration_interval_ms\": %d,"
        "\"grace_s\": 6, \"load_control\": \"full\", \"seeds\": [%s]}",
        n, n % 3, data, address_format(own, PACKET_PORT, a),
        address_format(own, READY_PORT, b),
        address_format(own, CONTROL_PORT, c), soak.net, n + 1, PEER_PORT,
        first_start, SOAK_REGISTRATION_MS, seeds);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static void
start_node(int n, bool first_start)
{
    char *settings = write_settings(n, first_start);
    char *log = g_strdup_printf("%s/node-%d.log", soak.directory, n);
    pid_t pid = fork();

    if (pid == 0) {
        if (freopen(log, "a", stdout) == NULL ||
            freopen(log, "a", stderr) == NULL) {
            _exit(EXIT_EXEC_FAILED);
        }
        (void)execl("build/ridgeridge", "ridgeridge", "node", "--settings",
                    settings, (char *)NULL);
        _exit(EXIT_EXEC_FAILED);
    }
    soak.node[n].pid = pid;
    soak.node[n].in_use = true;
    soak.node[n].stopping = false;
    soak.node[n].writable_at = 0;
    soak.node[n].start_at = 0;
    g_free(settings);
    g_free(log);
}

bool
soak_is_stable(uint32_t node_address)
{
    int n = (int)(node_address & 255) - 1;
    uint64_t now = loop_now();

    return n >= 0 && n < soak.total &&
           now > soak.node[n].faulty_until + SOAK_STABLE_MS &&
           now > soak.faulty_until + SOAK_STABLE_MS;
}

bool
soak_node_in_use(int n)
{
    return soak.node[n].in_use;
}

int
soak_random_node(void)
{
    int n;

    do {
        n = (int)(g_random_int() % (guint)soak.total);
    } while (!soak.node[n].in_use);
    return n;
}

static bool
is_seed(int n)
{
    return n >= soak.first_seed && n < soak.first_seed + SEEDS;
}

/* Records a fault of a node that lasts until a time. */
static void
record_fault(int n, uint64_t until)
{
    soak.node[n].faulty_until = MAX(soak.node[n].faulty_until, until);
    soak.faulty_until = MAX(soak.faulty_until, until);
    soak.faults++;
}

/* True if a node's disk may be wiped: all other nodes with disks must be
 * running and stable. */
static bool
can_wipe_disk(int n, uint64_t now)
{
    for (int i = 0; i < DISKS; i++) {
        if (i != n && (soak.node[i].pid == 0 || soak.node[i].resume_at != 0 ||
                       now < soak.node[i].faulty_until + SOAK_STABLE_MS)) {
            return false;
        }
    }
    return n < DISKS && now > soak.faulty_until + SOAK_STABLE_MS / 2;
}

/* Removes the files of a node's data folder. */
static void
wipe_disk(int n)
{
    static const char *const names[] = {
        "identity", "vote", "snapshot", "log", "lock", "upstreams", "missing"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *name =
            g_strdup_printf("%s/data-%d/%s", soak.directory, n, names[i]);

        (void)g_unlink(name);
        g_free(name);
    }
}

/* Makes writes that extend a file fail, as on a full disk, or succeed
 * again. */
static void
set_disk_writable(int n, bool allowed)
{
    struct rlimit limit = {.rlim_cur = allowed ? RLIM_INFINITY : 0,
                           .rlim_max = RLIM_INFINITY};

    if (prlimit(soak.node[n].pid, RLIMIT_FSIZE, &limit, NULL) != 0) {
        perror("soak: prlimit");
    }
    soak.node[n].writable_at = 0;
}

/* Makes a node's writes fail for a while. */
static void
inject_write_failure(int n, uint64_t now, uint64_t duration_ms)
{
    if (!soak.node[n].disk || soak.node[n].writable_at != 0) {
        return;
    }
    log_event("node %d: writes fail for %llu ms", n,
              (unsigned long long)duration_ms);
    set_disk_writable(n, false);
    soak.node[n].writable_at = now + duration_ms;
    record_fault(n, now + duration_ms);
}

/* Kills a node and wipes its disk if the others are stable; otherwise makes
 * its writes fail. */
static void
inject_disk_fault(int n, uint64_t now, uint64_t duration_ms)
{
    struct node_process *node = &soak.node[n];

    if (!can_wipe_disk(n, now)) {
        inject_write_failure(n, now, duration_ms);
        return;
    }
    log_event("node %d: killed, disk wiped", n);
    (void)kill(node->pid, SIGKILL);
    (void)waitpid(node->pid, NULL, 0);
    node->pid = 0;
    wipe_disk(n);
    node->start_at = now + WIPE_RESTART_MS;
    record_fault(n, node->start_at + 1000);
}

/* Kills or pauses a node. */
static void
inject_process_fault(int n, enum fault fault, uint64_t now,
                     uint64_t duration_ms)
{
    struct node_process *node = &soak.node[n];

    if (fault == FAULT_KILL) {
        log_event("node %d: killed, restart after %llu ms", n,
                  (unsigned long long)duration_ms);
        (void)kill(node->pid, SIGKILL);
        node->start_at = now + duration_ms;
        record_fault(n, node->start_at);
        return;
    }
    log_event("node %d: paused for %llu ms", n,
              (unsigned long long)duration_ms);
    (void)kill(node->pid, SIGSTOP);
    node->resume_at = now + duration_ms;
    record_fault(n, node->resume_at);
}

/* Drops, loses or delays a node's datagrams. */
static void
inject_link_fault(int n, enum fault fault, uint64_t now, uint64_t duration_ms)
{
    struct soak_link *link = soak_link_of(n);

    if (fault == FAULT_PARTITION) {
        link->drop_in = random_below(3) != 0;
        link->drop_out = !link->drop_in || random_below(2) != 0;
        log_event("node %d: link drops in=%d out=%d for %llu ms", n,
                  link->drop_in, link->drop_out,
                  (unsigned long long)duration_ms);
    }
    else if (fault == FAULT_LOSS) {
        link->loss_percent = 10 + (unsigned)random_below(40);
        log_event("link loses %u%% at node %d", link->loss_percent, n);
    }
    else {
        link->delay_ms = 20 + (unsigned)random_below(300);
        log_event("link delay %u ms at node %d", link->delay_ms, n);
    }
    soak.node[n].restore_link_at = now + duration_ms;
    record_fault(n, soak.node[n].restore_link_at);
}

/* Injects one fault at a random node. */
static void
inject_fault(uint64_t now)
{
    int n = random_below(soak.nodes);
    struct node_process *node = &soak.node[n];
    uint64_t duration_ms = 200 + (uint64_t)random_below(3500);
    enum fault fault;

    soak.next_fault_at = now + 300 + (uint64_t)random_below(1500);
    if (node->pid == 0 || node->resume_at != 0 || node->stopping ||
        (soak.outage && (node->disk || is_seed(n)))) {
        return;
    }
    fault = (enum fault)random_below(FAULT_COUNT);
    switch (fault) {
    case FAULT_KILL:
    case FAULT_PAUSE:
        inject_process_fault(n, fault, now, duration_ms);
        return;
    case FAULT_STOP:
        log_event("node %d: planned stop", n);
        (void)kill(node->pid, SIGTERM);
        node->stopping = true;
        record_fault(n, now + STOP_TIMEOUT_MS);
        return;
    case FAULT_PARTITION:
    case FAULT_LOSS:
    case FAULT_DELAY:
        inject_link_fault(n, fault, now, duration_ms);
        return;
    case FAULT_DISK:
        inject_disk_fault(n, now, duration_ms);
        return;
    case FAULT_HOST:
    case FAULT_COUNT:
        soak_host_inject(random_below(SOAK_HOST_RANDOM_FAULTS));
        return;
    }
}

/* Restarts a host under the same id, or partitions two halls. */
static void
inject_restart_or_partition(uint64_t now)
{
    int one = g_rand_int_range(soak.extra_rand, 0, SOAK_HALLS);
    uint64_t duration_ms =
        (uint64_t)g_rand_int_range(soak.extra_rand, 500, 3000);

    soak.next_extra_at =
        now + (uint64_t)g_rand_int_range(soak.extra_rand, 1000, 4000);
    if (g_rand_int_range(soak.extra_rand, 0, 2) == 0) {
        soak_host_inject(SOAK_HOST_RESTART);
        soak.faults++;
        return;
    }
    log_event("halls %d and %d partitioned for %llu ms", one,
              (one + 1) % SOAK_HALLS, (unsigned long long)duration_ms);
    soak_link_partition_halls(one, (one + 1) % SOAK_HALLS, now + duration_ms);
    soak.faulty_until = MAX(soak.faulty_until, now + duration_ms);
    soak.faults++;
}

/* Ends expired faults, reaps and restarts processes. */
static void
supervise_nodes(uint64_t now)
{
    for (int n = 0; n < soak.total; n++) {
        struct node_process *node = &soak.node[n];
        int status;

        if (node->resume_at != 0 && now >= node->resume_at) {
            node->resume_at = 0;
            (void)kill(node->pid, SIGCONT);
        }
        if (node->pid != 0 && node->writable_at != 0 &&
            now >= node->writable_at) {
            set_disk_writable(n, true);
        }
        if (node->restore_link_at != 0 && now >= node->restore_link_at) {
            node->restore_link_at = 0;
            *soak_link_of(n) = (struct soak_link){0};
        }
        if (node->pid != 0 && waitpid(node->pid, &status, WNOHANG) > 0) {
            if (!node->stopping && node->start_at == 0) {
                soak_violation("node %d exited, status %d", n, status);
            }
            node->start_at =
                node->start_at ? node->start_at : now + RESTART_MS;
            node->start_at = node->leaving ? 0 : node->start_at;
            node->pid = 0;
        }
        if (node->pid == 0 && node->start_at != 0 && now >= node->start_at) {
            start_node(n, false);
            record_fault(n, now);
        }
    }
}

/* Runs the proxy, hosts, callers and, if wanted, faults until a time. */
static void
run_until(uint64_t until, bool faults)
{
    struct pollfd fds[SOAK_NODES_MAX + SOAK_HOSTS + 1];

    while (loop_now() < until && !stop_requested) {
        uint64_t now = loop_now();
        nfds_t count = 0;

        count += soak_link_poll(fds);
        count += soak_host_poll(fds + count);
        (void)poll(fds, count, POLL_MS);
        soak_link_run();
        soak_host_run(loop_now());
        supervise_nodes(now);
        if (faults && now >= soak.next_fault_at) {
            inject_fault(now);
        }
        if (faults && !soak.outage && now >= soak.next_extra_at) {
            inject_restart_or_partition(now);
        }
    }
}

static int
outage_random(int first, int end)
{
    return g_rand_int_range(soak.outage_rand, first, end);
}

/* Names three nodes without a disk as the seeds in all settings. */
static void
exchange_seeds(void)
{
    soak.first_seed = outage_random(DISKS, soak.nodes - SEEDS + 1);
    log_event("the settings name the nodes %d to %d as seeds", soak.first_seed,
              soak.first_seed + SEEDS - 1);
    for (int n = 0; n < soak.nodes; n++) {
        g_free(write_settings(n, false));
        if (soak.node[n].pid != 0) {
            (void)kill(soak.node[n].pid, SIGHUP);
        }
    }
}

/* Kills all seeds; they start again after a while, or at once behind a
 * partition that lasts as long. */
static void
take_seeds_down(uint64_t now, uint64_t duration_ms, bool partitioned)
{
    for (int n = soak.first_seed; n < soak.first_seed + SEEDS; n++) {
        struct node_process *node = &soak.node[n];

        log_event("node %d: killed, %s for %llu ms", n,
                  partitioned ? "cut off" : "down",
                  (unsigned long long)duration_ms);
        if (node->pid != 0) {
            (void)kill(node->pid, SIGKILL);
        }
        node->resume_at = 0;
        node->start_at = now + (partitioned ? RESTART_MS : duration_ms);
        record_fault(n, now + duration_ms);
    }
    if (partitioned) {
        soak_link_cut_group(soak.first_seed, SEEDS, now + duration_ms);
    }
}

/* Removes a node with a disk; an empty one at another address replaces it. */
static void
replace_disk(int n, int successor)
{
    struct node_process *node = &soak.node[n];

    log_event("node %d: removed, node %d replaces it", n, successor);
    if (node->pid != 0) {
        (void)kill(node->pid, SIGKILL);
        (void)waitpid(node->pid, NULL, 0);
        node->pid = 0;
    }
    node->start_at = 0;
    node->in_use = false;
    wipe_disk(n);
    soak.node[successor].start_at = loop_now() + REPLACE_MS;
    record_fault(n, loop_now());
    record_fault(successor, loop_now() + REPLACE_MS);
}

static void run_until(uint64_t until, bool faults);

/* Exchanges the seeds, takes them down together, and then replaces disks one
 * after the other: the successors know only these seeds. */
static void
run_outage(void)
{
    uint64_t duration_ms = (uint64_t)outage_random(3000, 9000);
    bool partitioned = outage_random(0, 2) == 0;
    int replaced = outage_random(1, OUTAGE_SPARES + 1);
    int first = outage_random(0, DISKS);

    soak.outage = true;
    exchange_seeds();
    run_until(loop_now() + (uint64_t)outage_random(500, 4000), true);
    take_seeds_down(loop_now(), duration_ms, partitioned);
    run_until(loop_now() + duration_ms + REJOIN_MS, true);
    for (int n = soak.first_seed; n < soak.first_seed + SEEDS; n++) {
        if (!soak_http_is_ready(n)) {
            soak_violation("node %d is not ready %d ms after the outage", n,
                           REJOIN_MS);
        }
    }
    for (int i = 0; i < replaced; i++) {
        replace_disk((first + i) % DISKS, soak.nodes + i);
        run_until(loop_now() + REPLACE_MS + CATCH_UP_MS, true);
    }
    run_until(loop_now() + RECOVERY_MS, false);
    soak.outage = false;
}

/* A random node with a disk that is in use. */
static int
pick_disk(int except)
{
    int n;

    do {
        n = g_rand_int_range(soak.planned_rand, 0, soak.total);
    } while (!soak.node[n].disk || !soak.node[n].in_use || n == except);
    return n;
}

/* Flips a bit in the first record of a node's log; false when the log is too
 * short to have later ones. */
static bool
damage_log(int n)
{
    char *name = g_strdup_printf("%s/data-%d/log", soak.directory, n);
    char *bytes = NULL;
    gsize length = 0;
    bool damaged = g_file_get_contents(name, &bytes, &length, NULL) &&
                   length > DAMAGED_LOG_BYTES;

    if (damaged) {
        bytes[DAMAGED_AT] ^= 1;
        damaged = g_file_set_contents(name, bytes, (gssize)length, NULL);
    }
    g_free(bytes);
    g_free(name);
    return damaged;
}

/* Kills a node whose disk is lost or damaged; it starts again. */
static void
lose_disk(int n)
{
    struct node_process *node = &soak.node[n];
    uint64_t delay_ms =
        (uint64_t)g_rand_int_range(soak.planned_rand, WIPE_RESTART_MS, 1500);
    bool damaged = g_rand_int_range(soak.planned_rand, 0, 2) == 0;

    if (node->pid != 0) {
        (void)kill(node->pid, SIGKILL);
        (void)waitpid(node->pid, NULL, 0);
        node->pid = 0;
    }
    damaged = damaged && damage_log(n);
    log_event("node %d: killed, %s", n,
              damaged ? "log damaged" : "disk wiped");
    if (!damaged) {
        wipe_disk(n);
    }
    node->start_at = loop_now() + delay_ms;
    record_fault(n, node->start_at + 1000);
}

/* A node with a disk is added, another one stops for good, and right after its
 * end a third one loses its disk. */
static void
replace_as_planned(int successor)
{
    int old = pick_disk(successor);
    uint64_t deadline;

    start_node(successor, false);
    record_fault(successor, loop_now());
    run_until(loop_now() + CATCH_UP_MS, false);
    log_event("node %d: stops for good, node %d replaces it", old, successor);
    soak.node[old].leaving = true;
    soak.node[old].stopping = true;
    (void)kill(soak.node[old].pid, SIGTERM);
    record_fault(old, loop_now());
    deadline = loop_now() + STOP_TIMEOUT_MS;
    while (soak.node[old].pid != 0 && loop_now() < deadline) {
        run_until(loop_now() + POLL_MS, false);
    }
    if (soak.node[old].pid != 0) {
        soak_violation("node %d did not end within %d ms", old,
                       STOP_TIMEOUT_MS);
    }
    soak.node[old].in_use = false;
    lose_disk(pick_disk(old));
    run_until(loop_now() + CATCH_UP_MS + SOAK_STABLE_MS, false);
    soak_http_check_operator("after a planned replacement");
}

static void
run_planned_replacements(void)
{
    int count = g_rand_int_range(soak.planned_rand, 1, PLANNED_SPARES + 1);

    for (int i = 0; i < count; i++) {
        replace_as_planned(soak.nodes + OUTAGE_SPARES + i);
    }
    run_until(loop_now() + SOAK_STABLE_MS, false);
}

/* Starts nodes, proxy, hosts, callers and operator. */
static void
set_up(unsigned seed)
{
    soak.net = 16 + seed % 200;
    soak.rand = g_rand_new_with_seed(seed);
    soak.extra_rand = g_rand_new_with_seed(seed + 1000000);
    soak.outage_rand = g_rand_new_with_seed(seed + 2000000);
    soak.planned_rand = g_rand_new_with_seed(seed + 3000000);
    soak.started_at = loop_now();
    (void)snprintf(soak.directory, sizeof(soak.directory), "build/soak-%u",
                   seed);
    (void)g_mkdir_with_parents(soak.directory, 0700);
    soak_link_open(address_of(ADDRESS_PROXY, 0), address_of(ADDRESS_NODE, 0),
                   soak.total, PEER_PORT, seed + 1);
    for (int n = 0; n < soak.total; n++) {
        soak.node[n].disk = n < DISKS || n >= soak.nodes;
        if (soak.node[n].disk) {
            wipe_disk(n);
        }
    }
    for (int n = 0; n < soak.nodes; n++) {
        start_node(n, true);
    }
    soak_host_open(address_of(ADDRESS_HOST, 0), address_of(ADDRESS_CALLERS, 0),
                   address_of(ADDRESS_NODE, 0), PACKET_PORT, CONTROL_PORT,
                   seed);
    soak_http_start(address_of(ADDRESS_NODE, 0), soak.total, READY_PORT,
                    CONTROL_PORT);
}

/* Stops everything that was started. */
static void
tear_down(void)
{
    soak_http_stop();
    for (int n = 0; n < soak.total; n++) {
        if (soak.node[n].pid != 0) {
            (void)kill(soak.node[n].pid, SIGKILL);
            (void)waitpid(soak.node[n].pid, NULL, 0);
        }
    }
}

static void
on_signal(int number)
{
    (void)number;
    stop_requested = 1;
}

int
main(int argc, char **argv)
{
    uint64_t seconds = argc > 1 ? strtoull(argv[1], NULL, 10) : 0;
    unsigned seed = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 1;

    soak.nodes =
        argc > 3 ? CLAMP(atoi(argv[3]), DISKS + SEEDS, SOAK_NODES_MAX - SPARES)
                 : 7;
    soak.total = soak.nodes + SPARES;
    if (seconds == 0) {
        (void)fprintf(stderr, "usage: soak SECONDS SEED [NODES]\n");
        return 2;
    }
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)setvbuf(stdout, NULL, _IOLBF, 0);
    set_up(seed);
    run_until(loop_now() + SETTLE_MS, false);
    run_until(loop_now() + seconds * 1000, true);
    run_until(loop_now() + RECOVERY_MS, false);
    run_outage();
    run_planned_replacements();
    /* Without other faults: an upstream paused for a second or more, whose
     * callers retransmit, is taken for lost, and its flows are reset. */
    soak_host_set_burst(true);
    run_until(loop_now() + BURST_MS, false);
    soak_host_set_burst(false);
    soak_host_inject(SOAK_HOST_LEAVE);
    soak_host_inject(SOAK_HOST_LEAVE);
    soak_http_keep_hall_drained();
    run_until(loop_now() + LEAVING_MS, false);
    if (stop_requested) {
        tear_down();
        printf("not ok soak %u: ended by a signal\n", seed);
        return 1;
    }
    soak_http_check();
    tear_down();
    printf("seed %u: %u faults, ", seed, soak.faults);
    soak_http_report();
    soak_host_report();
    printf("%s soak %u: %u broken promises\n",
           soak.violations ? "not ok" : "ok", seed, soak.violations);
    return soak.violations ? 1 : 0;
}
