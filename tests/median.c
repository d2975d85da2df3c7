/* Medians of samples. */
#include "median.h"

#include <stdlib.h>

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

void
median_sort(double *values, size_t count)
{
    qsort(values, count, sizeof(*values), compare_doubles);
}

double
median_of(double *values, size_t count)
{
    median_sort(values, count);
    return values[count / 2];
}
