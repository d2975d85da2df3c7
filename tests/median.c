/* Medians. */
#include "median.h"

#include <stdlib.h>

/* Orders numbers. */
static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/* Sorts numbers. */
void
median_sort(double *values, size_t count)
{
    qsort(values, count, sizeof(*values), compare);
}

/* Sorts numbers and takes the middle one. */
double
median_of(double *values, size_t count)
{
    median_sort(values, count);
    return values[count / 2];
}
