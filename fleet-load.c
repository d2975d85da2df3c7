/*
 * Exchange of the requests outstanding at upstreams, and of the callers
 * refused, while a service is short of capacity: nodes report to the relay of
 * their data hall, relays exchange the sums of their halls and send the sum of
 * all halls to the nodes of their hall. Messages have ages and no times, since
 * the clocks of nodes differ. fleet-load-sum.c adds up and encodes the counts.
 */
#include "fleet-load-internal.h"

#include "fault.h"
#include "random.h"

/* A queue drains within 200 ms, so older counts choose no better than chance.
 */
#define INTERVAL_MS 50U
/* Reports that a relay gets in 1 ms at most, for its processor. */
#define REPORTS_MS 1U
/* Limits of what one node sends, and of what it receives. A relay exceeds
 * them, as it sends to each node of its hall. */
#define REPORT_BYTES_S 4000U
#define FLEET_BYTES_S 4000U
#define HALL_BYTES_S 4000U /* to each other relay */
/* The reports and sums of a hall take at most this part of its relay's link in
 * either direction; control traffic has a share of 30%. */
#define LINK_DIVISOR 4U
/* Lower limit despite LINK_DIVISOR: a message with 2 entries each 250 ms. */
#define MIN_BYTES_S 500U
/* Longest intervals: lists are shortened to fit, because a queue drains within
 * 200 ms and older counts carry little information. Together they remain below
 * OCCUPANCY_EXPIRY_MS. */
#define REPORT_MAX_MS 250U
#define FLEET_MAX_MS 250U
#define HALL_MAX_MS 250U
#define SHORT_MS 1000U /* nodes report after a sum with a shortage */
#define RELAY_TIMEOUT_MS                                                      \
    (3U * FLEET_MAX_MS)      /* two lost sums in a row are no failure */
#define RELAY_PAUSE_MS 3000U /* a relay that sent no sum is not used */
#define GATHER_MS 20U /* from the first report to the first sum of a relay */
#define REPORTED_KEYS 16U
#define PACE_MS 20U /* RELAY: between the messages of one sum */

static void
free_report(gpointer data)
{
    struct fleet_load_report *report = data;

    g_array_free(report->entries, TRUE);
    g_free(report);
}

void
fleet_load_open(struct fleet *fleet)
{
    struct fleet_exchange *exchange = &fleet->exchange;

    occupancy_open(&fleet->load);
    returning_open(&fleet->returning);
    exchange->nodes = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                            NULL, free_report);
    exchange->halls = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                            NULL, free_report);
    exchange->refused = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    exchange->receivers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    exchange->keys = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
fleet_load_close(struct fleet *fleet)
{
    occupancy_close(&fleet->load);
    returning_close(&fleet->returning);
    g_hash_table_destroy(fleet->exchange.nodes);
    g_hash_table_destroy(fleet->exchange.halls);
    g_array_free(fleet->exchange.refused, TRUE);
    g_array_free(fleet->exchange.receivers, TRUE);
    g_array_free(fleet->exchange.keys, TRUE);
}

static bool
takes_part(const struct fleet *fleet)
{
    return fleet->settled && !fleet->self.stopping &&
           !fault_is(FAULT_NO_LOAD_EXCHANGE);
}

/* Counts that are no longer updated must neither age the sums, whose age is
 * that of the oldest count, nor keep the exchange running. */
bool
fleet_load_has_own(const struct fleet *fleet, uint64_t now)
{
    return fleet->load.own_at != 0 &&
           now <= fleet->load.own_at + LOAD_NODE_EXPIRY_MS;
}

static bool
is_active(const struct fleet *fleet, uint64_t now)
{
    return fleet->exchange.active && fleet_load_has_own(fleet, now);
}

static bool
must_report(const struct fleet *fleet, uint64_t now)
{
    return takes_part(fleet) && fleet_load_has_own(fleet, now) &&
           (fleet->exchange.active || now < fleet->exchange.short_until);
}

/* At a random time, since the nodes of a hall learn of a shortage together and
 * their reports would fill the queue of the relay's link. */
static void
schedule_report(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;

    if (exchange->report_at == 0 && must_report(fleet, now)) {
        exchange->report_at = now + random_next(&fleet->random) % INTERVAL_MS;
    }
}

static void
schedule_sums(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;

    if (!takes_part(fleet)) {
        return;
    }
    if (exchange->hall_at == 0) {
        exchange->hall_at = now + GATHER_MS;
    }
    if (exchange->fleet_at == 0) {
        exchange->fleet_at = now + GATHER_MS;
    }
}

void
fleet_set_load(struct fleet *fleet, uint64_t now, bool active,
               const struct occupancy_entry *list, guint count)
{
    occupancy_set_own(&fleet->load, now, list, count);
    fleet->exchange.active = active;
    schedule_report(fleet, now);
}

bool
fleet_load_is_active(const struct fleet *fleet, uint64_t now)
{
    return fleet->exchange.active || now < fleet->exchange.short_until;
}

static void
send_to(struct fleet *fleet, uint32_t to, GByteArray *bytes)
{
    if (to != 0 && to != fleet->self.address) {
        fleet->exchange.messages_sent++;
        fleet->exchange.bytes_sent += bytes->len;
        fleet_send_encoded(fleet, to, bytes);
    }
}

/* Time until a message of this size may be sent again. */
static uint64_t
interval(const struct fleet *fleet, const GArray *list, guint keys,
         uint64_t bytes_s)
{
    uint64_t least = MAX(INTERVAL_MS, fleet->hall_addresses->len / REPORTS_MS);
    uint64_t bytes = LOAD_MESSAGE_BYTES +
                     (uint64_t)list->len * LOAD_ENTRY_BYTES +
                     (uint64_t)keys * LOAD_KEY_BYTES;

    return MAX(least, (bytes * 1000 + bytes_s - 1) / bytes_s);
}

/* Limit for each of `nodes` nodes that share the link of their relay. */
static uint64_t
share_of_link(uint64_t bytes_s, uint64_t link_kbit_s, guint nodes)
{
    uint64_t share = link_kbit_s * 1000 / 8 / LINK_DIVISOR / MAX(nodes, 1U);

    return link_kbit_s == 0 ? bytes_s : CLAMP(share, MIN_BYTES_S, bytes_s);
}

/* Limit for reports to a relay. */
static uint64_t
report_rate(const struct fleet *fleet, uint32_t relay)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(relay));

    return share_of_link(REPORT_BYTES_S,
                         member != NULL ? member->node.link_kbit_s : 0,
                         fleet->hall_addresses->len);
}

/* True when this node itself, or one that reports to it, detects a shortage:
 * then the relay has to send sums. */
static bool
expects_sum(const struct fleet *fleet, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    if (is_active(fleet, now)) {
        return true;
    }
    g_hash_table_iter_init(&iter, fleet->exchange.nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fleet_load_report *report = value;

        if (report->short_nodes > 0 &&
            now <= report->counted_at + LOAD_NODE_EXPIRY_MS) {
            return true;
        }
    }
    return false;
}

/* Replaces a relay that sends no sums. Upstream changes are not given to it
 * either, which costs nothing while it works. */
static void
choose_relay(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;
    struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(exchange->relay));
    bool expects = expects_sum(fleet, now);
    uint32_t relay;

    if (expects && member != NULL && exchange->relay_until != 0 &&
        now >= exchange->relay_until) {
        member->relay_after = MAX(member->relay_after, now + RELAY_PAUSE_MS);
    }
    relay = fleet_relay_of_hall(fleet, now);
    if (relay != exchange->relay || exchange->relay_until == 0) {
        exchange->relay_until = now + RELAY_TIMEOUT_MS;
    }
    if (!expects || relay == fleet->self.address || relay == 0) {
        exchange->relay_until = 0;
    }
    exchange->relay = relay;
}

/* Returns the time until the next report. */
static uint64_t
send_report(struct fleet *fleet, uint64_t now)
{
    uint32_t relay = fleet->exchange.relay;
    uint64_t rate = report_rate(fleet, relay);
    GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    struct load_sum sum;
    GArray *list;
    GByteArray *bytes;
    uint64_t after;

    g_array_set_size(keys, REPORTED_KEYS);
    g_array_set_size(keys, returning_take_new(&fleet->returning, now,
                                              (uint32_t *)(void *)keys->data,
                                              REPORTED_KEYS));
    load_sum_open(&sum);
    load_sum_add_own(&sum, fleet, now);
    list = load_sum_list(&sum);
    load_sum_shorten(fleet, list, rate, REPORT_MAX_MS, keys->len);
    bytes = load_sum_encode(fleet, now, &sum, WIRE_LOAD_NODE, list, keys);
    send_to(fleet, relay, bytes);
    occupancy_note_report(&fleet->load, now, relay,
                          (const struct occupancy_entry *)(void *)list->data,
                          list->len);
    after = interval(fleet, list, keys->len, rate);
    g_byte_array_unref(bytes);
    g_array_free(list, TRUE);
    g_array_free(keys, TRUE);
    load_sum_close(&sum);
    return after;
}

/* A relay reports to itself by sending sums. */
static void
run_report(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;

    if (!must_report(fleet, now)) {
        exchange->report_at = 0;
        exchange->relay_until = 0;
        return;
    }
    choose_relay(fleet, now);
    exchange->report_at = now + INTERVAL_MS;
    if (exchange->relay == fleet->self.address) {
        schedule_sums(fleet, now);
    }
    else if (exchange->relay != 0) {
        exchange->report_at = now + send_report(fleet, now);
    }
    if (exchange->relay_until != 0) {
        exchange->report_at = MIN(exchange->report_at, exchange->relay_until);
    }
}

static bool
is_relay(const struct fleet *fleet, uint64_t now)
{
    return fleet_relay_of_hall(fleet, now) == fleet->self.address;
}

/* Sends to the relay of each other hall, and to the node whose sum arrived
 * last when that is another one: the hall itself has replaced its relay, or
 * has two. */
static void
send_to_halls(struct fleet *fleet, uint64_t now, GByteArray *bytes)
{
    GArray *halls = fleet_relay_list_halls(fleet);

    for (guint i = 0; i < halls->len; i++) {
        uint32_t hall = g_array_index(halls, uint32_t, i);
        uint32_t relay = fleet_relay_of_other_hall(fleet, now, hall);
        const struct fleet_load_report *report =
            g_hash_table_lookup(fleet->exchange.halls, GUINT_TO_POINTER(hall));

        send_to(fleet, relay, bytes);
        if (report != NULL && report->node != relay &&
            now <= report->counted_at + LOAD_HALL_EXPIRY_MS) {
            send_to(fleet, report->node, bytes);
        }
    }
    g_array_free(halls, TRUE);
}

/* The last sum of a shortage is sent too, so that the other halls need not
 * wait until the one before it expires. */
static void
run_hall(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;
    struct load_sum hall;
    struct load_sum others;
    GByteArray *bytes;
    GArray *list;

    exchange->hall_at = 0;
    if (!takes_part(fleet) || !is_relay(fleet, now)) {
        return;
    }
    load_sum_open(&hall);
    load_sum_open(&others);
    load_sum_add_own(&hall, fleet, now);
    load_sum_add_hall(&hall, fleet, now);
    load_sum_add_other_halls(&others, fleet, now);
    if (hall.short_nodes + others.short_nodes + exchange->hall_short > 0) {
        list = load_sum_list(&hall);
        load_sum_shorten(fleet, list, HALL_BYTES_S, HALL_MAX_MS, 0);
        bytes = load_sum_encode(fleet, now, &hall, WIRE_LOAD_HALL, list, NULL);
        send_to_halls(fleet, now, bytes);
        exchange->hall_at = now + interval(fleet, list, 0, HALL_BYTES_S);
        g_byte_array_unref(bytes);
        g_array_free(list, TRUE);
    }
    exchange->hall_short = (uint32_t)MIN(hall.short_nodes, UINT32_MAX);
    load_sum_close(&hall);
    load_sum_close(&others);
}

/* Lists the nodes that reported recently. */
static GArray *
list_reporters(const struct fleet *fleet)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->exchange.nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_val(nodes, ((struct fleet_load_report *)value)->node);
    }
    return nodes;
}

/* Keys refused here and at the nodes that report; at most WIRE_REFUSED_MAX. */
static void
take_keys(struct fleet *fleet, uint64_t now, GArray *keys)
{
    GArray *reported = fleet->exchange.refused;
    uint32_t own[REPORTED_KEYS];
    guint count =
        returning_take_new(&fleet->returning, now, own, REPORTED_KEYS);

    g_array_append_vals(keys, own, count);
    count = MIN(WIRE_REFUSED_MAX - count, reported->len);
    g_array_append_vals(keys, reported->data, count);
    g_array_remove_range(reported, 0, count);
}

/* The relay itself gets the whole list, and without its own counts, which are
 * newer. */
static void
set_own_sum(struct fleet *fleet, uint64_t now)
{
    struct load_sum sum;
    GArray *list;

    load_sum_open(&sum);
    load_sum_add_hall(&sum, fleet, now);
    load_sum_add_other_halls(&sum, fleet, now);
    list = load_sum_list(&sum);
    (void)occupancy_set_sum(
        &fleet->load, now, fleet->self.address, load_sum_age_ms(&sum, now),
        (const struct occupancy_entry *)(void *)list->data, list->len);
    g_array_free(list, TRUE);
    load_sum_close(&sum);
}

/* Starts a round: the receivers and keys of one sum. */
static void
start_round(struct fleet *fleet, uint64_t now, bool relay)
{
    struct fleet_exchange *exchange = &fleet->exchange;

    g_array_free(exchange->receivers, TRUE);
    exchange->receivers =
        relay ? fleet_relay_list_hall(fleet, now) : list_reporters(fleet);
    exchange->sent = 0;
    exchange->round_at = now;
    g_array_set_size(exchange->keys, 0);
    take_keys(fleet, now, exchange->keys);
    if (relay) {
        set_own_sum(fleet, now);
    }
}

/* Sends to as many receivers as half of the link takes in PACE_MS: a message
 * to all at once, or three quarters of the link, overflowed its queue. Returns
 * the time until the next run. */
static uint64_t
send_sum(struct fleet *fleet, uint64_t now, const struct load_sum *sum)
{
    struct fleet_exchange *exchange = &fleet->exchange;
    const GArray *receivers = exchange->receivers;
    uint64_t rate =
        share_of_link(FLEET_BYTES_S, fleet->self.link_kbit_s, receivers->len);
    uint64_t budget = (uint64_t)fleet->bulk_bytes_per_ms * PACE_MS;
    GArray *list = load_sum_list(sum);
    uint64_t bytes = 0;
    GByteArray *message;
    uint64_t next_at;

    load_sum_shorten(fleet, list, rate, FLEET_MAX_MS, exchange->keys->len);
    message = load_sum_encode(fleet, now, sum, WIRE_LOAD_FLEET, list,
                              exchange->keys);
    while (exchange->sent < receivers->len &&
           (bytes < budget || budget == 0)) {
        send_to(fleet, g_array_index(receivers, uint32_t, exchange->sent++),
                message);
        bytes += LOAD_MESSAGE_BYTES + message->len;
    }
    next_at =
        exchange->round_at + interval(fleet, list, exchange->keys->len, rate);
    g_byte_array_unref(message);
    g_array_free(list, TRUE);
    return exchange->sent < receivers->len ? PACE_MS
                                           : MAX(next_at, now + 1) - now;
}

/* A node that is not the relay by its own choice, but gets reports, answers
 * only their senders. */
static void
run_fleet(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;
    struct load_sum sum;

    exchange->fleet_at = 0;
    if (!takes_part(fleet)) {
        return;
    }
    load_sum_open(&sum);
    load_sum_add_own(&sum, fleet, now);
    load_sum_add_hall(&sum, fleet, now);
    load_sum_add_other_halls(&sum, fleet, now);
    if (sum.short_nodes > 0) {
        bool relay = is_relay(fleet, now);

        if (exchange->sent >= exchange->receivers->len) {
            start_round(fleet, now, relay);
        }
        if (relay || exchange->receivers->len > 0) {
            exchange->fleet_at = now + send_sum(fleet, now, &sum);
        }
    }
    else {
        g_array_set_size(exchange->receivers, 0);
        g_array_set_size(exchange->refused, 0);
    }
    load_sum_close(&sum);
}

uint64_t
fleet_load_due(const struct fleet *fleet)
{
    const struct fleet_exchange *exchange = &fleet->exchange;
    const uint64_t all[] = {exchange->report_at, exchange->hall_at,
                            exchange->fleet_at};
    uint64_t at = UINT64_MAX;

    for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
        if (all[i] != 0) {
            at = MIN(at, all[i]);
        }
    }
    return at;
}

void
fleet_load_run(struct fleet *fleet, uint64_t now)
{
    struct fleet_exchange *exchange = &fleet->exchange;

    if (exchange->report_at != 0 && now >= exchange->report_at) {
        run_report(fleet, now);
    }
    if (exchange->hall_at != 0 && now >= exchange->hall_at) {
        run_hall(fleet, now);
    }
    if (exchange->fleet_at != 0 && now >= exchange->fleet_at) {
        run_fleet(fleet, now);
    }
}

static uint64_t
counted_at_of(uint64_t now, const wire_load *load)
{
    return now > load->age_ms ? now - load->age_ms : 0;
}

static struct fleet_load_report *
report_of(uint64_t now, const wire_load *load)
{
    struct fleet_load_report *report = g_new0(struct fleet_load_report, 1);

    report->node = load->node;
    report->received_at = now;
    report->counted_at = counted_at_of(now, load);
    report->nodes = load->nodes;
    report->short_nodes = load->short_nodes;
    report->entries = load_sum_unpack(load);
    return report;
}

static void
handle_node(struct fleet *fleet, uint64_t now, const wire_load *load)
{
    GArray *refused = fleet->exchange.refused;
    guint space = WIRE_REFUSED_MAX * 2 - refused->len;

    (void)g_hash_table_replace(fleet->exchange.nodes,
                               GUINT_TO_POINTER(load->node),
                               report_of(now, load));
    g_array_append_vals(refused, load->refused.refused_val,
                        MIN(load->refused.refused_len, space));
}

/* While a hall has two relays, the sum with newer counts is used. */
static void
handle_hall(struct fleet *fleet, uint64_t now, const wire_load *load)
{
    const struct fleet_load_report *old = g_hash_table_lookup(
        fleet->exchange.halls, GUINT_TO_POINTER(load->hall));
    uint64_t counted_at = counted_at_of(now, load);

    if (load->hall == fleet->self.hall ||
        (old != NULL && old->node != load->node &&
         now <= old->received_at + LOAD_HALL_EXPIRY_MS &&
         old->counted_at > counted_at)) {
        return;
    }
    (void)g_hash_table_replace(fleet->exchange.halls,
                               GUINT_TO_POINTER(load->hall),
                               report_of(now, load));
}

/* A node that is a relay computes the sum itself. */
static void
handle_sum(struct fleet *fleet, uint64_t now, const wire_load *load)
{
    struct fleet_exchange *exchange = &fleet->exchange;
    GArray *list = load_sum_unpack(load);

    if (load->node == exchange->relay && exchange->relay_until != 0) {
        exchange->relay_until = now + RELAY_TIMEOUT_MS;
    }
    if (!is_relay(fleet, now)) {
        (void)occupancy_set_sum(
            &fleet->load, now, load->node, load->age_ms,
            (const struct occupancy_entry *)(void *)list->data, list->len);
    }
    g_array_free(list, TRUE);
}

/* A node of another release may send other scopes. */
static bool
is_known_scope(wire_load_scope scope)
{
    switch (scope) {
    case WIRE_LOAD_NODE:
    case WIRE_LOAD_HALL:
    case WIRE_LOAD_FLEET:
        return true;
    }
    return false;
}

/* Accepts messages of members only, which bounds the number of reports kept.
 */
void
fleet_handle_load(struct fleet *fleet, uint64_t now, const wire_load *load)
{
    const struct fleet_member *member =
        g_hash_table_lookup(fleet->members, GUINT_TO_POINTER(load->node));

    if (member == NULL || fault_is(FAULT_NO_LOAD_EXCHANGE) ||
        !is_known_scope(load->scope) ||
        (load->scope == WIRE_LOAD_HALL && load->hall != member->node.hall)) {
        return;
    }
    for (u_int i = 0; i < load->refused.refused_len; i++) {
        returning_note_reported(&fleet->returning, now,
                                load->refused.refused_val[i]);
    }
    switch (load->scope) {
    case WIRE_LOAD_NODE:
        handle_node(fleet, now, load);
        break;
    case WIRE_LOAD_HALL:
        handle_hall(fleet, now, load);
        break;
    case WIRE_LOAD_FLEET:
        handle_sum(fleet, now, load);
        break;
    }
    if (load->short_nodes > 0) {
        fleet->exchange.short_until = now + SHORT_MS;
        schedule_report(fleet, now);
        if (load->scope != WIRE_LOAD_FLEET) {
            schedule_sums(fleet, now);
        }
    }
}
