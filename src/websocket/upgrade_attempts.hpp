/// @file
/// Upgrade attempts at servers, from connecting through the opening handshake to the outcome.
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
/// Each attempt takes one descriptor of the session part of the socket budget and ends exactly once: by the
/// server's response, an error, its deadline, cancel() or end_unwritten(). Not thread-safe: it runs on the
/// event loop's thread, and must outlive its handlers that are pending in the event loop.
class UpgradeAttempts {
public:
    /// The result of an attempt.
    struct EndedAttempt {
        engine::AttemptKey key;
        balancer::ServerId server = 0;
        balancer::Outcome outcome = balancer::Outcome::not_sent;
        Millis duration = 0;             ///< milliseconds since the attempt started
        std::shared_ptr<Stream> stream;  ///< open if the outcome is success
        std::string subprotocol;         ///< the server's choice; empty if none
    };
    /// Called exactly once for each start(), never from within start(). If the handler does not move the
    /// stream away, the stream is closed and its descriptor is returned to the budget.
    using EndedHandler = std::function<void(EndedAttempt&)>;

    UpgradeAttempts(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
                    Millis connect_timeout, EndedHandler on_ended);

    /// Starts an attempt.
    /// @param deadline the time at which an unfinished attempt ends as timed_out.
    /// @param write_by the time before which the request must be written. Otherwise the attempt ends as
    /// not_sent.
    /// @param client the client whose upgrade request is forwarded.
    void start(engine::AttemptKey key, balancer::ServerId server, const Endpoint& endpoint, Millis deadline,
               Millis write_by, std::shared_ptr<UpgradingClient> client);
    /// Closes the attempt's connection, and the attempt ends as cancelled. Does nothing if no such attempt is
    /// in progress.
    void cancel(engine::AttemptKey key);
    /// Ends all attempts at the server whose request is not written yet, with the outcome not_sent.
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
