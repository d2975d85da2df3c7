/*
 * The soak's operator and fabric. The operator puts tables and reads them at a
 * node drawn by lot, and follows where it is sent; no read may be older than
 * what was acknowledged. The fabric leaves out nodes that do not answer.
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

#define CALL_MS 1000   /* longest wait for an answer */
#define OPERATE_MS 200 /* between an operator's calls */
#define ASK_MS 500     /* between questions of the fabric */
#define ASK_MISSES 2   /* without an answer: a node is left out */
#define HALL_TURNS 5   /* of the operator's turns one is about a hall */
#define HOPS 3         /* redirects that an operator follows */

/* What the fabric knows of a node. */
struct asked {
    unsigned misses; /* questions without an answer */
    bool ready;      /* the fabric sends packets here */
};

static struct {
    struct asked node[SOAK_NODES_MAX];
    int count;      /* of nodes */
    uint32_t nodes; /* address of the first */
    uint16_t ready_port, control_port;
    uint64_t version; /* sent last */
    uint64_t acked;   /* highest acknowledged */
    uint64_t put_at;  /* last acknowledgement */
    uint64_t read_at; /* last read that was answered */
    unsigned puts, reads, hall_orders;
    int hall;            /* that the operator empties */
    bool emptied;        /* it is, or the order had no clear answer */
    bool taking_back;    /* the order to take it back has no answer yet */
    bool hold;           /* it stays so */
    uint64_t emptied_at; /* that was acknowledged, 0: not, or taken back */
    bool over;           /* threads end */
    GMutex lock; /* of `acked`, `puts`, `put_at`, `hold`, `emptied_at` */
} ask;

/* Address of a node. */
static uint32_t
node_address(int n)
{
    return ask.nodes + (uint32_t)n;
}

/* A node that packets of a caller's port go to: ready, else any. */
uint32_t
soak_ask_route(uint32_t hash)
{
    int ready = 0;
    int best = (int)(hash % (unsigned)ask.count);
    uint32_t best_rank = 0;

    for (int n = 0; n < ask.count; n++) {
        uint32_t rank = (hash + (uint32_t)n * 0x9e3779b9U) * 0x85ebca6bU;

        if (ask.node[n].ready && (ready == 0 || rank > best_rank)) {
            best = n;
            best_rank = rank;
        }
        ready += ask.node[n].ready;
    }
    return node_address(best);
}

/* Collects an answer. */
static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

/* Calls a node; the status, 0 without an answer, or 307 with `where`. */
long
soak_ask_call(const char *method, uint32_t address, uint16_t port,
              const char *path, const char *body, GString *answer,
              uint32_t *where)
{
    char place[ADDRESS_TEXT];
    char *url = g_strdup_printf("http://%s%s",
                                address_format(address, port, place), path);
    CURL *curl = curl_easy_init();
    char *location = NULL;
    long status = 0;

    (void)curl_easy_setopt(curl, CURLOPT_URL, url);
    (void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
    (void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    if (body != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        (void)curl_easy_getinfo(curl, CURLINFO_REDIRECT_URL, &location);
        if (where != NULL && location != NULL) {
            unsigned last = 0;

            (void)sscanf(location, "http://127.%*u.2.%u", &last);
            *where = node_address((int)last - 1);
        }
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return status;
}

/* An operator's call, sent on to the leader as told. */
static long
operate(const char *method, const char *path, const char *body,
        GString *answer)
{
    uint32_t at = node_address((int)(g_random_int() % (guint)ask.count));
    long status = 0;

    for (int hops = 0; hops < HOPS; hops++) {
        uint32_t where = 0;

        g_string_truncate(answer, 0);
        status = soak_ask_call(method, at, ask.control_port, path, body,
                               answer, &where);
        if (status != 307 || where == 0) {
            break;
        }
        at = where;
    }
    return status;
}

/* Sends the version after the last one until it is acknowledged, or reads. */
static void
operate_once(void)
{
    GString *answer = g_string_new(NULL);
    uint64_t acked;
    char *body;

    g_mutex_lock(&ask.lock);
    acked = ask.acked;
    g_mutex_unlock(&ask.lock);
    if (g_random_int() % 2 == 0) {
        body = soak_table(ask.version = MAX(ask.version, acked) + 1);
        if (operate("PUT", STANDIN_TABLE_PATH, body, answer) == 200) {
            g_mutex_lock(&ask.lock);
            ask.acked = MAX(ask.acked, ask.version);
            ask.puts++;
            ask.put_at = loop_now();
            g_mutex_unlock(&ask.lock);
        }
        g_free(body);
    }
    else if (operate("GET", STANDIN_TABLE_PATH, NULL, answer) == 200) {
        unsigned long long read = 0;

        (void)sscanf(answer->str, STANDIN_VERSION_FORMAT, &read);
        ask.reads++;
        ask.read_at = loop_now();
        if (read < acked) {
            soak_broken("read version %llu after %llu was acknowledged", read,
                        (unsigned long long)acked);
        }
    }
    g_string_free(answer, TRUE);
}

/* Notes when the hall was emptied. */
static void
note_emptied(uint64_t at)
{
    g_mutex_lock(&ask.lock);
    ask.emptied_at = at;
    g_mutex_unlock(&ask.lock);
}

/* Empties a hall, or takes it back. One order without a clear answer is sent
 * again until it has one. */
static void
order_hall(void)
{
    GString *answer = g_string_new(NULL);
    char name[32];
    char path[STANDIN_PATH_MAX];
    bool hold;
    bool done;

    g_mutex_lock(&ask.lock);
    hold = ask.hold;
    done = ask.emptied_at != 0;
    g_mutex_unlock(&ask.lock);
    if (!ask.emptied) {
        ask.hall = (int)(g_random_int() % SOAK_HALLS);
        ask.emptied = true;
        done = false;
    }
    (void)snprintf(name, sizeof(name), SOAK_HALL, ask.hall);
    (void)snprintf(path, sizeof(path), STANDIN_HALL_PATH, name);
    if (!done && !ask.taking_back) {
        if (operate("POST", path, NULL, answer) == 200) {
            ask.hall_orders++;
            note_emptied(loop_now());
        }
    }
    else if (ask.taking_back || !hold) {
        ask.taking_back = true;
        note_emptied(0);
        if (operate("DELETE", path, NULL, answer) == 200) {
            ask.hall_orders++;
            ask.taking_back = false;
            ask.emptied = false;
        }
    }
    g_string_free(answer, TRUE);
}

/* When a hall was emptied. */
uint64_t
soak_ask_emptied_since(int hall)
{
    uint64_t at;

    g_mutex_lock(&ask.lock);
    at = hall == ask.hall ? ask.emptied_at : 0;
    g_mutex_unlock(&ask.lock);
    return at;
}

/* From now on a hall stays emptied. */
void
soak_ask_hold_hall(void)
{
    g_mutex_lock(&ask.lock);
    ask.hold = true;
    g_mutex_unlock(&ask.lock);
}

/* The operator's thread. */
static gpointer
run_operator(gpointer unused)
{
    (void)unused;
    while (!ask.over) {
        operate_once();
        if (ask.hold || g_random_int() % HALL_TURNS == 0) {
            order_hall();
        }
        g_usleep(OPERATE_MS * 1000);
    }
    return NULL;
}

/* A thread of the fabric: asks one node twice a second. */
static gpointer
run_fabric(gpointer data)
{
    int n = GPOINTER_TO_INT(data);
    struct asked *node = &ask.node[n];

    while (!ask.over) {
        GString *answer = g_string_new(NULL);
        bool ok = soak_ask_call("GET", node_address(n), ask.ready_port,
                                STANDIN_READY_PATH, NULL, answer, NULL) == 200;

        node->misses = ok ? 0 : node->misses + 1;
        if (ok || node->misses >= ASK_MISSES) {
            node->ready = ok;
        }
        g_string_free(answer, TRUE);
        g_usleep(ASK_MS * 1000);
    }
    return NULL;
}

/* Starts the threads. */
void
soak_ask_open(uint32_t nodes, int node_count, uint16_t ready_port,
              uint16_t control_port)
{
    ask.nodes = nodes;
    ask.count = node_count;
    ask.ready_port = ready_port;
    ask.control_port = control_port;
    (void)g_thread_new("operator", run_operator, NULL);
    for (int n = 0; n < node_count; n++) {
        (void)g_thread_new("fabric", run_fabric, GINT_TO_POINTER(n));
    }
}

/* Asks the threads to end. */
void
soak_ask_end(void)
{
    ask.over = true;
}

/* Checks what must hold once faults are over. The operator's thread has gone
 * on reading, so that a read of late is enough. */
void
soak_ask_check(void)
{
    if (loop_now() > ask.read_at + SOAK_CALM_MS) {
        soak_broken("at the end: no read was answered for %llu ms",
                    (unsigned long long)(loop_now() - ask.read_at));
    }
    if (loop_now() > ask.put_at + SOAK_CALM_MS) {
        soak_broken("at the end: no table was acknowledged for %llu ms",
                    (unsigned long long)(loop_now() - ask.put_at));
    }
    if (ask.hold && ask.emptied_at == 0) {
        soak_broken("at the end: no order about a hall was acknowledged");
    }
    for (int n = 0; n < ask.count; n++) {
        if (!ask.node[n].ready) {
            soak_broken("at the end node %d is not ready", n);
        }
    }
}

/* Prints what the operator did. */
void
soak_ask_report(void)
{
    printf("%u puts, %u reads, version %llu, %u orders about halls, ",
           ask.puts, ask.reads, (unsigned long long)ask.acked,
           ask.hall_orders);
}
