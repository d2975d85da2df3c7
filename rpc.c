/* Delivery of messages by ONC RPC, on libtirpc. */
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

#define CONNECT_MS 500
#define PAUSE_US 100000 /* after a failed connect */

/* One message in a queue. */
struct parcel {
    GByteArray *sealed;
    uint64_t deadline; /* dropped then */
};

/* One destination and its worker. */
struct destination {
    uint32_t address;
    uint16_t port;
    GAsyncQueue *queue; /* struct parcel */
    CLIENT *client;     /* NULL while not connected */
    bool failing;       /* the last call failed, logged once */
};

/* A message on its way to the loop's thread. */
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

/* Hands a message to the handler, on the loop's thread. */
static void
on_delivery(void *data)
{
    struct delivery *delivery = data;

    rpc_state.handler(rpc_state.data, &delivery->msg);
    codec_free(&delivery->msg);
    g_free(delivery);
}

/* Opens and decodes an envelope; counts what is wrong with it. */
static void
take_envelope(const wire_envelope *envelope)
{
    GByteArray *plain =
        seal_decrypt(envelope->sealed.sealed_val, envelope->sealed.sealed_len);
    struct delivery *delivery;

    counter_add(rpc_state.counters, COUNTER_MSGS_IN, 1);
    counter_add(rpc_state.counters, COUNTER_CONTROL_BYTES_IN,
                envelope->sealed.sealed_len);
    if (plain == NULL) {
        counter_add(rpc_state.counters, COUNTER_MSGS_FORGED, 1);
        return;
    }
    delivery = g_new0(struct delivery, 1);
    if (codec_decode(plain->data, plain->len, &delivery->msg)) {
        loop_post(on_delivery, delivery);
    }
    else {
        counter_add(rpc_state.counters, COUNTER_MSGS_MALFORMED, 1);
        g_free(delivery);
    }
    g_byte_array_unref(plain);
}

/* Serves one call. */
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
    take_envelope(&envelope);
    (void)svc_sendreply(transport, (xdrproc_t)xdr_void, NULL);
    (void)svc_freeargs(transport, (xdrproc_t)xdr_wire_envelope,
                       (caddr_t)&envelope);
}

/* Runs the server; never returns. */
static gpointer
run_server(gpointer unused)
{
    (void)unused;
    svc_run();
    return NULL;
}

/* Opens a listening socket. */
static int
listen_on(uint32_t address, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* Listens and serves in a thread of its own. */
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

/* Waits until a connect is done; false after CONNECT_MS. */
static bool
wait_connected(int fd)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};
    int error = 0;
    socklen_t size = sizeof(error);

    return poll(&poll_fd, 1, CONNECT_MS) == 1 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
}

/* Connects a socket, within CONNECT_MS; -1 when it fails. */
static int
connect_to(uint32_t address, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(address)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    if ((connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
         errno != EINPROGRESS) ||
        !wait_connected(fd) || fcntl(fd, F_SETFL, 0) != 0) {
        (void)close(fd);
        return -1;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

/* Makes a client on a connected socket. */
static CLIENT *
make_client(const struct destination *d)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(d->port),
                             .sin_addr.s_addr = htonl(d->address)};
    struct netbuf buffer = {
        .maxlen = sizeof(at), .len = sizeof(at), .buf = &at};
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

/* Delivers one message, over a new connection when the old one is gone. */
static bool
deliver(struct destination *d, const GByteArray *sealed)
{
    struct timeval timeout = {.tv_sec = RPC_CALL_MS / 1000,
                              .tv_usec = RPC_CALL_MS % 1000 * 1000};
    wire_envelope envelope = {.sealed = {.sealed_len = sealed->len,
                                         .sealed_val = (char *)sealed->data}};

    if (d->client == NULL) {
        d->client = make_client(d);
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

/* Logs when a destination begins or ceases to fail. */
static void
note_result(struct destination *d, bool ok)
{
    char text[ADDRESS_TEXT];

    if (ok == !d->failing) {
        return;
    }
    d->failing = !ok;
    log_event(ok ? LOG_INFO : LOG_WARN, ok ? "rpc-back" : "rpc-lost",
              "destination=%s", address_format(d->address, d->port, text));
}

/* Works for one destination; never returns. */
static gpointer
run_worker(gpointer data)
{
    struct destination *d = data;

    for (;;) {
        struct parcel *parcel = g_async_queue_pop(d->queue);

        if (loop_now() < parcel->deadline) {
            bool ok = deliver(d, parcel->sealed);

            /* A connection that the other side closed fails once. */
            ok = ok || deliver(d, parcel->sealed);
            note_result(d, ok);
            if (!ok) {
                g_usleep(PAUSE_US);
            }
        }
        g_byte_array_unref(parcel->sealed);
        g_free(parcel);
    }
    return NULL;
}

/* Finds a destination, and starts its worker when it is new. */
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

/* Queues a message; drops it when the queue is full. */
void
rpc_send(uint32_t address, uint16_t port, const GByteArray *bytes)
{
    struct destination *d = find_destination(address, port);
    struct parcel *parcel;

    if (g_async_queue_length(d->queue) >= RPC_QUEUE_MAX) {
        return;
    }
    parcel = g_new(struct parcel, 1);
    parcel->sealed = seal_encrypt(bytes->data, bytes->len);
    parcel->deadline = loop_now() + RPC_OLD_MS;
    counter_add(rpc_state.counters, COUNTER_CONTROL_BYTES_OUT,
                parcel->sealed->len);
    g_async_queue_push(d->queue, parcel);
}
