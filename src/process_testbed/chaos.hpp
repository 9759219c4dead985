// Schedules of faults drawn from a seed, played on the program's processes, and the request_history looked at
// after each. A schedule that fails is shrunk to a smallest one that still does, and written down to be kept
// as a test.
#pragma once

#include <string>
#include <vector>

#include "process_testbed/process_testbed.hpp"
#include "process_testbed/shrink.hpp"

namespace elmbay::process_testbed {

struct FaultStep {
    enum class Kind {
        ask,  // a: sidecar; b: class; value: how many
        cut,  // a: sidecar, b: server, or the number of servers for the list; value: 0 both ways, 1 there, 2
              // back
        split,     // a: the first sidecar of the second half, with half of the servers and the list
        heal,      // every cut
        reset,     // a: sidecar, b: server: its connections
        break_at,  // answers of server b end before byte `value`, by reset or half-close
        freeze,
        thaw,
        kill,      // and started again at once
        starve,    // a: sidecar; value: percent of its core
        drain,     // b: server
        restore,   // b: server is active again
        behavior,  // b: server; value: serve, fail, turn away, mute
        wait       // value: ms
    };
    Kind kind = Kind::wait;
    std::size_t a = 0, b = 0;
    std::uint64_t value = 0;
    bool operator==(const FaultStep&) const = default;
};
using Schedule = std::vector<FaultStep>;

// The same for the same seed, on every machine.
Schedule draw_schedule(std::uint64_t seed, std::size_t sidecars, std::size_t servers, std::size_t deeds);
// A line each: "cut 1 0 2". parse_schedule throws std::invalid_argument naming the line.
std::string text_of(const Schedule& schedule);
Schedule parse_schedule(const std::string& text);

struct Verdict {
    bool kept = true;
    std::string explain;  // what was broken, and the history of whom it concerns
    std::uint64_t asked = 0, served = 0;
};
// Starts a testbed, carries the schedule out, heals and thaws everything, waits for every end.
Verdict play(const Options& options, const Schedule& schedule);

}  // namespace elmbay::process_testbed
