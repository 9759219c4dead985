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
    Millis from = 0, to = 0;
    std::string what;  // of a life its build, and how it ended if it did; else what was done to it
};
struct CutReport {
    std::string name, what;  // of the rule: what it does to whom
    Millis from = 0, to = 0;
};
struct MessageSecond {
    std::uint64_t sent = 0, delivered = 0, bytes = 0;  // bytes: delivered
};

struct SidecarsReport {
    std::vector<SidecarSpan> lives, troubles;
    std::vector<CutReport> cuts;
    std::vector<MessageSecond> seconds;
    std::uint64_t sent = 0, delivered = 0, bytes = 0, too_long = 0;
    double price = 0;  // points of goodput
    // Who heard whom: messages delivered, by sender and then by receiver. Empty beyond kMaxInMatrix
    // sidecars.
    std::vector<std::vector<std::uint64_t>> heard;
};

class SidecarLog {
public:
    static constexpr std::size_t kMaxInMatrix = 64;  // beyond it a page can't show it

    explicit SidecarLog(const Scenario& scenario);

    void began(Millis now, std::uint32_t who, const std::string& build);
    void ended(Millis now, std::uint32_t who, const std::string& how);
    void paused(Millis now, std::uint32_t who);
    void woke(Millis now, std::uint32_t who);
    void starved(Millis now, std::uint32_t who, double share);  // 1: no longer

    void sent(Millis now, std::size_t bytes);
    void delivered(Millis now, std::uint32_t from, std::uint32_t to, std::size_t bytes);

    // first_tries: what the price is a share of.
    SidecarsReport report(Millis now, std::uint64_t first_tries) const;

private:
    MessageSecond* second(Millis now);
    static void close(std::vector<SidecarSpan>& spans, std::uint32_t who, Millis now, const std::string& how);

    const Scenario& scenario_;
    std::vector<SidecarSpan> lives_, pauses_, starved_;  // to < 0: still going on
    SidecarsReport messages_;
};

}  // namespace elmbay::simulation
