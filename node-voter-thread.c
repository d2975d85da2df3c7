/*
 * The voter's thread: owns consensus and storage, so that a slow disk holds up
 * no packet. Of a node it uses settings, counters, histograms and the socket
 * to peers; all else it is told by jobs, and tells by news. When the disk
 * refuses, it answers all who wait, lets go of everything and opens the folder
 * again.
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

#define REOPEN_MS 300U        /* a refusing disk is tried again so often */
#define KEPT_FILE "upstreams" /* in the data folder: the inventory */
#define IDLE_MS 1000U         /* longest sleep of the thread */

/* The thread's state. */
static struct {
    struct node *node;
    GAsyncQueue *jobs;
    bool open; /* order and store are in use */
    struct replica replica;
    struct store store;
    uint64_t reopen_at;    /* deadline: open the folder again */
    uint64_t told_term;    /* of the last leader told */
    uint32_t told_leader;  /* last leader told */
    uint64_t logged_index; /* of the last list of voters logged */
    bool stop;             /* JOB_STOP was done */
} voter;

/* Makes empty news. */
static struct voter_news *
new_news(void)
{
    struct voter_news *news = g_new0(struct voter_news, 1);

    news->node = voter.node;
    return news;
}

/* Copies the table held into news. */
static void
copy_table(struct voter_news *news)
{
    const struct replica *order = &voter.replica;
    gsize length = 0;
    const void *bytes;
    wire_command command;

    if (order->routes == NULL) {
        return;
    }
    bytes = g_bytes_get_data(order->routes, &length);
    if (codec_decode_command(bytes, length, &command)) {
        news->routes = command.wire_command_u.routes;
        news->routes.packed.packed_val = g_memdup2(
            news->routes.packed.packed_val, news->routes.packed.packed_len);
        codec_free_command(&command);
    }
}

/* Sends a message to another voter. */
static void
send_message(struct cons_action *action)
{
    GByteArray *bytes = codec_encode(&action->msg);

    node_send_to_peer(voter.node, action->to, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/* Carries out one action of consensus; false when the disk refused. */
static bool
act_cons(struct cons_action *action)
{
    const struct cons *cons = &voter.replica.cons;
    struct status st = {STATUS_OK, ""};
    uint64_t before = loop_now_us();
    uint64_t took_us;

    switch (action->kind) {
    case CONS_SAVE_TERM:
        (void)store_save_term(&voter.store, cons->term, cons->vote, &st);
        break;
    case CONS_SAVE_ENTRIES:
        (void)store_append(&voter.store, cons, action->index, action->count,
                           &st);
        break;
    case CONS_SAVE_CUT:
        (void)store_cut(&voter.store, action->index, &st);
        break;
    case CONS_SAVE_SNAPSHOT:
        (void)store_snapshot(&voter.store, cons, &st);
        break;
    case CONS_SEND:
        send_message(action);
        return true;
    case CONS_LOAD:
        return true;
    }
    took_us = loop_now_us() - before;
    histogram_add(&voter.node->histograms, HISTOGRAM_SYNC, took_us);
    if (st.kind != STATUS_OK) {
        counter_add(&voter.node->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_ERROR, "storage-failed",
                  "took_us=%" PRIu64 " message=\"%s\"", took_us, st.message);
        return false;
    }
    return true;
}

/* Refuses an operator: the disk does not answer, or did not in time. */
static void
refuse(uint64_t token)
{
    struct voter_news *news = new_news();

    news->has_answer = true;
    news->token = token;
    (void)status_set(&news->status, STATUS_NO_ANSWER,
                     "this node's disk does not answer; ask another node");
    loop_post(voter_on_news, news);
}

/* Refuses the operators whose answer was not given before the disk refused;
 * `from` is the first action that was not carried out. */
static void
refuse_waiting(size_t from)
{
    GArray *tokens = replica_unanswered_tokens(&voter.replica, from);

    for (guint i = 0; i < tokens->len; i++) {
        refuse(g_array_index(tokens, uint64_t, i));
    }
    g_array_free(tokens, TRUE);
}

/* Lets go of the folder, to open it again soon. */
static void
close_folder(void)
{
    replica_close(&voter.replica);
    store_close(&voter.store);
    voter.open = false;
    voter.reopen_at = loop_now() + REOPEN_MS;
}

/* Names a role in the log. */
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

/* Tells the loop who leads, when that changed. */
static void
tell_leader(void)
{
    const struct cons *cons = &voter.replica.cons;
    struct voter_news *news;

    /* A new leader answers only when it knows all that was committed. */
    uint32_t leader =
        cons->role == CONS_LEADER && !cons_is_ready(cons) ? 0 : cons->leader;

    if (cons->term == voter.told_term && leader == voter.told_leader) {
        return;
    }
    voter.told_term = cons->term;
    voter.told_leader = leader;
    log_event(LOG_INFO, "leader", "leader=%08x term=%" PRIu64 " role=%s",
              leader, cons->term, role_name(cons->role));
    news = new_news();
    news->has_leader = true;
    news->term = cons->term;
    news->leader = leader;
    loop_post(voter_on_news, news);
}

/* Logs who votes, when that changed. */
static void
log_voters(void)
{
    const wire_config *config = cons_config(&voter.replica.cons);
    GString *text;

    if (voter.replica.cons.change_index == voter.logged_index) {
        return;
    }
    voter.logged_index = voter.replica.cons.change_index;
    text = g_string_new(NULL);
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        const wire_voter *v = &config->voters.voters_val[i];

        g_string_append_printf(text, "%s%08x/%016" PRIx64, i ? "," : "",
                               v->replica, (uint64_t)v->identity);
    }
    log_event(LOG_INFO, "voters", "index=%" PRIu64 " voters=%s",
              voter.logged_index, text->str);
    g_string_free(text, TRUE);
}

/* Carries out all actions; what the disk refused is not answered, and
 * nothing that follows it in the same batch is done. */
static void
act_all(void)
{
    size_t count;
    const struct replica_action *all = replica_actions(&voter.replica, &count);

    for (size_t i = 0; i < count; i++) {
        struct replica_action action = all[i];
        struct voter_news *news;

        switch (action.kind) {
        case REPLICA_CONS:
            if (!act_cons(&action.cons)) {
                refuse_waiting(i);
                close_folder();
                return;
            }
            break;
        case REPLICA_REPLY:
            news = new_news();
            news->has_answer = true;
            news->token = action.token;
            news->status = action.status;
            news->with_table = action.with_table;
            if (action.with_table) {
                copy_table(news);
            }
            loop_post(voter_on_news, news);
            break;
        case REPLICA_APPLY:
            news = new_news();
            news->apply = true;
            news->halls = voter.replica.halls;
            copy_table(news);
            loop_post(voter_on_news, news);
            break;
        }
    }
    replica_clear(&voter.replica);
    tell_leader();
    log_voters();
}

/* Reads the inventory that was stored; NULL when there is none. */
static GByteArray *
read_kept(void)
{
    struct status st = {STATUS_OK, ""};
    GByteArray *bytes;
    uint64_t sum;

    if (store_read_file(voter.store.folder, KEPT_FILE, &bytes, &st) !=
        STATUS_OK) {
        log_event(LOG_WARN, "inventory-not-read", "message=\"%s\"",
                  st.message);
        return NULL;
    }

    if (bytes == NULL) {
        return NULL;
    }
    if (bytes->len > sizeof(sum)) {
        memcpy(&sum, bytes->data, sizeof(sum));
        g_byte_array_remove_range(bytes, 0, sizeof(sum));
        if (sum == hash_checksum(bytes->data, bytes->len)) {
            return bytes;
        }
    }
    log_event(LOG_WARN, "inventory-damaged", "bytes=%u", bytes->len);
    g_byte_array_unref(bytes);
    return NULL;
}

/* Stores the inventory. It is only a help, so a refusing disk is logged and
 * nothing more. */
static void
store_kept(const GByteArray *bytes)
{
    uint64_t sum = hash_checksum(bytes->data, bytes->len);
    GByteArray *file = g_byte_array_new();
    struct status st = {STATUS_OK, ""};

    g_byte_array_append(file, (const guint8 *)&sum, sizeof(sum));
    g_byte_array_append(file, bytes->data, bytes->len);
    if (store_write_file(voter.store.folder, KEPT_FILE, file->data, file->len,
                         &st) != STATUS_OK) {
        counter_add(&voter.node->counters, COUNTER_STORE_ERRORS, 1);
        log_event(LOG_WARN, "inventory-not-stored", "message=\"%s\"",
                  st.message);
    }
    g_byte_array_unref(file);
}

/* Tells the loop what the folder holds. */
static void
tell_opened(void)
{
    const wire_config *config = cons_config(&voter.replica.cons);
    struct voter_news *news = new_news();

    news->opened = true;
    news->identity = voter.store.identity;
    news->kept = read_kept();
    for (u_int i = 0; i < config->voters.voters_len; i++) {
        news->voters[news->voter_count++] =
            config->voters.voters_val[i].replica;
    }
    loop_post(voter_on_news, news);
}

/* Removes the state of a damaged folder. */
static void
give_up_folder(const char *path)
{
    struct status st = {STATUS_OK, ""};
    enum status_kind kind = store_wipe(path, &st);

    log_event(LOG_ERROR, "storage-given-up",
              "result=%s message=\"%s\" next=\"joins as a new identity\"",
              status_name(kind), st.message);
}

/* Opens the folder and starts consensus from it. A damaged folder is given
 * up: this replica then joins with a new identity and counts nowhere until
 * it holds the log. */
static void
open_folder(void)
{
    const struct node_settings *s = &voter.node->settings;
    struct status st = {STATUS_OK, ""};
    struct cons_stored stored;
    uint32_t self = node_settings_address(s);
    uint64_t seed;

    if (store_open(&voter.store, s->data, STORE_TAIL_TORN, &stored, &st) !=
        STATUS_OK) {
        log_event(LOG_ERROR, "storage-not-opened", "message=\"%s\"",
                  st.message);
        store_close(&voter.store);
        if (st.kind == STATUS_DAMAGED) {
            give_up_folder(s->data);
        }
        voter.reopen_at = loop_now() + REOPEN_MS;
        return;
    }
    randombytes_buf(&seed, sizeof(seed));
    replica_open(&voter.replica, loop_now(), self, voter.store.identity,
                 voter.store.identity == self, seed, &stored,
                 &voter.node->counters);
    voter.open = true;
    log_event(LOG_INFO, "storage-opened",
              "identity=%016" PRIx64 " last_index=%" PRIu64 " version=%" PRIu64
              " torn_bytes=%" PRIu64,
              voter.store.identity, cons_last_index(&voter.replica.cons),
              voter.replica.version, voter.store.cut_bytes);
    tell_opened();
    act_all();
}

/* Becomes the founder, when nothing was stored here yet. */
static void
found(void)
{
    struct status st = {STATUS_OK, ""};
    uint32_t self = node_settings_address(&voter.node->settings);

    if (!voter.open || cons_last_index(&voter.replica.cons) > 0 ||
        voter.replica.cons.leader != 0) {
        return;
    }
    if (store_found(&voter.store, self, &st) != STATUS_OK) {
        log_event(LOG_ERROR, "founding-failed", "message=\"%s\"", st.message);
        return;
    }
    log_event(LOG_INFO, "founding", "replica=%08x", self);
    close_folder();
    open_folder();
}

/* Takes a message of another voter. */
static void
take_message(const GByteArray *bytes)
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

/* Passes an operator's call to consensus, or refuses it. */
static void
take_call(struct voter_job *job, uint64_t now)
{
    if (!voter.open || now > job->queued_at + REPLICA_REQUEST_TIMEOUT_MS) {
        refuse(job->token);
    }
    else if (job->kind == VOTER_JOB_READ) {
        replica_read(&voter.replica, now, job->token);
    }
    else if (job->kind == VOTER_JOB_HALL) {
        replica_submit_hall(&voter.replica, now, job->token, &job->hall);
    }
    else {
        replica_submit(&voter.replica, now, job->token, &job->routes);
    }
}

/* Does one job. */
static void
do_job(struct voter_job *job)
{
    uint64_t now = loop_now();

    switch (job->kind) {
    case VOTER_JOB_MESSAGE:
        if (voter.open) {
            take_message(job->bytes);
        }
        break;
    case VOTER_JOB_DISK:
        if (voter.open) {
            replica_update_disk(&voter.replica, now, job->disk.address,
                                job->disk.identity);
        }
        break;
    case VOTER_JOB_FOUND:
        found();
        break;
    case VOTER_JOB_SUBMIT:
    case VOTER_JOB_HALL:
    case VOTER_JOB_READ:
        take_call(job, now);
        break;
    case VOTER_JOB_KEEP:
        if (voter.open) {
            store_kept(job->bytes);
        }
        break;
    case VOTER_JOB_RESIGN:
        if (voter.open) {
            replica_step_down(&voter.replica, now);
        }
        break;
    case VOTER_JOB_STOP:
        voter.stop = true;
        break;
    }
}

/* Time until the thread has something to do, in us. */
static uint64_t
wait_us(void)
{
    uint64_t now = loop_now();
    uint64_t at =
        voter.open ? replica_deadline(&voter.replica) : voter.reopen_at;

    at = MIN(at, now + IDLE_MS);
    return at > now ? (at - now) * 1000 : 0;
}

/* Runs the thread. */
gpointer
voter_run(gpointer data)
{
    const struct voter_start *start = data;

    voter.node = start->node;
    voter.jobs = start->jobs;
    open_folder();
    while (!voter.stop) {
        uint64_t us = wait_us();
        struct voter_job *job = us > 0
                                    ? g_async_queue_timeout_pop(voter.jobs, us)
                                    : g_async_queue_try_pop(voter.jobs);

        if (job != NULL) {
            do_job(job);
            voter_free_job(job);
        }
        if (!voter.open && loop_now() >= voter.reopen_at) {
            open_folder();
        }
        if (voter.open) {
            replica_tick(&voter.replica, loop_now());
            act_all();
        }
    }
    if (voter.open) {
        refuse_waiting(0);
        close_folder();
    }
    return NULL;
}
