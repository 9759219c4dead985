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

/// The servers that the endpoint list names, and those that it no longer names but where an attempt or a
/// session of this sidecar is left.
///
/// Owned by Balancer::Impl; owns the Server records. Aperture points at them, so the table removes a server
/// there before it destroys the record. Not thread-safe. Bound: the length of the list, which the driver
/// limits, and what is in flight at servers that have left it.
class ServerTable {
public:
    /// All arguments must outlive the table.
    ServerTable(Random& random, LatencyEstimate& latency, LearnedStateRestorer& restorer, Aperture& aperture,
                ServerAges& ages)
        : random_(&random), latency_(&latency), restorer_(&restorer), aperture_(&aperture), ages_(&ages) {}

    /// Takes in a list of any kind but ListKind::failed. The pool has to be drawn anew next.
    void apply(const ServerList& list, Millis now);
    /// Forgets a server that is not listed, once nothing of this sidecar is left there. `server` may dangle
    /// then.
    void forget_if_unused(Server& server);

    /// nullptr: unknown, or forgotten.
    Server* find(ServerId id);
    /// All servers, by id.
    const std::map<ServerId, Server>& servers() const { return servers_; }
    /// Whether no server is known.
    bool empty() const { return servers_.empty(); }
    /// Servers that are known.
    std::size_t size() const { return servers_.size(); }

private:
    static bool is_unused(const Server& server) {
        return !server.listed && server.in_flight == 0 && server.sessions == 0;
    }
    // Takes in a whole list: what it does not name has left. Linear in the fleet.
    void replace(const std::vector<ServerInfo>& list, Millis now);
    // Takes in an incremental list. Its cost is that of the entries, whatever the fleet holds.
    void change(const std::vector<ServerInfo>& list, Millis now);
    Server& update_server(const ServerInfo& info, Millis now);
    // Gives a new server what an earlier run had learned of it.
    void restore(Server& server, Millis now);

    Random* random_;
    LatencyEstimate* latency_;
    LearnedStateRestorer* restorer_;
    Aperture* aperture_;
    ServerAges* ages_;
    std::map<ServerId, Server> servers_;
    std::size_t list_size_ = 0;  // entries of the list at hand, or servers known before it if those are more
    std::size_t restored_ejected_ = 0;  // servers that were restored as ejected
};

}  // namespace elmbay::balancer
