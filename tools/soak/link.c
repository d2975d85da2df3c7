/*
 * UDP proxy between the soak's nodes. Each node advertises the address of its
 * proxy socket to the others; a datagram's source address identifies the
 * sender.
 */
#include "host.h"
#include "link.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "loop.h"
#include "soak.h"

/* A datagram waiting for delivery. */
struct delayed_datagram {
    uint64_t at; /* deadline */
    int to;      /* receiving node */
    GByteArray *bytes;
};

static struct {
    struct soak_link link[SOAK_NODES_MAX];
    int proxy[SOAK_NODES_MAX]; /* sockets that the other nodes send to */
    int node_count;
    uint32_t first_node;      /* address; the others follow */
    uint16_t port;            /* of nodes and proxies */
    GArray *delayed;          /* struct delayed_datagram */
    int partitioned_halls[2]; /* that cannot reach each other */
    uint64_t partition_until; /* deadline */
    int cut_first, cut_count; /* nodes that reach only each other */
    uint64_t cut_until;       /* deadline */
    GRand *rand;              /* selects lost datagrams */
} links;

void
soak_link_open(uint32_t first_proxy, uint32_t nodes, int node_count,
               uint16_t port, unsigned seed)
{
    links.node_count = node_count;
    links.first_node = nodes;
    links.port = port;
    links.delayed = g_array_new(FALSE, FALSE, sizeof(struct delayed_datagram));
    links.rand = g_rand_new_with_seed(seed);
    for (int n = 0; n < node_count; n++) {
        links.proxy[n] = soak_socket(first_proxy + (uint32_t)n, port);
    }
}

struct soak_link *
soak_link_of(int n)
{
    return &links.link[n];
}

void
soak_link_partition_halls(int one, int other, uint64_t until)
{
    links.partitioned_halls[0] = one;
    links.partitioned_halls[1] = other;
    links.partition_until = until;
}

bool
soak_link_is_partitioned(int n, int hall)
{
    int own = n % SOAK_HALLS;

    return loop_now() < links.partition_until &&
           ((own == links.partitioned_halls[0] &&
             hall == links.partitioned_halls[1]) ||
            (own == links.partitioned_halls[1] &&
             hall == links.partitioned_halls[0]));
}

void
soak_link_cut_group(int first, int count, uint64_t until)
{
    links.cut_first = first;
    links.cut_count = count;
    links.cut_until = until;
}

static bool
is_in_cut_group(int n)
{
    return n >= links.cut_first && n < links.cut_first + links.cut_count;
}

/* Queues a datagram for delivery unless the link drops it. */
static void
forward_datagram(int from, int to, const uint8_t *bytes, size_t length)
{
    const struct soak_link *a = &links.link[from];
    const struct soak_link *b = &links.link[to];
    unsigned delay = a->delay_ms + b->delay_ms;
    struct delayed_datagram datagram = {.at = loop_now() + delay, .to = to};

    if (a->drop_out || b->drop_in ||
        soak_link_is_partitioned(from, to % SOAK_HALLS) ||
        (loop_now() < links.cut_until &&
         is_in_cut_group(from) != is_in_cut_group(to)) ||
        (unsigned)g_rand_int_range(links.rand, 0, 100) <
            a->loss_percent + b->loss_percent) {
        return;
    }
    datagram.bytes = g_byte_array_sized_new((guint)length);
    g_byte_array_append(datagram.bytes, bytes, (guint)length);
    g_array_append_val(links.delayed, datagram);
}

/* Receives until the socket of a node's proxy is empty. */
static void
receive_at_proxy(int to)
{
    static uint8_t bytes[65536];
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    ssize_t n;

    while ((n = recvfrom(links.proxy[to], bytes, sizeof(bytes), 0,
                         (struct sockaddr *)&from, &size)) > 0) {
        int sender = (int)(ntohl(from.sin_addr.s_addr) & 255) - 1;

        if (sender >= 0 && sender < links.node_count) {
            forward_datagram(sender, to, bytes, (size_t)n);
        }
    }
}

/* Delivers datagrams whose delay has expired. */
static void
deliver_delayed(uint64_t now)
{
    for (guint i = 0; i < links.delayed->len;) {
        struct delayed_datagram datagram =
            g_array_index(links.delayed, struct delayed_datagram, i);
        struct sockaddr_in at = {
            .sin_family = AF_INET,
            .sin_port = htons(links.port),
            .sin_addr.s_addr =
                htonl(links.first_node + (uint32_t)datagram.to)};

        if (datagram.at > now) {
            i++;
            continue;
        }
        (void)sendto(links.proxy[datagram.to], datagram.bytes->data,
                     datagram.bytes->len, 0, (struct sockaddr *)&at,
                     sizeof(at));
        g_byte_array_unref(datagram.bytes);
        g_array_remove_index(links.delayed, i);
    }
}

nfds_t
soak_link_poll(struct pollfd *fds)
{
    for (int n = 0; n < links.node_count; n++) {
        fds[n] = (struct pollfd){.fd = links.proxy[n], .events = POLLIN};
    }
    return (nfds_t)links.node_count;
}

void
soak_link_run(void)
{
    for (int n = 0; n < links.node_count; n++) {
        receive_at_proxy(n);
    }
    deliver_delayed(loop_now());
}
