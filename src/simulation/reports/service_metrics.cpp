#include "simulation/reports/service_metrics.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::simulation {

namespace {

constexpr Millis kSecond = 1000;
constexpr Millis kTenthOfSecond = 100;
/// Seconds with less than this share of the mean offered value have too little traffic to count as the worst
/// second.
constexpr double kMinTrafficShare = 0.5;
/// Attempts that reach a server later than this after the end of the scenario are not counted in plots.
constexpr std::size_t kMaxTrailingSeconds = 60;

std::size_t intervals(Millis duration, Millis interval) {
    return static_cast<std::size_t>(std::ceil(duration / interval));
}

/// Adds an operation to the counters of a class or a second.
template <class Figures>
void add_operation(Figures& figures, double value, bool is_delivered) {
    ++figures.requested;
    figures.offered_value += value;
    if (!is_delivered) return;
    ++figures.within_objective;
    figures.delivered_value += value;
}

}  // namespace

ServiceMetrics::ServiceMetrics(const Scenario& scenario, const ClientModel& clients)
    : scenario_(scenario),
      clients_(clients),
      classes_(scenario.classes.size()),
      seconds_(intervals(scenario.overview.duration, kSecond)),
      servers_(scenario.fleet.servers),
      class_latencies_(classes_.size()),
      second_latencies_(seconds_.size()),
      values_by_tenth_(intervals(scenario.overview.duration, kTenthOfSecond)) {
    for (std::size_t i = 0; i < classes_.size(); ++i) classes_[i].name = scenario.classes[i].name;
}

void ServiceMetrics::on_attempt(Millis now, std::uint32_t server, Millis work) {
    std::vector<ServerSecond>& seconds = servers_[server];
    const auto second = static_cast<std::size_t>(std::max(0.0, now) / kSecond);
    if (second >= seconds_.size() + kMaxTrailingSeconds) return;
    if (seconds.size() <= second) seconds.resize(second + 1);
    ++seconds[second].attempts;
    seconds[second].work += static_cast<float>(work);
}

void ServiceMetrics::on_operation_ended(Millis now, OperationId operation, ResponseKind response) {
    const ClientArrival& arrival = clients_.arrival_of(operation);
    const ClassSpec& spec = scenario_.classes[arrival.class_index];
    ClassReport& class_report = classes_[arrival.class_index];
    const std::size_t second = std::min(static_cast<std::size_t>(arrival.at / kSecond), seconds_.size() - 1);
    const std::size_t tenth =
        std::min(static_cast<std::size_t>(arrival.at / kTenthOfSecond), values_by_tenth_.size() - 1);
    const Millis latency = now - arrival.at;
    const double value = spec.priority_weight * clients_.work(operation);
    const bool is_served = response == ResponseKind::served;
    const bool is_delivered = is_served && latency <= spec.latency_objective;

    add_operation(class_report, value, is_delivered);
    add_operation(seconds_[second], value, is_delivered);
    values_by_tenth_[tenth].offered += value;
    if (is_delivered) values_by_tenth_[tenth].delivered += value;
    if (is_served) {
        class_latencies_[arrival.class_index].add(latency);
        second_latencies_[second].add(latency);
        if (!is_delivered) ++class_report.late;
    } else if (response == ResponseKind::rejected) {
        ++class_report.rejected;
    } else {
        ++class_report.failed;
    }
}

void ServiceMetrics::on_client_left(OperationId operation) {
    ++classes_[clients_.arrival_of(operation).class_index].abandoned;
}

double ServiceMetrics::goodput_between(Millis start, Millis end) const {
    const auto nearest_tenth = [](Millis time) {
        return static_cast<std::size_t>(std::floor(std::max(0.0, time) / kTenthOfSecond + 0.5));
    };
    const std::size_t last = std::min(nearest_tenth(end), values_by_tenth_.size());
    Value sum;
    for (std::size_t i = nearest_tenth(start); i < last; ++i) {
        sum.offered += values_by_tenth_[i].offered;
        sum.delivered += values_by_tenth_[i].delivered;
    }
    return sum.offered > 0 ? sum.delivered / sum.offered : 1;
}

Millis ServiceMetrics::time_to_reach(double goodput, Millis start, Millis end) const {
    const double target = goodput * SurgeReport::kRecoveredShare;
    Millis at = start;
    while (at + kTenthOfSecond < end && goodput_between(at, at + SurgeReport::kWindow) < target)
        at += kTenthOfSecond;
    return at - start;
}

SurgeReport ServiceMetrics::surge_report() const {
    static constexpr Millis kWindow = SurgeReport::kWindow;
    SurgeReport surge;
    const Millis duration = scenario_.overview.duration;
    for (const FaultSpec& fault : scenario_.faults) {
        if (fault.kind != FaultKind::load_surge) continue;
        const Millis end = fault.duration > 0 ? std::min(fault.start + fault.duration, duration) : duration;
        surge.start = surge.present ? std::min(surge.start, fault.start) : fault.start;
        surge.end = surge.present ? std::max(surge.end, end) : end;
        surge.present = true;
    }
    if (!surge.present) return surge;
    surge.settled_goodput = goodput_between((surge.start + surge.end) / 2, surge.end);
    const double first_window = goodput_between(surge.start, surge.start + kWindow);
    const double second_window =
        goodput_between(surge.start + kWindow, std::min(surge.start + 2 * kWindow, surge.end));
    const double onset = std::min(first_window, second_window);
    surge.onset_ratio = surge.settled_goodput > 0 ? onset / surge.settled_goodput : 1;
    surge.settling_time = time_to_reach(surge.settled_goodput, surge.start, surge.end);
    const double goodput_before = surge.start > 0 ? goodput_between(0, surge.start) : 1;
    surge.recovery_time = time_to_reach(goodput_before, surge.end, duration);
    return surge;
}

ServiceMetrics::Report ServiceMetrics::report() const {
    Report report;
    report.classes = classes_;
    report.seconds = seconds_;
    report.servers = servers_;
    report.min_class_goodput = 1;
    report.min_second_goodput = 1;
    Value total;
    std::uint64_t requested = 0;
    std::uint64_t served = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        const LatencyHistogram& latencies = class_latencies_[i];
        ClassReport& row = report.classes[i];
        row.p50 = latencies.quantile(0.5);
        row.p90 = latencies.quantile(0.9);
        row.p99 = latencies.quantile(0.99);
        row.max_latency = latencies.max();
        served += latencies.count();
        requested += row.requested;
        total.offered += row.offered_value;
        total.delivered += row.delivered_value;
        report.min_class_goodput = std::min(report.min_class_goodput, row.goodput());
    }
    const double min_traffic = total.offered * kMinTrafficShare;
    for (std::size_t i = 0; i < seconds_.size(); ++i) {
        report.seconds[i].p50 = second_latencies_[i].quantile(0.5);
        report.seconds[i].p99 = second_latencies_[i].quantile(0.99);
        if (seconds_[i].offered_value * static_cast<double>(seconds_.size()) < min_traffic) continue;
        report.min_second_goodput = std::min(report.min_second_goodput, seconds_[i].goodput());
    }
    report.surge = surge_report();
    report.goodput = total.offered > 0 ? total.delivered / total.offered : 1;
    report.answered_share = requested > 0 ? static_cast<double>(served) / static_cast<double>(requested) : 1;
    return report;
}

}  // namespace elmbay::simulation
