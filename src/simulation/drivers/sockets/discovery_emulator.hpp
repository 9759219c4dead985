/// @file
/// Emulates the discovery service: list and watch, "Discovery" of PROTOCOL. Each sidecar has an emulator with
/// an address of its own, so that each gets endpoint notices at a time of its own.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>

#include "simulation/checking/invariant_checker.hpp"
#include "simulation/drivers/sockets/loopback_testbed.hpp"
#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

/// One entry of the endpoint list in the registry.
struct RegistryEntry {
    std::uint32_t server = 0;
    tcp::endpoint endpoint;
    std::string zone;
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  ///< Time of the simulation; 0: since before the run.
};
/// Returns an endpoint list in the format of the discovery service.
///
/// @param revision  revision number of the list
/// @param complete  whether the list is a complete one, without the removed endpoints, or an increment
nlohmann::json endpoint_list_json(const std::vector<RegistryEntry>& entries, std::uint64_t revision,
                                  bool complete, const LoopbackTestbed& testbed);

class DiscoveryEmulator {
public:
    /// Time after which the checker counts a change as notified even if no watch was open. Source: LATER in
    /// PROTOCOL, 4 s after SIGHUP.
    static constexpr Millis kNoticeGrace = 4000;
    /// Interval of the empty lines on a watch, and time from move() to the end of the watches on the old
    /// address.
    static constexpr Millis kEmptyLineInterval = 2000, kOldAddressLinger = 1500;
    static constexpr std::size_t kMaxRequestBytes = 16 * 1024;

    DiscoveryEmulator(LoopbackTestbed& testbed, InvariantChecker& checker, std::uint32_t sidecar,
                      std::vector<RegistryEntry> entries, const asio::ip::address& address);
    ~DiscoveryEmulator();
    DiscoveryEmulator(const DiscoveryEmulator&) = delete;
    DiscoveryEmulator& operator=(const DiscoveryEmulator&) = delete;

    void apply(const EndpointNotice& notice);
    /// Sets the timers again, after LoopbackTestbed::begin() has cancelled them.
    void resume() { schedule_empty_lines(); }
    /// Moves to another port and returns it. The old port accepts no new connections.
    tcp::endpoint move();
    tcp::endpoint endpoint() const { return acceptor_->local_endpoint(); }
    const std::vector<RegistryEntry>& entries() const { return entries_; }
    std::uint64_t revision() const { return revision_; }

private:
    class Connection;
    friend class Connection;

    void accept();
    void schedule_empty_lines();
    // Reports the state of all entries to the checker as sent to the sidecar.
    void record_all_notified();
    void record_notified(const RegistryEntry& entry);

    LoopbackTestbed& testbed_;
    InvariantChecker& checker_;
    const std::uint32_t sidecar_;
    std::vector<RegistryEntry> entries_;
    std::uint64_t revision_ = 1;
    const asio::ip::address address_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::list<std::shared_ptr<Connection>> connections_;
    // Becomes false in the destructor; callbacks of timers and of the acceptor check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace elmbay::simulation
