// Fault injection for the system calls of this test program. The program's own definitions of these functions
// replace those of the C library. Without a fault plan they only forward. One plan is active at a time.
#pragma once

#include <string>

namespace elmbay::state::test {

struct FaultPlan {
    std::string call;  // open, read, write, fsync, flock, rename, remove, mkdir, readdir, pthread_create
    int error = 0;     // errno of the faulted calls; 0: reads and writes transfer one byte only
    long successes_before = 0;  // number of calls that succeed before the first faulted one
    long fault_count = 1;       // number of consecutive calls that are faulted
};

// Activates a plan until the next inject_faults() or clear_faults().
void inject_faults(FaultPlan plan);
void clear_faults();
// Returns the number of calls faulted since the last inject_faults() or clear_faults().
long faulted_calls();

}  // namespace elmbay::state::test
