/*
 * The proxy between the soak's nodes. Each node tells the others an address at
 * which the proxy listens; the sender of a datagram is known by its own one.
 */
#include "host.h"
#include "link.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "loop.h"
#include "soak.h"

/* A datagram that the proxy holds. */
struct held {
    uint64_t at; /* deadline: deliver it */
    int to;      /* node */
    GByteArray *bytes;
};

static struct {
    struct soak_link link[SOAK_NODES_MAX];
    int proxy[SOAK_NODES_MAX]; /* sockets that the others send to */
    int count;                 /* of nodes */
    uint32_t nodes;            /* address of the first */
    uint16_t port;             /* of nodes and proxy */
    GArray *held;              /* struct held */
    int cut_halls[2];          /* that do not reach each other */
    uint64_t cut_until;        /* deadline: they do again */
    GRand *rand;               /* of datagrams that are lost */
} links;

/* Opens the sockets. */
void
soak_link_open(uint32_t proxies, uint32_t nodes, int node_count, uint16_t port,
               unsigned seed)
{
    links.count = node_count;
    links.nodes = nodes;
    links.port = port;
    links.held = g_array_new(FALSE, FALSE, sizeof(struct held));
    links.rand = g_rand_new_with_seed(seed);
    for (int n = 0; n < node_count; n++) {
        links.proxy[n] = soak_socket(proxies + (uint32_t)n, port);
    }
}

/* A node's link. */
struct soak_link *
soak_link_of(int n)
{
    return &links.link[n];
}

/* Cuts two halls from each other. */
void
soak_link_cut_halls(int one, int other, uint64_t until)
{
    links.cut_halls[0] = one;
    links.cut_halls[1] = other;
    links.cut_until = until;
}

/* Says whether a node is cut from a hall now. */
bool
soak_link_is_cut(int n, int hall)
{
    int own = n % SOAK_HALLS;

    return loop_now() < links.cut_until &&
           ((own == links.cut_halls[0] && hall == links.cut_halls[1]) ||
            (own == links.cut_halls[1] && hall == links.cut_halls[0]));
}

/* Passes a datagram between nodes, or holds, or loses it. */
static void
pass(int from, int to, const uint8_t *bytes, size_t length)
{
    const struct soak_link *a = &links.link[from];
    const struct soak_link *b = &links.link[to];
    unsigned delay = a->delay_ms + b->delay_ms;
    struct held held = {.at = loop_now() + delay, .to = to};

    if (a->cut_out || b->cut_in || soak_link_is_cut(from, to % SOAK_HALLS) ||
        (unsigned)g_rand_int_range(links.rand, 0, 100) < a->loss + b->loss) {
        return;
    }
    held.bytes = g_byte_array_sized_new((guint)length);
    g_byte_array_append(held.bytes, bytes, (guint)length);
    g_array_append_val(links.held, held);
}

/* Takes what others sent to a node. */
static void
read_proxy(int to)
{
    static uint8_t bytes[65536];
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    ssize_t n;

    while ((n = recvfrom(links.proxy[to], bytes, sizeof(bytes), 0,
                         (struct sockaddr *)&from, &size)) > 0) {
        int sender = (int)(ntohl(from.sin_addr.s_addr) & 255) - 1;

        if (sender >= 0 && sender < links.count) {
            pass(sender, to, bytes, (size_t)n);
        }
    }
}

/* Delivers datagrams whose delay is over. */
static void
deliver_held(uint64_t now)
{
    for (guint i = 0; i < links.held->len;) {
        struct held held = g_array_index(links.held, struct held, i);
        struct sockaddr_in at = {.sin_family = AF_INET,
                                 .sin_port = htons(links.port),
                                 .sin_addr.s_addr =
                                     htonl(links.nodes + (uint32_t)held.to)};

        if (held.at > now) {
            i++;
            continue;
        }
        (void)sendto(links.proxy[held.to], held.bytes->data, held.bytes->len,
                     0, (struct sockaddr *)&at, sizeof(at));
        g_byte_array_unref(held.bytes);
        g_array_remove_index(links.held, i);
    }
}

/* Adds the sockets to poll. */
nfds_t
soak_link_poll(struct pollfd *fds)
{
    for (int n = 0; n < links.count; n++) {
        fds[n] = (struct pollfd){.fd = links.proxy[n], .events = POLLIN};
    }
    return (nfds_t)links.count;
}

/* Takes what was sent, delivers what is due. */
void
soak_link_run(void)
{
    for (int n = 0; n < links.count; n++) {
        read_proxy(n);
    }
    deliver_held(loop_now());
}
