// System calls of this test program that fail as they are told to. The program's own definitions of the calls
// take the place of the C library's; as long as nothing is planned they only pass on. For one plan at a time.
#pragma once

#include <string>

namespace elmbay::state::test {

struct CallPlan {
    std::string call;  // open, read, write, fsync, flock, rename, remove, mkdir, readdir, pthread_create
    int error = 0;     // errno; 0: reads and writes are short, one byte each
    long after = 0;    // calls of this name that go well first
    long times = 1;    // calls that go wrong then
};

// From now on, until the next plan or no_plan().
void plan_calls(CallPlan plan);
void no_plan();
// How many calls have gone wrong since plan_calls().
long faulted_calls();

}  // namespace elmbay::state::test
