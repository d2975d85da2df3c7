/**
 * @file cmd.h
 * The table of commands. Each cmd-*.c ends in one entry of it; parsing, help
 * and shell completion come from the entries alone.
 */
#ifndef RIDGERIDGE_CMD_H
#define RIDGERIDGE_CMD_H

#include <popt.h>
#include <stdbool.h>

#include "client.h"
#include "library.h"
#include "settings.h"
#include "status.h"

/** Options that every command knows; a command takes those it names. */
struct cmd_options {
    char *settings;    /**< --settings FILE */
    char *credentials; /**< --credentials FILE */
    char *submission;  /**< --submission ID */
    char *plot;        /**< --plot FILE */
    int json;          /**< --json */
    int verify;        /**< --verify */
    int watch;         /**< --watch */
    int remove;        /**< --remove */
};

/** Which options a command takes, as bits. */
enum cmd_takes {
    CMD_SETTINGS = 1,
    CMD_CREDENTIALS = 2,
    CMD_JSON = 4,
    CMD_SUBMISSION = 8,
    CMD_VERIFY = 16,
    CMD_WATCH = 32,
    CMD_PLOT = 64,
    CMD_REMOVE = 128,
};

/** One command. */
struct cmd {
    const char *name;   /**< as typed */
    const char *args;   /**< operands, for usage */
    int min_args;       /**< operands at least */
    int max_args;       /**< operands at most */
    unsigned takes;     /**< enum cmd_takes */
    const char *help;   /**< one sentence */
    unsigned libraries; /**< enum library_set: loaded before it runs */
    /** Runs it. `args` ends with NULL. */
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

/** Loads the settings of a VM, checks its role and opens its log. */
enum status_kind cmd_load_role(const struct cmd_options *options,
                               enum settings_role role,
                               struct settings *settings, struct status *st);

/** Loads what operators' commands need; free the settings afterwards. */
enum status_kind cmd_load(const struct cmd_options *options,
                          struct settings *settings,
                          struct client_credentials *credentials,
                          struct status *st);

#endif
