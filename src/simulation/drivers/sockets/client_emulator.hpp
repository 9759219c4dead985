/// @file
/// Emulates the clients of one sidecar: "The application to its sidecar" of PROTOCOL, on keep-alive
/// connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "simulation/drivers/sockets/loopback_testbed.hpp"
#include "simulation/models/client_model.hpp"

namespace elmbay::simulation {

class ClientEmulator {
public:
    /// Maximum size of a response body. A longer one cannot come from an emulated server.
    static constexpr std::uint64_t kMaxResponseBytes = 64 * 1024;
    /// Time after its timeout for which a client still accepts a response. It equals the slack of the
    /// invariant checker on sockets.
    static constexpr Millis kSlack = 50;

    enum class End {
        responded,       ///< The response is complete.
        truncated,       ///< The connection broke off within the response.
        closed,          ///< The connection was closed without a response.
        connect_failed,  ///< No connection was established, so the sidecar has not received the request.
        timed_out,       ///< The client stopped waiting.
        client_left      ///< The client disconnected early, as the client model determines.
    };
    struct Outcome {
        End end = End::timed_out;
        ResponseKind response = ResponseKind::none;
        bool genuine = true;  ///< Whether the body of a served response was made for this request.
        Millis retry_after = 0;
    };
    struct Handlers {
        /// Called when the connection is established and before the first byte of the request is written.
        std::function<void(const ClientRequest&)> on_sent;
        /// Called once for each request.
        std::function<void(const ClientRequest&, const Outcome&)> on_ended;
    };

    ClientEmulator(LoopbackTestbed& testbed, const Scenario& scenario, const ClientModel& clients,
                   tcp::endpoint sidecar, Handlers handlers);
    ~ClientEmulator();
    ClientEmulator(const ClientEmulator&) = delete;
    ClientEmulator& operator=(const ClientEmulator&) = delete;

    void send(const ClientRequest& request);
    /// Calls `callback` once with whether the sidecar responds to GET /up with status 200.
    void check_ready(std::function<void(bool)> callback);

private:
    class Connection;
    friend class Connection;

    std::string http_request(const ClientRequest& request) const;

    LoopbackTestbed& testbed_;
    const Scenario& scenario_;
    const ClientModel& clients_;
    const tcp::endpoint sidecar_;
    const Handlers handlers_;
    std::vector<std::shared_ptr<Connection>> idle_;
    std::set<std::shared_ptr<Connection>> busy_;
};

}  // namespace elmbay::simulation
