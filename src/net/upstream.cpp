#include "net/upstream.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <deque>
#include <set>
#include <utility>

namespace elmbay {

namespace {

// Share of the servers' idle timeout after which idle connections are closed. If the server closed a
// connection just as a request is sent on it, the request would be reset although it may have run.
constexpr double kIdleLimitShare = 0.8;
// Longest interval, in milliseconds, between two checks for idle connections that are to be closed, and the
// number of checks within the servers' idle timeout if that is short.
constexpr Millis kMaxIdleCheckInterval = 500;
constexpr double kIdleChecksPerLimit = 20;

}  // namespace

struct Upstream::Server {
    ServerId id = 0;
    Endpoint endpoint;
    Millis online_since = 0;  // start time of the server's process
    bool may_send = true;
    // Whether the last connect failed for lack of a socket, a port or a route on this machine.
    bool last_connect_failed_locally = false;
    std::size_t attempt_count = 0;
    std::size_t connecting_count = 0;
    Millis last_response_at = 0;
    std::deque<AttemptKey> waiting;  // attempts that wait for a connection, oldest first
};

Upstream::Upstream(asio::io_context& io, SocketBudget& socket_budget, ByteBudget& byte_budget,
                   TimerQueue& timers, const Clock& clock, Timeouts timeouts,
                   AttemptEndedHandler on_attempt_ended, WriteChecks write_checks)
    : io_(io),
      socket_budget_(socket_budget),
      timers_(timers),
      clock_(clock),
      timeouts_(timeouts),
      on_attempt_ended_(std::move(on_attempt_ended)),
      write_checks_(std::move(write_checks)),
      list_barrier_(write_checks_.is_endpoint_list_unread),
      connection_context_{
          *this, io, clock, timers, byte_budget, timeouts.connect_timeout, asio::buffer(read_buffer_)} {
    socket_budget_.set_idle_closer(SocketPurpose::servers, [this] { return pool_.close_longest_idle(); });
    timers_.set(clock_.now() + kMaxIdleCheckInterval, [this] { close_long_idle(); });
}

Upstream::~Upstream() = default;

// ---- servers

void Upstream::set_server(ServerId id, const Endpoint& endpoint, bool may_send, Millis online_since) {
    Server& server = servers_[id];
    server.id = id;
    // Any different start time, earlier or later, means another process: the wall clock of a server may be
    // set back between two runs.
    const bool has_restarted = online_since > 0 && server.online_since != online_since;
    const bool has_moved = server.endpoint != endpoint;
    if (may_send) {
        server.endpoint = endpoint;
        server.online_since = online_since;
    }
    server.may_send = may_send;
    // Idle connections are useless if the server accepts no new attempts, and invalid if they lead to an old
    // address or an earlier process.
    if (has_moved || has_restarted || !may_send) pool_.close_all(id);
    if (!may_send) assign_connections(server);
}

void Upstream::remove_server(ServerId id) {
    const auto found = servers_.find(id);
    if (found == servers_.end()) return;
    const Server& server = found->second;
    if (server.attempt_count > 0 || server.connecting_count > 0) return;
    pool_.remove_server(id);
    servers_.erase(found);
}

std::size_t Upstream::attempt_and_connect_count(ServerId id) const {
    const auto found = servers_.find(id);
    if (found == servers_.end()) return 0;
    return found->second.attempt_count + found->second.connecting_count;
}

// ---- waiting attempts

// Assigns idle connections to waiting attempts and opens connections for the others.
void Upstream::assign_connections(Server& server) {
    if (!server.waiting.empty() && must_wait_for_list()) return;
    assign_idle_connections(server);
    open_missing_connections(server);
}

void Upstream::assign_idle_connections(Server& server) {
    while (!server.waiting.empty()) {
        if (!may_write(server, *attempts_.at(server.waiting.front()))) {
            end_attempt(take_first_waiting(server), Outcome::not_sent);
            continue;
        }
        const auto connection = pool_.take(server.id);
        if (!connection) return;
        if (!connection->is_usable()) {
            connection->close();
            continue;
        }
        write(take_first_waiting(server), connection);
    }
}

// Checks again whether the attempt may be written. While it waited, the server may have started to drain, or
// the client may have disconnected. The attempt's deadline may have passed without its timer having run,
// because after a stall the event loop may handle connections first.
bool Upstream::may_write(const Server& server, const UpstreamAttempt& attempt) const {
    const bool is_too_late = clock_.now() >= attempt.last_write_time();
    return server.may_send && !is_too_late && !write_checks_.is_client_disconnected(attempt.key.request);
}

void Upstream::open_missing_connections(Server& server) {
    while (server.connecting_count < server.waiting.size()) {
        if (!socket_budget_.acquire(SocketPurpose::servers)) {
            // No connection is being opened for this attempt, so its request was not sent.
            end_attempt(take_last_waiting(server), Outcome::not_sent);
            continue;
        }
        ++server.connecting_count;
        std::make_shared<ServerConnection>(connection_context_, server.id, server.endpoint)->connect();
    }
}

UpstreamAttempt& Upstream::take_first_waiting(Server& server) {
    UpstreamAttempt& attempt = *attempts_.at(server.waiting.front());
    server.waiting.pop_front();
    return attempt;
}

UpstreamAttempt& Upstream::take_last_waiting(Server& server) {
    UpstreamAttempt& attempt = *attempts_.at(server.waiting.back());
    server.waiting.pop_back();
    return attempt;
}

// Posts a new check of the waiting attempts if they must wait for the endpoint list. The event loop reads the
// list in its next turn.
bool Upstream::must_wait_for_list() {
    if (!list_barrier_.must_wait(clock_.now())) return false;
    if (!std::exchange(is_list_check_posted_, true)) asio::post(io_, [this] { on_list_check(); });
    return true;
}

void Upstream::on_list_check() {
    is_list_check_posted_ = false;
    list_barrier_.end_if_read();
    std::set<ServerId> servers_with_waiting;
    for (const auto& [key, attempt] : attempts_) {
        if (attempt->is_waiting_for_connection()) servers_with_waiting.insert(attempt->server);
    }
    for (const ServerId id : servers_with_waiting) assign_connections(servers_.at(id));
}

// ---- one attempt

void Upstream::start_attempt(AttemptKey key, ServerId server_id, Millis deadline, Millis write_deadline,
                             std::shared_ptr<const HttpRequest> request) {
    auto attempt = std::make_unique<UpstreamAttempt>();
    attempt->key = key;
    attempt->server = server_id;
    attempt->started_at = clock_.now();
    attempt->deadline = deadline;
    attempt->write_deadline = write_deadline;
    attempt->request = std::move(request);
    set_timer(*attempt, attempt->connect_deadline(timeouts_.connect_timeout));
    attempts_[key] = std::move(attempt);
    Server& server = servers_.at(server_id);
    ++server.attempt_count;
    server.waiting.push_back(key);
    assign_connections(server);
}

void Upstream::write(UpstreamAttempt& attempt, const std::shared_ptr<ServerConnection>& connection) {
    attempt.connection = connection;
    set_timer(attempt, attempt.last_write_time());
    const Millis time_left = std::max(0.0, attempt.deadline - clock_.now());
    connection->send(attempt.key, attempt.request, time_left);
}

void Upstream::set_timer(UpstreamAttempt& attempt, Millis at) {
    timers_.cancel(attempt.timer);
    attempt.timer = timers_.set(at, [this, key = attempt.key] { on_timer(key); });
}

void Upstream::on_timer(const AttemptKey& key) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    UpstreamAttempt& attempt = *found->second;
    attempt.timer = {};
    if (attempt.is_waiting_for_connection())
        on_connect_deadline(attempt);
    else if (clock_.now() < attempt.deadline)
        on_write_deadline(attempt);
    else
        on_deadline(attempt);
}

// Counts the missing connection as the server's failure only if a connect was sent to the server and the
// write deadline has not passed.
void Upstream::on_connect_deadline(UpstreamAttempt& attempt) {
    Server& server = servers_.at(attempt.server);
    std::erase(server.waiting, attempt.key);
    const bool is_not_server_failure =
        clock_.now() >= attempt.write_deadline || server.last_connect_failed_locally;
    end_attempt(attempt, is_not_server_failure ? Outcome::not_sent : Outcome::connect_failed);
}

void Upstream::on_write_deadline(UpstreamAttempt& attempt) {
    if (attempt.connection->is_writing())
        attempt.connection->stop_writing();
    else
        set_timer(attempt, attempt.deadline);
}

// Resets the connection first, so that a following attempt of this request does not run beside this one. The
// outcome is timed_out even if the write's handler has not run yet: a write was started, so the request may
// have run.
void Upstream::on_deadline(UpstreamAttempt& attempt) {
    std::exchange(attempt.connection, nullptr)->abandon();
    // If the server's machine has failed, its idle connections are dead without any event on this side. A
    // request sent on one of them would also time out and count as possibly run.
    const bool is_server_silent = servers_.at(attempt.server).last_response_at < attempt.started_at;
    if (is_server_silent) pool_.close_all(attempt.server);
    end_attempt(attempt, Outcome::timed_out);
}

void Upstream::cancel_attempt(AttemptKey key) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    UpstreamAttempt& attempt = *found->second;
    if (attempt.is_waiting_for_connection())
        std::erase(servers_.at(attempt.server).waiting, key);
    else
        std::exchange(attempt.connection, nullptr)->abandon();
    end_attempt(attempt, Outcome::cancelled);
}

void Upstream::end_attempt(UpstreamAttempt& attempt, Outcome outcome, HttpResponse response) {
    timers_.cancel(attempt.timer);
    --servers_.at(attempt.server).attempt_count;
    const AttemptKey key = attempt.key;
    const Millis duration = clock_.now() - attempt.started_at;
    attempts_.erase(key);
    // Posts the callback instead of calling it, because the caller may be start_attempt(), which must return
    // first. The event loop runs posted callbacks in order.
    asio::post(io_, [this, key, outcome, duration, response = std::move(response)]() mutable {
        on_attempt_ended_(key, outcome, duration, std::move(response));
    });
}

// ---- ServerConnectionOwner

void Upstream::on_connect_finished(ServerId server, bool was_server_contacted) {
    servers_.at(server).last_connect_failed_locally = !was_server_contacted;
}

void Upstream::on_connected(const std::shared_ptr<ServerConnection>& connection) {
    Server& server = servers_.at(connection->server());
    --server.connecting_count;
    if (!server.may_send || connection->endpoint() != server.endpoint) {
        connection->close();
        assign_connections(server);
        return;
    }
    make_idle(connection);
}

void Upstream::on_connect_failed(const std::shared_ptr<ServerConnection>& connection) {
    Server& server = servers_.at(connection->server());
    --server.connecting_count;
    // No attempt fails if the remaining connects suffice for the waiting attempts: some attempts may have
    // been assigned connections that became idle.
    if (server.waiting.size() <= server.connecting_count) return;
    const Outcome outcome = server.last_connect_failed_locally ? Outcome::not_sent : Outcome::connect_failed;
    end_attempt(take_first_waiting(server), outcome);
}

void Upstream::on_exchange_ended(const std::shared_ptr<ServerConnection>& connection, const AttemptKey& key,
                                 ExchangeResult result) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) {
        connection->close();
        return;
    }
    UpstreamAttempt& attempt = *found->second;
    if (result.is_response_complete) servers_.at(attempt.server).last_response_at = clock_.now();
    attempt.connection.reset();
    if (result.is_connection_reusable) make_idle(connection);
    end_attempt(attempt, result.outcome, std::move(result.response));
}

void Upstream::on_closed(ServerConnection& connection) {
    pool_.remove(connection);
    socket_budget_.release(SocketPurpose::servers);
}

// ---- idle connections

void Upstream::make_idle(const std::shared_ptr<ServerConnection>& connection) {
    Server& server = servers_.at(connection->server());
    if (!server.may_send || connection->endpoint() != server.endpoint) {
        connection->close();
        return;
    }
    pool_.add(connection, clock_.now());
    if (!server.waiting.empty()) assign_connections(server);
}

void Upstream::close_long_idle() {
    pool_.close_idle_since_before(clock_.now() - timeouts_.server_idle_timeout * kIdleLimitShare);
    const Millis interval =
        std::min(kMaxIdleCheckInterval, timeouts_.server_idle_timeout / kIdleChecksPerLimit);
    timers_.set(clock_.now() + interval, [this] { close_long_idle(); });
}

}  // namespace elmbay
