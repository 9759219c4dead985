#include "fault_proxy/stream_link_connection.hpp"

#include <utility>

namespace elmbay::fault_proxy {

using Error = boost::system::error_code;
using MessageKind = MessageBoundaryReader::MessageKind;

StreamLink::Connection::Connection(StreamLink& link, tcp::socket client, std::uint64_t number)
    : link_(&link),
      number_(number),
      to_target_(link.context_.rules(), link.link_, number, MessageKind::request, std::move(client)),
      to_client_(link.context_.rules(), link.link_.reversed(), number, MessageKind::response,
                 tcp::socket(link.context_.io())) {}

void StreamLink::Connection::start(Millis delay) {
    if (delay <= 0) return connect();
    EventLoopContext& context = link_->context_;
    start_timer_ = context.schedule(context.now() + delay, [self = shared_from_this()] {
        self->start_timer_ = {};
        if (self->link_) self->connect();
    });
}

void StreamLink::Connection::connect() {
    to_client_.source.async_connect(link_->target_, [self = shared_from_this()](Error error) {
        if (!self->link_) return;
        if (!error) return self->on_connected();
        StreamLink* const link = self->link_;
        self->close(true);
        if (error == asio::error::connection_refused) link->on_target_refused();
    });
}

void StreamLink::Connection::on_connected() {
    Error ignored;
    for (Direction* direction : {&to_target_, &to_client_}) {
        direction->source.set_option(tcp::no_delay(true), ignored);
        direction->source.non_blocking(true, ignored);
    }
    is_connected_ = true;
    read(to_target_);
    read(to_client_);
}

void StreamLink::Connection::on_rules_changed() {
    if (!is_connected_) return;
    deliver(to_target_);
    if (link_) deliver(to_client_);
}

void StreamLink::Connection::close(bool by_reset) {
    if (!link_) return;
    for (Direction* direction : {&to_target_, &to_client_}) {
        Error ignored;
        if (by_reset) direction->source.set_option(asio::socket_base::linger(true, 0), ignored);
        direction->source.close(ignored);
        link_->context_.cancel(direction->timer);
    }
    link_->context_.cancel(start_timer_);
    report_client_ended();
    link_->connections_.erase(shared_from_this());
    link_ = nullptr;
}

void StreamLink::Connection::report_client_ended() {
    const bool was_reported = std::exchange(client_end_reported_, true);
    const auto& on_client_ended = link_->observer_.on_client_ended;
    if (!was_reported && on_client_ended) on_client_ended(number_);
}

bool StreamLink::Connection::is_observed(const Direction& direction) const {
    const Observer& observer = link_->observer_;
    return static_cast<bool>(is_to_target(direction) ? observer.on_client_sent : observer.on_client_received);
}

// Returns whether bytes that arrive now can be forwarded unchanged: no rule applies to them and no earlier
// bytes wait.
bool StreamLink::Connection::passes_unchanged(const Direction& direction) const {
    const bool is_empty = direction.actions.empty() && direction.pipe.size() == 0;
    const bool may_write = !direction.is_writing && !is_cut(direction);
    return is_empty && may_write && direction.filter.passes_unchanged();
}

void StreamLink::Connection::count_received(const Direction& direction, std::size_t bytes) {
    (is_to_target(direction) ? link_->bytes_to_target_ : link_->bytes_to_client_) += bytes;
}

void StreamLink::Connection::read(Direction& direction) {
    const bool is_full = direction.queued_bytes() >= kMaxQueuedBytes;
    if (direction.is_reading || direction.has_ended || is_full) return;
    direction.is_reading = true;
    direction.source.async_wait(tcp::socket::wait_read, [self = shared_from_this(), &direction](Error error) {
        direction.is_reading = false;
        if (self->link_ && !error) self->on_readable(direction);
    });
}

void StreamLink::Connection::on_readable(Direction& direction) {
    if (!splice(direction)) {
        auto& buffer = link_->context_.read_buffer;
        Error error;
        const std::size_t size = direction.source.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) return read(direction);
        const Millis now = link_->context_.now();
        if (error) {
            on_source_ended(direction, now, error == asio::error::eof);
        } else {
            on_bytes(direction, now, {buffer.data(), size});
        }
        // A rule may suppress the forwarding of a half-close or reset. The receiver then keeps waiting, as if
        // the peer's host had failed. The proxy closes the connection once both sides have closed.
        if (direction.has_ended && opposite(direction).has_ended) return close(false);
    }
    deliver(direction);
    if (link_) read(direction);
}

// Moves available bytes into the pipe without reading them, if no rule or observer needs them and many are
// expected.
bool StreamLink::Connection::splice(Direction& direction) {
    const bool may_splice =
        direction.last_read_was_bulk && !is_observed(direction) && passes_unchanged(direction);
    if (!may_splice || !direction.pipe.open()) return false;
    const auto result = direction.pipe.read_from(direction.source.native_handle());
    if (result != SplicePipe::MoveResult::moved) {
        direction.last_read_was_bulk = false;
        return false;
    }
    count_received(direction, direction.pipe.last_moved());
    direction.filter.skip(direction.pipe.last_moved());
    return true;
}

void StreamLink::Connection::on_bytes(Direction& direction, Millis now, std::string_view bytes) {
    count_received(direction, bytes.size());
    const auto& on_client_sent = link_->observer_.on_client_sent;
    if (is_to_target(direction) && on_client_sent) on_client_sent(number_, bytes);
    direction.last_read_was_bulk = bytes.size() >= kBulkReadBytes;
    if (passes_unchanged(direction)) bytes.remove_prefix(forward_immediately(direction, bytes));
    if (bytes.empty()) return;
    std::vector<StreamAction> actions;
    direction.filter.on_bytes(now, bytes, actions);
    enqueue(direction, std::move(actions));
}

// Forwards as many bytes as the receiver accepts now, without copying them. An error of the receiver appears
// again when the rest is sent.
std::size_t StreamLink::Connection::forward_immediately(Direction& direction, std::string_view bytes) {
    Error ignored;
    const std::size_t passed = opposite(direction).source.write_some(asio::buffer(bytes), ignored);
    const auto& on_client_received = link_->observer_.on_client_received;
    if (!is_to_target(direction) && on_client_received && passed > 0) {
        on_client_received(number_, bytes.substr(0, passed));
    }
    direction.filter.skip(passed);
    return passed;
}

void StreamLink::Connection::on_source_ended(Direction& direction, Millis now, bool is_graceful) {
    direction.has_ended = true;
    if (is_to_target(direction)) report_client_ended();
    std::vector<StreamAction> actions;
    direction.filter.on_end(now, is_graceful ? StreamAction::Kind::half_close : StreamAction::Kind::reset,
                            actions);
    enqueue(direction, std::move(actions));
}

void StreamLink::Connection::enqueue(Direction& direction, std::vector<StreamAction> actions) {
    for (StreamAction& action : actions) {
        direction.queued_action_bytes += action.bytes.size();
        direction.actions.push_back(std::move(action));
    }
}

// Performs all actions that are due. After a cut, on_rules_changed() calls it again.
void StreamLink::Connection::deliver(Direction& direction) {
    if (direction.is_writing) return;
    link_->context_.cancel(direction.timer);
    if (!flush_pipe(direction)) return;
    while (!direction.actions.empty()) {
        if (!perform_first_action(direction)) return;
    }
    read(direction);
}

bool StreamLink::Connection::flush_pipe(Direction& direction) {
    while (direction.pipe.size() > 0) {
        if (is_cut(direction)) return false;
        const auto result = direction.pipe.write_to(opposite(direction).source.native_handle());
        if (result == SplicePipe::MoveResult::would_block) {
            wait_for_space(direction);
            return false;
        }
        if (result != SplicePipe::MoveResult::moved) {
            close(true);
            return false;
        }
    }
    return true;
}

bool StreamLink::Connection::perform_first_action(Direction& direction) {
    if (is_cut(direction)) return false;
    const StreamAction& action = direction.actions.front();
    if (action.not_before > link_->context_.now()) {
        wait_until(direction, action.not_before);
        return false;
    }
    switch (action.kind) {
        case StreamAction::Kind::reset:
            close(true);
            return false;
        case StreamAction::Kind::half_close:
            forward_end(direction);
            return false;
        case StreamAction::Kind::send_bytes:
            return send_first_action(direction);
    }
    return false;
}

bool StreamLink::Connection::send_first_action(Direction& direction) {
    const StreamAction& action = direction.actions.front();
    const std::string_view rest = std::string_view(action.bytes).substr(direction.first_action_sent_bytes);
    Error error;
    const std::size_t sent = opposite(direction).source.write_some(asio::buffer(rest), error);
    if (error == asio::error::would_block) {
        wait_for_space(direction);
        return false;
    }
    if (error) {  // the receiver has closed: resets the sender as well
        close(true);
        return false;
    }
    const auto& on_client_received = link_->observer_.on_client_received;
    if (!is_to_target(direction) && on_client_received) on_client_received(number_, rest.substr(0, sent));
    direction.first_action_sent_bytes += sent;
    direction.queued_action_bytes -= sent;
    if (direction.first_action_sent_bytes == action.bytes.size()) {
        direction.actions.pop_front();
        direction.first_action_sent_bytes = 0;
    }
    return true;
}

void StreamLink::Connection::forward_end(Direction& direction) {
    Error ignored;
    opposite(direction).source.shutdown(tcp::socket::shutdown_send, ignored);
    direction.actions.clear();
    direction.end_forwarded = true;
    if (opposite(direction).end_forwarded) close(false);
}

void StreamLink::Connection::wait_until(Direction& direction, Millis time) {
    direction.timer = link_->context_.schedule(time, [self = shared_from_this(), &direction] {
        direction.timer = {};
        if (self->link_) self->deliver(direction);
    });
}

void StreamLink::Connection::wait_for_space(Direction& direction) {
    direction.is_writing = true;
    opposite(direction).source.async_wait(tcp::socket::wait_write,
                                          [self = shared_from_this(), &direction](Error error) {
                                              direction.is_writing = false;
                                              if (self->link_ && !error) self->deliver(direction);
                                          });
}

}  // namespace elmbay::fault_proxy
