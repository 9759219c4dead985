/// @file
/// Recently used correlation ids. They are recorded so that no request with the same id is sent twice.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>

#include "base/timing.hpp"

namespace elmbay {

/// A set of ids from which old ids expire.
///
/// Ids are kept in two generations. A new generation begins after `retention`, or when the current one is
/// full. Then the previous generation is dropped and the current one becomes the previous one. So an id stays
/// in the set for one to two retentions, and for less only if more than kMaxIdsPerGeneration ids are inserted
/// within one retention. A repeated id stays as long as a new one.
///
/// Stores a hash of 64 bits for each id, so that long ids take no more memory than short ones.
///
/// Not thread-safe. Owned by Listener.
class CorrelationIdRegistry {
public:
    /// The busiest sidecar receives 1,280 requests per second (LATER), so even there an id stays for more
    /// than 12 s. Both generations together take less than 2 MB.
    static constexpr std::size_t kMaxIdsPerGeneration = 16384;
    /// Minimum retention. A client that has disconnected may repeat its request with the same id, although
    /// the first one may have run, also long after its deadline.
    static constexpr Millis kMinRetention = 60000;

    /// @param longest_deadline the longest time that any client waits for its response.
    explicit CorrelationIdRegistry(Millis longest_deadline)
        : retention_(std::max(longest_deadline, kMinRetention)) {}

    /// Inserts an id.
    /// @param now the current time; does not decrease.
    /// @return false if the set already contains the id: its request is in progress or has ended recently.
    bool insert(std::string_view id, Millis now);

private:
    const Millis retention_;
    std::unordered_set<std::uint64_t> current_;   // hashes of ids
    std::unordered_set<std::uint64_t> previous_;  // hashes of ids
    Millis current_ends_at_ = 0;
};

}  // namespace elmbay
