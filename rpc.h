/**
 * @file rpc.h
 * Messages between control VMs, and between control and entries, over ONC RPC
 * (RFC 5531) on TCP: one procedure that delivers one encrypted message. Each
 * destination has its own thread and bounded queue, so an unreachable one
 * does not delay the others.
 */
#ifndef RIDGERIDGE_RPC_H
#define RIDGERIDGE_RPC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "counter.h"
#include "generated/wire.h"
#include "status.h"

#define RPC_QUEUE_MAX 256          /**< queued messages per destination */
#define RPC_TIMEOUT_MS 2000U       /**< of one call */
#define RPC_QUEUE_TIMEOUT_MS 1000U /**< then a queued message is dropped */

/** Runs on the event loop's thread; `msg` is freed afterwards. */
typedef void (*rpc_handler)(void *data, const wire_msg *msg);

/**
 * Listens and passes received messages to `handler`.
 * @return STATUS_IO if the port cannot be opened
 */
enum status_kind rpc_listen(uint32_t address, uint16_t port,
                            rpc_handler handler, void *data,
                            struct counters *counters, struct status *st);

/** Encrypts and queues an encoded message; drops it if the queue is full. */
void rpc_send(uint32_t address, uint16_t port, const GByteArray *bytes);

#endif
