/* ridgeridge sign-off: signs the digest of the accepted bundle (Ed25519). */
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "auth.h"
#include "cmd.h"

/* Finds the digest of the accepted bundle; false when it is another version or
 * already rolled out. */
static bool
find_digest(const struct client_reply *reply, uint64_t version, char hex[65],
            struct status *st)
{
    json_object *doc = client_json(reply);
    json_object *pending = NULL;
    bool found = false;

    if (doc != NULL && json_object_object_get_ex(doc, "pending", &pending)) {
        found = (uint64_t)client_number(pending, "version") == version;
        g_strlcpy(hex, client_text(pending, "digest"), 65);
    }
    else if ((uint64_t)client_number(doc, "version") >= version) {
        (void)status_set(st, STATUS_OK, "already rolled out");
        json_object_put(doc);
        return false;
    }
    if (!found) {
        (void)status_set(st, STATUS_REFUSED,
                         "version %llu is not the accepted bundle; see "
                         "`ridgeridge status`",
                         (unsigned long long)version);
    }
    json_object_put(doc);
    return found;
}

static enum status_kind
send_signature(const struct settings *settings,
               const struct client_credentials *credentials, uint64_t version,
               const char *hex, struct status *st)
{
    struct client_reply reply = {0, NULL, 0};
    unsigned char digest[WIRE_DIGEST];
    unsigned char bytes[AUTH_SIGN_OFF_MAX];
    unsigned char signature[WIRE_SIGNATURE];
    char signature_hex[2 * WIRE_SIGNATURE + 1];
    size_t length = 0;
    char *body;

    (void)sodium_hex2bin(digest, sizeof(digest), hex, strlen(hex), NULL,
                         &length, NULL);
    length = auth_sign_off_message(version, digest, bytes);
    (void)crypto_sign_detached(signature, NULL, bytes, length,
                               credentials->secret_key);
    (void)sodium_bin2hex(signature_hex, sizeof(signature_hex), signature,
                         sizeof(signature));
    body = g_strdup_printf(
        "{\"version\": %llu, \"digest\": \"%s\", \"signature\": \"%s\"}",
        (unsigned long long)version, hex, signature_hex);
    (void)client_request_control(settings, credentials, "POST",
                                 "/v1/sign-offs", NULL, body, strlen(body),
                                 &reply, st);
    client_free(&reply);
    g_free(body);
    return st->kind;
}

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    uint64_t version = strtoull(args[0], NULL, 10);
    struct settings settings;
    struct client_credentials credentials;
    struct client_reply reply = {0, NULL, 0};
    char hex[65] = "";

    if (cmd_load(options, &settings, &credentials, st) != STATUS_OK) {
        return st->kind;
    }
    if (client_request_control(&settings, &credentials, "GET", "/v1/status",
                               NULL, NULL, 0, &reply, st) == STATUS_OK &&
        find_digest(&reply, version, hex, st)) {
        (void)send_signature(&settings, &credentials, version, hex, st);
    }
    if (st->kind == STATUS_OK) {
        (void)printf("version %llu: %s\n", (unsigned long long)version,
                     st->message);
    }
    client_free(&reply);
    settings_free(&settings);
    return st->kind;
}

const struct cmd cmd_sign_off = {
    .name = "sign-off",
    .args = "VERSION",
    .min_args = 1,
    .max_args = 1,
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS,
    .help = "Sign the accepted bundle off, as another operator than its "
            "submitter; starts its roll-out.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
