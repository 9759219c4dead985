#include "policy/request_table.hpp"

#include "policy/sessions.hpp"

namespace hollybeam {

Request* RequestTable::add(RequestId id) {
    const auto [it, fresh] = requests_.try_emplace(id);
    if (!fresh) return nullptr;
    it->second.id = id;
    it->second.order = next_order_++;
    return &it->second;
}

void RequestTable::forget_done(Sessions& sessions) {
    for (const RequestId id : done_) {
        const auto it = requests_.find(id);
        if (it == requests_.end() || !it->second.ended || it->second.any_out()) continue;
        if (it->second.session) sessions.left();
        requests_.erase(it);
    }
    done_.clear();
}

}  // namespace hollybeam
