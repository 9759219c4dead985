#include "cluster/table_sync.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

std::optional<MemberId> TableSync::take_timeout(Millis now) {
    if (!running_ || gives_up_at_ > now) return std::nullopt;
    running_ = false;
    return request_.to;
}

void TableSync::retry_with(Millis now, MemberId other) {
    differs_ = other;
    next_at_ = now;
}

void TableSync::start(Millis now, std::uint32_t sequence, Millis timeout) {
    running_ = true;
    request_.to = differs_.value_or(0);
    request_.sequence = sequence;
    request_at_ = now;
    gives_up_at_ = now + timeout;
    differs_.reset();
}

std::optional<TableSync::Request> TableSync::take_request(Millis now) {
    if (!running_ || request_at_ > now) return std::nullopt;
    request_at_ = gives_up_at_;
    return request_;
}

bool TableSync::expects(MemberId from, std::uint32_t sequence) const {
    return running_ && request_.sequence == sequence && request_.to == from;
}

bool TableSync::page_arrived(Millis now, MemberId next, Millis timeout) {
    // A page that leads back is none of a whole table.
    const bool last = next == 0 || next <= request_.first;
    request_.first = last ? 0 : next;
    if (last) return true;
    request_at_ = now + timing_.page_interval;
    gives_up_at_ = request_at_ + timeout;
    return false;
}

void TableSync::finish(Millis next_at) {
    running_ = false;
    next_at_ = next_at;
}

Millis TableSync::next_due() const {
    if (running_) return std::min(request_at_, gives_up_at_);
    return differs_ ? next_at_ : INFINITY;
}

}  // namespace elmbay::cluster
