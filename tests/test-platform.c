/*
 * Parsers of the platform's packet headers, routing tables and registrations:
 * each must accept valid input and reject any other.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "codec.h"
#include "platform/platform.h"

/* Header of the platform's documentation, and the reset that answers it. */
static const uint8_t example[] = {
    0xd5, 0xc3, 0xb2, 0xa1, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00,
    0x40, 0x64, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00};
static const uint8_t example_reset[] = {
    0x00, 0x00, 0x00, 0x00, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00,
    0x12, 0xc6, 0x41, 0x9c, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x20, 0x00, 0x00, 0x00, 0x00, 0x00};

/* A header must be read exactly, and rejected when shortened. */
static void
test_packet(void)
{
    struct evidence_packet packet;
    uint8_t reset[PLATFORM_HEADER_BYTES];
    uint8_t copy[sizeof(example)];

    g_assert_true(platform_read_packet(example, sizeof(example), &packet));
    g_assert_true(packet.first && !packet.closing);
    g_assert_cmphex(packet.source, ==, 0x64400007);
    g_assert_cmpuint(packet.source_port, ==, 40001);
    g_assert_cmphex(packet.destination, ==, 0xc6120001);
    g_assert_cmpuint(packet.destination_port, ==, 443);
    platform_write_reset(&packet, reset);
    g_assert_cmpmem(reset, sizeof(reset), example_reset,
                    sizeof(example_reset));
    memcpy(copy, example, sizeof(copy));
    platform_write_token(copy, 0xa1b2c3d4);
    g_assert_true(platform_read_packet(copy, sizeof(copy), &packet));
    g_assert_cmphex(packet.token, ==, 0xa1b2c3d4);
    for (size_t length = 0; length < sizeof(example); length++) {
        g_assert_false(platform_read_packet(example, length, &packet));
    }
    copy[28] = 1;
    g_assert_false(platform_read_packet(copy, sizeof(copy), &packet));
}

/* Routing tables. */
struct table_case {
    const char *name;
    const char *routes;
    const char *rest; /* members besides "routes" */
    bool valid;
};

#define REST                                                                  \
    "\"version\":7,\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}],"         \
    "\"limits\":{\"idle_timeout_ms\":15000}"
#define ROUTE(prefix, service)                                                \
    "{\"name\":\"r\",\"hostname\":\"198.18.0.1\",\"path_prefix\":\"" prefix   \
    "\",\"kind\":\"safe\",\"timeout_ms\":5," service "}"

static const struct table_case tables[] = {
    {"one-route", ROUTE("/8080/", "\"service\":\"a\""), REST, true},
    {"no-route", "", REST, true},
    {"unknown-field", ROUTE("/8080/", "\"new\":1,\"service\":\"a\""), REST,
     true},
    {"split",
     ROUTE("/8080/", "\"traffic_split\":[{\"service\":\"a\",\"weight\":90},"
                     "{\"service\":\"b\",\"weight\":0}]"),
     REST, true},
    {"unknown-service", ROUTE("/8080/", "\"service\":\"c\""), REST, false},
    {"unknown-service-in-split",
     ROUTE("/8080/", "\"traffic_split\":[{\"service\":\"c\",\"weight\":1}]"),
     REST, false},
    {"no-weight",
     ROUTE("/8080/", "\"traffic_split\":[{\"service\":\"a\",\"weight\":0}]"),
     REST, false},
    {"weight-missing",
     ROUTE("/8080/", "\"traffic_split\":[{\"service\":\"a\"}]"), REST, false},
    {"same-endpoint",
     ROUTE("/8080/", "\"service\":\"a\"") "," ROUTE("/8080/",
                                                    "\"service\":\"b\""),
     REST, false},
    {"no-timeout",
     "{\"name\":\"r\",\"hostname\":\"198.18.0.1\",\"path_prefix\":\"/1/\","
     "\"timeout_ms\":0,\"service\":\"a\"}",
     REST, false},
    {"no-port", ROUTE("/x/", "\"service\":\"a\""), REST, false},
    {"port-too-large", ROUTE("/70000/", "\"service\":\"a\""), REST, false},
    {"text-after-the-port", ROUTE("/80/x", "\"service\":\"a\""), REST, false},
    {"warmup", "",
     "\"version\":7,\"services\":[{\"name\":\"a\",\"warmup_s\":2.5,"
     "\"warmup_per_s\":3}]",
     true},
    {"warmup-text", "",
     "\"version\":7,\"services\":[{\"name\":\"a\",\"warmup_s\":\"2\"}]",
     false},
    {"warmup-negative", "",
     "\"version\":7,\"services\":[{\"name\":\"a\",\"warmup_per_s\":-1}]",
     false},
    {"warmup-of-no-service", "",
     "\"version\":7,\"services\":[{\"warmup_s\":2}]", false},
    {"version-zero", "", "\"version\":0,\"services\":[]", false},
    {"version-negative", "", "\"version\":-1,\"services\":[]", false},
    {"version-past-2-53", "", "\"version\":9007199254740993,\"services\":[]",
     false},
    {"version-text", "", "\"version\":\"7\",\"services\":[]", false},
    {"limits-no-object", "", "\"version\":7,\"services\":[],\"limits\":[]",
     false},
    {"idle-no-number", "",
     "\"version\":7,\"services\":[],\"limits\":{\"idle_timeout_ms\":\"9\"}",
     false},
    {"no-limits", "", "\"version\":7,\"services\":[]", true},
    {"services-missing", "", "\"version\":7", false},
};

/* A valid table must load, and each of its prefixes must be rejected. */
static void
test_table(const void *data)
{
    const struct table_case *c = data;
    char *text = g_strdup_printf("{\"routes\":[%s],%s}", c->routes, c->rest);
    struct status st = {STATUS_OK, ""};
    struct route_table *table = platform_read_table(text, strlen(text), &st);

    g_assert_cmpint(table != NULL, ==, c->valid);
    g_assert_cmpint(st.kind == STATUS_OK, ==, c->valid);
    route_free(table);
    for (size_t length = 0; length < strlen(text); length++) {
        st.kind = STATUS_OK;
        g_assert_null(platform_read_table(text, length, &st));
        g_assert_cmpint(st.kind, ==, STATUS_BAD_INPUT);
    }
    g_free(text);
}

/* Registrations. */
struct registration_case {
    const char *name;
    const char *id;
    const char *body;
    bool valid;
};

#define BODY(state, address)                                                  \
    "{\"service\":\"a\",\"address\":\"" address                               \
    "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":2,\"state\":\"" state     \
    "\",\"warmup_remaining_ms\":5,\"sequence\":4}"

static const struct registration_case registrations[] = {
    {"ready", "i-7f3a91c2", BODY("ready", "10.128.0.9:8080"), true},
    {"draining", "i-17ce7f0ee9", BODY("draining", "10.128.0.9:8080"), true},
    {"sixteen-digits", "i-0123456789abcdef", BODY("ready", "10.0.0.9:80"),
     true},
    {"seventeen-digits", "i-0123456789abcdef0", BODY("ready", "10.0.0.9:80"),
     false},
    {"not-hex", "i-xyz", BODY("ready", "10.0.0.9:80"), false},
    {"empty-id", "", BODY("ready", "10.0.0.9:80"), false},
    {"id-zero", "i-0", BODY("ready", "10.0.0.9:80"), false},
    {"unknown-state", "i-1", BODY("idle", "10.0.0.9:80"), false},
    {"no-port", "i-1", BODY("ready", "10.0.0.9"), false},
    {"not-an-address", "i-1", BODY("ready", "10.0.0.999:80"), false},
    {"empty", "i-1", "", false},
    {"list", "i-1", "[]", false},
    {"deep", "i-1", "[[[[[[[[[[[[[[[[[[[[[[[[", false},
    {"no-service", "i-1",
     "{\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":2,\"state\":"
     "\"ready\",\"sequence\":4}",
     false},
    {"no-address", "i-1",
     "{\"service\":\"a\",\"zone\":\"z\",\"slots\":2,\"state\":\"ready\","
     "\"sequence\":4}",
     false},
    {"no-zone", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"slots\":2,\"state\":"
     "\"ready\",\"sequence\":4}",
     false},
    {"no-slots", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":"
     "\"ready\",\"sequence\":4}",
     false},
    {"no-state", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"sequence\":4}",
     false},
    {"no-sequence", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\"}",
     false},
    {"service-null", "i-1",
     "{\"service\":null,\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"service-list", "i-1",
     "{\"service\":[\"a\"],\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"service-object", "i-1",
     "{\"service\":{\"of\":\"a\"},\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-null", "i-1",
     "{\"service\":\"a\",\"address\":null,\"zone\":\"z\",\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-list", "i-1",
     "{\"service\":\"a\",\"address\":[\"10.0.0.9:80\"],\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-object", "i-1",
     "{\"service\":\"a\",\"address\":{\"of\":\"10.0.0.9:80\"},\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"zone-null", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":null,\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"zone-list", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":[\"z\"],"
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"zone-object", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":{\"of\":\"z\"},"
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-null", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "null,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-list", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "[2],\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-object", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "{\"of\":2},\"state\":\"ready\",\"sequence\":4}",
     false},
    {"state-null", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":null,\"sequence\":4}",
     false},
    {"state-list", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":[\"ready\"],\"sequence\":4}",
     false},
    {"state-object", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":{\"of\":\"ready\"},\"sequence\":4}",
     false},
    {"sequence-null", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":null}",
     false},
    {"sequence-list", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":[4]}",
     false},
    {"sequence-object", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":{\"of\":4}}",
     false},
    {"service-number", "i-1",
     "{\"service\":7,\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"service-empty", "i-1",
     "{\"service\":\"\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-number", "i-1",
     "{\"service\":\"a\",\"address\":7,\"zone\":\"z\",\"slots\":2,\"state\":"
     "\"ready\",\"sequence\":4}",
     false},
    {"address-empty", "i-1",
     "{\"service\":\"a\",\"address\":\"\",\"zone\":\"z\",\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"zone-number", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":7,\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"zone-empty", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"state-number", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":7,\"sequence\":4}",
     false},
    {"state-empty", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"\",\"sequence\":4}",
     false},
    {"slots-text", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "\"4\",\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-negative", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "-4,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-fraction", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "4.5,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-true", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "true,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"sequence-text", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":\"4\"}",
     false},
    {"sequence-negative", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":-4}",
     false},
    {"sequence-fraction", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4.5}",
     false},
    {"sequence-true", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":true}",
     false},
    {"slots-zero", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "0,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"slots-huge", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "99999999,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"sequence-huge", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":18446744073709551616}",
     false},
    {"service-nul", "i-1",
     "{\"service\":\"a\\u0000b\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"service-too-long", "i-1",
     "{\"service\":"
     "\"ssssssssssssssssssssssssssssssssssssssssssssssssssssssssssssssss\","
     "\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":2,\"state\":"
     "\"ready\",\"sequence\":4}",
     false},
    {"zone-too-long", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":"
     "\"zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"state-capital", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"Ready\",\"sequence\":4}",
     false},
    {"state-with-space", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready \",\"sequence\":4}",
     false},
    {"address-without-port", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9\",\"zone\":\"z\",\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-port-zero", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:0\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-port-too-large", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:70000\",\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-all-zero", "i-1",
     "{\"service\":\"a\",\"address\":\"0.0.0.0:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-ipv6", "i-1",
     "{\"service\":\"a\",\"address\":\"[::1]:80\",\"zone\":\"z\",\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-name", "i-1",
     "{\"service\":\"a\",\"address\":\"host:80\",\"zone\":\"z\",\"slots\":2,"
     "\"state\":\"ready\",\"sequence\":4}",
     false},
    {"address-text-after", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80/"
     "\",\"zone\":\"z\",\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"warmup-text", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"warmup_remaining_ms\":\"5\"}",
     false},
    {"warmup-negative", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"warmup_remaining_ms\":-5}",
     false},
    {"warmup-fraction", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"warmup_remaining_ms\":5.5}",
     false},
    {"warmup-null", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"warmup_remaining_ms\":null}",
     false},
    {"born", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":1796000000000}",
     true},
    {"born-text", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":\"1796000000000\"}",
     false},
    {"born-fraction", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":1796000000000.5}",
     false},
    {"born-exponent", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":1.796e12}",
     false},
    {"born-negative", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":-1796000000000}",
     false},
    {"born-zero", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":0}",
     false},
    {"born-null", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":null}",
     false},
    {"born-true", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":true}",
     false},
    {"born-list", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":[1796000000000]}",
     false},
    {"born-past-2-53", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"born\":9007199254740993}",
     false},
    {"unknown-field", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"rack\":{\"row\":[1,2]},\"note\":"
     "\"x\"}",
     true},
    {"service-without-route", "i-1",
     "{\"service\":\"other\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     true},
    {"unknown-version", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4,\"version\":17}",
     true},
    {"cut-short", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"read",
     false},
    {"text-after", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}}",
     false},
    {"two-objects", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "2,\"state\":\"ready\",\"sequence\":4}{\"service\":\"a\",\"address\":"
     "\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":2,\"state\":\"ready\","
     "\"sequence\":4}",
     false},
    {"not-utf-8", "i-1",
     "{\"service\":\"\xff\xfe\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
     "\"slots\":2,\"state\":\"ready\",\"sequence\":4}",
     false},
    {"byte-order-mark", "i-1", "\xef\xbb\xbf{}", false},
    {"text", "i-1", "\"ready\"", false},
    {"number", "i-1", "4", false},
    {"null", "i-1", "null", false},
    {"empty-object", "i-1", "{}", false},
    {"single-quotes", "i-1", "{'service':'a'}", false},
    {"not-a-number", "i-1",
     "{\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":"
     "NaN,\"state\":\"ready\",\"sequence\":4}",
     false},
};

/* Requests to the platform's paths, and whether they are served. */
struct request_case {
    const char *name;
    const char *method;
    const char *path;
    bool served;
};

static const struct request_case requests[] = {
    {"readiness", "GET", "/-/readiness", true},
    {"register", "PUT", "/-/instances/i-7", true},
    {"deregister", "DELETE", "/-/instances/i-7", true},
    {"submit", "PUT", "/-/configuration", true},
    {"read", "GET", "/-/configuration", true},
    {"drain-a-hall", "POST", "/-/evacuation/cesson", true},
    {"undrain-a-hall", "DELETE", "/-/evacuation/cesson", true},
    {"put-on-a-hall", "PUT", "/-/evacuation/cesson", false},
    {"post-a-table", "POST", "/-/configuration", false},
    {"unknown-path", "GET", "/-/evacuations", false},
    {"root", "GET", "/", false},
};

static void
test_request(const void *data)
{
    const struct request_case *c = data;
    const char *rest = "";
    enum platform_request request =
        platform_classify(c->method, c->path, &rest);

    g_assert_cmpint(request != PLATFORM_UNKNOWN, ==, c->served);
}

static void
test_registration(const void *data)
{
    const struct registration_case *c = data;
    struct upstream_registration r;
    struct status st = {STATUS_OK, ""};
    enum status_kind kind =
        platform_read_registration(c->id, c->body, strlen(c->body), &r, &st);

    g_assert_cmpint(kind == STATUS_OK, ==, c->valid);
    if (c->valid) {
        g_assert_cmpuint(r.sequence, ==, 4);
        g_assert_cmpuint(r.slots, ==, 2);
    }
}

/* Valid input with random bytes replaced must not crash any parser. */
static void
test_fuzz(void)
{
    GRand *rand = g_rand_new_with_seed(20261202);
    const char *texts[] = {
        BODY("ready", "10.0.0.9:80"),
        "{\"routes\":[" ROUTE("/8080/", "\"service\":\"a\"") "]," REST "}"};

    for (int i = 0; i < 20000; i++) {
        const char *text = texts[i % 2];
        size_t length = strlen(text);
        char *bytes = g_strdup(text);
        struct upstream_registration r;
        struct evidence_packet packet;
        struct status st = {STATUS_OK, ""};
        wire_msg msg;

        for (int n = g_rand_int_range(rand, 1, 6); n > 0; n--) {
            bytes[g_rand_int_range(rand, 0, (gint32)length)] =
                (char)g_rand_int_range(rand, 0, 256);
        }
        uint64_t started_at;

        (void)platform_read_registration("i-1", bytes, length, &r, &st);
        (void)platform_read_deregistration(bytes, length, &started_at, &st);
        route_free(platform_read_table(bytes, length, &st));
        (void)platform_read_packet((const uint8_t *)bytes, length, &packet);
        if (codec_decode(bytes, length / 4 * 4, &msg)) {
            codec_free(&msg);
        }
        g_free(bytes);
    }
    g_rand_free(rand);
}

/* Bodies of deregistrations. */
struct deregistration_case {
    const char *name;
    const char *body;
    bool valid;
    uint64_t started_at;
};

static const struct deregistration_case deregistrations[] = {
    {"empty", "", true, 0},
    {"no-field", "{}", true, 0},
    {"unknown-field", "{\"why\":\"x\"}", true, 0},
    {"born", "{\"born\":1796000000000}", true, 1796000000000},
    {"born-text", "{\"born\":\"1796000000000\"}", false, 0},
    {"born-fraction", "{\"born\":1.5}", false, 0},
    {"born-null", "{\"born\":null}", false, 0},
    {"list", "[1]", false, 0},
    {"cut-short", "{\"born\":17", false, 0},
};

static void
test_deregistration(const void *data)
{
    const struct deregistration_case *c = data;
    struct status st = {STATUS_OK, ""};
    uint64_t started_at;
    enum status_kind kind = platform_read_deregistration(
        c->body, strlen(c->body), &started_at, &st);

    g_assert_cmpint(kind == STATUS_OK, ==, c->valid);
    if (c->valid) {
        g_assert_cmpuint(started_at, ==, c->started_at);
    }
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/platform/table/", tables, test_table)
    CASES_ADD("/platform/request/", requests, test_request)
    CASES_ADD("/platform/registration/", registrations, test_registration)
    CASES_ADD("/platform/deregistration/", deregistrations,
              test_deregistration)
    g_test_add_func("/platform/packet", test_packet);
    g_test_add_func("/platform/fuzz", test_fuzz);
    return g_test_run();
}
