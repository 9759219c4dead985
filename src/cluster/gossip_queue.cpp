#include "cluster/gossip_queue.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

GossipQueue::GossipQueue(std::uint32_t members) : transmissions_(members, kNotQueued) {}

void GossipQueue::add(MemberId id) {
    if (transmissions_[id] == kNotQueued) queue_.push_back(id);
    transmissions_[id] = 0;
}

void GossipQueue::count_transmission_by_other(MemberId id) {
    if (transmissions_[id] != kNotQueued) ++transmissions_[id];
}

std::uint32_t GossipQueue::retransmit_limit() const {
    const double digits = std::ceil(std::log10(static_cast<double>(transmissions_.size()) + 1));
    return static_cast<std::uint32_t>(std::ceil(kRetransmitFactor * digits));
}

std::vector<MemberId> GossipQueue::take(const Selection& selection) {
    if (queue_.size() > Message::kMaxUpdates) {
        std::partial_sort(
            queue_.begin(), queue_.begin() + Message::kMaxUpdates, queue_.end(),
            [this](MemberId left, MemberId right) { return transmissions_[left] < transmissions_[right]; });
    }
    std::vector<MemberId> selected;
    for (const MemberId id : queue_) {
        if (selected.size() >= selection.max_updates) break;
        if (id == selection.receiver && selection.skip_receiver) continue;
        if (selection.only_member && id != *selection.only_member) continue;
        selected.push_back(id);
        if (id != selection.receiver || selection.count_receiver) ++transmissions_[id];
    }
    std::erase_if(queue_, [this, limit = retransmit_limit()](MemberId id) {
        if (transmissions_[id] < limit) return false;
        transmissions_[id] = kNotQueued;
        return true;
    });
    return selected;
}

}  // namespace elmbay::cluster
