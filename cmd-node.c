/* ridgeridge node: runs an entry of a fleet that finds itself. */
#include "cmd.h"
#include "log.h"
#include "node.h"

/* Loads the settings and runs until a planned stop is done. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct node_settings settings;

    (void)args;
    if (options->settings == NULL) {
        return status_set(st, STATUS_BAD_INPUT, "--settings is needed");
    }
    if (node_settings_load(options->settings, &settings, st) != STATUS_OK) {
        return st->kind;
    }
    (void)log_open(LOG_STDOUT, settings.name,
                   (enum log_level)settings.log_level);
    return node_run(&settings, options->settings, st);
}

const struct cmd cmd_node = {
    .name = "node",
    .args = "",
    .takes = CMD_SETTINGS,
    .help = "Run an entry of a fleet that finds itself; with a disk, a voter.",
    .run = run,
};
