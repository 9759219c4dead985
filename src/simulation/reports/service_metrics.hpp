/// \file
/// What clients got and what servers were sent: goodput, latency and work, by class, by second and by server.
#pragma once

#include <vector>

#include "simulation/models/client_model.hpp"
#include "simulation/reports/latency_histogram.hpp"

namespace elmbay::simulation {

/// Outcomes of the operations of one class. Value is work times priority weight.
struct ClassReport {
    std::string name;
    std::uint64_t requested = 0;
    std::uint64_t within_objective = 0;  ///< Served within the class's latency objective.
    std::uint64_t late = 0;              ///< Served after it.
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;  ///< The client left; not counted in the other fields.
    double offered_value = 0;
    double delivered_value = 0;
    Millis p50 = 0;  ///< Latencies are of served operations, from their first request on.
    Millis p90 = 0;
    Millis p99 = 0;
    Millis max_latency = 0;
    double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
};

/// Outcomes of the operations whose first request was sent in one second. Fields as in ClassReport.
struct SecondReport {
    std::uint64_t requested = 0;
    std::uint64_t within_objective = 0;
    double offered_value = 0;
    double delivered_value = 0;
    Millis p50 = 0;
    Millis p99 = 0;
    double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
};

/// How a load surge was handled, from the start of the first fault of kind load_surge to the end of the last.
/// Operations count at the time of their first request; times are multiples of a tenth of a second.
struct SurgeReport {
    /// Time over which a goodput is taken.
    static constexpr Millis kWindow = 1000;
    /// Share of a goodput at which it counts as reached.
    static constexpr double kRecoveredShare = 0.9;

    bool present = false;
    Millis start = 0;
    Millis end = 0;
    double settled_goodput = 0;  ///< Of the surge's second half.
    double onset_ratio = 0;      ///< The worse of its first two windows, over settled_goodput.
    Millis settling_time = 0;    ///< From its start until a window reaches settled_goodput.
    /// From its end until a window reaches the goodput before the surge; the rest of the run if none does.
    Millis recovery_time = 0;
};

/// What was sent to one server in one second.
struct ServerSecond {
    std::uint32_t attempts = 0;
    float work = 0;  ///< Milliseconds of core time.
};

/// Collects the outcomes of a run. Scenario and client model outlive it. Memory does not grow with the number
/// of operations. Not thread-safe.
class ServiceMetrics {
public:
    ServiceMetrics(const Scenario& scenario, const ClientModel& clients);

    /// An attempt with that work has reached a server.
    void on_attempt(Millis now, std::uint32_t server, Millis work);
    /// A whole operation ended with `answer` to its last request. Not called if its client left.
    void on_operation_ended(Millis now, OperationId operation, ResponseKind response);
    void on_client_left(OperationId operation);

    /// The figures of a run.
    struct Report {
        std::vector<ClassReport> classes;
        std::vector<SecondReport> seconds;
        std::vector<std::vector<ServerSecond>> servers;  ///< By server, then second.
        double goodput = 0;                              ///< Delivered value over offered value.
        double min_class_goodput = 0;                    ///< Of the worst class.
        double min_second_goodput = 0;                   ///< Of the worst second with enough traffic.
        double answered_share = 0;                       ///< Served operations, in time or late.
        SurgeReport surge;
    };
    Report report() const;

private:
    /// Value of the operations of one interval.
    struct Value {
        double offered = 0;
        double delivered = 0;
    };

    SurgeReport surge_report() const;
    /// Of operations that began in between; 1 if there were none.
    double goodput_between(Millis start, Millis end) const;
    /// Time from `start` until a window has almost that goodput, or until `end`.
    Millis time_to_reach(double goodput, Millis start, Millis end) const;

    const Scenario& scenario_;
    const ClientModel& clients_;
    std::vector<ClassReport> classes_;
    std::vector<SecondReport> seconds_;
    std::vector<std::vector<ServerSecond>> servers_;
    std::vector<LatencyHistogram> class_latencies_;
    std::vector<LatencyHistogram> second_latencies_;
    std::vector<Value> values_by_tenth_;  // of seconds
};

}  // namespace elmbay::simulation
