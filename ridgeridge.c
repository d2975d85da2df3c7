/* Entry point: command lookup, option parsing (popt), help, completion. */
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd.h"
#include "log.h"

#define VERSION "0.1.0"

/* In the order of the help text. */
static const struct cmd *const commands[] = {
    &cmd_node,         &cmd_node_status,    &cmd_control,      &cmd_entry,
    &cmd_init_control, &cmd_check_settings, &cmd_check_bundle, &cmd_keygen,
    &cmd_submit,       &cmd_sign_off,       &cmd_status,       &cmd_bundle,
    &cmd_explain,      &cmd_report,         &cmd_voters,       &cmd_reference,
};

/* An option and its flag in struct cmd. */
struct option_row {
    unsigned flag;
    struct poptOption option;
};

#define OPTIONS_MAX 10 /* rows of list_options(), with --help and the end */

/* Builds the popt table of a command. */
static void
list_options(const struct cmd *cmd, struct cmd_options *o,
             struct poptOption out[OPTIONS_MAX])
{
    const struct option_row rows[] = {
        {CMD_SETTINGS,
         {"settings", 's', POPT_ARG_STRING, &o->settings, 0,
          "settings file of this VM", "FILE"}},
        {CMD_CREDENTIALS,
         {"credentials", 'c', POPT_ARG_STRING, &o->credentials, 0,
          "operator's credentials, from keygen", "FILE"}},
        {CMD_SUBMISSION,
         {"submission", 0, POPT_ARG_STRING, &o->submission, 0,
          "idempotency key of the submission", "ID"}},
        {CMD_JSON,
         {"json", 'j', POPT_ARG_NONE, &o->json, 0, "print JSON", NULL}},
        {CMD_VERIFY,
         {"verify", 0, POPT_ARG_NONE, &o->verify, 0,
          "recompute the decisions and compare them", NULL}},
        {CMD_WATCH,
         {"watch", 'w', POPT_ARG_NONE, &o->watch, 0, "repeat every second",
          NULL}},
        {CMD_PLOT,
         {"plot", 0, POPT_ARG_STRING, &o->plot, 0,
          "write a gnuplot script that draws FILE.svg", "FILE"}},
        {CMD_REMOVE,
         {"remove", 0, POPT_ARG_NONE, &o->remove, 0,
          "remove the voter instead of adding it", NULL}},
        {CMD_TOLERATE,
         {"tolerate", 0, POPT_ARG_STRING, &o->tolerate, 0,
          "losses at once: tolerated_disks and tolerated_halls",
          "DISKS,HALLS"}},
    };
    const struct poptOption end = POPT_TABLEEND;
    size_t count = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (cmd->option_flags & rows[i].flag) {
            out[count++] = rows[i].option;
        }
    }
    out[count++] =
        (struct poptOption){NULL, 'h', POPT_ARG_NONE, NULL, 'h', NULL, NULL};
    out[count] = end;
}

static void
print_help(FILE *out)
{
    (void)fprintf(out,
                  "ridgeridge %s: a layer-4 load balancer that explains "
                  "its decisions\n\nusage: ridgeridge COMMAND [OPTION "
                  "...] [ARGUMENT ...]\n\n",
                  VERSION);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        (void)fprintf(out, "  %-15s %-26s %s\n", commands[i]->name,
                      commands[i]->args, commands[i]->help);
    }
    (void)fprintf(out,
                  "\n`ridgeridge COMMAND --help` shows a command's options.\n"
                  "Exit codes: 0 done, 1 refused, 2 bad usage or bad input, "
                  "3 no answer or unconfirmed.\n");
}

static void
print_command_help(const struct cmd *cmd)
{
    struct cmd_options options;
    struct poptOption table[OPTIONS_MAX];

    (void)printf("usage: ridgeridge %s [OPTION ...] %s\n\n%s\n\n", cmd->name,
                 cmd->args, cmd->help);
    list_options(cmd, &options, table);
    for (size_t i = 0; table[i].longName != NULL; i++) {
        (void)printf("  --%s%s%s\n        %s\n", table[i].longName,
                     table[i].argDescrip ? " " : "",
                     table[i].argDescrip ? table[i].argDescrip : "",
                     table[i].descrip);
    }
}

/* Prints a completion script for bash. */
static void
print_completion(void)
{
    (void)printf("complete -W \"");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        (void)printf("%s%s", i ? " " : "", commands[i]->name);
    }
    (void)printf("\" ridgeridge\n");
}

static const struct cmd *
find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i]->name, name) == 0) {
            return commands[i];
        }
    }
    return NULL;
}

static bool
check_operand_count(const struct cmd *cmd, const char **args,
                    struct status *st)
{
    int count = 0;

    while (args != NULL && args[count] != NULL) {
        count++;
    }
    if (count < cmd->min_args || count > cmd->max_args) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "wrong number of operands; %s takes: %s; see "
                         "`ridgeridge %s --help`",
                         cmd->name, cmd->args[0] ? cmd->args : "no operands",
                         cmd->name);
        return false;
    }
    return true;
}

/* Parses the options of a command and runs it. */
static void
run_command(const struct cmd *cmd, int argc, const char **argv,
            struct status *st)
{
    static const char *const no_operands[] = {NULL};
    struct cmd_options options = {0};
    struct poptOption table[OPTIONS_MAX];
    const char **args;
    poptContext context;
    int popt_code;

    list_options(cmd, &options, table);
    context = poptGetContext("ridgeridge", argc, argv, table, 0);
    popt_code = poptGetNextOpt(context);
    args = poptGetArgs(context);
    if (popt_code == 'h') {
        print_command_help(cmd);
    }
    else if (popt_code < -1) {
        (void)status_set(
            st, STATUS_BAD_INPUT, "%s: %s; see `ridgeridge %s --help`",
            poptBadOption(context, 0), poptStrerror(popt_code), cmd->name);
    }
    else if (check_operand_count(cmd, args, st) &&
             library_load(cmd->libraries, st) == STATUS_OK) {
        (void)cmd->run(&options, args ? args : (const char **)no_operands, st);
    }
    (void)poptFreeContext(context);
    g_free(options.settings);
    g_free(options.credentials);
    g_free(options.submission);
    g_free(options.plot);
    g_free(options.tolerate);
}

enum status_kind
cmd_load_role(const struct cmd_options *options, enum settings_role role,
              struct settings *settings, struct status *st)
{
    if (options->settings == NULL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "--settings is missing; name the settings file");
    }
    if (settings_load(options->settings, settings, st) != STATUS_OK) {
        return st->kind;
    }
    if (settings->role != (int)role) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"role\" is not the role of this command; run "
                          "the command of that role or correct the settings",
                          options->settings);
    }
    if (!log_open(settings->log, settings->name,
                  (enum log_level)settings->log_level)) {
        return status_set(st, STATUS_IO,
                          "%s: cannot open the log file; correct \"log\"",
                          settings->log);
    }
    return STATUS_OK;
}

enum status_kind
cmd_load(const struct cmd_options *options, struct settings *settings,
         struct client_credentials *credentials, struct status *st)
{
    if (options->settings == NULL || options->credentials == NULL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "--settings and --credentials are both required");
    }
    if (settings_load(options->settings, settings, st) != STATUS_OK) {
        return st->kind;
    }
    if (client_load_credentials(options->credentials, credentials, st) !=
        STATUS_OK) {
        settings_free(settings);
    }
    return st->kind;
}

int
main(int argc, const char **argv)
{
    struct status st = {STATUS_OK, ""};
    const struct cmd *cmd;

    if (sodium_init() < 0) {
        (void)fprintf(stderr, "ridgeridge: libsodium failed to initialize\n");
        return 2;
    }
    if (argc < 2) {
        print_help(stderr);
        return 2;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
        print_help(stdout);
        return 0;
    }
    if (strcmp(argv[1], "--version") == 0) {
        (void)printf("ridgeridge %s\n", VERSION);
        return 0;
    }
    if (strcmp(argv[1], "--completion") == 0) {
        print_completion();
        return 0;
    }
    cmd = find_command(argv[1]);
    if (cmd == NULL) {
        (void)fprintf(stderr,
                      "ridgeridge: unknown command \"%s\"; see `ridgeridge "
                      "--help`\n",
                      argv[1]);
        return 2;
    }
    run_command(cmd, argc - 1, argv + 1, &st);
    if (st.kind != STATUS_OK) {
        (void)fprintf(stderr, "ridgeridge %s: %s: %s\n", cmd->name,
                      status_name(st.kind), st.message);
    }
    return status_exit_code(st.kind);
}
