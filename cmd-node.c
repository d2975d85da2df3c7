/* ridgeridge node: runs a node of a fleet with peer discovery. */
#include <glib.h>

#include "cmd.h"
#include "log.h"
#include "node.h"

/* Overrides the tolerated losses of the settings. A number that is left out
 * stays as it is: a platform may not know it. */
static enum status_kind
set_tolerated(const char *text, struct node_settings *settings,
              struct status *st)
{
    char **numbers = g_strsplit(text, ",", 2);
    uint64_t *const out[] = {&settings->tolerated_disks,
                             &settings->tolerated_halls};
    static const uint64_t limits[] = {NODE_TOLERATED_DISKS_MAX,
                                      NODE_TOLERATED_HALLS_MAX};

    st->kind = STATUS_OK;
    for (size_t i = 0; i < G_N_ELEMENTS(out) && numbers[i] != NULL; i++) {
        if (numbers[i][0] != '\0' &&
            !g_ascii_string_to_unsigned(numbers[i], 10, 0, limits[i], out[i],
                                        NULL)) {
            (void)status_set(st, STATUS_BAD_INPUT,
                             "--tolerate %s: give numbers of disks, 0 to %u, "
                             "and of data halls, 0 to %u, as in 1,0",
                             text, NODE_TOLERATED_DISKS_MAX,
                             NODE_TOLERATED_HALLS_MAX);
            break;
        }
    }
    g_strfreev(numbers);
    return st->kind;
}

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
    if (options->tolerate != NULL &&
        set_tolerated(options->tolerate, &settings, st) != STATUS_OK) {
        return st->kind;
    }
    (void)log_open(LOG_STDOUT, settings.name,
                   (enum log_level)settings.log_level);
    return node_run(&settings, options->settings, st);
}

const struct cmd cmd_node = {
    .name = "node",
    .args = "",
    .option_flags = CMD_SETTINGS | CMD_TOLERATE,
    .help = "Run a node: an entry with peer discovery; with a disk, a voter.",
    .run = run,
};
