#include "websocket/front.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>

#include "http/request_validation.hpp"
#include "websocket/handshake.hpp"

namespace elmbay::websocket {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// After a final answer: time for the client to read it and close.
constexpr Millis kLastRead = 1000;
// A client that is told to go is told to come back after up to this much more, so that those told together do
// not come back together.
constexpr double kComeBackSpread = 1000;

}  // namespace

// A client whose upgrade is in work. Until its answer has begun it has nothing to say: what comes from it, or
// its end, means that it has gone.
class Front::Client : public std::enable_shared_from_this<Client> {
public:
    Client(Front& owner, RequestId id, tcp::socket socket, HttpRequest head)
        : head(std::move(head)),
          offered(offered_by(this->head)),
          counted(owner.budget_.take(Side::sessions)),
          owner_(&owner),
          budget_(owner.budget_),
          id_(id),
          socket_(std::move(socket)) {
        Error error;
        const auto peer = socket_.remote_endpoint(error);
        if (!error) address = peer.address().to_string();
    }
    void watch() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error) {
            if (!self->owner_) return;
            Front& owner = *std::exchange(self->owner_, nullptr);
            self->close();
            owner.left(self->id_);
        });
    }
    // For its session.
    tcp::socket release() {
        owner_ = nullptr;
        Error ignored;
        socket_.cancel(ignored);
        return std::move(socket_);
    }
    void answer(HttpResponse response) {
        owner_ = nullptr;
        Error ignored;
        socket_.cancel(ignored);
        response.version(11);
        response.keep_alive(false);
        response.prepare_payload();
        answer_ = std::make_unique<HttpResponse>(std::move(response));
        limit_.emplace(socket_.get_executor(), std::chrono::milliseconds(static_cast<int>(kLastRead)));
        limit_->async_wait([self = shared_from_this()](Error error) {
            if (!error) self->close();
        });
        http::async_write(socket_, *answer_, [self = shared_from_this()](Error error, std::size_t) {
            Error failed;
            if (!error) self->socket_.shutdown(tcp::socket::shutdown_send, failed);
            self->discard();
        });
    }
    const HttpRequest head;
    const std::vector<std::string> offered;
    bool counted;
    std::string address;
    std::shared_ptr<Stream> server;  // whose upgrade has come through
    std::string subprotocol;
    ServerId at = 0;

private:
    // Reads on until the client has closed: closing over unread bytes would take the answer with it.
    void discard() {
        socket_.async_read_some(asio::buffer(waste_), [self = shared_from_this()](Error error, std::size_t) {
            if (!error) return self->discard();
            self->limit_.reset();
            self->close();
        });
    }
    // The only place that gives the socket back: a connection that nobody ever closed, at the very end, must
    // not reach for a budget that has gone.
    void close() {
        Error ignored;
        socket_.close(ignored);
        if (std::exchange(counted, false)) budget_.give_back(Side::sessions);
    }

    Front* owner_;  // none once its outcome is known
    SocketBudget& budget_;
    RequestId id_;
    TcpSocket socket_;
    std::unique_ptr<HttpResponse> answer_;
    std::optional<asio::steady_timer> limit_;
    std::array<char, 512> waste_{};
};

struct Front::Attempt {
    AttemptKey key;
    ServerId server = 0;
    Millis started = 0, until = 0, write_by = 0;
    std::shared_ptr<Client> client;
    std::shared_ptr<Stream> stream;
    ws::response_type answer;
    bool written = false, over = false;
    TimerQueue::Key timer{};
};

Front::Front(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
             const Settings& settings, Millis connect_timeout, std::uint64_t seed, Handlers handlers)
    : io_(io),
      budget_(budget),
      timers_(timers),
      clock_(clock),
      settings_(settings),
      connect_timeout_(connect_timeout),
      random_(seed),
      handlers_(std::move(handlers)) {}

Front::~Front() = default;

// ---- Clients ----------------------------------------------------------------------------------------------

bool Front::take(RequestId id, tcp::socket socket, HttpRequest head) {
    const auto client = std::make_shared<Client>(*this, id, std::move(socket), std::move(head));
    if (std::uint64_t& held = of_client_[client->address]; held >= settings_.most_of_client) {
        HttpResponse response(http::status::forbidden, 11);
        response.body() = "this client has as many sessions as it may have\n";
        client->answer(std::move(response));
        return false;
    } else {
        ++held;
    }
    upgrades_[id] = client;
    client->watch();
    return true;
}

bool Front::has_capacity(RequestId id) const {
    const auto at = upgrades_.find(id);
    return at != upgrades_.end() && at->second->counted;
}

void Front::left(RequestId id) {
    const auto at = upgrades_.find(id);
    if (at == upgrades_.end()) return;
    const auto client = at->second;
    upgrades_.erase(at);
    forget_client(client->address);
    handlers_.on_client_disconnected(id);
    tell_if_empty();
}

void Front::forget_client(const std::string& address) {
    const auto at = of_client_.find(address);
    if (at != of_client_.end() && --at->second == 0) of_client_.erase(at);
}

void Front::refuse(RequestId id, HttpResponse answer) {
    const auto at = upgrades_.find(id);
    if (at == upgrades_.end()) return;
    const auto client = at->second;
    upgrades_.erase(at);
    forget_client(client->address);
    client->answer(std::move(answer));
    tell_if_empty();
}

void Front::serve(RequestId id) {
    const auto at = upgrades_.find(id);
    if (at == upgrades_.end() || !at->second->server) return;
    const auto client = at->second;
    upgrades_.erase(at);
    // The session's two sockets are counted with it: the client's as so far, the server's since it was
    // opened.
    client->counted = false;
    const auto session = std::make_shared<Session>(settings_, client->release(), std::move(client->server),
                                                   [this, id](bool broken) { session_ended(id, broken); });
    sessions_[id] = {session, client->at, client->address};
    session->start(client->head, client->subprotocol);
    // Told since its upgrade was written: it goes with the others, though it came last.
    if (ending_)
        tell({id}, settings_.ending, ws::close_code::going_away, "this sidecar ends");
    else if (draining_.contains(client->at))
        tell({id}, settings_.drain, ws::close_code::service_restart, "server is draining");
}

void Front::session_ended(RequestId id, bool broken) {
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) return;
    forget_client(at->second.client);
    sessions_.erase(at);
    budget_.give_back(Side::sessions);
    budget_.give_back(Side::sessions);
    handlers_.on_session_ended(id, broken);
    tell_if_empty();
}

// ---- Servers ----------------------------------------------------------------------------------------------

void Front::start(AttemptKey key, ServerId server, const Endpoint& endpoint, Millis until, Millis write_by) {
    const auto attempt = std::make_shared<Attempt>();
    attempt->key = key, attempt->server = server, attempt->started = clock_.now(), attempt->until = until;
    attempt->write_by = write_by;
    attempt->client = upgrades_.at(key.request);
    attempts_[key] = attempt;
    if (!budget_.take(Side::sessions)) {
        asio::post(io_, [this, attempt] { end(attempt, Outcome::connect_failed); });
        return;
    }
    attempt->stream = std::make_shared<Stream>(io_);
    const Millis connect_until = std::min(until, attempt->started + connect_timeout_);
    attempt->timer = timers_.set(connect_until, [this, attempt] { end(attempt, Outcome::connect_failed); });
    attempt->stream->next_layer().async_connect(
        endpoint, [this, attempt, stream = attempt->stream](Error error) { connected(attempt, error); });
}

void Front::connected(const std::shared_ptr<Attempt>& attempt, Error error) {
    if (attempt->over) return;
    if (error) return end(attempt, Outcome::connect_failed);
    if (clock_.now() >= attempt->write_by) return end(attempt, Outcome::not_sent);
    timers_.cancel(attempt->timer);
    attempt->timer = timers_.set(attempt->until, [this, attempt] { end(attempt, Outcome::timed_out); });
    Stream& stream = *attempt->stream;
    Error ignored;
    stream.next_layer().set_option(tcp::no_delay(true), ignored);
    // The times are the module's, by the timer.
    stream.set_option(ws::stream_base::timeout{ws::stream_base::none(), ws::stream_base::none(), false});
    stream.set_option(ws::stream_base::decorator(
        [client = attempt->client, left = attempt->until - clock_.now()](ws::request_type& request) {
            request.erase(http::field::user_agent);
            ask_server(request, client->head, left);
        }));
    attempt->written = true;
    const HttpRequest& head = attempt->client->head;
    // The stream stays for as long as its handshake is under way, whatever has become of the attempt.
    stream.async_handshake(
        attempt->answer, std::string(head[http::field::host]), std::string(head.target()),
        [this, attempt, keep = attempt->stream](Error failed) {
            if (attempt->over) return;
            const bool answered = !failed || failed == ws::error::upgrade_declined;
            // An answer that breaks the protocol: it has run, and nobody can tell how it ended.
            const bool spoilt = failed.category() == Error(ws::error::closed).category() ||
                                failed.category() == Error(http::error::bad_version).category();
            const ServerAnswer got = read_answer(attempt->answer, attempt->client->offered);
            if (!answered)
                return end(attempt, spoilt && failed != http::error::end_of_stream
                                        ? Outcome::error_response
                                        : Outcome::connection_reset);
            if (failed && got.outcome == Outcome::success) return end(attempt, Outcome::error_response);
            attempt->client->subprotocol = got.subprotocol;
            end(attempt, got.outcome);
        });
}

void Front::end(const std::shared_ptr<Attempt>& attempt, Outcome outcome) {
    if (std::exchange(attempt->over, true)) return;
    timers_.cancel(attempt->timer);
    attempts_.erase(attempt->key);
    Client& client = *attempt->client;
    if (outcome == Outcome::success) {
        client.server = std::move(attempt->stream);
        client.at = attempt->server;
    }
    handlers_.on_attempt_ended(attempt->key, outcome, clock_.now() - attempt->started);
    // Whatever no session has taken over: also an upgrade that came through for a client that has gone.
    const auto unused = client.server ? std::move(client.server) : std::move(attempt->stream);
    if (!unused) return;
    Error ignored;
    unused->next_layer().close(ignored);
    budget_.give_back(Side::sessions);
}

void Front::cancel(AttemptKey key) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    const auto attempt = at->second;
    Error ignored;
    if (attempt->stream) attempt->stream->next_layer().close(ignored);
    asio::post(io_, [this, attempt] { end(attempt, Outcome::cancelled); });
}

// ---- Drains -----------------------------------------------------------------------------------------------

void Front::set_server(ServerId id, bool may_send) {
    if (may_send) return forget_server(id);
    if (!draining_.insert(id).second) return;
    std::vector<std::shared_ptr<Attempt>> unwritten;
    for (const auto& [key, attempt] : attempts_)
        if (attempt->server == id && !attempt->written) unwritten.push_back(attempt);
    for (const auto& attempt : unwritten) end(attempt, Outcome::not_sent);
    std::vector<RequestId> there;
    for (const auto& [request, standing] : sessions_)
        if (standing.server == id) there.push_back(request);
    tell(there, settings_.drain, ws::close_code::service_restart, "server is draining");
}

// One after the other, each at a moment of its own: a thousand that are told together come back together.
void Front::tell(const std::vector<RequestId>& ids, Millis within, ws::close_code code, const char* why) {
    std::uniform_real_distribution<double> unit(0, 1);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (std::exchange(sessions_.at(ids[i]).told, true)) continue;
        const Millis at = within * (static_cast<double>(i) + unit(random_)) / static_cast<double>(ids.size());
        char reason[96];
        std::snprintf(reason, sizeof reason, "%s; come back in %.2f s", why,
                      kComeBackSpread * unit(random_) / 1000);
        timers_.set(clock_.now() + at, [this, id = ids[i], code, text = std::string(reason)] {
            const auto standing = sessions_.find(id);
            if (standing == sessions_.end()) return;
            const auto session = standing->second.session;  // closing may end it here
            session->close(code, text);
        });
    }
}

void Front::end_all() {
    ending_ = true;
    std::vector<RequestId> all;
    for (auto& [id, standing] : sessions_) {
        standing.told = false;  // this is sooner than what it may have been told before
        all.push_back(id);
    }
    tell(all, settings_.ending, ws::close_code::going_away, "this sidecar ends");
}

void Front::when_empty(std::function<void()> done) {
    done_ = std::move(done);
    tell_if_empty();
}

void Front::tell_if_empty() {
    if (done_ && sessions_.empty() && upgrades_.empty()) asio::post(io_, std::exchange(done_, nullptr));
}

}  // namespace elmbay::websocket
