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
    // Half to each: a request holds one client's socket and at most one to a server, and what else either
    // side has open is idle and can go.
    explicit SocketBudget(std::size_t limit) { set_limit(limit); }

    // A lower one takes effect as sockets are closed.
    void set_limit(std::size_t limit) {
        of(Side::clients).limit = limit / 2;
        of(Side::servers).limit = limit - limit / 2;
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
