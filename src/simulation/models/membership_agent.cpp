#include "simulation/models/membership_agent.hpp"

namespace elmbay::simulation {

namespace {

cluster::Membership::Setup membership_setup(const Scenario& scenario, std::uint32_t self,
                                            std::uint64_t seed) {
    const auto sidecar_count = static_cast<std::uint32_t>(scenario.sidecars.count);
    cluster::Membership::Setup setup;
    setup.self = self;
    setup.member_count = sidecar_count;
    setup.configured_siblings = sidecar_count;
    setup.seed = seed;
    return setup;
}

}  // namespace

ClusterMembershipAgent::ClusterMembershipAgent(const Scenario& scenario, std::uint32_t self,
                                               std::uint64_t seed, Millis now, Millis unix_time)
    : membership_(membership_setup(scenario, self, seed), now, unix_time + now) {}

void ClusterMembershipAgent::start(Millis, std::vector<OutgoingMessage>& messages) {
    take_messages(messages);
}
void ClusterMembershipAgent::on_message(Millis now, std::uint32_t from, std::string_view bytes,
                                        std::vector<OutgoingMessage>& messages) {
    membership_.on_datagram(now, from, bytes);
    take_messages(messages);
}
void ClusterMembershipAgent::on_port_unreachable(Millis now, std::uint32_t sidecar,
                                                 std::vector<OutgoingMessage>& messages) {
    membership_.on_port_unreachable(now, sidecar);
    take_messages(messages);
}
void ClusterMembershipAgent::leave(Millis now, std::vector<OutgoingMessage>& messages) {
    membership_.leave(now);
    take_messages(messages);
}
void ClusterMembershipAgent::on_timer(Millis now, std::vector<OutgoingMessage>& messages) {
    membership_.on_timer(now);
    take_messages(messages);
}
void ClusterMembershipAgent::take_messages(std::vector<OutgoingMessage>& messages) {
    for (cluster::Datagram& datagram : membership_.take_datagrams())
        messages.push_back({datagram.address_index, std::move(datagram.bytes)});
    membership_.take_changes();
}

}  // namespace elmbay::simulation
