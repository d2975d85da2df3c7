/* ridgeridge submit: submits a bundle. */
#include <glib.h>
#include <sodium.h>
#include <stdio.h>

#include "bundle.h"
#include "cmd.h"

/* Idempotency key of the submission: the option, or operator, version and
 * digest, so that repeating the command repeats the submission. */
static char *
submission_id(const struct cmd_options *options, const char *operator_name,
              const struct bundle *bundle)
{
    char hex[2 * BUNDLE_DIGEST_BYTES + 1];

    if (options->submission != NULL) {
        return g_strdup(options->submission);
    }
    (void)sodium_bin2hex(hex, sizeof(hex), bundle->digest,
                         sizeof(bundle->digest));
    return g_strdup_printf("%.16s-%llu-%.16s", operator_name,
                           (unsigned long long)bundle->version, hex);
}

/* Validates the bundle locally before submitting it. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;
    struct client_credentials credentials;
    struct client_reply reply = {0, NULL, 0};
    struct bundle bundle;
    size_t length = 0;
    char *text;
    char *id;

    if (cmd_load(options, &settings, &credentials, st) != STATUS_OK) {
        return st->kind;
    }
    text = schema_load(args[0], &length, st);
    if (text != NULL &&
        bundle_read(args[0], text, length, &bundle, st) == STATUS_OK) {
        id = submission_id(options, credentials.name, &bundle);
        if (client_request_control(&settings, &credentials, "POST",
                                   "/v1/bundles", id, text, length, &reply,
                                   st) == STATUS_OK) {
            (void)printf("version %llu: %s (submission %s)\n",
                         (unsigned long long)bundle.version, st->message, id);
        }
        g_free(id);
        client_free(&reply);
        bundle_free(&bundle);
    }
    g_free(text);
    settings_free(&settings);
    return st->kind;
}

const struct cmd cmd_submit = {
    .name = "submit",
    .args = "BUNDLE",
    .min_args = 1,
    .max_args = 1,
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS | CMD_SUBMISSION,
    .help = "Submit a bundle; submitting it again returns the first outcome.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
