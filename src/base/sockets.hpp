/// @file
/// Bounds the number of file descriptors that the sockets of this process use.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace elmbay {

/// What a socket is used for.
enum class SocketPurpose {
    clients,   ///< connections from the application
    servers,   ///< connections to servers and to discovery
    sessions,  ///< both connections of a WebSocket session
};

/// Counts the open sockets. Each purpose has an allocation of its own, so that a flood of clients does not
/// close the established connections to servers, or the reverse.
///
/// If an allocation is used up, the budget closes an idle connection of the same purpose. If there is none,
/// the caller continues without a socket: the listener pauses accepting, and an attempt ends as not sent.
///
/// Not thread-safe: used on the event loop's thread only.
class SocketBudget {
public:
    /// @param limit descriptors for all sockets together
    explicit SocketBudget(std::size_t limit) { set_limit(limit); }

    /// Divides the descriptors among the purposes. A lower limit takes effect as sockets are closed.
    ///
    /// Clients get less than a third of the descriptors that sessions leave. A larger allocation would not
    /// help: connections that stay open without a request would use the sockets that requests need.
    void set_limit(std::size_t limit) {
        // Sessions get at most half, because they last long and requests must continue beside them.
        allocation(SocketPurpose::sessions).limit = std::min(wanted_session_sockets_, limit / 2);
        limit -= allocation(SocketPurpose::sessions).limit;
        max_requests_ = limit * 3 / 10;
        const std::size_t reserve = std::max(kMinReserve, limit / kLimitPerReservedSocket);
        allocation(SocketPurpose::clients).limit = max_requests_ + reserve;
        allocation(SocketPurpose::servers).limit =
            limit - std::min(limit, allocation(SocketPurpose::clients).limit);
    }

    /// Sets how many sockets sessions may use. Takes effect with the next set_limit().
    void set_wanted_session_sockets(std::size_t sockets) { wanted_session_sockets_ = sockets; }

    /// Returns how many requests may be in progress. The rest of the clients' allocation is a reserve: while
    /// that many requests are in progress, there is still a socket on which the next client is rejected,
    /// instead of waiting in the kernel's accept queue until its deadline.
    std::size_t max_requests() const { return max_requests_; }

    /// Counts one more open socket. Returns false and counts nothing if the allocation is used up and no
    /// connection of that purpose can be closed.
    bool acquire(SocketPurpose purpose) {
        Allocation& sockets = allocation(purpose);
        while (sockets.used >= sockets.limit) {
            const bool closed_one = sockets.close_idle && sockets.close_idle();
            if (!closed_one) return false;
        }
        ++sockets.used;
        return true;
    }

    /// Counts one open socket less, after its owner has closed it.
    void release(SocketPurpose purpose) { --allocation(purpose).used; }

    /// Returns the number of open sockets.
    std::size_t open_sockets(SocketPurpose purpose) const {
        return allocations_[static_cast<std::size_t>(purpose)].used;
    }

    /// @param close_idle closes one idle connection of that purpose, calls release() for it and then returns
    /// true; returns false if there is no idle connection
    void set_idle_closer(SocketPurpose purpose, std::function<bool()> close_idle) {
        allocation(purpose).close_idle = std::move(close_idle);
    }

private:
    /// The sockets of one purpose.
    struct Allocation {
        std::size_t limit = 0;  // sockets
        std::size_t used = 0;   // sockets
        std::function<bool()> close_idle{};
    };
    static constexpr std::size_t kPurposes = 3;

    // The reserve is the limit divided by this number. A rejection uses a socket for well under a
    // millisecond, so a few sockets suffice for thousands of rejections per second. A larger reserve would
    // reduce the sockets for requests that are served.
    static constexpr std::size_t kLimitPerReservedSocket = 32;
    static constexpr std::size_t kMinReserve = 2;  // sockets

    Allocation& allocation(SocketPurpose purpose) { return allocations_[static_cast<std::size_t>(purpose)]; }

    std::array<Allocation, kPurposes> allocations_;
    std::size_t max_requests_ = 0;
    std::size_t wanted_session_sockets_ = 0;
};

}  // namespace elmbay
