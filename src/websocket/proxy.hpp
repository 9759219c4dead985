/// @file
/// The WebSocket frontend and backend: upgrades on both sides, and the established sessions.
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

/// Proxies WebSocket connections. The engine decides where an upgrade goes and what becomes of it.
///
/// An accepted upgrade ends by begin_session(), by respond(), or by on_client_disconnected. Each
/// start_attempt() is answered by one on_attempt_ended, never from within it. Each session that begins is
/// answered by one on_session_ended.
///
/// Not thread-safe: everything runs on the event loop's thread. Bounded by the settings and by the budget's
/// part for sessions, from which all its sockets come. Loop, budget, timers and clock must outlive it.
class Proxy {
public:
    /// Called from the loop.
    struct Handlers {
        std::function<void(AttemptKey, Outcome, Millis duration)> on_attempt_ended;
        std::function<void(RequestId)> on_client_disconnected;         ///< the client left during its upgrade
        std::function<void(RequestId, bool broken)> on_session_ended;  ///< broken: as Session::EndedHandler
    };

    /// @param connect_timeout milliseconds for a connection to a server.
    /// @param seed of the random spread of closes.
    Proxy(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
          const Settings& settings, Millis connect_timeout, std::uint64_t seed, Handlers handlers);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// A client's upgrade request has been read and validated; its connection comes with it.
    /// @return whether it is accepted. If not, its address has max_sessions_per_client already: it has had
    /// its 403, and the engine must not hear of it.
    bool on_upgrade_request(RequestId id, asio::ip::tcp::socket client_socket, HttpRequest request);
    /// @return whether the budget had a descriptor for the client's socket. If not, the engine has no
    /// capacity for it.
    bool has_client_socket(RequestId id) const;
    /// @return whether the request is an accepted upgrade without an outcome.
    bool has_upgrade(RequestId id) const { return upgrades_.contains(id); }

    /// As engine::ActionHandler::start_attempt().
    void start_attempt(AttemptKey key, ServerId server, const Endpoint& endpoint, Millis attempt_deadline,
                       Millis write_by);
    /// As engine::ActionHandler::cancel_attempt().
    void cancel_attempt(AttemptKey key);
    /// The upgrade has succeeded: its session begins.
    void begin_session(RequestId id);
    /// The upgrade has failed: sends the final response and closes the connection.
    void respond(RequestId id, HttpResponse response);

    /// What the endpoint list says of a server. When it may not be sent to any more, attempts that are not
    /// written end as not_sent, and its sessions are closed, spread over `drain_spread`.
    void set_server(ServerId id, bool may_send);
    /// The server has left the endpoint list.
    void remove_server(ServerId id) { draining_servers_.erase(id); }
    /// Closes all sessions, spread over `shutdown_spread`, and each that begins later.
    void drain();
    /// @param done called once, from the loop, when no upgrade and no session is left.
    void notify_when_empty(std::function<void()> done);

    /// @return established sessions.
    std::size_t sessions() const { return sessions_.size(); }
    /// @return upgrades in progress.
    std::size_t upgrades() const { return upgrades_.size(); }

private:
    /// An established session and what it counts against.
    struct ActiveSession {
        std::shared_ptr<Session> session;
        ServerId server = 0;
        std::string client_address;
        bool close_scheduled = false;
    };
    /// Why sessions are closed, and over which time.
    struct CloseOrder {
        Millis spread;  ///< milliseconds
        ws::close_code code;
        const char* reason;
    };

    CloseOrder server_draining() const;
    CloseOrder shutting_down() const;
    std::shared_ptr<UpgradingClient> remove_upgrade(RequestId id);
    bool count_client(const std::string& address);
    void uncount_client(const std::string& address);
    void on_client_disconnected(RequestId id);
    void on_attempt_ended(UpgradeAttempts::EndedAttempt& ended);
    void on_session_ended(RequestId id, bool broken);
    void schedule_closes(const std::vector<RequestId>& ids, const CloseOrder& order);
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
    std::unordered_map<std::string, std::uint64_t> count_by_client_;  // upgrades and sessions, by address
    std::set<ServerId> draining_servers_;  // of those that are listed or have sessions
    std::function<void()> on_empty_;
    bool is_draining_ = false;
};

}  // namespace elmbay::websocket
