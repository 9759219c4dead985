/// @file
/// Maps the uids of servers in the endpoint list to the numbers that the balancer uses.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "elmbay/balancer.hpp"

namespace elmbay {

/// Assigns a number to each uid.
///
/// A server that is listed again gets its earlier number, because the balancer may still hold state of a
/// server that has left the list. The numbers of the kMaxRetained servers that departed last are retained.
///
/// Not thread-safe.
class ServerNumbers {
public:
    /// Maximum number of retained numbers. Equals the number of departed servers in the balancer
    /// (ServerAges::kMaxDeparted).
    static constexpr std::size_t kMaxRetained = 4096;
    /// Maximum length of a retained uid, in bytes. No uid of a deployment is longer (state::kMaxNameBytes).
    static constexpr std::size_t kMaxRetainedUidBytes = 255;

    /// Assigns a number to a server when a list adds it.
    /// @param uid uid of a server that has no assigned number.
    /// @return the retained or reserved number of the server, otherwise a new one.
    balancer::ServerId assign(const std::string& uid) {
        const auto retained = retained_.find(uid);
        if (retained == retained_.end()) return next_++;
        const balancer::ServerId number = retained->second;
        retained_.erase(retained);
        return number;
    }
    /// Retains the number of a server that has left the list.
    void retain(const std::string& uid, balancer::ServerId number) {
        if (uid.size() > kMaxRetainedUidBytes) return;
        const bool added = retained_.emplace(uid, number).second;
        if (!added) return;
        order_.push_back(uid);
        if (order_.size() <= kMaxRetained) return;
        retained_.erase(order_.front());
        order_.pop_front();
    }
    /// @return the number that assign() will return for the server.
    balancer::ServerId reserve(const std::string& uid) {
        const auto retained = retained_.find(uid);
        if (retained != retained_.end()) return retained->second;
        const balancer::ServerId number = next_++;
        retain(uid, number);
        return number;
    }

private:
    balancer::ServerId next_ = 1;
    std::unordered_map<std::string, balancer::ServerId> retained_;
    std::deque<std::string> order_;  // oldest first; may contain uids that were assigned in the meantime
};

}  // namespace elmbay
