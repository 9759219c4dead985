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

    bool take() {
        for (const auto& shed : shedders_)
            while (used_ >= limit_ && shed()) continue;
        if (used_ >= limit_) return false;
        ++used_;
        return true;
    }
    void give_back() {
        --used_;
        if (on_room_) on_room_();
    }
    std::size_t used() const { return used_; }
    void add_shedder(std::function<bool()> shed) { shedders_.push_back(std::move(shed)); }
    void set_on_room(std::function<void()> on_room) { on_room_ = std::move(on_room); }

private:
    std::size_t limit_, used_ = 0;
    std::vector<std::function<bool()>> shedders_;
    std::function<void()> on_room_;
};

}  // namespace elmbay
