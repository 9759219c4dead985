#pragma once

#include <map>
#include <vector>

#include "balancer/aperture.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/learned_state_restorer.hpp"
#include "balancer/server.hpp"
#include "balancer/server_age.hpp"
#include "base/random.hpp"

namespace elmbay::balancer {

/// The servers of the endpoint list, and unlisted servers that still have an attempt or a session of this
/// sidecar.
///
/// Owned by Balancer::Impl; owns the Server records. Aperture holds pointers to them, so the table removes a
/// server from Aperture before destroying the record. Not thread-safe. Bounded by the length of the list,
/// which the driver limits, plus the attempts and sessions at unlisted servers.
class ServerTable {
public:
    /// All arguments must outlive the table.
    ServerTable(Random& random, LatencyEstimate& latency, LearnedStateRestorer& restorer, Aperture& aperture,
                ServerAges& ages)
        : random_(&random), latency_(&latency), restorer_(&restorer), aperture_(&aperture), ages_(&ages) {}

    /// Applies a list of any kind except ListKind::failed. The caller redraws the pool next.
    void apply(const ServerList& list, Millis now);
    /// Removes a server that is not listed and has no attempt or session of this sidecar. If it is removed,
    /// the reference `server` dangles.
    void remove_if_unused(Server& server);

    /// Returns the server; nullptr if it is unknown or removed.
    Server* find(ServerId id);
    /// Returns all servers by id.
    const std::map<ServerId, Server>& servers() const { return servers_; }
    /// Whether the table has no servers.
    bool empty() const { return servers_.empty(); }
    /// Returns the number of servers in the table.
    std::size_t size() const { return servers_.size(); }

private:
    static bool is_unused(const Server& server) {
        return !server.listed && server.in_flight == 0 && server.sessions == 0;
    }
    // Applies a whole list; a server that is missing from it is no longer listed. Linear in the fleet.
    void apply_snapshot(const std::vector<ServerInfo>& list, Millis now);
    // Applies an incremental list. The cost depends on the number of its entries and not on the size of the
    // fleet.
    void apply_changes(const std::vector<ServerInfo>& list, Millis now);
    Server& update_server(const ServerInfo& info, Millis now);
    // Restores the learned state of a new server.
    void restore(Server& server, Millis now);

    Random* random_;
    LatencyEstimate* latency_;
    LearnedStateRestorer* restorer_;
    Aperture* aperture_;
    ServerAges* ages_;
    std::map<ServerId, Server> servers_;
    std::size_t list_size_ = 0;  // entries of the current list, or servers before it if there were more
    std::size_t restored_ejected_ = 0;  // number of servers restored as ejected
};

}  // namespace elmbay::balancer
