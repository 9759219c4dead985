/// @file
/// How much this process may hold: descriptors, bytes of long messages, sessions. Derived from the
/// configuration and the system's limits.
#pragma once

#include <cstddef>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "websocket/settings.hpp"

namespace elmbay {

/// @return descriptors that may be sockets of clients, servers and sessions: the smaller of `limits.sockets`
/// and RLIMIT_NOFILE, less those that the process needs for itself.
std::size_t socket_limit(const Config& config);

/// @return the budget of descriptors, with a part for sessions if `[websocket]` is on.
SocketBudget make_socket_budget(const Config& config, const websocket::Settings& websocket);

/// @return bytes that messages beyond the usual size may take together.
std::size_t long_message_bytes(const Config& config);

/// @return the configuration with the session limits of `[websocket]` in the balancer's settings; no sessions
/// if it is off.
Config with_session_limits(Config config, const websocket::Settings& websocket);

/// @return the longest time, in milliseconds, that a client of any request class waits for its response.
Millis longest_client_deadline(const balancer::DeploymentSettings& deployment);

}  // namespace elmbay
