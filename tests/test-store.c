/*
 * Guards against the loss of acknowledged log entries, terms and votes after
 * torn writes, corrupted files, failed reads and crashes, on real files.
 */
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "codec.h"
#include "store.h"

#define ENTRIES 500
#define RECORD_BYTES 64 /* of an entry of append() */

/* A data folder, its store and the consensus state loaded from it. */
struct fixture {
    char *path;
    struct store store;
    struct cons cons;
    enum store_tail_policy tail;
};

/* Opens the data folder as a replica does at its start. */
static enum status_kind
open_store(struct fixture *f, struct status *st)
{
    const uint32_t replicas[1] = {1};
    wire_voter voter = {.replica = 1, .identity = 1};
    wire_config initial_config = {
        .voters = {.voters_len = 1, .voters_val = &voter}};
    struct cons_stored stored;

    st->kind = STATUS_OK;
    if (store_open(&f->store, f->path, f->tail, &stored, st) != STATUS_OK) {
        for (guint i = 0; stored.log != NULL && i < stored.log->len; i++) {
            g_bytes_unref(
                g_array_index(stored.log, struct cons_entry, i).command);
        }
        g_array_free(stored.log, TRUE);
        return st->kind;
    }
    cons_open(&f->cons, 1, 1, f->store.identity, replicas, 1, &initial_config,
              1, &stored);
    return STATUS_OK;
}

/* Closes the store; also the consensus when open_store() succeeded. */
static void
close_replica(struct fixture *f, bool opened)
{
    if (opened) {
        cons_close(&f->cons);
    }
    store_close(&f->store);
}

/* Carries out the queued actions that store. */
static void
run_actions(struct fixture *f)
{
    struct status st = {STATUS_OK, ""};
    size_t count;
    const struct cons_action *all = cons_actions(&f->cons, &count);

    for (size_t i = 0; i < count; i++) {
        if (all[i].kind == CONS_SAVE_ENTRIES) {
            (void)store_append(&f->store, &all[i].batch, &st);
        }
        else if (all[i].kind == CONS_SAVE_SNAPSHOT) {
            (void)store_save_snapshot(&f->store, &all[i].image, &st);
        }
        g_assert_cmpint(st.kind, ==, STATUS_OK);
    }
    cons_clear_actions(&f->cons);
}

/* Proposes an entry as a leader. */
static void
propose(struct fixture *f, unsigned number)
{
    wire_command command = {.kind = WIRE_CMD_STEP};

    f->cons.role = CONS_LEADER;
    command.wire_command_u.rollout.bundle_version = number + 1;
    g_assert_cmpuint(cons_propose(&f->cons, number, &command), >, 0);
}

/* Proposes entries as a leader and stores them. */
static void
append(struct fixture *f, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        propose(f, i);
        run_actions(f);
    }
}

/* Creates the data folder of an initial voter with some entries. */
static void
make_data_folder(struct fixture *f, unsigned entries)
{
    struct status st = {STATUS_OK, ""};

    f->path = g_dir_make_tmp("ridgeridge-store-XXXXXX", NULL);
    g_assert_cmpint(store_init(f->path, 1, &st), ==, STATUS_OK);
    g_assert_cmpint(open_store(f, &st), ==, STATUS_OK);
    append(f, entries);
    close_replica(f, true);
}

static void
remove_data_folder(struct fixture *f)
{
    static const char *const names[] = {"identity",
                                        "vote",
                                        "log",
                                        "snapshot",
                                        "identity.damaged",
                                        "vote.damaged",
                                        "log.damaged",
                                        "missing",
                                        "lock"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *name = g_build_filename(f->path, names[i], NULL);

        (void)g_unlink(name);
        g_free(name);
    }
    (void)g_rmdir(f->path);
    g_free(f->path);
}

/* A change of the log file and what opening it must report. */
struct corruption {
    const char *name;
    long flip_at;         /* offset, from the end when negative; 0: none */
    long truncated_bytes; /* removed from the end */
    long zero_bytes;      /* appended */
    long junk_bytes;      /* appended */
    enum status_kind expected;
    unsigned entries; /* of 10, after loading */
    enum store_tail_policy tail;
    unsigned missing; /* last entry that is reported as missing, 0: none */
};

static const struct corruption corruptions[] = {
    {"untouched", 0, 0, 0, 0, STATUS_OK, 10, STORE_TAIL_STRICT, 0},
    {"torn-in-a-command", 0, 3, 0, 0, STATUS_OK, 9, STORE_TAIL_STRICT, 0},
    {"torn-in-a-header", 0, 75, 0, 0, STATUS_OK, 8, STORE_TAIL_STRICT, 0},
    {"zeros-at-the-end", 0, 0, 500, 0, STATUS_OK, 10, STORE_TAIL_STRICT, 0},
    {"few-bytes-at-the-end", 0, 0, 0, 7, STATUS_OK, 10, STORE_TAIL_STRICT, 0},
    {"junk-at-the-end", 0, 0, 0, 200, STATUS_DAMAGED, 0, STORE_TAIL_STRICT, 0},
    {"flip-in-the-first-record", 30, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_STRICT, 0},
    {"flip-in-the-last-record", -2, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_STRICT, 0},
    {"flip-in-the-magic", 2, 0, 0, 0, STATUS_DAMAGED, 0, STORE_TAIL_STRICT, 0},
    {"empty", 0, 1000000, 0, 0, STATUS_OK, 0, STORE_TAIL_STRICT, 0},
    /* With power loss the unsynced end of the log may be torn. */
    {"torn/untouched", 0, 0, 0, 0, STATUS_OK, 10, STORE_TAIL_TOLERANT, 0},
    {"torn/cut-in-a-command", 0, 3, 0, 0, STATUS_OK, 9, STORE_TAIL_TOLERANT,
     0},
    {"torn/flip-in-the-last-record", -2, 0, 0, 0, STATUS_OK, 9,
     STORE_TAIL_TOLERANT, 0},
    {"torn/junk-at-the-end", 0, 0, 0, 200, STATUS_OK, 10, STORE_TAIL_TOLERANT,
     0},
    {"torn/zeros-at-the-end", 0, 0, 500, 0, STATUS_OK, 10, STORE_TAIL_TOLERANT,
     0},
    {"torn/flip-before-a-later-sync", 30, 0, 0, 0, STATUS_OK, 0,
     STORE_TAIL_TOLERANT, 10},
    {"torn/flip-in-the-middle", 8 + 4 * RECORD_BYTES + 30, 0, 0, 0, STATUS_OK,
     4, STORE_TAIL_TOLERANT, 10},
    {"torn/flip-and-cut-in-a-command", 8 + 4 * RECORD_BYTES + 30, 3, 0, 0,
     STATUS_OK, 4, STORE_TAIL_TOLERANT, 9},
    {"flip-in-the-middle", 8 + 4 * RECORD_BYTES + 30, 0, 0, 0, STATUS_DAMAGED,
     0, STORE_TAIL_STRICT, 0},
    {"torn/flip-in-the-magic", 2, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_TOLERANT, 0},
};

static void
corrupt_log(const struct fixture *f, const struct corruption *c)
{
    char *name = g_build_filename(f->path, "log", NULL);
    char *bytes = NULL;
    gsize length = 0;
    GString *out;

    g_assert_true(g_file_get_contents(name, &bytes, &length, NULL));
    out = g_string_new_len(bytes, (gssize)length);
    if (c->flip_at != 0) {
        size_t at =
            c->flip_at > 0 ? (size_t)c->flip_at : length - (size_t)-c->flip_at;

        out->str[at] ^= 0x10;
    }
    g_string_truncate(out, c->truncated_bytes >= (long)length
                               ? 0
                               : length - (gsize)c->truncated_bytes);
    for (long i = 0; i < c->zero_bytes; i++) {
        g_string_append_c(out, '\0');
    }
    for (long i = 0; i < c->junk_bytes; i++) {
        g_string_append_c(out, 'j');
    }
    g_assert_true(g_file_set_contents(name, out->str, (gssize)out->len, NULL));
    g_string_free(out, TRUE);
    g_free(bytes);
    g_free(name);
}

/* A replica whose disk lost entries must not lead, even as the only voter. */
static void
check_missing(struct fixture *f, unsigned missing)
{
    g_assert_cmpuint(f->cons.missing.index, ==, missing);
    cons_tick(&f->cons, 1000000);
    cons_tick(&f->cons, 2000000);
    g_assert_cmpint(f->cons.role, ==,
                    missing == 0 ? CONS_LEADER : CONS_FOLLOWER);
    cons_clear_actions(&f->cons);
}

/* A torn end is truncated. Before records that were synced later, the log is
 * cut and the replica knows what it lacks, or the folder is refused. */
static void
test_corruption(gconstpointer data)
{
    const struct corruption *c = data;
    struct fixture f = {.tail = c->tail};
    struct status st;
    bool opened;

    make_data_folder(&f, 10);
    corrupt_log(&f, c);
    opened = open_store(&f, &st) == STATUS_OK;
    g_assert_cmpint(st.kind, ==, c->expected);
    if (opened) {
        g_assert_cmpuint(cons_last_index(&f.cons), ==, c->entries);
        g_assert_cmpuint(f.cons.missing.index, ==, c->missing);
        /* Entries appended after the truncation survive a restart. */
        append(&f, 2);
        close_replica(&f, true);
        g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
        g_assert_cmpuint(cons_last_index(&f.cons), ==, c->entries + 2);
        check_missing(&f, c->missing);
    }
    else {
        g_assert_nonnull(strstr(st.message, "move the data folder aside"));
    }
    close_replica(&f, opened);
    remove_data_folder(&f);
}

/* Closes the store, writes the log as given and opens it again. */
static enum status_kind
reopen_with_log(struct fixture *f, const GString *log, struct status *st)
{
    char *name = g_build_filename(f->path, "log", NULL);

    g_assert_true(g_file_set_contents(name, log->str, (gssize)log->len, NULL));
    g_free(name);
    return open_store(f, st);
}

static GString *
read_log(const struct fixture *f)
{
    char *name = g_build_filename(f->path, "log", NULL);
    char *bytes = NULL;
    gsize length = 0;
    GString *log;

    g_assert_true(g_file_get_contents(name, &bytes, &length, NULL));
    log = g_string_new_len(bytes, (gssize)length);
    g_free(bytes);
    g_free(name);
    return log;
}

/* Earlier releases stored an entry twice when the log was compacted in the
 * same batch: such a log is complete. Guards against giving up the disk. */
static void
test_repeated_record(void)
{
    static const enum store_tail_policy policies[] = {STORE_TAIL_STRICT,
                                                      STORE_TAIL_TOLERANT};

    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct fixture f = {.tail = policies[i]};
        struct status st;
        GString *log;
        char *last;

        make_data_folder(&f, 10);
        log = read_log(&f);
        last = g_memdup2(log->str + log->len - RECORD_BYTES, RECORD_BYTES);
        g_string_append_len(log, last, RECORD_BYTES);
        g_assert_cmpint(reopen_with_log(&f, log, &st), ==, STATUS_OK);
        g_assert_cmpuint(cons_last_index(&f.cons), ==, 10);
        append(&f, 1);
        g_assert_cmpint(store_truncate(&f.store, 11, &st), ==, STATUS_OK);
        close_replica(&f, true);
        g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
        g_assert_cmpuint(cons_last_index(&f.cons), ==, 10);
        check_missing(&f, 0);
        close_replica(&f, true);
        g_string_free(log, TRUE);
        g_free(last);
        remove_data_folder(&f);
    }
}

/* Missing entries are remembered over restarts, until the log reaches the last
 * one again; the damaged log is kept. */
static void
test_missing_until_reached(void)
{
    static const struct corruption flip = {.flip_at =
                                               8 + 4 * RECORD_BYTES + 30};
    struct fixture f = {.tail = STORE_TAIL_TOLERANT};
    struct status st;
    GString *damaged;
    char *name;
    char *kept = NULL;
    gsize length = 0;

    make_data_folder(&f, 10);
    corrupt_log(&f, &flip);
    damaged = read_log(&f);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    name = g_build_filename(f.path, "log.damaged", NULL);
    g_assert_true(g_file_get_contents(name, &kept, &length, NULL));
    g_assert_cmpmem(kept, length, damaged->str, damaged->len);
    for (unsigned last = 4; last < 10; last++) {
        static const struct corruption flip_again = {.flip_at = -2};

        close_replica(&f, true);
        if (last == 6) { /* no later record: a torn end */
            corrupt_log(&f, &flip_again);
            g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
            f.cons.term = 0;
            append(&f, 1);
            close_replica(&f, true);
        }
        g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
        check_missing(&f, 10);
        f.cons.term = 0;
        append(&f, 1);
    }
    g_assert_cmpuint(f.cons.missing.index, ==, 0);
    close_replica(&f, true);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    check_missing(&f, 0);
    close_replica(&f, true);
    g_string_free(damaged, TRUE);
    g_free(kept);
    g_free(name);
    remove_data_folder(&f);
}

/* A folder that cannot be repaired is renamed, not deleted. */
static void
test_set_aside(void)
{
    static const char *const names[] = {"identity", "vote", "log"};
    struct fixture f = {.tail = STORE_TAIL_TOLERANT};
    struct status st = {STATUS_OK, ""};
    GString *log;
    char *name;

    make_data_folder(&f, 10);
    log = read_log(&f);
    name = g_build_filename(f.path, "vote", NULL);
    g_assert_true(g_file_set_contents(name, "short", 5, NULL));
    g_free(name);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_DAMAGED);
    close_replica(&f, false);
    st.kind = STATUS_OK;
    g_assert_cmpint(store_set_aside(f.path, &st), ==, STATUS_OK);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *bytes = NULL;
        gsize length = 0;
        char *file = g_strdup_printf("%s/%s.damaged", f.path, names[i]);

        g_assert_true(g_file_get_contents(file, &bytes, &length, NULL));
        g_assert_true(i != 2 || length == log->len);
        g_free(bytes);
        g_free(file);
    }
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(f.store.identity, !=, 1);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 0);
    close_replica(&f, true);
    g_string_free(log, TRUE);
    remove_data_folder(&f);
}

/* A file that exists but cannot be read must be an I/O error: treated as a new
 * disk or as corrupted, it would lose acknowledged entries. */
static void
test_unreadable(gconstpointer data)
{
    const char *name = data;
    struct fixture f = {.tail = STORE_TAIL_TOLERANT};
    struct status st;
    char *path;

    make_data_folder(&f, 3);
    path = g_build_filename(f.path, name, NULL);
    (void)g_unlink(path);
    g_assert_cmpint(g_mkdir(path, 0700), ==, 0);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_IO);
    close_replica(&f, false);
    g_assert_cmpint(g_rmdir(path), ==, 0);
    g_free(path);
    remove_data_folder(&f);
}

/* Term and vote survive a restart; a damaged vote file is refused. */
static void
test_vote(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    char *name;

    make_data_folder(&f, 1);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpint(store_save_term(&f.store, 7, 3, &st), ==, STATUS_OK);
    close_replica(&f, true);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(f.cons.term, ==, 7);
    g_assert_cmpuint(f.cons.voted_for, ==, 3);
    close_replica(&f, true);
    name = g_build_filename(f.path, "vote", NULL);
    g_assert_true(g_file_set_contents(name, "short", 5, NULL));
    g_free(name);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_DAMAGED);
    close_replica(&f, false);
    remove_data_folder(&f);
}

/* A second process must not open the same data folder. */
static void
test_lock(void)
{
    struct fixture f = {0};
    struct fixture other = {0};
    struct status st = {STATUS_OK, ""};

    make_data_folder(&f, 1);
    other.path = f.path;
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpint(open_store(&other, &st), ==, STATUS_REFUSED);
    close_replica(&other, false);
    close_replica(&f, true);
    remove_data_folder(&f);
}

/* An empty data folder must not get the identity of an initial voter. */
static void
test_new_disk(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};

    f.path = g_dir_make_tmp("ridgeridge-store-XXXXXX", NULL);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_false(f.store.founder);
    g_assert_cmpuint(f.store.identity, >, CONS_VOTERS_MAX);
    g_assert_cmpint(store_init(f.path, 1, &st), ==, STATUS_REFUSED);
    close_replica(&f, true);
    remove_data_folder(&f);
}

/* A snapshot replaces the log, also after a crash between the two writes. */
static void
test_snapshot(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    GBytes *state = g_bytes_new_static("state of forty entries", 22);
    char *log;
    char *old = NULL;
    gsize length = 0;

    make_data_folder(&f, 40);
    log = g_build_filename(f.path, "log", NULL);
    g_assert_true(g_file_get_contents(log, &old, &length, NULL));
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    f.cons.commit_index = 40;
    cons_compact(&f.cons, 40, state);
    run_actions(&f);
    append(&f, 3);
    close_replica(&f, true);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(f.cons.snapshot.index, ==, 40);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 43);
    g_assert_true(g_bytes_equal(f.cons.snapshot.state, state));
    close_replica(&f, true);
    /* After a crash: the new snapshot and half of the old log. */
    g_assert_true(g_file_set_contents(log, old, (gssize)length / 2, NULL));
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 40);
    append(&f, 2);
    close_replica(&f, true);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 42);
    close_replica(&f, true);
    g_bytes_unref(state);
    g_free(old);
    g_free(log);
    remove_data_folder(&f);
}

/* Entries that are appended before and after a compaction in one batch of
 * actions. Guards against an entry that is stored twice: the next start would
 * find the log damaged. */
static void
test_compact_in_batch(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    GBytes *state = g_bytes_new_static("state of forty entries", 22);

    make_data_folder(&f, 39);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    propose(&f, 39);
    f.cons.commit_index = 40;
    cons_compact(&f.cons, 40, state);
    propose(&f, 40);
    propose(&f, 41);
    run_actions(&f);
    close_replica(&f, true);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(f.cons.snapshot.index, ==, 40);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 42);
    close_replica(&f, true);
    g_bytes_unref(state);
    remove_data_folder(&f);
}

/* A batch that does not continue the log must be refused: it would leave a
 * gap, or store an entry twice. */
static void
test_append_out_of_order(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    static const uint64_t starts[] = {1, 3, 5, 6, 4, 4};
    struct cons_batch batch;
    const struct cons_action *action;
    size_t count;

    make_data_folder(&f, 3);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    propose(&f, 3);
    action = cons_actions(&f.cons, &count);
    g_assert_cmpint(action->kind, ==, CONS_SAVE_ENTRIES);
    batch = action->batch;
    for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
        batch.first = starts[i];
        st.kind = STATUS_OK;
        (void)store_append(&f.store, &batch, &st);
        g_assert_cmpint(st.kind, ==, i == 4 ? STATUS_OK : STATUS_CONFLICT);
    }
    close_replica(&f, true);
    st.kind = STATUS_OK;
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 4);
    close_replica(&f, true);
    remove_data_folder(&f);
}

/* The log survives a restart, as does its truncation. */
static void
test_restart(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    gint64 started_at;

    make_data_folder(&f, ENTRIES);
    started_at = g_get_monotonic_time();
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_test_message("%d entries read in %.1f ms", ENTRIES,
                   (double)(g_get_monotonic_time() - started_at) / 1000.0);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, ENTRIES);
    g_assert_cmpint(store_truncate(&f.store, 400, &st), ==, STATUS_OK);
    close_replica(&f, true);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 399);
    close_replica(&f, true);
    remove_data_folder(&f);
}

/* A full disk is reported with a remedy, and the replica steps down. */
static void
test_full_disk(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    size_t count;
    int full;

    make_data_folder(&f, 1);
    g_assert_cmpint(open_store(&f, &st), ==, STATUS_OK);
    full = open("/dev/full", O_RDWR);
    if (full >= 0) {
        (void)close(f.store.log_fd);
        f.store.log_fd = full;
        propose(&f, 1);
        g_assert_cmpint(
            store_append(&f.store, &cons_actions(&f.cons, &count)->batch, &st),
            ==, STATUS_IO);
        g_assert_nonnull(strstr(st.message, "check space"));
    }
    cons_fail(&f.cons);
    cons_tick(&f.cons, 1000000);
    g_assert_cmpint(f.cons.role, ==, CONS_FOLLOWER);
    close_replica(&f, true);
    remove_data_folder(&f);
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(corruptions); i++) {
        (void)snprintf(path, sizeof(path), "/store/harm/%s",
                       corruptions[i].name);
        g_test_add_data_func(path, &corruptions[i], test_corruption);
    }
    g_test_add_data_func("/store/unreadable/identity", "identity",
                         test_unreadable);
    g_test_add_data_func("/store/unreadable/vote", "vote", test_unreadable);
    g_test_add_data_func("/store/unreadable/snapshot", "snapshot",
                         test_unreadable);
    g_test_add_data_func("/store/unreadable/log", "log", test_unreadable);
    g_test_add_func("/store/vote", test_vote);
    g_test_add_func("/store/repeated-record", test_repeated_record);
    g_test_add_func("/store/missing-until-reached",
                    test_missing_until_reached);
    g_test_add_func("/store/set-aside", test_set_aside);
    g_test_add_func("/store/lock", test_lock);
    g_test_add_func("/store/new-disk", test_new_disk);
    g_test_add_func("/store/snapshot", test_snapshot);
    g_test_add_func("/store/compact-in-batch", test_compact_in_batch);
    g_test_add_func("/store/append-out-of-order", test_append_out_of_order);
    g_test_add_func("/store/restart", test_restart);
    g_test_add_func("/store/full", test_full_disk);
    return g_test_run();
}
