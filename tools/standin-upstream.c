/*
 * Simulated upstream VM. Serves flows through the fabric from a connection
 * table and resets packets of unknown connections. Serves HTTP requests with a
 * limited number of slots (429 when all are taken), a warmup after the start,
 * truncated and large bodies on demand, a health page that is always good and
 * a load page with outdated values. Appends the key of each executed request
 * to a file.
 *
 * usage: standin-upstream NAME ADDRESS FABRIC FLOW-PORT HTTP-PORT SLOTS
 *                         SERVICE-MS RUNS-FILE
 */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <ulfius.h>
#include <unistd.h>

#include "packet.h"

#define FABRIC_PORT 6081
#define WARMUP_SECONDS 2
#define TRUNCATED_LENGTH 1000
#define LARGE_LENGTH 40000 /* above the limit of a recorded response */
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10

static volatile sig_atomic_t running = 1;

static struct {
    const char *name;
    uint32_t address;
    struct sockaddr_in fabric;
    int fd;
    uint16_t flow_port;
    int slots;
    int service_ms;
    int busy;
    time_t started;
    FILE *runs;
    GMutex lock;
    GHashTable *connections;
    unsigned long resets;
    unsigned long misdelivered;
    unsigned long sheds;
} self;

static void
on_signal(int number)
{
    (void)number;
    running = 0;
}

static void
swap_endpoints(struct packet *packet)
{
    uint32_t source = packet->source;
    uint16_t source_port = packet->source_port;

    packet_set_source(packet, packet->destination, packet->destination_port);
    packet_set_destination(packet, source, source_port);
}

/* Sends a packet to the fabric. */
static void
send_packet(struct packet *packet)
{
    size_t length;
    uint8_t *at;

    packet_fill_checksums(packet->ip, packet->length);
    at = packet_encapsulate(packet, NULL, &length);
    (void)sendto(self.fd, at, length, 0, (struct sockaddr *)&self.fabric,
                 sizeof(self.fabric));
}

/* Overwrites the end of the payload with this upstream's name. */
static void
write_name(struct packet *packet)
{
    char name[16] = "";

    (void)g_strlcpy(name, self.name, sizeof(name));
    if (packet->length >= sizeof(name) + 56) {
        memcpy(packet->ip + packet->length - sizeof(name), name, sizeof(name));
    }
}

/* Handles a TCP segment: accepts SYNs, resets unknown connections. */
static void
handle_tcp(struct packet *packet)
{
    gpointer key =
        GSIZE_TO_POINTER(((gsize)packet->source << 16) | packet->source_port);
    bool has_connection = g_hash_table_contains(self.connections, key);

    if (packet->first) {
        g_hash_table_add(self.connections, key);
        packet->transport[13] = TCP_SYN | TCP_ACK;
    }
    else if (!has_connection) {
        self.resets++;
        packet->transport[13] = TCP_RST;
    }
    else {
        if (packet->closing) {
            g_hash_table_remove(self.connections, key);
        }
        packet->transport[13] = TCP_ACK;
    }
    swap_endpoints(packet);
    write_name(packet);
    send_packet(packet);
}

/* Handles a packet from the fabric. */
static void
handle_packet(uint8_t *bytes, size_t length)
{
    struct packet packet;

    if (!packet_parse(bytes, length, &packet)) {
        return;
    }
    if (packet.destination_port != self.flow_port ||
        packet.destination != self.address ||
        !packet_checksums_valid(packet.ip, packet.length)) {
        self.misdelivered++;
        return;
    }
    if (packet.protocol == PACKET_TCP) {
        handle_tcp(&packet);
        return;
    }
    swap_endpoints(&packet);
    write_name(&packet);
    send_packet(&packet);
}

/* Body callback: fails after the first bytes, so that the connection
 * closes. */
static ssize_t
stream_truncated(void *unused, uint64_t offset, char *out, size_t max)
{
    (void)unused;
    if (offset > 0) {
        return U_STREAM_ERROR;
    }
    memset(out, 'c', MIN(max, 10));
    return (ssize_t)MIN(max, 10);
}

/* Responds by target: /cut truncated, /large with LARGE_LENGTH bytes, else
 * JSON. */
static void
respond(const struct _u_request *request, struct _u_response *response,
        const char *key)
{
    char *body;

    if (g_str_has_suffix(request->http_url, "/cut")) {
        (void)ulfius_set_stream_response(response, 200, &stream_truncated,
                                         NULL, TRUNCATED_LENGTH,
                                         TRUNCATED_LENGTH, NULL);
        return;
    }
    if (g_str_has_suffix(request->http_url, "/large")) {
        body = g_strnfill(LARGE_LENGTH, 'l');
    }
    else {
        body = g_strdup_printf("{\"upstream\": \"%s\", \"key\": \"%s\", "
                               "\"target\": \"%s\"}",
                               self.name, key ? key : "", request->http_url);
    }
    (void)ulfius_set_string_body_response(response, 200, body);
    (void)u_map_put(response->map_header, "Content-Type", "application/json");
    g_free(body);
}

/* Handles a request: 429 without a free slot or after the deadline. */
static int
on_request(const struct _u_request *request, struct _u_response *response,
           void *unused)
{
    const char *key = u_map_get_case(request->map_header, "Idempotency-Key");
    const char *deadline =
        u_map_get_case(request->map_header, "Request-Deadline");
    bool warming_up = time(NULL) < self.started + WARMUP_SECONDS;

    (void)unused;
    if (deadline != NULL &&
        strtoll(deadline, NULL, 10) * 1000 < g_get_real_time()) {
        (void)ulfius_set_string_body_response(response, 429, "too late");
        return U_CALLBACK_COMPLETE;
    }
    if (g_atomic_int_add(&self.busy, 1) >= self.slots) {
        (void)g_atomic_int_add(&self.busy, -1);
        self.sheds++;
        (void)ulfius_set_string_body_response(response, 429, "shed");
        return U_CALLBACK_COMPLETE;
    }
    if (key != NULL) {
        g_mutex_lock(&self.lock);
        (void)fprintf(self.runs, "%s\n", key);
        (void)fflush(self.runs);
        g_mutex_unlock(&self.lock);
    }
    g_usleep((gulong)self.service_ms * 1000 * (warming_up ? 3 : 1));
    respond(request, response, key);
    (void)g_atomic_int_add(&self.busy, -1);
    return U_CALLBACK_COMPLETE;
}

/* Always healthy, also under overload. */
static int
on_health(const struct _u_request *request, struct _u_response *response,
          void *unused)
{
    (void)request;
    (void)unused;
    (void)ulfius_set_string_body_response(response, 200, "ok");
    return U_CALLBACK_COMPLETE;
}

/* Returns the busy slots of up to ten seconds ago. */
static int
on_load(const struct _u_request *request, struct _u_response *response,
        void *unused)
{
    static int reported;
    static time_t at;
    char text[32];

    (void)request;
    (void)unused;
    (void)snprintf(text, sizeof(text), "%d", reported);
    if (time(NULL) >= at + 10) {
        at = time(NULL);
        reported = g_atomic_int_get(&self.busy);
    }
    (void)ulfius_set_string_body_response(response, 200, text);
    return U_CALLBACK_COMPLETE;
}

static bool
open_flows(const char *address, const char *fabric)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(FABRIC_PORT),
                             .sin_addr.s_addr = inet_addr(address)};
    struct timeval timeout = {.tv_usec = 100000};
    int size = 4 * 1024 * 1024;

    self.fabric = (struct sockaddr_in){.sin_family = AF_INET,
                                       .sin_port = htons(FABRIC_PORT),
                                       .sin_addr.s_addr = inet_addr(fabric)};
    self.address = ntohl(inet_addr(address));
    self.fd = socket(AF_INET, SOCK_DGRAM, 0);
    (void)setsockopt(self.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    (void)setsockopt(self.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof(timeout));
    return bind(self.fd, (struct sockaddr *)&at, sizeof(at)) == 0;
}

int
main(int argc, char **argv)
{
    static uint8_t buffer[PACKET_HEADROOM + PACKET_MAX];
    struct sockaddr_in http_at = {.sin_family = AF_INET};
    struct _u_instance http;

    if (argc != 9) {
        (void)fprintf(stderr, "usage: standin-upstream NAME ADDRESS FABRIC "
                              "FLOW-PORT HTTP-PORT SLOTS SERVICE-MS RUNS\n");
        return 2;
    }
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    self.name = argv[1];
    self.flow_port = (uint16_t)atoi(argv[4]);
    self.slots = atoi(argv[6]);
    self.service_ms = atoi(argv[7]);
    self.runs = fopen(argv[8], "ae");
    self.started = time(NULL);
    self.connections = g_hash_table_new(NULL, NULL);
    http_at.sin_port = htons((uint16_t)atoi(argv[5]));
    http_at.sin_addr.s_addr = inet_addr(argv[2]);
    if (self.runs == NULL || !open_flows(argv[2], argv[3]) ||
        ulfius_init_instance(&http, (unsigned)atoi(argv[5]), &http_at, NULL) !=
            U_OK) {
        perror("standin-upstream");
        return 2;
    }
    (void)ulfius_add_endpoint_by_val(&http, "GET", NULL, "/health", 0,
                                     &on_health, NULL);
    (void)ulfius_add_endpoint_by_val(&http, "GET", NULL, "/load", 0, &on_load,
                                     NULL);
    (void)ulfius_set_default_endpoint(&http, &on_request, NULL);
    if (ulfius_start_framework(&http) != U_OK) {
        return 2;
    }
    while (running) {
        ssize_t n = recv(self.fd, buffer + PACKET_HEADROOM, PACKET_MAX, 0);

        if (n > 0) {
            handle_packet(buffer + PACKET_HEADROOM, (size_t)n);
        }
    }
    (void)ulfius_stop_framework(&http);
    (void)printf("upstream=%s connections=%u resets=%lu misdelivered=%lu "
                 "sheds=%lu\n",
                 self.name, g_hash_table_size(self.connections), self.resets,
                 self.misdelivered, self.sheds);
    return 0;
}
