#pragma once

#include <optional>
#include <unordered_map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Counts and bounds sessions: requests that, once upgraded, belong to their clients until they end.
///
/// Only the upgrade is an attempt, with all of its rules. The session after it is counted here, apart from
/// attempts. Its duration says nothing of its server, and it holds a connection rather than a share of the
/// cores. So sessions take no capacity from short requests; they are spread by the number that a server
/// holds, and bounded by number. See docs/design/websocket.md.
///
/// Owned by Balancer::Impl; not thread-safe. Holds one entry a session, Settings::max_sessions at most.
class Sessions {
public:
    /// Sessions that one server of the pool should hold, as if each had one attempt in flight. A sidecar with
    /// few requests and many sessions then draws a wider pool than its requests alone call for.
    static constexpr std::size_t kSessionsPerServer = 32;

    /// @param settings validated ones
    explicit Sessions(const Settings& settings)
        : max_sessions_(settings.max_sessions), max_sessions_per_server_(settings.max_sessions_per_server) {}

    /// Whether another upgrade may be taken: sessions and upgrades together are below the bound.
    bool has_capacity() const { return sessions_.size() + upgrading_ < max_sessions_; }
    /// Whether another upgrade may go to that server.
    bool has_capacity_at(const Server& server) const { return server.sessions < max_sessions_per_server_; }

    /// A request for a session enters the request table.
    void begin_upgrade() { ++upgrading_; }
    /// A request for a session leaves the request table, whatever has become of it.
    void end_upgrade() { --upgrading_; }
    /// An upgrade has succeeded: the session stands.
    void begin(RequestId id, ServerId server) { sessions_.emplace(id, server); }
    /// A session is over. Returns its server; none if it is unknown or was over before.
    std::optional<ServerId> end(RequestId id) {
        const auto node = sessions_.extract(id);
        return node ? std::optional(node.mapped()) : std::nullopt;
    }
    /// Sessions that stand.
    std::size_t count() const { return sessions_.size(); }

private:
    std::size_t max_sessions_;
    std::size_t max_sessions_per_server_;
    std::size_t upgrading_ = 0;
    std::unordered_map<RequestId, ServerId> sessions_;  // never iterated: its order is not reproducible
};

}  // namespace elmbay::balancer
