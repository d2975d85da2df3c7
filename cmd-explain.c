/* ridgeridge explain: why things went as they did. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "auth.h"
#include "cmd.h"
#include "explain.h"
#include "hash.h"

/* What one explanation needs. */
struct question {
    const struct cmd_options *options;
    struct settings settings;
    struct client_credentials credentials;
    struct bundle bundle;
    GString *silent; /* entries that did not answer */
    struct status *st;
    int64_t kept_since;  /* ms since 1970: older decisions may be gone */
    unsigned verified;   /* decisions recomputed and equal */
    unsigned mismatches; /* decisions that differ */
};

/* Prints one decision. */
static void
print_decision(const char *entry, json_object *d)
{
    (void)printf("  %-12s %-18s %s", entry, client_text(d, "rule"),
                 client_text(d, "because"));
    if (strcmp(client_text(d, "upstream"), "0.0.0.0:0") != 0) {
        (void)printf("; upstream %s", client_text(d, "upstream"));
    }
    (void)printf("; version %lld step %lld epoch %lld table %.8s\n",
                 (long long)client_number(d, "version"),
                 (long long)client_number(d, "step"),
                 (long long)client_number(d, "epoch"),
                 client_text(d, "table_digest"));
}

/* Recomputes one decision when it was made under the bundle in force. */
static void
verify_decision(struct question *q, const char *service, uint64_t hash,
                const char *entry, json_object *d)
{
    char why[256];

    if (!q->options->verify ||
        (uint64_t)client_number(d, "version") != q->bundle.version) {
        return;
    }
    if (explain_verify_flow(&q->bundle, service, hash, d, why, sizeof(why))) {
        q->verified++;
        return;
    }
    q->mismatches++;
    (void)printf("  MISMATCH at %s: %s\n", entry, why);
}

/* Compares the decisions of an entry with its counters: an entry cannot have
 * recorded more placements at an upstream than it counted. */
static void
verify_counters(struct question *q, json_object *answers, uint64_t placed)
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
    if (placed > counted) {
        q->mismatches++;
        (void)printf("  MISMATCH: %llu placements recorded, the entries "
                     "counted %llu\n",
                     (unsigned long long)placed, (unsigned long long)counted);
    }
}

/* Notes since when every entry still has its decisions. */
static void
note_oldest(struct question *q, int64_t kept_since)
{
    if (kept_since > q->kept_since) {
        q->kept_since = kept_since;
    }
}

/* Prints the decisions that the entries gave. */
static uint64_t
print_answers(struct question *q, json_object *answers, const char *service,
              uint64_t subject)
{
    uint64_t placed = 0;

    for (size_t i = 0; i < json_object_array_length(answers); i++) {
        json_object *one = json_object_array_get_idx(answers, i);
        const char *entry = client_text(one, "entry");
        json_object *list = NULL;

        (void)json_object_object_get_ex(one, "decisions", &list);
        note_oldest(q, client_number(one, "kept_since"));
        for (size_t j = json_object_array_length(list); j > 0; j--) {
            json_object *d = json_object_array_get_idx(list, j - 1);

            if (!q->options->json) {
                print_decision(entry, d);
            }
            if (service != NULL) {
                verify_decision(q, service, subject, entry, d);
            }
            placed += strcmp(client_text(d, "upstream"), "0.0.0.0:0") != 0;
        }
    }
    if (q->options->json) {
        (void)printf("%s\n", json_object_to_json_string_ext(
                                 answers, JSON_C_TO_STRING_PRETTY));
    }
    return placed;
}

/* Prints what could not be learned, and what verification found. */
static void
print_end(struct question *q)
{
    if (q->silent->len > 0) {
        (void)printf("not learned from: %s\n", q->silent->str);
    }
    if (q->kept_since > 0 && !q->options->json) {
        (void)printf(
            "decisions before %lld (ms since 1970) are gone somewhere\n",
            (long long)q->kept_since);
    }
    if (!q->options->verify) {
        return;
    }
    (void)printf("verified: %u decisions recomputed and equal, %u differ\n",
                 q->verified, q->mismatches);
    if (q->mismatches > 0) {
        (void)status_set(q->st, STATUS_REFUSED,
                         "%u records do not match; see both sides above",
                         q->mismatches);
    }
}

/* Asks for the decisions about a subject and prints them. */
static void
explain_subject(struct question *q, uint64_t subject, const char *service)
{
    char path[64];
    json_object *answers;
    uint64_t placed;

    (void)snprintf(path, sizeof(path), "/.ridgeridge/explain?subject=%016llx",
                   (unsigned long long)subject);
    answers = explain_ask_entries(&q->settings, &q->credentials, path,
                                  q->silent, q->st);
    placed = print_answers(q, answers, service, subject);
    if (placed == 0 && !q->options->json) {
        (void)printf("  no entry has a decision of it any more, or it was "
                     "never seen\n");
    }
    json_object_put(answers);
    if (q->options->verify && service != NULL) {
        answers = explain_ask_entries(&q->settings, &q->credentials,
                                      "/.ridgeridge/status", q->silent, q->st);
        verify_counters(q, answers, placed);
        json_object_put(answers);
    }
}

/* explain flow SERVICE ADDRESS:PORT */
static void
explain_flow(struct question *q, const char **args)
{
    struct explain_flow flow = {0};

    flow.service = args[0] ? bundle_find_service(&q->bundle, args[0]) : NULL;
    if (flow.service == NULL || args[1] == NULL ||
        !address_parse(args[1], &flow.source, &flow.source_port)) {
        (void)status_set(q->st, STATUS_BAD_INPUT,
                         "explain flow takes a flow service of the bundle in "
                         "force and the caller's ADDRESS:PORT");
        return;
    }
    (void)printf("flow of %s from %s, under version %llu in force:\n", args[0],
                 args[1], (unsigned long long)q->bundle.version);
    explain_subject(q, explain_hash(&flow), args[0]);
    print_end(q);
}

/* explain request HOST KEY */
static void
explain_request(struct question *q, const char **args)
{
    char key[WIRE_KEY];

    if (args[0] == NULL || args[1] == NULL) {
        (void)status_set(q->st, STATUS_BAD_INPUT,
                         "explain request takes the Host and the "
                         "Idempotency-Key");
        return;
    }
    auth_hash_request_key(args[0], args[1], key);
    (void)printf("request to %s with key %s:\n", args[0], args[1]);
    explain_subject(q, hash_bytes(HASH_KEY, key, WIRE_KEY), NULL);
    print_end(q);
}

/* Says why a gate's upstream gets no new work, or how much. */
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
        (void)printf("  gate %s: busy %lld of %lld slots%s, given work %lld "
                     "times\n",
                     entry, (long long)client_number(u, "busy"),
                     (long long)client_number(u, "limit"),
                     json_object_get_boolean(ejected)
                         ? ", ejected after failures or a shed"
                         : "",
                     (long long)client_number(u, "chosen"));
    }
}

/* Prints what one entry knows of an upstream. */
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
explain_upstream(struct question *q, const char **args)
{
    json_object *answers;

    if (args[0] == NULL) {
        (void)status_set(q->st, STATUS_BAD_INPUT,
                         "explain upstream takes an upstream's name");
        return;
    }
    for (size_t i = 0; i < q->bundle.service_count; i++) {
        const struct bundle_service *s = &q->bundle.services[i];

        for (size_t j = 0; j < s->upstream_count; j++) {
            const struct bundle_upstream *u = &s->upstreams[j];

            if (strcmp(u->name, args[0]) == 0) {
                (void)printf(
                    "bundle version %llu: %s of %s is %s, weight "
                    "%llu: %s\n",
                    (unsigned long long)q->bundle.version, u->name, s->name,
                    u->state == BUNDLE_LEAVING ? "leaving" : "serving",
                    (unsigned long long)u->weight,
                    u->state == BUNDLE_LEAVING || u->weight == 0
                        ? "it gets no new work"
                        : "it gets its share of new work");
            }
        }
    }
    answers = explain_ask_entries(&q->settings, &q->credentials,
                                  "/.ridgeridge/status", q->silent, q->st);
    for (size_t i = 0; i < json_object_array_length(answers); i++) {
        print_upstream(json_object_array_get_idx(answers, i), args[0]);
    }
    json_object_put(answers);
    print_end(q);
}

/* explain bundle: the entries' own word, next to control's. */
static void
explain_bundle(struct question *q, const char **args)
{
    json_object *answers;
    size_t agree = 0;
    size_t count;

    (void)args;
    answers = explain_ask_entries(&q->settings, &q->credentials,
                                  "/.ridgeridge/status", q->silent, q->st);
    count = json_object_array_length(answers);
    for (size_t i = 0; i < count; i++) {
        json_object *one = json_object_array_get_idx(answers, i);
        bool same =
            (uint64_t)client_number(one, "version") == q->bundle.version &&
            client_number(one, "step") >= FLOW_STEP_MOVE;

        agree += same;
        (void)printf("  %-12s version %lld step %lld, lease %lld ms: %s\n",
                     client_text(one, "name"),
                     (long long)client_number(one, "version"),
                     (long long)client_number(one, "step"),
                     (long long)client_number(one, "lease_left_ms"),
                     same ? "in force there" : "NOT in force there");
    }
    (void)printf("version %llu is in force on %zu of %zu entries by their "
                 "own word\n",
                 (unsigned long long)q->bundle.version, agree, count);
    if (agree != count || q->silent->len > 0) {
        (void)status_set(q->st, STATUS_UNCONFIRMED,
                         "not every entry says so; see the list");
    }
    print_end(q);
}

/* explain refusal RULE */
static enum status_kind
explain_refusal(const char **args, struct status *st)
{
    enum ring_rule rule = args[0] ? ring_rule_parse(args[0]) : RULE_COUNT;

    if (rule == RULE_COUNT) {
        return status_set(st, STATUS_BAD_INPUT,
                          "explain refusal takes the type of a problem "
                          "document; see `ridgeridge reference rules`");
    }
    (void)printf("%s: %s\n", ring_rule_name(rule), ring_rule_help(rule));
    return STATUS_OK;
}

/* Loads the bundle in force and explains what is asked. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    static const struct {
        const char *name;
        void (*explain)(struct question *q, const char **args);
    } kinds[] = {
        {"flow", explain_flow},
        {"request", explain_request},
        {"upstream", explain_upstream},
        {"bundle", explain_bundle},
    };
    struct question q = {.options = options, .st = st};

    if (strcmp(args[0], "refusal") == 0) {
        return explain_refusal(args + 1, st);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(args[0], kinds[i].name) != 0) {
            continue;
        }
        if (cmd_load(options, &q.settings, &q.credentials, st) != STATUS_OK) {
            return st->kind;
        }
        if (explain_load_bundle(&q.settings, &q.credentials, &q.bundle, st) ==
            STATUS_OK) {
            q.silent = g_string_new("");
            kinds[i].explain(&q, args + 1);
            g_string_free(q.silent, TRUE);
            bundle_free(&q.bundle);
        }
        settings_free(&q.settings);
        return st->kind;
    }
    return status_set(st, STATUS_BAD_INPUT,
                      "\"%s\" cannot be explained; name flow, request, "
                      "upstream, bundle or refusal",
                      args[0]);
}

const struct cmd cmd_explain = {
    .name = "explain",
    .args = "WHAT [ARGUMENT ...]",
    .min_args = 1,
    .max_args = 3,
    .takes = CMD_SETTINGS | CMD_CREDENTIALS | CMD_JSON | CMD_VERIFY,
    .help = "Explain flow SERVICE ADDRESS:PORT, request HOST KEY, upstream "
            "NAME, bundle, or refusal TYPE.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
