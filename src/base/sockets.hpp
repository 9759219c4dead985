/// @file
/// Bounds the file descriptors that the process's sockets take.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace elmbay {

/// Who a socket is for.
enum class Side {
    clients,   ///< connections of the application
    servers,   ///< connections to servers and to discovery
    sessions,  ///< both connections of a WebSocket session
};

/// Counts the open sockets, each side within a part of its own: a flood of clients must not close the warm
/// connections to servers, nor the other way round.
///
/// A side whose part is full is asked to close an idle connection of its own. Where it can't, the caller does
/// without a socket: accepting waits, and an attempt ends as not sent.
///
/// Not thread-safe: for the event loop's thread.
class SocketBudget {
public:
    /// @param limit descriptors for all sockets together
    explicit SocketBudget(std::size_t limit) { set_limit(limit); }

    /// Divides the descriptors among the sides. A lower limit takes effect as sockets are closed.
    ///
    /// Clients get under a third of what sessions leave: more of their connections would not help,
    /// as those that stay open without a request would have the sockets of those with one.
    void set_limit(std::size_t limit) {
        // Sessions have at most half: they last long, and requests must go on beside them.
        of(Side::sessions).limit = std::min(wanted_for_sessions_, limit / 2);
        limit -= of(Side::sessions).limit;
        max_requests_ = limit * 3 / 10;
        const std::size_t reserve = std::max(kMinReserve, limit / kLimitPerReservedSocket);
        of(Side::clients).limit = max_requests_ + reserve;
        of(Side::servers).limit = limit - std::min(limit, of(Side::clients).limit);
    }

    /// How many sockets sessions may have; takes effect with the next set_limit().
    void want_for_sessions(std::size_t sockets) { wanted_for_sessions_ = sockets; }

    /// How many requests may be in progress. The rest of the clients' part is a reserve: with that many in
    /// progress there is still a socket on which the next client is rejected, rather than left in the
    /// kernel's queue until its deadline.
    std::size_t places() const { return max_requests_; }

    /// Counts one socket more; false, and nothing is counted, if the side's part is full and nothing of it
    /// can be closed.
    bool take(Side side) {
        Part& part = of(side);
        while (part.used >= part.limit) {
            const bool has_closed_one = part.shed && part.shed();
            if (!has_closed_one) return false;
        }
        ++part.used;
        return true;
    }

    /// Counts one socket less: it has been closed.
    void give_back(Side side) { --of(side).used; }

    /// Sockets that are open.
    std::size_t used(Side side) const { return parts_[static_cast<std::size_t>(side)].used; }

    /// @param shed closes one idle connection of the side and gives it back before it returns true; false if
    /// there is none
    void set_shedder(Side side, std::function<bool()> shed) { of(side).shed = std::move(shed); }

private:
    /// What one side has of the limit.
    struct Part {
        std::size_t limit = 0;  // sockets
        std::size_t used = 0;
        std::function<bool()> shed{};
    };
    static constexpr std::size_t kSides = 3;

    // The reserve is one socket in so many. A rejection takes a socket for well under a millisecond: a few of
    // them reject thousands a second, and more would be taken from requests that are served.
    static constexpr std::size_t kLimitPerReservedSocket = 32;
    static constexpr std::size_t kMinReserve = 2;  // sockets

    Part& of(Side side) { return parts_[static_cast<std::size_t>(side)]; }

    std::array<Part, kSides> parts_;
    std::size_t max_requests_ = 0;
    std::size_t wanted_for_sessions_ = 0;  // sockets
};

}  // namespace elmbay
