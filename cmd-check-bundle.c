/* ridgeridge check-bundle: validates a bundle file, optionally as the
 * successor of another one. */
#include <stdio.h>

#include "bundle.h"
#include "cmd.h"

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct bundle bundle;
    struct bundle base;

    (void)options;
    if (bundle_load(args[0], &bundle, st) != STATUS_OK) {
        return st->kind;
    }
    if (args[1] != NULL) {
        if (bundle_load(args[1], &base, st) == STATUS_OK) {
            (void)bundle_check_successor(&base, &bundle, st);
            bundle_free(&base);
        }
    }
    if (st->kind == STATUS_OK) {
        (void)printf("%s: ok, version %llu, %zu services\n", args[0],
                     (unsigned long long)bundle.version, bundle.service_count);
    }
    bundle_free(&bundle);
    return st->kind;
}

const struct cmd cmd_check_bundle = {
    .name = "check-bundle",
    .args = "FILE [BASE]",
    .min_args = 1,
    .max_args = 2,
    .help = "Check a bundle, and whether it is a valid successor of BASE.",
    .run = run,
};
