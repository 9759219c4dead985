#include "cluster/driver.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace elmbay::cluster {

using Error = boost::system::error_code;

namespace {

Membership::Setup membership_setup(const Driver::Setup& setup) {
    Membership::Setup result;
    result.self = setup.self;
    result.member_count = static_cast<std::uint32_t>(setup.peers.size());
    result.configured_siblings = setup.configured_siblings;
    result.seed = setup.seed;
    result.timing.probe_period = setup.probe_period;
    return result;
}

nlohmann::json member_status(MemberId id, const Member& member, Millis now) {
    nlohmann::json since_last_datagram;
    if (member.last_datagram_at >= 0) since_last_datagram = (now - member.last_datagram_at) / 1000;
    return {{"number", id},
            {"state", to_string(member.state)},
            {"since_s", (now - member.state_since) / 1000},
            {"heard_s", std::move(since_last_datagram)},
            {"by_way", member.indirect_only},
            {"view", to_string(member.view)},
            {"hears", member.present_count},
            {"incarnation", member.incarnation.counter},
            {"life", member.incarnation.nonce},
            {"uptime_s", member.uptime_seconds}};
}

}  // namespace

Driver::Driver(asio::io_context& io, TimerQueue& timers, const Clock& clock, const Setup& setup,
               Handlers handlers)
    : timers_(timers),
      clock_(clock),
      handlers_(std::move(handlers)),
      peers_(setup.peers),
      socket_(io),
      membership_(membership_setup(setup), clock.now(), clock.wall_time()),
      siblings_(setup.configured_siblings) {
    // If two ids have the same address, the lower id gets the entry. Datagrams contain the id of their
    // sender.
    for (std::uint32_t i = 0; i < peers_.size(); ++i) address_indexes_.emplace(peers_[i], i);
    socket_.open(setup.listen.protocol());
    socket_.bind(setup.listen);
    socket_.non_blocking(true);
    // With IP_RECVERR (ip(7)) the kernel queues ICMP errors such as "port unreachable" together with the
    // original destination. Without it, only failed probes would reveal that the process of a peer has ended.
    const int enabled = 1;
    ::setsockopt(socket_.native_handle(), IPPROTO_IP, IP_RECVERR, &enabled, sizeof enabled);
    wait_readable();
    flush_outputs();
}

Driver::~Driver() {
    *alive_ = false;
    timers_.cancel(membership_timer_);
    timers_.cancel(pause_timer_);
}

void Driver::wait_readable() {
    socket_.async_wait(udp::socket::wait_read, [this, alive = alive_](Error error) {
        if (!*alive || error == asio::error::operation_aborted) return;
        read_datagrams();
    });
}

void Driver::read_datagrams() {
    std::array<char, Message::kMaxBytes + 1> bytes{};  // one byte more, to detect datagrams that are too long
    std::size_t read = 0;
    for (; read < kMaxDatagramsPerTurn; ++read) {
        PeerAddress from;
        Error error;
        const std::size_t size = socket_.receive_from(asio::buffer(bytes), from, 0, error);
        if (error == asio::error::would_block) break;
        if (error) {
            read_icmp_errors();
            continue;
        }
        const auto found = address_indexes_.find(from);
        const std::optional<std::uint32_t> index =
            found == address_indexes_.end() ? std::nullopt : std::optional(found->second);
        membership_.on_datagram(clock_.now(), index, {bytes.data(), size});
    }
    flush_outputs();
    if (read < kMaxDatagramsPerTurn) return wait_readable();
    pause_timer_ = timers_.set(clock_.now() + kFullTurnPause, [this] {
        pause_timer_ = {};
        wait_readable();
    });
}

// Reads ICMP errors from the socket's error queue. The source address of an entry is the destination of the
// datagram that caused it (ip(7), IP_RECVERR).
void Driver::read_icmp_errors() {
    constexpr std::size_t control_bytes = 512;  // several times the size of an extended error and an address
    for (std::size_t read = 0; read < kMaxDatagramsPerTurn; ++read) {
        sockaddr_in destination{};
        std::array<char, 1> bytes{};
        std::array<char, control_bytes> control{};
        iovec data{bytes.data(), bytes.size()};
        msghdr message{};
        message.msg_name = &destination;
        message.msg_namelen = sizeof destination;
        message.msg_iov = &data;
        message.msg_iovlen = 1;
        message.msg_control = control.data();
        message.msg_controllen = control.size();
        if (::recvmsg(socket_.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0) return;
        if (message.msg_namelen != sizeof destination || destination.sin_family != AF_INET) continue;
        const asio::ip::address_v4 host(ntohl(destination.sin_addr.s_addr));
        const auto found = address_indexes_.find(PeerAddress(host, ntohs(destination.sin_port)));
        if (found != address_indexes_.end()) membership_.on_port_unreachable(clock_.now(), found->second);
    }
}

void Driver::send_datagrams() {
    for (const Datagram& datagram : membership_.take_datagrams()) {
        Error error;
        socket_.send_to(asio::buffer(datagram.bytes), peers_[datagram.address_index], 0, error);
        if (error == asio::error::connection_refused) read_icmp_errors();  // caused by an earlier datagram
    }
}

// Must follow each call that changes the membership. Sends its datagrams, reports its changes, and sets the
// timer for on_timer().
void Driver::flush_outputs() {
    const Millis now = clock_.now();
    send_datagrams();
    for (const MemberChange& change : membership_.take_changes()) handlers_.member_changed(change);
    const std::uint32_t siblings = membership_.update_siblings(now);
    if (std::exchange(siblings_, siblings) != siblings) handlers_.siblings_changed(siblings);
    timers_.cancel(membership_timer_);
    const Millis next = membership_.next_due();
    if (!std::isfinite(next)) return;
    membership_timer_ = timers_.set(next, [this] {
        membership_timer_ = {};
        membership_.on_timer(clock_.now());
        flush_outputs();
    });
}

void Driver::leave() {
    membership_.leave(clock_.now());
    flush_outputs();
}

nlohmann::json Driver::status() {
    const Millis now = clock_.now();
    const MemberCounts counts = membership_.member_counts();
    const Membership::Counters counters = membership_.counters();
    nlohmann::json list = nlohmann::json::array();
    for (MemberId id = 0; id < membership_.member_count(); ++id) {
        list.push_back(member_status(id, membership_.member(id), now));
    }
    return {{"self", membership_.self()},
            {"view", to_string(membership_.view(now))},
            {"yielded", membership_.yielded()},
            {"siblings", siblings_},
            {"digest", membership_.digest()},
            {"health", membership_.health()},
            {"count",
             {{"all", counts.total},
              {"present", counts.present},
              {"silent", counts.failed},
              {"ended", counts.ended}}},
            {"messages",
             {{"sent", counters.sent},
              {"bytes_sent", counters.bytes_sent},
              {"received", counters.received},
              {"strangers", counters.unknown_senders},
              {"unreadable", counters.malformed},
              {"stale", counters.outdated}}},
            {"suspicions", counters.suspicions},
            {"refuted", counters.refutations},
            {"failures", counters.failures},
            {"overslept", counters.stalls},
            {"pulls", counters.table_requests},
            {"members", std::move(list)}};
}

}  // namespace elmbay::cluster
