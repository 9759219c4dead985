#include "cluster/driver.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

namespace elmbay::cluster {

using Error = boost::system::error_code;

namespace {

Membership::Setup setup_of(const Driver::Setup& s) {
    Membership::Setup setup;
    setup.self = s.self;
    setup.count = static_cast<std::uint32_t>(s.peers.size());
    setup.siblings = s.siblings;
    setup.seed = s.seed;
    setup.timing.probe_period = s.period;
    return setup;
}

}  // namespace

Driver::Driver(asio::io_context& io, TimerQueue& timers, const Clock& clock, const Setup& setup,
               Handlers handlers)
    : io_(io),
      timers_(timers),
      clock_(clock),
      handlers_(std::move(handlers)),
      peers_(setup.peers),
      socket_(io),
      members_(setup_of(setup), clock.now(), clock.now()),  // the clock is Unix time, offset once
      siblings_(setup.siblings) {
    // Of two numbers with one address the first has it: its datagrams say who they are from.
    for (std::uint32_t i = 0; i < peers_.size(); ++i) places_.emplace(peers_[i], i);
    socket_.open(setup.listen.protocol());
    socket_.bind(setup.listen);
    socket_.non_blocking(true);
    // The kernel keeps what machines say of datagrams that nobody listened for, with whom it is about. Where
    // it doesn't, those who have died are found by their silence.
    const int on = 1;
    ::setsockopt(socket_.native_handle(), IPPROTO_IP, IP_RECVERR, &on, sizeof on);
    receive();
    settle();
}

Driver::~Driver() {
    *here_ = false;
    timers_.cancel(timer_);
    timers_.cancel(pause_);
}

void Driver::receive() {
    socket_.async_wait(udp::socket::wait_read, [this, here = here_](Error error) {
        if (!*here || error == asio::error::operation_aborted) return;
        read();
    });
}

void Driver::read() {
    char bytes[Message::kMaxBytes + 1];  // one more, so that a longer one is seen to be
    std::size_t n = 0;
    for (; n < kMaxPerTurn; ++n) {
        PeerAddress from;
        Error error;
        const std::size_t size = socket_.receive_from(asio::buffer(bytes), from, 0, error);
        if (error == asio::error::would_block) break;
        if (error) {
            read_refusals();
            continue;
        }
        const auto place = places_.find(from);
        members_.heard(clock_.now(), place == places_.end() ? std::nullopt : std::optional(place->second),
                       {bytes, size});
    }
    settle();
    if (n < kMaxPerTurn) return receive();
    pause_ = timers_.set(clock_.now() + kPause, [this] {
        pause_ = {};
        receive();
    });
}

// The error queue names, as the source of what is read, where the datagram was meant to go (ip(7),
// IP_RECVERR).
void Driver::read_refusals() {
    for (std::size_t n = 0; n < kMaxPerTurn; ++n) {
        sockaddr_in whom{};
        char bytes[1], control[512];
        iovec data{bytes, sizeof bytes};
        msghdr message{};
        message.msg_name = &whom, message.msg_namelen = sizeof whom;
        message.msg_iov = &data, message.msg_iovlen = 1;
        message.msg_control = control, message.msg_controllen = sizeof control;
        if (::recvmsg(socket_.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0) return;
        if (message.msg_namelen != sizeof whom || whom.sin_family != AF_INET) continue;
        const PeerAddress address(asio::ip::address_v4(ntohl(whom.sin_addr.s_addr)), ntohs(whom.sin_port));
        if (const auto place = places_.find(address); place != places_.end())
            members_.refused(clock_.now(), place->second);
    }
}

void Driver::settle() {
    const Millis now = clock_.now();
    for (const Datagram& d : members_.take_datagrams()) {
        Error error;
        socket_.send_to(asio::buffer(d.bytes), peers_[d.address_index], 0, error);
        if (error == asio::error::connection_refused) read_refusals();  // of an earlier one, told now
    }
    for (const Change& change : members_.take_changes()) handlers_.changed(change);
    const std::uint32_t siblings = members_.siblings(now);
    if (std::exchange(siblings_, siblings) != siblings) handlers_.siblings(siblings);
    timers_.cancel(timer_);
    const Millis next = members_.next();
    if (!(next < 1e300)) return;
    timer_ = timers_.set(next, [this] {
        timer_ = {};
        members_.wake(clock_.now());
        settle();
    });
}

void Driver::leave() {
    members_.leave(clock_.now());
    settle();
}

nlohmann::json Driver::status() {
    const Millis now = clock_.now();
    const Headcount count = members_.headcount();
    const Membership::Counters& c = members_.counters();
    nlohmann::json list = nlohmann::json::array();
    for (MemberId n = 0; n < members_.count(); ++n) {
        const Member& m = members_.member(n);
        list.push_back({{"number", n},
                        {"state", to_string(m.state)},
                        {"since_s", (now - m.since) / 1000},
                        {"heard_s", m.heard < 0 ? nlohmann::json() : nlohmann::json((now - m.heard) / 1000)},
                        {"by_way", m.indirect_only},
                        {"view", to_string(m.view)},
                        {"hears", m.present_count},
                        {"incarnation", m.incarnation.counter},
                        {"life", m.incarnation.nonce},
                        {"uptime_s", m.uptime}});
    }
    return {
        {"self", members_.self()},
        {"view", to_string(members_.view(now))},
        {"yielded", members_.yielded()},
        {"siblings", siblings_},
        {"digest", members_.digest()},
        {"health", members_.health()},
        {"count",
         {{"all", count.all}, {"present", count.present}, {"silent", count.silent}, {"ended", count.ended}}},
        {"messages",
         {{"sent", c.sent},
          {"bytes_sent", c.bytes_sent},
          {"received", c.received},
          {"strangers", c.unknown_senders},
          {"unreadable", c.malformed},
          {"stale", c.outdated}}},
        {"suspicions", c.suspicions},
        {"refuted", c.refuted},
        {"failures", c.failures},
        {"overslept", c.stalls},
        {"pulls", c.table_requests},
        {"members", std::move(list)}};
}

}  // namespace elmbay::cluster
