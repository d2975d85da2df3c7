/* ridgeridge reference: prints reference pages in Markdown. */
#include <stdio.h>
#include <string.h>

#include "bundle.h"
#include "cmd.h"
#include "counter.h"
#include "node-settings.h"
#include "ring.h"

static void
print_rules(void)
{
    (void)printf("# Rules\n\n| rule | meaning |\n|---|---|\n");
    for (int i = 0; i < RULE_COUNT; i++) {
        (void)printf("| `%s` | %s |\n", ring_rule_name((enum ring_rule)i),
                     ring_rule_help((enum ring_rule)i));
    }
}

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    (void)options;
    if (strcmp(args[0], "settings") == 0) {
        schema_print(&settings_schema, false);
    }
    else if (strcmp(args[0], "node") == 0) {
        schema_print(&node_settings_schema, false);
    }
    else if (strcmp(args[0], "bundle") == 0) {
        schema_print(&bundle_schema, false);
    }
    else if (strcmp(args[0], "rules") == 0) {
        print_rules();
    }
    else {
        return status_set(st, STATUS_BAD_INPUT,
                          "no reference page \"%s\"; name settings, node, "
                          "bundle or rules",
                          args[0]);
    }
    return STATUS_OK;
}

const struct cmd cmd_reference = {
    .name = "reference",
    .args = "settings|node|bundle|rules",
    .min_args = 1,
    .max_args = 1,
    .help = "Print the reference page of settings, bundles or rules in "
            "Markdown.",
    .run = run,
};
