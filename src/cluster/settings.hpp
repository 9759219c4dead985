// [cluster] of the operator's file, and what the platform's configuration says beside it.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "base/timing.hpp"

namespace elmbay::cluster {

using PeerAddress = boost::asio::ip::udp::endpoint;

struct Settings {
    bool on = false;
    // Where this one listens, where it reaches each by their numbers, and its own; left out: as the platform
    // says.
    std::string listen;
    std::vector<std::string> peers;
    std::uint64_t number = 0;
    Millis period = 1000;  // between two probes
};

}  // namespace elmbay::cluster
