/// @file
/// Recently used correlation ids. They are recorded so that one id is not used for two requests at a time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>

#include "base/timing.hpp"

namespace elmbay {

/// A set of ids from which old ids expire.
///
/// Ids are kept in two generations. A new generation begins after `retention`, or when the current one is
/// full. Then the previous generation is dropped and the current one becomes the previous one. So an id stays
/// in the set for one to two retentions, and for less only if more than kMaxIdsPerGeneration ids are inserted
/// within one retention.
///
/// Not thread-safe. Owned by Listener.
class CorrelationIdRegistry {
public:
    /// Twice the number of requests that the busiest sidecar receives within the longest deadline.
    static constexpr std::size_t kMaxIdsPerGeneration = 16384;

    /// @param retention minimum time that an id stays in the set. It covers requests that have just ended
    ///                  here, because such a request may still run at a server.
    explicit CorrelationIdRegistry(Millis retention) : retention_(retention) {}

    /// Inserts an id.
    /// @return false if the set already contains the id: its request is in progress or has ended recently.
    bool insert(std::string_view id, Millis now);

private:
    const Millis retention_;
    std::unordered_set<std::string> current_;
    std::unordered_set<std::string> previous_;
    Millis current_ends_at_ = 0;
};

}  // namespace elmbay
