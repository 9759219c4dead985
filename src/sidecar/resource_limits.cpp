#include "sidecar/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace elmbay {

namespace {

// Descriptors that the socket budget does not count: standard streams, epoll, timer, signals, listener.
constexpr std::size_t kProcessDescriptors = 24;
// Minimum of the socket budget, even if the limits are lower. With fewer sockets the process could not serve
// requests.
constexpr std::size_t kMinSockets = 8;
// Share of the memory limit that messages may occupy, if they are not small: three eighths. All other data
// takes some MB, and the allocator does not return memory at once.
constexpr std::size_t kMessageMultiplier = 3;
constexpr std::size_t kMessageDivisor = 8;
// A session has one socket to its client and one to its server.
constexpr std::size_t kSocketsPerSession = 2;

std::uint32_t saturated(std::uint64_t count) {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, UINT32_MAX));
}

}  // namespace

std::size_t socket_limit(const Config& config) {
    std::size_t descriptors = config.max_descriptors;
    rlimit system_limit{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &system_limit) == 0;
    if (is_known && system_limit.rlim_cur != RLIM_INFINITY) {
        descriptors = std::min<std::size_t>(descriptors, system_limit.rlim_cur);
    }
    return std::max(descriptors, kProcessDescriptors + kMinSockets) - kProcessDescriptors;
}

SocketBudget make_socket_budget(const Config& config, const websocket::Settings& websocket) {
    SocketBudget budget(0);
    if (websocket.enabled) budget.set_wanted_session_sockets(kSocketsPerSession * websocket.max_sessions);
    budget.set_limit(socket_limit(config));
    return budget;
}

std::size_t message_bytes(const Config& config) {
    return config.max_memory_bytes / kMessageDivisor * kMessageMultiplier;
}

Config with_session_limits(Config config, const websocket::Settings& websocket) {
    balancer::Settings& settings = config.deployment.settings;
    settings.max_sessions = websocket.enabled ? saturated(websocket.max_sessions) : 0;
    settings.max_sessions_per_server = saturated(websocket.max_sessions_per_server);
    return config;
}

Millis longest_client_deadline(const balancer::DeploymentSettings& deployment) {
    const auto& deadlines = deployment.client_timeouts;
    if (deadlines.empty()) return 0;
    return *std::max_element(deadlines.begin(), deadlines.end());
}

}  // namespace elmbay
