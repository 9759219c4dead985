// [websocket] of the operator's file. Every bound of the front is here, with its unit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timing.hpp"

namespace elmbay::websocket {

struct Settings {
    bool on = false;                        // off: an upgrade is a request like all others
    std::vector<std::string> origins;       // that browsers may come from; empty: any
    std::uint64_t most = 500;               // sessions and upgrades of this sidecar
    std::uint64_t most_at_server = 250;     // of them, at one server
    std::uint64_t most_of_client = 500;     // of them, from one client address
    std::uint64_t most_message = 1U << 20;  // bytes; a longer one ends its session with 1009
    std::uint64_t waiting = 4096;           // bytes read from one side and not yet taken by the other
    Millis handshake = 3000;  // for a client to take its 101, and for either side to answer a close
    Millis idle = 60000;      // without a byte; a ping goes out at half of it
    Millis drain = 10000;     // sessions of a draining server are told over this time
    Millis ending = 1000;     // those of this sidecar, once it has been told to end
};

}  // namespace elmbay::websocket
