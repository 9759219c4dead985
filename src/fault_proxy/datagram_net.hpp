// UDP between members on loopback, with the rules of the link between each two of them.
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

/// A net of members, as PROTOCOL's "Between sidecars" has it.
///
/// Each member is reached under an address of the net, and its datagrams arrive at the others from that
/// address. One more address, the broadcast address, reaches all but the sender. Between two members stands
/// the link that is named after them.
///
/// Runs in the context's event loop; not thread-safe. Holds kMaxDelayedDatagrams datagrams of a link at most.
class DatagramNet {
public:
    /// Datagrams of one link that wait; the oldest is delivered when there are more.
    static constexpr std::size_t kMaxDelayedDatagrams = 64;
    /// Bytes of the longest datagram that PROTOCOL allows; longer ones are counted, and passed on all the
    /// same.
    static constexpr std::size_t kMaxDatagramBytes = 256;

    /// @param broadcast the broadcast address; port 0 takes any.
    /// @throws boost::system::system_error if the address cannot be had.
    DatagramNet(EventLoopContext& context, const udp::endpoint& broadcast);
    ~DatagramNet();
    DatagramNet(const DatagramNet&) = delete;
    DatagramNet& operator=(const DatagramNet&) = delete;

    /// Adds a member. Both addresses stay as they are.
    /// @param address where others reach it; port 0 takes any.
    /// @param target  where it listens, and sends from.
    /// @throws boost::system::system_error if the address cannot be had.
    void add(const std::string& name, const udp::endpoint& address, udp::endpoint target);
    /// Says whether the member listens at its target. If not, a sender gets an ICMP error, as the kernel
    /// sends it for a closed port.
    /// @throws std::out_of_range if there is no such member.
    void set_listening(const std::string& name, bool is_listening);
    /// @return where others reach the member.
    /// @throws std::out_of_range if there is no such member.
    udp::endpoint address_of(const std::string& name) const;
    udp::endpoint broadcast_address() const { return broadcast_.local_endpoint(); }

    struct Counts {
        std::uint64_t sent = 0;             ///< by members
        std::uint64_t delivered = 0;        ///< copies
        std::uint64_t bytes_delivered = 0;  ///< of these
        std::uint64_t oversized = 0;        ///< of those sent: longer than kMaxDatagramBytes
    };
    Counts counts(const Link& link) const;
    Counts total_counts() const;
    /// @return how many datagrams came from an address that is no member's.
    std::uint64_t unknown_senders() const { return unknown_senders_; }

    /// Called for each datagram as it comes from its sender, and for each copy as it goes to its receiver.
    using Observer = std::function<void(const Link& link, std::size_t bytes, bool is_delivery)>;
    void observe(Observer observer) { observer_ = std::move(observer); }

private:
    struct Member {
        explicit Member(asio::io_context& io) : socket(io) {}
        std::string name;
        udp::endpoint address;
        udp::endpoint target;
        udp::socket socket;  // at `address`
    };
    struct DelayedDatagram {
        std::uint64_t delivered_after = 0;  // it goes once so many of the link have been delivered
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
    void delay(const Link& link, const Rules::Delivery& delivery, std::string bytes);
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
