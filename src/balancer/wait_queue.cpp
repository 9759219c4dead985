#include "balancer/wait_queue.hpp"

#include <algorithm>

namespace elmbay::balancer {

std::vector<RequestId> WaitQueue::take(const RequestTable& requests) {
    std::vector<RequestId> waiting;
    waiting.swap(waiting_);
    std::erase_if(waiting, [&](RequestId id) {
        const Request* request = requests.find(id);
        return !request || request->ended || request->any_in_flight();
    });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId left_id, RequestId right_id) {
        const Request& left = requests.at(left_id);
        const Request& right = requests.at(right_id);
        if (left.request_class.priority_weight != right.request_class.priority_weight)
            return left.request_class.priority_weight > right.request_class.priority_weight;
        return left.arrival_order > right.arrival_order;
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
