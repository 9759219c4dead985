/// @file
/// What both programs, sidecar and simulator adapter, are configured with about the deployment: the one place
/// that maps the operators' settings onto elmbay::balancer::Settings.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fields.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// The balancer's settings, the names behind its integers, and what only a program with sockets has to know.
struct DeploymentSettings {
    Settings settings;

    // The names that the balancer's integers stand for: the integer is the name's index.

    std::vector<std::string> zones;          ///< ZoneId; the operators' `azs`
    std::vector<std::string> machine_types;  ///< ServerInfo::machine_type; filled as endpoint lists name them
    std::vector<std::string> classes;        ///< RequestArrived::class_index
    std::vector<std::string> tenants;        ///< RequestArrived::tenant

    /// By class: how long a client waits for its request, all of the client's own retries together.
    std::vector<Millis> client_timeouts;
    /// This sidecar's index among those that share the servers, from 0.
    std::optional<std::uint32_t> my_number;
    /// Whether sidecars may send messages to one another; the operators' `limits.may-tell`.
    bool peer_messages_allowed = true;
    /// A connection to a server that is not up by then counts as failed.
    Millis connect_timeout = 250;
    /// Servers close a connection that has been idle for so long.
    Millis idle_close = 15000;
};

/// A server's weight as its endpoint list gives it, made safe to divide by: 1 for what is not finite or not
/// over 0, and clamped so that no single server gets all requests or none.
double sanitize_weight(double weight);

/// The index of a name; a name that is not there is appended.
std::uint32_t intern_name(std::vector<std::string>& names, std::string_view name);

/// Reads the operators' settings: fields named by their path, such as "classes.0.effect". Keys that are not
/// known are ignored, as other deployments have more of them. Throws FieldError.
DeploymentSettings read_deployment_settings(const Fields& fields);

}  // namespace elmbay::balancer
