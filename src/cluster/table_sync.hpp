/// @file
/// Anti-entropy: a member fetches the table of a member with another digest, page by page. This recovers
/// updates that gossip lost and updates from the other side of a partition.
#pragma once

#include <cstdint>
#include <optional>

#include "cluster/message.hpp"
#include "cluster/timing.hpp"

namespace elmbay::cluster {

/// The requesting side of table transfers, one at a time. A value type without I/O and clock; not
/// thread-safe. Times are monotonic milliseconds.
class TableSync {
public:
    /// A request for one page of a table.
    struct Request {
        MemberId to = 0;
        std::uint32_t sequence = 0;
        MemberId first = 0;  ///< id of the first member on the page
    };

    /// @param first_at earliest time of the first transfer.
    TableSync(const Timing& timing, Millis first_at) : timing_(timing), next_at_(first_at) {}

    /// Records that the member's table differs from this member's.
    void record_difference(MemberId member) { differing_member_ = member; }
    /// Records that the tables are equal.
    void record_equal() { differing_member_.reset(); }

    /// Ends the current transfer if the requested page is overdue.
    /// @return the member that did not answer in time, if the transfer has ended by this call.
    std::optional<MemberId> take_timeout(Millis now);
    /// Makes a transfer due at once from another member, starting at the page that was not answered.
    void retry_with(Millis now, MemberId other);

    /// @return whether a transfer may start: none runs, a table differs, and the last transfer is long enough
    /// ago.
    bool is_due(Millis now) const { return !running_ && differing_member_ && now >= next_at_; }
    /// Prevents transfers before the time `until`.
    void postpone(Millis until) { next_at_ = until; }
    /// Starts a transfer. Precondition: is_due().
    /// @param timeout milliseconds until the request of the page fails.
    void start(Millis now, std::uint32_t sequence, Millis timeout);
    /// @return the request to send now; each request is returned once.
    std::optional<Request> take_request(Millis now);

    /// @return whether a page from this member with this sequence number answers the current request.
    bool expects(MemberId from, std::uint32_t sequence) const;
    /// Handles the arrival of the requested page.
    /// @param next     id of the first member on the next page, as sent by the peer; 0 after the last page.
    /// @param timeout  milliseconds until the request of the next page fails.
    /// @return whether it was the last page. The caller then calls finish().
    bool on_page(Millis now, MemberId next, Millis timeout);
    /// Ends the transfer.
    /// @param next_at earliest time of the next transfer.
    void finish(Millis next_at);

    /// @return whether a transfer is in progress.
    bool running() const { return running_; }
    /// @return the time of the next request, timeout or transfer; infinity if there is none.
    Millis next_due() const;

private:
    Timing timing_;
    bool running_ = false;
    Request request_;
    Millis request_at_ = 0;
    Millis times_out_at_ = 0;
    Millis next_at_;                            // earliest time of the next transfer
    std::optional<MemberId> differing_member_;  // a member with another table
};

}  // namespace elmbay::cluster
