#include "net/upstream.hpp"

#include <unistd.h>

#include <algorithm>
#include <boost/beast/http/span_body.hpp>
#include <cmath>
#include <optional>
#include <set>

#include "base/failpoints.hpp"
#include "base/socket_failures.hpp"
#include "base/socket_state.hpp"
#include "base/stream_socket.hpp"
#include "http/request_validation.hpp"
#include "net/response_reader.hpp"

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// Idle connections go at this share of the servers' own limit: a request on one that the server closes at
// that moment would be a reset, and may have run.
constexpr double kIdleShare = 0.8;
constexpr Millis kRetireEvery = 500;

// An attempt waits this share of its time for a connection: so that one that found none leaves time for
// another server, or to tell the client while that can still use it.
constexpr double kConnectShare = 0.25;
// Between two tries where a socket or a port was lacking: such a shortage lasts for moments, and an attempt's
// share of time for its connection, some 50 ms at least, holds several.
constexpr Millis kOpenAgain = 10;

}  // namespace

struct Upstream::Attempt {
    AttemptKey key;
    ServerId server = 0;
    Millis started = 0, until = 0, write_by = 0;
    std::shared_ptr<const HttpRequest> request;
    std::shared_ptr<Connection> connection;  // none while it waits for one
    TimerQueue::Key timer{};
};

struct Upstream::Server {
    ServerId id = 0;
    Endpoint endpoint;
    Millis online_since = 0;
    bool may_send = true;
    // The last try to open a connection failed for want of a socket, port or route here.
    bool unasked = false;
    std::size_t attempts = 0, connecting = 0;
    Millis heard = 0;                               // when it last answered anything
    std::deque<AttemptKey> waiting;                 // for a connection, the oldest first
    std::list<std::shared_ptr<Connection>> idle{};  // the most recently used last
};

// One connection: connecting, idle or busy with one attempt. It always waits to be readable and reads only
// for an attempt: while it is idle nothing is taken from the kernel, so that usable() sees all that came, and
// whatever comes before a request (an end, a second copy, noise) retires the connection instead of passing
// for its answer.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Upstream& owner, ServerId server, const Endpoint& endpoint)
        : server(server), endpoint(endpoint), owner_(owner), socket_(owner.io_) {}

    void connect() {
        timer_ = owner_.timers_.set(owner_.clock_.now() + owner_.limits_.connect_timeout,
                                    [self = shared_from_this()] {
                                        self->timer_ = {};
                                        self->failed();
                                    });
        open();
    }

    // While the machine or this process lacks what a connection takes the server has not been asked: it is
    // tried again, up to the time for the whole.
    void open() {
        socket_.async_connect(endpoint, [self = shared_from_this()](Error error) {
            if (self->closed_) return;
            const bool asked = !error || connect_failure(error) == SocketFailure::connection;
            self->owner_.servers_.at(self->server).unasked = !asked;
            if (!asked) return self->open_later();
            if (error) return self->failed();
            self->owner_.timers_.cancel(self->timer_);
            Error ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->socket_.non_blocking(true, ignored);
            self->wait();
            self->owner_.connection_up(self);
        });
    }

    // Whether a request may be written: nothing has come that no request asked for, nor the end.
    bool usable() { return !closed_ && state_of(socket_.native_handle()) == SocketState::quiet; }

    void send(AttemptKey attempt, std::shared_ptr<const HttpRequest> message, Millis left) {
        key = attempt;
        busy_ = true;
        written_ = read_ = false;
        writing_ = true;
        answer_.emplace(owner_.bytes_);
        message_ = std::move(message);
        // The body is the message's own: as many copies as attempts would be much of a small memory.
        request_.emplace(message_->base());
        request_->set("X-Time-Left", time_left_text(left));
        request_->body() = {message_->body().data(), message_->body().size()};
        request_->keep_alive(true);
        request_->prepare_payload();
        http::async_write(socket_, *request_, [self = shared_from_this()](Error error, std::size_t) {
            if (self->closed_ && !self->broken_) return;
            self->writing_ = false;
            self->request_.reset();
            self->message_.reset();
            self->written_ = !error;
            if (error || self->read_) self->finish(error);
        });
    }

    bool writing() const { return writing_; }
    // For a request whose time to be written is over. Closes; whether its last byte had gone out all the
    // same, the write's own result tells, which comes at once.
    void stop_writing() {
        unwritten_ = Outcome::not_sent;
        drop_unsent();
        break_off();
    }

    // Its request has been given up. What the kernel still holds of it goes too: a way that is cut now may be
    // open again long after the request's time, or its window, and would bring it to the server then.
    void abandon() {
        drop_unsent();
        close();
    }

    // No handler says anything of this connection any more.
    void close() {
        if (closed_) return;
        closed_ = true;
        owner_.leave_idle(*this);
        owner_.timers_.cancel(timer_);
        owner_.timers_.cancel(again_);
        if (failpoint_enabled("leak")) (void)::dup(STDERR_FILENO);
        Error ignored;
        socket_.close(ignored);
        owner_.drop();
    }

    const ServerId server;
    const Endpoint endpoint;
    AttemptKey key;
    Millis idle_since = 0;
    std::optional<std::list<Connection*>::iterator> idle_at;  // in Upstream::idle_; none while it is not idle

private:
    void open_later() {
        Error ignored;
        socket_.close(ignored);
        again_ = owner_.timers_.set(owner_.clock_.now() + kOpenAgain, [self = shared_from_this()] {
            self->again_ = {};
            self->open();
        });
    }
    void failed() {
        if (closed_) return;
        const auto self = shared_from_this();
        close();
        owner_.connection_failed(self);
    }

    void wait() {
        if (waiting_ || closed_) return;
        waiting_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error) {
            self->waiting_ = false;
            if (!self->closed_) self->busy_ ? self->receive() : self->retire();
        });
    }

    // The server has closed it, or says something that nobody asked for.
    void retire() {
        const auto self = shared_from_this();
        std::erase(owner_.servers_.at(server).idle, self);
        close();
    }

    // Takes all that is there: what came behind an answer belongs to the judgement on it.
    void receive() {
        for (;;) {
            Error error;
            const std::size_t got = socket_.read_some(asio::buffer(owner_.scratch_), error);
            if (error == asio::error::would_block || error == asio::error::try_again) break;
            if (error) {
                ended_ = true;
                if (error == asio::error::eof) answer_->end();
                break;
            }
            if (answer_->feed({owner_.scratch_.data(), got}) == ResponseReader::State::spoilt) break;
        }
        if (!ended_ && answer_->state() == ResponseReader::State::more) return wait();
        read_ = true;
        if (!writing_) return finish({});
        // Broken, or answered, before the write's end is known here. Whether the last byte went out decides
        // if the attempt may have run: only the write's own result tells. Closing brings it at once.
        break_off();
    }

    void drop_unsent() {
        Error ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);  // the close is a reset
    }

    void break_off() {
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
        const auto state = answer_->state();
        // Broken before the last byte was written: it never ran. After that it may have.
        Outcome outcome = written_ && !failpoint_enabled("resend") ? Outcome::connection_reset : unwritten_;
        bool reusable = false;
        HttpResponse response;
        if (state == ResponseReader::State::whole) {
            reusable = !was_broken && !ended_ && !write_error && written_ && answer_->reusable();
            response = answer_->release();
            const auto status = response.result_int();
            if (says_unprocessed(response))
                outcome = Outcome::rejected;
            else if (written_)  // a served one has a body, by the protocol
                outcome =
                    status == 200 && !response.body().empty() ? Outcome::success : Outcome::error_response;
            owner_.servers_.at(server).heard = owner_.clock_.now();
        } else if (state == ResponseReader::State::spoilt && written_) {
            outcome = Outcome::error_response;  // it has run, and nobody can tell how it ended
        }
        answer_.reset();
        attempt.connection.reset();
        if (reusable) {
            wait();
            owner_.make_idle(self);
        } else {
            close();
        }
        owner_.end(attempt, outcome, std::move(response));
    }

    Upstream& owner_;
    TcpSocket socket_;
    std::optional<ResponseReader> answer_;
    std::shared_ptr<const HttpRequest> message_;
    std::optional<http::request<http::span_body<const char>>> request_;
    TimerQueue::Key timer_{}, again_{};  // for the connection to be up; for the next try to open it
    bool busy_ = false, writing_ = false, closed_ = false;
    bool waiting_ = false;                         // to be readable
    bool read_ = false;                            // an answer, or that none will come
    bool ended_ = false;                           // nothing more comes
    bool written_ = false;                         // the request's last byte has been
    bool broken_ = false;                          // closed, and the write's result is awaited
    Outcome unwritten_ = Outcome::connect_failed;  // of a request whose last byte did not go out
};

Upstream::Upstream(asio::io_context& io, SocketBudget& budget, ByteBudget& bytes, TimerQueue& timers,
                   const Clock& clock, Limits limits, Ended ended, Gate gate)
    : io_(io),
      budget_(budget),
      bytes_(bytes),
      timers_(timers),
      clock_(clock),
      limits_(limits),
      ended_(std::move(ended)),
      gate_(std::move(gate)) {
    budget_.set_shedder(Side::servers, [this] { return shed(); });
    timers_.set(clock_.now() + kRetireEvery, [this] { retire_idle(); });
}

Upstream::~Upstream() = default;

void Upstream::set_server(ServerId id, const Endpoint& endpoint, bool may_send, Millis online_since) {
    Server& server = servers_[id];
    server.id = id;
    // Any other start is another process: a server's wall clock may be set back between its lives.
    const bool another = online_since > 0 && server.online_since != online_since;
    const bool moved = server.endpoint != endpoint || another;
    if (may_send) server.endpoint = endpoint, server.online_since = online_since;
    server.may_send = may_send;
    // A server that wants nothing new has no use for idle connections; an old address or an earlier process
    // has none at all.
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

std::size_t Upstream::idle_connections() const { return idle_.size(); }

void Upstream::start_attempt(AttemptKey key, ServerId to, Millis until, Millis write_by,
                             std::shared_ptr<const HttpRequest> request) {
    auto attempt = std::make_unique<Attempt>();
    attempt->key = key;
    attempt->server = to;
    attempt->started = clock_.now();
    attempt->until = until;
    attempt->write_by = write_by;
    attempt->request = std::move(request);
    const Millis patience = std::min(limits_.connect_timeout, (until - attempt->started) * kConnectShare);
    attempt->timer =
        timers_.set(std::min(attempt->started + patience, write_by), [this, key] { expired(key); });
    attempts_[key] = std::move(attempt);
    Server& server = servers_.at(to);
    ++server.attempts;
    server.waiting.push_back(key);
    assign(server);
}

// Gives waiting attempts the idle connections, the most recently used first, and opens what is missing.
void Upstream::assign(Server& server) {
    if (!server.waiting.empty() && list_first()) return;
    while (!server.waiting.empty()) {
        Attempt& attempt = *attempts_.at(server.waiting.front());
        const bool too_late = clock_.now() >= std::min(attempt.until, attempt.write_by);
        if (!server.may_send || too_late || gate_.client_disconnected(attempt.key.request)) {
            // Told leaving or gone while the attempt waited for its connection, or nobody wants it any more.
            // The timer that ends it may come later: a process that was held up hears of connections first.
            server.waiting.pop_front();
            end(attempt, Outcome::not_sent);
            continue;
        }
        if (server.idle.empty()) break;
        const auto connection = server.idle.back();
        server.idle.pop_back();
        leave_idle(*connection);
        if (!connection->usable()) {
            connection->close();
            continue;
        }
        server.waiting.pop_front();
        write(attempt, connection);
    }
    while (server.connecting < server.waiting.size()) {
        if (!budget_.take(Side::servers)) {
            // No socket to be had: those that no connection is on its way for end as never ran.
            Attempt& attempt = *attempts_.at(server.waiting.back());
            server.waiting.pop_back();
            end(attempt, Outcome::not_sent);
            continue;
        }
        ++server.connecting;
        std::make_shared<Connection>(*this, server.id, server.endpoint)->connect();
    }
}

// Whether what the list has said comes before any write. What waits is looked at again once the loop has gone
// round, which reads it.
bool Upstream::list_first() {
    if (!gate_.list_unread()) {
        list_waited_since_ = -1;
        return false;
    }
    const Millis now = clock_.now();
    if (list_waited_since_ < 0) list_waited_since_ = now;
    if (now >= list_waited_since_ + kMaxListWait) return false;
    if (!std::exchange(list_look_posted_, true))
        asio::post(io_, [this] {
            list_look_posted_ = false;
            // Also where nobody waits any more: the next wait has a time of its own.
            if (!gate_.list_unread()) list_waited_since_ = -1;
            std::set<ServerId> waited_for;
            for (const auto& [key, attempt] : attempts_)
                if (!attempt->connection) waited_for.insert(attempt->server);
            for (const ServerId id : waited_for) assign(servers_.at(id));
        });
    return true;
}

void Upstream::write(Attempt& attempt, const std::shared_ptr<Connection>& connection) {
    attempt.connection = connection;
    timers_.cancel(attempt.timer);
    attempt.timer =
        timers_.set(std::min(attempt.until, attempt.write_by), [this, key = attempt.key] { expired(key); });
    connection->send(attempt.key, attempt.request, std::max(0.0, attempt.until - clock_.now()));
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
        // That no connection came up is the server's failure only if it was asked for one.
        const bool not_the_servers = clock_.now() >= attempt.write_by || server.unasked;
        return end(attempt, not_the_servers ? Outcome::not_sent : Outcome::connect_failed);
    }
    if (clock_.now() < attempt.until) {
        // Only its time to be written is over.
        if (attempt.connection->writing()) return attempt.connection->stop_writing();
        attempt.timer = timers_.set(attempt.until, [this, key] { expired(key); });
        return;
    }
    // A write was begun, and its result may not have been seen yet: it may have run, whatever we know.
    std::exchange(attempt.connection, nullptr)->abandon();
    if (server.heard < attempt.started) {
        // Not a sound from it since then. If the machine has vanished, its idle connections are dead without
        // knowing, and each would cost a request that may have run.
        const auto idle = std::exchange(server.idle, {});
        for (const auto& connection : idle) connection->close();
    }
    end(attempt, Outcome::timed_out);
}

void Upstream::cancel_attempt(AttemptKey key) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    Attempt& attempt = *at->second;
    if (attempt.connection)
        std::exchange(attempt.connection, nullptr)->abandon();
    else
        std::erase(servers_.at(attempt.server).waiting, key);
    end(attempt, Outcome::cancelled);
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
        end(*attempts_.at(key), server.unasked ? Outcome::not_sent : Outcome::connect_failed);
    }
}

void Upstream::make_idle(const std::shared_ptr<Connection>& connection) {
    Server& server = servers_.at(connection->server);
    if (!server.may_send || connection->endpoint != server.endpoint) return connection->close();
    connection->idle_since = clock_.now();
    server.idle.push_back(connection);
    connection->idle_at = idle_.insert(idle_.end(), connection.get());
    if (!server.waiting.empty()) assign(server);
}

void Upstream::retire_idle() {
    const Millis before = clock_.now() - limits_.idle_close * kIdleShare;
    while (!idle_.empty() && idle_.front()->idle_since < before) close_oldest_idle();
    timers_.set(clock_.now() + std::min(kRetireEvery, limits_.idle_close / 20), [this] { retire_idle(); });
}

void Upstream::drop() { budget_.give_back(Side::servers); }

bool Upstream::shed() {
    if (idle_.empty()) return false;
    close_oldest_idle();
    return true;
}

// The oldest of all is the oldest of its server.
void Upstream::close_oldest_idle() {
    Server& server = servers_.at(idle_.front()->server);
    const auto connection = server.idle.front();
    server.idle.pop_front();
    connection->close();
}

void Upstream::leave_idle(Connection& connection) {
    if (const auto at = std::exchange(connection.idle_at, std::nullopt)) idle_.erase(*at);
}

}  // namespace elmbay
