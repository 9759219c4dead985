// A schedule of requests and faults: drawn from a seed, written as text, read again.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "process_testbed/server_emulator.hpp"

namespace elmbay::process_testbed {

/// What a FaultStep does. In text each kind has its name, see kFaultStepNames.
enum class FaultStepKind {
    send_requests,      ///< clients of a sidecar send requests of one class
    cut_link,           ///< cuts the link between a sidecar and a server, or its discovery
    partition,          ///< cuts the testbed into two halves
    heal_links,         ///< takes away all cuts and broken responses
    reset_connections,  ///< resets the connections of a sidecar to a server
    break_responses,    ///< the responses of a server end before a byte
    freeze,             ///< stops a sidecar's process
    thaw,               ///< resumes it
    kill,               ///< kills a sidecar and starts it again at once
    limit_cpu,          ///< gives a sidecar a share of its core
    drain,              ///< lists a server as leaving
    restore,            ///< lists a server as active
    set_behavior,       ///< chooses what a server does with requests
    wait                ///< lets time pass
};

/// The directions in which FaultStepKind::cut_link cuts.
enum class CutDirection { both, from_sidecar, to_sidecar };

/// One step of a schedule: a kind and three numbers, whose meaning the kind determines.
///
/// In text a step is one line, "KIND NUMBER NUMBER NUMBER", and all three numbers are always written, those
/// that the kind has no use for as well: a schedule that was kept is byte for byte the one that was drawn.
/// The named accessors give the numbers their meaning; each is of the kinds in its comment only.
class FaultStep {
public:
    /// By default a wait of 0 ms.
    FaultStep() = default;
    FaultStep(FaultStepKind kind, std::uint64_t first, std::uint64_t second, std::uint64_t third)
        : kind_(kind), numbers_{first, second, third} {}

    /// @name Steps that tests write by hand
    /// @{
    static FaultStep send_requests(std::size_t sidecar, std::size_t request_class, std::uint64_t count) {
        return {FaultStepKind::send_requests, sidecar, request_class, count};
    }
    static FaultStep reset_connections(std::size_t sidecar, std::size_t server) {
        return {FaultStepKind::reset_connections, sidecar, server, 0};
    }
    static FaultStep wait(std::uint64_t milliseconds) { return {FaultStepKind::wait, 0, 0, milliseconds}; }
    /// @}

    FaultStepKind kind() const { return kind_; }
    /// The numbers as they are written.
    const std::array<std::uint64_t, 3>& numbers() const { return numbers_; }

    /// The sidecar of all kinds that act on one.
    std::size_t sidecar() const { return numbers_[0]; }
    /// The server of all kinds that act on one; of cut_link the number of servers stands for the discovery.
    std::size_t server() const { return numbers_[1]; }
    /// Of send_requests: index of kRequestClasses.
    std::size_t request_class() const { return numbers_[1]; }
    /// Of send_requests.
    std::uint64_t request_count() const { return numbers_[2]; }
    /// Of cut_link.
    CutDirection cut_direction() const;
    /// Of partition: the first sidecar of the second half.
    std::size_t first_of_second_half() const { return numbers_[0]; }
    /// Of partition: 0 or 1, the half that the discovery is in.
    std::size_t half_of_discovery() const { return numbers_[1] % 2; }
    /// Of break_responses: whether by a reset; else by the end of sending.
    bool breaks_by_reset() const { return numbers_[0] % 2 != 0; }
    /// Of break_responses: the offset of the first byte that does not come.
    std::uint64_t before_byte() const { return numbers_[2]; }
    /// Of limit_cpu: 0.01 for 1 percent.
    double cpu_share() const { return static_cast<double>(numbers_[2]) / 100; }
    /// Of set_behavior.
    ServerBehavior behavior() const;
    /// Of wait.
    Millis wait_duration() const { return static_cast<Millis>(numbers_[2]); }

    bool operator==(const FaultStep&) const = default;

private:
    FaultStepKind kind_ = FaultStepKind::wait;
    std::array<std::uint64_t, 3> numbers_{};
};

using Schedule = std::vector<FaultStep>;

/// The classes of requests that a schedule sends.
constexpr std::array<const char*, 3> kRequestClasses{"listen", "deposit", "annotate"};

/// A line of a schedule's text that is no step.
class ScheduleSyntaxError : public std::invalid_argument {
public:
    ScheduleSyntaxError(std::size_t line, const std::string& text)
        : std::invalid_argument("line " + std::to_string(line) + ": '" + text + "' is no deed"),
          line_(line) {}
    /// @return the line's number, from 1.
    std::size_t line() const { return line_; }

private:
    std::size_t line_;
};

/// Draws a schedule: the same for the same seed, on every machine.
/// @param sidecars 2 at least.
Schedule draw_schedule(std::uint64_t seed, std::size_t sidecars, std::size_t servers, std::size_t steps);

/// @return the schedule as text, a line each: "cut 1 0 2".
std::string text_of(const Schedule& schedule);

/// Reads what text_of() wrote. Empty lines and lines that begin with # are passed over.
/// @throws ScheduleSyntaxError
Schedule parse_schedule(const std::string& text);

}  // namespace elmbay::process_testbed
