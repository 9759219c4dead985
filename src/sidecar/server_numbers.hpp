/// @file
/// The numbers by which the balancer knows servers, and the uids by which the endpoint list does.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "elmbay/balancer.hpp"

namespace elmbay {

/// Assigns a number to each uid.
///
/// The balancer may remember something of a server that has left the list. So a server that is listed again
/// gets the number that it had. The numbers of departed servers are retained up to kMaxRetained, the latest
/// ones.
///
/// Not thread-safe.
class ServerNumbers {
public:
    /// As many departed servers as the balancer remembers (ServerAges::kMaxDeparted).
    static constexpr std::size_t kMaxRetained = 4096;
    /// Bytes. Longer uids are not retained; none of a deployment is as long (state::kMaxNameBytes).
    static constexpr std::size_t kMaxRetainedUidBytes = 255;

    /// @param uid of a server that is listed now and has no number.
    /// @return the number retained or reserved for it, else a new one.
    balancer::ServerId assign(const std::string& uid) {
        const auto retained = retained_.find(uid);
        if (retained == retained_.end()) return next_++;
        const balancer::ServerId number = retained->second;
        retained_.erase(retained);
        return number;
    }
    /// The server has left the list.
    void retain(const std::string& uid, balancer::ServerId number) {
        if (uid.size() > kMaxRetainedUidBytes) return;
        const bool added = retained_.emplace(uid, number).second;
        if (!added) return;
        order_.push_back(uid);
        if (order_.size() <= kMaxRetained) return;
        retained_.erase(order_.front());
        order_.pop_front();
    }
    /// @return the number that the server will have once a list names it.
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
    std::deque<std::string> order_;  // the oldest first; may name uids that were assigned meanwhile
};

}  // namespace elmbay
