/*
 * The voter's thread: runs consensus (replica.h) and its storage (store.h). On
 * a storage error it fails all pending requests, closes the data folder and
 * opens it again later.
 */
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "codec.h"
#include "hash.h"
#include "log.h"
#include "loop.h"
#include "node-voter.h"
#include "store.h"

#define REOPEN_INTERVAL_MS 300U    /* delay after a storage error */
#define INVENTORY_FILE "upstreams" /* in the data folder */
#define IDLE_MAX_MS 1000U          /* longest wait for a job */

static struct {
    struct node *node;
    GAsyncQueue *jobs;
    bool open; /* `replica` and `store` are open */
    struct replica replica;
    struct store store;
    uint64_t reopen_at;             /* deadline */
    uint64_t notified_term;         /* of the last update about the leader */
    uint32_t notified_leader;       /* IPv4 address in that update */
    uint64_t notified_config_index; /* of the last update about the voters */
    bool notified_in_quorum;        /* in that update */
    uint64_t logged_config_index;   /* of the last voters logged */
    uint64_t logged_missing;        /* index in the last log line about it */
    bool stop;                      /* VOTER_JOB_STOP was received */
} voter;

static struct voter_update *
new_update(void)
{
    struct voter_update *update = g_new0(struct voter_update, 1);

    update->node = voter.node;
    return update;
}

/* Copies an encoded table into an update. */
static void
copy_table(struct voter_update *update, GBytes *routes)
{
    gsize length = 0;
    const void *bytes;
    wire_command command;

    if (routes == NULL) {
        return;
    }
    bytes = g_bytes_get_data(routes, &length);
    if (codec_decode_command(bytes, length, &command)) {
        update->routes = command.wire_command_u.routes;
        update->routes.packed.packed_val =
            g_memdup2(update->routes.packed.packed_val,
                      update->routes.packed.packed_len);
        codec_free_command(&command);
    }
}

/* Executes a consensus action; false after a storage error. */
static bool
run_cons_action(const struct cons_action *action)
{
    struct status st = {STATUS_OK, ""};
    uint64_t started_us = loop_now_us();
    uint64_t elapsed_us;

    switch (action->kind) {
    case CONS_SAVE_TERM:
        (void)store_save_term(&voter.store, action->vote.term,
                              action->vote.voted_for, &st);
        break;
    case CONS_SAVE_ENTRIES:
        (void)store_append(&voter.store, &action->batch, &st);
        break;
    case CONS_SAVE_TRUNCATION:
        (void)store_truncate(&voter.store, action->index, &st);
        break;
    case CONS_SAVE_SNAPSHOT:
        (void)store_save_snapshot(&voter.store, &action->image, &st);
        break;
    case CONS_SEND:
        node_send_to_peer(voter.node, action->message.to,
                          action->message.bytes->data,
                          action->message.bytes->len);
        return true;
    case CONS_RESTORE_SNAPSHOT:
        return true;
    }
    elapsed_us = loop_now_us() - started_us;
    histogram_add(&voter.node->histograms, HISTOGRAM_SYNC, elapsed_us);
    if (st.kind != STATUS_OK) {
        counter_add(&voter.node->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_ERROR, "storage-failed",
                  "took_us=%" PRIu64 " message=\"%s\"", elapsed_us,
                  st.message);
        return false;
    }
    return true;
}

static void
reply_unavailable(uint64_t token)
{
    struct voter_update *update = new_update();

    update->has_reply = true;
    update->token = token;
    (void)status_set(&update->status, STATUS_NO_ANSWER,
                     "this node's disk failed or timed out; send the request "
                     "to another node");
    loop_post(voter_on_update, update);
}

/* Fails all requests that have no reply yet, after a storage error; `from` is
 * the first action that was not executed. */
static void
reply_unavailable_all(size_t from)
{
    GArray *tokens = replica_unanswered_tokens(&voter.replica, from);

    for (guint i = 0; i < tokens->len; i++) {
        reply_unavailable(g_array_index(tokens, uint64_t, i));
    }
    g_array_free(tokens, TRUE);
}

static void
close_storage(void)
{
    replica_close(&voter.replica);
    store_close(&voter.store);
    voter.open = false;
    voter.reopen_at = loop_now() + REOPEN_INTERVAL_MS;
}

static const char *
role_name(enum cons_role role)
{
    switch (role) {
    case CONS_FOLLOWER:
        return "follower";
    case CONS_CANDIDATE:
        return "candidate";
    case CONS_LEADER:
        return "leader";
    }
    return "";
}

/* Notifies the loop of a change of leader or term. */
static void
notify_leader(void)
{
    const struct cons *cons = &voter.replica.cons;
    struct voter_update *update;

    /* A new leader serves requests only after it has committed an entry of
     * its own term (Raft, section 8). */
    uint32_t leader =
        cons->role == CONS_LEADER && !cons_is_ready(cons) ? 0 : cons->leader;

    if (cons->term == voter.notified_term && leader == voter.notified_leader) {
        return;
    }
    voter.notified_term = cons->term;
    voter.notified_leader = leader;
    log_event(LOG_INFO, "leader", "leader=%08x term=%" PRIu64 " role=%s",
              leader, cons->term, role_name(cons->role));
    update = new_update();
    update->has_leader = true;
    update->term = cons->term;
    update->leader = leader;
    loop_post(voter_on_update, update);
}

static void
set_voters(struct voter_update *update)
{
    const struct cons *cons = &voter.replica.cons;
    const wire_config *config = cons_config(cons);

    update->has_voters = true;
    update->in_quorum = !cons_has_left(cons);
    for (u_int i = 0; i < config->voters.voters_len && i < FLEET_VOTERS_MAX;
         i++) {
        update->voters[update->voter_count++] = (struct fleet_disk){
            .address = config->voters.voters_val[i].replica,
            .identity = config->voters.voters_val[i].identity};
    }
}

/* Notifies the loop of a change of the voters, or of its commit. */
static void
notify_voters(void)
{
    const struct cons *cons = &voter.replica.cons;
    bool in_quorum = !cons_has_left(cons);
    struct voter_update *update;

    if (cons->config_index == voter.notified_config_index &&
        in_quorum == voter.notified_in_quorum) {
        return;
    }
    voter.notified_config_index = cons->config_index;
    voter.notified_in_quorum = in_quorum;
    update = new_update();
    set_voters(update);
    loop_post(voter_on_update, update);
}

static const char *
replace_reason_name(enum replica_replace_reason reason)
{
    switch (reason) {
    case REPLICA_DISK_CHANGED:
        return "new-disk";
    case REPLICA_VOTER_STOPPING:
        return "stopping";
    case REPLICA_VOTER_SILENT:
        return "silent";
    }
    return "";
}

static void
log_replacement(const struct replica_replacement *replacement)
{
    counter_add(&voter.node->counters, COUNTER_VOTERS_REPLACED, 1);
    log_event(LOG_INFO, "voter-replaced",
              "voter=%08x by=%08x reason=%s silent_ms=%" PRIu64,
              replacement->from, replacement->to,
              replace_reason_name(replacement->reason),
              replacement->silent_ms);
}

/* Logs a change of the cluster's voters. */
static void
log_voters(void)
{
    const wire_config *config = cons_config(&voter.replica.cons);
    GString *text;

    if (voter.replica.cons.config_index == voter.logged_config_index) {
        return;
    }
    voter.logged_config_index = voter.replica.cons.config_index;
    text = g_string_new(NULL);
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        const wire_voter *v = &config->voters.voters_val[i];

        g_string_append_printf(text, "%s%08x/%016" PRIx64, i ? "," : "",
                               v->replica, (uint64_t)v->identity);
    }
    log_event(LOG_INFO, "voters", "index=%" PRIu64 " voters=%s",
              voter.logged_config_index, text->str);
    g_string_free(text, TRUE);
}

/* Logs that entries are missing on this disk, or are complete again. */
static void
log_missing(void)
{
    const struct cons *cons = &voter.replica.cons;

    if (cons->missing.index == voter.logged_missing) {
        return;
    }
    voter.logged_missing = cons->missing.index;
    if (cons->missing.index == 0) {
        log_event(LOG_INFO, "storage-repaired", "last_index=%" PRIu64,
                  cons_last_index(cons));
        return;
    }
    counter_add(&voter.node->counters, COUNTER_STORE_ERRORS, 1);
    log_event(LOG_ERROR, "storage-damaged",
              "file=log last_index=%" PRIu64 " missing_index=%" PRIu64
              " missing_term=%" PRIu64 " kept=log.damaged next=\"copies the "
              "missing entries from the leader\"",
              cons_last_index(cons), cons->missing.index, cons->missing.term);
}

/* Executes all actions in order. A storage error cancels the remaining ones,
 * so nothing that was not synced is acknowledged. */
static void
run_actions(void)
{
    size_t count;
    const struct replica_action *all = replica_actions(&voter.replica, &count);

    for (size_t i = 0; i < count; i++) {
        const struct replica_action *action = &all[i];
        struct voter_update *update;

        switch (action->kind) {
        case REPLICA_CONS:
            if (!run_cons_action(&action->cons)) {
                reply_unavailable_all(i);
                close_storage();
                return;
            }
            break;
        case REPLICA_REPLY:
            update = new_update();
            update->has_reply = true;
            update->token = action->reply.token;
            update->status = action->reply.status;
            update->with_table = action->reply.with_table;
            copy_table(update, action->reply.routes);
            loop_post(voter_on_update, update);
            break;
        case REPLICA_APPLY:
            update = new_update();
            update->committed = true;
            update->halls = *action->state.halls;
            copy_table(update, action->state.routes);
            loop_post(voter_on_update, update);
            break;
        case REPLICA_REPLACE:
            log_replacement(&action->replacement);
            break;
        }
    }
    replica_clear(&voter.replica);
    notify_leader();
    notify_voters();
    log_voters();
    log_missing();
}

/* Reads the saved inventory; NULL when there is none or it is damaged. */
static GByteArray *
read_inventory(void)
{
    struct status st = {STATUS_OK, ""};
    GByteArray *bytes;
    uint64_t checksum;

    if (store_read_file(voter.store.folder_fd, INVENTORY_FILE, &bytes, &st) !=
        STATUS_OK) {
        log_event(LOG_WARN, "inventory-not-read", "message=\"%s\"",
                  st.message);
        return NULL;
    }

    if (bytes == NULL) {
        return NULL;
    }
    if (bytes->len > sizeof(checksum)) {
        memcpy(&checksum, bytes->data, sizeof(checksum));
        g_byte_array_remove_range(bytes, 0, sizeof(checksum));
        if (checksum == hash_checksum(bytes->data, bytes->len)) {
            return bytes;
        }
    }
    log_event(LOG_WARN, "inventory-damaged", "bytes=%u", bytes->len);
    g_byte_array_unref(bytes);
    return NULL;
}

/* Saves the inventory with a checksum. An error is only logged: without the
 * file the next start takes longer. */
static void
write_inventory(const GByteArray *bytes)
{
    uint64_t checksum = hash_checksum(bytes->data, bytes->len);
    GByteArray *file = g_byte_array_new();
    struct status st = {STATUS_OK, ""};

    g_byte_array_append(file, (const guint8 *)&checksum, sizeof(checksum));
    g_byte_array_append(file, bytes->data, bytes->len);
    if (store_write_file(voter.store.folder_fd, INVENTORY_FILE, file->data,
                         file->len, &st) != STATUS_OK) {
        counter_add(&voter.node->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_WARN, "inventory-not-stored", "message=\"%s\"",
                  st.message);
    }
    g_byte_array_unref(file);
}

/* Notifies the loop of the disk's identity, the voters and the inventory. */
static void
notify_opened(void)
{
    struct voter_update *update = new_update();

    update->opened = true;
    update->identity = voter.store.identity;
    update->inventory = read_inventory();
    set_voters(update);
    loop_post(voter_on_update, update);
}

/* Renames the files of a data folder that cannot be repaired. */
static void
set_storage_aside(const char *path)
{
    struct status st = {STATUS_OK, ""};
    enum status_kind kind = store_set_aside(path, &st);

    log_event(LOG_ERROR, "storage-given-up",
              "result=%s message=\"%s\" kept=\"*.damaged\" next=\"rejoins "
              "with a new identity\"",
              status_name(kind), st.message);
}

/* Most voters that the tolerated losses require, 0: unknown. */
static u_int
voters_max(const struct node_settings *s)
{
    return s->tolerated_disks > 0 && s->tolerated_halls == 0
               ? (u_int)(2 * s->tolerated_disks + 1)
               : 0;
}

/* Opens the data folder and starts consensus. A folder that cannot be repaired
 * is set aside; the replica then rejoins with a new identity and has no vote
 * until it holds the log. */
static void
open_storage(void)
{
    const struct node_settings *s = &voter.node->settings;
    struct status st = {STATUS_OK, ""};
    struct cons_stored stored;
    uint32_t self = node_settings_address(s);
    uint64_t seed;

    if (store_open(&voter.store, s->data, STORE_TAIL_TOLERANT, &stored, &st) !=
        STATUS_OK) {
        log_event(LOG_ERROR, "storage-not-opened", "message=\"%s\"",
                  st.message);
        store_close(&voter.store);
        if (st.kind == STATUS_DAMAGED) {
            set_storage_aside(s->data);
        }
        voter.reopen_at = loop_now() + REOPEN_INTERVAL_MS;
        return;
    }
    randombytes_buf(&seed, sizeof(seed));
    replica_open(&voter.replica, loop_now(), self, voter.store.identity,
                 voter.store.identity == self, seed, &stored,
                 &voter.node->counters);
    voter.replica.voters_max = voters_max(s);
    voter.open = true;
    log_event(LOG_INFO, "storage-opened",
              "identity=%016" PRIx64 " last_index=%" PRIu64 " version=%" PRIu64
              " torn_bytes=%" PRIu64,
              voter.store.identity, cons_last_index(&voter.replica.cons),
              voter.replica.version, voter.store.torn_bytes);
    notify_opened();
    run_actions();
}

/* Starts a new cluster, unless the log has entries or a leader is known. */
static void
bootstrap(void)
{
    struct status st = {STATUS_OK, ""};
    uint32_t self = node_settings_address(&voter.node->settings);

    if (!voter.open || cons_last_index(&voter.replica.cons) > 0 ||
        voter.replica.cons.missing.index != 0 ||
        voter.replica.cons.leader != 0) {
        return;
    }
    if (store_bootstrap(&voter.store, self, &st) != STATUS_OK) {
        log_event(LOG_ERROR, "founding-failed", "message=\"%s\"", st.message);
        return;
    }
    log_event(LOG_INFO, "founding", "replica=%08x", self);
    close_storage();
    open_storage();
}

static void
receive_message(const GByteArray *bytes)
{
    wire_msg msg;

    if (!codec_decode(bytes->data, bytes->len, &msg)) {
        counter_add(&voter.node->counters, COUNTER_MSGS_MALFORMED, 1);
        log_event(LOG_WARN, "message-unreadable", "bytes=%u", bytes->len);
        return;
    }
    replica_receive(&voter.replica, loop_now(), &msg);
    codec_free(&msg);
}

/* Passes an operator's request to consensus; fails it when storage is closed
 * or the request waited too long. */
static void
handle_operator_job(struct voter_job *job, uint64_t now)
{
    if (!voter.open || now > job->queued_at + REPLICA_REQUEST_TIMEOUT_MS) {
        reply_unavailable(job->token);
    }
    else if (job->kind == VOTER_JOB_READ_TABLE) {
        replica_read(&voter.replica, now, job->token);
    }
    else if (job->kind == VOTER_JOB_SUBMIT_HALL) {
        replica_submit_hall(&voter.replica, now, job->token, &job->hall);
    }
    else {
        replica_submit(&voter.replica, now, job->token, &job->routes);
    }
}

static void
run_job(struct voter_job *job)
{
    uint64_t now = loop_now();

    switch (job->kind) {
    case VOTER_JOB_MESSAGE:
        if (voter.open) {
            receive_message(job->bytes);
        }
        break;
    case VOTER_JOB_DISK:
        if (voter.open) {
            replica_update_disk(&voter.replica, now, &job->disk);
        }
        break;
    case VOTER_JOB_BOOTSTRAP:
        bootstrap();
        break;
    case VOTER_JOB_SUBMIT_TABLE:
    case VOTER_JOB_SUBMIT_HALL:
    case VOTER_JOB_READ_TABLE:
        handle_operator_job(job, now);
        break;
    case VOTER_JOB_SAVE_INVENTORY:
        if (voter.open) {
            write_inventory(job->bytes);
        }
        break;
    case VOTER_JOB_LEAVE:
        if (voter.open) {
            replica_stop(&voter.replica, now);
        }
        break;
    case VOTER_JOB_STOP:
        voter.stop = true;
        break;
    }
}

/* Time until the next deadline. */
static uint64_t
timeout_us(void)
{
    uint64_t now = loop_now();
    uint64_t at =
        voter.open ? replica_deadline(&voter.replica) : voter.reopen_at;

    at = MIN(at, now + IDLE_MAX_MS);
    return at > now ? (at - now) * 1000 : 0;
}

gpointer
voter_run(gpointer data)
{
    const struct voter_thread_args *thread_args = data;

    voter.node = thread_args->node;
    voter.jobs = thread_args->jobs;
    open_storage();
    while (!voter.stop) {
        uint64_t us = timeout_us();
        struct voter_job *job = us > 0
                                    ? g_async_queue_timeout_pop(voter.jobs, us)
                                    : g_async_queue_try_pop(voter.jobs);

        if (job != NULL) {
            run_job(job);
            voter_free_job(job);
        }
        if (!voter.open && loop_now() >= voter.reopen_at) {
            open_storage();
        }
        if (voter.open) {
            replica_tick(&voter.replica, loop_now());
            run_actions();
        }
    }
    if (voter.open) {
        reply_unavailable_all(0);
        close_storage();
    }
    return NULL;
}
