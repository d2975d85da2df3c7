/* ridgeridge keygen: generates an operator's credentials. */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cmd.h"

/* Writes the credentials file with mode 0600. */
static enum status_kind
write_credentials(const char *path, const char *name, const char *token,
                  const char *secret, struct status *st)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);

    if (fd < 0) {
        return status_set(st, STATUS_IO,
                          "%s: %s; name a file that does not exist yet", path,
                          g_strerror(errno));
    }
    (void)dprintf(fd,
                  "{\n  // secret: keep it with its operator\n  \"name\": "
                  "\"%s\",\n  \"token\": \"%s\",\n  \"secret_key\": "
                  "\"%s\"\n}\n",
                  name, token, secret);
    (void)close(fd);
    return STATUS_OK;
}

/* Generates a key pair and a token; writes the secrets, and prints the public
 * key and the token's digest. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    unsigned char random[32];
    unsigned char digest[crypto_hash_sha256_BYTES];
    char token[65];
    char secret[129];
    char hex[65];

    (void)options;
    if (strpbrk(args[0], "\"\\") != NULL ||
        strlen(args[0]) > SETTINGS_NAME_MAX) {
        return status_set(st, STATUS_BAD_INPUT,
                          "NAME is too long or has a quote or backslash; "
                          "choose another");
    }
    (void)crypto_sign_keypair(public_key, secret_key);
    randombytes_buf(random, sizeof(random));
    (void)sodium_bin2hex(token, sizeof(token), random, sizeof(random));
    (void)sodium_bin2hex(secret, sizeof(secret), secret_key,
                         sizeof(secret_key));
    if (write_credentials(args[1], args[0], token, secret, st) != STATUS_OK) {
        return st->kind;
    }
    (void)crypto_hash_sha256(digest, (unsigned char *)token, strlen(token));
    (void)printf(
        "{\"name\": \"%s\", \"public_key\": \"%s\", ", args[0],
        sodium_bin2hex(hex, sizeof(hex), public_key, sizeof(public_key)));
    (void)printf("\"token\": \"%s\"}\n",
                 sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest)));
    return STATUS_OK;
}

const struct cmd cmd_keygen = {
    .name = "keygen",
    .args = "NAME FILE",
    .min_args = 2,
    .max_args = 2,
    .help = "Generate an operator's credentials FILE; print the item for "
            "\"operators\" in the settings.",
    .run = run,
};
