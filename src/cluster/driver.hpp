// The thin driver round Membership: one UDP socket, one timer. It trusts no datagram: its source must be a
// peer's address before it is read, and so many are read in a turn of the loop that a flood costs requests
// nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "base/timing.hpp"
#include "cluster/membership.hpp"
#include "cluster/settings.hpp"

namespace elmbay::cluster {

class Driver {
public:
    static constexpr std::size_t kMaxPerTurn = 64;  // of datagrams: some tens of microseconds
    // Between two turns that were full: beyond 32,000 a second the kernel's buffer drops what comes.
    static constexpr Millis kPause = 2;

    struct Setup {
        PeerAddress listen;
        std::vector<PeerAddress> peers;  // by number, this one's own among them
        MemberId self = 0;
        std::uint32_t siblings = 1;  // what the settings say
        std::uint64_t seed = 1;
        Millis period = 1000;
    };
    struct Handlers {
        std::function<void(std::uint32_t)> siblings;  // another number than before
        std::function<void(const Change&)> changed;
    };
    // Throws boost::system::system_error if it can't listen.
    Driver(asio::io_context& io, TimerQueue& timers, const Clock& clock, const Setup& setup,
           Handlers handlers);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    // It says that it ends, once; nothing is waited for.
    void leave();
    // For the status socket: docs/operate/members.md has it field by field.
    nlohmann::json status();

private:
    using udp = boost::asio::ip::udp;

    void receive();
    void read();
    void read_refusals();
    void settle();

    asio::io_context& io_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Handlers handlers_;
    std::vector<PeerAddress> peers_;
    std::map<PeerAddress, std::uint32_t> places_;
    udp::socket socket_;
    Membership members_;
    TimerQueue::Key timer_{}, pause_{};
    std::uint32_t siblings_;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

}  // namespace elmbay::cluster
