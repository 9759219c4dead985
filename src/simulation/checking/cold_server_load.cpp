#include "simulation/checking/cold_server_load.hpp"

#include <cmath>

namespace elmbay::simulation {

namespace {

/// Mean work of a request over all classes, weighted by their share.
Millis mean_work(const Scenario& scenario) {
    double shares = 0;
    double work = 0;
    for (const ClassSpec& spec : scenario.classes) {
        shares += spec.share;
        work += spec.share * spec.work;
    }
    return work / shares;
}

}  // namespace

void ColdServerLoad::add(const Arrival& arrival, Millis window_start, Millis started_at) {
    arrivals_.push_back(arrival);
    while (arrivals_.front().at <= window_start || arrivals_.front().at < started_at) arrivals_.pop_front();
}

Millis ColdServerLoad::work() const {
    Millis work = 0;
    for (const Arrival& arrival : arrivals_) work += arrival.work;
    return work;
}

bool ColdServerLoad::is_mostly_from_notified_senders() const {
    Millis notified_work = 0;
    for (const Arrival& arrival : arrivals_) {
        if (arrival.sender_notified_of_start) notified_work += arrival.work;
    }
    return notified_work * 3 >= work() * 2;
}

Millis allowed_cold_work(const Scenario& scenario, double capacity) {
    const Millis work_of_request = mean_work(scenario);
    const Millis allowed =
        scenario.invariants.overload_multiple * capacity * scenario.invariants.overload_window;
    const double requests = allowed / work_of_request;
    return (requests + 3 * std::sqrt(requests) + 3) * work_of_request;
}

}  // namespace elmbay::simulation
