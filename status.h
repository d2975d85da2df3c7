/**
 * @file status.h
 * Results of calls: a kind, which selects the exit code of a command and the
 * HTTP status, and a message for the user that names the remedy.
 */
#ifndef RIDGERIDGE_STATUS_H
#define RIDGERIDGE_STATUS_H

#define STATUS_MESSAGE_MAX 384

enum status_kind {
    STATUS_OK,
    STATUS_BAD_INPUT,   /**< a file, body or argument is invalid */
    STATUS_REFUSED,     /**< valid, but not allowed now */
    STATUS_CONFLICT,    /**< the name or key is in use for something else */
    STATUS_NO_ANSWER,   /**< no response in time */
    STATUS_UNCONFIRMED, /**< no quorum confirmed the response */
    STATUS_IO,          /**< a system call failed */
    STATUS_DAMAGED,     /**< stored data is corrupt */
};

struct status {
    enum status_kind kind;
    char message[STATUS_MESSAGE_MAX]; /**< one line; empty when STATUS_OK */
};

/**
 * @return `kind`, for the caller to return
 */
enum status_kind status_set(struct status *st, enum status_kind kind,
                            const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Name in logs and problem documents. */
const char *status_name(enum status_kind kind);

/**
 * Exit code of a command: 0 done, 1 refused, 2 invalid input, 3 no response.
 */
int status_exit_code(enum status_kind kind);

#endif
