#include "simulation/reports/service_metrics.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::simulation {

namespace {

constexpr Millis kTenth = 100;
// Seconds with less than this part of the mean worth say too little to be the worst.
constexpr double kThinSecond = 0.5;

}  // namespace

ServiceMetrics::ServiceMetrics(const Scenario& scenario, const ClientModel& clients)
    : scenario_(scenario),
      clients_(clients),
      classes_(scenario.classes.size()),
      seconds_(static_cast<std::size_t>(std::ceil(scenario.overview.duration / 1000))),
      servers_(scenario.fleet.servers),
      by_class_(classes_.size()),
      by_second_(seconds_.size()),
      tenths_(static_cast<std::size_t>(std::ceil(scenario.overview.duration / kTenth))) {
    for (std::size_t i = 0; i < classes_.size(); ++i) classes_[i].name = scenario.classes[i].name;
}

void ServiceMetrics::on_attempt(Millis now, std::uint32_t server, Millis work) {
    auto& seconds = servers_[server];
    const auto second = static_cast<std::size_t>(std::max(0.0, now) / 1000);
    // The end of a run trails into a few seconds more; beyond that nothing is drawn.
    if (second >= seconds_.size() + 60) return;
    if (seconds.size() <= second) seconds.resize(second + 1);
    ++seconds[second].attempts;
    seconds[second].work += static_cast<float>(work);
}

void ServiceMetrics::on_operation_ended(Millis now, OperationId request, Answer answer) {
    const ClientArrival& ask = clients_.ask(request);
    ClassReport& c = classes_[ask.class_index];
    const auto index = std::min(static_cast<std::size_t>(ask.at / 1000), seconds_.size() - 1);
    SecondReport& second = seconds_[index];
    const double priority_weight =
        scenario_.classes[ask.class_index].priority_weight * clients_.work(request);
    ++c.requested, ++second.requested;
    c.offered_value += priority_weight, second.offered_value += priority_weight;
    Worth& tenth = tenths_[std::min(static_cast<std::size_t>(ask.at / kTenth), tenths_.size() - 1)];
    tenth.asked += priority_weight;
    if (answer == Answer::served) {
        const Millis took = now - ask.at;
        by_class_[ask.class_index].add(took);
        by_second_[index].add(took);
        const bool in_aim = took <= scenario_.classes[ask.class_index].latency_objective;
        c.within_objective += in_aim, c.late += !in_aim, second.within_objective += in_aim;
        if (in_aim)
            c.delivered_value += priority_weight, second.delivered_value += priority_weight,
                tenth.got += priority_weight;
    } else if (answer == Answer::refused) {
        ++c.rejected;
    } else {
        ++c.failed;
    }
}

void ServiceMetrics::on_client_left(OperationId request) {
    ++classes_[clients_.ask(request).class_index].abandoned;
}

double ServiceMetrics::goodput_between(Millis from, Millis to) const {
    Worth sum;
    const auto end = std::min(static_cast<std::size_t>(std::max(0.0, to) / kTenth + 0.5), tenths_.size());
    for (auto i = static_cast<std::size_t>(std::max(0.0, from) / kTenth + 0.5); i < end; ++i)
        sum.asked += tenths_[i].asked, sum.got += tenths_[i].got;
    return sum.asked > 0 ? sum.got / sum.asked : 1;
}

SurgeReport ServiceMetrics::surge_report() const {
    SurgeReport r;
    const Millis length = scenario_.overview.duration;
    for (const FaultSpec& f : scenario_.faults) {
        if (f.kind != FaultKind::load_surge) continue;
        const Millis to = f.duration > 0 ? std::min(f.start + f.duration, length) : length;
        r.start = r.present ? std::min(r.start, f.start) : f.start;
        r.end = r.present ? std::max(r.end, to) : to;
        r.present = true;
    }
    if (!r.present) return r;
    constexpr Millis kW = SurgeReport::kWindow;
    r.settled_goodput = goodput_between((r.start + r.end) / 2, r.end);
    const double worst = std::min(goodput_between(r.start, r.start + kW),
                                  goodput_between(r.start + kW, std::min(r.start + 2 * kW, r.end)));
    r.onset_ratio = r.settled_goodput > 0 ? worst / r.settled_goodput : 1;
    const auto reached = [&](Millis from, Millis end, double figure) {
        Millis at = from;
        while (at + kTenth < end && goodput_between(at, at + kW) < figure * SurgeReport::kRecoveredShare)
            at += kTenth;
        return at - from;
    };
    r.settling_time = reached(r.start, r.end, r.settled_goodput);
    r.recovery_time = reached(r.end, length, r.start > 0 ? goodput_between(0, r.start) : 1);
    return r;
}

ServiceMetrics::Report ServiceMetrics::report() const {
    Report r;
    r.classes = classes_;
    r.seconds = seconds_;
    r.servers = servers_;
    double asked = 0, got = 0;
    std::uint64_t requests = 0, served = 0;
    r.min_class_goodput = r.min_second_goodput = 1;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        const LatencyHistogram& took = by_class_[i];
        ClassReport& c = r.classes[i];
        c.p50 = took.quantile(0.5), c.p90 = took.quantile(0.9), c.p99 = took.quantile(0.99);
        c.max_latency = took.max();
        served += took.count();
        asked += c.offered_value, got += c.delivered_value;
        requests += c.requested;
        r.min_class_goodput = std::min(r.min_class_goodput, c.goodput());
    }
    for (std::size_t i = 0; i < seconds_.size(); ++i) {
        r.seconds[i].p50 = by_second_[i].quantile(0.5), r.seconds[i].p99 = by_second_[i].quantile(0.99);
        if (seconds_[i].offered_value * static_cast<double>(seconds_.size()) >= asked * kThinSecond)
            r.min_second_goodput = std::min(r.min_second_goodput, seconds_[i].goodput());
    }
    r.surge = surge_report();
    r.goodput = asked > 0 ? got / asked : 1;
    r.answered_share = requests > 0 ? static_cast<double>(served) / static_cast<double>(requests) : 1;
    return r;
}

}  // namespace elmbay::simulation
