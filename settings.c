/* Schema of the settings file, and checks across keys. */
#include "settings.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "log.h"

#define PORT_MAX 65535

static const char *const role_names[] = {"entry", "control", NULL};
#define AT(field) offsetof(struct settings_control, field)
static const struct schema_field control_fields[] = {
    {.key = "id",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 1,
     .max = 7,
     .offset = AT(id),
     .help = "give each control VM its own id from 1 to 7"},
    {.key = "address",
     .type = SCHEMA_IPV4,
     .required = true,
     .offset = AT(address),
     .help = "give the control VM's IPv4 address"},
    {.key = "rpc_port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 7401,
     .offset = AT(rpc_port),
     .help = "give the TCP port of its ONC RPC"},
    {.key = "http_port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 7400,
     .offset = AT(http_port),
     .help = "give the TCP port of its HTTP interface for operators"},
    {.key = "founder",
     .type = SCHEMA_UINT,
     .max = 1,
     .default_value = 1,
     .offset = AT(founder),
     .help = "give 0 for a control VM that `ridgeridge voters` adds later"},
    {.key = NULL},
};
#undef AT
static const struct schema control_schema = {
    .name = "control",
    .size = sizeof(struct settings_control),
    .fields = control_fields};

#define AT(field) offsetof(struct settings_operator, field)
static const struct schema_field operator_fields[] = {
    {.key = "name",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = SETTINGS_NAME_MAX,
     .offset = AT(name),
     .help = "name the operator, for example \"ana\""},
    {.key = "public_key",
     .type = SCHEMA_HEX,
     .required = true,
     .min = SETTINGS_KEY_BYTES,
     .max = SETTINGS_KEY_BYTES,
     .offset = AT(public_key),
     .unit = "bytes",
     .help = "give 64 hex digits from `ridgeridge keygen`"},
    {.key = "token",
     .type = SCHEMA_HEX,
     .required = true,
     .min = SETTINGS_KEY_BYTES,
     .max = SETTINGS_KEY_BYTES,
     .offset = AT(token),
     .unit = "bytes",
     .help = "give 64 hex digits: the SHA-256 of the operator's bearer "
             "token, from `ridgeridge keygen`"},
    {.key = NULL},
};
#undef AT
static const struct schema operator_schema = {
    .name = "operator",
    .size = sizeof(struct settings_operator),
    .fields = operator_fields};

#define AT(field) offsetof(struct settings_fabric, field)
static const struct schema_field fabric_fields[] = {
    {.key = "address",
     .type = SCHEMA_IPV4,
     .required = true,
     .offset = AT(address),
     .help = "give the fabric's IPv4 address"},
    {.key = "port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 6081,
     .offset = AT(port),
     .help = "give the fabric's UDP port for Geneve"},
    {.key = NULL},
};
#undef AT
static const struct schema fabric_schema = {.name = "fabric",
                                            .size =
                                                sizeof(struct settings_fabric),
                                            .fields = fabric_fields};

#define AT(field) offsetof(struct settings, field)
static const struct schema_field settings_fields[] = {
    {.key = "name",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = SETTINGS_NAME_MAX,
     .offset = AT(name),
     .help = "name this VM, for example \"entry-1\""},
    {.key = "role",
     .type = SCHEMA_ENUM,
     .required = true,
     .names = role_names,
     .offset = AT(role),
     .help = "write \"entry\" or \"control\""},
    {.key = "hall",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = SETTINGS_NAME_MAX,
     .offset = AT(hall),
     .help = "name this VM's data hall, for example \"rennes-1\""},
    {.key = "address",
     .type = SCHEMA_IPV4,
     .required = true,
     .offset = AT(address),
     .help = "give this VM's IPv4 address"},
    {.key = "data",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = SETTINGS_PATH_MAX,
     .offset = AT(data),
     .help = "name the data folder of this VM"},
    {.key = "log",
     .type = SCHEMA_TEXT,
     .max = SETTINGS_PATH_MAX,
     .offset = AT(log),
     .help = "name the log file, or leave it out for standard error"},
    {.key = "log_level",
     .type = SCHEMA_ENUM,
     .names = log_level_names,
     .default_value = 1,
     .offset = AT(log_level),
     .help = "write \"debug\", \"info\", \"warn\" or \"error\""},
    {.key = "id",
     .type = SCHEMA_UINT,
     .max = 7,
     .offset = AT(id),
     .help = "on a control VM, give its id in \"controls\""},
    {.key = "rpc_port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 7401,
     .offset = AT(rpc_port),
     .help = "give the TCP port for ONC RPC"},
    {.key = "http_port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 7400,
     .offset = AT(http_port),
     .help = "give the TCP port for HTTP"},
    {.key = "peer_port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 7402,
     .offset = AT(peer_port),
     .help = "give the UDP port for other entries"},
    {.key = "fabric_port",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = PORT_MAX,
     .default_value = 6081,
     .offset = AT(fabric_port),
     .help = "give the UDP port for packets from the fabric"},
    {.key = "flow_capacity",
     .type = SCHEMA_UINT,
     .min = 1024,
     .max = 16777216,
     .default_value = 1048576,
     .offset = AT(flow_capacity),
     .unit = "records",
     .help = "give at least twice the concurrent flows of an entry"},
    {.key = "ring_size",
     .type = SCHEMA_UINT,
     .min = 16,
     .max = 1048576,
     .default_value = 8192,
     .offset = AT(ring_size),
     .unit = "decisions",
     .help = "give the number of recent decisions kept for explain"},
    {.key = "request_threads",
     .type = SCHEMA_UINT,
     .min = 1,
     .max = 4096,
     .default_value = 256,
     .offset = AT(request_threads),
     .unit = "requests",
     .help = "give the limit of concurrent requests at an entry"},
    {.key = "cluster_key",
     .type = SCHEMA_HEX,
     .required = true,
     .min = SETTINGS_KEY_BYTES,
     .max = SETTINGS_KEY_BYTES,
     .offset = AT(cluster_key),
     .unit = "bytes",
     .help = "give the same 64 hex digits on every VM"},
    {.key = "fabric",
     .type = SCHEMA_OBJECT,
     .inner = &fabric_schema,
     .offset = AT(fabric),
     .help = "give the fabric's address and port for packets"},
    {.key = "controls",
     .type = SCHEMA_LIST,
     .required = true,
     .min = 1,
     .max = 7,
     .inner = &control_schema,
     .offset = AT(controls),
     .help = "list 1, 3, 5 or 7 control VMs"},
    {.key = "operators",
     .type = SCHEMA_LIST,
     .max = 64,
     .inner = &operator_schema,
     .offset = AT(operators),
     .help = "list the operators who may submit and sign off"},
    {.key = NULL},
};
#undef AT
const struct schema settings_schema = {.name = "Settings",
                                       .size = sizeof(struct settings),
                                       .fields = settings_fields};

/* Checks for unique ids and an odd number of founders. */
static enum status_kind
check_controls(const char *source, const struct settings *settings,
               struct status *st)
{
    size_t founders = 0;

    for (size_t i = 0; i < settings->control_count; i++) {
        founders += settings->controls[i].founder;
        for (size_t j = 0; j < i; j++) {
            if (settings->controls[i].id == settings->controls[j].id) {
                return status_set(st, STATUS_BAD_INPUT,
                                  "%s: \"controls[%zu].id\" is a duplicate; "
                                  "give each control VM its own id",
                                  source, i);
            }
        }
    }
    if (founders % 2 == 0) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"controls\" has %zu founders; make it 1, 3, "
                          "5 or 7",
                          source, founders);
    }
    return STATUS_OK;
}

/* Checks for port conflicts on one VM. */
static enum status_kind
check_ports(const char *source, const struct settings *settings,
            struct status *st)
{
    if (settings->rpc_port == settings->http_port) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"rpc_port\" equals \"http_port\"; give them "
                          "different TCP ports",
                          source);
    }
    if (settings->role == ROLE_ENTRY &&
        settings->peer_port == settings->fabric_port) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"peer_port\" equals \"fabric_port\"; give "
                          "them different UDP ports",
                          source);
    }
    return STATUS_OK;
}

/* Checks across keys. */
static enum status_kind
check_settings(const char *source, const struct settings *settings,
               struct status *st)
{
    if (check_controls(source, settings, st) != STATUS_OK ||
        check_ports(source, settings, st) != STATUS_OK) {
        return st->kind;
    }
    if (settings->role == ROLE_CONTROL &&
        settings_find_control(settings, settings->id) == NULL) {
        return status_set(st, STATUS_BAD_INPUT,
                          "%s: \"id\" is not in \"controls\"; give this "
                          "VM's id",
                          source);
    }
    if (settings->role == ROLE_ENTRY && settings->fabric.address == 0) {
        return status_set(
            st, STATUS_BAD_INPUT,
            "%s: \"fabric\" is missing; give the fabric's address and port "
            "for packets",
            source);
    }
    return STATUS_OK;
}

enum status_kind
settings_read(const char *source, const char *text, size_t length,
              struct settings *out, struct status *st)
{
    if (schema_read(&settings_schema, source, text, length, out, st) !=
        STATUS_OK) {
        return st->kind;
    }
    if (check_settings(source, out, st) != STATUS_OK) {
        settings_free(out);
    }
    return st->kind;
}

enum status_kind
settings_load(const char *path, struct settings *out, struct status *st)
{
    size_t length = 0;
    char *text = schema_load(path, &length, st);

    if (text == NULL) {
        return st->kind;
    }
    (void)settings_read(path, text, length, out, st);
    sodium_memzero(text, length);
    g_free(text);
    return st->kind;
}

void
settings_free(struct settings *settings)
{
    schema_free(&settings_schema, settings);
}

const struct settings_control *
settings_find_control(const struct settings *settings, uint64_t id)
{
    for (size_t i = 0; i < settings->control_count; i++) {
        if (settings->controls[i].id == id) {
            return &settings->controls[i];
        }
    }
    return NULL;
}

const struct settings_operator *
settings_find_operator(const struct settings *settings, const char *name)
{
    for (size_t i = 0; i < settings->operator_count; i++) {
        if (strcmp(settings->operators[i].name, name) == 0) {
            return &settings->operators[i];
        }
    }
    return NULL;
}
