#include "net/listener.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <iostream>
#include <thread>

#include "base/failpoints.hpp"
#include "base/socket_failures.hpp"
#include "base/socket_state.hpp"
#include "base/stream_socket.hpp"

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr Millis kQuiet = 100;       // who has connected and is silent for so long is not about to ask
constexpr Millis kSweep = 20;        // between two looks at idle connections while draining
constexpr Millis kAcceptPause = 20;  // when no socket is to be had for a client
// Connections that were given up before they were accepted, in a row: after so many others have their turn.
constexpr int kMaxFailedAccepts = 64;
// A request must have come whole this long after its connection, or, on a kept one, after its first byte. The
// usual client sends at once, and gives up sooner than this; who is owed an error is owed it within 3 s.
constexpr Millis kStalled = 2500;
// A kept connection that nobody uses costs a socket and some memory. The usual client comes back much sooner,
// and the others ask once and stay for good.
constexpr Millis kIdle = 2000;
// Whoever sends what can't be used tends to send it again as soon as it is turned away: the next one waits
// this long.
constexpr Millis kCalm = 250;
// After the last answer, or between requests: time for the client to read what it was sent and close, and
// what it may be sending meanwhile. Whoever sends no more than a request may have can read its answer.
constexpr Millis kLastRead = 1000;
constexpr std::size_t kMaxWaste = kMaxRequestBody + 2 * kMaxHeader;
constexpr Millis kLateAnswer =
    500;  // an answer that comes later than so much after its time is as good as lost
// With no socket left for a new client those go that never asked: if nothing has come for this long, if not a
// whole request for that long.
constexpr Millis kNeverAsked = 50, kHalfAsked = 500;
constexpr Millis kUnused = 2000;  // a connection that was asked on, and not for so long, goes as readily
// The parser reads ahead of itself this far at most: a chunk's line or a trailer without end stops here.
constexpr std::size_t kMaxAhead = 2 * kMaxHeader;
constexpr std::size_t kMaxIds = 16384;  // the busiest sidecar's of that time, twice over

HttpResponse plain(http::status status, const char* words) {
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain");
    // RFC 6455, 4.4: which version would do.
    if (status == http::status::upgrade_required) response.set(http::field::sec_websocket_version, "13");
    response.body() = words;
    return response;
}

constexpr RequestProblem kTooLarge{http::status::payload_too_large, "body too large\n"};
constexpr RequestProblem kTooSlow{http::status::request_timeout, "no request came in time\n"};

// Since the last byte came, as the kernel counts it (tcp(7), tcp_info: in ms, as coarse as its tick). A
// connection that waited to be accepted, or whose bytes lay there while this process had no core, has used up
// that much of its client's time.
Millis waited_in_kernel(tcp::socket& socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool told = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
                      size >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
    return told ? info.tcpi_last_data_recv : 0;
}

std::string_view path_of(const HttpRequest& request) {
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

}  // namespace

// One connection of the application. Between requests, and while one is in work, it only waits to be
// readable: that tells at once when the client leaves, and reads nothing, so that an idle connection can be
// closed without losing a request that has come but whose handler has not run.
class Listener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Listener& owner, tcp::socket socket)
        : owner_(owner), socket_(std::move(socket)), since_(owner.clock_.now()) {}

    void start() {
        Error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        limit(kStalled);
        await();
    }

    bool idle() const { return state_ == State::idle && !calming_; }
    Millis since() const { return since_; }  // when it became idle; at first: when it came
    // Whether it may go when sockets are wanted.
    bool expendable(Millis now) const {
        // What is read no more is not waited for: its answer has gone out, or can't be told from a flood.
        if (state_ == State::ended) return wasted_ >= kMaxWaste || !has_unread();
        if (state_ == State::reading) return !asked_ && now - since_ > kHalfAsked && !has_unread();
        return state_ == State::idle && (asked_ || now - since_ > kNeverAsked) && !has_unread();
    }
    // Whether bytes lie here that have not been read: a request may be among them.
    bool has_unread() const {
        Error error;
        return socket_.available(error) > 0;
    }

    // While a request is in work. Bytes count as much as an end: behind them one may stand, and they end the
    // request in any case, see on_readable().
    bool gone() {
        const SocketState state = state_of(socket_.native_handle());
        return state != SocketState::quiet && state != SocketState::interrupted;
    }

    void answer(HttpResponse response) {
        id_ = 0;
        guarded([&] { write(std::move(response)); });
    }

    // The one way to end a connection whose client may have something to read yet, or be sending (RFC 9112,
    // 9.6): closing over unread bytes would reset it and take the last answer along. So our sending ends, and
    // what comes is read, for a while, until the client closes. None of it is looked at: a request among it
    // was written to a connection that was ending, and its client sends it once more elsewhere.
    void end() {
        Error error;
        socket_.shutdown(tcp::socket::shutdown_send, error);
        if (error) return close();
        state_ = State::ended;
        calming_ = false;
        parser_.reset();
        buffer_.reset();
        long_.reset();
        socket_.non_blocking(true, error);
        limit(kLastRead);
        await();
    }

    // The process is ending, and what is not asked yet can't be answered in time.
    void end_if_idle(Millis quiet_since) {
        if (state_ != State::idle) return;
        if (has_unread()) {
            if (std::exchange(calming_, false)) rest();  // what it asks is read now or not at all
        } else if (asked_ || since_ < quiet_since) {
            end();
        }
    }
    void stop_reading() {
        if (state_ != State::reading) return;
        late_ = true;
        Error ignored;
        socket_.cancel(ignored);
    }

    // At once: owes nothing, or is owed to nobody.
    void close() {
        if (state_ == State::closed) return;
        state_ = State::closed;
        Error ignored;
        socket_.close(ignored);
        owner_.timers_.cancel(timer_);
        leave();
        owner_.remove(*this);
    }

    Connections::iterator place;
    bool asked() const { return asked_; }  // a request has come from it, whatever became of that

private:
    enum class State { idle, reading, working, writing, ended, closed };

    void limit(Millis within) {
        owner_.timers_.cancel(timer_);
        timer_ = owner_.timers_.set(owner_.clock_.now() + within, [self = shared_from_this()] {
            self->timer_ = {};
            self->time_over();
        });
    }

    // What never speaks, or never ends its request, is told so; what has been idle for long goes, unless a
    // request is just there; whatever else takes that long is not reading its answer.
    void time_over() {
        if (std::exchange(calming_, false)) return rest();
        if (state_ == State::idle && has_unread()) {
            limit(kHalfAsked);
            return read();
        }
        if (state_ == State::reading)
            stop_reading();  // its handler goes on from here: until it has run, the parser is the read's
        else if (state_ == State::idle)
            answered_ ? end() : turn_away(kTooSlow, true);
        else
            close();
    }

    void await() {
        if (waiting_) return;
        waiting_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
            self->waiting_ = false;
            if (self->state_ == State::closed) return;
            if (error == asio::error::operation_aborted) return self->wait_cancelled();
            error ? self->close() : self->on_readable();
        });
    }

    // Taken along as stop_reading() cancelled the read, whose handler goes on from here.
    void wait_cancelled() {
        if (state_ != State::reading) await();
    }

    void on_readable() {
        if (state_ == State::ended) return discard();
        if (state_ == State::idle) return calming_ ? void() : read();
        const SocketState state = state_of(socket_.native_handle());
        if (state == SocketState::quiet || state == SocketState::interrupted) return await();
        if (state != SocketState::readable) {
            // The client has closed, or ended its sending: it has gone away, as the protocol has it.
            if (state_ != State::writing) return close();
            last_ = true;  // the connection ends with the answer
        } else if (state_ == State::working) {
            // More before the answer has begun: nothing that the application does. What it meant by the
            // request in work can't be known either.
            leave();
            turn_away({http::status::bad_request, "a request came before the answer to the last\n"}, true);
        }
        // While the answer is being written its client may have read it already: the next request waits.
    }

    // The client has no further part in the request in work.
    void leave() {
        if (id_ == 0) return;
        const RequestId gone = std::exchange(id_, 0);
        owner_.in_work_.erase(gone);
        owner_.handlers_.on_client_disconnected(gone);
    }

    void read() {
        state_ = State::reading;
        late_ = false;
        if (answered_) limit(kStalled);  // else its time runs from when it came
        buffer_.emplace(kMaxAhead);
        parser_.emplace();
        parser_->body_limit(kMaxRequestBody);
        parser_->header_limit(kMaxHeader);
        http::async_read_header(socket_, *buffer_, *parser_,
                                [self = shared_from_this()](Error error, std::size_t) {
                                    self->guarded([&] { self->on_head(error); });
                                });
    }

    // Judged by its head: what can't be used is turned away before its body is taken, and what contradicts
    // itself before it is decided where its body ends.
    void on_head(Error error) {
        if (state_ != State::reading) return;
        if (error) return on_unreadable(error);
        if (late_ && !parser_->is_done()) return too_slow();
        const HttpRequest& head = parser_->get();
        const std::string_view path = path_of(head);
        problem_.reset();
        if (!framing_is_clear(head)) {
            return turn_away({http::status::bad_request, "framing that contradicts itself\n"}, true);
        } else if (path == "/up") {
            if (head.method() != http::verb::get)
                problem_ = RequestProblem{http::status::method_not_allowed, "GET\n"};
        } else if (path != "/api" && path.substr(0, 5) != "/api/") {
            problem_ = RequestProblem{http::status::not_found, "no such path\n"};
        } else {
            problem_ = owner_.handlers_.validate(head);
        }
        if (head.method() == http::verb::get && !parser_->is_done())
            problem_ = RequestProblem{http::status::bad_request, "GET with a body\n"};
        if (parser_->is_done()) return take();
        if (problem_) return turn_away(*problem_, true);
        if (const auto length = parser_->content_length(); !length || *length > kUsualBody) {
            long_ = owner_.bytes_.take(kMaxRequestBody);
            if (!long_ && length) return turn_away(kTooLarge, true);
            if (!long_) parser_->body_limit(kUsualBody);
        }
        http::async_read(socket_, *buffer_, *parser_, [self = shared_from_this()](Error e, std::size_t) {
            self->guarded([&] { self->on_body(e); });
        });
    }

    void on_body(Error error) {
        if (state_ != State::reading) return;
        error ? on_unreadable(error) : take();
    }

    void on_unreadable(Error error) {
        if (late_ && error == asio::error::operation_aborted) return too_slow();
        const bool malformed =
            error.category() == http::make_error_code(http::error::end_of_stream).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        if (!malformed) return close();
        if (error == http::error::body_limit)
            turn_away(kTooLarge, true);
        else if (error == http::error::header_limit)
            turn_away({http::status::request_header_fields_too_large, "head too large\n"}, true);
        else
            turn_away({http::status::bad_request, "malformed request\n"}, true);
    }

    // One that has asked before sends it once more on another connection, if it has no answer.
    void too_slow() { owner_.closing_&& asked_ ? end() : turn_away(kTooSlow, true); }

    // A whole request is there.
    void take() {
        owner_.timers_.cancel(timer_);
        last_ = !parser_->keep_alive();
        if (buffer_->size() > 0 || has_unread())
            return turn_away({http::status::bad_request, "a request came before the answer to the last\n"},
                             true);
        HttpRequest request = parser_->release();
        parser_.reset();
        buffer_.reset();
        if (problem_) return turn_away(*problem_, false);
        if (path_of(request) == "/up") {
            if (owner_.handlers_.ready() && !owner_.draining_)
                write(plain(http::status::ok, "up\n"));
            else
                write(plain(http::status::service_unavailable, "not ready\n"));
            return;
        }
        // GET /up is no request: who asks no more than that is not the application at work.
        if (!std::exchange(asked_, true)) owner_.kept_.splice(owner_.kept_.end(), owner_.fresh_, place);
        // The same id again may be somebody else's open request: two of it must not be out together.
        if (!owner_.remember(field(request, "X-Correlation-Id")))
            return turn_away({http::status::conflict, "X-Correlation-Id has been used\n"}, false);
        // Past kLastTaken its answer could come after the process has been killed: the decisions reject it at
        // once, like one for which there is no place.
        const bool has_capacity =
            owner_.clock_.now() < owner_.taking_until_ && owner_.in_work_.size() < owner_.budget_.places();
        const ReceivedRequest received{waited_in_kernel(socket_), has_capacity};
        if (owner_.handlers_.is_upgrade && owner_.handlers_.is_upgrade(request))
            return hand_over(std::move(request), received);
        state_ = State::working;
        id_ = owner_.next_id_++;
        owner_.in_work_[id_] = this;
        const auto self = shared_from_this();
        await();  // to see the client leave
        owner_.handlers_.on_request(id_, std::move(request), received);
    }

    // An exception on a request's way (no memory, say) must not leave its client without an outcome: whoever
    // would have given it later may not know of the request.
    template <class Work>
    void guarded(Work work) {
        try {
            work();
        } catch (const std::exception& error) {
            std::cerr << "elmbay: a request failed: " << error.what() << std::endl;
            fail();
        }
    }
    void fail() {
        const auto self = shared_from_this();
        try {
            leave();
            if (state_ == State::reading || state_ == State::working)
                return turn_away({http::status::internal_server_error, "failed\n"}, true);
        } catch (const std::exception& error) {
            std::cerr << "elmbay: nor can it be answered: " << error.what() << std::endl;
            return close();
        }
        if (state_ == State::writing && !response_) close();  // its answer has not begun
    }

    void hand_over(HttpRequest request, ReceivedRequest received) {
        state_ = State::closed;
        owner_.remove(*this);
        owner_.handlers_.on_upgrade(owner_.next_id_++, std::move(socket_), std::move(request), received);
    }

    void turn_away(const RequestProblem& problem, bool last) {
        last_ = last_ || last;
        turned_away_ = true;
        write(plain(problem.status, problem.words));
    }

    void write(HttpResponse response) {
        state_ = State::writing;
        parser_.reset();
        buffer_.reset();
        long_.reset();
        if (response.body().size() > kUsualBody) {
            long_ = owner_.bytes_.take(kMaxResponseBody);
            if (!long_) response = plain(http::status::bad_gateway, "no memory for so long an answer\n");
        }
        if (owner_.draining_) last_ = true;
        response.version(11);
        response.keep_alive(!last_);
        response.prepare_payload();
        response_.emplace(std::move(response));
        limit(owner_.longest_ + kLateAnswer);
        http::async_write(socket_, *response_,
                          [self = shared_from_this()](Error error, std::size_t) { self->on_written(error); });
    }

    void on_written(Error error) {
        if (state_ != State::writing) return;
        response_.reset();
        long_.reset();
        if (error) return close();
        // Only an answer that said so is the last: the client may already be writing on a connection that it
        // was told will stay.
        if (last_) return end();
        state_ = State::idle;
        if (std::exchange(turned_away_, false)) {
            calming_ = true;
            return limit(kCalm);
        }
        rest();
    }

    void rest() {
        answered_ = true;
        since_ = owner_.clock_.now();
        owner_.rested(*this);
        limit(kIdle);
        await();
    }

    void discard() {
        while (wasted_ < kMaxWaste) {
            Error error;
            const std::size_t got = socket_.read_some(asio::buffer(owner_.waste_), error);
            if (error == asio::error::would_block || error == asio::error::try_again) return await();
            if (error) return close();
            wasted_ += got;
        }
        // It goes on sending. Its answer lies there for as long as it may be read; then the rest is reset.
    }

    Listener& owner_;
    TcpSocket socket_;
    // Only while a request is being read: idle connections are many.
    std::optional<boost::beast::flat_buffer> buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<HttpResponse> response_;
    std::optional<ByteBudget::Grant> long_;  // for the request's body or the answer's
    std::optional<RequestProblem> problem_;  // of the request being read
    RequestId id_ = 0;                       // of the request in work
    State state_ = State::idle;
    bool asked_ = false;        // a request has come from it, whatever became of that
    bool answered_ = false;     // it has been told something and goes on
    bool waiting_ = false;      // to be readable
    bool last_ = false;         // the next answer is the connection's last
    bool late_ = false;         // the time for the request being read is over
    bool turned_away_ = false;  // by the answer that is being written
    bool calming_ = false;      // turned away: not read again yet
    std::size_t wasted_ = 0;    // bytes read after the last answer
    Millis since_;
    TimerQueue::Key timer_{};
};

Listener::Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& budget, ByteBudget& bytes,
                   TimerQueue& timers, const Clock& clock, Millis longest, Handlers handlers)
    : io_(io),
      acceptor_(io),
      budget_(budget),
      bytes_(bytes),
      timers_(timers),
      clock_(clock),
      longest_(longest),
      handlers_(std::move(handlers)) {
    acceptor_.open(listen.protocol());
    // After a restart the port's old connections are in TIME_WAIT; that must not keep us from listening.
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    bind(listen);
    acceptor_.listen(4096);
    acceptor_.non_blocking(true);
    // Else Asio keeps ECONNABORTED and EPROTO to itself and waits for the next edge: whoever stands in the
    // queue behind such a connection would wait for somebody else to come.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    budget_.set_shedder(Side::clients, [this] { return shed(); });
    accept();
}

// Our predecessor may still be ending, or the kernel be clearing up behind it. Nothing else can be done
// before we listen, so this waits here.
void Listener::bind(const Endpoint& listen) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBindWait);
    for (Error error;;) {
        acceptor_.bind(listen, error);
        if (!error) return;
        if (error != asio::error::address_in_use || std::chrono::steady_clock::now() >= until)
            throw boost::system::system_error(
                error, "listening on " + listen.address().to_string() + ":" + std::to_string(listen.port()));
        std::this_thread::sleep_for(std::chrono::milliseconds(kBindAgain));
    }
}

Listener::~Listener() = default;

bool Listener::client_disconnected(RequestId id) const {
    const auto at = in_work_.find(id);
    return !failpoint_enabled("thaw") && (at == in_work_.end() || at->second->gone());
}

void Listener::accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    if (!budget_.take(Side::clients)) {
        // The kernel's queue keeps them until a socket is free, or until one of ours becomes idle and can go.
        starved_ = true;
        return accept_later();
    }
    starved_ = false;
    accepting_ = true;
    acceptor_.async_accept([this](Error error, tcp::socket socket) {
        accepting_ = false;
        if (!error) {
            failed_accepts_ = 0;
            admit(std::move(socket));
            return accept();
        }
        budget_.give_back(Side::clients);
        if (acceptor_.is_open()) accept_failed(error);
    });
}

// No error ends the accepting. A resting connection is closed only where that makes room: not for the
// machine's shortage, and not for a client that has left already.
void Listener::accept_failed(const boost::system::error_code& error) {
    const SocketFailure failure = accept_failure(error);
    if (failure == SocketFailure::connection && ++failed_accepts_ < kMaxFailedAccepts) return accept();
    failed_accepts_ = 0;
    if (failure == SocketFailure::own_descriptors) shed();
    accept_later();
}

void Listener::accept_later() {
    timers_.cancel(accept_timer_);
    accept_timer_ = timers_.set(clock_.now() + kAcceptPause, [this] {
        accept_timer_ = {};
        accept();
    });
}

// Whoever waits in the kernel's queue waits no longer than it must. Posted: the caller is a connection at
// work.
void Listener::socket_free() {
    if (std::exchange(starved_, false)) asio::post(io_, [this] { accept(); });
}

void Listener::admit(tcp::socket socket) {
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connection->place = fresh_.insert(fresh_.end(), connection);
    connection->start();
}

void Listener::respond(RequestId id, HttpResponse response) {
    const auto at = in_work_.find(id);
    if (at == in_work_.end()) return;
    Connection* connection = at->second;
    in_work_.erase(at);
    connection->answer(std::move(response));
}

// First those that never asked, the oldest of them first, then those that have been idle longest. A flood of
// new ones, all too young to be told from clients about to ask, does not push out the few that have asked: it
// waits until it is old enough itself.
bool Listener::shed() {
    const Millis now = clock_.now();
    std::size_t young = 0, resting = 0;
    for (const auto& connection : fresh_) {
        if (connection->expendable(now)) return close_one(connection);
        if (connection->idle() && !connection->has_unread()) ++young;
    }
    std::shared_ptr<Connection> oldest;
    for (const auto& connection : kept_)
        if (connection->expendable(now)) {
            if (!connection->idle() || now - connection->since() > kUnused) return close_one(connection);
            if (!oldest) oldest = connection;
            if (++resting > young) break;
        }
    return oldest && resting > young && close_one(oldest);
}

bool Listener::close_one(std::shared_ptr<Connection> connection) {
    connection->close();
    return true;
}

void Listener::rested(Connection& connection) {
    Connections& list = connection.asked() ? kept_ : fresh_;
    list.splice(list.end(), list, connection.place);
    socket_free();
}

void Listener::remove(Connection& connection) {
    (connection.asked() ? kept_ : fresh_).erase(connection.place);  // the caller holds a reference
    budget_.give_back(Side::clients);
    socket_free();
    if (closing_ && connections() == 0 && done_) asio::post(io_, std::exchange(done_, nullptr));
}

bool Listener::remember(std::string_view id) {
    const Millis now = clock_.now();
    if (now >= ids_until_ || ids_.size() >= kMaxIds) {
        earlier_ids_.swap(ids_);
        ids_.clear();
        // Taken once within twice this time: a repeat of one just finished may still run at a server.
        ids_until_ = now + longest_;
    }
    std::string key(id);
    return !earlier_ids_.contains(key) && ids_.insert(std::move(key)).second;
}

void Listener::drain(std::function<void()> done) {
    if (draining_) return;
    draining_ = true;
    taking_until_ = clock_.now() + kLastTaken;
    done_ = std::move(done);
    timers_.set(clock_.now() + kLinger, [this] { stop_accepting(taking_until_); });
    timers_.set(taking_until_, [this] { stop_reading(); });
}

// What the kernel accepted is ours: it counts as taken once its request is there, so none is left behind. For
// want of a descriptor or of the machine's memory it is tried again while a request may still be taken.
void Listener::stop_accepting(Millis last) {
    if (!accept_waiting() && clock_.now() + kAcceptPause < last) {
        timers_.set(clock_.now() + kAcceptPause, [this, last] { stop_accepting(last); });
        return;
    }
    Error ignored;
    acceptor_.close(ignored);
    closing_ = true;
    end_idle();
}

// Whether none is left in the kernel's queue, or no place for more.
bool Listener::accept_waiting() {
    for (int failed = 0; failed < kMaxFailedAccepts && budget_.take(Side::clients);) {
        Error error;
        tcp::socket socket = acceptor_.accept(error);
        if (!error) {
            admit(std::move(socket));
            continue;
        }
        budget_.give_back(Side::clients);
        if (error == asio::error::would_block) return true;
        if (accept_failure(error) != SocketFailure::connection) return false;
        ++failed;
    }
    return true;
}

void Listener::end_idle() {
    const Millis quiet_since = clock_.now() - kQuiet;
    for (const Connections& all : {Connections(fresh_), Connections(kept_)})
        for (const auto& connection : all) connection->end_if_idle(quiet_since);
    if (connections() > 0)
        timers_.set(clock_.now() + kSweep, [this] { end_idle(); });
    else if (done_)
        asio::post(io_, std::exchange(done_, nullptr));
}

void Listener::stop_reading() {
    for (const Connections& all : {Connections(fresh_), Connections(kept_)})
        for (const auto& connection : all) connection->stop_reading();
}

}  // namespace elmbay
