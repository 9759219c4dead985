#pragma once

#include <unordered_map>
#include <vector>

#include "balancer/request.hpp"

namespace elmbay::balancer {

class Sessions;

/// The requests that have no final answer yet, or still have an attempt out.
///
/// Owned by Balancer::Impl. Bound: what the driver takes at once (it says table_full for the rest).
/// References stay valid until forget_ended(), which runs once after each event.
class RequestTable {
public:
    /// Adds a request, with its place in the order of arrival. nullptr if the id is known already.
    Request* add(RequestId id);
    /// nullptr: unknown, or forgotten.
    Request* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    const Request* find(RequestId id) const {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// A request that is known to be here.
    Request& at(RequestId id) { return requests_.at(id); }
    const Request& at(RequestId id) const { return requests_.at(id); }

    /// Its end was seen during this event: forget_ended() looks at it. May be called more than once.
    void mark_ended(RequestId id) { ended_.push_back(id); }
    /// After each event: what has its answer and nothing out leaves no trace.
    void forget_ended(Sessions& sessions);

    std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<RequestId, Request> requests_;  // never iterated
    std::vector<RequestId> ended_;                     // ended during this event
    std::uint64_t next_order_ = 0;
};

}  // namespace elmbay::balancer
