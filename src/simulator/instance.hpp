/// @file
/// One simulated sidecar: its balancer, and the mapping between names of the wire protocol and integers of
/// the balancer.
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

/// Keeps the name of a request until the request and all its attempts have ended, and the name of a server
/// while the server is listed or has attempts in flight. Integers increase from 1 and are never reused, so
/// that the balancer can't confuse a new request or server with an earlier one.
class Instance {
public:
    /// Throws std::invalid_argument for settings that are invalid for the balancer.
    Instance(std::string name, DeploymentSettings deployment, std::uint64_t seed);

    /// Returns the name of the instance in the wire protocol.
    const std::string& name() const { return name_; }
    /// Returns the settings. Endpoint lists add names of zones and machine types to them.
    DeploymentSettings& deployment() { return deployment_; }
    /// Returns the balancer of the instance.
    Balancer& balancer() { return balancer_; }

    // ---- Requests ----

    /// Adds a request and returns its id. Returns nothing if the instance already contains a request of that
    /// name.
    std::optional<RequestId> add_request(const std::string& request_name);
    /// Returns the id of a request, or nothing if the instance does not contain it.
    std::optional<RequestId> find_request(const std::string& request_name) const;
    /// Returns the name of a request. Throws std::out_of_range if the instance does not contain it.
    const std::string& request_name(RequestId id) const { return requests_.at(id).name; }
    /// Marks a request as ended, after its final response or the disconnect of its client. No effect if the
    /// instance does not contain it.
    void end_request(RequestId id);

    // ---- Servers ----

    /// Returns the id of a server. Adds the server, as not listed, if the instance does not contain it.
    ServerId add_server(const std::string& server_name);
    /// Returns the id of a server, or nothing if the instance does not contain it.
    std::optional<ServerId> find_server(const std::string& server_name) const;
    /// Returns the name of a server. Throws std::out_of_range if the instance does not contain it.
    const std::string& server_name(ServerId id) const { return servers_.at(id).name; }
    /// Sets whether the endpoint list contains the server.
    void set_listed(ServerId id, bool listed) { servers_[id].listed = listed; }
    /// Marks all servers as not listed. To be called before a complete list is applied.
    void unlist_all_servers();
    /// Removes servers that are neither listed nor in use. To be called after a list has been applied.
    void remove_unused_servers();

    // ---- Attempts ----

    /// Counts one more attempt in flight. Throws std::out_of_range if the instance does not contain the
    /// request or server.
    void attempt_started(RequestId request, ServerId server);
    /// Counts one attempt in flight less for a request. The request remains until remove_finished_request().
    /// @param ends_request whether the request has ended with this attempt
    void attempt_ended(RequestId request, bool ends_request);
    /// Removes a request that has ended and has no attempts in flight.
    void remove_finished_request(RequestId id);
    /// Counts one attempt in flight less for a server, and removes the server if it is neither listed nor in
    /// use.
    void end_attempt_at_server(ServerId id);

private:
    /// A request and its attempts.
    struct Request {
        std::string name;
        std::uint32_t attempts_in_flight = 0;
        bool has_ended = false;
    };
    /// A server and its attempts.
    struct Server {
        std::string name;
        std::uint32_t attempts_in_flight = 0;
        bool listed = false;
    };

    void remove_unused_server(ServerId id);

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
