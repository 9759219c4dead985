#pragma once

#include <cstddef>
#include <vector>

#include "balancer/request_table.hpp"

namespace elmbay::balancer {

/// The ids of requests that wait for capacity or for a server.
///
/// Owned by Balancer::Impl; not thread-safe. The queue may contain requests that have ended or have been sent
/// in the meantime. purge_ended() bounds their number: after each event the queue has at most
/// kMaxExtraEntries entries plus twice the number of requests in the table.
class WaitQueue {
public:
    /// The number of entries that the queue may have in addition to twice the requests of the table.
    static constexpr std::size_t kMaxExtraEntries = 64;

    /// Adds a request, which may already be in the queue.
    void push(RequestId id) { waiting_.push_back(id); }
    /// Whether the queue has no entries, including entries of ended requests.
    bool empty() const { return waiting_.empty(); }
    /// Returns the number of entries, including entries of ended requests.
    std::size_t size() const { return waiting_.size(); }

    /// Empties the queue and returns the requests that still wait: the highest priority weight first, and for
    /// equal weights the newest first. In an overload, serving the oldest request has the least value for its
    /// client.
    std::vector<RequestId> take(const RequestTable& requests);

    /// Removes entries of ended requests once they may be half of the queue; the mean cost is one step for
    /// each event. Without servers, or with an open circuit, take() is not called and these entries would
    /// accumulate.
    void purge_ended(const RequestTable& requests);

private:
    std::vector<RequestId> waiting_;
};

}  // namespace elmbay::balancer
