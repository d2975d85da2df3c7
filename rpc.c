/* ONC RPC client and server, on libtirpc. */
#include "rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <string.h>
#include <unistd.h>

#include "address.h"
#include "codec.h"
#include "log.h"
#include "loop.h"
#include "seal.h"

#define CONNECT_TIMEOUT_MS 500
#define RETRY_PAUSE_US 100000 /* after a failed delivery */

struct queued_message {
    GByteArray *encrypted;
    uint64_t deadline;
};

/* One destination and its thread. */
struct destination {
    uint32_t address;
    uint16_t port;
    GAsyncQueue *queue; /* struct queued_message */
    CLIENT *client;     /* NULL while not connected */
    bool failing;       /* the last call failed */
};

/* A received message, posted to the event loop. */
struct delivery {
    wire_msg msg;
};

static struct {
    rpc_handler handler;
    void *data;
    struct counters *counters;
    GMutex lock;
    GHashTable *destinations;
} rpc_state;

static void
on_delivery(void *data)
{
    struct delivery *delivery = data;

    rpc_state.handler(rpc_state.data, &delivery->msg);
    codec_free(&delivery->msg);
    g_free(delivery);
}

static void
receive_envelope(const wire_envelope *envelope)
{
    GByteArray *plaintext =
        seal_decrypt(envelope->sealed.sealed_val, envelope->sealed.sealed_len);
    struct delivery *delivery;

    counter_add(rpc_state.counters, COUNTER_MSGS_IN, 1);
    counter_add(rpc_state.counters, COUNTER_CONTROL_BYTES_IN,
                envelope->sealed.sealed_len);
    if (plaintext == NULL) {
        counter_add(rpc_state.counters, COUNTER_MSGS_FORGED, 1);
        return;
    }
    delivery = g_new0(struct delivery, 1);
    if (codec_decode(plaintext->data, plaintext->len, &delivery->msg)) {
        loop_post(on_delivery, delivery);
    }
    else {
        counter_add(rpc_state.counters, COUNTER_MSGS_MALFORMED, 1);
        g_free(delivery);
    }
    g_byte_array_unref(plaintext);
}

/* Dispatch function of the RPC program. */
static void
serve(struct svc_req *request, SVCXPRT *transport)
{
    wire_envelope envelope;

    if (request->rq_proc == NULLPROC) {
        (void)svc_sendreply(transport, (xdrproc_t)xdr_void, NULL);
        return;
    }
    if (request->rq_proc != WIRE_DELIVER) {
        svcerr_noproc(transport);
        return;
    }
    memset(&envelope, 0, sizeof(envelope));
    if (!svc_getargs(transport, (xdrproc_t)xdr_wire_envelope,
                     (caddr_t)&envelope)) {
        counter_add(rpc_state.counters, COUNTER_MSGS_MALFORMED, 1);
        svcerr_decode(transport);
        return;
    }
    receive_envelope(&envelope);
    (void)svc_sendreply(transport, (xdrproc_t)xdr_void, NULL);
    (void)svc_freeargs(transport, (xdrproc_t)xdr_wire_envelope,
                       (caddr_t)&envelope);
}

static gpointer
run_server(gpointer unused)
{
    (void)unused;
    svc_run();
    return NULL;
}

static int
listen_on(uint32_t address, uint16_t port)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_port = htons(port),
                               .sin_addr.s_addr = htonl(address)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

enum status_kind
rpc_listen(uint32_t address, uint16_t port, rpc_handler handler, void *data,
           struct counters *counters, struct status *st)
{
    int fd = listen_on(address, port);
    SVCXPRT *transport;

    rpc_state.handler = handler;
    rpc_state.data = data;
    rpc_state.counters = counters;
    rpc_state.destinations = g_hash_table_new(NULL, NULL);
    transport = fd < 0 ? NULL : svc_vc_create(fd, 0, 0);
    if (transport == NULL ||
        !svc_reg(transport, WIRE_PROGRAM, WIRE_VERSION, serve, NULL)) {
        return status_set(st, STATUS_IO,
                          "cannot listen on rpc_port %u: %s; free the port "
                          "or set another",
                          port, g_strerror(errno));
    }
    (void)g_thread_unref(g_thread_new("rpc-server", run_server, NULL));
    return STATUS_OK;
}

/* Waits for a non-blocking connect, at most CONNECT_TIMEOUT_MS. */
static bool
wait_connected(int fd)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};
    int error = 0;
    socklen_t size = sizeof(error);

    return poll(&poll_fd, 1, CONNECT_TIMEOUT_MS) == 1 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
}

static int
connect_to(uint32_t address, uint16_t port)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_port = htons(port),
                               .sin_addr.s_addr = htonl(address)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    if ((connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 &&
         errno != EINPROGRESS) ||
        !wait_connected(fd) || fcntl(fd, F_SETFL, 0) != 0) {
        (void)close(fd);
        return -1;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static CLIENT *
connect_client(const struct destination *d)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_port = htons(d->port),
                               .sin_addr.s_addr = htonl(d->address)};
    struct netbuf buffer = {
        .maxlen = sizeof(addr), .len = sizeof(addr), .buf = &addr};
    int fd = connect_to(d->address, d->port);
    CLIENT *client;

    if (fd < 0) {
        return NULL;
    }
    client = clnt_vc_create(fd, &buffer, WIRE_PROGRAM, WIRE_VERSION, 0, 0);
    if (client == NULL) {
        (void)close(fd);
        return NULL;
    }
    (void)clnt_control(client, CLSET_FD_CLOSE, NULL);
    return client;
}

/* Reconnects first if there is no connection. */
static bool
deliver(struct destination *d, const GByteArray *encrypted)
{
    struct timeval timeout = {.tv_sec = RPC_TIMEOUT_MS / 1000,
                              .tv_usec = RPC_TIMEOUT_MS % 1000 * 1000};
    wire_envelope envelope = {
        .sealed = {.sealed_len = encrypted->len,
                   .sealed_val = (char *)encrypted->data}};

    if (d->client == NULL) {
        d->client = connect_client(d);
    }
    if (d->client == NULL) {
        return false;
    }
    if (clnt_call(d->client, WIRE_DELIVER, (xdrproc_t)xdr_wire_envelope,
                  (caddr_t)&envelope, (xdrproc_t)xdr_void, NULL,
                  timeout) != RPC_SUCCESS) {
        clnt_destroy(d->client);
        d->client = NULL;
        return false;
    }
    return true;
}

/* Logs when calls to a destination start or stop failing. */
static void
log_result(struct destination *d, bool ok)
{
    char text[ADDRESS_TEXT];

    if (ok == !d->failing) {
        return;
    }
    d->failing = !ok;
    log_event(ok ? LOG_INFO : LOG_WARN, ok ? "rpc-back" : "rpc-lost",
              "destination=%s", address_format(d->address, d->port, text));
}

static gpointer
run_worker(gpointer data)
{
    struct destination *d = data;

    for (;;) {
        struct queued_message *message = g_async_queue_pop(d->queue);

        if (loop_now() < message->deadline) {
            bool ok = deliver(d, message->encrypted);

            /* A connection closed by the peer fails once; reconnect. */
            ok = ok || deliver(d, message->encrypted);
            log_result(d, ok);
            if (!ok) {
                g_usleep(RETRY_PAUSE_US);
            }
        }
        g_byte_array_unref(message->encrypted);
        g_free(message);
    }
    return NULL;
}

/* Creates the destination and its thread if necessary. */
static struct destination *
find_destination(uint32_t address, uint16_t port)
{
    gpointer key = GSIZE_TO_POINTER(((gsize)address << 16) | port);
    struct destination *d;

    g_mutex_lock(&rpc_state.lock);
    d = g_hash_table_lookup(rpc_state.destinations, key);
    if (d == NULL) {
        d = g_new0(struct destination, 1);
        d->address = address;
        d->port = port;
        d->queue = g_async_queue_new();
        g_hash_table_insert(rpc_state.destinations, key, d);
        (void)g_thread_unref(g_thread_new("rpc-client", run_worker, d));
    }
    g_mutex_unlock(&rpc_state.lock);
    return d;
}

void
rpc_send(uint32_t address, uint16_t port, const GByteArray *bytes)
{
    struct destination *d = find_destination(address, port);
    struct queued_message *message;

    if (g_async_queue_length(d->queue) >= RPC_QUEUE_MAX) {
        return;
    }
    message = g_new(struct queued_message, 1);
    message->encrypted = seal_encrypt(bytes->data, bytes->len);
    message->deadline = loop_now() + RPC_QUEUE_TIMEOUT_MS;
    counter_add(rpc_state.counters, COUNTER_CONTROL_BYTES_OUT,
                message->encrypted->len);
    g_async_queue_push(d->queue, message);
}
