/* ridgeridge node-status: queries a node for its state or for one flow. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "cmd.h"
#include "evidence-verify.h"
#include "evidence.h"

#define PATH_BYTES 64
#define URL_BYTES 160

/* Path of a flow's resource, from the flow's hash or its two endpoints. */
static enum status_kind
flow_path(const char **args, char *out, size_t size, struct status *st)
{
    struct evidence_packet packet = {0};
    unsigned long long hash;
    char *end = NULL;

    if (args[2] == NULL) {
        hash = strtoull(args[1], &end, 16);
        if (end == args[1] || *end != '\0') {
            return status_set(
                st, STATUS_BAD_INPUT,
                "\"%s\" is not a flow; give the 16 hex digits of "
                "\"flow\" in the log, or CALLER:PORT ROUTE:PORT",
                args[1]);
        }
    }
    else if (address_parse(args[1], &packet.source, &packet.source_port) &&
             address_parse(args[2], &packet.destination,
                           &packet.destination_port)) {
        hash = evidence_hash(&packet);
    }
    else {
        return status_set(st, STATUS_BAD_INPUT,
                          "not an IPv4 address and port; give CALLER:PORT "
                          "ROUTE:PORT");
    }
    (void)snprintf(out, size, "/v1/flows/%016llx", hash);
    return STATUS_OK;
}

/* Fails when the node recomputed a decision with another result. */
static enum status_kind
check_decisions(json_object *doc, struct status *st)
{
    json_object *list = json_object_object_get(doc, "decisions");
    size_t count = list != NULL ? json_object_array_length(list) : 0;

    for (size_t i = 0; i < count; i++) {
        const char *result =
            client_text(json_object_array_get_idx(list, i), "recomputed");

        if (strcmp(result, evidence_proof_name(EVIDENCE_DISPROVED)) == 0) {
            return status_set(st, STATUS_REFUSED,
                              "decision %zu differs from its recomputation; "
                              "report it with this output and the node's "
                              "log",
                              i + 1);
        }
    }
    return STATUS_OK;
}

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    struct client_credentials no_credentials = {.name = ""};
    struct client_reply reply = {0};
    char path[PATH_BYTES] = "/v1/status";
    char url[URL_BYTES];
    json_object *doc;

    if (args[1] != NULL &&
        flow_path(args, path, sizeof(path), st) != STATUS_OK) {
        return st->kind;
    }
    (void)snprintf(url, sizeof(url), "http://%s%s", args[0], path);
    client_request("GET", url, &no_credentials, NULL, NULL, 0, &reply);
    doc = client_json(&reply);
    if (doc == NULL) {
        (void)status_set(st, STATUS_NO_ANSWER,
                         "%s did not answer; give the address and "
                         "metrics_port of a running node",
                         args[0]);
    }
    else {
        (void)printf("%s\n", json_object_to_json_string_ext(
                                 doc, JSON_C_TO_STRING_PRETTY |
                                          JSON_C_TO_STRING_SPACED));
        if (options->verify) {
            (void)check_decisions(doc, st);
        }
        json_object_put(doc);
    }
    client_free(&reply);
    return st->kind;
}

const struct cmd cmd_node_status = {
    .name = "node-status",
    .args = "ADDRESS:PORT [FLOW | CALLER ROUTE]",
    .min_args = 1,
    .max_args = 3,
    .option_flags = CMD_VERIFY,
    .help = "Show a node's state, or its decisions about a flow.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
