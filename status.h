/**
 * @file status.h
 * Typed results. A status is a kind and a last message; the message names
 * the remedy. Exit codes of commands follow from the kind alone.
 */
#ifndef RIDGERIDGE_STATUS_H
#define RIDGERIDGE_STATUS_H

#define STATUS_MESSAGE_MAX 384

/** What kind of result a call had. */
enum status_kind {
    STATUS_OK,          /**< done */
    STATUS_BAD_INPUT,   /**< a file, body or argument is wrong */
    STATUS_REFUSED,     /**< understood, and not allowed now */
    STATUS_CONFLICT,    /**< another submission or body holds the name */
    STATUS_NO_ANSWER,   /**< nobody answered in time */
    STATUS_UNCONFIRMED, /**< answered, but no quorum confirmed it */
    STATUS_IO,          /**< the operating system refused */
    STATUS_DAMAGED,     /**< stored state is damaged */
};

/** A result: its kind and the last message. */
struct status {
    enum status_kind kind;            /**< STATUS_OK when all is well */
    char message[STATUS_MESSAGE_MAX]; /**< one line; empty when OK */
};

/** Sets the kind and message; returns the kind so callers can return it. */
enum status_kind status_set(struct status *st, enum status_kind kind,
                            const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** The kind's name as logs and problem documents print it. */
const char *status_name(enum status_kind kind);

/** Process exit code: 0 done, 1 refused, 2 bad input, 3 no answer. */
int status_exit_code(enum status_kind kind);

#endif
