/// @file
/// One simulated sidecar: its balancer, and the names on the wire behind the integers that the balancer sees.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/deployment_settings.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer::wire {

/// Holds a request's name until the request and all its attempts have ended, and a server's while it is
/// listed or has an attempt in flight. Integers rise from 1 and are never used again, so that the balancer
/// can't take a new request or server for an earlier one.
class Instance {
public:
    /// Throws std::invalid_argument for settings that the balancer can't use.
    Instance(std::string name, DeploymentSettings deployment, std::uint64_t seed);

    /// The instance's name on the wire.
    const std::string& name() const { return name_; }
    /// Its settings; names of zones and machine types are added as endpoint lists name them.
    DeploymentSettings& deployment() { return deployment_; }
    /// What decides for it.
    Balancer& balancer() { return balancer_; }

    // ---- Requests ----

    /// The id of a new request; none if the name is that of a request which is still held.
    std::optional<RequestId> add_request(const std::string& request_name);
    /// None if no such request is held.
    std::optional<RequestId> find_request(const std::string& request_name) const;
    /// Throws std::out_of_range for a request that is no longer held.
    const std::string& request_name(RequestId id) const { return requests_.at(id).name; }
    /// The request has its final response, or its client has gone. Nothing for one that is not held.
    void end_request(RequestId id);

    // ---- Servers ----

    /// The id of a server; one that is not held is added, as not listed.
    ServerId add_server(const std::string& server_name);
    /// None if no such server is held.
    std::optional<ServerId> find_server(const std::string& server_name) const;
    /// Throws std::out_of_range for a server that is not held.
    const std::string& server_name(ServerId id) const { return servers_.at(id).name; }
    /// Whether the endpoint list has the server.
    void set_listed(ServerId id, bool listed) { servers_[id].listed = listed; }
    /// Before a whole list is applied.
    void unlist_all_servers();
    /// After a list has been applied.
    void drop_unused_servers();

    // ---- Attempts ----

    /// Throws std::out_of_range for a request or server that is not held.
    void attempt_started(RequestId request, ServerId server);
    /// Counts one attempt less; the request stays held until drop_finished_request().
    /// @param ends_request nothing more is owed to the client
    void attempt_ended(RequestId request, bool ends_request);
    /// Lets go of a request that has ended and has no attempt in flight.
    void drop_finished_request(RequestId id);
    /// Counts one attempt less, and lets go of a server that is neither listed nor in use.
    void attempt_left_server(ServerId id);

private:
    /// A request that is held.
    struct Request {
        std::string name;
        std::uint32_t attempts_in_flight = 0;
        bool has_ended = false;
    };
    /// A server that is held.
    struct Server {
        std::string name;
        std::uint32_t attempts_in_flight = 0;
        bool listed = false;
    };

    void drop_unused_server(ServerId id);

    std::string name_;
    DeploymentSettings deployment_;
    Balancer balancer_;
    std::unordered_map<std::string, RequestId> request_ids_;
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<std::string, ServerId> server_ids_;
    std::map<ServerId, Server> servers_;
    RequestId next_request_ = 1;
    ServerId next_server_ = 1;
};

}  // namespace elmbay::balancer::wire
