#include "sidecar/status_report.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>

namespace elmbay {

namespace {

using LearnedStateByServer = std::unordered_map<ServerId, const balancer::LearnedServerState*>;

LearnedStateByServer learned_by_server(const balancer::LearnedState& learned_state) {
    LearnedStateByServer result;
    for (const balancer::LearnedServerState& server : learned_state.servers) result[server.server] = &server;
    return result;
}

const char* state_name(const EndpointRegistry::Entry& entry) {
    if (!entry.listed) return "left";
    return entry.info.state == balancer::EndpointState::draining ? "leaving" : "active";
}

}  // namespace

nlohmann::json requests_status(const RequestCounts& counts, std::size_t open) {
    return {{"open", open},
            {"taken", counts.received},
            {"served", counts.succeeded},
            {"refused", counts.rejected},
            {"failed", counts.failed},
            {"gone", counts.disconnected}};
}

nlohmann::json sockets_status(const SocketBudget& budget) {
    return {{"clients", budget.open_sockets(SocketPurpose::clients)},
            {"servers", budget.open_sockets(SocketPurpose::servers)},
            {"sessions", budget.open_sockets(SocketPurpose::sessions)}};
}

nlohmann::json servers_status(const EndpointRegistry& registry, const balancer::LearnedState& learned_state,
                              const Upstream& upstream) {
    const LearnedStateByServer learned = learned_by_server(learned_state);
    nlohmann::json servers = nlohmann::json::array();
    for (const auto& [uid, entry] : registry.entries()) {
        nlohmann::json server = {
            {"uid", uid}, {"state", state_name(entry)}, {"boot_ms", entry.info.online_since}};
        server["attempts"] = upstream.attempt_and_connect_count(entry.info.id);
        const auto known = learned.find(entry.info.id);
        if (known != learned.end()) {
            server["removed"] = known->second->ejection_remaining_ms.has_value();
            server["outcomes"] = known->second->outcome_count;
        }
        servers.push_back(std::move(server));
    }
    return servers;
}

}  // namespace elmbay
