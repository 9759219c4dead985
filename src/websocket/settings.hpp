/// @file
/// The [websocket] section of the operator's file: all limits and timeouts of the WebSocket proxy.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timing.hpp"

namespace elmbay::websocket {

/// The settings of the WebSocket proxy. Times are in milliseconds.
struct Settings {
    bool enabled = false;                         ///< if false, upgrades are handled as plain requests
    std::vector<std::string> allowed_origins;     ///< Origin values allowed; empty allows all
    std::uint64_t max_sessions = 500;             ///< limit on sessions and upgrades of this sidecar
    std::uint64_t max_sessions_per_server = 250;  ///< the same at one server
    std::uint64_t max_sessions_per_client = 500;  ///< the same for one client address
    std::uint64_t max_message_bytes = 1U << 20;   ///< a longer message closes its session with 1009
    std::uint64_t relay_buffer_bytes = 4096;      ///< buffer of each direction of a session
    Millis handshake_timeout = 3000;              ///< limit for sending the 101, and for a close handshake
    Millis idle_timeout = 60000;    ///< closes a session without traffic; half of it triggers a ping
    Millis drain_spread = 10000;    ///< time over which a draining server's sessions are closed
    Millis shutdown_spread = 1000;  ///< time over which all sessions are closed on shutdown
};

}  // namespace elmbay::websocket
