/* Windows that slide. */
#include "window.h"

/* Most of some times in any span. */
unsigned
window_most(const GArray *times, uint64_t ms)
{
    unsigned most = 0;
    guint first = 0;

    for (guint i = 0; i < times->len; i++) {
        while (g_array_index(times, uint64_t, first) + ms <=
               g_array_index(times, uint64_t, i)) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}
