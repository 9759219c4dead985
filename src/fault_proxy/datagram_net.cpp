#include "fault_proxy/datagram_net.hpp"

#include <algorithm>
#include <utility>

namespace elmbay::fault_proxy {

using Error = boost::system::error_code;

namespace {

void open_socket(udp::socket& socket, const udp::endpoint& address) {
    socket.open(address.protocol());
    socket.bind(address);
    socket.non_blocking(true);
}

// Corrupts the last `count` bytes of a datagram, or all of them if it is shorter.
void corrupt_end(std::string& bytes, std::uint64_t count) {
    const std::size_t corrupted = std::min<std::uint64_t>(count, bytes.size());
    for (std::size_t i = bytes.size() - corrupted; i < bytes.size(); ++i) {
        bytes[i] = static_cast<char>(bytes[i] ^ kCorruptionMask);
    }
}

}  // namespace

DatagramNet::DatagramNet(EventLoopContext& context, const udp::endpoint& broadcast)
    : context_(context), broadcast_(context.io()) {
    open_socket(broadcast_, broadcast);
    receive_broadcasts();
}

DatagramNet::~DatagramNet() { *is_alive_ = false; }

void DatagramNet::add(const std::string& name, const udp::endpoint& address, udp::endpoint target) {
    auto member = std::make_unique<Member>(context_.io());
    member->name = name;
    member->target = std::move(target);
    open_socket(member->socket, address);
    member->address = member->socket.local_endpoint();
    members_by_target_[member->target] = member.get();
    receive_datagrams(*member);
    members_[name] = std::move(member);
}

udp::endpoint DatagramNet::address_of(const std::string& name) const { return members_.at(name)->address; }

void DatagramNet::set_listening(const std::string& name, bool is_listening) {
    Member& member = *members_.at(name);
    if (member.socket.is_open() == is_listening) return;
    if (!is_listening) {
        Error ignored;
        member.socket.close(ignored);
        return;
    }
    open_socket(member.socket, member.address);
    receive_datagrams(member);
}

DatagramNet::Counts DatagramNet::counts(const Link& link) const {
    const auto found = links_.find(link);
    return found == links_.end() ? Counts{} : found->second.counts;
}

DatagramNet::Counts DatagramNet::total_counts() const {
    Counts total;
    for (const auto& [link, state] : links_) {
        total.sent += state.counts.sent;
        total.delivered += state.counts.delivered;
        total.bytes_delivered += state.counts.bytes_delivered;
        total.oversized += state.counts.oversized;
    }
    return total;
}

void DatagramNet::receive_datagrams(Member& member) {
    const auto on_readable = [this, is_alive = is_alive_, &member](Error wait_error) {
        if (!*is_alive || wait_error) return;
        for (;;) {
            Error error;
            udp::endpoint sender;
            const std::size_t size =
                member.socket.receive_from(asio::buffer(context_.read_buffer), sender, 0, error);
            if (error == asio::error::would_block) break;
            // An error reports that an earlier datagram reached a member that does not listen (ICMP). No
            // datagram was received.
            if (!error) on_datagram(sender, member, {context_.read_buffer.data(), size});
        }
        receive_datagrams(member);
    };
    member.socket.async_wait(udp::socket::wait_read, on_readable);
}

void DatagramNet::receive_broadcasts() {
    const auto on_readable = [this, is_alive = is_alive_](Error wait_error) {
        if (!*is_alive || wait_error) return;
        for (;;) {
            Error error;
            udp::endpoint sender;
            const std::size_t size =
                broadcast_.receive_from(asio::buffer(context_.read_buffer), sender, 0, error);
            if (error == asio::error::would_block) break;
            if (error) continue;
            const std::string bytes(context_.read_buffer.data(), size);
            for (const auto& [name, member] : members_) {
                if (member->target != sender) on_datagram(sender, *member, bytes);
            }
        }
        receive_broadcasts();
    };
    broadcast_.async_wait(udp::socket::wait_read, on_readable);
}

void DatagramNet::on_datagram(const udp::endpoint& sender, const Member& receiver, std::string_view bytes) {
    const auto sending_member = members_by_target_.find(sender);
    if (sending_member == members_by_target_.end()) {
        ++unknown_senders_;
        return;
    }
    const Link link{sending_member->second->name, receiver.name};
    LinkState& state = links_[link];
    ++state.counts.sent;
    if (bytes.size() > kMaxDatagramBytes) ++state.counts.oversized;
    if (observer_) observer_(link, bytes.size(), false);
    const auto deliveries =
        context_.mutable_rules().deliver(link, state.counts.sent, bytes.size(), context_.now());
    for (const Rules::Delivery& delivery : deliveries) {
        std::string copy(bytes);
        corrupt_end(copy, delivery.corrupted_bytes);
        const bool is_immediate = delivery.delay <= 0 && delivery.overtaken_by == 0;
        if (is_immediate) {
            forward(link, copy);
        } else {
            delay_delivery(link, delivery, std::move(copy));
        }
    }
    deliver_overtaken(link);
}

void DatagramNet::delay_delivery(const Link& link, const Rules::Delivery& delivery, std::string bytes) {
    LinkState& state = links_[link];
    const bool may_be_overtaken = delivery.overtaken_by > 0;
    const auto datagram = std::make_shared<DelayedDatagram>();
    datagram->delivered_after = may_be_overtaken ? state.forwarded + delivery.overtaken_by : UINT64_MAX;
    datagram->bytes = std::move(bytes);
    // A datagram that no later one can overtake is delivered after its delay. Without a minimum wait, a
    // reordered datagram without a delay would never be delivered.
    const Millis wait = std::max(delivery.delay, may_be_overtaken ? 1.0 : 0.0);
    const auto on_due = [this, is_alive = is_alive_, link, weak = std::weak_ptr(datagram)] {
        const auto due = weak.lock();
        if (!*is_alive || !due) return;
        due->timer = {};
        std::erase(links_[link].delayed, due);
        forward(link, due->bytes);
    };
    datagram->timer = context_.schedule(context_.now() + wait, on_due);
    state.delayed.push_back(datagram);
}

// Sends a datagram to its receiver. A cut also drops datagrams that were in transit when it began.
void DatagramNet::forward(const Link& link, std::string_view bytes) {
    LinkState& state = links_[link];
    if (context_.rules().is_cut(link, Medium::datagram, context_.now())) return;
    Error ignored;
    Member& sender = *members_.at(link.from);
    const Member& receiver = *members_.at(link.to);
    // The sender's socket is closed while its process does not run, so the datagrams that it sent before are
    // dropped.
    if (!sender.socket.is_open()) return;
    sender.socket.send_to(asio::buffer(bytes), receiver.target, 0, ignored);
    ++state.forwarded;
    ++state.counts.delivered;
    state.counts.bytes_delivered += bytes.size();
    if (observer_) observer_(link, bytes.size(), true);
}

// Delivers the datagrams that enough later ones have overtaken, and the oldest ones beyond
// kMaxDelayedDatagrams.
void DatagramNet::deliver_overtaken(const Link& link) {
    LinkState& state = links_[link];
    for (;;) {
        const auto overtaken =
            std::find_if(state.delayed.begin(), state.delayed.end(),
                         [&](const auto& datagram) { return datagram->delivered_after <= state.forwarded; });
        const bool has_overtaken = overtaken != state.delayed.end();
        const bool are_too_many = state.delayed.size() > kMaxDelayedDatagrams;
        if (!has_overtaken && !are_too_many) return;
        const auto datagram = has_overtaken ? *overtaken : state.delayed.front();
        std::erase(state.delayed, datagram);
        context_.cancel(datagram->timer);
        forward(link, datagram->bytes);
    }
}

}  // namespace elmbay::fault_proxy
