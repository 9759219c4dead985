/// @file
/// Record of the sidecars of a run: when their processes ran and were paused, which links had faults, and the
/// messages between sidecars. Both drivers use it. It has no I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Time span of one sidecar process, or time span in which a process was paused or had only part of a core.
struct SidecarSpan {
    std::uint32_t sidecar = 0;
    Millis start = 0;
    Millis end = 0;
    std::string description;  ///< Process: its build and how it ended. Otherwise: the impairment.
};

/// One fault rule on links, and the time span in which it was active.
struct LinkFaultReport {
    std::string name;
    std::string description;  ///< Effect of the rule, and the link ends that it affects.
    Millis start = 0;
    Millis end = 0;
};

/// Messages between sidecars in one second.
struct MessageSecond {
    std::uint64_t sent = 0;
    std::uint64_t delivered = 0;
    std::uint64_t bytes = 0;  ///< Bytes delivered.
};

/// Record of the sidecars of one run.
struct SidecarActivity {
    std::vector<SidecarSpan> process_spans;
    /// Spans in which a process was paused or had only part of a core.
    std::vector<SidecarSpan> impaired_spans;
    std::vector<LinkFaultReport> link_faults;
    std::vector<MessageSecond> message_seconds;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_delivered = 0;
    std::uint64_t message_bytes = 0;       ///< Bytes delivered.
    std::uint64_t oversized_messages = 0;  ///< Messages longer than MessagesSpec::kMaxMessageBytes.
    double goodput_cost = 0;               ///< Points of goodput charged for message bytes.
    /// Number of messages delivered, indexed by sender and then by receiver. Empty if no message was
    /// delivered, or if there are more sidecars than SidecarActivityLog::kMaxMatrixSidecars.
    std::vector<std::vector<std::uint64_t>> deliveries;
};

/// Records a driver's observations of sidecars in chronological order. The scenario must outlive the log. Not
/// thread-safe.
class SidecarActivityLog {
public:
    /// Number of sidecars above which deliveries are not counted by pair, because a page cannot show a larger
    /// matrix.
    static constexpr std::size_t kMaxMatrixSidecars = 64;

    explicit SidecarActivityLog(const Scenario& scenario);

    void on_started(Millis now, std::uint32_t sidecar, const std::string& build);
    void on_ended(Millis now, std::uint32_t sidecar, const std::string& reason);
    void on_paused(Millis now, std::uint32_t sidecar);
    void on_resumed(Millis now, std::uint32_t sidecar);
    /// @param share  share of one core; 1: no limit
    void on_cpu_share_changed(Millis now, std::uint32_t sidecar, double share);

    void on_message_sent(Millis now, std::size_t bytes);
    void on_message_delivered(Millis now, std::uint32_t from, std::uint32_t to, std::size_t bytes);

    /// Returns the record up to `now`.
    ///
    /// @param operations  number of operations over which the cost of messages is spread
    SidecarActivity report(Millis now, std::uint64_t operations) const;

private:
    /// Returns null for a time after the end of the scenario.
    MessageSecond* second_at(Millis now);

    const Scenario& scenario_;
    std::vector<SidecarSpan> processes_;  // in the three lists, end < 0 marks an open span
    std::vector<SidecarSpan> pauses_;
    std::vector<SidecarSpan> cpu_limits_;
    SidecarActivity messages_;  // contains only the fields about messages
};

}  // namespace elmbay::simulation
