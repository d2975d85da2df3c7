/*
 * The order of routing tables and of emptied halls among the voters: applying
 * what is committed, and operators who wait.
 */
#include "replica-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* Who gave up leading stands for election again only after so long, so that
 * another voter takes over. */
#define RESIGNED_MS (4 * CONS_ELECTION_MS)

/* Adds an action. */
static struct order_action *
act(struct order *order, enum order_action_kind kind)
{
    struct order_action action = {.kind = kind};

    g_array_append_val(order->actions, action);
    return &g_array_index(order->actions, struct order_action,
                          order->actions->len - 1);
}

/* Moves what consensus asks for to the own actions. */
static void
take_cons_actions(struct order *order)
{
    size_t count;
    const struct cons_action *all = cons_actions(&order->cons, &count);

    for (size_t i = 0; i < count; i++) {
        act(order, ORDER_CONS)->cons = all[i];
    }
    /* Appends borrow arrays, which live until the actions are cleared. */
    g_array_set_size(order->cons.actions, 0);
}

/* Answers an operator. */
static void
reply(struct order *order, uint64_t token, enum status_kind kind,
      const char *message, bool with_table)
{
    struct order_action *action = act(order, ORDER_REPLY);

    action->token = token;
    action->with_table = with_table;
    (void)status_set(&action->status, kind, "%s", message);
}

/* Holds a committed table when its version is higher. */
static void
hold(struct order *order, const wire_routes *routes, GBytes *command)
{
    if (routes->bundle_version <= order->version) {
        return;
    }
    g_clear_pointer(&order->routes, g_bytes_unref);
    order->routes = g_bytes_ref(command);
    order->version = routes->bundle_version;
    (void)act(order, ORDER_APPLY);
}

/* Holds a list of emptied halls, of a snapshot. */
static void
hold_halls(struct order *order, const wire_halls *halls)
{
    if (hall_update(&order->halls, halls)) {
        (void)act(order, ORDER_APPLY);
    }
}

/* Holds the table of a snapshot, as the entry that brought it. */
static void
hold_table_of(struct order *order, const wire_order_state *state)
{
    wire_command command = {.kind = WIRE_CMD_ROUTES,
                            .wire_command_u.routes = state->routes};
    GBytes *bytes = g_byte_array_free_to_bytes(codec_encode_command(&command));

    hold(order, &state->routes, bytes);
    g_bytes_unref(bytes);
}

/* Applies the encoded command of an entry, or of a snapshot up to it. */
static void
apply_command(struct order *order, uint64_t index, GBytes *bytes)
{
    gsize length = 0;
    const void *data = g_bytes_get_data(bytes, &length);
    wire_command command;

    if (!codec_decode_command(data, length, &command)) {
        return;
    }
    switch (command.kind) {
    case WIRE_CMD_ROUTES:
        hold(order, &command.wire_command_u.routes, bytes);
        break;
    case WIRE_CMD_HALL:
        if (hall_apply(&order->halls, index, &command.wire_command_u.hall)) {
            (void)act(order, ORDER_APPLY);
        }
        break;
    case WIRE_CMD_STATE:
        hold_table_of(order, &command.wire_command_u.state);
        hold_halls(order, &command.wire_command_u.state.halls);
        break;
    case WIRE_CMD_NOOP:
    case WIRE_CMD_BUNDLE:
    case WIRE_CMD_SIGN_OFF:
    case WIRE_CMD_STEP:
    case WIRE_CMD_EPOCH:
    case WIRE_CMD_CONFIG:
        break;
    }
    codec_free_command(&command);
}

/* Takes the state of a snapshot. */
static void
load_snapshot(struct order *order)
{
    const struct cons_snapshot *snapshot = &order->cons.snapshot;

    if (snapshot->index > order->applied && snapshot->state != NULL) {
        order->applied = snapshot->index;
        apply_command(order, snapshot->index, snapshot->state);
    }
}

/* Applies what was committed since. */
static void
apply_committed(struct order *order)
{
    load_snapshot(order);
    while (order->applied < order->cons.commit) {
        const struct cons_entry *entry =
            cons_entry_at(&order->cons, order->applied + 1);

        if (entry == NULL) {
            break;
        }
        order->applied++;
        counter_add(order->counters, COUNTER_COMMITS, 1);
        apply_command(order, order->applied, entry->command);
    }
}

/* The state with its halls. */
static GBytes *
pack_halls(const struct order *order)
{
    wire_command out = {.kind = WIRE_CMD_STATE};
    wire_command table = {.kind = WIRE_CMD_NOOP};
    wire_hall room[HALL_MAX];
    gsize length = 0;
    const void *data = order->routes != NULL
                           ? g_bytes_get_data(order->routes, &length)
                           : NULL;
    GByteArray *bytes;

    if (data != NULL && codec_decode_command(data, length, &table)) {
        out.wire_command_u.state.routes = table.wire_command_u.routes;
    }
    hall_pack(&order->halls, room, &out.wire_command_u.state.halls);
    bytes = codec_encode_command(&out);
    codec_free_command(&table);
    return g_byte_array_free_to_bytes(bytes);
}

/* The state as a snapshot holds it: where no hall was ever emptied, the table
 * as releases without such orders read it; a no-op when there is none yet. */
static GBytes *
pack_state(const struct order *order)
{
    wire_command command = {.kind = WIRE_CMD_NOOP};

    if (order->halls.revision != 0) {
        return pack_halls(order);
    }
    return order->routes != NULL
               ? g_bytes_ref(order->routes)
               : g_byte_array_free_to_bytes(codec_encode_command(&command));
}

/* Replaces a long log by a snapshot, unless something waits to be stored,
 * which the snapshot would take out of the log: an entry is committed before
 * it is stored where one voter is a quorum, or where a follower catches up. */
static void
compact(struct order *order)
{
    GBytes *state;

    if (order->actions->len > 0 ||
        order->applied < order->cons.snapshot.index + ORDER_COMPACT) {
        return;
    }
    state = pack_state(order);
    cons_compact(&order->cons, order->applied, state);
    g_bytes_unref(state);
}

/* Says whether a wait is over, and how. */
static bool
is_over(struct order *order, uint64_t now, const struct order_wait *wait)
{
    const struct cons *cons = &order->cons;

    if (cons->role != CONS_LEADER || cons->term != wait->term) {
        reply(order, wait->token, STATUS_UNCONFIRMED,
              "the leader changed; send it again, to any node", false);
        return true;
    }
    if (wait->read ? cons->confirmed >= wait->round && cons_is_ready(cons)
                   : order->applied >= wait->index) {
        reply(order, wait->token, STATUS_OK, "", wait->read);
        return true;
    }
    if (now >= wait->deadline) {
        reply(order, wait->token, STATUS_UNCONFIRMED,
              "no quorum of disks confirmed it in time; send it again", false);
        return true;
    }
    return false;
}

/* Answers operators whose wait is over. */
static void
end_waits(struct order *order, uint64_t now)
{
    for (guint i = order->waits->len; i > 0; i--) {
        struct order_wait wait =
            g_array_index(order->waits, struct order_wait, i - 1);

        if (is_over(order, now, &wait)) {
            g_array_remove_index_fast(order->waits, i - 1);
        }
    }
}

/* What follows each event. */
static void
settle(struct order *order, uint64_t now)
{
    take_cons_actions(order);
    apply_committed(order);
    end_waits(order, now);
}

/* Starts a replica. */
void
order_open(struct order *order, uint64_t now, uint32_t self, uint64_t identity,
           bool founder, uint64_t seed, struct cons_stored *stored,
           struct counters *counters)
{
    wire_voter alone = {.replica = self, .identity = identity};
    wire_config founders = {
        .voters = {.voters_len = founder ? 1 : 0, .voters_val = &alone}};

    memset(order, 0, sizeof(*order));
    order->counters = counters;
    order->waits = g_array_new(FALSE, FALSE, sizeof(struct order_wait));
    order->actions = g_array_new(FALSE, TRUE, sizeof(struct order_action));
    cons_open(&order->cons, now, self, identity, &self, 1, &founders, seed,
              stored);
    order->cons.election_at =
        now + ORDER_FIRST_MS + seed % ORDER_FIRST_SPAN_MS;
    if (founder && cons_last_index(&order->cons) == 0) {
        order->founded_at = now;
        order->cons.election_at = now;
    }
    settle(order, now);
}

/* Frees a replica. */
void
order_close(struct order *order)
{
    order_clear(order);
    cons_close(&order->cons);
    g_clear_pointer(&order->routes, g_bytes_unref);
    g_array_free(order->waits, TRUE);
    g_array_free(order->actions, TRUE);
}

/* A new leader writes its list of voters once, so that each log that begins
 * empty holds the list that a later change starts from. */
static void
begin_to_lead(struct order *order, uint64_t now)
{
    const struct cons *cons = &order->cons;

    if (order->lead_term == cons->term) {
        return;
    }
    order->lead_term = cons->term;
    order->settled_at =
        order->founded_at != 0 ? order->founded_at + ORDER_SETTLE_MS : now;
    if (order->founded_at != 0 && cons->change_index == 0) {
        wire_command command = {.kind = WIRE_CMD_CONFIG};

        command.wire_command_u.config = *cons_config(cons);
        (void)cons_propose(&order->cons, now, &command);
    }
}

/* Lets time pass. */
void
order_tick(struct order *order, uint64_t now)
{
    compact(order);
    cons_tick(&order->cons, now);
    if (order->cons.role == CONS_LEADER) {
        begin_to_lead(order, now);
        order_meet_disks(order, now);
        order_mend_voters(order, now);
    }
    settle(order, now);
}

/* Takes a message. */
void
order_receive(struct order *order, uint64_t now, const wire_msg *msg)
{
    cons_receive(&order->cons, now, msg);
    if (order->cons.role == CONS_LEADER) {
        begin_to_lead(order, now);
    }
    settle(order, now);
}

/* Says whether this replica may take an operator's request, or answers. */
static bool
may_take(struct order *order, uint64_t now, uint64_t token)
{
    if (order->cons.role != CONS_LEADER || order->cons.failed) {
        reply(order, token, STATUS_NO_ANSWER,
              "this node does not lead; send it to another", false);
        return false;
    }
    if (now < order->settled_at) {
        reply(order, token, STATUS_NO_ANSWER,
              "disks are still joining; send it again", false);
        return false;
    }
    return true;
}

/* Proposes what an operator sent; it is answered when committed. */
static void
propose(struct order *order, uint64_t now, uint64_t token,
        wire_command *command)
{
    struct order_wait wait = {.token = token,
                              .term = order->cons.term,
                              .deadline = now + ORDER_ANSWER_MS};

    wait.index = cons_propose(&order->cons, now, command);
    if (wait.index != 0) {
        g_array_append_val(order->waits, wait);
    }
    else {
        reply(order, token, STATUS_NO_ANSWER,
              "this node leads no more; send it to another", false);
    }
    settle(order, now);
}

/* An operator sends a table. What is not higher than the version held is
 * acknowledged and changes nothing; so is a resend. */
void
order_submit(struct order *order, uint64_t now, uint64_t token,
             const wire_routes *routes)
{
    wire_command command = {.kind = WIRE_CMD_ROUTES,
                            .wire_command_u.routes = *routes};

    if (!may_take(order, now, token)) {
        return;
    }
    if (routes->bundle_version <= order->version) {
        reply(order, token, STATUS_OK, "", false);
        return;
    }
    propose(order, now, token, &command);
}

/* Says whether there is room for one more emptied hall, should all operators
 * who wait empty another one. */
static bool
has_room(const struct order *order, const struct hall_order *hall)
{
    return !hall->drained || hall_is_drained(&order->halls, hall->hall) ||
           order->halls.count + order->waits->len < HALL_MAX;
}

/* An operator empties a hall, or takes it back. */
void
order_submit_hall(struct order *order, uint64_t now, uint64_t token,
                  const struct hall_order *hall)
{
    wire_command command = {.kind = WIRE_CMD_HALL};
    wire_hall_order *out = &command.wire_command_u.hall;

    *out = (wire_hall_order){.hall = (char *)hall->hall,
                             .emptied = hall->drained,
                             .wall = hall->wall};
    if (!may_take(order, now, token)) {
        return;
    }
    if (!has_room(order, hall)) {
        reply(order, token, STATUS_REFUSED,
              "too many data halls are emptied; take one back first", false);
        return;
    }
    if (fault_is(FAULT_HALLS_UNLOGGED)) {
        (void)hall_apply(&order->halls, order->applied + 1, out);
        (void)act(order, ORDER_APPLY);
        reply(order, token, STATUS_OK, "", false);
        return;
    }
    propose(order, now, token, &command);
}

/* An operator asks. */
void
order_read(struct order *order, uint64_t now, uint64_t token)
{
    struct order_wait wait = {.token = token,
                              .read = true,
                              .term = order->cons.term,
                              .deadline = now + ORDER_ANSWER_MS};

    if (!may_take(order, now, token)) {
        return;
    }
    wait.round = cons_begin_round(&order->cons, now);
    g_array_append_val(order->waits, wait);
    settle(order, now);
}

/* Gives up leading. */
void
order_resign(struct order *order, uint64_t now)
{
    if (order->cons.role == CONS_LEADER) {
        order->cons.role = CONS_FOLLOWER;
        order->cons.leader = 0;
        order->cons.election_at = now + RESIGNED_MS;
        settle(order, now);
    }
}

/* Gives the actions. */
const struct order_action *
order_actions(struct order *order, size_t *count)
{
    *count = order->actions->len;
    return (const struct order_action *)(void *)order->actions->data;
}

/* Lists the operators who are still owed an answer. */
GArray *
order_unanswered(const struct order *order, size_t from)
{
    GArray *tokens = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (size_t i = from; i < order->actions->len; i++) {
        const struct order_action *action =
            &g_array_index(order->actions, struct order_action, i);

        if (action->kind == ORDER_REPLY) {
            g_array_append_val(tokens, action->token);
        }
    }
    for (guint i = 0; i < order->waits->len; i++) {
        g_array_append_val(
            tokens, g_array_index(order->waits, struct order_wait, i).token);
    }
    return tokens;
}

/* Forgets the actions, and frees what appends borrowed. */
void
order_clear(struct order *order)
{
    for (guint i = 0; i < order->actions->len; i++) {
        struct order_action *action =
            &g_array_index(order->actions, struct order_action, i);

        if (action->kind == ORDER_CONS && action->cons.kind == CONS_SEND &&
            action->cons.msg.kind == WIRE_APPEND) {
            g_free(action->cons.msg.wire_msg_u.append.entries.entries_val);
        }
    }
    g_array_set_size(order->actions, 0);
}

/* Earliest time at which something is due. */
uint64_t
order_deadline(const struct order *order)
{
    const struct cons *cons = &order->cons;
    uint64_t at =
        cons->role == CONS_LEADER ? cons->heartbeat_at : cons->election_at;

    for (guint i = 0; i < order->waits->len; i++) {
        at = MIN(at,
                 g_array_index(order->waits, struct order_wait, i).deadline);
    }
    return at;
}
