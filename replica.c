/* Applies committed routing tables and hall orders, and answers operators. */
#include "replica-internal.h"

#include <string.h>

#include "codec.h"
#include "fault.h"

/* After stepping down, a replica starts no election before other voters do. */
#define STEP_DOWN_MS (4 * CONS_ELECTION_TIMEOUT_MS)

struct replica_action *
replica_add_action(struct replica *replica, enum replica_action_kind kind)
{
    struct replica_action action = {.kind = kind};

    g_array_append_val(replica->actions, action);
    return &g_array_index(replica->actions, struct replica_action,
                          replica->actions->len - 1);
}

static void
add_cons_action(void *data, const struct cons_action *action)
{
    replica_add_action(data, REPLICA_CONS)->cons = *action;
}

static GBytes *
ref_routes(const struct replica *replica)
{
    return replica->routes != NULL ? g_bytes_ref(replica->routes) : NULL;
}

static void
reply(struct replica *replica, uint64_t token, enum status_kind kind,
      const char *message, bool with_table)
{
    struct replica_reply *out =
        &replica_add_action(replica, REPLICA_REPLY)->reply;

    out->token = token;
    out->with_table = with_table;
    out->routes = with_table ? ref_routes(replica) : NULL;
    (void)status_set(&out->status, kind, "%s", message);
}

static void
add_apply(struct replica *replica)
{
    replica_add_action(replica, REPLICA_APPLY)->state = (struct replica_state){
        .routes = ref_routes(replica),
        .halls = g_memdup2(&replica->halls, sizeof(replica->halls))};
}

/* Applies a committed routing table unless its version is stale. */
static void
apply_table(struct replica *replica, const wire_routes *routes,
            GBytes *command)
{
    if (routes->bundle_version <= replica->version) {
        return;
    }
    g_clear_pointer(&replica->routes, g_bytes_unref);
    replica->routes = g_bytes_ref(command);
    replica->version = routes->bundle_version;
    add_apply(replica);
}

static void
apply_snapshot_halls(struct replica *replica, const wire_halls *halls)
{
    if (hall_update(&replica->halls, halls)) {
        add_apply(replica);
    }
}

/* Re-encodes the routing table of a snapshot as a log entry's command. */
static void
apply_snapshot_table(struct replica *replica, const wire_order_state *state)
{
    wire_command command = {.kind = WIRE_CMD_ROUTES,
                            .wire_command_u.routes = state->routes};
    GBytes *bytes = g_byte_array_free_to_bytes(codec_encode_command(&command));

    apply_table(replica, &state->routes, bytes);
    g_bytes_unref(bytes);
}

/* Applies the command of the entry at `index`, or of the snapshot that ends
 * there. */
static void
apply_command(struct replica *replica, uint64_t index, GBytes *bytes)
{
    gsize length = 0;
    const void *data = g_bytes_get_data(bytes, &length);
    wire_command command;

    if (!codec_decode_command(data, length, &command)) {
        return;
    }
    switch (command.kind) {
    case WIRE_CMD_ROUTES:
        apply_table(replica, &command.wire_command_u.routes, bytes);
        break;
    case WIRE_CMD_HALL:
        if (hall_apply(&replica->halls, index, &command.wire_command_u.hall)) {
            add_apply(replica);
        }
        break;
    case WIRE_CMD_STATE:
        apply_snapshot_table(replica, &command.wire_command_u.state);
        apply_snapshot_halls(replica, &command.wire_command_u.state.halls);
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

/* Installs the snapshot if it is newer than the applied state. */
static void
install_snapshot(struct replica *replica)
{
    const struct cons_snapshot *snapshot = &replica->cons.snapshot;

    if (snapshot->index > replica->applied && snapshot->state != NULL) {
        replica->applied = snapshot->index;
        apply_command(replica, snapshot->index, snapshot->state);
    }
}

static void
apply_committed(struct replica *replica)
{
    install_snapshot(replica);
    while (replica->applied < replica->cons.commit_index) {
        const struct cons_entry *entry =
            cons_entry_at(&replica->cons, replica->applied + 1);

        if (entry == NULL) {
            break;
        }
        replica->applied++;
        counter_add(replica->counters, COUNTER_COMMITS, 1);
        apply_command(replica, replica->applied, entry->command);
    }
}

/* Encodes the routing table and the hall orders. */
static GBytes *
encode_full_state(const struct replica *replica)
{
    wire_command out = {.kind = WIRE_CMD_STATE};
    wire_command table = {.kind = WIRE_CMD_NOOP};
    wire_hall buffer[HALL_MAX];
    gsize length = 0;
    const void *data = replica->routes != NULL
                           ? g_bytes_get_data(replica->routes, &length)
                           : NULL;
    GByteArray *bytes;

    if (data != NULL && codec_decode_command(data, length, &table)) {
        out.wire_command_u.state.routes = table.wire_command_u.routes;
    }
    hall_pack(&replica->halls, buffer, &out.wire_command_u.state.halls);
    bytes = codec_encode_command(&out);
    codec_free_command(&table);
    return g_byte_array_free_to_bytes(bytes);
}

/* State of a snapshot. Before the first hall order it is the routing table
 * alone, or a no-op, which releases without hall orders read too. */
static GBytes *
encode_state(const struct replica *replica)
{
    wire_command command = {.kind = WIRE_CMD_NOOP};

    if (replica->halls.revision != 0) {
        return encode_full_state(replica);
    }
    return replica->routes != NULL
               ? g_bytes_ref(replica->routes)
               : g_byte_array_free_to_bytes(codec_encode_command(&command));
}

/* Compacts a long log. */
static void
compact(struct replica *replica)
{
    GBytes *state;

    if (replica->applied <
        replica->cons.snapshot.index + REPLICA_COMPACT_ENTRIES) {
        return;
    }
    state = encode_state(replica);
    cons_compact(&replica->cons, replica->applied, state);
    g_bytes_unref(state);
}

/* Answers a pending request that is decided or has timed out; true when it
 * answered. */
static bool
answer_if_decided(struct replica *replica, uint64_t now,
                  const struct replica_pending *request)
{
    const struct cons *cons = &replica->cons;

    if (cons->role != CONS_LEADER || cons->term != request->term) {
        reply(replica, request->token, STATUS_UNCONFIRMED,
              "the leader changed before a quorum confirmed the request; "
              "retry at any node",
              false);
        return true;
    }
    if (request->read
            ? cons->confirmed_round >= request->round && cons_is_ready(cons)
            : replica->applied >= request->index) {
        reply(replica, request->token, STATUS_OK, "", request->read);
        return true;
    }
    if (now >= request->deadline) {
        reply(replica, request->token, STATUS_UNCONFIRMED,
              "no quorum of disks confirmed the request in time; retry",
              false);
        return true;
    }
    return false;
}

static void
answer_pending(struct replica *replica, uint64_t now)
{
    for (guint i = replica->pending->len; i > 0; i--) {
        struct replica_pending request =
            g_array_index(replica->pending, struct replica_pending, i - 1);

        if (answer_if_decided(replica, now, &request)) {
            g_array_remove_index_fast(replica->pending, i - 1);
        }
    }
}

/* Runs after each event. */
static void
finish_event(struct replica *replica, uint64_t now)
{
    cons_move_actions(&replica->cons, add_cons_action, replica);
    apply_committed(replica);
    answer_pending(replica, now);
}

void
replica_open(struct replica *replica, uint64_t now, uint32_t self,
             uint64_t identity, bool founder, uint64_t seed,
             struct cons_stored *stored, struct counters *counters)
{
    wire_voter self_voter = {.replica = self, .identity = identity};
    wire_config bootstrap = {
        .voters = {.voters_len = founder ? 1 : 0, .voters_val = &self_voter}};

    memset(replica, 0, sizeof(*replica));
    replica->counters = counters;
    replica->pending =
        g_array_new(FALSE, FALSE, sizeof(struct replica_pending));
    replica->actions = g_array_new(FALSE, TRUE, sizeof(struct replica_action));
    cons_open(&replica->cons, now, self, identity, &self, 1, &bootstrap, seed,
              stored);
    replica->cons.election_at = now + REPLICA_FIRST_ELECTION_MS +
                                seed % REPLICA_FIRST_ELECTION_JITTER_MS;
    if (founder && cons_last_index(&replica->cons) == 0 &&
        replica->cons.missing.index == 0) {
        replica->bootstrapped_at = now;
        replica->cons.election_at = now;
    }
    finish_event(replica, now);
}

void
replica_close(struct replica *replica)
{
    replica_clear(replica);
    cons_close(&replica->cons);
    g_clear_pointer(&replica->routes, g_bytes_unref);
    g_array_free(replica->pending, TRUE);
    g_array_free(replica->actions, TRUE);
}

/* Runs once in each term led here. After a bootstrap, logs the set of voters,
 * so that later membership changes start from a logged one. */
static void
start_leading(struct replica *replica, uint64_t now)
{
    const struct cons *cons = &replica->cons;

    if (replica->led_term == cons->term) {
        return;
    }
    replica->led_term = cons->term;
    replica->ready_at = replica->bootstrapped_at != 0
                            ? replica->bootstrapped_at + REPLICA_JOIN_MS
                            : now;
    if (replica->bootstrapped_at != 0 && cons->config_index == 0) {
        wire_command command = {.kind = WIRE_CMD_CONFIG};

        command.wire_command_u.config = *cons_config(cons);
        (void)cons_propose(&replica->cons, now, &command);
    }
}

/* A stopping leader leads until a disk has replaced its own, so that the other
 * voters need not find out that it is gone. */
static void
step_down_if_stopping(struct replica *replica, uint64_t now)
{
    struct cons *cons = &replica->cons;

    if (!replica->stopping ||
        !cons_is_voter(cons, cons->self, cons->identity) ||
        (now < replica->lead_until && replica_has_successor(replica, now) &&
         !fault_is(FAULT_IGNORE_STOPPING))) {
        return;
    }
    cons->role = CONS_FOLLOWER;
    cons->leader = 0;
    cons->election_at = now + STEP_DOWN_MS;
}

static void
run_leader(struct replica *replica, uint64_t now)
{
    start_leading(replica, now);
    replica_update_peers(replica, now);
    replica_update_voters(replica, now);
    step_down_if_stopping(replica, now);
}

void
replica_tick(struct replica *replica, uint64_t now)
{
    compact(replica);
    cons_tick(&replica->cons, now);
    if (replica->cons.role == CONS_LEADER) {
        run_leader(replica, now);
    }
    finish_event(replica, now);
}

void
replica_receive(struct replica *replica, uint64_t now, const wire_msg *msg)
{
    cons_receive(&replica->cons, now, msg);
    if (replica->cons.role == CONS_LEADER) {
        start_leading(replica, now);
    }
    finish_event(replica, now);
}

/* True when this replica accepts operators' requests; else it answers. */
static bool
accepts_requests(struct replica *replica, uint64_t now, uint64_t token)
{
    if (replica->cons.role != CONS_LEADER || replica->cons.failed) {
        reply(replica, token, STATUS_NO_ANSWER,
              "this node is not the leader; send the request to another node",
              false);
        return false;
    }
    if (now < replica->ready_at) {
        reply(replica, token, STATUS_NO_ANSWER,
              "the deployment is starting and disks are still joining; retry",
              false);
        return false;
    }
    return true;
}

/* Proposes a command; its request is answered once the entry is applied. */
static void
propose(struct replica *replica, uint64_t now, uint64_t token,
        wire_command *command)
{
    struct replica_pending request = {.token = token,
                                      .term = replica->cons.term,
                                      .deadline =
                                          now + REPLICA_REQUEST_TIMEOUT_MS};

    request.index = cons_propose(&replica->cons, now, command);
    if (request.index != 0) {
        g_array_append_val(replica->pending, request);
    }
    else {
        reply(
            replica, token, STATUS_NO_ANSWER,
            "this node lost the leadership; send the request to another node",
            false);
    }
    finish_event(replica, now);
}

void
replica_submit(struct replica *replica, uint64_t now, uint64_t token,
               const wire_routes *routes)
{
    wire_command command = {.kind = WIRE_CMD_ROUTES,
                            .wire_command_u.routes = *routes};

    if (!accepts_requests(replica, now, token)) {
        return;
    }
    if (routes->bundle_version <= replica->version) {
        reply(replica, token, STATUS_OK, "", false);
        return;
    }
    propose(replica, now, token, &command);
}

/* Counts every pending request as one more drained hall. */
static bool
has_hall_capacity(const struct replica *replica, const struct hall_order *hall)
{
    return !hall->drained || hall_is_drained(&replica->halls, hall->hall) ||
           replica->halls.count + replica->pending->len < HALL_MAX;
}

void
replica_submit_hall(struct replica *replica, uint64_t now, uint64_t token,
                    const struct hall_order *hall)
{
    wire_command command = {.kind = WIRE_CMD_HALL};
    wire_hall_order *out = &command.wire_command_u.hall;

    *out = (wire_hall_order){.hall = (char *)hall->hall,
                             .emptied = hall->drained,
                             .wall = hall->wall};
    if (!accepts_requests(replica, now, token)) {
        return;
    }
    if (!has_hall_capacity(replica, hall)) {
        reply(replica, token, STATUS_REFUSED,
              "the limit of drained data halls is reached; undrain one first",
              false);
        return;
    }
    if (fault_is(FAULT_HALLS_UNLOGGED)) {
        (void)hall_apply(&replica->halls, replica->applied + 1, out);
        add_apply(replica);
        reply(replica, token, STATUS_OK, "", false);
        return;
    }
    propose(replica, now, token, &command);
}

void
replica_read(struct replica *replica, uint64_t now, uint64_t token)
{
    struct replica_pending request = {.token = token,
                                      .read = true,
                                      .term = replica->cons.term,
                                      .deadline =
                                          now + REPLICA_REQUEST_TIMEOUT_MS};

    if (!accepts_requests(replica, now, token)) {
        return;
    }
    request.round = cons_start_round(&replica->cons, now);
    g_array_append_val(replica->pending, request);
    finish_event(replica, now);
}

void
replica_stop(struct replica *replica, uint64_t now)
{
    replica->stopping = true;
    replica->lead_until = now + REPLICA_STOP_LEADING_MS;
    if (replica->cons.role == CONS_LEADER) {
        run_leader(replica, now);
        finish_event(replica, now);
    }
}

const struct replica_action *
replica_actions(struct replica *replica, size_t *count)
{
    *count = replica->actions->len;
    return (const struct replica_action *)(void *)replica->actions->data;
}

GArray *
replica_unanswered_tokens(const struct replica *replica, size_t from)
{
    GArray *tokens = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (size_t i = from; i < replica->actions->len; i++) {
        const struct replica_action *action =
            &g_array_index(replica->actions, struct replica_action, i);

        if (action->kind == REPLICA_REPLY) {
            g_array_append_val(tokens, action->reply.token);
        }
    }
    for (guint i = 0; i < replica->pending->len; i++) {
        g_array_append_val(
            tokens,
            g_array_index(replica->pending, struct replica_pending, i).token);
    }
    return tokens;
}

void
replica_clear(struct replica *replica)
{
    for (guint i = 0; i < replica->actions->len; i++) {
        struct replica_action *action =
            &g_array_index(replica->actions, struct replica_action, i);

        switch (action->kind) {
        case REPLICA_CONS:
            cons_free_action(&action->cons);
            break;
        case REPLICA_REPLY:
            g_clear_pointer(&action->reply.routes, g_bytes_unref);
            break;
        case REPLICA_APPLY:
            g_clear_pointer(&action->state.routes, g_bytes_unref);
            g_free(action->state.halls);
            break;
        case REPLICA_REPLACE:
            break;
        }
    }
    g_array_set_size(replica->actions, 0);
}

uint64_t
replica_deadline(const struct replica *replica)
{
    const struct cons *cons = &replica->cons;
    uint64_t at =
        cons->role == CONS_LEADER ? cons->heartbeat_at : cons->election_at;

    for (guint i = 0; i < replica->pending->len; i++) {
        at = MIN(at, g_array_index(replica->pending, struct replica_pending, i)
                         .deadline);
    }
    return at;
}
