#include "simulation/models/service_model.hpp"

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

ServiceModel::ServiceModel(const Scenario& scenario, const ClientModel& clients)
    : scenario_(scenario),
      clients_(clients),
      fails_(scenario.fleet.servers, 0),
      fallen_(scenario.fleet.servers, false) {
    for (std::uint32_t i = 0; i < scenario.fleet.servers; ++i) {
        Random random = stream(scenario.overview.seed, Purpose::server_speed, i);
        const double spread = scenario.fleet.speed_spread;
        servers_.emplace_back(scenario.fleet, uniform(random, 1 - spread, 1 + spread),
                              !scenario.starts_off(i));
    }
}

Ticket ServiceModel::arrive(Millis now, std::uint32_t server, ClientRequestId id, ServerModel::Out& out) {
    const OperationId request = operation_of(id);
    const ClassSpec& c = scenario_.classes[clients_.ask(request).class_index];
    Random random = stream(scenario_.overview.seed, Purpose::fast_failure, id, server);
    const bool fails = random.unit() < scenario_.fleet.error_rate + fails_[server];
    Millis work = clients_.attempt_work(request, server);
    if (c.kind() == balancer::Idempotency::idempotency_key && !fails && servers_[server].running()) {
        const auto [at, fresh] = keys_.try_emplace(request, now);
        if (!fresh && now < at->second + c.window)
            work = kDroppedRepeat;
        else
            at->second = now;
    }
    servers_[server].arrive(now, ++last_, work, fails, out);
    return last_;
}

void ServiceModel::apply(const Step& step, ServerModel::Out& out) {
    ServerModel& server = servers_[step.who];
    switch (step.change) {
        case Change::freeze:
            server.freeze(step.at, step.at + step.value, out);
            break;
        case Change::neighbour:
            server.set_neighbour(step.at, step.value, out);
            break;
        case Change::fail_fast:
            fails_[step.who] = step.value;
            break;
        case Change::hollow:
            server.set_hollow(step.at, step.value > 0, out);
            break;
        case Change::stop:
            server.stop(step.at, out);
            break;
        case Change::vanish:
            server.vanish(step.at, out);
            break;
        case Change::start:
            if (!fallen_[step.who]) server.start(step.at, out);
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
