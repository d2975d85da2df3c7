/* ridgeridge report burn: burn rates of the services' error budgets. */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "burn.h"
#include "cmd.h"
#include "explain.h"

/* Burn rates that raise an alert in both windows; see burn.h. */
#define FAST_BURN 14.4 /* 1h and 5m: 2% of a 30-day budget in 1 h */
#define SLOW_BURN 6.0  /* 6h and 30m: 5% of a 30-day budget in 6 h */

/* Events of one service, summed over the entries. */
struct total {
    char name[64];
    uint64_t budget;
    uint64_t good[BURN_WINDOWS];
    uint64_t events[BURN_WINDOWS];
};

static struct total *
find_or_add(GArray *totals, const char *name)
{
    struct total added = {.budget = 0};

    for (guint i = 0; i < totals->len; i++) {
        struct total *t = &g_array_index(totals, struct total, i);

        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    g_strlcpy(added.name, name, sizeof(added.name));
    g_array_append_val(totals, added);
    return &g_array_index(totals, struct total, totals->len - 1);
}

/* Adds the events of one entry. */
static void
add_entry(GArray *totals, json_object *services)
{
    for (size_t i = 0; i < json_object_array_length(services); i++) {
        json_object *s = json_object_array_get_idx(services, i);
        struct total *t = find_or_add(totals, client_text(s, "service"));
        json_object *windows = NULL;

        t->budget = (uint64_t)client_number(s, "budget_per_ten_thousand");
        (void)json_object_object_get_ex(s, "windows", &windows);
        for (int w = 0; w < BURN_WINDOWS; w++) {
            json_object *one = json_object_array_get_idx(windows, (size_t)w);

            t->good[w] += (uint64_t)client_number(one, "good");
            t->events[w] += (uint64_t)client_number(one, "all");
        }
    }
}

static double
window_burn_rate(const struct total *t, int window)
{
    return burn_rate(t->good[window], t->events[window], t->budget);
}

/* Windows: 0 5m, 1 30m, 2 1h, 3 6h. */
static const char *
alarm_of(const struct total *t)
{
    if (window_burn_rate(t, 2) > FAST_BURN &&
        window_burn_rate(t, 0) > FAST_BURN) {
        return "page";
    }
    if (window_burn_rate(t, 3) > SLOW_BURN &&
        window_burn_rate(t, 1) > SLOW_BURN) {
        return "ticket";
    }
    return "none";
}

static void
print_table(const GArray *totals)
{
    (void)printf("%-16s %8s %8s %8s %8s %10s  alarm\n", "service", "5m", "30m",
                 "1h", "6h", "events 6h");
    for (guint i = 0; i < totals->len; i++) {
        const struct total *t = &g_array_index(totals, struct total, i);

        (void)printf("%-16s %8.2f %8.2f %8.2f %8.2f %10llu  %s\n", t->name,
                     window_burn_rate(t, 0), window_burn_rate(t, 1),
                     window_burn_rate(t, 2), window_burn_rate(t, 3),
                     (unsigned long long)t->events[3], alarm_of(t));
    }
}

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
            json_object_object_add(
                one, name, json_object_new_double(window_burn_rate(t, w)));
        }
        json_object_object_add(one, "alarm",
                               json_object_new_string(alarm_of(t)));
        json_object_array_add(out, one);
    }
    (void)printf("%s\n",
                 json_object_to_json_string_ext(out, JSON_C_TO_STRING_PRETTY));
    json_object_put(out);
}

static enum status_kind
write_plot(const GArray *totals, const char *path, struct status *st)
{
    FILE *file = fopen(path, "we");

    if (file == NULL) {
        return status_set(st, STATUS_IO, "%s: %s; name a writable file", path,
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
                      window_burn_rate(t, 0), window_burn_rate(t, 1),
                      window_burn_rate(t, 2), window_burn_rate(t, 3));
    }
    (void)fprintf(file, "EOD\nplot for [c=2:5] $burn using c:xtic(1) title "
                        "columnheader(c)\n");
    (void)fclose(file);
    (void)printf("run `gnuplot %s` to draw %s.svg\n", path, path);
    return STATUS_OK;
}

static enum status_kind
run(const struct cmd_options *options, const char **args, struct status *st)
{
    GArray *totals = g_array_new(FALSE, TRUE, sizeof(struct total));
    GString *unanswered = g_string_new("");
    struct settings settings;
    struct client_credentials credentials;
    json_object *answers;

    if (strcmp(args[0], "burn") != 0) {
        (void)status_set(st, STATUS_BAD_INPUT,
                         "unknown report \"%s\"; name burn", args[0]);
    }
    else if (cmd_load(options, &settings, &credentials, st) == STATUS_OK) {
        answers = explain_query_entries(&settings, &credentials,
                                        "/.ridgeridge/burn", unanswered, st);
        for (size_t i = 0; i < json_object_array_length(answers); i++) {
            add_entry(totals, json_object_array_get_idx(answers, i));
        }
        json_object_put(answers);
        settings_free(&settings);
        if (options->json) {
            print_json(totals);
        }
        else {
            print_table(totals);
        }
        if (unanswered->len > 0) {
            (void)printf("no answer from: %s\n", unanswered->str);
        }
        if (options->plot != NULL) {
            (void)write_plot(totals, options->plot, st);
        }
    }
    g_string_free(unanswered, TRUE);
    g_array_free(totals, TRUE);
    return st->kind;
}

const struct cmd cmd_report = {
    .name = "report",
    .args = "burn",
    .min_args = 1,
    .max_args = 1,
    .option_flags = CMD_SETTINGS | CMD_CREDENTIALS | CMD_JSON | CMD_PLOT,
    .help = "Report the burn rate of each service's error budget over "
            "four windows.",
    .libraries = LIBRARY_CURL,
    .run = run,
};
