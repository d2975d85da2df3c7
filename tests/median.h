/**
 * @file median.h
 * Medians, for loads and measurements.
 */
#ifndef RIDGERIDGE_MEDIAN_H
#define RIDGERIDGE_MEDIAN_H

#include <stddef.h>

/** Sorts numbers, least first. */
void median_sort(double *values, size_t count);

/** The median of at least one number; sorts them. */
double median_of(double *values, size_t count);

#endif
