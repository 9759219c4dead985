#include "net/server_connection.hpp"

#include <unistd.h>

#include <boost/asio/error.hpp>
#include <cassert>
#include <string_view>
#include <utility>

#include "base/failpoints.hpp"
#include "base/socket_failures.hpp"
#include "base/socket_state.hpp"
#include "http/request_validation.hpp"

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;

}  // namespace

ServerConnection::ServerConnection(const ServerConnectionContext& context, ServerId server,
                                   const Endpoint& endpoint)
    : context_(context), server_(server), endpoint_(endpoint), socket_(context.io) {}

void ServerConnection::enter(ServerConnectionState state) {
    assert(is_allowed_transition(state_, state));
    state_ = state;
}

// ---- connecting

void ServerConnection::connect() {
    const Millis deadline = context_.clock.now() + context_.connect_timeout;
    connect_timer_ = context_.timers.set(deadline, [self = shared_from_this()] {
        self->connect_timer_ = {};
        self->on_connect_failed();
    });
    open();
}

// Opens the socket and connects. If the connect fails for lack of a local resource, no packet has reached the
// server; it is retried until the connect timeout.
void ServerConnection::open() {
    socket_.async_connect(endpoint_, [self = shared_from_this()](Error error) {
        if (self->state_ == ServerConnectionState::closed) return;
        const bool was_server_contacted =
            !error || classify_connect_error(error) == SocketFailure::connection;
        self->context_.owner.on_connect_finished(self->server_, was_server_contacted);
        if (!was_server_contacted)
            self->schedule_reopen();
        else if (error)
            self->on_connect_failed();
        else
            self->on_connected();
    });
}

void ServerConnection::schedule_reopen() {
    Error ignored;
    socket_.close(ignored);
    retry_timer_ =
        context_.timers.set(context_.clock.now() + kConnectRetryInterval, [self = shared_from_this()] {
            self->retry_timer_ = {};
            self->open();
        });
}

void ServerConnection::on_connected() {
    context_.timers.cancel(connect_timer_);
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    enter(ServerConnectionState::idle);
    await_readable();
    context_.owner.on_connected(shared_from_this());
}

void ServerConnection::on_connect_failed() {
    if (state_ == ServerConnectionState::closed) return;
    const auto self = shared_from_this();
    close();
    context_.owner.on_connect_failed(self);
}

// ---- idle

bool ServerConnection::is_usable() {
    return state_ == ServerConnectionState::idle &&
           peek_socket_state(socket_.native_handle()) == SocketState::idle;
}

void ServerConnection::await_readable() {
    if (is_waiting_readable_) return;
    is_waiting_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error) {
        self->is_waiting_readable_ = false;
        if (self->state_ == ServerConnectionState::in_use)
            self->read_response();
        else if (self->state_ == ServerConnectionState::idle)
            self->close();  // the server has closed the connection or sent unsolicited bytes
    });
}

// ---- request and response

void ServerConnection::send(const AttemptKey& attempt, std::shared_ptr<const HttpRequest> message,
                            Millis time_left) {
    enter(ServerConnectionState::in_use);
    Exchange& exchange = exchange_.emplace(attempt, context_.byte_budget);
    exchange.message = std::move(message);
    auto& request = exchange.request.emplace(exchange.message->base());
    request.set("X-Time-Left", format_time_left(time_left));
    request.body() = {exchange.message->body().data(), exchange.message->body().size()};
    request.keep_alive(true);
    request.prepare_payload();
    http::async_write(socket_, request,
                      [self = shared_from_this()](Error error, std::size_t) { self->on_written(error); });
}

void ServerConnection::on_written(Error error) {
    if (state_ == ServerConnectionState::closed) return;
    Exchange& exchange = *exchange_;
    exchange.is_write_pending = false;
    exchange.request.reset();
    exchange.message.reset();
    exchange.is_written = !error;
    if (error || exchange.is_read) finish_exchange(error);
}

void ServerConnection::read_response() {
    read_available();
    Exchange& exchange = *exchange_;
    if (!exchange.has_server_closed && exchange.response.state() == ResponseReader::State::incomplete) {
        await_readable();
        return;
    }
    exchange.is_read = true;
    if (exchange.is_write_pending)
        close_and_await_write_result();
    else
        finish_exchange({});
}

// Reads all received bytes. Bytes after a response are needed too, because they can make it malformed.
void ServerConnection::read_available() {
    Exchange& exchange = *exchange_;
    const auto* const data = static_cast<const char*>(context_.read_buffer.data());
    for (;;) {
        Error error;
        const std::size_t size = socket_.read_some(context_.read_buffer, error);
        if (error == asio::error::would_block || error == asio::error::try_again) return;
        if (error) {
            exchange.has_server_closed = true;
            if (error == asio::error::eof) exchange.response.on_end_of_stream();
            return;
        }
        const auto state = exchange.response.feed({data, size});
        if (state == ResponseReader::State::malformed) return;
    }
}

// Called when the exchange has failed or the response is complete before the write's handler has run. The
// request may have run only if its last byte was written, and only the result of the write shows that.
// Closing the socket makes the write complete at once.
void ServerConnection::close_and_await_write_result() {
    enter(ServerConnectionState::awaiting_write_result);
    Error ignored;
    socket_.close(ignored);
}

void ServerConnection::stop_writing() {
    exchange_->outcome_if_unwritten = Outcome::not_sent;
    reset_on_close();
    close_and_await_write_result();
}

void ServerConnection::finish_exchange(Error write_error) {
    const auto self = shared_from_this();
    const AttemptKey attempt = exchange_->attempt;
    ExchangeResult result = take_result(write_error);
    exchange_.reset();
    if (state_ == ServerConnectionState::awaiting_write_result) {
        enter(ServerConnectionState::closed);
        context_.owner.on_closed(*this);
    } else if (result.is_connection_reusable) {
        enter(ServerConnectionState::idle);
        await_readable();
    } else {
        close();
    }
    context_.owner.on_exchange_ended(self, attempt, std::move(result));
}

ExchangeResult ServerConnection::take_result(Error write_error) {
    Exchange& exchange = *exchange_;
    ExchangeResult result;
    // The request can have run only if its last byte was written before the failure.
    const bool may_have_run = exchange.is_written && !failpoint_enabled("resend");
    result.outcome = may_have_run ? Outcome::connection_reset : exchange.outcome_if_unwritten;
    switch (exchange.response.state()) {
        case ResponseReader::State::incomplete:
            return result;
        case ResponseReader::State::malformed:
            // The request may have run, and its result is unknown.
            if (exchange.is_written) result.outcome = Outcome::error_response;
            return result;
        case ResponseReader::State::complete:
            break;
    }
    result.is_connection_reusable = is_reusable(write_error);
    result.is_response_complete = true;
    result.response = exchange.response.release();
    if (is_marked_unprocessed(result.response)) {
        result.outcome = Outcome::rejected;
    } else if (exchange.is_written) {
        // PROTOCOL: a successful response has a body.
        const bool is_served =
            result.response.result() == http::status::ok && !result.response.body().empty();
        result.outcome = is_served ? Outcome::success : Outcome::error_response;
    }
    return result;
}

bool ServerConnection::is_reusable(Error write_error) const {
    const bool is_open = state_ == ServerConnectionState::in_use && !exchange_->has_server_closed;
    const bool is_written = !write_error && exchange_->is_written;
    return is_open && is_written && exchange_->response.is_connection_reusable();
}

// ---- closing

void ServerConnection::abandon() {
    reset_on_close();
    close();
}

void ServerConnection::reset_on_close() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void ServerConnection::close() {
    const bool is_closed =
        state_ == ServerConnectionState::closed || state_ == ServerConnectionState::awaiting_write_result;
    if (is_closed) return;
    enter(ServerConnectionState::closed);
    context_.timers.cancel(connect_timer_);
    context_.timers.cancel(retry_timer_);
    if (failpoint_enabled("leak")) (void)::dup(STDERR_FILENO);
    Error ignored;
    socket_.close(ignored);
    context_.owner.on_closed(*this);
}

}  // namespace elmbay
