/* ridgeridge report burn: how fast services spend their error budgets. */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "burn.h"
#include "cmd.h"
#include "explain.h"

/* Alarms of the multi-window method: a long and a short window together. */
#define FAST_BURN 14.4 /* 1h and 5m: 2% of a 30-day budget in an hour */
#define SLOW_BURN 6.0  /* 6h and 30m: 5% of it in six hours */

/* The sums of one service over all entries. */
struct total {
    char name[64];
    uint64_t budget;
    uint64_t good[BURN_WINDOWS];
    uint64_t all[BURN_WINDOWS];
};

/* Finds or adds a service. */
static struct total *
find_total(GArray *totals, const char *name)
{
    struct total new = {.budget = 0};

    for (guint i = 0; i < totals->len; i++) {
        struct total *t = &g_array_index(totals, struct total, i);

        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    g_strlcpy(new.name, name, sizeof(new.name));
    g_array_append_val(totals, new);
    return &g_array_index(totals, struct total, totals->len - 1);
}

/* Adds what one entry says. */
static void
add_answer(GArray *totals, json_object *services)
{
    for (size_t i = 0; i < json_object_array_length(services); i++) {
        json_object *s = json_object_array_get_idx(services, i);
        struct total *t = find_total(totals, client_text(s, "service"));
        json_object *windows = NULL;

        t->budget = (uint64_t)client_number(s, "budget_per_ten_thousand");
        (void)json_object_object_get_ex(s, "windows", &windows);
        for (int w = 0; w < BURN_WINDOWS; w++) {
            json_object *one = json_object_array_get_idx(windows, (size_t)w);

            t->good[w] += (uint64_t)client_number(one, "good");
            t->all[w] += (uint64_t)client_number(one, "all");
        }
    }
}

/* Burn of one window of a service. */
static double
rate(const struct total *t, int window)
{
    return burn_rate(t->good[window], t->all[window], t->budget);
}

/* Names the alarm of a service. Windows: 0 5m, 1 30m, 2 1h, 3 6h. */
static const char *
alarm_of(const struct total *t)
{
    if (rate(t, 2) > FAST_BURN && rate(t, 0) > FAST_BURN) {
        return "page";
    }
    if (rate(t, 3) > SLOW_BURN && rate(t, 1) > SLOW_BURN) {
        return "ticket";
    }
    return "none";
}

/* Prints the table. */
static void
print_table(const GArray *totals)
{
    (void)printf("%-16s %8s %8s %8s %8s %10s  alarm\n", "service", "5m", "30m",
                 "1h", "6h", "events 6h");
    for (guint i = 0; i < totals->len; i++) {
        const struct total *t = &g_array_index(totals, struct total, i);

        (void)printf("%-16s %8.2f %8.2f %8.2f %8.2f %10llu  %s\n", t->name,
                     rate(t, 0), rate(t, 1), rate(t, 2), rate(t, 3),
                     (unsigned long long)t->all[3], alarm_of(t));
    }
}

/* Prints the sums as JSON. */
static void
print_json(const GArray *totals)
{
    json_object *out = json_object_new_array();

    for (guint i = 0; i < totals->len; i++) {
        const struct total *t = &g_array_index(totals, struct total, i);
        json_object *one = json_object_new_object();

        json_object_object_add(one, "service",
                               json_object_new_string(t->name));
        for (int w = 0; w < BURN_WINDOWS; w++) {
            const char *name;

            (void)burn_window(w, &name);
            json_object_object_add(one, name,
                                   json_object_new_double(rate(t, w)));
        }
        json_object_object_add(one, "alarm",
                               json_object_new_string(alarm_of(t)));
        json_object_array_add(out, one);
    }
    (void)printf("%s\n",
                 json_object_to_json_string_ext(out, JSON_C_TO_STRING_PRETTY));
    json_object_put(out);
}

/* Writes a script that an operator gives to gnuplot. */
static enum status_kind
write_plot(const GArray *totals, const char *path, struct status *st)
{
    FILE *file = fopen(path, "we");

    if (file == NULL) {
        return status_set(st, STATUS_IO, "%s: %s; name a file to write", path,
                          g_strerror(errno));
    }
    (void)fprintf(file,
                  "set terminal svg size 800,400\nset output '%s.svg'\n"
                  "set style data histogram\nset style fill solid\n"
                  "set ylabel 'burn (1 spends exactly the budget)'\n"
                  "set key outside\n$burn << EOD\nservice 5m 30m 1h 6h\n",
                  path);
    for (guint i = 0; i < totals->len; i++) {
        const struct total *t = &g_array_index(totals, struct total, i);

        (void)fprintf(file, "\"%s\" %.3f %.3f %.3f %.3f\n", t->name,
                      rate(t, 0), rate(t, 1), rate(t, 2), rate(t, 3));
    }
    (void)fprintf(file, "EOD\nplot for [c=2:5] $burn using c:xtic(1) title "
                        "columnheader(c)\n");
    (void)fclose(file);
    (void)printf("run `gnuplot %s`; it makes %s.svg\n", path, path);
    return STATUS_OK;
}

/* Asks every entry and prints the burn. */
static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    GArray *totals = g_array_new(FALSE, TRUE, sizeof(struct total));
    GString *silent = g_string_new("");
    struct settings settings;
    struct client_credentials credentials;
    json_object *answers;

    if (strcmp(args[0], "burn") != 0) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "\"%s\" is no report; name burn", args[0]);
    }
    else if (cmd_load(options, &settings, &credentials, st) == STATUS_OK) {
        answers = explain_ask_entries(&settings, &credentials,
                                      "/.ridgeridge/burn", silent, st);
        for (size_t i = 0; i < json_object_array_length(answers); i++) {
            add_answer(totals, json_object_array_get_idx(answers, i));
        }
        json_object_put(answers);
        settings_free(&settings);
        if (options->json) {
            print_json(totals);
        }
        else {
            print_table(totals);
        }
        if (silent->len > 0) {
            (void)printf("not learned from: %s\n", silent->str);
        }
        if (options->plot != NULL) {
            (void)write_plot(totals, options->plot, st);
        }
    }
    g_string_free(silent, TRUE);
    g_array_free(totals, TRUE);
    return st->kind;
}

const struct cmd cmd_report = {
    .name = "report",
    .args = "burn",
    .min_args = 1,
    .max_args = 1,
    .takes = CMD_SETTINGS | CMD_CREDENTIALS | CMD_JSON | CMD_PLOT,
    .help = "Report how fast each service spends its error budget, over "
            "four windows.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
