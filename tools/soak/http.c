/*
 * HTTP clients of the soak. The operator writes and reads routing tables at
 * random nodes and follows redirects; a read must not return a version older
 * than the last acknowledged write. The fabric probes readiness and does not
 * forward to nodes that fail.
 */
#include "http.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>

#include "address.h"
#include "host.h"
#include "loop.h"
#include "platform/standin/standin.h"
#include "soak.h"

#define REQUEST_TIMEOUT_MS 1000
#define OPERATOR_INTERVAL_MS 200 /* between requests of the operator */
#define PROBE_INTERVAL_MS 500    /* between readiness probes of a node */
#define PROBE_FAILURES_MAX 2 /* consecutive ones until a node is not ready */
#define HALL_ORDER_PERIOD 5  /* operator requests per hall order */
#define REDIRECTS_MAX 3      /* followed by the operator */
#define APPLY_MS 3000        /* an acknowledged table is in force */
#define ACKS_MAX 64          /* acknowledgements kept, for APPLY_MS */

/* An acknowledged version of the table. */
struct ack {
    uint64_t version;
    uint64_t at;
};

/* Result of a node's readiness probes. */
struct probed_node {
    unsigned failed_probes; /* consecutive */
    bool ready;             /* receives packets */
};

static struct {
    struct probed_node node[SOAK_NODES_MAX];
    int node_count;
    uint32_t first_node; /* address; the others follow */
    uint16_t ready_port, control_port;
    uint64_t last_version;     /* of the last PUT */
    uint64_t acked;            /* highest acknowledged version */
    struct ack acks[ACKS_MAX]; /* ring */
    size_t ack_count;          /* ever */
    uint64_t put_at;           /* last acknowledged PUT */
    uint64_t read_at;          /* last answered GET */
    unsigned puts, reads, hall_orders;
    int hall;             /* that the operator drains */
    bool drain_pending;   /* drain sent and not yet undone */
    bool undrain_pending; /* undrain sent but not yet acknowledged */
    bool keep_drained;    /* no undrain */
    uint64_t drained_at;  /* acknowledgement, 0: not drained */
    bool stopping;        /* ends the threads */
    GMutex lock; /* of last_version, acked, acks, puts, put_at, keep_drained,
                    drained_at */
} client;

static uint32_t
node_address(int n)
{
    return client.first_node + (uint32_t)n;
}

/* Rendezvous hashing over ready nodes; any node when none is ready. */
uint32_t
soak_http_pick_node(uint32_t hash)
{
    int ready = 0;
    int best = (int)(hash % (unsigned)client.node_count);
    uint32_t best_rank = 0;

    for (int n = 0; n < client.node_count; n++) {
        uint32_t rank = (hash + (uint32_t)n * 0x9e3779b9U) * 0x85ebca6bU;

        if (client.node[n].ready && (ready == 0 || rank > best_rank)) {
            best = n;
            best_rank = rank;
        }
        ready += client.node[n].ready;
    }
    return node_address(best);
}

bool
soak_http_is_ready(int n)
{
    return client.node[n].ready;
}

/* Write callback of libcurl. */
static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

long
soak_http_request(const char *method, uint32_t address, uint16_t port,
                  const char *path, const char *body, GString *answer,
                  uint32_t *redirect)
{
    char endpoint[ADDRESS_TEXT];
    char *url = g_strdup_printf("http://%s%s",
                                address_format(address, port, endpoint), path);
    CURL *curl = curl_easy_init();
    char *location = NULL;
    long status = 0;

    (void)curl_easy_setopt(curl, CURLOPT_URL, url);
    (void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
    (void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    if (body != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        (void)curl_easy_getinfo(curl, CURLINFO_REDIRECT_URL, &location);
        if (redirect != NULL && location != NULL) {
            unsigned last = 0;

            (void)sscanf(location, "http://127.%*u.2.%u", &last);
            *redirect = node_address((int)last - 1);
        }
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return status;
}

/* Sends an operator's request to a random node, following redirects. */
static long
send_operator_request(const char *method, const char *path, const char *body,
                      GString *answer)
{
    uint32_t node = node_address(soak_random_node());
    long status = 0;

    for (int hops = 0; hops < REDIRECTS_MAX; hops++) {
        uint32_t redirect = 0;

        g_string_truncate(answer, 0);
        status = soak_http_request(method, node, client.control_port, path,
                                   body, answer, &redirect);
        if (status != 307 || redirect == 0) {
            break;
        }
        node = redirect;
    }
    return status;
}

/* Sends either a GET, or a PUT of the next version. */
static void
put_or_get_table(void)
{
    GString *answer = g_string_new(NULL);
    uint64_t acked;
    char *body;

    g_mutex_lock(&client.lock);
    acked = client.acked;
    g_mutex_unlock(&client.lock);
    if (g_random_int() % 2 == 0) {
        g_mutex_lock(&client.lock);
        client.last_version = MAX(client.last_version, acked) + 1;
        g_mutex_unlock(&client.lock);
        body = soak_routing_table(client.last_version);
        if (send_operator_request("PUT", STANDIN_TABLE_PATH, body, answer) ==
            200) {
            g_mutex_lock(&client.lock);
            client.acked = MAX(client.acked, client.last_version);
            client.acks[client.ack_count++ % ACKS_MAX] =
                (struct ack){.version = client.last_version, .at = loop_now()};
            client.puts++;
            client.put_at = loop_now();
            g_mutex_unlock(&client.lock);
        }
        g_free(body);
    }
    else if (send_operator_request("GET", STANDIN_TABLE_PATH, NULL, answer) ==
             200) {
        unsigned long long read = 0;

        (void)sscanf(answer->str, STANDIN_VERSION_FORMAT, &read);
        client.reads++;
        client.read_at = loop_now();
        if (read < acked) {
            soak_violation(
                "GET returned version %llu after %llu was acknowledged", read,
                (unsigned long long)acked);
        }
    }
    g_string_free(answer, TRUE);
}

void
soak_http_versions_in_force(uint64_t *oldest, uint64_t *newest)
{
    *oldest = 0;
    g_mutex_lock(&client.lock);
    for (size_t i = 0; i < MIN(client.ack_count, ACKS_MAX); i++) {
        if (loop_now() > client.acks[i].at + APPLY_MS) {
            *oldest = MAX(*oldest, client.acks[i].version);
        }
    }
    *newest = client.last_version;
    g_mutex_unlock(&client.lock);
}

static void
set_drained_at(uint64_t at)
{
    g_mutex_lock(&client.lock);
    client.drained_at = at;
    g_mutex_unlock(&client.lock);
}

/* Drains a random hall or undrains the drained one. An order without an
 * acknowledgement is repeated. */
static void
send_hall_order(void)
{
    GString *answer = g_string_new(NULL);
    char name[32];
    char path[STANDIN_PATH_MAX];
    bool keep_drained;
    bool done;

    g_mutex_lock(&client.lock);
    keep_drained = client.keep_drained;
    done = client.drained_at != 0;
    g_mutex_unlock(&client.lock);
    if (!client.drain_pending) {
        client.hall = (int)(g_random_int() % SOAK_HALLS);
        client.drain_pending = true;
        done = false;
    }
    (void)snprintf(name, sizeof(name), SOAK_HALL_FORMAT, client.hall);
    (void)snprintf(path, sizeof(path), STANDIN_HALL_PATH, name);
    if (!done && !client.undrain_pending) {
        if (send_operator_request("POST", path, NULL, answer) == 200) {
            client.hall_orders++;
            set_drained_at(loop_now());
        }
    }
    else if (client.undrain_pending || !keep_drained) {
        client.undrain_pending = true;
        set_drained_at(0);
        if (send_operator_request("DELETE", path, NULL, answer) == 200) {
            client.hall_orders++;
            client.undrain_pending = false;
            client.drain_pending = false;
        }
    }
    g_string_free(answer, TRUE);
}

uint64_t
soak_http_drained_since(int hall)
{
    uint64_t at;

    g_mutex_lock(&client.lock);
    at = hall == client.hall ? client.drained_at : 0;
    g_mutex_unlock(&client.lock);
    return at;
}

void
soak_http_keep_hall_drained(void)
{
    g_mutex_lock(&client.lock);
    client.keep_drained = true;
    g_mutex_unlock(&client.lock);
}

/* Thread of the operator. */
static gpointer
run_operator(gpointer unused)
{
    (void)unused;
    while (!client.stopping) {
        put_or_get_table();
        if (client.keep_drained || g_random_int() % HALL_ORDER_PERIOD == 0) {
            send_hall_order();
        }
        g_usleep(OPERATOR_INTERVAL_MS * 1000);
    }
    return NULL;
}

/* Thread that probes the readiness of one node. */
static gpointer
run_fabric(gpointer data)
{
    int n = GPOINTER_TO_INT(data);
    struct probed_node *node = &client.node[n];

    while (!client.stopping) {
        GString *answer = g_string_new(NULL);
        bool ok =
            soak_http_request("GET", node_address(n), client.ready_port,
                              STANDIN_READY_PATH, NULL, answer, NULL) == 200;

        node->failed_probes = ok ? 0 : node->failed_probes + 1;
        if (ok || node->failed_probes >= PROBE_FAILURES_MAX) {
            node->ready = ok;
        }
        g_string_free(answer, TRUE);
        g_usleep(PROBE_INTERVAL_MS * 1000);
    }
    return NULL;
}

void
soak_http_start(uint32_t nodes, int node_count, uint16_t ready_port,
                uint16_t control_port)
{
    client.first_node = nodes;
    client.node_count = node_count;
    client.ready_port = ready_port;
    client.control_port = control_port;
    (void)g_thread_new("operator", run_operator, NULL);
    for (int n = 0; n < node_count; n++) {
        (void)g_thread_new("fabric", run_fabric, GINT_TO_POINTER(n));
    }
}

void
soak_http_stop(void)
{
    client.stopping = true;
}

/* The operator's thread runs until the end, so that a recent PUT and GET must
 * have succeeded. */
void
soak_http_check_operator(const char *when)
{
    if (loop_now() > client.read_at + SOAK_STABLE_MS) {
        soak_violation("%s: no GET succeeded for %llu ms", when,
                       (unsigned long long)(loop_now() - client.read_at));
    }
    if (loop_now() > client.put_at + SOAK_STABLE_MS) {
        soak_violation("%s: no PUT was acknowledged for %llu ms", when,
                       (unsigned long long)(loop_now() - client.put_at));
    }
}

void
soak_http_check(void)
{
    soak_http_check_operator("at the end");
    if (client.keep_drained && client.drained_at == 0) {
        soak_violation("at the end: no drain of a hall was acknowledged");
    }
    for (int n = 0; n < client.node_count; n++) {
        if (soak_node_in_use(n) && !client.node[n].ready) {
            soak_violation("at the end: node %d is not ready", n);
        }
    }
}

void
soak_http_report(void)
{
    printf("%u puts, %u reads, version %llu, %u hall orders, ", client.puts,
           client.reads, (unsigned long long)client.acked, client.hall_orders);
}
