#pragma once

#include <cstddef>
#include <vector>

#include "balancer/request_table.hpp"

namespace elmbay::balancer {

/// The requests that wait for room or for a server, by id.
///
/// Owned by Balancer::Impl. It may name requests that have ended or gone out since; purge_ended() bounds
/// those: never more than twice the requests in the table and kSlack, after each event.
class WaitQueue {
public:
    static constexpr std::size_t kSlack = 64;  ///< ended ones that it may always name

    void push(RequestId id) { waiting_.push_back(id); }
    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

    /// Empties the queue and gives those that still wait. What is worth most goes first, then what came last:
    /// under a crowd the oldest has least use left.
    std::vector<RequestId> take(const RequestTable& requests);

    /// With no server at all, or a light sidecar's breaker closed, nothing is released and finished ones
    /// would stay listed for as long. They go once they could be half of the list: a step an event in the
    /// mean.
    void purge_ended(const RequestTable& requests);

private:
    std::vector<RequestId> waiting_;
};

}  // namespace elmbay::balancer
