#include "sidecar/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace elmbay {

namespace {

// Descriptors that the process needs beside the counted ones: standard streams, epoll, timer, signals,
// listener.
constexpr std::size_t kProcessDescriptors = 24;
// Sockets that are budgeted even where the limits leave fewer: below this the process could serve nobody.
constexpr std::size_t kMinSockets = 8;
// Messages beyond the usual size may take this part of the memory limit. Everything else takes some MB; half
// as much again is left for the allocator, which does not return memory at once.
constexpr std::size_t kLongMessageDivisor = 4;
// A session has a socket at its client and one at its server.
constexpr std::size_t kSocketsPerSession = 2;

std::uint32_t saturated(std::uint64_t count) {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, UINT32_MAX));
}

}  // namespace

std::size_t socket_limit(const Config& config) {
    std::size_t descriptors = config.sockets;
    rlimit system_limit{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &system_limit) == 0;
    if (is_known && system_limit.rlim_cur != RLIM_INFINITY) {
        descriptors = std::min<std::size_t>(descriptors, system_limit.rlim_cur);
    }
    return std::max(descriptors, kProcessDescriptors + kMinSockets) - kProcessDescriptors;
}

SocketBudget make_socket_budget(const Config& config, const websocket::Settings& websocket) {
    SocketBudget budget(0);
    if (websocket.on) budget.set_wanted_session_sockets(kSocketsPerSession * websocket.max_sessions);
    budget.set_limit(socket_limit(config));
    return budget;
}

std::size_t long_message_bytes(const Config& config) { return config.memory / kLongMessageDivisor; }

Config with_session_limits(Config config, const websocket::Settings& websocket) {
    balancer::Settings& settings = config.deployment.settings;
    settings.max_sessions = websocket.on ? saturated(websocket.max_sessions) : 0;
    settings.max_sessions_per_server = saturated(websocket.max_sessions_per_server);
    return config;
}

Millis longest_client_deadline(const balancer::DeploymentSettings& deployment) {
    const auto& deadlines = deployment.client_timeouts;
    if (deadlines.empty()) return 0;
    return *std::max_element(deadlines.begin(), deadlines.end());
}

}  // namespace elmbay
