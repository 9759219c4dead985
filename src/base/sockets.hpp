// The process's share of file descriptors.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>

namespace elmbay {

// Whose socket it is: the application's connections, those to servers and discovery, or those of sessions on
// both sides.
enum class Side { clients, servers, sessions };

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
        // Sessions have at most half: they stay for long, and requests must go on beside them.
        of(Side::sessions).limit = std::min(for_sessions_, limit / 2);
        limit -= of(Side::sessions).limit;
        places_ = limit * 3 / 10;
        // Under a third together.
        of(Side::clients).limit = places_ + std::max<std::size_t>(kLeastReserve, limit / kReservePart);
        of(Side::servers).limit = limit - std::min(limit, of(Side::clients).limit);
    }
    // How many sockets sessions may have; takes effect with the next set_limit().
    void want_for_sessions(std::size_t sockets) { for_sessions_ = sockets; }
    // How many requests may be in work. The rest of the clients' part is the reserve: with every place taken
    // there is still a socket on which the next client is told so, rather than left in the kernel's queue
    // until its time is over.
    std::size_t places() const { return places_; }
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

    // Telling a client takes a socket for well under a millisecond: a few of them turn thousands a second
    // away. More would be taken from those that serve.
    static constexpr std::size_t kReservePart = 32, kLeastReserve = 2;

    std::array<Part, 3> parts_;
    std::size_t places_ = 0, for_sessions_ = 0;
};

}  // namespace elmbay
