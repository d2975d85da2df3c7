/*
 * Simulated callers. "flows" opens TCP or UDP flows through the fabric, sends
 * on them at random and counts broken ones: reset, or answered by another
 * upstream than before. "requests" sends requests with idempotency keys to
 * random entries, some of them twice concurrently, and writes their outcomes
 * to a file.
 *
 * usage: standin-caller flows ADDRESS FABRIC SERVICE:PORT tcp|udp COUNT
 *                       SECONDS
 *        standin-caller requests ENTRIES-FILE PORT HOST THREADS SECONDS
 *                       PAUSE-MS OUTCOMES-FILE
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "packet.h"

#define FABRIC_PORT 6081
#define TCP_SYN 0x02
#define TCP_ACK 0x10
#define PAYLOAD 32
#define NAME 16
#define SYN_RETRY_MS 1000
#define ENTRIES_MAX 64
#define UPSTREAMS_MAX 64

/* ---- flows ---- */

enum flow_state { FLOW_OPENING, FLOW_OPEN, FLOW_BROKEN };

/* A flow of a caller. */
struct caller_flow {
    enum flow_state state;
    uint64_t syn_at;
    char upstream[NAME];
};

static struct {
    int fd;
    uint32_t address;
    uint32_t service;
    uint16_t port;
    bool tcp;
    struct sockaddr_in fabric;
    struct caller_flow *flows;
    int count;
    unsigned long sent;
    unsigned long received;
    unsigned long corrupt;
    int broken;
} caller;

static uint64_t
now_ms(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void
put16(uint8_t *at, unsigned value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
put32(uint8_t *at, uint32_t value)
{
    put16(at, value >> 16);
    put16(at + 2, value & 0xffff);
}

static void
send_flow(int index, uint8_t flags)
{
    uint8_t buffer[PACKET_HEADROOM + 128] = {0};
    uint8_t *ip = buffer + PACKET_HEADROOM;
    size_t header = caller.tcp ? 20 : 8;
    size_t total = 20 + header + PAYLOAD;
    struct packet packet = {.ip = ip, .length = total};
    size_t length;
    uint8_t *at;

    ip[0] = 0x45;
    put16(ip + 2, (unsigned)total);
    ip[8] = 64;
    ip[9] = caller.tcp ? PACKET_TCP : PACKET_UDP;
    put32(ip + 12, caller.address);
    put32(ip + 16, caller.service);
    put16(ip + 20, (unsigned)(10000 + index));
    put16(ip + 22, caller.port);
    if (caller.tcp) {
        ip[32] = 0x50;
        ip[33] = flags;
    }
    else {
        put16(ip + 24, (unsigned)(header + PAYLOAD));
    }
    packet_fill_checksums(ip, total);
    at = packet_encapsulate(&packet, NULL, &length);
    (void)sendto(caller.fd, at, length, 0, (struct sockaddr *)&caller.fabric,
                 sizeof(caller.fabric));
    caller.sent++;
}

/* Sends on an open flow; repeats the SYN of one that is opening. */
static void
send_on_flow(int index, uint64_t now)
{
    struct caller_flow *flow = &caller.flows[index];

    if (flow->state == FLOW_BROKEN) {
        return;
    }
    if (flow->state == FLOW_OPENING) {
        if (now >= flow->syn_at) {
            flow->syn_at = now + SYN_RETRY_MS;
            send_flow(index, TCP_SYN);
        }
        return;
    }
    send_flow(index, TCP_ACK);
}

/* Counts and reports a broken flow. */
static void
fail_flow(struct caller_flow *flow, int index, const char *why)
{
    flow->state = FLOW_BROKEN;
    caller.broken++;
    (void)fprintf(stderr, "broken flow=%s:%d why=%s upstream=%s\n", "caller",
                  10000 + index, why, flow->upstream);
}

/* Handles a reply packet. */
static void
handle_reply(uint8_t *bytes, size_t length)
{
    struct packet packet;
    struct caller_flow *flow;
    const char *name;
    int index;

    if (!packet_parse(bytes, length, &packet) ||
        packet.source != caller.service || packet.source_port != caller.port ||
        !packet_checksums_valid(packet.ip, packet.length)) {
        caller.corrupt++;
        return;
    }
    index = packet.destination_port - 10000;
    if (index < 0 || index >= caller.count) {
        caller.corrupt++;
        return;
    }
    flow = &caller.flows[index];
    caller.received++;
    name = (const char *)packet.ip + packet.length - NAME;
    if (flow->state == FLOW_OPENING) {
        flow->state = FLOW_OPEN;
        memcpy(flow->upstream, name, NAME);
        return;
    }
    if (flow->state == FLOW_OPEN && caller.tcp && packet.closing) {
        fail_flow(flow, index, "reset");
    }
    else if (flow->state == FLOW_OPEN &&
             strncmp(flow->upstream, name, NAME) != 0) {
        fail_flow(flow, index, "moved");
    }
}

static void
drain_replies(void)
{
    uint8_t buffer[PACKET_MAX];
    ssize_t n;

    while ((n = recv(caller.fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
        handle_reply(buffer, (size_t)n);
    }
}

/* Prints the counters and the ratio of the busiest upstream to the mean. */
static void
print_flows(void)
{
    GHashTable *flows_by_upstream = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    int open = 0;
    int max = 0;

    for (int i = 0; i < caller.count; i++) {
        char *name = caller.flows[i].upstream;

        if (caller.flows[i].state == FLOW_OPENING) {
            continue;
        }
        open++;
        g_hash_table_insert(
            flows_by_upstream, name,
            GINT_TO_POINTER(
                GPOINTER_TO_INT(g_hash_table_lookup(flows_by_upstream, name)) +
                1));
    }
    g_hash_table_iter_init(&iter, flows_by_upstream);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        max = MAX(max, GPOINTER_TO_INT(value));
    }
    (void)printf(
        "flows=%d opened=%d broken=%d sent=%lu received=%lu "
        "corrupt=%lu upstreams=%u imbalance=%.2f\n",
        caller.count, open, caller.broken, caller.sent, caller.received,
        caller.corrupt, g_hash_table_size(flows_by_upstream),
        open ? (double)max * g_hash_table_size(flows_by_upstream) / open
             : 0.0);
    g_hash_table_destroy(flows_by_upstream);
}

/* Opens flows over the first three fifths of the time and sends on them
 * until its end. Returns the exit status. */
static int
run_flows(char **argv)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(FABRIC_PORT),
                             .sin_addr.s_addr = inet_addr(argv[2])};
    char **service = g_strsplit(argv[4], ":", 2);
    uint64_t started = now_ms();
    uint64_t length = (uint64_t)atoi(argv[7]) * 1000;
    int size = 8 * 1024 * 1024;

    caller.fd = socket(AF_INET, SOCK_DGRAM, 0);
    caller.address = ntohl(at.sin_addr.s_addr);
    caller.fabric = at;
    caller.fabric.sin_addr.s_addr = inet_addr(argv[3]);
    caller.service = ntohl(inet_addr(service[0]));
    caller.port = (uint16_t)atoi(service[1]);
    caller.tcp = strcmp(argv[5], "tcp") == 0;
    caller.count = atoi(argv[6]);
    caller.flows = g_new0(struct caller_flow, caller.count);
    (void)setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(caller.fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("standin-caller: bind");
        return 2;
    }
    while (now_ms() < started + length) {
        uint64_t now = now_ms();
        uint64_t elapsed = now - started;
        int open_count =
            (int)((uint64_t)caller.count * elapsed / (length * 3 / 5));

        open_count = MIN(open_count, caller.count);
        for (int i = 0; i < 40 && open_count > 0; i++) {
            send_on_flow((int)(random() % open_count), now);
        }
        drain_replies();
        g_usleep(2000);
    }
    g_usleep(100000);
    drain_replies();
    print_flows();
    g_strfreev(service);
    return caller.broken > 0 || caller.corrupt > 0;
}

/* ---- requests ---- */

static struct {
    const char *entries;
    int port;
    const char *host;
    uint64_t end;
    int pause_ms;
    FILE *outcomes;
    GMutex lock;
    int answered;
    int not_run;
    int unknown;
    int wrong;
    int refused_slow;
} request_load;

/* Write callback of libcurl. */
static size_t
append_body(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

/* Picks a random address from the entries file. */
static bool
pick_entry(char *out, size_t size)
{
    char lines[ENTRIES_MAX][64];
    size_t count = 0;
    FILE *file = fopen(request_load.entries, "re");

    if (file == NULL) {
        return false;
    }
    while (count < ENTRIES_MAX && fgets(lines[count], 64, file) != NULL) {
        g_strstrip(lines[count++]);
    }
    (void)fclose(file);
    if (count == 0) {
        return false;
    }
    (void)g_strlcpy(out, lines[g_random_int_range(0, (gint)count)], size);
    return true;
}

/* Sends a request; returns the HTTP status, 0 on a timeout or connection
 * error. */
static long
send_request(const char *key, const char *body, GString *response)
{
    struct curl_slist *headers = NULL;
    CURL *curl = curl_easy_init();
    char entry[64];
    char line[256];
    long status = 0;

    if (!pick_entry(entry, sizeof(entry))) {
        curl_easy_cleanup(curl);
        return 0;
    }
    (void)snprintf(line, sizeof(line), "http://%s:%d/save", entry,
                   request_load.port);
    (void)curl_easy_setopt(curl, CURLOPT_URL, line);
    (void)snprintf(line, sizeof(line), "Host: %s", request_load.host);
    headers = curl_slist_append(headers, line);
    (void)snprintf(line, sizeof(line), "Idempotency-Key: %s", key);
    headers = curl_slist_append(headers, line);
    headers = curl_slist_append(headers, "Content-Type: text/plain");
    (void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 15000L);
    (void)curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 500L);
    (void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    if (curl_easy_perform(curl) == CURLE_OK) {
        (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return status;
}

#define TITLE 32

/* Parses the title of a problem document (RFC 9457). */
static const char *
parse_title(const char *response, char title[TITLE])
{
    const char *at = strstr(response, "\"title\": \"");

    title[0] = '\0';
    if (at != NULL) {
        (void)sscanf(at, "\"title\": \"%31[a-z-]", title);
    }
    return title;
}

/* Counts an outcome and writes it to the outcomes file. */
static void
record_outcome(const char *key, long status, const char *response)
{
    const char *outcome = "unknown";
    bool own_body = strstr(response, key) != NULL;
    char title[TITLE];

    g_mutex_lock(&request_load.lock);
    if (status == 200) {
        outcome = own_body ? "answered" : "wrong";
        request_load.answered += own_body;
        request_load.wrong += !own_body;
    }
    else if (strstr(response, "\"not-run\"") != NULL) {
        outcome = "not-run";
        request_load.not_run++;
    }
    else {
        request_load.unknown++;
    }
    (void)fprintf(request_load.outcomes, "%s %s %ld %s\n", outcome, key,
                  status, status == 200 ? "" : parse_title(response, title));
    g_mutex_unlock(&request_load.lock);
}

/* A request sent concurrently with another of the same key. */
struct duplicate_request {
    const char *key;
    const char *body;
    GString *response;
    long status;
};

static gpointer
send_duplicate(gpointer data)
{
    struct duplicate_request *duplicate = data;

    duplicate->status =
        send_request(duplicate->key, duplicate->body, duplicate->response);
    return NULL;
}

/* Sends a request twice concurrently. Different bodies, or a success and a
 * "not-run", count as a wrong response. */
static void
send_concurrently(const char *key, const char *body)
{
    struct duplicate_request duplicate = {.key = key, .body = body};
    GString *response = g_string_new("");
    GThread *thread;
    long status;
    bool outcomes_differ;
    bool bodies_differ;

    duplicate.response = g_string_new("");
    thread = g_thread_new("twin", send_duplicate, &duplicate);
    status = send_request(key, body, response);
    (void)g_thread_join(thread);
    outcomes_differ = status != 0 && duplicate.status != 0 &&
                      (status == 200) != (duplicate.status == 200) &&
                      (strstr(response->str, "\"not-run\"") != NULL ||
                       strstr(duplicate.response->str, "\"not-run\"") != NULL);
    bodies_differ = status == 200 && duplicate.status == 200 &&
                    strcmp(response->str, duplicate.response->str) != 0;
    if (outcomes_differ || bodies_differ) {
        record_outcome(key, 200, "");
    }
    else {
        record_outcome(key, MAX(status, duplicate.status),
                       status >= duplicate.status ? response->str
                                                  : duplicate.response->str);
    }
    g_string_free(response, TRUE);
    g_string_free(duplicate.response, TRUE);
}

/* Thread that sends requests until the end. A request without a response is
 * retried with the same key, up to 20 attempts; one answered request in ten
 * is repeated and must get the same body. */
static gpointer
run_worker(gpointer data)
{
    int worker = GPOINTER_TO_INT(data);

    for (int i = 0; now_ms() < request_load.end; i++) {
        GString *response = g_string_new("");
        char key[64];
        char body[80];
        long status = 0;

        (void)snprintf(key, sizeof(key), "key-%d-%d-%d", (int)getpid(), worker,
                       i);
        (void)snprintf(body, sizeof(body), "form of %s", key);
        for (int try = 0; try < 20 && status == 0; try++) {
            if (try > 0) {
                g_usleep(200000);
            }
            g_string_truncate(response, 0);
            status = send_request(key, body, response);
        }
        record_outcome(key, status, response->str);
        if (i % 10 == 0 && status == 200) {
            GString *repeated = g_string_new("");
            long repeated_status = send_request(key, body, repeated);

            if (repeated_status == 200 &&
                strcmp(repeated->str, response->str) != 0) {
                record_outcome(key, 200, "");
            }
            g_string_free(repeated, TRUE);
        }
        g_string_free(response, TRUE);
        if (i % 5 == 0) {
            (void)snprintf(key, sizeof(key), "twin-%d-%d-%d", (int)getpid(),
                           worker, i);
            send_concurrently(key, body);
        }
        g_usleep((gulong)request_load.pause_ms * 1000);
    }
    return NULL;
}

/* Runs the threads and prints the counters. Returns the exit status. */
static int
run_requests(char **argv)
{
    int threads = atoi(argv[5]);
    GThread **workers = g_new(GThread *, threads);

    request_load.entries = argv[2];
    request_load.port = atoi(argv[3]);
    request_load.host = argv[4];
    request_load.end = now_ms() + (uint64_t)atoi(argv[6]) * 1000;
    request_load.pause_ms = atoi(argv[7]);
    request_load.outcomes = fopen(argv[8], "we");
    if (request_load.outcomes == NULL) {
        perror("standin-caller");
        g_free(workers);
        return 2;
    }
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    for (int i = 0; i < threads; i++) {
        workers[i] = g_thread_new("caller", run_worker, GINT_TO_POINTER(i));
    }
    for (int i = 0; i < threads; i++) {
        (void)g_thread_join(workers[i]);
    }
    (void)fclose(request_load.outcomes);
    (void)printf("requests=%d answered=%d not_run=%d unknown=%d wrong=%d\n",
                 request_load.answered + request_load.not_run +
                     request_load.unknown + request_load.wrong,
                 request_load.answered, request_load.not_run,
                 request_load.unknown, request_load.wrong);
    g_free(workers);
    return request_load.wrong > 0;
}

int
main(int argc, char **argv)
{
    if (argc == 8 && strcmp(argv[1], "flows") == 0) {
        return run_flows(argv);
    }
    if (argc == 9 && strcmp(argv[1], "requests") == 0) {
        return run_requests(argv);
    }
    (void)fprintf(stderr, "usage: standin-caller flows|requests ...\n");
    return 2;
}
