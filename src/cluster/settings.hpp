/// @file
/// The settings in section [cluster] of the operator's file. The platform's configuration supplies some of
/// them.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "base/timing.hpp"

namespace elmbay::cluster {

/// The UDP address of a member.
using PeerAddress = boost::asio::ip::udp::endpoint;

/// The keys of [cluster].
struct Settings {
    bool on = false;                 ///< if false, the sidecar opens no socket and sends no messages
    std::string listen;              ///< address:port of this member; if empty, from the platform
    std::vector<std::string> peers;  ///< address:port of each member, by id; if empty, from the platform
    std::uint64_t number = 0;        ///< this member's id, unless the platform supplies peers and id
    Millis period = 1000;            ///< milliseconds between two probes
};

}  // namespace elmbay::cluster
