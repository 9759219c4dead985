#include "net/correlation_id_registry.hpp"

#include <utility>

namespace elmbay {

bool CorrelationIdRegistry::insert(std::string_view id, Millis now) {
    if (now >= current_ends_at_ || current_.size() >= kMaxIdsPerGeneration) {
        previous_.swap(current_);
        current_.clear();
        current_ends_at_ = now + retention_;
    }
    std::string key(id);
    if (previous_.contains(key)) return false;
    return current_.insert(std::move(key)).second;
}

}  // namespace elmbay
