// The numbers by which the decision module knows servers, and the names by which the list does.
//
// A number is of use as long as the module may remember something of it: a server that has left the list and
// is named again has the number that it had. Numbers of such servers are kept up to a bound, the latest ones.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "elmbay/balancer.hpp"

namespace elmbay {

class ServerNumbers {
public:
    // As many as the module remembers of those that have left (ServerAges::kMaxDeparted).
    static constexpr std::size_t kMaxKept = 4096;
    // Names beyond this are not kept; no name that a deployment uses is as long (state::kMaxName).
    static constexpr std::size_t kLongestKept = 255;

    // The number of a server that the list names and that has none.
    balancer::ServerId take(const std::string& uid) {
        const auto at = kept_.find(uid);
        if (at == kept_.end()) return next_++;
        const balancer::ServerId number = at->second;
        kept_.erase(at);
        return number;
    }
    // The server has left the list.
    void keep(const std::string& uid, balancer::ServerId number) {
        if (uid.size() > kLongestKept || !kept_.emplace(uid, number).second) return;
        order_.push_back(uid);
        if (order_.size() <= kMaxKept) return;
        kept_.erase(order_.front());
        order_.pop_front();
    }
    // The number that a server will have once a list names it.
    balancer::ServerId reserve(const std::string& uid) {
        const auto at = kept_.find(uid);
        if (at != kept_.end()) return at->second;
        const balancer::ServerId number = next_++;
        keep(uid, number);
        return number;
    }

private:
    balancer::ServerId next_ = 1;
    std::unordered_map<std::string, balancer::ServerId> kept_;
    std::deque<std::string> order_;  // the oldest first; may name some that were taken meanwhile
};

}  // namespace elmbay
