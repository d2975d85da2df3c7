/* ridgeridge node: runs a node of a fleet with peer discovery. */
#include "cmd.h"
#include "log.h"
#include "node.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct node_settings settings;

    (void)args;
    if (options->settings == NULL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "--settings is missing; name the settings file");
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
    .option_flags = CMD_SETTINGS,
    .help = "Run a node: an entry with peer discovery; with a disk, a voter.",
    .run = run,
};
