// The sidecars' side of a run, written down by either driver: who ran when and from which build, who stood
// still, what was cut, and what they said to one another. No I/O and no clock.
#pragma once

#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

// Of one process, or of one time in which it stood still or had part of its core.
struct SidecarSpan {
    std::uint32_t sidecar = 0;
    Millis start = 0, end = 0;
    std::string description;  // of a life its build, and how it ended if it did; else what was done to it
};
struct LinkFaultReport {
    std::string name, description;  // of the rule: what it does to whom
    Millis start = 0, end = 0;
};
struct MessageSecond {
    std::uint64_t sent = 0, delivered = 0, bytes = 0;  // bytes: delivered
};

struct SidecarActivity {
    std::vector<SidecarSpan> process_spans, impaired_spans;
    std::vector<LinkFaultReport> link_faults;
    std::vector<MessageSecond> message_seconds;
    std::uint64_t messages_sent = 0, messages_delivered = 0, message_bytes = 0, oversized_messages = 0;
    double goodput_cost = 0;  // points of goodput
    // Who heard whom: messages delivered, by sender and then by receiver. Empty beyond kMaxInMatrix
    // sidecars.
    std::vector<std::vector<std::uint64_t>> deliveries;
};

class SidecarActivityLog {
public:
    static constexpr std::size_t kMaxMatrixSidecars = 64;  // beyond it a page can't show it

    explicit SidecarActivityLog(const Scenario& scenario);

    void on_started(Millis now, std::uint32_t who, const std::string& build);
    void on_ended(Millis now, std::uint32_t who, const std::string& how);
    void on_paused(Millis now, std::uint32_t who);
    void on_resumed(Millis now, std::uint32_t who);
    void on_cpu_share_changed(Millis now, std::uint32_t who, double share);  // 1: no longer

    void on_message_sent(Millis now, std::size_t bytes);
    void on_message_delivered(Millis now, std::uint32_t from, std::uint32_t to, std::size_t bytes);

    // first_tries: what the price is a share of.
    SidecarActivity report(Millis now, std::uint64_t first_tries) const;

private:
    MessageSecond* second(Millis now);
    static void close_last_span(std::vector<SidecarSpan>& spans, std::uint32_t who, Millis now,
                                const std::string& how);

    const Scenario& scenario_;
    std::vector<SidecarSpan> lives_, pauses_, starved_;  // to < 0: still going on
    SidecarActivity messages_;
};

}  // namespace elmbay::simulation
