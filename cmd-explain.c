/* ridgeridge explain: recorded decisions about flows and requests. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "auth.h"
#include "cmd.h"
#include "explain.h"
#include "hash.h"

/* Context of one explain command. */
struct explain_context {
    const struct cmd_options *options;
    struct settings settings;
    struct client_credentials credentials;
    struct bundle bundle;
    GString *unanswered; /* names of entries without a response */
    struct status *st;
    int64_t kept_since;  /* ms since 1970; older decisions may be missing */
    unsigned verified;   /* decisions equal to their recomputation */
    unsigned mismatches; /* decisions and counters that differ */
};

static void
print_decision(const char *entry, json_object *decision)
{
    (void)printf("  %-12s %-18s %s", entry, client_text(decision, "rule"),
                 client_text(decision, "because"));
    if (strcmp(client_text(decision, "upstream"), "0.0.0.0:0") != 0) {
        (void)printf("; upstream %s", client_text(decision, "upstream"));
    }
    (void)printf("; version %lld step %lld epoch %lld table %.8s\n",
                 (long long)client_number(decision, "version"),
                 (long long)client_number(decision, "step"),
                 (long long)client_number(decision, "epoch"),
                 client_text(decision, "table_digest"));
}

/* Recomputes a decision, if it was made under the bundle in force. */
static void
verify_decision(struct explain_context *context, const char *service,
                uint64_t hash, const char *entry, json_object *decision)
{
    char why[256];

    if (!context->options->verify ||
        (uint64_t)client_number(decision, "version") !=
            context->bundle.version) {
        return;
    }
    if (explain_verify_flow(&context->bundle, service, hash, decision, why,
                            sizeof(why))) {
        context->verified++;
        return;
    }
    context->mismatches++;
    (void)printf("  MISMATCH at %s: %s\n", entry, why);
}

/* Checks that the entries have not recorded more assignments than they
 * counted. */
static void
verify_counters(struct explain_context *context, json_object *answers,
                uint64_t assigned)
{
    uint64_t counted = 0;

    for (size_t i = 0; i < json_object_array_length(answers); i++) {
        json_object *services = NULL;
        json_object *one = json_object_array_get_idx(answers, i);

        if (!json_object_object_get_ex(one, "services", &services)) {
            continue;
        }
        for (size_t j = 0; j < json_object_array_length(services); j++) {
            json_object *list = NULL;
            json_object *s = json_object_array_get_idx(services, j);

            (void)json_object_object_get_ex(s, "upstreams", &list);
            for (size_t k = 0; k < json_object_array_length(list); k++) {
                counted += (uint64_t)client_number(
                    json_object_array_get_idx(list, k), "flows_placed");
            }
        }
    }
    if (assigned > counted) {
        context->mismatches++;
        (void)printf("  MISMATCH: %llu assignments recorded, but the "
                     "entries counted %llu\n",
                     (unsigned long long)assigned,
                     (unsigned long long)counted);
    }
}

static void
update_kept_since(struct explain_context *context, int64_t kept_since)
{
    if (kept_since > context->kept_since) {
        context->kept_since = kept_since;
    }
}

/* Prints and verifies the decisions of all entries; returns the number of
 * assignments to an upstream. */
static uint64_t
print_decisions(struct explain_context *context, json_object *answers,
                const char *service, uint64_t subject)
{
    uint64_t assigned = 0;

    for (size_t i = 0; i < json_object_array_length(answers); i++) {
        json_object *one = json_object_array_get_idx(answers, i);
        const char *entry = client_text(one, "entry");
        json_object *list = NULL;

        (void)json_object_object_get_ex(one, "decisions", &list);
        update_kept_since(context, client_number(one, "kept_since"));
        for (size_t j = json_object_array_length(list); j > 0; j--) {
            json_object *decision = json_object_array_get_idx(list, j - 1);

            if (!context->options->json) {
                print_decision(entry, decision);
            }
            if (service != NULL) {
                verify_decision(context, service, subject, entry, decision);
            }
            assigned +=
                strcmp(client_text(decision, "upstream"), "0.0.0.0:0") != 0;
        }
    }
    if (context->options->json) {
        (void)printf("%s\n", json_object_to_json_string_ext(
                                 answers, JSON_C_TO_STRING_PRETTY));
    }
    return assigned;
}

/* Prints missing entries and the result of verification. */
static void
print_summary(struct explain_context *context)
{
    if (context->unanswered->len > 0) {
        (void)printf("no answer from: %s\n", context->unanswered->str);
    }
    if (context->kept_since > 0 && !context->options->json) {
        (void)printf("decisions before %lld (ms since 1970) may be missing\n",
                     (long long)context->kept_since);
    }
    if (!context->options->verify) {
        return;
    }
    (void)printf(
        "verified: %u decisions match their recomputation, %u differ\n",
        context->verified, context->mismatches);
    if (context->mismatches > 0) {
        (void)status_set(context->st, STATUS_REFUSED,
                         "%u mismatches; see recorded and recomputed values "
                         "above",
                         context->mismatches);
    }
}

/* Queries and prints the decisions about a subject, a flow's or key's hash. */
static void
explain_subject(struct explain_context *context, uint64_t subject,
                const char *service)
{
    char path[64];
    json_object *answers;
    uint64_t assigned;

    (void)snprintf(path, sizeof(path), "/.ridgeridge/explain?subject=%016llx",
                   (unsigned long long)subject);
    answers = explain_query_entries(&context->settings, &context->credentials,
                                    path, context->unanswered, context->st);
    assigned = print_decisions(context, answers, service, subject);
    if (assigned == 0 && !context->options->json) {
        (void)printf("  no entry has a recorded decision about it\n");
    }
    json_object_put(answers);
    if (context->options->verify && service != NULL) {
        answers = explain_query_entries(
            &context->settings, &context->credentials, "/.ridgeridge/status",
            context->unanswered, context->st);
        verify_counters(context, answers, assigned);
        json_object_put(answers);
    }
}

/* explain flow SERVICE ADDRESS:PORT */
static void
explain_flow(struct explain_context *context, const char **args)
{
    struct explain_flow flow = {0};

    flow.service =
        args[0] ? bundle_find_service(&context->bundle, args[0]) : NULL;
    if (flow.service == NULL || args[1] == NULL ||
        !address_parse(args[1], &flow.source, &flow.source_port)) {
        (void)status_set(context->st, STATUS_BAD_INPUT,
                         "explain flow needs a flow service of the bundle in "
                         "force and the caller's ADDRESS:PORT");
        return;
    }
    (void)printf("flow to %s from %s, bundle version %llu in force:\n",
                 args[0], args[1],
                 (unsigned long long)context->bundle.version);
    explain_subject(context, explain_flow_hash(&flow), args[0]);
    print_summary(context);
}

/* explain request HOST KEY */
static void
explain_request(struct explain_context *context, const char **args)
{
    char key[WIRE_KEY];

    if (args[0] == NULL || args[1] == NULL) {
        (void)status_set(context->st, STATUS_BAD_INPUT,
                         "explain request needs the Host and the "
                         "Idempotency-Key");
        return;
    }
    auth_hash_request_key(args[0], args[1], key);
    (void)printf("request to %s with key %s:\n", args[0], args[1]);
    explain_subject(context, hash_bytes(HASH_KEY, key, WIRE_KEY), NULL);
    print_summary(context);
}

/* Prints an upstream's slots and ejection at a gate. */
static void
print_gate(const char *entry, json_object *gate, const char *endpoint)
{
    for (size_t i = 0; i < json_object_array_length(gate); i++) {
        json_object *u = json_object_array_get_idx(gate, i);
        json_object *ejected = NULL;

        if (strcmp(client_text(u, "endpoint"), endpoint) != 0) {
            continue;
        }
        (void)json_object_object_get_ex(u, "ejected", &ejected);
        (void)printf("  gate %s: %lld of %lld slots busy%s, chosen %lld "
                     "times\n",
                     entry, (long long)client_number(u, "busy"),
                     (long long)client_number(u, "limit"),
                     json_object_get_boolean(ejected)
                         ? ", ejected after failures or load shedding"
                         : "",
                     (long long)client_number(u, "chosen"));
    }
}

/* Prints an upstream's state at one entry. */
static void
print_upstream(json_object *answer, const char *name)
{
    json_object *services = NULL;

    (void)json_object_object_get_ex(answer, "services", &services);
    for (size_t i = 0; i < json_object_array_length(services); i++) {
        json_object *s = json_object_array_get_idx(services, i);
        json_object *list = NULL;
        json_object *gate = NULL;

        (void)json_object_object_get_ex(s, "upstreams", &list);
        (void)json_object_object_get_ex(s, "gate", &gate);
        for (size_t j = 0; j < json_object_array_length(list); j++) {
            json_object *u = json_object_array_get_idx(list, j);

            if (strcmp(client_text(u, "name"), name) != 0) {
                continue;
            }
            (void)printf("  %s under version %lld: %s of %s, %lld flows "
                         "placed\n",
                         client_text(answer, "name"),
                         (long long)client_number(answer, "version"),
                         client_text(u, "state"), client_text(s, "name"),
                         (long long)client_number(u, "flows_placed"));
            if (gate != NULL) {
                print_gate(client_text(answer, "name"), gate,
                           client_text(u, "endpoint"));
            }
        }
    }
}

/* explain upstream NAME */
static void
explain_upstream(struct explain_context *context, const char **args)
{
    json_object *answers;

    if (args[0] == NULL) {
        (void)status_set(context->st, STATUS_BAD_INPUT,
                         "explain upstream needs an upstream's name");
        return;
    }
    for (size_t i = 0; i < context->bundle.service_count; i++) {
        const struct bundle_service *s = &context->bundle.services[i];

        for (size_t j = 0; j < s->upstream_count; j++) {
            const struct bundle_upstream *u = &s->upstreams[j];

            if (strcmp(u->name, args[0]) == 0) {
                (void)printf("bundle version %llu: %s of %s is %s, weight "
                             "%llu: %s\n",
                             (unsigned long long)context->bundle.version,
                             u->name, s->name,
                             u->state == BUNDLE_LEAVING ? "leaving"
                                                        : "serving",
                             (unsigned long long)u->weight,
                             u->state == BUNDLE_LEAVING || u->weight == 0
                                 ? "no new flows or requests"
                                 : "new flows or requests by weight");
            }
        }
    }
    answers = explain_query_entries(&context->settings, &context->credentials,
                                    "/.ridgeridge/status", context->unanswered,
                                    context->st);
    for (size_t i = 0; i < json_object_array_length(answers); i++) {
        print_upstream(json_object_array_get_idx(answers, i), args[0]);
    }
    json_object_put(answers);
    print_summary(context);
}

/* explain bundle: the version applied by each entry. */
static void
explain_bundle(struct explain_context *context, const char **args)
{
    json_object *answers;
    size_t in_force_count = 0;
    size_t count;

    (void)args;
    answers = explain_query_entries(&context->settings, &context->credentials,
                                    "/.ridgeridge/status", context->unanswered,
                                    context->st);
    count = json_object_array_length(answers);
    for (size_t i = 0; i < count; i++) {
        json_object *one = json_object_array_get_idx(answers, i);
        bool in_force = (uint64_t)client_number(one, "version") ==
                            context->bundle.version &&
                        client_number(one, "step") >= FLOW_STEP_MOVE;

        in_force_count += in_force;
        (void)printf("  %-12s version %lld step %lld, lease %lld ms: %s\n",
                     client_text(one, "name"),
                     (long long)client_number(one, "version"),
                     (long long)client_number(one, "step"),
                     (long long)client_number(one, "lease_left_ms"),
                     in_force ? "in force" : "NOT in force");
    }
    (void)printf("version %llu is in force at %zu of the %zu entries that "
                 "answered\n",
                 (unsigned long long)context->bundle.version, in_force_count,
                 count);
    if (in_force_count != count || context->unanswered->len > 0) {
        (void)status_set(context->st, STATUS_UNCONFIRMED,
                         "the bundle is not in force at every entry, or an "
                         "entry did not answer; see above");
    }
    print_summary(context);
}

/* explain refusal RULE */
static enum status_kind
explain_refusal(const char **args, struct status *st)
{
    enum ring_rule rule = args[0] ? ring_rule_parse(args[0]) : RULE_COUNT;

    if (rule == RULE_COUNT) {
        return status_set(st, STATUS_BAD_INPUT,
                          "explain refusal needs the type of a problem "
                          "document; see `ridgeridge reference rules`");
    }
    (void)printf("%s: %s\n", ring_rule_name(rule), ring_rule_help(rule));
    return STATUS_OK;
}

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    static const struct {
        const char *name;
        void (*explain)(struct explain_context *context, const char **args);
    } subjects[] = {
        {"flow", explain_flow},
        {"request", explain_request},
        {"upstream", explain_upstream},
        {"bundle", explain_bundle},
    };
    struct explain_context context = {.options = options, .st = st};

    if (strcmp(args[0], "refusal") == 0) {
        return explain_refusal(args + 1, st);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(subjects); i++) {
        if (strcmp(args[0], subjects[i].name) != 0) {
            continue;
        }
        if (cmd_load(options, &context.settings, &context.credentials, st) !=
            STATUS_OK) {
            return st->kind;
        }
        if (explain_fetch_bundle(&context.settings, &context.credentials,
                                 &context.bundle, st) == STATUS_OK) {
            context.unanswered = g_string_new("");
            subjects[i].explain(&context, args + 1);
            g_string_free(context.unanswered, TRUE);
            bundle_free(&context.bundle);
        }
        settings_free(&context.settings);
        return st->kind;
    }
    return status_set(st, STATUS_BAD_INPUT,
                      "unknown subject \"%s\"; name flow, request, "
                      "upstream, bundle or refusal",
                      args[0]);
}

const struct cmd cmd_explain = {
    .name = "explain",
    .args = "WHAT [ARGUMENT ...]",
    .min_args = 1,
    .max_args = 3,
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS | CMD_JSON | CMD_VERIFY,
    .help = "Explain flow SERVICE ADDRESS:PORT, request HOST KEY, upstream "
            "NAME, bundle, or refusal TYPE.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
