#include "net/request_memory.hpp"

#include <algorithm>
#include <bit>

namespace elmbay {

bool RequestMemory::grow_input() {
    if (input_grant_) return false;
    input_grant_ = budget_->acquire(kMaxInputBytes + kMaxHeadBytes);
    return input_grant_.has_value();
}

bool RequestMemory::reserve_large_body() {
    if (granted_body_bytes_ == kMaxRequestBodyBytes) return true;
    return take_body_grant(kMaxRequestBodyBytes);
}

bool RequestMemory::reserve_body(std::string& body, std::size_t size) {
    if (size <= body.capacity()) return true;
    const std::size_t capacity = std::max(kBodyBytesWithoutGrant, std::bit_ceil(size));
    if (capacity > granted_body_bytes_ && !take_body_grant(capacity)) return false;
    body.reserve(capacity);
    return true;
}

// The new grant replaces the earlier one, which is returned first: a request that does not get its memory is
// rejected at once. Beyond the usual size it covers the largest body at once, so that a
// large body is rejected early if its memory is not available.
bool RequestMemory::take_body_grant(std::size_t capacity) {
    const bool is_large = capacity > kMaxBodyBytesWithoutGrant;
    const std::size_t bytes = is_large ? kMaxRequestBodyBytes : capacity;
    body_grant_.reset();
    body_grant_ = is_large ? budget_->acquire_large(bytes) : budget_->acquire(bytes);
    if (!body_grant_) return false;
    granted_body_bytes_ = bytes;
    return true;
}

}  // namespace elmbay
