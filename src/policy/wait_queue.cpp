#include "policy/wait_queue.hpp"

#include <algorithm>

namespace hollybeam {

std::vector<RequestId> WaitQueue::take(const RequestTable& requests) {
    std::vector<RequestId> waiting;
    waiting.swap(held_);
    std::erase_if(waiting, [&](RequestId id) {
        const Request* r = requests.find(id);
        return !r || r->ended || r->any_out();
    });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId a, RequestId b) {
        const Request &l = requests.at(a), &r = requests.at(b);
        return l.kind.worth != r.kind.worth ? l.kind.worth > r.kind.worth : l.order > r.order;
    });
    return waiting;
}

void WaitQueue::purge_held(const RequestTable& requests) {
    if (held_.size() <= 2 * requests.size() + kHeldSlack) return;
    std::erase_if(held_, [&](RequestId id) {
        const Request* r = requests.find(id);
        return !r || r->ended;
    });
}

}  // namespace hollybeam
