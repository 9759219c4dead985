// The program's own membership (cluster/membership.hpp) beside a decision module in virtual time: what
// cluster::Driver is round it on real sockets.
#pragma once

#include "cluster/membership.hpp"
#include "simulation/models/message_network.hpp"

namespace elmbay::simulation {

/// One simulated sidecar's part in the membership protocol. Without I/O and clock; not thread-safe.
class ClusterMembershipAgent : public MembershipAgent {
public:
    /// @param self      its number among the scenario's sidecars.
    /// @param seed      of its random choices.
    /// @param now       milliseconds of the simulation.
    /// @param unix_time Unix milliseconds at the simulation's time 0.
    ClusterMembershipAgent(const Scenario& scenario, std::uint32_t self, std::uint64_t seed, Millis now,
                           Millis unix_time);
    void begin(Millis now, std::vector<Outgoing>& out) override;
    void heard(Millis now, std::uint32_t from, std::string_view bytes, std::vector<Outgoing>& out) override;
    void refused(Millis now, std::uint32_t whom, std::vector<Outgoing>& out) override;
    void leave(Millis now, std::vector<Outgoing>& out) override;
    void wake(Millis now, std::vector<Outgoing>& out) override;
    Millis next() const override { return membership_.next_due(); }
    std::optional<std::uint32_t> siblings(Millis now) override { return membership_.update_siblings(now); }

private:
    void send(std::vector<Outgoing>& out);

    cluster::Membership membership_;
};

}  // namespace elmbay::simulation
