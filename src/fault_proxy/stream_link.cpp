#include "fault_proxy/stream_link.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "fault_proxy/stream_link_connection.hpp"

namespace elmbay::fault_proxy {

using Error = boost::system::error_code;

namespace {

// With a backlog of 0 the kernel still queues one connection. The second filler is a safety margin.
constexpr int kBacklogFillerCount = 2;

}  // namespace

StreamLink::StreamLink(EventLoopContext& context, Link link, tcp::endpoint listen, tcp::endpoint target)
    : context_(context),
      link_(std::move(link)),
      endpoint_(std::move(listen)),
      target_(std::move(target)),
      acceptor_(context.io()) {
    open_listener();  // always, to determine the port and to check that it is free
    subscription_ = context_.subscribe([this] { apply_rules(); });
    apply_rules();
}

StreamLink::~StreamLink() {
    *is_alive_ = false;
    context_.unsubscribe(subscription_);
    context_.cancel(target_probe_);
    reset_all();
}

void StreamLink::reset_all() {
    for (const auto& connection : std::set(connections_)) connection->close(true);
}

std::size_t StreamLink::queued_bytes() const {
    std::size_t bytes = 0;
    for (const auto& connection : connections_) bytes += connection->queued_bytes();
    return bytes;
}

void StreamLink::set_target_state(TargetState state) {
    target_state_ = state;
    target_refused_ = false;
    context_.cancel(target_probe_);
    apply_rules();
}

// Applies the rules that are active now.
void StreamLink::apply_rules() {
    const Millis now = context_.now();
    is_cut_to_target_ = context_.rules().is_cut(link_, Medium::stream, now);
    is_cut_to_client_ = context_.rules().is_cut(link_.reversed(), Medium::stream, now);
    set_listener_state(required_listener_state(now));
    for (const auto& connection : std::set(connections_)) connection->on_rules_changed();
}

StreamLink::ListenerState StreamLink::required_listener_state(Millis now) const {
    const bool target_is_down = target_state_ == TargetState::down || target_refused_;
    if (target_is_down || context_.rules().refuses_all(link_, now)) return ListenerState::closed;
    const bool is_cut = is_cut_to_target_ || is_cut_to_client_;
    if (is_cut || target_state_ == TargetState::unreachable) return ListenerState::unresponsive;
    return ListenerState::listening;
}

void StreamLink::set_listener_state(ListenerState state) {
    if (state == listener_state_) return;
    if (state == ListenerState::closed) {
        Error ignored;
        acceptor_.close(ignored);
        backlog_fillers_.clear();
        listener_state_ = state;
        return;
    }
    if (!acceptor_.is_open()) open_listener();
    listener_state_ = state;
    if (state == ListenerState::listening) {
        ::listen(acceptor_.native_handle(), kBacklogLength);
        accept();  // accepts the fillers first, which on_accepted() closes
        return;
    }
    Error ignored;
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    fill_backlog();
}

// Fills the kernel's accept queue of the listener, so that the kernel drops further connection attempts.
void StreamLink::fill_backlog() {
    for (int i = 0; i < kBacklogFillerCount; ++i) {
        Error ignored;
        tcp::socket filler(context_.io());
        filler.open(endpoint_.protocol(), ignored);
        filler.native_non_blocking(true, ignored);
        // Calls connect(2) directly, because asio's connect() waits until the connection is established,
        // which never happens.
        static_cast<void>(
            ::connect(filler.native_handle(), endpoint_.data(), static_cast<socklen_t>(endpoint_.size())));
        backlog_fillers_.push_back(std::move(filler));
    }
}

bool StreamLink::is_backlog_filler(const tcp::endpoint& client) const {
    return std::any_of(backlog_fillers_.begin(), backlog_fillers_.end(), [&](const tcp::socket& filler) {
        Error error;
        return filler.local_endpoint(error) == client && !error;
    });
}

void StreamLink::open_listener() {
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen(kBacklogLength);
    acceptor_.non_blocking(true);
    endpoint_ = acceptor_.local_endpoint();
    listener_state_ = ListenerState::listening;
    accept();
}

void StreamLink::accept() {
    if (is_accepting_) return;
    is_accepting_ = true;
    acceptor_.async_accept([this, is_alive = is_alive_](Error error, tcp::socket client) {
        if (!*is_alive) return;
        is_accepting_ = false;
        if (listener_state_ != ListenerState::listening) return;
        // An error here means that the state changed to unresponsive and back within one turn of the event
        // loop, which cancelled the accept.
        if (!error) on_accepted(std::move(client));
        accept();
    });
}

void StreamLink::on_accepted(tcp::socket client) {
    Error ignored;
    if (is_backlog_filler(client.remote_endpoint(ignored))) return;
    ++opened_connections_;
    const auto fault = context_.rules().on_open(link_, opened_connections_, context_.now());
    if (fault.is_refused) {
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        return;
    }
    const auto connection = std::make_shared<Connection>(*this, std::move(client), opened_connections_);
    connections_.insert(connection);
    connection->start(fault.delay);
}

// Refuses connections like the target's host did, until a probe connection to the target succeeds.
void StreamLink::on_target_refused() {
    if (target_refused_ || target_state_ != TargetState::up) return;
    target_refused_ = true;
    apply_rules();
    probe_target();
}

void StreamLink::probe_target() {
    const auto socket = std::make_shared<tcp::socket>(context_.io());
    socket->async_connect(target_, [this, is_alive = is_alive_, socket](Error error) {
        if (!*is_alive || !target_refused_) return;
        if (!error) {
            target_refused_ = false;
            return apply_rules();
        }
        target_probe_ = context_.schedule(context_.now() + kTargetProbePeriod, [this] {
            target_probe_ = {};
            probe_target();
        });
    });
}

}  // namespace elmbay::fault_proxy
