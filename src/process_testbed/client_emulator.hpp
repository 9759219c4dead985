// Emulated clients of the sidecars: each request with its deadline, its outcome and the connections that are
// kept alive.
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

/// One request as a test describes it.
struct ClientRequest {
    std::string request_class = "listen";  ///< or "deposit", "annotate"
    Millis deadline = 0;                   ///< milliseconds; 0: that of the testbed's options
    Millis disconnect_after =
        0;  ///< the client closes its connection after so many milliseconds; 0: it stays
    std::string idempotency_key{};  ///< of "annotate"; empty: one of its own
};

/// Sends requests to sidecars and reports to the history how each ended.
///
/// Owned by ProcessTestbed; runs in its event loop, not thread-safe. The destructor closes all connections.
class ClientEmulator {
public:
    /// Milliseconds after its deadline that a client still waits: "up to half a second after its time it only
    /// earns nothing".
    static constexpr Millis kResponseGracePeriod = 500;

    ClientEmulator(fault_proxy::EventLoopContext& context, RequestHistory& history);
    ~ClientEmulator();
    ClientEmulator(const ClientEmulator&) = delete;
    ClientEmulator& operator=(const ClientEmulator&) = delete;

    /// Sends a request on an idle connection to the sidecar, or on a new one.
    /// @param address where clients reach the sidecar.
    /// @param request its deadline must be set.
    /// @return the request's correlation id.
    std::string send(const std::string& sidecar, const tcp::endpoint& address, const ClientRequest& request);
    /// @throws std::out_of_range for an id that send() has not returned.
    bool has_ended(const std::string& id) const;
    /// @return how the request ended; none while it is open, or if it ended without a response.
    /// @throws std::out_of_range for an id that send() has not returned.
    std::optional<RequestHistory::Outcome> outcome(const std::string& id) const;
    /// Closes the connections of all open requests, which get no outcome.
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
