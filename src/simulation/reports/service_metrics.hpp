// What clients and servers got out of it: goodput, latency, work; by class, by second, by server.
#pragma once

#include <vector>

#include "simulation/models/client_model.hpp"
#include "simulation/reports/latency_histogram.hpp"

namespace elmbay::simulation {

struct ClassReport {
    std::string name;
    std::uint64_t requested = 0, within_objective = 0, late = 0, rejected = 0, failed = 0, abandoned = 0;
    double offered_value = 0, delivered_value = 0;
    Millis p50 = 0, p90 = 0, p99 = 0, max_latency = 0;  // of what was served, from the first try on
    double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
};
struct SecondReport {  // by the second in which the first try was sent
    std::uint64_t requested = 0, within_objective = 0;
    double offered_value = 0, delivered_value = 0;
    Millis p50 = 0, p99 = 0;
    double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
};
// How a rush (from the first fault of kind load to the end of the last) was met, by the time at which
// requests were first asked. Figures are of windows of kWindow; times count in steps of a tenth of a second.
struct SurgeReport {
    static constexpr Millis kWindow = 1000;
    static constexpr double kRecoveredShare = 0.9;  // of the figure that is to be reached

    bool present = false;
    Millis start = 0, end = 0;
    double settled_goodput = 0;  // goodput of its second half
    double onset_ratio = 0;      // the worst of its first two windows, over that
    Millis settling_time = 0;    // from its begin until a window is near the settled figure
    Millis recovery_time =
        0;  // from its end until a window is near what was before it; the rest of the run if none is
};
struct ServerSecond {
    std::uint32_t attempts = 0;
    float work = 0;  // ms of core time sent to it
};

class ServiceMetrics {
public:
    ServiceMetrics(const Scenario& scenario, const ClientModel& clients);

    void on_attempt(Millis now, std::uint32_t server, Millis work);
    // The end of a whole request, with the last answer of its last try. Nothing for one whose client left.
    void on_operation_ended(Millis now, OperationId request, Answer answer);
    void on_client_left(OperationId request);

    struct Report {
        std::vector<ClassReport> classes;
        std::vector<SecondReport> seconds;
        std::vector<std::vector<ServerSecond>> servers;  // by server, then second
        double goodput = 0, min_class_goodput = 0, min_second_goodput = 0, answered_share = 0;
        SurgeReport surge;
    };
    Report report() const;

private:
    SurgeReport surge_report() const;
    double goodput_between(Millis from, Millis to) const;  // of what was asked in between; 1 of nothing

    struct Worth {
        double asked = 0, got = 0;
    };
    const Scenario& scenario_;
    const ClientModel& clients_;
    std::vector<ClassReport> classes_;
    std::vector<SecondReport> seconds_;
    std::vector<std::vector<ServerSecond>> servers_;
    std::vector<LatencyHistogram> by_class_, by_second_;  // of served requests
    std::vector<Worth> tenths_;                           // of seconds
};

}  // namespace elmbay::simulation
