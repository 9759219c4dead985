#pragma once

#include <cstddef>
#include <vector>

#include "balancer/request_table.hpp"

namespace elmbay::balancer {

/// The requests that wait for capacity or for a server, by id.
///
/// Owned by Balancer::Impl; not thread-safe. It may name requests that have ended or have been sent since.
/// purge_ended() bounds those: after each event the queue has at most twice the requests of the table and
/// kSlack entries.
class WaitQueue {
public:
    /// Entries that the queue may always have, whatever the table holds.
    static constexpr std::size_t kSlack = 64;

    /// Adds a request. It may be in the queue already.
    void push(RequestId id) { waiting_.push_back(id); }
    /// Whether the queue has no entries, not even those of ended requests.
    bool empty() const { return waiting_.empty(); }
    /// Entries, those of ended requests among them.
    std::size_t size() const { return waiting_.size(); }

    /// Empties the queue and returns the requests that still wait: the highest priority weight first, and of
    /// one weight the newest first. In an overload the oldest is of least use to its client.
    std::vector<RequestId> take(const RequestTable& requests);

    /// Removes entries of ended requests, once they could be half of the queue; that is one step for each
    /// event in the mean. With no server, or with an open circuit, take() is not called and they would pile
    /// up.
    void purge_ended(const RequestTable& requests);

private:
    std::vector<RequestId> waiting_;
};

}  // namespace elmbay::balancer
