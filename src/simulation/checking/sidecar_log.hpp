/// \file
/// What the sidecars of a run did: which processes ran when, which were paused, which links were cut, and the
/// messages between them. Both drivers record it. No I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// The time of one process, or one time in which a process was paused or had part of a core.
struct SidecarSpan {
    std::uint32_t sidecar = 0;
    Millis start = 0;
    Millis end = 0;
    std::string description;  ///< A process's build, and how it ended; otherwise what was done to it.
};

/// One rule on links, and when it was active.
struct LinkFaultReport {
    std::string name;
    std::string description;  ///< What it does, and between which ends.
    Millis start = 0;
    Millis end = 0;
};

/// Messages between sidecars in one second.
struct MessageSecond {
    std::uint64_t sent = 0;
    std::uint64_t delivered = 0;
    std::uint64_t bytes = 0;  ///< Delivered.
};

/// The record of a run.
struct SidecarActivity {
    std::vector<SidecarSpan> process_spans;
    std::vector<SidecarSpan> impaired_spans;  ///< Paused, or with part of a core.
    std::vector<LinkFaultReport> link_faults;
    std::vector<MessageSecond> message_seconds;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_delivered = 0;
    std::uint64_t message_bytes = 0;       ///< Delivered.
    std::uint64_t oversized_messages = 0;  ///< Longer than MessagesSpec::kMaxMessageBytes.
    double goodput_cost = 0;               ///< Points of goodput charged for message bytes.
    /// Messages delivered, by sender and then by receiver. Empty if there were none, or more sidecars than
    /// SidecarActivityLog::kMaxMatrixSidecars.
    std::vector<std::vector<std::uint64_t>> deliveries;
};

/// Records what a driver observes of sidecars, in order of time. The scenario outlives it. Not thread-safe.
class SidecarActivityLog {
public:
    /// Sidecars beyond which deliveries are not counted by pair: a page could not show them.
    static constexpr std::size_t kMaxMatrixSidecars = 64;

    explicit SidecarActivityLog(const Scenario& scenario);

    void on_started(Millis now, std::uint32_t sidecar, const std::string& build);
    void on_ended(Millis now, std::uint32_t sidecar, const std::string& reason);
    void on_paused(Millis now, std::uint32_t sidecar);
    void on_resumed(Millis now, std::uint32_t sidecar);
    /// \param share  of one core; 1: no longer limited
    void on_cpu_share_changed(Millis now, std::uint32_t sidecar, double share);

    void on_message_sent(Millis now, std::size_t bytes);
    void on_message_delivered(Millis now, std::uint32_t from, std::uint32_t to, std::size_t bytes);

    /// The record up to `now`.
    ///
    /// \param operations  over which the cost of messages is spread
    SidecarActivity report(Millis now, std::uint64_t operations) const;

private:
    /// Null beyond the end of the scenario.
    MessageSecond* second_at(Millis now);

    const Scenario& scenario_;
    std::vector<SidecarSpan> processes_;  // in these three: end < 0 while it goes on
    std::vector<SidecarSpan> pauses_;
    std::vector<SidecarSpan> cpu_limits_;
    SidecarActivity messages_;  // the parts about messages only
};

}  // namespace elmbay::simulation
