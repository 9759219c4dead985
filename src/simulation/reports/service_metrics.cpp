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
      seconds_(static_cast<std::size_t>(std::ceil(scenario.overview.length / 1000))),
      servers_(scenario.fleet.servers),
      by_class_(classes_.size()),
      by_second_(seconds_.size()),
      tenths_(static_cast<std::size_t>(std::ceil(scenario.overview.length / kTenth))) {
    for (std::size_t i = 0; i < classes_.size(); ++i) classes_[i].name = scenario.classes[i].name;
}

void ServiceMetrics::attempt(Millis now, std::uint32_t server, Millis work) {
    auto& seconds = servers_[server];
    const auto second = static_cast<std::size_t>(std::max(0.0, now) / 1000);
    // The end of a run trails into a few seconds more; beyond that nothing is drawn.
    if (second >= seconds_.size() + 60) return;
    if (seconds.size() <= second) seconds.resize(second + 1);
    ++seconds[second].attempts;
    seconds[second].work += static_cast<float>(work);
}

void ServiceMetrics::ended(Millis now, OperationId request, Answer answer) {
    const ClientArrival& ask = clients_.ask(request);
    ClassReport& c = classes_[ask.class_index];
    const auto index = std::min(static_cast<std::size_t>(ask.at / 1000), seconds_.size() - 1);
    SecondReport& second = seconds_[index];
    const double priority_weight =
        scenario_.classes[ask.class_index].priority_weight * clients_.work(request);
    ++c.asked, ++second.asked;
    c.worth_asked += priority_weight, second.worth_asked += priority_weight;
    Worth& tenth = tenths_[std::min(static_cast<std::size_t>(ask.at / kTenth), tenths_.size() - 1)];
    tenth.asked += priority_weight;
    if (answer == Answer::served) {
        const Millis took = now - ask.at;
        by_class_[ask.class_index].add(took);
        by_second_[index].add(took);
        const bool in_aim = took <= scenario_.classes[ask.class_index].latency_objective;
        c.in_aim += in_aim, c.late += !in_aim, second.in_aim += in_aim;
        if (in_aim)
            c.worth_got += priority_weight, second.worth_got += priority_weight, tenth.got += priority_weight;
    } else if (answer == Answer::refused) {
        ++c.refused;
    } else {
        ++c.failed;
    }
}

void ServiceMetrics::left(OperationId request) { ++classes_[clients_.ask(request).class_index].left; }

double ServiceMetrics::goodput(Millis from, Millis to) const {
    Worth sum;
    const auto end = std::min(static_cast<std::size_t>(std::max(0.0, to) / kTenth + 0.5), tenths_.size());
    for (auto i = static_cast<std::size_t>(std::max(0.0, from) / kTenth + 0.5); i < end; ++i)
        sum.asked += tenths_[i].asked, sum.got += tenths_[i].got;
    return sum.asked > 0 ? sum.got / sum.asked : 1;
}

RushReport ServiceMetrics::rush() const {
    RushReport r;
    const Millis length = scenario_.overview.length;
    for (const FaultSpec& f : scenario_.faults) {
        if (f.kind != FaultKind::load) continue;
        const Millis to = f.lasts > 0 ? std::min(f.at + f.lasts, length) : length;
        r.from = r.any ? std::min(r.from, f.at) : f.at;
        r.to = r.any ? std::max(r.to, to) : to;
        r.any = true;
    }
    if (!r.any) return r;
    constexpr Millis kW = RushReport::kWindow;
    r.settled = goodput((r.from + r.to) / 2, r.to);
    const double worst =
        std::min(goodput(r.from, r.from + kW), goodput(r.from + kW, std::min(r.from + 2 * kW, r.to)));
    r.onset = r.settled > 0 ? worst / r.settled : 1;
    const auto reached = [&](Millis from, Millis end, double figure) {
        Millis at = from;
        while (at + kTenth < end && goodput(at, at + kW) < figure * RushReport::kNear) at += kTenth;
        return at - from;
    };
    r.settle = reached(r.from, r.to, r.settled);
    r.recover = reached(r.to, length, r.from > 0 ? goodput(0, r.from) : 1);
    return r;
}

ServiceMetrics::Report ServiceMetrics::report() const {
    Report r;
    r.classes = classes_;
    r.seconds = seconds_;
    r.servers = servers_;
    double asked = 0, got = 0;
    std::uint64_t requests = 0, served = 0;
    r.worst_class = r.worst_second = 1;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        const LatencyHistogram& took = by_class_[i];
        ClassReport& c = r.classes[i];
        c.p50 = took.quantile(0.5), c.p90 = took.quantile(0.9), c.p99 = took.quantile(0.99);
        c.most = took.most();
        served += took.count();
        asked += c.worth_asked, got += c.worth_got;
        requests += c.asked;
        r.worst_class = std::min(r.worst_class, c.goodput());
    }
    for (std::size_t i = 0; i < seconds_.size(); ++i) {
        r.seconds[i].p50 = by_second_[i].quantile(0.5), r.seconds[i].p99 = by_second_[i].quantile(0.99);
        if (seconds_[i].worth_asked * static_cast<double>(seconds_.size()) >= asked * kThinSecond)
            r.worst_second = std::min(r.worst_second, seconds_[i].goodput());
    }
    r.rush = rush();
    r.goodput = asked > 0 ? got / asked : 1;
    r.answered = requests > 0 ? static_cast<double>(served) / static_cast<double>(requests) : 1;
    return r;
}

}  // namespace elmbay::simulation
