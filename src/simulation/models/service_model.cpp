#include "simulation/models/service_model.hpp"

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

ServiceModel::ServiceModel(const Scenario& scenario, const ClientModel& clients)
    : scenario_(scenario),
      clients_(clients),
      fails_(scenario.fleet.servers, 0),
      fallen_(scenario.fleet.servers, false) {
    for (std::uint32_t i = 0; i < scenario.fleet.servers; ++i) {
        Random random = random_stream(scenario.overview.seed, StreamPurpose::server_speed, i);
        const double spread = scenario.fleet.speed_variation;
        servers_.emplace_back(scenario.fleet, uniform(random, 1 - spread, 1 + spread),
                              !scenario.joins_later(i));
    }
}

Ticket ServiceModel::arrive(Millis now, std::uint32_t server, ClientRequestId id, ServerModel::Out& out) {
    const OperationId request = operation_of(id);
    const ClassSpec& c = scenario_.classes[clients_.arrival_of(request).class_index];
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::fast_failure, id, server);
    const bool fails = random.uniform() < scenario_.fleet.error_rate + fails_[server];
    Millis work = clients_.attempt_work(request, server);
    if (c.idempotency() == balancer::Idempotency::idempotency_key && !fails &&
        servers_[server].is_running()) {
        const auto [at, fresh] = keys_.try_emplace(request, now);
        if (!fresh && now < at->second + c.dedup_window)
            work = kDroppedRepeat;
        else
            at->second = now;
    }
    servers_[server].arrive(now, ++last_, work, fails, out);
    return last_;
}

void ServiceModel::apply(const TimelineStep& step, ServerModel::Out& out) {
    ServerModel& server = servers_[step.target];
    switch (step.kind) {
        case StepKind::freeze:
            server.freeze(step.at, step.at + step.value, out);
            break;
        case StepKind::noisy_neighbour:
            server.set_neighbour(step.at, step.value, out);
            break;
        case StepKind::fail_fast:
            fails_[step.target] = step.value;
            break;
        case StepKind::unresponsive:
            server.set_hollow(step.at, step.value > 0, out);
            break;
        case StepKind::stop:
            server.stop(step.at, out);
            break;
        case StepKind::cut_off:
            server.vanish(step.at, out);
            break;
        case StepKind::start:
            if (!fallen_[step.target]) server.start(step.at, out);
            break;
        default:
            break;  // a drain changes nothing at the server; the rest is about sidecars
    }
}

void ServiceModel::fell(Millis now, std::uint32_t server, ServerModel::Out& out) {
    fallen_[server] = true;
    servers_[server].stop(now, out);
}

}  // namespace elmbay::simulation
