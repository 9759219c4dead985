#include "simulation/models/service_model.hpp"

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

ServiceModel::ServiceModel(const Scenario& scenario, const ClientModel& clients)
    : scenario_(scenario),
      clients_(clients),
      fault_error_shares_(scenario.fleet.servers, 0),
      stopped_permanently_(scenario.fleet.servers, false) {
    for (std::uint32_t i = 0; i < scenario.fleet.servers; ++i) {
        Random random = random_stream(scenario.overview.seed, StreamPurpose::server_speed, i);
        const double spread = scenario.fleet.speed_variation;
        servers_.emplace_back(scenario.fleet, uniform(random, 1 - spread, 1 + spread),
                              !scenario.joins_later(i));
    }
}

ServerRequestId ServiceModel::deliver_attempt(Millis now, std::uint32_t server, ClientRequestId id,
                                              ServerModel::Departures& departures) {
    const OperationId operation = operation_of(id);
    const ClassSpec& spec = scenario_.classes[clients_.arrival_of(operation).class_index];
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::fast_failure, id, server);
    const bool fails = random.uniform() < scenario_.fleet.error_rate + fault_error_shares_[server];
    Millis work = clients_.attempt_work(operation, server);
    if (spec.idempotency() == balancer::Idempotency::idempotency_key && !fails &&
        servers_[server].is_running()) {
        const auto [seen_at, is_new] = key_seen_at_.try_emplace(operation, now);
        if (!is_new && now < seen_at->second + spec.dedup_window)
            work = kDuplicateRequestWork;
        else
            seen_at->second = now;
    }
    servers_[server].add_request(now, ++last_request_id_, work, fails, departures);
    return last_request_id_;
}

void ServiceModel::apply(const TimelineStep& step, ServerModel::Departures& departures) {
    ServerModel& server = servers_[step.target];
    switch (step.kind) {
        case StepKind::freeze:
            server.freeze(step.at, step.at + step.value, departures);
            break;
        case StepKind::noisy_neighbour:
            server.set_neighbour_share(step.at, step.value, departures);
            break;
        case StepKind::fail_fast:
            fault_error_shares_[step.target] = step.value;
            break;
        case StepKind::unresponsive:
            server.set_unresponsive(step.at, step.value > 0, departures);
            break;
        case StepKind::stop:
            server.stop(step.at, departures);
            break;
        case StepKind::cut_off:
            server.cut_off(step.at, departures);
            break;
        case StepKind::start:
            if (!stopped_permanently_[step.target]) server.start(step.at, departures);
            break;
        default:
            break;  // a drain does not change the server itself; the other kinds target sidecars
    }
}

void ServiceModel::stop_permanently(Millis now, std::uint32_t server, ServerModel::Departures& departures) {
    stopped_permanently_[server] = true;
    servers_[server].stop(now, departures);
}

}  // namespace elmbay::simulation
