// A schedule of requests and faults. It is drawn from a seed, formatted as text and parsed from text.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "process_testbed/server_emulator.hpp"

namespace elmbay::process_testbed {

/// The effect of a FaultStep. Each kind has a name in text, see kFaultStepNames.
enum class FaultStepKind {
    send_requests,      ///< clients of a sidecar send requests of one class
    cut_link,           ///< cuts the link between a sidecar and a server, or its discovery service
    partition,          ///< partitions the testbed into two halves
    heal_links,         ///< removes all cuts and broken responses
    reset_connections,  ///< resets the connections of a sidecar to a server
    break_responses,    ///< ends the responses of a server before a given byte
    freeze,             ///< stops the process of a sidecar (SIGSTOP)
    thaw,               ///< resumes the process of a sidecar (SIGCONT)
    kill,               ///< kills a sidecar and restarts it immediately
    limit_cpu,          ///< limits a sidecar to a share of its core
    drain,              ///< sets a server's state in the endpoint list to leaving
    restore,            ///< sets a server's state in the endpoint list to active
    set_behavior,       ///< selects how a server handles requests
    wait                ///< waits without injecting a fault
};

/// Directions in which FaultStepKind::cut_link cuts a link.
enum class CutDirection { both, from_sidecar, to_sidecar };

/// One step of a schedule: a kind and three numbers, whose meaning depends on the kind.
///
/// In text a step is one line, "KIND NUMBER NUMBER NUMBER". All three numbers are always written, including
/// those that the kind ignores, so that a schedule read from a file equals the drawn one byte for byte. The
/// named accessors interpret the numbers. Each is valid only for the kinds in its comment.
class FaultStep {
public:
    /// Creates a wait of 0 ms.
    FaultStep() = default;
    FaultStep(FaultStepKind kind, std::uint64_t first, std::uint64_t second, std::uint64_t third)
        : kind_(kind), numbers_{first, second, third} {}

    /// @name Steps for schedules that tests define
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
    /// The numbers in their order in text.
    const std::array<std::uint64_t, 3>& numbers() const { return numbers_; }

    /// For all kinds that act on a sidecar.
    std::size_t sidecar() const { return numbers_[0]; }
    /// For all kinds that act on a server. For cut_link, the number of servers denotes the discovery service.
    std::size_t server() const { return numbers_[1]; }
    /// For send_requests: index into kRequestClasses.
    std::size_t request_class() const { return numbers_[1]; }
    /// For send_requests.
    std::uint64_t request_count() const { return numbers_[2]; }
    /// For cut_link.
    CutDirection cut_direction() const;
    /// For partition: the first sidecar of the second half.
    std::size_t first_of_second_half() const { return numbers_[0]; }
    /// For partition: the half that contains the discovery service, 0 or 1.
    std::size_t half_of_discovery() const { return numbers_[1] % 2; }
    /// For break_responses: true for a reset, false for a half-close.
    bool breaks_by_reset() const { return numbers_[0] % 2 != 0; }
    /// For break_responses: offset of the first byte that is not delivered.
    std::uint64_t before_byte() const { return numbers_[2]; }
    /// For limit_cpu: 0.01 is 1 percent.
    double cpu_share() const { return static_cast<double>(numbers_[2]) / 100; }
    /// For set_behavior.
    ServerBehavior behavior() const;
    /// For wait.
    Millis wait_duration() const { return static_cast<Millis>(numbers_[2]); }

    bool operator==(const FaultStep&) const = default;

private:
    FaultStepKind kind_ = FaultStepKind::wait;
    std::array<std::uint64_t, 3> numbers_{};
};

using Schedule = std::vector<FaultStep>;

/// The request classes that schedules use.
constexpr std::array<const char*, 3> kRequestClasses{"listen", "deposit", "annotate"};

/// A line of a schedule's text is not a valid step.
class ScheduleSyntaxError : public std::invalid_argument {
public:
    ScheduleSyntaxError(std::size_t line, const std::string& text)
        : std::invalid_argument("line " + std::to_string(line) + ": '" + text +
                                "' is not a step (KIND NUMBER NUMBER NUMBER)"),
          line_(line) {}
    /// @return the line's number, from 1.
    std::size_t line() const { return line_; }

private:
    std::size_t line_;
};

/// Draws a schedule. The same arguments give the same schedule on every machine.
/// @param sidecars at least 2.
Schedule draw_schedule(std::uint64_t seed, std::size_t sidecars, std::size_t servers, std::size_t steps);

/// @return the schedule as text, one line per step, such as "cut 1 0 2".
std::string text_of(const Schedule& schedule);

/// Parses the output of text_of(). Ignores empty lines and lines that begin with #.
/// @throws ScheduleSyntaxError
Schedule parse_schedule(const std::string& text);

}  // namespace elmbay::process_testbed
