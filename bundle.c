/* Keys of a bundle, and the checks that span several keys. */
#include "bundle.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "address.h"
#include "hash.h"

#define PORT_MAX 65535

static const char *const kind_names[] = {"flow", "request", NULL};
static const char *const protocol_names[] = {"tcp", "udp", NULL};
static const char *const state_names[] = {"serving", "leaving", NULL};

#define AT(field) offsetof(struct bundle_upstream, field)
static const struct schema_field upstream_fields[] = {
    {.key = "name",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = BUNDLE_NAME_MAX,
     .offset = AT(name),
     .help = "name the upstream, for example \"dossier-1\""},
    {.key = "address",
     .type = SCHEMA_IPV4,
     .required = true,
     .offset = AT(address),
     .help = "give the upstream's IPv4 address"},
    {.key = "port",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 1,
     .max = PORT_MAX,
     .offset = AT(port),
     .help = "give a port, 1 to 65535"},
    {.key = "weight",
     .type = SCHEMA_UINT,
     .min = 0,
     .max = 1000,
     .default_value = 100,
     .offset = AT(weight),
     .help = "give a relative weight, 0 for no new flows or requests"},
    {.key = "slots",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = 10000,
     .default_value = 3,
     .offset = AT(slots),
     .unit = "requests",
     .help = "give the maximum number of concurrent requests"},
    {.key = "state",
     .type = SCHEMA_ENUM,
     .names = state_names,
     .offset = AT(state),
     .help = "write \"serving\" or \"leaving\""},
    {.key = "hall",
     .type = SCHEMA_TEXT,
     .max = BUNDLE_NAME_MAX,
     .offset = AT(hall),
     .help = "name the upstream's data hall"},
    {.key = NULL},
};
#undef AT
static const struct schema upstream_schema = {
    .name = "upstream",
    .size = sizeof(struct bundle_upstream),
    .fields = upstream_fields};

#define AT(field) offsetof(struct bundle_objective, field)
static const struct schema_field objective_fields[] = {
    {.key = "within_ms",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = 600000,
     .default_value = 1000,
     .offset = AT(within_ms),
     .unit = "ms",
     .help = "give the longest response time that counts as good"},
    {.key = "good_per_ten_thousand",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = 9999,
     .default_value = 9990,
     .offset = AT(good_per_ten_thousand),
     .help = "give how many of 10,000 requests or flows must be good"},
    {.key = NULL},
};
#undef AT
static const struct schema objective_schema = {
    .name = "objective",
    .size = sizeof(struct bundle_objective),
    .fields = objective_fields};

#define AT(field) offsetof(struct bundle_service, field)
static const struct schema_field service_fields[] = {
    {.key = "name",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = BUNDLE_NAME_MAX,
     .offset = AT(name),
     .help = "name the service, for example \"dossier\""},
    {.key = "kind",
     .type = SCHEMA_ENUM,
     .required = true,
     .names = kind_names,
     .offset = AT(kind),
     .help = "write \"flow\" or \"request\""},
    {.key = "address",
     .type = SCHEMA_IPV4,
     .offset = AT(address),
     .help = "give the IPv4 address that callers use"},
    {.key = "port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .offset = AT(port),
     .help = "give a port, 1 to 65535"},
    {.key = "protocol",
     .type = SCHEMA_ENUM,
     .names = protocol_names,
     .offset = AT(protocol),
     .help = "write \"tcp\" or \"udp\""},
    {.key = "host",
     .type = SCHEMA_TEXT,
     .max = BUNDLE_NAME_MAX,
     .offset = AT(host),
     .help = "give the Host header of requests to this service"},
    {.key = "objective",
     .type = SCHEMA_OBJECT,
     .inner = &objective_schema,
     .offset = AT(objective),
     .help = "give the service level objective"},
    {.key = "upstreams",
     .type = SCHEMA_LIST,
     .required = true,
     .min = 1,
     .max = BUNDLE_UPSTREAMS_MAX,
     .inner = &upstream_schema,
     .offset = AT(upstreams),
     .help = "list at least one upstream"},
    {.key = NULL},
};
#undef AT
static const struct schema service_schema = {.name = "service",
                                             .size =
                                                 sizeof(struct bundle_service),
                                             .fields = service_fields};

#define AT(field) offsetof(struct bundle, field)
static const struct schema_field bundle_fields[] = {
    {.key = "version",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 1,
     .max = INT64_MAX,
     .offset = AT(version),
     .help = "give a number above that of the bundle in force"},
    {.key = "base",
     .type = SCHEMA_UINT,
     .required = true,
     .max = INT64_MAX,
     .offset = AT(base),
     .help = "give the version this bundle is based on, 0 for the first"},
    {.key = "services",
     .type = SCHEMA_LIST,
     .required = true,
     .min = 1,
     .max = BUNDLE_SERVICES_MAX,
     .inner = &service_schema,
     .offset = AT(services),
     .help = "list at least one service"},
    {.key = NULL},
};
#undef AT
const struct schema bundle_schema = {
    .name = "Bundle", .size = sizeof(struct bundle), .fields = bundle_fields};

/* Takes ownership of the key; fails when another service has it already. */
static enum status_kind
insert_unique(GHashTable *seen, char *key, const char *service,
              const char *source, const char *remedy, struct status *st)
{
    const char *holder = g_hash_table_lookup(seen, key);

    if (holder != NULL) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "%s: \"%s\" and \"%s\" both have %s; %s", source,
                         holder, service, key, remedy);
        g_free(key);
        return st->kind;
    }
    g_hash_table_insert(seen, key, (gpointer)service);
    return STATUS_OK;
}

static char *
format_endpoint(const char *prefix, uint32_t address, uint64_t port)
{
    char text[ADDRESS_TEXT];

    return g_strconcat(prefix, address_format(address, (uint16_t)port, text),
                       NULL);
}

static enum status_kind
check_required_keys(const char *source, const struct bundle_service *s,
                    struct status *st)
{
    if (s->kind == BUNDLE_FLOW && (s->address == 0 || s->port == 0)) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: flow service \"%s\" lacks \"address\" or "
                          "\"port\"; give both",
                          source, s->name);
    }
    if (s->kind == BUNDLE_REQUEST && s->host[0] == '\0') {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: request service \"%s\" lacks \"host\"; set "
                          "it to the Host header of its requests",
                          source, s->name);
    }
    return STATUS_OK;
}

/* Checks a service against the names and endpoints of those before it. */
static enum status_kind
check_service(const char *source, GHashTable *seen,
              const struct bundle_service *s, struct status *st)
{
    char *key;

    if (check_required_keys(source, s, st) != STATUS_OK) {
        return st->kind;
    }
    key = g_strdup_printf("the name %s", s->name);
    if (insert_unique(seen, key, s->name, source, "rename one", st) !=
        STATUS_OK) {
        return st->kind;
    }
    key = s->kind == BUNDLE_FLOW
              ? format_endpoint("the address ", s->address, s->port)
              : g_strdup_printf("the host %s", s->host);
    if (insert_unique(seen, key, s->name, source, "give each service its own",
                      st) != STATUS_OK) {
        return st->kind;
    }
    for (size_t i = 0; i < s->upstream_count; i++) {
        const struct bundle_upstream *u = &s->upstreams[i];

        key = g_strdup_printf("upstream %s of %s", u->name, s->name);
        if (insert_unique(seen, key, s->name, source, "rename one", st) !=
            STATUS_OK) {
            return st->kind;
        }
        key = format_endpoint("upstream ", u->address, u->port);
        if (insert_unique(seen, key, s->name, source,
                          "an upstream's address and port belong to exactly "
                          "one service; use another port",
                          st) != STATUS_OK) {
            return st->kind;
        }
    }
    return STATUS_OK;
}

static enum status_kind
check_bundle(const char *source, const struct bundle *b, struct status *st)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (size_t i = 0; i < b->service_count && st->kind == STATUS_OK; i++) {
        (void)check_service(source, seen, &b->services[i], st);
    }
    g_hash_table_destroy(seen);
    if (st->kind == STATUS_OK && b->base >= b->version) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"base\" is not below \"version\"; raise "
                          "\"version\"",
                          source);
    }
    return st->kind;
}

enum status_kind
bundle_read(const char *source, const char *text, size_t length,
            struct bundle *out, struct status *st)
{
    if (schema_read(&bundle_schema, source, text, length, out, st) !=
        STATUS_OK) {
        return st->kind;
    }
    bundle_digest(text, length, out->digest);
    if (check_bundle(source, out, st) != STATUS_OK) {
        bundle_free(out);
    }
    return st->kind;
}

enum status_kind
bundle_load(const char *path, struct bundle *out, struct status *st)
{
    size_t length = 0;
    char *text = schema_load(path, &length, st);

    if (text == NULL) {
        return st->kind;
    }
    (void)bundle_read(path, text, length, out, st);
    g_free(text);
    return st->kind;
}

void
bundle_free(struct bundle *bundle)
{
    schema_free(&bundle_schema, bundle);
}

void
bundle_digest(const char *text, size_t length,
              unsigned char digest[BUNDLE_DIGEST_BYTES])
{
    (void)crypto_hash_sha256(digest, (const unsigned char *)text, length);
}

static void
add_endpoint(GArray *list, uint32_t address, uint64_t port,
             const char *service)
{
    struct bundle_endpoint endpoint = {.address = address,
                                       .port = (uint16_t)port,
                                       .service = hash_name(service)};

    g_array_append_val(list, endpoint);
}

struct bundle_endpoint *
bundle_endpoints(const struct bundle *bundle, size_t *count)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct bundle_endpoint));

    for (size_t i = 0; i < bundle->service_count; i++) {
        const struct bundle_service *s = &bundle->services[i];

        if (s->kind == BUNDLE_FLOW) {
            add_endpoint(list, s->address, s->port, s->name);
        }
        for (size_t j = 0; j < s->upstream_count; j++) {
            add_endpoint(list, s->upstreams[j].address, s->upstreams[j].port,
                         s->name);
        }
    }
    *count = list->len;
    return (struct bundle_endpoint *)(void *)g_array_free(list, FALSE);
}

static gpointer
endpoint_hash_key(uint32_t address, uint16_t port)
{
    return GSIZE_TO_POINTER(((gsize)address << 16) | port);
}

/* Refuses an endpoint that moves directly from one service to another. */
static enum status_kind
check_reassigned_endpoints(const struct bundle *before,
                           const struct bundle *after, struct status *st)
{
    size_t old_count;
    size_t new_count;
    struct bundle_endpoint *old = bundle_endpoints(before, &old_count);
    struct bundle_endpoint *new = bundle_endpoints(after, &new_count);
    GHashTable *by_endpoint = g_hash_table_new(NULL, NULL);

    for (size_t i = 0; i < old_count; i++) {
        g_hash_table_insert(by_endpoint,
                            endpoint_hash_key(old[i].address, old[i].port),
                            &old[i]);
    }
    for (size_t i = 0; i < new_count && st->kind == STATUS_OK; i++) {
        const struct bundle_endpoint *previous = g_hash_table_lookup(
            by_endpoint, endpoint_hash_key(new[i].address, new[i].port));

        if (previous != NULL && previous->service != new[i].service) {
            char *name = format_endpoint("", new[i].address, new[i].port);

            (void)status_set(
                st, STATUS_REFUSED,
                "%s moves from one service to another; first roll "
                "out a bundle without it and wait until no entry "
                "sends it packets of the old service",
                name);
            g_free(name);
        }
    }
    g_hash_table_destroy(by_endpoint);
    g_free(old);
    g_free(new);
    return st->kind;
}

/* Compares address and port; the name may change. */
static bool
has_upstream(const struct bundle *bundle, const char *service,
             const struct bundle_upstream *upstream)
{
    const struct bundle_service *s = bundle_find_service(bundle, service);

    for (size_t i = 0; s != NULL && i < s->upstream_count; i++) {
        if (s->upstreams[i].address == upstream->address &&
            s->upstreams[i].port == upstream->port) {
            return true;
        }
    }
    return false;
}

/* Refuses to remove an upstream that is not leaving. */
static enum status_kind
check_removals(const struct bundle *before, const struct bundle *after,
               struct status *st)
{
    for (size_t i = 0; i < before->service_count; i++) {
        const struct bundle_service *s = &before->services[i];

        for (size_t j = 0; j < s->upstream_count; j++) {
            const struct bundle_upstream *u = &s->upstreams[j];

            if (u->state == BUNDLE_SERVING &&
                !has_upstream(after, s->name, u)) {
                return status_set(st, STATUS_REFUSED,
                                  "upstream \"%s\" of \"%s\" is removed "
                                  "while it is serving; set its state to "
                                  "\"leaving\" first, and remove it once it "
                                  "is drained",
                                  u->name, s->name);
            }
        }
    }
    return STATUS_OK;
}

enum status_kind
bundle_check_successor(const struct bundle *before, const struct bundle *after,
                       struct status *st)
{
    st->kind = STATUS_OK;
    if (check_reassigned_endpoints(before, after, st) != STATUS_OK) {
        return st->kind;
    }
    return check_removals(before, after, st);
}

const struct bundle_service *
bundle_find_service(const struct bundle *bundle, const char *name)
{
    for (size_t i = 0; i < bundle->service_count; i++) {
        if (strcmp(bundle->services[i].name, name) == 0) {
            return &bundle->services[i];
        }
    }
    return NULL;
}
