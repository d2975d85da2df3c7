/* Conversion of IPv4 endpoints to and from text. */
#include "address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *
address_format(uint32_t address, uint16_t port, char out[ADDRESS_TEXT])
{
    (void)snprintf(out, ADDRESS_TEXT, "%u.%u.%u.%u:%u", address >> 24,
                   (address >> 16) & 255, (address >> 8) & 255, address & 255,
                   port);
    return out;
}

bool
address_parse(const char *text, uint32_t *address, uint16_t *port)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    struct in_addr in;
    char *end = NULL;
    unsigned long number;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    number = strtoul(colon + 1, &end, 10);
    if (inet_pton(AF_INET, host, &in) != 1 || *end != '\0' || number == 0 ||
        number > UINT16_MAX) {
        return false;
    }
    *address = ntohl(in.s_addr);
    *port = (uint16_t)number;
    return true;
}
