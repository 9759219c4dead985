/// @file
/// Correlation ids that were used recently, so that an id is not used for two requests at a time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>

#include "base/timing.hpp"

namespace elmbay {

/// A set of ids that forgets the old ones.
///
/// Ids are kept in two generations. A new generation begins after `retention`, or once the current one is
/// full, and the one before the last is dropped. So an id stays known for one to two retentions, and for less
/// only while more than kMaxIdsPerGeneration of them come in that time.
///
/// Not thread-safe. Owned by Listener.
class CorrelationIdRegistry {
public:
    /// What the busiest sidecar sees within the longest deadline, twice over.
    static constexpr std::size_t kMaxIdsPerGeneration = 16384;

    /// @param retention how long an id must at least stay known: a repeat of one whose request has just ended
    ///                  may still run at a server.
    explicit CorrelationIdRegistry(Millis retention) : retention_(retention) {}

    /// @return false if the id is in use, or was a moment ago.
    bool insert(std::string_view id, Millis now);

private:
    const Millis retention_;
    std::unordered_set<std::string> current_;
    std::unordered_set<std::string> previous_;
    Millis current_ends_at_ = 0;
};

}  // namespace elmbay
