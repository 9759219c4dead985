#include "websocket/session.hpp"

#include <chrono>
#include <utility>

namespace elmbay::websocket {

namespace {

using Error = boost::system::error_code;

std::chrono::steady_clock::duration to_duration(Millis millis) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(millis));
}

// Returns the close reason to send for a received one. The codes 1005, 1006 and 1015 denote closes without a
// code in a frame, and no close frame may contain them (RFC 6455, 7.4.1).
ws::close_reason sendable_close_reason(const ws::close_reason& received) {
    const bool is_reserved = received.code == ws::close_code::none ||
                             received.code == ws::close_code::no_status ||
                             received.code == ws::close_code::abnormal;
    return is_reserved ? ws::close_reason(ws::close_code::normal) : received;
}

}  // namespace

Session::Session(const Settings& settings, asio::ip::tcp::socket client_socket,
                 std::shared_ptr<Stream> server_stream, EndedHandler on_ended)
    : settings_(settings), on_ended_(std::move(on_ended)) {
    peers_[client].stream = std::make_shared<Stream>(std::move(client_socket));
    peers_[server].stream = std::move(server_stream);
    const ws::stream_base::timeout timeouts{to_duration(settings_.handshake_timeout),
                                            to_duration(settings_.idle_timeout), true};
    for (Peer& peer : peers_) {
        peer.buffer.resize(settings_.relay_buffer_bytes);
        peer.stream->set_option(timeouts);
        peer.stream->read_message_max(settings_.max_message_bytes);
        peer.stream->auto_fragment(false);
    }
}

void Session::start(HttpRequest request, std::string subprotocol) {
    upgrade_request_ = std::move(request);
    Stream& stream = *peers_[client].stream;
    stream.set_option(
        ws::stream_base::decorator([subprotocol = std::move(subprotocol)](ws::response_type& response) {
            response.erase(http::field::server);
            if (!subprotocol.empty()) response.set(http::field::sec_websocket_protocol, subprotocol);
        }));
    stream.async_accept(upgrade_request_, [self = shared_from_this()](Error error) {
        self->upgrade_request_ = {};
        if (error) {
            self->on_side_failed(client, error);
            return;
        }
        self->read(client);
        self->read(server);
    });
}

void Session::read(Side from) {
    if (!is_open(from)) return;
    Peer& peer = peers_[from];
    peer.stream->async_read_some(asio::buffer(peer.buffer),
                                 [self = shared_from_this(), from](Error error, std::size_t bytes) {
                                     if (error) {
                                         self->on_side_failed(from, error);
                                     } else {
                                         self->relay(from, bytes);
                                     }
                                 });
}

void Session::relay(Side from, std::size_t bytes) {
    const Side to = other_side(from);
    if (!is_open(to)) return;
    Stream& source = *peers_[from].stream;
    Stream& sink = *peers_[to].stream;
    const bool ends_message = source.is_message_done();
    const bool is_empty_fragment = bytes == 0 && !ends_message;
    if (is_empty_fragment) {
        read(from);
        return;
    }
    // Beast applies the message kind to the first fragment of a message and ignores it for later fragments.
    sink.binary(source.got_binary());
    sink.async_write_some(ends_message, asio::buffer(peers_[from].buffer.data(), bytes),
                          [self = shared_from_this(), from, to](Error error, std::size_t) {
                              if (error) {
                                  self->on_side_failed(to, error);
                              } else {
                                  self->read(from);
                              }
                          });
}

// Handles the failed read or write of one side. The cause is a close handshake by the peer, or a failure of
// the connection or the peer.
void Session::on_side_failed(Side side, Error error) {
    if (!is_open(side)) return;  // the completion of the close handshake ends this side
    const ws::close_reason reason = close_reason_after(side, error);
    const bool is_first_cause = !std::exchange(has_end_cause_, true);
    if (is_first_cause) is_broken_ = side == server && error != ws::error::closed;
    on_side_closed(side);
    close_side(other_side(side), reason);
}

ws::close_reason Session::close_reason_after(Side failed_side, Error error) const {
    if (error == ws::error::closed) return sendable_close_reason(peers_[failed_side].stream->reason());
    if (failed_side == client) return {ws::close_code::going_away, "client lost"};
    return {ws::close_code::internal_error, "server lost: what was not acknowledged may have run"};
}

void Session::close(ws::close_code code, const std::string& reason) {
    has_end_cause_ = true;
    const ws::close_reason close_reason(code, reason);
    close_side(client, close_reason);
    close_side(server, close_reason);
}

void Session::abort() {
    has_end_cause_ = true;
    on_side_closed(client);
    on_side_closed(server);
}

void Session::close_side(Side side, const ws::close_reason& reason) {
    if (!is_open(side)) return;
    Peer& peer = peers_[side];
    peer.state = SideState::closing;
    if (!peer.stream->is_open()) {  // no close frame may be sent before the opening handshake is complete
        on_side_closed(side);
        return;
    }
    if (!close_timer_) start_close_timer();
    peer.stream->async_close(reason,
                             [self = shared_from_this(), side](Error) { self->on_side_closed(side); });
}

// Beast's own timeout starts when the close frame is written. A peer that does not read blocks the write
// before the close frame, so the session needs a timer of its own.
void Session::start_close_timer() {
    close_timer_.emplace(peers_[client].stream->get_executor(), to_duration(settings_.handshake_timeout));
    close_timer_->async_wait([weak = weak_from_this()](Error error) {
        const auto self = weak.lock();
        if (!error && self) self->abort();
    });
}

void Session::on_side_closed(Side side) {
    Peer& peer = peers_[side];
    if (peer.state == SideState::closed) return;
    peer.state = SideState::closed;
    Error ignored;
    peer.stream->next_layer().close(ignored);
    const bool both_are_closed = peers_[other_side(side)].state == SideState::closed;
    if (!both_are_closed || !on_ended_) return;
    close_timer_.reset();
    std::exchange(on_ended_, nullptr)(is_broken_);
}

}  // namespace elmbay::websocket
