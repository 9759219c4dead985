/// @file
/// The model of the service: all servers of a scenario with their faults, and the idempotency keys that they
/// share. It does no I/O and reads no clock.
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

    /// An attempt has arrived in full at a server. Returns its number there. A later call, or this one, gives
    /// its departure, unless the machine is cut off.
    ServerRequestId deliver_attempt(Millis now, std::uint32_t server, ClientRequestId id,
                                    ServerModel::Departures& departures);
    /// Applies a step of the timeline that targets a server.
    void apply(const TimelineStep& step, ServerModel::Departures& departures);
    /// Stops a cold server that was overloaded. It stays down for the rest of the run.
    void stop_permanently(Millis now, std::uint32_t server, ServerModel::Departures& departures);

    ServerModel& server(std::uint32_t number) { return servers_[number]; }
    const ServerModel& server(std::uint32_t number) const { return servers_[number]; }
    Millis mean_work(std::uint32_t class_index) const { return scenario_.classes.at(class_index).work; }
    /// Cores of each server.
    double cores() const { return static_cast<double>(scenario_.fleet.cores); }
    std::uint32_t server_count() const { return static_cast<std::uint32_t>(servers_.size()); }
    /// Whether the endpoint list contains the server at time 0.
    bool is_listed_at_start(std::uint32_t server) const { return !scenario_.joins_later(server); }
    /// Core time of a repeated request that the server drops because of its idempotency key.
    static constexpr Millis kDuplicateRequestWork = 0.5;

private:
    const Scenario& scenario_;
    const ClientModel& clients_;
    std::vector<ServerModel> servers_;
    std::vector<double> fault_error_shares_;  // by server
    std::vector<bool> stopped_permanently_;   // by server
    // When an operation with an idempotency key first reached any server in the current deduplication window.
    std::unordered_map<OperationId, Millis> key_seen_at_;
    ServerRequestId last_request_id_ = 0;
};

}  // namespace elmbay::simulation
