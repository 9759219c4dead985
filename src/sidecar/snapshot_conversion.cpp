#include "sidecar/snapshot_conversion.hpp"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace elmbay {

// A snapshot can hold every listed server.
static_assert(EndpointRegistry::kMaxListed <= state::kMaxServers);

state::Snapshot to_snapshot(std::string instance, balancer::LearnedState learned_state,
                            const EndpointRegistry& registry) {
    std::unordered_map<balancer::ServerId, const std::string*> uid_by_server;
    for (const auto& [uid, entry] : registry.entries()) {
        if (uid.size() <= state::kMaxNameBytes) uid_by_server[entry.info.id] = &uid;
    }
    state::Snapshot snapshot{std::move(instance), {}, std::move(learned_state), {}};
    std::vector<balancer::LearnedServerState> named_servers;
    for (balancer::LearnedServerState& server : snapshot.learned_state.servers) {
        const auto uid = uid_by_server.find(server.server);
        if (uid == uid_by_server.end()) continue;
        server.server = static_cast<std::uint32_t>(snapshot.server_uids.size());
        snapshot.server_uids.push_back(*uid->second);
        named_servers.push_back(server);
    }
    snapshot.learned_state.servers = std::move(named_servers);
    return snapshot;
}

balancer::LearnedState to_learned_state(state::Snapshot snapshot, EndpointRegistry& registry) {
    std::vector<balancer::LearnedServerState>& servers = snapshot.learned_state.servers;
    const std::size_t named_servers = std::min(servers.size(), snapshot.server_uids.size());
    for (std::size_t i = 0; i < named_servers; ++i) {
        servers[i].server = registry.reserve_number(snapshot.server_uids[i]);
    }
    return std::move(snapshot.learned_state);
}

}  // namespace elmbay
