// Sessions: requests that, once upgraded, belong to their clients until they end (docs/design/websocket.md).
//
// They are counted apart from attempts. How long one lasts says nothing of its server, and what it holds is
// a place, not a share of the cores: so sessions take no room from short requests, are spread by how many a
// server holds of them, and are bounded by number. Only the upgrade is an attempt, with all of its rules.
#pragma once

#include <optional>
#include <unordered_map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

class Sessions {
public:
    // The pool is at least so wide that it holds this many of ours at each server, as if each had one attempt
    // out: a sidecar with few requests and many sessions must not keep them all at the narrowest pool.
    static constexpr std::size_t kSessionsPerServer = 32;

    explicit Sessions(const Settings& s)
        : max_sessions_(s.max_sessions), max_sessions_per_server_(s.max_sessions_per_server) {}

    // Bounds: of all that are held or upgrading, and of those at one server (Server::sessions).
    bool has_capacity() const { return sessions_.size() + upgrading_ < max_sessions_; }
    bool has_capacity_at(const Server& s) const { return s.sessions < max_sessions_per_server_; }
    // Requests for one that are in the table: each that was taken leaves it once.
    void begin_upgrade() { ++upgrading_; }
    void end_upgrade() { --upgrading_; }
    void begin(RequestId id, ServerId server) { sessions_.emplace(id, server); }
    // Where it was held; an unknown one, or one that had ended before: nowhere.
    std::optional<ServerId> end(RequestId id) {
        const auto node = sessions_.extract(id);
        return node ? std::optional(node.mapped()) : std::nullopt;
    }
    std::size_t count() const { return sessions_.size(); }

private:
    std::size_t max_sessions_, max_sessions_per_server_, upgrading_ = 0;
    std::unordered_map<RequestId, ServerId> sessions_;  // never iterated
};

}  // namespace elmbay::balancer
