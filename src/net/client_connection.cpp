#include "net/client_connection.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <cassert>
#include <utility>

#include "base/socket_state.hpp"
#include "net/client_responses.hpp"
#include "net/log_events.hpp"

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;

}  // namespace

ClientConnection::ClientConnection(const ClientConnectionContext& context, tcp::socket socket)
    : context_(context),
      socket_(std::move(socket)),
      idle_since_(context.clock.now()),
      last_receive_(idle_since_ - time_since_last_receive(socket_.native_handle()).value_or(0)),
      reading_since_(idle_since_) {}

void ClientConnection::start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    set_timeout(kRequestReadTimeout);
    await_readable();
}

void ClientConnection::respond(HttpResponse response) {
    request_id_ = 0;
    run_guarded([&] { write(std::move(response)); });
}

void ClientConnection::evict() {
    const bool has_unread_request = is_idle() && has_unread_data();
    if (has_unread_request) {
        begin_lingering_close();
        discard_input();
    }
    close();
}

void ClientConnection::close() {
    if (state_ == ConnectionState::closed) return;
    enter(ConnectionState::closed);
    Error ignored;
    socket_.close(ignored);
    context_.timers.cancel(timer_);
    notify_client_disconnected();
    context_.owner.on_closed(*this);
}

void ClientConnection::close_if_idle(Millis accepted_before) {
    if (state_ != ConnectionState::awaiting_request) return;
    if (has_unread_data()) {
        // Reads a request that has arrived without waiting for the pause to end: after kRequestCutoff of the
        // shutdown there would be no time left to respond to it.
        if (std::exchange(reading_is_paused_, false)) await_next_request();
        return;
    }
    if (has_sent_request_ || idle_since_ < accepted_before) begin_lingering_close();
}

// Only cancels the read. The pending read uses the parser until its handler has run, so the connection
// continues in that handler.
void ClientConnection::stop_reading() {
    if (state_ != ConnectionState::reading_request) return;
    read_timed_out_ = true;
    Error ignored;
    socket_.cancel(ignored);
}

void ClientConnection::count_into(ClientConnectionCounts& counts) const {
    switch (state_) {
        case ConnectionState::awaiting_request:
            if (reading_is_paused_)
                ++(has_unread_data() ? counts.rejected_with_unread : counts.rejected);
            else
                ++(has_unread_data() ? counts.idle_with_unread : counts.idle);
            return;
        case ConnectionState::reading_request:
            ++counts.reading_request;
            return;
        case ConnectionState::request_in_progress:
            ++counts.request_in_progress;
            return;
        case ConnectionState::writing_response:
            ++counts.writing_response;
            return;
        case ConnectionState::lingering_close:
            ++counts.lingering_close;
            return;
        case ConnectionState::closed:
            return;
    }
}

bool ClientConnection::is_evictable(Millis now) {
    switch (state_) {
        case ConnectionState::awaiting_request:
            if (latest_request_was_rejected_) return now - idle_since_ > kMinAgeAfterRejection;
            return (has_sent_response_ || is_old_without_bytes(now)) && !has_unread_data();
        case ConnectionState::lingering_close:
            // Input beyond kMaxDiscardedBytes is not read: by then the response has been delivered, or the
            // client can't be distinguished from a flood. Below that, unread bytes forbid the close, because
            // it would reset the connection and destroy the response.
            return discarded_bytes_ >= kMaxDiscardedBytes || !has_unread_data();
        default:
            return false;
    }
}

bool ClientConnection::is_stalled(Millis now) {
    if (state_ != ConnectionState::reading_request || read_timed_out_) return false;
    const bool may_be_rejected =
        now - reading_since_ > kMinAgeWithoutRequest || has_been_silent_for(kMinStallTime, now);
    return may_be_rejected && !has_unread_data();
}

bool ClientConnection::is_old_without_bytes(Millis now) {
    return now - idle_since_ > kMinAgeWithoutBytes || has_been_silent_for(kMinAgeWithoutBytes, now);
}

// Queries the kernel only if the last recorded time is long enough ago, because the pool calls this for many
// connections each time that it needs a socket.
bool ClientConnection::has_been_silent_for(Millis time, Millis now) {
    if (now - last_receive_ < time) return false;
    const auto silence = time_since_last_receive(socket_.native_handle());
    if (!silence) return false;
    last_receive_ = std::max(last_receive_, now - *silence);
    return now - last_receive_ >= time;
}

bool ClientConnection::has_unread_data() const {
    Error error;
    return socket_.available(error) > 0;
}

bool ClientConnection::has_client_disconnected() {
    const SocketState socket_state = peek_socket_state(socket_.native_handle());
    return socket_state != SocketState::idle && socket_state != SocketState::interrupted;
}

void ClientConnection::enter(ConnectionState state) {
    assert(is_allowed_transition(state_, state));
    state_ = state;
}

// ---- timer and socket events

void ClientConnection::set_timeout(Millis timeout) {
    context_.timers.cancel(timer_);
    timer_ = context_.timers.set(context_.clock.now() + timeout, [self = shared_from_this()] {
        self->timer_ = {};
        self->on_timeout();
    });
}

void ClientConnection::on_timeout() {
    if (std::exchange(reading_is_paused_, false)) {
        await_next_request();
        return;
    }
    switch (state_) {
        case ConnectionState::awaiting_request:
            if (has_unread_data()) {  // bytes of a request have arrived, and their handler has not run yet
                set_timeout(kMinAgeWithoutRequest);
                read_request();
            } else if (has_sent_response_) {
                begin_lingering_close();
            } else {
                reject(kRequestTimeout, AfterResponse::close);
            }
            return;
        case ConnectionState::reading_request:
            stop_reading();  // the read's handler calls on_read_timed_out()
            return;
        default:
            close();  // the client has not read its response, or has not closed its end, within the limit
    }
}

void ClientConnection::await_readable() {
    if (is_waiting_readable_) return;
    is_waiting_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
        self->is_waiting_readable_ = false;
        if (self->state_ == ConnectionState::closed) return;
        if (error == asio::error::operation_aborted) {
            // stop_reading() cancels this wait together with the read. The read's handler continues.
            if (self->state_ != ConnectionState::reading_request) self->await_readable();
            return;
        }
        if (error)
            self->close();
        else
            self->on_readable();
    });
}

void ClientConnection::on_readable() {
    switch (state_) {
        case ConnectionState::lingering_close:
            discard_input();
            return;
        case ConnectionState::awaiting_request:
            if (!reading_is_paused_) read_request();
            return;
        default:
            on_readable_during_request();
    }
}

void ClientConnection::on_readable_during_request() {
    const SocketState socket_state = peek_socket_state(socket_.native_handle());
    if (socket_state == SocketState::idle || socket_state == SocketState::interrupted) {
        await_readable();
        return;
    }
    const bool has_disconnected = socket_state != SocketState::readable;
    if (has_disconnected) {
        if (state_ == ConnectionState::writing_response)
            closes_after_response_ = true;
        else
            close();
        return;
    }
    // The client may already have read the response that is being written here. Its next request stays unread
    // until the write has completed.
    if (state_ != ConnectionState::request_in_progress) return;
    // More bytes before the response are a pipelined request or garbage, which the application never sends.
    // The request in progress can't be trusted either, so it is cancelled.
    notify_client_disconnected();
    reject(kPipelinedRequest, AfterResponse::close);
}

void ClientConnection::notify_client_disconnected() {
    if (request_id_ == 0) return;
    context_.owner.on_client_disconnected(std::exchange(request_id_, 0));
}

// ---- responding

void ClientConnection::reject(const RequestProblem& problem, AfterResponse after) {
    if (after == AfterResponse::close) closes_after_response_ = true;
    response_is_rejection_ = true;
    write(text_response(problem.status, problem.text));
}

void ClientConnection::write(HttpResponse response) {
    enter(ConnectionState::writing_response);
    release_message_memory();
    if (response.body().size() > kMaxBodyBytesWithoutGrant) {
        response_memory_ = context_.byte_budget.acquire_large(kMaxResponseBodyBytes);
        if (!response_memory_)
            response = text_response(http::status::bad_gateway, "no memory for so long an answer\n");
    }
    if (context_.owner.is_draining()) closes_after_response_ = true;
    response.version(kHttp11);
    response.keep_alive(!closes_after_response_);
    response.prepare_payload();
    response_.emplace(std::move(response));
    set_timeout(context_.max_response_time + kResponseWriteMargin);
    http::async_write(socket_, *response_,
                      [self = shared_from_this()](Error error, std::size_t) { self->on_written(error); });
}

// Closes the connection only if the response had "Connection: close". After a keep-alive response the client
// may already be sending its next request.
void ClientConnection::on_written(Error error) {
    if (state_ != ConnectionState::writing_response) return;
    response_.reset();
    response_memory_.reset();
    if (error) {
        close();
        return;
    }
    if (closes_after_response_) {
        begin_lingering_close();
        return;
    }
    enter(ConnectionState::awaiting_request);
    has_sent_response_ = true;
    idle_since_ = context_.clock.now();
    if (std::exchange(response_is_rejection_, false)) {
        latest_request_was_rejected_ = true;
        context_.owner.on_request_rejected(*this);
        reading_is_paused_ = true;
        set_timeout(kPauseAfterRejection);
        return;
    }
    context_.owner.on_idle(*this);
    await_next_request();
}

void ClientConnection::await_next_request() {
    set_timeout(kIdleTimeout);
    await_readable();
}

void ClientConnection::release_message_memory() {
    parser_.reset();
    buffer_.reset();
    request_memory_.reset();
    response_memory_.reset();
}

// ---- closing

// Closes a connection whose client may still be reading or sending (RFC 9112, section 9.6). Closing a socket
// with unread bytes would reset the connection and destroy the last response. So the sidecar shuts down its
// sending side, then reads and discards input until the client closes or kLingerTimeout expires. A request in
// the discarded input was sent on a closing connection, and its client sends it again on another one.
void ClientConnection::begin_lingering_close() {
    Error error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    enter(ConnectionState::lingering_close);
    context_.owner.on_idle(*this);
    reading_is_paused_ = false;
    release_message_memory();
    socket_.non_blocking(true, error);
    set_timeout(kLingerTimeout);
    await_readable();
}

void ClientConnection::discard_input() {
    while (discarded_bytes_ < kMaxDiscardedBytes) {
        Error error;
        const std::size_t size = socket_.read_some(context_.discard_buffer, error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            await_readable();
            return;
        }
        if (error) {
            close();
            return;
        }
        discarded_bytes_ += size;
    }
    // The client has sent kMaxDiscardedBytes and may send more, which stays unread. It can read its response
    // until kLingerTimeout expires. Then the connection is reset.
}

// ---- exceptions

void ClientConnection::on_exception(const std::exception& exception) {
    log_event("listener", "request_failed", exception.what());
    const auto self = shared_from_this();
    try {
        notify_client_disconnected();
        const bool can_respond =
            state_ == ConnectionState::reading_request || state_ == ConnectionState::request_in_progress;
        if (can_respond) {
            reject(kInternalError, AfterResponse::close);
            return;
        }
    } catch (const std::exception& error) {
        log_event("listener", "error_response_failed", error.what());
        close();
        return;
    }
    const bool response_has_begun = response_.has_value();
    if (state_ == ConnectionState::writing_response && !response_has_begun) close();
}

}  // namespace elmbay
