/* ridgeridge check-settings: validates a settings file of an entry or control
 * VM. */
#include <stdio.h>

#include "cmd.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;

    (void)options;
    if (settings_load(args[0], &settings, st) != STATUS_OK) {
        return st->kind;
    }
    (void)printf("%s: ok, %s \"%s\" in hall \"%s\"\n", args[0],
                 settings.role == ROLE_ENTRY ? "entry" : "control",
                 settings.name, settings.hall);
    settings_free(&settings);
    return STATUS_OK;
}

const struct cmd cmd_check_settings = {
    .name = "check-settings",
    .args = "FILE",
    .min_args = 1,
    .max_args = 1,
    .help = "Check a settings file of an entry or control VM.",
    .run = run,
};
