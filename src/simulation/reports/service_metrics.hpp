/// @file
/// Metrics of the service: goodput and latency by request class and by second, and work sent to each server
/// by second.
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
    std::uint64_t late = 0;              ///< Served after the objective.
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;  ///< The client disconnected; not counted in the other fields.
    double offered_value = 0;
    double delivered_value = 0;
    Millis p50 = 0;  ///< Latency quantiles cover served operations, from their first request.
    Millis p90 = 0;
    Millis p99 = 0;
    Millis max_latency = 0;
    double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
};

/// Outcomes of the operations whose first request was sent in one second. The fields are those of
/// ClassReport.
struct SecondReport {
    std::uint64_t requested = 0;
    std::uint64_t within_objective = 0;
    double offered_value = 0;
    double delivered_value = 0;
    Millis p50 = 0;
    Millis p99 = 0;
    double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
};

/// Goodput before, during and after a load surge, which lasts from the start of the first fault of kind
/// load_surge to the end of the last. Operations count at the time of their first request. Times are
/// multiples of 100 ms.
struct SurgeReport {
    /// Time over which a goodput is measured.
    static constexpr Millis kWindow = 1000;
    /// Share of a goodput at which the goodput counts as reached.
    static constexpr double kRecoveredShare = 0.9;

    bool present = false;
    Millis start = 0;
    Millis end = 0;
    double settled_goodput = 0;  ///< Goodput in the second half of the surge.
    /// Goodput in the worse of the first two windows of the surge, divided by settled_goodput.
    double onset_ratio = 0;
    Millis settling_time = 0;  ///< Time from the start of the surge until a window reaches settled_goodput.
    /// Time from the end of the surge until a window reaches the goodput before the surge, or until the end
    /// of the run.
    Millis recovery_time = 0;
};

/// Attempts and work sent to one server in one second.
struct ServerSecond {
    std::uint32_t attempts = 0;
    float work = 0;  ///< Milliseconds of core time.
};

/// Collects the outcomes of a run. Scenario and client model must outlive it. Memory use does not grow with
/// the number of operations. Not thread-safe.
class ServiceMetrics {
public:
    ServiceMetrics(const Scenario& scenario, const ClientModel& clients);

    /// Records that an attempt with the given work reached a server.
    void on_attempt(Millis now, std::uint32_t server, Millis work);
    /// Records that an operation ended with `response` to its last request. Not called if the client
    /// disconnected.
    void on_operation_ended(Millis now, OperationId operation, ResponseKind response);
    void on_client_left(OperationId operation);

    /// Metrics of a run.
    struct Report {
        std::vector<ClassReport> classes;
        std::vector<SecondReport> seconds;
        std::vector<std::vector<ServerSecond>> servers;  ///< Indexed by server, then by second.
        double goodput = 0;                              ///< Delivered value over offered value.
        double min_class_goodput = 0;                    ///< Goodput of the worst class.
        double min_second_goodput = 0;                   ///< Goodput of the worst second with enough traffic.
        double answered_share = 0;  ///< Share of operations that were served, in time or late.
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
    /// Returns the goodput of operations whose first request was sent between `start` and `end`; 1 if there
    /// were none.
    double goodput_between(Millis start, Millis end) const;
    /// Returns the time from `start` until a window reaches kRecoveredShare of the goodput, or until `end`.
    Millis time_to_reach(double goodput, Millis start, Millis end) const;

    const Scenario& scenario_;
    const ClientModel& clients_;
    std::vector<ClassReport> classes_;
    std::vector<SecondReport> seconds_;
    std::vector<std::vector<ServerSecond>> servers_;
    std::vector<LatencyHistogram> class_latencies_;
    std::vector<LatencyHistogram> second_latencies_;
    std::vector<Value> values_by_tenth_;  // one entry for each 100 ms
};

}  // namespace elmbay::simulation
