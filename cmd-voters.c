/* ridgeridge voters: adds a control replica to the voters, or removes one. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;
    struct client_credentials credentials;
    struct client_reply reply = {0, NULL, 0};
    char *body;

    if (cmd_load(options, &settings, &credentials, st) != STATUS_OK) {
        return st->kind;
    }
    body = g_strdup_printf("{\"replica\": %lu, \"remove\": %d}",
                           strtoul(args[0], NULL, 10), options->remove);
    if (client_request_control(&settings, &credentials, "POST", "/v1/voters",
                               NULL, body, strlen(body), &reply,
                               st) == STATUS_OK) {
        (void)printf("%s\n", st->message);
    }
    g_free(body);
    client_free(&reply);
    settings_free(&settings);
    return st->kind;
}

const struct cmd cmd_voters = {
    .name = "voters",
    .args = "REPLICA",
    .min_args = 1,
    .max_args = 1,
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS | CMD_REMOVE,
    .help = "Add a caught-up control VM to the voters, or remove one; one "
            "change at a time.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
