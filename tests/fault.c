/* Which safeguards a test leaves out. */
#include "fault.h"

bool fault_trials[FAULT_COUNT];
