// Emulated clients of the sidecars: send requests with deadlines, report their outcomes and keep connections
// alive.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy/event_loop_context.hpp"
#include "process_testbed/request_history.hpp"

namespace elmbay::process_testbed {

using tcp = asio::ip::tcp;

/// One request as specified by a test.
struct ClientRequest {
    std::string request_class = "listen";  ///< or "deposit" or "annotate"
    Millis deadline = 0;                   ///< milliseconds; 0: the deadline of the testbed's options
    Millis disconnect_after = 0;           ///< milliseconds until the client closes its connection; 0: never
    std::string idempotency_key{};         ///< for "annotate"; empty: a key unique to the request
};

/// Sends requests to sidecars and reports the outcome of each to the history.
///
/// Owned by ProcessTestbed; runs in its event loop, not thread-safe. The destructor closes all connections.
class ClientEmulator {
public:
    /// Milliseconds for which a client waits beyond its deadline. The rules allow a response up to half a
    /// second late, which only earns no credit.
    static constexpr Millis kResponseGracePeriod = 500;

    ClientEmulator(fault_proxy::EventLoopContext& context, RequestHistory& history);
    ~ClientEmulator();
    ClientEmulator(const ClientEmulator&) = delete;
    ClientEmulator& operator=(const ClientEmulator&) = delete;

    /// Sends a request on an idle connection to the sidecar, or on a new one.
    /// @param address address at which clients reach the sidecar.
    /// @param request request to send; its deadline must be set.
    /// @return the request's correlation id.
    std::string send(const std::string& sidecar, const tcp::endpoint& address, const ClientRequest& request);
    /// @throws std::out_of_range for an id that send() has not returned.
    bool has_ended(const std::string& id) const;
    /// @return the outcome of the request; none while the request is open, or if it ended without a response.
    /// @throws std::out_of_range for an id that send() has not returned.
    std::optional<RequestHistory::Outcome> outcome(const std::string& id) const;
    /// Closes the connections of all open requests, which then have no outcome.
    void close_all();

private:
    class Exchange;
    friend class Exchange;
    struct Result {
        bool has_ended = false;
        std::optional<RequestHistory::Outcome> outcome;
    };

    std::optional<tcp::socket> take_idle_connection(const std::string& sidecar);

    fault_proxy::EventLoopContext& context_;
    RequestHistory& history_;
    std::vector<std::weak_ptr<Exchange>> exchanges_;
    std::map<std::string, std::vector<tcp::socket>> idle_connections_;  // by sidecar
    std::map<std::string, Result> results_;                             // by request id
    std::uint64_t last_id_ = 0;
};

}  // namespace elmbay::process_testbed
