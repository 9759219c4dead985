#pragma once

#include <unordered_map>
#include <vector>

#include "balancer/request.hpp"

namespace elmbay::balancer {

class Sessions;

/// The requests that have no final response yet, or still have an attempt in flight.
///
/// Owned by Balancer::Impl; not thread-safe. Bound: the requests that the driver takes at once; it says
/// needs_immediate_response for the rest. References stay valid until forget_ended(), which runs once after
/// each event.
class RequestTable {
public:
    /// Adds a request, with its place in the order of arrival. nullptr: the id is known already.
    Request* add(RequestId id);
    /// nullptr: unknown, or forgotten.
    Request* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// nullptr: unknown, or forgotten.
    const Request* find(RequestId id) const {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// A request that is known to be in the table; throws std::out_of_range if it is not.
    Request& at(RequestId id) { return requests_.at(id); }
    /// A request that is known to be in the table; throws std::out_of_range if it is not.
    const Request& at(RequestId id) const { return requests_.at(id); }

    /// The request may have ended during this event: forget_ended() looks at it. May be called more than
    /// once.
    void mark_ended(RequestId id) { ended_.push_back(id); }
    /// Called after each event. Forgets the marked requests that have ended and have nothing in flight, and
    /// gives back the places of their upgrades.
    void forget_ended(Sessions& sessions);

    /// Requests in the table.
    std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<RequestId, Request> requests_;  // never iterated: its order is not reproducible
    std::vector<RequestId> ended_;                     // marked during this event
    std::uint64_t next_order_ = 0;
};

}  // namespace elmbay::balancer
