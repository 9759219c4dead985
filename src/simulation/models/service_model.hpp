// The service_model: all servers of an scenario with their faults, and what they remember of keys. No I/O, no
// clock.
#pragma once

#include <unordered_map>
#include <vector>

#include "simulation/models/client_model.hpp"
#include "simulation/models/server_model.hpp"
#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

class ServiceModel {
public:
    explicit ServiceModel(const Scenario& scenario, const ClientModel& clients);

    // A try's attempt has come whole to a server. Returns its ticket; its end is among some call's
    // departures, unless the machine vanishes.
    Ticket arrive(Millis now, std::uint32_t server, ClientRequestId id, ServerModel::Out& out);
    // Carries out a step that is about a server.
    void apply(const TimelineStep& step, ServerModel::Out& out);
    // A cold server sent too much: it goes down and stays down.
    void fell(Millis now, std::uint32_t server, ServerModel::Out& out);

    ServerModel& server(std::uint32_t number) { return servers_[number]; }
    const ServerModel& server(std::uint32_t number) const { return servers_[number]; }
    Millis mean_work(std::uint32_t class_index) const { return scenario_.classes.at(class_index).work; }
    double cores() const { return static_cast<double>(scenario_.fleet.cores); }
    std::uint32_t count() const { return static_cast<std::uint32_t>(servers_.size()); }
    // Whether the list named it at the start.
    bool there_at_start(std::uint32_t server) const { return !scenario_.joins_later(server); }
    // What a repeat costs that is dropped by its key.
    static constexpr Millis kDroppedRepeat = 0.5;

private:
    const Scenario& scenario_;
    const ClientModel& clients_;
    std::vector<ServerModel> servers_;
    std::vector<double> fails_;  // by server, the share that a fault makes it fail
    std::vector<bool> fallen_;
    std::unordered_map<OperationId, Millis> keys_;  // when a keyed request first came to any server
    Ticket last_ = 0;
};

}  // namespace elmbay::simulation
