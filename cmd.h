/**
 * @file cmd.h
 * Command-line commands. Each cmd-*.c defines one struct cmd, from which
 * ridgeridge.c derives option parsing, help and shell completion.
 */
#ifndef RIDGERIDGE_CMD_H
#define RIDGERIDGE_CMD_H

#include <popt.h>
#include <stdbool.h>

#include "client.h"
#include "library.h"
#include "settings.h"
#include "status.h"

/** Values of the options; NULL or 0 when not given. */
struct cmd_options {
    char *settings;    /**< --settings FILE */
    char *credentials; /**< --credentials FILE */
    char *submission;  /**< --submission ID */
    char *plot;        /**< --plot FILE */
    char *tolerate;    /**< --tolerate DISKS,HALLS */
    int json;          /**< --json */
    int verify;        /**< --verify */
    int watch;         /**< --watch */
    int remove;        /**< --remove */
};

/** Options of a command, as flags. */
enum cmd_option_flags {
    CMD_SETTINGS = 1,
    CMD_CREDENTIALS = 2,
    CMD_JSON = 4,
    CMD_SUBMISSION = 8,
    CMD_VERIFY = 16,
    CMD_WATCH = 32,
    CMD_PLOT = 64,
    CMD_REMOVE = 128,
    CMD_TOLERATE = 256,
};

struct cmd {
    const char *name;      /**< on the command line */
    const char *args;      /**< operands, for the usage line */
    int min_args;          /**< least number of operands */
    int max_args;          /**< greatest number of operands */
    unsigned option_flags; /**< enum cmd_option_flags */
    const char *help;      /**< one sentence, for help */
    unsigned libraries;    /**< enum library_set, loaded before `run` */
    /** Runs the command. @param args operands, NULL-terminated */
    enum status_kind (*run)(const struct cmd_options *options,
                            const char **args, struct status *st);
};

extern const struct cmd cmd_control;
extern const struct cmd cmd_entry;
extern const struct cmd cmd_node;
extern const struct cmd cmd_node_status;
extern const struct cmd cmd_init_control;
extern const struct cmd cmd_check_settings;
extern const struct cmd cmd_check_bundle;
extern const struct cmd cmd_keygen;
extern const struct cmd cmd_submit;
extern const struct cmd cmd_sign_off;
extern const struct cmd cmd_status;
extern const struct cmd cmd_bundle;
extern const struct cmd cmd_voters;
extern const struct cmd cmd_explain;
extern const struct cmd cmd_report;
extern const struct cmd cmd_reference;

/** Loads the settings of a VM, checks its role and opens the log. */
enum status_kind cmd_load_role(const struct cmd_options *options,
                               enum settings_role role,
                               struct settings *settings, struct status *st);

/** Loads settings and credentials of an operator's command; free with
 * settings_free(). */
enum status_kind cmd_load(const struct cmd_options *options,
                          struct settings *settings,
                          struct client_credentials *credentials,
                          struct status *st);

#endif
