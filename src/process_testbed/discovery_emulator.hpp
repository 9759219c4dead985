// The emulated discovery service as one sidecar reaches it (PROTOCOL, "Discovery").
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

/// What the endpoint list says of a server.
enum class EndpointState {
    active,   ///< may be sent to
    leaving,  ///< is draining
    left      ///< has gone
};

/// Serves the endpoint list whole, and as a watch that sends each change.
///
/// Each sidecar has an emulator of its own, as it reaches each server by a link of its own. Owned by
/// ProcessTestbed; runs in its event loop, not thread-safe.
class DiscoveryEmulator {
public:
    /// @return the address at which the sidecar reaches the server with this uid.
    using EndpointOf = std::function<tcp::endpoint(const std::string& uid)>;

    /// Milliseconds between two empty lines of a watch, by which a sidecar knows that it is alive.
    static constexpr Millis kKeepAlivePeriod = 2000;

    /// @throws boost::system::system_error if the address cannot be had.
    DiscoveryEmulator(fault_proxy::EventLoopContext& context, EndpointOf endpoint_of,
                      const tcp::endpoint& listen);
    ~DiscoveryEmulator();
    DiscoveryEmulator(const DiscoveryEmulator&) = delete;
    DiscoveryEmulator& operator=(const DiscoveryEmulator&) = delete;

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    /// Lists the server with this state and sends the change to every watch.
    void set_state(const std::string& uid, EndpointState state);
    /// @return the endpoint list as the protocol has it.
    json whole_list() const;

private:
    class Connection;
    friend class Connection;

    json endpoint_list(const std::string& only_uid) const;  // of all but those that left if it is empty
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
