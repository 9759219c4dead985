/// @file
/// Upgrades in progress at servers: connect, opening handshake, outcome.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "websocket/session.hpp"
#include "websocket/upgrading_client.hpp"

namespace elmbay::websocket {

/// The backend of the WebSocket proxy.
///
/// Each attempt takes one descriptor of the budget's session part and ends exactly once: by the server's
/// response, an error, its deadline, cancel() or end_unwritten(). Not thread-safe: it runs on the loop's
/// thread, and must outlive what the loop still holds of it.
class UpgradeAttempts {
public:
    /// How an attempt ended.
    struct EndedAttempt {
        engine::AttemptKey key;
        balancer::ServerId server = 0;
        balancer::Outcome outcome = balancer::Outcome::not_sent;
        Millis duration = 0;             ///< milliseconds since its start
        std::shared_ptr<Stream> stream;  ///< open if the outcome is success
        std::string subprotocol;         ///< chosen by the server; empty: none
    };
    /// Called once for each start(), never from within it. A stream that the handler leaves in place is
    /// closed, and its descriptor given back.
    using EndedHandler = std::function<void(EndedAttempt&)>;

    UpgradeAttempts(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
                    Millis connect_timeout, EndedHandler on_ended);

    /// @param client whose upgrade request is passed on.
    /// @param deadline at which the attempt ends as timed_out at the latest.
    /// @param write_by before which the request is written; otherwise the attempt ends as not_sent.
    void start(engine::AttemptKey key, balancer::ServerId server, const Endpoint& endpoint, Millis deadline,
               Millis write_by, std::shared_ptr<UpgradingClient> client);
    /// Closes the connection. The attempt ends as cancelled, unless it is unknown.
    void cancel(engine::AttemptKey key);
    /// Ends the server's attempts whose request is not written yet, as not_sent.
    void end_unwritten(balancer::ServerId server);

private:
    struct Attempt;
    using AttemptPtr = std::shared_ptr<Attempt>;

    void on_connected(const AttemptPtr& attempt, boost::system::error_code error);
    void send_handshake(const AttemptPtr& attempt);
    void on_handshake_ended(const AttemptPtr& attempt, boost::system::error_code error);
    void end(const AttemptPtr& attempt, balancer::Outcome outcome);

    asio::io_context& io_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Millis connect_timeout_;
    const EndedHandler on_ended_;
    std::map<engine::AttemptKey, AttemptPtr> attempts_;
};

}  // namespace elmbay::websocket
