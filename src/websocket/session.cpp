#include "websocket/session.hpp"

#include <chrono>

namespace elmbay::websocket {

namespace {

using Error = boost::system::error_code;

std::chrono::steady_clock::duration span(Millis ms) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
}

// What may be sent on of what was received: 1005, 1006 and 1015 stand for what no frame says (7.4.1).
ws::close_reason sendable(const ws::close_reason& got) {
    const bool unsaid = got.code == ws::close_code::none || got.code == ws::close_code::no_status ||
                        got.code == ws::close_code::abnormal;
    return unsaid ? ws::close_reason(ws::close_code::normal) : got;
}

}  // namespace

Session::Session(const Settings& settings, asio::ip::tcp::socket client_socket,
                 std::shared_ptr<Stream> server_stream, Ended ended)
    : settings_(settings), ended_(std::move(ended)) {
    ends_[client].stream = std::make_shared<Stream>(std::move(client_socket));
    ends_[server].stream = std::move(server_stream);
    for (End& end : ends_) {
        end.piece.resize(settings_.waiting);
        end.stream->set_option(
            ws::stream_base::timeout{span(settings_.handshake), span(settings_.idle), true});
        end.stream->read_message_max(settings_.most_message);
        end.stream->auto_fragment(false);
    }
}

void Session::start(HttpRequest head, std::string subprotocol) {
    head_ = std::move(head);
    ends_[client].stream->set_option(
        ws::stream_base::decorator([subprotocol = std::move(subprotocol)](ws::response_type& response) {
            response.erase(http::field::server);
            if (!subprotocol.empty()) response.set(http::field::sec_websocket_protocol, subprotocol);
        }));
    ends_[client].stream->async_accept(head_, [self = shared_from_this()](Error error) {
        self->head_ = {};
        if (error) return self->stopped(client, error);
        self->read(client);
        self->read(server);
    });
}

void Session::read(Side from) {
    End& end = ends_[from];
    if (end.closing || end.closed) return;
    end.stream->async_read_some(asio::buffer(end.piece),
                                [self = shared_from_this(), from](Error error, std::size_t bytes) {
                                    error ? self->stopped(from, error) : self->pass_on(from, bytes);
                                });
}

void Session::pass_on(Side from, std::size_t bytes) {
    Stream &source = *ends_[from].stream, &sink = *ends_[other(from)].stream;
    if (ends_[other(from)].closing || ends_[other(from)].closed) return;
    const bool whole = source.is_message_done();
    if (bytes == 0 && !whole) return read(from);  // a frame that is empty and not its message's last
    sink.binary(source.got_binary());             // of a message's first frame; Beast keeps it for the rest
    sink.async_write_some(whole, asio::buffer(ends_[from].piece.data(), bytes),
                          [self = shared_from_this(), from](Error error, std::size_t) {
                              error ? self->stopped(other(from), error) : self->read(from);
                          });
}

// Reading or writing there has ended: by a close in good order, or because the connection or the peer failed.
void Session::stopped(Side side, Error error) {
    End& end = ends_[side];
    if (end.closing || end.closed) return;  // its close is under way, and tells
    const bool in_order = error == ws::error::closed;
    const ws::close_reason reason =
        in_order         ? sendable(end.stream->reason())
        : side == server ? ws::close_reason(ws::close_code::internal_error,
                                            "server lost: what was not acknowledged may have run")
                         : ws::close_reason(ws::close_code::going_away, "client lost");
    if (!std::exchange(settled_, true)) broken_ = side == server && !in_order;
    side_closed(side);
    close_side(other(side), reason);
}

void Session::close(ws::close_code code, const std::string& reason) {
    settled_ = true;
    for (const Side side : {client, server}) close_side(side, ws::close_reason(code, reason));
}

void Session::abort() {
    settled_ = true;
    for (const Side side : {client, server}) side_closed(side);
}

void Session::close_side(Side side, const ws::close_reason& reason) {
    End& end = ends_[side];
    if (end.closing || end.closed) return;
    end.closing = true;
    // Where no upgrade was answered yet there is nothing to close but the connection.
    if (!end.stream->is_open()) return side_closed(side);
    // A peer that takes nothing holds up a write, and that the close behind it: Beast's own time for a close
    // runs from when it is written.
    if (!limit_) {
        limit_.emplace(end.stream->get_executor(), span(settings_.handshake));
        limit_->async_wait([weak = weak_from_this()](Error error) {
            const auto self = weak.lock();
            if (!error && self) self->abort();
        });
    }
    end.stream->async_close(reason, [self = shared_from_this(), side](Error) { self->side_closed(side); });
}

void Session::side_closed(Side side) {
    End& end = ends_[side];
    if (std::exchange(end.closed, true)) return;
    Error ignored;
    end.stream->next_layer().close(ignored);
    if (!ends_[other(side)].closed || !ended_) return;
    limit_.reset();
    std::exchange(ended_, nullptr)(broken_);
}

}  // namespace elmbay::websocket
