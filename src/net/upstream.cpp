#include "net/upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <cmath>

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// Idle connections go at this share of the servers' own limit: a request on one that the server closes at
// that moment would be a reset, and may have run.
constexpr double kIdleShare = 0.8;
constexpr Millis kRetireEvery = 500;

bool is(const http::fields& fields, const char* name, const char* value) { return fields[name] == value; }

}  // namespace

struct Upstream::Attempt {
    AttemptKey key;
    ServerId server = 0;
    Millis started = 0, until = 0;
    std::shared_ptr<const HttpRequest> request;
    std::shared_ptr<Connection> connection;  // none while it waits for one
    TimerQueue::Key timer{};
};

struct Upstream::Server {
    ServerId id = 0;
    Endpoint endpoint;
    bool may_send = true;
    std::size_t attempts = 0, connecting = 0;
    Millis heard = 0;                               // when it last answered anything
    std::deque<AttemptKey> waiting;                 // for a connection, the oldest first
    std::list<std::shared_ptr<Connection>> idle{};  // the most recently used last
};

// One connection: connecting, idle or busy with one attempt. A read of the next response is pending from the
// moment it is up, so that its end is seen while it is idle and no request is written to a dead one.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Upstream& owner, ServerId server, const Endpoint& endpoint)
        : server(server), endpoint(endpoint), owner_(owner), socket_(owner.io_) {}

    void connect() {
        Error error;
        socket_.open(endpoint.protocol(), error);
        if (error) return fail_later();
        timer_ = owner_.timers_.set(owner_.clock_.now() + owner_.limits_.connect_timeout,
                                    [self = shared_from_this()] {
                                        self->timer_ = {};
                                        self->failed();
                                    });
        socket_.async_connect(endpoint, [self = shared_from_this()](Error e) {
            if (self->closed_) return;
            if (e) return self->failed();
            self->owner_.timers_.cancel(self->timer_);
            Error ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->read();
            self->owner_.connection_up(self);
        });
    }

    // Whether a request may be written: nothing has come that no request asked for, nor the end.
    bool usable() {
        if (closed_ || buffer_.size() > 0) return false;
        char byte = 0;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void send(AttemptKey attempt, HttpRequest request) {
        key = attempt;
        busy_ = true;
        written_ = read_ = false;
        writing_ = true;
        request_.emplace(std::move(request));
        http::async_write(socket_, *request_, [self = shared_from_this()](Error error, std::size_t) {
            if (self->closed_ && !self->broken_) return;
            self->writing_ = false;
            self->request_.reset();
            self->written_ = !error;
            if (error || self->read_) self->finish(error);
        });
    }

    // No handler says anything of this connection any more.
    void close() {
        if (closed_) return;
        closed_ = true;
        owner_.timers_.cancel(timer_);
        Error ignored;
        socket_.close(ignored);
        owner_.drop();
    }

    const ServerId server;
    const Endpoint endpoint;
    AttemptKey key;
    Millis idle_since = 0;

private:
    void fail_later() {
        asio::post(owner_.io_, [self = shared_from_this()] { self->failed(); });
    }
    void failed() {
        if (closed_) return;
        const auto self = shared_from_this();
        close();
        owner_.connection_failed(self);
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(kMostBody);
        parser_->header_limit(kMostHeader);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](Error error, std::size_t) { self->on_read(error); });
    }

    void on_read(Error error) {
        if (closed_) return;
        if (!busy_) {
            // The server has closed it, or says something that nobody asked for.
            const auto self = shared_from_this();
            auto& idle = owner_.servers_.at(server).idle;
            std::erase(idle, self);
            return close();
        }
        read_ = true;
        read_error_ = error;
        if (!writing_) return finish({});
        // Broken, or answered, before the write's end is known here. Whether the last byte went out decides
        // if the attempt may have run: only the write's own result tells. Closing brings it at once.
        closed_ = broken_ = true;
        Error ignored;
        socket_.close(ignored);
    }

    void finish(Error write_error) {
        const auto self = shared_from_this();
        const bool was_broken = std::exchange(broken_, false);
        if (was_broken) owner_.drop();
        busy_ = false;
        const auto at = owner_.attempts_.find(key);
        if (at == owner_.attempts_.end()) return close();
        Attempt& attempt = *at->second;
        Outcome outcome = Outcome::severed;
        HttpResponse response;
        if (read_ && !read_error_) {
            const bool reusable = !was_broken && written_ && parser_->keep_alive() && buffer_.size() == 0;
            const bool framed = !parser_->need_eof() || parser_->get()["Connection"] == "close";
            response = parser_->release();
            const auto status = response.result_int();
            if ((status == 503 || status == 504) && is(response, "X-Unprocessed", "1"))
                outcome = Outcome::saturated;
            else if (!written_)
                outcome = Outcome::refused_connection;
            else
                outcome = status == 200 && framed ? Outcome::completed : Outcome::errored;
            owner_.servers_.at(server).heard = owner_.clock_.now();
            attempt.connection.reset();
            // 1xx and the like leave more to come on this connection.
            if (reusable && status >= 200) {
                read();
                owner_.make_idle(self);
            } else {
                close();
            }
        } else {
            // Broken before the last byte was written: it never ran. After that it may have.
            outcome = write_error && !written_ ? Outcome::refused_connection : Outcome::severed;
            attempt.connection.reset();
            close();
        }
        owner_.end(attempt, outcome, std::move(response));
    }

    Upstream& owner_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<HttpRequest> request_;
    TimerQueue::Key timer_{};
    Error read_error_;
    bool busy_ = false, writing_ = false, read_ = false, closed_ = false;
    bool written_ = false;  // the request's last byte has been
    bool broken_ = false;   // closed, and the write's result is awaited
};

Upstream::Upstream(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
                   Limits limits, Ended ended)
    : io_(io), budget_(budget), timers_(timers), clock_(clock), limits_(limits), ended_(std::move(ended)) {
    budget_.add_shedder([this] { return shed(); });
    timers_.set(clock_.now() + kRetireEvery, [this] { retire_idle(); });
}

Upstream::~Upstream() = default;

void Upstream::set_server(ServerId id, const Endpoint& endpoint, bool may_send) {
    Server& server = servers_[id];
    server.id = id;
    const bool moved = server.endpoint != endpoint;
    if (may_send) server.endpoint = endpoint;
    server.may_send = may_send;
    // A server that wants nothing new has no use for idle connections, and an old address none at all.
    if (moved || !may_send) {
        const auto idle = std::exchange(server.idle, {});
        for (const auto& connection : idle) connection->close();
    }
    if (!may_send) assign(server);
}

void Upstream::forget_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end() || at->second.attempts > 0 || at->second.connecting > 0) return;
    const auto idle = std::exchange(at->second.idle, {});
    for (const auto& connection : idle) connection->close();
    servers_.erase(at);
}

std::size_t Upstream::attempts_at(ServerId id) const {
    const auto at = servers_.find(id);
    return at == servers_.end() ? 0 : at->second.attempts + at->second.connecting;
}

std::size_t Upstream::idle_connections() const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) count += server.idle.size();
    return count;
}

void Upstream::start(AttemptKey key, ServerId to, Millis until, std::shared_ptr<const HttpRequest> request) {
    auto attempt = std::make_unique<Attempt>();
    attempt->key = key;
    attempt->server = to;
    attempt->started = clock_.now();
    attempt->until = until;
    attempt->request = std::move(request);
    attempt->timer = timers_.set(std::min(until, attempt->started + limits_.connect_timeout),
                                 [this, key] { expired(key); });
    attempts_[key] = std::move(attempt);
    Server& server = servers_.at(to);
    ++server.attempts;
    server.waiting.push_back(key);
    assign(server);
}

// Gives waiting attempts the idle connections, the most recently used first, and opens what is missing.
void Upstream::assign(Server& server) {
    while (!server.waiting.empty()) {
        Attempt& attempt = *attempts_.at(server.waiting.front());
        if (!server.may_send) {
            // Told leaving or gone while the attempt waited for its connection: it must not go out any more.
            server.waiting.pop_front();
            end(attempt, Outcome::superseded);
            continue;
        }
        if (server.idle.empty()) break;
        const auto connection = server.idle.back();
        server.idle.pop_back();
        if (!connection->usable()) {
            connection->close();
            continue;
        }
        server.waiting.pop_front();
        write(attempt, connection);
    }
    while (server.connecting < server.waiting.size()) {
        if (!budget_.take()) {
            // No socket to be had: those that no connection is on its way for end as never ran.
            Attempt& attempt = *attempts_.at(server.waiting.back());
            server.waiting.pop_back();
            end(attempt, Outcome::superseded);
            continue;
        }
        ++server.connecting;
        std::make_shared<Connection>(*this, server.id, server.endpoint)->connect();
    }
}

void Upstream::write(Attempt& attempt, const std::shared_ptr<Connection>& connection) {
    HttpRequest request = *attempt.request;
    const Millis left = std::max(0.0, attempt.until - clock_.now());
    request.set("X-Time-Left", std::to_string(static_cast<std::int64_t>(left * 1000)) + "u");
    request.keep_alive(true);
    request.prepare_payload();
    attempt.connection = connection;
    timers_.cancel(attempt.timer);
    attempt.timer = timers_.set(attempt.until, [this, key = attempt.key] { expired(key); });
    connection->send(attempt.key, std::move(request));
}

// The attempt's time is over. The connection is closed first: whatever comes next for this request must not
// find an attempt still out.
void Upstream::expired(AttemptKey key) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    Attempt& attempt = *at->second;
    attempt.timer = {};
    Server& server = servers_.at(attempt.server);
    if (!attempt.connection) {
        std::erase(server.waiting, key);
        return end(attempt, Outcome::refused_connection);
    }
    // A write was begun, and its result may not have been seen yet: it may have run, whatever we know.
    std::exchange(attempt.connection, nullptr)->close();
    if (server.heard < attempt.started) {
        // Not a sound from it since then. If the machine has vanished, its idle connections are dead without
        // knowing, and each would cost a request that may have run.
        const auto idle = std::exchange(server.idle, {});
        for (const auto& connection : idle) connection->close();
    }
    end(attempt, Outcome::overdue);
}

void Upstream::cancel(AttemptKey key) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    Attempt& attempt = *at->second;
    if (attempt.connection)
        std::exchange(attempt.connection, nullptr)->close();
    else
        std::erase(servers_.at(attempt.server).waiting, key);
    end(attempt, Outcome::recalled);
}

void Upstream::end(Attempt& attempt, Outcome outcome, HttpResponse response) {
    timers_.cancel(attempt.timer);
    --servers_.at(attempt.server).attempts;
    const AttemptKey key = attempt.key;
    const Millis duration = clock_.now() - attempt.started;
    attempts_.erase(key);
    // Posted, as start() may be among the callers. Order is kept.
    asio::post(io_, [this, key, outcome, duration, response = std::move(response)]() mutable {
        ended_(key, outcome, duration, std::move(response));
    });
}

void Upstream::connection_up(const std::shared_ptr<Connection>& connection) {
    Server& server = servers_.at(connection->server);
    --server.connecting;
    if (!server.may_send || connection->endpoint != server.endpoint) {
        connection->close();
        return assign(server);
    }
    make_idle(connection);
}

void Upstream::connection_failed(const std::shared_ptr<Connection>& connection) {
    Server& server = servers_.at(connection->server);
    --server.connecting;
    // Others may have been served by a connection that came free: then nobody was waiting for this one.
    if (server.waiting.size() > server.connecting) {
        const AttemptKey key = server.waiting.front();
        server.waiting.pop_front();
        end(*attempts_.at(key), Outcome::refused_connection);
    }
}

void Upstream::make_idle(const std::shared_ptr<Connection>& connection) {
    Server& server = servers_.at(connection->server);
    if (!server.may_send || connection->endpoint != server.endpoint) return connection->close();
    connection->idle_since = clock_.now();
    server.idle.push_back(connection);
    if (!server.waiting.empty()) assign(server);
}

void Upstream::retire_idle() {
    const Millis before = clock_.now() - limits_.idle_close * kIdleShare;
    for (auto& [id, server] : servers_)
        while (!server.idle.empty() && server.idle.front()->idle_since < before) {
            const auto connection = server.idle.front();
            server.idle.pop_front();
            connection->close();
        }
    timers_.set(clock_.now() + std::min(kRetireEvery, limits_.idle_close / 20), [this] { retire_idle(); });
}

void Upstream::drop() { budget_.give_back(); }

bool Upstream::shed() {
    Server* oldest = nullptr;
    for (auto& [id, server] : servers_)
        if (!server.idle.empty() &&
            (!oldest || server.idle.front()->idle_since < oldest->idle.front()->idle_since))
            oldest = &server;
    if (!oldest) return false;
    const auto connection = oldest->idle.front();
    oldest->idle.pop_front();
    connection->close();
    return true;
}

}  // namespace elmbay
