// The process's share of file descriptors.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace elmbay {

// Counts the open sockets. At the limit it asks its shedders, in turn, to close an idle one; where none can,
// the caller must do without: accepting waits, and an attempt ends as never ran.
class SocketBudget {
public:
    explicit SocketBudget(std::size_t limit) : limit_(limit) {}

    // keep_free: so many are left to others.
    bool take(std::size_t keep_free = 0) {
        for (const auto& shed : shedders_)
            while (used_ + keep_free >= limit_ && shed()) continue;
        if (used_ + keep_free >= limit_) return false;
        ++used_;
        return true;
    }
    void give_back() { --used_; }
    std::size_t limit() const { return limit_; }
    void add_shedder(std::function<bool()> shed) { shedders_.push_back(std::move(shed)); }

private:
    std::size_t limit_, used_ = 0;
    std::vector<std::function<bool()>> shedders_;
};

}  // namespace elmbay
