/* ridgeridge status: state of control, entries and upstreams. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cmd.h"
#include "explain.h"

#define WATCH_INTERVAL_US 1000000

static void
print_entry(json_object *entry)
{
    json_object *stopping = NULL;

    (void)json_object_object_get_ex(entry, "stopping", &stopping);
    (void)printf("  %-14s %-14s version %-5lld step %-2lld epoch %-4lld "
                 "lease %lld ms%s\n",
                 client_text(entry, "name"), client_text(entry, "hall"),
                 (long long)client_number(entry, "version"),
                 (long long)client_number(entry, "step"),
                 (long long)client_number(entry, "epoch"),
                 (long long)client_number(entry, "lease_left_ms"),
                 json_object_get_boolean(stopping) ? "  stopping" : "");
}

/* Prints the bundle that is accepted and not yet in force. */
static void
print_pending(json_object *doc)
{
    json_object *pending = NULL;

    if (!json_object_object_get_ex(doc, "pending", &pending)) {
        return;
    }
    (void)printf("accepted: version %lld by %s, digest %.16s..., waiting for "
                 "sign-off or roll-out\n",
                 (long long)client_number(pending, "version"),
                 client_text(pending, "operator"),
                 client_text(pending, "digest"));
}

static void
print_status(json_object *doc)
{
    json_object *entries = NULL;
    json_object *in_force = NULL;
    json_object *confirmed = NULL;
    size_t count;

    (void)json_object_object_get_ex(doc, "in_force", &in_force);
    (void)json_object_object_get_ex(doc, "confirmed", &confirmed);
    (void)printf("leader: replica %lld, term %lld, log %lld/%lld\n",
                 (long long)client_number(doc, "leader"),
                 (long long)client_number(doc, "term"),
                 (long long)client_number(doc, "log_committed"),
                 (long long)client_number(doc, "log_last"));
    (void)printf(
        "bundle: version %lld, step %s, %s (%s); last roll-out took "
        "%lld ms\n",
        (long long)client_number(doc, "version"), client_text(doc, "step"),
        json_object_get_boolean(in_force) ? "in force" : "not in force",
        json_object_get_boolean(confirmed) ? "confirmed by a quorum"
                                           : "unconfirmed",
        (long long)client_number(doc, "in_force_ms"));
    if (client_text(doc, "unconfirmed_entries")[0] != '\0') {
        (void)printf("not confirmed by: %s\n",
                     client_text(doc, "unconfirmed_entries"));
    }
    print_pending(doc);
    (void)json_object_object_get_ex(doc, "entries", &entries);
    count = entries ? json_object_array_length(entries) : 0;
    (void)printf("entries: %zu in epoch %lld\n", count,
                 (long long)client_number(doc, "epoch"));
    for (size_t i = 0; i < count; i++) {
        print_entry(json_object_array_get_idx(entries, i));
    }
}

/* Prints one upstream, with its flows summed over the entries. */
static void
print_upstream(json_object *answers, size_t service, size_t upstream)
{
    json_object *list = NULL;
    json_object *u = NULL;
    int64_t assigned = 0;

    for (size_t i = 0; i < json_object_array_length(answers); i++) {
        json_object *services = NULL;
        json_object *s;

        (void)json_object_object_get_ex(json_object_array_get_idx(answers, i),
                                        "services", &services);
        s = json_object_array_get_idx(services, service);
        if (s == NULL || !json_object_object_get_ex(s, "upstreams", &list) ||
            json_object_array_get_idx(list, upstream) == NULL) {
            continue;
        }
        u = json_object_array_get_idx(list, upstream);
        assigned += client_number(u, "flows_placed");
    }
    if (u != NULL) {
        (void)printf("  %-14s %-22s %-8s flows placed %lld\n",
                     client_text(u, "name"), client_text(u, "endpoint"),
                     client_text(u, "state"), (long long)assigned);
    }
}

/* Prints the upstreams, as the entries report them. */
static void
print_upstreams(const struct settings *settings,
                const struct client_credentials *credentials,
                struct status *st)
{
    GString *unanswered = g_string_new("");
    struct status entries_status = *st;
    json_object *answers =
        explain_query_entries(settings, credentials, "/.ridgeridge/status",
                              unanswered, &entries_status);
    json_object *services = NULL;

    if (json_object_array_length(answers) > 0) {
        (void)json_object_object_get_ex(json_object_array_get_idx(answers, 0),
                                        "services", &services);
    }
    for (size_t i = 0;
         services != NULL && i < json_object_array_length(services); i++) {
        json_object *s = json_object_array_get_idx(services, i);
        json_object *list = NULL;

        (void)printf("service %s\n", client_text(s, "name"));
        (void)json_object_object_get_ex(s, "upstreams", &list);
        for (size_t j = 0; j < json_object_array_length(list); j++) {
            print_upstream(answers, i, j);
        }
    }
    if (unanswered->len > 0) {
        (void)printf("no answer from: %s\n", unanswered->str);
    }
    json_object_put(answers);
    g_string_free(unanswered, TRUE);
}

/* Queries control and the entries, and prints. */
static enum status_kind
show_status(const struct cmd_options *options, const struct settings *settings,
            const struct client_credentials *credentials, struct status *st)
{
    struct client_reply reply = {0, NULL, 0};
    json_object *doc;

    (void)client_request_control(settings, credentials, "GET", "/v1/status",
                                 NULL, NULL, 0, &reply, st);
    doc = reply.body != NULL ? client_json(&reply) : NULL;
    if (doc != NULL && options->json) {
        (void)printf("%s\n", json_object_to_json_string_ext(
                                 doc, JSON_C_TO_STRING_PRETTY));
    }
    else if (doc != NULL && client_text(doc, "detail")[0] == '\0') {
        print_status(doc);
        if (st->kind == STATUS_OK) {
            print_upstreams(settings, credentials, st);
        }
    }
    json_object_put(doc);
    client_free(&reply);
    (void)fflush(stdout);
    return st->kind;
}

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct settings settings;
    struct client_credentials credentials;

    (void)args;
    if (cmd_load(options, &settings, &credentials, st) != STATUS_OK) {
        return st->kind;
    }
    (void)show_status(options, &settings, &credentials, st);
    while (options->watch) {
        g_usleep(WATCH_INTERVAL_US);
        (void)printf("\n");
        (void)show_status(options, &settings, &credentials, st);
    }
    settings_free(&settings);
    return st->kind;
}

const struct cmd cmd_status = {
    .name = "status",
    .args = "",
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS | CMD_JSON | CMD_WATCH,
    .help = "Show the bundle, its roll-out, the entries and their leases; "
            "exit 3 when no quorum confirms it.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
