#include "fault_proxy/datagram_net.hpp"

namespace elmbay::fault_proxy {

using Error = boost::system::error_code;

namespace {

void open(udp::socket& socket, const udp::endpoint& at) {
    socket.open(at.protocol());
    socket.bind(at);
    socket.non_blocking(true);
}

}  // namespace

DatagramNet::DatagramNet(EventLoopContext& context, udp::endpoint everybody)
    : context_(context), everybody_(context.io()) {
    open(everybody_, everybody);
    receive_all();
}

DatagramNet::~DatagramNet() { *here_ = false; }

void DatagramNet::add(const std::string& name, udp::endpoint address, udp::endpoint target) {
    auto member = std::make_unique<Member>(context_.io());
    member->name = name;
    member->target = std::move(target);
    open(member->socket, address);
    member->address = member->socket.local_endpoint();
    by_target_[member->target] = member.get();
    receive(*member);
    members_[name] = std::move(member);
}

udp::endpoint DatagramNet::address_of(const std::string& name) const { return members_.at(name)->address; }

void DatagramNet::listening(const std::string& name, bool listens) {
    Member& member = *members_.at(name);
    if (member.socket.is_open() == listens) return;
    if (!listens) {
        Error ignored;
        member.socket.close(ignored);
        return;
    }
    open(member.socket, member.address);
    receive(member);
}

DatagramNet::Counts DatagramNet::counts(const Link& link) const {
    const auto at = links_.find(link);
    return at == links_.end() ? Counts{} : at->second.counts;
}

DatagramNet::Counts DatagramNet::total() const {
    Counts all;
    for (const auto& [link, state] : links_) {
        all.sent += state.counts.sent;
        all.delivered += state.counts.delivered;
        all.bytes += state.counts.bytes;
        all.too_long += state.counts.too_long;
    }
    return all;
}

void DatagramNet::receive(Member& member) {
    member.socket.async_wait(udp::socket::wait_read, [this, here = here_, &member](Error error) {
        if (!*here || error) return;
        for (;;) {
            Error none;
            const std::size_t n =
                member.socket.receive_from(asio::buffer(context_.scratch), member.from, 0, none);
            if (none == asio::error::would_block) break;
            // A member that does not listen: the kernel tells so with the next call. Nothing has come.
            if (!none) sent(member.from, member, {context_.scratch.data(), n});
        }
        receive(member);
    });
}

void DatagramNet::receive_all() {
    everybody_.async_wait(udp::socket::wait_read, [this, here = here_](Error error) {
        if (!*here || error) return;
        for (;;) {
            Error none;
            const std::size_t n = everybody_.receive_from(asio::buffer(context_.scratch), from_, 0, none);
            if (none == asio::error::would_block) break;
            if (none) continue;
            const std::string bytes(context_.scratch.data(), n);
            for (const auto& [name, member] : members_)
                if (member->target != from_) sent(from_, *member, bytes);
        }
        receive_all();
    });
}

void DatagramNet::sent(const udp::endpoint& from, Member& to, std::string_view bytes) {
    const auto sender = by_target_.find(from);
    if (sender == by_target_.end()) {
        ++strangers_;
        return;
    }
    const Link link{sender->second->name, to.name};
    State& state = links_[link];
    ++state.counts.sent;
    if (bytes.size() > most_size_) ++state.counts.too_long;
    if (tap_) tap_(link, bytes.size(), false);
    const auto deliveries =
        context_.rules_for_datagrams().datagram(link, state.counts.sent, bytes.size(), context_.now());
    for (const Rules::Delivery& d : deliveries) {
        std::string copy(bytes);
        for (std::size_t i = 0; i < copy.size() && i < d.garbled; ++i)
            copy[copy.size() - 1 - i] = static_cast<char>(copy[copy.size() - 1 - i] ^ 0x55);
        if (d.after <= 0 && d.behind == 0) {
            pass(link, std::move(copy));
            continue;
        }
        const auto held = std::make_shared<HeldBack>();
        held->after = d.behind > 0 ? state.passed + d.behind : UINT64_MAX;
        held->bytes = std::move(copy);
        // With nothing behind it a held one goes after its time; with no time either it would never.
        held->timer = context_.at(context_.now() + std::max(d.after, d.behind > 0 ? 1.0 : 0.0),
                                  [this, here = here_, link, weak = std::weak_ptr(held)] {
                                      const auto late = weak.lock();
                                      if (!*here || !late) return;
                                      late->timer = {};
                                      std::erase(links_[link].held, late);
                                      pass(link, std::move(late->bytes));
                                  });
        state.held.push_back(held);
    }
    release(link);
}

// Cut also those that were on their way when the link was cut.
void DatagramNet::pass(const Link& link, std::string bytes) {
    State& state = links_[link];
    if (context_.rules().cut(link, Medium::datagram, context_.now())) return;
    Error ignored;
    Member &from = *members_.at(link.from), &to = *members_.at(link.to);
    // What a dead process had sent arrives as well.
    if (!from.socket.is_open()) return;
    from.socket.send_to(asio::buffer(bytes), to.target, 0, ignored);
    ++state.passed;
    ++state.counts.delivered;
    state.counts.bytes += bytes.size();
    if (tap_) tap_(link, bytes.size(), true);
}

void DatagramNet::release(const Link& link) {
    State& state = links_[link];
    for (;;) {
        const auto due = std::find_if(state.held.begin(), state.held.end(),
                                      [&](const auto& h) { return h->after <= state.passed; });
        const bool too_many = state.held.size() > kMaxHeldBack;
        if (due == state.held.end() && !too_many) return;
        const auto held = due == state.held.end() ? state.held.front() : *due;
        std::erase(state.held, held);
        context_.cancel(held->timer);
        pass(link, std::move(held->bytes));
    }
}

}  // namespace elmbay::fault_proxy
