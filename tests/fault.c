/* Safeguards that the current test disables. */
#include "fault.h"

bool fault_trials[FAULT_COUNT];
uint64_t (*fault_work)(const struct evidence *ev,
                       const struct upstream *upstream);
