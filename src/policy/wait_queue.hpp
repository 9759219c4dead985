#pragma once

#include <cstddef>
#include <vector>

#include "policy/request_table.hpp"

namespace hollybeam {

/// The requests that wait for room or for a server, by id.
///
/// Owned by Balancer::Impl. It may name requests that have ended or gone out since; purge() bounds those:
/// never more than twice the requests in the table and kHeldSlack, after each event.
class WaitQueue {
public:
    static constexpr std::size_t kHeldSlack = 64;  ///< finished ones that it may always name

    void push(RequestId id) { held_.push_back(id); }
    bool empty() const { return held_.empty(); }
    std::size_t size() const { return held_.size(); }

    /// Empties the queue and gives those that still wait. What is worth most goes first, then what came last:
    /// under a crowd the oldest has least use left.
    std::vector<RequestId> take(const RequestTable& requests);

    /// With no server at all, or a light sidecar's breaker closed, nothing is released and finished ones
    /// would stay listed for as long. They go once they could be half of the list: a step an event in the
    /// mean.
    void purge_held(const RequestTable& requests);

private:
    std::vector<RequestId> held_;
};

}  // namespace hollybeam
