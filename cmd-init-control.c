/* ridgeridge init-control: makes the data folder of a founding replica. */
#include "cmd.h"
#include "store.h"

/* Makes the folder. */
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
    if (settings.role != ROLE_CONTROL ||
        !settings_find_control(&settings, settings.id)->founder) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s: not the settings of a founder; start "
                         "`ridgeridge control` without init, it then joins",
                         options->settings);
    }
    else {
        (void)store_init(settings.data, (uint32_t)settings.id, st);
    }
    settings_free(&settings);
    return st->kind;
}

const struct cmd cmd_init_control = {
    .name = "init-control",
    .args = "",
    .takes = CMD_SETTINGS,
    .help = "Make the data folder of a control VM at the first install only; "
            "never after a disk was lost.",
    .run = run,
};
