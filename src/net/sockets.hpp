// The process's share of file descriptors.
#pragma once

#include <array>
#include <cstddef>
#include <functional>

namespace elmbay {

// Whose socket it is: the application's connections, or those to servers and discovery.
enum class Side { clients, servers };

// Counts the open sockets, each side in a part of its own: a flood of clients must not close the warm
// connections to servers, nor the other way round. A side whose part is full is asked to close an idle one of
// its own; where it can't, the caller must do without: accepting waits, and an attempt ends as never ran.
class SocketBudget {
public:
    // Clients hold a third of the descriptors at most for requests. Keeping more of their connections open
    // than that helps nobody: those that stay without asking then have the places of those that want to ask.
    explicit SocketBudget(std::size_t limit) { set_limit(limit); }

    // A lower one takes effect as sockets are closed.
    void set_limit(std::size_t limit) {
        of(Side::clients).limit = limit * 3 / 10;  // under a third
        of(Side::servers).limit = limit - limit * 3 / 10;
    }
    bool take(Side side) {
        Part& part = of(side);
        while (part.used >= part.limit && part.shed && part.shed()) continue;
        if (part.used >= part.limit) return false;
        ++part.used;
        return true;
    }
    void give_back(Side side) { --of(side).used; }
    std::size_t used(Side side) const { return parts_[static_cast<std::size_t>(side)].used; }
    // shed: closes one that is idle and gives it back before it returns true.
    void set_shedder(Side side, std::function<bool()> shed) { of(side).shed = std::move(shed); }

private:
    struct Part {
        std::size_t limit = 0, used = 0;
        std::function<bool()> shed{};
    };
    Part& of(Side side) { return parts_[static_cast<std::size_t>(side)]; }

    std::array<Part, 2> parts_;
};

}  // namespace elmbay
