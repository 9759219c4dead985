/// @file
/// [websocket] of the operator's file: every bound of the WebSocket proxy, with its unit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timing.hpp"

namespace elmbay::websocket {

/// The keys of [websocket].
struct Settings {
    bool enabled = false;                         ///< off: an upgrade is handled as any other request
    std::vector<std::string> allowed_origins;     ///< that browsers may come from; empty: any
    std::uint64_t max_sessions = 500;             ///< sessions and upgrades of this sidecar
    std::uint64_t max_sessions_per_server = 250;  ///< of them, at one server
    std::uint64_t max_sessions_per_client = 500;  ///< of them, from one client address
    std::uint64_t max_message_bytes = 1U << 20;   ///< a longer message ends its session with 1009
    std::uint64_t relay_buffer_bytes = 4096;      ///< read from one side and not yet written to the other
    Millis handshake_timeout = 3000;  ///< for a client to take its 101, and for either side to answer a close
    Millis idle_timeout = 60000;      ///< without a byte; a ping is sent after half of it
    Millis drain_spread = 10000;      ///< time over which sessions of a draining server are closed
    Millis shutdown_spread = 1000;    ///< the same for all sessions when this sidecar shuts down
};

}  // namespace elmbay::websocket
