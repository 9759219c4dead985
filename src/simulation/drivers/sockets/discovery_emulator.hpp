// The stand-in for discovery: PROTOCOL's "Discovery", list and watch, one address for each sidecar so that
// each is told at its own time.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>

#include "simulation/checking/invariant_checker.hpp"
#include "simulation/drivers/sockets/loopback_testbed.hpp"
#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

// One entry of the list as the registry knows it.
struct Entry {
    std::uint32_t server = 0;
    tcp::endpoint endpoint;
    std::string hall;
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  // of the simulation; 0: long ago
};
nlohmann::json listing_of(const std::vector<Entry>& entries, std::uint64_t rev, bool all,
                          const LoopbackTestbed& testbed);

class DiscoveryEmulator {
public:
    // What counts as told though no watch is open to tell it (LATER: 4 s after SIGHUP).
    static constexpr Millis kToldAfter = 4000;
    // While nothing changes an empty line comes so often; an old address closes its watches after kOldCloses.
    static constexpr Millis kQuietLine = 2000, kOldCloses = 1500;
    static constexpr std::size_t kMaxRequest = 16 * 1024;

    DiscoveryEmulator(LoopbackTestbed& testbed, InvariantChecker& checker, std::uint32_t sidecar,
                      std::vector<Entry> entries, const asio::ip::address& address);
    ~DiscoveryEmulator();
    DiscoveryEmulator(const DiscoveryEmulator&) = delete;
    DiscoveryEmulator& operator=(const DiscoveryEmulator&) = delete;

    void change(const EndpointNotice& notice);
    // After the testbed has forgotten its timers.
    void resume() { quiet_lines(); }
    // Another port from now on. Returns it; the old one takes no new connection.
    tcp::endpoint move();
    tcp::endpoint endpoint() const { return acceptor_->local_endpoint(); }
    const std::vector<Entry>& entries() const { return entries_; }
    std::uint64_t rev() const { return rev_; }

private:
    class Connection;
    friend class Connection;

    void accept();
    void quiet_lines();
    // All that the sidecar has not been told yet counts as told from now on.
    void all_told();
    void told(const Entry& entry);

    LoopbackTestbed& testbed_;
    InvariantChecker& checker_;
    const std::uint32_t sidecar_;
    std::vector<Entry> entries_;
    std::uint64_t rev_ = 1;
    const asio::ip::address address_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::list<std::shared_ptr<Connection>> connections_;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // timers look whether this still is
};

}  // namespace elmbay::simulation
