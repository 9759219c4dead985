#include "balancer/wait_queue.hpp"

#include <algorithm>

namespace elmbay::balancer {

namespace {

bool has_precedence(const Request& left, const Request& right) {
    const double left_weight = left.request_class.priority_weight;
    const double right_weight = right.request_class.priority_weight;
    if (left_weight != right_weight) return left_weight > right_weight;
    return left.arrival_order > right.arrival_order;
}

}  // namespace

std::vector<RequestId> WaitQueue::take(const RequestTable& requests) {
    std::vector<RequestId> waiting;
    waiting.swap(waiting_);
    std::erase_if(waiting, [&](RequestId id) {
        const Request* request = requests.find(id);
        return !request || request->ended || request->any_in_flight();
    });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId left, RequestId right) {
        return has_precedence(requests.at(left), requests.at(right));
    });
    return waiting;
}

void WaitQueue::purge_ended(const RequestTable& requests) {
    if (waiting_.size() <= 2 * requests.size() + kMaxExtraEntries) return;
    std::erase_if(waiting_, [&](RequestId id) {
        const Request* request = requests.find(id);
        return !request || request->ended;
    });
}

}  // namespace elmbay::balancer
