/// @file
/// Resource limits of this process: descriptors, bytes of messages, sessions. Derived from the
/// configuration and the limits of the system.
#pragma once

#include <cstddef>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "websocket/settings.hpp"

namespace elmbay {

/// @return the number of descriptors for sockets of clients, servers and sessions: the smaller of
/// `limits.sockets` and RLIMIT_NOFILE, minus the descriptors for all other purposes.
std::size_t socket_limit(const Config& config);

/// @return the socket budget, with an allocation for sessions if `[websocket]` is on.
SocketBudget make_socket_budget(const Config& config, const websocket::Settings& websocket);

/// @return the maximum total size of messages that are not small, in bytes.
std::size_t message_bytes(const Config& config);

/// @return the configuration with the session limits of `[websocket]` in the balancer's settings. The limit
/// is 0 sessions if `[websocket]` is off.
Config with_session_limits(Config config, const websocket::Settings& websocket);

/// @return the longest time, in milliseconds, that a client of any request class waits for its response.
Millis longest_client_deadline(const balancer::DeploymentSettings& deployment);

}  // namespace elmbay
