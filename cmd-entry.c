/* ridgeridge entry: runs an entry VM. */
#include "cmd.h"
#include "entry.h"
#include "log.h"

/* Loads the settings and runs until a planned stop is done. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;

    (void)args;
    if (options->settings == NULL) {
        return status_set(st, STATUS_BAD_INPUT, "--settings is needed");
    }
    if (settings_load(options->settings, &settings, st) != STATUS_OK) {
        return st->kind;
    }
    if (settings.role != ROLE_ENTRY) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"role\" is not \"entry\"; start `ridgeridge "
                          "control` or correct it",
                          options->settings);
    }
    if (!log_open(settings.log, settings.name,
                  (enum log_level)settings.log_level)) {
        return status_set(st, STATUS_IO,
                          "%s: cannot be opened; correct \"log\"",
                          settings.log);
    }
    return entry_run(&settings, st);
}

const struct cmd cmd_entry = {
    .name = "entry",
    .args = "",
    .takes = CMD_SETTINGS,
    .help = "Run an entry VM.",
    .run = run,
};
