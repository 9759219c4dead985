#include "simulation/models/membership_agent.hpp"

namespace elmbay::simulation {

namespace {

cluster::Membership::Setup membership_setup(const Scenario& scenario, std::uint32_t self,
                                            std::uint64_t seed) {
    const auto sidecars = static_cast<std::uint32_t>(scenario.sidecars.count);
    cluster::Membership::Setup setup;
    setup.self = self;
    setup.member_count = sidecars;
    setup.configured_siblings = sidecars;
    setup.seed = seed;
    return setup;
}

}  // namespace

ClusterMembershipAgent::ClusterMembershipAgent(const Scenario& scenario, std::uint32_t self,
                                               std::uint64_t seed, Millis now, Millis unix_time)
    : membership_(membership_setup(scenario, self, seed), now, unix_time + now) {}

void ClusterMembershipAgent::begin(Millis, std::vector<Outgoing>& out) { send(out); }
void ClusterMembershipAgent::heard(Millis now, std::uint32_t from, std::string_view bytes,
                                   std::vector<Outgoing>& out) {
    membership_.on_datagram(now, from, bytes);
    send(out);
}
void ClusterMembershipAgent::refused(Millis now, std::uint32_t whom, std::vector<Outgoing>& out) {
    membership_.on_port_unreachable(now, whom);
    send(out);
}
void ClusterMembershipAgent::leave(Millis now, std::vector<Outgoing>& out) {
    membership_.leave(now);
    send(out);
}
void ClusterMembershipAgent::wake(Millis now, std::vector<Outgoing>& out) {
    membership_.on_timer(now);
    send(out);
}
void ClusterMembershipAgent::send(std::vector<Outgoing>& out) {
    for (cluster::Datagram& datagram : membership_.take_datagrams())
        out.push_back({datagram.address_index, std::move(datagram.bytes)});
    membership_.take_changes();
}

}  // namespace elmbay::simulation
