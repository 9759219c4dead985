/// @file
/// [cluster] of the operator's file, and what the platform's configuration says beside it.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "base/timing.hpp"

namespace elmbay::cluster {

/// Where a member is reached.
using PeerAddress = boost::asio::ip::udp::endpoint;

/// The keys of [cluster].
struct Settings {
    bool on = false;                 ///< off: nothing listens, nothing is sent
    std::string listen;              ///< address:port of this member; empty: as the platform says
    std::vector<std::string> peers;  ///< address:port of each, by id; empty: as the platform says
    std::uint64_t number = 0;        ///< this member's id; the platform's word where that has one
    Millis period = 1000;            ///< between two probes
};

}  // namespace elmbay::cluster
