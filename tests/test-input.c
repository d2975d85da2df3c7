/*
 * Guards against invalid settings and bundles that are accepted or rejected
 * without a helpful message, against memory faults of the parsers (random
 * mutations from fixed seeds), and against wrong checksums, burn rates and
 * verdicts of `explain`.
 */
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bundle.h"
#include "burn.h"
#include "codec.h"
#include "control-state.h"
#include "explain.h"
#include "fuzz-input.h"
#include "packet.h"
#include "seal.h"
#include "settings.h"

#define CORPUS "tests/corpus"
#define KEY "0000000000000000000000000000000000000000000000000000000000000000"
#define SETTINGS(more)                                                        \
    "{\"name\":\"e\",\"role\":\"entry\",\"hall\":\"h\",\"address\":"          \
    "\"127.0.0.1\",\"data\":\"d\",\"cluster_key\":\"" KEY "\",\"fabric\":"    \
    "{\"address\":\"127.0.0.2\"},\"controls\":[{\"id\":1,\"address\":"        \
    "\"127.0.0.3\"}]" more "}"
#define UPSTREAM(name, address, port)                                         \
    "{\"name\":\"" name "\",\"address\":\"" address "\",\"port\":" port "}"
#define FLOW(name, address, ups)                                              \
    "{\"name\":\"" name "\",\"kind\":\"flow\",\"address\":\"" address         \
    "\",\"port\":1,\"upstreams\":[" ups "]}"
#define BUNDLE(services)                                                      \
    "{\"version\":2,\"base\":1,\"services\":[" services "]}"

/* A document and a part of the error message, NULL: valid. */
struct document {
    const char *name;
    const char *text;
    const char *expected_error;
};

static const struct document settings_cases[] = {
    {"good", SETTINGS(""), NULL},
    {"comments", "// one\n/* two */" SETTINGS(""), NULL},
    {"empty", "", "empty"},
    {"only-comments", "// nothing\n", "empty"},
    {"not-an-object", "[1]", "not an object"},
    {"truncated", "{\"name\": \"e\", \"role\": \"en", "ends inside a string"},
    {"truncated-later", "{\"name\": \"e\"", "ends too early"},
    {"two-values", SETTINGS("") " {}", "more text"},
    {"unknown-key", SETTINGS(",\"color\":1"), "\"color\" is not a known key"},
    {"duplicate-key", SETTINGS(",\"hall\":\"x\""), "stands twice"},
    {"escaped-key", SETTINGS(",\"h\\u0061ll\":\"x\""), "backslash"},
    {"single-quotes", "{'name': 1}", "double quotes"},
    {"wrong-type", SETTINGS(",\"log\":5"), "\"log\" is not a string"},
    {"number-as-text", SETTINGS(",\"rpc_port\":\"7\""), "whole number"},
    {"fraction", SETTINGS(",\"rpc_port\":7.5"), "whole number"},
    {"port-too-high", SETTINGS(",\"rpc_port\":65536"), "out of range"},
    {"port-zero", SETTINGS(",\"rpc_port\":0"), "out of range"},
    {"port-negative", SETTINGS(",\"rpc_port\":-1"), "out of range"},
    {"equal-ports", SETTINGS(",\"rpc_port\":80,\"http_port\":80"),
     "different TCP ports"},
    {"word", SETTINGS(",\"log_level\":\"loud\""), "allowed words"},
    {"no-role", "{\"name\":\"e\"}", "\"role\" is missing"},
    {"bad-address",
     "{\"name\":\"e\",\"role\":\"entry\",\"hall\":\"h\",\"address\":"
     "\"127.0.0.256\"}",
     "not an IPv4 address"},
    {"hex",
     SETTINGS(",\"operators\":[{\"name\":\"a\",\"public_key\":\"zz\","
              "\"token\":\"\"}]"),
     "operators[0].public_key"},
    {"not-utf8", "{\"name\": \"\xff\"}", "UTF-8"},
};

#define U1 UPSTREAM("a", "10.0.0.1", "80")
#define U2 UPSTREAM("b", "10.0.0.2", "80")

static const struct document bundle_cases[] = {
    {"good", BUNDLE(FLOW("s", "10.1.0.1", U1 "," U2)), NULL},
    {"no-services", BUNDLE(""), "too few"},
    {"no-upstream", BUNDLE(FLOW("s", "10.1.0.1", "")), "too few"},
    {"same-name",
     BUNDLE(FLOW("s", "10.1.0.1", U1) "," FLOW("s", "10.1.0.2", U2)),
     "rename one"},
    {"same-address",
     BUNDLE(FLOW("s", "10.1.0.1", U1) "," FLOW("t", "10.1.0.1", U2)),
     "each service its own"},
    {"upstream-in-two",
     BUNDLE(FLOW("s", "10.1.0.1", U1) "," FLOW("t", "10.1.0.2", U1)),
     "exactly one service"},
    {"upstream-twice",
     BUNDLE(FLOW("s", "10.1.0.1", U1 "," UPSTREAM("c", "10.0.0.1", "80"))),
     "exactly one service"},
    {"weight",
     BUNDLE(FLOW("s", "10.1.0.1",
                 "{\"name\":\"a\",\"address\":\"10.0.0.1\","
                 "\"port\":80,\"weight\":1001}")),
     "services[0].upstreams[0].weight"},
    {"no-host",
     BUNDLE("{\"name\":\"r\",\"kind\":\"request\","
            "\"upstreams\":[" U1 "]}"),
     "lacks \"host\""},
    {"no-port",
     BUNDLE("{\"name\":\"r\",\"kind\":\"flow\",\"address\":"
            "\"10.1.0.1\",\"upstreams\":[" U1 "]}"),
     "lacks \"address\" or \"port\""},
    {"base",
     "{\"version\":1,\"base\":1,\"services\":[" FLOW("s", "10.1.0.1", U1) "]}",
     "not below"},
};

static void
check_status(const struct document *d, const struct status *st)
{
    g_test_message("%s: %s", d->name, st->message);
    if (d->expected_error == NULL) {
        g_assert_cmpint(st->kind, ==, STATUS_OK);
        return;
    }
    g_assert_cmpint(st->kind, ==, STATUS_BAD_INPUT);
    g_assert_nonnull(strstr(st->message, d->expected_error));
}

static void
test_settings(gconstpointer data)
{
    const struct document *d = data;
    struct settings settings;
    struct status st;

    (void)settings_read("f.json", d->text, strlen(d->text), &settings, &st);
    check_status(d, &st);
    if (st.kind == STATUS_OK) {
        settings_free(&settings);
    }
}

static void
test_bundle(gconstpointer data)
{
    const struct document *d = data;
    struct bundle bundle;
    struct status st;

    (void)bundle_read("f.json", d->text, strlen(d->text), &bundle, &st);
    check_status(d, &st);
    if (st.kind == STATUS_OK) {
        bundle_free(&bundle);
    }
}

/* Documents that are too large, nested too deep or contain NUL bytes, and
 * files that cannot be read. */
static void
test_hostile(void)
{
    size_t size = 20 * 1024 * 1024;
    char *brackets = g_malloc(size);
    struct settings settings;
    struct status st;

    memset(brackets, '[', size);
    (void)settings_read("f", brackets, size, &settings, &st);
    g_assert_cmpint(st.kind, ==, STATUS_BAD_INPUT);
    g_assert_nonnull(strstr(st.message, "larger than"));
    (void)settings_read("f", brackets, 1000, &settings, &st);
    g_assert_nonnull(strstr(st.message, "nested deeper"));
    (void)settings_read("f", "{\"a\0b\":1}", 9, &settings, &st);
    g_assert_nonnull(strstr(st.message, "NUL"));
    (void)settings_load("/nowhere/at/all", &settings, &st);
    g_assert_nonnull(strstr(st.message, "name a readable file"));
    (void)settings_load("/", &settings, &st);
    g_assert_cmpint(st.kind, ==, STATUS_BAD_INPUT);
    g_free(brackets);
}

/* A bundle, its successor and a part of the error message, NULL: valid. */
struct successor {
    const char *name;
    const char *before, *after;
    const char *expected_error;
};

#define LEAVING                                                               \
    "{\"name\":\"a\",\"address\":\"10.0.0.1\",\"port\":80,\"state\":"         \
    "\"leaving\"}"

static const struct successor successor_cases[] = {
    {"same", BUNDLE(FLOW("s", "10.1.0.1", U1)),
     BUNDLE(FLOW("s", "10.1.0.1", U1)), NULL},
    {"drop-a-serving-one", BUNDLE(FLOW("s", "10.1.0.1", U1 "," U2)),
     BUNDLE(FLOW("s", "10.1.0.1", U2)), "leaving"},
    {"drop-a-leaving-one", BUNDLE(FLOW("s", "10.1.0.1", LEAVING "," U2)),
     BUNDLE(FLOW("s", "10.1.0.1", U2)), NULL},
    {"move-an-upstream",
     BUNDLE(FLOW("s", "10.1.0.1", U1) "," FLOW("t", "10.1.0.2", U2)),
     BUNDLE(FLOW("s", "10.1.0.1", U2) "," FLOW("t", "10.1.0.2", U1)),
     "bundle without it"},
};

static void
test_successor(gconstpointer data)
{
    const struct successor *s = data;
    struct bundle before;
    struct bundle after;
    struct status st;

    g_assert_cmpint(
        bundle_read("b", s->before, strlen(s->before), &before, &st), ==,
        STATUS_OK);
    g_assert_cmpint(bundle_read("a", s->after, strlen(s->after), &after, &st),
                    ==, STATUS_OK);
    (void)bundle_check_successor(&before, &after, &st);
    g_assert_cmpint(st.kind, ==,
                    s->expected_error ? STATUS_REFUSED : STATUS_OK);
    if (s->expected_error != NULL) {
        g_assert_nonnull(strstr(st.message, s->expected_error));
    }
    bundle_free(&before);
    bundle_free(&after);
}

/* Applies a submission, its sign-off and the first step of its rollout. */
static enum status_kind
apply_roll_out(wire_control_state *state, uint64_t version, uint64_t base,
               const char *services, uint64_t wall)
{
    char *text = g_strdup_printf("{\"version\":%llu,\"base\":%llu,"
                                 "\"services\":[%s]}",
                                 (unsigned long long)version,
                                 (unsigned long long)base, services);
    char id[32];
    wire_command command = {.kind = WIRE_CMD_BUNDLE};
    wire_submit *submit = &command.wire_command_u.submit;
    enum status_kind result;

    (void)snprintf(id, sizeof(id), "%llu", (unsigned long long)state->applied);
    *submit = (wire_submit){.bundle_version = version,
                            .base = base,
                            .operator_name = (char *)"ana",
                            .submission = id,
                            .wall = wall,
                            .text = text};
    control_state_apply(state, state->applied + 1, &command);
    result = (enum status_kind)control_state_find_outcome(state, id)->result;
    command = (wire_command){.kind = WIRE_CMD_SIGN_OFF};
    command.wire_command_u.sign_off.bundle_version = version;
    command.wire_command_u.sign_off.operator_name = (char *)"bob";
    control_state_apply(state, state->applied + 1, &command);
    command = (wire_command){.kind = WIRE_CMD_STEP};
    command.wire_command_u.rollout =
        (wire_rollout){.bundle_version = version, .step = 1, .wall = wall};
    control_state_apply(state, state->applied + 1, &command);
    g_free(text);
    return result;
}

/* The state machine must refuse a submission that moves an upstream to another
 * service within the cooldown, even if it passed the checks before. */
static void
test_cooldown(void)
{
    static const char *const both = FLOW("s", "10.1.0.1", LEAVING "," U2);
    static const char *const moved =
        FLOW("s", "10.1.0.1", U2) "," FLOW("t", "10.1.0.2", U1);
    static const char *const left = FLOW("s", "10.1.0.1", U2);
    const uint64_t end = 2000 + CONTROL_COOLDOWN_MS;
    wire_control_state state;

    control_state_open(&state);
    g_assert_cmpint(apply_roll_out(&state, 1, 0, both, 1000), ==, STATUS_OK);
    g_assert_cmpint(apply_roll_out(&state, 2, 1, moved, 1500), ==,
                    STATUS_REFUSED);
    g_assert_cmpint((int)state.current, ==, 1);
    g_assert_cmpint(apply_roll_out(&state, 3, 1, left, 2000), ==, STATUS_OK);
    g_assert_cmpint(apply_roll_out(&state, 4, 3, moved, end - 1), ==,
                    STATUS_REFUSED);
    g_assert_cmpint(apply_roll_out(&state, 4, 3, left, end - 1), ==,
                    STATUS_OK);
    g_assert_cmpint(apply_roll_out(&state, 5, 4, moved, end - 1), ==,
                    STATUS_REFUSED);
    g_assert_cmpint(apply_roll_out(&state, 5, 4, both, end - 1), ==,
                    STATUS_OK);
    g_assert_cmpint(apply_roll_out(&state, 6, 5, left, end - 1), ==,
                    STATUS_OK);
    g_assert_cmpint(apply_roll_out(&state, 7, 6, moved, 2 * end), ==,
                    STATUS_OK);
    g_assert_cmpint((int)state.current, ==, 7);
    control_state_close(&state);
}

/* Builds a Geneve packet with an odd payload; returns its length. */
static size_t
build_packet(uint8_t *out, uint8_t protocol)
{
    size_t header = protocol == PACKET_TCP ? 20 : 8;
    size_t total = 20 + header + 11;
    uint8_t *ip = out + PACKET_GENEVE_BYTES;

    memset(out, 0, PACKET_GENEVE_BYTES + total);
    out[2] = 0x08;
    ip[0] = 0x45;
    ip[3] = (uint8_t)total;
    ip[8] = 64;
    ip[9] = protocol;
    memcpy(ip + 12, "\x0a\x00\x00\x01\x0a\x00\x00\x02", 8);
    memcpy(ip + 20, "\x12\x34\x00\x50", 4);
    if (protocol == PACKET_UDP) {
        ip[25] = (uint8_t)(header + 11);
    }
    memcpy(ip + 20 + header, "odd payload", 11);
    packet_fill_checksums(ip, total);
    return PACKET_GENEVE_BYTES + total;
}

/* Rewritten addresses and ports must keep the checksums valid, and the
 * forwarding option must be parsed as it was written. */
static void
test_rewrite(void)
{
    static const uint8_t protocols[] = {PACKET_TCP, PACKET_UDP};

    for (uint32_t i = 0; i < 20000; i++) {
        uint8_t buffer[PACKET_HEADROOM + 256];
        uint8_t *bytes = buffer + PACKET_HEADROOM;
        size_t length = build_packet(bytes, protocols[i % 2]);
        struct packet_forwarding forwarding = {
            .origin = i * 77ULL, .position = 2, .hops = 1, .asked = {5, 6}};
        struct packet packet;
        struct packet forwarded;
        uint8_t *at;

        g_assert_true(packet_parse(bytes, length, &packet));
        g_assert_true(packet_checksums_valid(packet.ip, packet.length));
        packet_set_destination(&packet, i * 2654435761U, (uint16_t)(i * 31));
        packet_set_source(&packet, i * 40503U, (uint16_t)(i * 7));
        g_assert_true(packet_checksums_valid(packet.ip, packet.length));
        at = packet_encapsulate(&packet, &forwarding, &length);
        g_assert_true(packet_parse(at, length, &forwarded));
        g_assert_true(forwarded.forwarded);
        g_assert_cmpuint(forwarded.forwarding.origin, ==, forwarding.origin);
        g_assert_cmpuint(forwarded.forwarding.position, ==, 2);
        g_assert_cmpuint(forwarded.forwarding.asked[1], ==, 6);
    }
}

/* Mutated packets must not be parsed beyond their end. */
static void
test_fuzz_packets(void)
{
    GRand *random = g_rand_new_with_seed(20261202);
    unsigned parsed = 0;

    for (int i = 0; i < 200000; i++) {
        uint8_t good[256];
        size_t length = build_packet(good, i % 2 ? PACKET_TCP : PACKET_UDP);
        size_t length_kept =
            (size_t)g_rand_int_range(random, 0, (gint)length + 1);
        uint8_t *bytes = g_memdup2(good, length_kept);
        struct packet packet;

        for (int flips = g_rand_int_range(random, 0, 4);
             flips > 0 && length_kept > 0; flips--) {
            bytes[g_rand_int_range(random, 0, (gint)length_kept)] ^=
                (uint8_t)(1U << g_rand_int_range(random, 0, 8));
        }
        if (packet_parse(bytes, length_kept, &packet)) {
            parsed++;
            g_assert_true(packet.ip >= bytes);
            g_assert_true(packet.ip + packet.length <= bytes + length_kept);
            packet_set_source(&packet, 1, 1);
        }
        g_free(bytes);
    }
    g_assert_cmpuint(parsed, >, 1000);
    g_rand_free(random);
}

/* Encodes a message whose kind depends on `i`. */
static GByteArray *
build_message(int i)
{
    wire_log_entry entry = {
        .term = 3, .command = {.command_len = 4, .command_val = "\0\0\0\0"}};
    wire_flow_record record = {1, 2, 3};
    wire_msg msg = {.kind = (wire_kind)(WIRE_VOTE_ASK + i % WIRE_KNOWN)};
    wire_outcome outcome = {.body = {.body_len = 3, .body_val = "abc"}};

    switch (msg.kind) {
    case WIRE_APPEND:
        msg.wire_msg_u.append.entries.entries_len = 1;
        msg.wire_msg_u.append.entries.entries_val = &entry;
        break;
    case WIRE_REPORT:
        msg.wire_msg_u.report.self.name = "entry-1";
        msg.wire_msg_u.report.self.hall = "hall";
        break;
    case WIRE_BUNDLE:
        msg.wire_msg_u.bundle.text = "{}";
        msg.wire_msg_u.bundle.prev_text = "";
        break;
    case WIRE_RECORDS:
        msg.wire_msg_u.records.records.records_len = 1;
        msg.wire_msg_u.records.records.records_val = &record;
        break;
    case WIRE_CLAIM_REPLY:
        msg.wire_msg_u.claim_reply.outcome = &outcome;
        break;
    case WIRE_FINISH:
        msg.wire_msg_u.finish.outcome = outcome;
        break;
    default:
        break;
    }
    return codec_encode(&msg);
}

/* Mutated messages must not crash or leak in the decoder. */
static void
test_fuzz_messages(void)
{
    GRand *random = g_rand_new_with_seed(4711);
    unsigned decoded = 0;

    for (int i = 0; i < 100000; i++) {
        GByteArray *bytes = build_message(i);
        wire_msg msg;

        g_assert_cmpuint(bytes->len, >, 0);
        if (i % 3 == 0) {
            g_byte_array_set_size(bytes, (guint)g_rand_int_range(
                                             random, 0, (gint)bytes->len + 1));
        }
        for (int flips = g_rand_int_range(random, 0, 4);
             flips > 0 && bytes->len > 0; flips--) {
            bytes->data[g_rand_int_range(random, 0, (gint)bytes->len)] ^=
                (uint8_t)g_rand_int_range(random, 1, 256);
        }
        if (codec_decode(bytes->data, bytes->len, &msg)) {
            decoded++;
            codec_free(&msg);
        }
        g_byte_array_unref(bytes);
    }
    g_assert_cmpuint(decoded, >, 1000);
    g_rand_free(random);
}

/* The parsers must not crash on any input of the corpus. */
static void
test_corpus(void)
{
    GDir *folder = g_dir_open(CORPUS, 0, NULL);
    unsigned inputs = 0;
    const char *name;

    g_assert_nonnull(folder);
    while ((name = g_dir_read_name(folder)) != NULL) {
        char *path = g_build_filename(CORPUS, name, NULL);
        char *bytes = NULL;
        gsize size = 0;

        g_assert_true(g_file_get_contents(path, &bytes, &size, NULL));
        (void)LLVMFuzzerTestOneInput((const uint8_t *)bytes, size);
        g_free(bytes);
        g_free(path);
        inputs++;
    }
    g_dir_close(folder);
    g_assert_cmpuint(inputs, >, 0);
}

/* Mutated JSON must not crash the parser; accepted bundles have services. */
static void
test_fuzz_json(void)
{
    GRand *random = g_rand_new_with_seed(99);
    const char *good = bundle_cases[0].text;
    unsigned accepted = 0;

    for (int i = 0; i < 20000; i++) {
        char *text = g_strdup(good);
        size_t length = strlen(text);
        struct bundle bundle;
        struct status st;

        for (int n = g_rand_int_range(random, 0, 3); n > 0; n--) {
            text[g_rand_int_range(random, 0, (gint)length)] =
                (char)g_rand_int_range(random, 1, 128);
        }
        if (bundle_read("f", text, length, &bundle, &st) == STATUS_OK) {
            accepted++;
            g_assert_cmpuint(bundle.service_count, >, 0);
            bundle_free(&bundle);
        }
        g_free(text);
    }
    g_assert_cmpuint(accepted, >, 1000);
    g_rand_free(random);
}

/* Decryption must fail with another key, a changed byte or a short message. */
static void
test_seal(void)
{
    unsigned char key[SEAL_KEY_BYTES] = {1};
    GByteArray *sealed;
    GByteArray *plain;

    g_assert_true(seal_set_key(key));
    sealed = seal_encrypt("message", 7);
    plain = seal_decrypt(sealed->data, sealed->len);
    g_assert_cmpuint(plain->len, ==, 7);
    g_byte_array_unref(plain);
    sealed->data[30] ^= 1;
    g_assert_null(seal_decrypt(sealed->data, sealed->len));
    sealed->data[30] ^= 1;
    g_assert_null(seal_decrypt(sealed->data, 20));
    key[0] = 2;
    g_assert_true(seal_set_key(key));
    g_assert_null(seal_decrypt(sealed->data, sealed->len));
    g_byte_array_unref(sealed);
}

/* 1 percent of bad events with a budget of 0.1 percent is a burn rate of 10;
 * events older than the window do not count. */
static void
test_burn(void)
{
    GHashTable *table = burn_new();
    struct counters counters = {{0}};
    struct bundle bundle;
    struct status st;
    const char *text =
        "{\"version\":1,\"base\":0,\"services\":[{\"name\":\"r\",\"kind\":"
        "\"request\",\"host\":\"r\",\"objective\":{\"good_per_ten_thousand\":"
        "9990},\"upstreams\":[" U1 "]}]}";
    struct burn *burn;
    uint64_t good;
    uint64_t all;

    g_assert_cmpint(bundle_read("b", text, strlen(text), &bundle, &st), ==,
                    STATUS_OK);
    burn_tick(table, &bundle, &counters, 10000000);
    for (int i = 0; i < 1000; i++) {
        burn_count(table, "r", i % 100 != 0);
    }
    burn = g_hash_table_lookup(table, "r");
    burn_sum(burn, 30, &good, &all);
    g_assert_cmpuint(all, ==, 1000);
    g_assert_cmpuint(good, ==, 990);
    g_assert_cmpfloat_with_epsilon(burn_rate(good, all, burn->budget), 10.0,
                                   0.001);
    burn_tick(table, &bundle, &counters, 10000000 + 400000);
    burn_sum(burn, 30, &good, &all);
    g_assert_cmpuint(all, ==, 0);
    bundle_free(&bundle);
    g_hash_table_destroy(table);
}

/* Verification accepts the record of a decision and detects changed ones. */
static void
test_verify(void)
{
    struct counters counters = {{0}};
    struct ring ring;
    struct flow_options options = {
        .self = 1, .capacity = 1024, .counters = &counters, .ring = &ring};
    struct flow_packet packet = {.hash = 12345, .first = true};
    struct flow_verdict verdict;
    struct ring_record record;
    struct bundle bundle;
    struct status st;
    json_object *doc = json_object_new_object();
    struct flow *flow;
    char text[64];
    char reason[256];

    ring_open(&ring, 16);
    flow = flow_new(&options);
    g_assert_cmpint(bundle_read("b", bundle_cases[0].text,
                                strlen(bundle_cases[0].text), &bundle, &st),
                    ==, STATUS_OK);
    (void)flow_apply(flow, 1, &bundle, NULL, FLOW_STEP_SETTLED);
    flow_set_lease(flow, 1000000);
    packet.service = flow_find_named(flow, "s");
    flow_steer(flow, 10, 10, &packet, &verdict);
    g_assert_cmpuint(ring_find(&ring, 12345, &record, 1), ==, 1);
    json_object_object_add(
        doc, "rule",
        json_object_new_string(ring_rule_name((enum ring_rule)record.rule)));
    (void)snprintf(text, sizeof(text), "%016llx",
                   (unsigned long long)record.table_digest);
    json_object_object_add(doc, "table_digest", json_object_new_string(text));
    (void)snprintf(text, sizeof(text), "%u.%u.%u.%u:%u", record.address >> 24,
                   (record.address >> 16) & 255, (record.address >> 8) & 255,
                   record.address & 255, record.port);
    json_object_object_add(doc, "owner_now", json_object_new_string(text));
    json_object_object_add(doc, "upstream", json_object_new_string(text));
    g_assert_true(
        explain_verify_flow(&bundle, "s", 12345, doc, reason, sizeof(reason)));
    json_object_object_add(doc, "upstream",
                           json_object_new_string("10.0.0.9:80"));
    g_assert_false(
        explain_verify_flow(&bundle, "s", 12345, doc, reason, sizeof(reason)));
    g_assert_nonnull(strstr(reason, "10.0.0.9:80"));
    json_object_object_add(doc, "table_digest",
                           json_object_new_string("0000000000000000"));
    g_assert_false(
        explain_verify_flow(&bundle, "s", 12345, doc, reason, sizeof(reason)));
    json_object_put(doc);
    bundle_free(&bundle);
    flow_free(flow);
    ring_close(&ring);
}

static void
add_documents(const char *prefix, const struct document *all, size_t count,
              void (*test)(gconstpointer data))
{
    char path[128];

    for (size_t i = 0; i < count; i++) {
        (void)snprintf(path, sizeof(path), "/input/%s/%s", prefix,
                       all[i].name);
        g_test_add_data_func(path, &all[i], test);
    }
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    if (sodium_init() < 0) {
        return 2;
    }
    add_documents("settings", settings_cases, G_N_ELEMENTS(settings_cases),
                  test_settings);
    add_documents("bundle", bundle_cases, G_N_ELEMENTS(bundle_cases),
                  test_bundle);
    for (size_t i = 0; i < G_N_ELEMENTS(successor_cases); i++) {
        (void)snprintf(path, sizeof(path), "/input/successor/%s",
                       successor_cases[i].name);
        g_test_add_data_func(path, &successor_cases[i], test_successor);
    }
    g_test_add_func("/input/cooldown", test_cooldown);
    g_test_add_func("/input/hostile", test_hostile);
    g_test_add_func("/input/rewrite", test_rewrite);
    g_test_add_func("/input/fuzz-packets", test_fuzz_packets);
    g_test_add_func("/input/fuzz-messages", test_fuzz_messages);
    g_test_add_func("/input/corpus", test_corpus);
    g_test_add_func("/input/fuzz-json", test_fuzz_json);
    g_test_add_func("/input/seal", test_seal);
    g_test_add_func("/input/burn", test_burn);
    g_test_add_func("/input/verify", test_verify);
    return g_test_run();
}
