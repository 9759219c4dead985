#include "cluster/table_sync.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

std::optional<MemberId> TableSync::take_timeout(Millis now) {
    if (!running_ || times_out_at_ > now) return std::nullopt;
    running_ = false;
    return request_.to;
}

void TableSync::retry_with(Millis now, MemberId other) {
    differing_member_ = other;
    next_at_ = now;
}

void TableSync::start(Millis now, std::uint32_t sequence, Millis timeout) {
    running_ = true;
    request_.to = differing_member_.value_or(0);
    request_.sequence = sequence;
    request_at_ = now;
    times_out_at_ = now + timeout;
    differing_member_.reset();
}

std::optional<TableSync::Request> TableSync::take_request(Millis now) {
    if (!running_ || request_at_ > now) return std::nullopt;
    request_at_ = times_out_at_;
    return request_;
}

bool TableSync::expects(MemberId from, std::uint32_t sequence) const {
    return running_ && request_.sequence == sequence && request_.to == from;
}

bool TableSync::on_page(Millis now, MemberId next, Millis timeout) {
    // Pages are in ascending order of ids. A next page that does not continue after this one ends the
    // transfer.
    const bool last = next == 0 || next <= request_.first;
    request_.first = last ? 0 : next;
    if (last) return true;
    request_at_ = now + timing_.page_interval;
    times_out_at_ = request_at_ + timeout;
    return false;
}

void TableSync::finish(Millis next_at) {
    running_ = false;
    next_at_ = next_at;
}

Millis TableSync::next_due() const {
    if (running_) return std::min(request_at_, times_out_at_);
    return differing_member_ ? next_at_ : INFINITY;
}

}  // namespace elmbay::cluster
