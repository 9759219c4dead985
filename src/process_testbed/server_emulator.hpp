// Emulates a server behind the sidecars: responds to HTTP/1.1 requests in a way that the test selects.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <set>
#include <string>

#include "fault_proxy/event_loop_context.hpp"
#include "process_testbed/request_history.hpp"

namespace elmbay::process_testbed {

using tcp = asio::ip::tcp;

/// How a server handles a request.
enum class ServerBehavior {
    serve,       ///< processes it and responds 200 after ServerEmulator::delay
    hold,        ///< processes it and responds when ServerEmulator::release_held() is called
    fail,        ///< responds 500 and does not process it
    reject,      ///< responds 503 with X-Unprocessed and does not process it
    no_response  ///< processes it and never responds
};

/// One server on loopback. Reports to the history which requests it has processed and which it has rejected.
///
/// Owned by ProcessTestbed; runs in its event loop, not thread-safe. The destructor closes all connections.
class ServerEmulator {
public:
    /// @throws boost::system::system_error if the address cannot be bound.
    ServerEmulator(fault_proxy::EventLoopContext& context, RequestHistory& history, std::string name,
                   const tcp::endpoint& listen);
    ~ServerEmulator();
    ServerEmulator(const ServerEmulator&) = delete;
    ServerEmulator& operator=(const ServerEmulator&) = delete;

    ServerBehavior behavior = ServerBehavior::serve;  ///< applies to requests received from now on
    Millis delay = 0;                                 ///< milliseconds from a request to its response
    std::size_t body_bytes = 0;                       ///< length of a response body after its first line

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    const std::string& name() const { return name_; }
    /// @return the number of complete requests received.
    std::uint64_t received_requests() const { return received_requests_; }
    /// @return the number of responses that wait for release_held().
    std::size_t held_requests() const { return held_responses_.size(); }
    /// Sends all held responses.
    void release_held();

private:
    class Connection;
    friend class Connection;
    struct HeldResponse {
        std::shared_ptr<Connection> connection;
        std::string body;
    };

    void accept();
    void on_request(const std::shared_ptr<Connection>& connection, const std::string& id);
    void process(const std::shared_ptr<Connection>& connection, const std::string& id);

    fault_proxy::EventLoopContext& context_;
    RequestHistory& history_;
    const std::string name_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::list<HeldResponse> held_responses_;
    std::uint64_t received_requests_ = 0;
};

}  // namespace elmbay::process_testbed
