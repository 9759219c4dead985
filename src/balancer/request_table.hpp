#pragma once

#include <unordered_map>
#include <vector>

#include "balancer/request.hpp"

namespace elmbay::balancer {

class Sessions;

/// The requests that have no final response yet or still have an attempt in flight.
///
/// Owned by Balancer::Impl; not thread-safe. Bounded by the number of requests that the driver holds; the
/// driver sets needs_immediate_response for any others. References stay valid until remove_ended(), which
/// runs once after each event.
class RequestTable {
public:
    /// Adds a request and assigns its arrival order. Returns nullptr if the id already exists.
    Request* add(RequestId id);
    /// Returns the request; nullptr if it is unknown or removed.
    Request* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// Returns the request; nullptr if it is unknown or removed.
    const Request* find(RequestId id) const {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// Returns a request that must be in the table.
    /// @throws std::out_of_range if the request is not in the table
    Request& at(RequestId id) { return requests_.at(id); }
    /// Returns a request that must be in the table.
    /// @throws std::out_of_range if the request is not in the table
    const Request& at(RequestId id) const { return requests_.at(id); }

    /// Marks a request that may have ended during this event, so that remove_ended() checks it. May be called
    /// more than once for one request.
    void mark_for_removal(RequestId id) { marked_.push_back(id); }
    /// Removes the marked requests that have ended and have no attempt in flight, and releases the capacity
    /// of their upgrades. Called after each event.
    void remove_ended(Sessions& sessions);

    /// Returns the number of requests in the table.
    std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<RequestId, Request> requests_;  // must not be iterated: the order is not reproducible
    std::vector<RequestId> marked_;                    // marked during this event
    std::uint64_t next_order_ = 0;
};

}  // namespace elmbay::balancer
