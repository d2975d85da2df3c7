/*
 * The loop's side of a node's voter: queues jobs for its thread, and takes
 * the news that it posts. Knows nothing of consensus or storage.
 */
#include "codec.h"
#include "log.h"
#include "loop.h"
#include "node-voter.h"

static struct voter_start start;
static GThread *thread;

/* Takes what was stored of the fleet. */
static void
load_kept(struct node *node, const GByteArray *kept, uint64_t now)
{
    if (!fleet_load(&node->fleet, now, kept)) {
        log_event(LOG_WARN, "inventory-unreadable", "bytes=%u", kept->len);
        return;
    }
    log_event(LOG_INFO, "inventory-loaded", "upstreams=%u nodes=%u",
              node->upstreams.all->len, node->fleet.uncontacted->len);
}

/* Takes news on the loop's thread. */
void
voter_on_news(void *data)
{
    struct voter_news *news = data;
    struct node *node = news->node;
    uint64_t now = loop_now();

    if (news->opened) {
        node->voter.identity = news->identity;
        node->fleet.self.identity = news->identity;
        node->fleet.hello_at = now;
        for (u_int i = 0; i < news->voter_count; i++) {
            fleet_add_contact(&node->fleet, news->voters[i]);
        }
    }
    if (news->kept != NULL) {
        load_kept(node, news->kept, now);
        g_byte_array_unref(news->kept);
    }
    if (news->has_leader) {
        node->voter.leader = news->leader;
        node->voter.term = news->term;
        fleet_set_leader(&node->fleet, now, news->term, news->leader);
    }
    if (news->apply) {
        (void)fleet_set_halls(&node->fleet, now, &news->halls);
        node_take_table(node, &news->routes);
    }
    if (news->has_answer) {
        node_answer(node, news->token, &news->status,
                    news->with_table ? &news->routes : NULL);
    }
    g_free(news->routes.packed.packed_val);
    g_free(news);
    node_act(node);
}

/* Frees a job. */
void
voter_free_job(struct voter_job *job)
{
    if (job->bytes != NULL) {
        g_byte_array_unref(job->bytes);
    }
    g_free(job->routes.packed.packed_val);
    g_free(job);
}

/* Refuses an operator whose call cannot be passed on. */
static void
refuse(struct node *node, uint64_t token, const char *reason)
{
    struct voter_news *news = g_new0(struct voter_news, 1);

    news->node = node;
    news->has_answer = true;
    news->token = token;
    (void)status_set(&news->status, STATUS_NO_ANSWER, "%s", reason);
    loop_post(voter_on_news, news);
}

/* Queues a job. A node without a disk has no voter: operators are refused, and
 * what other voters say is not meant for it. */
static void
push(struct node *node, struct voter_job *job)
{
    if (!node->voter.running) {
        if (job->token != 0) {
            refuse(node, job->token, "this node has no disk; ask another");
        }
        voter_free_job(job);
        return;
    }
    g_async_queue_push(start.jobs, job);
}

/* Makes a job. */
static struct voter_job *
new_job(enum voter_job_kind kind)
{
    struct voter_job *job = g_new0(struct voter_job, 1);

    job->kind = kind;
    job->queued_at = loop_now();
    return job;
}

/* Starts the thread, on a node with a disk. */
void
node_start_voter(struct node *node)
{
    if (node->settings.data[0] == '\0') {
        return;
    }
    start.node = node;
    start.jobs = g_async_queue_new();
    node->voter.running = true;
    thread = g_thread_new("voter", voter_run, &start);
}

/* Ends the thread. */
void
node_stop_voter(struct node *node)
{
    if (node->voter.running) {
        push(node, new_job(VOTER_JOB_STOP));
        (void)g_thread_join(thread);
    }
}

/* Passes a message on; takes the bytes over. */
void
node_voter_receive(struct node *node, GByteArray *bytes)
{
    struct voter_job *job = new_job(VOTER_JOB_MESSAGE);

    job->bytes = bytes;
    push(node, job);
}

/* Says that a disk is alive. */
void
node_voter_hear(struct node *node, const wire_node *disk)
{
    struct voter_job *job = new_job(VOTER_JOB_DISK);

    job->disk = *disk;
    push(node, job);
}

/* Founds the quorum. */
void
node_voter_found(struct node *node)
{
    push(node, new_job(VOTER_JOB_FOUND));
}

/* Gives up leading. */
void
node_voter_resign(struct node *node)
{
    push(node, new_job(VOTER_JOB_RESIGN));
}

/* Passes an operator's table on; takes it over. */
void
node_voter_submit(struct node *node, uint64_t token, wire_routes *routes)
{
    struct voter_job *job = new_job(VOTER_JOB_SUBMIT);

    job->token = token;
    job->routes = *routes;
    push(node, job);
}

/* Passes an operator's order about a hall on. */
void
node_voter_submit_hall(struct node *node, uint64_t token,
                       const struct hall_order *hall)
{
    struct voter_job *job = new_job(VOTER_JOB_HALL);

    job->token = token;
    job->hall = *hall;
    push(node, job);
}

/* Passes an operator's question on. */
void
node_voter_read(struct node *node, uint64_t token)
{
    struct voter_job *job = new_job(VOTER_JOB_READ);

    job->token = token;
    push(node, job);
}

/* Stores the inventory. */
void
node_voter_keep(struct node *node, GByteArray *bytes)
{
    struct voter_job *job = new_job(VOTER_JOB_KEEP);

    job->bytes = bytes;
    push(node, job);
}
