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
enum class SocketPurpose {
    clients,   ///< connections of the application
    servers,   ///< connections to servers and to discovery
    sessions,  ///< both connections of a WebSocket session
};

/// Counts the open sockets, each purpose within a part of its own: a flood of clients must not close the warm
/// connections to servers, nor the other way round.
///
/// A purpose whose part is full is asked to close an idle connection of its own. Where it can't, the caller
/// does without a socket: accepting waits, and an attempt ends as not sent.
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
        of(SocketPurpose::sessions).limit = std::min(wanted_for_sessions_, limit / 2);
        limit -= of(SocketPurpose::sessions).limit;
        max_requests_ = limit * 3 / 10;
        const std::size_t reserve = std::max(kMinReserve, limit / kLimitPerReservedSocket);
        of(SocketPurpose::clients).limit = max_requests_ + reserve;
        of(SocketPurpose::servers).limit = limit - std::min(limit, of(SocketPurpose::clients).limit);
    }

    /// How many sockets sessions may have; takes effect with the next set_limit().
    void set_wanted_session_sockets(std::size_t sockets) { wanted_for_sessions_ = sockets; }

    /// How many requests may be in progress. The rest of the clients' part is a reserve: with that many in
    /// progress there is still a socket on which the next client is rejected, rather than left in the
    /// kernel's queue until its deadline.
    std::size_t max_requests() const { return max_requests_; }

    /// Counts one socket more; false, and nothing is counted, if the purpose's part is full and nothing of it
    /// can be closed.
    bool acquire(SocketPurpose purpose) {
        Part& part = of(purpose);
        while (part.used >= part.limit) {
            const bool has_closed_one = part.shed && part.shed();
            if (!has_closed_one) return false;
        }
        ++part.used;
        return true;
    }

    /// Counts one socket less: it has been closed.
    void release(SocketPurpose purpose) { --of(purpose).used; }

    /// Sockets that are open.
    std::size_t open_sockets(SocketPurpose purpose) const {
        return parts_[static_cast<std::size_t>(purpose)].used;
    }

    /// @param shed closes one idle connection of the purpose and gives it back before it returns true; false
    /// if there is none
    void set_idle_closer(SocketPurpose purpose, std::function<bool()> shed) {
        of(purpose).shed = std::move(shed);
    }

private:
    /// What one purpose has of the limit.
    struct Part {
        std::size_t limit = 0;  // sockets
        std::size_t used = 0;
        std::function<bool()> shed{};
    };
    static constexpr std::size_t kPurposes = 3;

    // The reserve is one socket in so many. A rejection takes a socket for well under a millisecond: a few of
    // them reject thousands a second, and more would be taken from requests that are served.
    static constexpr std::size_t kLimitPerReservedSocket = 32;
    static constexpr std::size_t kMinReserve = 2;  // sockets

    Part& of(SocketPurpose purpose) { return parts_[static_cast<std::size_t>(purpose)]; }

    std::array<Part, kPurposes> parts_;
    std::size_t max_requests_ = 0;
    std::size_t wanted_for_sessions_ = 0;  // sockets
};

}  // namespace elmbay
