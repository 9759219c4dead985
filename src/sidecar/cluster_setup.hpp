/// @file
/// Where and as which member this sidecar takes part in the cluster.
#pragma once

#include "cluster/driver.hpp"
#include "cluster/settings.hpp"
#include "config/config.hpp"

namespace elmbay {

/// Combines the platform's configuration with [cluster] of the operator's file. Where both name an address or
/// the peers, the operator's file takes precedence. The member's own number comes from the platform unless
/// the operator's file lists the peers.
/// @throws ConfigError naming the key that is missing, malformed or out of range.
cluster::Driver::Setup cluster_setup(const Config& config, const cluster::Settings& settings);

}  // namespace elmbay
