/* Tests that must fail when a mechanism is left out. */
#include "mutation.h"

#include <glib.h>

/* Names what is left out to the process that runs the test. */
#define LEFT_OUT "RIDGERIDGE_TEST_LEFT_OUT"

/* Leaves out what the process was started without. */
void
mutation_begin(void)
{
    const char *left_out = g_getenv(LEFT_OUT);

    if (left_out != NULL) {
        fault_trials[g_ascii_strtoull(left_out, NULL, 10)] = true;
    }
}

/* Runs a test with and without its mechanism. */
void
mutation_test(const void *data)
{
    const struct mutation *m = data;
    gchar *number = g_strdup_printf("%d", (int)m->fault);

    g_test_trap_subprocess(m->test, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_test_trap_assert_passed();
    g_assert_true(g_setenv(LEFT_OUT, number, TRUE));
    g_test_trap_subprocess(m->test, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_unsetenv(LEFT_OUT);
    g_test_trap_assert_failed();
    g_free(number);
}
