#include "balancer/request_table.hpp"

#include "balancer/sessions.hpp"

namespace elmbay::balancer {

Request* RequestTable::add(RequestId id) {
    const auto [entry, is_new] = requests_.try_emplace(id);
    if (!is_new) return nullptr;
    entry->second.id = id;
    entry->second.arrival_order = next_order_++;
    return &entry->second;
}

void RequestTable::remove_ended(Sessions& sessions) {
    for (const RequestId id : marked_) {
        const auto entry = requests_.find(id);
        if (entry == requests_.end()) continue;
        const Request& request = entry->second;
        if (!request.ended || request.any_in_flight()) continue;
        if (request.session) sessions.end_upgrade();
        requests_.erase(entry);
    }
    marked_.clear();
}

}  // namespace elmbay::balancer
