/* ridgeridge control: runs a control VM. */
#include "cmd.h"
#include "control.h"
#include "log.h"

/* Loads the settings and runs until a signal. */
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
    if (settings.role != ROLE_CONTROL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"role\" is not \"control\"; start `ridgeridge "
                          "entry` or correct it",
                          options->settings);
    }
    if (!log_open(settings.log, settings.name,
                  (enum log_level)settings.log_level)) {
        return status_set(st, STATUS_IO,
                          "%s: cannot be opened; correct \"log\"",
                          settings.log);
    }
    return control_run(&settings, st);
}

const struct cmd cmd_control = {
    .name = "control",
    .args = "",
    .takes = CMD_SETTINGS,
    .help = "Run a control VM.",
    .run = run,
};
