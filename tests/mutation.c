/* Mutation tests: a test must fail while a safeguard is disabled. */
#include "mutation.h"

#include <glib.h>

/* Environment variable: number of the fault for the child process. */
#define FAULT_VARIABLE "RIDGERIDGE_TEST_LEFT_OUT"

void
mutation_init(void)
{
    const char *fault = g_getenv(FAULT_VARIABLE);

    if (fault != NULL) {
        fault_trials[g_ascii_strtoull(fault, NULL, 10)] = true;
    }
}

void
mutation_test(const void *data)
{
    const struct mutation *m = data;
    gchar *number = g_strdup_printf("%d", (int)m->fault);

    g_test_trap_subprocess(m->test, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_test_trap_assert_passed();
    g_assert_true(g_setenv(FAULT_VARIABLE, number, TRUE));
    g_test_trap_subprocess(m->test, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_unsetenv(FAULT_VARIABLE);
    g_test_trap_assert_failed();
    g_free(number);
}
