#pragma once

#include <optional>
#include <unordered_map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Counts and limits sessions: requests that, once upgraded, last until the client or the server ends them.
///
/// Only the upgrade is an attempt and subject to the rules for attempts. The established session is counted
/// here, separately from attempts: its duration carries no information about the server, and it occupies a
/// connection instead of a share of the cores. Sessions therefore take no capacity from short requests; they
/// are distributed by the number of sessions at each server and limited by number. See
/// docs/design/websocket.md.
///
/// Owned by Balancer::Impl; not thread-safe. Holds one entry for each session, at most
/// Settings::max_sessions.
class Sessions {
public:
    /// The number of sessions that count as one attempt in flight when the width of the pool is computed. A
    /// sidecar with few requests and many sessions thus draws a wider pool than its requests alone require.
    static constexpr std::size_t kSessionsPerServer = 32;

    /// @param settings validated settings
    explicit Sessions(const Settings& settings)
        : max_sessions_(settings.max_sessions), max_sessions_per_server_(settings.max_sessions_per_server) {}

    /// Whether another upgrade may start: sessions and upgrades together are below the limit.
    bool has_capacity() const { return sessions_.size() + upgrading_ < max_sessions_; }
    /// Whether another upgrade may be sent to the given server.
    bool has_capacity_at(const Server& server) const { return server.sessions < max_sessions_per_server_; }

    /// Counts a request for a session that is added to the request table.
    void begin_upgrade() { ++upgrading_; }
    /// Counts a request for a session that is removed from the request table, whatever its outcome.
    void end_upgrade() { --upgrading_; }
    /// Records the session of a successful upgrade.
    void begin(RequestId id, ServerId server) { sessions_.emplace(id, server); }
    /// Removes a session that has ended. Returns its server, or nothing if the session is unknown or has
    /// already ended.
    std::optional<ServerId> end(RequestId id) {
        const auto node = sessions_.extract(id);
        return node ? std::optional(node.mapped()) : std::nullopt;
    }
    /// Returns the number of established sessions.
    std::size_t count() const { return sessions_.size(); }

private:
    std::size_t max_sessions_;
    std::size_t max_sessions_per_server_;
    std::size_t upgrading_ = 0;
    std::unordered_map<RequestId, ServerId> sessions_;  // must not be iterated: the order is not reproducible
};

}  // namespace elmbay::balancer
