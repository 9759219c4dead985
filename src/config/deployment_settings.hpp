/// @file
/// Maps the operators' settings of a deployment to elmbay::balancer::Settings, for the sidecar and for the
/// simulator adapter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fields.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// The settings of the balancer, the names that its integers stand for, and the settings of the network code.
struct DeploymentSettings {
    Settings settings;

    // Names that the balancer's integers stand for. The integer is the index of the name.

    std::vector<std::string> zones;          ///< ZoneId; the operators' `azs`
    std::vector<std::string> machine_types;  ///< ServerInfo::machine_type; endpoint lists add names
    std::vector<std::string> classes;        ///< RequestArrived::class_index
    std::vector<std::string> tenants;        ///< RequestArrived::tenant

    /// For each request class, how long a client waits for a response, including the client's own retries.
    std::vector<Millis> client_timeouts;
    /// Index of this sidecar among its siblings, from 0; the operators' `my-number`.
    std::optional<std::uint32_t> sidecar_index;
    /// Whether sidecars may send messages to their siblings; the operators' `limits.may-tell`.
    bool peer_messages_allowed = true;
    /// Time after which an unfinished connect to a server counts as failed.
    Millis connect_timeout = 250;
    /// Idle time after which servers close a connection; the operators' `limits.idle-close-ms`.
    Millis server_idle_timeout = 15000;
    /// Time within which sending to a server must stop once it drains or has left; the operators'
    /// `rules.stop-sending-within-ms`.
    Millis drain_grace = 500;
};

/// Returns a weight from an endpoint list in a form that is safe to divide by: 1 if the weight is not finite
/// or not positive, otherwise the weight clamped to 0.001 to 1000, so that no single server gets all requests
/// or none.
double sanitize_weight(double weight);

/// Returns the index of a name. Appends the name first if the list does not contain it.
std::uint32_t intern_name(std::vector<std::string>& names, std::string_view name);

/// Reads the operators' settings from fields that are named by their path, such as "classes.0.effect".
/// Unknown keys are ignored, because other deployments have additional ones. Throws FieldError.
DeploymentSettings read_deployment_settings(const Fields& fields);

}  // namespace elmbay::balancer
