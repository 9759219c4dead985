// Fault injection for system calls on loopback sockets, for tests only.
//
// faults.cpp defines the C library's socket calls and passes each on to the real one, or fails it as Linux
// documents. It is built twice: as a library that a test loads into the program under test (LD_PRELOAD), and
// into the test program whose own calls are to fail. The program itself never contains it.
//
// What fails is a specification of words, also in the environment as SYSCALL_FAULTS:
//
//     seed=7 send:SHORT=0.25 recv:EINTR=0.1 connect:ENETUNREACH=x20 recv@out:ETIMEDOUT=0.01
//
// A rule is CALL[@SIDE]:FAULT=HOW. HOW is the probability that a call fails, drawn by the seed, or xN: the
// first N calls fail. SIDE is `in` for accepted connections and `out` for connections that this process
// opened; without it the rule holds for both. SHORT transfers a part of the bytes only. An error that ends a
// connection (ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE) is reported once, and the connection has ended from
// then on. Nothing fails before the process listens.
#pragma once

#include <cstdint>
#include <string>

namespace elmbay::test::syscall_faults {

/// Replaces the rules for this process. With an empty specification nothing fails. Throws
/// std::invalid_argument.
void configure(const std::string& specification);
/// How many calls of this process rule number `rule` of the specification, from 0, has made fail.
std::uint64_t failed_calls(std::size_t rule);

}  // namespace elmbay::test::syscall_faults
