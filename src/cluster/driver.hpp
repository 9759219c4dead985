/// @file
/// The thin driver round Membership: one UDP socket, one timer. It trusts no datagram: its source must be a
/// peer's address before it is read, and the number that is read in a turn of the event loop is bounded, so
/// that a flood of them does not delay requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/timing.hpp"
#include "cluster/membership.hpp"
#include "cluster/settings.hpp"

namespace elmbay::cluster {

/// Takes part in the fleet's membership for this process. Not thread-safe: everything, handlers included,
/// runs on the loop's thread. The loop, the timers and the clock must outlive it.
class Driver {
public:
    /// Datagrams that are read in one turn of the loop: some tens of microseconds.
    static constexpr std::size_t kMaxPerTurn = 64;
    /// Milliseconds between two turns that were full: beyond 32,000 a second the kernel's buffer drops what
    /// comes.
    static constexpr Millis kPause = 2;

    /// What the configuration says.
    struct Setup {
        PeerAddress listen;
        std::vector<PeerAddress> peers;         ///< by id, this one's own among them
        MemberId self = 0;                      ///< below the number of peers
        std::uint32_t configured_siblings = 1;  ///< as the settings say
        std::uint64_t seed = 1;                 ///< of all random choices
        Millis probe_period = 1000;             ///< between two probes
    };
    /// Called from the event loop, after the change.
    struct Handlers {
        std::function<void(std::uint32_t)> siblings_changed;      ///< another number than before
        std::function<void(const MemberChange&)> member_changed;  ///< one member has another state
    };
    /// Listens at once.
    /// @throws boost::system::system_error if it can't listen.
    Driver(asio::io_context& io, TimerQueue& timers, const Clock& clock, const Setup& setup,
           Handlers handlers);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    /// Says that this member ends, once; nothing is waited for.
    void leave();
    /// For the status socket: docs/operate/members.md has it field by field.
    nlohmann::json status();

private:
    using udp = boost::asio::ip::udp;

    void wait_readable();
    void read_datagrams();
    void read_refusals();
    void send_datagrams();
    void settle();

    TimerQueue& timers_;
    const Clock& clock_;
    const Handlers handlers_;
    std::vector<PeerAddress> peers_;
    std::map<PeerAddress, std::uint32_t> address_indexes_;
    udp::socket socket_;
    Membership membership_;
    TimerQueue::Key wake_timer_{};
    TimerQueue::Key pause_timer_{};
    std::uint32_t siblings_;
    // False after the destructor: for handlers that the event loop still holds.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace elmbay::cluster
