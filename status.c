/* Names and exit codes of status kinds. */
#include "status.h"

#include <stdarg.h>
#include <stdio.h>

enum status_kind
status_set(struct status *st, enum status_kind kind, const char *format, ...)
{
    va_list args;

    st->kind = kind;
    va_start(args, format);
    (void)vsnprintf(st->message, sizeof(st->message), format, args);
    va_end(args);
    return kind;
}

const char *
status_name(enum status_kind kind)
{
    switch (kind) {
    case STATUS_OK:
        return "ok";
    case STATUS_BAD_INPUT:
        return "bad-input";
    case STATUS_REFUSED:
        return "refused";
    case STATUS_CONFLICT:
        return "conflict";
    case STATUS_NO_ANSWER:
        return "no-answer";
    case STATUS_UNCONFIRMED:
        return "unconfirmed";
    case STATUS_IO:
        return "io-error";
    case STATUS_DAMAGED:
        return "damaged";
    }
    return "unknown";
}

int
status_exit_code(enum status_kind kind)
{
    switch (kind) {
    case STATUS_OK:
        return 0;
    case STATUS_REFUSED:
    case STATUS_CONFLICT:
        return 1;
    case STATUS_BAD_INPUT:
    case STATUS_IO:
    case STATUS_DAMAGED:
        return 2;
    case STATUS_NO_ANSWER:
    case STATUS_UNCONFIRMED:
        return 3;
    }
    return 2;
}
