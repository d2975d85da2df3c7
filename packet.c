/* Geneve, IPv4, TCP and UDP headers. */
#include "packet.h"

#include <assert.h>
#include <string.h>

#include "hash.h"

#define GENEVE_IPV4 0x0800U
#define OPTION_CLASS 0xff52U /* experimental range of RFC 8926, 4.3 */
#define OPTION_TYPE 0x01U
#define OPTION_WORDS 5U /* 4-byte words of data */
#define IP_HEADER 20U
#define TCP_HEADER 20U
#define UDP_HEADER 8U
#define TCP_CHECKSUM 16U
#define UDP_CHECKSUM 6U
#define IP_CHECKSUM 10U
#define TCP_FIN 0x01U
#define TCP_SYN 0x02U
#define TCP_RST 0x04U
#define TCP_ACK 0x10U

static uint16_t
get16(const uint8_t *at)
{
    return (uint16_t)((at[0] << 8) | at[1]);
}

static uint32_t
get32(const uint8_t *at)
{
    return ((uint32_t)get16(at) << 16) | get16(at + 2);
}

static void
put16(uint8_t *at, uint16_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
put32(uint8_t *at, uint32_t value)
{
    put16(at, (uint16_t)(value >> 16));
    put16(at + 2, (uint16_t)value);
}

/* Finds the forwarding option; skips others. */
static void
parse_options(const uint8_t *at, size_t length, struct packet *out)
{
    while (length >= 4) {
        size_t size = 4 + 4 * (size_t)(at[3] & 0x1f);

        if (size > length) {
            return;
        }
        if (get16(at) == OPTION_CLASS && at[2] == OPTION_TYPE &&
            (at[3] & 0x1f) == OPTION_WORDS) {
            out->forwarded = true;
            out->forwarding.origin =
                ((uint64_t)get32(at + 4) << 32) | get32(at + 8);
            out->forwarding.position = at[12];
            out->forwarding.hops = at[13];
            for (size_t i = 0; i < PACKET_ASKED_MAX; i++) {
                out->forwarding.asked[i] = get16(at + 14 + 2 * i);
            }
        }
        at += size;
        length -= size;
    }
}

static bool
parse_transport(struct packet *out, size_t length)
{
    if (out->protocol == PACKET_TCP) {
        uint8_t flags;

        if (length < TCP_HEADER) {
            return false;
        }
        flags = out->transport[13];
        out->first = (flags & (TCP_SYN | TCP_ACK)) == TCP_SYN;
        out->closing = (flags & (TCP_FIN | TCP_RST)) != 0;
    }
    else if (out->protocol != PACKET_UDP || length < UDP_HEADER) {
        return false;
    }
    out->source_port = get16(out->transport);
    out->destination_port = get16(out->transport + 2);
    return true;
}

/* Rejects IP fragments: only the first has ports. */
static bool
parse_ip(uint8_t *ip, size_t length, struct packet *out)
{
    size_t header;
    size_t total;

    if (length < IP_HEADER || ip[0] >> 4 != 4) {
        return false;
    }
    header = 4 * (size_t)(ip[0] & 0x0f);
    total = get16(ip + 2);
    if (header < IP_HEADER || total < header || total > length ||
        (get16(ip + 6) & 0x3fff) != 0) {
        return false;
    }
    out->ip = ip;
    out->length = total;
    out->transport = ip + header;
    out->protocol = ip[9];
    out->source = get32(ip + 12);
    out->destination = get32(ip + 16);
    return parse_transport(out, total - header);
}

bool
packet_parse(uint8_t *bytes, size_t length, struct packet *out)
{
    size_t options;

    memset(out, 0, sizeof(*out));
    if (length < PACKET_GENEVE_BYTES || bytes[0] >> 6 != 0 ||
        get16(bytes + 2) != GENEVE_IPV4) {
        return false;
    }
    options = 4 * (size_t)(bytes[0] & 0x3f);
    if (length < PACKET_GENEVE_BYTES + options) {
        return false;
    }
    parse_options(bytes + PACKET_GENEVE_BYTES, options, out);
    return parse_ip(bytes + PACKET_GENEVE_BYTES + options,
                    length - PACKET_GENEVE_BYTES - options, out);
}

uint64_t
packet_hash(const struct packet *packet)
{
    uint8_t key[13];
    uint64_t hash;

    put32(key, packet->source);
    put32(key + 4, packet->destination);
    put16(key + 8, packet->source_port);
    put16(key + 10, packet->destination_port);
    key[12] = packet->protocol;
    hash = hash_bytes(HASH_FLOW, key, sizeof(key));
    return hash ? hash : 1;
}

/* Updates a checksum for one changed 16-bit word (RFC 1624, eqn. 3). */
static void
update_checksum(uint8_t *at, uint16_t before, uint16_t after)
{
    uint32_t sum = (uint16_t)~get16(at);

    sum += (uint16_t)~before;
    sum += after;
    sum = (sum & 0xffff) + (sum >> 16);
    sum = (sum & 0xffff) + (sum >> 16);
    put16(at, (uint16_t)~sum);
}

/* NULL when UDP has no checksum. */
static uint8_t *
transport_checksum(const struct packet *packet)
{
    uint8_t *at =
        packet->transport +
        (packet->protocol == PACKET_TCP ? TCP_CHECKSUM : UDP_CHECKSUM);

    if (packet->protocol == PACKET_UDP && get16(at) == 0) {
        return NULL;
    }
    return at;
}

static void
rewrite(struct packet *packet, uint8_t *address_at, uint8_t *port_at,
        uint32_t address, uint16_t port)
{
    uint8_t *checksum = transport_checksum(packet);
    bool udp = packet->protocol == PACKET_UDP;
    uint8_t *ip_checksum = packet->ip + IP_CHECKSUM;
    uint16_t words[2] = {(uint16_t)(address >> 16), (uint16_t)address};

    assert(port_at != NULL && address_at != NULL);
    for (int i = 0; i < 2; i++) {
        uint16_t before = get16(address_at + 2 * i);

        update_checksum(ip_checksum, before, words[i]);
        if (checksum != NULL) {
            update_checksum(checksum, before, words[i]);
        }
        put16(address_at + 2 * i, words[i]);
    }
    if (checksum != NULL) {
        update_checksum(checksum, get16(port_at), port);
        /* A UDP checksum of 0 would mean none (RFC 768). */
        if (udp && get16(checksum) == 0) {
            put16(checksum, 0xffff);
        }
    }
    put16(port_at, port);
}

void
packet_set_destination(struct packet *packet, uint32_t address, uint16_t port)
{
    rewrite(packet, packet->ip + 16, packet->transport + 2, address, port);
    packet->destination = address;
    packet->destination_port = port;
}

void
packet_set_source(struct packet *packet, uint32_t address, uint16_t port)
{
    rewrite(packet, packet->ip + 12, packet->transport, address, port);
    packet->source = address;
    packet->source_port = port;
}

uint8_t *
packet_encapsulate(struct packet *packet,
                   const struct packet_forwarding *forwarding, size_t *length)
{
    size_t options = forwarding != NULL ? PACKET_FORWARDING_BYTES : 0;
    uint8_t *at = packet->ip - options - PACKET_GENEVE_BYTES;

    memset(at, 0, PACKET_GENEVE_BYTES + options);
    at[0] = (uint8_t)(options / 4);
    put16(at + 2, GENEVE_IPV4);
    if (forwarding != NULL) {
        uint8_t *option = at + PACKET_GENEVE_BYTES;

        put16(option, OPTION_CLASS);
        option[2] = OPTION_TYPE;
        option[3] = OPTION_WORDS;
        put32(option + 4, (uint32_t)(forwarding->origin >> 32));
        put32(option + 8, (uint32_t)forwarding->origin);
        option[12] = forwarding->position;
        option[13] = forwarding->hops;
        for (size_t i = 0; i < PACKET_ASKED_MAX; i++) {
            put16(option + 14 + 2 * i, forwarding->asked[i]);
        }
    }
    *length = PACKET_GENEVE_BYTES + options + packet->length;
    return at;
}

static uint32_t
sum_words(const uint8_t *at, size_t length, uint32_t sum)
{
    for (size_t i = 0; i + 1 < length; i += 2) {
        sum += get16(at + i);
    }
    if (length % 2 != 0) {
        sum += (uint32_t)at[length - 1] << 8;
    }
    return sum;
}

static uint16_t
fold(uint32_t sum)
{
    while (sum >> 16 != 0) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return (uint16_t)sum;
}

/* Sum over the pseudo-header and the segment. */
static uint16_t
transport_sum(const uint8_t *ip, size_t length)
{
    size_t header = 4 * (size_t)(ip[0] & 0x0f);
    uint32_t sum = sum_words(ip + 12, 8, 0);

    sum += ip[9];
    sum += (uint32_t)(length - header);
    return fold(sum_words(ip + header, length - header, sum));
}

void
packet_fill_checksums(uint8_t *ip, size_t length)
{
    size_t header = 4 * (size_t)(ip[0] & 0x0f);
    uint8_t *at =
        ip + header + (ip[9] == PACKET_TCP ? TCP_CHECKSUM : UDP_CHECKSUM);

    put16(ip + IP_CHECKSUM, 0);
    put16(ip + IP_CHECKSUM, (uint16_t)~fold(sum_words(ip, header, 0)));
    put16(at, 0);
    put16(at, (uint16_t)~transport_sum(ip, length));
}

bool
packet_checksums_valid(const uint8_t *ip, size_t length)
{
    size_t header = 4 * (size_t)(ip[0] & 0x0f);

    return fold(sum_words(ip, header, 0)) == 0xffff &&
           transport_sum(ip, length) == 0xffff;
}
