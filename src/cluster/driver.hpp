/// @file
/// The driver of Membership on the event loop, with one UDP socket and one timer. It drops datagrams whose
/// source is not the address of a peer, and it bounds the number of datagrams per turn of the event loop, so
/// that a flood of datagrams does not delay requests.
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

/// Runs the membership protocol for this process. Not thread-safe: all functions and handlers run on the
/// event loop's thread. The event loop, the timers and the clock must outlive the driver.
class Driver {
public:
    /// Maximum number of datagrams read in one turn of the event loop. Reading them takes some tens of
    /// microseconds.
    static constexpr std::size_t kMaxDatagramsPerTurn = 64;
    /// Milliseconds without reading after a turn that reached kMaxDatagramsPerTurn. At more than 32,000
    /// datagrams per second the kernel's receive buffer therefore overflows and drops datagrams.
    static constexpr Millis kFullTurnPause = 2;

    /// The configuration of this member.
    struct Setup {
        PeerAddress listen;
        std::vector<PeerAddress> peers;         ///< addresses by member id, including this member's own
        MemberId self = 0;                      ///< this member's id, below the number of peers
        std::uint32_t configured_siblings = 1;  ///< the number of sidecars in the settings
        std::uint64_t seed = 1;                 ///< seed of all random choices
        Millis probe_period = 1000;             ///< milliseconds between two probes
    };
    /// Callbacks, which run on the event loop after the change.
    struct Handlers {
        std::function<void(std::uint32_t)> siblings_changed;      ///< the estimate of siblings changed
        std::function<void(const MemberChange&)> member_changed;  ///< the state of one member changed
    };
    /// Opens the socket and starts the protocol at once.
    /// @throws boost::system::system_error if the socket can't be opened or bound.
    Driver(asio::io_context& io, TimerQueue& timers, const Clock& clock, const Setup& setup,
           Handlers handlers);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    /// Announces once that this member leaves. The announcement is not acknowledged.
    void leave();
    /// @return the JSON object for the status socket. docs/operate/members.md describes each field.
    nlohmann::json status();

private:
    using udp = boost::asio::ip::udp;

    void wait_readable();
    void read_datagrams();
    void read_icmp_errors();
    void send_datagrams();
    void flush_outputs();

    TimerQueue& timers_;
    const Clock& clock_;
    const Handlers handlers_;
    std::vector<PeerAddress> peers_;
    std::map<PeerAddress, std::uint32_t> address_indexes_;
    udp::socket socket_;
    Membership membership_;
    TimerQueue::Key membership_timer_{};
    TimerQueue::Key pause_timer_{};
    std::uint32_t siblings_;
    // Set to false by the destructor, so that handlers that are still queued in the event loop do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace elmbay::cluster
