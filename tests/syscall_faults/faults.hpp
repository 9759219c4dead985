// Fault injection for system calls on loopback sockets, for tests only.
//
// faults.cpp defines replacements of the C library's socket calls. Each forwards to the original function or
// fails with an error that Linux documents for it. The file is compiled into a library that a test loads into
// the program under test (LD_PRELOAD), and into test programs whose own calls are to fail. The released
// program never contains it.
//
// A specification consists of rules and an optional seed, separated by spaces. The environment variable
// SYSCALL_FAULTS has the same format:
//
//     seed=7 send:SHORT=0.25 recv:EINTR=0.1 connect:ENETUNREACH=x20 recv@out:ETIMEDOUT=0.01
//
// A rule has the form CALL[@SIDE]:FAULT=AMOUNT. AMOUNT is the probability that a call fails, drawn from the
// seeded generator, or xN: the first N calls fail. SIDE is `in` for accepted connections and `out` for
// connections that this process opened; a rule without a side applies to both. With the fault SHORT the call
// transfers only a part of the bytes. An error that ends a connection (ETIMEDOUT, EHOSTUNREACH, ECONNRESET,
// EPIPE) is reported once, and the connection is closed from then on. In a process with a preloaded library
// no call fails before its first listen().
#pragma once

#include <cstdint>
#include <string>

namespace elmbay::test::syscall_faults {

/// Replaces the rules of this process. With an empty specification no call fails. Throws
/// std::invalid_argument for an invalid specification.
void configure(const std::string& specification);
/// Returns the number of calls of this process that failed because of rule `rule`, counted from 0 in the
/// specification.
std::uint64_t failed_calls(std::size_t rule);

}  // namespace elmbay::test::syscall_faults
