/// @file
/// The WebSocket frontend and backend: client upgrades, upgrade attempts at servers, and established
/// sessions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "websocket/session.hpp"
#include "websocket/settings.hpp"
#include "websocket/upgrade_attempts.hpp"
#include "websocket/upgrading_client.hpp"

namespace elmbay::websocket {

using balancer::Outcome;
using balancer::RequestId;
using balancer::ServerId;
using engine::AttemptKey;

/// Proxies WebSocket connections. The engine chooses the server for each upgrade and decides its outcome.
///
/// An accepted upgrade ends with begin_session(), respond() or on_client_disconnected. Each start_attempt()
/// leads to exactly one call of on_attempt_ended, never from within start_attempt(). Each established session
/// leads to exactly one call of on_session_ended.
///
/// Not thread-safe: all functions run on the event loop's thread. The number of connections is bounded by the
/// settings and by the session part of the socket budget, which covers all sockets of the proxy. The event
/// loop, budget, timers and clock must outlive the proxy.
class Proxy {
public:
    /// The proxy calls these handlers from the event loop.
    struct Handlers {
        std::function<void(AttemptKey, Outcome, Millis duration)> on_attempt_ended;
        std::function<void(RequestId)> on_client_disconnected;         ///< during the client's upgrade
        std::function<void(RequestId, bool broken)> on_session_ended;  ///< broken: see Session::EndedHandler
    };

    /// @param connect_timeout the time limit for connecting to a server, in milliseconds.
    /// @param seed the seed of the random numbers that spread closes over time.
    Proxy(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
          const Settings& settings, Millis connect_timeout, std::uint64_t seed, Handlers handlers);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// Takes over a client connection whose upgrade request has been read and validated.
    /// @return whether the upgrade is accepted. If the client's address already has max_sessions_per_client
    /// sessions, the proxy responds with 403 itself, and the caller must not pass the request to the engine.
    bool on_upgrade_request(RequestId id, asio::ip::tcp::socket client_socket, HttpRequest request);
    /// @return whether the client's socket holds a descriptor of the budget. Without one, the engine must
    /// treat the upgrade as a request for which there is no capacity.
    bool has_client_socket(RequestId id) const;
    /// @return whether the request is an accepted upgrade that has not ended yet.
    bool has_upgrade(RequestId id) const { return upgrades_.contains(id); }

    /// See engine::ActionHandler::start_attempt().
    void start_attempt(AttemptKey key, ServerId server, const Endpoint& endpoint, Millis attempt_deadline,
                       Millis write_by);
    /// See engine::ActionHandler::cancel_attempt().
    void cancel_attempt(AttemptKey key);
    /// Begins the session of an upgrade that has succeeded.
    void begin_session(RequestId id);
    /// Sends the final response of an upgrade that has failed, and closes the connection.
    void respond(RequestId id, HttpResponse response);

    /// Applies a server's state in the endpoint list.
    /// @param may_send whether the server may receive new upgrades. When this becomes false, attempts at the
    /// server whose request is not written yet end as not_sent, and its sessions are closed, spread over
    /// `drain_spread`.
    void set_server(ServerId id, bool may_send);
    /// Removes a server that is no longer in the endpoint list.
    void remove_server(ServerId id) { draining_servers_.erase(id); }
    /// Closes all sessions, spread over `shutdown_spread`, and every session that begins later.
    void drain();
    /// @param done called once, from the event loop, when the proxy has no upgrade and no session.
    void notify_when_empty(std::function<void()> done);

    /// @return the number of established sessions.
    std::size_t sessions() const { return sessions_.size(); }
    /// @return the number of upgrades in progress.
    std::size_t upgrades() const { return upgrades_.size(); }

private:
    /// An established session, with the server and the client address whose session limits it counts towards.
    struct ActiveSession {
        std::shared_ptr<Session> session;
        ServerId server = 0;
        std::string client_address;
        bool close_scheduled = false;
    };
    /// The reason for closing a group of sessions, and the time over which the closes are spread.
    struct CloseSchedule {
        Millis spread;  ///< milliseconds
        ws::close_code code;
        const char* reason;
    };

    CloseSchedule server_drain_schedule() const;
    CloseSchedule shutdown_schedule() const;
    std::shared_ptr<UpgradingClient> remove_upgrade(RequestId id);
    bool acquire_session_slot(const std::string& address);
    void release_session_slot(const std::string& address);
    void on_client_disconnected(RequestId id);
    void on_attempt_ended(UpgradeAttempts::EndedAttempt& ended);
    void on_session_ended(RequestId id, bool broken);
    void schedule_closes(const std::vector<RequestId>& ids, const CloseSchedule& schedule);
    void close_session(RequestId id, ws::close_code code, const std::string& reason);
    void notify_if_empty();

    asio::io_context& io_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Settings settings_;
    std::mt19937_64 random_;
    Handlers handlers_;
    UpgradeAttempts attempts_;
    std::unordered_map<RequestId, std::shared_ptr<UpgradingClient>> upgrades_;
    std::unordered_map<RequestId, ActiveSession> sessions_;
    std::unordered_map<std::string, std::uint64_t> client_session_counts_;  // by address; includes upgrades
    // The servers that may not receive new upgrades, while they are listed or have sessions.
    std::set<ServerId> draining_servers_;
    std::function<void()> on_empty_;
    bool is_draining_ = false;
};

}  // namespace elmbay::websocket
