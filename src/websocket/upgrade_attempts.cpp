#include "websocket/upgrade_attempts.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "websocket/handshake.hpp"

namespace elmbay::websocket {

using balancer::Outcome;
using balancer::ServerId;
using engine::AttemptKey;
using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

struct UpgradeAttempts::Attempt {
    AttemptKey key;
    ServerId server = 0;
    Millis started_at = 0;
    Millis deadline = 0;
    Millis write_by = 0;
    std::shared_ptr<UpgradingClient> client;
    std::shared_ptr<Stream> stream{};
    ws::response_type response{};
    std::string subprotocol{};
    bool request_written = false;
    bool has_ended = false;
    TimerQueue::Key timer{};  // runs until the connect timeout, then until the deadline
};

namespace {

// Returns whether the server has sent an invalid HTTP response or handshake. Such a server may have processed
// the upgrade.
bool is_protocol_error(const Error& error) {
    const bool is_websocket_error = error.category() == Error(ws::error::closed).category();
    const bool is_http_error = error.category() == Error(http::error::bad_version).category();
    return (is_websocket_error || is_http_error) && error != http::error::end_of_stream;
}

}  // namespace

UpgradeAttempts::UpgradeAttempts(asio::io_context& io, SocketBudget& budget, TimerQueue& timers,
                                 const Clock& clock, Millis connect_timeout, EndedHandler on_ended)
    : io_(io),
      budget_(budget),
      timers_(timers),
      clock_(clock),
      connect_timeout_(connect_timeout),
      on_ended_(std::move(on_ended)) {}

void UpgradeAttempts::start(AttemptKey key, ServerId server, const Endpoint& endpoint, Millis deadline,
                            Millis write_by, std::shared_ptr<UpgradingClient> client) {
    const auto attempt =
        std::make_shared<Attempt>(Attempt{key, server, clock_.now(), deadline, write_by, std::move(client)});
    attempts_[key] = attempt;
    if (!budget_.acquire(elmbay::SocketPurpose::sessions)) {
        asio::post(io_, [this, attempt] { end(attempt, Outcome::connect_failed); });
        return;
    }
    attempt->stream = std::make_shared<Stream>(io_);
    const Millis connect_deadline = std::min(deadline, attempt->started_at + connect_timeout_);
    attempt->timer =
        timers_.set(connect_deadline, [this, attempt] { end(attempt, Outcome::connect_failed); });
    // The handler keeps the stream alive, even if the attempt ends first.
    attempt->stream->next_layer().async_connect(endpoint, [this, attempt, keep_alive = attempt->stream](
                                                              Error error) { on_connected(attempt, error); });
}

void UpgradeAttempts::on_connected(const AttemptPtr& attempt, Error error) {
    if (attempt->has_ended) return;
    if (error) {
        end(attempt, Outcome::connect_failed);
        return;
    }
    if (clock_.now() >= attempt->write_by) {
        end(attempt, Outcome::not_sent);
        return;
    }
    timers_.cancel(attempt->timer);
    attempt->timer = timers_.set(attempt->deadline, [this, attempt] { end(attempt, Outcome::timed_out); });
    send_handshake(attempt);
}

void UpgradeAttempts::send_handshake(const AttemptPtr& attempt) {
    Stream& stream = *attempt->stream;
    Error ignored;
    stream.next_layer().set_option(tcp::no_delay(true), ignored);
    // Beast's own timeouts are disabled, because the attempt ends at the deadline that the balancer sets.
    stream.set_option(ws::stream_base::timeout{ws::stream_base::none(), ws::stream_base::none(), false});
    const Millis time_left = attempt->deadline - clock_.now();
    stream.set_option(
        ws::stream_base::decorator([client = attempt->client, time_left](ws::request_type& request) {
            request.erase(http::field::user_agent);
            add_forwarded_headers(request, client->request(), time_left);
        }));
    attempt->request_written = true;
    const HttpRequest& request = attempt->client->request();
    // The handler keeps the stream alive, even if the attempt ends first.
    stream.async_handshake(
        attempt->response, std::string(request[http::field::host]), std::string(request.target()),
        [this, attempt, keep_alive = attempt->stream](Error error) { on_handshake_ended(attempt, error); });
}

void UpgradeAttempts::on_handshake_ended(const AttemptPtr& attempt, Error error) {
    if (attempt->has_ended) return;
    const bool has_response = !error || error == ws::error::upgrade_declined;
    if (!has_response) {
        end(attempt, is_protocol_error(error) ? Outcome::error_response : Outcome::connection_reset);
        return;
    }
    const ServerResponse response =
        evaluate_server_response(attempt->response, attempt->client->offered_subprotocols());
    if (error && response.outcome == Outcome::success) {
        end(attempt, Outcome::error_response);
        return;
    }
    attempt->subprotocol = response.subprotocol;
    end(attempt, response.outcome);
}

void UpgradeAttempts::end(const AttemptPtr& attempt, Outcome outcome) {
    const bool had_ended = std::exchange(attempt->has_ended, true);
    if (had_ended) return;
    timers_.cancel(attempt->timer);
    attempts_.erase(attempt->key);
    EndedAttempt ended{attempt->key,
                       attempt->server,
                       outcome,
                       clock_.now() - attempt->started_at,
                       std::move(attempt->stream),
                       std::move(attempt->subprotocol)};
    on_ended_(ended);
    if (!ended.stream) return;
    Error ignored;
    ended.stream->next_layer().close(ignored);
    budget_.release(elmbay::SocketPurpose::sessions);
}

void UpgradeAttempts::cancel(AttemptKey key) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    const AttemptPtr attempt = found->second;
    Error ignored;
    if (attempt->stream) attempt->stream->next_layer().close(ignored);
    asio::post(io_, [this, attempt] { end(attempt, Outcome::cancelled); });
}

void UpgradeAttempts::end_unwritten(ServerId server) {
    std::vector<AttemptPtr> unwritten;
    for (const auto& [key, attempt] : attempts_) {
        if (attempt->server == server && !attempt->request_written) unwritten.push_back(attempt);
    }
    for (const AttemptPtr& attempt : unwritten) end(attempt, Outcome::not_sent);
}

}  // namespace elmbay::websocket
