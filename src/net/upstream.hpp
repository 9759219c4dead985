/// @file
/// The servers' side: sends attempts to servers and says what became of each.
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

/// Runs attempts: finds or opens a connection for each, writes its request, and reads its response, up to one
/// outcome each. Decides nothing about requests.
///
/// Parts: ServerConnection is one connection, ServerConnectionPool holds the idle ones, UpstreamAttempt is
/// one attempt, EndpointListBarrier holds writes back while the endpoint list has come and was not read.
///
/// Not thread-safe: everything runs on the event loop's thread. Bounded by the descriptors of
/// SocketPurpose::servers.
class Upstream final : private ServerConnectionOwner {
public:
    /// Times of the settings, in milliseconds.
    struct Limits {
        Millis connect_timeout = 250;
        Millis idle_close = 15000;  ///< servers close a connection that has been idle for so long
    };
    /// Called once for each start_attempt(), never from within it. The response is there if the outcome is
    /// success.
    using Ended = std::function<void(AttemptKey, Outcome, Millis duration, HttpResponse response)>;

    /// Asked right before a request is written. A process that was stopped for seconds, or had no core, wakes
    /// with everything unread at once, in any order: what would forbid the write may be among it.
    struct WriteChecks {
        /// @return whether the endpoint list has said something that was not read.
        std::function<bool()> is_endpoint_list_unread = [] { return false; };
        /// @return whether the client of the request has left, even if that was not handled yet.
        std::function<bool(RequestId)> is_client_disconnected = [](RequestId) { return false; };
    };

    /// The references must outlive the upstream.
    /// @param bytes for responses beyond the usual size.
    Upstream(asio::io_context& io, SocketBudget& budget, ByteBudget& bytes, TimerQueue& timers,
             const Clock& clock, Limits limits, Ended ended, WriteChecks write_checks);
    ~Upstream() override;
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;
    Upstream(Upstream&&) = delete;
    Upstream& operator=(Upstream&&) = delete;

    /// What the endpoint list says of a server. One that may not be sent to gets no byte of a new attempt:
    /// its idle connections are closed, and its waiting attempts end as not sent.
    /// @param online_since when its process started. A process that started at another time has none of the
    ///                     connections of the one before.
    void set_server(ServerId id, const Endpoint& endpoint, bool may_send, Millis online_since = 0);
    /// Without effect for a server that has attempts or connects.
    void remove_server(ServerId id);
    /// @return attempts and connects of a server.
    std::size_t attempt_and_connect_count(ServerId id) const;

    /// Begins an attempt.
    /// @param server     named by set_server() before.
    /// @param deadline   the attempt ends as timed out, unless something else ends it before.
    /// @param write_deadline its last byte is handed to the kernel before this time, or it ends as not sent.
    void start_attempt(AttemptKey key, ServerId server, Millis deadline, Millis write_deadline,
                       std::shared_ptr<const HttpRequest> request);
    /// Closes the attempt's connection before it returns. The attempt ends as cancelled.
    void cancel_attempt(AttemptKey key);

    std::size_t idle_connection_count() const { return pool_.size(); }

private:
    /// Bytes of a response that are read at a time.
    static constexpr std::size_t kReadBufferBytes = std::size_t{32} * 1024;

    struct Server;

    // ---- what connections tell
    void on_connect_tried(ServerId server, bool server_was_asked) override;
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
    void on_list_turn();
    UpstreamAttempt& take_first_waiting(Server& server);
    UpstreamAttempt& take_last_waiting(Server& server);

    // ---- one attempt
    void write(UpstreamAttempt& attempt, const std::shared_ptr<ServerConnection>& connection);
    void set_timer(UpstreamAttempt& attempt, Millis at);
    void on_timer(const AttemptKey& key);
    void on_connect_time_over(UpstreamAttempt& attempt);
    void on_write_time_over(UpstreamAttempt& attempt);
    void on_deadline(UpstreamAttempt& attempt);
    void end(UpstreamAttempt& attempt, Outcome outcome, HttpResponse response = {});

    // ---- idle connections
    void make_idle(const std::shared_ptr<ServerConnection>& connection);
    void close_long_idle();

    asio::io_context& io_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Limits limits_;
    const Ended ended_;
    const WriteChecks write_checks_;
    EndpointListBarrier list_barrier_;
    bool is_list_turn_posted_ = false;
    std::array<char, kReadBufferBytes> read_buffer_{};
    const ServerConnectionContext connection_context_;
    ServerConnectionPool pool_;
    std::map<ServerId, Server> servers_;
    std::map<AttemptKey, std::unique_ptr<UpstreamAttempt>> attempts_;
};

}  // namespace elmbay
