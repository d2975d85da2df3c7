/**
 * @file address.h
 * IPv4 endpoints as text, "a.b.c.d:port". Addresses are in host order.
 */
#ifndef RIDGERIDGE_ADDRESS_H
#define RIDGERIDGE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#define ADDRESS_TEXT 24 /**< size of a buffer for an endpoint */

/** @return `out` */
const char *address_format(uint32_t address, uint16_t port,
                           char out[ADDRESS_TEXT]);

/** False if the text is malformed or the port is 0. */
bool address_parse(const char *text, uint32_t *address, uint16_t *port);

#endif
