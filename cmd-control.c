/* ridgeridge control: runs a control VM. */
#include "cmd.h"
#include "control.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;

    (void)args;
    if (cmd_load_role(options, ROLE_CONTROL, &settings, st) != STATUS_OK) {
        return st->kind;
    }
    return control_run(&settings, st);
}

const struct cmd cmd_control = {
    .name = "control",
    .args = "",
    .option_flags = CMD_SETTINGS,
    .help = "Run a control VM.",
    .libraries = LIBRARY_ULFIUS,
    .run = run,
};
