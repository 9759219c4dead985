#include "net/correlation_id_registry.hpp"

#include <functional>

namespace elmbay {

bool CorrelationIdRegistry::insert(std::string_view id, Millis now) {
    if (now >= current_ends_at_ || current_.size() >= kMaxIdsPerGeneration) {
        previous_.swap(current_);
        current_.clear();
        current_ends_at_ = now + retention_;
    }
    static_assert(sizeof(std::size_t) == sizeof(std::uint64_t));
    const std::uint64_t hash = std::hash<std::string_view>()(id);
    const bool is_new = current_.insert(hash).second;
    return is_new && !previous_.contains(hash);
}

}  // namespace elmbay
