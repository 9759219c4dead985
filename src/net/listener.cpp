#include "net/listener.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr Millis kLinger = 500;          // new connections go on coming after SIGTERM
constexpr Millis kQuiet = 100;           // what has been idle this long is not about to be written to
constexpr Millis kStalled = 3000;        // for a request to come whole, once it has begun
constexpr Millis kSweep = 20;            // between two looks at idle connections while draining
constexpr Millis kAcceptPause = 20;      // when the system has no descriptor for us
constexpr std::size_t kServersPart = 4;  // of the sockets, clients leave this part for those to servers
constexpr Millis kLastRead = 1000;       // for the client to read an answer that came before all was sent

HttpResponse plain(http::status status, const char* words) {
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = words;
    return response;
}

std::string_view path_of(const HttpRequest& request) {
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

}  // namespace

void remove_hop_by_hop(http::fields& fields) {
    for (const http::field name :
         {http::field::connection, http::field::keep_alive, http::field::te, http::field::trailer,
          http::field::transfer_encoding, http::field::upgrade, http::field::proxy_connection,
          http::field::expect, http::field::content_length})
        fields.erase(name);
}

// One connection of the application. Between requests, and while one is in work, it only waits to be
// readable: that tells at once when the client leaves, and reads nothing, so that an idle connection can be
// closed without losing a request that has come but whose handler has not run.
class Listener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Listener& owner, tcp::socket socket) : owner_(owner), socket_(std::move(socket)) {}

    void start() {
        Error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        idle_since_ = owner_.clock_.now();
        await();
    }

    bool idle() const { return !busy_ && !writing_ && !reading_ && !early_ && !closed_; }
    Millis idle_since() const { return idle_since_; }
    // Whether bytes lie here that have not been read: a request may be among them.
    bool has_unread() const {
        Error error;
        return buffer_.size() > 0 || socket_.available(error) > 0;
    }

    void answer(HttpResponse response) {
        busy_ = false;
        id_ = 0;
        write(std::move(response));
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        Error ignored;
        socket_.close(ignored);
        owner_.timers_.cancel(last_read_);
        owner_.timers_.cancel(stalled_);
        if (id_ != 0) {
            const RequestId gone = std::exchange(id_, 0);
            owner_.in_work_.erase(gone);
            owner_.handlers_.gone(gone);
        }
        owner_.remove(*this);
    }

    Connections::iterator place;

private:
    void await() {
        waiting_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
            self->waiting_ = false;
            if (!self->closed_) error ? self->close() : self->on_readable();
        });
    }

    void on_readable() {
        if (ended_) return discard();
        if (!busy_ && !writing_) return read();
        char byte = 0;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0)
            early_ = true;  // sent before the last answer: its turn comes after that
        else if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            await();
        else if (writing_)
            last_ = true;  // the connection ends with the answer
        else
            close();  // the client has closed, or ended its sending: it has gone away, as the protocol has it
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(kMostBody);
        parser_->header_limit(kMostHeader);
        reading_ = true;
        stalled_ = owner_.timers_.set(owner_.clock_.now() + kStalled, [self = shared_from_this()] {
            self->stalled_ = {};
            self->close();
        });
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](Error error, std::size_t) { self->on_read(error); });
    }

    void on_read(Error error) {
        reading_ = false;
        owner_.timers_.cancel(stalled_);
        if (closed_) return;
        if (!error) return take();
        const bool malformed =
            error.category() == http::make_error_code(http::error::end_of_stream).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        if (!malformed) return close();
        last_ = true;
        if (error == http::error::body_limit)
            write(plain(http::status::payload_too_large, "body too large\n"));
        else
            write(plain(http::status::bad_request, "malformed request\n"));
    }

    void take() {
        HttpRequest request = parser_->release();
        last_ = !request.keep_alive();
        const std::string_view path = path_of(request);
        if (path == "/up") {
            if (owner_.handlers_.ready() && !owner_.draining_)
                write(plain(http::status::ok, "up\n"));
            else
                write(plain(http::status::service_unavailable, "not ready\n"));
            return;
        }
        if (path != "/api" && path.substr(0, 5) != "/api/")
            return write(plain(http::status::not_found, "no such path\n"));
        if (request.method() != http::verb::get && request.method() != http::verb::post)
            return write(plain(http::status::method_not_allowed, "GET or POST\n"));
        if (request["X-Correlation-Id"].empty())
            return write(plain(http::status::bad_request, "X-Correlation-Id is missing\n"));
        busy_ = true;
        id_ = owner_.next_id_++;
        owner_.in_work_[id_] = this;
        const auto self = shared_from_this();
        if (buffer_.size() > 0)
            early_ = true;
        else
            await();  // to see the client leave
        owner_.handlers_.arrived(id_, std::move(request));
    }

    void write(HttpResponse response) {
        if (owner_.draining_ && !early_) last_ = true;
        response.version(11);
        response.keep_alive(!last_);
        response.prepare_payload();
        response_.emplace(std::move(response));
        writing_ = true;
        http::async_write(socket_, *response_,
                          [self = shared_from_this()](Error error, std::size_t) { self->on_written(error); });
    }

    void on_written(Error error) {
        if (closed_) return;
        writing_ = false;
        response_.reset();
        if (error) return close();
        // Only an answer that said so is the last: the client may already be writing on a connection that it
        // was told will stay.
        if (last_) return end();
        idle_since_ = owner_.clock_.now();
        owner_.connections_.splice(owner_.connections_.end(), owner_.connections_, place);
        if (std::exchange(early_, false) || buffer_.size() > 0)
            read();
        else if (!waiting_)
            await();
    }

    // An answer must reach the client also when it is still sending: closing over unread bytes would reset
    // the connection and take the answer with it. So end our sending and read on, for a while, until it
    // closes.
    void end() {
        Error error;
        socket_.shutdown(tcp::socket::shutdown_send, error);
        if (error || owner_.closing_) return close();
        busy_ = ended_ = true;
        last_read_ = owner_.timers_.set(owner_.clock_.now() + kLastRead, [self = shared_from_this()] {
            self->last_read_ = {};
            self->close();
        });
        if (!waiting_) discard();
    }
    void discard() {
        socket_.async_read_some(asio::buffer(waste_), [self = shared_from_this()](Error error, std::size_t) {
            if (self->closed_) return;
            if (error) return self->close();
            self->discard();
        });
    }

    Listener& owner_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<HttpResponse> response_;
    std::array<char, 512> waste_{};
    RequestId id_ = 0;  // of the request in work
    bool busy_ = false, writing_ = false, early_ = false, closed_ = false;
    bool waiting_ = false;  // to be readable
    bool reading_ = false;  // a request, whose first byte has come
    bool ended_ = false;    // our sending is over
    bool last_ = false;     // the next answer is the connection's last
    Millis idle_since_ = 0;
    TimerQueue::Key last_read_{}, stalled_{};
};

Listener::Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& budget, TimerQueue& timers,
                   const Clock& clock, Handlers handlers)
    : io_(io),
      acceptor_(io),
      budget_(budget),
      timers_(timers),
      clock_(clock),
      handlers_(std::move(handlers)) {
    acceptor_.open(listen.protocol());
    // After a restart the port's old connections are in TIME_WAIT; that must not keep us from listening.
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(4096);
    acceptor_.non_blocking(true);
    budget_.add_shedder([this] { return shed(); });
    accept();
}

Listener::~Listener() = default;

void Listener::accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    if (!budget_.take(budget_.limit() / kServersPart)) {
        // The kernel's queue keeps them until a socket is free, or until one of ours becomes idle and can go.
        timers_.set(clock_.now() + kAcceptPause, [this] { accept(); });
        return;
    }
    accepting_ = true;
    acceptor_.async_accept([this](Error error, tcp::socket socket) {
        accepting_ = false;
        if (!error) {
            admit(std::move(socket));
            return accept();
        }
        budget_.give_back();
        if (!acceptor_.is_open()) return;
        // No descriptor (EMFILE) or a client that left already: neither ends the accepting.
        if (error == asio::error::connection_aborted) return accept();
        shed();
        timers_.set(clock_.now() + kAcceptPause, [this] { accept(); });
    });
}

void Listener::admit(tcp::socket socket) {
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connection->place = connections_.insert(connections_.end(), connection);
    connection->start();
}

void Listener::answer(RequestId id, HttpResponse response) {
    const auto at = in_work_.find(id);
    if (at == in_work_.end()) return;
    Connection* connection = at->second;
    in_work_.erase(at);
    connection->answer(std::move(response));
}

bool Listener::shed() {
    for (const auto& connection : connections_)
        if (connection->idle() && !connection->has_unread()) {
            const auto keep = connection;
            keep->close();
            return true;
        }
    return false;
}

void Listener::remove(Connection& connection) {
    connections_.erase(connection.place);  // the caller holds a reference
    budget_.give_back();
    if (closing_ && connections_.empty() && done_) asio::post(io_, std::exchange(done_, nullptr));
}

void Listener::drain(std::function<void()> done) {
    if (draining_) return;
    draining_ = true;
    done_ = std::move(done);
    timers_.set(clock_.now() + kLinger, [this] {
        accept_waiting();
        Error ignored;
        acceptor_.close(ignored);
        closing_ = true;
        close_idle();
    });
}

// What the kernel accepted is ours: it counts as taken once its request is there, so none is left behind.
void Listener::accept_waiting() {
    for (;;) {
        Error error;
        tcp::socket socket = acceptor_.accept(error);
        if (error || !budget_.take()) return;
        admit(std::move(socket));
    }
}

void Listener::close_idle() {
    const Millis before = clock_.now() - kQuiet;
    const Connections all = connections_;
    for (const auto& connection : all)
        if (connection->idle() && connection->idle_since() < before && !connection->has_unread())
            connection->close();
    if (!connections_.empty())
        timers_.set(clock_.now() + kSweep, [this] { close_idle(); });
    else if (done_)
        asio::post(io_, std::exchange(done_, nullptr));
}

}  // namespace elmbay
