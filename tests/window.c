/* Sliding-window maximum. */
#include "window.h"

unsigned
window_max(const GArray *times, uint64_t ms)
{
    unsigned max = 0;
    guint first = 0;

    for (guint i = 0; i < times->len; i++) {
        while (g_array_index(times, uint64_t, first) + ms <=
               g_array_index(times, uint64_t, i)) {
            first++;
        }
        max = MAX(max, i - first + 1);
    }
    return max;
}
