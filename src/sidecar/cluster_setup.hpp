/// @file
/// Determines the addresses and the member number of this sidecar in the cluster.
#pragma once

#include "cluster/driver.hpp"
#include "cluster/settings.hpp"
#include "config/config.hpp"

namespace elmbay {

/// Combines the platform's configuration with [cluster] of the operator's file. For the listen address and
/// the peers, the operator's file takes precedence. The number of this member comes from the platform's
/// configuration, unless the operator's file lists the peers.
/// @throws ConfigError with the key that is missing, malformed or out of range.
cluster::Driver::Setup cluster_setup(const Config& config, const cluster::Settings& settings);

}  // namespace elmbay
