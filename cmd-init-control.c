/* ridgeridge init-control: creates the data folder of a bootstrap voter. */
#include "cmd.h"
#include "store.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;

    (void)args;
    if (options->settings == NULL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "--settings is missing; name the settings file");
    }
    if (settings_load(options->settings, &settings, st) != STATUS_OK) {
        return st->kind;
    }
    if (settings.role != ROLE_CONTROL ||
        !settings_find_control(&settings, settings.id)->founder) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s: not the settings of a founder; run `ridgeridge "
                         "control` without init-control to join",
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
    .option_flags = CMD_SETTINGS,
    .help = "Create the data folder of a control VM in a new deployment; "
            "never to replace a lost disk.",
    .run = run,
};
