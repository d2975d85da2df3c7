/*
 * What a control replica keeps on disk: torn tails, damage, a crash between
 * snapshot and log, and restarts, on real files.
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

/* An open folder and the log written to it. */
struct fixture {
    char *path;
    struct store store;
    struct cons cons;
    enum store_tail_policy tail;
};

/* Opens a folder as a replica would. */
static enum status_kind
open_folder(struct fixture *f, struct status *st)
{
    const uint32_t replicas[1] = {1};
    wire_voter voter = {.replica = 1, .identity = 1};
    wire_config founders = {.voters = {.voters_len = 1, .voters_val = &voter}};
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
    cons_open(&f->cons, 1, 1, f->store.identity, replicas, 1, &founders, 1,
              &stored);
    return STATUS_OK;
}

/* Closes what open_folder() opened. */
static void
close_folder(struct fixture *f, bool opened)
{
    if (opened) {
        cons_close(&f->cons);
    }
    store_close(&f->store);
}

/* Appends entries through consensus and stores them. */
static void
append(struct fixture *f, unsigned count)
{
    struct status st = {STATUS_OK, ""};

    for (unsigned i = 0; i < count; i++) {
        wire_command command = {.kind = WIRE_CMD_STEP};
        uint64_t index;

        f->cons.role = CONS_LEADER;
        command.wire_command_u.rollout.bundle_version = i + 1;
        index = cons_propose(&f->cons, i, &command);
        g_assert_cmpuint(index, >, 0);
        g_assert_cmpint(store_append(&f->store, &f->cons, index, 1, &st), ==,
                        STATUS_OK);
        cons_clear_actions(&f->cons);
    }
}

/* Makes a founder's folder with some entries in it. */
static void
make_folder(struct fixture *f, unsigned entries)
{
    struct status st = {STATUS_OK, ""};

    f->path = g_dir_make_tmp("ridgeridge-store-XXXXXX", NULL);
    g_assert_cmpint(store_init(f->path, 1, &st), ==, STATUS_OK);
    g_assert_cmpint(open_folder(f, &st), ==, STATUS_OK);
    append(f, entries);
    close_folder(f, true);
}

/* Removes the folder. */
static void
remove_folder(struct fixture *f)
{
    static const char *const names[] = {"identity", "vote", "log", "snapshot",
                                        "lock"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *name = g_build_filename(f->path, names[i], NULL);

        (void)g_unlink(name);
        g_free(name);
    }
    (void)g_rmdir(f->path);
    g_free(f->path);
}

/* Changes bytes of the log file, or its length. */
struct harm {
    const char *name;
    long flip_at; /* from the start, or from the end when negative */
    long cut;     /* bytes off the end */
    long zeros;   /* bytes of zero added at the end */
    long junk;    /* bytes of junk added at the end */
    enum status_kind expect;
    unsigned kept; /* entries left of ten */
    enum store_tail_policy tail;
};

static const struct harm harms[] = {
    {"untouched", 0, 0, 0, 0, STATUS_OK, 10, STORE_TAIL_STRICT},
    {"torn-in-a-command", 0, 3, 0, 0, STATUS_OK, 9, STORE_TAIL_STRICT},
    {"torn-in-a-header", 0, 75, 0, 0, STATUS_OK, 8, STORE_TAIL_STRICT},
    {"zeros-at-the-end", 0, 0, 500, 0, STATUS_OK, 10, STORE_TAIL_STRICT},
    {"few-bytes-at-the-end", 0, 0, 0, 7, STATUS_OK, 10, STORE_TAIL_STRICT},
    {"junk-at-the-end", 0, 0, 0, 200, STATUS_DAMAGED, 0, STORE_TAIL_STRICT},
    {"flip-in-the-first-record", 30, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_STRICT},
    {"flip-in-the-last-record", -2, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_STRICT},
    {"flip-in-the-magic", 2, 0, 0, 0, STATUS_DAMAGED, 0, STORE_TAIL_STRICT},
    {"empty", 0, 1000000, 0, 0, STATUS_OK, 0, STORE_TAIL_STRICT},
    /* Where a loss of power may tear what was not synced. */
    {"torn/untouched", 0, 0, 0, 0, STATUS_OK, 10, STORE_TAIL_TOLERANT},
    {"torn/cut-in-a-command", 0, 3, 0, 0, STATUS_OK, 9, STORE_TAIL_TOLERANT},
    {"torn/flip-in-the-last-record", -2, 0, 0, 0, STATUS_OK, 9,
     STORE_TAIL_TOLERANT},
    {"torn/junk-at-the-end", 0, 0, 0, 200, STATUS_OK, 10, STORE_TAIL_TOLERANT},
    {"torn/zeros-at-the-end", 0, 0, 500, 0, STATUS_OK, 10,
     STORE_TAIL_TOLERANT},
    {"torn/flip-before-a-later-sync", 30, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_TOLERANT},
    {"torn/flip-in-the-magic", 2, 0, 0, 0, STATUS_DAMAGED, 0,
     STORE_TAIL_TOLERANT},
};

/* Harms the log file. */
static void
do_harm(const struct fixture *f, const struct harm *h)
{
    char *name = g_build_filename(f->path, "log", NULL);
    char *bytes = NULL;
    gsize length = 0;
    GString *out;

    g_assert_true(g_file_get_contents(name, &bytes, &length, NULL));
    out = g_string_new_len(bytes, (gssize)length);
    if (h->flip_at != 0) {
        size_t at =
            h->flip_at > 0 ? (size_t)h->flip_at : length - (size_t)-h->flip_at;

        out->str[at] ^= 0x10;
    }
    g_string_truncate(out,
                      h->cut >= (long)length ? 0 : length - (gsize)h->cut);
    for (long i = 0; i < h->zeros; i++) {
        g_string_append_c(out, '\0');
    }
    for (long i = 0; i < h->junk; i++) {
        g_string_append_c(out, 'j');
    }
    g_assert_true(g_file_set_contents(name, out->str, (gssize)out->len, NULL));
    g_string_free(out, TRUE);
    g_free(bytes);
    g_free(name);
}

/* Harms a log of ten entries and opens it. */
static void
test_harm(gconstpointer data)
{
    const struct harm *h = data;
    struct fixture f = {.tail = h->tail};
    struct status st;
    bool opened;

    make_folder(&f, 10);
    do_harm(&f, h);
    opened = open_folder(&f, &st) == STATUS_OK;
    g_assert_cmpint(st.kind, ==, h->expect);
    if (opened) {
        g_assert_cmpuint(cons_last_index(&f.cons), ==, h->kept);
        /* What is appended after a cut is there at the next start. */
        append(&f, 2);
        close_folder(&f, true);
        g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
        g_assert_cmpuint(cons_last_index(&f.cons), ==, h->kept + 2);
    }
    else {
        g_assert_nonnull(strstr(st.message, "move the data folder aside"));
    }
    close_folder(&f, opened);
    remove_folder(&f);
}

/* A file that is there and cannot be read is neither a new disk nor damage:
 * either would throw away what was acknowledged. */
static void
test_unreadable(gconstpointer data)
{
    const char *name = data;
    struct fixture f = {.tail = STORE_TAIL_TOLERANT};
    struct status st;
    char *path;

    make_folder(&f, 3);
    path = g_build_filename(f.path, name, NULL);
    (void)g_unlink(path);
    g_assert_cmpint(g_mkdir(path, 0700), ==, 0);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_IO);
    close_folder(&f, false);
    g_assert_cmpint(g_rmdir(path), ==, 0);
    g_free(path);
    remove_folder(&f);
}

/* Term and vote last over a restart; a damaged vote refuses to start. */
static void
test_vote(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    char *name;

    make_folder(&f, 1);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpint(store_save_term(&f.store, 7, 3, &st), ==, STATUS_OK);
    close_folder(&f, true);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(f.cons.term, ==, 7);
    g_assert_cmpuint(f.cons.voted_for, ==, 3);
    close_folder(&f, true);
    name = g_build_filename(f.path, "vote", NULL);
    g_assert_true(g_file_set_contents(name, "short", 5, NULL));
    g_free(name);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_DAMAGED);
    close_folder(&f, false);
    remove_folder(&f);
}

/* A second process may not use the folder. */
static void
test_lock(void)
{
    struct fixture f = {0};
    struct fixture other = {0};
    struct status st = {STATUS_OK, ""};

    make_folder(&f, 1);
    other.path = f.path;
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpint(open_folder(&other, &st), ==, STATUS_REFUSED);
    close_folder(&other, false);
    close_folder(&f, true);
    remove_folder(&f);
}

/* A folder without an identity gets one that is no founder's. */
static void
test_new_disk(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};

    f.path = g_dir_make_tmp("ridgeridge-store-XXXXXX", NULL);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_false(f.store.founder);
    g_assert_cmpuint(f.store.identity, >, CONS_VOTERS_MAX);
    g_assert_cmpint(store_init(f.path, 1, &st), ==, STATUS_REFUSED);
    close_folder(&f, true);
    remove_folder(&f);
}

/* A snapshot replaces the log; a crash between the two is survived. */
static void
test_snapshot(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    GBytes *state = g_bytes_new_static("state of forty entries", 22);
    char *log;
    char *old = NULL;
    gsize length = 0;

    make_folder(&f, 40);
    log = g_build_filename(f.path, "log", NULL);
    g_assert_true(g_file_get_contents(log, &old, &length, NULL));
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    f.cons.commit_index = 40;
    cons_compact(&f.cons, 40, state);
    g_assert_cmpint(store_save_snapshot(&f.store, &f.cons, &st), ==,
                    STATUS_OK);
    append(&f, 3);
    close_folder(&f, true);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(f.cons.snapshot.index, ==, 40);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 43);
    g_assert_true(g_bytes_equal(f.cons.snapshot.state, state));
    close_folder(&f, true);
    /* The crash: the new snapshot with the old, shorter log. */
    g_assert_true(g_file_set_contents(log, old, (gssize)length / 2, NULL));
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 40);
    append(&f, 2);
    close_folder(&f, true);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 42);
    close_folder(&f, true);
    g_bytes_unref(state);
    g_free(old);
    g_free(log);
    remove_folder(&f);
}

/* Five hundred entries are read again, and a cut of the end lasts. */
static void
test_restart(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    gint64 began;

    make_folder(&f, ENTRIES);
    began = g_get_monotonic_time();
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_test_message("%d entries read in %.1f ms", ENTRIES,
                   (double)(g_get_monotonic_time() - began) / 1000.0);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, ENTRIES);
    g_assert_cmpint(store_truncate(&f.store, 400, &st), ==, STATUS_OK);
    close_folder(&f, true);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    g_assert_cmpuint(cons_last_index(&f.cons), ==, 399);
    close_folder(&f, true);
    remove_folder(&f);
}

/* An error of the disk is reported, with the remedy. */
static void
test_full(void)
{
    struct fixture f = {0};
    struct status st = {STATUS_OK, ""};
    int full;

    make_folder(&f, 1);
    g_assert_cmpint(open_folder(&f, &st), ==, STATUS_OK);
    full = open("/dev/full", O_RDWR);
    if (full >= 0) {
        (void)close(f.store.log_fd);
        f.store.log_fd = full;
        g_assert_cmpint(store_append(&f.store, &f.cons, 1, 1, &st), ==,
                        STATUS_IO);
        g_assert_nonnull(strstr(st.message, "check space"));
    }
    cons_fail(&f.cons);
    cons_tick(&f.cons, 1000000);
    g_assert_cmpint(f.cons.role, ==, CONS_FOLLOWER);
    close_folder(&f, true);
    remove_folder(&f);
}

/* Adds the tables. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(harms); i++) {
        (void)snprintf(path, sizeof(path), "/store/harm/%s", harms[i].name);
        g_test_add_data_func(path, &harms[i], test_harm);
    }
    g_test_add_data_func("/store/unreadable/identity", "identity",
                         test_unreadable);
    g_test_add_data_func("/store/unreadable/vote", "vote", test_unreadable);
    g_test_add_data_func("/store/unreadable/snapshot", "snapshot",
                         test_unreadable);
    g_test_add_data_func("/store/unreadable/log", "log", test_unreadable);
    g_test_add_func("/store/vote", test_vote);
    g_test_add_func("/store/lock", test_lock);
    g_test_add_func("/store/new-disk", test_new_disk);
    g_test_add_func("/store/snapshot", test_snapshot);
    g_test_add_func("/store/restart", test_restart);
    g_test_add_func("/store/full", test_full);
    return g_test_run();
}
