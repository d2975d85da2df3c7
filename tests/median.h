/**
 * @file median.h
 * Medians of samples, for simulated loads and benchmarks.
 */
#ifndef RIDGERIDGE_MEDIAN_H
#define RIDGERIDGE_MEDIAN_H

#include <stddef.h>

/** Sorts in ascending order. */
void median_sort(double *values, size_t count);

/** Sorts the values and returns their median; count > 0. */
double median_of(double *values, size_t count);

#endif
