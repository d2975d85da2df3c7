/*
 * The loop's side of the voter: queues jobs for its thread and handles the
 * updates that the thread posts.
 */
#include <string.h>

#include "codec.h"
#include "log.h"
#include "loop.h"
#include "node-voter.h"

static struct voter_thread_args thread_args;
static GThread *thread;

static void
load_inventory(struct node *node, const GByteArray *inventory, uint64_t now)
{
    if (!fleet_load(&node->fleet, now, inventory)) {
        log_event(LOG_WARN, "inventory-unreadable", "bytes=%u",
                  inventory->len);
        return;
    }
    log_event(LOG_INFO, "inventory-loaded", "upstreams=%u nodes=%u",
              node->upstreams.all->len, node->fleet.contacts->len);
}

void
voter_on_update(void *data)
{
    struct voter_update *update = data;
    struct node *node = update->node;
    uint64_t now = loop_now();

    if (update->opened) {
        node->voter.identity = update->identity;
        node->fleet.self.identity = update->identity;
        node->fleet.hello_at = now;
        for (size_t i = 0; i < update->voter_count; i++) {
            fleet_add_voter(&node->fleet, update->voters[i].address);
        }
    }
    if (update->has_voters) {
        node->voter.in_quorum = update->in_quorum;
        memcpy(node->voter.voters, update->voters, sizeof(update->voters));
        node->voter.voter_count = update->voter_count;
    }
    if (update->inventory != NULL) {
        load_inventory(node, update->inventory, now);
        g_byte_array_unref(update->inventory);
    }
    if (update->has_leader) {
        node->voter.leader = update->leader;
        node->voter.term = update->term;
        fleet_set_leader(&node->fleet, now, update->term, update->leader);
    }
    if (update->committed) {
        (void)fleet_set_halls(&node->fleet, now, &update->halls);
        node_publish_table(node, &update->routes);
    }
    if (update->has_reply) {
        node_complete_request(node, update->token, &update->status,
                              update->with_table ? &update->routes : NULL);
    }
    g_free(update->routes.packed.packed_val);
    g_free(update);
    node_run_actions(node);
}

void
voter_free_job(struct voter_job *job)
{
    if (job->bytes != NULL) {
        g_byte_array_unref(job->bytes);
    }
    g_free(job->routes.packed.packed_val);
    g_free(job);
}

/* Replies to an operator's request with STATUS_NO_ANSWER. */
static void
reply_unavailable(struct node *node, uint64_t token, const char *reason)
{
    struct voter_update *update = g_new0(struct voter_update, 1);

    update->node = node;
    update->has_reply = true;
    update->token = token;
    (void)status_set(&update->status, STATUS_NO_ANSWER, "%s", reason);
    loop_post(voter_on_update, update);
}

/* Queues a job. A node without a disk has no voter: operators get an error,
 * and other jobs are dropped. */
static void
queue_job(struct node *node, struct voter_job *job)
{
    if (!node->voter.running) {
        if (job->token != 0) {
            reply_unavailable(
                node, job->token,
                "this node has no disk; send the request to another node");
        }
        voter_free_job(job);
        return;
    }
    g_async_queue_push(thread_args.jobs, job);
}

static struct voter_job *
new_job(enum voter_job_kind kind)
{
    struct voter_job *job = g_new0(struct voter_job, 1);

    job->kind = kind;
    job->queued_at = loop_now();
    return job;
}

void
node_start_voter(struct node *node)
{
    if (node->settings.data[0] == '\0') {
        return;
    }
    thread_args.node = node;
    thread_args.jobs = g_async_queue_new();
    node->voter.running = true;
    thread = g_thread_new("voter", voter_run, &thread_args);
}

void
node_stop_voter(struct node *node)
{
    if (node->voter.running) {
        queue_job(node, new_job(VOTER_JOB_STOP));
        (void)g_thread_join(thread);
    }
}

void
node_voter_receive(struct node *node, GByteArray *bytes)
{
    struct voter_job *job = new_job(VOTER_JOB_MESSAGE);

    job->bytes = bytes;
    queue_job(node, job);
}

void
node_voter_report_disk(struct node *node, const wire_node *disk)
{
    struct voter_job *job = new_job(VOTER_JOB_DISK);

    job->disk = *disk;
    queue_job(node, job);
}

void
node_voter_bootstrap(struct node *node)
{
    queue_job(node, new_job(VOTER_JOB_BOOTSTRAP));
}

void
node_voter_leave(struct node *node)
{
    queue_job(node, new_job(VOTER_JOB_LEAVE));
}

void
node_voter_submit_table(struct node *node, uint64_t token, wire_routes *routes)
{
    struct voter_job *job = new_job(VOTER_JOB_SUBMIT_TABLE);

    job->token = token;
    job->routes = *routes;
    queue_job(node, job);
}

void
node_voter_submit_hall(struct node *node, uint64_t token,
                       const struct hall_order *hall)
{
    struct voter_job *job = new_job(VOTER_JOB_SUBMIT_HALL);

    job->token = token;
    job->hall = *hall;
    queue_job(node, job);
}

void
node_voter_read_table(struct node *node, uint64_t token)
{
    struct voter_job *job = new_job(VOTER_JOB_READ_TABLE);

    job->token = token;
    queue_job(node, job);
}

void
node_voter_save_inventory(struct node *node, GByteArray *bytes)
{
    struct voter_job *job = new_job(VOTER_JOB_SAVE_INVENTORY);

    job->bytes = bytes;
    queue_job(node, job);
}
