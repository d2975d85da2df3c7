/*
 * A fault soak of nodes as real processes on loopback. From one seed it kills,
 * stops, pauses and restarts them, loses disks or lets them refuse writes, and
 * delays, drops or cuts what they say to each other; it plays the fabric,
 * callers, upstreams and an operator, and checks while it runs what these see.
 * Here are the processes and the faults; link.c passes what nodes say, http.c
 * plays fabric and operator, host.c callers and upstreams.
 *
 *   build/soak SECONDS SEED [NODES]
 *
 * Prints each fault and each broken promise; exits 1 when one was broken. It
 * ends only processes that it started, by their ids.
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
#include "http.h"
#include "host.h"
#include "link.h"
#include "loop.h"
#include "soak.h"

#define DISKS 3
#define PACKET_PORT 17100
#define READY_PORT 17101
#define CONTROL_PORT 17102
#define PEER_PORT 17103
#define SETTLE_MS 6000 /* from the start to the first fault */
#define LEAVING_MS                                                            \
    6000               /* two upstreams leave while all is calm: no new       \
                          flow may come to them after a while */
#define HEAL_MS 12000  /* after the last fault */
#define STOP_MS 6000   /* a planned stop is done within it */
#define RESTART_MS 200 /* from an end to the next start */
#define WIPED_MS 300   /* the same, when the disk was lost */
#define POLL_MS 2      /* longest wait for a packet */
#define EXIT_NOT_RUN 3 /* of a child that could not become a node */

/* What can happen; drawn by lot. */
enum fault {
    FAULT_KILL,
    FAULT_PAUSE,
    FAULT_STOP, /* planned */
    FAULT_CUT,
    FAULT_LOSS,
    FAULT_DELAY,
    FAULT_WIPE, /* the disk is lost; else it refuses writes */
    FAULT_HOST, /* of an upstream */
    FAULT_COUNT
};

/* One node's process, and the ends of its faults. */
struct node_process {
    pid_t pid;          /* 0: not running */
    bool disk;          /* holds the table */
    bool stopping;      /* was asked to end */
    uint64_t start_at;  /* deadline: start it (again), 0: no */
    uint64_t thaw_at;   /* deadline: let it go on, 0: it is not paused */
    uint64_t heal_at;   /* deadline: its link is whole again */
    uint64_t write_at;  /* deadline: its disk takes writes again, 0: it does */
    uint64_t harmed_at; /* last moment of a fault on it */
};

static struct {
    char folder[128];
    unsigned net; /* second octet of all addresses */
    int nodes;
    struct node_process node[SOAK_NODES_MAX];
    GRand *rand; /* of faults, so that a seed draws the same ones */
    uint64_t began_at;
    GRand *more_rand;   /* of faults that came later, so that they leave the
                           others of a seed as they were */
    uint64_t fault_at;  /* deadline: the next fault */
    uint64_t more_at;   /* deadline: the next of the later ones */
    uint64_t harmed_at; /* last moment of any fault */
    unsigned faults, broken;
} soak;

/* Set by a signal: the soak ends what it started, and itself. */
static volatile sig_atomic_t stop_asked;

/* Notes a broken promise. */
void
soak_broken(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    printf("%8.3f BROKEN ", (double)(loop_now() - soak.began_at) / 1000.0);
    vprintf(format, args);
    printf("\n");
    va_end(args);
    soak.broken++;
}

/* Notes what happens. */
static void
note(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    printf("%8.3f ", (double)(loop_now() - soak.began_at) / 1000.0);
    vprintf(format, args);
    printf("\n");
    va_end(args);
}

/* What an address is of; its third octet. */
enum address_kind {
    ADDRESS_NODE = 1,  /* a node, for itself */
    ADDRESS_PROXY = 2, /* a node, for the others */
    ADDRESS_HOST = 3,
    ADDRESS_CALLERS = 4
};

/* Address of the n-th of a kind. */
static uint32_t
address_of(enum address_kind kind, int n)
{
    return 127U << 24 | soak.net << 16 | (uint32_t)kind << 8 |
           (unsigned)(n + 1);
}

/* Random number below a bound. */
static int
below(int bound)
{
    return g_rand_int_range(soak.rand, 0, bound);
}

/* Opens a UDP socket. */
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

/* Writes the settings of a node. */
static char *
write_settings(int n, bool first_start)
{
    char *path = g_strdup_printf("%s/node-%d.json", soak.folder, n);
    char a[ADDRESS_TEXT], b[ADDRESS_TEXT], c[ADDRESS_TEXT], seeds[256] = "";
    char text[2048];
    char data[192] = "";
    uint32_t own = address_of(ADDRESS_NODE, n);

    for (int i = 0; i < 3; i++) {
        char s[ADDRESS_TEXT];
        size_t used = strlen(seeds);

        (void)snprintf(
            seeds + used, sizeof(seeds) - used, "%s{\"control\": \"%s\"}",
            i ? "," : "",
            address_format(address_of(ADDRESS_PROXY, i), CONTROL_PORT, s));
    }
    if (soak.node[n].disk) {
        (void)snprintf(data, sizeof(data), "%s/data-%d", soak.folder, n);
    }
    (void)snprintf(
        text, sizeof(text),
        "{\"name\": \"node-%d\", \"hall\": \"hall-%d\", \"data\": \"%s\","
        "\"packets\": \"%s\", \"ready\": \"%s\", \"control\": \"%s\","
        "\"advertise\": \"127.%u.2.%d\", \"peer_port\": %d,"
        "\"first_start\": %d, \"registration_interval_ms\": %d,"
        "\"grace_s\": 6, \"seeds\": [%s]}",
        n, n % 3, data, address_format(own, PACKET_PORT, a),
        address_format(own, READY_PORT, b),
        address_format(own, CONTROL_PORT, c), soak.net, n + 1, PEER_PORT,
        first_start, SOAK_INTERVAL_MS, seeds);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    return path;
}

/* Starts a node. */
static void
start_node(int n, bool first_start)
{
    char *settings = write_settings(n, first_start);
    char *log = g_strdup_printf("%s/node-%d.log", soak.folder, n);
    pid_t pid = fork();

    if (pid == 0) {
        if (freopen(log, "a", stdout) == NULL ||
            freopen(log, "a", stderr) == NULL) {
            _exit(EXIT_NOT_RUN);
        }
        (void)execl("build/ridgeridge", "ridgeridge", "node", "--settings",
                    settings, (char *)NULL);
        _exit(EXIT_NOT_RUN);
    }
    soak.node[n].pid = pid;
    soak.node[n].stopping = false;
    soak.node[n].write_at = 0;
    soak.node[n].start_at = 0;
    g_free(settings);
    g_free(log);
}

/* Says whether timed promises hold at a node: long after the last fault. */
bool
soak_is_calm(uint32_t node_address)
{
    int n = (int)(node_address & 255) - 1;
    uint64_t now = loop_now();

    return n >= 0 && n < soak.nodes &&
           now > soak.node[n].harmed_at + SOAK_CALM_MS &&
           now > soak.harmed_at + SOAK_CALM_MS;
}

/* Marks a node as harmed now, until a time. */
static void
harm(int n, uint64_t until)
{
    soak.node[n].harmed_at = MAX(soak.node[n].harmed_at, until);
    soak.harmed_at = MAX(soak.harmed_at, until);
    soak.faults++;
}

/* Loses a disk: only one of them, and only when all others are calm. */
static bool
may_wipe(int n, uint64_t now)
{
    for (int i = 0; i < DISKS; i++) {
        if (i != n && (soak.node[i].pid == 0 || soak.node[i].thaw_at != 0 ||
                       now < soak.node[i].harmed_at + SOAK_CALM_MS)) {
            return false;
        }
    }
    return n < DISKS && now > soak.harmed_at + SOAK_CALM_MS / 2;
}

/* Removes a node's data folder. */
static void
wipe(int n)
{
    static const char *const names[] = {"identity", "vote", "snapshot",
                                        "log",      "lock", "upstreams"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *name =
            g_strdup_printf("%s/data-%d/%s", soak.folder, n, names[i]);

        (void)g_unlink(name);
        g_free(name);
    }
}

/* Lets a node's files grow, or refuses every write that would make one
 * longer, as a full disk does. */
static void
allow_writes(int n, bool allowed)
{
    struct rlimit limit = {.rlim_cur = allowed ? RLIM_INFINITY : 0,
                           .rlim_max = RLIM_INFINITY};

    if (prlimit(soak.node[n].pid, RLIMIT_FSIZE, &limit, NULL) != 0) {
        perror("soak: prlimit");
    }
    soak.node[n].write_at = 0;
}

/* Lets a node's disk refuse writes for a while. */
static void
refuse_writes(int n, uint64_t now, uint64_t for_ms)
{
    if (!soak.node[n].disk || soak.node[n].write_at != 0) {
        return;
    }
    note("refuse writes of node %d for %llu ms", n,
         (unsigned long long)for_ms);
    allow_writes(n, false);
    soak.node[n].write_at = now + for_ms;
    harm(n, now + for_ms);
}

/* Kills a node and loses its disk, when the others can spare it; else the
 * disk refuses writes. */
static void
lose_disk(int n, uint64_t now, uint64_t for_ms)
{
    struct node_process *node = &soak.node[n];

    if (!may_wipe(n, now)) {
        refuse_writes(n, now, for_ms);
        return;
    }
    note("wipe node %d", n);
    (void)kill(node->pid, SIGKILL);
    (void)waitpid(node->pid, NULL, 0);
    node->pid = 0;
    wipe(n);
    node->start_at = now + WIPED_MS;
    harm(n, node->start_at + 1000);
}

/* Harms a node's process for a while. */
static void
harm_process(int n, enum fault fault, uint64_t now, uint64_t for_ms)
{
    struct node_process *node = &soak.node[n];

    if (fault == FAULT_KILL) {
        note("kill node %d, start after %llu ms", n,
             (unsigned long long)for_ms);
        (void)kill(node->pid, SIGKILL);
        node->start_at = now + for_ms;
        harm(n, node->start_at);
        return;
    }
    note("pause node %d for %llu ms", n, (unsigned long long)for_ms);
    (void)kill(node->pid, SIGSTOP);
    node->thaw_at = now + for_ms;
    harm(n, node->thaw_at);
}

/* Harms a node's link for a while. */
static void
harm_link(int n, enum fault fault, uint64_t now, uint64_t for_ms)
{
    struct soak_link *link = soak_link_of(n);

    if (fault == FAULT_CUT) {
        link->cut_in = below(3) != 0;
        link->cut_out = !link->cut_in || below(2) != 0;
        note("cut node %d in=%d out=%d for %llu ms", n, link->cut_in,
             link->cut_out, (unsigned long long)for_ms);
    }
    else if (fault == FAULT_LOSS) {
        link->loss = 10 + (unsigned)below(40);
        note("lose %u%% at node %d", link->loss, n);
    }
    else {
        link->delay_ms = 20 + (unsigned)below(300);
        note("delay %u ms at node %d", link->delay_ms, n);
    }
    soak.node[n].heal_at = now + for_ms;
    harm(n, soak.node[n].heal_at);
}

/* Lets one fault happen. */
static void
inject(uint64_t now)
{
    int n = below(soak.nodes);
    struct node_process *node = &soak.node[n];
    uint64_t for_ms = 200 + (uint64_t)below(3500);
    enum fault fault;

    soak.fault_at = now + 300 + (uint64_t)below(1500);
    if (node->pid == 0 || node->thaw_at != 0 || node->stopping) {
        return;
    }
    fault = (enum fault)below(FAULT_COUNT);
    switch (fault) {
    case FAULT_KILL:
    case FAULT_PAUSE:
        harm_process(n, fault, now, for_ms);
        return;
    case FAULT_STOP:
        note("stop node %d", n);
        (void)kill(node->pid, SIGTERM);
        node->stopping = true;
        harm(n, now + STOP_MS);
        return;
    case FAULT_CUT:
    case FAULT_LOSS:
    case FAULT_DELAY:
        harm_link(n, fault, now, for_ms);
        return;
    case FAULT_WIPE:
        lose_disk(n, now, for_ms);
        return;
    case FAULT_HOST:
    case FAULT_COUNT:
        soak_host_fault(below(SOAK_HOST_FAULTS));
        return;
    }
}

/* Lets a host start again under its id, or cuts two halls from each other. */
static void
inject_more(uint64_t now)
{
    int one = g_rand_int_range(soak.more_rand, 0, SOAK_HALLS);
    uint64_t for_ms = (uint64_t)g_rand_int_range(soak.more_rand, 500, 3000);

    soak.more_at =
        now + (uint64_t)g_rand_int_range(soak.more_rand, 1000, 4000);
    if (g_rand_int_range(soak.more_rand, 0, 2) == 0) {
        soak_host_fault(SOAK_HOST_RESTARTS);
        soak.faults++;
        return;
    }
    note("cut hall %d from hall %d for %llu ms", one, (one + 1) % SOAK_HALLS,
         (unsigned long long)for_ms);
    soak_link_cut_halls(one, (one + 1) % SOAK_HALLS, now + for_ms);
    soak.harmed_at = MAX(soak.harmed_at, now + for_ms);
    soak.faults++;
}

/* Ends faults that are over, and looks after the processes. */
static void
look_after(uint64_t now)
{
    for (int n = 0; n < soak.nodes; n++) {
        struct node_process *node = &soak.node[n];
        int status;

        if (node->thaw_at != 0 && now >= node->thaw_at) {
            node->thaw_at = 0;
            (void)kill(node->pid, SIGCONT);
        }
        if (node->pid != 0 && node->write_at != 0 && now >= node->write_at) {
            allow_writes(n, true);
        }
        if (node->heal_at != 0 && now >= node->heal_at) {
            node->heal_at = 0;
            *soak_link_of(n) = (struct soak_link){0};
        }
        if (node->pid != 0 && waitpid(node->pid, &status, WNOHANG) > 0) {
            if (!node->stopping && node->start_at == 0) {
                soak_broken("node %d ended by itself, status %d", n, status);
            }
            node->start_at =
                node->start_at ? node->start_at : now + RESTART_MS;
            node->pid = 0;
        }
        if (node->pid == 0 && node->start_at != 0 && now >= node->start_at) {
            start_node(n, false);
            harm(n, now);
        }
    }
}

/* Runs packets, the proxy and faults until a time. */
static void
run_until(uint64_t until, bool faults)
{
    struct pollfd fds[SOAK_NODES_MAX + SOAK_HOSTS + 1];

    while (loop_now() < until && !stop_asked) {
        uint64_t now = loop_now();
        nfds_t count = 0;

        count += soak_link_poll(fds);
        count += soak_host_poll(fds + count);
        (void)poll(fds, count, POLL_MS);
        soak_link_run();
        soak_host_run(loop_now());
        look_after(now);
        if (faults && now >= soak.fault_at) {
            inject(now);
        }
        if (faults && now >= soak.more_at) {
            inject_more(now);
        }
    }
}

/* Starts everything. */
static void
set_up(unsigned seed)
{
    soak.net = 16 + seed % 200;
    soak.rand = g_rand_new_with_seed(seed);
    soak.more_rand = g_rand_new_with_seed(seed + 1000000);
    soak.began_at = loop_now();
    (void)snprintf(soak.folder, sizeof(soak.folder), "build/soak-%u", seed);
    (void)g_mkdir_with_parents(soak.folder, 0700);
    soak_link_open(address_of(ADDRESS_PROXY, 0), address_of(ADDRESS_NODE, 0),
                   soak.nodes, PEER_PORT, seed + 1);
    for (int n = 0; n < soak.nodes; n++) {
        soak.node[n].disk = n < DISKS;
        if (soak.node[n].disk) {
            wipe(n);
        }
    }
    for (int n = 0; n < soak.nodes; n++) {
        start_node(n, true);
    }
    soak_host_open(address_of(ADDRESS_HOST, 0), address_of(ADDRESS_CALLERS, 0),
                   address_of(ADDRESS_NODE, 0), soak.nodes, PACKET_PORT,
                   CONTROL_PORT, seed);
    soak_ask_open(address_of(ADDRESS_NODE, 0), soak.nodes, READY_PORT,
                  CONTROL_PORT);
}

/* Ends what was started. */
static void
tear_down(void)
{
    soak_ask_end();
    for (int n = 0; n < soak.nodes; n++) {
        if (soak.node[n].pid != 0) {
            (void)kill(soak.node[n].pid, SIGKILL);
            (void)waitpid(soak.node[n].pid, NULL, 0);
        }
    }
}

/* A signal asks the soak to end. */
static void
on_signal(int number)
{
    (void)number;
    stop_asked = 1;
}

/* Runs the soak. */
int
main(int argc, char **argv)
{
    uint64_t seconds = argc > 1 ? strtoull(argv[1], NULL, 10) : 0;
    unsigned seed = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 1;

    soak.nodes = argc > 3 ? CLAMP(atoi(argv[3]), DISKS, SOAK_NODES_MAX) : 7;
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
    run_until(loop_now() + HEAL_MS, false);
    soak_host_fault(SOAK_HOST_LEAVES);
    soak_host_fault(SOAK_HOST_LEAVES);
    soak_ask_hold_hall();
    run_until(loop_now() + LEAVING_MS, false);
    if (stop_asked) {
        tear_down();
        printf("not ok soak %u: ended by a signal\n", seed);
        return 1;
    }
    soak_ask_check();
    tear_down();
    printf("seed %u: %u faults, ", seed, soak.faults);
    soak_ask_report();
    soak_host_report();
    printf("%s soak %u: %u broken promises\n", soak.broken ? "not ok" : "ok",
           seed, soak.broken);
    return soak.broken ? 1 : 0;
}
