/* ridgeridge bundle: prints the bundle in force. */
#include <stdio.h>

#include "cmd.h"

/* The leader confirms the read with a quorum. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;
    struct client_credentials credentials;
    struct client_reply reply = {0, NULL, 0};

    (void)args;
    if (cmd_load(options, &settings, &credentials, st) != STATUS_OK) {
        return st->kind;
    }
    if (client_request_control(&settings, &credentials, "GET",
                               "/v1/bundles/in-force", NULL, NULL, 0, &reply,
                               st) == STATUS_OK) {
        (void)fwrite(reply.body, 1, reply.length, stdout);
    }
    client_free(&reply);
    settings_free(&settings);
    return st->kind;
}

const struct cmd cmd_bundle = {
    .name = "bundle",
    .args = "",
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS,
    .help = "Print the bundle in force.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
