/// @file
/// Anti-entropy: updates that gossip lost, or that came while a partition stood, are got by asking one whose
/// digest differs for its table, page by page.
#pragma once

#include <cstdint>
#include <optional>

#include "cluster/message.hpp"
#include "cluster/timing.hpp"

namespace elmbay::cluster {

/// The asking side of one table transfer at a time. A value without I/O and clock; not thread-safe. Times are
/// monotonic milliseconds.
class TableSync {
public:
    /// A page that is to be asked for.
    struct Request {
        MemberId to = 0;
        std::uint32_t sequence = 0;
        MemberId first = 0;  ///< the page begins at this member
    };

    /// @param first_at when a table may be asked for first.
    TableSync(const Timing& timing, Millis first_at) : timing_(timing), next_at_(first_at) {}

    /// That member's table differs from ours.
    void note_difference(MemberId member) { differs_ = member; }
    /// Both tables are equal.
    void note_equal() { differs_.reset(); }

    /// @return who did not answer in time, if the transfer that runs has ended so.
    std::optional<MemberId> take_timeout(Millis now);
    /// Goes on with another member, at once, from the page that was not answered.
    void retry_with(Millis now, MemberId other);

    /// @return whether a transfer may begin: none runs, a table differs, and the last one is long enough ago.
    bool due(Millis now) const { return !running_ && differs_ && now >= next_at_; }
    /// No transfer begins before that time.
    void postpone(Millis until) { next_at_ = until; }
    /// Begins a transfer. Only while due().
    /// @param timeout milliseconds until a page is given up.
    void start(Millis now, std::uint32_t sequence, Millis timeout);
    /// @return the page that is to be asked for now, once.
    std::optional<Request> take_request(Millis now);

    /// @return whether that is the page that was asked for.
    bool expects(MemberId from, std::uint32_t sequence) const;
    /// The page that was asked for has come.
    /// @param next     where the next page begins, as the sender says; 0 after the last.
    /// @param timeout  milliseconds until the next page is given up.
    /// @return whether it was the last one: then finish() is due.
    bool page_arrived(Millis now, MemberId next, Millis timeout);
    /// Ends the transfer.
    /// @param next_at when another may begin.
    void finish(Millis next_at);

    /// @return whether a transfer is under way.
    bool running() const { return running_; }
    /// @return when something is due next; infinity if never.
    Millis next_due() const;

private:
    Timing timing_;
    bool running_ = false;
    Request request_;
    Millis request_at_ = 0;
    Millis gives_up_at_ = 0;
    Millis next_at_;                   // when a transfer may begin
    std::optional<MemberId> differs_;  // who holds another table
};

}  // namespace elmbay::cluster
