/// @file
/// Runs the membership protocol of the program (cluster/membership.hpp) in virtual time. On sockets
/// cluster::Driver does the same.
#pragma once

#include "cluster/membership.hpp"
#include "simulation/models/message_network.hpp"

namespace elmbay::simulation {

/// One simulated sidecar's part in the membership protocol. It does no I/O, reads no clock and is not
/// thread-safe.
class ClusterMembershipAgent : public MembershipAgent {
public:
    /// @param self       the sidecar's number in the scenario
    /// @param seed       seed of its random choices
    /// @param now        time of the simulation in milliseconds
    /// @param unix_time  Unix milliseconds at time 0 of the simulation
    ClusterMembershipAgent(const Scenario& scenario, std::uint32_t self, std::uint64_t seed, Millis now,
                           Millis unix_time);
    void start(Millis now, std::vector<OutgoingMessage>& messages) override;
    void on_message(Millis now, std::uint32_t from, std::string_view bytes,
                    std::vector<OutgoingMessage>& messages) override;
    void on_port_unreachable(Millis now, std::uint32_t sidecar,
                             std::vector<OutgoingMessage>& messages) override;
    void leave(Millis now, std::vector<OutgoingMessage>& messages) override;
    void on_timer(Millis now, std::vector<OutgoingMessage>& messages) override;
    Millis next_timer_at() const override { return membership_.next_due(); }
    std::optional<std::uint32_t> update_siblings(Millis now) override {
        return membership_.update_siblings(now);
    }

private:
    void take_messages(std::vector<OutgoingMessage>& messages);

    cluster::Membership membership_;
};

}  // namespace elmbay::simulation
