// UDP between members on loopback, as PROTOCOL's "Between sidecars" has it: each member is reached under an
// address of this net's, and its datagrams arrive from its own such address; one more address reaches all.
// Between two members stands the link that is named after them, with the rules that hold on it.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "fault_proxy/event_loop_context.hpp"

namespace elmbay::fault_proxy {

using udp = asio::ip::udp;

class DatagramNet {
public:
    static constexpr std::size_t kMaxSize = 2048;    // PROTOCOL has 256; a longer one must be seen to be told
    static constexpr std::size_t kMaxHeldBack = 64;  // of one link, by reorder; the oldest goes then

    // everybody: the address that reaches all but the sender; port 0 takes any.
    DatagramNet(EventLoopContext& context, udp::endpoint everybody);
    ~DatagramNet();
    DatagramNet(const DatagramNet&) = delete;
    DatagramNet& operator=(const DatagramNet&) = delete;

    // address: where others reach it; target: where it listens, and sends from. Both fixed for its life.
    void add(const std::string& name, udp::endpoint address, udp::endpoint target);
    // Whether anybody listens at its target: if not, its machine says so to who sends (ICMP), as the kernel
    // does for a closed port.
    void listening(const std::string& name, bool listens);
    udp::endpoint address_of(const std::string& name) const;
    udp::endpoint everybody() const { return everybody_.local_endpoint(); }

    struct Counts {
        std::uint64_t sent = 0, delivered = 0, bytes = 0, too_long = 0;  // bytes: delivered
    };
    Counts counts(const Link& link) const;
    Counts total() const;
    // Told of each datagram as it comes from its sender, and as it goes to its receiver.
    using Tap = std::function<void(const Link& link, std::size_t bytes, bool delivered)>;
    void tap(Tap tap) { tap_ = std::move(tap); }
    std::uint64_t strangers() const { return strangers_; }  // from nobody's address
    // Longer ones are counted as too long; they are passed on all the same.
    void most_size(std::size_t bytes) { most_size_ = bytes; }

private:
    struct Member {
        Member(asio::io_context& io) : socket(io) {}
        std::string name;
        udp::endpoint address, target;
        udp::socket socket;
        udp::endpoint from;
    };
    struct HeldBack {
        std::uint64_t after = 0;  // goes once so many have passed
        std::string bytes;
        EventLoopContext::Key timer{};
    };
    struct State {
        Counts counts;
        std::uint64_t passed = 0;
        std::deque<std::shared_ptr<HeldBack>> held;
    };

    void receive(Member& member);
    void sent(const udp::endpoint& from, Member& to, std::string_view bytes);
    void pass(const Link& link, std::string bytes);
    void release(const Link& link);

    EventLoopContext& context_;
    udp::socket everybody_;
    udp::endpoint from_;
    std::map<std::string, std::unique_ptr<Member>> members_;
    std::map<udp::endpoint, Member*> by_target_;
    std::map<Link, State> links_;
    std::uint64_t strangers_ = 0;
    std::size_t most_size_ = 256;
    Tap tap_;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
    void receive_all();
};

}  // namespace elmbay::fault_proxy
