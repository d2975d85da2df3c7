/**
 * @file cases.h
 * Parameterized tests: one GLib test for each row of a table.
 */
#ifndef RIDGERIDGE_CASES_H
#define RIDGERIDGE_CASES_H

#include <glib.h>
#include <stdio.h>

/** Adds a test named prefix + row.name for each row. The caller declares
 * `char path[]`. */
#define CASES_ADD(prefix, cases, function)                                    \
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                        \
        (void)snprintf(path, sizeof(path), prefix "%s", (cases)[i].name);     \
        g_test_add_data_func(path, &(cases)[i], function);                    \
    }

#endif
