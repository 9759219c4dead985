// The request reading part of ClientConnection: from the first byte until the request is passed to the
// handlers.
#include <boost/asio/error.hpp>
#include <cstddef>
#include <utility>

#include "base/socket_state.hpp"
#include "net/client_connection.hpp"
#include "net/client_responses.hpp"

namespace elmbay {

namespace {

constexpr const char* kHealthCheckPath = "/up";

std::string_view path_of(const RequestHead& request) {
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

bool is_api_path(std::string_view path) { return path == "/api" || path.starts_with("/api/"); }

// Returns whether the parser rejected the input as invalid HTTP. False if the connection ended or failed.
bool is_protocol_error(const boost::system::error_code& error) {
    const auto& parser_errors = http::make_error_code(http::error::end_of_stream).category();
    return error.category() == parser_errors && error != http::error::end_of_stream &&
           error != http::error::partial_message;
}

}  // namespace

void ClientConnection::read_request() {
    enter(ConnectionState::reading_request);
    read_timed_out_ = false;
    // The time limit of the first request runs since the accept.
    if (has_sent_response_) {
        reading_since_ = context_.clock.now();
        set_timeout(kRequestReadTimeout);
    }
    request_memory_.emplace(context_.byte_budget);
    buffer_.emplace(RequestMemory::kHeadBytesWithoutGrant);
    parser_.emplace(*request_memory_);
    parser_->body_limit(kMaxRequestBodyBytes);
    parser_->header_limit(kMaxHeadBytes);
    read_head();
}

void ClientConnection::read_head() {
    http::async_read_header(socket_, *buffer_, *parser_,
                            [self = shared_from_this()](Error error, std::size_t) {
                                self->run_guarded([&] { self->on_head_read(error); });
                            });
}

void ClientConnection::read_body() {
    http::async_read(socket_, *buffer_, *parser_, [self = shared_from_this()](Error error, std::size_t) {
        self->run_guarded([&] { self->on_body_read(error); });
    });
}

// Returns whether the read that ended with `error` can continue, because its input buffer was full and has
// been enlarged.
bool ClientConnection::can_continue_after(Error error) {
    if (error != http::error::buffer_overflow || read_timed_out_) return false;
    if (!request_memory_->grow_input()) return false;
    buffer_->max_size(RequestMemory::kMaxInputBytes);
    return true;
}

// Rejects an invalid request before its body is read. Contradictory framing is rejected first, before any
// decision about where the body ends.
void ClientConnection::on_head_read(Error error) {
    if (state_ != ConnectionState::reading_request) return;
    if (can_continue_after(error)) {
        read_head();
        return;
    }
    if (error) {
        on_read_failed(error);
        return;
    }
    const bool is_complete = parser_->is_done();
    if (read_timed_out_ && !is_complete) {
        on_read_timed_out();
        return;
    }
    if (!has_unambiguous_framing(parser_->get())) {
        reject(kAmbiguousFraming, AfterResponse::close);
        return;
    }
    problem_ = find_problem(parser_->get());
    if (is_complete) {
        on_request_complete();
    } else if (problem_) {
        reject(*problem_, AfterResponse::close);
    } else if (parser_->content_length().value_or(0) > kMaxBodyBytesWithoutGrant &&
               !request_memory_->reserve_large_body()) {
        reject(kBodyTooLarge, AfterResponse::close);
    } else {
        read_body();
    }
}

void ClientConnection::on_body_read(Error error) {
    if (state_ != ConnectionState::reading_request) return;
    if (can_continue_after(error))
        read_body();
    else if (error)
        on_read_failed(error);
    else
        on_request_complete();
}

void ClientConnection::on_read_failed(Error error) {
    if (read_timed_out_ && error == asio::error::operation_aborted)
        on_read_timed_out();
    else if (error == boost::system::errc::not_enough_memory ||
             (error == http::error::buffer_overflow && !request_memory_->has_grown_input()))
        reject(kOutOfMemory, AfterResponse::close);
    else if (!is_protocol_error(error))
        close();
    else if (error == http::error::body_limit)
        reject(kBodyTooLarge, AfterResponse::close);
    else if (error == http::error::header_limit)
        reject(kHeadTooLarge, AfterResponse::close);
    else
        reject(kMalformedRequest, AfterResponse::close);
}

// Responds on a used connection as well, also during a shutdown. A client sends a request again without a
// response only if the sidecar had read nothing of it, and part of this one has been read.
void ClientConnection::on_read_timed_out() { reject(kRequestTimeout, AfterResponse::close); }

std::optional<RequestProblem> ClientConnection::find_problem(const RequestHead& head) const {
    const std::string_view path = path_of(head);
    const bool is_get = head.method() == http::verb::get;
    std::optional<RequestProblem> problem;
    if (path == kHealthCheckPath) {
        if (!is_get) problem = kHealthCheckMethod;
    } else if (!is_api_path(path)) {
        problem = kUnknownPath;
    } else {
        problem = context_.handlers.validate(head);
    }
    const bool has_body = !parser_->is_done();
    return is_get && has_body ? kGetWithBody : problem;
}

void ClientConnection::on_request_complete() {
    context_.timers.cancel(timer_);
    closes_after_response_ = !parser_->keep_alive();
    if (buffer_->size() > 0 || has_unread_data()) {
        reject(kPipelinedRequest, AfterResponse::close);
        return;
    }
    HttpRequest request = parser_->release_request();
    parser_.reset();
    buffer_.reset();
    if (problem_) {
        reject(*problem_, AfterResponse::keep);
        return;
    }
    if (path_of(request) == kHealthCheckPath) {
        respond_to_health_check();
        return;
    }
    // The same id may belong to another client's request. Two requests with one id must not be in progress at
    // the same time.
    if (!context_.owner.register_correlation_id(header_value(request, "X-Correlation-Id"))) {
        reject(kCorrelationIdInUse, AfterResponse::keep);
        return;
    }
    start_request(std::move(request));
}

void ClientConnection::respond_to_health_check() {
    const bool is_ready = context_.handlers.is_ready() && !context_.owner.is_draining();
    write(is_ready ? text_response(http::status::ok, "up\n")
                   : text_response(http::status::service_unavailable, "not ready\n"));
}

void ClientConnection::start_request(HttpRequest request) {
    // A health check does not get here: a client that sends only health checks is not an active client of the
    // application.
    has_sent_request_ = true;
    latest_request_was_rejected_ = false;
    context_.owner.on_request_accepted(*this);
    const bool has_capacity = context_.owner.has_capacity_for_request();
    // This time counts against the client's deadline: the connection may have waited in the accept queue, or
    // this process may have had no CPU core.
    const Millis queue_time = time_since_last_receive(socket_.native_handle()).value_or(0);
    RequestArrivalInfo arrival{queue_time, has_capacity, std::exchange(request_memory_, std::nullopt)};
    if (context_.handlers.is_upgrade && context_.handlers.is_upgrade(request)) {
        hand_over_socket(std::move(request), std::move(arrival));
        return;
    }
    enter(ConnectionState::request_in_progress);
    request_id_ = context_.owner.next_request_id();
    context_.owner.on_request_started(request_id_, *this);
    const auto self = shared_from_this();
    await_readable();  // detects a disconnect of the client
    context_.handlers.on_request(request_id_, std::move(request), std::move(arrival));
}

void ClientConnection::hand_over_socket(HttpRequest request, RequestArrivalInfo arrival) {
    enter(ConnectionState::closed);
    context_.owner.on_closed(*this);
    context_.handlers.on_upgrade(context_.owner.next_request_id(), std::move(socket_), std::move(request),
                                 std::move(arrival));
}

}  // namespace elmbay
