#include "balancer/wait_queue.hpp"

#include <algorithm>

namespace elmbay::balancer {

std::vector<RequestId> WaitQueue::take(const RequestTable& requests) {
    std::vector<RequestId> waiting;
    waiting.swap(waiting_);
    std::erase_if(waiting, [&](RequestId id) {
        const Request* request = requests.find(id);
        return !request || request->ended || request->any_out();
    });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId left_id, RequestId right_id) {
        const Request& left = requests.at(left_id);
        const Request& right = requests.at(right_id);
        if (left.kind.priority_weight != right.kind.priority_weight)
            return left.kind.priority_weight > right.kind.priority_weight;
        return left.order > right.order;
    });
    return waiting;
}

void WaitQueue::purge_ended(const RequestTable& requests) {
    if (waiting_.size() <= 2 * requests.size() + kSlack) return;
    std::erase_if(waiting_, [&](RequestId id) {
        const Request* request = requests.find(id);
        return !request || request->ended;
    });
}

}  // namespace elmbay::balancer
