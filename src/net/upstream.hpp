/// @file
/// The backend: sends attempts to servers and reports the outcome of each.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>

#include "base/byte_budget.hpp"
#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "http/message.hpp"
#include "net/endpoint_list_barrier.hpp"
#include "net/server_connection.hpp"
#include "net/server_connection_pool.hpp"
#include "net/upstream_attempt.hpp"

namespace elmbay {

/// Runs attempts: takes an idle connection or opens one, writes the request, reads the response, and reports
/// exactly one outcome for each attempt. It makes no load-balancing decisions.
///
/// Parts: ServerConnection handles one connection. ServerConnectionPool holds the idle ones. UpstreamAttempt
/// is the state of one attempt. EndpointListBarrier delays writes while an endpoint list was received but not
/// read.
///
/// Not thread-safe: everything runs on the event loop's thread. Bounded by the descriptors of
/// SocketPurpose::servers.
class Upstream final : private ServerConnectionOwner {
public:
    /// Timeouts from the settings, in milliseconds.
    struct Timeouts {
        Millis connect_timeout = 250;
        Millis server_idle_timeout = 15000;  ///< idle time after which servers close a connection
    };
    /// Called once for each start_attempt(), never before it has returned. The response is set if the outcome
    /// is success.
    using AttemptEndedHandler =
        std::function<void(AttemptKey, Outcome, Millis duration, HttpResponse response)>;

    /// Checks that run right before a request is written. After a process was stopped for seconds, or had no
    /// CPU core, all its sockets have unread data at once, and the event loop handles them in any order. The
    /// unread data may forbid the write.
    struct WriteChecks {
        /// @return whether the discovery connection has unread data.
        std::function<bool()> is_endpoint_list_unread = [] { return false; };
        /// @return whether the client of the request has disconnected, even if the event was not handled yet.
        std::function<bool(RequestId)> is_client_disconnected = [](RequestId) { return false; };
    };

    /// The referenced objects must outlive the upstream.
    /// @param byte_budget memory budget for response bodies larger than kMaxBodyBytesWithoutGrant.
    Upstream(asio::io_context& io, SocketBudget& socket_budget, ByteBudget& byte_budget, TimerQueue& timers,
             const Clock& clock, Timeouts timeouts, AttemptEndedHandler on_attempt_ended,
             WriteChecks write_checks);
    ~Upstream() override;
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;
    Upstream(Upstream&&) = delete;
    Upstream& operator=(Upstream&&) = delete;

    /// Adds a server or updates it from the endpoint list.
    /// @param may_send     whether attempts may be sent to the server. If false, its idle connections are
    ///                     closed, and its waiting attempts end as not sent.
    /// @param online_since start time of the server's process; 0 if unknown. If it changes, the connections
    ///                     to the previous process are closed.
    void set_server(ServerId id, const Endpoint& endpoint, bool may_send, Millis online_since = 0);
    /// Removes a server and closes its idle connections. Has no effect while it has attempts or pending
    /// connects.
    void remove_server(ServerId id);
    /// @return the number of attempts and pending connects of a server.
    std::size_t attempt_and_connect_count(ServerId id) const;

    /// Starts an attempt.
    /// @param server         a server that was added by set_server().
    /// @param deadline       time at which the attempt ends as timed out if it has no other outcome by then.
    /// @param write_deadline time by which the kernel must have accepted the request's last byte. Otherwise
    ///                       the attempt ends as not sent.
    void start_attempt(AttemptKey key, ServerId server, Millis deadline, Millis write_deadline,
                       std::shared_ptr<const HttpRequest> request);
    /// Cancels an attempt. Its connection is closed before this returns. The attempt ends as cancelled.
    void cancel_attempt(AttemptKey key);

    std::size_t idle_connection_count() const { return pool_.size(); }

private:
    /// Bytes of a response that one read returns at most.
    static constexpr std::size_t kReadBufferBytes = std::size_t{32} * 1024;

    struct Server;

    // ---- ServerConnectionOwner
    void on_connect_finished(ServerId server, bool was_server_contacted) override;
    void on_connected(const std::shared_ptr<ServerConnection>& connection) override;
    void on_connect_failed(const std::shared_ptr<ServerConnection>& connection) override;
    void on_exchange_ended(const std::shared_ptr<ServerConnection>& connection, const AttemptKey& key,
                           ExchangeResult result) override;
    void on_closed(ServerConnection& connection) override;

    // ---- waiting attempts
    void assign_connections(Server& server);
    void assign_idle_connections(Server& server);
    void open_missing_connections(Server& server);
    bool may_write(const Server& server, const UpstreamAttempt& attempt) const;
    bool must_wait_for_list();
    void on_list_check();
    UpstreamAttempt& take_first_waiting(Server& server);
    UpstreamAttempt& take_last_waiting(Server& server);

    // ---- one attempt
    void write(UpstreamAttempt& attempt, const std::shared_ptr<ServerConnection>& connection);
    void set_timer(UpstreamAttempt& attempt, Millis at);
    void on_timer(const AttemptKey& key);
    void on_connect_deadline(UpstreamAttempt& attempt);
    void on_write_deadline(UpstreamAttempt& attempt);
    void on_deadline(UpstreamAttempt& attempt);
    void end_attempt(UpstreamAttempt& attempt, Outcome outcome, HttpResponse response = {});

    // ---- idle connections
    void make_idle(const std::shared_ptr<ServerConnection>& connection);
    void close_long_idle();

    asio::io_context& io_;
    SocketBudget& socket_budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Timeouts timeouts_;
    const AttemptEndedHandler on_attempt_ended_;
    const WriteChecks write_checks_;
    EndpointListBarrier list_barrier_;
    bool is_list_check_posted_ = false;
    std::array<char, kReadBufferBytes> read_buffer_{};
    const ServerConnectionContext connection_context_;
    ServerConnectionPool pool_;
    std::map<ServerId, Server> servers_;
    std::map<AttemptKey, std::unique_ptr<UpstreamAttempt>> attempts_;
};

}  // namespace elmbay
