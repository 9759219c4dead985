#pragma once

#include <map>

#include "balancer/aperture.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/learned_state_restorer.hpp"
#include "balancer/server.hpp"
#include "balancer/server_age.hpp"
#include "base/random.hpp"

namespace elmbay::balancer {

/// The servers that the endpoint list names, and those that it no longer names but where something of ours is
/// still out.
///
/// Owned by Balancer::Impl; owns the Server records. Aperture points at them, so the table tells it before
/// one goes. Bound: the list's length (the driver's limit) and what is outstanding at servers that left it.
class ServerTable {
public:
    ServerTable(Random& random, LatencyEstimate& latency, LearnedStateRestorer& restorer, Aperture& aperture,
                ServerAges& ages)
        : random_(&random), latency_(&latency), restorer_(&restorer), aperture_(&aperture), ages_(&ages) {}

    /// Takes in a list of any kind but failed. The pool has to be drawn anew next.
    void apply(const ServerList& list, Millis now);
    /// Forgets a server that is not on the list, once nothing of ours is there. `server` may be gone then.
    void drop_if_gone(Server& server);

    /// nullptr: unknown, or forgotten.
    Server* find(ServerId id);
    const std::map<ServerId, Server>& servers() const { return servers_; }
    bool empty() const { return servers_.empty(); }
    std::size_t size() const { return servers_.size(); }

private:
    static bool is_gone(const Server& server) {
        return !server.listed && server.in_flight == 0 && server.sessions == 0;
    }
    /// A whole list: what it does not name has left. Linear in the fleet.
    void replace(const std::vector<ServerInfo>& list, Millis now);
    /// An incremental list. Costs what it names, whatever the fleet holds.
    void change(const std::vector<ServerInfo>& list, Millis now);
    Server& learn(const ServerInfo& info, Millis now);

    Random* random_;
    LatencyEstimate* latency_;
    LearnedStateRestorer* restorer_;
    Aperture* aperture_;
    ServerAges* ages_;
    std::map<ServerId, Server> servers_;
    std::size_t listed_ = 0;            // servers of the list at hand
    std::size_t restored_ejected_ = 0;  // servers that the restored state had as ejected
};

}  // namespace elmbay::balancer
