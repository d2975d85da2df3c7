/* ridgeridge entry: runs an entry VM. */
#include "cmd.h"
#include "entry.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;

    (void)args;
    if (cmd_load_role(options, ROLE_ENTRY, &settings, st) != STATUS_OK) {
        return st->kind;
    }
    return entry_run(&settings, st);
}

const struct cmd cmd_entry = {
    .name = "entry",
    .args = "",
    .option_flags = CMD_SETTINGS,
    .help = "Run an entry VM.",
    .libraries = LIBRARY_ULFIUS | LIBRARY_CURL | LIBRARY_MICROHTTPD,
    .run = run,
};
