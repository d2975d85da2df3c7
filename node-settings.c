/* Schema of a node's settings. */
#include "node-settings.h"

#include <glib.h>

#include "log.h"

#define PORT_MAX 65535

static const char *const load_control_names[] = {"off", "ranked", "full",
                                                 NULL};

#define AT(field) offsetof(struct node_seed, field)
static const struct schema_field seed_fields[] = {
    {.key = "control",
     .type = SCHEMA_ENDPOINT,
     .required = true,
     .offset = AT(control),
     .help = "give the seed's address and port for operators"},
    {.key = NULL},
};
#undef AT
static const struct schema seed_schema = {
    .name = "seed", .size = sizeof(struct node_seed), .fields = seed_fields};

#define AT(field) offsetof(struct node_settings, field)
static const struct schema_field fields[] = {
    {.key = "name",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = NODE_NAME_MAX,
     .offset = AT(name),
     .help = "name this VM, for example \"entry-1\""},
    {.key = "hall",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = NODE_NAME_MAX,
     .offset = AT(hall),
     .help = "name this VM's data hall, for example \"rennes-1\""},
    {.key = "data",
     .type = SCHEMA_TEXT,
     .max = NODE_PATH_MAX,
     .offset = AT(data),
     .help = "give the data folder; leave it empty on a VM without a disk"},
    {.key = "packets",
     .type = SCHEMA_ENDPOINT,
     .required = true,
     .offset = AT(packets),
     .help = "give the UDP address and port of callers' packets"},
    {.key = "advertise",
     .type = SCHEMA_IPV4,
     .offset = AT(advertise),
     .help = "give the address at which other nodes reach this one, if it "
             "differs from \"packets\""},
    {.key = "ready",
     .type = SCHEMA_ENDPOINT,
     .required = true,
     .offset = AT(ready),
     .help = "give the TCP address and port for the fabric's health checks"},
    {.key = "control",
     .type = SCHEMA_ENDPOINT,
     .required = true,
     .offset = AT(control),
     .help = "give the TCP address and port for operators and upstreams"},
    {.key = "peer_port",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 1,
     .max = PORT_MAX,
     .offset = AT(peer_port),
     .help = "give the UDP port for messages between nodes, the same on all"},
    {.key = "metrics_port",
     .type = SCHEMA_UINT,
     .max = PORT_MAX,
     .default_value = 0,
     .offset = AT(metrics_port),
     .help = "give the TCP port for metrics, 0 for none"},
    {.key = "first_start",
     .type = SCHEMA_UINT,
     .max = 1,
     .default_value = 0,
     .offset = AT(first_start),
     .help = "give 1 only for the first start of the whole deployment"},
    {.key = "registration_interval_ms",
     .type = SCHEMA_UINT,
     .required = true,
     .min = 10,
     .max = 60000,
     .offset = AT(registration_interval_ms),
     .unit = "ms",
     .help = "give the interval of an upstream's registrations"},
    {.key = "grace_s",
     .type = SCHEMA_SECONDS,
     .min = 0,
     .max = 3600000,
     .default_value = 6000,
     .offset = AT(grace_ms),
     .unit = "s",
     .help = "give the time within which a planned stop must complete"},
    {.key = "flow_max_s",
     .type = SCHEMA_SECONDS,
     .min = 1000,
     .max = 86400000,
     .default_value = 60000,
     .offset = AT(flow_max_ms),
     .unit = "s",
     .help =
         "give the idle timeout of flows for routing tables that set none"},
    {.key = "link_mbps",
     .type = SCHEMA_RATE,
     .min = 0,
     .max = 400000000,
     .default_value = 0,
     .offset = AT(link_kbit_s),
     .unit = "Mbit/s",
     .help = "give the bandwidth of this VM's link, to which the node limits "
             "what it sends; 0 if unknown, for no limit"},
    {.key = "cold_overshoot",
     .type = SCHEMA_DECIMAL,
     .min = 0,
     .max = 1000000,
     .default_value = 1000,
     .offset = AT(warmup_overshoot_milli),
     .help = "give the factor by which all nodes together multiply the limit "
             "on new flows to a warming upstream"},
    {.key = "cold_slack",
     .type = SCHEMA_DECIMAL,
     .min = 0,
     .max = 1000000000,
     .default_value = 0,
     .offset = AT(warmup_slack_milli),
     .unit = "flows/s",
     .help = "give the rate of new flows added to the limit of a warming "
             "upstream"},
    {.key = "tolerated_disks",
     .type = SCHEMA_UINT,
     .max = NODE_TOLERATED_DISKS_MAX,
     .offset = AT(tolerated_disks),
     .help =
         "give the number of disks that may be lost at once: twice as many "
         "and one become voters, others are spares; 0 if unknown"},
    {.key = "tolerated_halls",
     .type = SCHEMA_UINT,
     .max = NODE_TOLERATED_HALLS_MAX,
     .offset = AT(tolerated_halls),
     .help =
         "give the number of data halls that may be lost at once; above 0, "
         "as many disks as possible become voters"},
    {.key = "load_control",
     .type = SCHEMA_ENUM,
     .default_value = NODE_LOAD_OFF,
     .names = load_control_names,
     .offset = AT(load_control),
     .help = "name what is decided when capacity is short: \"ranked\" for "
             "upstreams of services whose routes have different priorities, "
             "\"full\" for all services and this VM's link"},
    {.key = "requirements",
     .type = SCHEMA_TEXT,
     .max = NODE_PATH_MAX,
     .offset = AT(requirements),
     .help = "list the deployment's requirements as its platform names them, "
             "separated by commas; they may raise \"load_control\""},
    {.key = "log_level",
     .type = SCHEMA_ENUM,
     .default_value = 1,
     .names = log_level_names,
     .offset = AT(log_level),
     .help = "name the lowest severity to log"},
    {.key = "seeds",
     .type = SCHEMA_LIST,
     .min = 0,
     .max = 64,
     .offset = AT(seeds),
     .inner = &seed_schema,
     .help = "list nodes to contact first; some may be wrong or down"},
    {.key = NULL},
};
#undef AT
const struct schema node_settings_schema = {.name = "Settings of a node",
                                            .size =
                                                sizeof(struct node_settings),
                                            .fields = fields};

enum status_kind
node_settings_load(const char *path, struct node_settings *out,
                   struct status *st)
{
    size_t length;
    char *text = schema_load(path, &length, st);

    if (text == NULL) {
        return st->kind;
    }
    (void)schema_read(&node_settings_schema, path, text, length, out, st);
    g_free(text);
    return st->kind;
}

uint32_t
node_settings_address(const struct node_settings *settings)
{
    return settings->advertise != 0 ? settings->advertise
                                    : settings->packets.address;
}

void
node_settings_free(struct node_settings *settings)
{
    schema_free(&node_settings_schema, settings);
}
