/**
 * @file address.h
 * IPv4 addresses and ports as text.
 */
#ifndef RIDGERIDGE_ADDRESS_H
#define RIDGERIDGE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#define ADDRESS_TEXT 24 /**< bytes of "255.255.255.255:65535" and its end */

/** Writes "a.b.c.d:port"; returns `out`. `address` is in host order. */
const char *address_format(uint32_t address, uint16_t port,
                           char out[ADDRESS_TEXT]);

/** Reads "a.b.c.d:port"; false when it is not one. */
bool address_parse(const char *text, uint32_t *address, uint16_t *port);

#endif
