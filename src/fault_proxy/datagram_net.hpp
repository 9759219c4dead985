// A network of UDP members on loopback. Fault rules apply to the link between each pair of members.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fault_proxy/event_loop_context.hpp"

namespace elmbay::fault_proxy {

using udp = asio::ip::udp;

/// Forwards datagrams between members, as specified in PROTOCOL, "Between sidecars".
///
/// Each member is reachable under an address of this network, and other members receive its datagrams from
/// that address. The broadcast address reaches all members except the sender. The link between two members
/// has their names.
///
/// Runs in the context's event loop; not thread-safe. Delays at most kMaxDelayedDatagrams datagrams of a
/// link.
class DatagramNet {
public:
    /// Maximum number of delayed datagrams of one link. Beyond it, the oldest is delivered at once.
    static constexpr std::size_t kMaxDelayedDatagrams = 64;
    /// Length in bytes of the longest datagram that PROTOCOL allows. Longer datagrams are counted, but
    /// forwarded all the same.
    static constexpr std::size_t kMaxDatagramBytes = 256;

    /// @param broadcast the broadcast address; port 0 selects a free port.
    /// @throws boost::system::system_error if the address cannot be bound.
    DatagramNet(EventLoopContext& context, const udp::endpoint& broadcast);
    ~DatagramNet();
    DatagramNet(const DatagramNet&) = delete;
    DatagramNet& operator=(const DatagramNet&) = delete;

    /// Adds a member. Neither address changes afterwards.
    /// @param address address at which other members reach it; port 0 selects a free port.
    /// @param target  address on which the member listens and from which it sends.
    /// @throws boost::system::system_error if the address cannot be bound.
    void add(const std::string& name, const udp::endpoint& address, udp::endpoint target);
    /// Sets whether the member listens at its target. While it does not, its senders get an ICMP error, as
    /// the kernel sends for a closed port.
    /// @throws std::out_of_range if the member does not exist.
    void set_listening(const std::string& name, bool is_listening);
    /// @return the address at which other members reach this member.
    /// @throws std::out_of_range if the member does not exist.
    udp::endpoint address_of(const std::string& name) const;
    udp::endpoint broadcast_address() const { return broadcast_.local_endpoint(); }

    struct Counts {
        std::uint64_t sent = 0;             ///< datagrams that members sent
        std::uint64_t delivered = 0;        ///< copies that were delivered
        std::uint64_t bytes_delivered = 0;  ///< bytes of the delivered copies
        std::uint64_t oversized = 0;        ///< sent datagrams longer than kMaxDatagramBytes
    };
    Counts counts(const Link& link) const;
    Counts total_counts() const;
    /// @return the number of datagrams whose source address belongs to no member.
    std::uint64_t unknown_senders() const { return unknown_senders_; }

    /// Called for each datagram that arrives from its sender, and for each copy that is sent to its receiver.
    using Observer = std::function<void(const Link& link, std::size_t bytes, bool is_delivery)>;
    void observe(Observer observer) { observer_ = std::move(observer); }

private:
    struct Member {
        explicit Member(asio::io_context& io) : socket(io) {}
        std::string name;
        udp::endpoint address;
        udp::endpoint target;
        udp::socket socket;  // bound to `address`
    };
    struct DelayedDatagram {
        std::uint64_t delivered_after =
            0;  // delivered once this many datagrams of the link have been forwarded
        std::string bytes;
        EventLoopContext::TimerKey timer{};
    };
    struct LinkState {
        Counts counts;
        std::uint64_t forwarded = 0;
        std::deque<std::shared_ptr<DelayedDatagram>> delayed;
    };

    void receive_datagrams(Member& member);
    void receive_broadcasts();
    void on_datagram(const udp::endpoint& sender, const Member& receiver, std::string_view bytes);
    void delay_delivery(const Link& link, const Rules::Delivery& delivery, std::string bytes);
    void forward(const Link& link, std::string_view bytes);
    void deliver_overtaken(const Link& link);

    EventLoopContext& context_;
    udp::socket broadcast_;
    std::map<std::string, std::unique_ptr<Member>> members_;  // by name
    std::map<udp::endpoint, Member*> members_by_target_;
    std::map<Link, LinkState> links_;
    std::uint64_t unknown_senders_ = 0;
    Observer observer_;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // for handlers that outlive this object
};

}  // namespace elmbay::fault_proxy
