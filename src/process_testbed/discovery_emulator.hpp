// Emulates the discovery service for one sidecar (PROTOCOL, "Discovery").
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "fault_proxy/event_loop_context.hpp"

namespace elmbay::process_testbed {

using tcp = asio::ip::tcp;
using nlohmann::json;

/// State of a server in the endpoint list.
enum class EndpointState {
    active,   ///< requests may be sent to it
    leaving,  ///< it is draining
    left      ///< it has left the list
};

/// Serves the whole endpoint list to polls, and each change to watches.
///
/// Each sidecar has its own emulator, because it reaches each server through its own link. Owned by
/// ProcessTestbed; runs in its event loop, not thread-safe.
class DiscoveryEmulator {
public:
    /// @return the address at which the sidecar reaches the server with this uid.
    using EndpointOf = std::function<tcp::endpoint(const std::string& uid)>;

    /// Milliseconds between two empty lines of a watch. They show the sidecar that the watch is alive.
    static constexpr Millis kKeepAlivePeriod = 2000;

    /// @throws boost::system::system_error if the address cannot be bound.
    DiscoveryEmulator(fault_proxy::EventLoopContext& context, EndpointOf endpoint_of,
                      const tcp::endpoint& listen);
    ~DiscoveryEmulator();
    DiscoveryEmulator(const DiscoveryEmulator&) = delete;
    DiscoveryEmulator& operator=(const DiscoveryEmulator&) = delete;

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    /// Sets the state of the server in the list and sends the change to every watch.
    void set_state(const std::string& uid, EndpointState state);
    /// @return the whole endpoint list in the format of PROTOCOL.
    json whole_list() const;

private:
    class Connection;
    friend class Connection;

    json endpoint_list(
        const std::string& only_uid) const;  // an empty uid selects all servers that have not left
    void accept();
    void schedule_keep_alive();

    fault_proxy::EventLoopContext& context_;
    const EndpointOf endpoint_of_;
    tcp::acceptor acceptor_;
    std::map<std::string, EndpointState> states_;  // by uid
    std::uint64_t revision_ = 0;
    std::list<std::shared_ptr<Connection>> connections_;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // for handlers that outlive this object
};

}  // namespace elmbay::process_testbed
